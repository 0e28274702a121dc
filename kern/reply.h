/* reply: answers of the HTTP listeners (libmicrohttpd). */
#ifndef SISKIN_REPLY_H
#define SISKIN_REPLY_H

#include <microhttpd.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* For a handler of libmicrohttpd, which is called several times a request:
 * true once the request is here whole.  The first call has the headers only; a
 * body is read and ignored. */
bool http_request_whole(size_t *body_len, void **state);
/* Answers C with TEXT (malloc; freed).  MHD_NO, which ends the connection,
 * when TEXT is NULL for want of memory. */
enum MHD_Result http_reply(struct MHD_Connection *c, unsigned status,
                           const char *type, char *text);

#ifdef __cplusplus
}
#endif

#endif
