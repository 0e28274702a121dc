/* Fixed-size buffers that pass between two threads. */
#include "kern/kern.h"

#include <ck_ring.h>
#include <stdlib.h>

struct pool {
    ck_ring_t ring; /* the free slots */
    ck_ring_buffer_t *slots;
    char *memory;
};

pool_t *
pool_new(unsigned n, size_t size)
{
    pool_t *p = calloc(1, sizeof(*p));
    unsigned ring = 4;

    if (p == NULL) {
        return NULL;
    }
    size = (size + 63) & ~(size_t)63; /* no two slots share a cache line */
    while (ring <= n) {
        ring *= 2;
    }
    p->slots = calloc(ring, sizeof(*p->slots));
    p->memory = calloc(n, size);
    if (p->slots == NULL || p->memory == NULL) {
        pool_free(p);
        return NULL;
    }
    ck_ring_init(&p->ring, ring);
    for (unsigned i = 0; i < n; i++) {
        pool_put(p, p->memory + i * size);
    }
    return p;
}

void
pool_free(pool_t *p)
{
    if (p == NULL) {
        return;
    }
    free(p->slots);
    free(p->memory);
    free(p);
}

void *
pool_get(pool_t *p)
{
    void *slot;

    return ck_ring_dequeue_spsc(&p->ring, p->slots, &slot) ? slot : NULL;
}

void
pool_put(pool_t *p, void *slot)
{
    ck_ring_enqueue_spsc(&p->ring, p->slots, slot);
}
