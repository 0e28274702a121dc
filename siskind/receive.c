/* The receive duty: passes datagrams from all sockets to decide's inbox. */
#include "siskind/siskind.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX 64
#define INBOX_BATCH 16
/* Batches read from one socket before the next socket is served. */
#define BATCHES_PER_SOCKET 4
#define COALESCE_US 200 /* minimum interval between two runs of the loop */

typedef struct {
    daemon_t *d;
    duty_t *decide;
    int epoll;
    int64_t turn_started_us; /* start of the last run */
    port_set_t *ports;
    packet_t *buffer[BATCH]; /* empty packets for the next read */
    struct mmsghdr msgs[BATCH];
    struct iovec iov[BATCH];
    struct sockaddr_storage remote[BATCH];
    char control[BATCH][UDP_TIMESTAMP_LEN];
} receive_t;

/* The socket of an epoll event: a fixed one or a service's. */
typedef struct {
    sock_t sock;
    int fd;
    const port_t *port;
} source_t;

/* False when decide's inbox has no room for a datagram of this socket.
 * Callers' datagrams are shed when only a quarter of the inbox is left:
 * upstreams' answers and peers' messages complete work in progress and take
 * precedence.  Datagrams are dropped silently, as by the network: a "not run"
 * answer would be wrong if another copy of the request has been forwarded. */
static bool
has_room(const receive_t *r, sock_t sock)
{
    unsigned limit = duty_capacity(r->decide);

    if (sock == SOCK_SERVICE) {
        limit -= limit / 4;
    }
    return duty_depth(r->decide) < limit;
}

static void
prepare(receive_t *r, int i)
{
    r->iov[i] = (struct iovec){.iov_base = r->buffer[i]->data + SPP_LEN,
                               .iov_len = PACKET_MAX};
    r->msgs[i].msg_hdr =
        (struct msghdr){.msg_name = &r->remote[i],
                        .msg_namelen = sizeof(r->remote[i]),
                        .msg_iov = &r->iov[i],
                        .msg_iovlen = 1,
                        .msg_control = r->control[i],
                        .msg_controllen = sizeof(r->control[i])};
}

/* Refills the buffers for the next read; returns the number of buffers, less
 * than BATCH if the pool is empty.  The pool holds more packets than decide's
 * inbox and the buffers of both duties together.  It can only become empty
 * when many packets that decide reused for output also wait in send's inbox.
 */
static int
refill(receive_t *r)
{
    int n = 0;

    while (n < BATCH) {
        if (r->buffer[n] == NULL) {
            r->buffer[n] = pool_get(r->d->in);
        }
        if (r->buffer[n] == NULL) {
            break;
        }
        prepare(r, n);
        n++;
    }
    return n;
}

/* Posts the packet in buffer I, or keeps it for the next read. */
static void
post_packet(receive_t *r, const source_t *s, int i, ms_t now, ms_t real_now)
{
    counters_t *count = &r->d->count;
    packet_t *p = r->buffer[i];

    if (r->msgs[i].msg_hdr.msg_flags & MSG_TRUNC) {
        counter_add(&count->too_long, 1);
        return;
    }
    if (addr_from_sock(&p->remote, &r->remote[i]) < 0) {
        return;
    }
    p->kind = MSG_PACKET;
    p->pool = r->d->in;
    p->sock = s->sock;
    p->at = now - udp_age(&r->msgs[i].msg_hdr, real_now);
    p->start = SPP_LEN;
    p->len = (uint16_t)r->msgs[i].msg_len;
    if (s->port != NULL) {
        p->service = s->port->service;
    }
    if (!has_room(r, s->sock) || duty_put(r->decide, p) < 0) {
        counter_add(&count->shed[s->sock], 1);
        return;
    }
    r->buffer[i] = NULL;
}

/* Reads one batch; returns the number of datagrams. */
static int
read_batch(receive_t *r, const source_t *s)
{
    ms_t real_now;
    ms_t now;
    int want = refill(r);
    int n = recvmmsg(s->fd, r->msgs, (unsigned)want, MSG_DONTWAIT, NULL);

    if (n <= 0) {
        return 0;
    }
    real_now = clock_wall();
    now = clock_now();
    for (int i = 0; i < n; i++) {
        post_packet(r, s, i, now, real_now);
    }
    counter_add(&r->d->count.received, (uint64_t)n);
    duty_wake(r->decide);
    return n;
}

static void
read_socket(receive_t *r, const source_t *s)
{
    for (int turn = 0; turn < BATCHES_PER_SOCKET; turn++) {
        if (read_batch(r, s) < BATCH) {
            return;
        }
    }
}

static void
watch_fd(receive_t *r, int fd, uint64_t tag)
{
    struct epoll_event ev = {.events = EPOLLIN, .data.u64 = tag};

    if (epoll_ctl(r->epoll, EPOLL_CTL_ADD, fd, &ev) < 0 && errno != EEXIST) {
        log_line(LVL_ERROR, "receive", "Can't watch a socket. error=\"%s\"",
                 strerror(errno));
    }
}

/* Tags of the fixed descriptors; a service's is TAG_PORT plus its index. */
enum { TAG_WAKE, TAG_RETURN, TAG_OWN, TAG_PEER, TAG_PORT };

/* Switches to the sockets of a newer configuration.  Unread datagrams of
 * sockets in both sets are kept. */
static void
replace_ports(receive_t *r, port_set_t *ports)
{
    for (size_t i = 0; r->ports != NULL && i < r->ports->n; i++) {
        epoll_ctl(r->epoll, EPOLL_CTL_DEL, r->ports->port[i]->fd, NULL);
    }
    ports_release(r->ports);
    r->ports = ports;
    for (size_t i = 0; i < ports->n; i++) {
        watch_fd(r, ports->port[i]->fd, TAG_PORT + i);
    }
}

static void
read_inbox(duty_t *self, receive_t *r)
{
    void *msg[INBOX_BATCH];
    size_t n = duty_take(self, msg, INBOX_BATCH);

    for (size_t i = 0; i < n; i++) {
        control_t *ctl = msg[i];
        if (ctl->kind == MSG_PORTS) {
            replace_ports(r, ctl->ports);
            ctl->ports = NULL;
        }
        msg_drop(ctl);
    }
}

static void
on_event(receive_t *r, uint64_t tag)
{
    const daemon_t *d = r->d;
    source_t s = {.fd = -1};

    switch (tag) {
    case TAG_WAKE:
        return;
    case TAG_RETURN:
        s = (source_t){.sock = SOCK_RETURN, .fd = d->return_fd};
        break;
    case TAG_OWN:
        s = (source_t){.sock = SOCK_OWN, .fd = d->own_fd};
        break;
    case TAG_PEER:
        s = (source_t){.sock = SOCK_PEER, .fd = d->peer_fd};
        break;
    default:
        s.sock = SOCK_SERVICE;
        s.port = r->ports->port[tag - TAG_PORT];
        s.fd = s.port->fd;
        break;
    }
    read_socket(r, &s);
}

static int64_t
now_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Delays reading to coalesce datagrams, as network cards do with interrupts,
 * so that under load each wake-up of the three threads serves many.  A
 * datagram that arrives alone isn't delayed. */
static void
coalesce(receive_t *r)
{
    int64_t left = r->turn_started_us + COALESCE_US - now_us();

    if (left > 0) {
        struct timespec ts = {.tv_nsec = left * 1000};
        nanosleep(&ts, NULL);
    }
}

static void
run_once(duty_t *self, receive_t *r)
{
    struct epoll_event ev[EVENTS_MAX];
    int n;

    coalesce(r);
    n = epoll_wait(r->epoll, ev, EVENTS_MAX,
                   duty_prepare_sleep(self) ? 1000 : 0);
    duty_finish_sleep(self);
    r->turn_started_us = now_us();
    for (int i = 0; i < n; i++) {
        on_event(r, ev[i].data.u64);
    }
    /* After the events, whose tags index the present set of sockets. */
    read_inbox(self, r);
}

void
receive_run(duty_t *self, void *daemon)
{
    receive_t *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        return;
    }
    r->d = daemon;
    r->decide = kern_find(duty_kern(self), "decide");
    r->epoll = epoll_create1(EPOLL_CLOEXEC);
    watch_fd(r, duty_fd(self), TAG_WAKE);
    watch_fd(r, r->d->return_fd, TAG_RETURN);
    watch_fd(r, r->d->own_fd, TAG_OWN);
    watch_fd(r, r->d->peer_fd, TAG_PEER);
    while (!duty_stopping(self)) {
        run_once(self, r);
    }
    ports_release(r->ports);
    close(r->epoll);
    free(r);
}
