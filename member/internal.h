/* The state of the group, private to member/.
 *
 *   body.c      codec of message bodies
 *   table.c     member table
 *   view.c      merging of records, gossip queue
 *   messages.c  messages to other members
 *   probes.c    periodic pings and suspicion
 *   receive.c   incoming messages
 *   members.c   list of members, own state and version
 */
#ifndef SISKIN_MEMBER_INTERNAL_H
#define SISKIN_MEMBER_INTERNAL_H

#include "member/member.h"

#define PROBES_MAX 64     /* pings in progress */
#define RELAYS_MAX 32     /* ping-reqs in progress for other members */
#define GOSSIP_MAX 40     /* limit of transmissions of a change */
#define RECORDS_MAX 64    /* member records read from one message */
#define RECORDS_BULK 40   /* gossiped per message when many changes wait */
#define CORRECTIONS_MAX 4 /* outdated records corrected in one answer */
/* Higher incarnations and revisions are refused, so that increments never
 * overflow. */
#define INCARNATION_MAX 0xFFFF0000u

/* ---- Message bodies ---- */

typedef enum {
    MSG_PING = 1,
    MSG_ACK,
    MSG_PING_REQ,    /* requests a ping of TARGET */
    MSG_INDIRECT_ACK /* TARGET has acknowledged a requested ping */
} msg_kind_t;

/* An instance's record of a member, as sent.  A FULL record also carries the
 * name, data centre and addresses; others only the fields that change. */
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
    uint32_t alive;  /* alive members in the sender's table */
    member_t echo;   /* the sender's record of the receiver (ID and state) */
} msg_head_t;

/* Return 0 or -ENOSPC; a record that doesn't fit leaves the body unchanged. */
int body_head(buffer_t *b, const msg_head_t *h);
int body_record(buffer_t *b, const member_t *m, bool full);
/* Reads the head and *N records.  -EPROTO: malformed. */
int body_read(const uint8_t *p, size_t len, msg_head_t *h, record_t *rec,
              size_t *n);

/* ---- The table ---- */

/* Private data of a member, beside its public record. */
typedef struct {
    uint64_t id;
    uint32_t index; /* of its record in members_t.list */
    uint32_t acked_incarnation, acked_revision; /* self's, as last echoed */
    uint32_t alive; /* alive members in the member's own table */
    uint8_t sent;   /* transmissions of its last change */
    ms_t last_heartbeat;
    ms_t incarnation_seen_at; /* first record of the present incarnation */
    ms_t unlisted_at;         /* first missing from the platform's list */
    uint64_t list_round;
    uint64_t msg_no; /* last message that carried its record */
    uint64_t requested_version;
    ms_t requested_at;
    link_t gossip;      /* in members_t.gossip[sent] */
    link_t unreachable; /* in members_t.unreachable while SUSPECT, or GONE
                         * without a clean leave */
} peer_t;

typedef struct {
    peer_t *peer; /* NULL: free */
    uint32_t seq;
    ms_t sent_at;
    int retries; /* repeated pings, each with ping-reqs */
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
    peer_t **peer;  /* in the order of LIST */
    peer_t **order; /* ping order, shuffled */
    size_t n, cap;
    size_t order_next, spread_next, anti_entropy_next;
    uint64_t self_id;
    peer_t *self;
    uint64_t self_hash;
    uint32_t reported_alive; /* alive members of the last message's sender */

    link_t gossip[GOSSIP_MAX]; /* by number of transmissions */
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
    ms_t spread_until; /* end of the extra pings with self's new state */
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
/* Shuffles the ping order. */
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

/* ---- The view: merging records, and gossip ---- */

/* Merges a received record into the table.  Returns the member's entry, or
 * NULL when the member is unknown. */
peer_t *view_apply(members_t *m, ms_t now, const record_t *rec);
void view_set_state(members_t *m, ms_t now, peer_t *p, member_state_t state);
/* Notes that the member has VERSION or a newer one in force. */
void view_set_version(members_t *m, member_t *r, uint64_t version);
/* Starts to disseminate a new revision of self's state. */
void view_self_changed(members_t *m, ms_t now);
/* Adds an unknown member. */
peer_t *view_add(members_t *m, ms_t now, const member_t *member);
/* Adds the changes with the fewest transmissions to a message for TO. */
void view_gossip(members_t *m, ms_t now, buffer_t *b, const peer_t *to);

/* ---- messages.c ---- */

/* Sends a message of KIND with the sequence number SEQ, gossip and the record
 * of TARGET (0: none). */
void message_send(members_t *m, ms_t now, const peer_t *to, msg_kind_t kind,
                  uint32_t seq, uint64_t target);
void message_ping(members_t *m, ms_t now, const peer_t *to);
/* True when P has acknowledged self's present state. */
bool peer_has_acked(const members_t *m, const peer_t *p);
/* Returns a random alive member, neither self nor EXCEPT; NULL when none is
 * found. */
peer_t *peer_pick_random(members_t *m, const peer_t *except);

/* ---- probes.c ---- */

/* After a change of self's state, and as long as self is JOINING, pings
 * members that haven't acknowledged the state, in addition to the periodic
 * pings. */
void probes_spread_self(members_t *m, ms_t now);
/* Member ID has answered the ping with SEQ. */
void probe_answered(members_t *m, uint32_t seq, uint64_t id);

#endif
