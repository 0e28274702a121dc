/* The core's state, shared by core's own files only.
 *
 * Files call those of their own layer and below (test/layers.sh):
 *
 * layer 1: map send
 * layer 2: upstreams exchanges
 * layer 3: owners table flows sync
 * layer 4: pins request
 * layer 5: input
 * layer 6: core
 *
 *   map.c        addresses to indices
 *   send.c       what goes out
 *   upstreams.c  trust, load, ejection, choice of an upstream for new work
 *   exchanges.c  records of requests
 *   owners.c     which instance is the home of a key, and who is its backup
 *   table.c      buckets: the choices of a flow, and earlier ones
 *   flows.c      pins of flows at their home, hints at other instances
 *   sync.c       copies of pins for the backup
 *   pins.c       flows at their home
 *   request.c    what a home does with a request
 *   input.c      what comes in, and where it is decided on
 *   core.c       start, configuration, ticks, statistics
 */
#ifndef SISKIN_CORE_STATE_H
#define SISKIN_CORE_STATE_H

#include "core/core.h"

/* ---- map.c ---- */

#define MAP_NONE UINT32_MAX

/* 64-bit keys (not 0) to indices; open addressing. */
typedef struct {
    uint64_t *keys;
    uint32_t *values;
    uint32_t mask, used;
} map_t;

uint32_t map_get(const map_t *m, uint64_t key);
/* -ENOMEM: M is as before. */
int map_put(map_t *m, uint64_t key, uint32_t value);
/* MORE entries can be put without a failure. */
int map_reserve(map_t *m, size_t more);
void map_free(map_t *m);

/* The least power of two that isn't below N. */
uint32_t pow2(uint32_t n);

/* ---- owners.c ---- */

#define OWNER_SLOTS 4096 /* a key's slot is its top 12 bits */

typedef struct {
    uint64_t owner;    /* first by rank among ACTIVE; 0: none */
    uint64_t backup;   /* next ACTIVE, or a JOINING one that will be home */
    uint64_t previous; /* the home before this one, 0 if it isn't there */
    ms_t owner_since;  /* when HOME became it, as seen here */
    bool backup_joins; /* BACKUP is JOINING and will take over */
    bool changed;      /* who gets copies of its pins has changed */
    bool may_own;      /* self is its home or backup, or would be if ACTIVE */
} slot_t;

/* A member as the core needs it. */
typedef struct {
    uint64_t id;
    uint32_t incarnation;
    member_state_t state;
} peer_t;

/* ---- table.c ---- */

/* Places of upstreams and services in the core's arrays: 120,000 upstreams and
 * 18,000 services are designed for. */
typedef uint32_t up_ix_t;
typedef uint16_t service_ix_t;
#define UP_NONE UINT32_MAX
#define SERVICE_NONE UINT16_MAX
#define CANDIDATES 3   /* upstreams that a bucket names */
#define PREVIOUS_MAX 3 /* earlier sets of choices remembered for a bucket */
#define CANDIDATES_MAX (CANDIDATES + CANDIDATES * PREVIOUS_MAX)
#define GROUP_UPSTREAMS 64

/* The choices that a bucket had before a change. */
typedef struct {
    up_ix_t candidate[CANDIDATES]; /* upstream indices */
    uint64_t version;              /* the version that changed them */
    ms_t until;                    /* when that came into force here */
} previous_t;

typedef struct {
    up_ix_t
        candidate[CANDIDATES]; /* by rank; the third only for PREFER_BALANCE */
    uint8_t n_previous;
    previous_t previous[PREVIOUS_MAX];
} bucket_t;

/* ---- upstreams.c ---- */

typedef struct {
    bool used;         /* this index is taken */
    bool listed;       /* in the configuration in force */
    ms_t listed_since; /* no instance had it before; INT64_MIN: unknown */
    ms_t unlisted_at;
    ms_t hinted_until;    /* a hint for it is held here until then */
    bool draining;        /* by its own report */
    bool conf_draining;   /* by configuration */
    service_ix_t service; /* index */
    conf_upstream_t conf;

    bool verified;      /* has ever answered for its service */
    bool wrong_service; /* its last answer named another service */
    uint32_t epoch;     /* its start epoch, 0: not known */
    ms_t epoch_since;   /* start of that epoch, INT64_MIN: long ago */
    ms_t lease_until;
    ms_t probe_sent, probe_next;
    uint16_t probe_seq;
    uint8_t probe_misses; /* probes in a row without an answer */

    uint32_t in_flight; /* requests forwarded by this home, unanswered */
    uint32_t uploads;   /* uploads pinned by this home */
    uint32_t flows;     /* flows pinned by this home */
    uint32_t reported;  /* busy and queued requests by its last report */
    uint32_t in_flight_at_probe; /* IN_FLIGHT when that probe was sent */
    uint32_t same_reports;       /* reports in a row with that value */
    uint32_t
        finished_since_change; /* requests finished since the value changed */
    ms_t eject_until;
    uint32_t sheds; /* in a row */
} up_t;

/* ---- flows.c ---- */

enum {
    FLOW_FEED = 1,    /* has an entry in feeds */
    FLOW_UPLOAD = 2,  /* a block-wise upload */
    FLOW_REPLICA = 4, /* held for another home */
    FLOW_SYNCED = 8,  /* the sync target has it */
    FLOW_USED = 16,
    FLOW_LAST_BLOCK = 32, /* an upload whose last block was forwarded */
    FLOW_ENDED = 64       /* and answered: it takes no slot any more */
};

/* A flow pinned to an upstream. */
typedef struct {
    uint64_t key;
    uint32_t next; /* chain, index + 1 */
    uint32_t last; /* last datagram seen, tenths of seconds since start */
    uint32_t feed; /* index + 1 into feeds, 0: none */
    up_ix_t up;
    up_ix_t older_up; /* where older feeds of the flow live, or UP_NONE */
    service_ix_t service;
    uint8_t flags;
    uint8_t forwards; /* datagrams steered here, to decide on a hint */
} flow_t;
_Static_assert(sizeof(flow_t) == 32, "hundreds of millions are kept");

/* What is needed to tell a caller that its feed is lost. */
typedef struct {
    uint32_t next_free; /* index + 1 */
    addr_t client;
    uint8_t token_len;
    uint8_t token[COAP_TOKEN_MAX];
    ms_t last_seen; /* last sign of life from either end */
    uint8_t pings;  /* unanswered */
} feed_t;

typedef struct {
    uint64_t key;
    uint64_t upstream;
    ms_t until;
} hint_t;

/* ---- exchanges.c ---- */

#define EX_BUF 1152 /* longest request, RFC 7252 4.6; then the answer */
#define FENCE_MAX CANDIDATES_MAX

typedef enum {
    EX_FREE,
    EX_FENCING,  /* its other choices are asked to bar it */
    EX_SENT,     /* forwarded */
    EX_DONE,     /* answered; the buffer, if any, holds the answer */
    EX_REFUSED,  /* refused for good, with FINAL */
    EX_CANCELLED /* another home has taken it over */
} ex_state_t;

typedef struct {
    link_t in;     /* ex_active, or ex_kept (oldest first) */
    uint64_t key;  /* flow key */
    uint32_t next; /* chain, index + 1 */
    ex_state_t state;
    class_t cls;
    bool idempotent;
    bool counted;       /* in its upstream's in_flight and caller's share */
    uint8_t tries;      /* forwards that an upstream shed */
    uint8_t generation; /* counts the uses of this entry */
    uint16_t mid;
    uint16_t answer_mid; /* of a separate response, 0: none */
    service_ix_t service;
    up_ix_t up;     /* target, UP_NONE: none */
    uint32_t epoch; /* of UP when forwarded */
    ms_t sent, retry_at;
    addr_t client;
    uint8_t token_len;
    uint8_t token[COAP_TOKEN_MAX];
    coap_type_t type;
    uint8_t n_fence;
    up_ix_t fence[FENCE_MAX]; /* upstreams still to answer */
    bool refuse_when_fenced;  /* once barred everywhere, say "not run" */
    bool found;               /* an earlier copy was found at its upstream */
    bool awaiting_probe; /* a choice is new and has not answered a probe yet */
    refuse_t refuse_reason; /* of that refusal */
    uint8_t final_code;     /* code of the final answer, EX_REFUSED */
    uint32_t retry_after_s; /* its Max-Age */
    uint16_t len;           /* of what the buffer holds, 0: nothing */
    uint32_t buf;           /* index + 1 into ex_bufs, 0: none */
} ex_t;

/* ---- a service ---- */

#define SHARE_SLOTS 1024
#define BATCHES 8 /* instances that copies are gathered for */

typedef struct {
    conf_service_t conf; /* its upstreams pointer is not used */
    uint64_t id;
    uint32_t n_buckets; /* a power of two */
    bucket_t *buckets;
    up_ix_t *ups; /* indices of its listed upstreams */
    uint32_t n_ups;
    bool may_own; /* this instance may be the home of some of its keys */
    uint32_t groups;
    ms_t groups_since;
    uint64_t forwarded, retried; /* for the retry budget */
    uint16_t share[SHARE_SLOTS]; /* requests in progress by caller IP */
    core_stats_t stats;
} service_t;

struct core {
    core_params_t p;
    core_emit_t *emit;
    void *arg;
    ms_t now, start, last_call;
    rng_t rng;
    uint64_t version, lowest;
    bool leaving;
    bool first_version;    /* the version in force is the first here */
    bool history_complete; /* no instance had a version before that */
    bool met_older;        /* a member was there before this instance */
    bool handover;         /* a member joins: pins move by plan */
    bool suspects;         /* some member is SUSPECT */
    ms_t uncertain_at; /* last time that two homes of a key were possible */
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
    } batch[BATCHES];     /* sync messages being filled */
    uint32_t sync_budget; /* bytes left for paced copies in this tick */
    uint16_t mid;         /* for messages of our own */
};

/* A datagram being decided on. */
typedef struct {
    service_ix_t service;
    const spp_t *h;
    uint64_t key;
    uint64_t owner_key; /* key of the flow's home */
    uint64_t from;      /* the steering instance, 0: from the caller */
    uint8_t hops;
    const uint8_t *data;
    size_t len;
    const coap_msg_t *m; /* NULL for a udp service */
} dgram_t;

/* owners.c */
slot_t *slot_of(core_t *c, uint64_t key);
uint64_t owner_of(core_t *c, uint64_t key);
/* Who must hold a copy of what this instance knows of KEY; 0: nobody. */
uint64_t sync_target(core_t *c, uint64_t key);
/* True when all that is known here must go to the target, by plan. */
bool handing_over(core_t *c, uint64_t key);
/* No second home is possible for KEY, nor was in the last DOUBT_MS. */
bool owner_exclusive(core_t *c, uint64_t key);
/* The earlier home to ask about what isn't known here; 0: none. */
uint64_t previous_owner(core_t *c, uint64_t key);

/* table.c */
bucket_t *bucket_of(service_t *s, uint64_t key);
/* SERVICE_NONE: there is none. */
service_ix_t service_find(const core_t *c, const addr_t *a);
void table_build(core_t *c, service_ix_t service);
/* Room for N_UPS upstreams, as table_build() needs.  -ENOMEM: as before. */
int table_reserve(service_t *s, uint32_t n_ups);
uint64_t request_owner_key(const service_t *s, uint64_t flow);
/* By which key the home of a flow is found. */
uint64_t flow_owner_key(const service_t *s, uint64_t flow);
/* Notes whether this instance may be the home of keys of S. */
void service_update_may_own(core_t *c, service_t *s);
/* Where another home may have sent a request of KEY: the present choices, and
 * earlier ones that are not past.  Returns how many were written to OUT. */
int all_candidates(core_t *c, service_t *s, uint64_t key, up_ix_t *out);
/* Does some instance still use choices of KEY that are earlier than these? */
bool candidates_differ(const core_t *c, service_t *s, uint64_t key);
/* The first choice of KEY until SINCE or later; UP_NONE when it is the same.
 */
up_ix_t previous_first(service_t *s, uint64_t key, ms_t since);

/* upstreams.c */
up_ix_t up_find(core_t *c, const addr_t *a);
up_ix_t up_find_id(const core_t *c, uint64_t id);
/* There must be room. */
up_ix_t up_add(core_t *c, const conf_upstream_t *conf, service_ix_t service);
/* Room for MORE upstreams.  -ENOMEM: as before. */
int ups_reserve(core_t *c, size_t more);
bool up_lease_valid(const core_t *c, up_ix_t u);
/* Given up: it has another service, or has answered nothing for long.  One
 * that is neither trusted nor lost has yet to answer, after a pause or at an
 * instance that has just become a home: its flows stay where they are, and
 * their datagrams are dropped for the moment. */
bool up_lost(const core_t *c, up_ix_t u);
/* Trusted, listed, not draining, not ejected: may get new work. */
bool up_eligible(const core_t *c, up_ix_t u);
/* Requests at U, in parts of 1000 of its slots. */
uint32_t up_load(const core_t *c, up_ix_t u);
bool up_room(const core_t *c, up_ix_t u, class_t cls);
/* The next eligible upstream in rank order for KEY, other than NOT. */
up_ix_t up_next(core_t *c, service_t *s, uint64_t key, up_ix_t not_);
/* First byte and length of the token of a message that bars a request. */
#define CANCEL_TAG 'C'
#define CANCEL_TOKEN_LEN 8
void up_probe_tick(core_t *c);
/* An answer to a probe; true: the upstream has started anew. */
bool up_from_probe(core_t *c, up_ix_t u, const coap_msg_t *m);
void up_shed(core_t *c, up_ix_t u);
void up_cancel(core_t *c, const ex_t *ex, up_ix_t u);

/* flows.c */
int flows_new(core_t *c);
void flows_free(core_t *c);
flow_t *flow_find(core_t *c, uint64_t key);
flow_t *flow_add(core_t *c, uint64_t key, service_ix_t service, up_ix_t up,
                 uint8_t flags);
/* Finds KEY's flow for its home; a copy held for another home becomes this
 * one's own. */
flow_t *flow_claim(core_t *c, uint64_t key);
/* By which key F's home is found: an upload's is its service's. */
uint64_t pin_owner_key(core_t *c, const flow_t *f);
void flow_remove(core_t *c, flow_t *f);
void flow_pin(core_t *c, flow_t *f, up_ix_t up);
void flow_touch(core_t *c, flow_t *f);
/* M answers a block of the upload F. */
void upload_answered(core_t *c, flow_t *f, const coap_msg_t *m);
void flow_set_feed(core_t *c, flow_t *f, const dgram_t *d);
void flow_sweep(core_t *c);
void feeds_lost(core_t *c, up_ix_t up);
/* Tells callers of upstreams that are lost. */
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
/* Moves EX to STATE and to the list that goes with it. */
void ex_set_state(core_t *c, ex_t *ex, ex_state_t state);
uint8_t *ex_bytes(core_t *c, const ex_t *ex);
/* Keeps DATA in the record's buffer.  False: no buffer is free. */
bool ex_store(core_t *c, ex_t *ex, const uint8_t *data, size_t len);
void ex_free_buf(core_t *c, ex_t *ex);
/* The requests in progress of CLIENT's IP at S (IPs may share a count). */
uint16_t *share_of(service_t *s, const addr_t *client);
/* Counts EX at its upstream and caller, or ends that. */
void ex_count(core_t *c, ex_t *ex, bool on);
void ex_expire(core_t *c);
class_t class_of(const coap_msg_t *m);

/* sync.c */

void sync_flush(core_t *c);
void sync_refill(core_t *c); /* the budget for paced copies, each tick */
void sync_flow(core_t *c, flow_t *f);

void sync_receive(core_t *c, const peer_msg_t *m);
void sync_acked(core_t *c, const peer_msg_t *m);
void sync_targets_changed(core_t *c);

/* request.c */
bool is_upload_block(const coap_msg_t *m);
void request_at_owner(core_t *c, const dgram_t *d);
/* An upstream's answer to being asked to bar a request. */
void request_cancel_reply(core_t *c, up_ix_t u, const coap_msg_t *m);
/* Asks, retries and gives up what is in progress. */
void request_tick(core_t *c);
void request_answer(core_t *c, ex_t *ex, const coap_msg_t *m,
                    const uint8_t *data, size_t len);

/* input.c */
void core_enter(core_t *c, ms_t now);

/* pins.c */
/* Sends D where F is pinned, if that is trusted just now. */
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
/* Builds an answer to a request and returns its length in BUF. */
int answer_build(core_t *c, uint8_t *buf, size_t cap, const ex_t *ex,
                 uint8_t code, uint32_t max_age);
void answer_now(core_t *c, const dgram_t *d, uint8_t code, uint32_t max_age,
                refuse_t why);
uint32_t retry_after_s(core_t *c, const service_t *s);

#endif
