/* Writes the parts of a version into slots.
 *
 * A slot is written by compare-and-swap on the revision that the head in force
 * records for it.  Of two writers based on the same head, the later one finds
 * the slot taken and uses another; it never overwrites a part that the other
 * writer's head may refer to.  A writer that crashes before writing its head
 * leaves slots with revisions that no head records.  The next writer that
 * finds such a slot taken records its revision in its own head.  Once that
 * head is in force, the crashed writer's head can no longer be written, and
 * the slot is free again.
 *
 * A slot that one of the last PLAT_HISTORY_LEN versions uses is reused only
 * when no other is free, so that a reader with a stale head, or of an earlier
 * version, still finds the parts.  A slot of the version in force is never
 * reused.
 */
#include "plat/store.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define UNANSWERED_MAX 4 /* unanswered writes before giving up */

typedef struct {
    plat_t *p;
    const layout_t *cur;
    layout_t *next;
    uint64_t version;
    uint32_t start; /* first slot to try; differs between writers */
    bool tried[SLOTS];
    int unanswered;
    err_t *e;
} writer_t;

/* The slot of the part with HASH, or -1. */
static int
find_slot(const layout_t *l, const uint8_t hash[PART_HASH_LEN])
{
    for (size_t i = 0; i < l->n; i++) {
        if (memcmp(l->part[i].hash, hash, PART_HASH_LEN) == 0) {
            return (int)l->part[i].slot;
        }
    }
    return -1;
}

static bool
in_use(const layout_t *l, uint32_t slot)
{
    for (size_t i = 0; i < l->n; i++) {
        if (l->part[i].slot == slot) {
            return true;
        }
    }
    return false;
}

static bool
is_free(const writer_t *w, uint32_t slot, bool evict_history)
{
    uint64_t last = w->cur->last_used[slot];

    if (w->tried[slot] || in_use(w->cur, slot) || in_use(w->next, slot)) {
        return false;
    }
    return evict_history || last == 0 || last + PLAT_HISTORY_LEN < w->version;
}

/* A free slot, or -1.  Slots of earlier versions are reused only when there is
 * no other; reading such a version then fails as no longer kept. */
static int
allocate_slot(writer_t *w)
{
    for (int evict = 0; evict < 2; evict++) {
        for (uint32_t i = 0; i < SLOTS; i++) {
            uint32_t slot = (w->start + i) % SLOTS;
            if (is_free(w, slot, evict > 0)) {
                w->tried[slot] = true;
                return (int)slot;
            }
        }
    }
    return -1;
}

/* After a rejected or unanswered write: whether the slot holds this part, from
 * an earlier attempt of this writer or from another.  The slot's revision must
 * be newer than the one in the head in force.  Another writer can then
 * overwrite the part only after a new head has recorded that revision, and a
 * new head makes this writer's head write fail (fencing). */
static bool
already_written(writer_t *w, uint32_t slot, const char *key,
                const part_t *part)
{
    blob_t text = {0};
    uint64_t revision;
    char *stored;
    bool same;

    if (plat_get(w->p, key, 0, 0, &stored, &revision, NULL) < 0 ||
        stored == NULL) {
        return false;
    }
    same = revision > w->cur->revision[slot] &&
           part_decode(stored, part->hash, &text) == 0;
    blob_free(&text);
    free(stored);
    if (same) {
        w->next->revision[slot] = revision;
    }
    return same;
}

/* Writes a part to a slot.  -EAGAIN: the slot is taken, or may be. */
static int
put_part(writer_t *w, uint32_t slot, const part_t *part, const char *stored)
{
    uint64_t revision = 0;
    char key[64];
    int rc;

    snprintf(key, sizeof(key), PLAT_PART_KEY, (unsigned)slot);
    rc = plat_put(w->p, key, stored, w->cur->revision[slot], &revision, w->e);
    if (revision > w->next->revision[slot]) {
        w->next->revision[slot] = revision;
    }
    if (rc != -EAGAIN && rc != -EIO && rc != -ETIMEDOUT) {
        return rc;
    }
    if (already_written(w, slot, key, part)) {
        return 0;
    }
    return rc == -EAGAIN || ++w->unanswered < UNANSWERED_MAX ? -EAGAIN : rc;
}

static int
put_in_free_slot(writer_t *w, part_t *part, const char *stored)
{
    int slot, rc;

    do {
        slot = allocate_slot(w);
        if (slot < 0) {
            return err_set(w->e, -ENOSPC, "platform write", "texts",
                           "other writers have taken all free slots");
        }
        rc = put_part(w, (uint32_t)slot, part, stored);
    } while (rc == -EAGAIN);
    part->slot = (uint32_t)slot;
    return rc;
}

static int
write_part(writer_t *w, part_t *part, const char *text, size_t len)
{
    char *stored = part_encode(text, len);
    int rc;

    if (stored == NULL) {
        return -ENOMEM;
    }
    rc = put_in_free_slot(w, part, stored);
    if (rc < 0) {
        free(stored);
        return rc;
    }
    cache_add(plat_cache(w->p), part->hash, stored);
    return 0;
}

static int
add_part(writer_t *w, const char *text, size_t len)
{
    part_t part;
    int slot, rc = 0;

    if (w->next->n == PARTS_MAX) {
        return err_set(w->e, -EINVAL, "apply", "configuration",
                       "the texts have more than %d parts of %d bytes",
                       PARTS_MAX, PART_LEN);
    }
    part_hash(part.hash, text, len);
    slot = find_slot(w->cur, part.hash);
    slot = slot >= 0 ? slot : find_slot(w->next, part.hash);
    if (slot >= 0) {
        part.slot = (uint32_t)slot;
    }
    else {
        rc = write_part(w, &part, text, len);
    }
    if (rc == 0) {
        w->next->last_used[part.slot] = w->version;
        w->next->part[w->next->n++] = part;
    }
    return rc;
}

static int
add_text(writer_t *w, const char *text)
{
    size_t len = strlen(text);
    int rc = 0;

    for (size_t at = 0; rc == 0 && (at < len || at == 0); at += PART_LEN) {
        rc = add_part(w, text + at, len - at < PART_LEN ? len - at : PART_LEN);
    }
    return rc;
}

static bool
fits_in_head(const conf_bundle_t *b)
{
    size_t len = 0;

    for (size_t i = 0; i < b->n; i++) {
        len += strlen(b->text[i]);
    }
    return len <= INLINE_MAX;
}

int
store_parts(plat_t *p, const conf_bundle_t *b, const layout_t *cur,
            layout_t *next, err_t *e)
{
    writer_t w = {
        .p = p,
        .cur = cur,
        .next = next,
        .version = b->version,
        .start =
            (uint32_t)(hash64(b->change_id, strlen(b->change_id), 0) % SLOTS),
        .e = e};
    int rc = 0;

    *next = (layout_t){0};
    memcpy(next->revision, cur->revision, sizeof(next->revision));
    memcpy(next->last_used, cur->last_used, sizeof(next->last_used));
    if (fits_in_head(b)) {
        return 0;
    }
    for (size_t i = 0; rc == 0 && i < b->n; i++) {
        rc = add_text(&w, b->text[i]);
        next->end[i] = next->n;
    }
    return rc;
}
