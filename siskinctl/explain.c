/* siskinctl explain: what instances' logs tell of a request, a flow or an
 * upstream, in the order of time, and what follows from it.
 *
 * A request is led back to its flows, flows to their upstreams, and upstreams
 * to what was believed of them around that time. */
#include "siskinctl/ctl.h"
#include "siskinctl/logs.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Beliefs are told from so long before the first line of the matter until so
 * long after its last: probing an upstream takes less than a second, and news
 * may be 3 s old. */
#define AROUND_MS 5000
#define NAMES_MAX 256

/* Names that belong to the matter: flows, upstreams or instances.  Past
 * NAMES_MAX they are left out, and the end says so. */
typedef struct {
    size_t n;
    const char *name[NAMES_MAX];
} names_t;

typedef struct {
    const logs_t *logs;
    const char *id;
    names_t flows, upstreams, instances;
    bool *told; /* of each entry: it belongs to the matter */
    ms_t first, last;
    size_t n;
} matter_t;

static bool
holds(const names_t *s, const char *name)
{
    for (size_t i = 0; name != NULL && i < s->n; i++) {
        if (strcmp(s->name[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
note(names_t *s, const char *name)
{
    if (name != NULL && s->n < NAMES_MAX && !holds(s, name)) {
        s->name[s->n++] = name;
    }
}

/* Entry I belongs to the matter itself. */
static void
take(matter_t *m, size_t i)
{
    const log_entry_t *x = &m->logs->entry[i];

    note(&m->flows, log_field(x, "flow"));
    note(&m->upstreams, log_field(x, "upstream"));
    note(&m->instances, x->instance);
    if (m->n == 0 || x->at < m->first) {
        m->first = x->at;
    }
    if (m->n == 0 || x->at > m->last) {
        m->last = x->at;
    }
    m->n += !m->told[i];
    m->told[i] = true;
}

static bool
is_named(const matter_t *m, const log_entry_t *x)
{
    return log_field_is(x, "request", m->id) ||
           log_field_is(x, "flow", m->id) ||
           log_field_is(x, "upstream", m->id);
}

/* Lines of the flows that a request took. */
static void
follow_flows(matter_t *m)
{
    for (size_t i = 0; i < m->logs->n; i++) {
        const log_entry_t *x = &m->logs->entry[i];
        const char *request = log_field(x, "request");
        bool others = request != NULL && strcmp(request, m->id) != 0;
        if (holds(&m->flows, log_field(x, "flow")) && !others) {
            take(m, i);
        }
    }
}

/* Whether X tells of a belief that may have decided. */
static bool
is_belief(const matter_t *m, const log_entry_t *x)
{
    if (x->at < m->first - AROUND_MS || x->at > m->last + AROUND_MS ||
        !holds(&m->instances, x->instance)) {
        return false;
    }
    if (strcmp(x->part, "reach") == 0 || strcmp(x->part, "upstreams") == 0) {
        return holds(&m->upstreams, log_field(x, "upstream"));
    }
    return strcmp(x->part, "flow") != 0 && strcmp(x->part, "request") != 0;
}

static void
print(const matter_t *m, const log_entry_t *x)
{
    printf("%+8lld ms  %s %s: %s", (long long)(x->at - m->first), x->instance,
           x->part, x->sentence);
    for (uint32_t i = 0; i < x->n_fields; i++) {
        const char *v = x->field[i].value;
        const char *quote = strchr(v, ' ') != NULL ? "\"" : "";
        printf(" %s=%s%s%s", x->field[i].name, quote, v, quote);
    }
    printf("\n");
}

static size_t
count(const matter_t *m, const char *part, const char *sentence)
{
    size_t n = 0;

    for (size_t i = 0; i < m->logs->n; i++) {
        n += m->told[i] && log_says(&m->logs->entry[i], part, sentence);
    }
    return n;
}

/* The last line of the matter that says how it ended, or NULL. */
static const log_entry_t *
last_end(const matter_t *m)
{
    for (size_t i = m->logs->n; i-- > 0;) {
        const log_entry_t *x = &m->logs->entry[i];
        if (m->told[i] &&
            (log_says(x, "flow", "Reset") || log_says(x, "flow", "Dropped"))) {
            return x;
        }
    }
    return NULL;
}

static const char *
or_more(const names_t *s)
{
    return s->n == NAMES_MAX ? " or more" : "";
}

static void
conclude(const matter_t *m)
{
    size_t begun = count(m, "request", "Begins");
    const log_entry_t *end = last_end(m);

    printf(
        "\n%zu lines in %lld ms; flows: %zu%s, upstreams: %zu%s, instances: "
        "%zu%s\n",
        m->n, (long long)(m->last - m->first), m->flows.n, or_more(&m->flows),
        m->upstreams.n, or_more(&m->upstreams), m->instances.n,
        or_more(&m->instances));
    printf("opened %zu, begun %zu, reset %zu, dropped %zu\n",
           count(m, "flow", "Opening"), begun, count(m, "flow", "Reset"),
           count(m, "flow", "Dropped"));
    if (end != NULL) {
        const char *reason = log_field(end, "reason");
        printf("last ended by %s: %s reason=%s\n", end->instance,
               end->sentence, reason != NULL ? reason : "-");
    }
    else if (begun > 0) {
        printf("passed on each time: no instance reset or dropped it, so its "
               "end is the upstream's or the network's\n");
    }
}

static ctl_exit_t
tell(matter_t *m, const options_t *o)
{
    err_t e;

    for (size_t i = 0; i < m->logs->n; i++) {
        if (is_named(m, &m->logs->entry[i])) {
            take(m, i);
        }
    }
    if (m->n == 0) {
        err_set(&e, -ENOENT, "explain", m->id,
                "no line names it; expected the id of a request or upstream, "
                "or a flow as IP:PORT>IP:PORT. Lines may have been left out: "
                "siskin_log_lines_limited_total");
        return ctl_fail(o, CTL_NO, &e);
    }
    if (!holds(&m->upstreams, m->id)) {
        follow_flows(m);
    }
    for (size_t i = 0; i < m->logs->n; i++) {
        if (m->told[i] || is_belief(m, &m->logs->entry[i])) {
            print(m, &m->logs->entry[i]);
        }
    }
    conclude(m);
    return CTL_OK;
}

ctl_exit_t
cmd_explain(const options_t *o)
{
    matter_t m = {.id = o->id};
    ctl_exit_t rc;
    logs_t logs;
    err_t e;

    if (logs_read(&logs, o->files, o->n_files, &e) < 0) {
        return ctl_fail(o, CTL_USAGE, &e);
    }
    m.logs = &logs;
    m.told = calloc(logs.n + 1, sizeof(*m.told));
    if (m.told == NULL) {
        err_set(&e, -ENOMEM, "explain", m.id, "out of memory");
        rc = ctl_fail(o, CTL_USAGE, &e);
    }
    else {
        rc = tell(&m, o);
    }
    free(m.told);
    logs_free(&logs);
    return rc;
}
