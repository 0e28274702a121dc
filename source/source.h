/* source: selects the peer from which an instance replicates the contents of
 * the store.  To follow a peer is to keep a waiting call (long poll) open at
 * it for updates.
 *
 * Each waiting call to the store is paid for.  So one instance of each data
 * centre, its leader, follows the store or another data centre's leader that
 * follows the store, and the others follow the leader.  There is no election:
 * all instances rank the announced ones in the same order, and skip one that
 * has failed to answer them.  Two leaders at a time cost a few calls and do no
 * harm, since revisions order the updates.
 *
 * The two leaders of the lowest rank, the watchers, follow the store.  Any
 * other leader follows one of them and checks with the other periodically;
 * when the followed one fails, it follows the store directly for some seconds.
 * An instance of a data centre without announced instances does the same.
 *
 * A leader may be cut off, paused or refused by the store without detecting
 * it.  So each announced instance periodically asks another data centre's
 * leader for anything newer (a check), and the other instances ask an
 * announced neighbour.  Thus the traffic between data centres, and the checks
 * that a leader receives from outside, don't grow with the number of
 * instances.  When all leaders have lost the store, every replica becomes
 * stale: each instance skips the peers that report stale data, and in the end
 * follows the store directly.
 *
 * A leader has a limited number of follower places, and redirects further
 * followers to one of its own, their relay, which does the same.  So a data
 * centre of any size forms a tree without coordination: each instance serves a
 * few followers, and each level delays an update by some milliseconds.  An
 * instance whose relay fails starts at the leader again.
 *
 * The library uses no sockets, clocks or threads.
 *
 * A file may call files of lower layers only (test/layers.sh):
 *
 * layer 1: followers source
 *
 *   followers.c  followers of this instance
 *   source.c     selection of the followed peer
 */
#ifndef SISKIN_SOURCE_H
#define SISKIN_SOURCE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SOURCE_PEERS_MAX 256
#define SOURCE_NAME_LEN 64

/* Announced instances per data centre: the leader, and enough to replace it
 * when a few fail at once. */
#define SOURCE_ANNOUNCED 4

typedef struct {
    addr_t addr;
    char data_centre[SOURCE_NAME_LEN]; /* "": unknown, a seed that isn't
                                        * announced */
    bool seed;                         /* in the settings of all instances */
    ms_t backoff_until;                /* end of the backoff */
    ms_t backoff_ms;                   /* length of the last backoff */
} source_peer_t;

typedef struct {
    addr_t self;
    char data_centre[SOURCE_NAME_LEN];
    bool announced;     /* this instance is announced */
    bool seed;          /* this instance is a seed in the settings */
    bool follows_relay; /* follows RELAY, not the leader */
    source_peer_t relay;
    ms_t direct_until;  /* follows the store directly until then: its watcher
                         * failed */
    uint32_t redirects; /* consecutive redirects without an answer */
    rng_t rng;
    uint32_t n;
    source_peer_t peer[SOURCE_PEERS_MAX];
} sources_t;

void sources_init(sources_t *s, const addr_t *self, const char *data_centre,
                  uint64_t seed);
/* Adds an announced peer, or a seed from the settings (DATA_CENTRE ""). */
void sources_add(sources_t *s, const addr_t *a, const char *data_centre);
void sources_remove(sources_t *s, const addr_t *a);
/* Record that a peer failed (no answer, or stale data), or that it answered.
 */
void sources_failed(sources_t *s, ms_t now, const addr_t *a);
void sources_answered(sources_t *s, const addr_t *a);

/* Result of a call to a peer. */
typedef enum {
    SOURCE_ANSWERED,
    SOURCE_STARTING, /* the peer has no data yet */
    SOURCE_FAILED    /* no answer, an unreadable one, or stale data */
} source_result_t;
void sources_report_result(sources_t *s, ms_t now, const addr_t *a,
                           source_result_t result);

/* The followed peer has no free place and redirects to TO.  -ELOOP: too many
 * redirects; follow the leader again, after a pause. */
int sources_redirected(sources_t *s, const addr_t *to);
/* Returns the peer to follow; NULL: follow the store directly. */
const source_peer_t *sources_followed(const sources_t *s, ms_t now);
/* Returns the leader of this data centre; NULL: this instance, or none. */
const source_peer_t *sources_local_leader(const sources_t *s, ms_t now);
/* True when this instance occupies a follower place at the peer that it
 * follows.  A leader that follows a watcher doesn't: leaders are few. */
bool sources_needs_place(const sources_t *s, ms_t now);
/* Stores the leaders of the other data centres in LEADER, one each; returns
 * the number. */
uint32_t sources_remote_leaders(const sources_t *s, ms_t now,
                                const source_peer_t **leader, uint32_t max);
/* Returns a peer to check for anything newer, other than the followed one
 * where there is a choice; NULL: none. */
const source_peer_t *sources_check_peer(sources_t *s, ms_t now);
/* The period of these checks. */
ms_t sources_check_period_ms(const sources_t *s);
/* Returns the peer from which an instance without data requests everything, or
 * NULL.  Announced instances request it from seeds, the others from announced
 * neighbours mostly. */
const source_peer_t *sources_bootstrap_peer(sources_t *s, ms_t now);
/* How long a starting instance waits without any sign that the list is on its
 * way to a peer, before it reads the list from the store itself: when all
 * instances start together, the store's link and call rate would be used up.
 * 0 for seeds and announced instances, from which the others request the list,
 * and without peers. */
ms_t sources_resync_delay_ms(sources_t *s);
/* The same for an announced instance that has read the first page of a list of
 * several: the store's link carries the list to the seeds only, from which the
 * announced ones request it.  0 for seeds and without peers. */
ms_t sources_long_list_delay_ms(sources_t *s);
/* How much longer an instance waits for peers that began to at BEGUN with the
 * DELAY_MS above, when the list last made progress at a peer at PROGRESS_AT.
 * 0: it reads the list itself. */
ms_t sources_wait_ms(ms_t begun, ms_t progress_at, ms_t delay_ms, ms_t now);
/* True while this instance isn't announced and too few instances of its data
 * centre are. */
bool sources_should_announce(const sources_t *s);
/* The delay before an instance whose link carries LINK_MBPS (0: not set) calls
 * sources_should_announce(). */
ms_t sources_announce_delay_ms(sources_t *s, double link_mbps);

/* Stores the ranks of this data centre's announced instances in ID, and this
 * instance's in *SELF, announced or not.  Returns the number stored in ID. */
uint32_t sources_local_ranks(const sources_t *s, uint64_t *self, uint64_t *id,
                             uint32_t max);

/* ---- Followers of this instance ---- */

#define FOLLOWERS_MAX 64

typedef struct {
    addr_t addr;
    ms_t expires_at; /* unless the place is renewed */
} follower_t;

typedef struct {
    uint32_t capacity; /* number of places */
    uint32_t n;
    rng_t rng;
    follower_t follower[FOLLOWERS_MAX];
} followers_t;

/* CAPACITY must not exceed FOLLOWERS_MAX. */
void followers_init(followers_t *f, uint32_t capacity, uint64_t seed);
/* Handles a call from FROM: true when it has or gets a place.  False: redirect
 * it to the follower *INSTEAD. */
bool followers_admit(followers_t *f, ms_t now, const addr_t *from,
                     addr_t *instead);
/* The number of occupied places. */
uint32_t followers_count(followers_t *f, ms_t now);

#ifdef __cplusplus
}
#endif

#endif
