/* Selection of the peer to follow: see source.h. */
#include "source/source.h"

#include <errno.h>
#include <string.h>

/* Exponential backoff of a failed peer.  The first is short: most failures are
 * restarts, which take a second or two. */
#define FAILURE_BACKOFF_MIN_MS 1500
#define FAILURE_BACKOFF_MAX_MS 12000
/* Delay before a starting instance reads a long list from the store, without a
 * sign of the list's progress at its peers.  The jitter keeps instances whose
 * peers are all down from reading it at the same time. */
#define RESYNC_DELAY_MIN_MS 800
#define RESYNC_JITTER_MS 800
/* The same for an announced instance and a list of several pages: shorter, as
 * the others wait for it. */
#define LONG_LIST_DELAY_MIN_MS 400
#define LONG_LIST_JITTER_MS 200
/* Longest wait for peers that make progress but deliver nothing: above the
 * time of a long list from a slow store, which would be slower still if all
 * instances read it. */
#define RESYNC_WAIT_MAX_MS 60000
/* One request for first data in so many goes to a seed where announced
 * neighbours are known: all instances of the fleet have the same seeds. */
#define REQUESTS_PER_SEED_REQUEST 6

/* Jitter of the announcement delay: of instances that start together, the
 * later ones see that enough others are announced. */
#define ANNOUNCE_JITTER_MS 8000
/* Instances with slower links wait longer, by a part of the jitter: when all
 * start together, the announced ones send the list to all others. */
#define FAST_LINK_MBPS 100
#define SLOW_LINK_DELAY_MS (ANNOUNCE_JITTER_MS / 2)

/* Seeds announce themselves first: they are in the settings of all instances.
 */
#define SEED_JITTER_MS 500

/* Limit of consecutive redirects: leaders may briefly follow each other during
 * a change.  With 32 follower places, a tree of three levels holds 32,768
 * instances. */
#define REDIRECTS_MAX 8

/* Leaders that follow the store.  Two, so that leaders that check with the one
 * detect that the other is cut off or refused by the store. */
#define WATCHERS 2
/* Time for which a leader follows the store after its watcher has failed. */
#define DIRECT_WATCH_MS 6000

/* Period of the checks with peers other than the followed one: short enough
 * that an unanswered check and a second one fit in the time limit of a change.
 */
#define CHECK_PERIOD_MS 700
/* Period below a relay, which checks more often itself: otherwise all
 * instances of the data centre would check with the announced ones each time.
 */
#define CHECK_PERIOD_RELAYED_MS (8 * CHECK_PERIOD_MS)

void
sources_init(sources_t *s, const addr_t *self, const char *data_centre,
             uint64_t seed)
{
    *s = (sources_t){.self = *self, .rng = {.seed = seed}};
    strncpy(s->data_centre, data_centre, sizeof(s->data_centre) - 1);
}

static source_peer_t *
find(sources_t *s, const addr_t *a)
{
    for (uint32_t i = 0; i < s->n; i++) {
        if (addr_eq(&s->peer[i].addr, a)) {
            return &s->peer[i];
        }
    }
    return NULL;
}

static bool
is_local(const sources_t *s, const source_peer_t *p)
{
    return strcmp(p->data_centre, s->data_centre) == 0;
}

static uint32_t
count_local(const sources_t *s)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < s->n; i++) {
        n += is_local(s, &s->peer[i]);
    }
    return n;
}

void
sources_add(sources_t *s, const addr_t *a, const char *data_centre)
{
    source_peer_t *p = find(s, a);

    if (addr_eq(a, &s->self)) {
        s->announced = s->announced || data_centre[0] != '\0';
        s->seed = s->seed || data_centre[0] == '\0';
        return;
    }
    if (strcmp(data_centre, s->data_centre) == 0 && count_local(s) == 0) {
        s->follows_relay = false; /* the relay is in another data centre */
    }
    if (p == NULL) { /* a full table: replace a random entry */
        p = s->n < SOURCE_PEERS_MAX
                ? &s->peer[s->n++]
                : &s->peer[rng_below(&s->rng, SOURCE_PEERS_MAX)];
        *p = (source_peer_t){.addr = *a};
    }
    p->seed = p->seed || data_centre[0] == '\0';
    if (data_centre[0] != '\0') {
        strncpy(p->data_centre, data_centre, sizeof(p->data_centre) - 1);
    }
}

void
sources_remove(sources_t *s, const addr_t *a)
{
    source_peer_t *p = find(s, a);

    if (addr_eq(a, &s->self)) {
        s->announced = false;
    }
    if (p != NULL && p->seed) {
        p->data_centre[0] = '\0';
    }
    else if (p != NULL) {
        *p = s->peer[--s->n];
    }
}

static uint64_t
rank(const addr_t *a)
{
    return hash64(a->ip, sizeof(a->ip), a->port);
}

/* Returns the announced instance of lowest rank of this data centre, except
 * those in backoff; NULL: this instance, or none. */
static const source_peer_t *
local_leader(const sources_t *s, ms_t now)
{
    const source_peer_t *first = NULL;
    uint64_t lowest = s->announced ? rank(&s->self) : UINT64_MAX;

    for (uint32_t i = 0; i < s->n; i++) {
        const source_peer_t *p = &s->peer[i];
        if (is_local(s, p) && now >= p->backoff_until &&
            rank(&p->addr) < lowest) {
            lowest = rank(&p->addr);
            first = p;
        }
    }
    return first;
}

/* True when P has the lowest rank of its data centre, except those in backoff:
 * the other instances there get their data from P. */
static bool
is_leader(const sources_t *s, ms_t now, const source_peer_t *p)
{
    for (uint32_t i = 0; i < s->n; i++) {
        const source_peer_t *q = &s->peer[i];
        if (strcmp(q->data_centre, p->data_centre) == 0 &&
            now >= q->backoff_until && rank(&q->addr) < rank(&p->addr)) {
            return false;
        }
    }
    return true;
}

static bool
is_remote_leader(const sources_t *s, ms_t now, const source_peer_t *p)
{
    return p->data_centre[0] != '\0' && !is_local(s, p) &&
           now >= p->backoff_until && is_leader(s, now, p);
}

uint32_t
sources_remote_leaders(const sources_t *s, ms_t now,
                       const source_peer_t **leader, uint32_t max)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < s->n && n < max; i++) {
        if (is_remote_leader(s, now, &s->peer[i])) {
            leader[n++] = &s->peer[i];
        }
    }
    return n;
}

/* Finds the other data centres' leaders of lowest rank; returns the number. */
static uint32_t
find_watchers(const sources_t *s, ms_t now,
              const source_peer_t *watcher[WATCHERS])
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < s->n; i++) {
        const source_peer_t *p = &s->peer[i];
        uint32_t at = n;
        if (!is_remote_leader(s, now, p)) {
            continue;
        }
        while (at > 0 && rank(&p->addr) < rank(&watcher[at - 1]->addr)) {
            at--;
        }
        if (at == WATCHERS) {
            continue;
        }
        n += n < WATCHERS;
        for (uint32_t k = n - 1; k > at; k--) {
            watcher[k] = watcher[k - 1];
        }
        watcher[at] = p;
    }
    return n;
}

/* Returns the watcher that this instance follows, as a leader or because its
 * data centre has no announced instance; NULL: none. */
static const source_peer_t *
followed_watcher(const sources_t *s, ms_t now)
{
    const source_peer_t *watcher[WATCHERS];
    uint32_t n = find_watchers(s, now, watcher);

    if (!s->announced) {
        return n > 0 && count_local(s) == 0 ? watcher[0] : NULL;
    }
    if (local_leader(s, now) != NULL || n < WATCHERS ||
        rank(&s->self) < rank(&watcher[WATCHERS - 1]->addr)) {
        return NULL;
    }
    return watcher[rank(&s->self) % WATCHERS];
}

void
sources_failed(sources_t *s, ms_t now, const addr_t *a)
{
    const source_peer_t *watcher = followed_watcher(s, now);
    source_peer_t *p = find(s, a);

    if (watcher != NULL && addr_eq(a, &watcher->addr)) {
        s->direct_until = now + DIRECT_WATCH_MS;
    }
    if (s->follows_relay && addr_eq(a, &s->relay.addr)) {
        s->follows_relay = false;
    }
    if (p != NULL) {
        p->backoff_ms =
            p->backoff_ms == 0 ? FAILURE_BACKOFF_MIN_MS : 2 * p->backoff_ms;
        if (p->backoff_ms > FAILURE_BACKOFF_MAX_MS) {
            p->backoff_ms = FAILURE_BACKOFF_MAX_MS;
        }
        p->backoff_until = now + p->backoff_ms;
    }
}

void
sources_answered(sources_t *s, const addr_t *a)
{
    source_peer_t *p = find(s, a);

    s->redirects = 0;
    if (p != NULL) {
        p->backoff_ms = 0;
        p->backoff_until = 0;
    }
}

void
sources_report_result(sources_t *s, ms_t now, const addr_t *a,
                      source_result_t result)
{
    switch (result) {
    case SOURCE_ANSWERED:
        sources_answered(s, a);
        return;
    case SOURCE_STARTING:
        return; /* no backoff: it may be the first to have the data */
    case SOURCE_FAILED:
        sources_failed(s, now, a);
        return;
    }
}

const source_peer_t *
sources_local_leader(const sources_t *s, ms_t now)
{
    return local_leader(s, now);
}

const source_peer_t *
sources_followed(const sources_t *s, ms_t now)
{
    const source_peer_t *p = local_leader(s, now);

    if (p == NULL && now >= s->direct_until) {
        p = followed_watcher(s, now);
    }
    /* A relay of before this instance led its data centre may follow it. */
    return p != NULL && s->follows_relay && sources_needs_place(s, now)
               ? &s->relay
               : p;
}

uint32_t
sources_local_ranks(const sources_t *s, uint64_t *self, uint64_t *id,
                    uint32_t max)
{
    uint32_t n = 0;

    *self = rank(&s->self);
    if (s->announced && n < max) {
        id[n++] = *self;
    }
    for (uint32_t i = 0; i < s->n && n < max; i++) {
        if (is_local(s, &s->peer[i])) {
            id[n++] = rank(&s->peer[i].addr);
        }
    }
    return n;
}

bool
sources_needs_place(const sources_t *s, ms_t now)
{
    return !s->announced || local_leader(s, now) != NULL;
}

int
sources_redirected(sources_t *s, const addr_t *to)
{
    s->follows_relay =
        ++s->redirects <= REDIRECTS_MAX && !addr_eq(to, &s->self);
    if (!s->follows_relay) {
        s->redirects = 0;
        return -ELOOP;
    }
    s->relay = (source_peer_t){.addr = *to};
    strcpy(s->relay.data_centre, s->data_centre);
    return 0;
}

ms_t
sources_check_period_ms(const sources_t *s)
{
    return s->follows_relay ? CHECK_PERIOD_RELAYED_MS : CHECK_PERIOD_MS;
}

typedef enum { ANY, NEIGHBOUR, SEED, REMOTE_LEADER } source_kind_t;

static bool
is_kind(const sources_t *s, ms_t now, const source_peer_t *p,
        source_kind_t kind)
{
    switch (kind) {
    case ANY:
        return true;
    case NEIGHBOUR:
        return is_local(s, p);
    case SEED:
        return p->seed;
    case REMOTE_LEADER:
        return is_remote_leader(s, now, p);
    }
    return false;
}

/* Returns a random peer of that kind, not EXCEPT and not in backoff; NULL:
 * none. */
static const source_peer_t *
random_peer(sources_t *s, ms_t now, source_kind_t kind,
            const source_peer_t *except)
{
    const source_peer_t *chosen = NULL;
    uint32_t n = 0;

    for (uint32_t i = 0; i < s->n; i++) {
        const source_peer_t *p = &s->peer[i];
        if (p == except || now < p->backoff_until ||
            !is_kind(s, now, p, kind)) {
            continue;
        }
        if (rng_below(&s->rng, ++n) == 0) { /* reservoir sampling, size 1 */
            chosen = p;
        }
    }
    return chosen;
}

/* Returns the watcher with which a leader checks, other than the followed one;
 * NULL: this instance is no leader, or there is none. */
static const source_peer_t *
other_watcher(const sources_t *s, ms_t now)
{
    const source_peer_t *watcher[WATCHERS];
    const source_peer_t *followed = followed_watcher(s, now);
    uint32_t n = find_watchers(s, now, watcher);

    if (!s->announced || local_leader(s, now) != NULL || n == 0) {
        return NULL;
    }
    return watcher[0] != followed ? watcher[0] : n > 1 ? watcher[1] : NULL;
}

const source_peer_t *
sources_check_peer(sources_t *s, ms_t now)
{
    const source_peer_t *leader = local_leader(s, now);
    source_kind_t first = s->announced ? REMOTE_LEADER : NEIGHBOUR;
    source_kind_t second = s->announced ? NEIGHBOUR : REMOTE_LEADER;
    const source_peer_t *p = other_watcher(s, now);

    if (p == NULL) {
        p = random_peer(s, now, first, leader);
    }
    if (p == NULL) {
        p = random_peer(s, now, second, leader);
    }
    if (p == NULL) {
        p = random_peer(s, now, ANY, leader);
    }
    return p != NULL ? p : leader;
}

const source_peer_t *
sources_bootstrap_peer(sources_t *s, ms_t now)
{
    const source_peer_t *local = random_peer(s, now, NEIGHBOUR, NULL);
    const source_peer_t *seed = random_peer(s, now, SEED, NULL);

    if (s->announced && seed != NULL) {
        return seed;
    }
    if (local != NULL && seed != NULL) {
        return rng_below(&s->rng, REQUESTS_PER_SEED_REQUEST) > 0 ? local
                                                                 : seed;
    }
    return local != NULL  ? local
           : seed != NULL ? seed
                          : random_peer(s, now, ANY, NULL);
}

ms_t
sources_resync_delay_ms(sources_t *s)
{
    return s->seed || s->announced || s->n == 0
               ? 0
               : RESYNC_DELAY_MIN_MS + rng_below(&s->rng, RESYNC_JITTER_MS);
}

ms_t
sources_long_list_delay_ms(sources_t *s)
{
    return s->seed || s->n == 0 ? 0
                                : LONG_LIST_DELAY_MIN_MS +
                                      rng_below(&s->rng, LONG_LIST_JITTER_MS);
}

ms_t
sources_wait_ms(ms_t begun, ms_t progress_at, ms_t delay_ms, ms_t now)
{
    ms_t until = (progress_at > begun ? progress_at : begun) + delay_ms;

    if (delay_ms == 0) {
        return 0;
    }
    if (until > begun + RESYNC_WAIT_MAX_MS) {
        until = begun + RESYNC_WAIT_MAX_MS;
    }
    return until > now ? until - now : 0;
}

bool
sources_should_announce(const sources_t *s)
{
    return !s->announced && count_local(s) < SOURCE_ANNOUNCED;
}

ms_t
sources_announce_delay_ms(sources_t *s, double link_mbps)
{
    bool slow = link_mbps > 0 && link_mbps < FAST_LINK_MBPS;

    if (s->seed) {
        return rng_below(&s->rng, SEED_JITTER_MS);
    }
    return (slow ? SLOW_LINK_DELAY_MS : 0) +
           rng_below(&s->rng, ANNOUNCE_JITTER_MS - SLOW_LINK_DELAY_MS);
}
