/* flow: the decisions for services whose flows carry a tag.
 *
 * A tag is a number that both ends of a flow echo in each packet.  The opening
 * packet is given the tag of the upstream that was chosen; each later packet
 * names its upstream by it.  So any instance can forward any packet, and no
 * instance has to tell another about a flow.  (QUIC-LB connection IDs and
 * SYN cookies work alike.)
 *
 * Pure: no sockets, threads, clocks or globals.  Time comes in with each call;
 * what is to be done goes out through a callback.  What an instance remembers
 * of a flow serves only to judge upstreams: losing it breaks nothing.
 *
 * The files call downwards only: flows.c (entry points), decide.c (what
 * becomes of a packet), waits.c (what goes unanswered), reach.c (which
 * upstream answers), choice.c (which takes a new flow), warmup.c (new flows
 * during slow start), records.c (what is remembered of a flow), limit.c (how
 * many requests may be in progress), directory.c (routes and upstreams),
 * index.c (a hash table).  pacer.c stands by itself: when forwarded packets
 * leave.
 */
#ifndef SISKIN_FLOW_H
#define SISKIN_FLOW_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLOW_NAME_LEN 64 /* a service, route or data centre name + NUL */

/* ---- What is configured ---- */

/* A service that a route's new flows may go to. */
typedef struct {
    char service[FLOW_NAME_LEN];
    uint32_t weight; /* share of the route's new flows; 0: none */
} flow_target_t;

/* An address that callers send to. */
typedef struct {
    addr_t addr;
    char name[FLOW_NAME_LEN];
    bool idempotent; /* its requests are idempotent: callers may retry them */
    uint32_t priority; /* 0: the most urgent */
    ms_t goal_ms;      /* an answer is worth less after it; 0: not told */
    uint32_t first;    /* index of its first target */
    uint32_t n_targets;
} flow_route_t;

/* What a service's upstreams bear while they warm up. */
typedef struct {
    char service[FLOW_NAME_LEN];
    double warm_up_per_s; /* new flows a second, from all instances; 0: not
                           * told */
} flow_service_t;

/* One version of the routes.  The arrays are on the heap. */
typedef struct {
    uint64_t version;
    ms_t idle_ms; /* idle timeout of a flow */
    uint32_t n_routes, n_targets, n_services;
    flow_route_t *routes;
    flow_target_t *targets;
    flow_service_t *services;
} flow_conf_t;

void flow_conf_free(flow_conf_t *c);

/* One incarnation of an upstream, as it was last announced. */
typedef struct {
    uint64_t revision; /* of the announcement: of two upstreams at one address
                        * the later announced one is there now */
    uint64_t id;       /* the low 32 bits are its tag */
    addr_t addr;
    char service[FLOW_NAME_LEN];
    char data_centre[FLOW_NAME_LEN];
    uint32_t slots;  /* requests it runs at once, at least 1 */
    bool draining;   /* takes no new flow; what it has goes on */
    ms_t warm_up_ms; /* time left in slow start */
    int64_t born_ms; /* when its process started, by its own time of day; a
                      * change means that it holds no flow of before.  0: not
                      * told */
} flow_upstream_t;

/* ---- Packets ---- */

/* What is read of a caller's packet. */
typedef struct {
    addr_t caller, service;
    bool opens, ends, resets; /* SYN, FIN, RST */
    uint32_t seq;             /* of its first byte of data */
    uint32_t ack; /* the next byte expected; of an opening packet: how many
                   * copies of it were sent before */
    uint32_t tag; /* the last that the caller received; 0: none yet */
    uint16_t len; /* bytes of data */
    ms_t age_ms;  /* how long it waited until it was read */
} flow_packet_t;

typedef enum { FLOW_FORWARD, FLOW_RESET, FLOW_DROP } flow_verb_t;

typedef enum {
    FLOW_BY_TAG,        /* forwarded: the tag names the upstream */
    FLOW_CHOSEN,        /* forwarded: a new flow */
    FLOW_COPY,          /* forwarded: a copy of an opening packet, as before */
    FLOW_COPY_MOVED,    /* forwarded: a copy, to another upstream */
    FLOW_NO_ROUTE,      /* reset: nothing is configured at that address */
    FLOW_NO_UPSTREAM,   /* reset: no upstream of the service can take it.
                         * These four are dropped where another opening
                         * packet of the caller may have opened the flow */
    FLOW_WARM_UP,       /* the same: those that could warm up, and have their
                         * share of new flows */
    FLOW_EVACUATED,     /* the same: the data centres of those that could are
                         * evacuated */
    FLOW_OVERLOAD,      /* reset: it would not be answered within its goal */
    FLOW_UPSTREAM_DEAD, /* reset: its upstream has ended */
    FLOW_UPSTREAM_OUT,  /* reset: its upstream can't be reached, and its
                         * requests may be repeated */
    FLOW_TAG_UNKNOWN,   /* dropped: no upstream here has that tag */
    FLOW_TAG_NONE,      /* dropped: it neither opens a flow nor has a tag */
    FLOW_REASONS
} flow_reason_t;

/* A short word for logs and metrics, such as "no-route". */
const char *flow_reason_name(flow_reason_t r);

typedef struct {
    flow_verb_t verb;
    flow_reason_t reason;
    uint64_t upstream; /* its id; forwarded packets only */
    addr_t to;
    uint32_t tag;        /* to be put into an opening packet */
    const char *service; /* chosen; NULL where none was */
    uint32_t busy, open; /* the upstream's requests and flows seen here; of a
                          * refused opening, its data centre's requests */
    uint32_t limit;      /* of those; 0: none in force */
    uint64_t version;    /* of the routes that decided */
    bool asks;           /* a request begins with this packet */
} flow_decision_t;

/* ---- What goes out on its own account ---- */

typedef enum {
    FLOW_OUT_RESET, /* tell a caller that its flow has ended */
    FLOW_OUT_PROBE, /* try to connect to an upstream */
    FLOW_OUT_REACH, /* for the log: an upstream's reach has changed */
    FLOW_OUT_LIMIT  /* for the log: a limit begins or ends */
} flow_out_kind_t;

/* Whether an upstream answers. */
typedef enum {
    REACH_GOOD,
    REACH_SUSPECT, /* callers' packets go unanswered: a probe is under way */
    REACH_UNREACHABLE, /* it did not answer probes */
    REACH_DEAD         /* its host refused a probe: the process has ended */
} flow_reach_t;

const char *flow_reach_name(flow_reach_t r);

typedef struct {
    flow_out_kind_t kind;
    uint64_t upstream;
    union {
        struct {
            addr_t caller, service;
            uint32_t seq; /* within what the caller accepts */
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
            uint32_t open; /* flows seen here */
        } reach;
        struct {
            const char *service;
            bool local;       /* of its upstreams in this data centre, or of
                               * those in others */
            bool in_force;    /* it begins */
            uint32_t busy;    /* requests in progress */
            uint32_t most;    /* as many may be */
            double slow;      /* what slow answers take, as a share of goals */
            double target;    /* what they should take */
            uint64_t refused; /* since it began */
        } limit;
    };
} flow_out_t;

typedef void flow_emit_t(void *arg, const flow_out_t *out);

/* How a probe ended. */
typedef enum {
    PROBE_ANSWERED,
    PROBE_REFUSED, /* nothing listens there */
    PROBE_RESET,   /* accepted, then reset */
    PROBE_SILENT,
    PROBE_NONE, /* it could not be made: nothing is known */
    PROBE_RESULTS
} flow_probe_t;

/* ---- The flows of one instance ---- */

typedef struct flowset flowset_t;

typedef struct {
    const char *data_centre; /* the instance's own */
    uint64_t seed;           /* of its choices */
    uint32_t records_max;    /* flows remembered; older ones are forgotten */
    ms_t flow_ttl_ms;        /* upper bound of a flow's lifetime */
    /* Bound of new flows at an upstream that warms up, in a second: what it
     * bears times WARM_UP_OVER, and WARM_UP_SLACK more. */
    double warm_up_over, warm_up_slack;
    flow_emit_t *emit;
    void *arg;
} flow_spec_t;

/* NULL without memory. */
flowset_t *flowset_new(const flow_spec_t *spec);
void flowset_free(flowset_t *f);

/* Takes C.  -ESTALE: its version isn't newer, and C is freed. */
int flowset_set_conf(flowset_t *f, ms_t now, flow_conf_t *c);
/* An upstream is announced, or announced anew.  -ENOMEM: it isn't used. */
int flowset_set_upstream(flowset_t *f, ms_t now, const flow_upstream_t *u);
/* An upstream's announcement is gone.  Its flows are left alone until a probe
 * shows that it has ended. */
void flowset_remove_upstream(flowset_t *f, ms_t now, uint64_t id);
/* The operator, at revision REVISION of the store, evacuates a data centre:
 * its upstreams get no new flow until the evacuation ends, and open flows go
 * on. It ends once all announcements up to then are known: upstreams may have
 * become cold shortly before.  The number of upstreams there.  -ENOSPC:
 * EVACUATIONS_MAX are under way; -ENOMEM: some upstreams are not offered
 * again.
 */
#define EVACUATIONS_MAX 64
int flowset_evacuate(flowset_t *f, const char *data_centre, bool evacuated,
                     uint64_t revision);
/* An evacuation waits for announcements to end. */
bool flowset_evacuation_ends(const flowset_t *f);
/* All announcements up to REVISION have been given. */
void flowset_upstreams_known(flowset_t *f, uint64_t revision);
bool flowset_is_evacuated(const flowset_t *f, const char *data_centre);
/* The instances that open flows at this data centre's upstreams while those
 * warm up, named by numbers: the same list at all of them, so that the sum of
 * their shares is within the bound although none counts the others' flows.
 * SELF is in it, or opens none. */
#define WARMERS_MAX 16
void flowset_set_warmers(flowset_t *f, uint64_t self, const uint64_t *warmer,
                         uint32_t n);
void flowset_packet(flowset_t *f, ms_t now, const flow_packet_t *p,
                    flow_decision_t *d);
void flowset_probed(flowset_t *f, ms_t now, uint64_t id, flow_probe_t result);
/* The process stood still until NOW: what went unanswered meanwhile proves
 * nothing. */
void flowset_paused(flowset_t *f, ms_t now);
/* Does what is due; returns when to be called next, MS_NEVER for never. */
ms_t flowset_tick(flowset_t *f, ms_t now);

/* ---- What there is ---- */

typedef struct {
    uint64_t version; /* 0: none yet */
    uint32_t routes, upstreams, usable, records;
    uint32_t limits;    /* in force: two at most for a service */
    uint32_t evacuated; /* data centres */
    uint64_t packets[FLOW_REASONS];
    uint64_t probes[PROBE_RESULTS];
    uint64_t resets;    /* of flows, not asked for by a packet */
    uint64_t forgotten; /* records given up for room */
    hist_t answer_ms;   /* from a request to the first packet that
                         * acknowledges an answer */
    hist_t open_ms;     /* from an opening packet to the next of its flow */
} flow_stats_t;

const flow_stats_t *flowset_stats(flowset_t *f);
/* True once there are routes and an upstream: packets can be served. */
bool flowset_ready(const flowset_t *f);

/* ---- The outgoing link ---- */

/* Paces packets to the rate of the instance's link.  Those of a flow stay in
 * order, and flows take turns. */
typedef struct pacer pacer_t;

#define PACER_MAX 256 /* packets that may wait */

/* A packet that waits; the caller embeds it beside the bytes. */
typedef struct {
    link_t link; /* of its flow's queue */
    struct pacer_flow *flow;
    addr_t caller, service;
    uint32_t seq;
    uint16_t len;   /* bytes of data */
    uint32_t bytes; /* on the link, headers included */
} paced_t;

/* RATE is the link's, in bytes a second; 0: not limited.  NULL without
 * memory. */
pacer_t *pacer_new(uint64_t rate);
void pacer_free(pacer_t *p);
/* True: a packet of BYTES may leave now, and is counted. */
bool pacer_admit(pacer_t *p, ms_t now, uint32_t bytes);
/* The packet that waits with the same data of the same flow, or NULL.  A
 * retransmission takes its place: forwarding both would only load the link. */
paced_t *pacer_find(pacer_t *p, const flow_packet_t *packet);
/* W waits.  There are PACER_MAX at most. */
void pacer_push(pacer_t *p, paced_t *w);
/* Takes out the last packet of the flow that has most waiting; NULL: none
 * waits. */
paced_t *pacer_evict(pacer_t *p);
/* Takes out the next packet that may leave now, and counts it; or NULL. */
paced_t *pacer_pop(pacer_t *p, ms_t now);
/* When the next packet may leave; MS_NEVER: none waits. */
ms_t pacer_due(const pacer_t *p);
uint32_t pacer_waiting(const pacer_t *p);

#ifdef __cplusplus
}
#endif

#endif
