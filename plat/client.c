/* Calls to the platform: keys, leases and the list of instances. */
#include "plat/http.h"
#include "plat/store.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000
/* A path that is cut off exceeds a URL's length, and http_call() refuses it.
 */
#define PATH_LEN HTTP_URL_MAX

struct plat {
    http_t *http;
    uint64_t calls, bytes;
    part_cache_t cache;
};

plat_t *
plat_new(const char *url)
{
    plat_t *p = calloc(1, sizeof(*p));

    if (p == NULL) {
        return NULL;
    }
    p->http = http_new(url);
    if (p->http == NULL) {
        free(p);
        return NULL;
    }
    return p;
}

void
plat_free(plat_t *p)
{
    if (p != NULL) {
        cache_clear(&p->cache);
        http_free(p->http);
        free(p);
    }
}

part_cache_t *
plat_cache(plat_t *p)
{
    return &p->cache;
}

uint64_t
plat_calls(const plat_t *p)
{
    return p->calls;
}

uint64_t
plat_bytes(const plat_t *p)
{
    return p->bytes;
}

static int
call(plat_t *p, const http_call_t *c, http_reply_t *r, err_t *e)
{
    int rc = http_call(p->http, c, r, e);

    p->calls++;
    p->bytes += c->body != NULL ? strlen(c->body) : 0;
    p->bytes += rc == 0 ? strlen(r->body) : 0;
    return rc;
}

static int
protocol_error(const plat_t *p, const http_call_t *c, const http_reply_t *r,
               err_t *e)
{
    return err_set(e, -EPROTO, c->step, http_url(p->http),
                   "answered with status %ld, \"%.80s\"; expected the "
                   "platform's JSON",
                   r->status, r->body);
}

static uint64_t
parse_revision(const json_t *body)
{
    return (uint64_t)json_integer_value(json_object_get(body, "revision"));
}

/* ---- Keys ---- */

static int
parse_value(const json_t *body, char **value, uint64_t *revision)
{
    const char *s = json_string_value(json_object_get(body, "value"));

    if (s == NULL) {
        return -EPROTO;
    }
    *value = strdup(s);
    *revision = parse_revision(body);
    return *value != NULL ? 0 : -ENOMEM;
}

int
plat_get(plat_t *p, const char *key, ms_t wait_ms, uint64_t after,
         char **value, uint64_t *revision, err_t *e)
{
    char path[PATH_LEN];
    http_call_t c = {.path = path,
                     .timeout_ms = CALL_TIMEOUT_MS + wait_ms,
                     .step = wait_ms > 0 ? "platform watch" : "platform read"};
    http_reply_t r;
    json_t *body;
    int rc;

    *value = NULL;
    *revision = 0;
    if (wait_ms > 0) {
        snprintf(path, sizeof(path), "/v1/kv/%s?wait=%lld&after=%llu", key,
                 (long long)wait_ms, (unsigned long long)after);
    }
    else {
        snprintf(path, sizeof(path), "/v1/kv/%s", key);
    }
    rc = call(p, &c, &r, e);
    if (rc < 0) {
        return rc;
    }
    if (r.status == 404) {
        return 0;
    }
    body = r.status == 200 ? json_loads(r.body, 0, NULL) : NULL;
    rc = parse_value(body, value, revision);
    json_decref(body);
    return rc < 0 ? protocol_error(p, &c, &r, e) : 0;
}

int
plat_put(plat_t *p, const char *key, const char *value, uint64_t cas,
         uint64_t *revision, err_t *e)
{
    char path[PATH_LEN];
    http_call_t c = {.method = HTTP_PUT,
                     .path = path,
                     .body = value,
                     .timeout_ms = CALL_TIMEOUT_MS,
                     .step = "platform write"};
    http_reply_t r;
    json_t *body;
    int rc;

    snprintf(path, sizeof(path), "/v1/kv/%s?cas=%llu", key,
             (unsigned long long)cas);
    rc = call(p, &c, &r, e);
    if (rc < 0) {
        return rc;
    }
    if (r.status != 200 && r.status != 409) {
        return protocol_error(p, &c, &r, e);
    }
    body = json_loads(r.body, 0, NULL);
    *revision = parse_revision(body);
    json_decref(body);
    if (r.status == 409) {
        return err_set(e, -EAGAIN, c.step, http_url(p->http),
                       "another write came first (revision %llu; expected "
                       "%llu)",
                       (unsigned long long)*revision, (unsigned long long)cas);
    }
    return 0;
}

/* ---- Leases ---- */

static int
lease_call(plat_t *p, http_call_t *c, const char *name, const char *owner,
           ms_t ms, err_t *e)
{
    char path[PATH_LEN];
    char *n = http_escape(p->http, name, strlen(name));
    char *o = http_escape(p->http, owner, strlen(owner));
    http_reply_t r;
    int rc = -ENOMEM;

    c->path = path;
    c->timeout_ms = CALL_TIMEOUT_MS;
    if (n != NULL && o != NULL) {
        snprintf(path, sizeof(path), "/v1/lease/%s?owner=%s&ms=%lld", n, o,
                 (long long)ms);
        rc = call(p, c, &r, e);
    }
    http_escape_free(n);
    http_escape_free(o);
    if (rc < 0) {
        return rc;
    }
    if (r.status == 409) {
        return err_set(e, -EBUSY, c->step, http_url(p->http),
                       "another holds lease %s: %.80s", name, r.body);
    }
    return r.status == 200 ? 0 : protocol_error(p, c, &r, e);
}

int
plat_lease(plat_t *p, const char *name, const char *owner, ms_t ms, err_t *e)
{
    http_call_t c = {.method = HTTP_POST, .step = "platform lease"};

    return lease_call(p, &c, name, owner, ms, e);
}

int
plat_lease_release(plat_t *p, const char *name, const char *owner, err_t *e)
{
    http_call_t c = {.method = HTTP_DELETE, .step = "platform lease drop"};

    return lease_call(p, &c, name, owner, 0, e);
}

/* ---- Instances ---- */

static bool
copy_text(const json_t *o, const char *key, char *to, size_t cap)
{
    const char *s = json_string_value(json_object_get(o, key));

    if (s == NULL || strlen(s) >= cap) {
        return false;
    }
    strcpy(to, s);
    return true;
}

static bool
copy_addr(const json_t *o, const char *key, addr_t *to)
{
    const char *s = json_string_value(json_object_get(o, key));

    return s != NULL && addr_parse(to, s) == 0;
}

static bool
parse_instance(plat_instance_t *i, const json_t *o)
{
    const char *state = json_string_value(json_object_get(o, "state"));

    *i = (plat_instance_t){0};
    i->leaving = state != NULL && strcmp(state, "leaving") == 0;
    return copy_text(o, "name", i->name, sizeof(i->name)) &&
           copy_text(o, "data_centre", i->data_centre,
                     sizeof(i->data_centre)) &&
           copy_text(o, "service_ip", i->service_ip, sizeof(i->service_ip)) &&
           copy_addr(o, "return", &i->return_addr) &&
           copy_addr(o, "peer", &i->peer_addr) &&
           copy_addr(o, "bulk", &i->bulk_addr);
}

/* A malformed entry is skipped: one bad registration must not hide the
 * others. */
int
plat_instances(plat_t *p, plat_instance_t *out, size_t cap, size_t *n,
               err_t *e)
{
    const http_call_t c = {.path = "/v1/instances",
                           .timeout_ms = CALL_TIMEOUT_MS,
                           .step = "platform list"};
    const json_t *list, *entry;
    http_reply_t r;
    json_t *body;
    size_t at;
    int rc = call(p, &c, &r, e);

    *n = 0;
    if (rc < 0) {
        return rc;
    }
    body = r.status == 200 ? json_loads(r.body, 0, NULL) : NULL;
    list = json_object_get(body, "instances");
    if (!json_is_array(list)) {
        json_decref(body);
        return protocol_error(p, &c, &r, e);
    }
    json_array_foreach(list, at, entry)
    {
        if (*n < cap && parse_instance(&out[*n], entry)) {
            (*n)++;
        }
    }
    json_decref(body);
    return 0;
}

int
plat_register(plat_t *p, const plat_instance_t *i, err_t *e)
{
    char ret[ADDR_STRLEN], peer[ADDR_STRLEN], bulk[ADDR_STRLEN];
    http_call_t c = {.method = HTTP_POST,
                     .path = "/v1/instances",
                     .timeout_ms = CALL_TIMEOUT_MS,
                     .step = "platform register"};
    http_reply_t r;
    json_t *o;
    char *text;
    int rc;

    o = json_pack("{ss ss ss ss ss ss ss}", "name", i->name, "data_centre",
                  i->data_centre, "state", i->leaving ? "leaving" : "live",
                  "service_ip", i->service_ip, "return",
                  addr_text(&i->return_addr, ret), "peer",
                  addr_text(&i->peer_addr, peer), "bulk",
                  addr_text(&i->bulk_addr, bulk));
    text = json_dumps(o, JSON_COMPACT);
    json_decref(o);
    if (text == NULL) {
        return err_set(e, -EINVAL, c.step, i->name,
                       "the names are not valid UTF-8; expected text");
    }
    c.body = text;
    rc = call(p, &c, &r, e);
    free(text);
    if (rc < 0) {
        return rc;
    }
    return r.status == 200 ? 0 : protocol_error(p, &c, &r, e);
}

int
plat_deregister(plat_t *p, const char *name, err_t *e)
{
    char path[PATH_LEN];
    const http_call_t c = {.method = HTTP_DELETE,
                           .path = path,
                           .timeout_ms = CALL_TIMEOUT_MS,
                           .step = "platform deregister"};
    http_reply_t r;
    int rc;

    snprintf(path, sizeof(path), "/v1/instances/%s", name);
    rc = call(p, &c, &r, e);
    if (rc < 0) {
        return rc;
    }
    return r.status == 200 || r.status == 404 ? 0
                                              : protocol_error(p, &c, &r, e);
}
