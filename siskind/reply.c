/* Sends and receives versions over a ZeroMQ socket. */
#include "siskind/reply.h"
#include "core/core.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#define HEAD_MAX 48 /* bytes of a text frame */

/* ---- Sending ---- */

static int
send_frame(void *socket, const void *data, size_t len, bool more)
{
    int flags = ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0);

    return zmq_send(socket, data, len, flags) < 0 ? -errno : (int)len;
}

static int
send_step(void *socket, const version_step_t *step, ms_t now, bool last)
{
    char head[HEAD_MAX];
    int len = snprintf(head, sizeof(head), "%llu %lld",
                       (unsigned long long)step->version,
                       (long long)(now - step->activated_at));
    int rc = send_frame(socket, head, (size_t)len, true);

    if (rc >= 0) {
        rc = send_frame(socket, step->delta.data, step->delta.len, !last);
    }
    return rc < 0 ? rc : rc + len;
}

/* True when V still has every version that an instance needs.  With more than
 * VERSION_STEPS_MAX changes in OWNER_SETTLE_MS, some of them are no longer
 * kept.  If an instance then believed its history complete, it would run
 * requests again that an upstream of a missing version still holds.  Otherwise
 * its ownership stays uncertain for OWNER_SETTLE_MS. */
static bool
history_is_complete(const versions_t *v, ms_t now)
{
    return !v->truncated || now - v->oldest.activated_at >= OWNER_SETTLE_MS;
}

int
reply_send(void *socket, const versions_t *v, uint64_t have, ms_t now,
           bool complete)
{
    const version_step_t *step[VERSION_STEPS_MAX + 1];
    char head[HEAD_MAX];
    bool full;
    size_t n = versions_steps(v, have, &full, step);
    int len, rc, sent;

    if (n == 0) {
        return send_frame(socket, "", 0, false);
    }
    len = snprintf(head, sizeof(head), "FROM %llu %d",
                   (unsigned long long)(full ? 0 : have),
                   full && complete && history_is_complete(v, now));
    sent = rc = send_frame(socket, head, (size_t)len, true);
    for (size_t i = 0; rc >= 0 && i < n; i++) {
        rc = send_step(socket, step[i], now, i + 1 == n);
        sent += rc;
    }
    return rc < 0 ? rc : sent;
}

/* ---- Receiving ---- */

static bool
has_more(void *socket)
{
    int more = 0;
    size_t len = sizeof(more);

    zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &len);
    return more != 0;
}

/* Receives a text frame; returns its length, 0 for an empty frame. */
static int
receive_head(void *socket, char head[HEAD_MAX])
{
    int n = zmq_recv(socket, head, HEAD_MAX - 1, ZMQ_DONTWAIT);

    if (n < 0 || n >= HEAD_MAX) {
        return -EBADMSG;
    }
    head[n] = '\0';
    return n;
}

/* Replaces TEXT by OLD with the next difference applied. */
static int
receive_step(void *socket, const blob_t *old, blob_t *text, ms_t *age)
{
    char head[HEAD_MAX];
    unsigned long long version;
    long long ms;
    blob_t next, delta;
    zmq_msg_t msg;
    int rc = receive_head(socket, head);

    if (rc <= 0 || !has_more(socket) ||
        sscanf(head, "%llu %lld", &version, &ms) != 2 || ms < 0) {
        return -EBADMSG;
    }
    *age = ms;
    zmq_msg_init(&msg);
    if (zmq_msg_recv(&msg, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&msg);
        return -EBADMSG;
    }
    delta = (blob_t){zmq_msg_data(&msg), zmq_msg_size(&msg)};
    rc = delta_apply(old, &delta, BLOB_MAX, &next);
    zmq_msg_close(&msg);
    if (rc == 0) {
        blob_free(text);
        *text = next;
    }
    return rc;
}

static int
receive_steps(void *socket, const blob_t *old, bool complete,
              reply_version_fn_t *on_version, void *arg)
{
    blob_t text = {0};
    ms_t age = 0;
    int rc = 0;

    for (int i = 0; rc == 0 && has_more(socket); i++) {
        rc = i <= VERSION_STEPS_MAX ? receive_step(socket, old, &text, &age)
                                    : -EBADMSG;
        old = &text;
        if (rc == 0) {
            on_version(arg, &text, age, complete);
        }
    }
    blob_free(&text);
    return rc;
}

int
reply_receive(void *socket, const versions_t *v,
              reply_version_fn_t *on_version, void *arg)
{
    static const blob_t empty;
    unsigned long long from;
    int complete;
    char head[HEAD_MAX];
    int rc = receive_head(socket, head);

    if (rc <= 0) {
        return rc == 0 ? -ENODATA : rc;
    }
    if (sscanf(head, "FROM %llu %d", &from, &complete) != 2 ||
        !has_more(socket)) {
        return -EBADMSG;
    }
    if (from == 0) {
        return receive_steps(socket, &empty, complete != 0, on_version, arg);
    }
    if (from != v->version) {
        return -ESTALE; /* a version has arrived by another way */
    }
    return receive_steps(socket, &v->json, false, on_version, arg);
}
