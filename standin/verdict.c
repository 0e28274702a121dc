/* Matches the outcomes reported to callers with the requests executed by
 * upstreams, by payload ID. */
#include "standin/verdict.h"
#include "standin/field.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_MAX 64

/* IDS maps each payload ID to {"runs": n, "blocks": n, "outcome": text}. */
struct si_verdict {
    json_t *ids;
    uint64_t misdelivered, crossed, broken;
};

si_verdict_t *
si_verdict_new(void)
{
    si_verdict_t *v = calloc(1, sizeof(*v));

    if (v != NULL) {
        v->ids = json_object();
    }
    return v;
}

void
si_verdict_free(si_verdict_t *v)
{
    if (v != NULL) {
        json_decref(v->ids);
        free(v);
    }
}

static json_t *
find_or_add(si_verdict_t *v, const char *id)
{
    json_t *e = json_object_get(v->ids, id);

    if (e == NULL) {
        e = json_pack("{si}", "runs", 0);
        json_object_set_new(v->ids, id, e);
    }
    return e;
}

/* Increments WHAT, "runs" or "blocks", of the request in LINE. */
static void
on_run(si_verdict_t *v, const char *line, const char *what)
{
    char id[VALUE_MAX];
    json_t *e;

    if (!si_field(id, sizeof(id), line, "id=") || strcmp(id, "-") == 0) {
        return; /* idempotent: may run again */
    }
    e = find_or_add(v, id);
    json_object_set_new(
        e, what,
        json_integer(json_integer_value(json_object_get(e, what)) + 1));
}

static void
on_post(si_verdict_t *v, const char *line)
{
    char id[VALUE_MAX], outcome[VALUE_MAX];

    if (si_field(id, sizeof(id), line, "id=") &&
        si_field(outcome, sizeof(outcome), line, "outcome=")) {
        json_object_set_new(find_or_add(v, id), "outcome",
                            json_string(outcome));
    }
}

static bool
starts_with(const char *line, const char *word)
{
    return strncmp(line, word, strlen(word)) == 0;
}

void
si_verdict_line(si_verdict_t *v, const char *line)
{
    if (starts_with(line, "run ")) {
        on_run(v, line, "runs");
    }
    else if (starts_with(line, "block ")) {
        on_run(v, line, "blocks");
    }
    else if (starts_with(line, "post ")) {
        on_post(v, line);
    }
    v->misdelivered += starts_with(line, "misdelivered ");
    v->crossed += starts_with(line, "crossed ");
    v->broken += starts_with(line, "broken ");
}

typedef enum {
    FAULT_NONE,
    FAULT_EXECUTED_TWICE,
    FAULT_FALSE_NOT_RUN,
    FAULT_NEVER_RAN,
    FAULT_KINDS
} fault_t;

static const char *const fault_names[FAULT_KINDS] = {
    "", "executed twice", "not run but ran", "answered but never ran"};

static bool
outcome_is(const json_t *e, const char *name)
{
    const char *outcome = json_string_value(json_object_get(e, "outcome"));

    return outcome != NULL && strcmp(outcome, name) == 0;
}

static bool
ran(const json_t *e)
{
    return json_integer_value(json_object_get(e, "runs")) > 0;
}

static bool
reported_not_run(const json_t *e)
{
    return outcome_is(e, "refused") || outcome_is(e, "conflict");
}

/* Returns the fault of a request. */
static fault_t
fault(const json_t *e)
{
    json_int_t runs = json_integer_value(json_object_get(e, "runs"));
    json_int_t blocks = json_integer_value(json_object_get(e, "blocks"));

    if (runs > 1) {
        return FAULT_EXECUTED_TWICE;
    }
    if (runs + blocks > 0 && reported_not_run(e)) {
        return FAULT_FALSE_NOT_RUN;
    }
    if (runs + blocks == 0 && outcome_is(e, "answered")) {
        return FAULT_NEVER_RAN;
    }
    return FAULT_NONE;
}

void
si_verdict_count(const si_verdict_t *v, si_verdict_counts_t *out)
{
    uint64_t n[FAULT_KINDS] = {0};
    const char *id;
    json_t *e;

    *out = (si_verdict_counts_t){.misdelivered = v->misdelivered,
                                 .crossed = v->crossed,
                                 .broken = v->broken};
    json_object_foreach(v->ids, id, e)
    {
        out->posts += json_object_get(e, "outcome") != NULL;
        out->unknown += outcome_is(e, "unknown");
        out->restarted_after_run += ran(e) && outcome_is(e, "restart");
        out->unanswered += outcome_is(e, "timeout");
        out->runs += ran(e);
        n[fault(e)]++;
    }
    out->executed_twice = n[FAULT_EXECUTED_TWICE];
    out->false_not_run = n[FAULT_FALSE_NOT_RUN];
    out->never_ran = n[FAULT_NEVER_RAN];
}

void
si_verdict_faults(const si_verdict_t *v, FILE *out)
{
    const char *id;
    json_t *e;

    json_object_foreach(v->ids, id, e)
    {
        fault_t f = fault(e);
        if (f != FAULT_NONE) {
            fprintf(out, "%s: %s\n", id, fault_names[f]);
        }
    }
}
