/* Probes: a TCP connection that is opened and closed.  The upstream's kernel
 * answers the probe, which distinguishes a process that has ended from a slow
 * one and occupies none of the upstream's slots. */
#include "tagged/tagged.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

static int
connect_to(const addr_t *a, int *failure)
{
    struct sockaddr_storage ss;
    socklen_t len = addr_to_sock(a, &ss);
    int fd =
        socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    *failure = 0;
    if (fd < 0) {
        *failure = errno;
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&ss, len) < 0 && errno != EINPROGRESS) {
        *failure = errno;
        close(fd);
        return -1;
    }
    return fd;
}

int
probes_start(probes_t *p, const flow_out_t *out)
{
    probe_t *free_ = NULL;

    for (size_t i = 0; i < PROBES_MAX && free_ == NULL; i++) {
        if (p->probe[i].upstream == 0) {
            free_ = &p->probe[i];
        }
    }
    if (free_ == NULL) {
        return -EAGAIN;
    }
    *free_ = (probe_t){.upstream = out->upstream,
                       .deadline = clock_now() + out->probe.timeout_ms};
    free_->fd = connect_to(&out->probe.to, &free_->failure);
    if (p->n <= (size_t)(free_ - p->probe)) {
        p->n = (size_t)(free_ - p->probe) + 1;
    }
    return 0;
}

size_t
probes_poll(const probes_t *p, struct pollfd *fds, ms_t *next)
{
    size_t n = 0;

    for (size_t i = 0; i < p->n; i++) {
        const probe_t *q = &p->probe[i];
        if (q->upstream == 0) {
            continue;
        }
        if (q->fd >= 0) {
            fds[n++] = (struct pollfd){.fd = q->fd, .events = POLLOUT};
        }
        if (q->fd < 0) {
            *next = 0;
        }
        else if (q->deadline < *next) {
            *next = q->deadline;
        }
    }
    return n;
}

static flow_probe_t
result_of(int failure)
{
    switch (failure) {
    case 0:
        return PROBE_ANSWERED;
    case ECONNREFUSED:
        return PROBE_REFUSED;
    case ECONNRESET:
        return PROBE_RESET;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
        return PROBE_NOT_SENT; /* a local resource limit */
    default:
        return PROBE_TIMED_OUT;
    }
}

/* True if the probe has ended; *FAILURE receives its errno, 0 for success. */
static bool
has_ended(const probe_t *q, ms_t now, int *failure)
{
    struct pollfd fd = {.fd = q->fd, .events = POLLOUT};
    socklen_t len = sizeof(*failure);

    if (q->fd < 0) {
        *failure = q->failure;
        return true;
    }
    if (poll(&fd, 1, 0) > 0) {
        if (getsockopt(q->fd, SOL_SOCKET, SO_ERROR, failure, &len) < 0) {
            *failure = errno;
        }
        return true;
    }
    *failure = ETIMEDOUT;
    return now >= q->deadline;
}

void
probes_check(probes_t *p, probe_done_t *done, void *arg)
{
    ms_t now = clock_now(); /* before the poll: a probe answered by its
                               deadline counts as answered */
    int failure;

    for (size_t i = 0; i < p->n; i++) {
        probe_t q = p->probe[i];
        if (q.upstream == 0 || !has_ended(&q, now, &failure)) {
            continue;
        }
        if (q.fd >= 0) {
            close(q.fd);
        }
        p->probe[i].upstream = 0; /* DONE may start another probe */
        done(arg, q.upstream, result_of(failure));
    }
    while (p->n > 0 && p->probe[p->n - 1].upstream == 0) {
        p->n--;
    }
}

void
probes_close(probes_t *p)
{
    for (size_t i = 0; i < p->n; i++) {
        if (p->probe[i].upstream != 0 && p->probe[i].fd >= 0) {
            close(p->probe[i].fd);
        }
    }
    p->n = 0;
}
