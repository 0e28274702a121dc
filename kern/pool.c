/* Fixed-size buffers that pass between threads. */
#include "kern/kern.h"

#include <ck_ring.h>
#include <stdlib.h>

/* The slot given back last is taken next: it is still in a cache. */
struct pool {
    ck_ring_t ring; /* slots given back */
    ck_ring_buffer_t *slots;
    void **stack; /* the taker's own: free slots */
    unsigned n;
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
    p->stack = calloc(n, sizeof(*p->stack));
    p->memory = calloc(n, size);
    if (p->slots == NULL || p->stack == NULL || p->memory == NULL) {
        pool_free(p);
        return NULL;
    }
    ck_ring_init(&p->ring, ring);
    for (unsigned i = 0; i < n; i++) {
        p->stack[p->n++] = p->memory + i * size;
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
    free(p->stack);
    free(p->memory);
    free(p);
}

void *
pool_get(pool_t *p)
{
    void *slot;

    while (ck_ring_dequeue_mpsc(&p->ring, p->slots, &slot)) {
        p->stack[p->n++] = slot;
    }
    return p->n > 0 ? p->stack[--p->n] : NULL;
}

void
pool_put(pool_t *p, void *slot)
{
    ck_ring_enqueue_mpsc(&p->ring, p->slots, slot);
}
