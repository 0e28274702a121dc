/* Platform stand-in: one mutex protects all state, a condition variable wakes
 * the watches. */
#include "standin/platform.h"
#include "standin/rest.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define KEYS_MAX 256
#define LEASES_MAX 256
#define INSTANCES_MAX 1024
#define EVENTS_MAX 4096
#define WAIT_MAX_MS 60000
#define NAME_MAX_LEN 128

typedef enum {
    CALL_READ,
    CALL_WATCH,
    CALL_WRITE,
    CALL_LEASE,
    CALL_LIST,
    CALL_REGISTER,
    CALL_COUNT
} call_t;

static const char *const call_names[CALL_COUNT] = {
    "read", "watch", "write", "lease", "list", "register"};

/* A key with its value and its previous value (for stale reads). */
typedef struct {
    char key[NAME_MAX_LEN];
    char *value, *previous;
    uint64_t revision;
} kv_t;

typedef struct {
    char name[NAME_MAX_LEN], owner[NAME_MAX_LEN];
    ms_t expires_at;
} lease_t;

/* An instance with its last registration. */
typedef struct {
    char name[NAME_MAX_LEN];
    json_t *record;
    ms_t renewed_at;
} registration_t;

/* A change not yet visible in the list; RECORD is NULL for a removal. */
typedef struct {
    ms_t at;
    char name[NAME_MAX_LEN];
    json_t *record;
} event_t;

struct si_platform {
    si_platform_params_t params;
    si_rest_t *rest;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping, outage;
    int64_t slow_ms, lose_answers, stale_reads;
    uint64_t calls[CALL_COUNT];
    kv_t kv[KEYS_MAX];
    size_t n_kv;
    lease_t lease[LEASES_MAX];
    size_t n_lease;
    registration_t reg[INSTANCES_MAX];
    size_t n_reg;
    event_t event[EVENTS_MAX];
    size_t n_event;
    json_t *listed; /* the delayed list: name to record */
};

static const si_reply_t no_answer = {.status = 0};

static si_reply_t
reply(int status, json_t *body)
{
    return (si_reply_t){.status = status, .body = body};
}

/* The answer to an applied write; dropped while lose_answers is set. */
static si_reply_t
write_reply(si_platform_t *p, int status, json_t *body)
{
    if (p->lose_answers > 0) {
        p->lose_answers--;
        json_decref(body);
        return no_answer;
    }
    return reply(status, body);
}

/* ---- Keys ---- */

static kv_t *
kv_find(si_platform_t *p, const char *key)
{
    for (size_t i = 0; i < p->n_kv; i++) {
        if (strcmp(p->kv[i].key, key) == 0) {
            return &p->kv[i];
        }
    }
    return NULL;
}

static kv_t *
kv_add(si_platform_t *p, const char *key)
{
    kv_t *kv;

    if (p->n_kv == KEYS_MAX || strlen(key) >= NAME_MAX_LEN) {
        return NULL;
    }
    kv = &p->kv[p->n_kv++];
    *kv = (kv_t){0};
    snprintf(kv->key, sizeof(kv->key), "%s", key);
    return kv;
}

/* Waits until the key's revision exceeds AFTER, or WAIT ms have passed. */
static void
kv_wait(si_platform_t *p, const char *key, ms_t wait, uint64_t after)
{
    struct timespec deadline;
    kv_t *kv;

    wait = wait > WAIT_MAX_MS ? WAIT_MAX_MS : wait;
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_sec += wait / 1000;
    deadline.tv_nsec += wait % 1000 * 1000000;
    if (deadline.tv_nsec >= 1000000000) {
        deadline.tv_sec++;
        deadline.tv_nsec -= 1000000000;
    }
    while (!p->stopping && !p->outage) {
        kv = kv_find(p, key);
        if (kv != NULL && kv->revision > after) {
            return;
        }
        if (pthread_cond_timedwait(&p->changed, &p->lock, &deadline) != 0) {
            return;
        }
    }
}

static si_reply_t
kv_get(si_platform_t *p, const si_request_t *r, const char *key)
{
    ms_t wait = si_query_int(r, "wait", 0);
    const kv_t *kv;

    if (wait > 0) {
        kv_wait(p, key, wait, (uint64_t)si_query_int(r, "after", 0));
    }
    if (p->outage || p->stopping) {
        return no_answer;
    }
    kv = kv_find(p, key);
    if (kv == NULL) {
        return reply(404, json_pack("{sI}", "revision", (json_int_t)0));
    }
    if (p->stale_reads > 0 && kv->previous != NULL) {
        p->stale_reads--;
        return reply(200, json_pack("{sssI}", "value", kv->previous,
                                    "revision", (json_int_t)kv->revision - 1));
    }
    return reply(200, json_pack("{sssI}", "value", kv->value, "revision",
                                (json_int_t)kv->revision));
}

static si_reply_t
kv_put(si_platform_t *p, const si_request_t *r, const char *key)
{
    uint64_t cas = (uint64_t)si_query_int(r, "cas", 0);
    kv_t *kv = kv_find(p, key);
    uint64_t have = kv != NULL ? kv->revision : 0;

    if (cas != have) {
        return reply(409, json_pack("{sI}", "revision", (json_int_t)have));
    }
    if (kv == NULL && (kv = kv_add(p, key)) == NULL) {
        return si_reply_error(507, "limit of keys reached");
    }
    free(kv->previous);
    kv->previous = kv->value;
    kv->value = strdup(r->body);
    kv->revision++;
    pthread_cond_broadcast(&p->changed);
    return write_reply(
        p, 200, json_pack("{sI}", "revision", (json_int_t)kv->revision));
}

/* ---- Leases ---- */

static lease_t *
lease_find(si_platform_t *p, const char *name)
{
    for (size_t i = 0; i < p->n_lease; i++) {
        if (strcmp(p->lease[i].name, name) == 0) {
            return &p->lease[i];
        }
    }
    if (p->n_lease == LEASES_MAX || strlen(name) >= NAME_MAX_LEN) {
        return NULL;
    }
    p->lease[p->n_lease] = (lease_t){0};
    snprintf(p->lease[p->n_lease].name, NAME_MAX_LEN, "%s", name);
    return &p->lease[p->n_lease++];
}

static si_reply_t
lease_call(si_platform_t *p, const si_request_t *r, const char *name)
{
    const char *owner = si_query(r, "owner");
    ms_t duration_ms = si_query_int(r, "ms", 0);
    lease_t *l = lease_find(p, name);
    ms_t now = clock_now();
    bool held;

    if (l == NULL || owner == NULL || *owner == '\0') {
        return si_reply_error(400, "a lease needs a name and owner=");
    }
    held = l->owner[0] != '\0' && l->expires_at > now;
    if (held && strcmp(l->owner, owner) != 0) {
        return reply(409, json_pack("{ss}", "owner", l->owner));
    }
    if (strcmp(r->method, "DELETE") == 0) {
        l->owner[0] = '\0';
        return write_reply(p, 200, json_object());
    }
    snprintf(l->owner, sizeof(l->owner), "%s", owner);
    l->expires_at = now + duration_ms;
    return write_reply(
        p, 200,
        json_pack("{sssI}", "owner", owner, "ms", (json_int_t)duration_ms));
}

/* ---- Instances ---- */

static void
event_add(si_platform_t *p, ms_t at, const char *name, json_t *record)
{
    event_t *ev;

    if (p->n_event == EVENTS_MAX) {
        return;
    }
    ev = &p->event[p->n_event++];
    ev->at = at;
    ev->record = json_incref(record);
    memmove(ev->name, name, strlen(name) + 1);
}

static void
reg_remove(si_platform_t *p, registration_t *g, ms_t at)
{
    event_add(p, at, g->name, NULL);
    json_decref(g->record);
    *g = p->reg[--p->n_reg];
}

/* Removes the instances whose registration has expired. */
static void
reg_expire(si_platform_t *p, ms_t now)
{
    size_t i = 0;

    while (i < p->n_reg) {
        ms_t end = p->reg[i].renewed_at + p->params.expire_ms;
        if (end > now) {
            i++;
            continue;
        }
        reg_remove(p, &p->reg[i], end);
    }
}

static registration_t *
reg_find(si_platform_t *p, const char *name)
{
    for (size_t i = 0; i < p->n_reg; i++) {
        if (strcmp(p->reg[i].name, name) == 0) {
            return &p->reg[i];
        }
    }
    return NULL;
}

/* Applies the changes that are visible in the list at NOW. */
static void
list_update(si_platform_t *p, ms_t now)
{
    size_t kept = 0;

    reg_expire(p, now);
    for (size_t i = 0; i < p->n_event; i++) {
        event_t *ev = &p->event[i];
        if (ev->at + p->params.list_lag_ms > now) {
            p->event[kept++] = *ev;
            continue;
        }
        if (ev->record == NULL) {
            json_object_del(p->listed, ev->name);
            continue;
        }
        json_object_set_new(p->listed, ev->name, ev->record);
    }
    p->n_event = kept;
}

static si_reply_t
list_get(si_platform_t *p)
{
    json_t *array = json_array();
    const char *name;
    json_t *record;

    list_update(p, clock_now());
    json_object_foreach(p->listed, name, record)
    {
        json_array_append(array, record);
    }
    return reply(200, json_pack("{so}", "instances", array));
}

static si_reply_t
register_call(si_platform_t *p, const si_request_t *r)
{
    json_t *record = json_loadb(r->body, r->body_len, 0, NULL);
    const char *name = json_string_value(json_object_get(record, "name"));
    ms_t now = clock_now();
    registration_t *g;

    if (name == NULL || strlen(name) >= NAME_MAX_LEN) {
        json_decref(record);
        return si_reply_error(400, "an instance needs a name");
    }
    list_update(p, now);
    g = reg_find(p, name);
    if (g == NULL && p->n_reg == INSTANCES_MAX) {
        json_decref(record);
        return si_reply_error(507, "limit of instances reached");
    }
    if (g == NULL) {
        g = &p->reg[p->n_reg++];
        *g = (registration_t){0};
        snprintf(g->name, sizeof(g->name), "%s", name);
    }
    if (!json_equal(g->record, record)) {
        event_add(p, now, name, record);
    }
    json_decref(g->record);
    g->record = record;
    g->renewed_at = now;
    return write_reply(p, 200, json_object());
}

static si_reply_t
deregister_call(si_platform_t *p, const char *name)
{
    ms_t now = clock_now();
    registration_t *g;

    list_update(p, now);
    g = reg_find(p, name);
    if (g != NULL) {
        reg_remove(p, g, now);
    }
    return write_reply(p, 200, json_object());
}

/* ---- Fault switches and counters ---- */

static si_reply_t
switch_call(si_platform_t *p, const si_request_t *r)
{
    p->outage = si_query_int(r, "outage", p->outage) != 0;
    p->slow_ms = si_query_int(r, "slow_ms", p->slow_ms);
    p->lose_answers = si_query_int(r, "lose_answers", p->lose_answers);
    p->stale_reads = si_query_int(r, "stale_reads", p->stale_reads);
    pthread_cond_broadcast(&p->changed);
    return reply(200, json_pack("{sbsIsIsI}", "outage", p->outage, "slow_ms",
                                (json_int_t)p->slow_ms, "lose_answers",
                                (json_int_t)p->lose_answers, "stale_reads",
                                (json_int_t)p->stale_reads));
}

static si_reply_t
stats_call(si_platform_t *p)
{
    json_t *o = json_object();

    for (int i = 0; i < CALL_COUNT; i++) {
        json_object_set_new(o, call_names[i],
                            json_integer((json_int_t)p->calls[i]));
    }
    return reply(200, o);
}

/* ---- Requests ---- */

/* Returns the part of PATH after PREFIX, or NULL when PATH has no such prefix
 * or nothing after it. */
static const char *
after_prefix(const char *path, const char *prefix)
{
    size_t n = strlen(prefix);

    return strncmp(path, prefix, n) == 0 && path[n] ? path + n : NULL;
}

static call_t
call_kind(const si_request_t *r)
{
    bool get = strcmp(r->method, "GET") == 0;

    if (after_prefix(r->path, "/v1/kv/") != NULL) {
        if (!get) {
            return CALL_WRITE;
        }
        return si_query(r, "wait") != NULL ? CALL_WATCH : CALL_READ;
    }
    if (after_prefix(r->path, "/v1/lease/") != NULL) {
        return CALL_LEASE;
    }
    return get ? CALL_LIST : CALL_REGISTER;
}

static si_reply_t
instances_call(si_platform_t *p, const si_request_t *r)
{
    const char *name = after_prefix(r->path, "/v1/instances/");

    if (name != NULL && strcmp(r->method, "DELETE") == 0) {
        return deregister_call(p, name);
    }
    return strcmp(r->method, "POST") == 0 ? register_call(p, r) : list_get(p);
}

static si_reply_t
dispatch(si_platform_t *p, const si_request_t *r)
{
    const char *rest;

    if ((rest = after_prefix(r->path, "/v1/kv/")) != NULL) {
        return strcmp(r->method, "PUT") == 0 ? kv_put(p, r, rest)
                                             : kv_get(p, r, rest);
    }
    if ((rest = after_prefix(r->path, "/v1/lease/")) != NULL) {
        return lease_call(p, r, rest);
    }
    if (strncmp(r->path, "/v1/instances", 13) == 0) {
        return instances_call(p, r);
    }
    return si_reply_error(404, "no such resource");
}

/* Handles the calls of the fabric and of the tests, which are neither counted
 * nor affected by injected faults. */
static bool
handle_exempt_call(si_platform_t *p, const si_request_t *r, si_reply_t *out)
{
    if (strcmp(r->path, "/v1/switch") == 0) {
        *out = switch_call(p, r);
        return true;
    }
    if (strcmp(r->path, "/v1/stats") == 0) {
        *out = stats_call(p);
        return true;
    }
    if (strcmp(r->path, "/v1/fabric") == 0) {
        *out = list_get(p);
        return true;
    }
    return false;
}

/* Fails a call during an outage.  The fabric's health checks don't depend on
 * the key-value service and still find the live instances, so an attempted
 * registration counts for the fabric's list. */
static si_reply_t
call_in_outage(si_platform_t *p, const si_request_t *r)
{
    si_reply_t lost;

    if (strncmp(r->path, "/v1/instances", 13) == 0) {
        lost = instances_call(p, r);
        json_decref(lost.body);
    }
    return no_answer;
}

static void
sleep_ms(int64_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};

    nanosleep(&ts, NULL);
}

static si_reply_t
on_call(void *arg, const si_request_t *r)
{
    si_platform_t *p = arg;
    si_reply_t out;
    int64_t slow;

    pthread_mutex_lock(&p->lock);
    if (!handle_exempt_call(p, r, &out)) {
        p->calls[call_kind(r)]++;
        slow = p->slow_ms;
        if (slow > 0) {
            pthread_mutex_unlock(&p->lock);
            sleep_ms(slow);
            pthread_mutex_lock(&p->lock);
        }
        out = p->outage ? call_in_outage(p, r) : dispatch(p, r);
    }
    pthread_mutex_unlock(&p->lock);
    return out;
}

si_platform_t *
si_platform_open(const si_platform_params_t *params, err_t *e)
{
    si_platform_t *p = calloc(1, sizeof(*p));
    pthread_condattr_t attr;

    if (p == NULL) {
        err_set(e, -ENOMEM, "platform start", "", "out of memory");
        return NULL;
    }
    p->params = *params;
    p->listed = json_object();
    pthread_mutex_init(&p->lock, NULL);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&p->changed, &attr);
    pthread_condattr_destroy(&attr);
    p->rest = si_rest_open(params->port, on_call, p, e);
    if (p->rest == NULL) {
        si_platform_close(p);
        return NULL;
    }
    return p;
}

uint16_t
si_platform_port(const si_platform_t *p)
{
    return si_rest_port(p->rest);
}

void
si_platform_close(si_platform_t *p)
{
    if (p == NULL) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    p->stopping = true;
    pthread_cond_broadcast(&p->changed);
    pthread_mutex_unlock(&p->lock);
    si_rest_close(p->rest);
    for (size_t i = 0; i < p->n_kv; i++) {
        free(p->kv[i].value);
        free(p->kv[i].previous);
    }
    for (size_t i = 0; i < p->n_reg; i++) {
        json_decref(p->reg[i].record);
    }
    for (size_t i = 0; i < p->n_event; i++) {
        json_decref(p->event[i].record);
    }
    json_decref(p->listed);
    pthread_cond_destroy(&p->changed);
    pthread_mutex_destroy(&p->lock);
    free(p);
}
