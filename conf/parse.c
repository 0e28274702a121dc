/* Parses base and overlays into a draft, checks it and builds a conf_t. */
#include "conf/model.h"
#include "wire/wire.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define WEIGHT_DEFAULT 10

static const conf_service_t service_default = {
    .urgent_slots = 0,
    .queue = 4,
    .retry_percent = 10,
    .caller_share = 64,
    .request_ms = 10000,
    .flow_idle_ms = 600000,
    .upload_idle_ms = 60000,
    .feed_silent_ms = 30000,
    .come_back_s = 2,
};

static const field_t site_fields[] = {
    NAME_FIELD("name", REQUIRED, draft_t, site),
    U32_FIELD("drain_ms", OPTIONAL, draft_t, drain_ms, 1000, 3600000,
              "milliseconds"),
};

#define LIMIT_FIELDS(required)                                                \
    {                                                                         \
        U16_FIELD("slots", required, limits_t, slots, 1, SLOTS_MAX,           \
                  "requests"),                                                \
            U32_FIELD("connections", required, limits_t, connections, 1,      \
                      CONNECTIONS_MAX, "flows"),                              \
    }
static const field_t base_limits[] = LIMIT_FIELDS(REQUIRED);
static const field_t overlay_limits[] = LIMIT_FIELDS(OPTIONAL);

typedef struct {
    char name[NAME_LEN];
} name_field_t;

static const field_t data_centre_field[] = {
    NAME_FIELD("data_centre", REQUIRED, name_field_t, name)};
static const field_t service_name_field[] = {
    NAME_FIELD("service", REQUIRED, name_field_t, name)};

static const char *const base_tables[] = {"site", "service", NULL};
static const char *const overlay_tables[] = {"service", "upstream", NULL};

/* ---- The base file ---- */

static int
read_site(draft_t *d, const origin_t *o, const toml_node_t *root)
{
    const field_set_t set = {site_fields, FIELD_COUNT(site_fields), d};
    const toml_node_t *site = toml_get(root, "site");

    if (site == NULL) {
        return toml_fail(o->e, o->file, 1,
                         "[site] is missing; expected a table with a name");
    }
    return fields_read(o, site, &set, 1, NULL);
}

static int
read_service(service_draft_t *s, const origin_t *o, const char *name, int line,
             const toml_node_t *table)
{
    const field_set_t sets[] = {
        {service_fields, n_service_fields, &s->s},
        {base_limits, FIELD_COUNT(base_limits), &s->limits},
    };

    s->s = service_default;
    s->line = line;
    if (!name_valid(name)) {
        return toml_fail(o->e, o->file, line,
                         "service \"%.40s\" has an invalid name; "
                         "expected 1 to %d lower-case letters, digits and '-'",
                         name, NAME_LEN - 1);
    }
    strcpy(s->s.name, name);
    return fields_read(o, table, sets, FIELD_COUNT(sets), NULL);
}

static int
read_services(draft_t *d, const origin_t *o, const toml_node_t *root)
{
    const toml_node_t *table = toml_get(root, "service");
    size_t n = table != NULL ? toml_size(table) : 0;
    int rc;

    if (n == 0 || toml_kind(table) != TOML_TABLE) {
        return toml_fail(o->e, o->file, table != NULL ? toml_line(table) : 1,
                         "no services; expected [service.NAME] tables");
    }
    d->services = calloc(n, sizeof(*d->services));
    if (d->services == NULL) {
        return err_set(o->e, -ENOMEM, "check", o->file, "Out of memory.");
    }
    for (size_t i = 0; i < n; i++) {
        rc = read_service(&d->services[i], o, toml_key(table, i),
                          toml_key_line(table, i), toml_at(table, i));
        if (rc < 0) {
            return rc;
        }
        d->n_services++;
    }
    return 0;
}

static int
read_base(draft_t *d, const origin_t *o, const toml_node_t *root)
{
    int rc = fields_read(o, root, NULL, 0, base_tables);

    if (rc == 0) {
        rc = read_site(d, o, root);
    }
    return rc < 0 ? rc : read_services(d, o, root);
}

/* ---- An overlay ---- */

static int
by_name(const void *name, const void *draft)
{
    return strcmp(name, ((const service_draft_t *)draft)->s.name);
}

static int
find_service(const draft_t *d, const char *name)
{
    const service_draft_t *s = bsearch(name, d->services, d->n_services,
                                       sizeof(*d->services), by_name);

    return s != NULL ? (int)(s - d->services) : -ENOENT;
}

static int
fail_no_service(const origin_t *o, int line, const char *name)
{
    return toml_fail(o->e, o->file, line,
                     "service \"%.40s\" is not in the base file; expected one "
                     "that is",
                     name);
}

/* Updates LIMITS, which has an entry per service with the base's values. */
static int
read_limits(const draft_t *d, const origin_t *o, const toml_node_t *root,
            limits_t *limits)
{
    const toml_node_t *table = toml_get(root, "service");
    int rc;

    if (table == NULL) {
        return 0;
    }
    if (toml_kind(table) != TOML_TABLE) {
        return toml_fail(o->e, o->file, toml_line(table),
                         "service is %s; expected [service.NAME] tables",
                         toml_kind_text(table));
    }
    for (size_t i = 0; i < toml_size(table); i++) {
        int s = find_service(d, toml_key(table, i));
        if (s < 0) {
            return fail_no_service(o, toml_key_line(table, i),
                                   toml_key(table, i));
        }
        const field_set_t set = {overlay_limits, FIELD_COUNT(overlay_limits),
                                 &limits[s]};
        rc = fields_read(o, toml_at(table, i), &set, 1, NULL);
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

static upstream_draft_t *
add_upstream(draft_t *d)
{
    upstream_draft_t *grown = array_grow(d->upstreams, &d->cap_upstreams,
                                         d->n_upstreams + 1, sizeof(*grown));

    if (grown == NULL) {
        return NULL;
    }
    d->upstreams = grown;
    grown = &d->upstreams[d->n_upstreams++];
    *grown = (upstream_draft_t){0};
    return grown;
}

static int
read_upstream(draft_t *d, const origin_t *o, const char *data_centre,
              const limits_t *limits, const toml_node_t *table)
{
    name_field_t service = {""};
    conf_upstream_t u = {.weight = WEIGHT_DEFAULT};
    const field_set_t sets[] = {
        {service_name_field, 1, &service},
        {upstream_fields, n_upstream_fields, &u},
    };
    upstream_draft_t *draft;
    int rc, s;

    rc = fields_read(o, table, sets, FIELD_COUNT(sets), NULL);
    if (rc < 0) {
        return rc;
    }
    s = find_service(d, service.name);
    if (s < 0) {
        return fail_no_service(o, toml_line(toml_get(table, "service")),
                               service.name);
    }
    draft = add_upstream(d);
    if (draft == NULL) {
        return err_set(o->e, -ENOMEM, "check", o->file, "Out of memory.");
    }
    u.id = addr_id(&u.addr);
    u.slots = u.slots > 0 ? u.slots : limits[s].slots;
    u.connections = u.connections > 0 ? u.connections : limits[s].connections;
    strcpy(u.data_centre, data_centre);
    *draft = (upstream_draft_t){.u = u,
                                .service = (uint32_t)s,
                                .file = o->file,
                                .line = toml_line(table)};
    d->services[s].s.n_upstreams++;
    return 0;
}

static int
read_upstreams(draft_t *d, const origin_t *o, const char *data_centre,
               const limits_t *limits, const toml_node_t *root)
{
    const toml_node_t *list = toml_get(root, "upstream");
    int rc;

    if (list == NULL || toml_size(list) == 0) {
        return toml_fail(o->e, o->file, 1,
                         "data centre %s has no upstreams; expected "
                         "[[upstream]] tables",
                         data_centre);
    }
    if (toml_kind(list) != TOML_ARRAY) {
        return toml_fail(o->e, o->file, toml_line(list),
                         "upstream is %s; expected [[upstream]] tables",
                         toml_kind_text(list));
    }
    for (size_t i = 0; i < toml_size(list); i++) {
        rc = read_upstream(d, o, data_centre, limits, toml_at(list, i));
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

static int
check_new_data_centre(const draft_t *d, const origin_t *o, const char *name,
                      int line)
{
    for (uint32_t i = 0; i < d->n_upstreams; i++) {
        if (strcmp(d->upstreams[i].u.data_centre, name) == 0) {
            return toml_fail(o->e, o->file, line,
                             "data centre %s is also in %s; expected one "
                             "overlay for each",
                             name, d->upstreams[i].file);
        }
    }
    return 0;
}

static int
read_overlay(draft_t *d, const origin_t *o, const toml_node_t *root)
{
    name_field_t centre = {""};
    const field_set_t set = {data_centre_field, 1, &centre};
    limits_t *limits;
    int rc;

    rc = fields_read(o, root, &set, 1, overlay_tables);
    if (rc == 0) {
        rc = check_new_data_centre(d, o, centre.name,
                                   toml_line(toml_get(root, "data_centre")));
    }
    if (rc < 0) {
        return rc;
    }
    limits = calloc(d->n_services, sizeof(*limits));
    if (limits == NULL) {
        return err_set(o->e, -ENOMEM, "check", o->file, "Out of memory.");
    }
    for (uint32_t i = 0; i < d->n_services; i++) {
        limits[i] = d->services[i].limits;
    }
    rc = read_limits(d, o, root, limits);
    if (rc == 0) {
        rc = read_upstreams(d, o, centre.name, limits, root);
    }
    free(limits);
    return rc;
}

/* ---- Base and overlays together ---- */

static int
read_source(draft_t *d, const conf_source_t *src, bool base, err_t *e)
{
    const origin_t o = {src->file, e};
    toml_doc_t *doc = toml_doc_parse(src->file, src->text, e);
    int rc;

    if (doc == NULL) {
        return -EINVAL;
    }
    if (base) {
        rc = read_base(d, &o, toml_doc_root(doc));
    }
    else {
        rc = read_overlay(d, &o, toml_doc_root(doc));
    }
    toml_doc_free(doc);
    return rc;
}

static int
read_all(draft_t *d, const conf_source_t *src, size_t n, err_t *e)
{
    size_t len = 0;
    int rc;

    for (size_t i = 0; i < n; i++) {
        len += strlen(src[i].text);
    }
    if (n == 0 || len > CONF_TEXT_MAX) {
        return err_set(e, -EINVAL, "check", n > 0 ? src[0].file : "-",
                       "the files have %zu bytes in total; expected 1 to %d",
                       len, CONF_TEXT_MAX);
    }
    for (size_t i = 0; i < n; i++) {
        rc = read_source(d, &src[i], i == 0, e);
        if (rc < 0) {
            return rc;
        }
    }
    return draft_check(d, e);
}

/* The upstreams of the draft are sorted by service. */
static conf_t *
assemble(const draft_t *d)
{
    conf_t *c = calloc(1, sizeof(*c));
    const upstream_draft_t *next = d->upstreams;

    if (c == NULL) {
        return NULL;
    }
    strcpy(c->site, d->site);
    c->drain_ms = d->drain_ms;
    c->services = calloc(d->n_services, sizeof(*c->services));
    if (c->services == NULL) {
        conf_free(c);
        return NULL;
    }
    for (; c->n_services < d->n_services; c->n_services++) {
        conf_service_t *s = &c->services[c->n_services];
        *s = d->services[c->n_services].s;
        s->upstreams = calloc(s->n_upstreams, sizeof(*s->upstreams));
        if (s->upstreams == NULL) {
            conf_free(c);
            return NULL;
        }
        for (uint32_t i = 0; i < s->n_upstreams; i++) {
            s->upstreams[i] = (next++)->u;
        }
    }
    return c;
}

conf_t *
conf_parse(const conf_source_t *src, size_t n, err_t *e)
{
    draft_t d = {.base_file = n > 0 ? src[0].file : "-", .drain_ms = 30000};
    conf_t *c = NULL;

    if (read_all(&d, src, n, e) == 0) {
        c = assemble(&d);
        if (c == NULL) {
            err_set(e, -ENOMEM, "check", src[0].file, "Out of memory.");
        }
    }
    free(d.services);
    free(d.upstreams);
    if (c != NULL) {
        c->hash = conf_text_hash(src, n);
    }
    return c;
}

bool
conf_is_overlay(const char *text, char name[NAME_LEN])
{
    toml_doc_t *doc = toml_doc_parse("-", text, NULL);
    const toml_node_t *n;
    bool found = false;

    if (doc == NULL) {
        return false;
    }
    n = toml_get(toml_doc_root(doc), "data_centre");
    if (n != NULL && toml_kind(n) == TOML_STRING) {
        found = name_valid(toml_string(n));
    }
    if (found) {
        strcpy(name, toml_string(n));
    }
    toml_doc_free(doc);
    return found;
}
