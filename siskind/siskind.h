/* siskind, the daemon: declarations shared by its duties.  Each duty is one
 * thread with a bounded inbox (kern/).  Duties communicate only through
 * messages and the shared state below.
 *
 *   receive   datagrams from the sockets to decide
 *   decide    owns core and members, and makes every decision
 *   send      datagrams to the sockets
 *   watch     reads the configuration from the platform
 *   roster    registers with the platform and reads its list of instances
 *   bulk      transfers configuration between instances (ZeroMQ)
 *   admin     HTTP for operators
 *   main      signals, start and stop
 */
#ifndef SISKIND_H
#define SISKIND_H

#include "base/base.h"
#include "conf/conf.h"
#include "core/core.h"
#include "kern/kern.h"
#include "member/member.h"
#include "plat/plat.h"
#include "wire/wire.h"

#include <pthread.h>

#define BATCH 32 /* datagrams per system call */
#define PACKET_MAX PEER_MSG_MAX
/* A datagram older than this was delayed by a pause of this process.  Handling
 * it could repeat work that other instances have since taken over (a request
 * run twice, an answer to a reused port).  Its sender has retransmitted it or
 * given up. */
#define STALE_MS 1000
#define WATCHERS_PER_DATA_CENTRE 2 /* instances that watch the platform */
/* Drain period of this instance while it has no configuration. */
#define DRAIN_MS 5000
/* Lag of the list of instances in the fabric, the network that spreads
 * callers' datagrams over the instances. */
#define LIST_LAG_MS 4000

/* ---- Sockets ---- */

/* One bound UDP socket for a service. */
typedef struct {
    addr_t service;
    int fd;
    int refs; /* number of sets that contain it */
} port_t;

/* The sockets of one configuration; immutable once shared. */
typedef struct {
    size_t n;
    bool missing; /* a socket could not be bound: retry */
    int refs;
    port_t *port[];
} port_set_t;

/* Opens the sockets for C; reuses those of OLD (may be NULL) that still
 * apply. */
port_set_t *ports_make(const conf_t *c, const settings_t *s,
                       const port_set_t *old);
port_set_t *ports_retain(port_set_t *p);
/* Closes each socket that no other set contains. */
void ports_release(port_set_t *p);
const port_t *ports_find(const port_set_t *p, const addr_t *service);

/* ---- Messages between duties ---- */

typedef enum {
    MSG_PACKET,
    MSG_PORTS,  /* decide to receive and send: a new set of sockets */
    MSG_CONF,   /* watch and bulk to decide: a newer version */
    MSG_LIST,   /* roster to decide: the platform's list */
    MSG_FETCH,  /* decide to bulk: a peer has a newer version */
    MSG_BUNDLE, /* decide to bulk: the version in force, to serve to peers */
    MSG_QUERY,  /* admin to decide: an operator's query */
    MSG_LEAVE, /* main to decide: leave; decide to roster: `leaving` changed */
    MSG_LEAVE_DONE /* decide to main: nothing is pending */
} msg_kind_t;

typedef enum {
    SOCK_SERVICE, /* callers' datagrams for a service */
    SOCK_RETURN,  /* upstreams' datagrams for callers */
    SOCK_OWN,     /* replies to this instance's own probes and requests */
    SOCK_PEER     /* messages between instances */
} sock_t;

/* One datagram, received or to be sent. */
typedef struct {
    msg_kind_t kind; /* MSG_PACKET */
    sock_t sock;
    ms_t at;        /* time of receipt, or of the decision */
    addr_t service; /* for SOCK_SERVICE */
    addr_t remote;
    pool_t *pool;
    uint16_t start; /* offset of the datagram in DATA */
    uint16_t len;
    uint8_t data[SPP_LEN + PACKET_MAX]; /* headroom for a proxy header */
} packet_t;

/* A query of the admin duty, answered with a snapshot. */
typedef struct query query_t;

/* Any other message. */
typedef struct {
    msg_kind_t kind;
    union {
        port_set_t *ports;
        struct {
            conf_t *conf;
            char *json;
            uint64_t version;
            ms_t age; /* since it came into force at its source */
            /* As reported by a peer: no instance had an earlier version. */
            bool complete;
            bool first; /* the site's first version, as the platform has it */
        } conf;         /* MSG_CONF, MSG_BUNDLE (conf NULL) */
        struct {
            size_t n;
            plat_instance_t *instance;
        } list;
        struct {
            char name[NAME_LEN];
            addr_t bulk_addr;
            uint64_t version;
        } fetch;
        query_t *query;
    };
} control_t;

control_t *control_new(msg_kind_t kind);
/* Frees a packet or a control message with its contents. */
void msg_drop(void *msg);
/* Posts CTL, or frees it when the inbox is full. */
int control_post(duty_t *to, control_t *ctl);

/* ---- State that every duty may read ---- */

/* Each counter has one writer; any thread may read it. */
typedef struct {
    uint64_t received, sent;
    uint64_t shed[4];       /* by sock_t: decide's inbox was full */
    uint64_t stale_in;      /* older than STALE_MS before the decision */
    uint64_t stale_out;     /* older than STALE_MS when sent */
    uint64_t too_long;      /* longer than PACKET_MAX */
    uint64_t peer_refused;  /* invalid tag or body of a peer message */
    uint64_t send_full;     /* send's inbox or the pool was exhausted */
    uint64_t send_failed;   /* refused by the kernel */
    uint64_t no_socket;     /* the service has no socket */
    uint64_t control_bytes; /* member and sync messages sent */
    uint64_t watch_calls, roster_calls; /* calls to the platform */
    uint64_t bulk_served, bulk_fetched, bulk_refused, bulk_bytes;
} counters_t;

/* Written by decide, leave_listed_at by roster too; read atomically by others.
 */
typedef struct {
    uint64_t version; /* in force */
    uint32_t peers;   /* members besides this instance */
    bool watches;     /* this instance watches the platform */
    bool leaving;
    /* When the platform accepted "leaving", set by roster; 0: not yet, reset
     * by decide when the instance returns to service. */
    ms_t leave_listed_at;
    bool history_complete; /* core has every version that was ever in force */
} shared_state_t;

typedef struct {
    settings_t settings;
    uint8_t peer_key[PEER_KEY_LEN];
    uint64_t self;
    ms_t started;
    kern_t *kern;
    pool_t *in, *out;               /* packets to and from decide */
    int return_fd, own_fd, peer_fd; /* open while the daemon runs */
    counters_t count;
    shared_state_t shared;
} daemon_t;

#define SHARED_SET(d, name, v)                                                \
    __atomic_store_n(&(d)->shared.name, (v), __ATOMIC_RELEASE)
#define SHARED_GET(d, name)                                                   \
    __atomic_load_n(&(d)->shared.name, __ATOMIC_ACQUIRE)

/* ---- The duties ---- */

void receive_run(duty_t *self, void *daemon);
void decide_run(duty_t *self, void *daemon);
void send_run(duty_t *self, void *daemon);
void watch_run(duty_t *self, void *daemon);
void roster_run(duty_t *self, void *daemon);
void bulk_run(duty_t *self, void *daemon);
void admin_run(duty_t *self, void *daemon);

/* The source of a bundle: the texts of one version, with hash and change ID.
 */
typedef struct {
    const char *part; /* the duty that received it, for logs */
    const char *from; /* the peer's name or the platform's URL */
    ms_t age;         /* since it came into force there */
    bool complete;    /* peers only: no instance had an earlier version */
    bool first;       /* platform only: the site's first version */
} bundle_source_t;

/* Parses and checks a bundle's text, and posts it to decide if it is newer
 * than the version in force.  Takes ownership of JSON. */
int offer_bundle(daemon_t *d, char *json, const bundle_source_t *src);

/* ---- Snapshots for operators ---- */

typedef enum { QUERY_STATUS, QUERY_DRAIN, QUERY_UNDRAIN } query_kind_t;

typedef struct {
    char name[NAME_LEN];
    core_stats_t stats;
} service_view_t;

typedef struct {
    char state[16];
    uint64_t version;
    ms_t version_age;
    uint32_t flows, hints, exchanges;
    uint32_t pending_exchanges, pending_pins;
    size_t n_peers, n_upstreams, n_services;
    member_t *peers; /* without this instance */
    core_upstream_t *upstreams;
    service_view_t *services;
} view_t;

/* Shared by admin and decide; reference counted. */
struct query {
    query_kind_t kind;
    pthread_mutex_t lock;
    pthread_cond_t done_cond;
    bool done;
    int refs;
    int rc; /* result of QUERY_DRAIN and QUERY_UNDRAIN */
    view_t view;
};

query_t *query_new(query_kind_t kind);
void query_release(query_t *q);
/* Called by decide when the view is complete. */
void query_done(query_t *q);
/* Called by admin.  Returns 0 or -ETIMEDOUT. */
int query_wait(query_t *q, ms_t ms);

const char *class_name(class_t c);
const char *refuse_name(refuse_t r);
const char *state_name(member_state_t s);

/* Texts for HTTP answers, allocated with malloc; NULL when out of memory. */
char *report_status(const daemon_t *d, const view_t *v);
char *report_metrics(const daemon_t *d, const view_t *v);
char *report_flows(const view_t *v);

#endif
