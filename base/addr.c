/* Addresses: text form, socket address, comparison. */
#include "base/base.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const uint8_t v4_prefix[12] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 255, 255};

static int
port_parse(uint16_t *port, const char *s)
{
    char *end;
    long v;

    if (*s < '0' || *s > '9') {
        return -EINVAL;
    }
    v = strtol(s, &end, 10);
    if (*end != '\0' || v < 1 || v > UINT16_MAX) {
        return -EINVAL;
    }
    *port = (uint16_t)v;
    return 0;
}

static int
ip_parse(uint8_t ip[16], const char *s)
{
    if (inet_pton(AF_INET6, s, ip) == 1) {
        return 0;
    }
    memcpy(ip, v4_prefix, sizeof(v4_prefix));
    return inet_pton(AF_INET, s, ip + 12) == 1 ? 0 : -EINVAL;
}

int
addr_parse(addr_t *a, const char *s)
{
    char host[INET6_ADDRSTRLEN];
    const char *colon = strrchr(s, ':');
    size_t len;

    if (colon == NULL) {
        return -EINVAL;
    }
    len = (size_t)(colon - s);
    if (s[0] == '[') {
        if (len < 2 || s[len - 1] != ']') {
            return -EINVAL;
        }
        s++;
        len -= 2;
    }
    if (len == 0 || len >= sizeof(host)) {
        return -EINVAL;
    }
    memcpy(host, s, len);
    host[len] = '\0';
    *a = (addr_t){0};
    if (ip_parse(a->ip, host) < 0) {
        return -EINVAL;
    }
    return port_parse(&a->port, colon + 1);
}

static bool
is_v4(const addr_t *a)
{
    return memcmp(a->ip, v4_prefix, sizeof(v4_prefix)) == 0;
}

const char *
addr_text(const addr_t *a, char *buf)
{
    char host[INET6_ADDRSTRLEN];

    if (is_v4(a)) {
        inet_ntop(AF_INET, a->ip + 12, host, sizeof(host));
        snprintf(buf, ADDR_STRLEN, "%s:%u", host, a->port);
    }
    else {
        inet_ntop(AF_INET6, a->ip, host, sizeof(host));
        snprintf(buf, ADDR_STRLEN, "[%s]:%u", host, a->port);
    }
    return buf;
}

bool
addr_eq(const addr_t *a, const addr_t *b)
{
    return a->port == b->port && memcmp(a->ip, b->ip, sizeof(a->ip)) == 0;
}

bool
addr_is_zero(const addr_t *a)
{
    static const addr_t zero;

    return addr_eq(a, &zero);
}

socklen_t
addr_to_sock(const addr_t *a, struct sockaddr_storage *ss)
{
    memset(ss, 0, sizeof(*ss));
    if (is_v4(a)) {
        struct sockaddr_in *in = (struct sockaddr_in *)ss;
        in->sin_family = AF_INET;
        in->sin_port = htons(a->port);
        memcpy(&in->sin_addr, a->ip + 12, 4);
        return sizeof(*in);
    }
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)ss;
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(a->port);
    memcpy(&in6->sin6_addr, a->ip, 16);
    return sizeof(*in6);
}

int
addr_from_sock(addr_t *a, const struct sockaddr_storage *ss)
{
    if (ss->ss_family == AF_INET) {
        const struct sockaddr_in *in = (const struct sockaddr_in *)ss;
        memcpy(a->ip, v4_prefix, sizeof(v4_prefix));
        memcpy(a->ip + 12, &in->sin_addr, 4);
        a->port = ntohs(in->sin_port);
        return 0;
    }
    if (ss->ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)ss;
        memcpy(a->ip, &in6->sin6_addr, 16);
        a->port = ntohs(in6->sin6_port);
        return 0;
    }
    return -EAFNOSUPPORT;
}
