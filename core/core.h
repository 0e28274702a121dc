/* core: the balancer's decisions.  Pure: datagrams, time, members and
 * configuration are arguments; output goes through a callback.  No sockets,
 * threads, clocks or globals, so that thousands of cores run in one process
 * and any run can be replayed.
 *
 * See docs/DESIGN.md.  In short: each flow, and the requests of each
 * service, have an owner, an instance found by rendezvous hashing over the
 * active members.  Requests and unknown flows are forwarded to the owner,
 * which alone decides on them; datagrams of a flow with a forwarding hint
 * go straight to the upstream.  An owner without a pin for a flow uses the
 * first candidate of the table, which is the same at every instance; only a
 * pin that differs from that is replicated to the backup.  An owner that
 * may not be the only one has a non-idempotent request cancelled at the
 * other candidates before it forwards the request. */
#ifndef SISKIN_CORE_H
#define SISKIN_CORE_H

#include "base/base.h"
#include "conf/conf.h"
#include "member/member.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* After this period without uncertainty about members or tables, no client
 * can still send a copy of an earlier request: MAX_TRANSMIT_SPAN, 45 s (RFC
 * 7252 4.8.2), plus the time for a version to spread. */
#define OWNER_SETTLE_MS 50000
/* EXCHANGE_LIFETIME (RFC 7252 4.8.2): after this a message ID may be
 * reused. */
#define EXCHANGE_LIFETIME_MS 247000
/* Identity lease: an upstream counts as verified for this period after a
 * probe that was answered with its service and epoch.  Must be shorter than
 * the time an upstream takes to restart or to change its service. */
#define IDENTITY_LEASE_MS 3500
/* Interval of the identity probes of an upstream. */
#define IDENTITY_PROBE_MS 2000
#define HINT_LEASE_MS 20000

/* Traffic classes, from the last to be shed under overload to the first. */
typedef enum {
    CLASS_URGENT, /* non-idempotent requests without blocks */
    CLASS_FEED,   /* Observe registrations and their acknowledgements */
    CLASS_READ,   /* other GETs */
    CLASS_BULK,   /* block-wise uploads */
    CLASS_OPAQUE, /* datagrams of a udp service */
    CLASS_COUNT
} class_t;

/* Reasons for refusing a request; each has a counter. */
typedef enum {
    REFUSE_FULL,         /* no upstream has room for its class: not run */
    REFUSE_CALLER_SHARE, /* the caller's share of requests is in progress: not
                          * run */
    REFUSE_NO_UPSTREAM,  /* no upstream of the service has a valid lease: not
                          * run */
    REFUSE_TABLE_FULL,   /* the exchange or flow table is full: not run */
    REFUSE_MID_REUSE,    /* a message ID or token reused too early: not run */
    REFUSE_OUTCOME_UNKNOWN, /* a copy may have run: outcome unknown */
    REFUSE_TOO_LARGE, /* longer than 1152 bytes without blocks: not run */
    REFUSE_UPLOAD,    /* an upload's upstream is lost: start again (4.08) */
    REFUSE_COUNT
} refuse_t;

typedef enum {
    CORE_TO_CLIENT,   /* from the service's address to the client */
    CORE_TO_UPSTREAM, /* from the own or return socket, with proxy header */
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
            bool own; /* replies must reach this instance, not just any */
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
 * by which their replies are recognised. */
typedef struct {
    uint64_t self;
    addr_t own_addr;
    uint64_t seed;
    uint32_t max_flows;     /* flow table; 36 bytes each, 48 more for a feed */
    uint32_t max_hints;     /* hint table; 24 bytes each */
    uint32_t max_exchanges; /* request records; 300 bytes each with buffers */
} core_params_t;

core_t *core_new(const core_params_t *p, core_emit_t *emit, void *arg);
void core_free(core_t *c);

/* Applies a newer configuration version.  Returns -ESTALE for older and
 * equal ones, since versions never revert.  An instance that starts applies
 * the versions of the last OWNER_SETTLE_MS in order, each with NOW as the time
 * at which the version came into force at the peer that delivered it: these
 * show which upstreams may hold requests made before the start.  On -ENOMEM
 * the previous version stays in force. */
int core_set_conf(core_t *c, ms_t now, const conf_t *conf);
/* Declares that no instance had a version before the first one applied
 * here.  Call before the first core_set_conf().  This holds when a peer for
 * which it was declared says so, or when the instance got the site's first
 * version from the platform and saw no member that had started earlier. */
void core_set_history_complete(core_t *c);
/* True when a member was seen that had started before this instance. */
bool core_saw_older_member(const core_t *c);
bool core_history_is_complete(const core_t *c);
uint64_t core_version(const core_t *c);

/* Updates the members.  LIST is as from members_list(); UNCERTAIN_AT and
 * LOWEST_VERSION are those of members_uncertain_at() and
 * members_lowest_version().  On -ENOMEM the previous list stays. */
int core_set_members(core_t *c, ms_t now, const member_t *list, size_t n,
                     ms_t uncertain_at, uint64_t lowest_version);

/* Handles a datagram from a caller, received on the service's socket. */
void core_from_client(core_t *c, ms_t now, const addr_t *service,
                      const addr_t *client, const uint8_t *data, size_t len);
/* Handles a datagram from an upstream (with its proxy header), received on
 * the return or own socket. */
void core_from_upstream(core_t *c, ms_t now, const addr_t *upstream,
                        const uint8_t *data, size_t len);
/* Handles a message from another instance whose tag has been verified. */
void core_from_peer(core_t *c, ms_t now, const peer_msg_t *m);
/* Call at least every 50 ms: sends probes, checks timeouts, replicates pins
 * to backups at a limited rate.  A gap between calls that handle input or
 * time is a pause of the process: one of more than PAUSE_MS (input.c, 400 ms)
 * makes ownership uncertain, one of more than IDENTITY_LEASE_MS also ends all
 * identity leases. */
void core_tick(core_t *c, ms_t now);

/* This instance is leaving: hands over the pins that only it holds and decides
 * on no new flow. */
void core_leave(core_t *c, ms_t now);
/* Cancels the leaving. */
void core_cancel_leave(core_t *c, ms_t now);
/* Counts requests in progress and pins that their sync target has not
 * acknowledged.  A leaving instance stops when both are 0 and the fabric
 * has caught up. */
void core_pending(const core_t *c, uint32_t *exchanges, uint32_t *pins);

/* ---- Statistics ---- */

typedef struct {
    uint64_t datagrams_in, datagrams_out;
    uint64_t malformed; /* no header, not CoAP, or from an unknown source */
    uint64_t steered, steered_in, steer_loops, hinted;
    uint64_t misdirected; /* an upstream answered for another service */
    uint64_t refused[REFUSE_COUNT];
    uint64_t requests[CLASS_COUNT];
    uint64_t retries, duplicates, fenced, late_answers, silent_flows;
    uint64_t sync_sent, sync_bytes;
    uint64_t flow_evicted, untrusted, probes;
    hist_t wait_ms[CLASS_COUNT]; /* from forwarding a request to its answer */
} core_stats_t;

typedef struct {
    char service[NAME_LEN];
    addr_t addr;
    char data_centre[NAME_LEN];
    bool draining, lease_valid, ejected;
    uint32_t epoch, in_flight, reported_busy, flows;
} core_upstream_t;

/* Statistics of the service at that address; all zero when there is none. */
void core_stats(const core_t *c, const addr_t *service, core_stats_t *out);
size_t core_upstreams(const core_t *c, core_upstream_t *out, size_t cap);
void core_table_usage(const core_t *c, uint32_t *flows, uint32_t *hints,
                      uint32_t *exchanges);
/* The owner of a flow; 0 when there is none. */
uint64_t core_owner(const core_t *c, const addr_t *service,
                    const addr_t *client);

#ifdef __cplusplus
}
#endif

#endif
