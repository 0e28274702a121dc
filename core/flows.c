/* Flows pinned at their owner, their feeds, and forwarding hints. */
#include "core/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define TENTH_MS 100
#define HINT_WAYS 4
#define SWEEP_TICKS 32 /* a full sweep of the table takes so many ticks */
#define FEED_PINGS 3   /* unanswered, before a silent feed is given up */
#define FEED_PING_MS 1000

int
flows_new(core_t *c)
{
    uint32_t heads = pow2(c->p.max_flows);

    c->flow_mask = heads - 1;
    c->hint_mask = pow2(c->p.max_hints) - 1;
    c->flows = calloc(c->p.max_flows, sizeof(*c->flows));
    c->feeds = calloc(c->p.max_flows, sizeof(*c->feeds));
    c->flow_heads = calloc(heads, sizeof(*c->flow_heads));
    c->hints = calloc(c->hint_mask + 1, sizeof(*c->hints));
    if (c->flows == NULL || c->feeds == NULL || c->flow_heads == NULL ||
        c->hints == NULL) {
        return -ENOMEM;
    }
    return 0;
}

void
flows_free(core_t *c)
{
    free(c->flows);
    free(c->feeds);
    free(c->flow_heads);
    free(c->hints);
}

flow_t *
flow_find(core_t *c, uint64_t key)
{
    uint32_t i = c->flow_heads[key & c->flow_mask];

    while (i != 0) {
        flow_t *f = &c->flows[i - 1];
        if (f->key == key) {
            return f;
        }
        i = f->next;
    }
    return NULL;
}

void
flow_touch(core_t *c, flow_t *f)
{
    f->last = (uint32_t)((c->now - c->start) / TENTH_MS);
    if (f->feed != 0) {
        c->feeds[f->feed - 1].last_seen = c->now;
        c->feeds[f->feed - 1].pings = 0;
    }
}

uint64_t
pin_owner_key(core_t *c, const flow_t *f)
{
    return f->flags & FLOW_UPLOAD
               ? request_owner_key(&c->services[f->service], f->key)
               : flow_owner_key(&c->services[f->service], f->key);
}

static void
count_pin(core_t *c, const flow_t *f, int delta)
{
    up_t *u = &c->ups[f->up];

    if (f->flags & FLOW_REPLICA) {
        return;
    }
    if (!(f->flags & FLOW_UPLOAD)) {
        u->flows += (uint32_t)delta;
    }
    else if (!(f->flags & FLOW_ENDED)) {
        u->uploads += (uint32_t)delta;
    }
}

/* An upload occupies a slot until its last block is answered or a block is
 * refused.  The pin stays, for duplicates of that block. */
void
upload_answered(core_t *c, flow_t *f, const coap_msg_t *m)
{
    bool last = (f->flags & FLOW_LAST_BLOCK) || m->code >> 5 > 2;

    if (!(f->flags & FLOW_UPLOAD) || (f->flags & FLOW_ENDED) || !last) {
        return;
    }
    count_pin(c, f, -1);
    f->flags |= FLOW_ENDED;
}

/* Allocates from the free list, then from the part of the table that was
 * never used, whose pages take no memory until then.  Returns 0 when the
 * table is full. */
static uint32_t
alloc_flow(core_t *c)
{
    uint32_t i = c->flow_free;

    if (i != 0) {
        c->flow_free = c->flows[i - 1].next;
        return i;
    }
    return c->flow_top < c->p.max_flows ? ++c->flow_top : 0;
}

static uint32_t
alloc_feed(core_t *c)
{
    uint32_t i = c->feed_free;

    if (i != 0) {
        c->feed_free = c->feeds[i - 1].next_free;
        return i;
    }
    return c->feed_top < c->p.max_flows ? ++c->feed_top : 0;
}

/* Returns NULL when the table is full: the flow then has no pin and follows
 * the first candidate of the table; established flows keep their pins. */
flow_t *
flow_add(core_t *c, uint64_t key, service_ix_t service, up_ix_t up,
         uint8_t flags)
{
    uint32_t i = alloc_flow(c);
    uint32_t *head = &c->flow_heads[key & c->flow_mask];
    flow_t *f;

    if (i == 0) {
        c->services[service].stats.flow_evicted++;
        return NULL;
    }
    f = &c->flows[i - 1];
    *f = (flow_t){.key = key,
                  .next = *head,
                  .up = up,
                  .older_up = UP_NONE,
                  .service = service,
                  .flags = (uint8_t)(FLOW_USED | flags)};
    *head = i;
    c->flow_used++;
    flow_touch(c, f);
    count_pin(c, f, 1);
    return f;
}

static void
claim(core_t *c, flow_t *f)
{
    if (f->flags & FLOW_REPLICA) {
        f->flags &= (uint8_t)~FLOW_REPLICA;
        count_pin(c, f, 1);
    }
}

flow_t *
flow_claim(core_t *c, uint64_t key)
{
    flow_t *f = flow_find(c, key);

    if (f != NULL) {
        claim(c, f);
    }
    return f;
}

static void
free_feed(core_t *c, flow_t *f)
{
    if (f->feed == 0) {
        return;
    }
    c->feeds[f->feed - 1].next_free = c->feed_free;
    c->feed_free = f->feed;
    f->feed = 0;
    f->flags &= (uint8_t)~FLOW_FEED;
}

void
flow_remove(core_t *c, flow_t *f)
{
    uint32_t i = (uint32_t)(f - c->flows) + 1;
    uint32_t *link = &c->flow_heads[f->key & c->flow_mask];

    count_pin(c, f, -1);
    free_feed(c, f);
    while (*link != i) {
        link = &c->flows[*link - 1].next;
    }
    *link = f->next;
    *f = (flow_t){.next = c->flow_free};
    c->flow_free = i;
    c->flow_used--;
}

void
flow_pin(core_t *c, flow_t *f, up_ix_t up)
{
    if (f->up == up) {
        return;
    }
    count_pin(c, f, -1);
    f->older_up = f->flags & FLOW_FEED ? f->up : UP_NONE;
    f->up = up;
    f->flags &= (uint8_t)~FLOW_SYNCED;
    count_pin(c, f, 1);
}

void
flow_set_feed(core_t *c, flow_t *f, const dgram_t *d)
{
    feed_t *feed;

    if (f->feed == 0) {
        f->feed = alloc_feed(c);
        if (f->feed == 0) {
            return;
        }
    }
    feed = &c->feeds[f->feed - 1];
    *feed = (feed_t){.client = d->h->client,
                     .token_len = d->m->token_len,
                     .last_seen = c->now};
    memcpy(feed->token, d->m->token, sizeof(feed->token));
    f->flags |= FLOW_FEED;
}

/* ---- Silent and lost feeds ---- */

/* Notifies the caller that its feed has ended, by a notification with an
 * error code (RFC 7641 4.2).  The caller then re-registers at once, instead
 * of waiting for notifications that never come. */
static void
notify_feed_lost(core_t *c, flow_t *f)
{
    const feed_t *feed = &c->feeds[f->feed - 1];
    service_t *s = &c->services[f->service];
    coap_msg_t m = COAP_MSG_INIT;
    uint8_t buf[64];
    int n;

    m.type = COAP_T_NON;
    m.code = COAP_UNAVAILABLE;
    m.mid = ++c->mid;
    m.max_age = 0;
    m.token_len = feed->token_len;
    memcpy(m.token, feed->token, feed->token_len);
    n = coap_encode(buf, sizeof(buf), &m);
    if (n > 0) {
        send_client(c, f->service, &feed->client, buf, (size_t)n);
    }
    s->stats.silent_flows++;
}

static void
end_flow(core_t *c, flow_t *f)
{
    if (f->feed != 0 && !(f->flags & FLOW_REPLICA)) {
        notify_feed_lost(c, f);
    }
    flow_remove(c, f);
}

/* Ends the flows at UP that have none of the flags KEPT. */
static void
end_flows_of(core_t *c, up_ix_t up, unsigned kept)
{
    for (uint32_t i = 0; i < c->flow_top; i++) {
        flow_t *f = &c->flows[i];
        if ((f->flags & FLOW_USED) && f->up == up && !(f->flags & kept)) {
            end_flow(c, f);
        }
    }
}

void
flows_end_at(core_t *c, up_ix_t up)
{
    end_flows_of(c, up, FLOW_REPLICA);
}

/* Sends the upstream a CoAP ping (RFC 7252 4.3) from the client's address.
 * Without an answer only this flow is given up.  No ping is sent to an
 * upstream without a valid lease: its address may belong to another service
 * by now. */
static void
check_feed(core_t *c, flow_t *f)
{
    feed_t *feed = &c->feeds[f->feed - 1];
    uint32_t silent = c->services[f->service].conf.feed_silent_ms;
    coap_msg_t m = COAP_MSG_INIT;
    uint8_t buf[16];
    int n;

    if (silent == 0 || !up_lease_valid(c, f->up) ||
        c->now - feed->last_seen < silent + feed->pings * FEED_PING_MS) {
        return;
    }
    if (feed->pings >= FEED_PINGS) {
        end_flow(c, f);
        return;
    }
    feed->pings++;
    m.type = COAP_T_CON;
    m.mid = ++c->mid;
    n = coap_encode(buf, sizeof(buf), &m);
    send_upstream(c, f->up, &feed->client, true, buf, (size_t)n);
}

static void
check_flow(core_t *c, flow_t *f)
{
    const conf_service_t *s = &c->services[f->service].conf;
    uint32_t idle =
        f->flags & FLOW_UPLOAD ? s->upload_idle_ms : s->flow_idle_ms;
    ms_t silent = c->now - c->start - (ms_t)f->last * TENTH_MS;

    if (silent > (ms_t)idle) {
        flow_remove(c, f);
        return;
    }
    if (owner_of(c, pin_owner_key(c, f)) == c->p.self) {
        claim(c, f); /* then this owner's backup gets a replica */
    }
    sync_flow(c, f);
    if (f->flags & FLOW_REPLICA) {
        return;
    }
    if (f->feed != 0) {
        check_feed(c, f);
    }
}

/* Checks a part of the table in each tick. */
void
flow_sweep(core_t *c)
{
    uint32_t n = c->flow_top / SWEEP_TICKS + 1;

    for (uint32_t i = 0; i < n && c->flow_top > 0; i++) {
        flow_t *f = &c->flows[c->sweep % c->flow_top];
        if (f->flags & FLOW_USED) {
            check_flow(c, f);
        }
        c->sweep = (c->sweep + 1) % c->flow_top;
    }
}

/* ---- Hints ---- */

const hint_t *
hint_find(core_t *c, uint64_t key)
{
    uint32_t set = (uint32_t)(key >> 20) & c->hint_mask & ~(HINT_WAYS - 1u);

    for (uint32_t i = 0; i < HINT_WAYS; i++) {
        const hint_t *h = &c->hints[set + i];
        if (h->key == key && c->now < h->until) {
            return h;
        }
    }
    return NULL;
}

void
hint_put(core_t *c, uint64_t key, uint64_t upstream, ms_t lease)
{
    uint32_t set = (uint32_t)(key >> 20) & c->hint_mask & ~(HINT_WAYS - 1u);
    hint_t *oldest = &c->hints[set];

    for (uint32_t i = 0; i < HINT_WAYS; i++) {
        hint_t *h = &c->hints[set + i];
        if (h->key == key) {
            oldest = h;
            break;
        }
        if (h->until < oldest->until) {
            oldest = h;
        }
    }
    *oldest =
        (hint_t){.key = key, .upstream = upstream, .until = c->now + lease};
}

void
flows_tick(core_t *c)
{
    for (up_ix_t u = 0; u < c->n_ups; u++) {
        const up_t *up = &c->ups[u];

        if (up->flows > 0 && up_lost(c, u) && !up_lease_valid(c, u)) {
            /* The pin of an upload stays while its upstream is silent: it
             * is the only record that a block may be there, so that "not
             * run" would be false. */
            end_flows_of(c, u, FLOW_REPLICA | FLOW_UPLOAD);
        }
    }
}
