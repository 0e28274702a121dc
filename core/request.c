/* Requests at their owner: selection of an upstream, duplicates, answers and
 * retries. */
#include "core/state.h"

#include <string.h>

#define RETRIES_MAX 2       /* at other upstreams, of one request */
#define RETRY_BUDGET_MIN 10 /* retries allowed beyond the percentage */
#define PERCENT 100

/* ---- Upstream selection ---- */

/* A non-idempotent request goes only to a candidate of its bucket: an owner
 * without the record has it cancelled only there. */
static up_ix_t
choose(core_t *c, const ex_t *ex)
{
    service_t *s = ex_service(c, ex);
    const up_ix_t *candidate = bucket_of(s, ex->key)->candidate;

    if (!ex->idempotent) {
        return up_least_loaded(c, candidate, CANDIDATES, candidate[0],
                               ex->cls);
    }
    return up_least_loaded(c, s->ups, s->n_ups, candidate[0], ex->cls);
}

static bool
over_share(service_t *s, const dgram_t *d)
{
    return s->conf.caller_share > 0 &&
           *share_of(s, &d->h->client) >= s->conf.caller_share;
}

static bool
any_eligible(core_t *c, const service_t *s)
{
    for (uint32_t i = 0; i < s->n_ups; i++) {
        if (up_eligible(c, s->ups[i])) {
            return true;
        }
    }
    return false;
}

/* Starts a request that has no record here. */
static void
open_request(core_t *c, const dgram_t *d, ex_t *ex)
{
    service_t *s = ex_service(c, ex);

    if (over_share(s, d)) {
        ex_refuse(c, ex, REFUSE_CALLER_SHARE);
        return;
    }
    ex->up = choose(c, ex);
    if (ex->up == UP_NONE) {
        ex_refuse(c, ex,
                  any_eligible(c, s) ? REFUSE_FULL : REFUSE_NO_UPSTREAM);
        return;
    }
    if (ex->idempotent || ex_exclusive(c, ex)) {
        ex_forward(c, ex);
        return;
    }
    ex_cancel_elsewhere(c, ex);
}

/* ---- Duplicates of a recorded request ---- */

/* Sends a duplicate to the upstream of the first copy, and only while that
 * upstream still remembers the request. */
static bool
forward_duplicate(core_t *c, const dgram_t *d, const ex_t *ex)
{
    if (!up_lease_valid(c, ex->up) || c->ups[ex->up].epoch != ex->epoch) {
        return false;
    }
    send_upstream(c, ex->up, &ex->client, true, d->data, d->len);
    return true;
}

/* Refuses a request whose port or message ID was reused too early.  The
 * upstream would treat it as a duplicate of the old request and send the
 * old answer. */
static void
refuse_reused_mid(core_t *c, const dgram_t *d, const ex_t *ex)
{
    bool not_run = ex->idempotent || ex_exclusive(c, ex);

    answer_now(c, d, not_run ? COAP_UNAVAILABLE : COAP_GW_TIMEOUT,
               not_run ? retry_after_s(c, ex_service(c, ex)) : COAP_NONE,
               not_run ? REFUSE_MID_REUSE : REFUSE_OUTCOME_UNKNOWN);
}

static void
handle_duplicate(core_t *c, const dgram_t *d, ex_t *ex)
{
    bool same = ex->token_len == d->m->token_len &&
                memcmp(ex->token, d->m->token, ex->token_len) == 0;

    if (!same) {
        refuse_reused_mid(c, d, ex);
        return;
    }
    ex_service(c, ex)->stats.duplicates++;
    switch (ex->state) {
    case EX_REFUSED:
        if (ex->final_code == COAP_UNAVAILABLE && !ex_exclusive(c, ex)) {
            /* Another owner may have run it since it was refused here. */
            ex_end_unknown(c, ex);
            return;
        }
        ex_send_final(c, ex);
        return;
    case EX_DONE:
        if (ex->buf != 0) {
            send_client(c, ex->service, &ex->client, ex_bytes(c, ex), ex->len);
            return;
        }
        if (!forward_duplicate(c, d, ex)) {
            /* It ran, but its answer is lost with the upstream. */
            answer_now(c, d, COAP_GW_TIMEOUT, COAP_NONE,
                       REFUSE_OUTCOME_UNKNOWN);
        }
        return;
    case EX_SENT:
        forward_duplicate(c, d, ex);
        return;
    case EX_CANCELLED:
        /* The other owner had time to answer, yet the caller still
         * retransmits. */
        ex_end_unknown(c, ex);
        return;
    case EX_AWAITING_CANCEL:
    case EX_FREE:
        return;
    }
}

/* ---- Entry ---- */

void
request_at_owner(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    ex_t *ex;
    const ex_t *same_token;

    if (is_upload_block(d->m)) {
        upload_block(c, d);
        return;
    }
    ex = ex_find(c, d->key, d->m->mid);
    if (ex != NULL) {
        handle_duplicate(c, d, ex);
        return;
    }
    s->stats.requests[class_of(d->m)]++;
    if (d->len > EX_BUF) {
        answer_now(c, d, COAP_TOO_LARGE, COAP_NONE, REFUSE_TOO_LARGE);
        return;
    }
    same_token = ex_find_token(c, d->key, d->m);
    ex = ex_add(c, d);
    if (ex == NULL) {
        bool not_run = owner_exclusive(c, request_owner_key(s, d->key)) ||
                       d->m->code == COAP_GET;
        answer_now(c, d, not_run ? COAP_UNAVAILABLE : COAP_GW_TIMEOUT,
                   not_run ? retry_after_s(c, s) : COAP_NONE,
                   not_run ? REFUSE_TABLE_FULL : REFUSE_OUTCOME_UNKNOWN);
        return;
    }
    if (same_token != NULL && same_token->state != EX_REFUSED &&
        same_token->state != EX_DONE) {
        /* The token belongs to a request still in progress, perhaps of the
         * port's previous user, whose answer would be matched to this
         * request. */
        ex_refuse(c, ex, REFUSE_MID_REUSE);
        return;
    }
    open_request(c, d, ex);
}

/* ---- Answers and retries ---- */

static bool
retry_allowed(const service_t *s)
{
    return s->retried <
           RETRY_BUDGET_MIN + s->forwarded * s->conf.retry_percent / PERCENT;
}

/* The upstream replied "not run", or the request is idempotent: tries
 * another upstream within the retry budget. */
static void
retry(core_t *c, ex_t *ex)
{
    service_t *s = ex_service(c, ex);
    up_ix_t old = ex->up;
    up_ix_t next;

    ex_count(c, ex, false);
    if (ex->found) {
        ex_end_unknown(c, ex); /* found there before, but not run */
        return;
    }
    if (ex->tries >= RETRIES_MAX || !retry_allowed(s) ||
        (!ex->idempotent && !ex_exclusive(c, ex))) {
        ex_refuse(c, ex, REFUSE_FULL);
        return;
    }
    next = choose(c, ex);
    if (next == old && ex->idempotent) {
        next = up_next(c, s, ex->key, old);
    }
    if (next == UP_NONE || next == old) {
        ex_refuse(c, ex, REFUSE_FULL);
        return;
    }
    ex->up = next;
    ex->tries++;
    s->retried++;
    s->stats.retries++;
    ex_forward(c, ex);
}

/* Forwards the final answer.  The record of an idempotent request is
 * removed. */
static void
answer_done(core_t *c, ex_t *ex, const coap_msg_t *m, const uint8_t *data,
            size_t len)
{
    send_client(c, ex->service, &ex->client, data, len);
    ex->answer_mid = m->type == COAP_T_CON ? m->mid : 0;
    if (ex->idempotent && ex->answer_mid == 0) {
        ex_remove(c, ex);
        return;
    }
    if (!ex_store(c, ex, data, len)) {
        ex_free_buf(c, ex);
    }
    ex_set_state(c, ex, EX_DONE);
}

/* Handles an answer to EX from its upstream. */
void
request_answer(core_t *c, ex_t *ex, const coap_msg_t *m, const uint8_t *data,
               size_t len)
{
    service_t *s = ex_service(c, ex);

    if (ex->state != EX_SENT && ex->state != EX_DONE) {
        s->stats.late_answers++;
        return;
    }
    if (m->code == COAP_CONFLICT && !ex->idempotent) {
        /* Another owner cancelled it there and answers the caller. */
        ex_count(c, ex, false);
        ex_set_state(c, ex, EX_CANCELLED);
        return;
    }
    if (m->code == COAP_UNAVAILABLE && ex->state == EX_SENT) {
        up_shed(c, ex->up);
        retry(c, ex);
        return;
    }
    if (ex->state == EX_SENT) {
        hist_add(&s->stats.wait_ms[ex->cls], (uint64_t)(c->now - ex->sent));
        c->ups[ex->up].sheds = 0;
        ex_count(c, ex, false);
    }
    answer_done(c, ex, m, data, len);
}

/* ---- Time ---- */

static void
check_sent(core_t *c, ex_t *ex)
{
    const up_t *u = &c->ups[ex->up];
    bool restarted = u->epoch != ex->epoch;
    bool late = c->now - ex->sent >= c->services[ex->service].conf.request_ms;
    bool lost = !up_lease_valid(c, ex->up);

    if (!restarted && !late && !(lost && ex->idempotent)) {
        return;
    }
    if (ex->idempotent) {
        retry(c, ex);
        return;
    }
    /* It may have run before the upstream stopped: the outcome is unknown. */
    ex_end_unknown(c, ex);
}

static void
check_active(core_t *c, ex_t *ex)
{
    if (ex->state == EX_SENT) {
        check_sent(c, ex);
        return;
    }
    ex_retry_cancel(c, ex);
}

void
request_tick(core_t *c)
{
    LIST_EACH (l, &c->ex_active) {
        check_active(c, CONTAINER_OF(l, ex_t, link));
    }
}
