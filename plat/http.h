/* http: HTTP client for JSON services, over libcurl.  Used for the platform
 * and for the admin port of an instance.
 */
#ifndef SISKIN_HTTP_H
#define SISKIN_HTTP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest server URL, and longest complete URL of a call, with the NUL. */
#define HTTP_SERVER_MAX 128
#define HTTP_URL_MAX 1024

typedef struct http http_t;

typedef enum { HTTP_GET, HTTP_PUT, HTTP_POST, HTTP_DELETE } http_method_t;

typedef struct {
    http_method_t method;
    const char *path;        /* appended to the server's URL; escaped */
    const char *body;        /* NULL: none */
    ms_t timeout_ms;         /* for the first bytes of the answer; with
                              * STALL_TIMEOUT_MS 0 for the complete answer */
    const char *step;        /* operation, named in errors */
    bool accept_zstd;        /* accept a compressed answer (zstd) */
    ms_t connect_timeout_ms; /* connection timeout, part of TIMEOUT_MS;
                              * 0: 1,000 */
    ms_t stall_timeout_ms;   /* longest pause within an answer, whose transfer
                              * may take HTTP_TRANSFER_TIMEOUT_MS in total;
                              * 0: no stall timeout, TIMEOUT_MS applies */
    /* Called when further bytes of an answer with STATUS have arrived, BYTES
     * of its body so far as transmitted, if STALL_TIMEOUT_MS is set; may be
     * NULL.
     */
    void (*on_progress)(void *arg, long status, uint64_t bytes);
    void *arg;
} http_call_t;

#define HTTP_TRANSFER_TIMEOUT_MS 5000

typedef struct {
    long status;
    char *body;       /* NUL-terminated; valid until the next call */
    size_t len;       /* bytes of BODY, without the NUL */
    ms_t transfer_ms; /* from the body's first bytes to its end; 0 without
                       * STALL_TIMEOUT_MS */
} http_reply_t;

/* URL as "http://127.0.0.1:8500", shorter than HTTP_SERVER_MAX.  A handle may
 * be used by one thread only.  NULL: URL too long, or out of memory. */
http_t *http_new(const char *url);
void http_free(http_t *h);
/* 0 for any status below 500.  -ECONNREFUSED: the server was not reached;
 * -ETIMEDOUT, -EIO (also for a status from 500): the call may have taken
 * effect. */
int http_call(http_t *h, const http_call_t *call, http_reply_t *r, err_t *e);
/* The LEN bytes at S with reserved characters percent-encoded, freed by
 * http_escape_free(), or NULL. */
char *http_escape(http_t *h, const char *s, size_t len);
void http_escape_free(char *s);
/* The server's URL, for error messages. */
const char *http_url(const http_t *h);

#ifdef __cplusplus
}
#endif

#endif
