/* The protocol: pings and acknowledgements, suspicion, version fetches, and
 * the functions of member.h.
 */
#include "member/internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define UNREACHABLE_EVERY 5  /* pings per ping of an unreachable member */
#define ANTI_ENTROPY_EVERY 4 /* pings per anti-entropy record */
#define SPREAD_PER_PERIOD 8  /* extra pings after a change of self's state */
#define SPREAD_SCAN_MAX 64   /* members examined for these */
#define VERSION_FANOUT 3     /* extra pings when a version comes in force */
#define PICK_TRIES 8         /* attempts to find a random alive member */
#define SWEEP_MS 60000       /* period of the removal of GONE members */
#define FETCH_RETRY_MS 1000  /* without progress, before another peer */
#define FETCH_SAME_PEER_MS 5000 /* before the same peer again */

/* ---- Sending ---- */

static void
emit_send(members_t *m, const peer_t *to, member_out_t *out, size_t len)
{
    out->kind = MEMBER_OUT_SEND;
    out->send.to = rec_of(m, to)->peer_addr;
    out->send.len = len;
    m->stats.sent++;
    m->stats.sent_bytes += len;
    m->emit(m->arg, out);
}

static bool
has_acked(const members_t *m, const peer_t *p)
{
    const member_t *self = self_of(m);

    return p->acked_incarnation == self->incarnation &&
           p->acked_revision >= self->revision;
}

/* The number of anti-entropy records on a message: one on some pings, which
 * repairs in time what gossip has missed, and more for a joining member that
 * knows fewer members than this instance. */
static int
anti_entropy_records(const members_t *m, const peer_t *to, msg_kind_t kind)
{
    if (rec_of(m, to)->state == MEMBER_JOINING && to->alive < alive_count(m)) {
        return m->params.gossip_per_msg;
    }
    return kind == MSG_PING && m->pings % ANTI_ENTROPY_EVERY == 0 ? 1 : 0;
}

static void
put_anti_entropy_record(members_t *m, body_t *b)
{
    peer_t *p;

    m->anti_entropy_next = (m->anti_entropy_next + 1) % m->n;
    p = m->peer[m->anti_entropy_next];
    if (p->msg_no != m->msg_no) {
        p->msg_no = m->msg_no;
        body_record(b, rec_of(m, p), true);
    }
}

static void
put_corrections(members_t *m, body_t *b)
{
    for (int i = 0; i < m->n_corrections; i++) {
        if (m->corrections[i]->msg_no != m->msg_no) {
            m->corrections[i]->msg_no = m->msg_no;
            body_record(b, rec_of(m, m->corrections[i]), false);
        }
    }
}

/* Adds the target's record, so that the requester of a ping-req learns of a
 * refutation. */
static void
put_target(members_t *m, body_t *b, uint64_t target)
{
    peer_t *p = target != 0 ? table_find(m, target) : NULL;

    if (p != NULL) {
        p->msg_no = m->msg_no;
        body_record(b, rec_of(m, p), false);
    }
}

static void
send_msg(members_t *m, ms_t now, const peer_t *to, msg_kind_t kind,
         uint32_t seq, uint64_t target)
{
    member_out_t out;
    body_t b = {.p = out.send.body, .cap = MEMBER_BODY_MAX};
    peer_t *self = m->self;
    msg_head_t head = {.kind = kind,
                       .seq = seq,
                       .target = target,
                       .sender = *rec_of(m, self),
                       .hash = m->self_hash,
                       .alive = alive_count(m),
                       .echo = *rec_of(m, to)};

    if (body_head(&b, &head) < 0) {
        return;
    }
    m->msg_no++;
    self->msg_no = m->msg_no;
    if (to->acked_incarnation != head.sender.incarnation) {
        body_record(&b, &head.sender, true);
    }
    put_target(m, &b, target);
    put_corrections(m, &b);
    view_gossip(m, now, &b, to);
    for (int i = anti_entropy_records(m, to, kind); i > 0; i--) {
        put_anti_entropy_record(m, &b);
    }
    emit_send(m, to, &out, b.len);
}

static void
ping(members_t *m, ms_t now, const peer_t *to)
{
    send_msg(m, now, to, MSG_PING, ++m->seq, 0);
}

/* Returns a random alive member, neither self nor EXCEPT; NULL when none is
 * found. */
static peer_t *
pick_random(members_t *m, const peer_t *except)
{
    for (int i = 0; i < PICK_TRIES; i++) {
        peer_t *p = m->peer[rng_below(&m->rng, (uint32_t)m->n)];
        if (p != except && p->id != m->self_id && is_alive(rec_of(m, p))) {
            return p;
        }
    }
    return NULL;
}

/* ---- Periodic pings and suspicion ---- */

static probe_t *
free_probe(members_t *m)
{
    for (int i = 0; i < PROBES_MAX; i++) {
        if (m->probe[i].peer == NULL) {
            return &m->probe[i];
        }
    }
    return NULL;
}

static peer_t *
next_in_order(members_t *m)
{
    for (size_t i = 0; i < m->n; i++) {
        peer_t *p;
        if (m->order_next >= m->n) {
            table_shuffle(m);
            m->order_next = 0;
        }
        p = m->order[m->order_next++];
        if (p->id != m->self_id && is_alive(rec_of(m, p))) {
            return p;
        }
    }
    return NULL;
}

static void
ping_next(members_t *m, ms_t now)
{
    probe_t *probe = free_probe(m);
    peer_t *p = probe != NULL ? next_in_order(m) : NULL;

    m->pings++;
    if (p == NULL) {
        return;
    }
    ping(m, now, p);
    *probe = (probe_t){.peer = p, .seq = m->seq, .sent_at = now};
}

static void
ping_unreachable(members_t *m, ms_t now)
{
    peer_t *p;

    if (m->pings % UNREACHABLE_EVERY != 0 || list_empty(&m->unreachable)) {
        return;
    }
    p = CONTAINER_OF(m->unreachable.next, peer_t, unreachable);
    list_remove(&p->unreachable);
    list_append(&m->unreachable, &p->unreachable);
    ping(m, now, p);
}

/* After a change of self's state, and as long as self is JOINING, pings
 * members that haven't acknowledged the state, in addition to the periodic
 * pings. */
static void
spread_self(members_t *m, ms_t now)
{
    int left = SPREAD_PER_PERIOD;

    if (now >= m->spread_until && self_of(m)->state != MEMBER_JOINING) {
        return;
    }
    for (size_t i = 0; i < m->n && i < SPREAD_SCAN_MAX && left > 0; i++) {
        peer_t *p = m->order[m->spread_next++ % m->n];
        if (p->id != m->self_id && is_alive(rec_of(m, p)) &&
            !has_acked(m, p)) {
            ping(m, now, p);
            left--;
        }
    }
}

/* Repeats the ping and sends ping-reqs to other members, every
 * ping_timeout_ms until the suspicion: a member must not lose ownership of its
 * flows for one lost datagram. */
static void
retry_probe(members_t *m, ms_t now, probe_t *probe)
{
    probe->retries++;
    send_msg(m, now, probe->peer, MSG_PING, probe->seq, 0);
    for (int i = 0; i < m->params.ping_req_fanout; i++) {
        peer_t *helper = pick_random(m, probe->peer);
        if (helper != NULL) {
            send_msg(m, now, helper, MSG_PING_REQ, probe->seq,
                     probe->peer->id);
        }
    }
}

static void
suspect(members_t *m, ms_t now, peer_t *p)
{
    if (is_alive(rec_of(m, p))) {
        m->stats.suspected++;
        view_set_state(m, now, p, MEMBER_SUSPECT);
    }
}

static void
check_probe(members_t *m, ms_t now, probe_t *probe)
{
    ms_t age = now - probe->sent_at;

    if (probe->peer == NULL) {
        return;
    }
    if (probe->peer->last_heartbeat > probe->sent_at) {
        probe->peer = NULL;
    }
    else if (age >= m->params.suspect_timeout_ms) {
        suspect(m, now, probe->peer);
        probe->peer = NULL;
    }
    else if (age >= (probe->retries + 1) * m->params.ping_timeout_ms) {
        retry_probe(m, now, probe);
    }
}

static void
drop_probes(members_t *m, const peer_t *of)
{
    for (int i = 0; i < PROBES_MAX; i++) {
        if (of == NULL || m->probe[i].peer == of) {
            m->probe[i].peer = NULL;
        }
    }
}

/* Detects that this process was paused (SIGSTOP, a busy machine).  Answers to
 * its pings are unread or lost, and every pinged peer would become suspect, so
 * the pings in progress are dropped.  Other members may have suspected this
 * instance meanwhile, so ownership is uncertain until their echoes arrive. */
static void
check_pause(members_t *m, ms_t now)
{
    ms_t gap = now - m->last_tick;

    m->last_tick = now;
    if (gap < m->params.suspect_timeout_ms / 2) {
        return;
    }
    drop_probes(m, NULL);
    m->stats.pauses++;
    if (gap >= m->params.suspect_timeout_ms) {
        m->uncertain_at = now;
    }
}

static void
forget_gone(members_t *m, ms_t now)
{
    for (size_t i = m->n; i-- > 0;) {
        const member_t *r = &m->list[i];
        if (r->state != MEMBER_GONE || r->id == m->self_id ||
            now - r->changed_at < m->params.forget_timeout_ms) {
            continue;
        }
        m->stats.count[MEMBER_GONE]--;
        m->lowest_stale = true;
        m->gossip_n -= !list_empty(&m->peer[i]->gossip);
        drop_probes(m, m->peer[i]);
        table_remove(m, m->peer[i]);
    }
}

static void
ping_period(members_t *m, ms_t now)
{
    m->next_ping = now + m->params.period_ms;
    if (self_of(m)->state != MEMBER_GONE) {
        ping_next(m, now);
        ping_unreachable(m, now);
    }
    spread_self(m, now);
}

void
members_tick(members_t *m, ms_t now)
{
    if (m->last_tick == MS_NEVER) { /* stagger the instances */
        m->last_tick = now;
        m->next_ping = now + rng_below(&m->rng, (uint32_t)m->params.period_ms);
        m->next_sweep = now + SWEEP_MS;
    }
    check_pause(m, now);
    m->n_corrections = 0;
    for (int i = 0; i < PROBES_MAX; i++) {
        check_probe(m, now, &m->probe[i]);
    }
    if (now >= m->next_ping) {
        ping_period(m, now);
    }
    if (now >= m->next_sweep) {
        m->next_sweep = now + SWEEP_MS;
        forget_gone(m, now);
    }
}

/* ---- Receiving ---- */

/* Requests a newer version from one peer at a time, and from another peer when
 * the first doesn't deliver it. */
static void
maybe_fetch(members_t *m, ms_t now, peer_t *p, uint64_t version)
{
    member_out_t out = {.kind = MEMBER_OUT_FETCH};

    if (version <= self_of(m)->version) {
        return;
    }
    if (version <= m->fetch_version && now - m->fetch_at < FETCH_RETRY_MS) {
        return;
    }
    if (version <= p->requested_version &&
        now - p->requested_at < FETCH_SAME_PEER_MS) {
        return;
    }
    m->fetch_version = p->requested_version = version;
    m->fetch_at = p->requested_at = now;
    out.fetch.from = *rec_of(m, p);
    out.fetch.version = version;
    m->emit(m->arg, &out);
}

static void
apply_echo(members_t *m, ms_t now, peer_t *p, const member_t *echo)
{
    record_t rec = {.member = *echo};

    p->acked_incarnation = echo->incarnation;
    p->acked_revision = echo->revision;
    if (echo->incarnation != 0) {
        view_apply(m, now, &rec);
    }
}

static void
probe_answered(members_t *m, uint32_t seq, uint64_t id)
{
    for (int i = 0; i < PROBES_MAX; i++) {
        probe_t *probe = &m->probe[i];
        if (probe->peer != NULL && probe->seq == seq &&
            probe->peer->id == id) {
            probe->peer = NULL;
        }
    }
}

static void
handle_ping_req(members_t *m, ms_t now, const peer_t *requester,
                const msg_head_t *h)
{
    peer_t *target = table_find(m, h->target);

    if (target == NULL || target->id == m->self_id) {
        return;
    }
    ping(m, now, target);
    m->relay[m->relay_next] = (relay_t){.seq = m->seq,
                                        .requester_seq = h->seq,
                                        .requester = requester->id,
                                        .target = target->id};
    m->relay_next = (m->relay_next + 1) % RELAYS_MAX;
}

static void
relay_ack(members_t *m, ms_t now, const peer_t *from, uint32_t seq)
{
    for (int i = 0; i < RELAYS_MAX; i++) {
        relay_t *r = &m->relay[i];
        peer_t *requester;
        if (r->seq != seq || r->target != from->id || r->requester == 0) {
            continue;
        }
        requester = table_find(m, r->requester);
        if (requester != NULL) {
            send_msg(m, now, requester, MSG_INDIRECT_ACK, r->requester_seq,
                     from->id);
        }
        r->requester = 0;
    }
}

static void
handle(members_t *m, ms_t now, peer_t *p, const msg_head_t *h)
{
    switch (h->kind) {
    case MSG_PING:
        send_msg(m, now, p, MSG_ACK, h->seq, 0);
        return;
    case MSG_ACK:
        probe_answered(m, h->seq, p->id);
        relay_ack(m, now, p, h->seq);
        return;
    case MSG_PING_REQ:
        handle_ping_req(m, now, p, h);
        return;
    case MSG_INDIRECT_ACK:
        probe_answered(m, h->seq, h->target);
        return;
    }
}

static peer_t *
apply_records(members_t *m, ms_t now, uint64_t from, const msg_head_t *h,
              const record_t *rec, size_t n)
{
    record_t sender = {.member = h->sender};

    for (size_t i = 0; i < n; i++) {
        view_apply(m, now, &rec[i]);
    }
    sender.member.id = from;
    return view_apply(m, now, &sender);
}

int
members_receive(members_t *m, ms_t now, uint64_t from, const uint8_t *body,
                size_t len)
{
    msg_head_t head;
    record_t rec[RECORDS_MAX];
    size_t n;
    peer_t *p;

    m->stats.received++;
    if (body_read(body, len, &head, rec, &n) < 0) {
        m->stats.malformed++;
        return -EPROTO;
    }
    /* When a dead instance's address has passed to this one, members (also
     * self) still send messages for the dead instance here: drop them. */
    if (head.echo.id != m->self_id || from == m->self_id) {
        m->stats.misaddressed++;
        return 0;
    }
    m->n_corrections = 0;
    p = apply_records(m, now, from, &head, rec, n);
    if (p == NULL) { /* unknown until it sends its full record */
        return 0;
    }
    p->last_heartbeat = now;
    p->alive = m->reported_alive = head.alive;
    apply_echo(m, now, p, &head.echo);
    if (head.sender.version == self_of(m)->version &&
        head.hash != m->self_hash) {
        m->stats.conflicts++;
    }
    maybe_fetch(m, now, p, head.sender.version);
    handle(m, now, p, &head);
    return 0;
}

/* ---- Public functions ---- */

members_t *
members_new(const member_t *self, const member_params_t *params, uint64_t seed,
            member_emit_t *emit, void *arg)
{
    members_t *m = calloc(1, sizeof(*m));
    member_t r = *self;

    if (m == NULL) {
        return NULL;
    }
    m->params = *params;
    m->rng = (rng_t){.seed = hash_mix(seed, self->id)};
    m->emit = emit;
    m->arg = arg;
    m->self_id = self->id;
    m->uncertain_at = INT64_MIN;
    m->last_tick = MS_NEVER;
    m->seq = (uint32_t)rng_next(&m->rng);
    list_init(&m->unreachable);
    for (int i = 0; i < GOSSIP_MAX; i++) {
        list_init(&m->gossip[i]);
    }
    if (r.incarnation == 0) {
        r.incarnation = 1;
    }
    m->self = table_add(m, &r);
    if (m->self == NULL) {
        members_free(m);
        return NULL;
    }
    m->stats.count[r.state]++;
    m->lowest_stale = true;
    return m;
}

void
members_free(members_t *m)
{
    if (m != NULL) {
        table_free(m);
        free(m);
    }
}

void
members_add_peer(members_t *m, ms_t now, const member_t *peer)
{
    peer_t *p = table_find(m, peer->id);
    member_t r = *peer;

    if (p != NULL) {
        return;
    }
    r.incarnation = 0;
    r.revision = 0;
    r.state = MEMBER_JOINING;
    r.left = false;
    r.version = 0;
    view_add(m, now, &r);
}

/* Two readings of the list without a suspect, gone_timeout_ms apart, confirm
 * that it is gone, if it has been SUSPECT for as long.  While the list can't
 * be read, no suspect is confirmed. */
static void
confirm_gone(members_t *m, ms_t now, peer_t *p)
{
    const member_t *r = rec_of(m, p);
    ms_t gone_timeout_ms = m->params.gone_timeout_ms;

    if (p->list_round == m->list_round) {
        p->unlisted_at = MS_NEVER;
        return;
    }
    if (p->unlisted_at == MS_NEVER) {
        p->unlisted_at = now;
    }
    if (r->state == MEMBER_SUSPECT &&
        now - p->unlisted_at >= gone_timeout_ms &&
        now - r->changed_at >= gone_timeout_ms) {
        view_set_state(m, now, p, MEMBER_GONE);
    }
}

void
members_apply_list(members_t *m, ms_t now, const uint64_t *ids, size_t n)
{
    m->list_round++;
    for (size_t i = 0; i < n; i++) {
        peer_t *p = table_find(m, ids[i]);
        if (p != NULL) {
            p->list_round = m->list_round;
        }
    }
    for (size_t i = 0; i < m->n; i++) {
        confirm_gone(m, now, m->peer[i]);
    }
}

void
members_set_self(members_t *m, ms_t now, member_state_t state)
{
    member_t *self = self_of(m);

    if (self->state == state) {
        return;
    }
    m->stats.count[self->state]--;
    m->stats.count[state]++;
    m->lowest_stale = true;
    self->state = state;
    self->left = state == MEMBER_GONE;
    self->revision++;
    view_self_changed(m, now);
    m->n_corrections = 0;
    spread_self(m, now);
}

void
members_set_version(members_t *m, ms_t now, uint64_t version, uint64_t hash)
{
    member_t *self = self_of(m);

    if (version <= self->version) {
        return;
    }
    view_set_version(m, self, version);
    m->self_hash = hash;
    m->n_corrections = 0;
    for (int i = 0; i < VERSION_FANOUT; i++) {
        peer_t *p = pick_random(m, NULL);
        if (p != NULL && rec_of(m, p)->version < version) {
            ping(m, now, p);
        }
    }
}

size_t
members_list(const members_t *m, const member_t **out)
{
    *out = m->list;
    return m->n;
}

const member_t *
members_find(const members_t *m, uint64_t id)
{
    const peer_t *p = table_find(m, id);

    return p != NULL ? rec_of(m, p) : NULL;
}

void
members_stats(const members_t *m, member_stats_t *out)
{
    *out = m->stats;
}

/* A joining instance that knows one peer only, and is acknowledged by it,
 * would assume that it owns half of the flows.  So it waits until it knows as
 * many alive members as the peer that sent the last message. */
static bool
knows_all_members(const members_t *m)
{
    return self_of(m)->state != MEMBER_JOINING ||
           alive_count(m) >= m->reported_alive;
}

bool
members_acked(const members_t *m)
{
    if (!knows_all_members(m)) {
        return false;
    }
    for (size_t i = 0; i < m->n; i++) {
        const member_t *r = &m->list[i];
        if (r->id == m->self_id ||
            (r->state != MEMBER_ACTIVE && r->state != MEMBER_JOINING)) {
            continue;
        }
        if (!has_acked(m, m->peer[i])) {
            return false;
        }
    }
    return true;
}

ms_t
members_uncertain_at(const members_t *m, ms_t now)
{
    return m->stats.count[MEMBER_SUSPECT] > 0 ? now : m->uncertain_at;
}

static uint64_t
find_lowest(const members_t *m)
{
    uint64_t lowest = UINT64_MAX;

    for (size_t i = 0; i < m->n; i++) {
        const member_t *r = &m->list[i];
        bool empty = r->state == MEMBER_JOINING && r->version == 0 &&
                     r->incarnation != 0;
        if (r->state != MEMBER_GONE && !empty && r->version < lowest) {
            lowest = r->version;
        }
    }
    return lowest == UINT64_MAX ? 0 : lowest;
}

uint64_t
members_lowest_version(members_t *m)
{
    if (m->lowest_stale) {
        m->lowest = find_lowest(m);
        m->lowest_stale = false;
    }
    return m->lowest;
}

static uint64_t
watch_rank(const member_t *r)
{
    return hash_mix(r->id, hash64("watch", 5, 0));
}

bool
members_watches_platform(const members_t *m, int watchers)
{
    const member_t *self = self_of(m);
    int before = 0;

    for (size_t i = 0; i < m->n; i++) {
        const member_t *r = &m->list[i];
        if (r->id == m->self_id || r->state != MEMBER_ACTIVE ||
            strcmp(r->data_centre, self->data_centre) != 0) {
            continue;
        }
        if (self->state != MEMBER_ACTIVE || watch_rank(r) < watch_rank(self)) {
            before++;
        }
    }
    return before < watchers;
}
