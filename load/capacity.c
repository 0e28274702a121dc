/* Capacity of a service, learnt from what all instances saw of it.
 *
 * The load: callers ask for two to seven times what the slots can run, for
 * some seconds.  The share of them that can be served follows from the time of
 * a request, which response times show only while slots are free: later they
 * contain time in queues, and a capacity taken from them would shrink with
 * each queue.  Under load the rate of responses is what the slots run. */
#include "load/capacity.h"

#include <math.h>

/* In-flight requests per slot below which slots are free, below which some
 * are, and from which all are busy.  Requests are spread unevenly over
 * upstreams, and in-flight time contains the way to the upstream and back: one
 * or two per slot still leave some idle. */
#define FREE_LOAD 0.6
#define PARTLY_FREE_LOAD 1.5
#define BUSY_LOAD 3.0
/* Time for which slots are free, or busy, until responses show it: those
 * before are still in the window of the rates. */
#define SETTLE_MS 600
/* Responses a second below which a sample changes nothing. */
#define SAMPLE_MIN 6.0
/* Time constant of the average of response times in calm: follows a service
 * that becomes slower or faster within some seconds. */
#define CALM_MS 2000.0
/* Time for which all slots are busy until too few responses count. */
#define BUSY_MIN_MS 1000
/* Share of the capacity below which responses are clearly too few, and the
 * time constant of the correction: upstreams that answer nothing for a moment
 * don't lower it. */
#define SHORT_SHARE 0.9
#define SHORT_MS 4000.0
/* Longest time between two samples that counts. */
#define STEP_MAX_MS 1000
/* Change of the number of slots after which rates, which are still of the old
 * ones, show nothing, and the time for which they don't: the largest age of
 * sums and their window. */
#define SLOTS_CHANGE 0.1
#define CHANGE_MS 1300
/* Standard error of a rate of responses, as a share of that of independent
 * events: busy slots respond more regularly. */
#define RATE_ERROR 0.5
/* Window of the rates, in seconds. */
#define WINDOW_S 0.5

double
capacity_of(const capacity_t *c, double slots)
{
    return c->request_ms > 0 && slots > 0 ? slots * 1000 / c->request_ms : 0;
}

/* Moves the request time towards MS by the weight of DT in an average with the
 * time constant TAU. */
static void
approach(capacity_t *c, double ms, double dt, double tau)
{
    c->request_ms += (1 - exp(-dt / tau)) * (ms - c->request_ms);
}

/* Response times with some slots busy are upper bounds. */
static void
learn_in_calm(capacity_t *c, const capacity_sample_t *s, double dt)
{
    double ms;

    if (s->timed < SAMPLE_MIN || s->answer_ms <= 0) {
        return;
    }
    ms = s->answer_ms / s->timed;
    if (c->request_ms == 0) {
        c->request_ms = ms;
    }
    else if (s->in_flight < FREE_LOAD * s->slots || ms < c->request_ms) {
        approach(c, ms, dt, CALM_MS);
    }
}

/* Corrects the estimate by the rate of responses.  What slots have run, they
 * can run: a higher rate counts at once, less its standard error. */
static void
learn_from_rate(capacity_t *c, const capacity_sample_t *s, double dt,
                ms_t busy_ms)
{
    double estimate = capacity_of(c, s->slots);
    double lower_bound =
        s->answered - RATE_ERROR * sqrt(s->answered / WINDOW_S);

    if (s->answered < SAMPLE_MIN) {
        return;
    }
    if (c->request_ms == 0) {
        if (busy_ms >= SETTLE_MS) {
            c->request_ms = s->slots * 1000 / s->answered;
        }
    }
    else if (lower_bound > estimate) {
        c->request_ms = s->slots * 1000 / lower_bound;
    }
    else if (busy_ms >= BUSY_MIN_MS && s->answered < SHORT_SHARE * estimate) {
        approach(c, s->slots * 1000 / s->answered, dt, SHORT_MS);
    }
}

static bool
slots_changed(capacity_t *c, ms_t now, double slots)
{
    if (fabs(slots - c->slots) > SLOTS_CHANGE * c->slots) {
        c->changed_at = c->slots > 0 ? now : now - CHANGE_MS;
        c->slots = slots;
    }
    return now - c->changed_at < CHANGE_MS;
}

void
capacity_update(capacity_t *c, ms_t now, const capacity_sample_t *s)
{
    ms_t dt = c->updated_at == 0 ? 0 : now - c->updated_at;

    if (s->slots <= 0) {
        c->busy_ms = c->free_ms = 0;
        return;
    }
    dt = dt < 0 ? 0 : dt > STEP_MAX_MS ? STEP_MAX_MS : dt;
    c->updated_at = now;
    c->busy_ms = s->in_flight >= BUSY_LOAD * s->slots ? c->busy_ms + dt : 0;
    c->free_ms =
        s->in_flight < PARTLY_FREE_LOAD * s->slots ? c->free_ms + dt : 0;
    if (slots_changed(c, now, s->slots)) {
        return;
    }
    if (c->free_ms >= SETTLE_MS) {
        learn_in_calm(c, s, (double)dt);
    }
    learn_from_rate(c, s, (double)dt, c->busy_ms);
}
