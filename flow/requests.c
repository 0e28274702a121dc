/* Operators' requests: which are in force, and the weights of upstreams by
 * them.
 *
 * An expired request stays in the set until its place is needed or its entry
 * is removed: after a step of the wall clock, a later one may show that it is
 * still in force. */
#include "flow/state.h"

#include <errno.h>

static const request_t *
request_for(const flowset_t *f, const upstream_t *u)
{
    return requests_placed(&f->requests, f->wall_ms, u->a.service, u->a.id,
                           u->a.version);
}

static uint32_t
index_of(const flowset_t *f, const request_t *r)
{
    const request_entry_t *e = CONTAINER_OF(r, request_entry_t, request);

    return (uint32_t)(e - f->requests.entry);
}

static bool
takes_flows(const upstream_t *u)
{
    return u->listed && !u->a.draining && !u->evacuated;
}

/* Counts the upstreams of each request in N, and sums up each service's
 * requested shares. */
static void
count_requested(flowset_t *f, uint32_t n[REQUESTS_MAX])
{
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        s->n_unrequested = 0;
        s->requested_share = 0;
        s->request_weight_max = 1;
    }
    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, all);
        const request_t *r = takes_flows(u) ? request_for(f, u) : NULL;
        if (takes_flows(u) && r == NULL) {
            u->service->n_unrequested++;
        }
        else if (r != NULL && r->kind == REQUEST_WEIGHT &&
                 n[index_of(f, r)]++ == 0) {
            u->service->requested_share += r->placed.share;
        }
    }
}

static void
set_weight(flowset_t *f, upstream_t *u, double weight)
{
    u->request_weight = weight;
    upstream_count_usable(f, u);
}

/* A service whose shares ask for more than all new flows gives its other
 * upstreams none. */
static double
weight_of(const flowset_t *f, const upstream_t *u,
          const uint32_t n[REQUESTS_MAX])
{
    const request_t *r = request_for(f, u);
    const service_t *s = u->service;

    if (r == NULL) {
        return 1;
    }
    if (r->kind == REQUEST_OUT) {
        return 0;
    }
    return request_weight_factor(r->placed.share, n[index_of(f, r)],
                                 1 - s->requested_share, s->n_unrequested);
}

static void
weigh_upstreams(flowset_t *f)
{
    uint32_t n[REQUESTS_MAX] = {0};

    count_requested(f, n);
    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, all);
        set_weight(f, u, weight_of(f, u, n));
        if (u->request_weight > u->service->request_weight_max) {
            u->service->request_weight_max = u->request_weight;
        }
    }
}

/* Closes data centre I to this one's flows of S where the operators ask for
 * it. */
static void
close_data_centre(const flowset_t *f, service_t *s, uint32_t i)
{
    bool closed = requests_forbid(&f->requests, f->wall_ms, s->name,
                                  f->data_centre, f->data_centre_of[i].name);

    s->closed = (s->closed & ~(1U << i)) | (uint32_t)closed << i;
}

static void
close_data_centres(flowset_t *f)
{
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        for (uint32_t i = 0; i < f->n_data_centres; i++) {
            close_data_centre(f, s, i);
        }
    }
}

/* Without requests all weights are 1. */
static void
update(flowset_t *f)
{
    uint64_t before = f->in_force;

    f->in_force = requests_in_force(&f->requests, f->wall_ms);
    if (before != 0 || f->in_force != 0) {
        weigh_upstreams(f);
        close_data_centres(f);
    }
}

/* The share stands for the weight until the upstreams are counted again: it is
 * too small rather than too large. */
void
upstream_weigh(flowset_t *f, upstream_t *u)
{
    const request_t *r = f->in_force != 0 ? request_for(f, u) : NULL;

    set_weight(f, u,
               r == NULL                ? 1
               : r->kind == REQUEST_OUT ? 0
                                        : r->placed.share);
    /* Its service or data centre may be a new one. */
    if (f->in_force != 0 && u->data_centre != NO_DATA_CENTRE) {
        close_data_centre(f, u->service, u->data_centre);
    }
}

static void
emit_expired(flowset_t *f, uint64_t expired)
{
    flow_out_t out = {.kind = FLOW_OUT_EXPIRED};

    for (uint32_t i = 0; i < f->requests.n; i++) {
        if ((expired >> i & 1) != 0) {
            out.expired = &f->requests.entry[i].request;
            f->spec.emit(f->spec.arg, &out);
        }
    }
}

void
flowset_set_wall(flowset_t *f, ms_t now, int64_t wall_ms)
{
    uint64_t before = f->in_force;

    (void)now;
    f->wall_ms = wall_ms;
    update(f);
    emit_expired(f, before & ~f->in_force);
}

int
flowset_set_request(flowset_t *f, const request_t *r, uint64_t revision)
{
    int rc = requests_put(&f->requests, r, revision);

    if (rc == -ENOSPC && f->wall_ms != MS_NEVER &&
        requests_expire(&f->requests, f->wall_ms) > 0) {
        rc = requests_put(&f->requests, r, revision);
    }
    update(f);
    return rc;
}

void
flowset_remove_request(flowset_t *f, const char *name)
{
    requests_remove(&f->requests, name);
    update(f);
}
