/* reply: the configuration versions that one instance sends to another that is
 * behind.
 *
 * The first frame is "FROM BASE COMPLETE".  BASE is the version to which the
 * first difference applies, 0 if the first is a whole text.  COMPLETE is 1 if
 * no instance had a version before the first, 0 if unknown.  Then follow two
 * frames for each version, oldest first: "VERSION AGE" (ms since it came into
 * force at the sender) and its difference.  A single empty frame means that
 * there is nothing newer.
 */
#ifndef SISKIN_REPLY_H
#define SISKIN_REPLY_H

#include "plat/plat.h"

/* Sends the versions from HAVE to the newest.  Returns the bytes sent, 0 when
 * there is nothing newer, or a negative errno. */
int reply_send(void *socket, const versions_t *v, uint64_t have, ms_t now,
               bool complete);

/* Called with each version's JSON, oldest first; TEXT is valid only during the
 * call. */
typedef void reply_version_fn_t(void *arg, const blob_t *text, ms_t age,
                                bool complete);
/* Receives a reply.  -ENODATA: nothing newer.  -ESTALE: V has changed since
 * the request.  -EBADMSG: malformed frames, or differences that don't apply to
 * V's version; request the whole text. */
int reply_receive(void *socket, const versions_t *v,
                  reply_version_fn_t *on_version, void *arg);

#endif
