/* Datagrams that a caller stand-in receives. */
#include "standin/client_state.h"
#include "standin/field.h"

#include <stdio.h>
#include <string.h>

/* Checks that an answer names this client, its service and, unless WANT_ID is
 * NULL, its request. */
static void
check_own(si_client_t *c, const coap_msg_t *m, const char *want_id)
{
    char text[SI_CLIENT_TEXT_LEN], got[ADDR_STRLEN], want[ADDR_STRLEN],
        id[SI_CLIENT_ID_LEN];
    size_t n = m->payload_len < SI_CLIENT_TEXT_LEN ? m->payload_len
                                                   : SI_CLIENT_TEXT_LEN - 1;

    memcpy(text, m->payload != NULL ? (const char *)m->payload : "", n);
    text[n] = '\0';
    si_field(got, sizeof(got), text, "client=");
    if (strcmp(got, addr_text(&c->params.self, want)) != 0) {
        si_client_log_crossed(c, want, text);
        return;
    }
    si_field(got, sizeof(got), text, "service=");
    if (strcmp(got, addr_text(&c->params.service, want)) != 0) {
        si_client_log_crossed(c, want, text);
        return;
    }
    si_field(id, sizeof(id), text, "id=");
    if (want_id != NULL && strcmp(id, want_id) != 0) {
        si_client_log_crossed(c, want_id, text);
    }
}

static si_outcome_t
outcome_of(uint8_t code)
{
    if (code >> 5 == 2) {
        return SI_ANSWERED;
    }
    switch (code) {
    case COAP_UNAVAILABLE:
        return SI_REFUSED;
    case COAP_GW_TIMEOUT:
        return SI_UNKNOWN;
    case COAP_INCOMPLETE:
        return SI_RESTART;
    case COAP_CONFLICT:
        return SI_CONFLICT;
    default:
        return SI_OTHER;
    }
}

static void
on_answer(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    si_outcome_t o = outcome_of(m->code);
    char received[SI_CLIENT_ID_LEN];
    const char *want = NULL;

    if (c->params.kind == SI_POST) {
        want = c->pending.id;
    }
    if (c->params.kind == SI_UPLOAD) { /* the bytes received so far */
        snprintf(received, sizeof(received), "%u",
                 (c->block + 1) * SI_BLOCK_LEN);
        want = received;
    }
    if (o == SI_ANSWERED) {
        check_own(c, m, want);
    }
    si_client_end(c, now, o, m);
}

static bool
matches_feed(const si_client_t *c, const coap_msg_t *m)
{
    return c->open && m->token_len == c->feed_token_len &&
           memcmp(m->token, c->feed_token, m->token_len) == 0;
}

static void
on_notification(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    if (m->type == COAP_T_CON) {
        si_client_send_empty(c, COAP_T_ACK, m->mid);
    }
    if (m->code >> 5 != 2) {
        si_client_break_feed(c, now, si_outcome_names[outcome_of(m->code)]);
        return;
    }
    c->last_received_at = now;
    if (m->observe != COAP_NONE) {
        c->stats->notified++;
        check_own(c, m, NULL);
    }
}

static void
on_empty(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    bool mine = c->pending.active && c->pending.msg.mid == m->mid;

    if (m->type == COAP_T_ACK && mine) {
        c->pending.acked = true;
    }
    else if (m->type == COAP_T_RST && mine) {
        si_client_end(c, now, SI_OTHER, NULL);
    }
    else if (m->type == COAP_T_RST && c->open) {
        si_client_break_feed(c, now, "reset");
    }
    else if (m->type == COAP_T_CON) { /* a ping, RFC 7252 4.3 */
        si_client_send_empty(c, COAP_T_RST, m->mid);
    }
}

static bool
matches_pending(const si_client_t *c, const coap_msg_t *m)
{
    const pending_t *p = &c->pending;

    if (!p->active || m->token_len != p->msg.token_len ||
        memcmp(m->token, p->msg.token, m->token_len) != 0) {
        return false;
    }
    return m->type != COAP_T_ACK || m->mid == p->msg.mid;
}

static void
on_response(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    if (matches_pending(c, m)) {
        if (m->type == COAP_T_CON) {
            si_client_send_empty(c, COAP_T_ACK, m->mid);
        }
        on_answer(c, now, m);
        return;
    }
    if (matches_feed(c, m)) {
        on_notification(c, now, m);
        return;
    }
    /* Belongs to an earlier request or feed: reject (RFC 7252 4.2). */
    if (m->type == COAP_T_CON || m->type == COAP_T_NON) {
        si_client_send_empty(c, COAP_T_RST, m->mid);
    }
}

/* Handles an echo: "upstream=U epoch=E ID". */
static void
on_echo(si_client_t *c, ms_t now, const uint8_t *data, size_t len)
{
    char text[SI_CLIENT_TEXT_LEN], upstream[64], epoch[16], source[100];
    size_t n = len < SI_CLIENT_TEXT_LEN ? len : SI_CLIENT_TEXT_LEN - 1;
    const char *id;

    memcpy(text, data, n);
    text[n] = '\0';
    id = strrchr(text, ' ');
    if (id == NULL || !c->pending.active ||
        strcmp(id + 1, c->pending.id) != 0) {
        return; /* belongs to an earlier request */
    }
    si_field(upstream, sizeof(upstream), text, "upstream=");
    si_field(epoch, sizeof(epoch), text, "epoch=");
    snprintf(source, sizeof(source), "%s/%s", upstream, epoch);
    if (c->upstream[0] != '\0' && strcmp(source, c->upstream) != 0) {
        si_client_log_broken(c, "moved");
    }
    memcpy(c->upstream, source, sizeof(source));
    si_client_end(c, now, SI_ANSWERED, NULL);
}

void
si_client_receive(si_client_t *c, ms_t now, const uint8_t *data, size_t len)
{
    coap_msg_t m;

    if (c->params.kind == SI_ECHO) {
        on_echo(c, now, data, len);
        return;
    }
    if (coap_decode(&m, data, len) < 0) {
        si_client_log_crossed(c, "coap", "malformed");
        return;
    }
    if (m.code == COAP_EMPTY) {
        on_empty(c, now, &m);
    }
    else if (coap_is_response(&m)) {
        on_response(c, now, &m);
    }
}
