/* The packets duty: receives callers' packets, decides, and sends. */
#include "tagged/tagged.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define PACKET_BATCH 32 /* packets per recvmmsg() call */
#define BATCHES_MAX 8   /* batches received before timers and probes run */
#define IDLE_MS 1000    /* longest sleep */
#define PUBLISH_MS 500  /* period of the copies of the statistics */
/* Sleep overrun above which the process counts as suspended.  Callers'
 * retransmissions from such a period are no evidence about upstreams. */
#define PAUSE_MS 150
/* Log lines about single flows and upstreams per second, and the burst size.
 * A busy instance opens some hundred flows a second, and a fleet that starts
 * announces thousands of upstreams to each instance; what is beyond the rate
 * appears only in the metrics. */
#define EVENT_LOG_RATE 200

/* Packets in the socket buffer are served if the first routes arrive within
 * this time after the start.  Later, their callers have given up. */
#define START_BACKLOG_MS 1000

typedef struct {
    tagged_t *t;
    flowset_t *flows;
    bool serving;  /* routes and upstreams are available: packets are read */
    bool complete; /* the complete list of upstreams is known */
    provisional_t provisional;
    parked_t
        parked; /* packets whose upstream may be in the rest of the list */
    probes_t probes;
    ms_t now;
    ms_t current_at; /* of the replica, when last read */
    ms_t publish_at;
    ms_t load_at;      /* of the next exchange of loads */
    double log_tokens; /* token bucket of log lines */
    ms_t log_tokens_at;
    sender_t *sender;
    struct mmsghdr in[PACKET_BATCH];
    struct iovec in_iov[PACKET_BATCH];
    char stamp[PACKET_BATCH][UDP_TIMESTAMP_LEN];
    /* One byte more, to detect oversized packets. */
    uint8_t data[PACKET_BATCH][PACKET_MAX_LEN + 1];
} packets_t;

/* ---- Rate-limited log lines ---- */

static bool
log_allowed(packets_t *p)
{
    p->log_tokens +=
        (double)(p->now - p->log_tokens_at) * EVENT_LOG_RATE / 1000;
    p->log_tokens_at = p->now;
    if (p->log_tokens > EVENT_LOG_RATE) {
        p->log_tokens = EVENT_LOG_RATE;
    }
    if (p->log_tokens < 1) {
        counter_add(&p->t->count.log_lines_limited, 1);
        return false;
    }
    p->log_tokens--;
    return true;
}

static void
log_decision(packets_t *p, const flow_packet_t *in, const flow_decision_t *d)
{
    char caller[ADDR_STRLEN], service[ADDR_STRLEN], to[ADDR_STRLEN];

    /* Later packets of a flow follow its tag and need no decision. */
    if (d->reason == FLOW_BY_TAG || !log_allowed(p)) {
        return;
    }
    addr_text(&in->caller, caller);
    addr_text(&in->service, service);
    switch (d->action) {
    case FLOW_FORWARD:
        log_line(LVL_INFO, "flow",
                 "Opening. flow=%s>%s copy=%u reason=%s upstream=%llx to=%s "
                 "service=%s busy=%u open=%u waited_ms=%lld version=%llu "
                 "replica_age_ms=%lld",
                 caller, service, in->ack, flow_reason_name(d->reason),
                 (unsigned long long)d->upstream, addr_text(&d->to, to),
                 d->service, d->busy, d->open, (long long)in->age_ms,
                 (unsigned long long)d->version,
                 (long long)(p->now - p->current_at));
        return;
    case FLOW_RESET:
    case FLOW_DROP:
        if (d->reason == FLOW_OVERLOAD) {
            log_line(LVL_INFO, "flow",
                     "Reset. flow=%s>%s reason=%s service=%s busy=%u limit=%u "
                     "version=%llu",
                     caller, service, flow_reason_name(d->reason), d->service,
                     d->busy, d->limit, (unsigned long long)d->version);
            return;
        }
        log_line(LVL_INFO, "flow",
                 "%s. flow=%s>%s reason=%s tag=%x upstream=%llx seq=%u "
                 "len=%u waited_ms=%lld version=%llu replica_age_ms=%lld",
                 d->action == FLOW_RESET ? "Reset" : "Dropped", caller,
                 service, flow_reason_name(d->reason), in->tag,
                 (unsigned long long)d->upstream, in->seq, in->len,
                 (long long)in->age_ms, (unsigned long long)d->version,
                 (long long)(p->now - p->current_at));
        return;
    }
}

static void
log_request(packets_t *p, const flow_packet_t *in, const flow_decision_t *d,
            const uint8_t *data, size_t len)
{
    char id[PACKET_ID_LEN], caller[ADDR_STRLEN], service[ADDR_STRLEN];

    if (d->begins_request && packet_request_id(data, len, id) &&
        log_allowed(p)) {
        log_line(LVL_INFO, "request",
                 "Begins. request=%s flow=%s>%s upstream=%llx busy=%u", id,
                 addr_text(&in->caller, caller),
                 addr_text(&in->service, service),
                 (unsigned long long)d->upstream, d->busy);
    }
}

/* ---- Output of the flow set ---- */

static void
emit(void *arg, const flow_out_t *out)
{
    packets_t *p = arg;
    char caller[ADDR_STRLEN], service[ADDR_STRLEN];

    switch (out->kind) {
    case FLOW_OUT_RESET:
        sender_reset(p->sender, &out->reset.caller, &out->reset.service,
                     out->reset.seq);
        if (log_allowed(p)) {
            log_line(LVL_INFO, "flow",
                     "Reset. flow=%s>%s reason=%s upstream=%llx seq=%u",
                     addr_text(&out->reset.caller, caller),
                     addr_text(&out->reset.service, service),
                     flow_reason_name(out->reset.reason),
                     (unsigned long long)out->upstream, out->reset.seq);
        }
        return;
    case FLOW_OUT_PROBE:
        if (probes_start(&p->probes, out) < 0) {
            counter_add(&p->t->count.probes_skipped, 1);
        }
        return;
    case FLOW_OUT_EXPIRED:
        tagged_log_expired_request(out->expired);
        return;
    case FLOW_OUT_REACH:
    case FLOW_OUT_LIMIT:
    case FLOW_OUT_ADMISSION:
    case FLOW_OUT_LINK:
    case FLOW_OUT_HEALTH:
        belief_log(out);
        return;
    }
}

static void
probe_done(void *arg, uint64_t upstream, flow_probe_t result)
{
    packets_t *p = arg;

    flowset_probed(p->flows, p->now, upstream, result);
}

/* ---- Packets ---- */

static void
handle_packet(packets_t *p, uint8_t *data, size_t len, ms_t age)
{
    flow_packet_t in;
    flow_decision_t d;

    if (len > PACKET_MAX_LEN || packet_read(&in, data, len) < 0) {
        counter_add(&p->t->count.unreadable, 1);
        return;
    }
    in.age_ms = age;
    flowset_packet(p->flows, p->now, &in, &d);
    if (d.reason == FLOW_TAG_UNKNOWN && !p->complete) {
        parked_add(&p->parked, p->now - age, data, len);
        return;
    }
    log_decision(p, &in, &d);
    switch (d.action) {
    case FLOW_FORWARD:
        if (in.opens) {
            packet_set_tag(data, d.tag);
        }
        log_request(p, &in, &d, data, len);
        sender_forward(p->sender, p->now, &in, data, len, &d);
        return;
    case FLOW_RESET:
        sender_reset(p->sender, &in.caller, &in.service, in.ack);
        return;
    case FLOW_DROP:
        return;
    }
}

/* Handles the parked packets, once the list is complete. */
static void
replay_parked(packets_t *p)
{
    for (size_t i = 0; i < p->parked.n; i++) {
        parked_packet_t *w = &p->parked.packet[i];
        if (p->now - w->arrived <= START_BACKLOG_MS) {
            handle_packet(p, w->data, w->len, p->now - w->arrived);
        }
    }
    sender_flush(p->sender);
    parked_free(&p->parked);
}

/* ---- Changes of the replica ---- */

static void
apply_routes(packets_t *p, store_event_t *ev)
{
    flow_conf_t *c = ev->routes;
    uint64_t version = c->version;
    uint32_t n = c->n_routes;

    ev->routes = NULL;
    if (flowset_set_conf(p->flows, p->now, c) == 0) {
        log_line(LVL_INFO, "routes",
                 "In force. version=%llu routes=%u revision=%llu",
                 (unsigned long long)version, n,
                 (unsigned long long)ev->revision);
    }
}

static void
apply_upstream(packets_t *p, const store_event_t *ev, bool first)
{
    const flow_upstream_t *u = &ev->upstream;
    char addr[ADDR_STRLEN];
    int rc = flowset_set_upstream(p->flows, p->now, u);

    if (rc == 0 && (first || !log_allowed(p))) {
        return; /* the first ones are logged once for the whole list */
    }
    log_line(rc < 0 ? LVL_ERROR : LVL_INFO, "upstreams",
             "Announced. upstream=%llx addr=%s service=%s data_centre=%s "
             "state=%s warm_up_ms=%lld revision=%llu%s",
             (unsigned long long)u->id, addr_text(&u->addr, addr), u->service,
             u->data_centre, u->draining ? "draining" : "ready",
             (long long)u->warm_up_ms, (unsigned long long)ev->revision,
             rc == -EEXIST   ? " error=\"another entry has this id, ignored\""
             : rc == -ESTALE ? " error=\"a former process, ignored\""
             : rc < 0        ? " error=\"out of memory, upstream ignored\""
                             : "");
}

static void
apply_evacuation(packets_t *p, const store_event_t *ev)
{
    const char *data_centre = ev->evacuation.data_centre;
    bool evacuated = ev->evacuation.evacuated;
    int rc = flowset_evacuate(p->flows, data_centre, evacuated, ev->revision);

    if (rc < 0) {
        log_line(LVL_ERROR, "evacuation",
                 "Not %s. data_centre=%s revision=%llu error=\"%s\"",
                 evacuated ? "begun" : "ended", data_centre,
                 (unsigned long long)ev->revision,
                 rc == -ENOSPC ? "too many evacuations in progress"
                               : "out of memory");
        return;
    }
    log_line(LVL_INFO, "evacuation",
             "%s. data_centre=%s upstreams=%d revision=%llu",
             evacuated                                     ? "Begun"
             : flowset_is_evacuated(p->flows, data_centre) ? "Ends"
                                                           : "Ended",
             data_centre, rc, (unsigned long long)ev->revision);
}

static void
apply_event(packets_t *p, store_event_t *ev, bool first)
{
    switch (ev->kind) {
    case STORE_ROUTES:
        apply_routes(p, ev);
        return;
    case STORE_UPSTREAM:
        apply_upstream(p, ev, first);
        return;
    case STORE_UPSTREAM_GONE:
        if (log_allowed(p)) {
            log_line(LVL_INFO, "upstreams",
                     "Withdrawn. upstream=%llx revision=%llu",
                     (unsigned long long)ev->id,
                     (unsigned long long)ev->revision);
        }
        flowset_remove_upstream(p->flows, p->now, ev->id, ev->entry);
        return;
    case STORE_EVACUATION:
        apply_evacuation(p, ev);
        return;
    case STORE_REQUEST:
    case STORE_REQUEST_GONE:
        tagged_apply_request(p->flows, ev);
        return;
    case STORE_PEER:
    case STORE_PEER_GONE:
    case STORE_UNRELATED:
        return;
    }
}

/* Starts to serve when the first routes and upstreams are available.  Until
 * then packets stay in the socket buffer: a reset for a missing route would be
 * wrong, and would use up the callers' retries just when all instances
 * restart. */
static void
start_serving(packets_t *p)
{
    ms_t since = p->now - p->t->started;
    uint64_t dropped = 0;

    while (since > START_BACKLOG_MS &&
           recv(p->t->flow_fd, p->data[0], 1, MSG_DONTWAIT | MSG_TRUNC) >= 0) {
        dropped++;
    }
    p->serving = true;
    ATOMIC_SET(p->t, ready, true);
    log_line(LVL_INFO, "packets", "Serving. since_start_ms=%lld dropped=%llu",
             (long long)since, (unsigned long long)dropped);
}

/* ---- The first list of upstreams ---- */

static void
remove_provisional(void *packets, uint64_t id, uint64_t entry)
{
    packets_t *p = packets;

    flowset_remove_upstream(p->flows, p->now, id, entry);
}

/* LIST is the complete list, which has been applied. */
static void
complete_list(packets_t *p, const changes_t *list)
{
    size_t n = p->provisional.n;
    size_t removed =
        provisional_end(&p->provisional, list, remove_provisional, p);

    p->complete = true;
    if (n > 0) {
        log_line(LVL_INFO, "upstreams",
                 "List complete. provisional=%zu removed=%zu parked=%zu", n,
                 removed, p->parked.n);
    }
    replay_parked(p);
}

/* Stops serving if the list was not completed in time: what is known of it
 * gets old. */
static void
expire_provisional(packets_t *p)
{
    if (!provisional_expired(&p->provisional, p->now)) {
        return;
    }
    log_line(LVL_WARN, "upstreams",
             "The list was not completed in time, not serving. upstreams=%zu",
             p->provisional.n);
    provisional_end(&p->provisional, NULL, remove_provisional, p);
    p->serving = false;
    ATOMIC_SET(p->t, ready, false);
}

static void
apply_changes(packets_t *p, changes_t *c)
{
    if (c->provisional && p->complete) {
        return;
    }
    if (c->provisional) {
        provisional_add(&p->provisional, p->now, c);
    }
    for (size_t i = 0; i < c->n; i++) {
        if (!c->provisional || !tagged_is_request(&c->event[i])) {
            apply_event(p, &c->event[i], c->first || c->provisional);
        }
    }
    if (c->topic == TOPIC_UPSTREAMS && !c->provisional && !p->complete) {
        complete_list(p, c);
    }
    if (c->first) {
        const flow_stats_t *s = flowset_stats(p->flows);
        log_line(LVL_INFO, "upstreams",
                 "Initial list. upstreams=%u usable=%u routes=%u",
                 s->upstreams, s->usable, s->routes);
    }
    if (!p->serving && flowset_ready(p->flows) &&
        (p->complete || p->provisional.n > 0)) {
        start_serving(p);
    }
}

/* Applies updates in order of arrival.  An evacuation that was ended stays in
 * effect until all announcements up to the revision of its end are applied.
 * The revision is read before the messages, so that it covers no message that
 * is still to arrive; under the lock, the changes up to it have been posted.
 * The lock is only tried: its holder may be decoding a long configuration, and
 * packets must not wait for that. */
static void
apply_updates(packets_t *p, duty_t *self)
{
    bool evacuation_ending = flowset_evacuation_ending(p->flows);
    bool locked =
        evacuation_ending && pthread_mutex_trylock(&p->t->follow_lock) == 0;
    uint64_t synced_revision = 0;
    void *msg;

    if (locked) {
        synced_revision = replica_revision(p->t->replica[TOPIC_UPSTREAMS]);
        pthread_mutex_unlock(&p->t->follow_lock);
    }
    while (duty_take(self, &msg, 1) == 1) {
        apply_changes(p, msg);
        changes_free(msg);
    }
    if (evacuation_ending) {
        flowset_upstreams_synced(p->flows, synced_revision);
    }
}

/* ---- The loop ---- */

static void
receive(packets_t *p)
{
    int n = p->serving ? PACKET_BATCH : 0;
    ms_t real_now;

    for (int turn = 0; turn < BATCHES_MAX && n == PACKET_BATCH; turn++) {
        n = recvmmsg(p->t->flow_fd, p->in, PACKET_BATCH, MSG_DONTWAIT, NULL);
        if (n <= 0) {
            return;
        }
        counter_add(&p->t->count.received, (uint64_t)n);
        ATOMIC_SET(p->t, packet_at, p->now);
        real_now = clock_wall();
        for (int i = 0; i < n; i++) {
            struct msghdr *h = &p->in[i].msg_hdr;
            handle_packet(p, p->data[i], p->in[i].msg_len,
                          udp_age(h, real_now));
            h->msg_controllen =
                sizeof(p->stamp[i]); /* reset for the next call */
        }
        sender_flush(p->sender); /* before the buffers are reused */
    }
}

/* Updates the instances that may open flows at upstreams in slow start. */
static void
update_warm_up_instances(packets_t *p)
{
    uint64_t self, warm_up_instance[WARM_UP_INSTANCES_MAX];
    uint32_t n;

    if (pthread_mutex_trylock(&p->t->follow_lock) != 0) {
        return; /* retried at the next call */
    }
    n = sources_local_ranks(&p->t->sources, &self, warm_up_instance,
                            WARM_UP_INSTANCES_MAX);
    pthread_mutex_unlock(&p->t->follow_lock);
    flowset_set_warm_up_instances(p->flows, self, warm_up_instance, n);
}

/* Exchanges state with other duties. */
static void
publish(packets_t *p)
{
    if (p->now < p->publish_at) {
        return;
    }
    update_warm_up_instances(p);
    flowset_set_wall(p->flows, p->now, clock_wall());
    pthread_mutex_lock(&p->t->stats_lock);
    p->t->stats = *flowset_stats(p->flows);
    if (p->t->sharing != FLOW_SHARE_NONE) {
        flowset_load_status(p->flows, p->now, &p->t->load_status);
    }
    pthread_mutex_unlock(&p->t->stats_lock);
    p->current_at = tagged_current_at(p->t);
    p->publish_at = p->now + PUBLISH_MS;
}

static bool
open_flows(packets_t *p, tagged_t *t)
{
    const flow_spec_t spec = {
        .data_centre = t->settings.data_centre,
        .seed = hash64(t->settings.name, strlen(t->settings.name),
                       (uint64_t)t->started),
        .records_max = t->settings.records,
        .flow_ttl_ms = (ms_t)(t->settings.flow_ttl_s * 1000),
        .warm_up_over = t->settings.warm_up_over,
        .warm_up_slack = t->settings.warm_up_slack,
        .sharing = t->sharing,
        .emit = emit,
        .arg = p,
    };

    p->t = t;
    p->flows = flowset_new(&spec);
    p->sender = sender_new(t);
    for (int i = 0; i < PACKET_BATCH; i++) {
        p->in_iov[i] = (struct iovec){p->data[i], sizeof(p->data[i])};
        p->in[i].msg_hdr =
            (struct msghdr){.msg_iov = &p->in_iov[i],
                            .msg_iovlen = 1,
                            .msg_control = p->stamp[i],
                            .msg_controllen = UDP_TIMESTAMP_LEN};
    }
    return p->flows != NULL && p->sender != NULL;
}

static void
sleep_until(packets_t *p, duty_t *self, ms_t next)
{
    struct pollfd fds[2 + PROBES_MAX];
    size_t n;
    ms_t wait, before = p->now, slept;

    /* poll() ignores a negative descriptor. */
    fds[1] = (struct pollfd){.fd = p->serving ? p->t->flow_fd : -1,
                             .events = POLLIN};
    n = 2 + probes_poll(&p->probes, fds + 2, &next);
    wait = next - before;
    wait = wait < 0 ? 0 : wait > IDLE_MS ? IDLE_MS : wait;
    duty_wait(self, fds, n, wait);
    p->now = clock_now();
    slept = p->now - before;
    if (slept > wait + PAUSE_MS) {
        counter_add(&p->t->count.pauses, 1);
        log_line(LVL_WARN, "packets", "The process stood still. ms=%lld",
                 (long long)(slept - wait));
        flowset_paused(p->flows, p->now);
        flowset_set_wall(p->flows, p->now, clock_wall());
    }
}

void
packets_run(duty_t *self, void *tagged)
{
    static packets_t p;
    ms_t next = 0, paced;

    if (!open_flows(&p, tagged)) {
        log_line(LVL_ERROR, "packets", "Out of memory, no flows are served.");
        return;
    }
    p.now = clock_now();
    flowset_set_wall(p.flows, p.now, clock_wall());
    while (!duty_stopping(self)) {
        sleep_until(&p, self, next);
        apply_updates(&p, self);
        expire_provisional(&p);
        receive(&p);
        probes_check(&p.probes, probe_done, &p);
        next = flowset_tick(p.flows, p.now);
        paced = sender_tick(p.sender, p.now);
        next = paced < next ? paced : next;
        p.load_at = load_exchange(p.t, p.flows, p.now, p.load_at);
        next = p.load_at < next ? p.load_at : next;
        publish(&p);
    }
    probes_close(&p.probes);
    sender_free(p.sender);
    flowset_free(p.flows);
}
