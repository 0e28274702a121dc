/* Allocates, posts and frees messages between duties. */
#include "siskind/siskind.h"

#include <errno.h>
#include <stdlib.h>

control_t *
control_new(msg_kind_t kind)
{
    control_t *n = calloc(1, sizeof(*n));

    if (n != NULL) {
        n->kind = kind;
    }
    return n;
}

void
msg_drop(void *msg)
{
    control_t *n = msg;

    switch (n->kind) {
    case MSG_PACKET:
        pool_put(((packet_t *)msg)->pool, msg);
        return;
    case MSG_PORTS:
        ports_release(n->ports);
        break;
    case MSG_CONF:
    case MSG_BUNDLE:
        conf_free(n->conf.conf);
        free(n->conf.json);
        break;
    case MSG_LIST:
        free(n->list.instance);
        break;
    case MSG_QUERY:
        query_release(n->query);
        break;
    case MSG_FETCH:
    case MSG_LEAVE:
    case MSG_LEAVE_DONE:
        break;
    }
    free(n);
}

int
control_post(duty_t *to, control_t *n)
{
    int rc;

    if (n == NULL) {
        return -ENOMEM;
    }
    rc = duty_post(to, n);
    if (rc < 0) {
        msg_drop(n);
    }
    return rc;
}
