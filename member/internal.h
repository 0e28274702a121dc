/* member, internal: the member table, the queue of changes to pass on, and
 * the codec of message bodies.
 */
#ifndef SISKIN_MEMBER_INTERNAL_H
#define SISKIN_MEMBER_INTERNAL_H

#include "member/member.h"

#define PROBES_MAX 64   /* pings in progress */
#define RELAYS_MAX 32   /* pings made for others */
#define GOSSIP_MAX 40   /* most times that a change is sent on */
#define RECORDS_MAX 64  /* member records read from one message */
#define RECORDS_BULK 40 /* records written when many changes wait */
#define CORRECTIONS_MAX                                                       \
    4 /* outdated records of a sender put right at once                       \
       */
#define INCARNATION_MAX 0xFFFF0000u /* a reader refuses more: no overflow */

/* ---- Message bodies ---- */

typedef enum {
    MSG_PING = 1,
    MSG_ACK,
    MSG_PING_REQ,    /* "ping TARGET for me" */
    MSG_INDIRECT_ACK /* "TARGET has answered" */
} msg_kind_t;

/* What one instance says of another.  FULL records carry the name, data
 * centre and addresses; others say only what changes. */
typedef struct {
    bool full;
    member_t member;
} record_t;

typedef struct {
    msg_kind_t kind;
    uint32_t seq;
    uint64_t target; /* of MSG_PING_REQ and MSG_INDIRECT_ACK */
    member_t sender; /* id is not sent: the envelope names the sender */
    uint64_t hash;   /* of the sender's version in force */
    uint32_t alive;  /* members that the sender holds to be live */
    member_t echo;   /* the receiver (ID and life), as the sender knows it */
} msg_head_t;

/* A body being written. */
typedef struct {
    uint8_t *p;
    size_t len, cap;
} body_t;

/* 0 or -ENOSPC; a record that doesn't fit leaves the body as it was. */
int body_head(body_t *b, const msg_head_t *h);
int body_record(body_t *b, const member_t *m, bool full);
/* -EPROTO when not understood.  *N records are read. */
int body_read(const uint8_t *p, size_t len, msg_head_t *h, record_t *rec,
              size_t *n);

/* ---- The table ---- */

/* What is kept of a member besides its public record. */
typedef struct {
    uint64_t id;
    uint32_t index; /* of its record in members_t.list */
    uint32_t acked_incarnation, acked_revision; /* of self, as it knows it */
    uint32_t alive; /* members that it holds to be live */
    uint8_t sent;   /* times that its last change was passed on */
    ms_t last_heartbeat;
    ms_t incarnation_seen_at; /* its incarnation was first heard of */
    ms_t unlisted_at;         /* first seen missing from the platform's list */
    uint64_t list_round;
    uint64_t msg_no; /* last message that carries its record */
    uint64_t requested_version;
    ms_t requested_at;
    link_t gossip;      /* in members_t.gossip[sent] */
    link_t unreachable; /* in members_t.silent while SUSPECT or GONE unheard */
} peer_t;

typedef struct {
    peer_t *peer; /* NULL: free */
    uint32_t seq;
    ms_t sent_at;
    int retries; /* times that others were asked */
} probe_t;

typedef struct {
    uint32_t seq;
    uint32_t requester_seq;
    uint64_t requester;
    uint64_t target;
} relay_t;

struct members {
    member_params_t params;
    rng_t rng;
    member_emit_t *emit;
    void *arg;

    member_t *list; /* sorted by id */
    peer_t **peer;  /* the same order */
    peer_t **order; /* the order of pings: shuffled */
    size_t n, cap;
    size_t order_next, spread_next, anti_entropy_next;
    uint64_t self_id;
    peer_t *self;
    uint64_t self_hash;
    uint32_t reported_alive; /* live members by the last message */

    link_t gossip[GOSSIP_MAX]; /* by times sent */
    size_t gossip_n;
    link_t unreachable;
    uint64_t msg_no;
    peer_t *corrections[CORRECTIONS_MAX];
    int n_corrections;

    probe_t probe[PROBES_MAX];
    relay_t relay[RELAYS_MAX];
    int relay_next;
    uint32_t seq;
    uint64_t list_round;

    ms_t last_tick, next_ping, next_sweep;
    ms_t spread_until; /* self's state is news until then */
    uint64_t pings;
    ms_t uncertain_at;
    uint64_t lowest; /* see members_lowest_version() */
    bool lowest_stale;
    uint64_t fetch_version;
    ms_t fetch_at;
    member_stats_t stats;
};

peer_t *table_find(const members_t *m, uint64_t id);
/* Adds a member; NULL when there is no room. */
peer_t *table_add(members_t *m, const member_t *member);
void table_remove(members_t *m, peer_t *p);
void table_free(members_t *m);
/* Puts the order of pings into a new random order. */
void table_shuffle(members_t *m);

static inline member_t *
rec_of(const members_t *m, const peer_t *p)
{
    return &m->list[p->index];
}

static inline member_t *
self_of(const members_t *m)
{
    return rec_of(m, m->self);
}

static inline bool
is_alive(const member_t *r)
{
    return r->state != MEMBER_SUSPECT && r->state != MEMBER_GONE;
}

static inline uint32_t
alive_count(const members_t *m)
{
    const uint32_t *count = m->stats.count;

    return count[MEMBER_JOINING] + count[MEMBER_ACTIVE] +
           count[MEMBER_LEAVING];
}

/* ---- What is known of each, and its spread ---- */

/* Takes in what a message says of a member.  Returns the member's entry, or
 * NULL when it isn't known. */
peer_t *view_apply(members_t *m, ms_t now, const record_t *rec);
void view_set_state(members_t *m, ms_t now, peer_t *p, member_state_t state);
/* The member has VERSION in force, or a newer one. */
void view_set_version(members_t *m, member_t *r, uint64_t version);
/* Self's own state has a new revision: it is news again. */
void view_self_changed(members_t *m, ms_t now);
/* Adds a member that is not yet known. */
peer_t *view_add(members_t *m, ms_t now, const member_t *member);
/* Adds the changes most in need of spreading to a message for TO. */
void view_gossip(members_t *m, ms_t now, body_t *b, const peer_t *to);

#endif
