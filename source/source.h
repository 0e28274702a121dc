/* source: whom an instance follows to know what the store holds.
 *
 * Each waiting call to the store is paid for, so of each data centre one
 * instance, its leader, follows the store or another data centre's leader that
 * does, and the others follow the leader.  There is no election: all rank the
 * announced instances alike, and one that does not answer is passed over by
 * those that it failed.  Two leaders for a while cost a few calls and do no
 * harm, since revisions tell what is newer.
 *
 * The two leaders that rank first, the watchers, follow the store.  Another
 * leader follows one of them and asks the other now and then; when the one
 * fails it, it follows the store itself for a while.  So does an instance of
 * a data centre where nobody is announced yet.
 *
 * A leader may be cut off, frozen or turned away by the store and not know it.
 * So each announced instance also asks another data centre's leader, now and
 * then, whether there is anything newer, and the others ask an announced
 * neighbour: what crosses between data centres, and what a leader is asked
 * from outside, stay the same however many instances there are.  When all
 * leaders are blind, what is known grows old everywhere: each passes over
 * those that tell old news, and in the end follows the store itself.
 *
 * A leader has so many places for followers, and sends further ones on to one
 * of those that it has: they follow that one, their relay, which does the
 * same. So a data centre of any size is a tree that nobody plans, each
 * instance answers a few, and what is new arrives some milliseconds a level
 * later.  One whose relay fails starts at the leader again.
 *
 * Pure: no sockets, clocks or threads.
 */
#ifndef SISKIN_SOURCE_H
#define SISKIN_SOURCE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SOURCE_PEERS_MAX 128
#define SOURCE_NAME_LEN 64

/* Instances of a data centre that are announced: the leader, and enough to
 * follow it when a few fail at once. */
#define SOURCE_ANNOUNCED 4

typedef struct {
    addr_t addr;
    char data_centre[SOURCE_NAME_LEN]; /* "": a seed, its place isn't known */
    ms_t failed_until;                 /* not asked before */
    ms_t wait;                         /* the last backoff */
} source_peer_t;

typedef struct {
    addr_t self;
    char data_centre[SOURCE_NAME_LEN];
    bool announced; /* this instance itself is */
    bool seed;      /* the settings name this instance itself */
    bool relayed;   /* it follows RELAY, not the leader */
    source_peer_t relay;
    ms_t watch_until; /* as a leader it follows the store: a watcher failed */
    uint32_t sent_on; /* times in a row, without an answer */
    rng_t rng;
    uint32_t n;
    source_peer_t peer[SOURCE_PEERS_MAX];
} sources_t;

void sources_init(sources_t *s, const addr_t *self, const char *data_centre,
                  uint64_t seed);
/* A peer is announced, or named in the settings (DATA_CENTRE ""). */
void sources_add(sources_t *s, const addr_t *a, const char *data_centre);
void sources_remove(sources_t *s, const addr_t *a);
/* It did not answer, or what it knows is old; or it did. */
void sources_failed(sources_t *s, ms_t now, const addr_t *a);
void sources_answered(sources_t *s, const addr_t *a);

/* What came of asking a peer. */
typedef enum {
    SOURCE_TOLD,
    SOURCE_STARTING, /* it knows nothing itself yet */
    SOURCE_SILENT    /* no answer, none that can be read, or old news */
} source_answer_t;
void sources_checked(sources_t *s, ms_t now, const addr_t *a,
                     source_answer_t answer);

/* The followed peer has no place and names TO.  -ELOOP: it was sent on too
 * often; the leader is followed again, after a pause. */
int sources_redirected(sources_t *s, const addr_t *to);
/* The peer to follow, or NULL: follow the store itself. */
const source_peer_t *sources_lead(const sources_t *s, ms_t now);
/* Does it take a place with the peer that it follows?  Not as a leader that
 * follows a watcher: there are few. */
bool sources_takes_place(const sources_t *s, ms_t now);
/* A peer to ask for anything newer, other than the one that is followed; NULL:
 * there is none. */
const source_peer_t *sources_check(sources_t *s, ms_t now);
/* How long between two such questions. */
ms_t sources_check_ms(const sources_t *s);
/* For an instance that knows nothing: the peer to ask for everything, or
 * NULL. */
const source_peer_t *sources_start(sources_t *s, ms_t now);
/* How long an instance that starts leaves a long list to its peers before it
 * reads it itself: when all start together, the store's link would carry the
 * list to each of them.  None for seeds and announced instances, which the
 * others ask. */
ms_t sources_resync_delay_ms(sources_t *s);
/* True while too few instances of the data centre are announced and this one
 * isn't. */
bool sources_should_announce(const sources_t *s);
/* How long an instance whose link carries LINK_MBPS (0: not told) waits before
 * it looks whether it should. */
ms_t sources_announce_wait_ms(sources_t *s, double link_mbps);

/* Numbers of the announced instances of this data centre, this one's in *SELF
 * whether it is announced or not; returns how many. */
uint32_t sources_local(const sources_t *s, uint64_t *self, uint64_t *id,
                       uint32_t max);

/* ---- Those that follow this instance ---- */

#define FOLLOWERS_MAX 64

typedef struct {
    addr_t addr;
    ms_t until; /* it keeps its place so long without asking */
} follower_t;

typedef struct {
    uint32_t most; /* places */
    uint32_t n;
    rng_t rng;
    follower_t follower[FOLLOWERS_MAX];
} followers_t;

/* MOST is FOLLOWERS_MAX at most. */
void followers_init(followers_t *f, uint32_t most, uint64_t seed);
/* FROM asks: true where it has a place or gets one.  False: it should ask
 * *INSTEAD, a follower. */
bool followers_take(followers_t *f, ms_t now, const addr_t *from,
                    addr_t *instead);
/* How many have a place. */
uint32_t followers_count(followers_t *f, ms_t now);

#ifdef __cplusplus
}
#endif

#endif
