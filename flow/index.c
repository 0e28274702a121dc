/* A hash table of intrusive entries. */
#include "flow/state.h"

#include <errno.h>
#include <stdlib.h>

#define BUCKETS_MIN 64

static link_t *
buckets_new(uint32_t n)
{
    link_t *b = malloc(n * sizeof(*b));

    for (uint32_t i = 0; b != NULL && i < n; i++) {
        list_init(&b[i]);
    }
    return b;
}

int
index_init(index_t *ix)
{
    *ix =
        (index_t){.bucket = buckets_new(BUCKETS_MIN), .mask = BUCKETS_MIN - 1};
    return ix->bucket != NULL ? 0 : -ENOMEM;
}

void
index_free(index_t *ix)
{
    free(ix->bucket);
    *ix = (index_t){0};
}

link_t *
index_bucket(const index_t *ix, uint64_t hash)
{
    return &ix->bucket[hash & ix->mask];
}

static void
grow(index_t *ix)
{
    uint32_t n = 2 * (ix->mask + 1);
    link_t *bigger = buckets_new(n);

    if (bigger == NULL) {
        return;
    }
    for (uint32_t i = 0; i <= ix->mask; i++) {
        LIST_EACH (it, &ix->bucket[i]) {
            entry_t *e = CONTAINER_OF(it, entry_t, link);
            list_remove(it);
            list_append(&bigger[e->hash & (n - 1)], it);
        }
    }
    free(ix->bucket);
    ix->bucket = bigger;
    ix->mask = n - 1;
}

void
index_add(index_t *ix, entry_t *e, uint64_t hash)
{
    if (ix->used > ix->mask) {
        grow(ix);
    }
    e->hash = hash;
    list_append(index_bucket(ix, hash), &e->link);
    ix->used++;
}

void
index_remove(index_t *ix, entry_t *e)
{
    list_remove(&e->link);
    ix->used--;
}
