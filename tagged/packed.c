/* A packed copy of long values in the store.
 *
 * Whoever starts when no peer lives reads the configuration from the store, as
 * plain text in base64: 460 kB for 1,900 routes, two seconds of a slow link in
 * which no caller is served.  Instances that follow the store write a packed
 * copy of long values, a tenth of that, once they have settled.  A reader
 * takes the copy, and has the store confirm that the values are still those of
 * the copied revisions; one that isn't comes with the answer.
 */
#include "tagged/tagged.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Shorter values are read as they are. */
#define LONG_BYTES (64 * 1024)
/* Versions come in series: only one that stays is copied. */
#define SETTLED_MS 2500
#define READ_MS 1200

static int
write_copy(replica_t *r, store_t *s, err_t *e)
{
    store_items_t items;
    char *text = NULL, *copy = NULL;
    int rc = replica_long_items(r, LONG_BYTES, &items);

    if (rc == 0) {
        text = store_items_write(&items);
        copy = text != NULL ? difference_make("", text) : NULL;
        store_items_free(&items);
    }
    rc = copy != NULL ? store_write_key(s, STORE_PACKED, copy, e)
                      : err_set(e, -ENOMEM, "packed copy", STORE_PACKED,
                                "out of memory");
    free(text);
    free(copy);
    return rc;
}

int
packed_write(packed_t *p, ms_t now, replica_t *r, store_t *s, err_t *e)
{
    uint64_t seen = replica_long_revision(r, LONG_BYTES);
    int rc;

    if (seen != p->seen) {
        p->seen = seen;
        p->since = now;
    }
    if (seen == 0 || seen == p->revision || now - p->since < SETTLED_MS) {
        return 0;
    }
    rc = write_copy(r, s, e);
    if (rc == 0) {
        p->revision = seen;
        log_line(LVL_INFO, "follow", "Packed copy written. revision=%llu",
                 (unsigned long long)seen);
    }
    return rc;
}

/* The items of the copy. */
static int
read_copy(store_t *s, store_items_t *copied, err_t *e)
{
    store_items_t item = {0};
    char *text = NULL;
    int rc = store_read_key(s, STORE_PACKED, READ_MS, &item, e);

    if (rc == 0) {
        rc = difference_apply("", item.item[0].value, &text);
    }
    if (rc == 0) {
        rc = store_items_parse(copied, text);
    }
    free(text);
    store_items_free(&item);
    return rc == -EBADMSG || rc == -EPROTO ? -ENOENT : rc;
}

/* Adds the items of COPIED to OUT, or what is there in their place. */
static int
confirm(store_t *s, const store_items_t *copied, store_items_t *out, err_t *e)
{
    for (size_t i = 0; i < copied->n; i++) {
        const store_item_t *it = &copied->item[i];
        int rc = store_check_key(s, it->key, it->revision, out, e);
        if (rc == 1) {
            rc = store_items_add(out, it->key, it->value, it->revision);
        }
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

int
packed_read(store_t *s, store_items_t *out, err_t *e)
{
    store_items_t copied = {0};
    ms_t begun = clock_now();
    int rc = read_copy(s, &copied, e);

    if (rc == 0 && copied.n == 0) {
        rc = -ENOENT;
    }
    /* The wishes first: what is confirmed later was there already then. */
    if (rc == 0) {
        rc = store_list_wishes(s, READ_MS, out, e);
    }
    if (rc == 0) {
        rc = confirm(s, &copied, out, e);
        if (rc < 0) {
            store_items_free(out);
        }
    }
    out->age = clock_now() - begun;
    store_items_free(&copied);
    return rc;
}
