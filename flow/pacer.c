/* Paces forwarded packets to the instance's outgoing link.
 *
 * Callers send a window of packets at once.  Forwarded as fast as they arrive,
 * they overflow the short queue of a slow link: part of each window is lost,
 * callers retransmit all of it, and control traffic of this instance is lost
 * with it.  With pacing, the window is queued here and nothing is lost.
 *
 * Flows are served in turn, packet by packet (fair queueing), so that a short
 * request doesn't wait behind earlier uploads. */
#include "flow/flow.h"

#include <stdlib.h>

/* Share of the link for forwarded packets; the rest is for control traffic. */
#define LINK_SHARE 0.95
/* Target length of the link's own queue: enough to keep the link busy between
 * two wake-ups. */
#define LINK_QUEUE_MS 4
/* Minimum of the same: two packets of maximum size. */
#define LINK_QUEUE_MIN_BYTES 2600

/* A flow with queued packets. */
typedef struct pacer_flow {
    link_t link;    /* in pacer_t.active or pacer_t.unused */
    link_t packets; /* paced_packet_t, oldest first */
    uint32_t n;
    addr_t caller, service;
} pacer_flow_t;

struct pacer {
    double rate;      /* bytes a millisecond; 0: unlimited */
    double queue_max; /* limit on the link's queue, in bytes */
    double backlog;   /* estimated bytes in the link's queue */
    ms_t at;          /* time of that estimate */
    uint32_t n;       /* queued packets */
    link_t active;    /* flows with queued packets, next first */
    link_t unused;
    pacer_flow_t flow[PACER_MAX];
};

pacer_t *
pacer_new(uint64_t rate)
{
    pacer_t *p = calloc(1, sizeof(*p));

    if (p == NULL) {
        return NULL;
    }
    p->rate = (double)rate * LINK_SHARE / 1000;
    p->queue_max = p->rate * LINK_QUEUE_MS;
    if (p->queue_max < LINK_QUEUE_MIN_BYTES) {
        p->queue_max = LINK_QUEUE_MIN_BYTES;
    }
    list_init(&p->active);
    list_init(&p->unused);
    for (int i = 0; i < PACER_MAX; i++) {
        list_init(&p->flow[i].packets);
        list_append(&p->unused, &p->flow[i].link);
    }
    return p;
}

void
pacer_free(pacer_t *p)
{
    free(p);
}

static void
drain(pacer_t *p, ms_t now)
{
    p->backlog -= (double)(now - p->at) * p->rate;
    if (p->backlog < 0) {
        p->backlog = 0;
    }
    p->at = now;
}

/* Returns true and counts the packet if it may be sent now. */
static bool
try_send(pacer_t *p, ms_t now, uint32_t bytes)
{
    drain(p, now);
    if (p->backlog >= p->queue_max) {
        return false;
    }
    p->backlog += bytes;
    return true;
}

bool
pacer_admit(pacer_t *p, ms_t now, uint32_t bytes)
{
    return p->rate == 0 || (p->n == 0 && try_send(p, now, bytes));
}

static pacer_flow_t *
find_flow(const pacer_t *p, const addr_t *caller, const addr_t *service)
{
    LIST_EACH (it, &p->active) {
        pacer_flow_t *f = CONTAINER_OF(it, pacer_flow_t, link);
        if (addr_eq(&f->caller, caller) && addr_eq(&f->service, service)) {
            return f;
        }
    }
    return NULL;
}

paced_packet_t *
pacer_find(pacer_t *p, const flow_packet_t *packet)
{
    pacer_flow_t *f = find_flow(p, &packet->caller, &packet->service);

    if (f == NULL || packet->len == 0) {
        return NULL;
    }
    LIST_EACH (it, &f->packets) {
        paced_packet_t *w = CONTAINER_OF(it, paced_packet_t, link);
        if (w->seq == packet->seq && w->len == packet->len) {
            return w;
        }
    }
    return NULL;
}

void
pacer_push(pacer_t *p, paced_packet_t *w)
{
    pacer_flow_t *f = find_flow(p, &w->caller, &w->service);

    if (f == NULL) {
        f = CONTAINER_OF(p->unused.next, pacer_flow_t, link);
        f->caller = w->caller;
        f->service = w->service;
        list_remove(&f->link);
        list_append(&p->active, &f->link);
    }
    w->flow = f;
    list_append(&f->packets, &w->link);
    f->n++;
    p->n++;
}

static void
dequeue(pacer_t *p, paced_packet_t *w)
{
    pacer_flow_t *f = w->flow;

    list_remove(&w->link);
    f->n--;
    p->n--;
    list_remove(&f->link);
    list_append(f->n > 0 ? &p->active : &p->unused, &f->link);
}

paced_packet_t *
pacer_evict(pacer_t *p)
{
    pacer_flow_t *longest = NULL;
    paced_packet_t *w;

    LIST_EACH (it, &p->active) {
        pacer_flow_t *f = CONTAINER_OF(it, pacer_flow_t, link);
        if (longest == NULL || f->n > longest->n) {
            longest = f;
        }
    }
    if (longest == NULL) {
        return NULL;
    }
    w = CONTAINER_OF(longest->packets.prev, paced_packet_t, link);
    dequeue(p, w);
    return w;
}

paced_packet_t *
pacer_pop(pacer_t *p, ms_t now)
{
    pacer_flow_t *f = CONTAINER_OF(p->active.next, pacer_flow_t, link);
    paced_packet_t *w;

    if (p->n == 0) {
        return NULL;
    }
    w = CONTAINER_OF(f->packets.next, paced_packet_t, link);
    if (!try_send(p, now, w->bytes)) {
        return NULL;
    }
    dequeue(p, w);
    return w;
}

ms_t
pacer_next_send(const pacer_t *p)
{
    double excess = p->backlog - p->queue_max;

    if (p->n == 0) {
        return MS_NEVER;
    }
    return excess < 0 ? p->at : p->at + 1 + (ms_t)(excess / p->rate);
}

uint32_t
pacer_queued(const pacer_t *p)
{
    return p->n;
}
