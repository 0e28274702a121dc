/* What a home does with a request.
 *
 * The hazard is a second run: copy 1 of a non-idempotent request went to one
 * upstream and ran, copy 2 goes to another.  Three things prevent it: records
 * (a known request goes where it went), the table's first choice (another home
 * without the record chooses the same upstream, which detects the duplicate),
 * and, when the choice may differ, the backup's acknowledgement before and
 * fencing of the earlier choices.
 */
#include "core/state.h"

#include <string.h>

#define TRIES_MAX 2    /* forwards after the first was shed */
#define RETRY_FLOOR 10 /* retries allowed whatever the budget */
#define PERCENT 100
#define FENCE_AGAIN_MS 60 /* until a cancellation is sent again */

static service_t *
service_of(core_t *c, const ex_t *ex)
{
    return &c->services[ex->service];
}

static bool
sure_of(core_t *c, const ex_t *ex)
{
    service_t *s = service_of(c, ex);

    return home_sure(c, work_key(s, ex->key)) &&
           c->now - s->groups_since >= DOUBT_MS;
}

/* ---- Fences ---- */

static void
fence_add(ex_t *ex, uint16_t u)
{
    for (int i = 0; i < ex->n_fence; i++) {
        if (ex->fence[i] == u) {
            return;
        }
    }
    if (u != UP_NONE && ex->n_fence < FENCE_MAX) {
        ex->fence[ex->n_fence++] = u;
    }
}

/* Has EX barred at every upstream where a copy may be: the first choice of
 * the table and of those that others may still use, and, when it is to be
 * refused, at its target. */
static void
start_fence(core_t *c, ex_t *ex)
{
    service_t *s = service_of(c, ex);
    uint16_t earlier[EARLIER_MAX];
    int n = earlier_choices(c, s, ex->key, earlier);
    uint16_t first = bucket_of(s, ex->key)->first;

    ex->n_fence = 0;
    for (int i = 0; i < n; i++) {
        if (ex->refuse_after || earlier[i] != ex->up) {
            fence_add(ex, earlier[i]);
        }
    }
    if (ex->refuse_after || first != ex->up) {
        fence_add(ex, first);
    }
    if (ex->refuse_after) {
        fence_add(ex, ex->up);
    }
    ex_state(c, ex, EX_FENCING);
    ex->sent = c->now;
    ex->retry_at = c->now + FENCE_AGAIN_MS;
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
    int n = answer_build(c, buf, sizeof(buf), ex, ex->final, ex->come_back);

    if (n > 0) {
        send_client(c, ex->service, &ex->client, buf, (size_t)n);
    }
}

/* The final answer; a read's record isn't needed any more. */
static void
answer_final(core_t *c, ex_t *ex, uint8_t code, uint32_t max_age)
{
    ex_count(c, ex, false);
    ex->final = code;
    ex->come_back = max_age;
    send_final(c, ex);
    if (ex->idempotent) {
        ex_remove(c, ex);
        return;
    }
    ex_drop_bytes(c, ex);
    ex_state(c, ex, EX_REFUSED);
}

void
request_unknown(core_t *c, ex_t *ex)
{
    service_of(c, ex)->stats.refused[REFUSE_UNKNOWN]++;
    answer_final(c, ex, COAP_GW_TIMEOUT, COAP_NONE);
}

static void
refuse_now(core_t *c, ex_t *ex, refuse_t why)
{
    service_t *s = service_of(c, ex);
    bool idempotent = ex->idempotent;

    s->stats.refused[why]++;
    answer_final(c, ex, COAP_UNAVAILABLE, come_back(c, s));
    if (!idempotent) {
        ex->up = UP_NONE;
        sync_ex(c, ex);
    }
}

/* "Not run" must stay true.  A sure home refuses by its own word: its record
 * keeps later copies from running.  Another one has the request barred first
 * wherever a copy could be; if that can't be had, the outcome is unknown. */
void
request_refuse(core_t *c, ex_t *ex, refuse_t why)
{
    if (ex->idempotent || sure_of(c, ex)) {
        refuse_now(c, ex, why);
        return;
    }
    if (ex->refuse_after) {
        request_unknown(c, ex);
        return;
    }
    ex_count(c, ex, false);
    ex->refuse_after = true;
    ex->why = why;
    start_fence(c, ex);
}

/* ---- Forwarding ---- */

void
request_forward(core_t *c, ex_t *ex)
{
    service_t *s = service_of(c, ex);

    if (!up_trusted(c, ex->up)) {
        request_refuse(c, ex, REFUSE_NONE);
        return;
    }
    ex_state(c, ex, EX_SENT);
    ex->epoch = c->ups[ex->up].epoch;
    ex->sent = c->now;
    s->forwarded++;
    ex_count(c, ex, true);
    send_upstream(c, ex->up, &ex->client, true, ex_bytes(c, ex), ex->len);
}

/* Asks the backup to hold the record; forwards when there is nobody to ask.
 * The record goes to the backup before the request goes to the upstream: a
 * home that takes over in between finds it, or nothing was forwarded. */
void
request_synced(core_t *c, ex_t *ex)
{
    uint64_t key = work_key(service_of(c, ex), ex->key);

    ex_state(c, ex, EX_SYNCING);
    if (sync_target(c, key) == 0) {
        request_forward(c, ex);
        return;
    }
    ex->synced = false;
    sync_ex(c, ex);
    sync_flush(c);
}

static void
start_sync(core_t *c, ex_t *ex)
{
    ex->sent = c->now;
    ex->retry_at = c->now + FENCE_AGAIN_MS;
    ex->epoch = c->ups[ex->up].epoch;
    request_synced(c, ex);
}

/* ---- Choice of the upstream ---- */

/* The least loaded upstream of the service with room for CLS.  The home sees
 * all requests of the service, so it need not draw lots; FIRST wins a tie,
 * since it needs no copy at the backup. */
static uint16_t
choose_free(core_t *c, service_t *s, uint16_t first, class_t cls)
{
    uint16_t best = UP_NONE;
    uint32_t best_load = UINT32_MAX;

    for (uint32_t i = 0; i < s->n_ups; i++) {
        uint16_t u = s->ups[i];
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

static bool
over_share(const service_t *s, const dgram_t *d)
{
    uint32_t i = hash64(d->h->client.ip, 16, 0) & (SHARE_SLOTS - 1);

    return s->conf.caller_share > 0 && s->share[i] >= s->conf.caller_share;
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

/* A first copy at a home that knows it is the only one. */
static void
open_sure(core_t *c, const dgram_t *d, ex_t *ex)
{
    service_t *s = service_of(c, ex);
    const bucket_t *b = bucket_of(s, ex->key);
    uint16_t earlier[EARLIER_MAX];

    if (over_share(s, d)) {
        request_refuse(c, ex, REFUSE_SHARE);
        return;
    }
    ex->up = choose_free(c, s, b->first, ex->cls);
    if (ex->up == UP_NONE) {
        request_refuse(c, ex, any_eligible(c, s) ? REFUSE_FULL : REFUSE_NONE);
        return;
    }
    if (ex->idempotent ||
        (ex->up == b->first && earlier_choices(c, s, ex->key, earlier) == 0)) {
        request_forward(c, ex);
        return;
    }
    start_sync(c, ex);
}

/* A request unknown to a home that can't be sure to be the only one: another
 * copy may have been forwarded, and then to a first choice, of this table or
 * an earlier one. */
static void
open_unsure(core_t *c, ex_t *ex)
{
    service_t *s = service_of(c, ex);
    uint16_t first = bucket_of(s, ex->key)->first;
    uint16_t earlier[EARLIER_MAX];

    ex->up = first;
    if (!up_eligible(c, first)) {
        ex->up = up_next(c, s, ex->key, first);
    }
    if (ex->up == UP_NONE) {
        request_refuse(c, ex, REFUSE_NONE);
        return;
    }
    if (ex->idempotent) {
        request_forward(c, ex);
        return;
    }
    if (c->now - c->ups[ex->up].epoch_since < DOUBT_MS) {
        /* It restarted: a copy may have run in its earlier life. */
        request_unknown(c, ex);
        return;
    }
    if (ex->up == first && earlier_choices(c, s, ex->key, earlier) == 0) {
        request_forward(c, ex);
        return;
    }
    start_fence(c, ex);
}

/* Upstream U told what became of the request of EX. */
void
request_fenced(core_t *c, ex_t *ex, uint16_t u, const char *state,
               uint32_t epoch)
{
    for (int i = 0; i < ex->n_fence; i++) {
        if (ex->fence[i] == u) {
            ex->fence[i] = ex->fence[--ex->n_fence];
        }
    }
    if (c->now - c->ups[u].epoch_since < DOUBT_MS ||
        (c->ups[u].epoch != 0 && c->ups[u].epoch != epoch)) {
        request_unknown(c, ex);
        return;
    }
    if (strcmp(state, "barred") != 0) {
        /* It runs there or has run: a copy brings the answer. */
        ex->up = u;
        ex->refuse_after = false;
        request_forward(c, ex);
        return;
    }
    if (ex->n_fence > 0) {
        return;
    }
    if (ex->refuse_after) {
        refuse_now(c, ex, ex->why);
        return;
    }
    start_sync(c, ex);
}

/* ---- Copies of a known request ---- */

/* Another home forwarded it; this one has become the home. */
static void
adopt_held(core_t *c, const dgram_t *d, ex_t *ex)
{
    uint64_t held = ex->held_up;
    uint16_t up = up_find_id(c, held);
    uint32_t epoch = ex->epoch;

    ex_remove(c, ex);
    ex = ex_add(c, d);
    if (ex == NULL) {
        return; /* no buffer: the caller's next copy may find one */
    }
    ex->synced = true;
    if (held == 0) {
        answer_final(c, ex, COAP_UNAVAILABLE, come_back(c, service_of(c, ex)));
        return;
    }
    if (up == UP_NONE || !up_trusted(c, up) || c->ups[up].epoch != epoch) {
        request_unknown(c, ex);
        return;
    }
    ex->up = up;
    request_forward(c, ex);
}

/* A copy goes only where the first went, and only while that upstream still
 * remembers it. */
static void
copy_to_upstream(core_t *c, const dgram_t *d, const ex_t *ex)
{
    if (up_trusted(c, ex->up) && c->ups[ex->up].epoch == ex->epoch) {
        send_upstream(c, ex->up, &ex->client, true, d->data, d->len);
    }
}

static void
copy_of_known(core_t *c, const dgram_t *d, ex_t *ex)
{
    bool same = ex->token_len == d->m->token_len &&
                memcmp(ex->token, d->m->token, ex->token_len) == 0;

    if (ex->state == EX_HELD) {
        adopt_held(c, d, ex);
        return;
    }
    if (!same) {
        /* The port or the ID was used again too early.  The upstream would
         * take it for a copy and send the old answer. */
        answer_now(c, d, COAP_UNAVAILABLE, come_back(c, service_of(c, ex)),
                   REFUSE_MID_REUSE);
        return;
    }
    service_of(c, ex)->stats.duplicates++;
    switch (ex->state) {
    case EX_REFUSED:
        send_final(c, ex);
        return;
    case EX_DONE:
        if (ex->buf != 0) {
            send_client(c, ex->service, &ex->client, ex_bytes(c, ex), ex->len);
            return;
        }
        copy_to_upstream(c, d, ex);
        return;
    case EX_SENT:
        copy_to_upstream(c, d, ex);
        return;
    case EX_FENCING:
    case EX_SYNCING:
    case EX_BARRED:
    case EX_HELD:
    case EX_FREE:
        return;
    }
}

/* ---- Uploads ---- */

/* Opens an upload.  NULL: it was refused. */
static flow_t *
upload_open(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    uint16_t first = bucket_of(s, d->key)->first;
    uint16_t up = first;
    flow_t *f;

    s->stats.requests[CLASS_BULK]++;
    if (home_sure(c, work_key(s, d->key))) {
        up = choose_free(c, s, first, CLASS_BULK);
    }
    if (!up_eligible(c, up)) {
        answer_now(c, d, COAP_UNAVAILABLE, come_back(c, s), REFUSE_FULL);
        return NULL;
    }
    f = flow_add(c, d->key, d->service, up, FLOW_UPLOAD);
    if (f == NULL) {
        answer_now(c, d, COAP_UNAVAILABLE, come_back(c, s), REFUSE_TABLE);
    }
    return f;
}

/* A block of an upload goes where its first block went. */
static void
upload_block(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    uint16_t first = bucket_of(s, d->key)->first;
    flow_t *f = flow_own(c, d->key);

    if (f != NULL && (!up_trusted(c, f->up) || !(f->flags & FLOW_UPLOAD))) {
        flow_remove(c, f);
        f = NULL;
    }
    if (f == NULL && d->m->block1 >> 4 == 0) {
        f = upload_open(c, d);
        if (f == NULL) {
            return;
        }
    }
    if (f != NULL) {
        flow_touch(c, f);
        send_upstream(c, f->up, &d->h->client, true, d->data, d->len);
        return;
    }
    if (home_sure(c, work_key(s, d->key)) || !up_trusted(c, first)) {
        answer_now(c, d, COAP_INCOMPLETE, COAP_NONE, REFUSE_UPLOAD);
        return;
    }
    /* A home that died may have had it at the first choice. */
    send_upstream(c, first, &d->h->client, true, d->data, d->len);
}

static bool
is_upload_block(const coap_msg_t *m)
{
    bool more = (m->block1 & 8) != 0;

    return m->block1 != COAP_NONE && (m->block1 >> 4 > 0 || more);
}

/* ---- Entry ---- */

void
request_at_home(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    ex_t *ex;

    if (is_upload_block(d->m)) {
        upload_block(c, d);
        return;
    }
    ex = ex_find(c, d->key, d->m->mid);
    if (ex != NULL) {
        copy_of_known(c, d, ex);
        return;
    }
    s->stats.requests[class_of(d->m)]++;
    if (d->len > EX_BUF) {
        answer_now(c, d, COAP_TOO_LARGE, COAP_NONE, REFUSE_TOO_LARGE);
        return;
    }
    ex = ex_add(c, d);
    if (ex == NULL) {
        bool sure =
            home_sure(c, work_key(s, d->key)) || d->m->code == COAP_GET;
        answer_now(c, d, sure ? COAP_UNAVAILABLE : COAP_GW_TIMEOUT,
                   sure ? come_back(c, s) : COAP_NONE,
                   sure ? REFUSE_TABLE : REFUSE_UNKNOWN);
        return;
    }
    if (sure_of(c, ex)) {
        open_sure(c, d, ex);
        return;
    }
    open_unsure(c, ex);
}

/* ---- Answers and retries ---- */

static bool
retry_allowed(const service_t *s)
{
    return s->retried <
           RETRY_FLOOR + s->forwarded * s->conf.retry_percent / PERCENT;
}

/* The upstream said "not run", or the request is idempotent: another may
 * have it, within the budget. */
void
request_retry(core_t *c, ex_t *ex)
{
    service_t *s = service_of(c, ex);
    uint16_t old = ex->up;
    uint16_t next;

    ex_count(c, ex, false);
    if (ex->tries >= TRIES_MAX || !retry_allowed(s) ||
        (!ex->idempotent && !sure_of(c, ex))) {
        request_refuse(c, ex, REFUSE_FULL);
        return;
    }
    next = choose_free(c, s, UP_NONE, ex->cls);
    if (next == UP_NONE || next == old) {
        next = up_next(c, s, ex->key, old);
    }
    if (next == UP_NONE) {
        request_refuse(c, ex, REFUSE_FULL);
        return;
    }
    ex->up = next;
    ex->tries++;
    s->retried++;
    s->stats.retries++;
    if (ex->idempotent) {
        request_forward(c, ex);
        return;
    }
    start_sync(c, ex);
}

/* The answer is final; a read's record has done its work. */
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
    if (!ex_keep(c, ex, data, len)) {
        ex_drop_bytes(c, ex);
    }
    ex_state(c, ex, EX_DONE);
}

/* An answer to EX came from its upstream. */
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
        /* Another home barred it there and answers the caller. */
        ex_count(c, ex, false);
        ex_state(c, ex, EX_BARRED);
        return;
    }
    if (m->code == COAP_UNAVAILABLE && ex->state == EX_SENT) {
        up_shed(c, ex->up);
        request_retry(c, ex);
        return;
    }
    if (ex->state == EX_SENT) {
        hist_add(&s->stats.wait_ms[ex->cls], (uint64_t)(c->now - ex->sent));
        c->ups[ex->up].sheds = 0;
        ex_count(c, ex, false);
    }
    answer_done(c, ex, m, data, len);
}
