/* The request that the options of "request add" describe. */
#include "siskinctl/ctl.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* "90s", "10m", "2h" or "7d". */
static int
parse_duration(const char *text, ms_t *out)
{
    static const struct {
        char unit;
        ms_t ms;
    } units[] = {{'s', 1000}, {'m', 60000}, {'h', 3600000}, {'d', 86400000}};
    char *end;
    long long n = strtoll(text, &end, 10);

    if (!isdigit((unsigned char)text[0]) || end[0] == '\0' || end[1] != '\0' ||
        n <= 0 || n > REQUEST_LIFETIME_MAX_MS / 1000) {
        return -EINVAL;
    }
    for (size_t i = 0; i < sizeof(units) / sizeof(units[0]); i++) {
        if (units[i].unit == end[0]) {
            *out = n * units[i].ms;
            return *out <= REQUEST_LIFETIME_MAX_MS ? 0 : -EINVAL;
        }
    }
    return -EINVAL;
}

/* Copies an option's text; a missing one is "". */
static int
copy_option(char *out, size_t cap, const char *option, const char *text,
            err_t *e)
{
    if (text != NULL && strlen(text) >= cap) {
        return err_set(e, -EINVAL, "request", option,
                       "is too long; expected at most %zu bytes", cap - 1);
    }
    snprintf(out, cap, "%s", text != NULL ? text : "");
    return 0;
}

static int
copy_upstreams(request_upstreams_t *u, const options_t *o, err_t *e)
{
    const char *id = o->upstream;
    int rc = copy_option(u->version, sizeof(u->version), "--version",
                         o->request.version, e);

    if (rc < 0 || id == NULL) {
        return rc;
    }
    u->id = strtoull(id, NULL, 16);
    if (strlen(id) > 16 ||
        strspn(id, "0123456789abcdefABCDEF") != strlen(id) || u->id == 0) {
        return err_set(e, -EINVAL, "request", "--upstream",
                       "\"%.40s\" is no id; expected hexadecimal digits, as "
                       "in logs",
                       id);
    }
    return 0;
}

static int
copy_names(char first[REQUEST_NAME_LEN], const char *first_option,
           const char *first_text, char second[REQUEST_NAME_LEN],
           const char *second_option, const char *second_text, err_t *e)
{
    int rc = copy_option(first, REQUEST_NAME_LEN, first_option, first_text, e);

    return rc < 0 || second == NULL
               ? rc
               : copy_option(second, REQUEST_NAME_LEN, second_option,
                             second_text, e);
}

static int
copy_kind(request_t *r, const options_t *o, err_t *e)
{
    const request_options_t *q = &o->request;

    switch (r->kind) {
    case REQUEST_GUARANTEE:
        r->guarantee.priority = q->priority;
        r->guarantee.share = q->share;
        return copy_option(r->guarantee.data_centre, REQUEST_NAME_LEN,
                           "--data-centre", o->data_centre, e);
    case REQUEST_LIMIT:
        r->limit.priority = q->priority;
        r->limit.share = q->share;
        return copy_option(r->limit.route, REQUEST_NAME_LEN, "--route",
                           q->route, e);
    case REQUEST_FORBID:
    case REQUEST_PIN:
        return copy_names(r->between.from, "--from", q->from, r->between.to,
                          "--to", q->to, e);
    case REQUEST_WEIGHT:
        r->placed.share = q->share;
        return copy_upstreams(&r->placed.upstreams, o, e);
    case REQUEST_OUT:
        return copy_upstreams(&r->placed.upstreams, o, e);
    case REQUEST_KINDS:
        break;
    }
    return -EINVAL;
}

/* A name that no other request has. */
static void
new_name(request_t *r)
{
    uint32_t random;

    if (getrandom(&random, sizeof(random), 0) != sizeof(random)) {
        abort();
    }
    snprintf(r->name, sizeof(r->name), "%s-%08x", request_kind_name(r->kind),
             random);
}

int
ctl_build_request(request_t *r, const options_t *o, err_t *e)
{
    const request_options_t *q = &o->request;
    ms_t lifetime;
    int rc;

    memset(r, 0, sizeof(*r));
    if (request_kind_parse(&r->kind, q->kind) < 0) {
        return err_set(e, -EINVAL, "request", q->kind,
                       "is no kind; expected guarantee, limit, forbid, pin, "
                       "weight or out");
    }
    if (parse_duration(q->lifetime, &lifetime) < 0) {
        return err_set(e, -EINVAL, "request", "--for",
                       "\"%.40s\" is no duration; expected such as 90s, 10m, "
                       "2h, at most 7d",
                       q->lifetime);
    }
    r->created_ms = clock_wall();
    r->expires_ms = r->created_ms + lifetime;
    rc = copy_names(r->service, "--service", q->service, NULL, NULL, NULL, e);
    rc = rc < 0 ? rc
                : copy_option(r->note, sizeof(r->note), "--note", q->note, e);
    rc = rc < 0 ? rc
                : copy_option(r->author, sizeof(r->author), "--author",
                              q->author, e);
    rc = rc < 0 ? rc : copy_kind(r, o, e);
    new_name(r);
    if (rc == 0 && q->name != NULL) {
        rc = copy_option(r->name, sizeof(r->name), "--name", q->name, e);
    }
    return rc < 0 ? rc : request_check(r, e);
}
