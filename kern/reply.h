/* reply: responses of the HTTP listeners (libmicrohttpd). */
#ifndef SISKIN_REPLY_H
#define SISKIN_REPLY_H

#include <microhttpd.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* For a libmicrohttpd access handler, which is called several times for each
 * request.  Returns true once the request has been received completely.  The
 * first call has only the headers; a body is read and discarded. */
bool http_request_complete(size_t *body_len, void **state);
/* Queues a response with TEXT as the body; takes ownership of TEXT (malloc).
 * Returns MHD_NO, which closes the connection, if TEXT is NULL because memory
 * ran out. */
enum MHD_Result http_reply(struct MHD_Connection *c, unsigned status,
                           const char *type, char *text);

#ifdef __cplusplus
}
#endif

#endif
