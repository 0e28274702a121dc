/* Time, arrays, errors, hashing, random numbers and histograms. */
#include "base/base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

ms_t
timespec_to_ms(const struct timespec *ts)
{
    return (ms_t)ts->tv_sec * 1000 + ts->tv_nsec / 1000000;
}

ms_t
clock_now(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return timespec_to_ms(&ts);
}

ms_t
clock_wall(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    return timespec_to_ms(&ts);
}

#define ARRAY_MIN 8

void *
array_grow(void *array, size_t *cap, size_t need, size_t size)
{
    size_t new_cap = *cap > 0 ? *cap : ARRAY_MIN;
    void *resized;

    while (new_cap < need) {
        new_cap *= 2;
    }
    if (new_cap == *cap) {
        return array;
    }
    resized = realloc(array, new_cap * size);
    if (resized != NULL) {
        *cap = new_cap;
    }
    return resized;
}

int
buffer_write(void *buffer, const char *data, size_t len)
{
    buffer_t *b = buffer;

    if (b->cap - b->len < len) {
        return -1;
    }
    memcpy(b->p + b->len, data, len);
    b->len += len;
    return 0;
}

int
err_set(err_t *e, int code, const char *step, const char *peer,
        const char *fmt, ...)
{
    va_list ap;

    if (e == NULL) {
        return code;
    }
    e->code = code;
    snprintf(e->step, sizeof(e->step), "%s", step);
    snprintf(e->peer, sizeof(e->peer), "%s", peer);
    va_start(ap, fmt);
    vsnprintf(e->text, sizeof(e->text), fmt, ap);
    va_end(ap);
    return code;
}

uint64_t
hash64(const void *p, size_t n, uint64_t seed)
{
    return XXH3_64bits_withSeed(p, n, seed);
}

uint64_t
hash_mix(uint64_t a, uint64_t b)
{
    uint64_t w[2] = {a, b};

    return XXH3_64bits(w, sizeof(w));
}

uint64_t
rng_next(rng_t *r)
{
    return hash_mix(r->seed, r->count++);
}

uint32_t
rng_below(rng_t *r, uint32_t n)
{
    return (uint32_t)(((rng_next(r) >> 32) * n) >> 32);
}

/* Values 0 to 3 have a bucket each; above, each power of two has 4 buckets. */
static int
hist_bucket(uint64_t v)
{
    int log;
    int i;

    if (v < 4) {
        return (int)v;
    }
    log = 63 - __builtin_clzll(v);
    i = (log - 1) * 4 + (int)((v >> (log - 2)) & 3);
    return i < HIST_SLOTS ? i : HIST_SLOTS - 1;
}

void
hist_add(hist_t *h, uint64_t v)
{
    h->count++;
    h->sum += v;
    h->slot[hist_bucket(v)]++;
}

uint64_t
hist_bound(int i)
{
    int log;

    if (i < 4) {
        return (uint64_t)i;
    }
    log = i / 4 + 1;
    return ((uint64_t)(4 + i % 4 + 1) << (log - 2)) - 1;
}

void
metric_print(FILE *f, const char *type, const char *name, uint64_t n)
{
    fprintf(f, "# TYPE %s %s\n%s %llu\n", name, type, name,
            (unsigned long long)n);
}

/* Exported bounds: one for each power of two, from 2^2 - 1 to 2^19 - 1. */
#define BOUND_STEP 4
#define BOUND_LAST 71

void
hist_print(FILE *f, const char *name, const char *labels, const hist_t *h)
{
    const char *comma = labels[0] != '\0' ? "," : "";
    const char *open = labels[0] != '\0' ? "{" : "";
    const char *close = labels[0] != '\0' ? "}" : "";
    uint64_t sum = 0;

    for (int i = 0; i <= BOUND_LAST; i++) {
        sum += h->slot[i];
        if (i % BOUND_STEP == BOUND_STEP - 1) {
            fprintf(f, "%s_bucket{%s%sle=\"%llu\"} %llu\n", name, labels,
                    comma, (unsigned long long)hist_bound(i),
                    (unsigned long long)sum);
        }
    }
    fprintf(f, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", name, labels, comma,
            (unsigned long long)h->count);
    fprintf(f, "%s_sum%s%s%s %llu\n%s_count%s%s%s %llu\n", name, open, labels,
            close, (unsigned long long)h->sum, name, open, labels, close,
            (unsigned long long)h->count);
}

uint64_t
hist_quantile(const hist_t *h, double q)
{
    uint64_t rank = (uint64_t)(q * (double)h->count);
    uint64_t seen = 0;

    for (int i = 0; i < HIST_SLOTS; i++) {
        seen += h->slot[i];
        if (seen > rank || (seen == h->count && seen > 0)) {
            return hist_bound(i);
        }
    }
    return 0;
}
