/* Entry points of a flow set: packets, announcements and time. */
#include "flow/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Margin beyond the longest flow lifetime before an upstream is dropped: its
 * announcement may lapse before the upstream ends. */
#define EXPIRY_MARGIN_MS 30000
/* Interval of the sweep over all records. */
#define SWEEP_MS 500

flowset_t *
flowset_new(const flow_spec_t *spec)
{
    flowset_t *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return NULL;
    }
    f->spec = *spec;
    strncpy(f->data_centre, spec->data_centre, sizeof(f->data_centre) - 1);
    f->rng.seed = spec->seed;
    f->wall_ms = MS_NEVER;
    f->pressing_from = MS_NEVER;
    list_init(&f->sampled);
    list_init(&f->outliers);
    list_init(&f->down);
    list_init(&f->lengths);
    list_init(&f->upstreams);
    list_init(&f->services);
    list_init(&f->recent);
    list_init(&f->opening);
    list_init(&f->pending);
    list_init(&f->slow);
    list_init(&f->suspects);
    list_init(&f->unlisted);
    if (index_init(&f->by_id) < 0 || index_init(&f->by_tag) < 0 ||
        index_init(&f->by_addr) < 0 || index_init(&f->by_key) < 0 ||
        index_init(&f->by_name) < 0 || index_init(&f->by_route) < 0) {
        flowset_free(f);
        return NULL;
    }
    data_centre_index(f, f->data_centre); /* OWN_DATA_CENTRE */
    return f;
}

static void
discard_records(flowset_t *f, upstream_t *u)
{
    LIST_EACH (it, &u->records) {
        record_free(f, CONTAINER_OF(it, record_t, by_upstream));
    }
}

/* Discards what is known of the former process of U, which has restarted under
 * its id: flows, latency and failed probes.  The new process holds none of
 * these flows, and resets them itself when their callers retransmit; resets
 * from here could hit flows that were opened before its announcement arrived.
 */
static void
discard_former_process(flowset_t *f, upstream_t *u)
{
    discard_records(f, u);
    u->answer_ms = 0;
    u->unanswered = 0;
    u->timeouts = 0;
    u->refused = 0;
    u->retry_ms = 0;
    u->alive_at = u->refused_at = -MS_NEVER;
    u->sample = (sample_t){0};
    u->health = (place_health_t){0};
    list_remove(&u->outlier);
}

static void
drop_upstream(flowset_t *f, upstream_t *u)
{
    discard_records(f, u);
    upstream_free(f, u);
}

void
flowset_free(flowset_t *f)
{
    if (f == NULL) {
        return;
    }
    LIST_EACH (it, &f->upstreams) {
        drop_upstream(f, CONTAINER_OF(it, upstream_t, all));
    }
    sharing_free(f);
    measure_free(f);
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        free(s->local.up);
        free(s->remote.up);
        free(s);
    }
    index_free(&f->by_id);
    index_free(&f->by_tag);
    index_free(&f->by_addr);
    index_free(&f->by_key);
    index_free(&f->by_name);
    flow_conf_free(f->conf);
    free(f);
}

/* ---- Announcements ---- */

static int
route_order(const void *a, const void *b)
{
    const flow_route_t *x = a, *y = b;
    int rc = memcmp(x->addr.ip, y->addr.ip, sizeof(x->addr.ip));

    return rc != 0 ? rc : (int)x->addr.port - (int)y->addr.port;
}

/* If memory for a service runs out, its upstreams aren't used either. */
static void
set_services(flowset_t *f, const flow_conf_t *c)
{
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        s->warm_up_per_s = 0;
        s->named = false;
    }
    for (uint32_t i = 0; i < c->n_services; i++) {
        service_t *s = service_named(f, c->services[i].service);
        if (s != NULL) {
            s->warm_up_per_s = c->services[i].warm_up_per_s;
        }
    }
    for (uint32_t i = 0; i < c->n_targets; i++) {
        service_t *s = service_named(f, c->targets[i].service);
        if (s != NULL) {
            s->named = true;
        }
    }
}

static void
retire_upstream(flowset_t *f, ms_t now, upstream_t *u)
{
    upstream_set_listed(f, u, false, now);
    upstream_withdraw(u);
    reach_dead(f, now, u, "its address is another upstream's now");
}

/* True if A is of a later process than B at the same address.  The starts of
 * the processes go first: the store may do the last write of a process that
 * has ended after the next one has announced itself. */
static bool
is_later(const flow_upstream_t *a, const flow_upstream_t *b)
{
    if (a->started_ms != 0 && b->started_ms != 0 &&
        a->started_ms != b->started_ms) {
        return a->started_ms > b->started_ms;
    }
    return a->revision > b->revision;
}

/* Retires U if a later upstream holds its address, and the earlier ones there
 * otherwise: an address is assigned to another upstream only after its
 * previous one has ended, though the previous announcement may outlast it.
 * Upstreams of services that no route names don't count, since anyone can
 * write an entry with the address of a live upstream. */
static void
settle_address(flowset_t *f, ms_t now, upstream_t *u)
{
    bool superseded = false;

    INDEX_EACH (it, &f->by_addr, addr_hash(&u->a.addr)) {
        upstream_t *other = CONTAINER_OF(it, upstream_t, by_addr.link);
        if (other == u || !addr_eq(&other->a.addr, &u->a.addr)) {
            continue;
        }
        if (is_later(&other->a, &u->a)) {
            superseded =
                superseded || (other->announced && other->claims_addr);
        }
        else if (u->claims_addr && other->reach != REACH_DEAD) {
            retire_upstream(f, now, other);
        }
    }
    if (superseded) {
        retire_upstream(f, now, u);
    }
}

/* Settles the addresses of upstreams that were announced before a version that
 * names their service. */
static void
settle_addresses(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, all);
        bool begins = u->service->named && !u->claims_addr;
        u->claims_addr = u->service->named;
        if (begins && u->listed) {
            settle_address(f, now, u);
        }
    }
}

int
flowset_set_conf(flowset_t *f, ms_t now, flow_conf_t *c)
{
    if (f->conf != NULL && c->version <= f->conf->version) {
        flow_conf_free(c);
        return -ESTALE;
    }
    qsort(c->routes, c->n_routes, sizeof(*c->routes), route_order);
    flow_conf_free(f->conf);
    f->conf = c;
    set_services(f, c);
    settle_addresses(f, now);
    sharing_configure(f);
    return 0;
}

/* Returns -EEXIST or -ESTALE if announcement A must not replace that of U. */
static int
check_announcement(const upstream_t *u, const flow_upstream_t *a)
{
    if (u->listed && u->a.entry != a->entry) {
        return -EEXIST;
    }
    return a->started_ms != 0 && a->started_ms == u->former_started_ms
               ? -ESTALE
               : 0;
}

/* Returns U, updated by A, or an upstream that replaces it, as its id has been
 * reassigned.  NULL without memory.  An announcement without a start is no
 * sign of a restart: the next one, with the start that U had, would be taken
 * for one of a former process and refused. */
static upstream_t *
update_upstream(flowset_t *f, upstream_t *u, const flow_upstream_t *a)
{
    int64_t started_ms = a->started_ms != 0 ? a->started_ms : u->a.started_ms;
    bool restarted = started_ms != u->a.started_ms;
    int64_t former_started_ms =
        restarted ? u->a.started_ms : u->former_started_ms;

    if (strcmp(u->a.service, a->service) != 0 ||
        strcmp(u->a.data_centre, a->data_centre) != 0 ||
        !addr_eq(&u->a.addr, &a->addr)) {
        drop_upstream(f, u);
        u = upstream_new(f, a);
    }
    else if (restarted) {
        discard_former_process(f, u);
    }
    if (u != NULL) {
        u->former_started_ms = former_started_ms;
        u->a = *a;
        u->a.started_ms = started_ms;
    }
    return u;
}

/* U is announced: lists it unless another upstream holds its address. */
static int
list_upstream(flowset_t *f, ms_t now, upstream_t *u)
{
    upstream_set_listed(f, u, true, now);
    settle_address(f, now, u);
    if (!u->listed) {
        return 0;
    }
    reach_announced(f, now, u);
    return upstream_offer(u);
}

int
flowset_set_upstream(flowset_t *f, ms_t now, const flow_upstream_t *a)
{
    upstream_t *u = upstream_by_id(f, a->id);
    int rc = u != NULL ? check_announcement(u, a) : 0;

    if (rc < 0) {
        return rc;
    }
    u = u != NULL ? update_upstream(f, u, a) : upstream_new(f, a);
    if (u == NULL) {
        return -ENOMEM;
    }
    u->warm_up_until = now + a->warm_up_ms;
    upstream_weigh(f, u);
    u->claims_addr = u->service->named;
    u->announced = true;
    return list_upstream(f, now, u);
}

/* The announcement of U has ended: lists the upstreams that it kept from its
 * address, the clock of whose host may have been behind.  A probe shows
 * whether they live.  Without memory they are offered with their next
 * announcement. */
static void
return_address(flowset_t *f, ms_t now, upstream_t *u)
{
    INDEX_EACH (it, &f->by_addr, addr_hash(&u->a.addr)) {
        upstream_t *other = CONTAINER_OF(it, upstream_t, by_addr.link);
        if (other != u && addr_eq(&other->a.addr, &u->a.addr) &&
            other->announced && !other->listed) {
            list_upstream(f, now, other);
        }
    }
}

static void
unlist(flowset_t *f, ms_t now, upstream_t *u)
{
    upstream_set_listed(f, u, false, now);
    /* The upstream has left or died, or its announcement lapsed: probe it, so
     * that callers with idle flows don't have to find out by a timeout.
     * Without flows seen here, the probe waits for the first packet: probes of
     * all instances would add up to as many connections as there are
     * instances. */
    if (!list_empty(&u->records)) {
        reach_unlisted(f, now, u);
    }
}

void
flowset_remove_upstream(flowset_t *f, ms_t now, uint64_t id, uint64_t entry)
{
    upstream_t *u = upstream_by_id(f, id);

    if (u == NULL || !u->announced || u->a.entry != entry) {
        return;
    }
    u->announced = false;
    if (u->listed) {
        unlist(f, now, u);
    }
    return_address(f, now, u);
}

/* ---- Evacuations ---- */

bool
flowset_is_evacuated(const flowset_t *f, const char *data_centre)
{
    return evacuation_index(f, data_centre) < f->n_evacuated;
}

/* Applies the evacuation of DATA_CENTRE, or its end, to the upstreams there;
 * returns their number. */
static int
evacuate_upstreams(flowset_t *f, const char *data_centre, bool evacuated)
{
    int n = 0, rc = 0;

    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, all);
        if (strcmp(u->a.data_centre, data_centre) == 0) {
            int failed = upstream_evacuate(f, u, evacuated);
            rc = failed < 0 ? failed : rc;
            n++;
        }
    }
    return rc < 0 ? rc : n;
}

static int
begin_evacuation(flowset_t *f, const char *data_centre)
{
    uint32_t at = evacuation_index(f, data_centre);

    if (at == EVACUATIONS_MAX) {
        return -ENOSPC;
    }
    if (at == f->n_evacuated) {
        f->evacuated[at] = (evacuation_t){.ends_at = 0};
        strncpy(f->evacuated[at].data_centre, data_centre, FLOW_NAME_LEN - 1);
        f->n_evacuated++;
    }
    f->evacuated[at].ends_at = 0;
    return evacuate_upstreams(f, data_centre, true);
}

static int
end_evacuation(flowset_t *f, uint32_t at)
{
    evacuation_t ended = f->evacuated[at];

    f->evacuated[at] = f->evacuated[--f->n_evacuated];
    return evacuate_upstreams(f, ended.data_centre, false);
}

int
flowset_evacuate(flowset_t *f, const char *data_centre, bool evacuated,
                 uint64_t revision)
{
    uint32_t at;

    if (evacuated) {
        return begin_evacuation(f, data_centre);
    }
    at = evacuation_index(f, data_centre);
    if (at == f->n_evacuated) {
        return evacuate_upstreams(f, data_centre, false);
    }
    if (f->upstreams_revision >= revision) {
        return end_evacuation(f, at);
    }
    f->evacuated[at].ends_at = revision;
    return evacuate_upstreams(f, data_centre, true);
}

bool
flowset_evacuation_ending(const flowset_t *f)
{
    for (uint32_t i = 0; i < f->n_evacuated; i++) {
        if (f->evacuated[i].ends_at != 0) {
            return true;
        }
    }
    return false;
}

void
flowset_upstreams_synced(flowset_t *f, uint64_t revision)
{
    f->upstreams_revision =
        revision > f->upstreams_revision ? revision : f->upstreams_revision;
    for (uint32_t i = f->n_evacuated; i-- > 0;) {
        uint64_t ends_at = f->evacuated[i].ends_at;
        if (ends_at != 0 && ends_at <= f->upstreams_revision) {
            end_evacuation(f, i); /* on failure, an upstream is offered with
                                   * its next announcement */
        }
    }
}

void
flowset_set_warm_up_instances(flowset_t *f, uint64_t self,
                              const uint64_t *warm_up_instance, uint32_t n)
{
    f->self = self;
    f->n_warm_up_instances =
        n < WARM_UP_INSTANCES_MAX ? n : WARM_UP_INSTANCES_MAX;
    memcpy(f->warm_up_instance, warm_up_instance,
           f->n_warm_up_instances * sizeof(*warm_up_instance));
}

/* ---- Time ---- */

void
flowset_probed(flowset_t *f, ms_t now, uint64_t id, flow_probe_t result)
{
    upstream_t *u = upstream_by_id(f, id);

    f->stats.probes[result]++;
    if (u != NULL && u->probing) {
        reach_probed(f, now, u, result);
    }
}

void
flowset_paused(flowset_t *f, ms_t now)
{
    LIST_EACH (it, &f->recent) {
        record_t *r = CONTAINER_OF(it, record_t, recent);
        r->sent_at = now;
        r->request_at = r->request_at != 0 ? now : 0;
    }
}

static void
expire_upstreams(flowset_t *f, ms_t now)
{
    ms_t expiry_ms = f->spec.flow_ttl_ms + EXPIRY_MARGIN_MS;

    LIST_EACH (it, &f->unlisted) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, lapsed);
        if (now - u->unlisted_at <= expiry_ms) {
            return;
        }
        if (!u->probing) {
            drop_upstream(f, u);
        }
    }
}

ms_t
flowset_tick(flowset_t *f, ms_t now)
{
    ms_t timeout = timeouts_check(f, now);
    ms_t probe = reach_tick(f, now);
    ms_t next = timeout < probe ? timeout : probe;

    if (now >= f->sweep_at) {
        timeouts_sweep(f, now);
        records_expire(f, now);
        expire_upstreams(f, now);
        LIST_EACH (it, &f->services) {
            choice_update_median(CONTAINER_OF(it, service_t, link), now);
        }
        f->sweep_at = now + SWEEP_MS;
    }
    return f->n_records > 0 && f->sweep_at < next ? f->sweep_at : next;
}

/* ---- Statistics ---- */

const flow_stats_t *
flowset_stats(flowset_t *f)
{
    flow_stats_t *s = &f->stats;

    s->version = f->conf != NULL ? f->conf->version : 0;
    s->routes = f->conf != NULL ? f->conf->n_routes : 0;
    s->upstreams = f->n_upstreams;
    s->records = f->n_records;
    s->evacuated = f->n_evacuated;
    s->requests = (uint32_t)__builtin_popcountll(f->in_force);
    s->usable = f->n_usable;
    s->limits = s->sharing = s->admitting = 0;
    LIST_EACH (it, &f->services) {
        const service_t *v = CONTAINER_OF(it, service_t, link);
        s->limits += (v->local.limit.max_in_flight > 0) +
                     (v->remote.limit.max_in_flight > 0);
        s->sharing += v->shared != NULL;
        s->admitting += v->shared != NULL && v->shared->admit.in_force;
    }
    s->outliers = s->cut_off = 0;
    LIST_EACH (it, &f->outliers) {
        s->outliers++;
    }
    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        s->cut_off += f->data_centre_of[i].cut;
    }
    return s;
}

bool
flowset_ready(const flowset_t *f)
{
    return f->conf != NULL && f->n_upstreams > 0;
}
