/* What an instance has while it reads the first list of upstreams: those of
 * the parts that it or a peer has read so far, and packets of flows whose
 * upstream may be in the rest. */
#include "tagged/tagged.h"

#include <stdlib.h>
#include <string.h>

/* Lifetime of upstreams known from a part of the list, after the latest part:
 * below the time within which changes must apply. */
#define PROVISIONAL_MS 1500
#define PARKED_MAX 512

void
provisional_add(provisional_t *v, ms_t now, const changes_t *c)
{
    for (size_t i = 0; i < c->n; i++) {
        const store_event_t *ev = &c->event[i];
        provisional_upstream_t *grown =
            ev->kind == STORE_UPSTREAM
                ? array_grow(v->up, &v->cap, v->n + 1, sizeof(*grown))
                : NULL;
        if (grown != NULL) {
            v->up = grown;
            v->up[v->n++] = (provisional_upstream_t){
                .id = ev->upstream.id, .entry = ev->upstream.entry};
        }
    }
    v->expires_at = now + PROVISIONAL_MS;
}

bool
provisional_expired(const provisional_t *v, ms_t now)
{
    return v->n > 0 && now >= v->expires_at;
}

static int
cmp_upstream(const void *a, const void *b)
{
    const provisional_upstream_t *x = a, *y = b;

    return (x->id > y->id) - (x->id < y->id);
}

static void
confirm(provisional_t *v, const changes_t *list)
{
    qsort(v->up, v->n, sizeof(*v->up), cmp_upstream);
    for (size_t i = 0; i < list->n; i++) {
        const store_event_t *ev = &list->event[i];
        provisional_upstream_t key = {.id = ev->upstream.id}, *found;
        if (ev->kind != STORE_UPSTREAM) {
            continue;
        }
        found = bsearch(&key, v->up, v->n, sizeof(key), cmp_upstream);
        if (found != NULL) {
            found->confirmed = true;
        }
    }
}

size_t
provisional_end(provisional_t *v, const changes_t *list,
                provisional_remove_t *remove, void *arg)
{
    size_t removed = 0;

    if (list != NULL && v->n > 0) {
        confirm(v, list);
    }
    for (size_t i = 0; i < v->n; i++) {
        if (!v->up[i].confirmed) {
            remove(arg, v->up[i].id, v->up[i].entry);
            removed++;
        }
    }
    free(v->up);
    *v = (provisional_t){.n = 0};
    return removed;
}

void
parked_add(parked_t *k, ms_t arrived, const uint8_t *data, size_t len)
{
    parked_packet_t *w;

    if (k->packet == NULL) {
        k->packet = calloc(PARKED_MAX, sizeof(*k->packet));
    }
    if (k->packet == NULL || k->n == PARKED_MAX) {
        return; /* as if lost: the caller retransmits it */
    }
    w = &k->packet[k->n++];
    w->arrived = arrived;
    w->len = (uint16_t)len;
    memcpy(w->data, data, len);
}

void
parked_free(parked_t *k)
{
    free(k->packet);
    *k = (parked_t){.n = 0};
}
