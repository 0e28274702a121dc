/* Reads and writes the head of a stored version.
 *
 * When the texts are stored in parts, "files" replaces "base" and "overlays":
 * "files":[{"file":"base","parts":[[SLOT,"HASH"],...]},...].  Once slots have
 * been used, "slots" contains [REVISION,VERSION] for each slot.
 */
#include "plat/store.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP "stored head read"
#define HASH_TEXT_LEN (2 * PART_HASH_LEN)

static int
format_error(err_t *e, const char *what)
{
    return err_set(e, -EBADMSG, STEP, "configuration",
                   "%s; expected a stored configuration", what);
}

static void
part_key(char *key, size_t cap, uint32_t slot)
{
    snprintf(key, cap, PLAT_PART_KEY, (unsigned)slot);
}

/* ---- Layout ---- */

static int
read_part(layout_t *l, const json_t *pair)
{
    const char *hash = json_string_value(json_array_get(pair, 1));
    json_int_t slot = json_integer_value(json_array_get(pair, 0));
    part_t *part = &l->part[l->n];
    size_t len;

    if (l->n == PARTS_MAX || slot < 0 || slot >= SLOTS || hash == NULL ||
        strlen(hash) != HASH_TEXT_LEN ||
        sodium_hex2bin(part->hash, PART_HASH_LEN, hash, HASH_TEXT_LEN, NULL,
                       &len, NULL) != 0 ||
        len != PART_HASH_LEN) {
        return -EBADMSG;
    }
    part->slot = (uint32_t)slot;
    l->n++;
    return 0;
}

static int
read_slots(layout_t *l, const json_t *list)
{
    size_t n = json_array_size(list);

    if (n != SLOTS) {
        return -EBADMSG;
    }
    for (size_t i = 0; i < n; i++) {
        const json_t *o = json_array_get(list, i);
        json_int_t revision = json_integer_value(json_array_get(o, 0));
        json_int_t version = json_integer_value(json_array_get(o, 1));
        if (revision < 0 || version < 0) {
            return -EBADMSG;
        }
        l->revision[i] = (uint64_t)revision;
        l->last_used[i] = (uint64_t)version;
    }
    return 0;
}

static json_t *
slots_json(const layout_t *l)
{
    json_t *list = json_array();

    for (size_t i = 0; i < SLOTS; i++) {
        json_array_append_new(list,
                              json_pack("[II]", (json_int_t)l->revision[i],
                                        (json_int_t)l->last_used[i]));
    }
    return list;
}

static json_t *
parts_json(const layout_t *l, size_t from, size_t to)
{
    char hash[HASH_TEXT_LEN + 1];
    json_t *list = json_array();

    for (size_t i = from; i < to; i++) {
        sodium_bin2hex(hash, sizeof(hash), l->part[i].hash, PART_HASH_LEN);
        json_array_append_new(
            list, json_pack("[Is]", (json_int_t)l->part[i].slot, hash));
    }
    return list;
}

static json_t *
files_json(const conf_bundle_t *b, const layout_t *l)
{
    json_t *files = json_array();
    size_t from = 0;

    for (size_t i = 0; i < b->n; i++) {
        json_array_append_new(files,
                              json_pack("{ss so}", "file", b->file[i], "parts",
                                        parts_json(l, from, l->end[i])));
        from = l->end[i];
    }
    return files;
}

static bool
has_slot_revisions(const layout_t *l)
{
    static const uint64_t none[SLOTS];

    return memcmp(l->revision, none, sizeof(none)) != 0;
}

char *
stored_head_write(const conf_bundle_t *b, const layout_t *l)
{
    json_t *o = l->n > 0 ? bundle_head_json(b) : bundle_json(b);
    char *text;

    if (l->n > 0) {
        json_object_set_new(o, "files", files_json(b, l));
    }
    if (o != NULL && has_slot_revisions(l)) {
        json_object_set_new(o, "slots", slots_json(l));
    }
    text = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    return text;
}

/* ---- Reading ---- */

/* The hash is checked, since the slot may have been reused for a later version
 * after the head was read, or the read of the slot may be stale. */
static int
fetch_part(plat_t *p, const part_t *part, blob_t *to, err_t *e)
{
    const char *cached = cache_find(plat_cache(p), part->hash);
    uint64_t revision;
    char key[64];
    char *stored;
    int rc;

    if (cached != NULL) {
        return part_decode(cached, part->hash, to);
    }
    part_key(key, sizeof(key), part->slot);
    rc = plat_get(p, key, 0, 0, &stored, &revision, e);
    if (rc < 0) {
        return rc;
    }
    rc = stored != NULL ? part_decode(stored, part->hash, to) : -EBADMSG;
    if (rc < 0) {
        free(stored);
        return err_set(e, rc == -ENOMEM ? rc : -ESTALE, STEP, key,
                       "does not hold the part that the head names; expected "
                       "that part, or a newer head");
    }
    cache_add(plat_cache(p), part->hash, stored);
    return 0;
}

static int
read_file(plat_t *p, const json_t *o, conf_bundle_t *b, layout_t *l, err_t *e)
{
    const char *file = json_string_value(json_object_get(o, "file"));
    const json_t *parts = json_object_get(o, "parts");
    blob_t text = {0};
    int rc = 0;

    if (file == NULL || json_array_size(parts) == 0 || b->n == SOURCES_MAX) {
        return format_error(e, "a file has no name or no parts");
    }
    for (size_t i = 0; rc == 0 && i < json_array_size(parts); i++) {
        rc = read_part(l, json_array_get(parts, i));
        rc = rc < 0 ? format_error(e, "a part is malformed")
                    : fetch_part(p, &l->part[l->n - 1], &text, e);
    }
    if (rc == 0) {
        l->end[b->n] = l->n;
        rc = bundle_add(b, file, (char *)text.data, e);
    }
    blob_free(&text);
    return rc;
}

static int
read_files(plat_t *p, const json_t *o, conf_bundle_t *b, layout_t *l, err_t *e)
{
    const json_t *files = json_object_get(o, "files");
    int rc = bundle_head_read(b, o, e);

    for (size_t i = 0; rc == 0 && i < json_array_size(files); i++) {
        rc = read_file(p, json_array_get(files, i), b, l, e);
    }
    if (rc == 0 && bundle_hash(b) != b->hash) {
        rc = format_error(e, "the hash does not match the texts");
    }
    if (rc == 0) {
        cache_prune(plat_cache(p), l);
    }
    return rc;
}

static int
read_head(plat_t *p, const char *head, const json_t *o, conf_bundle_t *b,
          layout_t *l, err_t *e)
{
    const json_t *slots = json_object_get(o, "slots");

    if (slots != NULL && read_slots(l, slots) < 0) {
        return format_error(e, "the slots are malformed");
    }
    return json_object_get(o, "files") != NULL ? read_files(p, o, b, l, e)
                                               : bundle_read(b, head, e);
}

int
stored_head_read(plat_t *p, const char *head, conf_bundle_t *b, layout_t *l,
                 err_t *e)
{
    json_t *o = json_loads(head, 0, NULL);
    int rc;

    *b = (conf_bundle_t){0};
    *l = (layout_t){0};
    rc = read_head(p, head, o, b, l, e);
    json_decref(o);
    if (rc < 0) {
        bundle_free(b);
    }
    return rc;
}
