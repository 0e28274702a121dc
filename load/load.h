/* load: the load of services, summed over the instances of a fleet.
 *
 * In a large fleet one instance sees too few requests of a service to tell how
 * loaded the service is.  So each instance reports its rates to the peer that
 * it follows (source/), which adds those of its followers to its own.  The
 * root of a data centre exchanges its sum with those of the other data
 * centres, and the sums of all data centres pass down the same tree.
 *
 * A report holds rates over a sliding window, not increments: a lost, repeated
 * or late report changes nothing but the age of a sum.  Sums are soft state.
 * None of it is stored, and what is older than LOAD_MAX_AGE_MS counts for
 * nothing.
 *
 * The library uses no sockets, clocks or threads.
 */
#ifndef SISKIN_LOAD_H
#define SISKIN_LOAD_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- Sums ---- */

/* Priorities that are counted apart; higher ones count as the last. */
#define LOAD_PRIORITIES 4
#define LOAD_SERVICES_MAX 24  /* services in a sum */
#define LOAD_UPSTREAMS_MAX 24 /* upstreams in a sum */
#define LOAD_DATA_CENTRES_MAX 16

/* Window of the rates. */
#define LOAD_WINDOW_MS 500
/* Periods of reports: under load, and in calm. */
#define LOAD_FAST_PERIOD_MS 100
#define LOAD_SLOW_PERIOD_MS 1000
/* Age from which a sum counts for nothing under load. */
#define LOAD_MAX_AGE_MS 800

/* Identifies a service or data centre in a message. */
uint64_t load_name_id(const char *name);

/* The load of a service at some instances.  Rates are a second. */
typedef struct {
    uint64_t service; /* load_name_id() */
    /* Flows that callers asked to open, by priority: first opening packets,
     * refused ones included, copies excluded. */
    float opened[LOAD_PRIORITIES];
    float refused[LOAD_PRIORITIES]; /* of these, refused for load */
    float requests;                 /* requests begun, in all flows */
    float answered;  /* responses seen, but for those that failed */
    float late;      /* of these, after the goal of the route */
    float answer_ms; /* sum of the response times of TIMED; ms a second */
    float timed;     /* of the responses seen, those with a known time */
    float failed;    /* resets, and responses too short for their route */
    float in_flight; /* requests in flight now */
    float remote;    /* flows opened at upstreams of other data centres */
} load_service_t;

/* An upstream that looks slow, failing or down to some instances: its
 * responses there, in LOAD_WINDOW_MS. */
typedef struct {
    uint64_t upstream; /* id */
    float answers;     /* responses, failed ones included */
    float failed;      /* of these, failed */
    float answer_ms;   /* sum of the response times of TIMED */
    float timed;       /* responses with a known time, but for failed ones */
    float down;        /* instances that found its process ended */
} load_upstream_t;

typedef struct {
    uint32_t instances; /* that are summed up */
    bool pressing;      /* some instance needs sums at the fast period */
    uint32_t n_services, n_upstreams;
    load_service_t service[LOAD_SERVICES_MAX];
    load_upstream_t upstream[LOAD_UPSTREAMS_MAX];
} load_sum_t;

/* Rank of an upstream where not all fit. */
float load_upstream_rank(const load_upstream_t *u);
/* Adds FROM to TO.  Beyond the limits, the services with the most requests
 * and the upstreams of the highest rank stay. */
void load_sum_add(load_sum_t *to, const load_sum_t *from);
const load_service_t *load_sum_service(const load_sum_t *s, uint64_t service);

/* What an instance knows of a data centre. */
typedef struct {
    uint64_t data_centre; /* load_name_id() */
    ms_t age_ms;          /* mean over its instances, when the view is made */
    load_sum_t sum;
} load_data_centre_t;

typedef struct {
    uint32_t n;
    load_data_centre_t dc[LOAD_DATA_CENTRES_MAX];
} load_view_t;

/* NULL if there is no sum of that data centre. */
const load_data_centre_t *load_view_find(const load_view_t *v,
                                         uint64_t data_centre);

/* ---- An instance in the tree of reports (node.c) ---- */

#define LOAD_CHILDREN_MAX 64
/* Roots of one data centre whose sums are added: instances that start or lose
 * their leader disagree briefly about who leads. */
#define LOAD_ROOTS_MAX 4
#define LOAD_PEERS_MAX (LOAD_DATA_CENTRES_MAX - 1)
/* Longest message, in bytes.  A sum that is longer leaves out the upstreams
 * of the lowest rank. */
#define LOAD_MESSAGE_MAX 1200
/* A report expires after this number of its sender's periods. */
#define LOAD_EXPIRY_PERIODS 3
/* Age from which a sum is forgotten. */
#define LOAD_FORGET_MS 10000

/* Sends a message of LEN bytes. */
typedef void load_emit_t(void *arg, const addr_t *to, const uint8_t *data,
                         size_t len);
/* True if A is an instance of another data centre. */
typedef bool load_is_known_t(void *arg, const addr_t *a);

typedef struct {
    uint64_t data_centre; /* load_name_id() */
    uint64_t incarnation; /* identifies this process among all that ever had
                           * its address */
    load_emit_t *emit;
    /* A root sends its sum to known roots that send theirs, too: the data
     * centres may disagree for seconds about who leads one.  It ignores the
     * sums of unknown roots.  NULL: it sends to peers only, and accepts the
     * sums of all roots. */
    load_is_known_t *is_known;
    void *arg;
} load_node_spec_t;

typedef struct {
    uint64_t sent, bytes_sent;
    uint64_t received;
    uint64_t ignored;   /* of these: doubled, late, or from an address that is
                         * no parent, or beyond a limit */
    uint64_t malformed; /* of these */
    uint32_t children;  /* whose reports are in force */
    bool pressing;      /* reports at the fast period */
    ms_t parent_at;     /* last message of the parent; its start as parent if
                         * there was none since */
} load_node_stats_t;

typedef struct load_node load_node_t;

/* NULL without memory. */
load_node_t *load_node_new(const load_node_spec_t *spec);
void load_node_free(load_node_t *n);
/* Sets the sum of this instance alone, which counts for LOAD_MAX_AGE_MS. */
void load_node_set_own(load_node_t *n, ms_t now, const load_sum_t *own);
/* Sets the peer that receives the reports; NULL: this instance is the root of
 * its data centre.  The former parent is sent a message that the report there
 * is void. */
void load_node_set_parent(load_node_t *n, ms_t now, const addr_t *parent);
/* Sets the instances of other data centres, one each, with which a root
 * exchanges sums.  Those beyond LOAD_PEERS_MAX are ignored. */
void load_node_set_peers(load_node_t *n, const addr_t *peer, uint32_t count);
/* Handles a message that arrived AGE_MS ago.  0, or -EPROTO: malformed;
 * -ESTALE: doubled or late; -EACCES: not from the parent, or of
 * an unknown root; -ENOSPC: beyond a
 * limit; -EINVAL: of another data centre, or of a loop.  load_node_tick() must
 * follow. */
int load_node_receive(load_node_t *n, ms_t now, const addr_t *from,
                      const uint8_t *data, size_t len, ms_t age_ms);
/* Sends what is due; returns the time of the next call. */
ms_t load_node_tick(load_node_t *n, ms_t now);
/* Fills V with the sums of all data centres, the own one included. */
void load_node_view(const load_node_t *n, ms_t now, load_view_t *v);
void load_node_stats(const load_node_t *n, ms_t now, load_node_stats_t *out);

#ifdef __cplusplus
}
#endif

#endif
