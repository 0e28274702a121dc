/* A hash table from 64-bit keys to indices.  Entries are replaced, never
 * removed. */
#include "core/state.h"

#include <errno.h>
#include <stdlib.h>

#define MAP_MIN 64

uint32_t
pow2(uint32_t n)
{
    uint32_t p = 1;

    while (p < n) {
        p *= 2;
    }
    return p;
}

static uint32_t
find_place(const map_t *m, uint64_t key)
{
    uint32_t i = (uint32_t)key & m->mask;

    while (m->keys[i] != 0 && m->keys[i] != key) {
        i = (i + 1) & m->mask;
    }
    return i;
}

uint32_t
map_get(const map_t *m, uint64_t key)
{
    uint32_t i;

    if (m->keys == NULL) {
        return MAP_NONE;
    }
    i = find_place(m, key);
    return m->keys[i] == key ? m->values[i] : MAP_NONE;
}

static int
map_grow(map_t *m)
{
    uint32_t size = m->keys == NULL ? MAP_MIN : 2 * (m->mask + 1);
    map_t big = {.keys = calloc(size, sizeof(*big.keys)),
                 .values = calloc(size, sizeof(*big.values)),
                 .mask = size - 1,
                 .used = m->used};

    if (big.keys == NULL || big.values == NULL) {
        map_free(&big);
        return -ENOMEM;
    }
    for (uint32_t i = 0; m->keys != NULL && i <= m->mask; i++) {
        if (m->keys[i] != 0) {
            uint32_t to = find_place(&big, m->keys[i]);
            big.keys[to] = m->keys[i];
            big.values[to] = m->values[i];
        }
    }
    map_free(m);
    *m = big;
    return 0;
}

int
map_reserve(map_t *m, size_t more)
{
    int rc = 0;

    while (rc == 0 && (m->keys == NULL || 2 * (m->used + more) > m->mask)) {
        rc = map_grow(m);
    }
    return rc;
}

int
map_put(map_t *m, uint64_t key, uint32_t value)
{
    uint32_t i;
    int rc = map_reserve(m, 1);

    if (rc < 0) {
        return rc;
    }
    i = find_place(m, key);
    m->used += m->keys[i] == 0;
    m->keys[i] = key;
    m->values[i] = value;
    return 0;
}

void
map_free(map_t *m)
{
    free(m->keys);
    free(m->values);
    *m = (map_t){0};
}
