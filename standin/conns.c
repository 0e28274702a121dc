/* Client table, keyed by address. */
#include "standin/conns.h"
#include "wire/wire.h"

#include <stdlib.h>

struct si_conn {
    si_conn_t *next;
    addr_t client;
    ms_t last_seen_at;
};

static si_conn_t **
bucket_of(si_conns_t *cs, const addr_t *client)
{
    return &cs->bucket[addr_id(client) & (SI_CONN_BUCKETS - 1)];
}

static si_conn_t *
conn_find(si_conns_t *cs, const addr_t *client)
{
    si_conn_t *c = *bucket_of(cs, client);

    while (c != NULL && !addr_eq(&c->client, client)) {
        c = c->next;
    }
    return c;
}

static si_conn_t *
conn_add(si_conns_t *cs, const addr_t *client)
{
    si_conn_t **head = bucket_of(cs, client);
    si_conn_t *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->client = *client;
    c->next = *head;
    *head = c;
    cs->n++;
    return c;
}

bool
si_conns_update(si_conns_t *cs, ms_t now, const addr_t *client, bool add)
{
    si_conn_t *c = conn_find(cs, client);

    if (c == NULL && add) {
        c = conn_add(cs, client);
    }
    if (c == NULL) {
        return false;
    }
    c->last_seen_at = now;
    return true;
}

void
si_conns_expire(si_conns_t *cs, ms_t limit)
{
    for (int i = 0; i < SI_CONN_BUCKETS; i++) {
        si_conn_t **p = &cs->bucket[i];
        while (*p != NULL) {
            si_conn_t *c = *p;
            if (c->last_seen_at >= limit) {
                p = &c->next;
                continue;
            }
            *p = c->next;
            free(c);
            cs->n--;
        }
    }
}
