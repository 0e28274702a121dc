/* Updates: items on their way from the store or a peer to the packets duty. */
#include "tagged/tagged.h"
#include "plat/http.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

/* Timeout of a peer's answer beyond the long poll.  A peer is a few
 * milliseconds away; a slower one is down, or no better than the store. */
#define PEER_SLACK_MS 400
/* Connect timeout at the start: a peer that is down does not answer, and other
 * peers are available.  It doubles with each failure in a row, up to the
 * shift, for networks of longer round trips. */
#define START_CONNECT_MS 30
#define START_FAILURES_MAX 3
/* An answer without data of upstreams is shorter, but for one with a long
 * configuration, which a peer sends once. */
#define NO_DATA_BYTES_MAX 4096
/* Stall timeout of an answer that has begun. */
#define PEER_STALL_MS 600
/* Limit of the timeout's doublings.  The whole replica shares the sender's
 * link with other answers, and a repeated request only transfers it again.  So
 * while this instance has no data, each late answer doubles the timeout, up to
 * this shift. */
#define LATE_MAX 3

void
changes_free(void *msg)
{
    changes_t *c = msg;

    for (size_t i = 0; i < c->n; i++) {
        store_event_free(&c->event[i]);
    }
    free(c);
}

static void
apply_peer(tagged_t *t, const store_event_t *ev)
{
    if (ev->kind == STORE_PEER) {
        sources_add(&t->sources, &ev->peer.addr, ev->peer.data_centre);
    }
    else {
        sources_remove(&t->sources, &ev->peer.addr);
    }
}

static void
decode(tagged_t *t, const store_item_t *item, changes_t *c)
{
    store_event_t *ev = &c->event[c->n];
    err_t e = {0};

    if (store_decode_item(ev, item, &e) < 0) {
        counter_add(&t->count.refused_items, 1);
        log_line(LVL_WARN, "news",
                 "Item refused. key=%s revision=%llu error=\"%s\"", e.peer,
                 (unsigned long long)item->revision, e.text);
    }
    switch (ev->kind) {
    case STORE_PEER:
    case STORE_PEER_GONE:
        apply_peer(t, ev);
        return;
    case STORE_UNRELATED:
        return;
    case STORE_ROUTES:
        load_set_services(t, ev->routes);
        c->n++;
        return;
    case STORE_UPSTREAM:
    case STORE_UPSTREAM_GONE:
    case STORE_EVACUATION:
    case STORE_REQUEST:
    case STORE_REQUEST_GONE:
        c->n++;
    }
}

static int
post_changes(tagged_t *t, const store_items_t *items, bool first,
             bool provisional)
{
    changes_t *c = calloc(1, sizeof(*c) + (items->n + 1) * sizeof(*c->event));
    int rc;

    if (c == NULL) {
        return -ENOMEM;
    }
    c->topic = items->topic;
    c->first = first;
    c->provisional = provisional;
    for (size_t i = 0; i < items->n; i++) {
        decode(t, &items->item[i], c);
    }
    if (c->n == 0) {
        changes_free(c);
        return 0;
    }
    rc = duty_post(kern_find(t->kern, "packets"), c);
    if (rc < 0) {
        changes_free(c);
    }
    return rc;
}

/* True if the inbox of packets has no room for an update.  A merged update
 * would be lost then, since no source sends again what the replica holds.
 * Only updates_apply() posts to packets, one thread at a time, so free room
 * stays free. */
static bool
defers_update(tagged_t *t, const store_items_t *items)
{
    const duty_t *packets = kern_find(t->kern, "packets");

    if (items->revision <= replica_revision(t->replica[items->topic]) ||
        duty_depth(packets) < duty_capacity(packets)) {
        return false;
    }
    counter_add(&t->count.updates_deferred, 1);
    log_line(LVL_WARN, "news",
             "Packet queue full, update deferred. topic=%s revision=%llu "
             "was=%llu items=%zu",
             store_topic_name(items->topic),
             (unsigned long long)items->revision,
             (unsigned long long)replica_revision(t->replica[items->topic]),
             items->n);
    return true;
}

int
updates_apply(tagged_t *t, store_items_t *items)
{
    replica_t *r = t->replica[items->topic];
    store_items_t changed;
    bool first;
    int n, rc;

    pthread_mutex_lock(&t->follow_lock);
    if (defers_update(t, items)) {
        pthread_mutex_unlock(&t->follow_lock);
        return -ENOBUFS;
    }
    first = replica_revision(r) == 0;
    rc = replica_merge(r, clock_now(), items, &changed);
    n = (int)changed.n;
    if (rc == 0 && n > 0) {
        rc = post_changes(t, &changed, first, false);
    }
    pthread_mutex_unlock(&t->follow_lock);
    store_items_free(&changed);
    if (n > 0 ||
        ATOMIC_GET(t, waiting) > 0) { /* to answer with updates, or to confirm
                                         that there are none */
        duty_wake(kern_find(t->kern, "serve"));
    }
    if (first && n > 0) { /* they may be waiting for peers' data */
        duty_wake(kern_find(t->kern, "follow"));
        duty_wake(kern_find(t->kern, "operator"));
    }
    return rc < 0 ? rc : n;
}

int
updates_apply_part(tagged_t *t, const store_items_t *items)
{
    int rc;

    pthread_mutex_lock(&t->follow_lock);
    rc = replica_set_part(t->replica[TOPIC_UPSTREAMS], items);
    if (rc == 0) {
        rc = post_changes(t, items, false, true);
    }
    pthread_mutex_unlock(&t->follow_lock);
    if (rc == 0 && ATOMIC_GET(t, waiting) > 0) {
        duty_wake(kern_find(t->kern, "serve"));
    }
    return rc;
}

void
updates_apply_peers(tagged_t *t, const store_items_t *items)
{
    pthread_mutex_lock(&t->follow_lock);
    for (size_t i = 0; i < items->n; i++) {
        store_event_t ev;
        err_t e = {0};
        /* Unreadable items are reported when the whole list is applied. */
        if (store_is_peer(&items->item[i]) &&
            store_decode_item(&ev, &items->item[i], &e) == 0) {
            apply_peer(t, &ev);
        }
    }
    pthread_mutex_unlock(&t->follow_lock);
}

void
updates_record_answer(tagged_t *t, const addr_t *a, source_result_t result)
{
    pthread_mutex_lock(&t->follow_lock);
    sources_report_result(&t->sources, clock_now(), a, result);
    pthread_mutex_unlock(&t->follow_lock);
}

void
peer_client_close(peer_client_t *c)
{
    http_free(c->http);
    c->http = NULL;
}

static int
open_client(peer_client_t *c, const addr_t *a)
{
    char url[ADDR_STRLEN + 8], addr[ADDR_STRLEN];

    if (c->http != NULL && addr_eq(&c->addr, a)) {
        return 0;
    }
    peer_client_close(c);
    snprintf(url, sizeof(url), "http://%s", addr_text(a, addr));
    c->http = http_new(url);
    c->addr = *a;
    return c->http != NULL ? 0 : -ENOMEM;
}

/* The first answer with data makes progress: its transfer may take longer than
 * this instance would wait for a peer that doesn't answer. */
static void
on_first_progress(void *tagged, long status, uint64_t bytes)
{
    tagged_t *t = tagged;
    replica_t *r = t->replica[TOPIC_UPSTREAMS];

    if (status == MHD_HTTP_OK && bytes > NO_DATA_BYTES_MAX &&
        replica_revision(r) == 0) {
        replica_on_progress(r, clock_now());
    }
}

static ms_t
connect_timeout(const peer_client_t *c, bool has_data)
{
    return has_data ? PEER_SLACK_MS : START_CONNECT_MS << c->start_failures;
}

/* Requests updates.  FROM is this instance's address as a follower, or "".
 * The caller parses the answer. */
static int
request_updates(tagged_t *t, peer_client_t *c, const addr_t *a,
                const char *from, ms_t wait_ms, http_reply_t *r, err_t *e)
{
    char path[192 + ADDR_STRLEN];
    bool has_data = tagged_has_replicas(t);
    ms_t slack = has_data ? PEER_SLACK_MS : PEER_SLACK_MS << c->late_answers;
    http_call_t call = {.path = path,
                        .timeout_ms = wait_ms + slack,
                        .connect_timeout_ms = connect_timeout(c, has_data),
                        .stall_timeout_ms = PEER_STALL_MS,
                        .on_progress = has_data ? NULL : on_first_progress,
                        .arg = t,
                        .step = "peer",
                        .accept_zstd = true};
    int rc = open_client(c, a);

    if (rc < 0) {
        return err_set(e, rc, call.step, "memory", "out of memory");
    }
    snprintf(path, sizeof(path),
             "/replica?upstreams=%llu&operator=%llu&wait_ms=%lld"
             "&part=%zu&differences=%d&codec=msgpack%s%s",
             (unsigned long long)replica_revision(t->replica[TOPIC_UPSTREAMS]),
             (unsigned long long)replica_revision(t->replica[TOPIC_OPERATOR]),
             (long long)wait_ms, replica_part_at(t->replica[TOPIC_UPSTREAMS]),
             !c->needs_values, from[0] != '\0' ? "&from=" : "", from);
    __atomic_add_fetch(&t->count.peer_calls, 1, __ATOMIC_RELAXED);
    rc = http_call(c->http, &call, r, e);
    if (rc == -ETIMEDOUT) {
        c->late_answers += c->late_answers < LATE_MAX;
        c->start_failures +=
            !has_data && c->start_failures < START_FAILURES_MAX;
    }
    else if (rc == 0) {
        c->late_answers = 0;
        c->start_failures = 0;
    }
    return rc;
}

/* A peer without data of a topic reports how long ago its first answer made
 * progress. */
static void
note_progress_of_peer(tagged_t *t, const store_items_t *items)
{
    replica_t *r = t->replica[items->topic];

    if (replica_revision(r) == 0) {
        replica_on_progress(r, clock_now() - items->age);
    }
}

/* Applies a peer's updates of each topic.  Returns as updates_apply() for the
 * first topic that fails, else the number of changed items. */
static int
apply_topics(tagged_t *t, store_items_t items[TOPICS], ms_t transfer_ms)
{
    int n = 0, rc = 0;

    for (int i = 0; i < TOPICS; i++) {
        int changed = 0;
        items[i].age += transfer_ms; /* the age is as of the first byte */
        if (items[i].revision > 0) {
            changed = updates_apply(t, &items[i]);
        }
        else {
            note_progress_of_peer(t, &items[i]);
            if (items[i].part > 0) {
                updates_apply_part(t, &items[i]); /* else the list follows */
            }
        }
        n += changed > 0 ? changed : 0;
        rc = rc < 0 ? rc : changed;
    }
    return rc < 0 ? rc : n;
}

/* Applies the answer R if RC is 0.  -ENODATA: the peer has no data yet. */
static int
apply_reply(tagged_t *t, peer_client_t *c, int rc, const http_reply_t *r)
{
    store_items_t items[TOPICS];
    bool empty;

    if (rc == 0) {
        rc = r->status == MHD_HTTP_OK
                 ? store_topics_parse(items, r->body, r->len)
                 : -EPROTO;
    }
    if (rc < 0) {
        __atomic_add_fetch(&t->count.peer_failures, 1, __ATOMIC_RELAXED);
        return rc;
    }
    empty = items[TOPIC_UPSTREAMS].revision == 0 &&
            items[TOPIC_OPERATOR].revision == 0;
    rc = apply_topics(t, items, r->transfer_ms);
    rc = empty ? -ENODATA : rc;
    c->needs_values = rc == -ESTALE;
    store_topics_free(items);
    return rc;
}

int
updates_poll(tagged_t *t, peer_client_t *c, const addr_t *a, ms_t wait_ms,
             err_t *e)
{
    http_reply_t r;
    int rc = request_updates(t, c, a, "", wait_ms, &r, e);

    rc = apply_reply(t, c, rc, &r);
    if (rc == -ESTALE) {
        rc = request_updates(t, c, a, "", 0, &r, e);
        rc = apply_reply(t, c, rc, &r);
    }
    return rc;
}

int
updates_follow(tagged_t *t, peer_client_t *c, const addr_t *a, ms_t wait_ms,
               addr_t *redirect, err_t *e)
{
    char self[ADDR_STRLEN];
    http_reply_t r;
    int rc = request_updates(t, c, a, addr_text(&t->settings.admin_addr, self),
                             wait_ms, &r, e);

    if (rc == 0 && r.status == MHD_HTTP_TEMPORARY_REDIRECT &&
        addr_parse(redirect, r.body) == 0) {
        return -EREMOTE;
    }
    rc = apply_reply(t, c, rc, &r);
    return rc == -ESTALE ? updates_poll(t, c, a, 0, e) : rc;
}
