/* The set of requests, and look-ups in it. */
#include "request/request.h"

#include <errno.h>
#include <string.h>

/* Stands for a limit of 0 in admit_rules_t, where 0 is no limit. */
#define LIMIT_SHARE_MIN 1e-9
/* Upper bound of a weight factor. */
#define WEIGHT_MAX 1e6

/* ---- The set ---- */

static uint32_t
index_of(const requests_t *s, const char *name)
{
    uint32_t i = 0;

    while (i < s->n && strcmp(s->entry[i].request.name, name) != 0) {
        i++;
    }
    return i;
}

static void
remove_at(requests_t *s, uint32_t i)
{
    s->n--;
    memmove(&s->entry[i], &s->entry[i + 1], (s->n - i) * sizeof(s->entry[i]));
}

int
requests_put(requests_t *s, const request_t *r, uint64_t revision)
{
    uint32_t at = index_of(s, r->name);

    if (at < s->n && s->entry[at].revision > revision) {
        return -ESTALE;
    }
    if (at < s->n) {
        remove_at(s, at);
    }
    if (s->n == REQUESTS_MAX) {
        return -ENOSPC;
    }
    at = 0;
    while (at < s->n && s->entry[at].revision > revision) {
        at++;
    }
    memmove(&s->entry[at + 1], &s->entry[at],
            (s->n - at) * sizeof(s->entry[at]));
    s->entry[at] = (request_entry_t){.request = *r, .revision = revision};
    s->n++;
    return 0;
}

void
requests_remove(requests_t *s, const char *name)
{
    uint32_t at = index_of(s, name);

    if (at < s->n) {
        remove_at(s, at);
    }
}

const request_entry_t *
requests_find(const requests_t *s, const char *name)
{
    uint32_t at = index_of(s, name);

    return at < s->n ? &s->entry[at] : NULL;
}

uint32_t
requests_expire(requests_t *s, int64_t now_wall)
{
    uint32_t before = s->n;

    for (uint32_t i = s->n; i-- > 0;) {
        if (now_wall >= s->entry[i].request.expires_ms) {
            remove_at(s, i);
        }
    }
    return before - s->n;
}

uint64_t
requests_in_force(const requests_t *s, int64_t now_wall)
{
    uint64_t mask = 0;

    for (uint32_t i = 0; i < s->n; i++) {
        if (now_wall < s->entry[i].request.expires_ms) {
            mask |= UINT64_C(1) << i;
        }
    }
    return mask;
}

/* ---- Look-ups ---- */

/* Returns the next request in force at *AT, which it moves on, or NULL. */
static const request_t *
next(const requests_t *s, int64_t now_wall, uint32_t *at)
{
    while (*at < s->n) {
        const request_t *r = &s->entry[(*at)++].request;
        if (now_wall < r->expires_ms) {
            return r;
        }
    }
    return NULL;
}

/* Sets *RULE by the latest request for it. */
static void
set_first(double *rule, bool *is_set, double share)
{
    if (!*is_set) {
        *rule = share;
        *is_set = true;
    }
}

typedef struct {
    bool guaranteed[ADMIT_PRIORITIES], limit[ADMIT_PRIORITIES], here;
} rules_set_t;

static void
add_rule(const request_t *r, const char *data_centre, admit_rules_t *out,
         rules_set_t *set)
{
    int p;

    switch (r->kind) {
    case REQUEST_GUARANTEE:
        p = r->guarantee.priority;
        if (p != REQUEST_NO_PRIORITY) {
            set_first(&out->guaranteed[p], &set->guaranteed[p],
                      r->guarantee.share);
        }
        else if (strcmp(r->guarantee.data_centre, data_centre) == 0) {
            set_first(&out->guaranteed_here, &set->here, r->guarantee.share);
        }
        return;
    case REQUEST_LIMIT:
        p = r->limit.priority;
        if (p != REQUEST_NO_PRIORITY) {
            set_first(&out->limit[p], &set->limit[p],
                      r->limit.share > LIMIT_SHARE_MIN ? r->limit.share
                                                       : LIMIT_SHARE_MIN);
        }
        return;
    case REQUEST_FORBID:
    case REQUEST_PIN:
    case REQUEST_WEIGHT:
    case REQUEST_OUT:
    case REQUEST_KINDS:
        return;
    }
}

void
requests_admit_rules(const requests_t *s, int64_t now_wall,
                     const char *service, const char *data_centre,
                     admit_rules_t *out)
{
    rules_set_t set = {.here = false};
    const request_t *r;
    uint32_t at = 0;

    *out = (admit_rules_t){.guaranteed_here = 0};
    while ((r = next(s, now_wall, &at)) != NULL) {
        if (strcmp(r->service, service) == 0) {
            add_rule(r, data_centre, out, &set);
        }
    }
}

double
requests_route_limit(const requests_t *s, int64_t now_wall, const char *route)
{
    const request_t *r;
    uint32_t at = 0;

    while ((r = next(s, now_wall, &at)) != NULL) {
        if (r->kind == REQUEST_LIMIT &&
            r->limit.priority == REQUEST_NO_PRIORITY &&
            strcmp(r->limit.route, route) == 0) {
            return r->limit.share;
        }
    }
    return 1;
}

static bool
is_from(const request_t *r, const char *service, const char *from)
{
    return (r->kind == REQUEST_FORBID || r->kind == REQUEST_PIN) &&
           strcmp(r->service, service) == 0 &&
           strcmp(r->between.from, from) == 0;
}

/* The PIN that applies, or NULL: the latest one, unless a later request
 * forbids its data centre. */
static const request_t *
pin_in_force(const requests_t *s, int64_t now_wall, const char *service,
             const char *from)
{
    const request_t *pin, *r;
    uint32_t at = 0;

    do {
        pin = next(s, now_wall, &at);
    } while (pin != NULL &&
             !(pin->kind == REQUEST_PIN && is_from(pin, service, from)));
    at = 0;
    while (pin != NULL && (r = next(s, now_wall, &at)) != pin) {
        if (is_from(r, service, from) &&
            strcmp(r->between.to, pin->between.to) == 0) {
            return NULL;
        }
    }
    return pin;
}

bool
requests_forbid(const requests_t *s, int64_t now_wall, const char *service,
                const char *from, const char *to)
{
    const request_t *pin = pin_in_force(s, now_wall, service, from), *r;
    uint32_t at = 0;

    while ((r = next(s, now_wall, &at)) != NULL) {
        if (r == pin) {
            return strcmp(r->between.to, to) != 0;
        }
        if (is_from(r, service, from) && r->kind == REQUEST_FORBID &&
            strcmp(r->between.to, to) == 0) {
            return true;
        }
    }
    return false;
}

const char *
requests_pin(const requests_t *s, int64_t now_wall, const char *service,
             const char *from)
{
    const request_t *pin = pin_in_force(s, now_wall, service, from);

    return pin != NULL ? pin->between.to : NULL;
}

static bool
names_upstream(const request_upstreams_t *u, uint64_t id, const char *version)
{
    return u->id != 0 ? u->id == id : strcmp(u->version, version) == 0;
}

const request_t *
requests_placed(const requests_t *s, int64_t now_wall, const char *service,
                uint64_t id, const char *version)
{
    const request_t *r;
    uint32_t at = 0;

    while ((r = next(s, now_wall, &at)) != NULL) {
        if ((r->kind == REQUEST_WEIGHT || r->kind == REQUEST_OUT) &&
            strcmp(r->service, service) == 0 &&
            names_upstream(&r->placed.upstreams, id, version)) {
            return r;
        }
    }
    return NULL;
}

double
request_weight_factor(double share, uint32_t n, double others_share,
                      uint32_t others)
{
    double factor;

    if (share <= 0 || n == 0) {
        return 0;
    }
    if (others == 0) {
        return share / n; /* beside other requests' upstreams only */
    }
    if (others_share <= 0) {
        return WEIGHT_MAX;
    }
    factor = share / n * others / others_share;
    return factor < WEIGHT_MAX ? factor : WEIGHT_MAX;
}
