/* Applies the sums of shared load: which services share their load, and what
 * follows from the sums of all instances for data centres that are cut off,
 * upstreams that are slow or fail, the plan between data centres, and
 * admission. */
#include "flow/state.h"

#include <stdlib.h>
#include <string.h>

/* Timeout, in goals, from which a route's callers are patient: they stay with
 * a slow upstream until its answer is worth nothing, so that an instance has
 * to find it for them. */
#define PATIENT_GOALS 10
/* Time without a reason for the fast period after which it ends. */
#define PRESSING_HOLD_MS 2000
/* Requests in flight per slot of a data centre from which decisions need sums
 * of recent age. */
#define BUSY_LOAD 0.45
/* Time between two counts of a service's slots: the period of sums, and longer
 * with many upstreams. */
#define UPSTREAMS_PER_MS 10

/* ---- Which services share their load ---- */

static bool
is_patient(const flow_route_t *r)
{
    return r->goal_ms > 0 && r->timeout_ms >= PATIENT_GOALS * r->goal_ms;
}

/* True if the configuration calls for shared load of the targets of R. */
static bool
calls_for_sharing(const flowset_t *f, const flow_route_t *r)
{
    switch (f->spec.sharing) {
    case FLOW_SHARE_NONE:
        return false;
    case FLOW_SHARE_PATIENT:
        return is_patient(r);
    case FLOW_SHARE_ALL:
        return r->goal_ms > 0;
    }
    return false;
}

/* Discards what is known of the upstreams of S by shared load: without it
 * nothing updates them. */
static void
discard_samples(flowset_t *f, const service_t *s)
{
    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, all);
        if (u->service == s) {
            u->health = (place_health_t){0};
            u->down_until = 0;
            list_remove(&u->outlier);
            u->sample = (sample_t){0};
            list_remove(&u->sampled);
        }
    }
}

static void
shared_free(service_t *s)
{
    if (s->shared == NULL) {
        return;
    }
    for (uint32_t i = 0; i < DATA_CENTRES_MAX; i++) {
        free(s->shared->pool[i].up);
    }
    free(s->shared);
    s->shared = NULL;
}

/* Without memory the service is served as if its load were not shared. */
static void
shared_new(flowset_t *f, service_t *s)
{
    s->shared = calloc(1, sizeof(*s->shared));
    if (s->shared == NULL) {
        return;
    }
    s->load_id = load_name_id(s->name);
    admit_init(&s->shared->admit);
    place_plan_init(&s->shared->plan, f->spec.seed);
    LIST_EACH (it, &f->upstreams) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, all);
        if (u->service != s) {
            continue;
        }
        u->pool_position = NOT_OFFERED; /* of an earlier version's pool */
        if (u->position != NOT_OFFERED) {
            upstream_offer(u); /* on failure with its next announcement */
        }
    }
}

void
sharing_configure(flowset_t *f)
{
    LIST_EACH (it, &f->services) {
        CONTAINER_OF(it, service_t, link)->wants_sharing = false;
    }
    for (uint32_t i = 0; i < f->conf->n_routes; i++) {
        const flow_route_t *r = &f->conf->routes[i];
        for (uint32_t k = 0; calls_for_sharing(f, r) && k < r->n_targets;
             k++) {
            service_t *s = service_named(
                f, f->conf->targets[r->first_target + k].service);
            if (s != NULL) {
                s->wants_sharing = true;
            }
        }
    }
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        if (s->wants_sharing && s->shared == NULL) {
            shared_new(f, s);
        }
        else if (!s->wants_sharing && s->shared != NULL) {
            discard_samples(f, s);
            shared_free(s);
        }
    }
}

void
sharing_free(flowset_t *f)
{
    LIST_EACH (it, &f->services) {
        shared_free(CONTAINER_OF(it, service_t, link));
    }
    free(f->view);
}

/* ---- The period of sums ---- */

static void
update_pressing(flowset_t *f, ms_t now)
{
    bool pressing = !list_empty(&f->outliers);

    for (uint32_t i = 0; i < f->view->n; i++) {
        pressing = pressing || f->view->dc[i].sum.pressing;
    }
    if (pressing) {
        f->pressing_until = now + PRESSING_HOLD_MS;
    }
    if (now >= f->pressing_until) {
        f->pressing_from = MS_NEVER;
    }
    else if (f->pressing_from == MS_NEVER) {
        f->pressing_from = now;
    }
}

/* ---- Data centres that are cut off ---- */

static void
emit_link(flowset_t *f, uint32_t i)
{
    flow_out_t out = {.kind = FLOW_OUT_LINK};

    out.link.data_centre = f->data_centre_of[i].name;
    out.link.cut = f->data_centre_of[i].cut;
    f->spec.emit(f->spec.arg, &out);
}

static void
update_links(flowset_t *f, ms_t now)
{
    ms_t period = f->pressing_from == MS_NEVER ? LOAD_SLOW_PERIOD_MS
                                               : LOAD_FAST_PERIOD_MS;

    for (uint32_t i = 1; i < f->n_data_centres; i++) {
        data_centre_t *d = &f->data_centre_of[i];
        const load_data_centre_t *sum = load_view_find(f->view, d->id);
        bool cut;
        if (sum != NULL) {
            place_link_sum_heard(&d->link, f->view_at - sum->age_ms);
        }
        cut = place_link_is_cut(&d->link, now, period);
        if (cut != d->cut) {
            d->cut = cut;
            emit_link(f, i);
        }
    }
}

/* ---- The plan between data centres, and admission ---- */

/* Counts the slots of each data centre's usable upstreams, by health. */
static void
weigh_pools(const flowset_t *f, ms_t now, service_t *s)
{
    shared_t *x = s->shared;
    ms_t period =
        LOAD_FAST_PERIOD_MS + (s->local.n + s->remote.n) / UPSTREAMS_PER_MS;

    if (x->weighed_at != 0 && now - x->weighed_at < period) {
        return;
    }
    x->weighed_at = now;
    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        pool_t *p = &x->pool[i];
        p->slots = 0;
        for (uint32_t k = 0; k < p->n; k++) {
            const upstream_t *u = p->up[k];
            if (u->usable && now >= u->down_until) {
                p->slots +=
                    u->a.slots * place_health_weight(&u->health, now, true);
            }
        }
    }
}

static double
sum_of(const float rate[LOAD_PRIORITIES])
{
    double sum = 0;

    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        sum += rate[i];
    }
    return sum;
}

/* The plan places what is admitted: where more is asked for, flows that are
 * refused and retried would count several times. */
static void
add_demand(const service_t *s, const load_service_t *row, admit_demand_t *d,
           double *demand)
{
    double opened = sum_of(row->opened), refused = sum_of(row->refused);

    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        d->opened[i] = row->opened[i];
    }
    /* Each admitted flow has begun with a request. */
    d->bound = row->requests - (opened - refused);
    d->bound = d->bound > 0 ? d->bound : 0;
    *demand = row->requests + (s->shared->admit.in_force ? 0 : refused);
}

/* What all data centres that can be reached ask for and can run. */
typedef struct {
    admit_load_t admit;
    place_dc_t dc[DATA_CENTRES_MAX];
    capacity_sample_t sample;
} inputs_t;

/* The data centres whose flows the operators keep away from data centre TO,
 * one bit each. */
static uint32_t
closed_to(const flowset_t *f, const service_t *s, uint32_t to)
{
    uint32_t closed = 0;

    for (uint32_t i = 0; f->in_force != 0 && i < f->n_data_centres; i++) {
        if (requests_forbid(&f->requests, f->wall_ms, s->name,
                            f->data_centre_of[i].name,
                            f->data_centre_of[to].name)) {
            closed |= 1U << i;
        }
    }
    return closed;
}

static void
add_data_centre(const flowset_t *f, ms_t now, const service_t *s, uint32_t i,
                inputs_t *in)
{
    const data_centre_t *d = &f->data_centre_of[i];
    const load_service_t *row = view_row(f, now, i, s);
    const pool_t *pool = &s->shared->pool[i];
    bool recent = !d->cut && view_sum(f, now, i) != NULL;

    in->dc[i] = (place_dc_t){
        .capacity = capacity_of(&s->shared->capacity, pool->slots),
        .link_share = i == OWN_DATA_CENTRE ? 1
                      : recent             ? place_link_share(&d->link, now)
                                           : 0,
        .closed_to = pool->slots > 0 ? closed_to(f, s, i) : UINT32_MAX};
    if (row != NULL) {
        add_demand(s, row, &in->admit.dc[i], &in->dc[i].demand);
        in->sample.timed += row->timed;
        in->sample.answer_ms += row->answer_ms;
        in->sample.answered += row->answered;
        in->sample.in_flight += row->in_flight;
    }
    if (recent) {
        ms_t age = load_view_find(f->view, d->id)->age_ms + now - f->view_at;
        in->admit.age_ms = age > in->admit.age_ms ? age : in->admit.age_ms;
        in->sample.slots += pool->slots;
        in->admit.capacity += in->dc[i].capacity;
    }
}

static void
emit_admission(flowset_t *f, const service_t *s, const inputs_t *in)
{
    flow_out_t out = {.kind = FLOW_OUT_ADMISSION};

    out.admission.service = s->name;
    out.admission.in_force = s->shared->admit.in_force;
    memcpy(out.admission.share, s->shared->admit.share,
           sizeof(out.admission.share));
    out.admission.capacity = in->admit.capacity;
    out.admission.in_flight = in->admit.in_flight;
    out.admission.slots = in->admit.slots;
    for (uint32_t i = 0; i < in->admit.n; i++) {
        out.admission.demand += in->dc[i].demand;
    }
    f->spec.emit(f->spec.arg, &out);
}

static bool
is_busy(const flowset_t *f, ms_t now, const service_t *s)
{
    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        const load_service_t *row = view_row(f, now, i, s);
        if (row != NULL &&
            row->in_flight > BUSY_LOAD * s->shared->pool[i].slots) {
            return true;
        }
    }
    return s->shared->plan.spilling || s->shared->admit.in_force;
}

/* The slots of slow upstreams count by their weight, and their response times
 * must not count a second time. */
static void
leave_out_outliers(const flowset_t *f, ms_t now, const service_t *s,
                   capacity_sample_t *all)
{
    const double per_s = 1000.0 / LOAD_WINDOW_MS;

    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        const load_sum_t *sum = view_sum(f, now, i);
        for (uint32_t k = 0; sum != NULL && k < sum->n_upstreams; k++) {
            const load_upstream_t *row = &sum->upstream[k];
            const upstream_t *u = upstream_by_id(f, row->upstream);
            if (u != NULL && u->service == s && !list_empty(&u->outlier)) {
                all->timed -= row->timed * per_s;
                all->answer_ms -= row->answer_ms * per_s;
            }
        }
    }
    if (all->timed < 0 || all->answer_ms < 0) {
        all->timed = all->answer_ms = 0;
    }
}

static void
decide_service(flowset_t *f, ms_t now, service_t *s)
{
    shared_t *x = s->shared;
    inputs_t in = {.admit = {.n = f->n_data_centres}};
    admit_rules_t rules = {0};

    weigh_pools(f, now, s);
    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        add_data_centre(f, now, s, i, &in);
    }
    leave_out_outliers(f, now, s, &in.sample);
    in.admit.in_flight = in.sample.in_flight;
    in.admit.slots = in.sample.slots;
    if (view_sum(f, now, OWN_DATA_CENTRE) == NULL) {
        admit_expire(&x->admit);
        return;
    }
    capacity_update(&x->capacity, now, &in.sample);
    place_plan_update(&x->plan, now, in.dc, f->n_data_centres,
                      OWN_DATA_CENTRE);
    if (f->in_force != 0) {
        requests_admit_rules(&f->requests, f->wall_ms, s->name, f->data_centre,
                             &rules);
    }
    admit_update(&x->admit, now, &in.admit, &rules);
    x->is_busy = is_busy(f, now, s);
    if (x->admit.in_force != x->is_admitting) {
        x->is_admitting = x->admit.in_force;
        emit_admission(f, s, &in);
    }
}

void
flowset_set_load(flowset_t *f, ms_t now, const load_view_t *view)
{
    if (f->view == NULL) {
        f->view = malloc(sizeof(*f->view));
        if (f->view == NULL) {
            return; /* decided as without sums */
        }
    }
    *f->view = *view;
    f->view_at = now;
    update_pressing(f, now);
    update_links(f, now);
    health_judge(f, now);
    LIST_EACH (it, &f->services) {
        service_t *s = CONTAINER_OF(it, service_t, link);
        if (s->shared != NULL) {
            decide_service(f, now, s);
        }
    }
}
