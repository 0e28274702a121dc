/* What an instance measures of the services whose load is shared: rates of
 * openings, requests and responses, and the responses of each upstream. */
#include "flow/state.h"

#include <math.h>
#include <stdlib.h>

/* Rates and requests in flight of a service, in all, below which it is left
 * out of a report. */
#define REPORTED_MIN 0.05
/* Decay of the rates: their samples have the mean age of a window of
 * LOAD_WINDOW_MS. */
#define RATE_DECAY_MS (LOAD_WINDOW_MS / 2)
/* A burst: so many times the usual openings in RATE_DECAY_MS, so many
 * standard deviations and so many flows more. */
#define BURST_FACTOR 2
#define BURST_DEVIATIONS 3
#define BURST_MIN 2
/* An upstream looks slow from here above this multiple of the median response
 * time of its service, failing from this decayed number of failed responses.
 */
#define SUSPECT_SLOW_FACTOR 2.5
#define SUSPECT_FAILED_MIN 0.5
/* Late or failed responses in RATE_DECAY_MS, and upstreams that look slow or
 * failing, from which an instance asks for recent sums: single ones are common
 * where some requests take long by nature. */
#define PRESSING_RESPONSES 2
#define PRESSING_UPSTREAMS 4
/* Window of the usual rate of openings, with which a burst is compared. */
#define USUAL_WINDOW_MS 10000
/* Routes whose usual response length is learnt. */
#define ROUTES_LEARNT_MAX 20000
/* Longest request whose response time is that of the upstream: the time of a
 * longer one depends on the caller's link too. */
#define TIMED_REQUEST_MAX 1200

/* The usual length of a route's responses, kept across versions. */
typedef struct {
    entry_t by_addr;
    link_t link; /* flowset_t.lengths */
    addr_t route;
    place_length_t length;
} route_length_t;

static void
count(meter_t *m, ms_t now, double x)
{
    meter_add(m, now, RATE_DECAY_MS, x);
}

void
measure_opening(service_t *s, ms_t now, uint32_t priority)
{
    service_meters_t *m = &s->shared->meter;

    count(&m->opened[priority_class(priority)], now, 1);
    meter_add(&m->usual, now, USUAL_WINDOW_MS, 1);
}

void
measure_refusal(service_t *s, ms_t now, uint32_t priority)
{
    count(&s->shared->meter.refused[priority_class(priority)], now, 1);
}

void
measure_remote(service_t *s, ms_t now)
{
    count(&s->shared->meter.remote, now, 1);
}

void
measure_request(service_t *s, ms_t now)
{
    if (s->shared != NULL) {
        count(&s->shared->meter.requests, now, 1);
    }
}

/* ---- Lengths of responses ---- */

static route_length_t *
length_of(flowset_t *f, const addr_t *route)
{
    uint64_t hash = hash64(route->ip, sizeof(route->ip), route->port);
    route_length_t *r;

    INDEX_EACH (it, &f->by_route, hash) {
        r = CONTAINER_OF(it, route_length_t, by_addr.link);
        if (addr_eq(&r->route, route)) {
            return r;
        }
    }
    r = f->n_lengths < ROUTES_LEARNT_MAX ? calloc(1, sizeof(*r)) : NULL;
    if (r != NULL) {
        r->route = *route;
        list_append(&f->lengths, &r->link);
        index_add(&f->by_route, &r->by_addr, hash);
        f->n_lengths++;
    }
    return r;
}

void
measure_free(flowset_t *f)
{
    LIST_EACH (it, &f->lengths) {
        free(CONTAINER_OF(it, route_length_t, link));
    }
    index_free(&f->by_route);
}

/* Without memory no response counts as short. */
static bool
is_short(flowset_t *f, const addr_t *route, uint32_t bytes)
{
    route_length_t *r = length_of(f, route);

    return r != NULL && place_length_is_short(&r->length, bytes);
}

/* ---- Responses ---- */

static void
decay(sample_t *s, ms_t now)
{
    float factor;

    if (now <= s->at) {
        return;
    }
    factor = expf(-(float)(now - s->at) / LOAD_WINDOW_MS);
    s->answers *= factor;
    s->failed *= factor;
    s->answer_ms *= factor;
    s->timed *= factor;
    s->at = now;
}

/* MS: below 0 if the time isn't known. */
static void
sample_response(flowset_t *f, ms_t now, upstream_t *u, bool failed, double ms)
{
    decay(&u->sample, now);
    u->sample.answers++;
    u->sample.failed += failed;
    if (ms >= 0) {
        u->sample.answer_ms += (float)ms;
        u->sample.timed++;
    }
    list_remove(&u->sampled);
    list_append(&f->sampled, &u->sampled);
}

static void
count_time(flowset_t *f, ms_t now, const record_t *r, double ms)
{
    service_meters_t *m = &r->up->service->shared->meter;

    median_add(&r->up->service->shared->usual, ms);
    count(&m->answer_ms, now, ms);
    count(&m->timed, now, 1);
    if (r->goal_ms > 0 && ms > (double)r->goal_ms) {
        count(&m->late, now, 1);
    }
    hist_add(&f->stats.answer_by_priority[priority_class(r->priority)],
             (uint64_t)ms);
}

void
measure_response(flowset_t *f, ms_t now, const record_t *r, uint32_t bytes,
                 ack_kind_t kind)
{
    shared_t *s = r->up->service->shared;
    bool failed, is_long = r->seq_end - r->request_seq > TIMED_REQUEST_MAX;
    double ms = -1;

    if (s == NULL) {
        return;
    }
    failed = is_short(f, &r->service, bytes);
    if (!failed && !is_long) {
        ms = ack_response_ms(&s->ack_delay, kind,
                             (double)(now - r->request_at));
    }
    sample_response(f, now, r->up, failed, ms);
    count(failed ? &s->meter.failed : &s->meter.answered, now, 1);
    if (kind == ACK_DELAYED) {
        count(&s->meter.delayed, now, 1);
    }
    if (ms >= 0) {
        count_time(f, now, r, ms);
    }
}

/* ---- The report ---- */

/* Requests in flight, without those whose acknowledgement is delayed. */
static double
in_flight(const service_t *s, ms_t now)
{
    const shared_t *x = s->shared;
    double n = s->local.limit.in_flight + s->remote.limit.in_flight;

    n -= meter_rate(&x->meter.delayed, now, RATE_DECAY_MS) *
         ack_delay(&x->ack_delay) / 1000;
    return n > 0 ? n : 0;
}

/* Fills the row of S; false if there is nothing to report. */
static bool
service_row(const service_t *s, ms_t now, load_service_t *row)
{
    const service_meters_t *m = &s->shared->meter;
    const meter_t *all[] = {&m->requests,  &m->answered, &m->late,  &m->failed,
                            &m->answer_ms, &m->timed,    &m->remote};
    float *rate[] = {&row->requests, &row->answered,  &row->late,
                     &row->failed,   &row->answer_ms, &row->timed,
                     &row->remote};
    double sum = 0;

    *row = (load_service_t){.service = s->load_id};
    for (size_t i = 0; i < sizeof(all) / sizeof(*all); i++) {
        *rate[i] = (float)meter_rate(all[i], now, RATE_DECAY_MS);
        sum += *rate[i];
    }
    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        row->opened[i] = (float)meter_rate(&m->opened[i], now, RATE_DECAY_MS);
        row->refused[i] =
            (float)meter_rate(&m->refused[i], now, RATE_DECAY_MS);
        sum += row->opened[i];
    }
    row->in_flight = (float)in_flight(s, now);
    return sum + row->in_flight > REPORTED_MIN;
}

/* Adds ROW; of more than LOAD_SERVICES_MAX those with the most requests stay.
 */
static void
add_row(load_sum_t *out, const load_service_t *row)
{
    load_service_t *least = &out->service[0];

    if (out->n_services < LOAD_SERVICES_MAX) {
        out->service[out->n_services++] = *row;
        return;
    }
    for (uint32_t i = 1; i < LOAD_SERVICES_MAX; i++) {
        if (out->service[i].requests < least->requests) {
            least = &out->service[i];
        }
    }
    if (row->requests > least->requests) {
        *least = *row;
    }
}

/* True if callers press suddenly: this instance alone sees far more than the
 * usual rate, beyond what chance would bring. */
static bool
is_burst(const service_t *s, ms_t now)
{
    const service_meters_t *m = &s->shared->meter;
    double n = 0;
    double usual =
        meter_rate(&m->usual, now, USUAL_WINDOW_MS) * RATE_DECAY_MS / 1000;

    for (int i = 0; i < LOAD_PRIORITIES; i++) {
        n += meter_sum(&m->opened[i], now, RATE_DECAY_MS);
    }
    return n >
           BURST_FACTOR * usual + BURST_DEVIATIONS * sqrt(usual) + BURST_MIN;
}

/* True if decisions on S need sums of recent age. */
static bool
is_pressing(const service_t *s, ms_t now)
{
    const service_meters_t *m = &s->shared->meter;

    return s->shared->is_busy || is_burst(s, now) ||
           meter_sum(&m->late, now, RATE_DECAY_MS) >= PRESSING_RESPONSES ||
           meter_sum(&m->failed, now, RATE_DECAY_MS) >= PRESSING_RESPONSES;
}

/* True if U looks slow or failing from here. */
static bool
looks_bad(const upstream_t *u)
{
    const sample_t *s = &u->sample;
    double usual = u->service->shared->usual.ms;

    return s->failed > SUSPECT_FAILED_MIN ||
           (s->timed > 0 && usual > 0 &&
            s->answer_ms / s->timed > SUSPECT_SLOW_FACTOR * usual);
}

/* Adds what was seen of U, which may be nothing. */
static load_upstream_t *
add_upstream(load_sum_t *out, ms_t now, const upstream_t *u)
{
    sample_t s = u->sample;

    decay(&s, now);
    out->upstream[out->n_upstreams] =
        (load_upstream_t){.upstream = u->a.id,
                          .answers = s.answers,
                          .failed = s.failed,
                          .answer_ms = s.answer_ms,
                          .timed = s.timed};
    return &out->upstream[out->n_upstreams++];
}

/* Adds the upstreams that have ended but are still announced; returns their
 * number. */
static uint32_t
add_down(const flowset_t *f, ms_t now, load_sum_t *out)
{
    for (link_t *it = f->down.prev;
         it != &f->down && out->n_upstreams < LOAD_UPSTREAMS_MAX;
         it = it->prev) {
        const upstream_t *u = CONTAINER_OF(it, upstream_t, down);
        if (u->listed && u->service->shared != NULL) {
            add_upstream(out, now, u)->down = 1;
        }
    }
    return out->n_upstreams;
}

/* Adds the upstreams that look bad, or are outliers: of these, all responses
 * are reported, so that they show when one is well again.  Returns how many
 * look bad. */
static uint32_t
add_bad(const flowset_t *f, ms_t now, load_sum_t *out)
{
    uint32_t n = 0;

    for (link_t *it = f->sampled.prev;
         it != &f->sampled && out->n_upstreams < LOAD_UPSTREAMS_MAX;
         it = it->prev) {
        upstream_t *u = CONTAINER_OF(it, upstream_t, sampled);
        if (now - u->sample.at > LOAD_WINDOW_MS) {
            break;
        }
        if (u->reach == REACH_DEAD) {
            continue; /* added as down */
        }
        n += looks_bad(u);
        if (looks_bad(u) || !list_empty(&u->outlier)) {
            add_upstream(out, now, u);
        }
    }
    return n;
}

void
flowset_load_report(flowset_t *f, ms_t now, load_sum_t *out)
{
    load_service_t row;

    *out = (load_sum_t){.instances = 1};
    LIST_EACH (it, &f->services) {
        const service_t *s = CONTAINER_OF(it, service_t, link);
        if (s->shared != NULL && service_row(s, now, &row)) {
            add_row(out, &row);
            out->pressing = out->pressing || is_pressing(s, now);
        }
    }
    out->pressing = add_down(f, now, out) > 0 || out->pressing ||
                    !list_empty(&f->outliers);
    out->pressing =
        add_bad(f, now, out) >= PRESSING_UPSTREAMS || out->pressing;
}
