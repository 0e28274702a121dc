/* Limits new flows at upstreams in slow start (warm-up).
 *
 * When an upstream has just started, or its data centre's evacuation ends,
 * hundreds of instances find it idle at once.  Its slow-start rate applies to
 * all of them together, but instances have no count of each other or of each
 * other's flows.  Only a few instances, those announced in the data centre
 * and known to all instances there, open flows at the upstream, each an equal
 * share; the others use warm upstreams.  The sum stays within the bound also
 * when instances are partitioned, because a share is never taken over by
 * another instance. */
#include "flow/state.h"

/* Period in which this instance opens its share of a second's new flows.  The
 * excess over 1000 ms is a margin for delay variation: opening packets sent
 * within a second may arrive within less. */
#define WINDOW_MS 1100
/* Share of the bound that is used.  An announcement reaches instances one
 * after the other: for a moment their lists differ, and the shares may add up
 * to more. */
#define SAFETY_FACTOR 0.8
/* Minimum number of shares, for the same reason. */
#define WARM_UP_SHARES_MIN 4

/* New flows a second that U may get from all instances; 0: unlimited. */
static double
max_rate(const flowset_t *f, const upstream_t *u)
{
    double per_s = u->service->warm_up_per_s;

    return per_s > 0 ? per_s * f->spec.warm_up_over + f->spec.warm_up_slack
                     : 0;
}

/* Rank of this instance among the warm-up instances at U by rendezvous
 * hashing; the number of warm-up instances if it is not one of them. */
static uint32_t
rank_of_self(const flowset_t *f, const upstream_t *u)
{
    uint64_t own = hash_mix(f->self, u->a.id);
    uint32_t rank = 0;
    bool listed = false;

    for (uint32_t i = 0; i < f->n_warm_up_instances; i++) {
        listed = listed || f->warm_up_instance[i] == f->self;
        rank += hash_mix(f->warm_up_instance[i], u->a.id) < own;
    }
    return listed ? rank : f->n_warm_up_instances;
}

/* Interval between new flows of this instance at U during slow start; 0:
 * unlimited; MS_NEVER: none allowed. */
static ms_t
spacing_of(const flowset_t *f, const upstream_t *u)
{
    double bound = SAFETY_FACTOR * max_rate(f, u);
    uint32_t max = bound < UINT16_MAX ? (uint32_t)bound : UINT16_MAX;
    uint32_t shares = f->n_warm_up_instances > WARM_UP_SHARES_MIN
                          ? f->n_warm_up_instances
                          : WARM_UP_SHARES_MIN;

    if (bound == 0) {
        return 0;
    }
    if (!u->local || max == 0 ||
        rank_of_self(f, u) >= f->n_warm_up_instances) {
        return MS_NEVER;
    }
    if (shares <= max) {
        return WINDOW_MS / (max / shares);
    }
    return rank_of_self(f, u) < max ? WINDOW_MS : MS_NEVER;
}

bool
warm_up_admits(const flowset_t *f, ms_t now, const upstream_t *u)
{
    ms_t spacing;

    if (now >= u->warm_up_until) {
        return true;
    }
    spacing = spacing_of(f, u);
    return spacing == 0 || (spacing != MS_NEVER && now >= u->warm_up_next);
}

void
warm_up_opened(const flowset_t *f, ms_t now, upstream_t *u)
{
    if (now < u->warm_up_until) {
        ms_t spacing = spacing_of(f, u);
        u->warm_up_next = spacing == MS_NEVER ? now : now + spacing;
    }
}
