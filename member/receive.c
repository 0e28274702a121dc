/* Incoming messages, and requests for newer versions. */
#include "member/internal.h"

#include <errno.h>

#define FETCH_RETRY_MS 1000     /* without progress, before another peer */
#define FETCH_SAME_PEER_MS 5000 /* before the same peer again */

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
handle_ping_req(members_t *m, ms_t now, const peer_t *requester,
                const msg_head_t *h)
{
    peer_t *target = table_find(m, h->target);

    if (target == NULL || target->id == m->self_id) {
        return;
    }
    message_ping(m, now, target);
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
            message_send(m, now, requester, MSG_INDIRECT_ACK, r->requester_seq,
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
        message_send(m, now, p, MSG_ACK, h->seq, 0);
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
