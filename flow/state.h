/* Declarations shared by the files of flow/; not included elsewhere.
 *
 * A file may call files of lower layers only (test/layers.sh):
 *
 * layer 1: acks index limit pacer warmup
 * layer 2: directory measure records view
 * layer 3: choice health reach requests
 * layer 4: sharing spread
 * layer 5: decide status timeouts
 * layer 6: flows
 *
 *   acks.c       delay of acknowledgements
 *   index.c      hash table
 *   limit.c      concurrency limits
 *   pacer.c      pacing of forwarded packets
 *   warmup.c     new flows during slow start
 *   directory.c  routes, upstreams, evacuated data centres
 *   measure.c    rates and responses, for shared load
 *   records.c    records of flows
 *   view.c       sums of recent age
 *   choice.c     selection of an upstream by what this instance sees
 *   reach.c      reachability of upstreams
 *   health.c     upstreams that are slow, fail or have ended, by all instances
 *   requests.c   operators' requests
 *   sharing.c    what follows from the sums of all instances
 *   spread.c     selection of an upstream by shared load
 *   decide.c     decision for a packet
 *   status.c     decisions by shared load, for operators
 *   timeouts.c   unanswered openings and requests
 *   flows.c      entry points
 */
#ifndef SISKIN_FLOW_STATE_H
#define SISKIN_FLOW_STATE_H

#include "flow/flow.h"
#include "flow/shared.h"

/* ---- index.c: a hash table of intrusive entries ---- */

typedef struct {
    link_t link;
    uint64_t hash;
} entry_t;

typedef struct {
    link_t *bucket;
    uint32_t mask; /* buckets - 1 */
    uint32_t used;
} index_t;

int index_init(index_t *ix);
void index_free(index_t *ix);
/* Adds E.  If memory to grow runs out, the table keeps its size and lookups
 * get slower. */
void index_add(index_t *ix, entry_t *e, uint64_t hash);
void index_remove(index_t *ix, entry_t *e);
link_t *index_bucket(const index_t *ix, uint64_t hash);

#define INDEX_EACH(it, ix, hash) LIST_EACH (it, index_bucket(ix, hash))

/* ---- limit.c: adaptive concurrency limit ---- */

typedef struct {
    uint32_t in_flight;   /* requests in flight */
    double max_in_flight; /* 0: no limit in force */
    double tail_latency;  /* running upper quantile of the response time, as a
                           * share of the goal; 0: no sample yet */
    uint64_t refused;     /* requests refused since the limit took effect */
    ms_t refused_at;      /* last refusal, or start of the limit */
    double priority;      /* moving average over requests */
} limit_t;

/* Correlation of response times with the number of requests in flight at their
 * start. */
typedef struct {
    double n, x, y, xx, xy, yy; /* sums; x: in flight, y: time */
    double least;               /* smallest y */
} correlation_t;

/* Unloaded latency of a service. */
typedef struct {
    double share;        /* as a share of the goal */
    double median;       /* running median of all responses; 0: no sample
                          * yet */
    uint32_t answers;    /* responses in the median */
    correlation_t first; /* of the first responses */
} baseline_t;

/* Target response time, as a share of the goal. */
double limit_target(const baseline_t *b);
/* Records a response that took SHARE of its request's goal; IN_FLIGHT requests
 * were in flight when the request began.  Returns true if a limit begins or
 * ends. */
bool limit_on_response(limit_t *l, ms_t now, baseline_t *b, double share,
                       uint32_t in_flight);
/* Returns true if a request of PRIORITY may begin. */
bool limit_admits(limit_t *l, ms_t now, uint32_t priority);

/* ---- Upstreams ---- */

typedef struct service service_t;

/* The upstreams of a service in this data centre, or those in all others.
 * Each group has its own limit because their queues build up independently. */
typedef struct {
    struct upstream **up; /* eligible upstreams */
    uint32_t n;
    size_t cap;
    limit_t limit;
} group_t;

#define NOT_OFFERED UINT32_MAX

typedef struct upstream {
    flow_upstream_t a; /* as announced */
    entry_t by_id, by_tag, by_addr;
    link_t all;      /* flowset_t.upstreams */
    link_t records;  /* flows to this upstream seen by this instance */
    link_t due;      /* flowset_t.suspects, if a probe is due or under way */
    link_t lapsed;   /* flowset_t.unlisted, if not listed */
    link_t answered; /* service_t.answered, if a response was seen */
    service_t *service;
    group_t *group;         /* of SERVICE */
    uint32_t position;      /* in group->up; NOT_OFFERED */
    uint32_t data_centre;   /* index in flowset_t.data_centre_of, or
                             * NO_DATA_CENTRE */
    uint32_t pool_position; /* in the pool of its data centre */
    bool local;             /* in this instance's data centre */
    bool announced;         /* an entry announces it */
    bool listed;      /* the same, and no other upstream holds its address */
    bool usable;      /* counted in flowset_t.n_usable */
    bool evacuated;   /* its data centre is evacuated: no new flows */
    bool claims_addr; /* its service is named: it may hold its address */
    bool tag_taken;   /* an older upstream has the same tag: no new flows */
    int64_t former_started_ms; /* start of its former process under this id;
                                * 0: none */
    ms_t unlisted_at;
    ms_t warm_up_until;  /* end of slow start */
    ms_t warm_up_next;   /* earliest time of the next new flow from this
                          * instance */
    uint32_t open;       /* open flows */
    uint32_t busy;       /* unanswered requests and flows being opened */
    uint32_t unanswered; /* unanswered opening packets since the last sign of
                          * life */
    double answer_ms;    /* moving average of the response time; 0: none */
    ms_t answered_at;    /* last update of answer_ms */
    /* Reachability */
    flow_reach_t reach;
    bool probing;
    bool is_control;  /* the probe under way is a control for another
                       * upstream's probe */
    int timeouts;     /* probe timeouts in a row */
    int refused;      /* refused probes in a row */
    ms_t refused_at;  /* last refused probe */
    ms_t alive_at;    /* last sign of life */
    ms_t retry_ms;    /* current backoff between probes; 0: none yet */
    ms_t probed_at;   /* start of the last probe */
    ms_t probe_at;    /* when the next probe is due; MS_NEVER: none */
    ms_t grace_until; /* no suspicion before this time */
    /* Factor of its weight by operators' requests; 0: no new flows. */
    double request_weight;
    /* Shared load */
    sample_t sample; /* responses seen here */
    link_t sampled;  /* flowset_t.sampled, by last response */
    link_t outlier;  /* flowset_t.outliers: with a verdict, or suspect */
    place_health_t health;
    link_t down;     /* flowset_t.down, if REACH_DEAD and listed then */
    ms_t down_until; /* other instances found it down */
} upstream_t;

/* A service and its eligible upstreams. */
struct service {
    char name[FLOW_NAME_LEN];
    uint64_t load_id;     /* load_name_id(), if shared */
    bool wants_sharing;   /* by the configuration in force */
    bool named;           /* a target of a route in force */
    shared_t *shared;     /* NULL: its load is not shared */
    uint32_t n_evacuated; /* upstreams in evacuated data centres */
    double warm_up_per_s; /* rate of new flows an upstream takes during slow
                           * start; 0: not set */
    entry_t by_name;
    link_t link;           /* flowset_t.services */
    link_t answered;       /* upstreams, least recent response first */
    group_t local, remote; /* in this data centre; in others */
    baseline_t baseline;
    double answer_ms; /* median of the upstreams' averages; 0: none.  A mean
                       * would follow a single outlier */
    /* Operators' requests: share of the new flows that WEIGHT requests give to
     * some upstreams, and the number of other upstreams. */
    double requested_share;
    uint32_t n_unrequested;
    double request_weight_max; /* largest of its upstreams */
    uint32_t closed; /* bit I: no new flows from here to data centre I */
};

/* ---- Records of flows ---- */

/* TCP endpoints retransmit after 200 ms at the earliest.  Bytes that repeat
 * sooner were reordered by the network. */
#define REPEAT_MIN_MS 150

typedef struct {
    entry_t by_key;
    link_t recent;      /* flowset_t.recent, least recently used first */
    link_t waiting;     /* in flowset_t.opening or .pending, oldest first,
                         * while a sign of life of the upstream is awaited;
                         * then in .slow until the request is overdue */
    link_t by_upstream; /* in upstream_t.records */
    addr_t caller, service;
    upstream_t *up;
    ms_t goal_ms;                /* of its route; 0: not set */
    uint32_t priority;           /* of its route */
    uint32_t request_seq;        /* first byte of the request */
    uint32_t in_flight_at_start; /* requests in flight in the group */
    bool idempotent;
    bool open;          /* a packet followed the opening one */
    bool retransmitted; /* another copy of the opening packet may have opened
                         * the flow */
    bool ended;         /* closed by the caller: counts as no load */
    bool overdue;       /* the request is older than its goal */
    uint32_t seq_end;   /* sequence number after the caller's last byte */
    uint32_t ack;       /* last acknowledgement number from the caller */
    ms_t sent_at;       /* the caller's last new data or opening packet */
    ms_t request_at;    /* start of the unanswered request; 0: none */
    ms_t last_at;
} record_t;

typedef struct {
    char data_centre[FLOW_NAME_LEN];
    uint64_t ends_at; /* store revision that the upstreams must be synchronised
                       * to; 0: no end requested */
} evacuation_t;

struct flowset {
    flow_spec_t spec;
    char data_centre[FLOW_NAME_LEN];
    rng_t rng;
    flow_conf_t *conf; /* NULL: none yet; routes sorted by address */
    index_t by_id, by_tag, by_addr, by_key, by_name;
    link_t upstreams, services, recent, suspects;
    link_t opening, pending, slow; /* records, by record_t.waiting */
    link_t unlisted; /* upstreams, least recently unlisted first */
    uint32_t n_upstreams, n_usable, n_records;
    uint64_t self; /* this instance, among the warm-up instances */
    uint32_t n_warm_up_instances;
    uint64_t warm_up_instance[WARM_UP_INSTANCES_MAX];
    uint32_t n_evacuated; /* entries of evacuated */
    evacuation_t evacuated[EVACUATIONS_MAX];
    uint64_t upstreams_revision; /* store revision that the upstreams are
                                  * synchronised to */
    ms_t answered_probe_at;      /* latest start of an answered probe */
    double probe_loss; /* moving average of the loss of control probes, sent to
                        * upstreams that are not suspect */
    ms_t sweep_at;     /* next sweep over all records */
    /* Shared load */
    uint32_t n_data_centres;
    data_centre_t data_centre_of[DATA_CENTRES_MAX]; /* first: the own one */
    load_view_t *view;                              /* NULL: none yet */
    ms_t view_at;                                   /* when it was set */
    ms_t pressing_from; /* sums come at the fast period; MS_NEVER: slow */
    ms_t pressing_until;
    link_t sampled;        /* upstreams, least recent response first */
    link_t outliers, down; /* upstreams */
    link_t lengths;        /* usual lengths of routes' responses */
    index_t by_route;
    uint32_t n_lengths;
    requests_t requests;
    int64_t wall_ms;   /* wall clock; MS_NEVER: not set, no request is in
                        * force */
    uint64_t in_force; /* requests_in_force() at the last look */
    flow_stats_t stats;
};

/* ---- directory.c: routes, upstreams, evacuated data centres ---- */

const flow_route_t *route_find(const flowset_t *f, const addr_t *a);
service_t *service_named(flowset_t *f, const char *name);
upstream_t *upstream_by_id(const flowset_t *f, uint64_t id);
upstream_t *upstream_by_tag(const flowset_t *f, uint32_t tag);
/* Hash of A; its upstreams are in that bucket of by_addr. */
uint64_t addr_hash(const addr_t *a);
/* Index of DATA_CENTRE in F->evacuated, or F->n_evacuated if absent. */
uint32_t evacuation_index(const flowset_t *f, const char *data_centre);
/* Index of a data centre, which is added if it is new; NO_DATA_CENTRE beyond
 * DATA_CENTRES_MAX. */
uint32_t data_centre_index(flowset_t *f, const char *name);
/* Creates an upstream that is not yet in its service's group.  Returns NULL if
 * out of memory. */
upstream_t *upstream_new(flowset_t *f, const flow_upstream_t *a);
/* Frees U, which must have no records left. */
void upstream_free(flowset_t *f, upstream_t *u);
void upstream_set_listed(flowset_t *f, upstream_t *u, bool listed, ms_t now);
/* Updates the number of usable upstreams after a change of U. */
void upstream_count_usable(flowset_t *f, upstream_t *u);
/* Adds U to its service's group if it is eligible. */
int upstream_offer(upstream_t *u);
void upstream_withdraw(upstream_t *u);
/* Withdraws U for an evacuation, or offers it again. */
int upstream_evacuate(flowset_t *f, upstream_t *u, bool evacuated);

/* ---- acks.c ---- */

void median_add(median_t *m, double ms);

/* The time from a request to its response, without the delay of the
 * acknowledgement after which MS were measured; below 0: not known. */
double ack_response_ms(ack_delay_t *d, ack_kind_t kind, double ms);
/* The usual delay of ACK_DELAYED; 0: not known. */
double ack_delay(const ack_delay_t *d);

/* ---- measure.c: only for services whose load is shared ---- */

/* A caller asks to open a flow; it is refused; it goes to another data centre.
 */
void measure_opening(service_t *s, ms_t now, uint32_t priority);
void measure_refusal(service_t *s, ms_t now, uint32_t priority);
void measure_remote(service_t *s, ms_t now);
/* A request of any service begins. */
void measure_request(service_t *s, ms_t now);
/* The first BYTES of the response to R's request were acknowledged. */
void measure_response(flowset_t *f, ms_t now, const record_t *r,
                      uint32_t bytes, ack_kind_t kind);
void measure_free(flowset_t *f);

/* ---- view.c ---- */

/* The sum of data centre I; NULL if there is none of recent age. */
const load_sum_t *view_sum(const flowset_t *f, ms_t now, uint32_t i);
/* Its row of service S; NULL if there is none, or the data centre is cut off.
 */
const load_service_t *view_row(const flowset_t *f, ms_t now, uint32_t i,
                               const service_t *s);

/* ---- health.c ---- */

/* Judges the upstreams of which the sums contain responses, and outliers. */
void health_judge(flowset_t *f, ms_t now);

/* ---- sharing.c ---- */

/* Applies the configuration in force. */
void sharing_configure(flowset_t *f);
void sharing_free(flowset_t *f);

/* ---- requests.c ---- */

/* Sets the weight of U, which was announced, by the requests in force. */
void upstream_weigh(flowset_t *f, upstream_t *u);

/* ---- records.c ---- */

record_t *record_find(const flowset_t *f, const addr_t *caller,
                      const addr_t *service);
/* ROUTE may be NULL.  Returns NULL if out of memory: the flow is still served,
 * but not tracked. */
record_t *record_new(flowset_t *f, ms_t now, const flow_packet_t *p,
                     upstream_t *u, const flow_route_t *route);
void record_free(flowset_t *f, record_t *r);
/* Moves R to another upstream. */
void record_move(record_t *r, upstream_t *u);
/* Frees records older than the configured idle timeout. */
void records_expire(flowset_t *f, ms_t now);
/* A request of R begins, or is no longer awaited. */
void record_request_begin(flowset_t *f, record_t *r, ms_t now);
void record_request_end(record_t *r);
/* No response to the request was seen within its goal. */
void record_overdue(record_t *r);
/* The first packet after the opening one was seen; the caller closed the flow.
 */
void record_opened(record_t *r);
void record_ended(record_t *r);

/* ---- choice.c ---- */

/* Which opening packets may be refused under load. */
typedef enum {
    ADMIT_ALL,
    ADMIT_IN_GOAL /* refuse those that would miss their goal */
} admit_mode_t;

typedef struct {
    upstream_t *up;        /* NULL: none */
    const group_t *full;   /* group whose limit refused the flow, or NULL */
    flow_reason_t refused; /* why admission refused the flow, or FLOW_BY_TAG */
    const char *service;   /* that refused the flow */
    bool evacuated; /* none eligible, except in evacuated data centres */
    bool warm_up;   /* none eligible, except in slow start */
} choice_t;

/* Draws one of R's services by weight; NULL if there is none. */
service_t *choose_service(flowset_t *f, const flow_route_t *r);
/* Selects the upstream of S (may be NULL) for a new flow of route R.  EXCLUDE
 * (may be NULL) is used only if there is no other. */
choice_t choose(flowset_t *f, ms_t now, service_t *s, const flow_route_t *r,
                const upstream_t *exclude, admit_mode_t admit);
/* The same without limits; NULL if no upstream is eligible. */
upstream_t *choose_in_service(flowset_t *f, ms_t now, const service_t *s,
                              const upstream_t *exclude, bool idempotent);
/* The same among the upstreams of a data centre; NULL if none is good. */
upstream_t *choose_in_pool(flowset_t *f, ms_t now, const pool_t *pool,
                           const upstream_t *exclude, bool idempotent);

/* ---- spread.c ---- */

/* Selects the upstream for a new flow that P asks for, by shared load where
 * the service has it.  EXCLUDE as in choose(). */
choice_t spread(flowset_t *f, ms_t now, const flow_packet_t *p,
                const flow_route_t *r, const upstream_t *exclude,
                admit_mode_t mode);

/* Updates the service's median response time. */
void choice_update_median(service_t *s, ms_t now);

/* ---- warmup.c: new flows at upstreams in slow start ---- */

/* Returns true if this instance may open a new flow at U now. */
bool warm_up_admits(const flowset_t *f, ms_t now, const upstream_t *u);
/* Records that a new flow of this instance goes to U. */
void warm_up_opened(const flowset_t *f, ms_t now, upstream_t *u);

/* ---- reach.c ---- */

/* A caller's packet received at AT proves that U responded. */
void reach_alive(flowset_t *f, ms_t at, upstream_t *u);
/* Packets sent to U since SINCE were not answered. */
void reach_suspect(flowset_t *f, ms_t now, upstream_t *u, ms_t since,
                   const char *why);
/* U is known to have ended. */
void reach_dead(flowset_t *f, ms_t now, upstream_t *u, const char *why);
/* Probes U regardless of recent packets from callers. */
void reach_request_probe(flowset_t *f, ms_t now, upstream_t *u,
                         const char *why);
/* Probes U, whose announcement is gone, unless it was probed since. */
void reach_unlisted(flowset_t *f, ms_t now, upstream_t *u);
/* U is announced for the first time or again. */
void reach_announced(flowset_t *f, ms_t now, upstream_t *u);
void reach_probed(flowset_t *f, ms_t now, upstream_t *u, flow_probe_t result);
/* Starts the probes that are due; returns the time of the next one. */
ms_t reach_tick(flowset_t *f, ms_t now);

/* ---- timeouts.c ---- */

/* Handles openings and requests that have been unanswered for too long: their
 * upstreams become suspect, and overdue requests no longer count as in flight.
 * Returns the time of the next timeout. */
ms_t timeouts_check(flowset_t *f, ms_t now);
/* Requests whose response can no longer be seen here stop counting as in
 * flight.  Frees the records of flows that never opened or have ended. */
void timeouts_sweep(flowset_t *f, ms_t now);

#endif
