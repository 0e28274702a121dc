/* tagged: the daemon that serves flows with a tag.  Each file is one duty;
 * they meet only through messages, the published facts, and the replica.
 *
 *   packets   callers' packets: received, decided (flow/), sent and paced;
 *             probes
 *   follow    follows the store, or the peer that does (source/)
 *   operator  follows the operator's topic of the store beside it
 *   check     asks another peer for anything newer
 *   announce  keeps the instance's own announcement in the store
 *   serve     HTTP: readiness, metrics, status, the replica for peers
 *   main      signals, start and stop
 *
 * One thread receives, decides and sends: a decision takes less than handing
 * the packet to another thread would.
 */
#ifndef SISKIN_TAGGED_H
#define SISKIN_TAGGED_H

#include "base/base.h"
#include "conf/tagged.h"
#include "flow/flow.h"
#include "kern/kern.h"
#include "platform/platform.h"
#include "source/source.h"

#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ---- former.c: differences to long values ---- */

#define PREV_VALUES_MAX 3

/* The last values that were replaced, oldest first. */
typedef struct {
    store_item_t value[PREV_VALUES_MAX];
    uint32_t n;
} prev_values_t;

void prev_values_free(prev_values_t *f);
/* Keeps a copy of ITEM, if it is long. */
void prev_values_add(prev_values_t *f, const store_item_t *item);
/* The value of KEY that a peer has which knows all up to AFTER, as far as is
 * known here; NULL: it isn't kept. */
const store_item_t *prev_values_find(const prev_values_t *f, const char *key,
                                     uint64_t after);
/* What makes TO of FROM, as text on the heap; NULL without memory. */
char *value_delta_make(const char *from, const char *to);
/* *TO receives the text on the heap.  -EBADMSG: it is a difference to another
 * text. */
int value_delta_apply(const char *from, const char *difference, char **to);

/* ---- The replica: what the store holds of a topic, as it was last seen ----
 */

typedef struct replica replica_t;

replica_t *replica_new(ms_t now);
void replica_free(replica_t *r);
/* Takes what is newer in ITEMS; CHANGED (freed by the caller) receives it.
 * What a whole list lacks counts as removed.  Differences in ITEMS become
 * values; -ESTALE: one is to a value that isn't here, and nothing is taken. */
int replica_merge(replica_t *r, ms_t now, store_items_t *items,
                  store_items_t *changed);
/* 0: nothing has been seen yet. */
uint64_t replica_revision(const replica_t *r);
/* Copies of all items.  -ENOMEM. */
int replica_items(replica_t *r, store_items_t *out);
/* When it was last known to be all that the store holds, or to be on the way.
 */
ms_t replica_current_at(const replica_t *r);
/* An answer of the store goes on to arrive at NOW. */
void replica_on_progress(replica_t *r, ms_t now);
/* True where what was removed after revision AFTER is no longer known: only
 * the whole helps. */
bool replica_is_behind(replica_t *r, uint64_t after);
/* What is newer than revision AFTER, as text for a peer, which gets it at most
 * GIVEN_MS later; long values as DIFFERENCES, where the former one is known.
 * NULL without memory. */
char *replica_text(replica_t *r, ms_t now, uint64_t after, ms_t given_ms,
                   bool differences);

/* ---- Answers to peers, packed and kept for those that ask the same ---- */

typedef struct answers answers_t;

/* One topic's part of a question. */
typedef struct {
    bool packed;      /* the follower_address takes packed answers */
    bool differences; /* and differences to long values */
    bool whole;       /* it needs all there is */
    uint64_t after;
    uint64_t revision; /* of the replica then */
} answer_query_t;

/* Does the answer to KEPT, AGE old, answer what is ASKED?  Pure. */
bool answer_is_reusable(const answer_query_t *kept, ms_t age,
                        const answer_query_t *asked);

/* NULL without memory. */
answers_t *answers_new(void);
/* Answers C with what is newer than revision AFTER of each topic.  MHD_NO,
 * which ends the connection, without memory. */
enum MHD_Result answers_reply(answers_t *a, replica_t *const r[TOPICS],
                              struct MHD_Connection *c,
                              const uint64_t after[TOPICS], bool differences);

/* ---- Messages to packets ---- */

/* What has changed in the store. */
typedef struct {
    bool first; /* nothing was known before */
    size_t n;
    store_event_t event[];
} changes_t;

void changes_free(void *msg);

/* ---- What every duty may read; each has one writer ---- */

typedef struct {
    uint64_t received, sent, unreadable, send_failed;
    uint64_t log_lines_limited; /* log lines left out by their rate */
    uint64_t paced;             /* packets that waited for the link */
    uint64_t retransmits;       /* that took the place of one that waited */
    uint64_t evicted;           /* packets dropped: too many waited */
    uint64_t probes_skipped;
    uint64_t pauses;
    uint64_t store_failures, refused_items;
    uint64_t peer_calls, peer_failures; /* follow's and check's: atomic */
    uint64_t check_updates;        /* what the followed source had not told */
    uint64_t updates_deferred;     /* packets' inbox was full */
    uint64_t followers_redirected; /* askers, to followers of this instance */
} tagged_counters_t;

typedef struct {
    tagged_settings_t settings; /* as at the start */
    char settings_file[256];
    kern_t *kern;
    replica_t *replica[TOPICS];
    answers_t *answers;
    store_t *store[TOPICS];      /* follow's client, and operator's */
    store_t *writer;             /* announce's */
    pthread_mutex_t follow_lock; /* sources, and the order of changes */
    sources_t sources;
    int flow_fd;
    ms_t started;
    /* Atomic facts */
    bool ready;         /* there are routes and upstreams */
    bool draining;      /* SIGTERM came */
    bool reload;        /* SIGHUP came: follow reads the settings again */
    bool store_up;      /* the last call to the store succeeded */
    bool follows_store; /* this instance reads the store, not a peer */
    uint32_t waiting;   /* peers that wait for an answer */
    ms_t packet_at;     /* when the last packet came */
    tagged_counters_t count;
    /* A copy of packets' statistics. */
    pthread_mutex_t stats_lock;
    flow_stats_t stats;
} tagged_t;

#define ATOMIC_GET(t, name) __atomic_load_n(&(t)->name, __ATOMIC_RELAXED)
#define ATOMIC_SET(t, name, value)                                            \
    __atomic_store_n(&(t)->name, value, __ATOMIC_RELAXED)

/* When the replicas were last known to be current: the older of them. */
ms_t tagged_current_at(const tagged_t *t);
/* There is something of each topic. */
bool tagged_has_replicas(const tagged_t *t);

/* ---- Duties ---- */

void packets_run(duty_t *self, void *tagged);
void follow_run(duty_t *self, void *tagged);
void operator_run(duty_t *self, void *tagged);
void check_run(duty_t *self, void *tagged);
void announce_run(duty_t *self, void *tagged);
void serve_run(duty_t *self, void *tagged);

/* ---- watch.c: a topic of the store ---- */

typedef struct {
    ms_t wait_ms;     /* long-poll timeout */
    ms_t stale_ms;    /* age at which what is known counts as old */
    ms_t coalesce_ms; /* pause after a change */
} watch_timing_t;

/* For a topic of which a change may take CHANGE_MS, at an instance whose link
 * carries LINK_MBPS (0: not told). */
watch_timing_t watch_timing(store_topic_t topic, ms_t change_ms,
                            double link_mbps);

typedef struct {
    tagged_t *t;
    store_t *store;
    store_topic_t topic;
    rng_t rng;
    /* The store's history doesn't reach back to the replica's revision, news
     * was lost on the way, or a watch would bring versions that no longer
     * matter: a list tells what there is. */
    bool needs_resync;
    bool failed; /* the last call did */
    ms_t progress_at;
    watch_timing_t timing;
    ms_t backoff;
} watch_t;

/* CHANGE_MS: a change of the topic may take so long. */
void watch_init(watch_t *w, tagged_t *t, store_topic_t topic, ms_t change_ms);
/* What is known of the topic may be old: nobody has confirmed it in time. */
bool watch_is_stale(const watch_t *w);
/* Until it is, if nobody confirms it meanwhile. */
ms_t watch_fresh_ms(const watch_t *w);
/* One call; returns how long to pause before the next. */
ms_t watch_once(watch_t *w);
/* A call to the store failed; returns how long to pause. */
ms_t watch_failed(watch_t *w, int rc, const err_t *e);
/* How long to pause after one more failure, not of the store's. */
ms_t watch_back_off(watch_t *w);

/* ---- news.c: how what is new gets from a source to packets ---- */

/* Takes ITEMS into the replica and passes on what is new, in one order
 * whoever brings it.  The number of new items, or -ENOMEM.  -ENOBUFS: packets'
 * inbox is full, and nothing was taken; -ESTALE: nor was it, as in
 * replica_merge(). */
int updates_apply(tagged_t *t, store_items_t *items);
/* Takes only what ITEMS tell of peers. */
void updates_apply_peers(tagged_t *t, const store_items_t *items);
typedef struct {
    addr_t addr;
    void *http;
    unsigned late_answers; /* answers with everything that came too late, in a
                              row */
    bool needs_values; /* a difference did not fit: the values are needed */
} peer_client_t;

/* Asks the peer at A for what is newer, by the client C, which is made anew
 * when it is for another peer.  The answer may take WAIT_MS.  As
 * updates_apply().
 */
int updates_poll(tagged_t *t, peer_client_t *c, const addr_t *a, ms_t wait_ms,
                 err_t *e);
/* The same as a follower of A.  -EREMOTE: A has no place, and *REDIRECT is to
 * be followed. */
int updates_follow(tagged_t *t, peer_client_t *c, const addr_t *a,
                   ms_t wait_ms, addr_t *redirect, err_t *e);
/* What came of asking the peer at A, for the choice of the next. */
void updates_record_answer(tagged_t *t, const addr_t *a,
                           source_answer_t answer);
void peer_client_close(peer_client_t *c);

/* ---- send.c: packets out, in batches, paced to the link ---- */

typedef struct sender sender_t;

/* NULL without memory. */
sender_t *sender_new(tagged_t *t);
void sender_free(sender_t *s);
/* Forwards the packet IN, of LEN bytes at DATA, as D says.  DATA must stay as
 * it is until sender_flush(). */
void sender_forward(sender_t *s, ms_t now, const flow_packet_t *in,
                    uint8_t *data, size_t len, const flow_decision_t *d);
/* Resets a flow: callers take packets at the port that instances have. */
void sender_reset(sender_t *s, const addr_t *caller, const addr_t *service,
                  uint32_t seq);
void sender_flush(sender_t *s);
/* Sends what waits and may leave; returns when to be called next. */
ms_t sender_tick(sender_t *s, ms_t now);

/* ---- probes.c: bare TCP connections to upstreams ---- */

#define PROBES_MAX 64 /* under way at a time */

typedef struct {
    uint64_t upstream; /* 0: a free place */
    ms_t deadline;
    int fd;      /* -1: it failed at once */
    int failure; /* errno of that */
} probe_t;

typedef struct {
    probe_t probe[PROBES_MAX];
    size_t n; /* places in use are below it */
} probes_t;

typedef void probe_done_t(void *arg, uint64_t upstream, flow_probe_t result);

/* Reads the clock itself: a caller's time may be that of its last wake-up, and
 * a probe started by it would be over before it could be answered.
 * -EAGAIN: no place is free. */
int probes_start(probes_t *p, const flow_out_t *out);
/* Fills FDS from the first place on; returns how many.  *NEXT is lowered to
 * when the first probe ends. */
size_t probes_poll(const probes_t *p, struct pollfd *fds, ms_t *next);
/* Ends the probes that were answered or refused, or whose time is over. */
void probes_check(probes_t *p, probe_done_t *done, void *arg);
void probes_close(probes_t *p);

/* Metrics as Prometheus text, with the number of FOLLOWERS; status as JSON;
 * malloc, or NULL. */
char *tagged_metrics(tagged_t *t, uint32_t followers);
char *tagged_status(tagged_t *t);

/* Runs the daemon until it is told to stop; its exit status. */
int tagged_run(const char *file, const tagged_settings_t *s);

#ifdef __cplusplus
}
#endif

#endif
