/* Flows at their owner: selects the upstream and pins the flow to it. */
#include "core/state.h"

#include <string.h>

/* Datagrams of a flow forwarded here before its hint is sent. */
#define HINT_THRESHOLD 3
/* For this period after a table change, an unknown flow may be an old one. */
#define TABLE_CHANGE_GRACE_MS 3000

/* Selects the upstream for a new flow: the less loaded of the first two
 * candidates.  An owner with uncertain ownership selects the first, as any
 * other owner would. */
static up_ix_t
choose_for_flow(core_t *c, service_t *s, uint64_t key)
{
    const bucket_t *b = bucket_of(s, key);
    bool first = up_eligible(c, b->candidate[0]);
    bool second = up_eligible(c, b->candidate[1]);
    uint64_t load1, load2;

    if (!first) {
        return second ? b->candidate[1] : up_next(c, s, key, b->candidate[0]);
    }
    if (!second || !owner_exclusive(c, flow_owner_key(s, key))) {
        return b->candidate[0];
    }
    load1 = (uint64_t)c->ups[b->candidate[0]].flows *
            c->ups[b->candidate[1]].conf.weight;
    load2 = (uint64_t)c->ups[b->candidate[1]].flows *
            c->ups[b->candidate[0]].conf.weight;
    if (s->conf.prefer == PREFER_STABILITY) {
        /* A flow on the second candidate needs a replica at the backup, so
         * the second is used only when the first is a tenth busier. */
        load2 += load2 / 10 + 1;
    }
    return load2 < load1 ? b->candidate[1] : b->candidate[0];
}

/* Selects the upstream for an unknown flow.  If the flow's bucket has just
 * changed and this owner may lack older pins, the flow is more likely an
 * established one: it stays at its previous upstream. */
static up_ix_t
choose_for_unknown(core_t *c, service_t *s, uint64_t key)
{
    up_ix_t old = previous_first(s, key, c->now - TABLE_CHANGE_GRACE_MS);

    if (old != UP_NONE && !owner_exclusive(c, flow_owner_key(s, key)) &&
        up_lease_valid(c, old)) {
        return old;
    }
    return choose_for_flow(c, s, key);
}

static void
maybe_hint(core_t *c, const dgram_t *d, flow_t *f)
{
    if (d->from == 0 || f->older_up != UP_NONE) {
        return; /* a hint names only one upstream */
    }
    if (f->forwards < HINT_THRESHOLD) {
        f->forwards++;
        return;
    }
    send_hint(c, d->from, f);
}

void
send_to_pin(core_t *c, const dgram_t *d, const flow_t *f, bool own)
{
    if (!up_lease_valid(c, f->up)) {
        c->services[f->service].stats.untrusted++;
        return;
    }
    send_upstream(c, f->up, &d->h->client, own, d->data, d->len);
}

void
opaque_at_owner(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    flow_t *f = flow_claim(c, d->key);

    if (f != NULL && up_lost(c, f->up)) {
        flow_remove(c, f);
        f = NULL;
    }
    if (f == NULL) {
        up_ix_t up = choose_for_unknown(c, s, d->key);
        s->stats.requests[CLASS_OPAQUE]++;
        if (up == UP_NONE) {
            s->stats.refused[REFUSE_NO_UPSTREAM]++;
            return;
        }
        f = flow_add(c, d->key, d->service, up, 0);
        if (f == NULL) {
            up = bucket_of(s, d->key)->candidate[0];
            if (up != UP_NONE && up_lease_valid(c, up)) {
                send_upstream(c, up, &d->h->client, false, d->data, d->len);
            }
            return;
        }
        sync_flow(c, f);
    }
    flow_touch(c, f);
    maybe_hint(c, d, f);
    send_to_pin(c, d, f, false);
}

/* The pin of a feed, if usable.  A further feed of the same flow is not
 * sent to an upstream that takes no new work; the older feeds stay there. */
static flow_t *
feed_pin(core_t *c, const dgram_t *d)
{
    flow_t *f = flow_claim(c, d->key);
    const feed_t *feed;
    up_ix_t up;

    if (f == NULL || (f->flags & FLOW_UPLOAD)) {
        return NULL; /* the pin of an upload does not apply to feeds */
    }
    if (up_lost(c, f->up)) {
        flow_remove(c, f);
        return NULL;
    }
    if (f->feed == 0 || up_eligible(c, f->up)) {
        return f;
    }
    feed = &c->feeds[f->feed - 1];
    if (memcmp(feed->token, d->m->token, d->m->token_len) == 0) {
        return f;
    }
    up = choose_for_flow(c, &c->services[d->service], d->key);
    if (up != UP_NONE) {
        flow_pin(c, f, up);
    }
    return f;
}

/* Opens a feed.  Returns NULL when it was refused or forwarded without a
 * pin. */
static flow_t *
feed_open(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    up_ix_t up = choose_for_flow(c, s, d->key);
    flow_t *f = NULL;

    s->stats.requests[CLASS_FEED]++;
    if (up == UP_NONE || !up_room(c, up, CLASS_FEED)) {
        answer_now(c, d, COAP_UNAVAILABLE, retry_after_s(c, s),
                   up == UP_NONE ? REFUSE_NO_UPSTREAM : REFUSE_FULL);
        return NULL;
    }
    if (flow_find(c, d->key) == NULL) {
        f = flow_add(c, d->key, d->service, up, 0);
    }
    if (f == NULL) {
        send_upstream(c, up, &d->h->client, false, d->data, d->len);
        return NULL;
    }
    sync_flow(c, f);
    return f;
}

/* Handles a GET with Observe, which opens, refreshes or ends a feed (RFC
 * 7641). */
void
feed_at_owner(core_t *c, const dgram_t *d)
{
    flow_t *f = feed_pin(c, d);

    if (f == NULL) {
        f = feed_open(c, d);
    }
    if (f == NULL) {
        return;
    }
    if (d->m->observe == 0) {
        flow_set_feed(c, f, d);
    }
    flow_touch(c, f);
    send_to_pin(c, d, f, false);
}

/* An ACK, RST or ping goes to the upstream whose message it answers.  When
 * that is unknown, it goes to all possible ones: an upstream without such a
 * message ignores it (RFC 7252 4.2). */
static void
empty_unknown(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    up_ix_t to[CANDIDATES_MAX];
    int n = all_candidates(c, s, d->key, to);

    for (int i = 0; i < n; i++) {
        if (up_lease_valid(c, to[i])) {
            send_upstream(c, to[i], &d->h->client, false, d->data, d->len);
        }
    }
}

void
empty_at_owner(core_t *c, const dgram_t *d)
{
    ex_t *ex = ex_find_answer(c, d->key, d->m->mid);
    flow_t *f = flow_claim(c, d->key);

    if (ex != NULL && ex->up != UP_NONE) {
        if (up_lease_valid(c, ex->up)) {
            send_upstream(c, ex->up, &d->h->client, true, d->data, d->len);
        }
        return;
    }
    if (f == NULL || (f->flags & FLOW_UPLOAD)) {
        empty_unknown(c, d);
        return;
    }
    flow_touch(c, f);
    maybe_hint(c, d, f);
    send_to_pin(c, d, f, false);
    if (f->older_up != UP_NONE && up_lease_valid(c, f->older_up)) {
        send_upstream(c, f->older_up, &d->h->client, false, d->data, d->len);
    }
}
