/* Followers of this instance: see source.h. */
#include "source/source.h"

/* A follower calls at least once a second; without a call for this time, it
 * has stopped or follows another peer. */
#define FOLLOWER_TIMEOUT_MS 2000

void
followers_init(followers_t *f, uint32_t capacity, uint64_t seed)
{
    *f = (followers_t){.capacity = capacity, .rng = {.seed = seed}};
}

static void
expire(followers_t *f, ms_t now)
{
    for (uint32_t i = 0; i < f->n;) {
        if (now >= f->follower[i].expires_at) {
            f->follower[i] = f->follower[--f->n];
        }
        else {
            i++;
        }
    }
}

static follower_t *
find_follower(followers_t *f, const addr_t *from)
{
    for (uint32_t i = 0; i < f->n; i++) {
        if (addr_eq(&f->follower[i].addr, from)) {
            return &f->follower[i];
        }
    }
    return NULL;
}

bool
followers_admit(followers_t *f, ms_t now, const addr_t *from, addr_t *instead)
{
    follower_t *follower;

    expire(f, now);
    follower = find_follower(f, from);
    if (follower == NULL && f->n == f->capacity) {
        *instead = f->follower[rng_below(&f->rng, f->n)].addr;
        return false;
    }
    if (follower == NULL) {
        follower = &f->follower[f->n++];
    }
    *follower =
        (follower_t){.addr = *from, .expires_at = now + FOLLOWER_TIMEOUT_MS};
    return true;
}

uint32_t
followers_count(followers_t *f, ms_t now)
{
    expire(f, now);
    return f->n;
}
