/* reply: answers of the HTTP listeners (libmicrohttpd). */
#ifndef SISKIN_REPLY_H
#define SISKIN_REPLY_H

#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Answers C with TEXT (malloc; freed).  MHD_NO, which ends the connection,
 * when TEXT is NULL for want of memory. */
enum MHD_Result http_reply(struct MHD_Connection *c, unsigned status,
                           const char *type, char *text);

#ifdef __cplusplus
}
#endif

#endif
