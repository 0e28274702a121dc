/* udp: nonblocking UDP sockets for the stand-ins. */
#ifndef SISKIN_STANDIN_UDP_H
#define SISKIN_STANDIN_UDP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns a socket bound to ADDR (port 0: any free port), or a negative errno.
 */
int si_udp_open(const addr_t *addr);
/* Gets FD's local address. */
int si_udp_local(int fd, addr_t *addr);
/* Sends one datagram; like a network, drops the datagram when the socket
 * buffer is full. */
void si_udp_send(int fd, const addr_t *to, const uint8_t *data, size_t len);
/* Returns the number of bytes read, or -EAGAIN when no datagram is pending. */
int si_udp_receive(int fd, addr_t *from, uint8_t *data, size_t cap);

#ifdef __cplusplus
}
#endif

#endif
