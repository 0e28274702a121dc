/* siskinctl status, flows, drain and undrain: calls to the admin port of an
 * instance. */
#include "plat/http.h"
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000

static ctl_exit_t
fail_status(const options_t *o, const http_call_t *c, const http_reply_t *r)
{
    err_t e;

    err_set(&e, -EPROTO, c->step, o->admin, "answered with status %ld: %.160s",
            r->status, r->body);
    return ctl_fail(o, CTL_NEGATIVE, &e);
}

static ctl_exit_t
open_admin(const options_t *o, const char *step, http_t **h)
{
    char url[128];
    err_t e = {0};
    addr_t a;

    if (addr_parse(&a, o->admin) < 0) {
        err_set(&e, -EINVAL, step, o->admin,
                "is no address; expected IP:PORT");
        return ctl_fail(o, CTL_USAGE, &e);
    }
    snprintf(url, sizeof(url), "http://%s", o->admin);
    *h = http_new(url);
    if (*h == NULL) {
        err_set(&e, -ENOMEM, step, o->admin, "out of memory");
        return ctl_fail(o, CTL_UNREACHABLE, &e);
    }
    return CTL_OK;
}

/* A POST that was sent but not answered may or may not have taken effect. */
static ctl_exit_t
call_exit_code(const http_call_t *c, int rc)
{
    return c->method == HTTP_GET || rc == -ECONNREFUSED ? CTL_UNREACHABLE
                                                        : CTL_UNKNOWN;
}

/* Checks the reply of the instance and prints its JSON, if requested. */
static ctl_exit_t
print_reply(const options_t *o, const http_call_t *c, const http_reply_t *r,
            bool print)
{
    json_t *body = json_loads(r->body, 0, NULL);
    ctl_exit_t code = CTL_OK;

    if (r->status != 200 || (print && body == NULL)) {
        code = fail_status(o, c, r);
    }
    else if (o->json) {
        ctl_print_json(body != NULL ? json_incref(body) : json_object());
    }
    else if (print) {
        ctl_print_table(body);
    }
    json_decref(body);
    return code;
}

static ctl_exit_t
call(const options_t *o, const http_call_t *c, bool print)
{
    http_reply_t r;
    err_t e = {0};
    http_t *h;
    ctl_exit_t code = open_admin(o, c->step, &h);
    int rc;

    if (code != CTL_OK) {
        return code;
    }
    rc = http_call(h, c, &r, &e);
    if (rc < 0) {
        code = ctl_fail(o, call_exit_code(c, rc), &e);
    }
    else {
        code = print_reply(o, c, &r, print);
    }
    http_free(h);
    return code;
}

ctl_exit_t
ctl_get_admin(const options_t *o, const char *path, const char *step,
              long *status, json_t **body)
{
    const http_call_t c = {
        .path = path, .timeout_ms = CALL_TIMEOUT_MS, .step = step};
    http_reply_t r;
    err_t e = {0};
    http_t *h;
    ctl_exit_t code = open_admin(o, step, &h);

    *body = NULL;
    if (code != CTL_OK) {
        return code;
    }
    if (http_call(h, &c, &r, &e) < 0) {
        code = ctl_fail(o, CTL_UNREACHABLE, &e);
    }
    else {
        *status = r.status;
        *body = json_loads(r.body, 0, NULL);
    }
    http_free(h);
    return code;
}

ctl_exit_t
cmd_status(const options_t *o)
{
    const http_call_t c = {
        .path = "/status", .timeout_ms = CALL_TIMEOUT_MS, .step = "status"};

    return call(o, &c, true);
}

ctl_exit_t
cmd_flows(const options_t *o)
{
    const http_call_t c = {
        .path = "/flows", .timeout_ms = CALL_TIMEOUT_MS, .step = "flows"};

    return call(o, &c, true);
}

static ctl_exit_t
set_drain(const options_t *o, bool draining)
{
    const http_call_t c = {.method = HTTP_POST,
                           .path = draining ? "/drain" : "/undrain",
                           .timeout_ms = CALL_TIMEOUT_MS,
                           .step = draining ? "drain" : "undrain"};

    return o->upstream != NULL || o->data_centre != NULL
               ? ctl_drain_upstreams(o, draining)
               : call(o, &c, false);
}

ctl_exit_t
cmd_drain(const options_t *o)
{
    return set_drain(o, true);
}

ctl_exit_t
cmd_undrain(const options_t *o)
{
    return set_drain(o, false);
}
