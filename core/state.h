/* The state of the core, private to core/.
 *
 * A file may call files of its own layer and of lower ones (test/layers.sh):
 *
 * layer 1: map send
 * layer 2: upstreams exchanges
 * layer 3: owners table flows sync
 * layer 4: dispatch pins
 * layer 5: uploads
 * layer 6: request
 * layer 7: input
 * layer 8: core
 *
 *   map.c        hash table from IDs to indices
 *   send.c       output
 *   upstreams.c  probes and leases, load, ejection, cancellations
 *   exchanges.c  records of requests
 *   owners.c     owner and backup of a key
 *   table.c      buckets: candidates of a flow, current and previous
 *   flows.c      flow table, feeds, hint table
 *   sync.c       replication of pins to the backup
 *   dispatch.c   forwarding, refusal and cancellation of a request
 *   pins.c       flows at their owner
 *   uploads.c    uploads at their owner
 *   request.c    requests at their owner
 *   input.c      input, and whether to forward it to its owner
 *   core.c       start, configuration, ticks, statistics
 */
#ifndef SISKIN_CORE_STATE_H
#define SISKIN_CORE_STATE_H

#include "core/core.h"

/* ---- map.c ---- */

#define MAP_NONE UINT32_MAX

/* Hash table from 64-bit keys (not 0) to indices; open addressing. */
typedef struct {
    uint64_t *keys;
    uint32_t *values;
    uint32_t mask, used;
} map_t;

uint32_t map_get(const map_t *m, uint64_t key);
/* Returns -ENOMEM, and leaves M unchanged, when memory runs out. */
int map_put(map_t *m, uint64_t key, uint32_t value);
/* Reserves room for MORE entries: so many calls of map_put() can't fail. */
int map_reserve(map_t *m, size_t more);
void map_free(map_t *m);

/* The smallest power of two that is not less than N. */
uint32_t pow2(uint32_t n);

/* ---- owners.c ---- */

#define OWNER_SLOTS 4096 /* the slot of a key is its top 12 bits */

typedef struct {
    uint64_t owner;  /* first ACTIVE member by rank; 0: none */
    uint64_t backup; /* where self is the owner, the next ACTIVE; elsewhere the
                      * owner; with BACKUP_JOINS, the JOINING one */
    uint64_t previous; /* the owner before this one; 0: none, or unreachable */
    ms_t owner_since;  /* when OWNER was set, by this instance's clock */
    bool backup_joins; /* BACKUP is JOINING and will take over */
    bool changed;      /* sync_target() or the hand-over has changed */
    bool may_own;      /* self is its owner or backup, or would be if ACTIVE */
} slot_t;

/* The fields of a member that the core uses. */
typedef struct {
    uint64_t id;
    uint32_t incarnation;
    member_state_t state;
} peer_t;

/* ---- table.c ---- */

/* Indices of upstreams and services in the core's arrays, sized for 120,000
 * upstreams and 18,000 services. */
typedef uint32_t up_ix_t;
typedef uint16_t service_ix_t;
#define UP_NONE UINT32_MAX
#define SERVICE_NONE UINT16_MAX
#define CANDIDATES 3   /* candidate upstreams of a bucket */
#define PREVIOUS_MAX 3 /* previous candidate sets kept for a bucket */
#define CANDIDATES_MAX (CANDIDATES + CANDIDATES * PREVIOUS_MAX)
#define GROUP_UPSTREAMS 64

/* The candidates of a bucket before a change. */
typedef struct {
    up_ix_t candidate[CANDIDATES]; /* upstream indices */
    uint64_t version; /* the configuration version that replaced them */
    ms_t until;       /* when that version came into force here */
} previous_t;

typedef struct {
    /* by rank; the third only for PREFER_BALANCE */
    up_ix_t candidate[CANDIDATES];
    uint8_t n_previous;
    previous_t previous[PREVIOUS_MAX];
} bucket_t;

/* ---- upstreams.c ---- */

typedef struct {
    bool used;         /* false: its address was moved to another service */
    bool listed;       /* in the configuration in force */
    ms_t listed_since; /* earliest time at which any instance listed it;
                        * INT64_MIN / 2: unknown */
    ms_t unlisted_at;
    ms_t hinted_until;  /* lease end of the last hint received for it */
    bool draining;      /* by its own report */
    bool conf_draining; /* by configuration */
    service_ix_t service;
    conf_upstream_t conf;

    bool verified; /* has answered a probe for its service at least once */
    bool wrong_service; /* its last answer named another service */
    uint32_t epoch;     /* start epoch, 0: unknown */
    ms_t epoch_since;   /* start of that epoch, INT64_MIN / 2: long ago */
    ms_t lease_until;
    ms_t probe_sent, probe_next;
    uint16_t probe_seq;
    uint8_t probe_misses; /* consecutive probes without an answer */

    uint32_t in_flight; /* requests forwarded by this owner, unanswered */
    uint32_t uploads;   /* uploads pinned by this owner */
    uint32_t flows;     /* flows pinned by this owner */
    uint32_t reported;  /* busy and queued requests in its last report */
    uint32_t in_flight_at_probe; /* IN_FLIGHT when the last probe was sent */
    uint32_t same_reports;       /* consecutive reports with the same value */
    uint32_t finished_since_change; /* requests, since REPORTED changed */
    ms_t eject_until;
    uint32_t sheds; /* consecutive requests refused as "not run" */
} up_t;

/* ---- flows.c ---- */

enum {
    FLOW_FEED = 1,    /* has an entry in feeds */
    FLOW_UPLOAD = 2,  /* a block-wise upload */
    FLOW_REPLICA = 4, /* replica held for another owner */
    FLOW_SYNCED = 8,  /* acknowledged by the sync target */
    FLOW_USED = 16,
    FLOW_LAST_BLOCK = 32, /* an upload whose last block was forwarded */
    FLOW_ENDED = 64 /* that upload was answered: no longer occupies a slot */
};

/* A flow pinned to an upstream. */
typedef struct {
    uint64_t key;
    uint32_t next; /* hash chain, index + 1 */
    uint32_t last; /* last datagram, tenths of seconds since start */
    uint32_t feed; /* index + 1 into feeds, 0: none */
    up_ix_t up;
    up_ix_t older_up; /* upstream of older feeds of the flow, or UP_NONE */
    service_ix_t service;
    uint8_t flags;
    uint8_t forwards; /* datagrams from peers, up to HINT_THRESHOLD */
} flow_t;
_Static_assert(sizeof(flow_t) == 32, "hundreds of millions are kept");

/* Data needed to notify a caller that its feed is lost. */
typedef struct {
    uint32_t next_free; /* index + 1 */
    addr_t client;
    uint8_t token_len;
    uint8_t token[COAP_TOKEN_MAX];
    ms_t last_seen; /* last datagram from either end */
    uint8_t pings;  /* unanswered CoAP pings */
} feed_t;

typedef struct {
    uint64_t key;
    uint64_t upstream;
    ms_t until;
} hint_t;

/* ---- exchanges.c ---- */

#define EX_BUF 1152 /* longest request, RFC 7252 4.6; later the answer */
#define CANCEL_MAX CANDIDATES_MAX

typedef enum {
    EX_FREE,
    EX_AWAITING_CANCEL, /* being cancelled at the other candidates */
    EX_SENT,            /* forwarded, unanswered */
    EX_DONE,            /* answered; the buffer, if any, holds the answer */
    EX_REFUSED,         /* refused finally, with FINAL_CODE */
    EX_CANCELLED /* cancelled by another owner, which answers the caller */
} ex_state_t;

typedef struct {
    link_t link;   /* in ex_active or ex_kept (oldest first) */
    uint64_t key;  /* flow key */
    uint32_t next; /* hash chain, index + 1 */
    ex_state_t state;
    class_t cls;
    bool idempotent;
    bool counted;  /* in its upstream's in_flight and its caller's share */
    uint8_t tries; /* retries so far */
    uint8_t generation; /* counts the uses of this record */
    uint16_t mid;
    uint16_t answer_mid; /* message ID of a separate response, 0: none */
    service_ix_t service;
    up_ix_t up;     /* target, UP_NONE: none */
    uint32_t epoch; /* epoch of UP when forwarded */
    ms_t sent, retry_at;
    addr_t client;
    uint8_t token_len;
    uint8_t token[COAP_TOKEN_MAX];
    coap_type_t type;
    uint8_t n_cancelling;
    up_ix_t cancelling[CANCEL_MAX]; /* upstreams whose cancel reply is
                                       outstanding */
    bool refuse_when_cancelled; /* once cancelled everywhere, answer "not run"
                                 */
    bool found;                 /* an earlier copy was found at its upstream */
    bool awaiting_probe;    /* waits for a new candidate's first probe reply */
    refuse_t refuse_reason; /* reason of that refusal */
    uint8_t final_code;     /* code of the final answer, EX_REFUSED */
    uint32_t retry_after_s; /* Max-Age of the final answer */
    uint16_t len;           /* bytes in the buffer, 0: empty */
    uint32_t buf;           /* index + 1 into ex_bufs, 0: none */
} ex_t;

/* ---- a service ---- */

#define SHARE_SLOTS 1024
#define BATCHES 8 /* destinations with a sync message being filled */

typedef struct {
    conf_service_t conf; /* its upstreams pointer is not used */
    uint64_t id;
    uint32_t n_buckets; /* a power of two */
    bucket_t *buckets;
    up_ix_t *ups; /* indices of its listed upstreams */
    uint32_t n_ups;
    bool may_own;      /* this instance may own some of its keys */
    uint32_t groups;   /* of its requests; each group has one owner */
    ms_t groups_since; /* last change of their number */
    uint64_t forwarded, retried; /* for the retry budget */
    uint16_t share[SHARE_SLOTS]; /* requests in progress by hash of the
                                    caller's IP */
    core_stats_t stats;
} service_t;

struct core {
    core_params_t p;
    core_emit_t *emit;
    void *arg;
    ms_t now, start, last_call;
    rng_t rng;
    uint64_t version, lowest_version;
    bool leaving;
    bool first_version;    /* the version in force is the first applied here */
    bool history_complete; /* no instance had a version before that one */
    bool met_older;        /* saw a member that started before this instance */
    bool handover;     /* a member joins: pins are handed over as planned */
    bool suspects;     /* some member is SUSPECT */
    ms_t uncertain_at; /* last time that a key could have two owners */
    map_t up_map, service_map; /* addr_id() to index */

    slot_t *slots;
    peer_t *peers;
    size_t n_peers;

    service_t *services;
    uint32_t n_services; /* indices used so far */
    size_t cap_services;
    up_t *ups;
    uint32_t n_ups;
    size_t cap_ups;

    flow_t *flows;
    uint32_t *flow_heads, flow_mask, flow_free, flow_used, sweep;
    uint32_t flow_top, feed_top; /* entries ever used */
    feed_t *feeds;
    uint32_t feed_free;
    hint_t *hints;
    uint32_t hint_mask;

    ex_t *exs;
    uint32_t *ex_heads, ex_mask, ex_free, ex_used, ex_top;
    link_t ex_active, ex_kept;
    uint8_t (*ex_bufs)[EX_BUF];
    uint32_t *ex_buf_free, n_buf_free, n_bufs;

    struct {
        uint64_t to;
        peer_msg_t msg;
    } batch[BATCHES]; /* sync messages being filled */
    uint32_t
        sync_budget; /* bytes left for paced pin replication in this tick */
    uint16_t mid;    /* last message ID of messages that originate here */
};

/* A datagram being processed. */
typedef struct {
    service_ix_t service;
    const spp_t *h;
    uint64_t key;
    uint64_t owner_key; /* key by which the owner of the flow is found */
    uint64_t from;      /* the forwarding instance, 0: from the caller */
    uint8_t hops;
    const uint8_t *data;
    size_t len;
    const coap_msg_t *m; /* NULL for a udp service */
} dgram_t;

/* owners.c */
slot_t *slot_of(core_t *c, uint64_t key);
uint64_t owner_of(core_t *c, uint64_t key);
/* The instance that must hold a replica of the pins of KEY; 0: none. */
uint64_t sync_target(core_t *c, uint64_t key);
/* True when all pins of KEY must go to the target: another instance owns
 * KEY or is joining to take it over. */
bool handing_over(core_t *c, uint64_t key);
/* True when this instance is the only possible owner of KEY, and was for
 * the last OWNER_SETTLE_MS. */
bool owner_exclusive(core_t *c, uint64_t key);
/* The previous owner, which may have pins that are missing here; 0: none. */
uint64_t previous_owner(core_t *c, uint64_t key);

/* table.c */
bucket_t *bucket_of(service_t *s, uint64_t key);
/* SERVICE_NONE: not found. */
service_ix_t service_find(const core_t *c, const addr_t *a);
void table_build(core_t *c, service_ix_t service);
/* Reserves room for N_UPS upstreams, as table_build() needs.  On -ENOMEM
 * the table stays as it was. */
int table_reserve(service_t *s, uint32_t n_ups);
/* The key by which the owner of the requests of FLOW is found. */
uint64_t request_owner_key(const service_t *s, uint64_t flow);
/* The key by which the owner of a flow is found. */
uint64_t flow_owner_key(const service_t *s, uint64_t flow);
/* Sets may_own of S. */
void service_update_may_own(core_t *c, service_t *s);
/* Writes to OUT all upstreams to which another owner may have sent a
 * request of KEY: the current candidates, and previous ones that have not
 * expired.  Returns their number. */
int all_candidates(core_t *c, service_t *s, uint64_t key, up_ix_t *out);
/* True when some instance may still use a previous candidate set of KEY. */
bool candidates_differ(const core_t *c, service_t *s, uint64_t key);
/* The first candidate of KEY that was in force until SINCE or later and
 * differs from the current one; UP_NONE: none. */
up_ix_t previous_first(service_t *s, uint64_t key, ms_t since);

/* upstreams.c */
up_ix_t up_find(core_t *c, const addr_t *a);
up_ix_t up_find_id(const core_t *c, uint64_t id);
/* Requires room: see ups_reserve(). */
up_ix_t up_add(core_t *c, const conf_upstream_t *conf, service_ix_t service);
/* Reserves room for MORE upstreams.  Returns -ENOMEM when memory runs out. */
int ups_reserve(core_t *c, size_t more);
bool up_lease_valid(const core_t *c, up_ix_t u);
/* True when U is given up: it serves another service, or has left
 * MISSES_LOST probes unanswered.  An upstream whose lease is not valid but
 * that is not lost has yet to answer, after a pause or at an instance that
 * has just become an owner: its flows keep their pins, and their datagrams
 * are dropped for the moment. */
bool up_lost(const core_t *c, up_ix_t u);
/* True when U may get new work: lease valid, listed, not draining, not
 * ejected, and answering probes. */
bool up_eligible(const core_t *c, up_ix_t u);
/* Load of U with one more request: requests per slot and unit of weight, in
 * thousandths.  During slow start, only a part of the slots counts. */
uint32_t up_load(const core_t *c, up_ix_t u);
/* True when U has room for work of class CLS. */
bool up_room(const core_t *c, up_ix_t u, class_t cls);
/* The eligible upstream with the highest rank for KEY, other than NOT_. */
up_ix_t up_next(core_t *c, service_t *s, uint64_t key, up_ix_t not_);
/* The least loaded of the N upstreams LIST with room for CLS; FIRST wins a
 * tie.  The owner sees all requests of the service, so it needs no random
 * choice. */
up_ix_t up_least_loaded(const core_t *c, const up_ix_t *list, uint32_t n,
                        up_ix_t first, class_t cls);
/* First byte and length of the token of a cancellation. */
#define CANCEL_TAG 'C'
#define CANCEL_TOKEN_LEN 8
void up_probe_tick(core_t *c);
/* Handles the answer to a probe.  Returns true when the upstream has
 * restarted. */
bool up_from_probe(core_t *c, up_ix_t u, const coap_msg_t *m);
/* Counts a request that U refused as "not run"; may eject U. */
void up_shed(core_t *c, up_ix_t u);
void up_cancel(core_t *c, const ex_t *ex, up_ix_t u);

/* flows.c */
int flows_new(core_t *c);
void flows_free(core_t *c);
flow_t *flow_find(core_t *c, uint64_t key);
flow_t *flow_add(core_t *c, uint64_t key, service_ix_t service, up_ix_t up,
                 uint8_t flags);
/* Finds the flow of KEY for its owner; a replica becomes this instance's
 * own pin. */
flow_t *flow_claim(core_t *c, uint64_t key);
/* The key by which the owner of F is found: for an upload, that of the
 * requests of its service. */
uint64_t pin_owner_key(core_t *c, const flow_t *f);
void flow_remove(core_t *c, flow_t *f);
void flow_pin(core_t *c, flow_t *f, up_ix_t up);
void flow_touch(core_t *c, flow_t *f);
/* Handles M, the answer to a block of the upload F. */
void upload_answered(core_t *c, flow_t *f, const coap_msg_t *m);
void flow_set_feed(core_t *c, flow_t *f, const dgram_t *d);
void flow_sweep(core_t *c);
/* Ends all flows of this owner at UP, and notifies the callers of their feeds.
 */
void flows_end_at(core_t *c, up_ix_t up);
/* Ends the flows of lost upstreams, except uploads, and notifies the callers
 * of their feeds. */
void flows_tick(core_t *c);
const hint_t *hint_find(core_t *c, uint64_t key);
void hint_put(core_t *c, uint64_t key, uint64_t upstream, ms_t lease);

/* exchanges.c */
int exchanges_new(core_t *c);
void exchanges_free(core_t *c);
ex_t *ex_find(core_t *c, uint64_t key, uint16_t mid);
ex_t *ex_find_token(core_t *c, uint64_t key, const coap_msg_t *m);
ex_t *ex_find_answer(core_t *c, uint64_t key, uint16_t answer_mid);
ex_t *ex_add(core_t *c, const dgram_t *d);
void ex_remove(core_t *c, ex_t *ex);
/* Sets the state of EX and moves the record to the list of that state. */
void ex_set_state(core_t *c, ex_t *ex, ex_state_t state);
service_t *ex_service(core_t *c, const ex_t *ex);
uint8_t *ex_bytes(core_t *c, const ex_t *ex);
/* Stores DATA in the record's buffer.  Returns false when no buffer is
 * free. */
bool ex_store(core_t *c, ex_t *ex, const uint8_t *data, size_t len);
void ex_free_buf(core_t *c, ex_t *ex);
/* Counter of the requests in progress of CLIENT's IP at S.  IP addresses
 * with the same hash share a counter. */
uint16_t *share_of(service_t *s, const addr_t *client);
/* Adds EX to, or removes it from, the counters of its upstream and caller. */
void ex_count(core_t *c, ex_t *ex, bool on);
void ex_expire(core_t *c);
class_t class_of(const coap_msg_t *m);

/* sync.c */

void sync_flush(core_t *c);
/* Sets the budget for paced replication, each tick. */
void sync_refill(core_t *c);
void sync_flow(core_t *c, flow_t *f);

void sync_receive(core_t *c, const peer_msg_t *m);
void sync_acked(core_t *c, const peer_msg_t *m);
void sync_targets_changed(core_t *c);

/* dispatch.c */
/* True when this instance is the only possible owner of EX, and no instance
 * may still use other candidates for it. */
bool ex_exclusive(core_t *c, const ex_t *ex);
/* Has EX cancelled at every upstream that may hold a copy, except its
 * target.  The outcome is unknown when one of these or the target has no
 * valid lease, or has restarted and so lost its record of requests. */
void ex_cancel_elsewhere(core_t *c, ex_t *ex);
/* Sends EX to its upstream. */
void ex_forward(core_t *c, ex_t *ex);
/* Refuses EX as "not run", which must stay true.  An exclusive owner
 * refuses at once: its record keeps later copies from running.  An owner
 * with uncertain ownership first has the request cancelled wherever a copy
 * could be; when that fails, the outcome is unknown. */
void ex_refuse(core_t *c, ex_t *ex, refuse_t why);
void ex_end_unknown(core_t *c, ex_t *ex);
/* Sends the final answer of EX, also to a duplicate. */
void ex_send_final(core_t *c, const ex_t *ex);
/* Repeats the cancellations of EX, or gives up. */
void ex_retry_cancel(core_t *c, ex_t *ex);
/* Handles an upstream's reply to a cancellation. */
void request_cancel_reply(core_t *c, up_ix_t u, const coap_msg_t *m);

/* uploads.c */
bool is_upload_block(const coap_msg_t *m);
/* Sends a block of an upload to the upstream of its first block. */
void upload_block(core_t *c, const dgram_t *d);

/* request.c */
void request_at_owner(core_t *c, const dgram_t *d);
/* Resends cancellations, and retries or gives up requests in progress. */
void request_tick(core_t *c);
void request_answer(core_t *c, ex_t *ex, const coap_msg_t *m,
                    const uint8_t *data, size_t len);

/* input.c */
/* First call of each entry point: sets the time and detects pauses. */
void core_enter(core_t *c, ms_t now);

/* pins.c */
/* Sends D to the upstream of F; drops D when that has no valid lease. */
void send_to_pin(core_t *c, const dgram_t *d, const flow_t *f, bool own);
void opaque_at_owner(core_t *c, const dgram_t *d);
void feed_at_owner(core_t *c, const dgram_t *d);
void empty_at_owner(core_t *c, const dgram_t *d);

/* send.c */
void send_hint(core_t *c, uint64_t to, const flow_t *f);
void send_client(core_t *c, service_ix_t service, const addr_t *client,
                 const uint8_t *data, size_t len);
void send_upstream(core_t *c, up_ix_t u, const addr_t *client, bool own,
                   const uint8_t *data, size_t len);
void send_to_owner(core_t *c, const dgram_t *d, uint64_t to);
/* Builds an answer to a request in BUF and returns its length. */
int answer_build(core_t *c, uint8_t *buf, size_t cap, const ex_t *ex,
                 uint8_t code, uint32_t max_age);
void answer_now(core_t *c, const dgram_t *d, uint8_t code, uint32_t max_age,
                refuse_t why);
uint32_t retry_after_s(core_t *c, const service_t *s);

#endif
