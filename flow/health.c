/* Judges upstreams by the responses that all instances saw.
 *
 * Load: a part of a service's upstreams is slow, fails or has ended, and one
 * instance gets a response of each only every few seconds. */
#include "flow/state.h"

/* Other instances that found an upstream down, from which it is passed over,
 * and for how long: an instance whose own way to it is harmed proves nothing.
 */
#define DOWN_MIN 2
#define DOWN_MS 500
/* Multiple of the request time with free slots from which the median response
 * time shows queues at most upstreams. */
#define CROWDED_FACTOR 2.5
/* Upstreams with samples that are judged at a time. */
#define JUDGED_MAX 128
/* Weight below which an upstream without a verdict counts as an outlier. */
#define SUSPECT_WEIGHT 0.5

typedef struct {
    upstream_t *up;
    place_sample_t sample;
} judged_t;

typedef struct {
    uint32_t n;
    judged_t up[JUDGED_MAX];
} judged_set_t;

static judged_t *
judged_find(judged_set_t *set, upstream_t *u)
{
    for (uint32_t i = 0; i < set->n; i++) {
        if (set->up[i].up == u) {
            return &set->up[i];
        }
    }
    if (set->n == JUDGED_MAX) {
        return NULL;
    }
    set->up[set->n] = (judged_t){.up = u};
    return &set->up[set->n++];
}

/* Adds up the responses of each upstream over the data centres. */
static void
gather_samples(flowset_t *f, ms_t now, judged_set_t *set)
{
    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        const load_sum_t *sum = view_sum(f, now, i);
        for (uint32_t k = 0; sum != NULL && k < sum->n_upstreams; k++) {
            const load_upstream_t *from = &sum->upstream[k];
            upstream_t *u = upstream_by_id(f, from->upstream);
            judged_t *to = u != NULL && u->service->shared != NULL
                               ? judged_find(set, u)
                               : NULL;
            if (to != NULL) {
                if (from->down >= DOWN_MIN && u->reach != REACH_DEAD) {
                    u->down_until = now + DOWN_MS;
                }
                to->sample.answers += from->answers;
                to->sample.failed += from->failed;
                to->sample.answer_ms += from->answer_ms;
                to->sample.timed += from->timed;
            }
        }
    }
    /* Outliers without a sample come back step by step. */
    LIST_EACH (it, &f->outliers) {
        judged_find(set, CONTAINER_OF(it, upstream_t, outlier));
    }
}

static void
emit_health(flowset_t *f, const upstream_t *u, place_state_t from,
            const place_sample_t *sample, const place_usual_t *usual)
{
    flow_out_t out = {.kind = FLOW_OUT_HEALTH, .upstream = u->a.id};

    out.health.from = from;
    out.health.to = u->health.state;
    out.health.service = u->a.service;
    out.health.data_centre = u->a.data_centre;
    out.health.answers = sample->answers;
    out.health.failed = sample->failed;
    out.health.answer_ms =
        sample->timed > 0 ? sample->answer_ms / sample->timed : 0;
    out.health.usual_ms = usual->answer_ms;
    f->spec.emit(f->spec.arg, &out);
}

static void
judge(flowset_t *f, ms_t now, const judged_t *j, const place_usual_t *usual)
{
    upstream_t *u = j->up;
    place_state_t from = u->health.state;

    place_health_update(&u->health, now, &j->sample, usual->answer_ms,
                        usual->failed);
    list_remove(&u->outlier);
    if (u->health.state != PLACE_WELL ||
        place_health_weight(&u->health, now, false) < SUSPECT_WEIGHT) {
        list_append(&f->outliers, &u->outlier);
    }
    if (u->health.state == from) {
        return;
    }
    emit_health(f, u, from, &j->sample, usual);
}

/* Rates a second as counts in LOAD_WINDOW_MS. */
static place_sample_t
counts_of(const load_service_t *row)
{
    const double per_window = LOAD_WINDOW_MS / 1000.0;

    return (place_sample_t){.answers =
                                (row->answered + row->failed) * per_window,
                            .failed = row->failed * per_window,
                            .answer_ms = row->answer_ms * per_window,
                            .timed = row->timed * per_window};
}

static void
add_sample(place_sample_t *to, const place_sample_t *from)
{
    to->answers += from->answers;
    to->failed += from->failed;
    to->answer_ms += from->answer_ms;
    to->timed += from->timed;
}

static place_sample_t
service_sample(const flowset_t *f, ms_t now, const service_t *s)
{
    place_sample_t all = {0}, part;

    for (uint32_t i = 0; i < f->n_data_centres; i++) {
        const load_service_t *row = view_row(f, now, i, s);
        if (row != NULL) {
            part = counts_of(row);
            add_sample(&all, &part);
        }
    }
    return all;
}

/* Completes the sample of an upstream that was well: instances report it only
 * if they saw a bad response, so that its other responses are missing.  It is
 * taken to have as many as the others of its data centre. */
static void
complete_sample(const flowset_t *f, ms_t now, judged_t *j)
{
    const upstream_t *u = j->up;
    uint32_t dc = u->data_centre;
    const load_service_t *row;
    place_sample_t usual;
    double missing;

    if (!list_empty(&u->outlier) || dc == NO_DATA_CENTRE ||
        u->service->shared->pool[dc].n == 0 ||
        (row = view_row(f, now, dc, u->service)) == NULL) {
        return;
    }
    usual = counts_of(row);
    missing =
        usual.answers / u->service->shared->pool[dc].n - j->sample.answers;
    if (missing > 0 && usual.timed > 0) {
        double timed = missing * usual.timed / usual.answers;
        j->sample.answers += missing;
        j->sample.timed += timed;
        j->sample.answer_ms += timed * u->service->shared->usual.ms;
    }
}

/* True if the upstreams of S are overloaded: their queues make all responses
 * slow, and they reject some, which says nothing about single upstreams. */
static bool
is_crowded(const service_t *s)
{
    return s->shared->admit.in_force ||
           s->shared->usual.ms >
               CROWDED_FACTOR * s->shared->capacity.request_ms;
}

static void
judge_service(flowset_t *f, ms_t now, const service_t *s, judged_set_t *set)
{
    place_sample_t all = service_sample(f, now, s), sample[JUDGED_MAX];
    place_health_t *health[JUDGED_MAX];
    place_usual_t usual;
    uint32_t n = 0;

    for (uint32_t i = 0; i < set->n; i++) {
        if (set->up[i].up->service == s) {
            complete_sample(f, now, &set->up[i]);
            sample[n] = set->up[i].sample;
            health[n++] = &set->up[i].up->health;
        }
    }
    if (n == 0) {
        return;
    }
    usual = place_usual(&all, sample, n);
    for (uint32_t i = 0; i < set->n; i++) {
        const upstream_t *u = set->up[i].up;
        if (u->service == s && (!list_empty(&u->outlier) || !is_crowded(s))) {
            judge(f, now, &set->up[i], &usual);
        }
    }
    place_outliers_bound(health, n, s->local.n + s->remote.n);
}

void
health_judge(flowset_t *f, ms_t now)
{
    static const judged_set_t empty;
    judged_set_t set = empty;

    gather_samples(f, now, &set);
    LIST_EACH (it, &f->services) {
        const service_t *s = CONTAINER_OF(it, service_t, link);
        if (s->shared != NULL && set.n > 0) {
            judge_service(f, now, s, &set);
        }
    }
}
