/* member: which instances live, and which version is the newest, by direct
 * heartbeats and gossip at a cost that does not grow with the fleet (the
 * SWIM way: each period one peer is pinged, others are asked to ping a silent
 * one, changes ride on the pings).  Pure: messages and time come in as
 * arguments, messages to send and events come out.
 *
 * States of a member: JOINING (known, not yet a home), ACTIVE, LEAVING (takes
 * no new work, still forwards), SUSPECT (silent; no longer a home), GONE (left
 * cleanly, or confirmed by the platform's list or a long silence).
 * Each has an incarnation (one life of an instance) and, within it, a
 * revision; only the owner raises them.  A suspicion is refuted by the
 * suspected itself with a higher revision, and a restarted instance is told
 * from its earlier life by a higher incarnation.
 */
#ifndef SISKIN_MEMBER_H
#define SISKIN_MEMBER_H

#include "base/base.h"
#include "conf/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The table grows to this; more are refused, so that a faulty peer can't fill
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
    uint32_t incarnation; /* its life; 0: never heard of but by a list */
    uint32_t revision;    /* of its state, within the incarnation */
    member_state_t state;
    bool left;        /* GONE by its own word, after leaving */
    uint64_t version; /* newest configuration it is known to have in force */
    ms_t changed_at;  /* when STATE was last changed here */
} member_t;

typedef struct {
    ms_t period_ms;     /* between pings; 200 */
    ms_t ack_ms;        /* a direct ping unanswered so long is asked round */
    ms_t suspect_ms;    /* unanswered so long: SUSPECT */
    ms_t gone_ms;       /* SUSPECT so long and off the platform's list: GONE */
    ms_t forget_ms;     /* GONE so long: forgotten */
    int indirect;       /* how many peers are asked to ping a silent one */
    int gossip_per_msg; /* most member records on one message */
} member_params_t;

#define MEMBER_PARAMS_DEFAULT                                                 \
    {                                                                         \
        .period_ms = 200, .ack_ms = 150, .suspect_ms = 600, .gone_ms = 60000, \
        .forget_ms = 3600000, .indirect = 2, .gossip_per_msg = 6              \
    }

typedef struct members members_t;

/* What comes out of a step. */
typedef enum {
    MEMBER_OUT_SEND,   /* send BODY to TO (as PEER_MEMBER) */
    MEMBER_OUT_CHANGE, /* a member's state changed: rebuild the home table */
    MEMBER_OUT_FETCH   /* MEMBER has a newer version: fetch it from there */
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

/* Called for each result, in order.  It must not call back into MEMBERS. */
typedef void member_emit_t(void *arg, const member_out_t *out);

/* SELF gives id, name, data centre, addresses, incarnation (from the wall
 * clock in seconds, so that a restart has a higher one) and state JOINING. */
members_t *members_new(const member_t *self, const member_params_t *params,
                       uint64_t seed, member_emit_t *emit, void *arg);
void members_free(members_t *m);

void members_tick(members_t *m, ms_t now);
/* A PEER_MEMBER body from instance FROM.  -EPROTO when not understood. */
int members_receive(members_t *m, ms_t now, uint64_t from, const uint8_t *body,
                    size_t len);
/* A peer named by the settings or the platform's list.  Known ones stay. */
void members_learn(members_t *m, ms_t now, const member_t *peer);
/* The platform's list was read: suspects missing from it may become GONE. */
void members_listed(members_t *m, ms_t now, const uint64_t *ids, size_t n);

/* The instance's own state (ACTIVE, LEAVING) and version in force.  GONE is
 * the farewell of an instance that has left: tick on for a second or so, until
 * members_acked().  A version not above the present one is ignored. */
void members_set_self(members_t *m, ms_t now, member_state_t state);
void members_set_version(members_t *m, ms_t now, uint64_t version,
                         uint64_t hash);

/* The members known, self included, sorted by id. */
size_t members_list(const members_t *m, const member_t **out);
const member_t *members_find(const members_t *m, uint64_t id);
/* What operators see. */
typedef struct {
    uint64_t sent, sent_bytes; /* messages and bytes of their bodies */
    uint64_t received, malformed;
    uint64_t misaddressed; /* for an instance that had this address before */
    uint64_t suspected;    /* members whose silence was noticed here first */
    uint64_t refuted;      /* suspicions of self that were refuted */
    uint64_t pauses;    /* gaps between ticks that dropped pings in progress */
    uint64_t conflicts; /* a peer with the same version and another hash */
    uint32_t count[MEMBER_GONE + 1]; /* members by state, self included */
} member_stats_t;

void members_stats(const members_t *m, member_stats_t *out);
/* True when self has heard all members that are ACTIVE or JOINING say that
 * they know self's state; a JOINING self may then become ACTIVE.  It also
 * has to know as many live members as the last peer that it heard. */
bool members_acked(const members_t *m);
/* The latest time at which any member was SUSPECT or came back from it, or
 * a member vanished without leaving; INT64_MIN when never.  While this is
 * recent, two instances may both believe that they are a flow's home. */
ms_t members_doubt_at(const members_t *m, ms_t now);
/* The lowest version known in force among members not GONE.  A JOINING member
 * without any version decides nothing and doesn't count; one that was never
 * heard counts as 0. */
uint64_t members_lowest_version(members_t *m);
/* Is self one of the WATCHERS instances of its data centre (lowest rank by
 * hash among ACTIVE) that watch the platform for the others?  A self that is
 * JOINING is, while fewer than WATCHERS are ACTIVE. */
bool members_watches(const members_t *m, int watchers);

#ifdef __cplusplus
}
#endif

#endif
