/* The replica: the store's items as last seen, sorted by key.  It lets peers
 * catch up while the store turns them away. */
#include "tagged/tagged.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct replica {
    pthread_mutex_t lock;
    store_items_t items; /* sorted by key; none is removed */
};

replica_t *
replica_new(void)
{
    replica_t *v = calloc(1, sizeof(*v));

    if (v != NULL) {
        pthread_mutex_init(&v->lock, NULL);
    }
    return v;
}

void
replica_free(replica_t *v)
{
    if (v != NULL) {
        store_items_free(&v->items);
        pthread_mutex_destroy(&v->lock);
        free(v);
    }
}

/* Where KEY is, or belongs. */
static size_t
place(const store_items_t *s, const char *key, bool *found)
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
take_out(store_items_t *s, size_t at)
{
    free(s->item[at].key);
    free(s->item[at].value);
    memmove(&s->item[at], &s->item[at + 1],
            (s->n - at - 1) * sizeof(*s->item));
    s->n--;
}

static int
put(store_items_t *s, const store_item_t *new_)
{
    bool found;
    size_t at = place(s, new_->key, &found);
    store_item_t item;
    int rc;

    if (found && s->item[at].revision > new_->revision) {
        return 0;
    }
    if (found) {
        take_out(s, at);
    }
    if (new_->value == NULL) {
        return 0;
    }
    rc = store_items_add(s, new_->key, new_->value, new_->revision);
    if (rc < 0) {
        return rc;
    }
    item = s->item[s->n - 1];
    memmove(&s->item[at + 1], &s->item[at],
            (s->n - 1 - at) * sizeof(*s->item));
    s->item[at] = item;
    return 0;
}

static int
put_all(store_items_t *s, const store_items_t *items)
{
    int rc = 0;

    for (size_t i = 0; i < items->n && rc == 0; i++) {
        rc = put(s, &items->item[i]);
    }
    return rc;
}

int
replica_change(replica_t *v, const store_items_t *changes)
{
    int rc;

    pthread_mutex_lock(&v->lock);
    rc = put_all(&v->items, changes);
    if (rc == 0) {
        v->items.revision = changes->revision;
    }
    pthread_mutex_unlock(&v->lock);
    return rc;
}

int
replica_replace(replica_t *v, const store_items_t *items)
{
    store_items_t fresh = {.revision = items->revision};
    int rc = put_all(&fresh, items);

    if (rc < 0) {
        store_items_free(&fresh);
        return rc;
    }
    pthread_mutex_lock(&v->lock);
    store_items_free(&v->items);
    v->items = fresh;
    pthread_mutex_unlock(&v->lock);
    return 0;
}

uint64_t
replica_revision(replica_t *v)
{
    uint64_t r;

    pthread_mutex_lock(&v->lock);
    r = v->items.revision;
    pthread_mutex_unlock(&v->lock);
    return r;
}

bool
replica_has(replica_t *v, const char *key)
{
    bool found;

    pthread_mutex_lock(&v->lock);
    place(&v->items, key, &found);
    pthread_mutex_unlock(&v->lock);
    return found;
}

char *
replica_text(replica_t *v)
{
    char *text;

    pthread_mutex_lock(&v->lock);
    text = store_items_write(&v->items);
    pthread_mutex_unlock(&v->lock);
    return text;
}
