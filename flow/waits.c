/* What is waited for: answers to opening packets and to requests. */
#include "flow/state.h"

/* Timeout of an opening packet, until the caller's next packet. */
#define OPENING_MS 80
/* Age at which an unanswered request no longer counts as in progress: it was
 * given up, or its flow goes on through another instance. */
#define ASKED_MAX_MS 3000
/* An idempotent request makes its upstream suspect after this multiple of the
 * service's average latency, within these bounds: well before its caller
 * retransmits.  Later answers to others refute it. */
#define ASKING_FACTOR 4
#define ASKING_MIN_MS 60
#define ASKING_MAX_MS 200

/* Opening packets that went unanswered; returns when the next would be. */
static ms_t
check_opening(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->opening) {
        record_t *r = LIST_OWNER(it, record_t, waiting);
        if (now - r->sent_at < OPENING_MS) {
            return r->sent_at + OPENING_MS;
        }
        list_remove(it);
        r->up->unanswered++;
        reach_suspect(f, now, r->up, r->sent_at,
                      "an opening packet was not answered");
    }
    return MS_NEVER;
}

static ms_t
asking_ms(const service_t *s)
{
    ms_t ms = (ms_t)(ASKING_FACTOR * s->answer_ms);

    return ms == 0 || ms > ASKING_MAX_MS ? ASKING_MAX_MS
           : ms < ASKING_MIN_MS          ? ASKING_MIN_MS
                                         : ms;
}

/* Requests that wait unusually long; returns when the next one would.  They
 * are in the order of their beginning, and services differ by little: one that
 * stands behind another of a slower service is found a little late. */
static ms_t
check_asking(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->asking) {
        record_t *r = LIST_OWNER(it, record_t, waiting);
        ms_t due = r->asked_at + asking_ms(r->up->service);
        if (now < due) {
            return due;
        }
        list_remove(it);
        if (r->goal_ms > 0) {
            list_append(&f->late, it);
        }
        if (r->idempotent) { /* an upload is answered when it has ended */
            reach_suspect(f, now, r->up, r->asked_at,
                          "a request is not answered");
        }
    }
    return MS_NEVER;
}

/* An answer may go unseen: one of a single packet is acknowledged with the
 * caller's next request, or never.  Under overload, servers refuse many that
 * way; counted as in progress they would keep out new ones while slots are
 * free.  Goals differ: one that stands behind a longer is found a little late.
 */
static void
check_late(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->late) {
        record_t *r = LIST_OWNER(it, record_t, waiting);
        if (now < r->asked_at + r->goal_ms) {
            return;
        }
        record_overdue(r);
    }
}

void
waits_sweep(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->recent) {
        record_t *r = LIST_OWNER(it, record_t, recent);
        if (now - r->last_at < ASKED_MAX_MS) {
            return;
        }
        if (!r->open || r->ended) {
            record_free(f, r);
        }
        else if (r->asked_at != 0) {
            record_answered(r);
        }
    }
}

ms_t
waits_check(flowset_t *f, ms_t now)
{
    ms_t opening = check_opening(f, now);
    ms_t asking = check_asking(f, now);

    check_late(f, now);
    return opening < asking ? opening : asking;
}
