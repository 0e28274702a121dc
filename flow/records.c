/* Records of flows, bounded in number: the least recently used is dropped
 * first. */
#include "flow/state.h"

#include <stdlib.h>

static uint64_t
key_hash(const addr_t *caller, const addr_t *service)
{
    return hash_mix(hash64(caller->ip, sizeof(caller->ip), caller->port),
                    hash64(service->ip, sizeof(service->ip), service->port));
}

record_t *
record_find(const flowset_t *f, const addr_t *caller, const addr_t *service)
{
    INDEX_EACH (it, &f->by_key, key_hash(caller, service)) {
        record_t *r = CONTAINER_OF(it, record_t, by_key.link);
        if (addr_eq(&r->caller, caller) && addr_eq(&r->service, service)) {
            return r;
        }
    }
    return NULL;
}

/* Adds the load of R to its upstream (SIGN 1) or removes it (SIGN -1): a flow
 * counts while it is open, a request while it is unanswered. */
static void
update_load(const record_t *r, uint32_t sign)
{
    if (r->ended) {
        return;
    }
    r->up->open += r->open ? sign : 0;
    if (!r->open || r->request_at != 0) {
        r->up->busy += sign;
        r->up->group->limit.in_flight += r->overdue ? 0 : sign;
    }
}

static void
attach(record_t *r, upstream_t *u)
{
    r->up = u;
    list_append(&u->records, &r->by_upstream);
    update_load(r, 1);
}

static void
detach(record_t *r)
{
    update_load(r, (uint32_t)-1);
    list_remove(&r->by_upstream);
}

record_t *
record_new(flowset_t *f, ms_t now, const flow_packet_t *p, upstream_t *u,
           const flow_route_t *route)
{
    record_t *r;

    if (f->n_records >= f->spec.records_max) {
        f->stats.records_evicted++;
        record_free(f, CONTAINER_OF(f->recent.next, record_t, recent));
    }
    r = calloc(1, sizeof(*r));
    if (r == NULL) {
        return NULL;
    }
    r->caller = p->caller;
    r->service = p->service;
    r->idempotent = route != NULL && route->idempotent;
    r->goal_ms = route != NULL ? route->goal_ms : 0;
    r->priority = route != NULL ? route->priority : 0;
    r->open = !p->opens;
    r->seq_end = p->seq + p->len;
    r->ack = p->ack;
    r->sent_at = r->last_at = now;
    list_append(&f->recent, &r->recent);
    list_init(&r->waiting);
    if (p->opens) {
        list_append(&f->opening, &r->waiting);
    }
    index_add(&f->by_key, &r->by_key, key_hash(&p->caller, &p->service));
    attach(r, u);
    f->n_records++;
    return r;
}

void
record_free(flowset_t *f, record_t *r)
{
    detach(r);
    list_remove(&r->recent);
    list_remove(&r->waiting);
    index_remove(&f->by_key, &r->by_key);
    f->n_records--;
    free(r);
}

void
record_move(record_t *r, upstream_t *u)
{
    detach(r);
    attach(r, u);
}

void
record_request_begin(flowset_t *f, record_t *r, ms_t now)
{
    update_load(r, (uint32_t)-1);
    r->request_at = now;
    update_load(r, 1);
    r->in_flight_at_start = r->up->group->limit.in_flight;
    list_remove(&r->waiting);
    list_append(&f->pending, &r->waiting);
}

void
record_overdue(record_t *r)
{
    update_load(r, (uint32_t)-1);
    r->overdue = true;
    update_load(r, 1);
    list_remove(&r->waiting);
}

void
record_request_end(record_t *r)
{
    update_load(r, (uint32_t)-1);
    r->request_at = 0;
    r->overdue = false;
    update_load(r, 1);
    list_remove(&r->waiting);
}

void
record_opened(record_t *r)
{
    update_load(r, (uint32_t)-1);
    r->open = true;
    update_load(r, 1);
    list_remove(&r->waiting);
}

void
record_ended(record_t *r)
{
    update_load(r, (uint32_t)-1);
    r->ended = true;
    list_remove(&r->waiting);
}

void
records_expire(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->recent) {
        record_t *r = CONTAINER_OF(it, record_t, recent);
        if (f->conf == NULL || now - r->last_at < f->conf->idle_ms) {
            return;
        }
        record_free(f, r);
    }
}
