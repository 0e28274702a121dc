/* Decision for each packet: forward, reset or drop. */
#include "flow/state.h"

/* Smoothing factor of the average response time (EWMA): about the last five
 * samples count. */
#define LATENCY_WEIGHT 0.2

/* Bytes of data in a packet.  A response of more is acknowledged with its
 * second packet, at once. */
#define SEGMENT_MAX 1200

static const char *const reasons[FLOW_REASONS] = {
    [FLOW_BY_TAG] = "tag",
    [FLOW_CHOSEN] = "chosen",
    [FLOW_COPY] = "copy",
    [FLOW_COPY_MOVED] = "copy-moved",
    [FLOW_NO_ROUTE] = "no-route",
    [FLOW_NO_UPSTREAM] = "no-upstream",
    [FLOW_WARM_UP] = "warm-up",
    [FLOW_EVACUATED] = "evacuated",
    [FLOW_OVERLOAD] = "overload",
    [FLOW_CALLER_SHARE] = "caller-share",
    [FLOW_HELD_DOWN] = "held-down",
    [FLOW_UPSTREAM_DEAD] = "upstream-dead",
    [FLOW_UPSTREAM_UNREACHABLE] = "upstream-unreachable",
    [FLOW_TAG_UNKNOWN] = "tag-unknown",
    [FLOW_TAG_NONE] = "tag-none",
};

const char *
flow_reason_name(flow_reason_t r)
{
    return r < FLOW_REASONS ? reasons[r] : "?";
}

static void
decide(flow_decision_t *d, flow_action_t action, flow_reason_t reason)
{
    d->action = action;
    d->reason = reason;
}

static void
forward(flow_decision_t *d, flow_reason_t reason, const upstream_t *u)
{
    decide(d, FLOW_FORWARD, reason);
    d->upstream = u->a.id;
    d->to = u->a.addr;
    d->tag = (uint32_t)u->a.id;
    d->service = u->a.service;
    d->busy = u->busy;
    d->open = u->open;
}

static void
update_average(double *average, double weight, double value)
{
    *average = *average == 0 ? value : *average + weight * (value - *average);
}

static void
emit_limit(flowset_t *f, const upstream_t *u)
{
    const limit_t *l = &u->group->limit;
    flow_out_t out = {.kind = FLOW_OUT_LIMIT};

    out.limit.service = u->service->name;
    out.limit.local = u->local;
    out.limit.in_force = l->max_in_flight > 0;
    out.limit.busy = l->in_flight;
    out.limit.max_in_flight = (uint32_t)l->max_in_flight;
    out.limit.tail_latency = l->tail_latency;
    out.limit.target = limit_target(&u->service->baseline);
    out.limit.refused = l->refused;
    f->spec.emit(f->spec.arg, &out);
}

/* Handles the first acknowledgement of a response, of BYTES. */
static void
on_answer(flowset_t *f, ms_t now, record_t *r, uint32_t bytes, ack_kind_t kind)
{
    double ms = (double)(now - r->request_at);

    hist_add(&f->stats.answer_ms, (uint64_t)ms);
    measure_response(f, now, r, bytes, kind);
    if (r->idempotent) {
        /* Other requests may be uploads, whose duration depends on the caller.
         * 1 ms is added since 0 stands for no sample. */
        update_average(&r->up->answer_ms, LATENCY_WEIGHT, ms + 1);
        r->up->answered_at = now;
        list_remove(&r->up->answered);
        list_append(&r->up->service->answered, &r->up->answered);
        if (r->goal_ms > 0 && limit_on_response(&r->up->group->limit, now,
                                                &r->up->service->baseline,
                                                ms / (double)r->goal_ms,
                                                r->in_flight_at_start)) {
            emit_limit(f, r->up);
        }
    }
    record_request_end(r);
}

/* A flow was opened at U: the way to its data centre and back works. */
static void
link_answered(flowset_t *f, ms_t now, const upstream_t *u)
{
    if (!u->local && u->data_centre != NO_DATA_CENTRE) {
        place_link_heard(&f->data_centre_of[u->data_centre].link, now);
    }
}

/* Updates the record of a flow with a later packet. */
static void
track_flow(flowset_t *f, ms_t now, const flow_packet_t *p, record_t *r)
{
    uint32_t end = p->seq + p->len, acked = p->ack - r->ack;
    bool new_data = (int32_t)(end - r->seq_end) > 0;
    upstream_t *u = r->up;

    if (!r->open) {
        record_opened(r);
        hist_add(&f->stats.open_ms, (uint64_t)(now - r->sent_at));
        r->seq_end = end - p->len;
        r->ack = p->ack;
        new_data = p->len > 0;
        reach_alive(f, now - p->age_ms, u);
        link_answered(f, now, u);
    }
    else if ((int32_t)acked > 0) {
        r->ack = p->ack;
        reach_alive(f, now - p->age_ms, u);
        if (r->request_at != 0 && new_data) {
            /* The response time is unknown: the caller acknowledged the
             * response only with this request, after a pause. */
            measure_response(f, now, r, acked, ACK_WITH_REQUEST);
            record_request_end(r);
        }
        else if (r->request_at != 0) {
            on_answer(f, now, r, acked,
                      acked > SEGMENT_MAX || p->ends ? ACK_AT_ONCE
                                                     : ACK_DELAYED);
        }
    }
    else if (p->len > 0 && !new_data && now - r->sent_at >= REPEAT_MIN_MS) {
        reach_suspect(f, now, u, r->sent_at, "a retransmission");
    }
    if (new_data) {
        r->seq_end = end;
        r->sent_at = now;
        if (r->request_at == 0 && p->len > 0) {
            r->request_seq = p->seq;
            record_request_begin(f, r, now);
            measure_request(u->service, now);
        }
    }
}

static void
touch(flowset_t *f, ms_t now, record_t *r)
{
    r->last_at = now;
    list_remove(&r->recent);
    list_append(&f->recent, &r->recent);
}

/* Returns true if a flow may be reset although its upstream can't be notified:
 * only if the upstream is unreachable, the route's requests are idempotent,
 * and the packet carries request data. */
static bool
may_reset_unreachable(const flowset_t *f, const flow_packet_t *p,
                      const upstream_t *u)
{
    const flow_route_t *route = route_find(f, &p->service);

    return u->reach == REACH_UNREACHABLE && p->len > 0 && route != NULL &&
           route->idempotent;
}

static void
handle_packet(flowset_t *f, ms_t now, const flow_packet_t *p,
              flow_decision_t *d)
{
    upstream_t *u = upstream_by_tag(f, p->tag);
    record_t *r;

    if (u == NULL) {
        decide(d, FLOW_DROP, p->tag == 0 ? FLOW_TAG_NONE : FLOW_TAG_UNKNOWN);
        return;
    }
    r = record_find(f, &p->caller, &p->service);
    if (u->reach == REACH_DEAD || may_reset_unreachable(f, p, u)) {
        decide(d, FLOW_RESET,
               u->reach == REACH_DEAD ? FLOW_UPSTREAM_DEAD
                                      : FLOW_UPSTREAM_UNREACHABLE);
        d->upstream = u->a.id;
        d->service = u->a.service;
        if (r != NULL) {
            record_free(f, r);
        }
        return;
    }
    if (!u->listed) {
        reach_unlisted(f, now, u);
    }
    forward(d, FLOW_BY_TAG, u);
    if (r != NULL && r->up != u) {
        record_move(r, u);
    }
    if (p->resets) {
        if (r != NULL) {
            record_free(f, r);
        }
        return;
    }
    if (r == NULL) {
        r = record_new(f, now, p, u, route_find(f, &p->service));
        d->begins_request = p->len > 0;
    }
    else {
        bool had_request = r->request_at != 0;
        track_flow(f, now, p, r);
        touch(f, now, r);
        d->begins_request = !had_request && r->request_at != 0;
    }
    if (r != NULL && p->ends) {
        record_ended(r); /* kept, so that the flow's last packets don't create
                          * a new record */
    }
}

/* Returns true if another opening packet of the same caller may have opened
 * the flow, through another instance or before an upstream died.  The caller
 * must then not be reset.  A packet that was read late counts too: the caller
 * may have sent a copy in the meantime. */
static bool
maybe_opened_elsewhere(const flow_packet_t *p)
{
    return p->ack > 0 || p->age_ms >= REPEAT_MIN_MS;
}

static void
refuse_opening(const flow_packet_t *p, flow_reason_t reason,
               flow_decision_t *d)
{
    decide(d, maybe_opened_elsewhere(p) ? FLOW_DROP : FLOW_RESET, reason);
}

static flow_reason_t
refusal_reason(const choice_t *c)
{
    return c->full != NULL             ? FLOW_OVERLOAD
           : c->refused != FLOW_BY_TAG ? c->refused
           : c->warm_up                ? FLOW_WARM_UP
           : c->evacuated              ? FLOW_EVACUATED
                                       : FLOW_NO_UPSTREAM;
}

/* Handles a copy of an unanswered opening packet: it goes to another upstream,
 * or to the same one if there is no other. */
static void
handle_opening_copy(flowset_t *f, ms_t now, const flow_packet_t *p,
                    record_t *r, const flow_route_t *route, flow_decision_t *d)
{
    upstream_t *u;
    choice_t c;

    reach_suspect(f, now, r->up, r->sent_at, "a retransmitted opening packet");
    c = spread(f, now, p, route, r->up, ADMIT_ALL);
    u = c.up;
    if (u == NULL) {
        decide(d, FLOW_DROP, refusal_reason(&c)); /* as in refuse_opening() */
        record_free(f, r);
        return;
    }
    r->retransmitted = true;
    warm_up_opened(f, now, u);
    forward(d, u == r->up ? FLOW_COPY : FLOW_COPY_MOVED, u);
    if (u != r->up) {
        record_move(r, u);
    }
    r->sent_at = now;
    touch(f, now, r);
}

static void
handle_opening(flowset_t *f, ms_t now, const flow_packet_t *p,
               flow_decision_t *d)
{
    const flow_route_t *route = route_find(f, &p->service);
    record_t *r = record_find(f, &p->caller, &p->service);
    choice_t c;

    if (route == NULL) {
        refuse_opening(p, FLOW_NO_ROUTE, d);
        return;
    }
    if (r != NULL && !r->open && p->ack > 0) {
        handle_opening_copy(f, now, p, r, route, d);
        return;
    }
    if (r != NULL) { /* the caller reuses its port */
        record_free(f, r);
    }
    c = spread(f, now, p, route, NULL,
               maybe_opened_elsewhere(p) ? ADMIT_ALL : ADMIT_IN_GOAL);
    if (c.up == NULL) {
        refuse_opening(p, refusal_reason(&c), d);
        d->service = c.service;
        if (c.full != NULL) {
            d->busy = c.full->limit.in_flight;
            d->limit = (uint32_t)c.full->limit.max_in_flight;
        }
        return;
    }
    warm_up_opened(f, now, c.up);
    forward(d, FLOW_CHOSEN, c.up);
    r = record_new(f, now, p, c.up, route);
    if (r != NULL) {
        r->retransmitted = maybe_opened_elsewhere(p);
    }
}

void
flowset_packet(flowset_t *f, ms_t now, const flow_packet_t *p,
               flow_decision_t *d)
{
    *d = (flow_decision_t){.version = f->conf ? f->conf->version : 0};
    if (p->opens) {
        handle_opening(f, now, p, d);
    }
    else {
        handle_packet(f, now, p, d);
    }
    f->stats.packets[d->reason]++;
}
