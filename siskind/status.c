/* /status and /flows: formats a snapshot as JSON. */
#include "siskind/siskind.h"

#include <jansson.h>
#include <string.h>

static json_t *
text_of(const addr_t *a)
{
    char text[ADDR_STRLEN];

    return json_string(addr_text(a, text));
}

static json_t *
peers_json(const view_t *v)
{
    json_t *list = json_array();

    for (size_t i = 0; i < v->n_peers; i++) {
        const member_t *m = &v->peers[i];
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:s, s:I}", "name",
                                        m->name, "data_centre", m->data_centre,
                                        "state", state_name(m->state),
                                        "version", (json_int_t)m->version));
    }
    return list;
}

static json_t *
upstreams_json(const view_t *v)
{
    json_t *list = json_array();

    for (size_t i = 0; i < v->n_upstreams; i++) {
        const core_upstream_t *u = &v->upstreams[i];
        json_array_append_new(
            list,
            json_pack("{s:s, s:o, s:s, s:b, s:b, s:b, s:I, s:I, s:I, s:I}",
                      "service", u->service, "address", text_of(&u->addr),
                      "data_centre", u->data_centre, "trusted", u->lease_valid,
                      "draining", u->draining, "ejected", u->ejected, "epoch",
                      (json_int_t)u->epoch, "in_flight",
                      (json_int_t)u->in_flight, "reported_busy",
                      (json_int_t)u->reported_busy, "flows",
                      (json_int_t)u->flows));
    }
    return list;
}

static json_t *
services_json(const view_t *v)
{
    json_t *list = json_array();

    for (size_t i = 0; i < v->n_services; i++) {
        const core_stats_t *s = &v->services[i].stats;
        json_t *requests = json_object();
        json_t *refused = json_object();
        for (int k = 0; k < CLASS_COUNT; k++) {
            json_object_set_new(requests, class_name((class_t)k),
                                json_integer((json_int_t)s->requests[k]));
        }
        for (int k = 0; k < REFUSE_COUNT; k++) {
            json_object_set_new(refused, refuse_name((refuse_t)k),
                                json_integer((json_int_t)s->refused[k]));
        }
        json_array_append_new(list, json_pack("{s:s, s:o, s:o}", "name",
                                              v->services[i].name, "requests",
                                              requests, "refused", refused));
    }
    return list;
}

static char *
to_text(json_t *j)
{
    char *text = json_dumps(j, JSON_INDENT(2));

    json_decref(j);
    return text;
}

static void
set_number(json_t *j, const char *name, uint64_t n)
{
    json_object_set_new(j, name, json_integer((json_int_t)n));
}

char *
report_flows(const view_t *v)
{
    json_t *j = json_object();

    set_number(j, "flows", v->flows);
    set_number(j, "hints", v->hints);
    set_number(j, "exchanges", v->exchanges);
    set_number(j, "pending_exchanges", v->pending_exchanges);
    set_number(j, "pending_pins", v->pending_pins);
    return to_text(j);
}

char *
report_status(const daemon_t *d, const view_t *v)
{
    json_t *j =
        json_pack("{s:s, s:s, s:s}", "instance", d->settings.name,
                  "data_centre", d->settings.data_centre, "state", v->state);

    set_number(j, "version", v->version);
    set_number(j, "version_age_ms", (uint64_t)v->version_age);
    set_number(j, "flows", v->flows);
    set_number(j, "hints", v->hints);
    set_number(j, "exchanges", v->exchanges);
    set_number(j, "pending_exchanges", v->pending_exchanges);
    set_number(j, "pending_pins", v->pending_pins);
    json_object_set_new(j, "peers", peers_json(v));
    json_object_set_new(j, "upstreams", upstreams_json(v));
    json_object_set_new(j, "services", services_json(v));
    return to_text(j);
}
