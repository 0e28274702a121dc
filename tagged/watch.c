/* Follows a topic of the store: first a list, then watches.  Revisions come
 * from the store and only grow, so a replica never goes back, whichever source
 * delivers an update. */
#include "tagged/tagged.h"

#include <errno.h>
#include <string.h>

/* Shares of the time within which a change must apply.
 *
 * Long-poll timeout of a watch.  Its end confirms that nothing has changed,
 * and reveals a watch that the store has dropped. */
#define WATCH_SHARE 0.5
/* The same for the operator's topic, which needs more time to be read. */
#define WATCH_OPERATOR_SHARE 0.3
/* Age at which the replica counts as stale: all leaders may be cut off from
 * the store.  The remaining time is for reading the store, even if the last
 * confirmation came just before the change. */
#define STALE_SHARE 0.83
/* Size of a long configuration as transferred, whose transfer also uses the
 * remaining time. */
#define LONG_CONFIG_BYTES (512 * 1024)
#define DEFAULT_LINK_MBPS 10.0 /* assumed for a link without a set rate */
#define READ_MARGIN_MS 500
/* Pause after a change, before the next watch: changes come in series, and
 * each answer is a paid call. */
#define COALESCE_SHARE 0.067
/* Lower bound of the time that the shares refer to. */
#define MIN_CHANGE_MS 3000
/* Longest time between a peer's answers (follow.c), including one answer's
 * transfer. */
#define PEER_CONFIRM_MS 900
_Static_assert(WATCH_SHARE *MIN_CHANGE_MS + PEER_CONFIRM_MS <=
                   STALE_SHARE * MIN_CHANGE_MS,
               "a replica that is confirmed in time must not be stale");
/* Timeout of a page of the list; allows for a slow store. */
#define LIST_MS 1200
/* Transfer time of an answer above which further versions may have appeared
 * meanwhile: a watch would transfer each of them, a list only the newest. */
#define SLOW_ANSWER_MS 150
/* Longest time between parts of the first list that are passed on. */
#define PART_PERIOD_MS 500
/* Period of the progress reports of an answer. */
#define PROGRESS_MS 300
/* Backoff between failed calls: exponential with jitter, so that instances do
 * not return all at once.  The upper bound is below the time within which a
 * change must apply. */
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1200

/* Keeps the replica current while an answer arrives: this instance is not cut
 * off from the store, and a follower that read the store itself would wait as
 * long.  Followers must not leave a source that is reading over a slow link.
 * A part of the list that was read before is no progress: peers would wait for
 * an instance that starts again and again. */
static void
on_progress(void *watch)
{
    watch_t *w = watch;
    replica_t *r = w->t->replica[w->topic];
    ms_t now = clock_now();
    bool repeats = w->n_reading < w->n_read_max;

    if (!repeats && now - w->progress_at >= PROGRESS_MS) {
        w->progress_at = now;
        replica_on_progress(r, now);
        duty_wake(kern_find(w->t->kern, "serve"));
    }
}

watch_timing_t
watch_timing(store_topic_t topic, ms_t change_ms, double link_mbps)
{
    ms_t ms = change_ms < MIN_CHANGE_MS ? MIN_CHANGE_MS : change_ms;
    double mbps = link_mbps > 0 ? link_mbps : DEFAULT_LINK_MBPS;
    ms_t read_ms =
        (ms_t)(LONG_CONFIG_BYTES * 8 / (mbps * 1000)) + READ_MARGIN_MS;
    watch_timing_t timing = {.wait_ms = (ms_t)(WATCH_SHARE * (double)ms),
                             .stale_ms = (ms_t)(STALE_SHARE * (double)ms),
                             .coalesce_ms =
                                 (ms_t)(COALESCE_SHARE * (double)ms)};

    if (topic != TOPIC_OPERATOR) {
        return timing;
    }
    timing.wait_ms = (ms_t)(WATCH_OPERATOR_SHARE * (double)ms);
    if (timing.wait_ms < (ms_t)(WATCH_SHARE * MIN_CHANGE_MS)) {
        timing.wait_ms = (ms_t)(WATCH_SHARE * MIN_CHANGE_MS);
    }
    if (timing.stale_ms > ms - read_ms) {
        timing.stale_ms = ms - read_ms;
    }
    /* Independent of this instance's link: its source's watch may take this
     * long. */
    if (timing.stale_ms < timing.wait_ms + PEER_CONFIRM_MS) {
        timing.stale_ms = timing.wait_ms + PEER_CONFIRM_MS;
    }
    return timing;
}

void
watch_init(watch_t *w, tagged_t *t, store_topic_t topic, ms_t change_ms)
{
    *w = (watch_t){.t = t,
                   .store = t->store[topic],
                   .topic = topic,
                   .timing =
                       watch_timing(topic, change_ms, t->settings.link_mbps)};
    w->rng.seed = hash64(t->settings.name, strlen(t->settings.name),
                         (uint64_t)t->started + 1 + topic);
    store_on_progress(w->store, on_progress, w);
}

static uint64_t
revision(const watch_t *w)
{
    return replica_revision(w->t->replica[w->topic]);
}

ms_t
watch_fresh_ms(const watch_t *w)
{
    ms_t age = clock_now() - replica_current_at(w->t->replica[w->topic]);

    return age > w->timing.stale_ms ? 0 : w->timing.stale_ms - age + 1;
}

bool
watch_is_stale(const watch_t *w)
{
    return watch_fresh_ms(w) == 0;
}

ms_t
watch_back_off(watch_t *w)
{
    w->backoff = w->backoff == 0 ? BACKOFF_MIN_MS : 2 * w->backoff;
    if (w->backoff > BACKOFF_MAX_MS) {
        w->backoff = BACKOFF_MAX_MS;
    }
    return w->backoff / 2 + rng_below(&w->rng, (uint32_t)(w->backoff / 2) + 1);
}

/* Logs when the store becomes available or unavailable. */
static void
record_store_state(watch_t *w, int rc, const err_t *e)
{
    bool up = rc >= 0;

    if (!up) {
        counter_add(&w->t->count.store_failures, 1);
    }
    if (up == __atomic_exchange_n(&w->t->store_up, up, __ATOMIC_RELAXED)) {
        return;
    }
    if (up) {
        log_line(LVL_INFO, "follow", "Store available. topic=%s revision=%llu",
                 store_topic_name(w->topic), (unsigned long long)revision(w));
    }
    else {
        log_line(LVL_WARN, "follow",
                 "Store unavailable. topic=%s step=\"%s\" peer=%s "
                 "error=\"%s\" revision=%llu",
                 store_topic_name(w->topic), e->step, e->peer, e->text,
                 (unsigned long long)revision(w));
    }
}

static int
apply_items(watch_t *w, store_items_t *items)
{
    int rc = updates_apply(w->t, items);

    if (rc != -ENOBUFS) { /* else nothing was merged and nothing lost */
        w->needs_resync = rc < 0;
    }
    store_items_free(items);
    return rc;
}

/* The operator's topic has few keys and long values: a list is shorter than a
 * watch that transfers several versions of one key. */
static bool
prefers_list(const watch_t *w)
{
    return w->topic == TOPIC_OPERATOR;
}

/* Applies an answer whose transfer took ITEMS' age.  Further versions may have
 * appeared during a slow answer that brought a change. */
static int
apply_answer(watch_t *w, store_items_t *items)
{
    ms_t transfer_ms = items->age;
    int rc = apply_items(w, items);

    if (rc > 0 && transfer_ms > SLOW_ANSWER_MS && prefers_list(w)) {
        w->needs_resync = true;
    }
    return rc;
}

/* Confirms the configuration, or replaces it by the newest version.  A plain
 * list would transfer it each time. */
static int
list_operator_topic(watch_t *w, err_t *e)
{
    store_items_t known, items;
    ms_t begun = clock_now();
    int rc = replica_items(w->t->replica[w->topic], &known);

    if (rc < 0) {
        return err_set(e, rc, "store list", store_topic_name(w->topic),
                       "out of memory");
    }
    rc = store_list_operator(w->store, LIST_MS, &known, &items, e);
    store_items_free(&known);
    if (rc < 0) {
        return rc;
    }
    counter_add(&w->t->count.store_lists, 1);
    items.age = clock_now() - begun;
    return apply_answer(w, &items);
}

/* Passes on the page that was just read, if it is at twice the position of the
 * last one passed on, or PART_PERIOD_MS later: peers get a few, from all over
 * the list, and in time for those that they have not to expire. */
static void
pass_on_part(watch_t *w, const store_items_t *items)
{
    ms_t now = clock_now();
    const store_items_t page = {.topic = w->topic,
                                .item = items->item + w->n_reading,
                                .n = items->n - w->n_reading,
                                .part = items->n};

    if (items->n >= 2 * w->part || now - w->part_at >= PART_PERIOD_MS) {
        updates_apply_part(w->t, &page); /* on failure the list follows */
        w->part = items->n;
        w->part_at = now;
    }
}

/* Handles a page of a list that continues, while there is no data yet: passes
 * it on, and after the first one lets peers deliver the rest.  Returns true
 * once they have. */
static bool
handle_first_list(watch_t *w, const store_items_t *items)
{
    bool first_page = w->n_reading == 0;

    pass_on_part(w, items);
    return first_page && w->peers_deliver != NULL && w->peers_deliver(w->arg);
}

/* Reads a list of upstreams page by page into ITEMS.  Returns 1 if peers have
 * delivered the list instead. */
static int
read_list(watch_t *w, store_cursor_t *at, store_items_t *items, err_t *e)
{
    while (!at->complete) {
        int rc;
        w->n_reading = items->n;
        rc = store_list_page(w->store, LIST_MS, at, items, e);
        if (rc < 0) {
            return rc;
        }
        w->n_read_max = items->n > w->n_read_max ? items->n : w->n_read_max;
        if (!at->complete && revision(w) == 0 && handle_first_list(w, items)) {
            return 1;
        }
    }
    return 0;
}

static int
list(watch_t *w, err_t *e)
{
    store_items_t items = {.topic = w->topic, .is_snapshot = true};
    store_cursor_t at = {0};
    ms_t begun = clock_now();
    int rc;

    if (w->topic == TOPIC_OPERATOR) {
        return list_operator_topic(w, e);
    }
    rc = read_list(w, &at, &items, e);
    store_cursor_free(&at);
    if (rc != 0) {
        store_items_free(&items);
        return rc < 0 ? rc : 0;
    }
    counter_add(&w->t->count.store_lists, 1);
    w->n_reading = w->n_read_max = 0;
    items.age = clock_now() - begun; /* complete as of its first page */
    return apply_answer(w, &items);
}

static int
watch(watch_t *w, err_t *e)
{
    uint64_t after = revision(w);
    /* A stale replica is confirmed or replaced at once, without a long poll.
     */
    ms_t wait = watch_is_stale(w) ? 0 : w->timing.wait_ms;
    store_items_t items;
    int rc = store_watch(w->store, w->topic, after, wait, &items, e);

    if (rc == -ESTALE) {
        log_line(
            LVL_WARN, "follow",
            "Store history lost, reading the list. topic=%s revision=%llu",
            store_topic_name(w->topic), (unsigned long long)after);
        w->needs_resync = true;
        return 1; /* no failure: watch_once() reads the list without a pause
                   */
    }
    return rc < 0 ? rc : apply_answer(w, &items);
}

ms_t
watch_failed(watch_t *w, int rc, const err_t *e)
{
    record_store_state(w, rc, e);
    w->failed = true;
    w->needs_resync = w->needs_resync || prefers_list(w);
    return watch_back_off(w);
}

ms_t
watch_once(watch_t *w)
{
    err_t e = {0};
    bool lists = w->needs_resync || revision(w) == 0;
    int rc = lists ? list(w, &e) : watch(w, &e);

    if (rc ==
        -ENOBUFS) { /* the local inbox is full: no failure of the store */
        return watch_back_off(w);
    }
    if (rc < 0) {
        return watch_failed(w, rc, &e);
    }
    record_store_state(w, rc, &e);
    w->failed = false;
    w->backoff = 0;
    return rc > 0 && !w->needs_resync ? w->timing.coalesce_ms : 0;
}

/* The operator duty: follows the operator's topic at the store while this
 * instance reads the store, while the followed peers leave the topic stale,
 * and after a failure until the store answers again.  Otherwise an instance
 * that switched to peers after the failure would report the store as down for
 * ever. */
void
operator_run(duty_t *self, void *tagged)
{
    tagged_t *t = tagged;
    bool used_store = false;
    watch_t w;

    watch_init(&w, t, TOPIC_OPERATOR, (ms_t)t->settings.apply_ms);
    while (!duty_stopping(self)) {
        ms_t pause = watch_fresh_ms(&w);
        bool uses_store = ATOMIC_GET(t, follows_store) ||
                          !ATOMIC_GET(t, store_up) || pause == 0;
        if (uses_store) {
            /* Peers delivered the topic so far: a watch from their revision
             * may transfer several versions. */
            w.needs_resync = w.needs_resync || !used_store;
            pause = watch_once(&w);
        }
        used_store = uses_store;
        if (pause > 0) {
            duty_wait(self, NULL, 0, pause);
        }
    }
}
