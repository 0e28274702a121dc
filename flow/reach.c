/* Health of upstreams: good, suspect, unreachable, dead.
 *
 * Instances never see upstreams' responses, which go straight to callers.  A
 * caller's flow that makes progress proves that its upstream was alive some
 * milliseconds ago; a retransmission makes the upstream suspect.  Suspicion
 * alone resets nothing: callers also retransmit after packet loss and when an
 * upstream is merely slow.  A probe, a plain TCP connection to the upstream's
 * address, refutes or confirms it; the kernel of the host responds:
 *
 *   accepted   alive, however slow
 *   refused    the process has ended, and its flows with it; for a draining
 *              upstream, only when a probe is refused again after its
 *              announcement is gone
 *   reset      accepted first, so a process listened: too many connections, or
 *              it ended just then
 *   timeout    three in a row, while another upstream answers and hardly any
 *              recent probe of healthy upstreams was lost: unreachable from
 *              this instance */
#include "flow/state.h"

#include <string.h>

/* Probe timeout: several round trips between data centres. */
#define PROBE_TIMEOUT_MS 100
/* Upstreams compared for a control probe, of each kind. */
#define CONTROL_SAMPLE 16
/* Age at which a probe without a result is discarded. */
#define PROBE_EXPIRY_MS (8 * PROBE_TIMEOUT_MS)
/* Probe timeouts in a row that make an upstream unreachable.  A saturated link
 * drops packets at random: two lost probes with one successful control probe
 * are likely there, three lost with two successful are not. */
#define PROBE_TIMEOUTS_MAX 3
/* Probe loss above which timeouts prove nothing. */
#define PROBE_LOSS_MAX 0.05
/* Smoothing factor of the loss estimate (EWMA). */
#define PROBE_LOSS_WEIGHT 0.05
/* Refused probes in a row, with no sign of life between the last two, that
 * prove the end of a draining upstream once its announcement is gone.  It may
 * close its port many seconds before its last flows end, and no instance sees
 * a response to an upload until the upload ends.  A crash ends port and flows
 * at once, so that one refusal proves it. */
#define REFUSED_DRAINING 2
/* Grace period after an answered probe: packets retransmitted during it were
 * first sent before the probe. */
#define PROBE_GRACE_MS 400
/* Delay of the next probe after a probe was reset. */
#define RESET_RETRY_MS 50
/* Backoff between probes of an unreachable upstream. */
#define RETRY_MIN_MS 400
#define RETRY_MAX_MS 1600

const char *
flow_reach_name(flow_reach_t r)
{
    switch (r) {
    case REACH_GOOD:
        return "good";
    case REACH_SUSPECT:
        return "suspect";
    case REACH_UNREACHABLE:
        return "unreachable";
    case REACH_DEAD:
        return "dead";
    }
    return "?";
}

static void
set_reach(flowset_t *f, upstream_t *u, flow_reach_t to, const char *why)
{
    flow_out_t out = {.kind = FLOW_OUT_REACH, .upstream = u->a.id};

    if (u->reach == to) {
        return;
    }
    out.reach.from = u->reach;
    out.reach.to = to;
    out.reach.why = why;
    out.reach.addr = u->a.addr;
    out.reach.service = u->a.service;
    out.reach.data_centre = u->a.data_centre;
    out.reach.open = u->open;
    u->reach = to;
    list_remove(&u->down);
    if (to == REACH_DEAD) {
        list_append(&f->down, &u->down);
    }
    upstream_count_usable(f, u);
    f->spec.emit(f->spec.arg, &out);
}

static void
schedule(flowset_t *f, upstream_t *u, ms_t at)
{
    u->probe_at = at;
    list_remove(&u->due);
    if (at != MS_NEVER) {
        list_append(&f->suspects, &u->due);
    }
}

static void
start_probe(flowset_t *f, ms_t now, upstream_t *u)
{
    flow_out_t out = {.kind = FLOW_OUT_PROBE, .upstream = u->a.id};

    if (u->probing) {
        return;
    }
    u->probing = true;
    u->probed_at = now;
    schedule(f, u, now + PROBE_EXPIRY_MS);
    out.probe.to = u->a.addr;
    out.probe.timeout_ms = PROBE_TIMEOUT_MS;
    f->spec.emit(f->spec.arg, &out);
}

void
reach_alive(flowset_t *f, ms_t at, upstream_t *u)
{
    u->alive_at = at > u->alive_at ? at : u->alive_at;
    u->unanswered = 0;
    if (u->reach == REACH_SUSPECT && at >= u->probed_at) {
        set_reach(f, u, REACH_GOOD, "a caller's flow made progress");
    }
}

void
reach_request_probe(flowset_t *f, ms_t now, upstream_t *u, const char *why)
{
    if (u->reach == REACH_GOOD) {
        set_reach(f, u, REACH_SUSPECT, why);
    }
    if (u->reach == REACH_SUSPECT) {
        start_probe(f, now, u);
    }
}

void
reach_unlisted(flowset_t *f, ms_t now, upstream_t *u)
{
    if (u->probed_at < u->unlisted_at) {
        reach_request_probe(f, now, u, "the announcement was removed");
    }
}

/* An announced upstream that was dead or unreachable may have restarted, or
 * the announcement may date from before its end.  A probe decides at once;
 * until then the upstream gets no new flows. */
void
reach_announced(flowset_t *f, ms_t now, upstream_t *u)
{
    if (u->reach == REACH_DEAD || u->reach == REACH_UNREACHABLE ||
        u->refused > 0) {
        start_probe(f, now, u);
    }
}

void
reach_suspect(flowset_t *f, ms_t now, upstream_t *u, ms_t since,
              const char *why)
{
    if (u->alive_at > since || now < u->grace_until ||
        u->reach != REACH_GOOD) {
        return;
    }
    reach_request_probe(f, now, u, why);
}

static void
reset(flowset_t *f, record_t *r, flow_reason_t reason)
{
    flow_out_t out = {.kind = FLOW_OUT_RESET, .upstream = r->up->a.id};

    out.reset.caller = r->caller;
    out.reset.service = r->service;
    out.reset.seq = r->ack;
    out.reset.reason = reason;
    f->stats.resets++;
    f->spec.emit(f->spec.arg, &out);
    record_free(f, r);
}

/* Resets the flows of a dead upstream at once: waiting callers can retry
 * elsewhere within their goal, and idle ones lose nothing.  The upstream's
 * state is lost, so waiting is of no use.
 *
 * A flow that isn't open yet is not reset once its caller may have sent a copy
 * of the opening packet: the copy may have opened the flow through another
 * instance at a live upstream, or the first packet may have at a slow one. */
static void
reset_all(flowset_t *f, ms_t now, upstream_t *u)
{
    LIST_EACH (it, &u->records) {
        record_t *r = CONTAINER_OF(it, record_t, by_upstream);
        if (!r->open &&
            (r->retransmitted || now - r->last_at >= REPEAT_MIN_MS)) {
            record_free(f, r);
        }
        else if (!r->ended) {
            reset(f, r, FLOW_UPSTREAM_DEAD);
        }
    }
}

/* Resets the idempotent requests that wait for an unreachable upstream: their
 * callers would retransmit only after 400, 800 ms and more, past their
 * deadline.  Idle flows stay, as the upstream may be reachable again for their
 * next request. */
static void
reset_waiting(flowset_t *f, upstream_t *u)
{
    LIST_EACH (it, &u->records) {
        record_t *r = CONTAINER_OF(it, record_t, by_upstream);
        if (r->open && !r->ended && r->idempotent && r->request_at != 0) {
            reset(f, r, FLOW_UPSTREAM_UNREACHABLE);
        }
    }
}

void
reach_dead(flowset_t *f, ms_t now, upstream_t *u, const char *why)
{
    set_reach(f, u, REACH_DEAD, why);
    reset_all(f, now, u);
}

/* Returns the better control of BEST and C, which may be unsuitable: local if
 * possible, with the most recent sign of life. */
static upstream_t *
better_control(upstream_t *best, upstream_t *c, const upstream_t *u)
{
    if (c == u || !c->listed || c->reach != REACH_GOOD || c->probing) {
        return best;
    }
    return best == NULL || c->local > best->local ||
                   (c->local == best->local && c->alive_at > best->alive_at)
               ? c
               : best;
}

/* Returns the best control of BEST and CONTROL_SAMPLE upstreams of GROUP from
 * a random one on. */
static upstream_t *
sample_controls(flowset_t *f, const group_t *group, upstream_t *best,
                const upstream_t *u)
{
    uint32_t n = group->n < CONTROL_SAMPLE ? group->n : CONTROL_SAMPLE;
    uint32_t at = n > 0 ? rng_below(&f->rng, group->n) : 0;

    for (uint32_t i = 0; i < n; i++) {
        best = better_control(best, group->up[(at + i) % group->n], u);
    }
    return best;
}

/* Selects a healthy upstream for a control probe, from those of the most
 * recent flows and from random ones: a fixed order would make all instances
 * probe the same upstream. */
static upstream_t *
control_for(flowset_t *f, const upstream_t *u)
{
    upstream_t *best = NULL;
    int n = 0;

    for (link_t *it = f->recent.prev; it != &f->recent && n < CONTROL_SAMPLE;
         it = it->prev, n++) {
        best = better_control(best, CONTAINER_OF(it, record_t, recent)->up, u);
    }
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        if (best == NULL || !best->local) {
            best = sample_controls(f, &s->local, best, u);
        }
        if (best == NULL) {
            best = sample_controls(f, &s->remote, best, u);
        }
    }
    return best;
}

/* Probes U again, together with a control probe of another upstream.  An
 * instance whose own link or CPU is overloaded gets no response from any
 * upstream, and must not reset flows that are merely late.  Only if the
 * control is answered in time, each time, is the timeout attributed to U. */
static void
probe_with_control(flowset_t *f, ms_t now, upstream_t *u)
{
    upstream_t *control = control_for(f, u);

    start_probe(f, now, u);
    if (control != NULL) {
        start_probe(f, now, control);
        control->is_control = true;
    }
}

/* Time of the next probe of U, with exponential backoff. */
static ms_t
next_retry(upstream_t *u, ms_t now)
{
    u->retry_ms = u->retry_ms == 0 ? RETRY_MIN_MS : 2 * u->retry_ms;
    if (u->retry_ms > RETRY_MAX_MS) {
        u->retry_ms = RETRY_MAX_MS;
    }
    return now + u->retry_ms;
}

static void
on_probe_timeout(flowset_t *f, ms_t now, upstream_t *u)
{
    bool control_answered = f->answered_probe_at >= u->probed_at &&
                            f->probe_loss <= PROBE_LOSS_MAX;

    u->timeouts++;
    if (u->reach == REACH_SUSPECT) {
        if (u->timeouts == 1 ||
            (control_answered && u->timeouts < PROBE_TIMEOUTS_MAX)) {
            probe_with_control(f, now, u);
            return;
        }
        if (control_answered) {
            set_reach(f, u, REACH_UNREACHABLE,
                      "it alone did not answer three probes");
            reset_waiting(f, u);
        }
        else {
            u->timeouts = 0; /* inconclusive: start over later */
        }
    }
    schedule(f, u, next_retry(u, now));
}

static void
on_probe_refused(flowset_t *f, ms_t now, upstream_t *u)
{
    bool served_since = u->alive_at > u->refused_at;
    bool proved = true;

    u->refused++;
    u->refused_at = now;
    if (u->a.draining) {
        proved = !u->listed && u->refused >= REFUSED_DRAINING && !served_since;
    }
    if (proved) {
        reach_dead(f, now, u, "its host refused a probe");
    }
    schedule(f, u, next_retry(u, now));
}

static void
update_probe_loss(flowset_t *f, upstream_t *u, flow_probe_t result)
{
    if (u->is_control && result != PROBE_NOT_SENT) {
        f->probe_loss +=
            PROBE_LOSS_WEIGHT * ((result == PROBE_TIMED_OUT) - f->probe_loss);
    }
    u->is_control = false;
}

void
reach_probed(flowset_t *f, ms_t now, upstream_t *u, flow_probe_t result)
{
    u->probing = false;
    schedule(f, u, MS_NEVER);
    update_probe_loss(f, u, result);
    switch (result) {
    case PROBE_ANSWERED:
        if (u->probed_at > f->answered_probe_at) {
            f->answered_probe_at = u->probed_at;
        }
        u->timeouts = 0;
        u->refused = 0;
        u->retry_ms = 0;
        u->unanswered = 0;
        u->alive_at = now;
        u->grace_until = now + PROBE_GRACE_MS;
        set_reach(f, u, REACH_GOOD, "a probe was answered");
        break;
    case PROBE_REFUSED:
        on_probe_refused(f, now, u);
        break;
    case PROBE_RESET:
        /* An overloaded upstream resets probes while it still serves, so its
         * flows must not be reset.  If its process has ended, the next probe
         * is refused. */
        u->timeouts = 0;
        schedule(f, u, now + RESET_RETRY_MS);
        break;
    case PROBE_TIMED_OUT:
        on_probe_timeout(f, now, u);
        break;
    case PROBE_NOT_SENT:
    case PROBE_RESULTS:
        schedule(f, u, next_retry(u, now));
        break;
    }
}

ms_t
reach_tick(flowset_t *f, ms_t now)
{
    ms_t next = MS_NEVER;

    LIST_EACH (it, &f->suspects) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, due);
        if (!u->listed && u->open == 0) {
            schedule(f, u, MS_NEVER);
        }
        else if (u->probe_at <= now) {
            u->probing = false;
            start_probe(f, now, u);
        }
        else if (u->probe_at < next) {
            next = u->probe_at;
        }
    }
    return next;
}
