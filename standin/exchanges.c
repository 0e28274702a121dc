/* Exchange table, keyed by client and message ID. */
#include "standin/exchanges.h"

#include <stdlib.h>

static uint32_t
bucket_of(const addr_t *client, uint16_t mid)
{
    return (uint32_t)hash_mix(addr_id(client), mid) &
           (SI_EXCHANGE_BUCKETS - 1);
}

void
si_exchanges_init(si_exchanges_t *xs)
{
    list_init(&xs->by_age);
}

si_exchange_t *
si_exchanges_find(const si_exchanges_t *xs, const addr_t *client, uint16_t mid)
{
    si_exchange_t *x = xs->bucket[bucket_of(client, mid)];

    while (x != NULL &&
           (x->mid != mid || !addr_eq(&x->header.client, client))) {
        x = x->next;
    }
    return x;
}

si_exchange_t *
si_exchanges_add(si_exchanges_t *xs, ms_t now, const spp_t *header,
                 uint16_t mid)
{
    si_exchange_t **head = &xs->bucket[bucket_of(&header->client, mid)];
    si_exchange_t *x;

    if (xs->n == SI_EXCHANGES_MAX) {
        return NULL;
    }
    x = calloc(1, sizeof(*x));
    if (x == NULL) {
        return NULL;
    }
    x->header = *header;
    x->mid = mid;
    x->at = now;
    x->next = *head;
    *head = x;
    list_init(&x->work);
    list_append(&xs->by_age, &x->age);
    xs->n++;
    return x;
}

static void
ex_remove(si_exchanges_t *xs, si_exchange_t *x)
{
    si_exchange_t **p = &xs->bucket[bucket_of(&x->header.client, x->mid)];

    while (*p != x) {
        p = &(*p)->next;
    }
    *p = x->next;
    list_remove(&x->age);
    list_remove(&x->work);
    free(x->request);
    free(x->answer);
    free(x);
    xs->n--;
}

void
si_exchanges_clear(si_exchanges_t *xs)
{
    LIST_EACH (it, &xs->by_age) {
        ex_remove(xs, CONTAINER_OF(it, si_exchange_t, age));
    }
}

void
si_exchanges_expire(si_exchanges_t *xs, ms_t now)
{
    LIST_EACH (it, &xs->by_age) {
        si_exchange_t *x = CONTAINER_OF(it, si_exchange_t, age);
        bool busy = x->state == SI_EX_QUEUED || x->state == SI_EX_RUNNING;
        if (busy || x->at + SI_EXCHANGE_MS > now) {
            return;
        }
        ex_remove(xs, x);
    }
}
