/* Messages to other members. */
#include "member/internal.h"

#define ANTI_ENTROPY_EVERY 4 /* pings per anti-entropy record */
#define PICK_TRIES 8         /* attempts to find a random alive member */

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

bool
peer_has_acked(const members_t *m, const peer_t *p)
{
    const member_t *self = self_of(m);

    return p->acked_incarnation == self->incarnation &&
           p->acked_revision >= self->revision;
}

/* The number of anti-entropy records on a message: one on some pings, which
 * repairs in time what gossip has missed, and more for a joining member that
 * has records of fewer members than this instance. */
static int
anti_entropy_records(const members_t *m, const peer_t *to, msg_kind_t kind)
{
    if (rec_of(m, to)->state == MEMBER_JOINING && to->alive < alive_count(m)) {
        return m->params.gossip_per_msg;
    }
    return kind == MSG_PING && m->pings % ANTI_ENTROPY_EVERY == 0 ? 1 : 0;
}

static void
put_anti_entropy_record(members_t *m, buffer_t *b)
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
put_corrections(members_t *m, buffer_t *b)
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
put_target(members_t *m, buffer_t *b, uint64_t target)
{
    peer_t *p = target != 0 ? table_find(m, target) : NULL;

    if (p != NULL) {
        p->msg_no = m->msg_no;
        body_record(b, rec_of(m, p), false);
    }
}

void
message_send(members_t *m, ms_t now, const peer_t *to, msg_kind_t kind,
             uint32_t seq, uint64_t target)
{
    member_out_t out;
    buffer_t b = {.p = out.send.body, .cap = MEMBER_BODY_MAX};
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

void
message_ping(members_t *m, ms_t now, const peer_t *to)
{
    message_send(m, now, to, MSG_PING, ++m->seq, 0);
}

peer_t *
peer_pick_random(members_t *m, const peer_t *except)
{
    for (int i = 0; i < PICK_TRIES; i++) {
        peer_t *p = m->peer[rng_below(&m->rng, (uint32_t)m->n)];
        if (p != except && p->id != m->self_id && is_alive(rec_of(m, p))) {
            return p;
        }
    }
    return NULL;
}
