/* Requests at their owner.
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

#define RETRIES_MAX 2       /* at other upstreams, of one request */
#define RETRY_BUDGET_MIN 10 /* retries allowed beyond the percentage */
#define PERCENT 100
#define BLOCK_MORE 8             /* RFC 7959 2.2 */
#define FIRST_PROBE_WAIT_MS 1000 /* limit, for the reply of a new upstream */
#define FENCE_FIRST_RETRY_MS 60  /* until the second cancellation */
#define FENCE_RETRY_MS 60        /* between later cancellations of a request */
#define FENCE_RETRY_MAX 6        /* such intervals before giving up */

static service_t *
service_of(core_t *c, const ex_t *ex)
{
    return &c->services[ex->service];
}

static bool
exclusive_for(core_t *c, const ex_t *ex)
{
    service_t *s = service_of(c, ex);

    return owner_exclusive(c, request_owner_key(s, ex->key)) &&
           c->now - s->groups_since >= OWNER_SETTLE_MS &&
           !candidates_differ(c, s, ex->key);
}

/* ---- Fencing ---- */

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

static void forward(core_t *c, ex_t *ex);
static void end_unknown(core_t *c, ex_t *ex);

/* Has EX cancelled at every upstream that may hold a copy, except its
 * target.  The outcome is unknown when one of these or the target has no
 * valid lease, or has restarted and so lost its record of requests. */
static void
fence(core_t *c, ex_t *ex)
{
    service_t *s = service_of(c, ex);
    up_ix_t at[CANDIDATES_MAX];
    int n = all_candidates(c, s, ex->key, at);

    ex->n_fence = 0;
    ex->awaiting_probe =
        any_unverified(c, at, n) && c->now - ex->sent < FIRST_PROBE_WAIT_MS;
    if (ex->awaiting_probe) {
        ex_set_state(c, ex, EX_FENCING);
        return;
    }
    for (int i = 0; i < n; i++) {
        if (!can_cancel_at(c, at[i])) {
            end_unknown(c, ex);
            return;
        }
        if (at[i] != ex->up || ex->refuse_when_fenced) {
            ex->fence[ex->n_fence++] = at[i];
        }
    }
    if (ex->n_fence == 0) {
        forward(c, ex);
        return;
    }
    ex_set_state(c, ex, EX_FENCING);
    ex->sent = c->now;
    ex->retry_at = c->now + FENCE_FIRST_RETRY_MS;
    s->stats.fenced++;
    for (int i = 0; i < ex->n_fence; i++) {
        up_cancel(c, ex, ex->fence[i]);
    }
}

/* ---- Final answers ---- */

static void
send_final(core_t *c, const ex_t *ex)
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
    send_final(c, ex);
    if (ex->idempotent) {
        ex_remove(c, ex);
        return;
    }
    ex_free_buf(c, ex);
    ex_set_state(c, ex, EX_REFUSED);
}

static void
end_unknown(core_t *c, ex_t *ex)
{
    service_of(c, ex)->stats.refused[REFUSE_OUTCOME_UNKNOWN]++;
    answer_final(c, ex, COAP_GW_TIMEOUT, COAP_NONE);
}

static void
refuse_now(core_t *c, ex_t *ex, refuse_t why)
{
    service_t *s = service_of(c, ex);

    s->stats.refused[why]++;
    answer_final(c, ex, COAP_UNAVAILABLE, retry_after_s(c, s));
}

/* Refuses EX as "not run", which must stay true.  An exclusive owner
 * refuses at once: its record keeps later copies from running.  An owner
 * with uncertain ownership first has the request cancelled wherever a copy
 * could be; when that fails, the outcome is unknown. */
static void
end_refused(core_t *c, ex_t *ex, refuse_t why)
{
    if (ex->idempotent || exclusive_for(c, ex)) {
        refuse_now(c, ex, why);
        return;
    }
    if (ex->refuse_when_fenced) {
        end_unknown(c, ex);
        return;
    }
    ex_count(c, ex, false);
    ex->refuse_when_fenced = true;
    ex->refuse_reason = why;
    fence(c, ex);
}

/* ---- Forwarding ---- */

static void
forward(core_t *c, ex_t *ex)
{
    service_t *s = service_of(c, ex);

    if (!up_lease_valid(c, ex->up)) {
        end_refused(c, ex, REFUSE_NO_UPSTREAM);
        return;
    }
    ex_set_state(c, ex, EX_SENT);
    ex->epoch = c->ups[ex->up].epoch;
    ex->sent = c->now;
    s->forwarded++;
    ex_count(c, ex, true);
    send_upstream(c, ex->up, &ex->client, true, ex_bytes(c, ex), ex->len);
}

/* ---- Upstream selection ---- */

/* The least loaded of the N upstreams LIST with room for CLS; FIRST wins a
 * tie.  The owner sees all requests of the service, so it needs no random
 * choice. */
static up_ix_t
least_loaded(core_t *c, const up_ix_t *list, uint32_t n, up_ix_t first,
             class_t cls)
{
    up_ix_t best = UP_NONE;
    uint32_t best_load = UINT32_MAX;

    for (uint32_t i = 0; i < n; i++) {
        up_ix_t u = list[i];
        uint32_t load;

        if (!up_eligible(c, u) || !up_room(c, u, cls)) {
            continue;
        }
        load = up_load(c, u);
        if (load < best_load || (load == best_load && u == first)) {
            best = u;
            best_load = load;
        }
    }
    return best;
}

/* A non-idempotent request goes only to a candidate of its bucket: an owner
 * without the record has it cancelled only there. */
static up_ix_t
choose(core_t *c, const ex_t *ex)
{
    service_t *s = service_of(c, ex);
    const up_ix_t *candidate = bucket_of(s, ex->key)->candidate;

    if (!ex->idempotent) {
        return least_loaded(c, candidate, CANDIDATES, candidate[0], ex->cls);
    }
    return least_loaded(c, s->ups, s->n_ups, candidate[0], ex->cls);
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
    service_t *s = service_of(c, ex);

    if (over_share(s, d)) {
        end_refused(c, ex, REFUSE_CALLER_SHARE);
        return;
    }
    ex->up = choose(c, ex);
    if (ex->up == UP_NONE) {
        end_refused(c, ex,
                    any_eligible(c, s) ? REFUSE_FULL : REFUSE_NO_UPSTREAM);
        return;
    }
    if (ex->idempotent || exclusive_for(c, ex)) {
        forward(c, ex);
        return;
    }
    fence(c, ex);
}

/* The request runs or has run at U: sending a copy there brings the answer. */
static void
attach_to_copy(core_t *c, ex_t *ex, up_ix_t u)
{
    ex->up = u;
    ex->refuse_when_fenced = false;
    ex->found = true;
    forward(c, ex);
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
    for (int i = 0; i < ex->n_fence; i++) {
        if (ex->fence[i] == u) {
            ex->fence[i] = ex->fence[--ex->n_fence];
        }
    }
    if (!can_cancel_at(c, u) || c->ups[u].epoch != epoch) {
        end_unknown(c, ex);
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
    if (ex->n_fence > 0) {
        return;
    }
    if (ex->refuse_when_fenced) {
        refuse_now(c, ex, ex->refuse_reason);
        return;
    }
    forward(c, ex);
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
    bool not_run = ex->idempotent || exclusive_for(c, ex);

    answer_now(c, d, not_run ? COAP_UNAVAILABLE : COAP_GW_TIMEOUT,
               not_run ? retry_after_s(c, service_of(c, ex)) : COAP_NONE,
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
    service_of(c, ex)->stats.duplicates++;
    switch (ex->state) {
    case EX_REFUSED:
        if (ex->final_code == COAP_UNAVAILABLE && !exclusive_for(c, ex)) {
            /* Another owner may have run it since it was refused here. */
            end_unknown(c, ex);
            return;
        }
        send_final(c, ex);
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
        end_unknown(c, ex);
        return;
    case EX_FENCING:
    case EX_FREE:
        return;
    }
}

/* ---- Uploads ---- */

/* Refuses an upload.  A first block that an upstream may have accepted,
 * from this owner or from one that failed, must not be reported as "not
 * run": the caller is asked to start again. */
static void
upload_refuse(core_t *c, const dgram_t *d, refuse_t why, bool maybe_accepted)
{
    if (maybe_accepted) {
        answer_now(c, d, COAP_INCOMPLETE, COAP_NONE, REFUSE_UPLOAD);
        return;
    }
    answer_now(c, d, COAP_UNAVAILABLE,
               retry_after_s(c, &c->services[d->service]), why);
}

/* Opens an upload.  ALREADY_FORWARDED: its first block was sent to an
 * upstream before.  Returns NULL when the upload was refused. */
static flow_t *
upload_open(core_t *c, const dgram_t *d, bool already_forwarded)
{
    service_t *s = &c->services[d->service];
    up_ix_t first = bucket_of(s, d->key)->candidate[0];
    up_ix_t up = first;
    bool exclusive = owner_exclusive(c, request_owner_key(s, d->key));
    flow_t *f;

    s->stats.requests[CLASS_BULK]++;
    if (exclusive) {
        up = least_loaded(c, s->ups, s->n_ups, first, CLASS_BULK);
    }
    if (!up_eligible(c, up)) {
        upload_refuse(c, d, REFUSE_FULL, !exclusive || already_forwarded);
        return NULL;
    }
    f = flow_add(c, d->key, d->service, up, FLOW_UPLOAD);
    if (f == NULL) {
        upload_refuse(c, d, REFUSE_TABLE_FULL,
                      !exclusive || already_forwarded);
        return NULL;
    }
    sync_flow(c, f);
    return f;
}

/* Sends a block of an upload to the upstream of its first block. */
static void
upload_block(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    up_ix_t first = bucket_of(s, d->key)->candidate[0];
    flow_t *f = flow_claim(c, d->key);
    bool first_block = d->m->block1 >> 4 == 0;
    bool already_forwarded = f != NULL && !(f->flags & FLOW_ENDED);

    if (f != NULL && (up_lost(c, f->up) || !(f->flags & FLOW_UPLOAD) ||
                      (first_block && (f->flags & FLOW_ENDED)))) {
        flow_remove(c, f);
        f = NULL;
    }
    if (f == NULL && first_block) {
        f = upload_open(c, d, already_forwarded);
        if (f == NULL) {
            return;
        }
    }
    if (f != NULL) {
        flow_touch(c, f);
        if (!(d->m->block1 & BLOCK_MORE)) {
            f->flags |= FLOW_LAST_BLOCK;
        }
        send_to_pin(c, d, f, true);
        return;
    }
    if (owner_exclusive(c, request_owner_key(s, d->key)) ||
        up_lost(c, first)) {
        answer_now(c, d, COAP_INCOMPLETE, COAP_NONE, REFUSE_UPLOAD);
        return;
    }
    /* An owner that failed may have opened it at the first candidate. */
    if (up_lease_valid(c, first)) {
        send_upstream(c, first, &d->h->client, true, d->data, d->len);
    }
}

bool
is_upload_block(const coap_msg_t *m)
{
    bool more = (m->block1 & BLOCK_MORE) != 0;

    return m->block1 != COAP_NONE && (m->block1 >> 4 > 0 || more);
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
        end_refused(c, ex, REFUSE_MID_REUSE);
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
    service_t *s = service_of(c, ex);
    up_ix_t old = ex->up;
    up_ix_t next;

    ex_count(c, ex, false);
    if (ex->found) {
        end_unknown(c, ex); /* found there before, but not run */
        return;
    }
    if (ex->tries >= RETRIES_MAX || !retry_allowed(s) ||
        (!ex->idempotent && !exclusive_for(c, ex))) {
        end_refused(c, ex, REFUSE_FULL);
        return;
    }
    next = choose(c, ex);
    if (next == old && ex->idempotent) {
        next = up_next(c, s, ex->key, old);
    }
    if (next == UP_NONE || next == old) {
        end_refused(c, ex, REFUSE_FULL);
        return;
    }
    ex->up = next;
    ex->tries++;
    s->retried++;
    s->stats.retries++;
    forward(c, ex);
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
    service_t *s = service_of(c, ex);

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

/* ---- Replies to cancellations ---- */

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
    if (ex->state == EX_FENCING && ex->mid == mid &&
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

static void
retry_fence(core_t *c, ex_t *ex)
{
    if (ex->awaiting_probe) {
        fence(c, ex);
        return;
    }
    if (c->now < ex->retry_at) {
        return;
    }
    if (c->now - ex->sent >= FENCE_RETRY_MAX * FENCE_RETRY_MS) {
        end_unknown(c, ex);
        return;
    }
    ex->retry_at = c->now + FENCE_RETRY_MS;
    for (int i = 0; i < ex->n_fence; i++) {
        up_cancel(c, ex, ex->fence[i]);
    }
}

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
    end_unknown(c, ex);
}

static void
check_active(core_t *c, ex_t *ex)
{
    if (ex->state == EX_SENT) {
        check_sent(c, ex);
        return;
    }
    retry_fence(c, ex);
}

void
request_tick(core_t *c)
{
    LIST_EACH (l, &c->ex_active) {
        check_active(c, CONTAINER_OF(l, ex_t, link));
    }
}
