/* flow: forwarding decisions for services whose flows carry a tag.
 *
 * A tag is a number that both endpoints of a flow echo in each packet.  The
 * opening packet is given the tag of the selected upstream; each later packet
 * identifies its upstream by the tag.  Any instance can therefore forward any
 * packet, and instances share no per-flow state.  (QUIC-LB connection IDs and
 * SYN cookies work alike.)
 *
 * The module is pure: no sockets, threads, clocks or globals.  Time is passed
 * in with each call; actions are emitted through a callback.  The records of
 * flows serve only to judge the health and load of upstreams: losing them
 * breaks nothing.
 *
 * The files call downwards only; flow/state.h lists their layers. */
#ifndef SISKIN_FLOW_H
#define SISKIN_FLOW_H

#include "base/base.h"
#include "load/load.h"
#include "place/place.h"
#include "request/request.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLOW_NAME_LEN 64 /* service, route or data centre name + NUL */
#define FLOW_VERSION_LEN REQUEST_VERSION_LEN

/* ---- Configuration ---- */

/* A service that receives new flows of a route. */
typedef struct {
    char service[FLOW_NAME_LEN];
    uint32_t weight; /* share of the route's new flows; 0: none */
} flow_target_t;

/* An address that callers connect to. */
typedef struct {
    addr_t addr;
    char name[FLOW_NAME_LEN];
    bool idempotent;   /* requests are idempotent: callers may retry them */
    uint32_t priority; /* 0: most urgent */
    ms_t goal_ms;      /* response time objective; 0: not set */
    ms_t timeout_ms;   /* after which a caller gives up; 0: not set */
    uint32_t first_target; /* index of its first target */
    uint32_t n_targets;
} flow_route_t;

/* Load limits of a service's upstreams during slow start. */
typedef struct {
    char service[FLOW_NAME_LEN];
    double warm_up_per_s; /* new flows a second, from all instances; 0: not
                           * set */
} flow_service_t;

/* One version of the routes.  The arrays are heap-allocated. */
typedef struct {
    uint64_t version;
    ms_t idle_ms; /* idle timeout of a flow */
    uint32_t n_routes, n_targets, n_services;
    flow_route_t *routes;
    flow_target_t *targets;
    flow_service_t *services;
} flow_conf_t;

void flow_conf_free(flow_conf_t *c);

/* One incarnation of an upstream, as last announced. */
typedef struct {
    uint64_t revision; /* of the announcement: of two upstreams at one address
                        * the one with the later announcement is current */
    uint64_t id;       /* the low 32 bits are the tag */
    uint64_t entry;    /* identifies the store entry that announces it */
    addr_t addr;
    char service[FLOW_NAME_LEN];
    char data_centre[FLOW_NAME_LEN];
    char version[FLOW_VERSION_LEN]; /* of its software; "": not reported */
    uint32_t slots;                 /* concurrent requests, at least 1 */
    bool draining;      /* takes no new flows; open flows continue */
    ms_t warm_up_ms;    /* remaining slow start */
    int64_t started_ms; /* start of its process, by its own wall clock, which
                         * may jump; a change means that it holds none of its
                         * former flows.  0: not reported */
} flow_upstream_t;

/* ---- Packets ---- */

/* The fields of a caller's packet that decisions use. */
typedef struct {
    addr_t caller, service;
    bool opens, ends, resets; /* SYN, FIN, RST */
    uint32_t seq;             /* of the first data byte */
    uint32_t ack; /* next byte expected; in an opening packet: how many copies
                   * were sent before */
    uint32_t tag; /* last tag that the caller received; 0: none yet */
    uint16_t len; /* bytes of data */
    ms_t age_ms;  /* time from arrival until it was read */
} flow_packet_t;

typedef enum { FLOW_FORWARD, FLOW_RESET, FLOW_DROP } flow_action_t;

typedef enum {
    FLOW_BY_TAG,        /* forwarded to the upstream identified by the tag */
    FLOW_CHOSEN,        /* forwarded: a new flow */
    FLOW_COPY,          /* forwarded: a copy of an opening packet, to the same
                         * upstream */
    FLOW_COPY_MOVED,    /* forwarded: a copy, to another upstream */
    FLOW_NO_ROUTE,      /* reset: no route at that address */
    FLOW_NO_UPSTREAM,   /* reset: no upstream of the service is eligible.
                         * FLOW_NO_ROUTE to FLOW_EVACUATED are dropped instead
                         * where another opening packet of the caller may have
                         * opened the flow */
    FLOW_WARM_UP,       /* the same: the eligible upstreams are in slow start
                         * and have reached their share of new flows */
    FLOW_EVACUATED,     /* the same: the data centres of the eligible upstreams
                         * are evacuated */
    FLOW_OVERLOAD,      /* reset: the request would miss its goal */
    FLOW_CALLER_SHARE,  /* the same: the caller asks for more than its share */
    FLOW_HELD_DOWN,     /* the same: an operator's request limits the route or
                         * its priority */
    FLOW_UPSTREAM_DEAD, /* reset: the upstream has ended */
    FLOW_UPSTREAM_UNREACHABLE, /* reset: the upstream is unreachable, and the
                                * route's requests are idempotent */
    FLOW_TAG_UNKNOWN,          /* dropped: no upstream here has that tag */
    FLOW_TAG_NONE, /* dropped: not an opening packet, and without a tag */
    FLOW_REASONS
} flow_reason_t;

/* Short name for logs and metrics, such as "no-route". */
const char *flow_reason_name(flow_reason_t r);

typedef struct {
    flow_action_t action;
    flow_reason_t reason;
    uint64_t upstream; /* upstream id; forwarded packets only */
    addr_t to;
    uint32_t tag;        /* to set in an opening packet */
    const char *service; /* selected service; NULL if none */
    uint32_t busy, open; /* requests and flows of the upstream seen here; for a
                          * refused opening, requests of its group */
    uint32_t limit;      /* concurrency limit on BUSY; 0: none in force */
    uint64_t version;    /* version of the routes used */
    bool begins_request; /* this packet begins a request */
} flow_decision_t;

/* ---- Actions and events ---- */

typedef enum {
    FLOW_OUT_RESET,     /* reset a caller's flow */
    FLOW_OUT_PROBE,     /* start a TCP connect probe of an upstream */
    FLOW_OUT_REACH,     /* log: an upstream's reachability changed */
    FLOW_OUT_LIMIT,     /* log: a limit begins or ends */
    FLOW_OUT_EXPIRED,   /* log: an operator's request has expired */
    FLOW_OUT_ADMISSION, /* log: admission by shared load begins or ends */
    FLOW_OUT_LINK,      /* log: a data centre is cut off, or no longer is */
    FLOW_OUT_HEALTH     /* log: an upstream is slow or failing, or no longer
                         * is */
} flow_out_kind_t;

/* Reachability of an upstream. */
typedef enum {
    REACH_GOOD,
    REACH_SUSPECT, /* callers' packets are unanswered; a probe is under way */
    REACH_UNREACHABLE, /* probes timed out */
    REACH_DEAD /* the process has ended: its host refused a probe, or its
                * address has passed to another upstream */
} flow_reach_t;

const char *flow_reach_name(flow_reach_t r);

typedef struct {
    flow_out_kind_t kind;
    uint64_t upstream;
    union {
        struct {
            addr_t caller, service;
            uint32_t seq; /* within the caller's receive window */
            flow_reason_t reason;
        } reset;
        struct {
            addr_t to;
            ms_t timeout_ms;
        } probe;
        struct {
            flow_reach_t from, to;
            const char *why;
            addr_t addr;
            const char *service, *data_centre;
            uint32_t open; /* open flows seen by this instance */
        } reach;
        struct {
            const char *service;
            bool local;    /* applies to the upstreams in this data centre,
                            * or to those in others */
            bool in_force; /* the limit begins */
            uint32_t busy; /* requests in flight */
            uint32_t max_in_flight; /* limit on BUSY */
            double tail_latency; /* high quantile of response times, as a share
                                  * of goals */
            double target;       /* target for that quantile */
            uint64_t refused;    /* requests refused since the limit began */
        } limit;
        const request_t *expired;
        struct {
            const char *service;
            bool in_force;
            double share[LOAD_PRIORITIES]; /* of new flows, by priority */
            double demand, capacity;       /* requests a second */
            double in_flight, slots;
        } admission;
        struct {
            const char *data_centre;
            bool cut;
        } link;
        struct {
            place_state_t from, to;
            const char *service, *data_centre;
            double answers, failed; /* in LOAD_WINDOW_MS */
            double answer_ms, usual_ms;
        } health;
    };
} flow_out_t;

typedef void flow_emit_t(void *arg, const flow_out_t *out);

/* Result of a probe. */
typedef enum {
    PROBE_ANSWERED,
    PROBE_REFUSED, /* connection refused: nothing listens there */
    PROBE_RESET,   /* accepted, then reset */
    PROBE_TIMED_OUT,
    PROBE_NOT_SENT, /* the probe could not be sent: no result */
    PROBE_RESULTS
} flow_probe_t;

/* ---- The flows of one instance ---- */

typedef struct flowset flowset_t;

/* The services whose load instances share, from none to all. */
typedef enum {
    FLOW_SHARE_NONE,    /* each instance decides by what it sees */
    FLOW_SHARE_PATIENT, /* services whose callers stay with a slow upstream */
    FLOW_SHARE_ALL      /* services of which a route has a goal */
} flow_sharing_t;

typedef struct {
    const char *data_centre; /* of this instance */
    uint64_t seed;           /* of random choices */
    uint32_t records_max;    /* limit on tracked flows; the least recently used
                              * are dropped */
    ms_t flow_ttl_ms;        /* upper bound of a flow's lifetime */
    /* Upper bound of new flows a second at an upstream in slow start: its
     * configured rate times WARM_UP_OVER, plus WARM_UP_SLACK. */
    double warm_up_over, warm_up_slack;
    flow_sharing_t sharing;
    flow_emit_t *emit;
    void *arg;
} flow_spec_t;

/* Returns NULL if out of memory. */
flowset_t *flowset_new(const flow_spec_t *spec);
void flowset_free(flowset_t *f);

/* Takes ownership of C.  Returns -ESTALE, with C freed, if its version isn't
 * newer. */
int flowset_set_conf(flowset_t *f, ms_t now, flow_conf_t *c);
/* Adds or updates an announced upstream.  Returns -ENOMEM if it can't be used
 * for lack of memory; -EEXIST if another entry announces an upstream with its
 * id, which stays; -ESTALE if the announcement is of the upstream's former
 * process. */
int flowset_set_upstream(flowset_t *f, ms_t now, const flow_upstream_t *u);
/* Handles the end of an upstream's announcement by ENTRY.  Its flows continue
 * until a probe shows that the process has ended. */
void flowset_remove_upstream(flowset_t *f, ms_t now, uint64_t id,
                             uint64_t entry);
/* Applies the operator's evacuation of a data centre, made at store revision
 * REVISION: its upstreams get no new flows until the evacuation ends, and open
 * flows continue.  An evacuation ends only once all announcements up to that
 * revision are known, because upstreams may have become cold shortly before.
 * Returns the number of upstreams there; -ENOSPC if EVACUATIONS_MAX
 * evacuations are active; -ENOMEM if some upstreams could not be offered
 * again. */
#define EVACUATIONS_MAX 64
int flowset_evacuate(flowset_t *f, const char *data_centre, bool evacuated,
                     uint64_t revision);
/* Returns true if the end of an evacuation is waiting for announcements. */
bool flowset_evacuation_ending(const flowset_t *f);
/* All announcements up to REVISION have been applied. */
void flowset_upstreams_synced(flowset_t *f, uint64_t revision);
bool flowset_is_evacuated(const flowset_t *f, const char *data_centre);
/* Sets the instances, by number, that open flows at this data centre's
 * upstreams during slow start.  All of them have the same list, so that the
 * sum of their shares stays within the bound although no instance counts the
 * flows of others.  If SELF is not in the list, this instance opens none. */
#define WARM_UP_INSTANCES_MAX 16
void flowset_set_warm_up_instances(flowset_t *f, uint64_t self,
                                   const uint64_t *warm_up_instance,
                                   uint32_t n);
/* Sets the wall clock, by which operators' requests expire.  Until the first
 * call none is in force. */
void flowset_set_wall(flowset_t *f, ms_t now, int64_t wall_ms);
/* Applies an operator's request, made at store revision REVISION, until it
 * expires or is removed.  -ESTALE: a later revision of it is applied.
 * -ENOSPC: REQUESTS_MAX requests are in force. */
int flowset_set_request(flowset_t *f, const request_t *r, uint64_t revision);
void flowset_remove_request(flowset_t *f, const char *name);
/* What this instance sees of the services whose load is shared. */
void flowset_load_report(flowset_t *f, ms_t now, load_sum_t *out);
/* Decides by the sums of all instances.  To be called each
 * LOAD_FAST_PERIOD_MS, also if the view is the last one: its ages count. */
void flowset_set_load(flowset_t *f, ms_t now, const load_view_t *view);
void flowset_packet(flowset_t *f, ms_t now, const flow_packet_t *p,
                    flow_decision_t *d);
void flowset_probed(flowset_t *f, ms_t now, uint64_t id, flow_probe_t result);
/* The process was paused until NOW: missing responses from that time prove
 * nothing. */
void flowset_paused(flowset_t *f, ms_t now);
/* Runs what is due; returns the time of the next call, MS_NEVER for none. */
ms_t flowset_tick(flowset_t *f, ms_t now);

/* ---- Shared load ---- */

#define FLOW_STATUS_OUTLIERS_MAX 32

typedef struct {
    char data_centre[FLOW_NAME_LEN];
    double share; /* of the new flows of this data centre's callers; above 0 */
} flow_plan_share_t;

typedef struct {
    char name[FLOW_NAME_LEN];
    bool in_force;                    /* admission by shared load */
    double admitted[LOAD_PRIORITIES]; /* share of new flows, by priority */
    double capacity; /* requests a second, of the data centres that can be
                      * reached; 0: not known */
    uint32_t n_plan;
    flow_plan_share_t plan[PLACE_DATA_CENTRES_MAX];
} flow_service_status_t;

typedef struct {
    uint64_t upstream;   /* id */
    place_state_t state; /* PLACE_WELL: suspect */
    double weight;       /* factor for idempotent requests */
    char service[FLOW_NAME_LEN];
} flow_outlier_status_t;

/* An operator's request in force. */
typedef struct {
    char name[REQUEST_NAME_LEN];
    request_kind_t kind;
    char service[REQUEST_NAME_LEN]; /* "" for the limit of a route */
    int64_t left_ms;
} flow_request_status_t;

/* Further services and outliers are left out. */
typedef struct {
    uint32_t n_services, n_outliers, n_requests;
    flow_service_status_t service[LOAD_SERVICES_MAX];
    flow_outlier_status_t outlier[FLOW_STATUS_OUTLIERS_MAX];
    flow_request_status_t request[REQUESTS_MAX];
} flow_load_status_t;

void flowset_load_status(const flowset_t *f, ms_t now,
                         flow_load_status_t *out);

/* ---- Statistics ---- */

typedef struct {
    uint64_t version; /* 0: none yet */
    uint32_t routes, upstreams, usable, records;
    uint32_t limits;    /* in force; at most two for a service */
    uint32_t evacuated; /* data centres */
    uint32_t requests;  /* of operators, in force */
    uint32_t sharing;   /* services whose load is shared */
    uint32_t admitting; /* of these, with admission in force */
    uint32_t outliers;  /* upstreams that are slow or failing */
    uint32_t cut_off;   /* data centres */
    uint64_t spilled;   /* flows opened in other data centres by plan */
    /* Flows refused for load, and response times, by priority. */
    uint64_t refused_by_priority[LOAD_PRIORITIES];
    hist_t answer_by_priority[LOAD_PRIORITIES];
    uint64_t packets[FLOW_REASONS];
    uint64_t probes[PROBE_RESULTS];
    uint64_t resets;          /* resets of flows that no packet triggered */
    uint64_t records_evicted; /* records dropped at records_max */
    hist_t answer_ms; /* from a request to the first packet that acknowledges
                       * a response */
    hist_t open_ms;   /* from an opening packet to the next packet of the
                       * flow */
} flow_stats_t;

const flow_stats_t *flowset_stats(flowset_t *f);
/* Returns true once there are routes and an upstream, so that packets can be
 * served. */
bool flowset_ready(const flowset_t *f);

/* ---- The outgoing link ---- */

/* Paces packets to the rate of the instance's link.  The packets of a flow
 * stay in order, and flows are served in turn. */
typedef struct pacer pacer_t;

#define PACER_MAX 256 /* limit on queued packets */

/* A queued packet; the user embeds it beside the bytes. */
typedef struct {
    link_t link; /* in its flow's queue */
    struct pacer_flow *flow;
    addr_t caller, service;
    uint32_t seq;
    uint16_t len;   /* bytes of data */
    uint32_t bytes; /* size on the link, headers included */
} paced_packet_t;

/* RATE is the link's rate in bytes a second; 0: unlimited.  Returns NULL if
 * out of memory. */
pacer_t *pacer_new(uint64_t rate);
void pacer_free(pacer_t *p);
/* Returns true if a packet of BYTES may be sent now, and counts it. */
bool pacer_admit(pacer_t *p, ms_t now, uint32_t bytes);
/* Returns the queued packet with the same data of the same flow, or NULL.  A
 * retransmission replaces it: forwarding both would only load the link. */
paced_packet_t *pacer_find(pacer_t *p, const flow_packet_t *packet);
/* Queues W.  The caller keeps the number of queued packets to at most
 * PACER_MAX. */
void pacer_push(pacer_t *p, paced_packet_t *w);
/* Removes the last packet of the longest queue; returns NULL if none is
 * queued. */
paced_packet_t *pacer_evict(pacer_t *p);
/* Removes and counts the next packet that may be sent now; returns NULL if
 * there is none. */
paced_packet_t *pacer_pop(pacer_t *p, ms_t now);
/* Time at which the next packet may be sent; MS_NEVER: none is queued. */
ms_t pacer_next_send(const pacer_t *p);
uint32_t pacer_queued(const pacer_t *p);

#ifdef __cplusplus
}
#endif

#endif
