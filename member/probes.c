/* Periodic pings, suspicion, and the removal of members that are gone. */
#include "member/internal.h"

#define UNREACHABLE_EVERY 5 /* pings per ping of an unreachable member */
#define SPREAD_PER_PERIOD 8 /* extra pings after a change of self's state */
#define SPREAD_SCAN_MAX 64  /* members examined for these */
#define SWEEP_MS 60000      /* period of the removal of GONE members */

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
    message_ping(m, now, p);
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
    message_ping(m, now, p);
}

void
probes_spread_self(members_t *m, ms_t now)
{
    int left = SPREAD_PER_PERIOD;

    if (now >= m->spread_until && self_of(m)->state != MEMBER_JOINING) {
        return;
    }
    for (size_t i = 0; i < m->n && i < SPREAD_SCAN_MAX && left > 0; i++) {
        peer_t *p = m->order[m->spread_next++ % m->n];
        if (p->id != m->self_id && is_alive(rec_of(m, p)) &&
            !peer_has_acked(m, p)) {
            message_ping(m, now, p);
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
    message_send(m, now, probe->peer, MSG_PING, probe->seq, 0);
    for (int i = 0; i < m->params.ping_req_fanout; i++) {
        peer_t *helper = peer_pick_random(m, probe->peer);
        if (helper != NULL) {
            message_send(m, now, helper, MSG_PING_REQ, probe->seq,
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
    probes_spread_self(m, now);
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

void
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
