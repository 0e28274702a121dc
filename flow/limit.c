/* Adaptive concurrency limit per group of upstreams, as seen by one instance.
 *
 * Under overload, callers send more requests than the upstreams can run, and
 * queueing makes nearly every response late.  Rejecting the excess early keeps
 * the queueing delay of the rest below the latency objective.
 *
 * Queueing delay shows in the response time.  A limit begins when the tail
 * latency exceeds both a share of the goal and a multiple of the unloaded
 * latency: a service that is slow by itself has no queue to shorten.
 *
 * With all slots full, latency is proportional to the requests in flight when
 * a request begins (Little's law).  Each response yields the number of
 * requests in flight at which it would have met the target, and the limit
 * follows a low quantile of these numbers.  A limit that shrinks with each
 * late response would be lowered further by responses from a queue that has
 * already drained; this limit isn't. */
#include "flow/state.h"

/* Target of the tail latency, as a share of the goal. */
#define TARGET 0.55
/* Multiple of the unloaded latency above which responses have queued. */
#define QUEUE_FACTOR 2.75
/* Quantile for the tail latency, above the median because fast rejections by a
 * full upstream look like responses. */
#define TAIL_QUANTILE 0.8
/* Relative steps of the running quantiles: STEP for the limit and the tail
 * latency, GROW_STEP for raising the limit while responses meet the target,
 * MEDIAN_STEP for the median. */
#define STEP 0.15
#define GROW_STEP 0.2
#define MEDIAN_STEP 0.02
/* Responses until the baseline is established, and the target until then. */
#define BASELINE_ANSWERS 32
#define INITIAL_TARGET 1.5
/* Responses used to learn the baseline while it is unreliable. */
#define UNRELIABLE_ANSWERS 48
/* A baseline is unreliable if its target would exceed this share of the goal:
 * the service is slow, or has queued from the first request on. */
#define UNRELIABLE_TARGET 0.9
/* Squared correlation above which the first responses have queued. */
#define CORRELATION_MIN 0.25
/* Relative rise of the baseline with each response: follows a service that has
 * become slower. */
#define BASELINE_RISE 0.0001
/* The same while a limit is in force, when responses hardly show the unloaded
 * latency. */
#define BASELINE_RISE_LIMITED 0.00002
/* Requests added to the estimate of each response: lets a low limit grow. */
#define HEADROOM 1.0
/* Time without a refusal after which a limit ends. */
#define RELEASE_MS 500
/* Tail latency assumed at the end of a limit, as a share of the target. */
#define RELEASED_SHARE 0.5
/* Share by which the limit is raised for requests whose priority is a step or
 * more above the average, and lowered for those as far below. */
#define PRIORITY_HEADROOM 0.5
/* Smoothing factor of the average priority (EWMA). */
#define PRIORITY_WEIGHT 0.02

/* Moves *RUNNING a step towards quantile Q of the samples; VALUE is one of
 * them. */
static void
update_quantile(double *running, double q, double step, double value)
{
    if (*running == 0) {
        *running = value;
        return;
    }
    *running *= value > *running ? 1 + step * q : 1 - step * (1 - q);
}

static void
correlation_add(correlation_t *c, double x, double y)
{
    c->least = c->n == 0 || y < c->least ? y : c->least;
    c->n++;
    c->x += x;
    c->y += y;
    c->xx += x * x;
    c->xy += x * y;
    c->yy += y * y;
}

static bool
is_correlated(const correlation_t *c)
{
    double xx = c->n * c->xx - c->x * c->x;
    double yy = c->n * c->yy - c->y * c->y;
    double xy = c->n * c->xy - c->x * c->y;

    return xy > 0 && xy * xy > CORRELATION_MIN * xx * yy;
}

static bool
is_unreliable(const baseline_t *b)
{
    return QUEUE_FACTOR * b->median > UNRELIABLE_TARGET;
}

/* Instances that start during overload see queues from their first request on.
 * Latency then grows with the requests in flight, and only the fastest
 * response is near the unloaded latency. */
static void
learn_baseline(baseline_t *b, double share, uint32_t in_flight)
{
    correlation_add(&b->first, in_flight, share);
    b->share = is_unreliable(b) && is_correlated(&b->first) ? b->first.least
                                                            : b->median;
}

static void
update_baseline(baseline_t *b, double share, uint32_t in_flight, double rise)
{
    double step = 2.0 / ++b->answers;

    step = step < MEDIAN_STEP ? MEDIAN_STEP : step > 1 ? 1 : step;
    update_quantile(&b->median, 0.5, step, share);
    b->share *= 1 + rise;
    if (b->answers <= BASELINE_ANSWERS ||
        (b->answers <= UNRELIABLE_ANSWERS && is_unreliable(b))) {
        learn_baseline(b, share, in_flight);
    }
    else if (b->median < b->share) {
        b->share = b->median;
    }
}

double
limit_target(const baseline_t *b)
{
    double queued = QUEUE_FACTOR * b->share;

    if (b->answers < BASELINE_ANSWERS) {
        return INITIAL_TARGET;
    }
    return queued > TARGET ? queued : TARGET;
}

/* Adapts the limit to a response that would have met the target with
 * MAX_IN_FLIGHT requests in flight. */
static void
adapt(limit_t *l, double target, double max_in_flight)
{
    double step = l->tail_latency < target && max_in_flight > l->max_in_flight
                      ? GROW_STEP
                      : STEP;

    update_quantile(&l->max_in_flight, 1 - TAIL_QUANTILE, step, max_in_flight);
}

static void
limit_enable(limit_t *l, ms_t now, double target)
{
    l->max_in_flight = l->in_flight * target / l->tail_latency;
    l->refused = 0;
    l->refused_at = now;
}

static void
limit_disable(limit_t *l, double target)
{
    l->max_in_flight = 0;
    l->tail_latency = RELEASED_SHARE * target;
}

bool
limit_on_response(limit_t *l, ms_t now, baseline_t *b, double share,
                  uint32_t in_flight)
{
    bool limited = l->max_in_flight > 0;
    double target;

    update_quantile(&l->tail_latency, TAIL_QUANTILE, STEP, share);
    update_baseline(b, share, in_flight,
                    limited ? BASELINE_RISE_LIMITED : BASELINE_RISE);
    target = limit_target(b);
    if (!limited && l->tail_latency > target) {
        limit_enable(l, now, target);
        return true;
    }
    if (limited && now - l->refused_at >= RELEASE_MS) {
        limit_disable(l, target);
        return true;
    }
    if (limited) {
        adapt(l, target, in_flight * target / share + HEADROOM);
    }
    return false;
}

/* The limit for requests of PRIORITY. */
static double
limit_for(const limit_t *l, uint32_t priority)
{
    double ahead = l->priority - priority;

    ahead = ahead > 1 ? 1 : ahead < -1 ? -1 : ahead;
    return l->max_in_flight * (1 + PRIORITY_HEADROOM * ahead);
}

bool
limit_admits(limit_t *l, ms_t now, uint32_t priority)
{
    double max_in_flight = limit_for(l, priority);

    l->priority += PRIORITY_WEIGHT * (priority - l->priority);
    if (l->max_in_flight == 0 || l->in_flight < max_in_flight ||
        now - l->refused_at >= RELEASE_MS) {
        return true;
    }
    l->refused++;
    l->refused_at = now;
    return false;
}
