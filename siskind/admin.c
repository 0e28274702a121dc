/* The admin duty: HTTP for operators (libmicrohttpd), on a loopback address.
 * Each answer is formatted from a snapshot made by the decide duty. */
#include "kern/reply.h"
#include "siskind/siskind.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define QUERY_TIMEOUT_MS 2000
#define CONNECTIONS_MAX 16
#define IDLE_S 5

#define JSON "application/json"
#define PROMETHEUS "text/plain; version=0.0.4"

static enum MHD_Result
fail(struct MHD_Connection *c, unsigned status, const char *text)
{
    return http_reply(c, status, JSON, strdup(text));
}

/* Sends a query to decide and waits for at most QUERY_TIMEOUT_MS. */
static query_t *
query_decide(const daemon_t *d, query_kind_t kind)
{
    query_t *q = query_new(kind);
    control_t *ctl = control_new(MSG_QUERY);

    if (q == NULL || ctl == NULL) {
        free(ctl);
        if (q != NULL) {
            query_release(q);
            query_release(q);
        }
        return NULL;
    }
    ctl->query = q;
    if (control_post(kern_find(d->kern, "decide"), ctl) < 0 ||
        query_wait(q, QUERY_TIMEOUT_MS) < 0) {
        query_release(q);
        return NULL;
    }
    return q;
}

typedef enum { PAGE_METRICS, PAGE_STATUS, PAGE_FLOWS, PAGE_CHANGE } page_t;

typedef struct {
    const char *method, *path;
    query_kind_t query;
    page_t page;
} route_t;

static const route_t routes[] = {
    {"GET", "/metrics", QUERY_STATUS, PAGE_METRICS},
    {"GET", "/status", QUERY_STATUS, PAGE_STATUS},
    {"GET", "/flows", QUERY_STATUS, PAGE_FLOWS},
    {"POST", "/drain", QUERY_DRAIN, PAGE_CHANGE},
    {"POST", "/undrain", QUERY_UNDRAIN, PAGE_CHANGE},
};

static enum MHD_Result
answer(struct MHD_Connection *c, const daemon_t *d, const route_t *route)
{
    query_t *q = query_decide(d, route->query);
    enum MHD_Result rc = MHD_NO;

    if (q == NULL) {
        return fail(c, MHD_HTTP_SERVICE_UNAVAILABLE,
                    "{\"error\":\"decide is busy: ask again\"}\n");
    }
    switch (route->page) {
    case PAGE_METRICS:
        rc = http_reply(c, MHD_HTTP_OK, PROMETHEUS,
                        report_metrics(d, &q->view));
        break;
    case PAGE_FLOWS:
        rc = http_reply(c, MHD_HTTP_OK, JSON, report_flows(&q->view));
        break;
    case PAGE_STATUS:
        rc = http_reply(c, MHD_HTTP_OK, JSON, report_status(d, &q->view));
        break;
    case PAGE_CHANGE:
        rc = http_reply(c, q->rc < 0 ? MHD_HTTP_CONFLICT : MHD_HTTP_OK, JSON,
                        report_status(d, &q->view));
        break;
    }
    query_release(q);
    return rc;
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *c, const char *path,
           const char *method, const char *version, const char *body,
           size_t *body_len, void **state)
{
    bool path_found = false;

    (void)version;
    (void)body;
    if (!http_request_complete(body_len, state)) {
        return MHD_YES;
    }
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (strcmp(path, routes[i].path) != 0) {
            continue;
        }
        if (strcmp(method, routes[i].method) == 0) {
            return answer(c, arg, &routes[i]);
        }
        path_found = true;
    }
    return path_found
               ? fail(c, MHD_HTTP_METHOD_NOT_ALLOWED,
                      "{\"error\":\"another method is expected\"}\n")
               : fail(c, MHD_HTTP_NOT_FOUND,
                      "{\"error\":\"expected /metrics, /status, /flows, "
                      "/drain or /undrain\"}\n");
}

void
admin_run(duty_t *self, void *daemon)
{
    daemon_t *d = daemon;
    struct sockaddr_storage ss;
    struct MHD_Daemon *http;
    char text[ADDR_STRLEN];
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD;

    addr_to_sock(&d->settings.admin_addr, &ss);
    if (ss.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    http = MHD_start_daemon(
        flags, 0, NULL, NULL, on_request, d, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&ss, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_END);
    if (http == NULL) {
        log_line(LVL_ERROR, "admin", "Can't listen. peer=%s error=\"%s\"",
                 addr_text(&d->settings.admin_addr, text), strerror(errno));
        return;
    }
    while (!duty_stopping(self)) {
        duty_wait(self, NULL, 0, 1000);
    }
    MHD_stop_daemon(http);
}
