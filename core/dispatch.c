/* Forwarding and refusal of a request, and its cancellation elsewhere.
 *
 * The hazard is a duplicate execution: copy 1 of a non-idempotent request
 * ran at one upstream, copy 2 goes to another.  An exclusive owner has
 * records of where each copy went.  Other owners may lack such a record, but
 * a copy can only be at one of the candidates, current or previous.  Such an
 * owner has the request cancelled at all of them except the target before it
 * forwards the request (fencing).  At each upstream, the first owner to
 * cancel a request decides on it there.
 */
#include "core/state.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define FIRST_PROBE_WAIT_MS 1000 /* limit, for the reply of a new upstream */
#define CANCEL_FIRST_RETRY_MS 60 /* until the second cancellation */
#define CANCEL_RETRY_MS 60       /* between later cancellations of a request */
#define CANCEL_RETRY_MAX 6       /* such intervals before giving up */

bool
ex_exclusive(core_t *c, const ex_t *ex)
{
    service_t *s = ex_service(c, ex);

    return owner_exclusive(c, request_owner_key(s, ex->key)) &&
           c->now - s->groups_since >= OWNER_SETTLE_MS &&
           !candidates_differ(c, s, ex->key);
}

/* ---- Final answers ---- */

void
ex_send_final(core_t *c, const ex_t *ex)
{
    uint8_t buf[96];
    int n = answer_build(c, buf, sizeof(buf), ex, ex->final_code,
                         ex->retry_after_s);

    if (n > 0) {
        send_client(c, ex->service, &ex->client, buf, (size_t)n);
    }
}

/* Sends the final answer.  The record of an idempotent request is removed. */
static void
answer_final(core_t *c, ex_t *ex, uint8_t code, uint32_t max_age)
{
    ex_count(c, ex, false);
    ex->final_code = code;
    ex->retry_after_s = max_age;
    ex_send_final(c, ex);
    if (ex->idempotent) {
        ex_remove(c, ex);
        return;
    }
    ex_free_buf(c, ex);
    ex_set_state(c, ex, EX_REFUSED);
}

void
ex_end_unknown(core_t *c, ex_t *ex)
{
    ex_service(c, ex)->stats.refused[REFUSE_OUTCOME_UNKNOWN]++;
    answer_final(c, ex, COAP_GW_TIMEOUT, COAP_NONE);
}

static void
refuse_now(core_t *c, ex_t *ex, refuse_t why)
{
    service_t *s = ex_service(c, ex);

    s->stats.refused[why]++;
    answer_final(c, ex, COAP_UNAVAILABLE, retry_after_s(c, s));
}

/* ---- Cancellation ---- */

/* True when U has a valid lease and would remember a copy.  False for an
 * upstream that has restarted since it may first have got work.  A restart
 * takes at least IDENTITY_LEASE_MS, so an epoch that began sooner than that
 * after the first listing is the first one. */
static bool
can_cancel_at(const core_t *c, up_ix_t u)
{
    const up_t *up = &c->ups[u];
    bool lost_state = c->now - up->epoch_since < OWNER_SETTLE_MS &&
                      up->epoch_since - up->listed_since >= IDENTITY_LEASE_MS;

    return up_lease_valid(c, u) && !lost_state;
}

/* True when one of the N upstreams AT is new and has not answered a probe
 * yet. */
static bool
any_unverified(const core_t *c, const up_ix_t *at, int n)
{
    for (int i = 0; i < n; i++) {
        const up_t *up = &c->ups[at[i]];
        if (up->listed && !up->verified && !up->wrong_service) {
            return true;
        }
    }
    return false;
}

void
ex_cancel_elsewhere(core_t *c, ex_t *ex)
{
    service_t *s = ex_service(c, ex);
    up_ix_t at[CANDIDATES_MAX];
    int n = all_candidates(c, s, ex->key, at);

    ex->n_cancelling = 0;
    ex->awaiting_probe =
        any_unverified(c, at, n) && c->now - ex->sent < FIRST_PROBE_WAIT_MS;
    if (ex->awaiting_probe) {
        ex_set_state(c, ex, EX_AWAITING_CANCEL);
        return;
    }
    for (int i = 0; i < n; i++) {
        if (!can_cancel_at(c, at[i])) {
            ex_end_unknown(c, ex);
            return;
        }
        if (at[i] != ex->up || ex->refuse_when_cancelled) {
            ex->cancelling[ex->n_cancelling++] = at[i];
        }
    }
    if (ex->n_cancelling == 0) {
        ex_forward(c, ex);
        return;
    }
    ex_set_state(c, ex, EX_AWAITING_CANCEL);
    ex->sent = c->now;
    ex->retry_at = c->now + CANCEL_FIRST_RETRY_MS;
    s->stats.fenced++;
    for (int i = 0; i < ex->n_cancelling; i++) {
        up_cancel(c, ex, ex->cancelling[i]);
    }
}

void
ex_refuse(core_t *c, ex_t *ex, refuse_t why)
{
    if (ex->idempotent || ex_exclusive(c, ex)) {
        refuse_now(c, ex, why);
        return;
    }
    if (ex->refuse_when_cancelled) {
        ex_end_unknown(c, ex);
        return;
    }
    ex_count(c, ex, false);
    ex->refuse_when_cancelled = true;
    ex->refuse_reason = why;
    ex_cancel_elsewhere(c, ex);
}

void
ex_forward(core_t *c, ex_t *ex)
{
    service_t *s = ex_service(c, ex);

    if (!up_lease_valid(c, ex->up)) {
        ex_refuse(c, ex, REFUSE_NO_UPSTREAM);
        return;
    }
    ex_set_state(c, ex, EX_SENT);
    ex->epoch = c->ups[ex->up].epoch;
    ex->sent = c->now;
    s->forwarded++;
    ex_count(c, ex, true);
    send_upstream(c, ex->up, &ex->client, true, ex_bytes(c, ex), ex->len);
}

/* ---- Replies to cancellations ---- */

/* The request runs or has run at U: sending a copy there brings the answer. */
static void
attach_to_copy(core_t *c, ex_t *ex, up_ix_t u)
{
    ex->up = u;
    ex->refuse_when_cancelled = false;
    ex->found = true;
    ex_forward(c, ex);
}

static bool
cancelled_by_self(const core_t *c, const char *by)
{
    char self[17];

    snprintf(self, sizeof(self), "%016llx", (unsigned long long)c->p.self);
    return by == NULL || strcmp(by, self) == 0;
}

/* Handles U's reply to the cancellation of EX. */
static void
handle_cancel_state(core_t *c, ex_t *ex, up_ix_t u, const char *state,
                    const char *by, uint32_t epoch)
{
    for (int i = 0; i < ex->n_cancelling; i++) {
        if (ex->cancelling[i] == u) {
            ex->cancelling[i] = ex->cancelling[--ex->n_cancelling];
        }
    }
    if (!can_cancel_at(c, u) || c->ups[u].epoch != epoch) {
        ex_end_unknown(c, ex);
        return;
    }
    if (strcmp(state, "barred") != 0) { /* "barred": cancelled */
        attach_to_copy(c, ex, u);
        return;
    }
    if (!cancelled_by_self(c, by)) {
        /* Another owner cancelled first and answers the caller. */
        ex_set_state(c, ex, EX_CANCELLED);
        return;
    }
    if (ex->n_cancelling > 0) {
        return;
    }
    if (ex->refuse_when_cancelled) {
        refuse_now(c, ex, ex->refuse_reason);
        return;
    }
    ex_forward(c, ex);
}

static void
parse_cancel_reply(core_t *c, up_ix_t u, const coap_msg_t *m, const json_t *j)
{
    uint32_t index;
    uint16_t mid;
    const char *state = json_string_value(json_object_get(j, "state"));
    const char *by = json_string_value(json_object_get(j, "by"));
    uint32_t epoch = (uint32_t)json_integer_value(json_object_get(j, "epoch"));
    ex_t *ex;

    memcpy(&index, m->token + 1, 4);
    memcpy(&mid, m->token + 5, 2);
    if (state == NULL || index >= c->p.max_exchanges) {
        return;
    }
    ex = &c->exs[index];
    if (ex->state == EX_AWAITING_CANCEL && ex->mid == mid &&
        ex->generation == m->token[7]) {
        handle_cancel_state(c, ex, u, state, by, epoch);
    }
}

void
request_cancel_reply(core_t *c, up_ix_t u, const coap_msg_t *m)
{
    json_t *j;

    if (m->code >> 5 != 2) {
        return;
    }
    j = json_loadb((const char *)m->payload, m->payload_len, 0, NULL);
    if (j != NULL) {
        parse_cancel_reply(c, u, m, j);
    }
    json_decref(j);
}

/* ---- Time ---- */

void
ex_retry_cancel(core_t *c, ex_t *ex)
{
    if (ex->awaiting_probe) {
        ex_cancel_elsewhere(c, ex);
        return;
    }
    if (c->now < ex->retry_at) {
        return;
    }
    if (c->now - ex->sent >= CANCEL_RETRY_MAX * CANCEL_RETRY_MS) {
        ex_end_unknown(c, ex);
        return;
    }
    ex->retry_at = c->now + CANCEL_RETRY_MS;
    for (int i = 0; i < ex->n_cancelling; i++) {
        up_cancel(c, ex, ex->cancelling[i]);
    }
}
