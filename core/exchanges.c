/* Records of requests at their owner. */
#include "core/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_PER_BUF 8   /* records per buffer */
#define FREE_BUFS_DIVISOR 4 /* a quarter is reserved for new requests */

int
exchanges_new(core_t *c)
{
    uint32_t heads = pow2(c->p.max_exchanges);

    c->ex_mask = heads - 1;
    c->n_bufs = c->p.max_exchanges / RECORDS_PER_BUF + 1;
    c->ex_bufs = calloc(c->n_bufs, sizeof(*c->ex_bufs));
    c->ex_buf_free = calloc(c->n_bufs, sizeof(*c->ex_buf_free));
    c->exs = calloc(c->p.max_exchanges, sizeof(*c->exs));
    c->ex_heads = calloc(heads, sizeof(*c->ex_heads));
    if (c->exs == NULL || c->ex_heads == NULL || c->ex_bufs == NULL ||
        c->ex_buf_free == NULL) {
        return -ENOMEM;
    }
    for (uint32_t i = 0; i < c->n_bufs; i++) {
        c->ex_buf_free[c->n_buf_free++] = i + 1;
    }
    list_init(&c->ex_active);
    list_init(&c->ex_kept);
    return 0;
}

void
exchanges_free(core_t *c)
{
    free(c->exs);
    free(c->ex_heads);
    free(c->ex_bufs);
    free(c->ex_buf_free);
}

/* ---- Buffers ---- */

service_t *
ex_service(core_t *c, const ex_t *ex)
{
    return &c->services[ex->service];
}

uint8_t *
ex_bytes(core_t *c, const ex_t *ex)
{
    return c->ex_bufs[ex->buf - 1];
}

bool
ex_store(core_t *c, ex_t *ex, const uint8_t *data, size_t len)
{
    if (len > EX_BUF || (ex->buf == 0 && c->n_buf_free == 0)) {
        return false;
    }
    if (ex->buf == 0) {
        ex->buf = c->ex_buf_free[--c->n_buf_free];
    }
    memcpy(ex_bytes(c, ex), data, len);
    ex->len = (uint16_t)len;
    return true;
}

void
ex_free_buf(core_t *c, ex_t *ex)
{
    if (ex->buf != 0) {
        c->ex_buf_free[c->n_buf_free++] = ex->buf;
    }
    ex->buf = 0;
    ex->len = 0;
}

/* ---- Finding ---- */

/* Finds the first record of the flow KEY in a hash chain, from index I on. */
static ex_t *
ex_first(core_t *c, uint32_t i, uint64_t key)
{
    while (i != 0 && c->exs[i - 1].key != key) {
        i = c->exs[i - 1].next;
    }
    return i == 0 ? NULL : &c->exs[i - 1];
}

#define EX_EACH(ex, c, k)                                                     \
    for (ex_t *ex = ex_first(c, c->ex_heads[(k)&c->ex_mask], k); ex != NULL;  \
         ex = ex_first(c, ex->next, k))

class_t
class_of(const coap_msg_t *m)
{
    if (m->code == COAP_GET) {
        return m->observe != COAP_NONE ? CLASS_FEED : CLASS_READ;
    }
    return m->block1 != COAP_NONE ? CLASS_BULK : CLASS_URGENT;
}

ex_t *
ex_find(core_t *c, uint64_t key, uint16_t mid)
{
    EX_EACH(ex, c, key)
    {
        if (ex->mid == mid) {
            return ex;
        }
    }
    return NULL;
}

ex_t *
ex_find_token(core_t *c, uint64_t key, const coap_msg_t *m)
{
    EX_EACH(ex, c, key)
    {
        if (ex->token_len == m->token_len &&
            memcmp(ex->token, m->token, m->token_len) == 0) {
            return ex;
        }
    }
    return NULL;
}

ex_t *
ex_find_answer(core_t *c, uint64_t key, uint16_t answer_mid)
{
    EX_EACH(ex, c, key)
    {
        if (ex->answer_mid == answer_mid && answer_mid != 0) {
            return ex;
        }
    }
    return NULL;
}

/* ---- Life of a record ---- */

static bool
is_active(ex_state_t state)
{
    return state == EX_AWAITING_CANCEL || state == EX_SENT;
}

/* An answered request keeps its answer while there are enough free buffers.
 * Without it, a duplicate is answered by the upstream's duplicate
 * detection. */
void
ex_set_state(core_t *c, ex_t *ex, ex_state_t state)
{
    bool stays = is_active(ex->state) && is_active(state);

    ex->state = state;
    if (stays) {
        return; /* a record moved to the end of the list would be visited
                 * again by request_tick() */
    }
    list_remove(&ex->link);
    list_append(is_active(state) ? &c->ex_active : &c->ex_kept, &ex->link);
    if (!is_active(state) && c->n_buf_free < c->n_bufs / FREE_BUFS_DIVISOR) {
        ex_free_buf(c, ex);
    }
}

/* Allocates from the free list, then from the part of the table that was
 * never used.  Returns 0 when the table is full. */
static uint32_t
alloc_ex(core_t *c)
{
    uint32_t i = c->ex_free;

    if (i != 0) {
        c->ex_free = c->exs[i - 1].next;
        return i;
    }
    return c->ex_top < c->p.max_exchanges ? ++c->ex_top : 0;
}

/* Adds a record for the request D.  Returns NULL when the table or the
 * buffers are full. */
ex_t *
ex_add(core_t *c, const dgram_t *d)
{
    uint32_t i = alloc_ex(c);
    uint32_t *head = &c->ex_heads[d->key & c->ex_mask];
    ex_t *ex;

    if (i == 0) {
        return NULL;
    }
    ex = &c->exs[i - 1];
    *ex = (ex_t){.generation = (uint8_t)(ex->generation + 1),
                 .key = d->key,
                 .next = *head,
                 .service = d->service,
                 .up = UP_NONE,
                 .sent = c->now};
    list_init(&ex->link);
    list_append(&c->ex_active, &ex->link);
    *head = i;
    c->ex_used++;
    ex->cls = class_of(d->m);
    ex->idempotent = d->m->code == COAP_GET;
    ex->mid = d->m->mid;
    ex->type = d->m->type;
    ex->client = d->h->client;
    ex->token_len = d->m->token_len;
    memcpy(ex->token, d->m->token, sizeof(ex->token));
    if (!ex_store(c, ex, d->data, d->len)) {
        ex_remove(c, ex);
        return NULL;
    }
    return ex;
}

void
ex_remove(core_t *c, ex_t *ex)
{
    uint32_t i = (uint32_t)(ex - c->exs) + 1;
    uint32_t *link = &c->ex_heads[ex->key & c->ex_mask];

    ex_count(c, ex, false);
    while (*link != i) {
        link = &c->exs[*link - 1].next;
    }
    *link = ex->next;
    list_remove(&ex->link);
    ex_free_buf(c, ex);
    ex->state = EX_FREE;
    ex->next = c->ex_free;
    c->ex_free = i;
    c->ex_used--;
}

uint16_t *
share_of(service_t *s, const addr_t *client)
{
    return &s->share[hash64(client->ip, sizeof(client->ip), 0) &
                     (SHARE_SLOTS - 1)];
}

void
ex_count(core_t *c, ex_t *ex, bool on)
{
    uint16_t *share = share_of(&c->services[ex->service], &ex->client);

    if (ex->counted == on) {
        return;
    }
    ex->counted = on;
    if (on) {
        c->ups[ex->up].in_flight++;
        *share += 1;
        return;
    }
    c->ups[ex->up].in_flight--;
    c->ups[ex->up].finished_since_change++;
    *share -= 1;
}

/* ---- Time ---- */

/* A record is kept until its message ID may be reused.  When the table is
 * more than three quarters full, it is kept only as long as copies of the
 * request may arrive, the minimum for at-most-once execution. */
static ms_t
retention_ms(const core_t *c)
{
    return c->ex_used > c->p.max_exchanges / 4 * 3 ? OWNER_SETTLE_MS
                                                   : EXCHANGE_LIFETIME_MS;
}

/* ex_kept is in the order in which the records were put there, nearly that of
 * their expiry: a record behind one that was sent later is kept longer than
 * necessary. */
void
ex_expire(core_t *c)
{
    while (!list_empty(&c->ex_kept)) {
        ex_t *ex = CONTAINER_OF(c->ex_kept.next, ex_t, link);
        if (c->now - ex->sent < retention_ms(c)) {
            break;
        }
        ex_remove(c, ex);
    }
}
