/* The send duty: sends decide's datagrams through the sockets, in batches. */
#include "siskind/siskind.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

#define MSGS_PER_TURN 64 /* messages taken from the inbox at once */

typedef struct {
    daemon_t *d;
    port_set_t *ports;
    size_t n;
    packet_t *packet[MSGS_PER_TURN];
    int fd[MSGS_PER_TURN]; /* socket of the same packet; -1: done */
    struct mmsghdr msgs[MSGS_PER_TURN];
    struct iovec iov[MSGS_PER_TURN];
    struct sockaddr_storage remote[MSGS_PER_TURN];
} send_t;

static int
socket_of(const send_t *s, const packet_t *p)
{
    const port_t *port;

    switch (p->sock) {
    case SOCK_RETURN:
        return s->d->return_fd;
    case SOCK_OWN:
        return s->d->own_fd;
    case SOCK_PEER:
        return s->d->peer_fd;
    case SOCK_SERVICE:
        port = ports_find(s->ports, &p->service);
        return port != NULL ? port->fd : -1;
    }
    return -1;
}

/* Sends MSGS[0..N-1]; skips datagrams that the kernel refuses. */
static void
send_all(send_t *s, int fd, unsigned n)
{
    counters_t *count = &s->d->count;
    unsigned done = 0;

    while (done < n) {
        int rc = sendmmsg(fd, s->msgs + done, n - done, MSG_DONTWAIT);
        if (rc > 0) {
            done += (unsigned)rc;
            counter_add(&count->sent, (uint64_t)rc);
        }
        else if (errno != EINTR) {
            counter_add(&count->send_failed, 1);
            done++;
        }
    }
}

/* Sends, in order, all packets from FIRST on that use the same socket. */
static void
send_by_socket(send_t *s, size_t first)
{
    int fd = s->fd[first];
    unsigned n = 0;

    for (size_t i = first; i < s->n; i++) {
        packet_t *p = s->packet[i];
        if (s->fd[i] != fd) {
            continue;
        }
        s->fd[i] = -1;
        s->iov[n] =
            (struct iovec){.iov_base = p->data + p->start, .iov_len = p->len};
        s->msgs[n].msg_hdr = (struct msghdr){
            .msg_name = &s->remote[n],
            .msg_namelen = addr_to_sock(&p->remote, &s->remote[n]),
            .msg_iov = &s->iov[n],
            .msg_iovlen = 1};
        n++;
    }
    send_all(s, fd, n);
}

static void
send_packets(send_t *s)
{
    for (size_t i = 0; i < s->n; i++) {
        if (s->fd[i] >= 0) {
            send_by_socket(s, i);
        }
    }
    for (size_t i = 0; i < s->n; i++) {
        msg_drop(s->packet[i]);
    }
    s->n = 0;
}

static void
add_packet(send_t *s, packet_t *p, ms_t now)
{
    int fd = socket_of(s, p);

    if (now - p->at > STALE_MS) {
        counter_add(&s->d->count.stale_out, 1);
        msg_drop(p);
        return;
    }
    if (fd < 0) {
        counter_add(&s->d->count.no_socket, 1);
        msg_drop(p);
        return;
    }
    s->packet[s->n] = p;
    s->fd[s->n] = fd;
    s->n++;
}

static void
handle_control(send_t *s, control_t *ctl)
{
    if (ctl->kind == MSG_PORTS) {
        send_packets(s); /* their descriptors are of the old set */
        ports_release(s->ports);
        s->ports = ctl->ports;
        ctl->ports = NULL;
    }
    msg_drop(ctl);
}

void
send_run(duty_t *self, void *daemon)
{
    send_t *s = calloc(1, sizeof(*s));
    void *msg[MSGS_PER_TURN];

    if (s == NULL) {
        return;
    }
    s->d = daemon;
    while (!duty_stopping(self)) {
        size_t n = duty_take(self, msg, MSGS_PER_TURN);
        if (n == 0) {
            duty_wait(self, NULL, 0, 1000);
            continue;
        }
        ms_t now = clock_now();
        for (size_t i = 0; i < n; i++) {
            if (((control_t *)msg[i])->kind == MSG_PACKET) {
                add_packet(s, msg[i], now);
            }
            else {
                handle_control(s, msg[i]);
            }
        }
        send_packets(s);
    }
    ports_release(s->ports);
    free(s);
}
