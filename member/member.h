/* member: group membership and failure detection with the SWIM protocol, and
 * the newest configuration version in the group.  In each period an instance
 * pings one peer and, when no acknowledgement arrives, asks others to ping
 * that peer (ping-req).  Changes are gossiped on these messages, so that the
 * cost per instance does not grow with the fleet.  The library does no I/O and
 * reads no clock: messages and time are arguments, messages to send and events
 * are passed to a callback.
 *
 * States of a member: JOINING (known, owns no flows yet), ACTIVE, LEAVING
 * (accepts no new work, still forwards), SUSPECT (no answer; owns no flows any
 * more), GONE (left cleanly, or SUSPECT and missing from the platform's list
 * for a long time).  A member has an incarnation, which identifies one run of
 * the instance, and a revision within the incarnation; only the member itself
 * raises them.  A suspected member refutes the suspicion with a higher
 * revision.  A restarted instance has a higher incarnation than before.
 */
#ifndef SISKIN_MEMBER_H
#define SISKIN_MEMBER_H

#include "base/base.h"
#include "conf/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Members beyond this number are refused, so that a faulty peer can't exhaust
 * the memory. */
#define MEMBERS_LIMIT 65536
#define MEMBER_BODY_MAX 1000

typedef enum {
    MEMBER_JOINING,
    MEMBER_ACTIVE,
    MEMBER_LEAVING,
    MEMBER_SUSPECT,
    MEMBER_GONE
} member_state_t;

typedef struct {
    uint64_t id; /* instance_id(name) */
    char name[NAME_LEN];
    char data_centre[NAME_LEN];
    addr_t peer_addr, bulk_addr;
    uint32_t incarnation; /* 0: known from a list only */
    uint32_t revision;    /* of the state, within the incarnation */
    member_state_t state;
    bool left;        /* GONE after a clean leave */
    uint64_t version; /* newest version reported to be in force there */
    ms_t changed_at;  /* when STATE was last changed locally */
} member_t;

typedef struct {
    ms_t period_ms;          /* ping period */
    ms_t ping_timeout_ms;    /* timeout before a ping-req */
    ms_t suspect_timeout_ms; /* from an unanswered ping to SUSPECT */
    ms_t gone_timeout_ms;    /* from SUSPECT and off the platform's list to
                              * GONE */
    ms_t forget_timeout_ms;  /* from GONE to the removal of the record */
    int ping_req_fanout;     /* peers that receive a ping-req */
    int gossip_per_msg;      /* limit of gossiped member records per message */
} member_params_t;

#define MEMBER_PARAMS_DEFAULT                                                 \
    {                                                                         \
        .period_ms = 200, .ping_timeout_ms = 150, .suspect_timeout_ms = 600,  \
        .gone_timeout_ms = 60000, .forget_timeout_ms = 3600000,               \
        .ping_req_fanout = 2, .gossip_per_msg = 6                             \
    }

typedef struct members members_t;

typedef enum {
    MEMBER_OUT_SEND,   /* send BODY to TO (as PEER_MEMBER) */
    MEMBER_OUT_CHANGE, /* a member's state changed: rebuild the owner table */
    MEMBER_OUT_FETCH   /* fetch the newer VERSION from member FROM */
} member_out_kind_t;

typedef struct {
    member_out_kind_t kind;
    union {
        struct {
            addr_t to;
            size_t len;
            uint8_t body[MEMBER_BODY_MAX];
        } send;
        member_t change;
        struct {
            member_t from;
            uint64_t version;
        } fetch;
    };
} member_out_t;

/* Called for each output, in order.  Must not call members_ functions. */
typedef void member_emit_t(void *arg, const member_out_t *out);

/* SELF holds id, name, data centre, addresses, incarnation (the wall clock in
 * seconds, so that it rises with each restart) and state JOINING. */
members_t *members_new(const member_t *self, const member_params_t *params,
                       uint64_t seed, member_emit_t *emit, void *arg);
void members_free(members_t *m);

void members_tick(members_t *m, ms_t now);
/* Handles a PEER_MEMBER body from instance FROM.  -EPROTO: malformed. */
int members_receive(members_t *m, ms_t now, uint64_t from, const uint8_t *body,
                    size_t len);
/* Adds a peer from the settings or the platform's list; ignores known ones. */
void members_add_peer(members_t *m, ms_t now, const member_t *peer);
/* Applies a reading of the platform's list: suspects missing from it may
 * become GONE. */
void members_apply_list(members_t *m, ms_t now, const uint64_t *ids, size_t n);

/* Set the instance's own state and version in force.  After GONE, which
 * announces a clean leave, call members_tick() until members_acked(), for
 * about a second.  A version not above the present one is ignored. */
void members_set_self(members_t *m, ms_t now, member_state_t state);
void members_set_version(members_t *m, ms_t now, uint64_t version,
                         uint64_t hash);

/* All known members, self included, sorted by id. */
size_t members_list(const members_t *m, const member_t **out);
const member_t *members_find(const members_t *m, uint64_t id);
/* Counters for operators. */
typedef struct {
    uint64_t sent, sent_bytes; /* messages and bytes of their bodies */
    uint64_t received, malformed;
    uint64_t misaddressed; /* for an earlier instance at this address */
    uint64_t suspected;    /* suspicions raised by this instance */
    uint64_t refuted;      /* suspicions of self that were refuted */
    uint64_t pauses;    /* gaps between ticks that dropped pings in progress */
    uint64_t conflicts; /* messages with the same version and another hash */
    uint32_t count[MEMBER_GONE + 1]; /* members by state, self included */
} member_stats_t;

void members_stats(const members_t *m, member_stats_t *out);
/* True when all ACTIVE and JOINING members have acknowledged self's state.  A
 * JOINING self may then become ACTIVE; for it, the result also requires that
 * self has records of as many alive members as the peer that sent the last
 * message. */
bool members_acked(const members_t *m);
/* The last time at which a member was SUSPECT or returned from SUSPECT, or at
 * which a member disappeared or restarted without leaving, or at which self
 * refuted a suspicion or was paused for suspect_timeout_ms; INT64_MIN: never.
 * While this is recent, ownership is uncertain: two instances may both believe
 * that they own a flow. */
ms_t members_uncertain_at(const members_t *m, ms_t now);
/* The lowest version in force among the members that are not GONE.  A JOINING
 * member without a version makes no decisions and is left out.  A member from
 * which no message has arrived yet counts as version 0. */
uint64_t members_lowest_version(members_t *m);
/* True when self is one of the WATCHERS instances of its data centre (lowest
 * rank by hash among ACTIVE) that watch the platform for the others.  A
 * JOINING self is one while fewer than WATCHERS instances are ACTIVE. */
bool members_watches_platform(const members_t *m, int watchers);

#ifdef __cplusplus
}
#endif

#endif
