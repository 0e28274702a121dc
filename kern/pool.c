/* Fixed-size buffers that are passed between threads. */
#include "kern/kern.h"

#include <ck_ring.h>
#include <stdlib.h>

/* LIFO: the slot returned last is reused first, while it is still cached. */
struct pool {
    ck_ring_t returned; /* slots returned by any thread */
    ck_ring_buffer_t *ring_buffer;
    void **free_slots; /* stack, private to the thread of pool_get() */
    unsigned n_free;
    char *memory;
};

pool_t *
pool_new(unsigned n, size_t size)
{
    pool_t *p = calloc(1, sizeof(*p));
    unsigned ring_size = 4;

    if (p == NULL) {
        return NULL;
    }
    size = (size + 63) & ~(size_t)63; /* avoids false sharing of cache lines */
    while (ring_size <= n) {
        ring_size *= 2;
    }
    p->ring_buffer = calloc(ring_size, sizeof(*p->ring_buffer));
    p->free_slots = calloc(n, sizeof(*p->free_slots));
    p->memory = calloc(n, size);
    if (p->ring_buffer == NULL || p->free_slots == NULL || p->memory == NULL) {
        pool_free(p);
        return NULL;
    }
    ck_ring_init(&p->returned, ring_size);
    for (unsigned i = 0; i < n; i++) {
        p->free_slots[p->n_free++] = p->memory + i * size;
    }
    return p;
}

void
pool_free(pool_t *p)
{
    if (p == NULL) {
        return;
    }
    free(p->ring_buffer);
    free(p->free_slots);
    free(p->memory);
    free(p);
}

void *
pool_get(pool_t *p)
{
    void *slot;

    while (ck_ring_dequeue_mpsc(&p->returned, p->ring_buffer, &slot)) {
        p->free_slots[p->n_free++] = slot;
    }
    return p->n_free > 0 ? p->free_slots[--p->n_free] : NULL;
}

void
pool_put(pool_t *p, void *slot)
{
    ck_ring_enqueue_mpsc(&p->returned, p->ring_buffer, slot);
}
