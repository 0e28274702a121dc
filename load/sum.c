/* Sums of load: see load.h. */
#include "load/message.h"

#include <string.h>

/* Responses that one instance's finding that an upstream is down counts for,
 * and time in responses that counts for one: that of slow ones is long. */
#define DOWN_RANK 10
#define MS_RANK 100

uint64_t
load_name_id(const char *name)
{
    return hash64(name, strlen(name), 0);
}

float
load_upstream_rank(const load_upstream_t *u)
{
    return u->answers + u->failed + u->answer_ms / MS_RANK +
           DOWN_RANK * u->down;
}

static load_service_t *
find_service(load_sum_t *s, uint64_t id)
{
    for (uint32_t i = 0; i < s->n_services; i++) {
        if (s->service[i].service == id) {
            return &s->service[i];
        }
    }
    return NULL;
}

static load_upstream_t *
find_upstream(load_sum_t *s, uint64_t id)
{
    for (uint32_t i = 0; i < s->n_upstreams; i++) {
        if (s->upstream[i].upstream == id) {
            return &s->upstream[i];
        }
    }
    return NULL;
}

/* Returns the place of a further service: at the end, or of the service with
 * the fewest requests if it has fewer than REQUESTS; else NULL. */
static load_service_t *
place_service(load_sum_t *s, float requests)
{
    load_service_t *least = &s->service[0];

    if (s->n_services < LOAD_SERVICES_MAX) {
        return &s->service[s->n_services++];
    }
    for (uint32_t i = 1; i < s->n_services; i++) {
        if (s->service[i].requests < least->requests) {
            least = &s->service[i];
        }
    }
    return least->requests < requests ? least : NULL;
}

static load_upstream_t *
place_upstream(load_sum_t *s, float rank)
{
    load_upstream_t *least = &s->upstream[0];

    if (s->n_upstreams < LOAD_UPSTREAMS_MAX) {
        return &s->upstream[s->n_upstreams++];
    }
    for (uint32_t i = 1; i < s->n_upstreams; i++) {
        if (load_upstream_rank(&s->upstream[i]) < load_upstream_rank(least)) {
            least = &s->upstream[i];
        }
    }
    return load_upstream_rank(least) < rank ? least : NULL;
}

static void
add_service(load_sum_t *to, const load_service_t *from)
{
    load_service_t *s = find_service(to, from->service);

    if (s == NULL) {
        s = place_service(to, from->requests);
        if (s != NULL) {
            *s = *from;
        }
        return;
    }
    for (size_t i = 0; i < LOAD_SERVICE_VALUES; i++) {
        *load_service_value(s, i) +=
            *load_service_value((load_service_t *)from, i);
    }
}

static void
add_upstream(load_sum_t *to, const load_upstream_t *from)
{
    load_upstream_t *u = find_upstream(to, from->upstream);

    if (u == NULL) {
        u = place_upstream(to, load_upstream_rank(from));
        if (u != NULL) {
            *u = *from;
        }
        return;
    }
    u->answers += from->answers;
    u->failed += from->failed;
    u->answer_ms += from->answer_ms;
    u->timed += from->timed;
    u->down += from->down;
}

void
load_sum_add(load_sum_t *to, const load_sum_t *from)
{
    to->instances += from->instances;
    to->pressing = to->pressing || from->pressing;
    for (uint32_t i = 0; i < from->n_services; i++) {
        add_service(to, &from->service[i]);
    }
    for (uint32_t i = 0; i < from->n_upstreams; i++) {
        add_upstream(to, &from->upstream[i]);
    }
}

const load_service_t *
load_sum_service(const load_sum_t *s, uint64_t service)
{
    return find_service((load_sum_t *)s, service);
}

const load_data_centre_t *
load_view_find(const load_view_t *v, uint64_t data_centre)
{
    for (uint32_t i = 0; i < v->n; i++) {
        if (v->dc[i].data_centre == data_centre) {
            return &v->dc[i];
        }
    }
    return NULL;
}
