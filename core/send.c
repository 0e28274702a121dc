/* Output: datagrams, messages to other instances, answers that originate
 * here. */
#include "core/state.h"

#include <string.h>

void
send_client(core_t *c, service_ix_t service, const addr_t *client,
            const uint8_t *data, size_t len)
{
    core_out_t out = {.kind = CORE_TO_CLIENT};

    out.client.service = c->services[service].conf.addr;
    out.client.client = *client;
    out.client.data = data;
    out.client.len = len;
    c->services[service].stats.datagrams_out++;
    c->emit(c->arg, &out);
}

void
send_upstream(core_t *c, up_ix_t u, const addr_t *client, bool own,
              const uint8_t *data, size_t len)
{
    core_out_t out = {.kind = CORE_TO_UPSTREAM};

    out.upstream.upstream = c->ups[u].conf.addr;
    out.upstream.header.client = *client;
    out.upstream.header.service = c->services[c->ups[u].service].conf.addr;
    out.upstream.own = own;
    out.upstream.data = data;
    out.upstream.len = len;
    c->emit(c->arg, &out);
}

void
send_to_owner(core_t *c, const dgram_t *d, uint64_t to)
{
    service_t *s = &c->services[d->service];
    core_out_t out = {.kind = CORE_TO_PEER};

    if (d->hops >= FORWARD_HOPS_MAX) {
        s->stats.steer_loops++;
        return;
    }
    out.peer.to = to;
    out.peer.msg.kind = PEER_FORWARD;
    out.peer.msg.from = c->p.self;
    out.peer.msg.forward.hops = (uint8_t)(d->hops + 1);
    out.peer.msg.forward.version = c->version;
    out.peer.msg.forward.service = d->h->service;
    out.peer.msg.forward.client = d->h->client;
    out.peer.msg.forward.data = d->data;
    out.peer.msg.forward.len = d->len;
    s->stats.steered++;
    c->emit(c->arg, &out);
}

void
send_hint(core_t *c, uint64_t to, const flow_t *f)
{
    core_out_t out = {.kind = CORE_TO_PEER};

    out.peer.to = to;
    out.peer.msg.kind = PEER_HINT;
    out.peer.msg.from = c->p.self;
    out.peer.msg.hint.flow = f->key;
    out.peer.msg.hint.upstream = c->ups[f->up].conf.id;
    out.peer.msg.hint.lease_ms = HINT_LEASE_MS;
    c->emit(c->arg, &out);
}

static const char *
answer_text(uint8_t code)
{
    switch (code) {
    case COAP_UNAVAILABLE:
        return "not run";
    case COAP_GW_TIMEOUT:
        return "outcome unknown";
    case COAP_TOO_LARGE:
        return "longer than 1152 bytes: use Block1";
    default:
        return "start again";
    }
}

int
answer_build(core_t *c, uint8_t *buf, size_t cap, const ex_t *ex, uint8_t code,
             uint32_t max_age)
{
    coap_msg_t m = COAP_MSG_INIT;
    const char *text = answer_text(code);

    m.type = ex->type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON;
    m.mid = ex->type == COAP_T_CON ? ex->mid : ++c->mid;
    m.code = code;
    m.max_age = max_age;
    m.token_len = ex->token_len;
    memcpy(m.token, ex->token, ex->token_len);
    m.payload = (const uint8_t *)text;
    m.payload_len = strlen(text);
    return coap_encode(buf, cap, &m);
}

void
answer_now(core_t *c, const dgram_t *d, uint8_t code, uint32_t max_age,
           refuse_t why)
{
    uint8_t buf[96];
    ex_t ex = {
        .type = d->m->type, .mid = d->m->mid, .token_len = d->m->token_len};
    int n;

    memcpy(ex.token, d->m->token, sizeof(ex.token));
    c->services[d->service].stats.refused[why]++;
    n = answer_build(c, buf, sizeof(buf), &ex, code, max_age);
    if (n > 0) {
        send_client(c, d->service, &d->h->client, buf, (size_t)n);
    }
}

/* Seconds until a refused caller may retry (Max-Age).  Randomised, so that
 * callers refused together don't return together. */
uint32_t
retry_after_s(core_t *c, const service_t *s)
{
    uint32_t min_s = s->conf.come_back_s > 0 ? s->conf.come_back_s : 1;

    return min_s + rng_below(&c->rng, min_s + 1);
}
