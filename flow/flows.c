/* The flows of one instance: packets, announcements and time come in here. */
#include "flow/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* An upstream answers an opening packet at once, and the caller's next packet
 * is here a round trip later: some 10 ms.  So long without it, something is
 * wrong with the upstream or the way to it. */
#define OPENING_MS 80
/* A request unanswered for so long is no longer counted as in progress: it was
 * given up, or its flow goes on through another instance. */
#define ASKED_MAX_MS 3000
/* An upstream that has left is remembered so long for flows that it may still
 * hold; flows are no older on the sites served so far. */
#define FORGET_MS 90000
/* A request of a repeatable route that stays unanswered for so many times the
 * service's average raises a doubt, within these bounds: well before its
 * caller sends again.  Others' answers since then refute it. */
#define ASKING_FACTOR 4
#define ASKING_MIN_MS 60
#define ASKING_MAX_MS 200
/* Between two looks through all records. */
#define SWEEP_MS 500
/* Weight of a new sample in the moving averages of the time to an answer: the
 * last five or so count. */
#define SAMPLE_WEIGHT 0.2

static const char *const reasons[FLOW_REASONS] = {
    [FLOW_BY_TAG] = "tag",
    [FLOW_CHOSEN] = "chosen",
    [FLOW_COPY] = "copy",
    [FLOW_COPY_MOVED] = "copy-moved",
    [FLOW_NO_ROUTE] = "no-route",
    [FLOW_NO_UPSTREAM] = "no-upstream",
    [FLOW_OVERLOAD] = "overload",
    [FLOW_UPSTREAM_DEAD] = "upstream-dead",
    [FLOW_UPSTREAM_OUT] = "upstream-unreachable",
    [FLOW_TAG_UNKNOWN] = "tag-unknown",
    [FLOW_TAG_NONE] = "tag-none",
};

const char *
flow_reason_name(flow_reason_t r)
{
    return r < FLOW_REASONS ? reasons[r] : "?";
}

flowset_t *
flowset_new(const flow_spec_t *spec)
{
    flowset_t *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return NULL;
    }
    f->spec = *spec;
    strncpy(f->data_centre, spec->data_centre, sizeof(f->data_centre) - 1);
    f->rng.seed = spec->seed;
    list_init(&f->upstreams);
    list_init(&f->services);
    list_init(&f->recent);
    list_init(&f->opening);
    list_init(&f->asking);
    list_init(&f->late);
    list_init(&f->doubted);
    if (index_init(&f->by_id) < 0 || index_init(&f->by_tag) < 0 ||
        index_init(&f->by_addr) < 0 || index_init(&f->by_key) < 0 ||
        index_init(&f->by_name) < 0) {
        flowset_free(f);
        return NULL;
    }
    return f;
}

/* U has started anew under its id: it holds none of these flows, and resets
 * them itself when their callers send again. */
static void
forget_flows(flowset_t *f, upstream_t *u)
{
    LIST_EACH (it, &u->records) {
        record_free(f, LIST_OWNER(it, record_t, of));
    }
    u->answer_ms = 0;
    u->unanswered = 0;
}

static void
drop_upstream(flowset_t *f, upstream_t *u)
{
    forget_flows(f, u);
    upstream_free(f, u);
}

void
flowset_free(flowset_t *f)
{
    if (f == NULL) {
        return;
    }
    LIST_EACH (it, &f->upstreams) {
        drop_upstream(f, LIST_OWNER(it, upstream_t, all));
    }
    LIST_EACH (it, &f->services) {
        service_t *s = LIST_OWNER(it, service_t, link);
        free(s->near.up);
        free(s->far.up);
        free(s);
    }
    index_free(&f->by_id);
    index_free(&f->by_tag);
    index_free(&f->by_addr);
    index_free(&f->by_key);
    index_free(&f->by_name);
    flow_conf_free(f->conf);
    free(f);
}

/* ---- Announcements ---- */

static int
route_order(const void *a, const void *b)
{
    const flow_route_t *x = a, *y = b;
    int rc = memcmp(x->addr.ip, y->addr.ip, sizeof(x->addr.ip));

    return rc != 0 ? rc : (int)x->addr.port - (int)y->addr.port;
}

int
flowset_set_conf(flowset_t *f, ms_t now, flow_conf_t *c)
{
    (void)now;
    if (f->conf != NULL && c->version <= f->conf->version) {
        flow_conf_free(c);
        return -ESTALE;
    }
    qsort(c->routes, c->n_routes, sizeof(*c->routes), route_order);
    flow_conf_free(f->conf);
    f->conf = c;
    return 0;
}

static void
end_at(flowset_t *f, ms_t now, upstream_t *u)
{
    u->listed = false;
    u->unlisted_at = now;
    upstream_withdraw(u);
    reach_dead(f, now, u, "its address is another upstream's now");
}

/* An address is given to another upstream only after the one that was there
 * has ended, though its announcement may outlast it.  Ends those announced
 * before A; true when A itself is the former one. */
static bool
end_former(flowset_t *f, ms_t now, const flow_upstream_t *a)
{
    bool former = false;

    INDEX_EACH (it, &f->by_addr, addr_hash(&a->addr)) {
        upstream_t *u = LIST_OWNER(it, upstream_t, by_addr.link);
        if (u->a.id == a->id || !addr_eq(&u->a.addr, &a->addr)) {
            continue;
        }
        if (u->a.revision > a->revision) {
            former = true;
        }
        else if (u->reach != REACH_DEAD) {
            end_at(f, now, u);
        }
    }
    return former;
}

int
flowset_set_upstream(flowset_t *f, ms_t now, const flow_upstream_t *a)
{
    upstream_t *u = upstream_by_id(f, a->id);
    bool former = end_former(f, now, a);

    if (u != NULL && (strcmp(u->a.service, a->service) != 0 ||
                      !addr_eq(&u->a.addr, &a->addr))) {
        drop_upstream(f, u); /* the id now stands for something else */
        u = NULL;
    }
    if (u == NULL) {
        u = upstream_new(f, a);
    }
    if (u == NULL) {
        return -ENOMEM;
    }
    if (u->a.born_ms != a->born_ms) {
        forget_flows(f, u);
    }
    u->a = *a;
    u->warm_at = now + a->warm_up_ms;
    if (former) {
        end_at(f, now, u);
        return 0;
    }
    u->listed = true;
    reach_announced(f, now, u);
    return upstream_offer(u);
}

static void
unlist(flowset_t *f, ms_t now, upstream_t *u)
{
    u->listed = false;
    u->unlisted_at = now;
    if (u->a.draining) {
        upstream_withdraw(u);
    }
    /* It has left or died, or its announcement lapsed: ask its host, so that
     * callers with idle flows needn't find out by waiting. */
    reach_ask(f, now, u, "its announcement is gone");
}

void
flowset_remove_upstream(flowset_t *f, ms_t now, uint64_t id)
{
    upstream_t *u = upstream_by_id(f, id);

    if (u != NULL && u->listed) {
        unlist(f, now, u);
    }
}

/* ---- Packets ---- */

static void
decide(flow_decision_t *d, flow_verb_t verb, flow_reason_t reason)
{
    d->verb = verb;
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
sample(double *average, double weight, double value)
{
    *average = *average == 0 ? value : *average + weight * (value - *average);
}

/* An answer's first acknowledgement. */
static void
answer_seen(flowset_t *f, ms_t now, record_t *r)
{
    double ms = (double)(now - r->asked_at);

    hist_add(&f->stats.answer_ms, (uint64_t)ms);
    if (r->repeatable) { /* uploads take as long as the caller sends */
        sample(&r->up->answer_ms, SAMPLE_WEIGHT, ms + 1);
        r->up->answered_at = now;
        if (r->goal_ms > 0) {
            limit_answered(&r->up->group->limit, now, &r->up->service->alone,
                           ms / (double)r->goal_ms, r->busy_then);
        }
    }
    record_answered(r);
}

/* A packet of a flow whose upstream is known. */
static void
follow(flowset_t *f, ms_t now, const flow_packet_t *p, record_t *r)
{
    uint32_t end = p->seq + p->len;
    bool fresh = (int32_t)(end - r->seq_end) > 0;
    upstream_t *u = r->up;

    if (!r->open) {
        record_opened(r);
        hist_add(&f->stats.open_ms, (uint64_t)(now - r->sent_at));
        r->seq_end = end - p->len;
        r->ack = p->ack;
        fresh = p->len > 0;
        reach_alive(f, now - p->age_ms, u);
    }
    else if ((int32_t)(p->ack - r->ack) > 0) {
        r->ack = p->ack;
        reach_alive(f, now - p->age_ms, u);
        if (r->asked_at != 0 && fresh) {
            record_answered(r); /* some time before the caller asked again */
        }
        else if (r->asked_at != 0) {
            answer_seen(f, now, r);
        }
    }
    else if (p->len > 0 && !fresh && now - r->sent_at >= REPEAT_MIN_MS) {
        reach_doubt(f, now, u, r->sent_at, "a caller repeats itself");
    }
    if (fresh) {
        r->seq_end = end;
        r->sent_at = now;
        if (r->asked_at == 0 && p->len > 0) {
            record_asked(f, r, now);
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

/* May a flow be ended that its upstream can't be told of?  Only if the caller
 * may repeat what it asked for, and asks for something now. */
static bool
may_give_up(const flowset_t *f, const flow_packet_t *p, const upstream_t *u)
{
    const flow_route_t *route = route_find(f, &p->service);

    return u->reach == REACH_OUT && p->len > 0 && route != NULL &&
           route->repeatable;
}

static void
take_later(flowset_t *f, ms_t now, const flow_packet_t *p, flow_decision_t *d)
{
    upstream_t *u = upstream_by_tag(f, p->tag);
    record_t *r;

    if (u == NULL) {
        decide(d, FLOW_DROP, p->tag == 0 ? FLOW_TAG_NONE : FLOW_TAG_UNKNOWN);
        return;
    }
    r = record_find(f, &p->caller, &p->service);
    if (u->reach == REACH_DEAD || may_give_up(f, p, u)) {
        decide(d, FLOW_RESET,
               u->reach == REACH_DEAD ? FLOW_UPSTREAM_DEAD
                                      : FLOW_UPSTREAM_OUT);
        d->upstream = u->a.id;
        d->service = u->a.service;
        if (r != NULL) {
            record_free(f, r);
        }
        return;
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
        d->asks = p->len > 0;
    }
    else {
        bool asked = r->asked_at != 0;
        follow(f, now, p, r);
        touch(f, now, r);
        d->asks = !asked && r->asked_at != 0;
    }
    if (r != NULL && p->ends) {
        record_ended(r); /* kept: the last packets must not look like a flow */
    }
}

/* May another opening packet of the same caller have opened the flow, through
 * another instance or before an upstream died?  Then the caller must not be
 * told that it failed. */
static bool
opened_elsewhere(const flow_packet_t *p)
{
    return p->ack > 0 || p->age_ms >= REPEAT_MIN_MS;
}

static void
refuse_opening(const flow_packet_t *p, flow_reason_t reason,
               flow_decision_t *d)
{
    decide(d, opened_elsewhere(p) ? FLOW_DROP : FLOW_RESET, reason);
}

/* A copy of an opening packet that nobody answered: another upstream takes it,
 * or the same if it is the only one. */
static void
take_copy(flowset_t *f, ms_t now, record_t *r, const flow_route_t *route,
          flow_decision_t *d)
{
    upstream_t *u;

    reach_doubt(f, now, r->up, r->sent_at, "an opening packet is repeated");
    u = choose(f, now, route, r->up, ADMIT_ALL).up;
    if (u == NULL) {
        decide(d, FLOW_DROP, FLOW_NO_UPSTREAM); /* as refuse_opening() */
        record_free(f, r);
        return;
    }
    r->copied = true;
    forward(d, u == r->up ? FLOW_COPY : FLOW_COPY_MOVED, u);
    if (u != r->up) {
        record_move(r, u);
    }
    r->sent_at = now;
    touch(f, now, r);
}

static void
take_opening(flowset_t *f, ms_t now, const flow_packet_t *p,
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
        take_copy(f, now, r, route, d);
        return;
    }
    if (r != NULL) { /* the caller's port is used again */
        record_free(f, r);
    }
    c = choose(f, now, route, NULL,
               opened_elsewhere(p) ? ADMIT_ALL : ADMIT_IN_GOAL);
    if (c.up == NULL) {
        refuse_opening(p, c.full != NULL ? FLOW_OVERLOAD : FLOW_NO_UPSTREAM,
                       d);
        if (c.full != NULL) {
            d->busy = c.full->limit.busy;
            d->limit = (uint32_t)c.full->limit.most;
        }
        return;
    }
    forward(d, FLOW_CHOSEN, c.up);
    r = record_new(f, now, p, c.up, route);
    if (r != NULL) {
        r->copied = opened_elsewhere(p);
    }
}

void
flowset_packet(flowset_t *f, ms_t now, const flow_packet_t *p,
               flow_decision_t *d)
{
    *d = (flow_decision_t){.version = f->conf ? f->conf->version : 0};
    if (p->opens) {
        take_opening(f, now, p, d);
    }
    else {
        take_later(f, now, p, d);
    }
    f->stats.packets[d->reason]++;
}

/* ---- Time ---- */

void
flowset_probed(flowset_t *f, ms_t now, uint64_t id, flow_probe_t result)
{
    upstream_t *u = upstream_by_id(f, id);

    f->stats.probes[result]++;
    if (u != NULL && u->probing) {
        reach_probed(f, now, u, result);
    }
}

void
flowset_paused(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->recent) {
        record_t *r = LIST_OWNER(it, record_t, recent);
        r->sent_at = now;
        r->asked_at = r->asked_at != 0 ? now : 0;
    }
}

/* Opening packets that went unanswered; returns when the next would be. */
static ms_t
check_opening(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->opening) {
        record_t *r = LIST_OWNER(it, record_t, waiting);
        if (now - r->sent_at < OPENING_MS) {
            return r->sent_at + OPENING_MS;
        }
        record_unheard(r);
        r->up->unanswered++;
        reach_doubt(f, now, r->up, r->sent_at,
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
        if (r->repeatable) { /* an upload is answered when it has ended */
            reach_doubt(f, now, r->up, r->asked_at,
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

/* Requests whose answer won't be seen here no longer count as in progress. */
static void
check_asked(flowset_t *f, ms_t now)
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

static void
forget_upstreams(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = LIST_OWNER(it, upstream_t, all);
        if (!u->listed && !u->probing && now - u->unlisted_at > FORGET_MS) {
            drop_upstream(f, u);
        }
    }
}

ms_t
flowset_tick(flowset_t *f, ms_t now)
{
    ms_t opening = check_opening(f, now);
    ms_t asking = check_asking(f, now);
    ms_t probe = reach_tick(f, now);
    ms_t next = opening < probe ? opening : probe;

    next = asking < next ? asking : next;
    check_late(f, now);
    if (now >= f->sweep_at) {
        check_asked(f, now);
        records_expire(f, now);
        forget_upstreams(f, now);
        LIST_EACH (it, &f->services) {
            choice_sweep(LIST_OWNER(it, service_t, link), now);
        }
        f->sweep_at = now + SWEEP_MS;
    }
    return f->n_records > 0 && f->sweep_at < next ? f->sweep_at : next;
}

/* ---- What there is ---- */

const flow_stats_t *
flowset_stats(flowset_t *f)
{
    flow_stats_t *s = &f->stats;

    s->version = f->conf != NULL ? f->conf->version : 0;
    s->routes = f->conf != NULL ? f->conf->n_routes : 0;
    s->upstreams = f->n_upstreams;
    s->records = f->n_records;
    s->usable = 0;
    LIST_EACH (it, &f->upstreams) {
        const upstream_t *u = LIST_OWNER(it, upstream_t, all);
        s->usable += u->listed && !u->a.draining && u->reach == REACH_GOOD;
    }
    return s;
}

bool
flowset_ready(const flowset_t *f)
{
    return f->conf != NULL && f->n_upstreams > 0;
}
