/* addr_index: finds the service of an address in a sorted array.  Private to
 * conf/. */
#ifndef SISKIN_ADDR_INDEX_H
#define SISKIN_ADDR_INDEX_H

#include "base/base.h"

typedef struct {
    uint64_t id; /* addr_id() of the address */
    uint32_t service;
} addr_entry_t;

typedef struct {
    addr_entry_t *entry; /* sorted by id, then service */
    size_t n;
} addr_index_t;

/* Allocates room for CAP entries.  0 or -ENOMEM. */
int addr_index_open(addr_index_t *p, size_t cap);
void addr_index_close(addr_index_t *p);
/* At most CAP times, before addr_index_sort(). */
void addr_index_add(addr_index_t *p, uint64_t id, uint32_t service);
void addr_index_sort(addr_index_t *p);
/* The service of the address, or -1.  Requires a sorted index. */
int addr_index_find(const addr_index_t *p, uint64_t id);

#endif
