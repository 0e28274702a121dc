/* Requests: their JSON text, and what they allow. */
#include "request/request.h"

#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define STEP "request"
/* Largest integer that is exact as a JSON number. */
#define TIME_MAX_MS 9000000000000000LL
#define ID_STRLEN 17 /* an upstream's id in hexadecimal, with its NUL */

static const char *const kind_names[REQUEST_KINDS] = {
    [REQUEST_GUARANTEE] = "guarantee", [REQUEST_LIMIT] = "limit",
    [REQUEST_FORBID] = "forbid",       [REQUEST_PIN] = "pin",
    [REQUEST_WEIGHT] = "weight",       [REQUEST_OUT] = "out",
};

const char *
request_kind_name(request_kind_t kind)
{
    return kind_names[kind];
}

int
request_kind_parse(request_kind_t *kind, const char *name)
{
    for (int i = 0; i < REQUEST_KINDS; i++) {
        if (strcmp(kind_names[i], name) == 0) {
            *kind = (request_kind_t)i;
            return 0;
        }
    }
    return -EINVAL;
}

/* ---- Checks ---- */

bool
request_is_name(const char *name)
{
    size_t len = strlen(name);

    return len > 0 && len < REQUEST_NAME_LEN &&
           strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789.-_") == len;
}

static bool
has_control_chars(const char *s)
{
    for (; *s != '\0'; s++) {
        if ((unsigned char)*s < ' ' || *s == 0x7f) {
            return true;
        }
    }
    return false;
}

/* Control characters are refused because the texts go into logs. */
static int
check_text(const request_t *r, const char *field, const char *text,
           bool required, err_t *e)
{
    if (required && text[0] == '\0') {
        return err_set(e, -EINVAL, STEP, r->name,
                       "%s is missing; expected a name", field);
    }
    if (has_control_chars(text)) {
        return err_set(e, -EINVAL, STEP, r->name, "%s has control characters",
                       field);
    }
    return 0;
}

/* The author is quoted in logs. */
static int
check_author(const request_t *r, err_t *e)
{
    if (strchr(r->author, '"') != NULL) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "author has quotation marks");
    }
    return check_text(r, "author", r->author, false, e);
}

static int
check_share(const request_t *r, double share, err_t *e)
{
    return share >= 0 && share <= 1
               ? 0
               : err_set(e, -EINVAL, STEP, r->name,
                         "share is out of range; expected 0 to 1");
}

static int
check_priority(const request_t *r, int priority, err_t *e)
{
    return priority >= 0 && priority < ADMIT_PRIORITIES
               ? 0
               : err_set(e, -EINVAL, STEP, r->name,
                         "priority is out of range; expected 0 to %d",
                         ADMIT_PRIORITIES - 1);
}

static int
check_times(const request_t *r, err_t *e)
{
    if (r->created_ms <= 0 || r->created_ms > TIME_MAX_MS) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "created is out of range; expected ms since 1970");
    }
    if (r->expires_ms <= r->created_ms ||
        r->expires_ms - r->created_ms > REQUEST_LIFETIME_MAX_MS) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "expires is out of range; expected a time after "
                       "created, and 7 days after it at the latest");
    }
    return 0;
}

/* Of NAME_FIELD and "priority" a request has one. */
static int
check_subject(const request_t *r, int priority, const char *name_field,
              const char *name, err_t *e)
{
    if (priority == REQUEST_NO_PRIORITY) {
        return check_text(r, name_field, name, true, e);
    }
    if (name[0] != '\0') {
        return err_set(e, -EINVAL, STEP, r->name,
                       "has both priority and %s; expected one", name_field);
    }
    return check_priority(r, priority, e);
}

static int
check_between(const request_t *r, err_t *e)
{
    int rc = check_text(r, "from", r->between.from, true, e);

    return rc < 0 ? rc : check_text(r, "to", r->between.to, true, e);
}

static int
check_upstreams(const request_t *r, err_t *e)
{
    const request_upstreams_t *u = &r->placed.upstreams;

    if ((u->id != 0) == (u->version[0] != '\0')) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "expected either upstream or version");
    }
    return check_text(r, "version", u->version, false, e);
}

static int
check_kind(const request_t *r, err_t *e)
{
    int rc;

    switch (r->kind) {
    case REQUEST_GUARANTEE:
        rc = check_subject(r, r->guarantee.priority, "data_centre",
                           r->guarantee.data_centre, e);
        return rc < 0 ? rc : check_share(r, r->guarantee.share, e);
    case REQUEST_LIMIT:
        rc = check_subject(r, r->limit.priority, "route", r->limit.route, e);
        return rc < 0 ? rc : check_share(r, r->limit.share, e);
    case REQUEST_FORBID:
    case REQUEST_PIN:
        return check_between(r, e);
    case REQUEST_WEIGHT:
        rc = check_upstreams(r, e);
        return rc < 0 ? rc : check_share(r, r->placed.share, e);
    case REQUEST_OUT:
        return check_upstreams(r, e);
    case REQUEST_KINDS:
        break;
    }
    return err_set(e, -EINVAL, STEP, r->name, "kind is out of range");
}

static bool
limits_route(const request_t *r)
{
    return r->kind == REQUEST_LIMIT &&
           r->limit.priority == REQUEST_NO_PRIORITY;
}

int
request_check(const request_t *r, err_t *e)
{
    int rc = request_is_name(r->name)
                 ? 0
                 : err_set(e, -EINVAL, STEP, r->name,
                           "name is no name of a request; expected "
                           "letters, digits, dots, hyphens and "
                           "underscores, at most %d",
                           REQUEST_NAME_LEN - 1);

    rc = rc < 0 ? rc
                : check_text(r, "service", r->service, !limits_route(r), e);
    rc = rc < 0 ? rc : check_text(r, "note", r->note, false, e);
    rc = rc < 0 ? rc : check_author(r, e);
    rc = rc < 0 ? rc : check_times(r, e);
    return rc < 0 ? rc : check_kind(r, e);
}

/* ---- Reading ---- */

/* Copies a text field, which may be missing: "". */
static int
read_text(const request_t *r, const json_t *o, const char *field, char *out,
          size_t cap, err_t *e)
{
    const json_t *v = json_object_get(o, field);

    out[0] = '\0';
    if (v == NULL || json_is_null(v)) {
        return 0;
    }
    if (!json_is_string(v) || json_string_length(v) >= cap) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "%s is no text of at most %zu bytes", field, cap - 1);
    }
    memcpy(out, json_string_value(v), json_string_length(v) + 1);
    return 0;
}

static int
read_time(const request_t *r, const json_t *o, const char *field, int64_t *out,
          err_t *e)
{
    const json_t *v = json_object_get(o, field);

    if (!json_is_integer(v)) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "%s is missing or no integer; expected ms since "
                       "1970",
                       field);
    }
    *out = json_integer_value(v);
    return 0;
}

static int
read_share(const request_t *r, const json_t *o, double *out, err_t *e)
{
    const json_t *v = json_object_get(o, "share");

    if (!json_is_number(v)) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "share is missing or no number; expected 0 to 1");
    }
    *out = json_number_value(v);
    return 0;
}

static int
read_priority(const request_t *r, const json_t *o, int *out, err_t *e)
{
    const json_t *v = json_object_get(o, "priority");

    *out = REQUEST_NO_PRIORITY;
    if (v == NULL) {
        return 0;
    }
    if (!json_is_integer(v) || json_integer_value(v) < 0 ||
        json_integer_value(v) >= ADMIT_PRIORITIES) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "priority is out of range; expected 0 to %d",
                       ADMIT_PRIORITIES - 1);
    }
    *out = (int)json_integer_value(v);
    return 0;
}

static int
read_upstreams(request_t *r, const json_t *o, err_t *e)
{
    request_upstreams_t *u = &r->placed.upstreams;
    char id[ID_STRLEN];
    int rc = read_text(r, o, "version", u->version, sizeof(u->version), e);

    rc = rc < 0 ? rc : read_text(r, o, "upstream", id, sizeof(id), e);
    if (rc < 0 || id[0] == '\0') {
        return rc;
    }
    u->id = strtoull(id, NULL, 16);
    if (strspn(id, "0123456789abcdefABCDEF") != strlen(id) || u->id == 0) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "upstream is no id; expected hexadecimal digits");
    }
    return 0;
}

static int
read_fields(request_t *r, const json_t *o, err_t *e)
{
    int rc;

    switch (r->kind) {
    case REQUEST_GUARANTEE:
        rc = read_priority(r, o, &r->guarantee.priority, e);
        rc = rc < 0 ? rc
                    : read_text(r, o, "data_centre", r->guarantee.data_centre,
                                REQUEST_NAME_LEN, e);
        return rc < 0 ? rc : read_share(r, o, &r->guarantee.share, e);
    case REQUEST_LIMIT:
        rc = read_priority(r, o, &r->limit.priority, e);
        rc = rc < 0 ? rc
                    : read_text(r, o, "route", r->limit.route,
                                REQUEST_NAME_LEN, e);
        return rc < 0 ? rc : read_share(r, o, &r->limit.share, e);
    case REQUEST_FORBID:
    case REQUEST_PIN:
        rc = read_text(r, o, "from", r->between.from, REQUEST_NAME_LEN, e);
        return rc < 0
                   ? rc
                   : read_text(r, o, "to", r->between.to, REQUEST_NAME_LEN, e);
    case REQUEST_WEIGHT:
        rc = read_upstreams(r, o, e);
        return rc < 0 ? rc : read_share(r, o, &r->placed.share, e);
    case REQUEST_OUT:
        return read_upstreams(r, o, e);
    case REQUEST_KINDS:
        break;
    }
    return -EINVAL;
}

static int
read_kind(request_t *r, const json_t *o, err_t *e)
{
    const char *kind = json_string_value(json_object_get(o, "kind"));

    if (kind == NULL || request_kind_parse(&r->kind, kind) < 0) {
        return err_set(e, -EINVAL, STEP, r->name,
                       "kind is missing or unknown; expected guarantee, "
                       "limit, forbid, pin, weight or out");
    }
    return 0;
}

static int
read_request(request_t *r, const json_t *o, err_t *e)
{
    int rc = read_kind(r, o, e);

    rc = rc < 0
             ? rc
             : read_text(r, o, "service", r->service, sizeof(r->service), e);
    rc = rc < 0 ? rc : read_text(r, o, "note", r->note, sizeof(r->note), e);
    rc = rc < 0 ? rc
                : read_text(r, o, "author", r->author, sizeof(r->author), e);
    rc = rc < 0 ? rc : read_time(r, o, "created", &r->created_ms, e);
    rc = rc < 0 ? rc : read_time(r, o, "expires", &r->expires_ms, e);
    rc = rc < 0 ? rc : read_fields(r, o, e);
    return rc < 0 ? rc : request_check(r, e);
}

int
request_parse(request_t *r, const char *name, const char *text, err_t *e)
{
    json_error_t where;
    json_t *o;
    int rc;

    memset(r, 0, sizeof(*r));
    snprintf(r->name, sizeof(r->name), "%s", name);
    if (!request_is_name(name)) {
        return err_set(e, -EINVAL, STEP, r->name, "is no name of a request");
    }
    if (strlen(text) > REQUEST_TEXT_MAX) {
        return err_set(e, -EINVAL, STEP, name, "is longer than %d bytes",
                       REQUEST_TEXT_MAX);
    }
    o = json_loads(text, JSON_REJECT_DUPLICATES, &where);
    rc = json_is_object(o) ? read_request(r, o, e)
                           : err_set(e, -EINVAL, STEP, name,
                                     "is no JSON object: %.80s", where.text);
    json_decref(o);
    return rc;
}

/* ---- Writing ---- */

/* FAILED: without memory, or a text is no UTF-8. */
typedef struct {
    json_t *o;
    bool failed;
} writer_t;

static void
write_value(writer_t *w, const char *field, json_t *value)
{
    w->failed |= json_object_set_new(w->o, field, value) < 0;
}

static void
write_text(writer_t *w, const char *field, const char *text)
{
    if (text[0] != '\0') {
        write_value(w, field, json_string(text));
    }
}

static void
write_priority(writer_t *w, int priority)
{
    if (priority != REQUEST_NO_PRIORITY) {
        write_value(w, "priority", json_integer(priority));
    }
}

static void
write_upstreams(writer_t *w, const request_upstreams_t *u)
{
    char id[ID_STRLEN];

    if (u->id != 0) {
        snprintf(id, sizeof(id), "%llx", (unsigned long long)u->id);
        write_text(w, "upstream", id);
    }
    write_text(w, "version", u->version);
}

static void
write_fields(writer_t *w, const request_t *r)
{
    switch (r->kind) {
    case REQUEST_GUARANTEE:
        write_priority(w, r->guarantee.priority);
        write_text(w, "data_centre", r->guarantee.data_centre);
        write_value(w, "share", json_real(r->guarantee.share));
        return;
    case REQUEST_LIMIT:
        write_priority(w, r->limit.priority);
        write_text(w, "route", r->limit.route);
        write_value(w, "share", json_real(r->limit.share));
        return;
    case REQUEST_FORBID:
    case REQUEST_PIN:
        write_text(w, "from", r->between.from);
        write_text(w, "to", r->between.to);
        return;
    case REQUEST_WEIGHT:
        write_upstreams(w, &r->placed.upstreams);
        write_value(w, "share", json_real(r->placed.share));
        return;
    case REQUEST_OUT:
        write_upstreams(w, &r->placed.upstreams);
        return;
    case REQUEST_KINDS:
        return;
    }
}

char *
request_write(const request_t *r)
{
    writer_t w = {.o = json_object()};
    char *text;

    write_text(&w, "kind", request_kind_name(r->kind));
    write_text(&w, "service", r->service);
    write_fields(&w, r);
    write_text(&w, "note", r->note);
    write_text(&w, "author", r->author);
    write_value(&w, "created", json_integer(r->created_ms));
    write_value(&w, "expires", json_integer(r->expires_ms));
    text = w.failed ? NULL : json_dumps(w.o, JSON_COMPACT);
    json_decref(w.o);
    return text;
}
