/* Admission of new flows by shared capacity.
 *
 * The load: callers ask for two to seven times what the slots can run, for
 * some seconds.  Upstreams queue a few requests and reject the others after
 * they have waited, so that without admission most answers are late or none.
 * An instance among hundreds sees a few requests at a time; sums over all
 * instances show demand and capacity.
 *
 * The share admitted is capacity by demand: a rate, since the sums are some
 * hundred milliseconds old and a limit on requests in flight would have to be
 * divided among the instances.  What the estimate misses shows in the queues:
 * their length corrects the capacity within bounds. */
#include "admit/arrivals.h"
#include "admit/callers.h"
#include "admit/share.h"

#include <math.h>
#include <string.h>

/* Share of the capacity that is used.  Above it, upstreams with two slots and
 * a short queue reject by chance. */
#define TARGET_UTILISATION 0.95
/* Refusing begins when demand exceeds the target and requests in flight per
 * slot show queues, or when demand exceeds the capacity by far: the estimate
 * contains the way to the upstream and may be low. */
#define BEGIN_QUEUES 3.5
#define BEGIN_DEMAND 1.3
/* Time without excess after which refusing ends. */
#define END_MS 1000
/* Requests in flight per slot between which the capacity holds: fewer leave
 * slots idle, more wait in queues. */
#define LOAD_LOW 1.7
#define LOAD_HIGH 2.8
/* Correction of the capacity per request in flight and slot out of these
 * bounds: at once, and a second.  More than LOAD_ERROR_MAX out of them counts
 * as that: requests wait in flight until they are rejected. */
#define QUICK_RAISE 0.3
#define QUICK_LOWER 0.08
#define RAISE_GAIN 0.4
#define LOWER_GAIN 0.1
#define LOAD_ERROR_MAX 1.0
/* Time after the begin from which queues count: until then they are those that
 * filled before it. */
#define SETTLE_MS 1000
/* Time for which slots are free until it counts: callers may have gone, which
 * demand shows a window later. */
#define FREE_MIN_MS 600
/* Bounds of the correction. */
#define MARGIN_MIN 0.65
#define MARGIN_MAX 1.5
/* Time constant with which the correction ends in calm, when the capacity is
 * learnt again. */
#define MARGIN_MS 10000.0
/* Least share of the capacity for new flows, whatever open flows bring. */
#define ROOM_MIN 0.05
/* Time constant of the usual demand. */
#define USUAL_MS 10000.0
/* Longest time between two updates that counts. */
#define STEP_MAX_MS 1000

void
admit_init(admit_t *a)
{
    memset(a, 0, sizeof(*a));
    a->margin = 1;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        a->share[p] = a->limit[p] = 1;
        a->arrivals.expected[p] = -1;
        for (uint32_t i = 0; i < ADMIT_CREDITS; i++) {
            a->credit[p][i] = -1;
        }
    }
}

void
admit_expire(admit_t *a)
{
    a->known = false;
    a->in_force = false;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        a->share[p] = a->limit[p];
    }
}

/* Requests a second inside open flows. */
static double
bound_of(const admit_load_t *load)
{
    double sum = 0;

    for (uint32_t d = 0; d < load->n; d++) {
        sum += load->dc[d].bound;
    }
    return sum;
}

/* Demand that competes for the slots, a second. */
static double
demand_of(const admit_t *a, const admit_load_t *load)
{
    double sum = bound_of(load);

    for (uint32_t d = 0; d < load->n; d++) {
        for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
            sum += load->dc[d].opened[p] * a->limit[p];
        }
    }
    return sum;
}

static void
begin(admit_t *a, ms_t now)
{
    a->in_force = true;
    a->begun_at = a->exceeds_at = now;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        for (uint32_t i = 0; i < ADMIT_CREDITS; i++) {
            a->credit[p][i] = -1;
        }
    }
}

/* Decides whether refusing begins or ends.  Between the two conditions all
 * stays as it is (hysteresis). */
static void
update_force(admit_t *a, ms_t now, const admit_load_t *load, double demand)
{
    double capacity = load->capacity * a->margin;
    bool exceeds = demand > TARGET_UTILISATION * capacity;

    if (exceeds) {
        a->exceeds_at = now;
    }
    if (!a->in_force && exceeds &&
        (demand > BEGIN_DEMAND * capacity ||
         load->in_flight > BEGIN_QUEUES * load->slots)) {
        begin(a, now);
    }
    else if (a->in_force && now - a->exceeds_at >= END_MS) {
        a->in_force = false;
    }
}

static double
clamp(double x, double low, double high)
{
    return x < low ? low : x > high ? high : x;
}

/* Requests in flight per slot out of the bounds: above 0 if slots are free,
 * below 0 if queues are long. */
static double
free_load(const admit_t *a, ms_t now, const admit_load_t *load)
{
    double per_slot = load->in_flight / load->slots;

    if (per_slot > LOAD_HIGH && now - a->begun_at >= SETTLE_MS) {
        return clamp(LOAD_HIGH - per_slot, -LOAD_ERROR_MAX, 0);
    }
    /* Slots that are free since callers ask for less show no error. */
    if (per_slot < LOAD_LOW && a->exceeds_at == now) {
        return clamp(LOAD_LOW - per_slot, 0, LOAD_ERROR_MAX);
    }
    return 0;
}

/* Corrects the capacity by the queues; returns the factor to apply now. */
static double
correct_margin(admit_t *a, ms_t now, const admit_load_t *load, double dt)
{
    double error = free_load(a, now, load);
    double gain = LOWER_GAIN;

    if (error <= 0) {
        a->queued_at = now;
    }
    else {
        gain = now - a->queued_at < FREE_MIN_MS ? 0 : RAISE_GAIN;
    }
    a->margin += gain * error * dt / 1000 * a->margin;
    a->margin = clamp(a->margin, MARGIN_MIN, MARGIN_MAX);
    /* The square keeps small errors, which may be chance, from oscillating. */
    error *= error > 0 ? QUICK_RAISE * error : QUICK_LOWER;
    return clamp(a->margin * (1 + error), MARGIN_MIN, MARGIN_MAX);
}

static void
learn_usual(admit_t *a, const admit_load_t *load, ms_t dt)
{
    double weight;

    a->learnt_ms += dt;
    weight = a->learnt_ms == dt
                 ? 1
                 : (double)dt / clamp((double)a->learnt_ms, 1, USUAL_MS);
    for (uint32_t d = 0; d < load->n; d++) {
        for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
            a->usual[d][p] +=
                weight * (load->dc[d].opened[p] - a->usual[d][p]);
        }
    }
}

/* Shares of this data centre's flows that fit ROOM. */
static void
set_shares(admit_t *a, const admit_load_t *load, double room,
           const admit_rules_t *rules)
{
    share_grant_t grant;

    share_divide(load, room, a->usual, rules, &grant);
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        double opened =
            load->self < load->n ? load->dc[load->self].opened[p] : 0;
        a->share[p] = opened > 0
                          ? clamp(grant.self[p] / opened, 0, a->limit[p])
                          : a->limit[p];
    }
}

void
admit_update(admit_t *a, ms_t now, const admit_load_t *load,
             const admit_rules_t *rules)
{
    ms_t dt = a->updated_at == 0 ? 0 : now - a->updated_at;
    double demand, room;

    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        a->limit[p] = share_limit(rules, p);
        a->share[p] = a->limit[p];
    }
    a->updated_at = now;
    if (load->capacity <= 0 || load->slots <= 0) {
        admit_expire(a);
        return;
    }
    dt = dt < 0 ? 0 : dt > STEP_MAX_MS ? STEP_MAX_MS : dt;
    a->known = true;
    arrivals_expect(&a->arrivals, now, load->age_ms);
    demand = demand_of(a, load);
    update_force(a, now, load, demand);
    if (!a->in_force) {
        a->margin += (1 - exp(-(double)dt / MARGIN_MS)) * (1 - a->margin);
        if (load->in_flight <= LOAD_HIGH * load->slots) {
            learn_usual(a, load, dt);
        }
        return;
    }
    room = load->capacity * TARGET_UTILISATION *
               correct_margin(a, now, load, (double)dt) -
           bound_of(load);
    if (room < ROOM_MIN * load->capacity) {
        room = ROOM_MIN * load->capacity;
    }
    set_shares(a, load, room, rules);
}

/* Admits a share SHARE of the flows, evenly (error diffusion).  The first
 * credit differs between instances, which else would refuse together. */
static bool
spend_credit(double *credit, double share, uint64_t phase)
{
    if (share >= 1) {
        return true;
    }
    if (*credit < 0) {
        *credit = (double)(phase % 1024) / 1024;
    }
    *credit += share;
    if (*credit < 1) {
        return false;
    }
    *credit -= 1;
    return true;
}

admit_verdict_t
admit_flow(admit_t *a, ms_t now, uint32_t priority, uint64_t caller)
{
    uint32_t p = priority < ADMIT_PRIORITIES ? priority : ADMIT_PRIORITIES - 1;
    double pressure = callers_count(&a->callers, now, p, caller);
    bool by_rule = a->share[p] >= a->limit[p];
    double share = a->share[p];
    uint32_t presses = !by_rule && pressure > 1;

    arrivals_count(&a->arrivals, now, p);
    if (!by_rule) {
        share = arrivals_share(&a->arrivals, now, p, a->share, a->limit);
        share = callers_share(&a->callers, p, share, pressure);
    }
    if (spend_credit(&a->credit[p][presses], share,
                     hash_mix(caller, (uint64_t)now))) {
        return a->known ? ADMIT_GRANTED : ADMIT_UNKNOWN;
    }
    return by_rule   ? ADMIT_REFUSED_RULE
           : presses ? ADMIT_REFUSED_CALLER
                     : ADMIT_REFUSED_LOAD;
}
