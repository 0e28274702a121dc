/* Selection of the upstream for a new flow.
 *
 * An instance sees only the flows that reach it, so its counts cover a part of
 * an upstream's load.  They are still a useful signal: a slow or overloaded
 * upstream holds its requests longer, so more of them are in flight, also
 * here. */
#include "flow/state.h"

#include <stdlib.h>

/* Load of an open flow, in requests in flight. */
#define FLOW_LOAD (1.0 / 16)
/* Load factor of an upstream in slow start. */
#define WARM_UP_FACTOR 2.0
/* Largest load factor of a slow upstream: it still gets a few flows, which
 * measure its latency. */
#define SLOW_FACTOR_MAX 8.0
/* An upstream with latency below this share of the service's median is
 * considered to fail requests fast, and gets this load factor. */
#define FAST_FAIL_SHARE 0.4
#define FAST_FAIL_PENALTY 4.0
/* Resolution of a draw by weight. */
#define DRAW_STEPS 1000000
/* Draws by weight before the best of all is taken. */
#define DRAWS_MAX 256
/* Age at which a latency average expires. */
#define LATENCY_MAX_AGE_MS 3000
/* Local in-flight requests per slot from which remote upstreams are eligible.
 */
#define SPILL_LOAD_MIN 0.75
/* Required difference in in-flight requests per slot in favour of a remote
 * upstream: flows between data centres are lost when the data centres are
 * partitioned. */
#define SPILL_LOAD_DIFF 0.5
/* Above SCAN_MAX upstreams, a random sample of a service is compared. */
#define SCAN_MAX 24
#define SAMPLE_SIZE 12
/* Grace period of an upstream whose announcement is gone: announcements also
 * lapse while the store is unavailable, and are back within two seconds. */
#define UNLISTED_GRACE_MS 2000

/* Upper bound of upstreams in the median response time of a service: those
 * that responded last. */
#define MEDIAN_MAX 64

/* Preference of an upstream; lower is better. */
typedef enum {
    TIER_GOOD,
    TIER_UNLISTED, /* announcement gone, within the grace period */
    TIER_SUSPECT,
    TIER_NONE /* not eligible */
} tier_t;

typedef struct {
    upstream_t *up; /* NULL: none */
    tier_t tier;
    double cost;
} pick_t;

/* True if the data centre of U is cut off from this one, by shared load. */
static bool
is_cut_off(const flowset_t *f, const upstream_t *u)
{
    return u->service->shared != NULL && u->data_centre != NO_DATA_CENTRE &&
           f->data_centre_of[u->data_centre].cut;
}

/* True if an operator keeps this data centre's flows away from U's. */
static bool
is_closed(const upstream_t *u)
{
    return u->data_centre != NO_DATA_CENTRE &&
           (u->service->closed >> u->data_centre & 1) != 0;
}

/* True if U has little weight by the responses that all instances saw.  It is
 * drawn by that weight (draw_outlier()), and else used only if there is no
 * other. */
static bool
is_outlier(const upstream_t *u, ms_t now)
{
    return !list_empty(&u->outlier) &&
           place_health_weight(&u->health, now, true) < 1;
}

static tier_t
tier_of(const flowset_t *f, const upstream_t *u, ms_t now,
        const upstream_t *exclude)
{
    if (u->reach == REACH_DEAD || u->reach == REACH_UNREACHABLE ||
        u->refused > 0 || u->request_weight <= 0 || is_closed(u)) {
        return TIER_NONE;
    }
    if (!u->listed && now - u->unlisted_at >= UNLISTED_GRACE_MS) {
        return TIER_NONE;
    }
    if (!warm_up_admits(f, now, u)) {
        return TIER_NONE;
    }
    if (u->reach == REACH_SUSPECT || u == exclude || is_cut_off(f, u) ||
        now < u->down_until || is_outlier(u, now)) {
        return TIER_SUSPECT;
    }
    return u->listed ? TIER_GOOD : TIER_UNLISTED;
}

/* Load factor by latency.  An upstream that fails requests fast looks idle and
 * would attract most new flows. */
static double
latency_penalty(const upstream_t *u, ms_t now)
{
    double x;

    if (u->answer_ms == 0 || u->service->answer_ms == 0 ||
        now - u->answered_at > LATENCY_MAX_AGE_MS) {
        return 1;
    }
    x = u->answer_ms / u->service->answer_ms;
    if (x < FAST_FAIL_SHARE) {
        return FAST_FAIL_PENALTY;
    }
    return x < 1 ? 1 : x > SLOW_FACTOR_MAX ? SLOW_FACTOR_MAX : x;
}

static double
load_per_slot(const upstream_t *u)
{
    return (double)u->busy / u->a.slots;
}

static double
cost_of(const upstream_t *u, ms_t now)
{
    double load = 1 + u->busy + u->open * FLOW_LOAD + u->unanswered;
    double factor = now < u->warm_up_until ? WARM_UP_FACTOR : 1;
    bool judged_by_all =
        u->service->shared != NULL && u->service->shared->admit.known;

    /* A few responses seen here say less than those seen by all. */
    return load / u->a.slots * factor *
           (judged_by_all ? 1 : latency_penalty(u, now));
}

static bool
is_better(const pick_t *a, const pick_t *b)
{
    return a->tier != b->tier ? a->tier < b->tier : a->cost < b->cost;
}

/* Candidates for a new flow. */
typedef struct {
    upstream_t **up;
    uint32_t n;
    const upstream_t *exclude; /* used only if there is no other, or NULL */
    bool idempotent;           /* the flow's requests are */
} candidates_t;

static candidates_t
candidates_of(const group_t *g, const upstream_t *exclude, bool idempotent)
{
    return (candidates_t){g->up, g->n, exclude, idempotent};
}

/* An upstream of a lower weight is passed over by chance. */
static bool
is_drawn(flowset_t *f, ms_t now, const upstream_t *u, bool idempotent)
{
    double weight;

    if (u->health.updated_at == 0 || is_outlier(u, now)) {
        return true; /* outliers have a tier of their own */
    }
    weight = place_health_weight(&u->health, now, idempotent);
    return weight >= 1 ||
           rng_below(&f->rng, DRAW_STEPS) < (uint32_t)(weight * DRAW_STEPS);
}

/* Returns the best of N of the candidates, consecutive or drawn at random. */
static pick_t
best_among(flowset_t *f, ms_t now, const candidates_t *c, uint32_t n,
           bool sampled)
{
    pick_t best = {.tier = TIER_NONE};
    uint32_t at = n > 0 ? rng_below(&f->rng, c->n) : 0;

    for (uint32_t i = 0; i < n; i++) {
        upstream_t *u = c->up[at];
        pick_t p = {.up = u, .tier = tier_of(f, u, now, c->exclude)};
        p.cost = cost_of(u, now);
        if (p.tier != TIER_NONE && (best.up == NULL || is_better(&p, &best)) &&
            is_drawn(f, now, u, c->idempotent)) {
            best = p;
        }
        at = sampled ? rng_below(&f->rng, c->n) : (at + 1) % c->n;
    }
    return best;
}

/* Draws one of the candidates by the weights of operators' requests.  Shares
 * of new flows are asked for, so that loads are not compared. */
static pick_t
draw_by_weight(flowset_t *f, ms_t now, const candidates_t *c, double max)
{
    for (uint32_t i = 0; i < DRAWS_MAX && c->n > 0; i++) {
        upstream_t *u = c->up[rng_below(&f->rng, c->n)];
        if (tier_of(f, u, now, c->exclude) == TIER_GOOD &&
            rng_below(&f->rng, DRAW_STEPS) <
                u->request_weight / max * DRAW_STEPS &&
            is_drawn(f, now, u, c->idempotent)) {
            return (pick_t){.up = u, .tier = TIER_GOOD};
        }
    }
    return (pick_t){.tier = TIER_NONE};
}

/* Returns the best of the candidates.  The scan starts at a random place and
 * ties go to the first one found, so that instances with the same view don't
 * all select the same upstream. */
static pick_t
best_of(flowset_t *f, ms_t now, const candidates_t *c)
{
    pick_t best = {.tier = TIER_NONE};
    const service_t *s = c->n > 0 ? c->up[0]->service : NULL;

    if (s != NULL && s->requested_share > 0) {
        best = draw_by_weight(f, now, c, s->request_weight_max);
    }
    else if (c->n > SCAN_MAX) {
        best = best_among(f, now, c, SAMPLE_SIZE, true);
    }
    /* The sample may contain no eligible upstream although there are some. */
    return best.up != NULL ? best : best_among(f, now, c, c->n, false);
}

/* Prefers the instance's own data centre: flows between data centres are lost
 * when the data centres are partitioned.  A remote upstream is selected only
 * if the local one is missing, suspect, unlisted or at SPILL_LOAD_MIN, and the
 * remote one is of a better tier, or of the same and less loaded by
 * SPILL_LOAD_DIFF. */
upstream_t *
choose_in_service(flowset_t *f, ms_t now, const service_t *s,
                  const upstream_t *exclude, bool idempotent)
{
    candidates_t here = candidates_of(&s->local, exclude, idempotent);
    candidates_t elsewhere = candidates_of(&s->remote, exclude, idempotent);
    pick_t local = best_of(f, now, &here);
    pick_t remote;

    if (local.up != NULL && local.tier == TIER_GOOD &&
        load_per_slot(local.up) < SPILL_LOAD_MIN) {
        return local.up;
    }
    remote = best_of(f, now, &elsewhere);
    if (local.up == NULL || remote.up == NULL) {
        return local.up != NULL ? local.up : remote.up;
    }
    if (local.tier != remote.tier) {
        return local.tier < remote.tier ? local.up : remote.up;
    }
    return load_per_slot(remote.up) + SPILL_LOAD_DIFF <=
                   load_per_slot(local.up)
               ? remote.up
               : local.up;
}

/* Returns an outlier of POOL with the probability that its weight gives it,
 * else NULL.  The loads that this instance sees are not compared: an outlier
 * has few flows, and would win whenever it is a candidate. */
static upstream_t *
draw_outlier(flowset_t *f, ms_t now, const pool_t *pool, bool idempotent)
{
    double x, sum = 0;

    if (list_empty(&f->outliers) || pool->n == 0) {
        return NULL;
    }
    x = rng_below(&f->rng, DRAW_STEPS) * (double)pool->n / DRAW_STEPS;
    LIST_EACH (it, &f->outliers) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, outlier);
        if (u->pool_position >= pool->n || pool->up[u->pool_position] != u) {
            continue;
        }
        sum += place_health_weight(&u->health, now, idempotent);
        if (x < sum) {
            return u->reach == REACH_GOOD && u->listed && u->refused == 0 &&
                           u->request_weight > 0 && !is_closed(u) &&
                           !is_cut_off(f, u) && now >= u->down_until &&
                           warm_up_admits(f, now, u)
                       ? u
                       : NULL;
        }
    }
    return NULL;
}

upstream_t *
choose_in_pool(flowset_t *f, ms_t now, const pool_t *pool,
               const upstream_t *exclude, bool idempotent)
{
    candidates_t c = {pool->up, pool->n, exclude, idempotent};
    upstream_t *outlier = draw_outlier(f, now, pool, idempotent);
    pick_t best;

    if (outlier != NULL && outlier != exclude) {
        return outlier;
    }
    best = best_of(f, now, &c);

    return best.tier == TIER_GOOD ? best.up : NULL;
}

/* Returns U if its group's limit admits the request, or else an upstream of
 * the other group if that limit does, or else none. */
static choice_t
within_limits(flowset_t *f, ms_t now, service_t *s, upstream_t *u,
              const flow_route_t *r)
{
    group_t *other = u->local ? &s->remote : &s->local;
    candidates_t c = candidates_of(other, NULL, r->idempotent);
    pick_t pick;

    if (limit_admits(&u->group->limit, now, r->priority)) {
        return (choice_t){.up = u};
    }
    pick = best_of(f, now, &c);
    if (pick.tier == TIER_GOOD &&
        limit_admits(&other->limit, now, r->priority)) {
        return (choice_t){.up = pick.up};
    }
    return (choice_t){.full = u->group, .service = s->name};
}

static int
cmp_double(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return (x > y) - (x < y);
}

void
choice_update_median(service_t *s, ms_t now)
{
    double ms[MEDIAN_MAX];
    size_t n = 0;

    for (link_t *it = s->answered.prev; it != &s->answered && n < MEDIAN_MAX;
         it = it->prev) {
        const upstream_t *u = CONTAINER_OF(it, upstream_t, answered);
        if (now - u->answered_at > LATENCY_MAX_AGE_MS) {
            break;
        }
        if (u->answer_ms > 0 && u->position != NOT_OFFERED) {
            ms[n++] = u->answer_ms;
        }
    }
    if (n == 0) {
        s->answer_ms = 0;
        return;
    }
    qsort(ms, n, sizeof(*ms), cmp_double);
    s->answer_ms = ms[n / 2];
}

/* Selects one of the route's targets at random, by weight. */
static const flow_target_t *
draw_target(flowset_t *f, const flow_route_t *r)
{
    const flow_target_t *t = &f->conf->targets[r->first_target];
    uint32_t sum = 0, x;

    for (uint32_t i = 0; i < r->n_targets; i++) {
        sum += t[i].weight;
    }
    if (sum == 0) {
        return NULL;
    }
    x = rng_below(&f->rng, sum);
    while (x >= t->weight) {
        x -= t->weight;
        t++;
    }
    return t;
}

/* Returns true if an upstream of S is in slow start and has reached this
 * instance's share of new flows. */
static bool
any_warm_up_refused(const flowset_t *f, const service_t *s, ms_t now)
{
    const group_t *groups[] = {&s->local, &s->remote};

    for (size_t k = 0; k < 2; k++) {
        for (uint32_t i = 0; i < groups[k]->n; i++) {
            if (!warm_up_admits(f, now, groups[k]->up[i])) {
                return true;
            }
        }
    }
    return false;
}

service_t *
choose_service(flowset_t *f, const flow_route_t *r)
{
    const flow_target_t *t = draw_target(f, r);

    return t != NULL ? service_named(f, t->service) : NULL;
}

choice_t
choose(flowset_t *f, ms_t now, service_t *s, const flow_route_t *r,
       const upstream_t *exclude, admit_mode_t admit)
{
    upstream_t *u = s != NULL
                        ? choose_in_service(f, now, s, exclude, r->idempotent)
                        : NULL;

    if (u == NULL) {
        return (choice_t){.evacuated = s != NULL && s->n_evacuated > 0,
                          .warm_up =
                              s != NULL && any_warm_up_refused(f, s, now)};
    }
    if (admit == ADMIT_ALL || r->goal_ms == 0) {
        return (choice_t){.up = u};
    }
    return within_limits(f, now, s, u, r);
}
