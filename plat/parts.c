/* Parts of texts: hash, stored form and cache. */
#include "plat/store.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BASE64_VARIANT sodium_base64_VARIANT_ORIGINAL

void
part_hash(uint8_t hash[PART_HASH_LEN], const char *text, size_t len)
{
    crypto_generichash(hash, PART_HASH_LEN, (const uint8_t *)text, len, NULL,
                       0);
}

char *
part_encode(const char *text, size_t len)
{
    const blob_t none = {0};
    const blob_t plain = {(uint8_t *)text, len};
    blob_t compressed;
    size_t cap;
    char *stored;

    if (delta_make(&none, &plain, &compressed) < 0) {
        return NULL;
    }
    cap = sodium_base64_encoded_len(compressed.len, BASE64_VARIANT);
    stored = malloc(cap);
    if (stored != NULL) {
        sodium_bin2base64(stored, cap, compressed.data, compressed.len,
                          BASE64_VARIANT);
    }
    blob_free(&compressed);
    return stored;
}

static int
decompress_part(const char *stored, blob_t *plain)
{
    const blob_t none = {0};
    size_t cap = strlen(stored);
    blob_t compressed = {.data = malloc(cap + 1)};
    int rc = -EBADMSG;

    *plain = (blob_t){0};
    if (compressed.data == NULL) {
        return -ENOMEM;
    }
    if (sodium_base642bin(compressed.data, cap, stored, cap, NULL,
                          &compressed.len, NULL, BASE64_VARIANT) == 0) {
        rc = delta_apply(&none, &compressed, PART_LEN, plain);
    }
    blob_free(&compressed);
    return rc;
}

static int
append(blob_t *to, const blob_t *more)
{
    uint8_t *data = realloc(to->data, to->len + more->len + 1);

    if (data == NULL) {
        return -ENOMEM;
    }
    memcpy(data + to->len, more->data, more->len);
    to->data = data;
    to->len += more->len;
    data[to->len] = '\0';
    return 0;
}

int
part_decode(const char *stored, const uint8_t hash[PART_HASH_LEN], blob_t *to)
{
    uint8_t got[PART_HASH_LEN];
    blob_t plain;
    int rc = decompress_part(stored, &plain);

    if (rc < 0) {
        return rc;
    }
    part_hash(got, (const char *)plain.data, plain.len);
    rc = -EBADMSG;
    if (memcmp(got, hash, PART_HASH_LEN) == 0) {
        rc = append(to, &plain);
    }
    blob_free(&plain);
    return rc;
}

/* ---- Cache ---- */

const char *
cache_find(const part_cache_t *c, const uint8_t hash[PART_HASH_LEN])
{
    for (size_t i = 0; i < c->n; i++) {
        if (memcmp(c->part[i].hash, hash, PART_HASH_LEN) == 0) {
            return c->part[i].stored;
        }
    }
    return NULL;
}

void
cache_add(part_cache_t *c, const uint8_t hash[PART_HASH_LEN], char *stored)
{
    if (c->n == PARTS_MAX || cache_find(c, hash) != NULL) {
        free(stored);
        return;
    }
    memcpy(c->part[c->n].hash, hash, PART_HASH_LEN);
    c->part[c->n++].stored = stored;
}

static bool
has_part(const layout_t *l, const uint8_t hash[PART_HASH_LEN])
{
    for (size_t i = 0; i < l->n; i++) {
        if (memcmp(l->part[i].hash, hash, PART_HASH_LEN) == 0) {
            return true;
        }
    }
    return false;
}

void
cache_prune(part_cache_t *c, const layout_t *l)
{
    size_t kept = 0;

    for (size_t i = 0; i < c->n; i++) {
        if (has_part(l, c->part[i].hash)) {
            c->part[kept++] = c->part[i];
        }
        else {
            free(c->part[i].stored);
        }
    }
    c->n = kept;
}

void
cache_clear(part_cache_t *c)
{
    const layout_t none = {0};

    cache_prune(c, &none);
}
