/* Upstreams: identity probes and leases, load, ejection, cancellations. */
#include "core/state.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROBE_TAG 'P'
#define PROBE_RETRY_MS 300     /* after an unanswered probe */
#define PROBE_TIMEOUT_MS 250   /* a later answer counts as a miss */
#define MISSES_INELIGIBLE 3    /* consecutive, until no new work is sent */
#define MISSES_LOST 8          /* consecutive, until its flows are given up */
#define REPORT_MAX_AGE_MS 4000 /* an older load report is ignored */
#define FROZEN_REPORTS 4       /* frozen: unchanged in so many reports ... */
#define FROZEN_FINISHED 4      /* ... while so many requests finished */
#define STUCK_REPORTS 8        /* frozen: in so many, whatever finished */
#define SLOW_START_MS 8000     /* from the start until the full share */
#define SHEDS_EJECT 3          /* consecutive sheds before ejection */
#define EJECT_MS 2000
#define LOAD_UNIT 1000

up_ix_t
up_find(core_t *c, const addr_t *a)
{
    return up_find_id(c, addr_id(a));
}

up_ix_t
up_find_id(const core_t *c, uint64_t id)
{
    uint32_t i = map_get(&c->up_map, id);

    return i == MAP_NONE ? UP_NONE : (up_ix_t)i;
}

int
ups_reserve(core_t *c, size_t more)
{
    up_t *ups = array_grow(c->ups, &c->cap_ups, c->n_ups + more, sizeof(*ups));

    if (ups == NULL) {
        return -ENOMEM;
    }
    c->ups = ups;
    return map_reserve(&c->up_map, more);
}

up_ix_t
up_add(core_t *c, const conf_upstream_t *conf, service_ix_t service)
{
    up_t *u = &c->ups[c->n_ups];

    *u = (up_t){.used = true,
                .service = service,
                .conf = *conf,
                .epoch_since = INT64_MIN / 2,
                .lease_until = INT64_MIN / 2,
                .unlisted_at = INT64_MIN / 2,
                .hinted_until = INT64_MIN / 2,
                .eject_until = INT64_MIN / 2,
                .probe_next = c->now + rng_below(&c->rng, 100)};
    map_put(&c->up_map, conf->id, c->n_ups);
    return (up_ix_t)c->n_ups++;
}

bool
up_lease_valid(const core_t *c, up_ix_t u)
{
    const up_t *up = &c->ups[u];

    return u != UP_NONE && up->used && up->verified && !up->wrong_service &&
           c->now < up->lease_until;
}

bool
up_lost(const core_t *c, up_ix_t u)
{
    const up_t *up = &c->ups[u];

    return u == UP_NONE || !up->used || up->wrong_service ||
           up->probe_misses >= MISSES_LOST;
}

static bool
ejected(const core_t *c, up_ix_t u)
{
    return c->now < c->ups[u].eject_until;
}

bool
up_eligible(const core_t *c, up_ix_t u)
{
    const up_t *up;

    if (u == UP_NONE) {
        return false;
    }
    up = &c->ups[u];
    return up->listed && !up->draining && !up->conf_draining &&
           up->probe_misses < MISSES_INELIGIBLE && !ejected(c, u) &&
           up_lease_valid(c, u);
}

/* True when the load report is recent and not frozen.  A report that stays
 * the same while requests come and go is a stuck gauge.  A gauge stuck low
 * would draw all requests to its upstream.  A gauge stuck high would keep
 * all requests away, and then none finishes there: so a value unchanged for
 * long is ignored too. */
static bool
report_usable(const core_t *c, const up_t *up)
{
    bool frozen = (up->same_reports >= FROZEN_REPORTS &&
                   up->finished_since_change >= FROZEN_FINISHED) ||
                  up->same_reports >= STUCK_REPORTS;

    return c->now - up->probe_sent < REPORT_MAX_AGE_MS && !frozen;
}

/* Requests in progress at UP: those of this owner, plus the excess of the
 * report over this owner's requests at the time of the probe, which are
 * those of others. */
static uint32_t
requests_at(const core_t *c, const up_t *up)
{
    uint32_t others = 0;

    if (report_usable(c, up) && up->reported > up->in_flight_at_probe) {
        others = up->reported - up->in_flight_at_probe;
    }
    return up->in_flight + up->uploads + others;
}

/* Slow start: a cold upstream looks idle and would attract all new work.
 * Its slots count for a quarter at first, and for more as it warms up. */
static uint32_t
warm_slots(const core_t *c, const up_t *up)
{
    uint32_t full = up->conf.slots * up->conf.weight * LOAD_UNIT / 4;
    ms_t age = c->now - up->epoch_since;

    if (age >= SLOW_START_MS) {
        return 4 * full;
    }
    return full + (uint32_t)(3 * full * age / SLOW_START_MS);
}

uint32_t
up_load(const core_t *c, up_ix_t u)
{
    const up_t *up = &c->ups[u];
    uint64_t busy = requests_at(c, up);

    return (uint32_t)((busy + 1) * LOAD_UNIT * LOAD_UNIT / warm_slots(c, up));
}

bool
up_room(const core_t *c, up_ix_t u, class_t cls)
{
    const up_t *up = &c->ups[u];
    const conf_service_t *s = &c->services[up->service].conf;
    uint32_t reserved = s->urgent_slots < up->conf.slots ? s->urgent_slots
                                                         : up->conf.slots - 1;
    uint32_t busy = requests_at(c, up);

    switch (cls) {
    case CLASS_URGENT:
        return busy < up->conf.slots + s->queue;
    case CLASS_READ:
        return busy < up->conf.slots + s->queue / 2;
    case CLASS_BULK:
        return busy < up->conf.slots - reserved;
    case CLASS_FEED:
    case CLASS_OPAQUE:
    case CLASS_COUNT:
        break;
    }
    return up->flows < up->conf.connections;
}

up_ix_t
up_next(core_t *c, service_t *s, uint64_t key, up_ix_t not_)
{
    uint64_t bucket = key & (s->n_buckets - 1);
    up_ix_t best = UP_NONE;
    uint64_t best_score = 0;

    for (uint32_t i = 0; i < s->n_ups; i++) {
        up_ix_t u = s->ups[i];
        uint64_t score = hash_mix(c->ups[u].conf.id, bucket);

        if (u != not_ && up_eligible(c, u) &&
            (best == UP_NONE || score > best_score)) {
            best = u;
            best_score = score;
        }
    }
    return best;
}

up_ix_t
up_least_loaded(const core_t *c, const up_ix_t *list, uint32_t n,
                up_ix_t first, class_t cls)
{
    up_ix_t best = UP_NONE;
    uint32_t best_load = UINT32_MAX;

    for (uint32_t i = 0; i < n; i++) {
        up_ix_t u = list[i];
        uint32_t load;

        if (!up_eligible(c, u) || !up_room(c, u, cls)) {
            continue;
        }
        load = up_load(c, u);
        if (load < best_load || (load == best_load && u == first)) {
            best = u;
            best_load = load;
        }
    }
    return best;
}

/* ---- Probes and cancellations ---- */

static void
send_own_request(core_t *c, up_ix_t u, coap_msg_t *m)
{
    uint8_t buf[256];
    int n;

    m->mid = ++c->mid;
    strcpy(m->path[0], ".well-known");
    n = coap_encode(buf, sizeof(buf), m);
    if (n > 0) {
        send_upstream(c, u, &c->p.own_addr, true, buf, (size_t)n);
    }
}

static void
probe(core_t *c, up_ix_t u)
{
    up_t *up = &c->ups[u];
    coap_msg_t m = COAP_MSG_INIT;

    up->probe_seq++;
    m.type = COAP_T_NON;
    m.code = COAP_GET;
    m.token_len = 5;
    m.token[0] = PROBE_TAG;
    memcpy(m.token + 1, &u, 2);
    memcpy(m.token + 3, &up->probe_seq, 2);
    m.path_n = 2;
    strcpy(m.path[1], "load");
    up->probe_sent = c->now;
    up->in_flight_at_probe = up->in_flight;
    up->probe_next = c->now + PROBE_TIMEOUT_MS;
    if (up->probe_misses < UINT8_MAX) {
        up->probe_misses++; /* reset when the answer arrives */
    }
    c->services[up->service].stats.probes++;
    send_own_request(c, u, &m);
}

/* An instance probes only upstreams that it may select or send to: probing
 * all 120,000 would take all of its time.  A recently removed upstream is
 * still probed, since copies of requests may have to be cancelled there. */
static bool
probe_needed(const core_t *c, const up_t *up)
{
    bool selectable = up->listed || c->now - up->unlisted_at < OWNER_SETTLE_MS;

    return (selectable && c->services[up->service].may_own) || up->flows > 0 ||
           up->uploads > 0 || up->in_flight > 0 || c->now < up->hinted_until;
}

void
up_probe_tick(core_t *c)
{
    for (uint32_t i = 0; i < c->n_ups; i++) {
        up_t *up = &c->ups[i];
        bool needed = probe_needed(c, up);

        if (up->used && needed && c->now >= up->probe_next) {
            probe(c, (up_ix_t)i);
        }
    }
}

static void
update_report(up_t *up, uint32_t reported)
{
    if (reported == up->reported) {
        up->same_reports++;
    }
    else {
        up->same_reports = 0;
        up->finished_since_change = 0;
    }
    up->reported = reported;
}

/* Returns true for a new epoch: the upstream has restarted and lost its
 * feeds, its uploads and its record of duplicates. */
static bool
update_epoch(core_t *c, up_ix_t u, uint32_t epoch, json_int_t age_ms)
{
    up_t *up = &c->ups[u];
    bool restarted = up->epoch != 0 && up->epoch != epoch;

    if (up->epoch == epoch) {
        return false;
    }
    up->epoch = epoch;
    up->epoch_since = restarted ? c->now : INT64_MIN / 2;
    if (age_ms >= 0) {
        up->epoch_since = c->now - age_ms;
    }
    return restarted;
}

/* Returns true when the upstream has restarted. */
static bool
handle_load_report(core_t *c, up_ix_t u, const json_t *j)
{
    up_t *up = &c->ups[u];
    const json_t *age = json_object_get(j, "age_ms");
    const char *service = json_string_value(json_object_get(j, "service"));
    bool restarted;
    addr_t a;

    if (service == NULL || addr_parse(&a, service) < 0) {
        return false;
    }
    up->wrong_service = addr_id(&a) != c->services[up->service].id;
    if (up->wrong_service) {
        c->services[up->service].stats.misdirected++;
        return false;
    }
    restarted = update_epoch(
        c, u, (uint32_t)json_integer_value(json_object_get(j, "epoch")),
        age != NULL ? json_integer_value(age) : -1);
    update_report(
        up, (uint32_t)(json_integer_value(json_object_get(j, "busy")) +
                       json_integer_value(json_object_get(j, "queued"))));
    up->draining = json_is_true(json_object_get(j, "draining"));
    up->verified = true;
    up->probe_misses = 0;
    /* From the time of the probe: a delayed answer shows a past state, not
     * the current one. */
    up->lease_until = up->probe_sent + IDENTITY_LEASE_MS;
    up->probe_next = up->probe_sent + IDENTITY_PROBE_MS;
    return restarted;
}

bool
up_from_probe(core_t *c, up_ix_t u, const coap_msg_t *m)
{
    up_t *up = &c->ups[u];
    json_t *j = json_loadb((const char *)m->payload, m->payload_len, 0, NULL);
    bool restarted = false;

    if (m->code >> 5 != 2 || j == NULL) {
        /* Rejected: the address serves another service now. */
        up->wrong_service |= m->code >> 5 == 4 && m->token[0] == PROBE_TAG;
    }
    else if (m->token_len == 5 && m->token[0] == PROBE_TAG &&
             memcmp(m->token + 3, &up->probe_seq, 2) == 0) {
        restarted = handle_load_report(c, u, j);
    }
    json_decref(j);
    return restarted;
}

/* Sends U a cancellation of the request of EX. */
void
up_cancel(core_t *c, const ex_t *ex, up_ix_t u)
{
    coap_msg_t m = COAP_MSG_INIT;
    uint32_t index = (uint32_t)(ex - c->exs);
    char client[ADDR_STRLEN];

    m.type = COAP_T_NON;
    m.code = COAP_DELETE;
    m.token_len = 8;
    m.token[0] = CANCEL_TAG;
    memcpy(m.token + 1, &index, 4);
    memcpy(m.token + 5, &ex->mid, 2);
    m.token[7] = ex->generation;
    m.path_n = 2;
    strcpy(m.path[1], "exchange");
    snprintf(m.query, sizeof(m.query), "c=%s&m=%u&o=%016llx",
             addr_text(&ex->client, client), ex->mid,
             (unsigned long long)c->p.self);
    send_own_request(c, u, &m);
}

/* ---- Ejection ---- */

/* At most a third of a service's upstreams are ejected at once: when all of
 * them shed, the service is full, and ejecting them would refuse every
 * request. */
static bool
may_eject(const core_t *c, const service_t *s)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < s->n_ups; i++) {
        n += ejected(c, s->ups[i]);
    }
    return 3 * (n + 1) <= s->n_ups;
}

void
up_shed(core_t *c, up_ix_t u)
{
    up_t *up = &c->ups[u];

    up->sheds++;
    if (up->sheds >= SHEDS_EJECT && may_eject(c, &c->services[up->service])) {
        up->eject_until = c->now + EJECT_MS;
        up->sheds = 0;
    }
}
