/* places: which service has an address, for many addresses at once.  Private
 * to conf/. */
#ifndef SISKIN_PLACES_H
#define SISKIN_PLACES_H

#include "base/base.h"

typedef struct {
    uint64_t id; /* addr_id() of the address */
    uint32_t service;
} place_t;

typedef struct {
    place_t *place; /* sorted by id, then service */
    size_t n;
} places_t;

/* Room for CAP places; -ENOMEM. */
int places_open(places_t *p, size_t cap);
void places_close(places_t *p);
/* Within the room, and before places_sort(). */
void places_add(places_t *p, uint64_t id, uint32_t service);
void places_sort(places_t *p);
/* The index of the service, or -1. */
int places_find(const places_t *p, uint64_t id);

#endif
