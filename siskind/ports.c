/* UDP sockets: the fixed ones, and one for each service. */
#include "siskind/siskind.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

const port_t *
ports_find(const port_set_t *p, const addr_t *service)
{
    for (size_t i = 0; p != NULL && i < p->n; i++) {
        if (addr_eq(&p->port[i]->service, service)) {
            return p->port[i];
        }
    }
    return NULL;
}

/* Returns the address on which callers' datagrams for the service arrive. */
static addr_t
bind_addr(const conf_service_t *service, const settings_t *s)
{
    char text[ADDR_STRLEN];
    addr_t a = service->addr;

    if (s->bind_ip[0] == '\0') {
        return a;
    }
    snprintf(text, sizeof(text), strchr(s->bind_ip, ':') ? "[%s]:%u" : "%s:%u",
             s->bind_ip, service->addr.port);
    if (addr_parse(&a, text) < 0) {
        return service->addr;
    }
    return a;
}

static port_t *
port_open(const conf_service_t *service, const settings_t *s, bool retry)
{
    addr_t a = bind_addr(service, s);
    err_t e = {0};
    port_t *port;
    int fd = udp_open(&a, &e);

    if (fd < 0) {
        log_line(retry ? LVL_DEBUG : LVL_ERROR, "ports",
                 "Can't take datagrams for a service. "
                 "service=%s step=\"%s\" peer=%s error=\"%s\"",
                 service->name, e.step, e.peer, e.text);
        return NULL;
    }
    port = calloc(1, sizeof(*port));
    if (port == NULL) {
        close(fd);
        return NULL;
    }
    *port = (port_t){.service = service->addr, .fd = fd};
    return port;
}

port_set_t *
ports_make(const conf_t *c, const settings_t *s, const port_set_t *old)
{
    port_set_t *p = calloc(1, sizeof(*p) + c->n_services * sizeof(p->port[0]));

    if (p == NULL) {
        return NULL;
    }
    p->refs = 1;
    for (size_t i = 0; i < c->n_services; i++) {
        port_t *port = (port_t *)ports_find(old, &c->services[i].addr);
        if (port == NULL) {
            port = port_open(&c->services[i], s, old && old->missing);
        }
        if (port == NULL) {
            p->missing = true;
            continue;
        }
        __atomic_add_fetch(&port->refs, 1, __ATOMIC_ACQ_REL);
        p->port[p->n++] = port;
    }
    return p;
}

port_set_t *
ports_retain(port_set_t *p)
{
    __atomic_add_fetch(&p->refs, 1, __ATOMIC_ACQ_REL);
    return p;
}

void
ports_release(port_set_t *p)
{
    if (p == NULL || __atomic_sub_fetch(&p->refs, 1, __ATOMIC_ACQ_REL) > 0) {
        return;
    }
    for (size_t i = 0; i < p->n; i++) {
        port_t *port = p->port[i];
        if (__atomic_sub_fetch(&port->refs, 1, __ATOMIC_ACQ_REL) == 0) {
            close(port->fd);
            free(port);
        }
    }
    free(p);
}
