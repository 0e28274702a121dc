/* UDP sockets. */
#include "kern/kern.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SOCKET_BUFFER (1 << 20) /* bytes, for each direction */

static void
set_option(int fd, int option, int value)
{
    if (setsockopt(fd, SOL_SOCKET, option, &value, sizeof(value)) < 0) {
        log_line(LVL_WARN, "udp", "Can't set a socket option. option=%d %s",
                 option, strerror(errno));
    }
}

int
udp_open(const addr_t *a, err_t *e)
{
    struct sockaddr_storage ss;
    socklen_t len = addr_to_sock(a, &ss);
    char text[ADDR_STRLEN];
    int rc;
    int fd =
        socket(ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return err_set(e, -errno, "open socket", addr_text(a, text), "%s",
                       strerror(errno));
    }
    set_option(fd, SO_RCVBUF, SOCKET_BUFFER);
    set_option(fd, SO_SNDBUF, SOCKET_BUFFER);
    set_option(fd, SO_TIMESTAMPNS, 1);
    if (bind(fd, (struct sockaddr *)&ss, len) < 0) {
        rc = err_set(e, -errno, "bind socket", addr_text(a, text), "%s",
                     strerror(errno));
        close(fd);
        return rc;
    }
    return fd;
}

ms_t
udp_age(struct msghdr *h, ms_t now)
{
    for (struct cmsghdr *c = CMSG_FIRSTHDR(h); c != NULL;
         c = CMSG_NXTHDR(h, c)) {
        if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_TIMESTAMPNS) {
            struct timespec ts;
            memcpy(&ts, CMSG_DATA(c), sizeof(ts));
            ms_t age = now - timespec_to_ms(&ts);
            return age > 0 ? age : 0;
        }
    }
    return 0;
}
