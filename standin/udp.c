/* Nonblocking UDP sockets. */
#include "standin/udp.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define SOCKET_BUFFER (1 << 20)

int
si_udp_open(const addr_t *addr)
{
    struct sockaddr_storage ss;
    socklen_t len = addr_to_sock(addr, &ss);
    int size = SOCKET_BUFFER;
    int fd =
        socket(ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int rc;

    if (fd < 0) {
        return -errno;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(fd, (struct sockaddr *)&ss, len) < 0) {
        rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

int
si_udp_local(int fd, addr_t *addr)
{
    struct sockaddr_storage ss;
    socklen_t len = sizeof(ss);

    if (getsockname(fd, (struct sockaddr *)&ss, &len) < 0) {
        return -errno;
    }
    return addr_from_sock(addr, &ss);
}

void
si_udp_send(int fd, const addr_t *to, const uint8_t *data, size_t len)
{
    struct sockaddr_storage ss;
    socklen_t sslen = addr_to_sock(to, &ss);

    if (sendto(fd, data, len, 0, (struct sockaddr *)&ss, sslen) < 0) {
        return;
    }
}

int
si_udp_receive(int fd, addr_t *from, uint8_t *data, size_t cap)
{
    struct sockaddr_storage ss;
    socklen_t len = sizeof(ss);
    ssize_t n = recvfrom(fd, data, cap, 0, (struct sockaddr *)&ss, &len);

    if (n < 0) {
        return -errno;
    }
    if (addr_from_sock(from, &ss) < 0) {
        return -EAFNOSUPPORT;
    }
    return (int)n;
}
