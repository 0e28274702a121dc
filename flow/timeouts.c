/* Timeouts of opening packets and requests. */
#include "flow/state.h"

/* Timeout of an opening packet, until the caller's next packet. */
#define OPENING_TIMEOUT_MS 80
/* Time since a flow's last packet after which its unanswered request no longer
 * counts as in flight: the caller gave up, or the flow continues through
 * another instance. */
#define REQUEST_MAX_AGE_MS 3000
/* An unanswered idempotent request makes its upstream suspect after this
 * multiple of the service's median response time, within these bounds: well
 * before its caller retransmits.  Later responses to other callers refute the
 * suspicion. */
#define REQUEST_TIMEOUT_FACTOR 4
#define REQUEST_TIMEOUT_MIN_MS 60
#define REQUEST_TIMEOUT_MAX_MS 200

/* The opening packet of R timed out. */
static void
link_unanswered(flowset_t *f, ms_t now, const record_t *r)
{
    if (!r->up->local && r->up->data_centre != NO_DATA_CENTRE) {
        place_link_unanswered(&f->data_centre_of[r->up->data_centre].link, now,
                              r->sent_at);
    }
}

/* Handles opening packets that timed out; returns the time of the next
 * timeout. */
static ms_t
check_opening(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->opening) {
        record_t *r = CONTAINER_OF(it, record_t, waiting);
        if (now - r->sent_at < OPENING_TIMEOUT_MS) {
            return r->sent_at + OPENING_TIMEOUT_MS;
        }
        list_remove(it);
        r->up->unanswered++;
        link_unanswered(f, now, r);
        reach_suspect(f, now, r->up, r->sent_at,
                      "an opening packet was not answered");
    }
    return MS_NEVER;
}

static ms_t
request_timeout(const service_t *s)
{
    ms_t ms = (ms_t)(REQUEST_TIMEOUT_FACTOR * s->answer_ms);

    return ms == 0 || ms > REQUEST_TIMEOUT_MAX_MS ? REQUEST_TIMEOUT_MAX_MS
           : ms < REQUEST_TIMEOUT_MIN_MS          ? REQUEST_TIMEOUT_MIN_MS
                                                  : ms;
}

/* Handles requests that timed out; returns the time of the next timeout.  The
 * list is in order of start, and services differ little: a request behind one
 * of a slower service is found slightly late. */
static ms_t
check_requests(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->pending) {
        record_t *r = CONTAINER_OF(it, record_t, waiting);
        ms_t due = r->request_at + request_timeout(r->up->service);
        if (now < due) {
            return due;
        }
        list_remove(it);
        if (r->goal_ms > 0) {
            list_append(&f->slow, it);
        }
        if (r->idempotent) {
            /* Other requests may be uploads, answered only when they end. */
            reach_suspect(f, now, r->up, r->request_at,
                          "a request is not answered");
        }
    }
    return MS_NEVER;
}

/* Stops counting overdue requests as in flight.  A response may go unseen: one
 * of a single packet is acknowledged with the caller's next request, or never.
 * Overloaded servers refuse many requests that way; counted as in flight,
 * these would block new requests while slots are free.  The list is in
 * order of timeout, not of goals: a request behind one with a longer goal is
 * found slightly late. */
static void
check_overdue(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->slow) {
        record_t *r = CONTAINER_OF(it, record_t, waiting);
        if (now < r->request_at + r->goal_ms) {
            return;
        }
        record_overdue(r);
    }
}

void
timeouts_sweep(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->recent) {
        record_t *r = CONTAINER_OF(it, record_t, recent);
        if (now - r->last_at < REQUEST_MAX_AGE_MS) {
            return;
        }
        if (!r->open || r->ended) {
            record_free(f, r);
        }
        else if (r->request_at != 0) {
            record_request_end(r);
        }
    }
}

ms_t
timeouts_check(flowset_t *f, ms_t now)
{
    ms_t opening = check_opening(f, now);
    ms_t request = check_requests(f, now);

    check_overdue(f, now);
    return opening < request ? opening : request;
}
