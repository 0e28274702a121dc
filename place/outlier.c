/* Upstreams that are slow or fail, against the others of their service.
 *
 * Load: a part of the upstreams becomes several times slower, or fails half of
 * its requests, while its status check is good.  An instance sees a response
 * of each upstream every few seconds; only samples of all instances together
 * show an outlier while its first responses arrive.
 *
 * Evidence is summed up over responses (CUSUM): each one adds to a score what
 * speaks for an outlier, or takes off what speaks against it, down to 0.  For
 * a given rate of wrong verdicts no other test needs fewer responses, and
 * single slow or failed responses leave nothing behind.
 *
 * Until the evidence suffices for a verdict, the weight is the probability
 * that the upstream is as the others: a moment's queue looks like an outlier,
 * and costs only a moment's weight.
 *
 * The windows of the samples overlap.  Of each sample, the part counts that
 * the time since the last one is of the window. */
#include "place/place.h"

#include <math.h>

/* Window of the samples: LOAD_WINDOW_MS. */
#define WINDOW_MS 500
/* Response time, in multiples of the usual one, that speaks neither for a slow
 * upstream nor against it. */
#define SLOW_NEUTRAL 2.5
/* Largest score of a slow upstream: five responses of eight times the usual
 * time.  It halves in SLOW_HALF_MS: a few long requests at once also hold up
 * those behind them. */
#define SLOW_SCORE 24.0
#define SLOW_HALF_MS 700
/* Time for which an upstream looks slow, or failing, until the verdict.  Until
 * then it has less weight by suspicion alone. */
#define SLOW_CONFIRM_MS 5000
#define FAILING_CONFIRM_MS 1000
/* Time in which the evidence for failing halves while an upstream looks slow:
 * the failures were rejections by its full queue. */
#define REJECTED_HALF_MS 200
/* Response time from which a slow upstream is well again, in multiples. */
#define SLOW_END 2.0
/* Part of what a slow upstream can bear that it gets: its queue drains. */
#define SLOW_MARGIN 0.75
/* Smoothing factor of the recent response time, for each response. */
#define RECENT_WEIGHT 0.3
/* Failed share of a failing upstream, and least failed share that is assumed
 * of the others: losses and short answers also look like failures. */
#define FAILING_SHARE 0.45
#define FAILED_MIN 0.02
/* Usual failed share from which the service fails as a whole. */
#define FAILED_USUAL_MAX 0.25
/* Scores (log-likelihood ratios) of a failing upstream, and of one that is
 * well again. */
#define FAILING_SCORE 14.0
#define WELL_SCORE 2.9
/* Score at which an upstream without a verdict has half the weight, in natural
 * units: the weight is the probability that it is as the others.  Few samples
 * arrive in a second; most of the weight is gone before they suffice for a
 * verdict. */
#define SUSPECT_SCORE 2.2
/* Slow score of one natural unit. */
#define SLOW_UNIT 1.7
/* Weight below which a suspect upstream counts among those that are out. */
#define SUSPECT_WEIGHT 0.5
/* Part of the evidence in a window that isn't in the score yet, on average:
 * each response is counted over the windows that contain it. */
#define PENDING 0.5
/* Weight of a failing upstream for idempotent requests, and least weight of
 * one that is suspected to be slow: a few requests find out. */
#define TRY_WEIGHT 0.1
#define SUSPECT_SLOW_MIN 0.05
/* Weight at the start of the return, and least weight of a slow upstream: it
 * still gets the requests that measure it. */
#define RETURN_WEIGHT 0.1
#define WEIGHT_MIN 0.03
/* Time in which a returning weight doubles, as long as samples arrive. */
#define DOUBLING_MS 500
/* Shortest time as an outlier.  Each recent ejection doubles both times, up to
 * 2^EJECTIONS_MAX; one is forgotten after FORGET_MS without another. */
#define EJECTED_MIN_MS 1000
#define EJECTIONS_MAX 5
#define FORGET_MS 30000
/* Time without samples after which an outlier's weight grows by itself: no
 * request may be left that tries it. */
#define IDLE_MS 5000
/* Part of a service's upstreams that may be out at once. */
#define OUT_SHARE (1.0 / 3)

const char *
place_state_name(place_state_t s)
{
    switch (s) {
    case PLACE_WELL:
        return "well";
    case PLACE_SLOW:
        return "slow";
    case PLACE_FAILING:
        return "failing";
    case PLACE_RETURNING:
        return "returning";
    }
    return "?";
}

static double
at_least_0(double x)
{
    return x > 0 ? x : 0;
}

static double
min_of(double a, double b)
{
    return a < b ? a : b;
}

/* A mean: of response times, or of failed responses. */
typedef struct {
    double value, weight;
} mean_t;

static mean_t
mean_of(const place_sample_t *s, bool of_times)
{
    double sum = of_times ? s->answer_ms : s->failed;
    double weight = of_times ? s->timed : s->answers;

    return (mean_t){.value = weight > 0 ? at_least_0(sum) / weight : 0,
                    .weight = at_least_0(weight)};
}

/* Returns the median of the means of REST and of the N of UP, weighted by
 * their responses. */
static double
median_of(const place_sample_t *rest, const place_sample_t *up, uint32_t n,
          bool of_times)
{
    double median = INFINITY;

    for (uint32_t i = 0; i <= n; i++) {
        mean_t x = mean_of(i < n ? &up[i] : rest, of_times);
        double above = 0, rank = 0;
        for (uint32_t j = 0; j <= n; j++) {
            mean_t y = mean_of(j < n ? &up[j] : rest, of_times);
            rank += y.value <= x.value ? y.weight : 0;
            above += y.value > x.value ? y.weight : 0;
        }
        if (x.weight > 0 && rank >= above && x.value < median) {
            median = x.value;
        }
    }
    return median < INFINITY ? median : 0;
}

place_usual_t
place_usual(const place_sample_t *service, const place_sample_t *up,
            uint32_t n)
{
    place_sample_t rest = *service;

    for (uint32_t i = 0; i < n; i++) {
        rest.answers -= up[i].answers;
        rest.failed -= up[i].failed;
        rest.timed -= up[i].timed;
        rest.answer_ms -= up[i].answer_ms;
    }
    return (place_usual_t){.answer_ms = median_of(&rest, up, n, true),
                           .failed = median_of(&rest, up, n, false)};
}

static void
set_state(place_health_t *h, ms_t now, place_state_t state)
{
    bool was_out = h->state != PLACE_WELL;

    if (state == PLACE_SLOW || state == PLACE_FAILING) {
        h->ejections += h->ejections < EJECTIONS_MAX && h->state != state;
    }
    if (state == PLACE_RETURNING && h->weight > RETURN_WEIGHT) {
        h->weight = RETURN_WEIGHT;
    }
    if (!was_out || state == PLACE_WELL) {
        h->weight = 1;
    }
    h->state = state;
    h->changed_at = now;
    h->slow = h->failing = (place_score_t){0};
    h->well = 0;
}

/* Factor of the times of an ejection: doubles with each recent one. */
static double
damping(const place_health_t *h)
{
    return h->ejections > 0 ? 1 << (h->ejections - 1) : 1;
}

static void
forget_ejections(place_health_t *h, ms_t now)
{
    if (h->state == PLACE_WELL && h->ejections > 0 &&
        now - h->changed_at >= FORGET_MS) {
        h->ejections--;
        h->changed_at = now;
    }
}

/* Adds the EVIDENCE of a window, of which PART is new, up to MAX. */
static void
score_add(place_score_t *s, double part, double evidence, double max)
{
    s->sum = at_least_0(s->sum + part * evidence);
    s->sum = s->sum < max ? s->sum : max;
    s->pending = at_least_0(PENDING * evidence);
}

static double
score_of(const place_score_t *s)
{
    return s->sum + s->pending;
}

/* Adds COUNT responses in a window with a mean of X times the usual. */
static void
update_slow(place_health_t *h, double part, double count, double x)
{
    score_add(&h->slow, part, count * (x - SLOW_NEUTRAL), SLOW_SCORE);
}

static void
update_recent(place_health_t *h, double count, double ms)
{
    double part = 1 - pow(1 - RECENT_WEIGHT, count);

    h->recent_ms =
        h->recent_ms == 0 ? ms : h->recent_ms + part * (ms - h->recent_ms);
}

static bool
looks_slow(const place_health_t *h)
{
    return score_of(&h->slow) >= SUSPECT_SCORE * SLOW_UNIT;
}

/* Adds FAILED and GOOD responses: the ratio of how likely they are of a
 * failing upstream and of one like the others. */
static void
update_failing(place_health_t *h, double part, double failed, double good,
               double usual)
{
    double p = usual > FAILED_MIN ? usual : FAILED_MIN;
    double ratio = failed * log(FAILING_SHARE / p) +
                   good * log((1 - FAILING_SHARE) / (1 - p));

    if (usual > FAILED_USUAL_MAX) {
        h->failing = (place_score_t){0};
        h->well += part * (failed + good);
        return;
    }
    if (looks_slow(h)) {
        h->failing.sum *= pow(0.5, part * WINDOW_MS / REJECTED_HALF_MS);
        ratio = ratio < 0 ? ratio : 0;
    }
    score_add(&h->failing, part, ratio, FAILING_SCORE);
    h->well = min_of(at_least_0(h->well - part * ratio), WELL_SCORE);
    if (h->well >= WELL_SCORE) {
        h->failing.sum = 0;
    }
}

/* Weight that a slow upstream can bear. */
static double
bearable(const place_health_t *h, double usual_ms)
{
    double x = h->recent_ms / usual_ms;

    if (x < SLOW_END) {
        return 1;
    }
    return SLOW_MARGIN / x < WEIGHT_MIN ? WEIGHT_MIN : SLOW_MARGIN / x;
}

/* Moves the weight of an outlier towards what it can bear: down at once, up in
 * steps that the next samples confirm. */
static void
update_weight(place_health_t *h, ms_t elapsed, double usual_ms, bool sampled)
{
    double doublings = elapsed / (DOUBLING_MS * damping(h));
    double most = h->weight * (sampled ? pow(2, doublings) : 1);
    double bears = 1;

    if (usual_ms > 0 && h->recent_ms > 0) {
        bears = bearable(h, usual_ms);
    }
    h->weight = bears < most ? bears : most;
}

/* Judges the upstream by its scores. */
static void
judge(place_health_t *h, ms_t now)
{
    bool served = now - h->changed_at >= EJECTED_MIN_MS * damping(h);

    if (!looks_slow(h) || h->usual_at == 0) {
        h->usual_at = now;
    }
    if (h->failing.sum < FAILING_SCORE || h->working_at == 0) {
        h->working_at = now;
    }
    if (h->state != PLACE_FAILING &&
        now - h->working_at >= FAILING_CONFIRM_MS) {
        set_state(h, now, PLACE_FAILING);
    }
    else if (h->state == PLACE_FAILING) {
        if (served && h->well >= WELL_SCORE) {
            set_state(h, now, PLACE_RETURNING);
        }
    }
    else if (h->state != PLACE_SLOW && now - h->usual_at >= SLOW_CONFIRM_MS) {
        set_state(h, now, PLACE_SLOW);
    }
    else if (h->state != PLACE_WELL && served && h->weight >= 1) {
        set_state(h, now, PLACE_WELL);
    }
}

/* Takes over the growth without samples, which place_health_weight() works
 * out. */
static void
end_idle(place_health_t *h, ms_t now)
{
    if (h->state != PLACE_WELL && now - h->sample_at >= IDLE_MS) {
        double weight = place_health_weight(h, now, true);
        bool spared = h->spared;
        set_state(h, now, PLACE_RETURNING);
        h->weight = spared ? 1 : weight;
    }
}

void
place_health_update(place_health_t *h, ms_t now, const place_sample_t *s,
                    double usual_ms, double usual_failed)
{
    ms_t elapsed = now - h->updated_at;
    double part;

    elapsed = h->updated_at == 0 || elapsed > WINDOW_MS ? WINDOW_MS : elapsed;
    part = (double)elapsed / WINDOW_MS;
    h->updated_at = now;
    h->weight = h->weight == 0 ? 1 : h->weight;
    forget_ejections(h, now);
    h->slow.sum *= pow(0.5, (double)elapsed / SLOW_HALF_MS);
    h->slow.pending = 0;
    if (s->timed > 0) {
        double ms = s->answer_ms / s->timed;
        update_recent(h, part * s->timed, ms);
        if (usual_ms > 0) {
            update_slow(h, part, s->timed, ms / usual_ms);
        }
    }
    if (s->answers > 0) {
        end_idle(h, now);
        h->sample_at = now;
        update_failing(h, part, s->failed, s->answers - s->failed,
                       usual_failed);
    }
    judge(h, now);
    if (h->state == PLACE_SLOW || h->state == PLACE_RETURNING) {
        update_weight(h, elapsed, usual_ms, s->answers > 0);
    }
}

/* Returns the probability that an upstream with SCORE is as the others. */
static double
unsuspected(double score)
{
    return (1 + exp(-SUSPECT_SCORE)) / (1 + exp(score - SUSPECT_SCORE));
}

/* Factor of the weight by suspicion of failing. */
static double
suspect_failing(const place_health_t *h, bool idempotent)
{
    double weight = unsuspected(score_of(&h->failing));

    if (weight >= TRY_WEIGHT) {
        return weight;
    }
    return idempotent ? TRY_WEIGHT : 0;
}

/* The same, of being slow. */
static double
suspect_slow(const place_health_t *h)
{
    double weight = unsuspected(score_of(&h->slow) / SLOW_UNIT);

    return weight > SUSPECT_SLOW_MIN ? weight : SUSPECT_SLOW_MIN;
}

static double
weight_of(const place_health_t *h, bool idempotent)
{
    double failing = suspect_failing(h, idempotent);

    switch (h->state) {
    case PLACE_WELL:
        return min_of(suspect_slow(h), failing);
    case PLACE_FAILING:
        return idempotent ? TRY_WEIGHT : 0;
    case PLACE_SLOW:
    case PLACE_RETURNING:
        break;
    }
    return min_of(h->weight, failing);
}

double
place_health_weight(const place_health_t *h, ms_t now, bool idempotent)
{
    ms_t idle = now - h->sample_at - IDLE_MS;
    double weight;

    if (h->spared) {
        return 1;
    }
    if (idle < 0) {
        return weight_of(h, idempotent);
    }
    if (h->state == PLACE_WELL) {
        return 1;
    }
    weight = weight_of(h, true) * pow(2, idle / (DOUBLING_MS * damping(h)));
    return weight < 1 ? weight : 1;
}

uint32_t
place_outliers_max(uint32_t n)
{
    return (uint32_t)(n * OUT_SHARE);
}

/* Returns true if A is worse than B: failing before slow, then by weight. */
static bool
is_worse(const place_health_t *a, const place_health_t *b)
{
    return weight_of(a, false) < weight_of(b, false);
}

static bool
is_out(const place_health_t *h)
{
    return h->state != PLACE_WELL || weight_of(h, true) < SUSPECT_WEIGHT;
}

/* Returns the worst outlier that is still spared; NULL: none. */
static place_health_t *
worst_spared(place_health_t *const *h, uint32_t n)
{
    place_health_t *worst = NULL;

    for (uint32_t i = 0; i < n; i++) {
        if (h[i]->spared && (worst == NULL || is_worse(h[i], worst))) {
            worst = h[i];
        }
    }
    return worst;
}

void
place_outliers_bound(place_health_t *const *h, uint32_t n, uint32_t of)
{
    uint32_t max = place_outliers_max(of);

    for (uint32_t i = 0; i < n; i++) {
        h[i]->spared = is_out(h[i]);
    }
    for (uint32_t i = 0; i < max; i++) {
        place_health_t *worst = worst_spared(h, n);
        if (worst == NULL) {
            return;
        }
        worst->spared = false;
    }
}
