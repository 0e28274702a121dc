/* Requests of a caller stand-in. */
#include "standin/client_state.h"
#include "standin/feeds.h"

#include <stdio.h>
#include <string.h>

void
si_client_send_empty(si_client_t *c, coap_type_t type, uint16_t mid)
{
    coap_msg_t m = COAP_MSG_INIT;
    uint8_t b[8];

    m.type = type;
    m.mid = mid;
    c->out.send(c->out.arg, b, (size_t)coap_encode(b, sizeof(b), &m));
}

/* A request of METHOD on PATH with a new message ID and token. */
static coap_msg_t
new_request(si_client_t *c, uint8_t method, const char *path)
{
    coap_msg_t m = COAP_MSG_INIT;

    m.type = COAP_T_CON;
    m.code = method;
    m.mid = c->mid++;
    m.token_len = 4;
    c->token++;
    memcpy(m.token, &c->token, 4);
    m.path_n = 1;
    snprintf(m.path[0], COAP_SEG_MAX, "%s", path);
    return m;
}

static void
send_request(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    pending_t *p = &c->pending;
    int n = coap_encode(p->bytes, sizeof(p->bytes), m);

    if (n < 0) {
        return;
    }
    p->active = true;
    p->acked = false;
    p->msg = *m;
    p->len = (size_t)n;
    p->transmissions = 1;
    p->sent_at = now;
    /* ACK_RANDOM_FACTOR 1.5 */
    p->timeout_ms = c->params.ack_ms +
                    rng_below(&c->rng, (uint32_t)c->params.ack_ms / 2 + 1);
    p->retransmit_at = now + p->timeout_ms;
    c->stats->sent++;
    c->out.send(c->out.arg, p->bytes, p->len);
}

static void
new_id(si_client_t *c)
{
    snprintf(c->pending.id, SI_CLIENT_ID_LEN, "%s-%u", c->params.name,
             c->count++);
}

static void
send_feed(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_GET, "feed");

    m.observe = 0;
    send_request(c, now, &m);
}

static void
send_post(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_POST, "ack");

    new_id(c);
    m.payload = (const uint8_t *)c->pending.id;
    m.payload_len = strlen(c->pending.id);
    send_request(c, now, &m);
}

static void
send_block(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_POST, "archive");
    bool more = c->block + 1 < c->params.blocks;
    uint8_t data[SI_BLOCK_LEN];

    new_id(c);
    memset(data, ' ', sizeof(data));
    memcpy(data, c->pending.id, strlen(c->pending.id));
    m.block1 = c->block << 4 | (more ? 8 : 0) | SI_BLOCK_SZX;
    m.payload = data;
    m.payload_len = sizeof(data);
    send_request(c, now, &m);
}

static void
send_read(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_GET, "state");

    send_request(c, now, &m);
}

static void
send_echo(si_client_t *c, ms_t now)
{
    pending_t *p = &c->pending;

    new_id(c);
    p->active = true;
    p->len = strlen(p->id);
    memcpy(p->bytes, p->id, p->len);
    p->sent_at = now;
    p->retransmit_at = now + c->params.ack_ms;
    p->transmissions = SI_RETRANSMITS + 1; /* opaque: not retransmitted */
    c->stats->sent++;
    c->out.send(c->out.arg, p->bytes, p->len);
}

void
si_client_send_next(si_client_t *c, ms_t now)
{
    switch (c->params.kind) {
    case SI_FEED:
        send_feed(c, now);
        break;
    case SI_POST:
        send_post(c, now);
        break;
    case SI_UPLOAD:
        send_block(c, now);
        break;
    case SI_READ:
        send_read(c, now);
        break;
    case SI_ECHO:
        send_echo(c, now);
        break;
    case SI_KINDS:
        break;
    }
}
