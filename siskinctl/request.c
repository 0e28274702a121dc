/* siskinctl request: operators' requests in the platform's store. */
#include "platform/platform.h"
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LIST_TIMEOUT_MS 3000
/* Entries are removed so long after their expiry: the wall clocks of the
 * operators' machines differ. */
#define EXPIRED_GRACE_MS 60000
/* Entries that one command removes: each takes a call of the store. */
#define EXPIRED_REMOVED_MAX 8
#define REVISION_DIGITS_MAX 18 /* of a number that fits 64 bits */
#define SUBJECT_LEN (3 * REQUEST_NAME_LEN)

/* ---- The store ---- */

static ctl_exit_t
open_store(const options_t *o, store_t **s)
{
    err_t e = {0};

    *s = o->store[0] != '\0' ? store_new(o->store) : NULL;
    if (*s == NULL) {
        err_set(&e, -EINVAL, "request", o->store,
                "is no URL of the store; expected --store URL or "
                "$SISKIN_STORE, shorter than 128");
        return ctl_fail(o, CTL_USAGE, &e);
    }
    return CTL_OK;
}

static ctl_exit_t
write_exit_code(int rc)
{
    switch (rc) {
    case 0:
        return CTL_OK;
    case -ECANCELED:
        return CTL_CONFLICT;
    case -EIO:
        return CTL_UNKNOWN;
    case -EINVAL:
        return CTL_USAGE;
    default:
        return CTL_UNREACHABLE;
    }
}

/* Opens the store and lists its requests. */
static ctl_exit_t
read_store(const options_t *o, store_t **s, store_items_t *items)
{
    err_t e = {0};
    ctl_exit_t code = open_store(o, s);

    if (code != CTL_OK) {
        return code;
    }
    if (store_list_requests(*s, LIST_TIMEOUT_MS, items, &e) < 0) {
        store_free(*s);
        return ctl_fail(o, CTL_UNREACHABLE, &e);
    }
    return CTL_OK;
}

static const store_item_t *
find_item(const store_items_t *items, const char *name)
{
    for (size_t i = 0; i < items->n; i++) {
        if (strcmp(store_request_name(&items->item[i]), name) == 0) {
            return &items->item[i];
        }
    }
    return NULL;
}

static int
read_item(request_t *r, const store_item_t *it, err_t *e)
{
    return request_parse(r, store_request_name(it),
                         it->value != NULL ? it->value : "", e);
}

/* True unless the entry is unreadable or has expired. */
static bool
in_force(const store_item_t *it, int64_t now_wall)
{
    request_t r;
    err_t e;

    return read_item(&r, it, &e) == 0 && now_wall < r.expires_ms;
}

/* ---- add ---- */

/* True if IT asks for the same as R, for another time: an earlier attempt of
 * the same command. */
static bool
is_same(const store_item_t *it, const request_t *r)
{
    request_t other;
    err_t e;
    char *a, *b;
    bool same;

    if (read_item(&other, it, &e) < 0) {
        return false;
    }
    other.created_ms = r->created_ms;
    other.expires_ms = r->expires_ms;
    a = request_write(&other);
    b = request_write(r);
    same = a != NULL && b != NULL && strcmp(a, b) == 0;
    free(a);
    free(b);
    return same;
}

static uint32_t
count_in_force(const store_items_t *items, int64_t now_wall)
{
    uint32_t n = 0;

    for (size_t i = 0; i < items->n; i++) {
        n += in_force(&items->item[i], now_wall);
    }
    return n;
}

/* Sets *OUT to the revision of --on, -1: not given. */
static int
parse_revision(const options_t *o, int64_t *out, err_t *e)
{
    const char *text = o->request.revision;
    size_t len = text != NULL ? strlen(text) : 0;

    *out = -1;
    if (text == NULL) {
        return 0;
    }
    if (len == 0 || len > REVISION_DIGITS_MAX ||
        strspn(text, "0123456789") != len) {
        return err_set(e, -EINVAL, "request", "--on",
                       "\"%.40s\" is no revision; expected a number as in "
                       "the list",
                       text);
    }
    *out = strtoll(text, NULL, 10);
    return 0;
}

/* The revision that the entry of R must have, or -1 with E filled in: the
 * operator must have seen a request before replacing it. */
static int64_t
required_revision(const options_t *o, const store_items_t *items,
                  const request_t *r, err_t *e)
{
    const store_item_t *it = find_item(items, r->name);
    int64_t seen;

    if (parse_revision(o, &seen, e) < 0 || seen >= 0) {
        return seen;
    }
    if (it == NULL && count_in_force(items, r->created_ms) >= REQUESTS_MAX) {
        err_set(e, -ENOSPC, "request", r->name,
                "%d requests are in force; end one first", REQUESTS_MAX);
        return -1;
    }
    if (it == NULL || !in_force(it, r->created_ms)) {
        return it != NULL ? (int64_t)it->revision : 0;
    }
    err_set(e, -EEXIST, "request", r->name,
            "is in force, at revision %llu; to replace it: --on %llu",
            (unsigned long long)it->revision,
            (unsigned long long)it->revision);
    return -1;
}

/* A failure leaves entries that the next command removes. */
static void
remove_expired(store_t *s, const store_items_t *items, const request_t *added)
{
    int n = 0;

    for (size_t i = 0; i < items->n && n < EXPIRED_REMOVED_MAX; i++) {
        const store_item_t *it = &items->item[i];
        const char *name = store_request_name(it);
        request_t r;
        err_t e;
        if (strcmp(name, added->name) == 0 || read_item(&r, it, &e) < 0 ||
            added->created_ms < r.expires_ms + EXPIRED_GRACE_MS) {
            continue;
        }
        n++;
        if (store_remove_request(s, name, it->revision, &e) < 0) {
            fprintf(stderr,
                    "siskinctl: %s: %s: %s; the expired request %s stays\n",
                    e.step, e.peer, e.text, name);
        }
    }
}

static ctl_exit_t
print_added(const options_t *o, const request_t *r, uint64_t revision)
{
    if (o->json) {
        ctl_print_json(json_pack("{ss sI sI}", "name", r->name, "revision",
                                 (json_int_t)revision, "expires",
                                 (json_int_t)r->expires_ms));
    }
    else {
        printf("request %s, revision %llu\n", r->name,
               (unsigned long long)revision);
    }
    return CTL_OK;
}

static ctl_exit_t
put(const options_t *o, store_t *s, const store_items_t *items,
    const request_t *r)
{
    const store_item_t *it = find_item(items, r->name);
    err_t e = {0};
    int64_t required;
    uint64_t revision;
    int rc;

    if (it != NULL && in_force(it, r->created_ms) && is_same(it, r)) {
        return print_added(o, r, it->revision);
    }
    required = required_revision(o, items, r, &e);
    if (required < 0) {
        return ctl_fail(o,
                        e.code == -EEXIST   ? CTL_CONFLICT
                        : e.code == -EINVAL ? CTL_USAGE
                                            : CTL_NEGATIVE,
                        &e);
    }
    revision = (uint64_t)required;
    rc = store_put_request(s, r, &revision, &e);
    if (rc == -EIO) {
        err_set(&e, rc, "request", r->name,
                "the outcome is unknown; run the command again with --name "
                "%s",
                r->name);
    }
    if (rc < 0) {
        return ctl_fail(o, write_exit_code(rc), &e);
    }
    remove_expired(s, items, r);
    return print_added(o, r, revision);
}

ctl_exit_t
cmd_request_add(const options_t *o)
{
    store_items_t items;
    request_t r;
    err_t e = {0};
    store_t *s;
    ctl_exit_t code;

    if (ctl_build_request(&r, o, &e) < 0) {
        return ctl_fail(o, CTL_USAGE, &e);
    }
    code = read_store(o, &s, &items);
    if (code == CTL_OK) {
        code = put(o, s, &items, &r);
        store_items_free(&items);
        store_free(s);
    }
    return code;
}

/* ---- list ---- */

static void
format_priority(char *out, size_t cap, int priority, const char *label,
                const char *name)
{
    if (priority != REQUEST_NO_PRIORITY) {
        snprintf(out, cap, "priority=%d", priority);
    }
    else {
        snprintf(out, cap, "%s=%s", label, name);
    }
}

/* What a request is about, within its service. */
static void
format_subject(char *out, size_t cap, const request_t *r)
{
    switch (r->kind) {
    case REQUEST_GUARANTEE:
        format_priority(out, cap, r->guarantee.priority, "data_centre",
                        r->guarantee.data_centre);
        return;
    case REQUEST_LIMIT:
        format_priority(out, cap, r->limit.priority, "route", r->limit.route);
        return;
    case REQUEST_FORBID:
    case REQUEST_PIN:
        snprintf(out, cap, "from=%s to=%s", r->between.from, r->between.to);
        return;
    case REQUEST_WEIGHT:
    case REQUEST_OUT:
        if (r->placed.upstreams.id != 0) {
            snprintf(out, cap, "upstream=%llx",
                     (unsigned long long)r->placed.upstreams.id);
        }
        else {
            snprintf(out, cap, "version=%s", r->placed.upstreams.version);
        }
        return;
    case REQUEST_KINDS:
        return;
    }
}

static json_t *
share_json(const request_t *r)
{
    switch (r->kind) {
    case REQUEST_GUARANTEE:
        return json_real(r->guarantee.share);
    case REQUEST_LIMIT:
        return json_real(r->limit.share);
    case REQUEST_WEIGHT:
        return json_real(r->placed.share);
    case REQUEST_FORBID:
    case REQUEST_PIN:
    case REQUEST_OUT:
    case REQUEST_KINDS:
        break;
    }
    return json_null();
}

static json_t *
row(const store_item_t *it, int64_t now_wall)
{
    char subject[SUBJECT_LEN];
    request_t r;
    err_t e;

    if (read_item(&r, it, &e) < 0) {
        return json_pack("{ss ss ss sI}", "name", store_request_name(it),
                         "kind", "unreadable", "note", e.text, "revision",
                         (json_int_t)it->revision);
    }
    format_subject(subject, sizeof(subject), &r);
    return json_pack("{ss ss ss ss so sI ss ss sI}", "name", r.name, "kind",
                     request_kind_name(r.kind), "service", r.service, "of",
                     subject, "share", share_json(&r), "left_s",
                     (json_int_t)(now_wall < r.expires_ms
                                      ? (r.expires_ms - now_wall) / 1000
                                      : 0),
                     "author", r.author, "note", r.note, "revision",
                     (json_int_t)it->revision);
}

ctl_exit_t
cmd_request_list(const options_t *o)
{
    store_items_t items;
    json_t *rows, *root;
    store_t *s;
    ctl_exit_t code = read_store(o, &s, &items);

    if (code != CTL_OK) {
        return code;
    }
    rows = json_array();
    for (size_t i = 0; i < items.n; i++) {
        json_array_append_new(rows, row(&items.item[i], clock_wall()));
    }
    root = json_pack("{so}", "requests", rows);
    if (o->json) {
        ctl_print_json(json_incref(root));
    }
    else if (items.n > 0) {
        ctl_print_table(root);
    }
    json_decref(root);
    store_items_free(&items);
    store_free(s);
    return CTL_OK;
}

/* ---- end ---- */

static ctl_exit_t
end(const options_t *o, store_t *s, const store_items_t *items)
{
    const char *name = o->request.name;
    const store_item_t *it = find_item(items, name);
    err_t e = {0};
    int64_t seen;
    int rc;

    if (it == NULL) {
        err_set(&e, -ENOENT, "request", name, "there is no such request");
        return ctl_fail(o, CTL_NEGATIVE, &e);
    }
    rc = parse_revision(o, &seen, &e);
    if (rc == 0) {
        rc = store_remove_request(
            s, name, seen >= 0 ? (uint64_t)seen : it->revision, &e);
    }
    return rc < 0 ? ctl_fail(o, write_exit_code(rc), &e) : CTL_OK;
}

ctl_exit_t
cmd_request_end(const options_t *o)
{
    store_items_t items;
    store_t *s;
    ctl_exit_t code = read_store(o, &s, &items);

    if (code == CTL_OK) {
        code = end(o, s, &items);
        store_items_free(&items);
        store_free(s);
    }
    return code;
}
