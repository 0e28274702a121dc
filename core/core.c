/* Life cycle of a core: start, configuration, ticks, leaving, statistics. */
#include "core/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

core_t *
core_new(const core_params_t *p, core_emit_t *emit, void *arg)
{
    core_t *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->p = *p;
    c->emit = emit;
    c->arg = arg;
    c->rng.seed = p->seed;
    c->slots = calloc(OWNER_SLOTS, sizeof(*c->slots));
    if (c->slots == NULL || flows_new(c) < 0 || exchanges_new(c) < 0) {
        core_free(c);
        return NULL;
    }
    c->uncertain_at = INT64_MIN / 2;
    c->start = c->last_call = -1;
    return c;
}

void
core_free(core_t *c)
{
    if (c == NULL) {
        return;
    }
    for (uint32_t i = 0; i < c->n_services; i++) {
        free(c->services[i].buckets);
        free(c->services[i].ups);
    }
    flows_free(c);
    exchanges_free(c);
    map_free(&c->up_map);
    map_free(&c->service_map);
    free(c->services);
    free(c->ups);
    free(c->peers);
    free(c->slots);
    free(c);
}

/* ---- Configuration ---- */

/* Adds a service without upstreams.  Returns SERVICE_NONE when memory runs
 * out. */
static service_ix_t
service_add(core_t *c, const conf_service_t *conf)
{
    service_t s = {.id = addr_id(&conf->addr), .conf = *conf};
    service_t *all = array_grow(c->services, &c->cap_services,
                                c->n_services + 1, sizeof(*all));

    if (all == NULL) {
        return SERVICE_NONE;
    }
    c->services = all;
    if (map_put(&c->service_map, s.id, c->n_services) < 0) {
        return SERVICE_NONE;
    }
    s.conf.upstreams = NULL;
    c->services[c->n_services] = s;
    return (service_ix_t)c->n_services++;
}

/* The number of upstreams of CONF that need a new index (see
 * apply_upstream()). */
static size_t
new_upstreams(const core_t *c, const conf_service_t *conf)
{
    service_ix_t service = service_find(c, &conf->addr);
    size_t n = 0;

    for (uint32_t i = 0; i < conf->n_upstreams; i++) {
        up_ix_t u = up_find_id(c, conf->upstreams[i].id);
        n += u == UP_NONE || c->ups[u].service != service;
    }
    return n;
}

static int
service_reserve(core_t *c, const conf_service_t *conf)
{
    service_ix_t i = service_find(c, &conf->addr);

    if (i == SERVICE_NONE) {
        i = service_add(c, conf);
    }
    if (i == SERVICE_NONE) {
        return -ENOMEM;
    }
    return table_reserve(&c->services[i], conf->n_upstreams);
}

/* Reserves all the memory that CONF needs before any of it is applied: a
 * version is in force as a whole or not at all.  A failure leaves spare
 * room and, at most, services without upstreams, whose requests are refused
 * as before. */
static int
conf_reserve(core_t *c, const conf_t *conf)
{
    size_t more = 0;
    int rc;

    for (uint32_t i = 0; i < conf->n_services; i++) {
        more += new_upstreams(c, &conf->services[i]);
    }
    rc = ups_reserve(c, more);
    for (uint32_t i = 0; rc == 0 && i < conf->n_services; i++) {
        rc = service_reserve(c, &conf->services[i]);
    }
    return rc;
}

void
core_set_history_complete(core_t *c)
{
    c->history_complete = true;
}

bool
core_saw_older_member(const core_t *c)
{
    return c->met_older;
}

bool
core_history_is_complete(const core_t *c)
{
    return c->history_complete;
}

/* The earliest time at which an upstream that is new here can have got work
 * from any instance; INT64_MIN / 2 when that is unknown.  An instance in
 * contact with all others gets a version at about the same time as they do;
 * an instance that was cut off may get it much later.  For the first
 * version here the time is known if the history is declared complete, or if
 * the versions in force over all of the last OWNER_SETTLE_MS were supplied. */
static ms_t
first_listing(core_t *c)
{
    bool in_contact =
        !c->suspects && c->now - c->uncertain_at >= OWNER_SETTLE_MS;
    bool known = in_contact;

    if (c->first_version) {
        known =
            c->history_complete || c->last_call - c->now >= OWNER_SETTLE_MS;
    }
    return known ? c->now : INT64_MIN / 2;
}

static void
apply_upstream(core_t *c, service_ix_t service, const conf_upstream_t *conf)
{
    up_ix_t u = up_find_id(c, conf->id);

    if (u != UP_NONE && c->ups[u].service != service) {
        /* The address belongs to another service now: its recorded state is
         * obsolete, and its flows have ended there. */
        flows_end_at(c, u);
        c->ups[u].used = false;
        u = UP_NONE;
    }
    if (u == UP_NONE) {
        u = up_add(c, conf, service);
        c->ups[u].listed_since = first_listing(c);
    }
    c->ups[u].conf = *conf;
    c->ups[u].conf_draining = conf->draining;
    c->ups[u].listed = true;
    c->services[service].ups[c->services[service].n_ups++] = u;
}

static void
apply_service(core_t *c, const conf_service_t *conf)
{
    service_ix_t i = service_find(c, &conf->addr);
    service_t *s = &c->services[i];

    s->conf = *conf;
    s->conf.upstreams = NULL;
    s->n_ups = 0;
    for (uint32_t k = 0; k < conf->n_upstreams; k++) {
        apply_upstream(c, i, &conf->upstreams[k]);
    }
    table_build(c, i);
}

int
core_set_conf(core_t *c, ms_t now, const conf_t *conf)
{
    int rc;

    if (conf->version <= c->version) {
        return -ESTALE;
    }
    rc = conf_reserve(c, conf);
    if (rc < 0) {
        return rc;
    }
    c->now = now;
    c->first_version = c->version == 0;
    c->version = conf->version;
    for (uint32_t i = 0; i < c->n_ups; i++) {
        up_t *u = &c->ups[i];
        u->unlisted_at = u->listed ? now : u->unlisted_at;
        u->listed = false;
    }
    for (uint32_t i = 0; i < conf->n_services; i++) {
        apply_service(c, &conf->services[i]);
    }
    return 0;
}

uint64_t
core_version(const core_t *c)
{
    return c->version;
}

/* ---- Time ---- */

void
core_tick(core_t *c, ms_t now)
{
    core_enter(c, now);
    if (c->n_services == 0) {
        return;
    }
    up_probe_tick(c);
    flows_tick(c);
    request_tick(c);
    ex_expire(c);
    sync_refill(c);
    flow_sweep(c);
    sync_flush(c);
}

void
core_leave(core_t *c, ms_t now)
{
    c->now = now;
    c->leaving = true;
}

void
core_cancel_leave(core_t *c, ms_t now)
{
    c->now = now;
    c->leaving = false;
}

static bool
flow_unsynced(core_t *c, const flow_t *f)
{
    uint64_t to;

    if (!(f->flags & FLOW_USED) || (f->flags & FLOW_SYNCED)) {
        return false;
    }
    to = sync_target(c, pin_owner_key(c, f));
    return to != 0 && to != c->p.self;
}

void
core_pending(const core_t *c, uint32_t *exchanges, uint32_t *pins)
{
    core_t *mutable_c = (core_t *)c;

    *exchanges = *pins = 0;
    LIST_EACH (l, &mutable_c->ex_active) {
        *exchanges += 1;
    }
    for (uint32_t i = 0; i < c->flow_top; i++) {
        *pins += flow_unsynced(mutable_c, &c->flows[i]);
    }
}

/* ---- Statistics ---- */

void
core_stats(const core_t *c, const addr_t *service, core_stats_t *out)
{
    service_ix_t i = service_find(c, service);

    *out = (core_stats_t){0};
    if (i != SERVICE_NONE) {
        *out = c->services[i].stats;
    }
}

size_t
core_upstreams(const core_t *c, core_upstream_t *out, size_t cap)
{
    size_t n = 0;

    for (uint32_t i = 0; i < c->n_ups && n < cap; i++) {
        const up_t *u = &c->ups[i];
        if (!u->used) {
            continue;
        }
        out[n] =
            (core_upstream_t){.addr = u->conf.addr,
                              .draining = u->draining || u->conf_draining,
                              .lease_valid = up_lease_valid(c, (up_ix_t)i),
                              .ejected = c->now < u->eject_until,
                              .epoch = u->epoch,
                              .in_flight = u->in_flight,
                              .reported_busy = u->reported,
                              .flows = u->flows};
        memcpy(out[n].service, c->services[u->service].conf.name, NAME_LEN);
        memcpy(out[n].data_centre, u->conf.data_centre, NAME_LEN);
        n++;
    }
    return n;
}

void
core_table_usage(const core_t *c, uint32_t *flows, uint32_t *hints,
                 uint32_t *exchanges)
{
    *flows = c->flow_used;
    *exchanges = c->ex_used;
    *hints = 0;
    for (uint32_t i = 0; i <= c->hint_mask; i++) {
        *hints += c->hints[i].until > c->now;
    }
}
