/* siskinctl report: summary of instances' logs over their whole period: load
 * of each instance and upstream, resets by reason, reachability changes of
 * upstreams, when versions came into force, and the time from start to serving
 * of instances. */
#include "siskinctl/ctl.h"
#include "siskinctl/logs.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Tables of rows by name; each row is an object of counters. */
typedef struct {
    json_t *instances, *upstreams, *terminations, *reach_changes, *versions,
        *seconds;
    json_t *starting; /* started instances without a version yet */
    ms_t from, to;
} report_t;

/* ---- Counting ---- */

static json_t *
row(json_t *table, const char *name)
{
    json_t *r = json_object_get(table, name);

    if (r == NULL) {
        r = json_object();
        json_object_set_new(table, name, r);
    }
    return r;
}

static void
set_counter(json_t *r, const char *field, json_int_t value)
{
    json_object_set_new(r, field, json_integer(value));
}

static json_int_t
get_counter(const json_t *r, const char *field)
{
    return json_integer_value(json_object_get(r, field));
}

static void
increment(json_t *r, const char *field)
{
    set_counter(r, field, get_counter(r, field) + 1);
}

static json_int_t
field_integer(const log_entry_t *x, const char *field)
{
    const char *v = log_field(x, field);

    return v != NULL ? (json_int_t)strtoll(v, NULL, 10) : 0;
}

static const char *
field_text(const log_entry_t *x, const char *field)
{
    const char *v = log_field(x, field);

    return v != NULL ? v : "-";
}

static json_t *
second_row(report_t *r, const log_entry_t *x)
{
    char name[32];

    snprintf(name, sizeof(name), "%lld",
             (long long)((x->time_ms - r->from) / 1000));
    return row(r->seconds, name);
}

/* Increments FIELD of the instance, the second and the upstream, if any. */
static void
count_load(report_t *r, const log_entry_t *x, const char *field)
{
    increment(row(r->instances, x->instance), field);
    increment(second_row(r, x), field);
    if (log_field(x, "upstream") != NULL) {
        increment(row(r->upstreams, field_text(x, "upstream")), field);
    }
}

/* The first version after a start is left out of the spread: the instance may
 * receive an old version long after others did, which would distort it. */
static void
count_version(report_t *r, const log_entry_t *x)
{
    bool is_starting = json_object_del(r->starting, x->instance) == 0;
    ms_t time_ms = x->time_ms - r->from;
    json_t *v;

    set_counter(row(r->instances, x->instance), "version",
                field_integer(x, "version"));
    if (is_starting) {
        return;
    }
    v = row(r->versions, field_text(x, "version"));
    if (json_object_get(v, "first_ms") == NULL) {
        set_counter(v, "first_ms", time_ms);
    }
    set_counter(v, "last_ms", time_ms);
    set_counter(v, "spread_ms", time_ms - get_counter(v, "first_ms"));
    increment(v, "instances");
}

static void
count_serving(report_t *r, const log_entry_t *x)
{
    json_t *i = row(r->instances, x->instance);
    json_int_t start_ms = field_integer(x, "since_start_ms");

    increment(i, "starts");
    if (start_ms > get_counter(i, "slowest_start_ms")) {
        set_counter(i, "slowest_start_ms", start_ms);
    }
}

static void
count_entry(report_t *r, const log_entry_t *x)
{
    if (log_matches(x, "request", "Begins")) {
        count_load(r, x, "requests");
    }
    else if (log_matches(x, "flow", "Opening")) {
        count_load(r, x, "openings");
    }
    else if (log_matches(x, "flow", "Reset") ||
             log_matches(x, "flow", "Dropped")) {
        count_load(r, x, x->message[0] == 'R' ? "resets" : "dropped");
        increment(row(r->terminations, field_text(x, "reason")), "times");
    }
    else if (strcmp(x->part, "reach") == 0) {
        json_t *change = row(r->reach_changes, field_text(x, "why"));
        json_object_set_new(change, "is", json_string(field_text(x, "is")));
        increment(change, "times");
        increment(row(r->upstreams, field_text(x, "upstream")), "beliefs");
    }
    else if (log_matches(x, "routes", "In force")) {
        count_version(r, x);
    }
    else if (log_matches(x, "main", "Started")) {
        json_object_set_new(r->starting, x->instance, json_true());
    }
    else if (log_matches(x, "packets", "Serving")) {
        count_serving(r, x);
    }
}

/* ---- Printing ---- */

/* Returns TABLE as an array of rows, each with its key in the field NAME. */
static json_t *
rows(const json_t *table, const char *name)
{
    json_t *list = json_array(), *r;
    const char *key;

    json_object_foreach((json_t *)table, key, r)
    {
        json_t *out = json_pack("{ss}", name, key);
        json_object_update(out, r);
        json_array_append_new(list, out);
    }
    return list;
}

static json_t *
summary(const report_t *r, const logs_t *l)
{
    return json_pack("{sI sI sI sI so so so so so}", "milliseconds",
                     (json_int_t)(r->to - r->from), "lines", (json_int_t)l->n,
                     "unreadable", (json_int_t)l->unreadable, "upstreams_seen",
                     (json_int_t)json_object_size(r->upstreams), "instances",
                     rows(r->instances, "instance"), "endings",
                     rows(r->terminations, "reason"), "beliefs",
                     rows(r->reach_changes, "why"), "versions",
                     rows(r->versions, "version"), "upstreams",
                     rows(r->upstreams, "upstream"));
}

/* ---- Plots ---- */

static const char plots[] =
    "# gnuplot report.gp: draws report.svg\n"
    "set terminal svg size 900,1100 background rgb 'white'\n"
    "set output 'report.svg'\n"
    "set multiplot layout 4,1\n"
    "set yrange [0:*]\n"
    "set key outside top right horizontal\n"
    "set ylabel 'a second'\n"
    "set xlabel 'seconds'\n"
    "set title 'Openings, requests, resets'\n"
    "plot 'seconds.dat' using 1:2 with lines title 'openings', \\\n"
    "     '' using 1:3 with lines title 'requests', \\\n"
    "     '' using 1:4 with impulses title 'resets'\n"
    "set title 'Requests by upstream'\n"
    "set ylabel 'requests'\n"
    "set xlabel 'upstreams'\n"
    "unset xtics\n"
    "set style fill solid 0.6\n"
    "plot 'upstreams.dat' using 0:3 with boxes notitle\n"
    "set title 'From the first to the last instance with a version'\n"
    "set ylabel 'ms'\n"
    "set xlabel 'version'\n"
    "set xtics\n"
    "plot 'versions.dat' using 1:4 with impulses notitle\n"
    "set title 'From start to serving, the slowest of each instance'\n"
    "set xlabel 'instances'\n"
    "unset xtics\n"
    "plot 'instances.dat' using 0:5 with points notitle\n"
    "unset multiplot\n";

typedef struct {
    const char *file, *key;
    const char *field[5];
} plot_data_t;

static const plot_data_t plot_data[] = {
    {"seconds.dat", "second", {"openings", "requests", "resets"}},
    {"upstreams.dat", "upstream", {"openings", "requests", "beliefs"}},
    {"versions.dat", "version", {"first_ms", "last_ms", "spread_ms"}},
    {"instances.dat",
     "instance",
     {"openings", "requests", "resets", "slowest_start_ms"}},
};

/* Returns TABLE as gnuplot data with the fields of P.  The caller frees the
 * text; NULL when out of memory. */
static char *
data_text(const plot_data_t *p, const json_t *table)
{
    char *out = NULL;
    size_t len = 0;
    FILE *f = open_memstream(&out, &len);
    const char *key;
    json_t *r;

    if (f == NULL) {
        return NULL;
    }
    fprintf(f, "# %s", p->key);
    for (size_t i = 0; p->field[i] != NULL; i++) {
        fprintf(f, " %s", p->field[i]);
    }
    json_object_foreach((json_t *)table, key, r)
    {
        fprintf(f, "\n%s", key);
        for (size_t i = 0; p->field[i] != NULL; i++) {
            fprintf(f, " %lld", (long long)get_counter(r, p->field[i]));
        }
    }
    fprintf(f, "\n");
    fclose(f);
    return out;
}

static int
write_plots(const options_t *o, const report_t *r, err_t *e)
{
    const json_t *table[] = {r->seconds, r->upstreams, r->versions,
                             r->instances};
    int rc = ctl_write_file(o, "report", "report.gp", plots, e);

    for (size_t i = 0; i < sizeof(table) / sizeof(table[0]) && rc == 0; i++) {
        char *data = data_text(&plot_data[i], table[i]);
        rc = data != NULL
                 ? ctl_write_file(o, "report", plot_data[i].file, data, e)
                 : err_set(e, -ENOMEM, "report", "memory", "out of memory");
        free(data);
    }
    return rc;
}

/* ---- The command ---- */

static ctl_exit_t
print_report(const options_t *o, const report_t *r, const logs_t *l)
{
    json_t *out = summary(r, l);
    err_t e = {0};

    if (o->json) {
        ctl_print_json(out);
    }
    else {
        ctl_print_table(out);
        json_decref(out);
    }
    if (o->output_dir != NULL && write_plots(o, r, &e) < 0) {
        return ctl_fail(o, CTL_USAGE, &e);
    }
    return CTL_OK;
}

ctl_exit_t
cmd_report(const options_t *o)
{
    report_t r = {
        .instances = json_object(),
        .upstreams = json_object(),
        .terminations = json_object(),
        .reach_changes = json_object(),
        .versions = json_object(),
        .seconds = json_object(),
        .starting = json_object(),
    };
    ctl_exit_t rc;
    logs_t logs;
    err_t e;

    if (logs_read(&logs, o->files, o->n_files, &e) < 0) {
        return ctl_fail(o, CTL_USAGE, &e);
    }
    if (logs.n > 0) {
        r.from = logs.entry[0].time_ms;
        r.to = logs.entry[logs.n - 1].time_ms;
    }
    for (size_t i = 0; i < logs.n; i++) {
        count_entry(&r, &logs.entry[i]);
    }
    rc = print_report(o, &r, &logs);
    json_decref(r.instances);
    json_decref(r.upstreams);
    json_decref(r.terminations);
    json_decref(r.reach_changes);
    json_decref(r.versions);
    json_decref(r.seconds);
    json_decref(r.starting);
    logs_free(&logs);
    return rc;
}
