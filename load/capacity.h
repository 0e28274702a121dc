/* Capacity of a service: how many requests a second its slots can run.
 *
 * The time of a request with free slots is learnt while slots are free, from
 * sums of response times over all instances; under load it is held, since
 * response times then contain time in queues.  Under load the rate of
 * responses shows what the slots run. */
#ifndef SISKIN_LOAD_CAPACITY_H
#define SISKIN_LOAD_CAPACITY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    double request_ms; /* time of a request with free slots; 0: not known */
    ms_t updated_at;
    ms_t busy_ms; /* time for which all slots have been busy */
    ms_t free_ms; /* time for which slots have been free */
    double slots; /* when they last changed clearly, at CHANGED_AT */
    ms_t changed_at;
} capacity_t;

/* What all instances together saw of a service. */
typedef struct {
    double timed, answer_ms; /* as in load_service_t */
    double answered;         /* responses a second */
    double in_flight;
    double slots; /* of the usable upstreams */
} capacity_sample_t;

/* The initial state is all zero. */
void capacity_update(capacity_t *c, ms_t now, const capacity_sample_t *s);
/* Requests a second that SLOTS can run; 0: not known. */
double capacity_of(const capacity_t *c, double slots);

#ifdef __cplusplus
}
#endif

#endif
