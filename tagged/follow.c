/* The follow duty: keeps the replica current, by the store, or by a peer that the
 * store still serves while it turns this instance away.
 *
 * A peer's replica is taken when its revision is higher.  Revisions are the
 * store's and only grow, so the replica never goes back, whoever told it. */
#include "tagged/tagged.h"
#include "conf/conf.h"
#include "plat/http.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A watch waits so long.  A connection that has gone silent is found by the
 * end of the wait; a change must be in force within 3 s at an instance that
 * lost its connection 4 s before. */
#define WATCH_MS 3000
/* After a change, before the next watch: changes come in series, each answer
 * is a call that is paid for, and a change may take 3 s. */
#define GATHER_MS 150
/* The whole list, with the store slow by a factor of 60. */
#define LIST_MS 1200
/* Between calls that fail: doubling, with jitter, so that instances do not
 * return all at once.  The upper bound is short of what a change may take. */
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1200
/* A peer is a few milliseconds away; one that doesn't answer is down. */
#define PEER_MS 400
#define PEERS_MAX 64
/* An instance is announced under a lease that outlives restarts: a process
 * that finds its announcement writes nothing.  The longest that the store
 * grants, and a third of it. */
#define ANNOUNCE_MS 600000
#define RENEW_MS 200000

typedef struct {
    tagged_t *t;
    duty_t *packets;
    rng_t rng;
    bool listed; /* the replica is a whole list: it can be watched on */
    ms_t backoff;
    uint64_t lease; /* of its announcement; 0: none of its own */
    ms_t renew_at;
    addr_t peer[PEERS_MAX]; /* the last heard of */
    uint32_t n_peers;
} follow_t;

void
changes_free(void *msg)
{
    changes_t *c = msg;

    for (size_t i = 0; i < c->n; i++) {
        if (c->event[i].kind == STORE_ROUTES) {
            flow_conf_free(c->event[i].routes);
        }
    }
    free(c);
}

/* ---- Peers ---- */

static void
add_peer(follow_t *f, const addr_t *a)
{
    if (addr_eq(a, &f->t->settings.admin_addr)) {
        return;
    }
    for (uint32_t i = 0; i < f->n_peers; i++) {
        if (addr_eq(a, &f->peer[i])) {
            return;
        }
    }
    if (f->n_peers < PEERS_MAX) {
        f->peer[f->n_peers++] = *a;
    }
    else { /* enough to ask; which ones is left to chance */
        f->peer[rng_below(&f->rng, PEERS_MAX)] = *a;
    }
}

static void
remove_peer(follow_t *f, const addr_t *a)
{
    for (uint32_t i = 0; i < f->n_peers; i++) {
        if (addr_eq(a, &f->peer[i])) {
            f->peer[i] = f->peer[--f->n_peers];
            return;
        }
    }
}

/* ---- Changes, decoded and passed on ---- */

static void
decode(follow_t *f, const store_item_t *item, changes_t *c)
{
    store_event_t *ev = &c->event[c->n];
    err_t e = {0};

    if (store_event(ev, item, &e) < 0) {
        counter_add(&f->t->count.refused_items, 1);
        log_line(LVL_WARN, "follow",
                 "An item is not used. key=%s revision=%llu error=\"%s\"",
                 e.peer, (unsigned long long)item->revision, e.text);
    }
    switch (ev->kind) {
    case STORE_PEER:
        add_peer(f, &ev->peer);
        return;
    case STORE_PEER_GONE:
        remove_peer(f, &ev->peer);
        return;
    case STORE_OTHER:
        return;
    case STORE_ROUTES:
    case STORE_UPSTREAM:
    case STORE_UPSTREAM_GONE:
        c->n++;
    }
}

static int
pass_on(follow_t *f, const store_items_t *items, bool whole)
{
    changes_t *c =
        calloc(1, sizeof(*c) + (items->n + 1) * sizeof(*c->event));
    int rc;

    if (c == NULL) {
        return -ENOMEM;
    }
    c->whole = whole;
    for (size_t i = 0; i < items->n; i++) {
        decode(f, &items->item[i], c);
    }
    if (c->n == 0 && !whole) {
        changes_free(c);
        return 0;
    }
    rc = duty_post(f->packets, c);
    if (rc < 0) {
        changes_free(c);
    }
    return rc;
}

static int
take_whole(follow_t *f, const store_items_t *items)
{
    int rc = pass_on(f, items, true);

    if (rc == 0) {
        rc = replica_replace(f->t->replica, items);
    }
    f->listed = rc == 0;
    return rc;
}

/* ---- The store ---- */

static void
note_store(follow_t *f, int rc, const err_t *e)
{
    bool up = rc == 0;
    bool was = SHARED(f->t, store_up);

    if (up) {
        SHARE(f->t, replica_at, clock_now());
    }
    else {
        counter_add(&f->t->count.store_failures, 1);
    }
    if (up == was) {
        return;
    }
    SHARE(f->t, store_up, up);
    if (up) {
        log_line(LVL_INFO, "follow", "The store answers. revision=%llu",
                 (unsigned long long)replica_revision(f->t->replica));
    }
    else {
        log_line(LVL_WARN, "follow",
                 "The store can't be used. step=\"%s\" peer=%s error=\"%s\" "
                 "revision=%llu",
                 e->step, e->peer, e->text,
                 (unsigned long long)replica_revision(f->t->replica));
    }
}

static int
list(follow_t *f, err_t *e)
{
    store_items_t items;
    int rc = store_list(f->t->store, LIST_MS, &items, e);

    if (rc < 0) {
        return rc;
    }
    if (items.revision >= replica_revision(f->t->replica)) {
        rc = take_whole(f, &items);
    }
    store_items_free(&items);
    return rc;
}

static int
watch(follow_t *f, bool *changed, err_t *e)
{
    store_items_t items;
    uint64_t after = replica_revision(f->t->replica);
    int rc = store_watch(f->t->store, after, WATCH_MS, &items, e);

    *changed = false;
    if (rc == -ESTALE) {
        log_line(LVL_WARN, "follow",
                 "The store has forgotten its history: it is listed anew. "
                 "revision=%llu",
                 (unsigned long long)after);
        f->listed = false;
        return 0;
    }
    if (rc < 0) {
        return rc;
    }
    if (items.revision > after) {
        *changed = items.n > 0;
        rc = pass_on(f, &items, false);
        if (rc == 0) {
            rc = replica_change(f->t->replica, &items);
        }
        f->listed = rc == 0; /* else what was missed is listed */
    }
    store_items_free(&items);
    return rc;
}

/* Lets peers find this instance. */
static void
announce(follow_t *f)
{
    char key[128];
    err_t e = {0};
    ms_t now = clock_now();
    int rc = 0;

    store_peer_key(key, sizeof(key), &f->t->settings.admin_addr);
    if (!replica_has(f->t->replica, key)) {
        if (now < f->renew_at) {
            return;
        }
        rc = store_announce(f->t->store, key, f->t->settings.data_centre,
                            ANNOUNCE_MS, &f->lease, &e);
        f->renew_at = now + (rc < 0 ? BACKOFF_MAX_MS : RENEW_MS);
    }
    else if (f->lease != 0 && now >= f->renew_at) {
        rc = store_renew(f->t->store, f->lease, &e);
        f->renew_at = now + (rc < 0 ? BACKOFF_MAX_MS : RENEW_MS);
    }
    if (rc < 0) {
        f->lease = rc == -ENOENT ? 0 : f->lease;
        log_line(LVL_WARN, "follow",
                 "The instance is not announced. step=\"%s\" error=\"%s\"",
                 e.step, e.text);
    }
}

/* ---- A peer instead ---- */

static int
ask_peer(follow_t *f, const addr_t *peer, store_items_t *items, err_t *e)
{
    char url[ADDR_STRLEN + 8], addr[ADDR_STRLEN], path[64];
    http_call_t c = {
        .path = path, .timeout_ms = PEER_MS, .step = "peer replica"};
    http_reply_t r;
    http_t *h;
    int rc;

    snprintf(url, sizeof(url), "http://%s", addr_text(peer, addr));
    snprintf(path, sizeof(path), "/replica?after=%llu",
             (unsigned long long)replica_revision(f->t->replica));
    h = http_new(url);
    if (h == NULL) {
        return -ENOMEM;
    }
    counter_add(&f->t->count.peer_calls, 1);
    rc = http_call(h, &c, &r, e);
    if (rc == 0) {
        rc = r.status == 200 ? store_items_parse(items, r.body) : -ENODATA;
    }
    http_free(h);
    return rc;
}

static void
follow_peer(follow_t *f)
{
    store_items_t items = {0};
    char addr[ADDR_STRLEN];
    err_t e = {0};
    addr_t peer;

    if (f->n_peers == 0) {
        return;
    }
    peer = f->peer[rng_below(&f->rng, f->n_peers)];
    if (ask_peer(f, &peer, &items, &e) < 0) {
        return; /* the next try asks another */
    }
    if (items.revision > replica_revision(f->t->replica) &&
        take_whole(f, &items) == 0) {
        counter_add(&f->t->count.replicas_from_peers, 1);
        log_line(LVL_INFO, "follow",
                 "A peer's replica is taken. peer=%s revision=%llu items=%zu",
                 addr_text(&peer, addr), (unsigned long long)items.revision,
                 items.n);
    }
    store_items_free(&items);
}

/* ---- The loop ---- */

static ms_t
next_backoff(follow_t *f)
{
    f->backoff = f->backoff == 0 ? BACKOFF_MIN_MS : 2 * f->backoff;
    if (f->backoff > BACKOFF_MAX_MS) {
        f->backoff = BACKOFF_MAX_MS;
    }
    return f->backoff / 2 +
           rng_below(&f->rng, (uint32_t)(f->backoff / 2) + 1);
}

/* One call; returns how long to pause before the next. */
static ms_t
follow_once(follow_t *f)
{
    bool changed = false;
    err_t e = {0};
    int rc = f->listed ? watch(f, &changed, &e) : list(f, &e);

    note_store(f, rc, &e);
    if (rc < 0) {
        follow_peer(f);
        return next_backoff(f);
    }
    f->backoff = 0;
    if (f->listed) {
        announce(f);
    }
    return changed ? GATHER_MS : 0;
}

/* The settings file has changed.  What a running process can't change is
 * left as it is. */
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
                 "The settings are not read: the old ones hold. peer=%s "
                 "error=\"%s\"",
                 e.peer, e.text);
        free(text);
        return;
    }
    free(text);
    log_set_level(s.log_level);
    for (uint32_t i = 0; i < s.n_seeds; i++) {
        add_peer(f, &s.seed[i]);
    }
    log_line(LVL_INFO, "follow",
             "The settings are read again. seeds=%u restart_needed=%s",
             s.n_seeds,
             addr_eq(&s.flow_addr, &t->settings.flow_addr) &&
                     strcmp(s.store_url, t->settings.store_url) == 0
                 ? "no"
                 : "yes");
}

void
follow_run(duty_t *self, void *tagged)
{
    follow_t f = {.t = tagged};

    f.packets = kern_find(duty_kern(self), "packets");
    f.rng.seed = hash64(f.t->settings.name, strlen(f.t->settings.name),
                        (uint64_t)f.t->started + 1);
    for (uint32_t i = 0; i < f.t->settings.n_seeds; i++) {
        add_peer(&f, &f.t->settings.seed[i]);
    }
    while (!duty_stopping(self)) {
        ms_t pause = follow_once(&f);
        if (__atomic_exchange_n(&f.t->reload, false, __ATOMIC_RELAXED)) {
            reload(&f);
        }
        if (pause > 0) {
            duty_wait(self, NULL, 0, pause);
        }
    }
}
