/* A sorted array with binary search: a linear scan of all services for each
 * upstream took 10 s of CPU at 120,000 upstreams. */
#include "conf/addr_index.h"

#include <errno.h>
#include <stdlib.h>

int
addr_index_open(addr_index_t *p, size_t cap)
{
    *p = (addr_index_t){.entry = calloc(cap + 1, sizeof(*p->entry))};
    return p->entry != NULL ? 0 : -ENOMEM;
}

void
addr_index_close(addr_index_t *p)
{
    free(p->entry);
    *p = (addr_index_t){0};
}

void
addr_index_add(addr_index_t *p, uint64_t id, uint32_t service)
{
    p->entry[p->n++] = (addr_entry_t){id, service};
}

static int
by_addr_and_service(const void *a, const void *b)
{
    const addr_entry_t *x = a, *y = b;

    if (x->id != y->id) {
        return x->id < y->id ? -1 : 1;
    }
    return x->service < y->service ? -1 : x->service > y->service;
}

static int
by_addr_id(const void *a, const void *b)
{
    const addr_entry_t *x = a, *y = b;

    return x->id < y->id ? -1 : x->id > y->id;
}

void
addr_index_sort(addr_index_t *p)
{
    qsort(p->entry, p->n, sizeof(*p->entry), by_addr_and_service);
}

int
addr_index_find(const addr_index_t *p, uint64_t id)
{
    const addr_entry_t key = {.id = id};
    const addr_entry_t *at =
        bsearch(&key, p->entry, p->n, sizeof(*p->entry), by_addr_id);

    return at != NULL ? (int)at->service : -1;
}
