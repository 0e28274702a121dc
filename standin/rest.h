/* rest: a small HTTP and JSON server on loopback for the stand-ins
 * (libmicrohttpd, jansson).  A thread a connection, so a handler may block.
 */
#ifndef SISKIN_STANDIN_REST_H
#define SISKIN_STANDIN_REST_H

#include "base/base.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SI_BODY_MAX (1024 * 1024) /* the platform holds values up to 1 MB */

typedef struct {
    const char *method, *path;
    const char *body; /* ends in a NUL */
    size_t body_len;
    void *connection; /* libmicrohttpd's */
} si_request_t;

typedef struct {
    int status;   /* 0: close the connection without an answer */
    json_t *body; /* given away */
} si_reply_t;

typedef si_reply_t si_handler_t(void *arg, const si_request_t *r);

typedef struct si_rest si_rest_t;

/* Serves on 127.0.0.1:PORT; 0 takes any port.  NULL with E on failure. */
si_rest_t *si_rest_open(uint16_t port, si_handler_t *handler, void *arg,
                        err_t *e);
uint16_t si_rest_port(const si_rest_t *r);
/* Waits for handlers that are still running. */
void si_rest_close(si_rest_t *r);

/* A query argument, or NULL. */
const char *si_query(const si_request_t *r, const char *key);
int64_t si_query_int(const si_request_t *r, const char *key, int64_t absent);

/* 404 with a sentence. */
si_reply_t si_reply_error(int status, const char *text);

#ifdef __cplusplus
}
#endif

#endif
