/* Allocates, posts and frees messages between duties. */
#include "siskind/siskind.h"

#include <errno.h>
#include <stdlib.h>

control_t *
control_new(msg_kind_t kind)
{
    control_t *ctl = calloc(1, sizeof(*ctl));

    if (ctl != NULL) {
        ctl->kind = kind;
    }
    return ctl;
}

void
msg_drop(void *msg)
{
    control_t *ctl = msg;

    switch (ctl->kind) {
    case MSG_PACKET:
        pool_put(((packet_t *)msg)->pool, msg);
        return;
    case MSG_PORTS:
        ports_release(ctl->ports);
        break;
    case MSG_CONF:
    case MSG_BUNDLE:
        conf_free(ctl->conf.conf);
        free(ctl->conf.json);
        break;
    case MSG_LIST:
        free(ctl->list.instance);
        break;
    case MSG_QUERY:
        query_release(ctl->query);
        break;
    case MSG_FETCH:
    case MSG_LEAVE:
    case MSG_LEAVE_DONE:
        break;
    }
    free(ctl);
}

int
control_post(duty_t *to, control_t *ctl)
{
    int rc;

    if (ctl == NULL) {
        return -ENOMEM;
    }
    rc = duty_post(to, ctl);
    if (rc < 0) {
        msg_drop(ctl);
    }
    return rc;
}
