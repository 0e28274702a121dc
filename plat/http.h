/* http: one call to an HTTP server that speaks JSON, over libcurl.  Used for
 * the platform and for the admin port of an instance.
 */
#ifndef SISKIN_HTTP_H
#define SISKIN_HTTP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http http_t;

typedef enum { HTTP_GET, HTTP_PUT, HTTP_POST, HTTP_DELETE } http_method_t;

typedef struct {
    http_method_t method;
    const char *path; /* behind the server's URL, escaped */
    const char *body; /* NULL: none */
    ms_t timeout_ms;  /* until the answer's first bytes, or with STALL_MS 0
                       * until its end */
    const char *step; /* for errors */
    bool packed;      /* the answer may come packed (zstd) */
    ms_t connect_ms;  /* of TIMEOUT_MS for the connection; 0: up to 1,000 */
    ms_t stall_ms;    /* an answer that has begun may go on while no pause is
                       * longer, HTTP_TRANSFER_MAX_MS in all */
    /* With STALL_MS: further bytes of an answer with STATUS have come; may be
     * NULL. */
    void (*on_progress)(void *arg, long status);
    void *arg;
} http_call_t;

#define HTTP_TRANSFER_MAX_MS 5000

typedef struct {
    long status;
    char *body;       /* ends in a NUL; valid until the next call */
    ms_t transfer_ms; /* from its first bytes to its end */
} http_reply_t;

/* URL as "http://127.0.0.1:8500", shorter than 128; for one thread.  NULL
 * when it is longer, or without memory. */
http_t *http_new(const char *url);
void http_free(http_t *h);
/* 0 with any status below 500.  -ECONNREFUSED: the call did not get there;
 * -ETIMEDOUT, -EIO: it may have taken effect. */
int http_call(http_t *h, const http_call_t *call, http_reply_t *r, err_t *e);
/* S with its reserved characters escaped (curl_free), or NULL. */
char *http_escape(http_t *h, const char *s);
void http_escape_free(char *s);
/* The server's URL, to name it in errors. */
const char *http_peer(const http_t *h);

#ifdef __cplusplus
}
#endif

#endif
