/* Tables: the upstreams that a flow prefers, the same at every instance
 * with the same version.  The upstreams of a bucket are ordered by weighted
 * rendezvous hashing, so a change moves as few buckets as possible. */
#include "core/state.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS_MIN 256
#define BUCKETS_PER_UPSTREAM 32
#define FLOW_GROUPS 8 /* owners that share a service's flows */
#define GROUP_SALT 0x666c6f77

service_ix_t
service_find(const core_t *c, const addr_t *a)
{
    uint32_t i = map_get(&c->service_map, addr_id(a));

    return i == MAP_NONE ? SERVICE_NONE : (service_ix_t)i;
}

bucket_t *
bucket_of(service_t *s, uint64_t key)
{
    return &s->buckets[key & (s->n_buckets - 1)];
}

/* The requests of a service have one owner, which therefore sees all requests
 * in progress at its upstreams.  A service with more than GROUP_UPSTREAMS
 * upstreams has one owner per GROUP_UPSTREAMS of them, each with a share of
 * the requests. */
uint64_t
request_owner_key(const service_t *s, uint64_t flow)
{
    uint64_t group = (flow >> 32) % s->groups;

    return hash_mix(s->id, group);
}

/* The flows of a service have FLOW_GROUPS owners instead of one for each
 * flow, so that an instance owns flows of few services and needs only their
 * upstreams. */
uint64_t
flow_owner_key(const service_t *s, uint64_t flow)
{
    return hash_mix(s->id ^ GROUP_SALT, (flow >> 20) % FLOW_GROUPS);
}

void
service_update_may_own(core_t *c, service_t *s)
{
    s->may_own = false;
    for (uint64_t i = 0; i < FLOW_GROUPS; i++) {
        s->may_own |= slot_of(c, hash_mix(s->id ^ GROUP_SALT, i))->may_own;
    }
    for (uint64_t i = 0; i < s->groups; i++) {
        s->may_own |= slot_of(c, hash_mix(s->id, i))->may_own;
    }
}

/* Weighted rendezvous score: -w / ln(u), u uniform in (0, 1). */
static double
score(const up_t *u, uint64_t bucket)
{
    double x = ((double)(hash_mix(u->conf.id, bucket) >> 11) + 0.5) /
               (double)(1ull << 53);

    return -(double)u->conf.weight / log(x);
}

/* Inserts U into the candidates in the order of the scores. */
static void
rank_insert(bucket_t *out, double *scores, up_ix_t u, double v)
{
    for (int i = 0; i < CANDIDATES; i++) {
        if (out->candidate[i] == UP_NONE || v > scores[i]) {
            up_ix_t last_u = out->candidate[i];
            double last_v = scores[i];

            out->candidate[i] = u;
            scores[i] = v;
            u = last_u;
            v = last_v;
        }
        if (u == UP_NONE) {
            return;
        }
    }
}

static void
bucket_rank(core_t *c, service_t *s, uint32_t b, bucket_t *out)
{
    double scores[CANDIDATES];

    for (int i = 0; i < CANDIDATES; i++) {
        out->candidate[i] = UP_NONE;
    }
    for (uint32_t i = 0; i < s->n_ups; i++) {
        up_ix_t u = s->ups[i];

        if (!c->ups[u].conf_draining) {
            rank_insert(out, scores, u, score(&c->ups[u], b));
        }
    }
    if (s->conf.prefer == PREFER_STABILITY) {
        /* One candidate fewer to cancel at while ownership is uncertain. */
        out->candidate[CANDIDATES - 1] = UP_NONE;
    }
}

static void
push_previous(core_t *c, bucket_t *b, const bucket_t *old)
{
    if (old->candidate[0] == UP_NONE) {
        return;
    }
    if (b->n_previous == PREVIOUS_MAX) {
        memmove(b->previous, b->previous + 1,
                (PREVIOUS_MAX - 1) * sizeof(b->previous[0]));
        b->n_previous--;
    }
    previous_t *e = &b->previous[b->n_previous++];

    memcpy(e->candidate, old->candidate, sizeof(e->candidate));
    e->version = c->version;
    e->until = c->now;
}

static uint32_t
bucket_count(uint32_t n_ups)
{
    uint32_t n = BUCKETS_MIN;

    while (n < n_ups * BUCKETS_PER_UPSTREAM) {
        n *= 2;
    }
    return n;
}

/* Enlarges the table to N buckets: bucket B of the old table becomes B and
 * B + old size, which had the same candidates. */
static int
grow(service_t *s, uint32_t n)
{
    bucket_t *b = calloc(n, sizeof(*b));

    if (b == NULL) {
        return -ENOMEM;
    }
    for (uint32_t i = 0; i < n; i++) {
        if (s->n_buckets > 0) {
            b[i] = s->buckets[i & (s->n_buckets - 1)];
        }
        else {
            memset(b[i].candidate, 0xFF, sizeof(b[i].candidate)); /* UP_NONE */
        }
    }
    free(s->buckets);
    s->buckets = b;
    s->n_buckets = n;
    return 0;
}

int
table_reserve(service_t *s, uint32_t n_ups)
{
    uint32_t n = bucket_count(n_ups);
    up_ix_t *ups = realloc(s->ups, (n_ups + 1) * sizeof(*ups));

    if (ups == NULL) {
        return -ENOMEM;
    }
    s->ups = ups;
    return n > s->n_buckets ? grow(s, n) : 0;
}

void
table_build(core_t *c, service_ix_t service)
{
    service_t *s = &c->services[service];
    uint32_t more = s->n_ups > 0 ? (s->n_ups - 1) / GROUP_UPSTREAMS : 0;
    uint32_t groups = 1 + more;

    if (groups != s->groups) {
        s->groups_since = s->groups == 0 ? INT64_MIN / 2 : c->now;
        s->groups = groups;
    }
    for (uint32_t i = 0; i < s->n_buckets; i++) {
        bucket_t *b = &s->buckets[i];
        bucket_t fresh = *b;

        bucket_rank(c, s, i, &fresh);
        if (memcmp(fresh.candidate, b->candidate, sizeof(b->candidate)) != 0) {
            push_previous(c, &fresh, b);
        }
        *b = fresh;
    }
    service_update_may_own(c, s);
}

static int
add_candidate(up_ix_t *out, int n, up_ix_t up)
{
    if (up == UP_NONE) {
        return n;
    }
    for (int i = 0; i < n; i++) {
        if (out[i] == up) {
            return n;
        }
    }
    out[n] = up;
    return n + 1;
}

/* A previous set of candidates expires when every instance has the version
 * that replaced it and no caller can still send copies of a request made
 * before. */
static bool
is_expired(const core_t *c, const previous_t *e)
{
    return c->now - e->until >= OWNER_SETTLE_MS &&
           c->lowest_version >= e->version;
}

int
all_candidates(core_t *c, service_t *s, uint64_t key, up_ix_t *out)
{
    const bucket_t *b = bucket_of(s, key);
    int n = 0;

    for (int i = 0; i < CANDIDATES; i++) {
        n = add_candidate(out, n, b->candidate[i]);
    }
    for (int e = 0; e < b->n_previous; e++) {
        for (int i = 0; !is_expired(c, &b->previous[e]) && i < CANDIDATES;
             i++) {
            n = add_candidate(out, n, b->previous[e].candidate[i]);
        }
    }
    return n;
}

bool
candidates_differ(const core_t *c, service_t *s, uint64_t key)
{
    const bucket_t *b = bucket_of(s, key);

    for (int i = 0; i < b->n_previous; i++) {
        if (c->lowest_version < b->previous[i].version) {
            return true;
        }
    }
    return false;
}

up_ix_t
previous_first(service_t *s, uint64_t key, ms_t since)
{
    const bucket_t *b = bucket_of(s, key);

    for (int i = 0; i < b->n_previous; i++) {
        if (b->previous[i].until >= since &&
            b->previous[i].candidate[0] != b->candidate[0]) {
            return b->previous[i].candidate[0];
        }
    }
    return UP_NONE;
}
