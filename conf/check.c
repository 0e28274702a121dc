/* Checks of rules that involve more than one table or value. */
#include "conf/model.h"
#include "conf/addr_index.h"
#include "wire/wire.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const char *
service_name(const draft_t *d, const upstream_draft_t *u)
{
    return d->services[u->service].s.name;
}

static int
by_id(const void *a, const void *b)
{
    const upstream_draft_t *x = a, *y = b;

    return x->u.id < y->u.id ? -1 : x->u.id > y->u.id;
}

static int
by_service_and_id(const void *a, const void *b)
{
    const upstream_draft_t *x = a, *y = b;

    if (x->service != y->service) {
        return x->service < y->service ? -1 : 1;
    }
    return by_id(a, b);
}

static int
check_service(const draft_t *d, uint32_t i, err_t *e)
{
    const service_draft_t *s = &d->services[i];

    if (s->s.feed_silent_ms >= s->s.flow_idle_ms) {
        return toml_fail(e, d->base_file, s->line,
                         "service %s drops an idle flow (flow_idle_ms %u) "
                         "before it probes a silent feed; expected "
                         "feed_silent_ms below flow_idle_ms",
                         s->s.name, s->s.flow_idle_ms);
    }
    return 0;
}

/* The index is sorted, so equal addresses are adjacent. */
static int
check_service_addresses(const draft_t *d, const addr_index_t *services,
                        err_t *e)
{
    char addr[ADDR_STRLEN];

    for (size_t i = 1; i < services->n; i++) {
        const addr_entry_t *at = &services->entry[i];
        const service_draft_t *a = &d->services[at[-1].service];
        const service_draft_t *b = &d->services[at->service];
        if (at[-1].id == at->id) {
            return toml_fail(e, d->base_file, b->line,
                             "services %s and %s both have address %s; "
                             "expected one for each",
                             a->s.name, b->s.name,
                             addr_text(&b->s.addr, addr));
        }
    }
    return 0;
}

static int
check_upstream(const draft_t *d, const addr_index_t *services,
               const upstream_draft_t *u, err_t *e)
{
    const conf_service_t *s = &d->services[u->service].s;
    char addr[ADDR_STRLEN];
    int other;

    if (s->urgent_slots >= u->u.slots) {
        return toml_fail(e, u->file, u->line,
                         "upstream %s has slots %u, but service %s keeps "
                         "urgent_slots %u free of uploads; expected "
                         "more slots",
                         addr_text(&u->u.addr, addr), u->u.slots, s->name,
                         s->urgent_slots);
    }
    other = addr_index_find(services, u->u.id);
    if (other >= 0) {
        return toml_fail(e, u->file, u->line,
                         "upstream %s is the address of service %s; "
                         "expected a different address",
                         addr_text(&u->u.addr, addr),
                         d->services[other].s.name);
    }
    return 0;
}

/* The upstreams are sorted by id, so duplicates are adjacent. */
static int
check_duplicate_upstreams(const draft_t *d, err_t *e)
{
    char addr[ADDR_STRLEN];

    for (uint32_t i = 1; i < d->n_upstreams; i++) {
        const upstream_draft_t *a = &d->upstreams[i - 1];
        const upstream_draft_t *b = &d->upstreams[i];
        if (a->u.id != b->u.id) {
            continue;
        }
        addr_text(&b->u.addr, addr);
        if (a->service == b->service) {
            return toml_fail(e, b->file, b->line,
                             "upstream %s is listed twice, also at %s:%d; "
                             "expected once",
                             addr, a->file, a->line);
        }
        return toml_fail(e, b->file, b->line,
                         "upstream %s is in service %s and, at %s:%d, in "
                         "service %s; expected one service",
                         addr, service_name(d, b), a->file, a->line,
                         service_name(d, a));
    }
    return 0;
}

static int
check_empty_services(const draft_t *d, err_t *e)
{
    for (uint32_t i = 0; i < d->n_services; i++) {
        if (d->services[i].s.n_upstreams == 0) {
            return toml_fail(e, d->base_file, d->services[i].line,
                             "service %s has no upstream in any data centre; "
                             "expected one at least",
                             d->services[i].s.name);
        }
    }
    return 0;
}

static int
check_entries(const draft_t *d, const addr_index_t *services, err_t *e)
{
    int rc = 0;

    for (uint32_t i = 0; rc == 0 && i < d->n_services; i++) {
        rc = check_service(d, i, e);
    }
    if (rc == 0) {
        rc = check_service_addresses(d, services, e);
    }
    for (uint32_t i = 0; rc == 0 && i < d->n_upstreams; i++) {
        rc = check_upstream(d, services, &d->upstreams[i], e);
    }
    return rc;
}

static int
check_services_and_upstreams(const draft_t *d, err_t *e)
{
    addr_index_t services;
    int rc;

    if (addr_index_open(&services, d->n_services) < 0) {
        return err_set(e, -ENOMEM, "check", d->base_file, "Out of memory.");
    }
    for (uint32_t i = 0; i < d->n_services; i++) {
        addr_index_add(&services, addr_id(&d->services[i].s.addr), i);
    }
    addr_index_sort(&services);
    rc = check_entries(d, &services, e);
    addr_index_close(&services);
    return rc;
}

int
draft_check(draft_t *d, err_t *e)
{
    int rc = check_services_and_upstreams(d, e);

    if (rc < 0) {
        return rc;
    }
    if (d->n_upstreams > 0) {
        qsort(d->upstreams, d->n_upstreams, sizeof(*d->upstreams), by_id);
    }
    rc = check_duplicate_upstreams(d, e);
    if (rc < 0) {
        return rc;
    }
    if (d->n_upstreams > 0) {
        qsort(d->upstreams, d->n_upstreams, sizeof(*d->upstreams),
              by_service_and_id);
    }
    return check_empty_services(d, e);
}
