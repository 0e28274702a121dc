/* What core and members want sent becomes packets for the send duty. */
#include "siskind/decide.h"

#include <errno.h>
#include <string.h>

static packet_t *
packet_new(decide_t *c, sock_t sock, const addr_t *remote)
{
    packet_t *p = c->spare;

    c->spare = NULL;
    if (p == NULL) {
        p = pool_get(c->d->out);
    }
    if (p == NULL) {
        counter_add(&c->d->count.send_full, 1);
        return NULL;
    }
    p->kind = MSG_PACKET;
    p->pool = c->d->out;
    p->sock = sock;
    p->at = c->now;
    p->remote = *remote;
    return p;
}

/* A packet that is not posted is kept: only send gives packets back. */
static void
packet_post(decide_t *c, packet_t *p, int len)
{
    if (len < 0) {
        c->spare = p;
        return;
    }
    p->len = (uint16_t)len;
    if (duty_put(c->send, p) < 0) {
        counter_add(&c->d->count.send_full, 1);
        c->spare = p;
    }
}

static void
to_client(decide_t *c, const core_out_t *out)
{
    packet_t *p;

    if (out->client.len > sizeof(p->data)) {
        return;
    }
    p = packet_new(c, SOCK_SERVICE, &out->client.client);
    if (p == NULL) {
        return;
    }
    p->service = out->client.service;
    memcpy(p->data, out->client.data, out->client.len);
    packet_post(c, p, (int)out->client.len);
}

static void
to_upstream(decide_t *c, const core_out_t *out)
{
    sock_t sock = out->upstream.own ? SOCK_OWN : SOCK_RETURN;
    packet_t *p;

    if (SPP_LEN + out->upstream.len > sizeof(p->data)) {
        return;
    }
    p = packet_new(c, sock, &out->upstream.upstream);
    if (p == NULL) {
        return;
    }
    spp_write(p->data, &out->upstream.header);
    memcpy(p->data + SPP_LEN, out->upstream.data, out->upstream.len);
    packet_post(c, p, (int)(SPP_LEN + out->upstream.len));
}

static void
to_peer(decide_t *c, const addr_t *to, const peer_msg_t *m)
{
    packet_t *p = packet_new(c, SOCK_PEER, to);
    int len;

    if (p == NULL) {
        return;
    }
    len = peer_write(p->data, sizeof(p->data), m, c->d->peer_key);
    if (len > 0 && m->kind != PEER_STEER) {
        counter_add(&c->d->count.control_bytes, (uint64_t)len);
    }
    packet_post(c, p, len);
}

void
output_core(void *decide, const core_out_t *out)
{
    decide_t *c = decide;
    const member_t *m;

    switch (out->kind) {
    case CORE_TO_CLIENT:
        to_client(c, out);
        return;
    case CORE_TO_UPSTREAM:
        to_upstream(c, out);
        return;
    case CORE_TO_PEER:
        m = members_find(c->members, out->peer.to);
        if (m != NULL) {
            to_peer(c, &m->peer_addr, &out->peer.msg);
        }
        return;
    }
}

static void
fetch(decide_t *c, const member_out_t *out)
{
    const member_t *from = &out->fetch.from;
    note_t *n;

    if (out->fetch.version <= FACT(c->d, version)) {
        return;
    }
    n = note_new(MSG_FETCH);
    if (n == NULL) {
        return;
    }
    memcpy(n->fetch.name, from->name, sizeof(n->fetch.name));
    n->fetch.bulk_addr = from->bulk_addr;
    n->fetch.version = out->fetch.version;
    note_post(c->bulk, n);
}

void
output_member(void *decide, const member_out_t *out)
{
    decide_t *c = decide;
    peer_msg_t m = {.kind = PEER_MEMBER, .from = c->d->self};

    switch (out->kind) {
    case MEMBER_OUT_SEND:
        m.member.body = out->send.body;
        m.member.len = out->send.len;
        to_peer(c, &out->send.to, &m);
        return;
    case MEMBER_OUT_CHANGE:
        c->members_changed = true;
        if (out->change.id != c->d->self) {
            log_line(LVL_INFO, "member",
                     "A member changed. name=%s state=%s "
                     "version=%llu",
                     out->change.name, state_name(out->change.state),
                     (unsigned long long)out->change.version);
        }
        return;
    case MEMBER_OUT_FETCH:
        fetch(c, out);
        return;
    }
}
