/* What the flow set decides by shared load, for operators. */
#include "flow/state.h"

#include <stdio.h>
#include <string.h>

/* Capacity of the data centres that can be reached, in requests a second. */
static double
reachable_capacity(const flowset_t *f, ms_t now, const shared_t *x)
{
    double capacity = 0;

    for (uint32_t i = 0; f->view != NULL && i < f->n_data_centres; i++) {
        if (!f->data_centre_of[i].cut && view_sum(f, now, i) != NULL) {
            capacity += capacity_of(&x->capacity, x->pool[i].slots);
        }
    }
    return capacity;
}

static void
add_plan(const flowset_t *f, const place_plan_t *p, flow_service_status_t *out)
{
    for (uint32_t i = 0; i < p->n && i < f->n_data_centres; i++) {
        flow_plan_share_t *s = &out->plan[out->n_plan];
        if (p->share[i] > 0) {
            snprintf(s->data_centre, sizeof(s->data_centre), "%s",
                     f->data_centre_of[i].name);
            s->share = p->share[i];
            out->n_plan++;
        }
    }
}

static void
add_service(const flowset_t *f, ms_t now, const service_t *s,
            flow_load_status_t *out)
{
    const admit_t *a = &s->shared->admit;
    flow_service_status_t *row = &out->service[out->n_services++];

    snprintf(row->name, sizeof(row->name), "%s", s->name);
    row->in_force = a->in_force;
    memcpy(row->admitted, a->share, sizeof(row->admitted));
    row->capacity = reachable_capacity(f, now, s->shared);
    row->n_plan = 0;
    add_plan(f, &s->shared->plan, row);
}

static void
add_outlier(ms_t now, const upstream_t *u, flow_load_status_t *out)
{
    flow_outlier_status_t *row = &out->outlier[out->n_outliers++];

    row->upstream = u->a.id;
    row->state = u->health.state;
    row->weight = place_health_weight(&u->health, now, true);
    snprintf(row->service, sizeof(row->service), "%s", u->a.service);
}

static void
add_request(const flowset_t *f, const request_t *r, flow_load_status_t *out)
{
    flow_request_status_t *row = &out->request[out->n_requests++];

    snprintf(row->name, sizeof(row->name), "%s", r->name);
    snprintf(row->service, sizeof(row->service), "%s", r->service);
    row->kind = r->kind;
    row->left_ms = r->expires_ms - f->wall_ms;
}

void
flowset_load_status(const flowset_t *f, ms_t now, flow_load_status_t *out)
{
    out->n_services = out->n_outliers = out->n_requests = 0;
    LIST_EACH (it, &f->services) {
        const service_t *s = CONTAINER_OF(it, service_t, link);
        if (s->shared != NULL && out->n_services < LOAD_SERVICES_MAX) {
            add_service(f, now, s, out);
        }
    }
    LIST_EACH (it, &f->outliers) {
        if (out->n_outliers < FLOW_STATUS_OUTLIERS_MAX) {
            add_outlier(now, CONTAINER_OF(it, upstream_t, outlier), out);
        }
    }
    for (uint32_t i = 0; i < f->requests.n; i++) {
        if ((f->in_force >> i & 1) != 0) {
            add_request(f, &f->requests.entry[i].request, out);
        }
    }
}
