/* Answers of an upstream stand-in. */
#include "standin/upstream_state.h"

#include <stdio.h>
#include <string.h>

void
si_upstream_send(si_upstream_t *u, const addr_t *to, const spp_t *header,
                 const coap_msg_t *m)
{
    uint8_t b[SPP_LEN + DATAGRAM_MAX];
    int n = coap_encode(b + SPP_LEN, DATAGRAM_MAX, m);

    if (n < 0) {
        return;
    }
    spp_write(b, header);
    u->out.send(u->out.arg, to, b, SPP_LEN + (size_t)n);
}

coap_msg_t
si_upstream_new_answer(si_upstream_t *u, const coap_msg_t *m, uint8_t code)
{
    coap_msg_t a = COAP_MSG_INIT;

    a.type = m->type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON;
    a.code = code;
    a.mid = m->type == COAP_T_CON ? m->mid : u->mid++;
    a.token_len = m->token_len;
    memcpy(a.token, m->token, m->token_len);
    return a;
}

void
si_upstream_answer(si_upstream_t *u, const addr_t *to, const spp_t *header,
                   const coap_msg_t *m, uint8_t code, const char *text)
{
    coap_msg_t a = si_upstream_new_answer(u, m, code);

    a.payload = (const uint8_t *)text;
    a.payload_len = strlen(text);
    si_upstream_send(u, to, header, &a);
}

size_t
si_upstream_payload(si_upstream_t *u, char out[PAYLOAD_MAX], const char *id,
                    const spp_t *header)
{
    char service[ADDR_STRLEN], client[ADDR_STRLEN], self[ADDR_STRLEN];
    int n = snprintf(out, PAYLOAD_MAX,
                     "id=%s client=%s service=%s upstream=%s epoch=%u", id,
                     addr_text(&header->client, client),
                     addr_text(&u->params.service, service),
                     addr_text(&u->params.addr, self), u->params.epoch);

    return n < PAYLOAD_MAX ? (size_t)n : PAYLOAD_MAX - 1;
}
