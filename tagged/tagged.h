/* tagged: the daemon that serves flows with a tag.  Each duty is one thread;
 * duties share only messages, the state in tagged_t and the replicas.
 *
 *   packets   callers' packets: receive, decide (flow/), send and pace;
 *             probes
 *   follow    follows the store, or a peer (source/)
 *   operator  follows the operator's topic at the store (watch.c), in parallel
 *             with follow, unless peers keep the topic current
 *   check     polls another peer for anything newer
 *   announce  keeps the instance's own announcement in the store
 *   load      shares the load of services with other instances, if the
 * settings call for it serve     HTTP: readiness, metrics, status, the replica
 * for peers main      signals, start and stop (daemon.c)
 *
 * One thread receives, decides and sends: a decision takes less time than
 * handing the packet to another thread would.
 */
#ifndef SISKIN_TAGGED_H
#define SISKIN_TAGGED_H

#include "base/base.h"
#include "conf/tagged.h"
#include "flow/flow.h"
#include "kern/kern.h"
#include "load/load.h"
#include "platform/platform.h"
#include "source/source.h"

#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ---- value_delta.c: deltas of long values ---- */

#define PREV_VALUES_MAX 3

/* The most recently replaced values, oldest first. */
typedef struct {
    store_item_t value[PREV_VALUES_MAX];
    uint32_t n;
} prev_values_t;

void prev_values_free(prev_values_t *v);
/* Stores a copy of ITEM if its value is long. */
void prev_values_add(prev_values_t *v, const store_item_t *item);
/* Returns the value of KEY that a peer with all changes up to revision AFTER
 * has, as far as recorded here, or NULL if that value is not stored. */
const store_item_t *prev_values_find(const prev_values_t *v, const char *key,
                                     uint64_t after);
/* Returns the delta from FROM to TO as base64 text on the heap; NULL without
 * memory. */
char *value_delta_make(const char *from, const char *to);
/* Applies the delta TEXT to FROM; *TO receives the value on the heap.
 * -EBADMSG: the delta has another base value. */
int value_delta_apply(const char *from, const char *text, char **to);

/* ---- The replica: the items of a topic as last read from the store ---- */

typedef struct replica replica_t;

replica_t *replica_new(ms_t now);
void replica_free(replica_t *r);
/* Merges the newer ones of ITEMS; CHANGED (freed by the caller) receives them.
 * Items missing from a whole list count as removed.  Deltas in ITEMS are
 * expanded to values.  -ESTALE: the base of a delta is missing, and nothing
 * was merged. */
int replica_merge(replica_t *r, ms_t now, store_items_t *items,
                  store_items_t *changed);
/* 0: no data yet. */
uint64_t replica_revision(const replica_t *r);
/* Returns copies of all items.  -ENOMEM. */
int replica_items(replica_t *r, store_items_t *out);
/* The last time at which the replica was confirmed to be complete, or an
 * answer with updates was in transfer. */
ms_t replica_current_at(const replica_t *r);
/* The last time at which an answer made progress, here or, without data, at a
 * peer.  An answer to peers without data of the topic states its age. */
ms_t replica_progress_at(const replica_t *r);
/* Keeps ITEMS, the latest part of the first list, for peers that start too: a
 * few hundred upstreams are enough to open flows while thousands are read.
 * -ESTALE: there is data, or a later part. */
int replica_set_part(replica_t *r, const store_items_t *items);
/* Position of that part in the list; 0: none. */
size_t replica_part_at(const replica_t *r);
store_text_t replica_part_text(replica_t *r, ms_t now, store_codec_t codec);
/* Reports that data of an answer arrived at NOW. */
void replica_on_progress(replica_t *r, ms_t now);
/* True if removals after revision AFTER have been pruned, so that a peer at
 * AFTER needs the whole replica. */
bool replica_is_behind(replica_t *r, uint64_t after);
/* Returns the items newer than revision AFTER, serialised for a peer.  The
 * text may be cached and sent up to LIFETIME_MS later; its stated age includes
 * that. With DELTAS, long values are sent as deltas where the previous value
 * is stored. */
store_text_t replica_text(replica_t *r, ms_t now, uint64_t after,
                          ms_t lifetime_ms, bool deltas, store_codec_t codec);

/* ---- Answers to peers, compressed and cached for equal requests ---- */

typedef struct answers answers_t;

/* One topic's part of a request. */
typedef struct {
    bool packed;      /* the peer accepts compressed answers */
    bool differences; /* the peer accepts deltas of long values */
    store_codec_t codec;
    bool whole; /* the peer needs the whole replica */
    uint64_t after;
    uint64_t revision; /* of the replica at the time of the request */
    size_t part; /* part of the first list that the peer lacks; 0: none */
} answer_query_t;

/* True if the answer that was written for CACHED, AGE ago, also answers QUERY.
 * Reads nothing but its arguments. */
bool answer_is_reusable(const answer_query_t *cached, ms_t age,
                        const answer_query_t *query);

/* NULL without memory. */
answers_t *answers_new(void);
/* Answers C with the items newer than revision AFTER of each topic, or without
 * data with the part of the first list, if it is later than the peer's, PART.
 * MHD_NO, which closes the connection, without memory. */
enum MHD_Result answers_reply(answers_t *a, replica_t *const r[TOPICS],
                              struct MHD_Connection *c,
                              const uint64_t after[TOPICS], size_t part,
                              bool deltas, store_codec_t codec);

/* ---- Messages to packets ---- */

/* Changes of the store's items. */
typedef struct {
    store_topic_t topic;
    bool first;       /* the replica was empty before */
    bool provisional; /* a part of the first list */
    size_t n;
    store_event_t event[];
} changes_t;

void changes_free(void *msg);

/* ---- provisional.c: while the first list of upstreams is read ---- */

typedef struct {
    uint64_t id, entry;
    bool confirmed; /* the complete list contains it */
} provisional_upstream_t;

/* Upstreams known from parts of the list. */
typedef struct {
    provisional_upstream_t *up;
    size_t n, cap;
    ms_t expires_at;
} provisional_t;

typedef void provisional_remove_t(void *arg, uint64_t id, uint64_t entry);

/* Adds the upstreams of a part.  Those that don't fit in memory are left to
 * the complete list. */
void provisional_add(provisional_t *v, ms_t now, const changes_t *c);
/* True if there are some and the list was not completed in time. */
bool provisional_expired(const provisional_t *v, ms_t now);
/* Calls REMOVE for each upstream that the complete LIST doesn't contain, or
 * for all if LIST is NULL, and forgets all.  Returns the number removed. */
size_t provisional_end(provisional_t *v, const changes_t *list,
                       provisional_remove_t *remove, void *arg);

typedef struct {
    ms_t arrived;
    uint16_t len;
    uint8_t data[PACKET_MAX_LEN];
} parked_packet_t;

/* Packets of flows whose upstream may be in the rest of the list, in order of
 * arrival.  A caller would repeat them only after 200 ms and more. */
typedef struct {
    parked_packet_t *packet; /* NULL: none yet */
    size_t n;
} parked_t;

/* Copies a packet of at most PACKET_MAX_LEN bytes; beyond a limit it is lost.
 */
void parked_add(parked_t *k, ms_t arrived, const uint8_t *data, size_t len);
void parked_free(parked_t *k);

/* ---- requests.c: operators' requests, for the packets duty ---- */

/* Requests wait for the complete list: one in a part of it may have been ended
 * before the list is complete, and the list can't show that. */
bool tagged_is_request(const store_event_t *ev);
/* Applies the request, or its end, and logs it. */
void tagged_apply_request(flowset_t *f, const store_event_t *ev);
void tagged_log_expired_request(const request_t *r);

/* ---- State that every duty may read ---- */

/* Each counter has one writer, or is guarded by follow_lock, except those
 * marked. */
typedef struct {
    uint64_t received, sent, unreadable, send_failed;
    uint64_t log_lines_limited; /* log lines dropped by the rate limit */
    uint64_t paced;             /* packets queued by the pacer */
    uint64_t retransmits; /* retransmissions that replaced a queued packet */
    uint64_t evicted;     /* packets dropped from the full queue */
    uint64_t probes_skipped;
    uint64_t pauses;
    /* Of follow and operator: may lose counts */
    uint64_t store_failures;
    uint64_t store_lists; /* lists read to their end */
    uint64_t refused_items;
    uint64_t peer_calls, peer_failures; /* of follow and check: atomic */
    uint64_t check_updates; /* updates that the followed source had not sent */
    uint64_t updates_deferred;     /* the inbox of packets was full */
    uint64_t followers_redirected; /* peers redirected to followers of this
                                      instance; by the threads of both HTTP
                                      listeners: may lose counts */
    uint64_t load_send_failed;
} tagged_counters_t;

/* Names of data centres and services that are kept for reports. */
#define LOAD_NAMES_MAX 256

typedef struct {
    uint64_t id; /* load_name_id() */
    char name[FLOW_NAME_LEN];
} load_name_t;

/* What packets, load and serve exchange, guarded by LOCK.  Packets only tries
 * the lock. */
typedef struct {
    pthread_mutex_t lock;
    load_sum_t own; /* of packets, made at OWN_AT */
    ms_t own_at;
    load_view_t view; /* of load, with ages at VIEW_AT */
    ms_t view_at;
    load_node_stats_t stats;
    uint32_t n_names;
    load_name_t name[LOAD_NAMES_MAX];
    load_view_t taken; /* buffer of packets */
} load_exchange_t;

typedef struct {
    tagged_settings_t settings; /* as read at the start */
    char settings_file[256];
    kern_t *kern;
    replica_t *replica[TOPICS];
    answers_t *answers;
    store_t *store[TOPICS];      /* clients of follow and operator */
    store_t *writer;             /* client of announce */
    pthread_mutex_t follow_lock; /* guards sources and the order of changes */
    sources_t sources;
    int flow_fd;
    int load_fd; /* if load is shared */
    flow_sharing_t sharing;
    ms_t started;
    /* Atomic state */
    bool ready;         /* routes and upstreams are available */
    bool draining;      /* SIGTERM was received */
    bool reload;        /* SIGHUP was received: follow rereads the settings */
    bool store_up;      /* the last call to the store succeeded */
    bool follows_store; /* this instance reads the store, not a peer */
    uint32_t waiting;   /* suspended requests of peers */
    ms_t packet_at;     /* when the last packet was received */
    tagged_counters_t count;
    /* Copies of the statistics and status of packets. */
    pthread_mutex_t stats_lock;
    flow_stats_t stats;
    flow_load_status_t load_status; /* if load is shared */
    load_exchange_t load;
} tagged_t;

#define ATOMIC_GET(t, name) __atomic_load_n(&(t)->name, __ATOMIC_RELAXED)
#define ATOMIC_SET(t, name, value)                                            \
    __atomic_store_n(&(t)->name, value, __ATOMIC_RELAXED)

/* When both replicas were last confirmed current: the older of the two times.
 */
ms_t tagged_current_at(const tagged_t *t);
/* True if the replica of each topic has data. */
bool tagged_has_replicas(const tagged_t *t);

/* ---- Duties ---- */

void packets_run(duty_t *self, void *tagged);
void follow_run(duty_t *self, void *tagged);
void operator_run(duty_t *self, void *tagged);
void check_run(duty_t *self, void *tagged);
void announce_run(duty_t *self, void *tagged);
void load_run(duty_t *self, void *tagged);
void serve_run(duty_t *self, void *tagged);

/* ---- watch.c: follows a topic of the store ---- */

typedef struct {
    ms_t wait_ms;     /* long-poll timeout */
    ms_t stale_ms;    /* age at which the replica counts as stale */
    ms_t coalesce_ms; /* pause after a change */
} watch_timing_t;

/* Returns the timing for a topic whose changes must apply within CHANGE_MS, at
 * an instance with a link of LINK_MBPS (0: unset). */
watch_timing_t watch_timing(store_topic_t topic, ms_t change_ms,
                            double link_mbps);

typedef struct {
    tagged_t *t;
    store_t *store;
    store_topic_t topic;
    rng_t rng;
    /* A list must be read: the store's history does not reach back to the
     * replica's revision, updates were lost, or a watch would transfer
     * superseded versions. */
    bool needs_resync;
    bool failed; /* the last call failed */
    ms_t progress_at;
    size_t n_reading;  /* items before the page that is being read */
    size_t n_read_max; /* items that failed attempts have read */
    size_t part;       /* position of the last part passed on */
    ms_t part_at;      /* when it was */
    /* Called with ARG after the first page of a first list of several pages;
     * returns true once a peer has delivered the list.  May be NULL. */
    bool (*peers_deliver)(void *arg);
    void *arg;
    watch_timing_t timing;
    ms_t backoff;
} watch_t;

/* Changes of the topic must apply within CHANGE_MS. */
void watch_init(watch_t *w, tagged_t *t, store_topic_t topic, ms_t change_ms);
/* True if the topic's replica has not been confirmed in time. */
bool watch_is_stale(const watch_t *w);
/* Time until the replica becomes stale unless confirmed before. */
ms_t watch_fresh_ms(const watch_t *w);
/* Makes one call; returns the pause before the next. */
ms_t watch_once(watch_t *w);
/* Records a failed call to the store; returns the pause before the next. */
ms_t watch_failed(watch_t *w, int rc, const err_t *e);
/* Returns the backoff after one more failure that is not the store's. */
ms_t watch_back_off(watch_t *w);

/* ---- updates.c: updates from a source to the packets duty ---- */

/* Merges ITEMS into the replica and posts the changes to packets, in one order
 * for all sources.  Returns the number of changed items, or -ENOMEM.
 * -ENOBUFS: the inbox of packets is full, and nothing was merged.  -ESTALE: as
 * in replica_merge(). */
int updates_apply(tagged_t *t, store_items_t *items);
/* Applies ITEMS, a part of the first list of upstreams, until the list is
 * complete. */
int updates_apply_part(tagged_t *t, const store_items_t *items);
/* Applies only the peers' announcements in ITEMS. */
void updates_apply_peers(tagged_t *t, const store_items_t *items);
typedef struct {
    addr_t addr;
    void *http;
    unsigned late_answers;   /* consecutive timeouts */
    unsigned start_failures; /* the same while this instance has no data */
    bool needs_values; /* a delta had another base: request full values */
} peer_client_t;

/* Requests updates from the peer at A through the client C, which is reopened
 * for another peer.  The peer may hold the request for WAIT_MS.  Returns as
 * updates_apply(), or the error of the call.  -ENODATA: the peer has no data
 * yet.  -EPROTO: the HTTP status is not 200. */
int updates_poll(tagged_t *t, peer_client_t *c, const addr_t *a, ms_t wait_ms,
                 err_t *e);
/* The same as a follower of A.  -EREMOTE: A has no free follower place, and
 * *REDIRECT is the peer to follow. */
int updates_follow(tagged_t *t, peer_client_t *c, const addr_t *a,
                   ms_t wait_ms, addr_t *redirect, err_t *e);
/* Records the result of polling the peer at A, for the choice of the next
 * source. */
void updates_record_answer(tagged_t *t, const addr_t *a,
                           source_result_t result);
void peer_client_close(peer_client_t *c);

/* ---- belief_log.c ---- */

/* Logs a change of what the flow set believes of an upstream, a data centre or
 * a service's load. */
void belief_log(const flow_out_t *out);

/* ---- send.c: sends packets in batches, paced to the link ---- */

typedef struct sender sender_t;

/* NULL without memory. */
sender_t *sender_new(tagged_t *t);
void sender_free(sender_t *s);
/* Forwards the packet IN, of LEN bytes at DATA, as decided in D.  DATA must
 * remain unchanged until sender_flush(). */
void sender_forward(sender_t *s, ms_t now, const flow_packet_t *in,
                    uint8_t *data, size_t len, const flow_decision_t *d);
/* Resets a flow.  The reset is sent to the caller's address, at the port of
 * flow_addr, where callers receive packets. */
void sender_reset(sender_t *s, const addr_t *caller, const addr_t *service,
                  uint32_t seq);
void sender_flush(sender_t *s);
/* Sends queued packets as the pacer permits; returns when to call again. */
ms_t sender_tick(sender_t *s, ms_t now);

/* ---- probes.c: TCP connection probes of upstreams ---- */

#define PROBES_MAX 64 /* concurrent probes */

typedef struct {
    uint64_t upstream; /* 0: free slot */
    ms_t deadline;
    int fd;      /* -1: the probe failed immediately */
    int failure; /* errno of that failure */
} probe_t;

typedef struct {
    probe_t probe[PROBES_MAX];
    size_t n; /* slots in use are below it */
} probes_t;

typedef void probe_done_t(void *arg, uint64_t upstream, flow_probe_t result);

/* Starts a probe.  Reads the clock: the caller's time may be that of its last
 * wake-up, and the probe would time out before it can be answered.  -EAGAIN:
 * no slot is free. */
int probes_start(probes_t *p, const flow_out_t *out);
/* Fills FDS from its start; returns the number of entries.  Lowers *NEXT to
 * the earliest deadline, or to 0 if a probe has failed already. */
size_t probes_poll(const probes_t *p, struct pollfd *fds, ms_t *next);
/* Completes the probes that were answered, refused or timed out. */
void probes_check(probes_t *p, probe_done_t *done, void *arg);
void probes_close(probes_t *p);

/* ---- load.c: the load that instances share ---- */

/* The sharing that the settings call for. */
flow_sharing_t load_sharing(const tagged_settings_t *s);
/* For packets: when DUE, reports the load of F and gives F the sums of all
 * instances.  Returns the time of the next call. */
ms_t load_exchange(tagged_t *t, flowset_t *f, ms_t now, ms_t due);
/* Records the names of the services in C, for reports. */
void load_set_services(tagged_t *t, const flow_conf_t *c);
/* Returns the name of a data centre or service, or NULL. */
const char *load_exchange_name(const load_exchange_t *x, uint64_t id);

/* ---- load_report.c ---- */

/* Writes nothing if no load is shared. */
void load_metrics(FILE *f, tagged_t *t);
/* The object "load" of the status; NULL without memory. */
struct json_t *load_status(tagged_t *t);
/* The sums by service and data centre, as JSON on the heap, or NULL. */
char *tagged_load(tagged_t *t);

/* Metrics as Prometheus text, with the number of FOLLOWERS, and status as
 * JSON; allocated with malloc, or NULL. */
char *tagged_metrics(tagged_t *t, uint32_t followers);
char *tagged_status(tagged_t *t);

/* Runs the daemon until a termination signal; returns its exit status. */
int tagged_run(const char *file, const tagged_settings_t *s);

#ifdef __cplusplus
}
#endif

#endif
