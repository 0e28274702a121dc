/* Caller stand-in: timers and lifecycle. */
#include "standin/client_state.h"
#include "standin/feeds.h"

#include <stdlib.h>
#include <string.h>

static void
retransmit(si_client_t *c, ms_t now)
{
    pending_t *p = &c->pending;

    if (p->transmissions > SI_RETRANSMITS) {
        si_client_end(c, now, SI_TIMEOUT, NULL);
        return;
    }
    p->timeout_ms *= 2;
    p->retransmit_at = now + p->timeout_ms;
    p->transmissions++;
    if (p->acked) {
        return; /* the request arrived; only wait for the answer */
    }
    c->stats->retransmitted++;
    c->out.send(c->out.arg, p->bytes, p->len);
}

void
si_client_tick(si_client_t *c, ms_t now)
{
    if (c->pending.active && now >= c->pending.retransmit_at) {
        retransmit(c, now);
    }
    if (c->open && now - c->last_received_at > c->params.silence_timeout_ms) {
        si_client_break_feed(c, now, "silent");
    }
    if (!c->pending.active && !c->open && !c->stopping && now >= c->next_at) {
        si_client_send_next(c, now);
    }
}

void
si_client_stop(si_client_t *c)
{
    coap_msg_t m = COAP_MSG_INIT;
    uint8_t b[64];
    int n;

    c->stopping = true;
    if (!c->open) {
        return;
    }
    c->open = false;
    m.type = COAP_T_NON;
    m.code = COAP_GET;
    m.mid = c->mid++;
    m.observe = 1;
    m.token_len = c->feed_token_len;
    memcpy(m.token, c->feed_token, m.token_len);
    m.path_n = 1;
    strcpy(m.path[0], "feed");
    n = coap_encode(b, sizeof(b), &m);
    if (n > 0) {
        c->out.send(c->out.arg, b, (size_t)n);
    }
}

bool
si_client_idle(const si_client_t *c)
{
    return !c->pending.active;
}

void
si_client_abort(si_client_t *c, ms_t now)
{
    if (c->pending.active) {
        si_client_end(c, now, SI_TIMEOUT, NULL);
    }
}

si_client_t *
si_client_new(const si_client_params_t *p, const si_client_out_t *out,
              si_client_stats_t *stats, ms_t now)
{
    si_client_t *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->params = *p;
    c->out = *out;
    c->stats = stats;
    c->rng = (rng_t){.seed = p->seed};
    c->mid = (uint16_t)rng_next(&c->rng);
    c->token = (uint32_t)rng_next(&c->rng);
    /* Random delay so that the clients don't all start at once. */
    c->next_at = now + rng_below(&c->rng, (uint32_t)p->interval_ms + 1);
    return c;
}

void
si_client_free(si_client_t *c)
{
    free(c);
}
