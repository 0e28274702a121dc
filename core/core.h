/* core: the balancer's decisions.  Pure: datagrams, time, members and
 * configuration come in as arguments; what is to be sent comes out through a
 * callback.  No sockets, threads, clocks or globals, so that thousands run in
 * one process and any run can be replayed.
 *
 * docs/DESIGN.md tells the design.  In short: each flow, and the requests
 * of each service, have a home, found by rendezvous hashing over the active
 * members.  Requests and unknown flows are steered to the home, which decides
 * alone; datagrams of a flow with a hint go straight to the upstream.  A home
 * without memory of a flow uses the first choice of the table, which is the
 * same everywhere; only a pin that differs from it is copied to the backup.  A
 * home that can't be sure to be the only one has a non-idempotent request
 * barred at the other choices before it forwards it.
 */
#ifndef SISKIN_CORE_H
#define SISKIN_CORE_H

#include "base/base.h"
#include "conf/conf.h"
#include "member/member.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* After this long without any doubt about members or table, no copy of an
 * earlier request can still be sent by its client: MAX_TRANSMIT_SPAN, 45 s
 * (RFC 7252 4.8.2), and the spread of a version. */
#define DOUBT_MS 50000
/* EXCHANGE_LIFETIME (RFC 7252 4.8.2): a message ID may be used again. */
#define EXCHANGE_MS 247000
/* An upstream is trusted so long after it last told its service and epoch.
 * An upstream takes longer than this to restart or change its service. */
#define TRUST_MS 3500
#define PROBE_MS 2000 /* between identity probes of one upstream */
#define HINT_LEASE_MS 20000

/* Traffic classes, in the order in which overload sheds the last first. */
typedef enum {
    CLASS_URGENT, /* non-idempotent requests without blocks */
    CLASS_FEED,   /* Observe registrations, their acknowledgements */
    CLASS_READ,   /* other GETs */
    CLASS_BULK,   /* block-wise uploads */
    CLASS_OPAQUE, /* datagrams of a udp service */
    CLASS_COUNT
} class_t;

/* Why a request was refused; each has a counter. */
typedef enum {
    REFUSE_FULL,      /* no upstream has room for its class: not run */
    REFUSE_SHARE,     /* the caller has its share in progress: not run */
    REFUSE_NONE,      /* no upstream of the service is trusted: not run */
    REFUSE_TABLE,     /* the exchange or flow table is full: not run */
    REFUSE_MID_REUSE, /* a message ID used again too early: not run */
    REFUSE_UNKNOWN,   /* a copy may have run: outcome unknown */
    REFUSE_TOO_LARGE, /* longer than 1152 bytes without blocks: not run */
    REFUSE_UPLOAD,    /* an upload's upstream is lost: start again (4.08) */
    REFUSE_COUNT
} refuse_t;

typedef enum {
    CORE_TO_CLIENT,   /* from the service's address, to the client */
    CORE_TO_UPSTREAM, /* with the proxy header; from the own or return socket
                       */
    CORE_TO_PEER      /* a message for another instance */
} core_out_kind_t;

typedef struct {
    core_out_kind_t kind;
    union {
        struct {
            addr_t service, client;
            const uint8_t *data; /* valid during the callback */
            size_t len;
        } client;
        struct {
            addr_t upstream;
            spp_t header;
            bool own; /* replies must come to this instance, not to any */
            const uint8_t *data;
            size_t len;
        } upstream;
        struct {
            uint64_t to; /* instance ID */
            peer_msg_t msg;
        } peer;
    };
} core_out_t;

typedef void core_emit_t(void *arg, const core_out_t *out);

typedef struct core core_t;

/* OWN_ADDR: the client address in the header of probes and cancellations,
 * by which their replies are known. */
typedef struct {
    uint64_t self;
    addr_t own_addr;
    uint64_t seed;
    uint32_t max_flows;     /* flow table; 36 bytes each, a feed 48 more */
    uint32_t max_hints;     /* hint table; 24 bytes each */
    uint32_t max_exchanges; /* request records; 300 bytes each with buffers */
} core_params_t;

core_t *core_new(const core_params_t *p, core_emit_t *emit, void *arg);
void core_free(core_t *c);

/* A newer version is in force here.  Older or equal ones are ignored
 * (-ESTALE): versions never revert.  An instance that starts is given the
 * versions of the last DOUBT_MS in order, with NOW as when each came into
 * force at the peer it has them from: it must know which upstreams may hold
 * requests made before it started.  -ENOMEM: the version before stays. */
int core_set_conf(core_t *c, ms_t now, const conf_t *conf);
/* Said before the first core_set_conf(): no instance had a version before that
 * one.  A peer knows that was told so; and an instance that has the site's
 * first version from the platform and met no elder. */
void core_history_complete(core_t *c);
/* Has a member been seen that was there before this instance? */
bool core_met_elder(const core_t *c);
bool core_history_is_complete(const core_t *c);
uint64_t core_version(const core_t *c);

/* The members changed.  LIST as members_list() gives it; DOUBT_AT and LOWEST
 * as members_doubt_at() and members_lowest_version().  -ENOMEM: those before
 * stay. */
int core_set_members(core_t *c, ms_t now, const member_t *list, size_t n,
                     ms_t doubt_at, uint64_t lowest);

/* A datagram from a caller, on the service's socket. */
void core_from_client(core_t *c, ms_t now, const addr_t *service,
                      const addr_t *client, const uint8_t *data, size_t len);
/* A datagram from an upstream (with its proxy header) on the return or own
 * socket. */
void core_from_upstream(core_t *c, ms_t now, const addr_t *upstream,
                        const uint8_t *data, size_t len);
/* A message from another instance, its tag already checked. */
void core_from_peer(core_t *c, ms_t now, const peer_msg_t *m);
/* At least every 50 ms: probes, timeouts, paced copies to backups.  A gap of
 * more than TRUST_MS since the last call (a pause) drops all trust. */
void core_tick(core_t *c, ms_t now);

/* This instance is leaving: it hands over what it alone knows and decides on
 * no new flow. */
void core_leave(core_t *c, ms_t now);
/* It stays after all. */
void core_stay(core_t *c, ms_t now);
/* Requests forwarded and unanswered, and pins not yet with their backup: a
 * leaving instance stops when both are 0 and the fabric has caught up. */
void core_pending(const core_t *c, uint32_t *exchanges, uint32_t *pins);

/* ---- What operators see ---- */

typedef struct {
    uint64_t datagrams_in, datagrams_out;
    uint64_t malformed; /* not a header, not CoAP, unknown source */
    uint64_t steered, steered_in, steer_loops, hinted;
    uint64_t misdirected; /* an upstream answered for another service */
    uint64_t refused[REFUSE_COUNT];
    uint64_t requests[CLASS_COUNT];
    uint64_t retries, duplicates, fenced, late_answers, silent_flows;
    uint64_t sync_sent, sync_bytes;
    uint64_t flow_evicted, untrusted, probes;
    hist_t wait_ms[CLASS_COUNT]; /* request forwarded to answer */
} core_stats_t;

typedef struct {
    char service[NAME_LEN];
    addr_t addr;
    char data_centre[NAME_LEN];
    bool draining, trusted, ejected;
    uint32_t epoch, in_flight, reported_busy, flows;
} core_upstream_t;

/* Of the service at that address; all zero when there is none. */
void core_stats(const core_t *c, const addr_t *service, core_stats_t *out);
size_t core_upstreams(const core_t *c, core_upstream_t *out, size_t cap);
void core_flows(const core_t *c, uint32_t *flows, uint32_t *hints,
                uint32_t *exchanges);
/* The home of a flow; 0 when there is none. */
uint64_t core_home(const core_t *c, const addr_t *service,
                   const addr_t *client);

#ifdef __cplusplus
}
#endif

#endif
