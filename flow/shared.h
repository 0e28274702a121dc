/* Shared load in flow/: what an instance measures of the services whose load
 * is shared, and what it decides from the sums over all instances.  Part of
 * state.h. */
#ifndef SISKIN_FLOW_SHARED_H
#define SISKIN_FLOW_SHARED_H

#include "admit/admit.h"
#include "load/capacity.h"
#include "load/load.h"
#include "load/meter.h"
#include "place/place.h"

/* Data centres that are counted apart; the upstreams of further ones are
 * chosen as if no load were shared. */
#define DATA_CENTRES_MAX PLACE_DATA_CENTRES_MAX
#define NO_DATA_CENTRE UINT32_MAX

/* Index of this instance's own data centre. */
#define OWN_DATA_CENTRE 0

typedef struct {
    char name[FLOW_NAME_LEN];
    uint64_t id; /* load_name_id() */
    place_link_t link;
    bool cut; /* by LINK, when last checked */
} data_centre_t;

/* How a response was acknowledged. */
typedef enum {
    ACK_AT_ONCE,     /* with the second segment, or at the end of the flow */
    ACK_DELAYED,     /* a single segment, on its own */
    ACK_WITH_REQUEST /* with the caller's next request, after a pause */
} ack_kind_t;

/* A running median of times, 1 ms added. */
typedef struct {
    double ms; /* 0: no sample yet */
    uint32_t n;
} median_t;

/* Response times of a service by acknowledgement. */
typedef struct {
    median_t at_once, delayed;
} ack_delay_t;

/* Rates of this instance's callers and requests, as in load_service_t. */
typedef struct {
    meter_t opened[LOAD_PRIORITIES], refused[LOAD_PRIORITIES];
    meter_t requests, answered, late, answer_ms, timed, failed, remote;
    meter_t usual;   /* flows opened, over USUAL_WINDOW_MS */
    meter_t delayed; /* responses of ACK_DELAYED */
} service_meters_t;

/* The upstreams of a service in one data centre that are offered to new
 * flows. */
typedef struct {
    struct upstream **up;
    uint32_t n;
    size_t cap;
    double slots; /* of the usable ones, by health */
} pool_t;

/* A service whose load is shared. */
typedef struct shared {
    service_meters_t meter;
    ack_delay_t ack_delay;
    median_t usual; /* response times, without delays */
    capacity_t capacity;
    admit_t admit;
    bool is_admitting; /* ADMIT is in force, for the log */
    bool is_busy;      /* decisions need sums of recent age */
    place_plan_t plan;
    pool_t pool[DATA_CENTRES_MAX];
    ms_t weighed_at; /* last count of the pools' slots */
} shared_t;

/* Responses of one upstream seen here, decaying over LOAD_WINDOW_MS. */
typedef struct {
    float answers, failed, answer_ms, timed; /* as in load_upstream_t */
    ms_t at;
} sample_t;

/* The class in which requests of PRIORITY are counted. */
static inline uint32_t
priority_class(uint32_t priority)
{
    return priority < LOAD_PRIORITIES ? priority : LOAD_PRIORITIES - 1;
}

#endif
