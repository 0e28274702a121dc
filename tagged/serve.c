/* The serve duty: HTTP (libmicrohttpd).  Readiness has a listener of its own;
 * metrics, status and the replica are on the admin address. */
#include "tagged/tagged.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 64
#define IDLE_S 10
#define STACK_BYTES (128 * 1024)

#define TEXT "text/plain"
#define PROMETHEUS "text/plain; version=0.0.4"
#define JSON "application/json"

static enum MHD_Result
reply(struct MHD_Connection *c, unsigned status, const char *type, char *text)
{
    struct MHD_Response *r;
    enum MHD_Result rc;

    if (text == NULL) {
        return MHD_NO;
    }
    r = MHD_create_response_from_buffer(strlen(text), text,
                                        MHD_RESPMEM_MUST_FREE);
    if (r == NULL) {
        free(text);
        return MHD_NO;
    }
    MHD_add_response_header(r, "Content-Type", type);
    rc = MHD_queue_response(c, status, r);
    MHD_destroy_response(r);
    return rc;
}

static enum MHD_Result
reply_ready(struct MHD_Connection *c, tagged_t *t)
{
    bool ready = SHARED(t, ready) && !SHARED(t, leaving);

    return reply(c, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, TEXT,
                 strdup(ready ? "ready\n" : "not ready\n"));
}

/* The replica, unless the peer knows as much. */
static enum MHD_Result
reply_replica(struct MHD_Connection *c, tagged_t *t)
{
    const char *after =
        MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "after");
    uint64_t known = after != NULL ? strtoull(after, NULL, 10) : 0;

    if (replica_revision(t->replica) <= known) {
        return reply(c, MHD_HTTP_NO_CONTENT, JSON, strdup(""));
    }
    return reply(c, MHD_HTTP_OK, JSON, replica_text(t->replica));
}

static enum MHD_Result
route(struct MHD_Connection *c, tagged_t *t, const char *path)
{
    if (strcmp(path, "/ready") == 0) {
        return reply_ready(c, t);
    }
    if (strcmp(path, "/replica") == 0) {
        return reply_replica(c, t);
    }
    if (strcmp(path, "/metrics") == 0) {
        return reply(c, MHD_HTTP_OK, PROMETHEUS, tagged_metrics(t));
    }
    if (strcmp(path, "/status") == 0) {
        return reply(c, MHD_HTTP_OK, JSON, tagged_status(t));
    }
    return reply(c, MHD_HTTP_NOT_FOUND, JSON,
                 strdup("{\"error\":\"expected /ready, /metrics, /status or "
                        "/replica\"}\n"));
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *c, const char *path,
           const char *method, const char *version, const char *body,
           size_t *body_len, void **state)
{
    static int seen;

    (void)version;
    (void)body;
    /* The first call has the headers only; a body is read and ignored. */
    if (*state == NULL) {
        *state = &seen;
        return MHD_YES;
    }
    if (*body_len > 0) {
        *body_len = 0;
        return MHD_YES;
    }
    if (strcmp(method, "GET") != 0) {
        return reply(c, MHD_HTTP_METHOD_NOT_ALLOWED, JSON,
                     strdup("{\"error\":\"expected GET\"}\n"));
    }
    return route(c, arg, path);
}

static struct MHD_Daemon *
listen_at(tagged_t *t, const addr_t *a)
{
    struct sockaddr_storage ss;
    struct MHD_Daemon *http;
    char text[ADDR_STRLEN];
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;

    addr_to_sock(a, &ss);
    if (ss.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    http = MHD_start_daemon(
        flags, 0, NULL, NULL, on_request, t, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&ss, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_THREAD_STACK_SIZE,
        (size_t)STACK_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
        MHD_OPTION_END);
    if (http == NULL) {
        log_line(LVL_ERROR, "serve", "It can't listen. peer=%s error=\"%s\"",
                 addr_text(a, text), strerror(errno));
    }
    return http;
}

void
serve_run(duty_t *self, void *tagged)
{
    tagged_t *t = tagged;
    struct MHD_Daemon *ready = listen_at(t, &t->settings.ready_addr);
    struct MHD_Daemon *admin = listen_at(t, &t->settings.admin_addr);

    while (!duty_stopping(self)) {
        duty_wait(self, NULL, 0, -1);
    }
    if (ready != NULL) {
        MHD_stop_daemon(ready);
    }
    if (admin != NULL) {
        MHD_stop_daemon(admin);
    }
}
