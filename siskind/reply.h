/* reply: the answer of one instance to another that is behind.
 *
 * Frames: "FROM" with the version that the first difference is made for, 0
 * when that one is whole, and 1 if no instance had a version before the first
 * (0: not known); then for each version, oldest first, "VERSION AGE"
 * (ms since it came into force at the sender) and its difference.  One empty
 * frame: nothing newer.
 */
#ifndef SISKIN_REPLY_H
#define SISKIN_REPLY_H

#include "plat/plat.h"

/* Sends what leads from HAVE to the newest; the bytes sent are returned, 0
 * when there is nothing newer, or a negative errno. */
int reply_send(void *socket, const versions_t *v, uint64_t have, ms_t now,
               bool complete);

/* Takes each version's JSON, oldest first; TEXT is the caller's. */
typedef void reply_version_fn_t(void *arg, const blob_t *text, ms_t age,
                                bool complete);
/* Receives one.  -ENODATA: nothing newer.
 * -ESTALE: it leads from what V had when it was asked for.  -EBADMSG: frames
 * or differences don't fit what V has; ask for all. */
int reply_receive(void *socket, const versions_t *v,
                  reply_version_fn_t *on_version, void *arg);

#endif
