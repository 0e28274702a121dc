/* udp: nonblocking UDP sockets of the stand-ins. */
#ifndef SISKIN_STANDIN_UDP_H
#define SISKIN_STANDIN_UDP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A socket bound to ADDR (port 0: any), or a negative errno. */
int si_udp_open(const addr_t *addr);
/* The address that FD has. */
int si_udp_local(int fd, addr_t *addr);
/* One datagram; a full socket buffer drops it, as a network would. */
void si_udp_send(int fd, const addr_t *to, const uint8_t *data, size_t len);
/* Bytes read, or -EAGAIN when there is nothing. */
int si_udp_receive(int fd, addr_t *from, uint8_t *data, size_t cap);

#ifdef __cplusplus
}
#endif

#endif
