/* Selection of an upstream for a new flow by shared load.
 *
 * Loads: callers ask for more than all slots can run, so that admission
 * decides first (admit/); the callers of one data centre ask for more than its
 * slots can run, so that a part of their flows goes to others by a plan
 * (place/); and some upstreams are slow or fail, so that they get fewer.
 * Without recent sums the choice is that of one instance (choice.c). */
#include "flow/state.h"

/* Resolution of a limited share. */
#define LIMIT_STEPS 1000000

static bool
may_refuse(const flow_route_t *r, admit_mode_t mode)
{
    return mode == ADMIT_IN_GOAL && r->goal_ms > 0;
}

static uint64_t
caller_hash(const addr_t *caller)
{
    return hash64(caller->ip, sizeof(caller->ip), 0);
}

static flow_reason_t
reason_of(admit_verdict_t v)
{
    switch (v) {
    case ADMIT_REFUSED_CALLER:
        return FLOW_CALLER_SHARE;
    case ADMIT_REFUSED_RULE:
        return FLOW_HELD_DOWN;
    case ADMIT_REFUSED_LOAD:
    case ADMIT_UNKNOWN:
    case ADMIT_GRANTED:
        break;
    }
    return FLOW_OVERLOAD;
}

/* The data centre for a new flow.  A copy of an opening packet that went to
 * another data centre stays here: that one may be cut off. */
static uint32_t
next_data_centre(flowset_t *f, ms_t now, service_t *s,
                 const upstream_t *exclude)
{
    uint32_t dc;

    if (exclude != NULL && !exclude->local) {
        return OWN_DATA_CENTRE;
    }
    dc = place_plan_next(&s->shared->plan, now);
    return dc < f->n_data_centres && !f->data_centre_of[dc].cut
               ? dc
               : OWN_DATA_CENTRE;
}

/* Selects an upstream by the plan.  Where the planned data centre has none
 * that is good, any other will do. */
static upstream_t *
by_plan(flowset_t *f, ms_t now, service_t *s, const upstream_t *exclude,
        bool idempotent)
{
    const pool_t *pool =
        &s->shared->pool[next_data_centre(f, now, s, exclude)];
    upstream_t *u = choose_in_pool(f, now, pool, exclude, idempotent);

    return u != NULL ? u : choose_in_service(f, now, s, exclude, idempotent);
}

/* True if an operator's limit of route R refuses this flow. */
static bool
is_held_down(flowset_t *f, const flow_route_t *r, admit_mode_t mode)
{
    double limit;

    if (f->in_force == 0 || mode != ADMIT_IN_GOAL) {
        return false;
    }
    limit = requests_route_limit(&f->requests, f->wall_ms, r->name);
    return limit < 1 && rng_below(&f->rng, LIMIT_STEPS) >= limit * LIMIT_STEPS;
}

choice_t
spread(flowset_t *f, ms_t now, const flow_packet_t *p, const flow_route_t *r,
       const upstream_t *exclude, admit_mode_t mode)
{
    service_t *s = choose_service(f, r);
    admit_verdict_t verdict = ADMIT_GRANTED;
    choice_t c;

    if (is_held_down(f, r, mode)) {
        return (choice_t){.refused = FLOW_HELD_DOWN,
                          .service = s != NULL ? s->name : NULL};
    }
    if (s == NULL || s->shared == NULL) {
        return choose(f, now, s, r, exclude, mode);
    }
    if (may_refuse(r, mode)) {
        measure_opening(s, now, r->priority);
        verdict = admit_flow(&s->shared->admit, now, r->priority,
                             caller_hash(&p->caller));
    }
    switch (verdict) {
    case ADMIT_REFUSED_LOAD:
    case ADMIT_REFUSED_CALLER:
    case ADMIT_REFUSED_RULE:
        c = (choice_t){.refused = reason_of(verdict), .service = s->name};
        break;
    case ADMIT_UNKNOWN:
        c = choose(f, now, s, r, exclude, mode);
        break;
    case ADMIT_GRANTED:
        c = (choice_t){.up = by_plan(f, now, s, exclude, r->idempotent)};
        if (c.up == NULL) {
            c = choose(f, now, s, r, exclude, ADMIT_ALL);
        }
        break;
    }
    if (c.up == NULL && may_refuse(r, mode)) {
        measure_refusal(s, now, r->priority);
        f->stats.refused_by_priority[priority_class(r->priority)]++;
    }
    else if (c.up != NULL && !c.up->local) {
        measure_remote(s, now);
        f->stats.spilled++;
    }
    return c;
}
