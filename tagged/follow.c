/* The follow duty: chooses the source of this instance (source/), and follows
 * that peer, or the store's topic of upstreams. */
#include "tagged/tagged.h"
#include "conf/conf.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Long-poll timeout between peers; an empty answer serves as heartbeat. */
#define PEER_WAIT_MS 600
/* Timeout of the list of announced instances; allows for a slow store. */
#define LIST_MS 1200

typedef struct {
    tagged_t *t;
    duty_t *self;
    watch_t watch;     /* of the upstreams */
    bool store_failed; /* the last source was the store, and the call failed */
    peer_client_t peer;
} follow_t;

/* ---- The store ---- */

static ms_t
wait_left(const follow_t *f, ms_t begun, ms_t delay)
{
    const replica_t *r = f->t->replica[TOPIC_UPSTREAMS];

    return sources_wait_ms(begun, replica_progress_at(r), delay, clock_now());
}

/* Waits for peers to deliver the list, which they send compressed, before the
 * store is read.  When hundreds of instances start together, even one page for
 * each occupies the store's link for a second.  True: a peer has delivered it.
 */
static bool
wait_for_peers(follow_t *f, ms_t (*delay_ms)(sources_t *s))
{
    ms_t left, delay, begun = clock_now();

    pthread_mutex_lock(&f->t->follow_lock);
    delay = delay_ms(&f->t->sources);
    pthread_mutex_unlock(&f->t->follow_lock);
    while (!tagged_has_replicas(f->t) && !duty_stopping(f->self) &&
           (left = wait_left(f, begun, delay)) > 0) {
        duty_wait(f->self, NULL, 0, left);
    }
    return tagged_has_replicas(f->t);
}

/* See watch_t. */
static bool
peers_deliver_long_list(void *follow)
{
    return wait_for_peers(follow, sources_long_list_delay_ms);
}

/* Reads the announced instances, to choose a peer from.  A seed reads the
 * whole list anyway. */
static int
list_peers(follow_t *f, err_t *e)
{
    store_items_t items;
    bool seed;
    int rc;

    pthread_mutex_lock(&f->t->follow_lock);
    seed = f->t->sources.seed;
    pthread_mutex_unlock(&f->t->follow_lock);
    if (seed) {
        return 0;
    }
    rc = store_list_peers(f->t->store[TOPIC_UPSTREAMS], LIST_MS, &items, e);
    if (rc == 0) {
        updates_apply_peers(f->t, &items);
    }
    store_items_free(&items);
    return rc;
}

/* Records whether this instance reads the store or a peer. */
static void
set_follows_store(follow_t *f, bool yes)
{
    if (yes != ATOMIC_GET(f->t, follows_store)) {
        ATOMIC_SET(f->t, follows_store, yes);
        duty_wake(kern_find(f->t->kern, "operator"));
    }
}

/* Makes one call to the store; returns the pause before the next. */
static ms_t
follow_store(follow_t *f)
{
    err_t e = {0};
    ms_t pause;

    if (replica_revision(f->t->replica[TOPIC_UPSTREAMS]) == 0) {
        int rc = list_peers(f, &e);
        if (rc < 0) {
            f->store_failed = true;
            return watch_failed(&f->watch, rc, &e);
        }
        if (wait_for_peers(f, sources_resync_delay_ms)) {
            return 0;
        }
    }
    set_follows_store(f, true);
    pause = watch_once(&f->watch);
    f->store_failed = f->watch.failed;
    return pause;
}

/* Handles a redirect: the peer has no free follower place. */
static ms_t
redirected(follow_t *f, const addr_t *a, const addr_t *redirect)
{
    char from[ADDR_STRLEN], to[ADDR_STRLEN];
    int rc;

    pthread_mutex_lock(&f->t->follow_lock);
    rc = sources_redirected(&f->t->sources, redirect);
    pthread_mutex_unlock(&f->t->follow_lock);
    log_line(rc < 0 ? LVL_WARN : LVL_INFO, "follow", "%s peer=%s instead=%s",
             rc < 0 ? "Redirected too often, waiting." : "Redirected.",
             addr_text(a, from), addr_text(redirect, to));
    return rc < 0 ? watch_back_off(&f->watch) : 0;
}

/* Polls the peer at A once.  A peer that does not answer, or whose answer
 * leaves the replica stale, counts as failed. */
static ms_t
follow_peer(follow_t *f, const addr_t *a, bool needs_slot)
{
    ms_t wait = watch_is_stale(&f->watch) ? 0 : PEER_WAIT_MS;
    char text[ADDR_STRLEN];
    err_t e = {0};
    addr_t redirect;
    int rc = needs_slot
                 ? updates_follow(f->t, &f->peer, a, wait, &redirect, &e)
                 : updates_poll(f->t, &f->peer, a, wait, &e);
    bool stale = rc >= 0 && watch_is_stale(&f->watch);

    f->store_failed = false;
    set_follows_store(f, false);
    if (rc == -EREMOTE) {
        return redirected(f, a, &redirect);
    }
    if (rc == -ENOBUFS) { /* the local inbox is full: no failure of the peer */
        return watch_back_off(&f->watch);
    }
    updates_record_answer(f->t, a,
                          rc < 0 || stale ? SOURCE_FAILED : SOURCE_ANSWERED);
    if (rc < 0 || stale) {
        log_line(LVL_WARN, "follow",
                 "Peer failed. peer=%s error=\"%s\" "
                 "age_ms=%lld",
                 addr_text(a, text), rc < 0 ? e.text : "stale revision",
                 (long long)(clock_now() - tagged_current_at(f->t)));
        return 0;
    }
    f->watch.backoff = 0;
    return 0;
}

/* Chooses the peer to follow, and whether that takes a follower slot; false:
 * the store.  A stale replica means that
 * the leaders are cut off: the store is read at once, and peers only if the
 * store can't be reached from here.  Trying peers first takes seconds when
 * many are cut off. */
static bool
pick_peer(follow_t *f, addr_t *a, bool *needs_slot)
{
    const source_peer_t *p;

    if (watch_is_stale(&f->watch) && !f->store_failed) {
        return false;
    }
    pthread_mutex_lock(&f->t->follow_lock);
    p = sources_followed(&f->t->sources, clock_now());
    if (p != NULL) {
        *a = p->addr;
        *needs_slot = sources_needs_place(&f->t->sources, clock_now());
    }
    pthread_mutex_unlock(&f->t->follow_lock);
    return p != NULL;
}

static ms_t
follow_once(follow_t *f, bool *from_store)
{
    addr_t a = {0};
    bool needs_slot = true;
    bool peer = pick_peer(f, &a, &needs_slot);
    char text[ADDR_STRLEN];

    if (peer == *from_store) {
        *from_store = !peer;
        log_line(LVL_INFO, "follow", "Source changed. source=%s age_ms=%lld",
                 peer ? addr_text(&a, text) : "store",
                 (long long)(clock_now() - tagged_current_at(f->t)));
    }
    return peer ? follow_peer(f, &a, needs_slot) : follow_store(f);
}

/* Applies the changed settings file.  Settings that a running process can't
 * change keep their values. */
static void
reload(follow_t *f)
{
    tagged_t *t = f->t;
    tagged_settings_t s;
    err_t e = {0};
    char *text = conf_read_file(t->settings_file, &e);

    if (text == NULL ||
        tagged_settings_parse(&s, t->settings_file, text, &e) < 0) {
        log_line(LVL_ERROR, "follow",
                 "Settings not reloaded, previous ones in force. peer=%s "
                 "error=\"%s\"",
                 e.peer, e.text);
        free(text);
        return;
    }
    free(text);
    log_set_level(s.log_level);
    pthread_mutex_lock(&t->follow_lock);
    for (uint32_t i = 0; i < s.n_seeds; i++) {
        sources_add(&t->sources, &s.seed[i], "");
    }
    pthread_mutex_unlock(&t->follow_lock);
    log_line(LVL_INFO, "follow",
             "Settings reloaded. seeds=%u restart_needed=%s", s.n_seeds,
             addr_eq(&s.flow_addr, &t->settings.flow_addr) &&
                     strcmp(s.store_url, t->settings.store_url) == 0
                 ? "no"
                 : "yes");
}

void
follow_run(duty_t *self, void *tagged)
{
    follow_t f = {.t = tagged, .self = self};
    bool from_store = true;

    watch_init(&f.watch, f.t, TOPIC_UPSTREAMS, (ms_t)f.t->settings.drain_ms);
    f.watch.peers_deliver = peers_deliver_long_list;
    f.watch.arg = &f;
    while (!duty_stopping(self)) {
        ms_t pause = follow_once(&f, &from_store);
        if (__atomic_exchange_n(&f.t->reload, false, __ATOMIC_RELAXED)) {
            reload(&f);
        }
        if (pause > 0) {
            duty_wait(self, NULL, 0, pause);
        }
    }
    peer_client_close(&f.peer);
}
