/* rest: a small HTTP and JSON server on loopback for the stand-ins
 * (libmicrohttpd, jansson).  One thread per connection, so handlers may block.
 */
#ifndef SISKIN_STANDIN_REST_H
#define SISKIN_STANDIN_REST_H

#include "base/base.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SI_BODY_MAX (1024 * 1024) /* the platform's limit of a value: 1 MB */

typedef struct {
    const char *method, *path;
    const char *body; /* NUL-terminated */
    size_t body_len;
    void *connection; /* libmicrohttpd's */
} si_request_t;

typedef struct {
    int status;   /* 0: close the connection without an answer */
    json_t *body; /* ownership passes to the server */
} si_reply_t;

typedef si_reply_t si_handler_t(void *arg, const si_request_t *r);

typedef struct si_rest si_rest_t;

/* Serves on 127.0.0.1:PORT (0: any free port).  On failure returns NULL and
 * sets E. */
si_rest_t *si_rest_open(uint16_t port, si_handler_t *handler, void *arg,
                        err_t *e);
uint16_t si_rest_port(const si_rest_t *r);
/* Stops the server; waits for running handlers. */
void si_rest_close(si_rest_t *r);

/* Returns a query argument, or NULL. */
const char *si_query(const si_request_t *r, const char *key);
int64_t si_query_int(const si_request_t *r, const char *key, int64_t absent);

/* A reply with STATUS and an error message. */
si_reply_t si_reply_error(int status, const char *text);

#ifdef __cplusplus
}
#endif

#endif
