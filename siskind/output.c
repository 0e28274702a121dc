/* Turns the output of core and members into packets for the send duty. */
#include "siskind/decide.h"

#include <errno.h>
#include <string.h>

static void
set_destination(packet_t *p, ms_t now, sock_t sock, const addr_t *remote)
{
    p->sock = sock;
    p->at = now;
    p->remote = *remote;
}

static packet_t *
packet_new(decide_t *c, sock_t sock, const addr_t *remote)
{
    packet_t *p = c->unsent;

    c->unsent = NULL;
    if (p == NULL) {
        p = pool_get(c->d->out);
    }
    if (p == NULL) {
        counter_add(&c->d->count.send_full, 1);
        return NULL;
    }
    p->kind = MSG_PACKET;
    p->pool = c->d->out;
    p->start = SPP_LEN;
    set_destination(p, c->now, sock, remote);
    return p;
}

/* Posts a packet of LEN bytes.  If LEN is negative or send's inbox is full,
 * the datagram is dropped and its buffer is kept for the next output. */
static void
packet_post(decide_t *c, packet_t *p, int len)
{
    if (len < 0) {
        c->unsent = p;
        return;
    }
    p->len = (uint16_t)len;
    if (duty_put(c->send, p) < 0) {
        counter_add(&c->d->count.send_full, 1);
        c->unsent = p;
    }
}

/* Returns the current packet, with its start set to DATA, if DATA lies in it
 * and it isn't taken yet; else NULL.  Most datagrams are thus sent without a
 * copy. */
static packet_t *
reuse_current(decide_t *c, const uint8_t *data, size_t len)
{
    packet_t *p = c->current;

    if (p == NULL || c->current_taken || data < p->data + SPP_LEN ||
        data + len > p->data + sizeof(p->data)) {
        return NULL;
    }
    c->current_taken = true;
    p->start = (uint16_t)(data - p->data);
    p->len = (uint16_t)len;
    return p;
}

void
output_current(decide_t *c, packet_t *p)
{
    if (duty_put(c->send, p) < 0) {
        counter_add(&c->d->count.send_full, 1);
        msg_drop(p);
    }
}

static void
to_client(decide_t *c, const core_out_t *out)
{
    const addr_t *to = &out->client.client;
    packet_t *p = reuse_current(c, out->client.data, out->client.len);

    if (p != NULL) {
        set_destination(p, c->now, SOCK_SERVICE, to);
        p->service = out->client.service;
        return;
    }
    p = out->client.len <= PACKET_MAX ? packet_new(c, SOCK_SERVICE, to) : NULL;
    if (p == NULL) {
        return;
    }
    p->service = out->client.service;
    memcpy(p->data + p->start, out->client.data, out->client.len);
    packet_post(c, p, (int)out->client.len);
}

/* Writes the proxy header into the headroom before the datagram. */
static void
prepend_header(packet_t *p, const spp_t *h)
{
    p->start -= SPP_LEN;
    p->len += SPP_LEN;
    spp_write(p->data + p->start, h);
}

static void
to_upstream(decide_t *c, const core_out_t *out)
{
    sock_t sock = out->upstream.own ? SOCK_OWN : SOCK_RETURN;
    const addr_t *to = &out->upstream.upstream;
    size_t len = out->upstream.len;
    packet_t *p = reuse_current(c, out->upstream.data, len);

    if (p != NULL) {
        set_destination(p, c->now, sock, to);
        prepend_header(p, &out->upstream.header);
        return;
    }
    p = len <= PACKET_MAX ? packet_new(c, sock, to) : NULL;
    if (p == NULL) {
        return;
    }
    memcpy(p->data + p->start, out->upstream.data, len);
    p->len = (uint16_t)len;
    prepend_header(p, &out->upstream.header);
    packet_post(c, p, p->len);
}

static void
to_peer(decide_t *c, const addr_t *to, const peer_msg_t *m)
{
    packet_t *p = packet_new(c, SOCK_PEER, to);
    int len;

    if (p == NULL) {
        return;
    }
    len = peer_write(p->data + p->start, PACKET_MAX, m, c->d->peer_key);
    if (len > 0 && m->kind != PEER_FORWARD) {
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
    control_t *ctl;

    if (out->fetch.version <= SHARED_GET(c->d, version)) {
        return;
    }
    ctl = control_new(MSG_FETCH);
    if (ctl == NULL) {
        return;
    }
    memcpy(ctl->fetch.name, from->name, sizeof(ctl->fetch.name));
    ctl->fetch.bulk_addr = from->bulk_addr;
    ctl->fetch.version = out->fetch.version;
    control_post(c->bulk, ctl);
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
