/* Routes and upstreams, by address, id and tag; evacuated data centres. */
#include "flow/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

void
flow_conf_free(flow_conf_t *c)
{
    if (c != NULL) {
        free(c->routes);
        free(c->targets);
        free(c->services);
        free(c);
    }
}

static int
addr_cmp(const addr_t *a, const addr_t *b)
{
    int rc = memcmp(a->ip, b->ip, sizeof(a->ip));

    return rc != 0 ? rc : (int)a->port - (int)b->port;
}

static int
route_cmp(const void *key, const void *route)
{
    return addr_cmp(key, &((const flow_route_t *)route)->addr);
}

const flow_route_t *
route_find(const flowset_t *f, const addr_t *a)
{
    if (f->conf == NULL || f->conf->n_routes == 0) {
        return NULL;
    }
    return bsearch(a, f->conf->routes, f->conf->n_routes, sizeof(flow_route_t),
                   route_cmp);
}

service_t *
service_named(flowset_t *f, const char *name)
{
    uint64_t hash = hash64(name, strlen(name), 0);
    service_t *s;

    INDEX_EACH (it, &f->by_name, hash) {
        s = CONTAINER_OF(it, service_t, by_name.link);
        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    s = calloc(1, sizeof(*s));
    if (s != NULL) {
        strncpy(s->name, name, sizeof(s->name) - 1);
        list_init(&s->answered);
        list_append(&f->services, &s->link);
        index_add(&f->by_name, &s->by_name, hash);
    }
    return s;
}

upstream_t *
upstream_by_id(const flowset_t *f, uint64_t id)
{
    INDEX_EACH (it, &f->by_id, hash_mix(id, 0)) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, by_id.link);
        if (u->a.id == id) {
            return u;
        }
    }
    return NULL;
}

upstream_t *
upstream_by_tag(const flowset_t *f, uint32_t tag)
{
    INDEX_EACH (it, &f->by_tag, hash_mix(tag, 1)) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, by_tag.link);
        if ((uint32_t)u->a.id == tag) {
            return u;
        }
    }
    return NULL;
}

uint64_t
addr_hash(const addr_t *a)
{
    return hash64(a->ip, sizeof(a->ip), a->port);
}

uint32_t
evacuation_index(const flowset_t *f, const char *data_centre)
{
    uint32_t i = 0;

    while (i < f->n_evacuated &&
           strcmp(f->evacuated[i].data_centre, data_centre) != 0) {
        i++;
    }
    return i;
}

uint32_t
data_centre_index(flowset_t *f, const char *name)
{
    data_centre_t *d;

    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        if (strcmp(f->data_centre_of[i].name, name) == 0) {
            return i;
        }
    }
    if (f->n_data_centres == DATA_CENTRES_MAX) {
        return NO_DATA_CENTRE;
    }
    d = &f->data_centre_of[f->n_data_centres];
    *d = (data_centre_t){.id = load_name_id(name)};
    strncpy(d->name, name, sizeof(d->name) - 1);
    place_link_init(&d->link, 0);
    return f->n_data_centres++;
}

upstream_t *
upstream_new(flowset_t *f, const flow_upstream_t *a)
{
    upstream_t *u = calloc(1, sizeof(*u));

    if (u == NULL) {
        return NULL;
    }
    u->a = *a;
    u->service = service_named(f, a->service);
    if (u->service == NULL) {
        free(u);
        return NULL;
    }
    u->local = strcmp(a->data_centre, f->data_centre) == 0;
    u->group = u->local ? &u->service->local : &u->service->remote;
    /* A tag is 32 bits of an id, so two upstreams may have the same tag.
     * Packets could then reach the wrong one and be reset, so the later one
     * gets no flows. */
    u->tag_taken =
        (uint32_t)a->id == 0 || upstream_by_tag(f, (uint32_t)a->id) != NULL;
    u->evacuated = evacuation_index(f, a->data_centre) < f->n_evacuated;
    u->service->n_evacuated += u->evacuated;
    u->request_weight = 1;
    u->data_centre = data_centre_index(f, a->data_centre);
    list_init(&u->sampled);
    list_init(&u->outlier);
    list_init(&u->down);
    u->probe_at = MS_NEVER;
    u->alive_at = u->refused_at = u->grace_until = -MS_NEVER;
    list_init(&u->records);
    list_init(&u->due);
    list_init(&u->lapsed);
    list_init(&u->answered);
    u->position = u->pool_position = NOT_OFFERED;
    list_append(&f->upstreams, &u->all);
    index_add(&f->by_id, &u->by_id, hash_mix(a->id, 0));
    index_add(&f->by_addr, &u->by_addr, addr_hash(&a->addr));
    list_init(&u->by_tag.link);
    if (!u->tag_taken) {
        index_add(&f->by_tag, &u->by_tag, hash_mix((uint32_t)a->id, 1));
    }
    f->n_upstreams++;
    return u;
}

void
upstream_free(flowset_t *f, upstream_t *u)
{
    upstream_withdraw(u);
    u->service->n_evacuated -= u->evacuated;
    list_remove(&u->all);
    list_remove(&u->due);
    list_remove(&u->lapsed);
    list_remove(&u->answered);
    list_remove(&u->sampled);
    list_remove(&u->outlier);
    list_remove(&u->down);
    f->n_usable -= u->usable;
    index_remove(&f->by_id, &u->by_id);
    index_remove(&f->by_addr, &u->by_addr);
    if (!u->tag_taken) {
        index_remove(&f->by_tag, &u->by_tag);
    }
    f->n_upstreams--;
    free(u);
}

void
upstream_count_usable(flowset_t *f, upstream_t *u)
{
    bool usable = u->listed && !u->a.draining && !u->evacuated &&
                  u->request_weight > 0 && u->reach == REACH_GOOD;

    f->n_usable += usable;
    f->n_usable -= u->usable;
    u->usable = usable;
}

void
upstream_set_listed(flowset_t *f, upstream_t *u, bool listed, ms_t now)
{
    u->listed = listed;
    list_remove(&u->lapsed);
    if (!listed) {
        u->unlisted_at = now;
        list_append(&f->unlisted, &u->lapsed);
    }
    upstream_count_usable(f, u);
}

/* The pool of U, or NULL. */
static pool_t *
pool_of(const upstream_t *u)
{
    return u->service->shared != NULL && u->data_centre != NO_DATA_CENTRE
               ? &u->service->shared->pool[u->data_centre]
               : NULL;
}

/* Adds U to the pool P.  Without memory it gets flows only while no sums are
 * known. */
static void
pool_add(pool_t *p, upstream_t *u)
{
    upstream_t **grown = array_grow(p->up, &p->cap, p->n + 1, sizeof(*grown));

    if (grown == NULL) {
        return;
    }
    p->up = grown;
    u->pool_position = p->n++;
    p->up[u->pool_position] = u;
}

static void
pool_remove(pool_t *p, upstream_t *u)
{
    if (u->pool_position == NOT_OFFERED) {
        return;
    }
    p->up[u->pool_position] = p->up[--p->n];
    p->up[u->pool_position]->pool_position = u->pool_position;
    u->pool_position = NOT_OFFERED;
}

int
upstream_offer(upstream_t *u)
{
    group_t *g = u->group;
    upstream_t **grown;

    upstream_withdraw(u);
    if (u->tag_taken || u->a.draining || u->evacuated) {
        return 0;
    }
    grown = array_grow(g->up, &g->cap, g->n + 1, sizeof(*grown));
    if (grown == NULL) {
        return -ENOMEM;
    }
    g->up = grown;
    u->position = g->n++;
    g->up[u->position] = u;
    if (pool_of(u) != NULL) {
        pool_add(pool_of(u), u);
    }
    return 0;
}

void
upstream_withdraw(upstream_t *u)
{
    group_t *g = u->group;

    if (u->position == NOT_OFFERED) {
        return;
    }
    g->up[u->position] = g->up[--g->n];
    g->up[u->position]->position = u->position;
    u->position = NOT_OFFERED;
    if (pool_of(u) != NULL) {
        pool_remove(pool_of(u), u);
    }
}

int
upstream_evacuate(flowset_t *f, upstream_t *u, bool evacuated)
{
    if (u->evacuated == evacuated) {
        return 0;
    }
    u->evacuated = evacuated;
    upstream_count_usable(f, u);
    if (evacuated) {
        u->service->n_evacuated++;
        upstream_withdraw(u);
        return 0;
    }
    u->service->n_evacuated--;
    return u->listed ? upstream_offer(u) : 0;
}
