/* Outcomes of a caller stand-in's requests, and its log. */
#include "standin/client_state.h"

#include <stdio.h>
#include <string.h>

#define ECHOES_LOST_MAX 5 /* consecutive losses that break an echo flow */
#define RETRY_MS 200 /* delay before an interrupted feed registers again */

const char *const si_kind_names[SI_KINDS] = {"feed", "ack", "upload", "read",
                                             "echo"};
const char *const si_outcome_names[SI_OUTCOMES] = {
    "answered", "refused", "unknown", "restart",
    "conflict", "other",   "timeout"};

static void
log_text(si_client_t *c, const char *line)
{
    if (c->out.log != NULL) {
        c->out.log(c->out.arg, line);
    }
}

void
si_client_log_broken(si_client_t *c, const char *why)
{
    char line[SI_CLIENT_TEXT_LEN], self[ADDR_STRLEN];

    c->stats->broken++;
    snprintf(line, sizeof(line), "broken kind=%s client=%s why=%s",
             si_kind_names[c->params.kind], addr_text(&c->params.self, self),
             why);
    log_text(c, line);
}

void
si_client_log_crossed(si_client_t *c, const char *want, const char *got)
{
    char line[SI_CLIENT_TEXT_LEN], self[ADDR_STRLEN];

    c->stats->crossed++;
    snprintf(line, sizeof(line), "crossed client=%s want=%s got=%.150s",
             addr_text(&c->params.self, self), want, got);
    log_text(c, line);
}

static void
log_outcome(si_client_t *c, ms_t now, si_outcome_t o)
{
    char line[SI_CLIENT_TEXT_LEN], self[ADDR_STRLEN];
    const pending_t *p = &c->pending;

    c->stats->outcome[o]++;
    if (o == SI_ANSWERED) {
        hist_add(&c->stats->ms, (uint64_t)(now - p->sent_at));
    }
    if (c->params.kind != SI_POST && c->params.kind != SI_UPLOAD) {
        return;
    }
    snprintf(
        line, sizeof(line),
        "post id=%s outcome=%s kind=%s client=%s mid=%u copies=%d ms=%lld",
        p->id, si_outcome_names[o], si_kind_names[c->params.kind],
        addr_text(&c->params.self, self), p->msg.mid, p->transmissions,
        (long long)(now - p->sent_at));
    log_text(c, line);
}

static void
log_established(si_client_t *c)
{
    char line[SI_CLIENT_TEXT_LEN], self[ADDR_STRLEN];

    c->stats->established++;
    snprintf(line, sizeof(line), "feed established client=%s",
             addr_text(&c->params.self, self));
    log_text(c, line);
}

static void
on_feed_outcome(si_client_t *c, ms_t now, si_outcome_t o, const coap_msg_t *m)
{
    c->next_at = now + (o == SI_ANSWERED ? 0 : RETRY_MS);
    if (o != SI_ANSWERED || m == NULL || m->observe == COAP_NONE) {
        return;
    }
    c->open = true;
    c->last_received_at = now;
    c->feed_token_len = m->token_len;
    memcpy(c->feed_token, m->token, m->token_len);
    log_established(c);
}

static void
log_uploaded(si_client_t *c)
{
    char line[SI_CLIENT_TEXT_LEN], self[ADDR_STRLEN];

    c->stats->uploaded++;
    snprintf(line, sizeof(line), "uploaded client=%s bytes=%u",
             addr_text(&c->params.self, self),
             c->params.blocks * SI_BLOCK_LEN);
    log_text(c, line);
}

/* Handles the outcome of a block. */
static void
on_upload_outcome(si_client_t *c, ms_t now, si_outcome_t o,
                  const coap_msg_t *m)
{
    c->next_at = now;
    if (o == SI_ANSWERED && m->code == COAP_CONTINUE) {
        c->block++;
        return;
    }
    if (o == SI_REFUSED) { /* send the same block again later */
        c->next_at = now + c->params.interval_ms;
        return;
    }
    c->next_at = now + c->params.interval_ms;
    c->block = 0;
    if (o == SI_ANSWERED) {
        log_uploaded(c);
        return;
    }
    si_client_log_broken(c, si_outcome_names[o]);
}

static void
on_echo_outcome(si_client_t *c, si_outcome_t o)
{
    c->echoes_lost = o == SI_TIMEOUT ? c->echoes_lost + 1 : 0;
    if (c->echoes_lost == ECHOES_LOST_MAX) {
        c->echoes_lost = 0;
        si_client_log_broken(c, "silent");
    }
}

void
si_client_end(si_client_t *c, ms_t now, si_outcome_t o, const coap_msg_t *m)
{
    ms_t wait = c->params.interval_ms;

    log_outcome(c, now, o);
    c->pending.active = false;
    if (o == SI_REFUSED && m != NULL && m->max_age != COAP_NONE) {
        wait = (ms_t)m->max_age * 1000;
    }
    c->next_at = now + wait;
    if (c->params.kind == SI_FEED) {
        on_feed_outcome(c, now, o, m);
    }
    else if (c->params.kind == SI_UPLOAD) {
        on_upload_outcome(c, now, o, m);
    }
    else if (c->params.kind == SI_ECHO) {
        on_echo_outcome(c, o);
    }
    if (o == SI_REFUSED) {
        c->next_at = now + wait;
    }
}

void
si_client_break_feed(si_client_t *c, ms_t now, const char *why)
{
    c->open = false;
    c->next_at = now + RETRY_MS;
    si_client_log_broken(c, why);
}
