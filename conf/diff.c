/* Differences between two versions, and the check of a step between them. */
#include "conf/model.h"
#include "conf/addr_index.h"
#include "wire/wire.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define TEXT_LEN 256

typedef struct {
    void (*line)(void *arg, const char *text);
    void *arg;
    int n;
} diff_t;

static void __attribute__((format(printf, 2, 3)))
emit_line(diff_t *d, const char *fmt, ...)
{
    char text[TEXT_LEN * 2];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    d->n++;
    if (d->line != NULL) {
        d->line(d->arg, text);
    }
}

static void
diff_fields(diff_t *d, const char *subject, const field_t *fields, size_t n,
            const void *a, const void *b)
{
    char x[64], y[64];

    for (size_t i = 0; i < n; i++) {
        field_text(&fields[i], a, x, sizeof(x));
        field_text(&fields[i], b, y, sizeof(y));
        if (strcmp(x, y) != 0) {
            emit_line(d, "~ %s %s: %s -> %s", subject, fields[i].key, x, y);
        }
    }
}

static const char *
upstream_subject(const conf_service_t *s, const conf_upstream_t *u, char *buf)
{
    char addr[ADDR_STRLEN];

    snprintf(buf, TEXT_LEN, "service %s upstream %s", s->name,
             addr_text(&u->addr, addr));
    return buf;
}

static void
emit_upstream(diff_t *d, char sign, const conf_service_t *s,
              const conf_upstream_t *u)
{
    char subject[TEXT_LEN];

    emit_line(d, "%c %s: %s, slots %u, connections %u, weight %u%s", sign,
              upstream_subject(s, u, subject), u->data_centre, u->slots,
              u->connections, u->weight, u->draining ? ", draining" : "");
}

static void
diff_upstream(diff_t *d, const conf_service_t *s, const conf_upstream_t *a,
              const conf_upstream_t *b)
{
    char subject[TEXT_LEN];

    upstream_subject(s, a, subject);
    diff_fields(d, subject, upstream_fields, n_upstream_fields, a, b);
    if (strcmp(a->data_centre, b->data_centre) != 0) {
        emit_line(d, "~ %s data_centre: %s -> %s", subject, a->data_centre,
                  b->data_centre);
    }
}

/* The upstreams of FROM that are not in TO; TO may be NULL. */
static void
emit_missing(diff_t *d, char sign, const conf_service_t *from,
             const conf_service_t *to)
{
    for (uint32_t i = 0; i < from->n_upstreams; i++) {
        const conf_upstream_t *u = &from->upstreams[i];
        if (to == NULL || conf_find_upstream(to, u->id) == NULL) {
            emit_upstream(d, sign, from, u);
        }
    }
}

static void
diff_service(diff_t *d, const conf_service_t *a, const conf_service_t *b)
{
    char subject[TEXT_LEN];

    snprintf(subject, sizeof(subject), "service %s", a->name);
    diff_fields(d, subject, service_fields, n_service_fields, a, b);
    emit_missing(d, '-', a, b);
    for (uint32_t i = 0; i < a->n_upstreams; i++) {
        const conf_upstream_t *u = conf_find_upstream(b, a->upstreams[i].id);
        if (u != NULL) {
            diff_upstream(d, a, &a->upstreams[i], u);
        }
    }
    emit_missing(d, '+', b, a);
}

static void
emit_service(diff_t *d, char sign, const conf_service_t *s)
{
    char addr[ADDR_STRLEN];

    emit_line(d, "%c service %s: %s", sign, s->name,
              addr_text(&s->addr, addr));
    emit_missing(d, sign, s, NULL);
}

static void
diff_site(diff_t *d, const conf_t *a, const conf_t *b)
{
    if (strcmp(a->site, b->site) != 0) {
        emit_line(d, "~ site name: %s -> %s", a->site, b->site);
    }
    if (a->drain_ms != b->drain_ms) {
        emit_line(d, "~ site drain_ms: %u -> %u", a->drain_ms, b->drain_ms);
    }
}

int
conf_diff(const conf_t *old, const conf_t *new_,
          void (*line)(void *arg, const char *text), void *arg)
{
    static const conf_t none;
    diff_t d = {line, arg, 0};
    const conf_t *a = old != NULL ? old : &none;
    const conf_t *b = new_ != NULL ? new_ : &none;

    if (old != NULL && new_ != NULL) {
        diff_site(&d, a, b);
    }
    for (uint32_t i = 0; i < a->n_services; i++) {
        const conf_service_t *s = conf_find_service(b, a->services[i].name);
        if (s == NULL) {
            emit_service(&d, '-', &a->services[i]);
        }
        else {
            diff_service(&d, &a->services[i], s);
        }
    }
    for (uint32_t i = 0; i < b->n_services; i++) {
        if (conf_find_service(a, b->services[i].name) == NULL) {
            emit_service(&d, '+', &b->services[i]);
        }
    }
    return d.n;
}

/* ---- Step from one version to the next ---- */

static int
fail_address_moved(err_t *e, const char *what, const addr_t *a,
                   const char *from, const char *to)
{
    char addr[ADDR_STRLEN];

    return err_set(e, -EINVAL, "step check", "configuration",
                   "%s %s passes from service %s to %s in one step; expected "
                   "a version without it between",
                   what, addr_text(a, addr), from, to);
}

/* The version in force, indexed by address. */
typedef struct {
    const conf_t *conf;
    addr_index_t services, upstreams;
} old_index_t;

static void
old_index_close(old_index_t *o)
{
    addr_index_close(&o->services);
    addr_index_close(&o->upstreams);
}

static int
old_index_open(old_index_t *o, const conf_t *conf)
{
    size_t n = 0;

    *o = (old_index_t){.conf = conf};
    for (uint32_t i = 0; i < conf->n_services; i++) {
        n += conf->services[i].n_upstreams;
    }
    if (addr_index_open(&o->services, conf->n_services) < 0 ||
        addr_index_open(&o->upstreams, n) < 0) {
        old_index_close(o);
        return -ENOMEM;
    }
    for (uint32_t i = 0; i < conf->n_services; i++) {
        const conf_service_t *s = &conf->services[i];
        addr_index_add(&o->services, addr_id(&s->addr), i);
        for (uint32_t j = 0; j < s->n_upstreams; j++) {
            addr_index_add(&o->upstreams, s->upstreams[j].id, i);
        }
    }
    addr_index_sort(&o->services);
    addr_index_sort(&o->upstreams);
    return 0;
}

/* The name of the service of the address in P, or NULL. */
static const char *
service_at(const old_index_t *o, const addr_index_t *p, uint64_t id)
{
    int i = addr_index_find(p, id);

    return i >= 0 ? o->conf->services[i].name : NULL;
}

static int
check_upstream_step(const old_index_t *old, const conf_service_t *s,
                    const conf_upstream_t *u, err_t *e)
{
    const char *old_service = service_at(old, &old->services, u->id);

    if (old_service == NULL) {
        old_service = service_at(old, &old->upstreams, u->id);
        if (old_service == NULL || strcmp(old_service, s->name) == 0) {
            return 0;
        }
    }
    return fail_address_moved(e, "upstream", &u->addr, old_service, s->name);
}

/* Flows and upstreams identify a service by its address, so the rule for
 * upstreams' addresses applies to it too. */
static int
check_address_step(const old_index_t *old, const conf_service_t *s, err_t *e)
{
    uint64_t id = addr_id(&s->addr);
    const char *old_service = service_at(old, &old->services, id);

    if (old_service == NULL || strcmp(old_service, s->name) == 0) {
        old_service = service_at(old, &old->upstreams, id);
        if (old_service == NULL) {
            return 0;
        }
    }
    return fail_address_moved(e, "address", &s->addr, old_service, s->name);
}

static int
check_service_step(const old_index_t *old, const conf_service_t *s, err_t *e)
{
    int rc = check_address_step(old, s, e);

    for (uint32_t i = 0; rc == 0 && i < s->n_upstreams; i++) {
        rc = check_upstream_step(old, s, &s->upstreams[i], e);
    }
    return rc;
}

int
conf_check_step(const conf_t *old, const conf_t *new_, err_t *e)
{
    old_index_t index;
    int rc = 0;

    if (old == NULL) {
        return 0;
    }
    if (strcmp(old->site, new_->site) != 0) {
        return err_set(e, -EINVAL, "step check", "configuration",
                       "site %s is in force, but the files are for site %s; "
                       "expected the same site",
                       old->site, new_->site);
    }
    if (old_index_open(&index, old) < 0) {
        return err_set(e, -ENOMEM, "step check", "configuration",
                       "Out of memory.");
    }
    for (uint32_t i = 0; rc == 0 && i < new_->n_services; i++) {
        rc = check_service_step(&index, &new_->services[i], e);
    }
    old_index_close(&index);
    return rc;
}
