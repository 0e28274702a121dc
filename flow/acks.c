/* Delay of acknowledgements.
 *
 * A receiver acknowledges every second segment at once, and a single one only
 * after a delay or with its next request (delayed acknowledgement).  The
 * response time that an instance sees then contains this delay, which is as
 * long as a request's work and says nothing about an upstream. */
#include "flow/state.h"

/* Relative step of the running medians, after STEP_FROM samples. */
#define STEP_MIN 0.02
#define STEP_FROM 100
/* Samples of both kinds from which the delay is known. */
#define SAMPLES_MIN 16

void
median_add(median_t *m, double ms)
{
    double step = 2.0 / ++m->n;

    ms++; /* 0 stands for no sample */
    m->n = m->n < STEP_FROM ? m->n : STEP_FROM;
    step = step < STEP_MIN ? STEP_MIN : step > 0.5 ? 0.5 : step;
    if (m->ms == 0) {
        m->ms = ms;
    }
    else {
        m->ms *= ms > m->ms ? 1 + step : 1 - step;
    }
}

double
ack_delay(const ack_delay_t *d)
{
    return d->at_once.n < SAMPLES_MIN || d->delayed.n < SAMPLES_MIN ||
                   d->delayed.ms < d->at_once.ms
               ? 0
               : d->delayed.ms - d->at_once.ms;
}

double
ack_response_ms(ack_delay_t *d, ack_kind_t kind, double ms)
{
    switch (kind) {
    case ACK_AT_ONCE:
        median_add(&d->at_once, ms);
        return ms;
    case ACK_DELAYED:
        median_add(&d->delayed, ms);
        ms -= ack_delay(d);
        return ms > 0 ? ms : 0;
    case ACK_WITH_REQUEST:
        return -1;
    }
    return -1;
}
