/* What the files of flow/ share; not for other directories. */
#ifndef SISKIN_FLOW_STATE_H
#define SISKIN_FLOW_STATE_H

#include "flow/flow.h"

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
/* Adds E.  Without memory to grow it stays at its size and is only slower. */
void index_add(index_t *ix, entry_t *e, uint64_t hash);
void index_remove(index_t *ix, entry_t *e);
link_t *index_bucket(const index_t *ix, uint64_t hash);

#define INDEX_EACH(it, ix, hash) LIST_EACH (it, index_bucket(ix, hash))

/* ---- limit.c: adaptive concurrency limit ---- */

typedef struct {
    uint32_t in_flight;   /* requests in progress */
    double max_in_flight; /* 0: no limit in force */
    double tail_latency;  /* running upper quantile of the time to an answer,
                           * as a share of the goal; 0: none */
    uint64_t refused;     /* requests, since the limit began */
    ms_t refused_at;      /* the last request, or when the limit began */
    double priority;      /* moving average of what is asked for */
} limit_t;

/* Correlation of answer times with the requests in progress at their start. */
typedef struct {
    double n, x, y, xx, xy, yy; /* sums; x: requests, y: time */
    double least;               /* y */
} correlation_t;

/* Unloaded latency of a service. */
typedef struct {
    double share;        /* of the goal */
    double median;       /* running, of all answers; 0: none */
    uint32_t answers;    /* that made it */
    correlation_t first; /* of the first answers */
} baseline_t;

/* The share of the goal that answers should take. */
double limit_target(const baseline_t *b);
/* An answer took SHARE of its request's goal, with IN_FLIGHT when the request
 * began.  True when a limit begins or ends. */
bool limit_on_response(limit_t *l, ms_t now, baseline_t *b, double share,
                       uint32_t in_flight);
/* May a request of PRIORITY begin? */
bool limit_admits(limit_t *l, ms_t now, uint32_t priority);

/* ---- Upstreams ---- */

typedef struct service service_t;

/* The upstreams of a service in this data centre, or those in others: queues
 * build up in one without the other. */
typedef struct {
    struct upstream **up; /* those that may be chosen */
    uint32_t n;
    size_t cap;
    limit_t limit;
} group_t;

typedef struct upstream {
    flow_upstream_t a; /* as announced */
    entry_t by_id, by_tag, by_addr;
    link_t all;     /* flowset_t.upstreams */
    link_t records; /* of the flows it holds, as seen here */
    link_t due;     /* flowset_t.suspects: those with a probe or a wait */
    service_t *service;
    group_t *group; /* of the service */
    bool local;     /* in this instance's data centre */
    bool listed;    /* announced now */
    bool evacuated; /* its data centre is: no new flow */
    bool tag_taken; /* an older upstream has its tag: no new flow */
    ms_t unlisted_at;
    ms_t warm_at;        /* warmed up from then on */
    ms_t warm_next;      /* until then it gets no new flow from here */
    uint32_t open;       /* flows */
    uint32_t busy;       /* requests unanswered and flows being opened */
    uint32_t unanswered; /* opening packets, since the last sign of life */
    double answer_ms;    /* moving average of the time to an answer; 0: none */
    ms_t answered_at;    /* when it was last updated */
    /* Reach */
    flow_reach_t reach;
    bool probing;
    bool is_control;  /* that probe is only to compare another's with */
    int timeouts;     /* probes in a row without an answer */
    int refused;      /* probes in a row that were refused */
    ms_t refused_at;  /* the last of them */
    ms_t alive_at;    /* the last sign of life */
    ms_t retry_ms;    /* the last wait between probes; 0: none yet */
    ms_t probed_at;   /* the last one started */
    ms_t probe_at;    /* when the next probe is due; MS_NEVER: none */
    ms_t grace_until; /* not suspected before */
} upstream_t;

/* A service and those of its upstreams that may be chosen. */
struct service {
    char name[FLOW_NAME_LEN];
    uint32_t n_evacuated; /* upstreams */
    double warm_up_per_s; /* of an upstream that warms up; 0: not told */
    entry_t by_name;
    link_t link;           /* flowset_t.services */
    group_t local, remote; /* in this data centre; in others */
    baseline_t baseline;
    double answer_ms; /* median of its upstreams' averages; 0: none.  A mean
                       * would track_flow the one that is odd */
};

/* ---- Records of flows ---- */

/* Ends send again after 200 ms at the earliest.  Bytes seen before that come
 * sooner have only been overtaken on the way. */
#define REPEAT_MIN_MS 150

typedef struct {
    entry_t by_key;
    link_t recent;      /* flowset_t.recent, least recently used first */
    link_t waiting;     /* flowset_t.opening or .asking, oldest first: a sign
                         * that the upstream lives is waited for; then .late,
                         * until the request is overdue */
    link_t by_upstream; /* upstream_t.records */
    addr_t caller, service;
    upstream_t *up;
    ms_t goal_ms;                /* of its route; 0: not told */
    uint32_t in_flight_at_start; /* requests of the group */
    bool idempotent;
    bool open;          /* a packet came after the opening one */
    bool retransmitted; /* another opening packet may have opened the flow */
    bool ended;         /* the caller has closed it: no load any more */
    bool overdue;       /* its request is older than its goal */
    uint32_t seq_end;   /* behind the last byte that the caller sent */
    uint32_t ack;       /* the caller's last */
    ms_t sent_at;       /* the caller's last new bytes, or opening packet */
    ms_t request_at;    /* first bytes of an unanswered request; 0: none */
    ms_t last_at;
} record_t;

typedef struct {
    char data_centre[FLOW_NAME_LEN];
    uint64_t ends_at; /* when upstreams are known up to it; 0: it goes on */
} evacuation_t;

struct flowset {
    flow_spec_t spec;
    char data_centre[FLOW_NAME_LEN];
    rng_t rng;
    flow_conf_t *conf; /* NULL: none yet; routes sorted by address */
    index_t by_id, by_tag, by_addr, by_key, by_name;
    link_t upstreams, services, recent, suspects;
    link_t opening, pending, slow; /* records: see record_t.waiting */
    uint32_t n_upstreams, n_records;
    uint64_t self; /* among the warmers */
    uint32_t n_warmers;
    uint64_t warmer[WARMERS_MAX];
    uint32_t n_evacuated; /* in EVACUATED */
    evacuation_t evacuated[EVACUATIONS_MAX];
    uint64_t upstreams_revision; /* revision up to which upstreams are known */
    ms_t answered_probe_at; /* the latest start of a probe that was answered */
    double probe_loss; /* moving average of the share of probes to upstreams
                        * in no doubt that were not answered */
    ms_t sweep_at;     /* when all records are looked through next */
    flow_stats_t stats;
};

/* ---- directory.c: routes and upstreams ---- */

const flow_route_t *route_find(const flowset_t *f, const addr_t *a);
service_t *service_named(flowset_t *f, const char *name);
upstream_t *upstream_by_id(const flowset_t *f, uint64_t id);
upstream_t *upstream_by_tag(const flowset_t *f, uint32_t tag);
/* Those at address A are in the bucket of this hash. */
uint64_t addr_hash(const addr_t *a);
/* A new upstream, not yet in its service's lists.  NULL without memory. */
upstream_t *upstream_new(flowset_t *f, const flow_upstream_t *a);
/* U has no records any more. */
void upstream_free(flowset_t *f, upstream_t *u);
/* Puts U into its service's list, if it may be chosen at all. */
int upstream_offer(upstream_t *u);
void upstream_withdraw(upstream_t *u);
/* Evacuates U, or offers it again. */
int upstream_evacuate(upstream_t *u, bool evacuated);

/* ---- records.c ---- */

record_t *record_find(const flowset_t *f, const addr_t *caller,
                      const addr_t *service);
/* ROUTE may be NULL.  NULL without memory: the flow is served, and not
 * remembered. */
record_t *record_new(flowset_t *f, ms_t now, const flow_packet_t *p,
                     upstream_t *u, const flow_route_t *route);
void record_free(flowset_t *f, record_t *r);
/* Moves it to another upstream. */
void record_move(record_t *r, upstream_t *u);
/* Forgets what is older than the configuration's idle time. */
void records_expire(flowset_t *f, ms_t now);
/* A request of R begins, or is no longer waited for. */
void record_request_begin(flowset_t *f, record_t *r, ms_t now);
void record_request_end(record_t *r);
/* The answer to its request hasn't been seen within the goal. */
void record_overdue(record_t *r);
/* The first packet after the opening one; the caller's last. */
void record_opened(record_t *r);
void record_ended(record_t *r);

/* ---- choice.c ---- */

/* Which opening packets may be refused for load. */
typedef enum {
    ADMIT_ALL,
    ADMIT_IN_GOAL /* only those that can be answered within their goal */
} admit_t;

typedef struct {
    upstream_t *up;      /* NULL: none */
    const group_t *full; /* the group whose limit refused it, or NULL */
    const char *service; /* of that group */
    bool evacuated;      /* there is none, but in evacuated data centres */
    bool warm_up;        /* there is none, but some that warm up */
} choice_t;

/* The upstream for a new flow of route R.  EXCLUDE (may be NULL) is taken only
 * if there is no other. */
choice_t choose(flowset_t *f, ms_t now, const flow_route_t *r,
                const upstream_t *exclude, admit_t admit);

/* Brings the service's usual answer time up to date. */
void choice_sweep(service_t *s, ms_t now);

/* ---- warmup.c: new flows at upstreams that warm up ---- */

/* May a new flow of this instance open at U now? */
bool warm_up_admits(const flowset_t *f, ms_t now, const upstream_t *u);
/* A new flow of this instance goes to U. */
void warm_up_opened(const flowset_t *f, ms_t now, upstream_t *u);

/* ---- reach.c ---- */

/* A packet of a caller that came at AT proves that U answered. */
void reach_alive(flowset_t *f, ms_t at, upstream_t *u);
/* Packets to U since SINCE went unanswered. */
void reach_suspect(flowset_t *f, ms_t now, upstream_t *u, ms_t since,
                   const char *why);
/* U has ended for sure. */
void reach_dead(flowset_t *f, ms_t now, upstream_t *u, const char *why);
/* A probe of U, whatever callers' packets say. */
void reach_request_probe(flowset_t *f, ms_t now, upstream_t *u,
                         const char *why);
/* U is announced (again). */
void reach_announced(flowset_t *f, ms_t now, upstream_t *u);
void reach_probed(flowset_t *f, ms_t now, upstream_t *u, flow_probe_t result);
/* Starts the probes that are due; returns when the next one is. */
ms_t reach_tick(flowset_t *f, ms_t now);

/* ---- waits.c ---- */

/* Openings and requests that go unanswered for unusually long: doubts are
 * raised, and what is overdue no longer counts as in progress.  Returns when
 * the next would be. */
ms_t timeouts_check(flowset_t *f, ms_t now);
/* Requests whose answer won't be seen here no longer count as in progress. */
void timeouts_sweep(flowset_t *f, ms_t now);

#endif
