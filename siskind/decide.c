/* The decide duty: owns core and members, and makes every decision. */
#include "siskind/decide.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MSGS_PER_TURN 64
#define TICK_MS 20
#define PORTS_RETRY_MS 1000

/* Sizes of core's tables: 16 MB of flows, 12 MB of hints and 19 MB of
 * exchanges when full.  The record of a non-idempotent request is kept for
 * EXCHANGE_LIFETIME_MS, or for OWNER_SETTLE_MS once three quarters of the
 * table are in use.  No record is lost up to some 200 such requests a second,
 * or 1,000 with the shorter lifetime. */
#define MAX_FLOWS 500000
#define MAX_HINTS 500000
#define MAX_EXCHANGES 65536

static void
on_peer(decide_t *c, const packet_t *p)
{
    peer_msg_t m;

    if (peer_read(&m, p->data + p->start, p->len, c->d->peer_key) < 0 ||
        m.from == c->d->self) {
        counter_add(&c->d->count.peer_refused, 1);
        return;
    }
    if (m.kind != PEER_MEMBER) {
        core_from_peer(c->core, c->now, &m);
        return;
    }
    if (members_receive(c->members, c->now, m.from, m.member.body,
                        m.member.len) < 0) {
        counter_add(&c->d->count.peer_refused, 1);
    }
}

/* Copies the addresses: when the packet's buffer is reused for the output, its
 * addresses are overwritten while core still reads them. */
static void
decide_packet(decide_t *c, const packet_t *p)
{
    addr_t service = p->service;
    addr_t remote = p->remote;
    const uint8_t *data = p->data + p->start;

    switch (p->sock) {
    case SOCK_SERVICE:
        core_from_client(c->core, c->now, &service, &remote, data, p->len);
        return;
    case SOCK_RETURN:
    case SOCK_OWN:
        core_from_upstream(c->core, c->now, &remote, data, p->len);
        return;
    case SOCK_PEER:
        on_peer(c, p);
        return;
    }
}

static void
on_packet(decide_t *c, packet_t *p)
{
    if (c->now - p->at > STALE_MS) {
        counter_add(&c->d->count.stale_in, 1);
        msg_drop(p);
        return;
    }
    c->current = p;
    c->current_taken = false;
    decide_packet(c, p);
    c->current = NULL;
    if (c->current_taken) {
        output_current(c, p);
    }
    else {
        msg_drop(p);
    }
}

static void
post_ports(decide_t *c, duty_t *to)
{
    control_t *ctl = control_new(MSG_PORTS);

    if (ctl == NULL) {
        return;
    }
    ctl->ports = ports_retain(c->ports);
    if (control_post(to, ctl) < 0) {
        c->ports->missing = true; /* retry */
    }
}

/* Opens the services' sockets; tick() retries those that can't be bound. */
static void
open_ports(decide_t *c)
{
    port_set_t *p = ports_make(c->conf, &c->d->settings, c->ports);

    c->ports_at = c->now;
    if (p == NULL) {
        return;
    }
    ports_release(c->ports);
    c->ports = p;
    post_ports(c, c->send); /* first: answers need their socket */
    post_ports(c, c->receive);
}

/* Passes the version in force to bulk, which serves it to peers. */
static void
publish(decide_t *c, char *json, ms_t age)
{
    control_t *ctl = control_new(MSG_BUNDLE);

    if (ctl == NULL) {
        free(json);
        return;
    }
    ctl->conf.json = json;
    ctl->conf.version = c->conf->version;
    ctl->conf.age = age;
    control_post(c->bulk, ctl);
}

/* Versions only increase: a late answer from the platform, or one from a peer
 * that is behind, is rejected here. */
static void
on_conf(decide_t *c, control_t *ctl)
{
    conf_t *conf = ctl->conf.conf;
    conf_t *old = c->conf;
    int rc;

    bool complete = ctl->conf.complete ||
                    (ctl->conf.first && !core_saw_older_member(c->core));

    if (complete && old == NULL) {
        core_set_history_complete(c->core);
    }
    rc = core_set_conf(c->core, c->now - ctl->conf.age, conf);
    if (rc == -ENOMEM) {
        log_line(LVL_ERROR, "decide",
                 "Out of memory: a version is not applied. version=%llu",
                 (unsigned long long)conf->version);
    }
    if (rc < 0) {
        return;
    }
    SHARED_SET(c->d, history_complete, core_history_is_complete(c->core));
    ctl->conf.conf = NULL;
    c->conf = conf;
    c->conf_at = c->now - ctl->conf.age;
    members_set_version(c->members, c->now, conf->version, conf->hash);
    SHARED_SET(c->d, version, conf->version);
    open_ports(c);
    publish(c, ctl->conf.json, ctl->conf.age);
    ctl->conf.json = NULL;
    conf_free(old);
    log_line(LVL_INFO, "decide",
             "A version is in force. version=%llu "
             "services=%u change=%s",
             (unsigned long long)conf->version, conf->n_services,
             conf->change_id);
}

static void
on_list(decide_t *c, const control_t *ctl)
{
    uint64_t *ids = calloc(ctl->list.n + 1, sizeof(*ids));
    size_t others = 0;
    bool listed = false;

    if (ids == NULL) {
        return;
    }
    for (size_t i = 0; i < ctl->list.n; i++) {
        const plat_instance_t *in = &ctl->list.instance[i];
        member_t m = {.id = instance_id(in->name),
                      .peer_addr = in->peer_addr,
                      .bulk_addr = in->bulk_addr,
                      .state = MEMBER_JOINING};
        ids[i] = m.id;
        listed |= m.id == c->d->self;
        if (m.id == c->d->self || in->leaving) {
            continue;
        }
        others++;
        memcpy(m.name, in->name, sizeof(m.name));
        memcpy(m.data_centre, in->data_centre, sizeof(m.data_centre));
        members_add_peer(c->members, c->now, &m);
    }
    members_apply_list(c->members, c->now, ids, ctl->list.n);
    c->listed_alone = listed && others == 0;
    free(ids);
}

static void
on_control(decide_t *c, control_t *ctl)
{
    switch (ctl->kind) {
    case MSG_CONF:
        on_conf(c, ctl);
        break;
    case MSG_LIST:
        on_list(c, ctl);
        break;
    case MSG_QUERY:
        answer_query(c, ctl->query);
        break;
    case MSG_LEAVE:
        c->stopping = true;
        life_leave(c);
        break;
    default:
        break;
    }
}

/* Passes the members, the last time at which ownership was uncertain and the
 * lowest version to core when any of them changed. */
static void
update_core_members(decide_t *c)
{
    const member_t *list;
    size_t n;
    uint32_t peers = 0;
    ms_t uncertain_at = members_uncertain_at(c->members, c->now);
    uint64_t lowest_version = members_lowest_version(c->members);

    if (!c->members_changed && uncertain_at == c->core_uncertain_at &&
        lowest_version == c->core_lowest_version) {
        return;
    }
    c->members_changed = false;
    c->core_uncertain_at = uncertain_at;
    c->core_lowest_version = lowest_version;
    n = members_list(c->members, &list);
    if (core_set_members(c->core, c->now, list, n, uncertain_at,
                         lowest_version) < 0) {
        log_line(LVL_ERROR, "decide",
                 "Out of memory: the members are applied later. members=%zu",
                 n);
        c->members_changed = true;
        return;
    }
    for (size_t i = 0; i < n; i++) {
        peers += list[i].id != c->d->self && list[i].state != MEMBER_GONE;
    }
    SHARED_SET(c->d, peers, peers);
}

static void
tick(decide_t *c)
{
    c->tick_at = c->now + TICK_MS;
    members_tick(c->members, c->now);
    core_tick(c->core, c->now);
    SHARED_SET(c->d, watches,
               members_watches_platform(c->members, WATCHERS_PER_DATA_CENTRE));
    life_tick(c);
    if (c->ports != NULL && c->ports->missing &&
        c->now - c->ports_at >= PORTS_RETRY_MS) {
        open_ports(c);
    }
}

/* Ticks first: after a pause, the tick drops all identity leases before any
 * message from before the pause is handled. */
static void
run_once(decide_t *c, duty_t *self)
{
    void *msg[MSGS_PER_TURN];
    size_t n = duty_take(self, msg, MSGS_PER_TURN);

    c->now = clock_now();
    if (c->now >= c->tick_at) {
        tick(c);
    }
    for (size_t i = 0; i < n; i++) {
        if (((control_t *)msg[i])->kind == MSG_PACKET) {
            on_packet(c, msg[i]);
        }
        else {
            on_control(c, msg[i]);
            msg_drop(msg[i]);
        }
        if (c->members_changed) {
            update_core_members(c);
        }
    }
    update_core_members(c);
    duty_wake(c->send);
    if (n == 0) {
        duty_wait(self, NULL, 0, c->tick_at - c->now);
    }
}

/* Adds the peers named in the settings.  They provide a new instance with the
 * members and the version in force while the platform is unreachable. */
static void
add_seed_peers(decide_t *c)
{
    const settings_t *s = &c->d->settings;

    for (int i = 0; i < s->n_peers; i++) {
        const settings_peer_t *p = &s->peer[i];
        member_t m = {.id = instance_id(p->name),
                      .peer_addr = p->peer_addr,
                      .bulk_addr = p->bulk_addr,
                      .state = MEMBER_JOINING};
        memcpy(m.name, p->name, sizeof(m.name));
        memcpy(m.data_centre, p->data_centre, sizeof(m.data_centre));
        if (m.id != c->d->self) {
            members_add_peer(c->members, c->d->started, &m);
        }
    }
}

static bool
decide_open(decide_t *c, duty_t *self)
{
    daemon_t *d = c->d;
    const settings_t *s = &d->settings;
    kern_t *k = duty_kern(self);
    member_params_t params = MEMBER_PARAMS_DEFAULT;
    member_t me = {.id = d->self,
                   .peer_addr = s->peer_addr,
                   .bulk_addr = s->bulk_addr,
                   .incarnation = (uint32_t)time(NULL),
                   .state = MEMBER_JOINING};
    core_params_t core = {.self = d->self,
                          .own_addr = s->own_addr,
                          .seed = d->self ^ (uint64_t)time(NULL),
                          .max_flows = MAX_FLOWS,
                          .max_hints = MAX_HINTS,
                          .max_exchanges = MAX_EXCHANGES};

    memcpy(me.name, s->name, sizeof(me.name));
    memcpy(me.data_centre, s->data_centre, sizeof(me.data_centre));
    c->receive = kern_find(k, "receive");
    c->send = kern_find(k, "send");
    c->bulk = kern_find(k, "bulk");
    c->roster = kern_find(k, "roster");
    c->main = kern_find(k, "main");
    c->state = MEMBER_JOINING;
    c->members_changed = true;
    c->core = core_new(&core, output_core, c);
    c->members = members_new(&me, &params, core.seed, output_member, c);
    if (c->core == NULL || c->members == NULL) {
        return false;
    }
    add_seed_peers(c);
    return true;
}

void
decide_run(duty_t *self, void *daemon)
{
    decide_t *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return;
    }
    c->d = daemon;
    if (!decide_open(c, self)) {
        log_line(LVL_ERROR, "decide",
                 "Out of memory: the tables can't be allocated.");
        control_post(c->main, control_new(MSG_LEAVE_DONE));
    }
    else {
        while (!duty_stopping(self)) {
            run_once(c, self);
        }
    }
    core_free(c->core);
    members_free(c->members);
    ports_release(c->ports);
    conf_free(c->conf);
    free(c);
}
