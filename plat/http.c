/* HTTP client over libcurl. */
#include "plat/http.h"

#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000
/* Limit of a body; above the replica of 240,000 upstreams as a peer sends it.
 */
#define REPLY_MAX (32 * 1024 * 1024)
/* Idle connections kept for the next call.  A write opens one of its own; all
 * of them may go silent together, and each would cost a later call its
 * timeout. */
#define IDLE_CONNECTIONS 1L
/* A longer buffer is freed before the next call: long answers are rare. */
#define KEPT_BODY_MAX (64 * 1024)

struct http {
    CURLM *multi; /* runs CURL and keeps its connection open */
    CURL *curl;
    char url[HTTP_SERVER_MAX];
    char *body;
    size_t len, cap;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl(void)
{
    curl_global_init(CURL_GLOBAL_NOTHING); /* no TLS: only http is used */
}

http_t *
http_new(const char *url)
{
    http_t *h = calloc(1, sizeof(*h));

    pthread_once(&curl_once, init_curl);
    if (h == NULL || strlen(url) >= sizeof(h->url)) {
        free(h);
        return NULL;
    }
    snprintf(h->url, sizeof(h->url), "%s", url);
    h->curl = curl_easy_init();
    h->multi = curl_multi_init();
    if (h->curl == NULL || h->multi == NULL ||
        curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS) !=
            CURLM_OK) {
        http_free(h);
        return NULL;
    }
    return h;
}

void
http_free(http_t *h)
{
    if (h == NULL) {
        return;
    }
    curl_easy_cleanup(h->curl);
    curl_multi_cleanup(h->multi);
    free(h->body);
    free(h);
}

static size_t
append_body(char *data, size_t size, size_t n, void *arg)
{
    http_t *h = arg;
    size_t len = size * n;
    size_t need = h->len + len + 1;
    char *grown;

    if (need > REPLY_MAX) {
        return 0;
    }
    if (need > h->cap) {
        grown = realloc(h->body, 2 * need);
        if (grown == NULL) {
            return 0;
        }
        h->body = grown;
        h->cap = 2 * need;
    }
    memcpy(h->body + h->len, data, len);
    h->len += len;
    h->body[h->len] = '\0';
    return len;
}

static const char *
method_name(http_method_t m)
{
    switch (m) {
    case HTTP_GET:
        return "GET";
    case HTTP_PUT:
        return "PUT";
    case HTTP_POST:
        return "POST";
    case HTTP_DELETE:
        return "DELETE";
    }
    return "GET";
}

static void
set_options(http_t *h, const char *url, const http_call_t *call)
{
    CURL *c = h->curl;

    curl_easy_reset(c);
    curl_easy_setopt(c, CURLOPT_URL, url);
    curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c, CURLOPT_PROXY, "");
    curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)(call->connect_timeout_ms > 0
                                ? call->connect_timeout_ms
                                : CONNECT_TIMEOUT_MS));
    curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(c, CURLOPT_WRITEDATA, h);
    if (call->accept_zstd) {
        curl_easy_setopt(c, CURLOPT_ACCEPT_ENCODING, "zstd");
    }
    if (call->body != NULL || call->method == HTTP_POST) {
        const char *body = call->body != NULL ? call->body : "";
        curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
    }
    curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method_name(call->method));
    /* libcurl resends a request when a reused connection turns out to be
     * closed.  A write may have taken effect already, so it gets a new
     * connection. */
    if (call->method != HTTP_GET) {
        curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
    }
}

static int
curl_errno(CURLcode rc)
{
    switch (rc) {
    case CURLE_OK:
        return 0;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return -ECONNREFUSED;
    case CURLE_OPERATION_TIMEDOUT:
        return -ETIMEDOUT;
    case CURLE_OUT_OF_MEMORY:
        return -ENOMEM;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return -EINVAL;
    default:
        return -EIO;
    }
}

/* Progress of an answer. */
typedef struct {
    curl_off_t bytes;   /* of the body, as transmitted */
    ms_t first_byte_at; /* arrival of the first bytes, or MS_NEVER */
    ms_t deadline;      /* of the call */
} progress_t;

/* Extends the deadline while an answer makes progress.  A long answer over a
 * slow link may take several times as long as its first bytes.  If it were
 * aborted and requested again, the link would carry the same bytes twice. */
static void
update_progress(const http_t *h, const http_call_t *call, ms_t now,
                progress_t *p)
{
    curl_off_t bytes = 0;
    ms_t last, stalled = now + call->stall_timeout_ms;

    if (call->stall_timeout_ms == 0 ||
        curl_easy_getinfo(h->curl, CURLINFO_SIZE_DOWNLOAD_T, &bytes) !=
            CURLE_OK ||
        bytes == p->bytes) {
        return;
    }
    p->bytes = bytes;
    p->first_byte_at = p->first_byte_at == MS_NEVER ? now : p->first_byte_at;
    last = p->first_byte_at + HTTP_TRANSFER_TIMEOUT_MS;
    p->deadline = stalled < last ? stalled : last;
    if (call->on_progress != NULL) {
        long status = 0;
        curl_easy_getinfo(h->curl, CURLINFO_RESPONSE_CODE, &status);
        call->on_progress(call->arg, status, (uint64_t)bytes);
    }
}

/* The result of the finished transfer. */
static CURLcode
transfer_result(http_t *h)
{
    int left;
    CURLMsg *m = curl_multi_info_read(h->multi, &left);

    return m != NULL && m->msg == CURLMSG_DONE ? m->data.result
                                               : CURLE_RECV_ERROR;
}

static CURLcode
perform(http_t *h, const http_call_t *call, ms_t *transfer_ms)
{
    ms_t now = clock_now();
    progress_t p = {.first_byte_at = MS_NEVER,
                    .deadline = now + call->timeout_ms};
    CURLcode rc = CURLE_OPERATION_TIMEDOUT;
    int running = 1;

    if (curl_multi_add_handle(h->multi, h->curl) != CURLM_OK) {
        return CURLE_OUT_OF_MEMORY;
    }
    while (now < p.deadline) {
        if (curl_multi_perform(h->multi, &running) != CURLM_OK) {
            rc = CURLE_OUT_OF_MEMORY;
            break;
        }
        now = clock_now();
        update_progress(h, call, now, &p);
        if (running == 0) {
            rc = transfer_result(h);
            break;
        }
        if (now < p.deadline) {
            curl_multi_poll(h->multi, NULL, 0, (int)(p.deadline - now), NULL);
            now = clock_now();
        }
    }
    *transfer_ms = p.first_byte_at == MS_NEVER ? 0 : now - p.first_byte_at;
    curl_multi_remove_handle(h->multi, h->curl);
    return rc;
}

int
http_call(http_t *h, const http_call_t *call, http_reply_t *r, err_t *e)
{
    char url[HTTP_URL_MAX];
    CURLcode rc;

    *r = (http_reply_t){0};
    h->len = 0;
    if (h->cap > KEPT_BODY_MAX) {
        free(h->body);
        h->body = NULL;
        h->cap = 0;
    }
    if (append_body("", 0, 0, h) != 0 || h->body == NULL) {
        return err_set(e, -ENOMEM, call->step, h->url, "Out of memory.");
    }
    if ((size_t)snprintf(url, sizeof(url), "%s%s", h->url, call->path) >=
        sizeof(url)) {
        return err_set(e, -EINVAL, call->step, h->url,
                       "the URL is too long; expected a shorter name");
    }
    set_options(h, url, call);
    rc = perform(h, call, &r->transfer_ms);
    if (rc != CURLE_OK) {
        return err_set(e, curl_errno(rc), call->step, h->url, "%s",
                       curl_easy_strerror(rc));
    }
    curl_easy_getinfo(h->curl, CURLINFO_RESPONSE_CODE, &r->status);
    r->body = h->body;
    r->len = h->len;
    if (r->status >= 500) {
        return err_set(e, -EIO, call->step, h->url,
                       "answered with status %ld: %.80s", r->status, r->body);
    }
    return 0;
}

char *
http_escape(http_t *h, const char *s, size_t len)
{
    /* libcurl takes a length of 0 for that of the string. */
    return curl_easy_escape(h->curl, len > 0 ? s : "", (int)len);
}

void
http_escape_free(char *s)
{
    curl_free(s);
}

const char *
http_url(const http_t *h)
{
    return h->url;
}
