/* The replica: the store's items as last read, sorted by key.  It serves peers
 * that follow this instance, or that catch up while the store refuses them.
 * Removed items are kept for a while, so that a peer that is slightly behind
 * receives only the changes. */
#include "tagged/tagged.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Limit of the removed items kept, whatever the replica's size, and as a share
 * of its items; beyond both the older half is dropped.  A peer that misses a
 * dropped one receives the whole replica, which costs more the larger it is,
 * and large fleets replace more upstreams a second. */
#define REMOVED_MIN 256
#define REMOVED_SHARE 0.125

struct replica {
    pthread_mutex_t lock;
    store_items_t items; /* sorted by key; value is NULL if removed */
    size_t n_removed;
    uint64_t complete_after; /* changes after this revision are complete */
    prev_values_t prev_values;
    store_items_t part; /* of the first list, until it is complete */
    /* Read without the lock, which is held while long values are compared. */
    uint64_t revision; /* same as items.revision */
    ms_t current_at;
    ms_t progress_at; /* last arrival of a part of an answer */
    size_t part_at;   /* same as part.part */
};

replica_t *
replica_new(ms_t now)
{
    replica_t *r = calloc(1, sizeof(*r));

    if (r != NULL) {
        pthread_mutex_init(&r->lock, NULL);
        r->current_at = r->progress_at = now;
    }
    return r;
}

void
replica_free(replica_t *r)
{
    if (r != NULL) {
        store_items_free(&r->items);
        store_items_free(&r->part);
        prev_values_free(&r->prev_values);
        pthread_mutex_destroy(&r->lock);
        free(r);
    }
}

/* Returns the position of KEY, or its insertion point. */
static size_t
find_position(const store_items_t *s, const char *key, bool *found)
{
    size_t low = 0, high = s->n;

    *found = false;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int rc = strcmp(key, s->item[middle].key);
        if (rc == 0) {
            *found = true;
            return middle;
        }
        if (rc < 0) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

static void
remove_item_at(replica_t *r, size_t at)
{
    store_items_t *s = &r->items;

    r->n_removed -= s->item[at].value == NULL;
    free(s->item[at].key);
    free(s->item[at].value);
    memmove(&s->item[at], &s->item[at + 1],
            (s->n - at - 1) * sizeof(*s->item));
    s->n--;
}

static int
insert_item_at(replica_t *r, size_t at, const store_item_t *new_)
{
    store_items_t *s = &r->items;
    store_item_t item;
    int rc = store_items_add(s, new_->key, new_->value, new_->revision);

    if (rc < 0) {
        return rc;
    }
    item = s->item[s->n - 1];
    memmove(&s->item[at + 1], &s->item[at],
            (s->n - 1 - at) * sizeof(*s->item));
    s->item[at] = item;
    r->n_removed += item.value == NULL;
    return 0;
}

/* Stores NEW_ if it is newer than the present item, and adds it to CHANGED.
 * The replica is complete up to revision KNOWN: a key that is missing here was
 * removed by then, and a source that lags behind must not restore it. */
static int
put_item(replica_t *r, const store_item_t *new_, uint64_t known,
         store_items_t *changed)
{
    bool found;
    size_t at = find_position(&r->items, new_->key, &found);
    int rc;

    if (new_->revision <= (found ? r->items.item[at].revision : known)) {
        return 0;
    }
    if (found) {
        prev_values_add(&r->prev_values, &r->items.item[at]);
        remove_item_at(r, at);
    }
    rc = insert_item_at(r, at, new_);
    if (rc < 0) {
        return rc;
    }
    return store_items_add(changed, new_->key, new_->value, new_->revision);
}

static int
cmp_revision(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

    return (x > y) - (x < y);
}

static size_t
removed_max(const replica_t *r)
{
    size_t share = (size_t)(REMOVED_SHARE * (double)r->items.n);

    return share > REMOVED_MIN ? share : REMOVED_MIN;
}

/* Returns the median revision of the removed items; 0 without memory. */
static uint64_t
median_removal(const replica_t *r)
{
    uint64_t *revision = malloc(r->n_removed * sizeof(*revision));
    uint64_t median = 0;
    size_t n = 0;

    if (revision == NULL) {
        return 0;
    }
    for (size_t i = 0; i < r->items.n; i++) {
        if (r->items.item[i].value == NULL) {
            revision[n++] = r->items.item[i].revision;
        }
    }
    qsort(revision, n, sizeof(*revision), cmp_revision);
    median = revision[n / 2];
    free(revision);
    return median;
}

/* Drops the older half of the removed items, if there are too many.  Without
 * memory they are kept until the next call. */
static void
prune_removed(replica_t *r)
{
    uint64_t limit;
    size_t kept = 0;

    if (r->n_removed <= removed_max(r)) {
        return;
    }
    limit = median_removal(r);
    for (size_t i = 0; i < r->items.n; i++) {
        store_item_t *it = &r->items.item[i];
        if (it->value == NULL && it->revision <= limit) {
            r->n_removed--;
            free(it->key);
        }
        else {
            r->items.item[kept++] = *it;
        }
    }
    r->items.n = kept;
    r->complete_after = limit > r->complete_after ? limit : r->complete_after;
}

static int
cmp_key(const void *a, const void *b)
{
    const store_item_t *x = *(const store_item_t *const *)a;
    const store_item_t *y = *(const store_item_t *const *)b;

    return strcmp(x->key, y->key);
}

/* Returns pointers to ITEMS in the order of their keys, on the heap; NULL
 * without memory. */
static const store_item_t **
sort_items(const store_items_t *items)
{
    const store_item_t **sorted = calloc(items->n + 1, sizeof(*sorted));

    for (size_t i = 0; sorted != NULL && i < items->n; i++) {
        sorted[i] = &items->item[i];
    }
    if (sorted != NULL) {
        qsort(sorted, items->n, sizeof(*sorted), cmp_key);
    }
    return sorted;
}

/* Marks items missing from ITEMS, a whole list, as removed. */
static int
remove_missing(replica_t *r, const store_items_t *items,
               store_items_t *changed)
{
    const store_item_t **listed = sort_items(items);
    size_t at = 0;
    int rc = listed != NULL ? 0 : -ENOMEM;

    for (size_t i = 0; i < r->items.n && rc == 0; i++) {
        store_item_t *it = &r->items.item[i];
        while (at < items->n && strcmp(listed[at]->key, it->key) < 0) {
            at++;
        }
        if (it->value == NULL || it->revision > items->revision ||
            (at < items->n && strcmp(listed[at]->key, it->key) == 0)) {
            continue;
        }
        rc = store_items_add(changed, it->key, NULL, items->revision);
        if (rc == 0) {
            free(it->value);
            it->value = NULL;
            it->revision = items->revision;
            r->n_removed++;
        }
    }
    free(listed);
    return rc;
}

/* Expands ITEM's delta to its value, unless the stored item is as new. */
static int
expand_delta(const replica_t *r, store_item_t *item)
{
    bool found;
    size_t at = find_position(&r->items, item->key, &found);
    const store_item_t *own = found ? &r->items.item[at] : NULL;
    char *value;
    int rc;

    if (item->base_revision == 0 || item->value == NULL ||
        (found && own->revision >= item->revision)) {
        return 0;
    }
    if (!found || own->value == NULL || own->revision != item->base_revision) {
        return -ESTALE;
    }
    rc = value_delta_apply(own->value, item->value, &value);
    if (rc < 0) {
        return rc == -EBADMSG ? -ESTALE : rc;
    }
    free(item->value);
    item->value = value;
    item->base_revision = 0;
    return 0;
}

int
replica_merge(replica_t *r, ms_t now, store_items_t *items,
              store_items_t *changed)
{
    uint64_t known;
    int rc = 0;

    *changed =
        (store_items_t){.topic = items->topic, .revision = items->revision};
    pthread_mutex_lock(&r->lock);
    known = r->items.revision;
    for (size_t i = 0; i < items->n && rc == 0; i++) {
        rc = expand_delta(r, &items->item[i]);
    }
    if (rc < 0) {
        pthread_mutex_unlock(&r->lock);
        return rc;
    }
    if (items->is_snapshot) {
        rc = remove_missing(r, items, changed);
    }
    for (size_t i = 0; i < items->n && rc == 0; i++) {
        rc = put_item(r, &items->item[i], known, changed);
    }
    if (rc == 0 && items->revision > r->items.revision) {
        if (r->items.revision == 0) {
            r->complete_after =
                items->revision; /* earlier removals are unknown */
        }
        r->items.revision = items->revision;
    }
    /* A source at an older revision was not current. */
    if (rc == 0 && items->revision >= r->items.revision &&
        now - items->age > r->current_at) {
        __atomic_store_n(&r->current_at, now - items->age, __ATOMIC_RELAXED);
    }
    __atomic_store_n(&r->revision, r->items.revision, __ATOMIC_RELEASE);
    if (r->items.revision > 0) {
        store_items_free(&r->part);
    }
    prune_removed(r);
    pthread_mutex_unlock(&r->lock);
    return rc;
}

uint64_t
replica_revision(const replica_t *r)
{
    return __atomic_load_n(&r->revision, __ATOMIC_ACQUIRE);
}

ms_t
replica_current_at(const replica_t *r)
{
    return __atomic_load_n(&r->current_at, __ATOMIC_RELAXED);
}

ms_t
replica_progress_at(const replica_t *r)
{
    return __atomic_load_n(&r->progress_at, __ATOMIC_RELAXED);
}

int
replica_items(replica_t *r, store_items_t *out)
{
    int rc = 0;

    *out = (store_items_t){.is_snapshot = true};
    pthread_mutex_lock(&r->lock);
    for (size_t i = 0; i < r->items.n && rc == 0; i++) {
        const store_item_t *it = &r->items.item[i];
        rc = store_items_add(out, it->key, it->value, it->revision);
    }
    out->revision = r->items.revision;
    pthread_mutex_unlock(&r->lock);
    if (rc < 0) {
        store_items_free(out);
    }
    return rc;
}

void
replica_on_progress(replica_t *r, ms_t now)
{
    pthread_mutex_lock(&r->lock);
    if (now > r->progress_at) {
        __atomic_store_n(&r->progress_at, now, __ATOMIC_RELAXED);
    }
    if (r->items.revision > 0 && now > r->current_at) {
        __atomic_store_n(&r->current_at, now, __ATOMIC_RELAXED);
    }
    pthread_mutex_unlock(&r->lock);
}

int
replica_set_part(replica_t *r, const store_items_t *items)
{
    int rc = 0;

    pthread_mutex_lock(&r->lock);
    if (r->items.revision > 0 || items->part <= r->part_at) {
        pthread_mutex_unlock(&r->lock);
        return -ESTALE;
    }
    store_items_free(&r->part);
    for (size_t i = 0; i < items->n && rc == 0; i++) {
        const store_item_t *it = &items->item[i];
        rc = store_items_add(&r->part, it->key, it->value, it->revision);
    }
    r->part.part = items->part;
    __atomic_store_n(&r->part_at, items->part, __ATOMIC_RELAXED);
    pthread_mutex_unlock(&r->lock);
    return rc;
}

size_t
replica_part_at(const replica_t *r)
{
    return replica_revision(r) > 0
               ? 0
               : __atomic_load_n(&r->part_at, __ATOMIC_RELAXED);
}

store_text_t
replica_part_text(replica_t *r, ms_t now, store_codec_t codec)
{
    store_items_t out;
    store_text_t text;

    pthread_mutex_lock(&r->lock);
    out = r->part; /* borrows the items */
    out.age = now - r->progress_at;
    text = store_items_serialise(&out, codec);
    pthread_mutex_unlock(&r->lock);
    return text;
}

/* Selects the items of R that are newer than AFTER, or all; copies pointers
 * only. */
static void
select_items(const replica_t *r, uint64_t after, store_items_t *out)
{
    for (size_t i = 0; i < r->items.n; i++) {
        const store_item_t *it = &r->items.item[i];
        if (out->is_snapshot ? it->value != NULL : it->revision > after) {
            out->item[out->n++] = *it;
        }
    }
}

/* Replaces values in OUT by deltas (on the heap) to the values held by a peer
 * that has all changes up to AFTER. */
static void
select_deltas(const replica_t *r, uint64_t after, store_items_t *out)
{
    for (size_t i = 0; i < out->n; i++) {
        store_item_t *it = &out->item[i];
        const store_item_t *base =
            prev_values_find(&r->prev_values, it->key, after);
        char *delta = base != NULL && it->value != NULL
                          ? value_delta_make(base->value, it->value)
                          : NULL;
        if (delta != NULL) {
            it->value = delta;
            it->base_revision = base->revision;
        }
    }
}

static void
free_deltas(store_items_t *out)
{
    for (size_t i = 0; i < out->n; i++) {
        if (out->item[i].base_revision != 0) {
            free(out->item[i].value);
        }
    }
}

bool
replica_is_behind(replica_t *r, uint64_t after)
{
    bool behind;

    pthread_mutex_lock(&r->lock);
    behind = after < r->complete_after;
    pthread_mutex_unlock(&r->lock);
    return behind;
}

store_text_t
replica_text(replica_t *r, ms_t now, uint64_t after, ms_t lifetime_ms,
             bool deltas, store_codec_t codec)
{
    store_items_t out = {0};
    store_text_t text = {0};

    pthread_mutex_lock(&r->lock);
    out.is_snapshot = after < r->complete_after;
    out.revision = r->items.revision;
    out.age = now + lifetime_ms -
              (out.revision > 0 ? r->current_at : r->progress_at);
    out.item = calloc(r->items.n + 1, sizeof(*out.item));
    if (out.item != NULL) {
        select_items(r, after, &out);
        if (deltas && !out.is_snapshot) {
            select_deltas(r, after, &out);
        }
        text = store_items_serialise(&out, codec);
    }
    pthread_mutex_unlock(&r->lock);
    free_deltas(&out);
    free(out.item);
    return text;
}
