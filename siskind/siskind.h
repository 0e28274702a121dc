/* siskind, the daemon: what its duties share.  Each file is one duty; they
 * meet only through messages and the few facts below.
 *
 *   receive   datagrams from the sockets to decide
 *   decide    owns core and members; every decision is made here
 *   send      datagrams to the sockets
 *   watch     the platform's configuration
 *   roster    the platform's list of instances: registers, reads
 *   bulk      configuration between instances (ZeroMQ)
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

#define BATCH 32 /* datagrams in one call to the kernel */
#define PACKET_MAX PEER_MSG_MAX
/* A datagram older than this was held up by a pause of this process.  Acting
 * on it would repeat work that others have taken over since (a second run, an
 * answer to a port used anew); its sender has sent it again or given up. */
#define STALE_MS 1000
#define WATCHERS 2       /* instances a data centre that watch the platform */
#define DRAIN_MS 5000    /* until a configuration says otherwise */
#define LIST_LAG_MS 4000 /* the fabric's list of instances lags so far */

/* ---- Sockets ---- */

/* One bound UDP socket for a service. */
typedef struct {
    addr_t service;
    int fd;
    int refs; /* sets that hold it */
} port_t;

/* The sockets of one configuration; never changed once it is handed out. */
typedef struct {
    size_t n;
    bool missing; /* one could not be bound: try again */
    int refs;
    port_t *port[];
} port_set_t;

/* Sockets for C, those of OLD (may be NULL) kept where they still serve. */
port_set_t *ports_make(const conf_t *c, const settings_t *s,
                       const port_set_t *old);
port_set_t *ports_hold(port_set_t *p);
/* Closes a socket with its last set. */
void ports_release(port_set_t *p);
const port_t *ports_find(const port_set_t *p, const addr_t *service);

/* ---- Messages between duties ---- */

typedef enum {
    MSG_PACKET,
    MSG_PORTS,  /* decide to receive and send */
    MSG_CONF,   /* watch and bulk to decide: a newer version */
    MSG_LIST,   /* roster to decide: the platform's list */
    MSG_FETCH,  /* decide to bulk: a peer has a newer version */
    MSG_BUNDLE, /* decide to bulk: the version in force, to serve */
    MSG_ASK,    /* admin to decide */
    MSG_LEAVE,  /* main to decide; decide to roster: look at the facts */
    MSG_LEFT    /* decide to main: nothing is pending any more */
} msg_kind_t;

typedef enum { SOCK_SERVICE, SOCK_RETURN, SOCK_OWN, SOCK_PEER } sock_t;

/* One datagram, received or to be sent. */
typedef struct {
    msg_kind_t kind; /* MSG_PACKET */
    sock_t sock;
    ms_t at;        /* received, or decided */
    addr_t service; /* for SOCK_SERVICE */
    addr_t remote;
    pool_t *pool;
    uint16_t start; /* of the datagram in DATA */
    uint16_t len;
    uint8_t data[SPP_LEN + PACKET_MAX]; /* room before for a proxy header */
} packet_t;

/* A snapshot that the admin duty asks for. */
typedef struct ask ask_t;

/* Any other message. */
typedef struct {
    msg_kind_t kind;
    union {
        port_set_t *ports;
        struct {
            conf_t *conf;
            char *json;
            uint64_t version;
            ms_t age;      /* since it came into force where it is from */
            bool complete; /* a peer says: no instance had a version before it
                            */
            bool first;    /* the platform has it as the site's first */
        } conf;            /* MSG_CONF, MSG_BUNDLE (conf NULL) */
        struct {
            size_t n;
            plat_instance_t *instance;
        } list;
        struct {
            char name[NAME_LEN];
            addr_t bulk_addr;
            uint64_t version;
        } fetch;
        ask_t *ask;
    };
} note_t;

note_t *note_new(msg_kind_t kind);
/* Frees a packet or a note and all that it holds. */
void msg_drop(void *msg);
/* Posts N, or drops it when the inbox is full. */
int note_post(duty_t *to, note_t *n);

/* ---- What every duty may read ---- */

/* Each counter has one writer; any thread reads. */
typedef struct {
    uint64_t received, sent;
    uint64_t shed[4];       /* by sock_t: no room in decide's inbox */
    uint64_t stale_in;      /* held up by a pause before the decision */
    uint64_t stale_out;     /* held up after it */
    uint64_t too_long;      /* longer than DATAGRAM_MAX */
    uint64_t peer_refused;  /* a peer's tag or body is wrong */
    uint64_t send_full;     /* no room in send's inbox */
    uint64_t send_failed;   /* refused by the kernel */
    uint64_t no_socket;     /* for a service without a socket */
    uint64_t control_bytes; /* member and sync messages sent */
    uint64_t watch_calls, roster_calls; /* to the platform */
    uint64_t bulk_served, bulk_fetched, bulk_refused, bulk_bytes;
} counters_t;

/* Written by decide, but for leave_listed_at; read by others (atomic). */
typedef struct {
    uint64_t version; /* in force */
    uint32_t peers;   /* members known besides this one */
    bool watches;     /* this instance watches the platform */
    bool leaving;
    ms_t leave_listed_at; /* by roster: the platform took "leaving"; 0: no */
    bool complete;        /* core knows all versions that ever were in force */
} facts_t;

typedef struct {
    settings_t settings;
    uint8_t peer_key[PEER_KEY_LEN];
    uint64_t self;
    ms_t started;
    kern_t *kern;
    pool_t *in, *out;               /* packets to and from decide */
    int return_fd, own_fd, peer_fd; /* open from start to end */
    counters_t count;
    facts_t facts;
} daemon_t;

#define FACT_SET(d, name, v)                                                  \
    __atomic_store_n(&(d)->facts.name, (v), __ATOMIC_RELEASE)
#define FACT(d, name) __atomic_load_n(&(d)->facts.name, __ATOMIC_ACQUIRE)

/* ---- The duties ---- */

void receive_run(duty_t *self, void *daemon);
void decide_run(duty_t *self, void *daemon);
void send_run(duty_t *self, void *daemon);
void watch_run(duty_t *self, void *daemon);
void roster_run(duty_t *self, void *daemon);
void bulk_run(duty_t *self, void *daemon);
void admin_run(duty_t *self, void *daemon);

/* Where a bundle comes from. */
typedef struct {
    const char *part; /* the duty that has it, for logs */
    const char *from; /* the peer, or the platform */
    ms_t age;         /* since it came into force there */
    bool complete;    /* a peer says: no instance had one before it */
    bool first;       /* the platform has it as the site's first */
} origin_t;

/* A bundle's text read, checked and posted to decide when it is newer than
 * what is in force.  Takes JSON. */
int offer_bundle(daemon_t *d, char *json, const origin_t *o);

/* ---- Snapshots for operators ---- */

typedef enum { ASK_STATUS, ASK_DRAIN, ASK_UNDRAIN } ask_kind_t;

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
    member_t *peers; /* self left out */
    core_upstream_t *upstreams;
    service_view_t *services;
} view_t;

/* Shared by the asker and decide; the last to let go frees it. */
struct ask {
    ask_kind_t kind;
    pthread_mutex_t lock;
    pthread_cond_t done_cond;
    bool done;
    int refs;
    int rc; /* of ASK_DRAIN and ASK_UNDRAIN */
    view_t view;
};

ask_t *ask_new(ask_kind_t kind);
void ask_release(ask_t *a);
/* By decide: the view is complete. */
void ask_done(ask_t *a);
/* By the asker: 0, or -ETIMEDOUT. */
int ask_wait(ask_t *a, ms_t ms);

const char *class_name(class_t c);
const char *refuse_name(refuse_t r);
const char *state_name(member_state_t s);

/* Texts for HTTP answers; malloc, NULL when memory is short. */
char *report_status(const daemon_t *d, const view_t *v);
char *report_metrics(const daemon_t *d, const view_t *v);
char *report_flows(const view_t *v);

#endif
