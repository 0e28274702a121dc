/* Metrics, status and the page /load of shared load. */
#include "tagged/tagged.h"

#include <jansson.h>
#include <stdlib.h>

static const char *const sharing_names[] = {
    [FLOW_SHARE_NONE] = "none",
    [FLOW_SHARE_PATIENT] = "patient",
    [FLOW_SHARE_ALL] = "all",
};

/* Returns a copy on the heap, with the ages of the sums at this time; NULL
 * without memory. */
static load_exchange_t *
copy_exchange(tagged_t *t)
{
    load_exchange_t *x = malloc(sizeof(*x));

    if (x == NULL) {
        return NULL;
    }
    pthread_mutex_lock(&t->load.lock);
    *x = t->load;
    pthread_mutex_unlock(&t->load.lock);
    for (uint32_t i = 0; i < x->view.n; i++) {
        x->view.dc[i].age_ms += clock_now() - x->view_at;
    }
    return x;
}

/* The name of a data centre or service, or its id as text in BUF. */
static const char *
name_of(const load_exchange_t *x, uint64_t id, char buf[20])
{
    const char *name = load_exchange_name(x, id);

    if (name == NULL) {
        snprintf(buf, 20, "%016llx", (unsigned long long)id);
    }
    return name != NULL ? name : buf;
}

static ms_t
oldest_age(const load_view_t *v)
{
    ms_t age = 0;

    for (uint32_t i = 0; i < v->n; i++) {
        age = v->dc[i].age_ms > age ? v->dc[i].age_ms : age;
    }
    return age;
}

static uint32_t
count_instances(const load_view_t *v)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < v->n; i++) {
        n += v->dc[i].sum.instances;
    }
    return n;
}

static void
data_centre_metrics(FILE *f, const load_exchange_t *x)
{
    char buf[20];

    fprintf(f, "# TYPE siskin_load_age_milliseconds gauge\n");
    for (uint32_t i = 0; i < x->view.n; i++) {
        const load_data_centre_t *dc = &x->view.dc[i];
        fprintf(f, "siskin_load_age_milliseconds{data_centre=\"%s\"} %lld\n",
                name_of(x, dc->data_centre, buf), (long long)dc->age_ms);
    }
    fprintf(f, "# TYPE siskin_load_instances gauge\n");
    for (uint32_t i = 0; i < x->view.n; i++) {
        const load_data_centre_t *dc = &x->view.dc[i];
        fprintf(f, "siskin_load_instances{data_centre=\"%s\"} %u\n",
                name_of(x, dc->data_centre, buf), dc->sum.instances);
    }
}

void
load_metrics(FILE *f, tagged_t *t)
{
    load_exchange_t *x;

    if (t->sharing == FLOW_SHARE_NONE || (x = copy_exchange(t)) == NULL) {
        return;
    }
    metric_print(f, "counter", "siskin_load_reports_sent_total",
                 x->stats.sent);
    metric_print(f, "counter", "siskin_load_reports_received_total",
                 x->stats.received);
    metric_print(f, "counter", "siskin_load_reports_ignored_total",
                 x->stats.ignored);
    metric_print(f, "counter", "siskin_load_reports_malformed_total",
                 x->stats.malformed);
    metric_print(f, "counter", "siskin_load_bytes_sent_total",
                 x->stats.bytes_sent);
    metric_print(f, "counter", "siskin_load_send_failed_total",
                 counter_read(&t->count.load_send_failed));
    metric_print(f, "gauge", "siskin_load_children", x->stats.children);
    metric_print(f, "gauge", "siskin_load_pressing", x->stats.pressing);
    metric_print(f, "gauge", "siskin_load_oldest_age_milliseconds",
                 (uint64_t)oldest_age(&x->view));
    data_centre_metrics(f, x);
    free(x);
}

struct json_t *
load_status(tagged_t *t)
{
    load_exchange_t *x = copy_exchange(t);
    json_t *o = NULL;

    if (x != NULL) {
        o = json_pack("{ss sb sI sI sI sI}", "sharing",
                      sharing_names[t->sharing], "pressing", x->stats.pressing,
                      "children", (json_int_t)x->stats.children,
                      "data_centres", (json_int_t)x->view.n, "instances",
                      (json_int_t)count_instances(&x->view), "age_ms",
                      (json_int_t)oldest_age(&x->view));
    }
    free(x);
    return o;
}

static json_t *
priorities(const float value[LOAD_PRIORITIES])
{
    json_t *a = json_array();

    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        json_array_append_new(a, json_real(value[i]));
    }
    return a;
}

static json_t *
service_row(const load_exchange_t *x, const load_data_centre_t *dc,
            const load_service_t *s)
{
    char service[20], name[20];
    double answer_ms = s->timed > 0 ? s->answer_ms / s->timed : 0;

    return json_pack(
        "{ss ss sI sI so so sf sf sf sf sf sf}", "service",
        name_of(x, s->service, service), "data_centre",
        name_of(x, dc->data_centre, name), "instances",
        (json_int_t)dc->sum.instances, "age_ms", (json_int_t)dc->age_ms,
        "opened", priorities(s->opened), "refused", priorities(s->refused),
        "requests", (double)s->requests, "answered", (double)s->answered,
        "late", (double)s->late, "failed", (double)s->failed, "in_flight",
        (double)s->in_flight, "answer_ms", answer_ms);
}

/* ---- Decisions of packets ---- */

/* Returns a copy on the heap; NULL without memory. */
static flow_load_status_t *
copy_status(tagged_t *t)
{
    flow_load_status_t *s = malloc(sizeof(*s));

    if (s != NULL) {
        pthread_mutex_lock(&t->stats_lock);
        *s = t->load_status;
        pthread_mutex_unlock(&t->stats_lock);
    }
    return s;
}

static bool
any_in_force(const flow_load_status_t *s)
{
    for (uint32_t i = 0; i < s->n_services; i++) {
        if (s->service[i].in_force) {
            return true;
        }
    }
    return false;
}

static json_t *
admission_rows(const flow_load_status_t *s)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < s->n_services; i++) {
        const flow_service_status_t *v = &s->service[i];
        json_t *admitted = json_array();
        for (int k = 0; k < LOAD_PRIORITIES; k++) {
            json_array_append_new(admitted, json_real(v->admitted[k]));
        }
        json_array_append_new(rows,
                              json_pack("{ss sb so sf}", "service", v->name,
                                        "in_force", v->in_force, "admitted",
                                        admitted, "capacity", v->capacity));
    }
    return rows;
}

static json_t *
plan_rows(const flow_load_status_t *s)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < s->n_services; i++) {
        const flow_service_status_t *v = &s->service[i];
        for (uint32_t k = 0; k < v->n_plan; k++) {
            json_array_append_new(rows, json_pack("{ss ss sf}", "service",
                                                  v->name, "data_centre",
                                                  v->plan[k].data_centre,
                                                  "share", v->plan[k].share));
        }
    }
    return rows;
}

static json_t *
outlier_rows(const flow_load_status_t *s)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < s->n_outliers; i++) {
        const flow_outlier_status_t *o = &s->outlier[i];
        char id[24];
        snprintf(id, sizeof(id), "%llx", (unsigned long long)o->upstream);
        json_array_append_new(rows, json_pack("{ss ss ss sf}", "upstream", id,
                                              "service", o->service, "state",
                                              place_state_name(o->state),
                                              "weight", o->weight));
    }
    return rows;
}

static json_t *
request_rows(const flow_load_status_t *s)
{
    json_t *rows = json_array();

    for (uint32_t i = 0; i < s->n_requests; i++) {
        const flow_request_status_t *r = &s->request[i];
        json_array_append_new(
            rows, json_pack("{ss ss ss sI}", "name", r->name, "kind",
                            request_kind_name(r->kind), "service", r->service,
                            "left_s", (json_int_t)(r->left_ms / 1000)));
    }
    return rows;
}

static void
add_decisions(tagged_t *t, json_t *root)
{
    flow_load_status_t *s = copy_status(t);

    if (s == NULL) {
        return;
    }
    json_object_set_new(root, "in_force", json_boolean(any_in_force(s)));
    json_object_set_new(root, "admission", admission_rows(s));
    json_object_set_new(root, "plan", plan_rows(s));
    json_object_set_new(root, "outliers", outlier_rows(s));
    json_object_set_new(root, "requests", request_rows(s));
    free(s);
}

/* ---- The page ---- */

/* {"sharing": "none", "patient" or "all",
 *  "data_centres": [{"data_centre": NAME, "instances": N, "age_ms": N}...],
 *  "services": [{"service": NAME, "data_centre": NAME, "instances": N,
 *      "age_ms": N, "opened": [flows a second, by priority],
 *      "refused": [the same, of these], "requests": a second, "answered": a
 *      second, "late": a second, "failed": a second, "in_flight": N,
 *      "answer_ms": mean}...],
 *  "in_force": some service is under admission,
 *  "admission": [{"service": NAME, "in_force": BOOL, "admitted": [share of
 *      new flows, by priority], "capacity": requests a second}...],
 *  "plan": [{"service": NAME, "data_centre": NAME, "share": of this data
 *      centre's new flows}...],
 *  "outliers": [{"upstream": ID, "service": NAME, "state": NAME, "weight":
 *      factor}...],
 *  "requests": [{"name": NAME, "kind": NAME, "service": NAME, "left_s":
 *      N}...]}
 * A service or data centre whose name isn't known has its id as name. */
char *
tagged_load(tagged_t *t)
{
    load_exchange_t *x = copy_exchange(t);
    json_t *centres = json_array(), *services = json_array(), *root;
    char name[20], *text;

    for (uint32_t i = 0; x != NULL && i < x->view.n; i++) {
        const load_data_centre_t *dc = &x->view.dc[i];
        json_array_append_new(
            centres, json_pack("{ss sI sI}", "data_centre",
                               name_of(x, dc->data_centre, name), "instances",
                               (json_int_t)dc->sum.instances, "age_ms",
                               (json_int_t)dc->age_ms));
        for (uint32_t k = 0; k < dc->sum.n_services; k++) {
            json_array_append_new(services,
                                  service_row(x, dc, &dc->sum.service[k]));
        }
    }
    free(x);
    root = json_pack("{ss so so}", "sharing", sharing_names[t->sharing],
                     "data_centres", centres, "services", services);
    if (t->sharing != FLOW_SHARE_NONE) {
        add_decisions(t, root);
    }
    text = json_dumps(root, JSON_INDENT(2));
    json_decref(root);
    return text;
}
