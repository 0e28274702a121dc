/* Previous values of long items, and deltas to them.
 *
 * The configuration may have hundreds of kilobytes and change by a line.  A
 * peer that has a previous value receives the delta: the full value would fill
 * a slow link for seconds with each version. */
#include "tagged/tagged.h"
#include "plat/plat.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Shorter values are sent in full. */
#define LONG_VALUE_BYTES 4096
/* Limit of all previous values together; one is kept whatever its length. */
#define PREV_VALUES_BYTES (4u * 1024 * 1024)
#define VALUE_MAX (8u * 1024 * 1024)

static void
drop_oldest(prev_values_t *v)
{
    free(v->value[0].key);
    free(v->value[0].value);
    v->n--;
    memmove(&v->value[0], &v->value[1], v->n * sizeof(v->value[0]));
}

void
prev_values_free(prev_values_t *v)
{
    while (v->n > 0) {
        drop_oldest(v);
    }
}

static size_t
total_bytes(const prev_values_t *v)
{
    size_t bytes = 0;

    for (uint32_t i = 0; i < v->n; i++) {
        bytes += strlen(v->value[i].value);
    }
    return bytes;
}

void
prev_values_add(prev_values_t *v, const store_item_t *item)
{
    store_item_t copy = {.revision = item->revision};

    if (item->value == NULL || strlen(item->value) < LONG_VALUE_BYTES) {
        return;
    }
    if (v->n == PREV_VALUES_MAX) {
        drop_oldest(v);
    }
    copy.key = strdup(item->key);
    copy.value = strdup(item->value);
    if (copy.key == NULL ||
        copy.value == NULL) { /* the value is then sent in full */
        free(copy.key);
        free(copy.value);
        return;
    }
    v->value[v->n++] = copy;
    while (v->n > 1 && total_bytes(v) > PREV_VALUES_BYTES) {
        drop_oldest(v);
    }
}

const store_item_t *
prev_values_find(const prev_values_t *v, const char *key, uint64_t after)
{
    for (uint32_t i = v->n; i-- > 0;) {
        const store_item_t *it = &v->value[i];
        if (it->revision <= after && strcmp(it->key, key) == 0) {
            return it;
        }
    }
    return NULL;
}

static blob_t
blob_of(const char *text)
{
    return (blob_t){.data = (uint8_t *)text, .len = strlen(text)};
}

char *
value_delta_make(const char *from, const char *to)
{
    blob_t old = blob_of(from), new_ = blob_of(to), delta;
    size_t room;
    char *text;

    if (delta_make(&old, &new_, &delta) < 0) {
        return NULL;
    }
    room =
        sodium_base64_encoded_len(delta.len, sodium_base64_VARIANT_ORIGINAL);
    text = malloc(room);
    if (text != NULL) {
        sodium_bin2base64(text, room, delta.data, delta.len,
                          sodium_base64_VARIANT_ORIGINAL);
    }
    blob_free(&delta);
    return text;
}

int
value_delta_apply(const char *from, const char *text, char **to)
{
    size_t len = strlen(text);
    blob_t old = blob_of(from), delta = {.data = malloc(len + 1)}, new_;
    int rc = -EBADMSG;

    if (delta.data == NULL) {
        return -ENOMEM;
    }
    if (sodium_base642bin(delta.data, len, text, len, NULL, &delta.len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) == 0) {
        rc = delta_apply(&old, &delta, VALUE_MAX, &new_);
    }
    blob_free(&delta);
    *to = rc == 0 ? (char *)new_.data : NULL;
    return rc;
}
