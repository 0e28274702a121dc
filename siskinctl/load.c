/* siskinctl load: the load of services, as an instance sums it up. */
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define CELL_LEN 64

/* The sum of an array of rates by priority; other values count as 0. */
static double
sum(const json_t *rates)
{
    double x = 0;
    const json_t *rate;
    size_t i;

    json_array_foreach(rates, i, rate)
    {
        x += json_number_value(rate);
    }
    return x;
}

/* Rates by priority as "12.0/3.5/0.0/0.0". */
static json_t *
rates_text(const json_t *rates)
{
    char text[CELL_LEN] = "";
    size_t used = 0, i;
    const json_t *rate;

    json_array_foreach(rates, i, rate)
    {
        if (used < sizeof(text)) {
            used +=
                (size_t)snprintf(text + used, sizeof(text) - used, "%s%.1f",
                                 i > 0 ? "/" : "", json_number_value(rate));
        }
    }
    return json_string(text);
}

/* A cell of the table: rates with one decimal, other values as they are. */
static json_t *
cell(json_t *value)
{
    char text[CELL_LEN];

    if (json_is_array(value) && json_is_number(json_array_get(value, 0))) {
        return rates_text(value);
    }
    if (json_is_real(value)) {
        snprintf(text, sizeof(text), "%.1f", json_real_value(value));
        return json_string(text);
    }
    return json_incref(value);
}

/* A service's row, with the share of new flows that is refused. */
static json_t *
service_row(json_t *service)
{
    double opened = sum(json_object_get(service, "opened"));
    double refused = sum(json_object_get(service, "refused"));
    json_t *out = json_object(), *value;
    char text[CELL_LEN];
    const char *key;

    json_object_foreach(service, key, value)
    {
        json_object_set_new(out, key, cell(value));
    }
    if (opened > 0) {
        snprintf(text, sizeof(text), "%.0f%%", 100 * refused / opened);
        json_object_set_new(out, "refused_share", json_string(text));
    }
    return out;
}

static json_t *
table(json_t *load)
{
    json_t *out = json_copy(load), *rows = json_array(), *service;
    const json_t *services = json_object_get(load, "services");
    size_t i;

    json_array_foreach(services, i, service)
    {
        json_array_append_new(rows, service_row(service));
    }
    json_object_set_new(out, "services", rows);
    return out;
}

static ctl_exit_t
print(const options_t *o, json_t *load)
{
    json_t *t;

    if (o->json) {
        ctl_print_json(json_incref(load));
        return CTL_OK;
    }
    t = table(load);
    ctl_print_table(t);
    json_decref(t);
    return CTL_OK;
}

static bool
is_off(const json_t *load)
{
    const char *sharing = json_string_value(json_object_get(load, "sharing"));

    return sharing != NULL && strcmp(sharing, "none") == 0;
}

ctl_exit_t
cmd_load(const options_t *o)
{
    json_t *load;
    long status = 0;
    err_t e;
    ctl_exit_t code = ctl_get_admin(o, "/load", "load", &status, &load);

    if (code != CTL_OK) {
        return code;
    }
    if (status == STATUS_OK && json_is_object(load) && !is_off(load)) {
        code = print(o, load);
    }
    else if (status == STATUS_NOT_FOUND || is_off(load)) {
        err_set(&e, -ENOENT, "load", o->admin,
                "the instance doesn't share load (share_load)");
        code = ctl_fail(o, CTL_NEGATIVE, &e);
    }
    else {
        err_set(&e, -EPROTO, "load", o->admin,
                "answered with status %ld; expected 200 and a JSON object",
                status);
        code = ctl_fail(o, CTL_NEGATIVE, &e);
    }
    json_decref(load);
    return code;
}
