/* siskinctl explain: prints the log lines of a request, a flow or an upstream
 * in chronological order, with a summary.
 *
 * A request is traced to its flows, flows to their upstreams, and upstreams to
 * their reachability as instances saw it around that time. */
#include "siskinctl/ctl.h"
#include "siskinctl/logs.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Context lines are printed from this long before the first selected line to
 * this long after the last.  Probing an upstream takes less than a second, and
 * updates may be 3 s old. */
#define CONTEXT_MS 5000
#define NAME_SET_MAX 256

/* Flows, upstreams or instances of the selected lines.  Names beyond
 * NAME_SET_MAX are left out; the summary then prints "or more". */
typedef struct {
    size_t n;
    const char *name[NAME_SET_MAX];
} name_set_t;

typedef struct {
    const logs_t *logs;
    const char *id;
    name_set_t flows, upstreams, instances;
    bool *selected; /* by entry: mentions the ID, or belongs to its flows */
    ms_t first, last;
    size_t n;
} trace_t;

/* Meaning of reasons and of parts of the log that show why flows are refused
 * or placed under load. */
typedef struct {
    const char *name, *text;
} legend_t;

static const legend_t reasons[] = {
    {"overload", "the service's upstreams can't run it in time; it was "
                 "refused at once, and nothing ran"},
    {"caller-share", "under load the caller's address asks for more than its "
                     "share; nothing ran"},
    {"held-down", "an operator's request limits its priority or route "
                  "(siskinctl request list); nothing ran"},
};

static const legend_t parts[] = {
    {"load", "load of services, summed over the instances"},
    {"admit", "share of new flows that is admitted, by priority"},
    {"place", "where new flows go: data centres, weights of upstreams"},
    {"requests", "operators' requests, applied, ended and expired"},
};

#define N_REASONS (sizeof(reasons) / sizeof(reasons[0]))
#define N_PARTS (sizeof(parts) / sizeof(parts[0]))

static bool
name_set_has(const name_set_t *s, const char *name)
{
    for (size_t i = 0; name != NULL && i < s->n; i++) {
        if (strcmp(s->name[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
name_set_add(name_set_t *s, const char *name)
{
    if (name != NULL && s->n < NAME_SET_MAX && !name_set_has(s, name)) {
        s->name[s->n++] = name;
    }
}

/* Selects entry I and adds its names and time to the trace. */
static void
select_entry(trace_t *t, size_t i)
{
    const log_entry_t *x = &t->logs->entry[i];

    name_set_add(&t->flows, log_field(x, "flow"));
    name_set_add(&t->upstreams, log_field(x, "upstream"));
    name_set_add(&t->instances, x->instance);
    if (t->n == 0 || x->time_ms < t->first) {
        t->first = x->time_ms;
    }
    if (t->n == 0 || x->time_ms > t->last) {
        t->last = x->time_ms;
    }
    t->n += !t->selected[i];
    t->selected[i] = true;
}

static bool
mentions_id(const trace_t *t, const log_entry_t *x)
{
    return log_field_is(x, "request", t->id) ||
           log_field_is(x, "flow", t->id) ||
           log_field_is(x, "upstream", t->id);
}

/* Selects the lines of the known flows, except those of other requests. */
static void
select_flow_entries(trace_t *t)
{
    for (size_t i = 0; i < t->logs->n; i++) {
        const log_entry_t *x = &t->logs->entry[i];
        const char *request = log_field(x, "request");
        bool other_request = request != NULL && strcmp(request, t->id) != 0;
        if (name_set_has(&t->flows, log_field(x, "flow")) && !other_request) {
            select_entry(t, i);
        }
    }
}

/* Reports whether X may explain a decision: a line near the selected ones in
 * time, from one of their instances, about the state of the instance or of a
 * traced upstream. */
static bool
is_context(const trace_t *t, const log_entry_t *x)
{
    if (x->time_ms < t->first - CONTEXT_MS ||
        x->time_ms > t->last + CONTEXT_MS ||
        !name_set_has(&t->instances, x->instance)) {
        return false;
    }
    if (strcmp(x->part, "reach") == 0 || strcmp(x->part, "upstreams") == 0) {
        return name_set_has(&t->upstreams, log_field(x, "upstream"));
    }
    return strcmp(x->part, "flow") != 0 && strcmp(x->part, "request") != 0;
}

static void
print_entry(const trace_t *t, const log_entry_t *x)
{
    printf("%+8lld ms  %s %s: %s", (long long)(x->time_ms - t->first),
           x->instance, x->part, x->message);
    for (uint32_t i = 0; i < x->n_fields; i++) {
        const char *v = x->field[i].value;
        const char *quote = strchr(v, ' ') != NULL ? "\"" : "";
        printf(" %s=%s%s%s", x->field[i].name, quote, v, quote);
    }
    printf("\n");
}

static size_t
count_entries(const trace_t *t, const char *part, const char *message)
{
    size_t n = 0;

    for (size_t i = 0; i < t->logs->n; i++) {
        n += t->selected[i] && log_matches(&t->logs->entry[i], part, message);
    }
    return n;
}

/* Returns the last selected reset or drop, or NULL. */
static const log_entry_t *
last_termination(const trace_t *t)
{
    for (size_t i = t->logs->n; i-- > 0;) {
        const log_entry_t *x = &t->logs->entry[i];
        if (t->selected[i] && (log_matches(x, "flow", "Reset") ||
                               log_matches(x, "flow", "Dropped"))) {
            return x;
        }
    }
    return NULL;
}

static void
print_reason(const log_entry_t *end)
{
    for (size_t i = 0; i < N_REASONS; i++) {
        if (log_field_is(end, "reason", reasons[i].name)) {
            printf("reason %s: %s\n", reasons[i].name, reasons[i].text);
        }
    }
}

/* Explains the parts whose lines are printed. */
static void
print_parts(const trace_t *t)
{
    for (size_t k = 0; k < N_PARTS; k++) {
        for (size_t i = 0; i < t->logs->n; i++) {
            const log_entry_t *x = &t->logs->entry[i];
            if (strcmp(x->part, parts[k].name) == 0 && is_context(t, x)) {
                printf("lines of %s: %s\n", parts[k].name, parts[k].text);
                break;
            }
        }
    }
}

static const char *
overflow_suffix(const name_set_t *s)
{
    return s->n == NAME_SET_MAX ? " or more" : "";
}

static void
print_summary(const trace_t *t)
{
    size_t begun = count_entries(t, "request", "Begins");
    const log_entry_t *end = last_termination(t);

    printf(
        "\n%zu lines in %lld ms; flows: %zu%s, upstreams: %zu%s, instances: "
        "%zu%s\n",
        t->n, (long long)(t->last - t->first), t->flows.n,
        overflow_suffix(&t->flows), t->upstreams.n,
        overflow_suffix(&t->upstreams), t->instances.n,
        overflow_suffix(&t->instances));
    printf("opened %zu, begun %zu, reset %zu, dropped %zu\n",
           count_entries(t, "flow", "Opening"), begun,
           count_entries(t, "flow", "Reset"),
           count_entries(t, "flow", "Dropped"));
    if (end != NULL) {
        const char *reason = log_field(end, "reason");
        printf("last ended by %s: %s reason=%s\n", end->instance, end->message,
               reason != NULL ? reason : "-");
        print_reason(end);
    }
    else if (begun > 0) {
        printf("passed on each time: no instance reset or dropped it, so its "
               "end is the upstream's or the network's\n");
    }
    print_parts(t);
}

static ctl_exit_t
explain(trace_t *t, const options_t *o)
{
    err_t e;

    for (size_t i = 0; i < t->logs->n; i++) {
        if (mentions_id(t, &t->logs->entry[i])) {
            select_entry(t, i);
        }
    }
    if (t->n == 0) {
        err_set(&e, -ENOENT, "explain", t->id,
                "no line names it; expected the id of a request or upstream, "
                "or a flow as IP:PORT>IP:PORT. Lines may have been left out: "
                "siskin_log_lines_limited_total");
        return ctl_fail(o, CTL_NEGATIVE, &e);
    }
    if (!name_set_has(&t->upstreams, t->id)) {
        select_flow_entries(t);
    }
    for (size_t i = 0; i < t->logs->n; i++) {
        if (t->selected[i] || is_context(t, &t->logs->entry[i])) {
            print_entry(t, &t->logs->entry[i]);
        }
    }
    print_summary(t);
    return CTL_OK;
}

ctl_exit_t
cmd_explain(const options_t *o)
{
    trace_t t = {.id = o->id};
    ctl_exit_t rc;
    logs_t logs;
    err_t e;

    if (logs_read(&logs, o->files, o->n_files, &e) < 0) {
        return ctl_fail(o, CTL_USAGE, &e);
    }
    t.logs = &logs;
    t.selected = calloc(logs.n + 1, sizeof(*t.selected));
    if (t.selected == NULL) {
        err_set(&e, -ENOMEM, "explain", t.id, "out of memory");
        rc = ctl_fail(o, CTL_USAGE, &e);
    }
    else {
        rc = explain(&t, o);
    }
    free(t.selected);
    logs_free(&logs);
    return rc;
}
