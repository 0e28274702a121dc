/* Configuration bundles: conversion from and to JSON, and to the model. */
#include "plat/store.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP "bundle read"
#define BASE "base"

void
bundle_free(conf_bundle_t *b)
{
    for (size_t i = 0; i < b->n; i++) {
        free(b->file[i]);
        free(b->text[i]);
    }
    *b = (conf_bundle_t){0};
}

static size_t
sources(const conf_bundle_t *b, conf_source_t src[SOURCES_MAX])
{
    for (size_t i = 0; i < b->n; i++) {
        src[i] = (conf_source_t){b->file[i], b->text[i]};
    }
    return b->n;
}

uint64_t
bundle_hash(const conf_bundle_t *b)
{
    conf_source_t src[SOURCES_MAX];

    return conf_text_hash(src, sources(b, src));
}

static int
append_text(conf_bundle_t *b, const char *file, const char *text, err_t *e)
{
    if (b->n == SOURCES_MAX) {
        return err_set(e, -EINVAL, STEP, file,
                       "too many data centres; expected at most %d",
                       SOURCES_MAX - 1);
    }
    b->file[b->n] = strdup(file);
    b->text[b->n] = strdup(text);
    b->n++;
    if (b->file[b->n - 1] == NULL || b->text[b->n - 1] == NULL) {
        return err_set(e, -ENOMEM, STEP, file, "Out of memory.");
    }
    return 0;
}

/* Moves the overlay added last to its sorted position after the base. */
static void
sort_last_overlay(conf_bundle_t *b)
{
    for (size_t i = b->n - 1; i > 1; i--) {
        char *file = b->file[i], *text = b->text[i];
        if (strcmp(b->file[i - 1], file) < 0) {
            return;
        }
        b->file[i] = b->file[i - 1];
        b->text[i] = b->text[i - 1];
        b->file[i - 1] = file;
        b->text[i - 1] = text;
    }
}

int
bundle_add(conf_bundle_t *b, const char *file, const char *text, err_t *e)
{
    int rc = append_text(b, file, text, e);

    if (rc == 0) {
        sort_last_overlay(b);
    }
    return rc;
}

/* ---- JSON ---- */

static int
format_error(err_t *e, const char *what)
{
    return err_set(e, -EBADMSG, STEP, "configuration",
                   "%s; expected a stored configuration", what);
}

static int
copy_change_id(char to[CHANGE_ID_LEN], const json_t *o)
{
    const char *s = json_string_value(json_object_get(o, "change_id"));

    if (s == NULL || strlen(s) >= CHANGE_ID_LEN) {
        return -EBADMSG;
    }
    strcpy(to, s);
    return 0;
}

static uint64_t
read_version(const json_t *o)
{
    json_int_t v = json_integer_value(json_object_get(o, "version"));

    return v > 0 ? (uint64_t)v : 0;
}

static int
read_changes(conf_bundle_t *b, const json_t *list)
{
    size_t n = json_array_size(list);

    for (size_t i = 0; i < n && i < CHANGES_MAX; i++) {
        const json_t *o = json_array_get(list, i);
        conf_change_t *change = &b->changes[i];
        change->version = read_version(o);
        if (copy_change_id(change->change_id, o) < 0) {
            return -EBADMSG;
        }
        b->n_changes++;
    }
    return 0;
}

static int
read_texts(conf_bundle_t *b, json_t *o, err_t *e)
{
    const char *base = json_string_value(json_object_get(o, BASE));
    const char *name;
    json_t *text;
    int rc;

    if (base == NULL) {
        return format_error(e, "the base text is missing");
    }
    rc = append_text(b, BASE, base, e);
    if (rc < 0) {
        return rc;
    }
    json_object_foreach(json_object_get(o, "overlays"), name, text)
    {
        if (!json_is_string(text)) {
            return format_error(e, "an overlay is not a string");
        }
        rc = bundle_add(b, name, json_string_value(text), e);
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

static int
read_hash(uint64_t *hash, const json_t *o)
{
    const char *s = json_string_value(json_object_get(o, "hash"));
    char *end;

    if (s == NULL || strlen(s) != 16) {
        return -EBADMSG;
    }
    *hash = strtoull(s, &end, 16);
    return *end == '\0' ? 0 : -EBADMSG;
}

int
bundle_head_read(conf_bundle_t *b, const json_t *o, err_t *e)
{
    b->version = read_version(o);
    if (b->version == 0 || copy_change_id(b->change_id, o) < 0 ||
        read_hash(&b->hash, o) < 0 ||
        read_changes(b, json_object_get(o, "changes")) < 0) {
        return format_error(
            e, "version, change_id, hash or changes is missing or malformed");
    }
    return 0;
}

static int
read_object(conf_bundle_t *b, json_t *o, err_t *e)
{
    int rc = bundle_head_read(b, o, e);

    if (rc == 0) {
        rc = read_texts(b, o, e);
    }
    if (rc < 0) {
        return rc;
    }
    if (bundle_hash(b) != b->hash) {
        return format_error(e, "the hash does not match the texts");
    }
    return 0;
}

int
bundle_read(conf_bundle_t *b, const char *json, err_t *e)
{
    json_t *o = json_loads(json, 0, NULL);
    int rc;

    *b = (conf_bundle_t){0};
    if (!json_is_object(o)) {
        json_decref(o);
        return format_error(e, "not a JSON object");
    }
    rc = read_object(b, o, e);
    json_decref(o);
    if (rc < 0) {
        bundle_free(b);
    }
    return rc;
}

json_t *
bundle_head_json(const conf_bundle_t *b)
{
    char hash[17];
    json_t *changes = json_array();

    for (size_t i = 0; i < b->n_changes; i++) {
        const conf_change_t *c = &b->changes[i];
        json_array_append_new(changes, json_pack("{sI ss}", "version",
                                                 (json_int_t)c->version,
                                                 "change_id", c->change_id));
    }
    snprintf(hash, sizeof(hash), "%016llx", (unsigned long long)b->hash);
    return json_pack("{sI ss ss so}", "version", (json_int_t)b->version,
                     "change_id", b->change_id, "hash", hash, "changes",
                     changes);
}

json_t *
bundle_json(const conf_bundle_t *b)
{
    json_t *o = bundle_head_json(b);
    json_t *overlays = json_object();
    int rc;

    rc = json_object_set_new(o, BASE, json_string(b->n > 0 ? b->text[0] : ""));
    for (size_t i = 1; i < b->n; i++) {
        rc |=
            json_object_set_new(overlays, b->file[i], json_string(b->text[i]));
    }
    rc |= json_object_set_new(o, "overlays", overlays);
    if (rc < 0) {
        json_decref(o);
        return NULL;
    }
    return o;
}

char *
bundle_write(const conf_bundle_t *b)
{
    json_t *o = bundle_json(b);
    char *text = json_dumps(o, JSON_COMPACT);

    json_decref(o);
    return text;
}

/* ---- Model ---- */

/* The key of each overlay must be the data centre that its text names: an
 * overlay stored under another name would be edited in the wrong place. */
static int
check_overlay_names(const conf_bundle_t *b, err_t *e)
{
    char name[NAME_LEN];

    for (size_t i = 1; i < b->n; i++) {
        if (conf_is_overlay(b->text[i], name) &&
            strcmp(name, b->file[i]) != 0) {
            return err_set(e, -EINVAL, STEP, b->file[i],
                           "the text of this overlay names data centre %s; "
                           "expected the one that it is stored under",
                           name);
        }
    }
    return 0;
}

conf_t *
bundle_conf(const conf_bundle_t *b, err_t *e)
{
    conf_source_t src[SOURCES_MAX];
    conf_t *c;

    if (check_overlay_names(b, e) < 0) {
        return NULL;
    }
    c = conf_parse(src, sources(b, src), e);
    if (c == NULL) {
        return NULL;
    }
    c->version = b->version;
    strcpy(c->change_id, b->change_id);
    return c;
}

static int
add_overlays(conf_bundle_t *b, const conf_source_t *src, size_t n, err_t *e)
{
    char name[NAME_LEN];
    int rc;

    for (size_t i = 1; i < n; i++) {
        if (!conf_is_overlay(src[i].text, name)) {
            return err_set(e, -EINVAL, "check", src[i].file,
                           "names no data_centre; expected an overlay");
        }
        rc = bundle_add(b, name, src[i].text, e);
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

int
bundle_make(conf_bundle_t *b, const conf_source_t *src, size_t n, err_t *e)
{
    conf_t *c = conf_parse(src, n, e);
    int rc;

    *b = (conf_bundle_t){0};
    if (c == NULL) {
        return -EINVAL;
    }
    conf_free(c);
    rc = append_text(b, BASE, src[0].text, e);
    if (rc == 0) {
        rc = add_overlays(b, src, n, e);
    }
    if (rc < 0) {
        bundle_free(b);
        return rc;
    }
    b->hash = bundle_hash(b);
    return 0;
}
