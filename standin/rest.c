/* HTTP server of the stand-ins, on libmicrohttpd. */
#include "standin/rest.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 256
#define IDLE_S 120

struct si_rest {
    struct MHD_Daemon *daemon;
    si_handler_t *handler;
    void *arg;
};

/* Accumulates the pieces of a request's body. */
typedef struct {
    char *data;
    size_t len;
    bool too_long;
} body_t;

static void
body_add(body_t *b, const char *data, size_t len)
{
    char *p;

    if (b->len + len > SI_BODY_MAX) {
        b->too_long = true;
        return;
    }
    p = realloc(b->data, b->len + len + 1);
    if (p == NULL) {
        b->too_long = true;
        return;
    }
    memcpy(p + b->len, data, len);
    b->data = p;
    b->len += len;
    b->data[b->len] = '\0';
}

static enum MHD_Result
send_reply(struct MHD_Connection *c, const si_reply_t *r)
{
    struct MHD_Response *resp;
    enum MHD_Result rc;
    char *text = json_dumps(r->body, JSON_COMPACT);

    json_decref(r->body);
    if (text == NULL) {
        return MHD_NO;
    }
    resp = MHD_create_response_from_buffer(strlen(text), text,
                                           MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(resp, "Content-Type", "application/json");
    rc = MHD_queue_response(c, (unsigned)r->status, resp);
    MHD_destroy_response(resp);
    return rc;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *c, const char *url,
           const char *method, const char *version, const char *data,
           size_t *len, void **state)
{
    si_rest_t *rest = cls;
    body_t *b = *state;
    si_request_t req;
    si_reply_t reply;

    (void)version;
    if (b == NULL) {
        *state = calloc(1, sizeof(body_t));
        return *state != NULL ? MHD_YES : MHD_NO;
    }
    if (*len > 0) {
        body_add(b, data, *len);
        *len = 0;
        return MHD_YES;
    }
    req = (si_request_t){.method = method,
                         .path = url,
                         .body = b->data != NULL ? b->data : "",
                         .body_len = b->len,
                         .connection = c};
    if (b->too_long) {
        reply = si_reply_error(413, "the value is longer than 1 MB");
    }
    else {
        reply = rest->handler(rest->arg, &req);
    }
    if (reply.status == 0) {
        json_decref(reply.body);
        return MHD_NO;
    }
    return send_reply(c, &reply);
}

static void
on_done(void *cls, struct MHD_Connection *c, void **state,
        enum MHD_RequestTerminationCode why)
{
    body_t *b = *state;

    (void)cls;
    (void)c;
    (void)why;
    if (b != NULL) {
        free(b->data);
        free(b);
    }
    *state = NULL;
}

si_rest_t *
si_rest_open(uint16_t port, si_handler_t *handler, void *arg, err_t *e)
{
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons(port)};
    si_rest_t *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        err_set(e, -ENOMEM, "http listen", "", "out of memory");
        return NULL;
    }
    in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    r->handler = handler;
    r->arg = arg;
    r->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, port,
        NULL, NULL, on_request, r, MHD_OPTION_SOCK_ADDR, &in,
        MHD_OPTION_NOTIFY_COMPLETED, on_done, NULL,
        MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_END);
    if (r->daemon == NULL) {
        err_set(e, -errno, "http listen", "127.0.0.1",
                "port %u can't be opened: %s", port, strerror(errno));
        free(r);
        return NULL;
    }
    return r;
}

uint16_t
si_rest_port(const si_rest_t *r)
{
    return MHD_get_daemon_info(r->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
si_rest_close(si_rest_t *r)
{
    if (r == NULL) {
        return;
    }
    MHD_stop_daemon(r->daemon);
    free(r);
}

const char *
si_query(const si_request_t *r, const char *key)
{
    return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND,
                                       key);
}

int64_t
si_query_int(const si_request_t *r, const char *key, int64_t absent)
{
    const char *s = si_query(r, key);

    return s != NULL ? strtoll(s, NULL, 10) : absent;
}

si_reply_t
si_reply_error(int status, const char *text)
{
    return (si_reply_t){.status = status,
                        .body = json_pack("{ss}", "error", text)};
}
