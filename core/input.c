/* Input: decides whether a datagram is handled here or forwarded to its
 * owner. */
#include "core/state.h"

/* A longer gap between calls counts as a pause.  Calls come every 20 to 50
 * ms, and the other members declare an instance dead after 600 ms. */
#define PAUSE_MS 400

/* ---- Datagrams from callers ---- */

/* Forwards D to its owner or the previous one, or drops D when no owner is
 * known.  Returns false when D is to be handled here.  KEY is the owner key of
 * the flow or, for requests, of the service.  KNOWN: a record here already
 * decides.  PINNED: the previous owner may have a pin for it. */
static bool
forward_to_owner(core_t *c, const dgram_t *d, uint64_t key, bool known,
                 bool pinned)
{
    uint64_t owner = owner_of(c, key);
    uint64_t previous;

    if (known) {
        return false;
    }
    if (owner == 0) {
        /* No owner is known: this instance has just started and has no records
         * either.  The caller's next copy reaches an instance that has. */
        c->services[d->service].stats.untrusted++;
        return true;
    }
    if (owner == c->p.self && d->hops >= FORWARD_HOPS_MAX) {
        return false; /* views differ; some instance has to decide */
    }
    if (owner != c->p.self) {
        send_to_owner(c, d, owner);
        return true;
    }
    previous = pinned ? previous_owner(c, key) : 0;
    if (previous != 0 && previous != c->p.self && previous != d->from) {
        send_to_owner(c, d, previous);
        return true;
    }
    return false;
}

static bool
use_hint(core_t *c, const dgram_t *d)
{
    const hint_t *h = hint_find(c, d->key);
    up_ix_t u;

    if (h == NULL) {
        return false;
    }
    u = up_find_id(c, h->upstream);
    if (u == UP_NONE || c->ups[u].service != d->service ||
        !up_lease_valid(c, u)) {
        return false;
    }
    c->services[d->service].stats.hinted++;
    send_upstream(c, u, &d->h->client, false, d->data, d->len);
    return true;
}

/* True when F is handled here, even if its owner has changed.  A replica
 * held for another owner counts when that owner forwards the datagram,
 * since the owner then has no pin. */
static bool
flow_is_local(core_t *c, const dgram_t *d, const flow_t *f)
{
    bool from_owner;

    if (f == NULL || up_lost(c, f->up)) {
        return false;
    }
    from_owner = d->from != 0 && d->from == owner_of(c, pin_owner_key(c, f));
    return from_owner || !(f->flags & FLOW_REPLICA);
}

static void
opaque_in(core_t *c, const dgram_t *d)
{
    flow_t *f = flow_find(c, d->key);
    bool local = flow_is_local(c, d, f);

    if (!local && owner_of(c, d->owner_key) != c->p.self && use_hint(c, d)) {
        return;
    }
    if (!forward_to_owner(c, d, d->owner_key, local, true)) {
        opaque_at_owner(c, d);
    }
}

/* Handles an ACK, RST or ping.  The upstream is known to the owner of the flow
 * for a feed, and to the owner of the requests for a separate response to a
 * request. */
static void
empty_in(core_t *c, const dgram_t *d, bool local)
{
    uint64_t request_owner;
    bool answer = ex_find_answer(c, d->key, d->m->mid) != NULL;

    if (!local && !answer && use_hint(c, d)) {
        return;
    }
    if (forward_to_owner(c, d, d->owner_key, local || answer, true)) {
        return;
    }
    request_owner =
        owner_of(c, request_owner_key(&c->services[d->service], d->key));
    if (!local && !answer && request_owner != 0 &&
        request_owner != c->p.self && request_owner != d->from) {
        send_to_owner(c, d, request_owner);
    }
    empty_at_owner(c, d);
}

static void
coap_in(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    flow_t *f = flow_find(c, d->key);
    bool local = flow_is_local(c, d, f);
    bool known;

    if (d->m->code == COAP_EMPTY) {
        empty_in(c, d, local && !(f->flags & FLOW_UPLOAD));
        return;
    }
    if (!coap_is_request(d->m)) {
        s->stats.malformed++; /* a response: upstreams send no requests */
        return;
    }
    if (class_of(d->m) == CLASS_FEED) {
        if (!forward_to_owner(c, d, d->owner_key,
                              local && !(f->flags & FLOW_UPLOAD), true)) {
            feed_at_owner(c, d);
        }
        return;
    }
    known = ex_find(c, d->key, d->m->mid) != NULL ||
            (local && (f->flags & FLOW_UPLOAD));
    if (!forward_to_owner(c, d, request_owner_key(s, d->key), known,
                          is_upload_block(d->m))) {
        request_at_owner(c, d);
    }
}

/* After a pause nothing learned before is valid: upstreams may have changed
 * their service, and other members may have declared this instance dead. */
static void
resume_after_pause(core_t *c)
{
    for (uint32_t i = 0; i < c->n_ups; i++) {
        c->ups[i].lease_until = c->now;
        c->ups[i].probe_next = c->now;
        c->ups[i].probe_misses = 0; /* no probes were sent meanwhile */
    }
    c->uncertain_at = c->now;
}

/* Called first by every entry point.  A gap between calls is a pause of
 * this process: other members may have declared this instance dead and
 * acted in its place, before this instance learns of that.  The uncertainty
 * must start before the first datagram is handled, not at the next tick. */
void
core_enter(core_t *c, ms_t now)
{
    ms_t gap = c->last_call < 0 ? 0 : now - c->last_call;

    c->now = now;
    c->last_call = now;
    if (c->start < 0) {
        c->start = now;
    }
    if (gap > PAUSE_MS) {
        c->uncertain_at = now;
    }
    if (gap > IDENTITY_LEASE_MS) {
        resume_after_pause(c);
    }
}

static void
datagram_in(core_t *c, const spp_t *h, uint64_t from, uint8_t hops,
            const uint8_t *data, size_t len)
{
    service_ix_t service = service_find(c, &h->service);
    coap_msg_t m;
    dgram_t d = {.service = service,
                 .h = h,
                 .from = from,
                 .hops = hops,
                 .data = data,
                 .len = len};

    if (service == SERVICE_NONE) {
        return;
    }
    c->services[service].stats.datagrams_in++;
    d.key = flow_key(&h->service, &h->client);
    d.owner_key = flow_owner_key(&c->services[service], d.key);
    if (c->services[service].conf.proto == PROTO_UDP) {
        opaque_in(c, &d);
        return;
    }
    if (coap_decode(&m, data, len) < 0) {
        c->services[service].stats.malformed++;
        return;
    }
    d.m = &m;
    coap_in(c, &d);
}

void
core_from_client(core_t *c, ms_t now, const addr_t *service,
                 const addr_t *client, const uint8_t *data, size_t len)
{
    spp_t h = {.client = *client, .service = *service};

    core_enter(c, now);
    datagram_in(c, &h, 0, 0, data, len);
}

static void
count_forwarded_in(core_t *c, const spp_t *h)
{
    service_ix_t i = service_find(c, &h->service);

    if (i != SERVICE_NONE) {
        c->services[i].stats.steered_in++;
    }
}

static void
mark_hinted(core_t *c, uint64_t id, ms_t lease)
{
    up_ix_t u = up_find_id(c, id);

    if (u != UP_NONE) {
        c->ups[u].hinted_until = c->now + lease;
    }
}

void
core_from_peer(core_t *c, ms_t now, const peer_msg_t *m)
{
    spp_t h;

    core_enter(c, now);
    switch (m->kind) {
    case PEER_FORWARD:
        h = (spp_t){.client = m->forward.client,
                    .service = m->forward.service};
        count_forwarded_in(c, &h);
        datagram_in(c, &h, m->from, m->forward.hops, m->forward.data,
                    m->forward.len);
        return;
    case PEER_HINT:
        mark_hinted(c, m->hint.upstream, (ms_t)m->hint.lease_ms);
        hint_put(c, m->hint.flow, m->hint.upstream, (ms_t)m->hint.lease_ms);
        return;
    case PEER_SYNC:
        sync_receive(c, m);
        return;
    case PEER_SYNC_ACK:
        sync_acked(c, m);
        return;
    case PEER_MEMBER:
        return;
    }
}

/* ---- Datagrams from upstreams ---- */

/* Finds the exchange that M answers: its token matches, and the answer
 * comes from the upstream and epoch to which the request was sent. */
static ex_t *
answered_exchange(core_t *c, uint64_t key, up_ix_t u, const coap_msg_t *m)
{
    ex_t *ex = ex_find_token(c, key, m);

    if (ex == NULL || ex->up != u || ex->epoch != c->ups[u].epoch) {
        return NULL;
    }
    return ex;
}

static void
coap_reply(core_t *c, up_ix_t u, const spp_t *h, const uint8_t *data,
           size_t len)
{
    service_ix_t service = c->ups[u].service;
    service_t *s = &c->services[service];
    uint64_t key = flow_key(&h->service, &h->client);
    flow_t *f = flow_find(c, key);
    coap_msg_t m;
    ex_t *ex;

    if (coap_decode(&m, data, len) < 0) {
        s->stats.malformed++;
        return;
    }
    if (f != NULL && f->up == u && coap_is_response(&m)) {
        upload_answered(c, f, &m);
    }
    if (f != NULL && f->up == u) {
        bool pinged = f->feed != 0 && c->feeds[f->feed - 1].pings > 0;
        flow_touch(c, f);
        if (m.type == COAP_T_RST && pinged) {
            return;
        }
    }
    if (!coap_is_response(&m) || m.observe != COAP_NONE) {
        send_client(c, service, &h->client, data, len);
        return;
    }
    ex = answered_exchange(c, key, u, &m);
    if (ex != NULL) {
        request_answer(c, ex, &m, data, len);
        return;
    }
    if (ex_find_token(c, key, &m) != NULL) {
        s->stats
            .late_answers++; /* of an earlier epoch, or after a cancellation */
        return;
    }
    send_client(c, service, &h->client, data, len);
}

/* Handles a reply to a probe or a cancellation of this instance. */
static void
handle_own_reply(core_t *c, up_ix_t u, const coap_msg_t *m)
{
    if (m->token_len == CANCEL_TOKEN_LEN && m->token[0] == CANCEL_TAG) {
        request_cancel_reply(c, u, m);
    }
    else if (up_from_probe(c, u, m)) {
        flows_end_at(c, u);
    }
}

void
core_from_upstream(core_t *c, ms_t now, const addr_t *upstream,
                   const uint8_t *data, size_t len)
{
    up_ix_t u = up_find(c, upstream);
    spp_t h;
    coap_msg_t m;

    core_enter(c, now);
    if (u == UP_NONE || spp_read(&h, data, len) < 0) {
        if (c->n_services > 0) {
            c->services[0].stats.malformed++;
        }
        return;
    }
    if (addr_id(&h.service) != c->services[c->ups[u].service].id) {
        c->services[c->ups[u].service].stats.misdirected++;
        return;
    }
    data += SPP_LEN;
    len -= SPP_LEN;
    if (addr_eq(&h.client, &c->p.own_addr)) {
        if (coap_decode(&m, data, len) == 0) {
            handle_own_reply(c, u, &m);
        }
        return;
    }
    if (c->services[c->ups[u].service].conf.proto == PROTO_COAP) {
        coap_reply(c, u, &h, data, len);
        return;
    }
    send_client(c, c->ups[u].service, &h.client, data, len);
}
