/* Sends packets in batches, paced to the instance's link (flow/pacer.c). */
#include "tagged/tagged.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define PACKET_BATCH 32 /* packets per sendmmsg() call */
/* UDP and IPv4 headers. */
#define NET_HEAD_BYTES 28
/* Minimum interval between log lines about a full queue. */
#define FULL_LOG_MS 1000

/* A packet queued for the link. */
typedef struct {
    paced_packet_t paced;
    addr_t to;
    uint64_t upstream;
    size_t len;
    uint8_t data[PACKET_MAX_LEN];
} queued_packet_t;

struct sender {
    tagged_t *t;
    pacer_t *pacer;
    ms_t full_logged_at;
    unsigned n_out;
    struct mmsghdr out[PACKET_BATCH];
    struct iovec iov[PACKET_BATCH][2];
    struct sockaddr_storage to[PACKET_BATCH];
    uint8_t prefix[PACKET_BATCH][PACKET_PREFIX_LEN];
    uint8_t reset[PACKET_BATCH][PACKET_HEADER_LEN];
    link_t free_list; /* queued_packet_t.paced */
    queued_packet_t queue[PACER_MAX];
};

sender_t *
sender_new(tagged_t *t)
{
    sender_t *s = calloc(1, sizeof(*s));

    if (s == NULL) {
        return NULL;
    }
    s->t = t;
    s->pacer = pacer_new((uint64_t)(t->settings.link_mbps * 1e6 / 8));
    if (s->pacer == NULL) {
        free(s);
        return NULL;
    }
    s->full_logged_at = -FULL_LOG_MS;
    list_init(&s->free_list);
    for (int i = 0; i < PACER_MAX; i++) {
        list_append(&s->free_list, &s->queue[i].paced.link);
    }
    return s;
}

void
sender_free(sender_t *s)
{
    if (s != NULL) {
        pacer_free(s->pacer);
        free(s);
    }
}

void
sender_flush(sender_t *s)
{
    unsigned done = 0;

    while (done < s->n_out) {
        int n = sendmmsg(s->t->flow_fd, s->out + done, s->n_out - done,
                         MSG_DONTWAIT);
        if (n <= 0) {
            if (errno == EINTR) {
                continue;
            }
            /* Buffer full or packet refused: lost, as in any network; the
             * caller retransmits it. */
            counter_add(&s->t->count.send_failed, 1);
            n = 1;
        }
        else {
            counter_add(&s->t->count.sent, (uint64_t)n);
        }
        done += (unsigned)n;
    }
    s->n_out = 0;
}

static struct msghdr *
next_out(sender_t *s, const addr_t *to)
{
    struct msghdr *h;
    unsigned i;

    if (s->n_out == PACKET_BATCH) {
        sender_flush(s);
    }
    i = s->n_out++;
    h = &s->out[i].msg_hdr;
    *h = (struct msghdr){.msg_name = &s->to[i], .msg_iov = s->iov[i]};
    h->msg_namelen = addr_to_sock(to, &s->to[i]);
    return h;
}

static void
send_upstream(sender_t *s, uint8_t *data, size_t len, const addr_t *to,
              uint64_t upstream)
{
    struct msghdr *h = next_out(s, to);
    uint8_t *prefix = s->prefix[s->n_out - 1];

    packet_write_prefix(prefix, upstream);
    h->msg_iov[0] = (struct iovec){prefix, PACKET_PREFIX_LEN};
    h->msg_iov[1] = (struct iovec){data, len};
    h->msg_iovlen = 2;
}

void
sender_reset(sender_t *s, const addr_t *caller, const addr_t *service,
             uint32_t seq)
{
    addr_t to = *caller;
    struct msghdr *h;
    uint8_t *reset;

    to.port = s->t->settings.flow_addr.port;
    h = next_out(s, &to);
    reset = s->reset[s->n_out - 1];
    packet_write_reset(reset, caller, service, seq);
    h->msg_iov[0] = (struct iovec){reset, PACKET_HEADER_LEN};
    h->msg_iovlen = 1;
}

/* ---- Queued packets ---- */

static queued_packet_t *
queued_of(paced_packet_t *p)
{
    return p != NULL ? CONTAINER_OF(p, queued_packet_t, paced) : NULL;
}

/* Returns a free entry, or that of a packet of the flow with most packets
 * queued. */
static queued_packet_t *
make_room(sender_t *s, ms_t now)
{
    queued_packet_t *q;

    if (!list_empty(&s->free_list)) {
        q = CONTAINER_OF(s->free_list.next, queued_packet_t, paced.link);
        list_remove(&q->paced.link);
        return q;
    }
    counter_add(&s->t->count.evicted, 1);
    if (now - s->full_logged_at >= FULL_LOG_MS) {
        s->full_logged_at = now;
        log_line(LVL_WARN, "packets",
                 "Link full, packets dropped. waiting=%u dropped=%llu",
                 pacer_queued(s->pacer),
                 (unsigned long long)counter_read(&s->t->count.evicted));
    }
    return queued_of(pacer_evict(s->pacer));
}

static void
set_packet(queued_packet_t *q, const uint8_t *data, size_t len,
           const flow_decision_t *d)
{
    q->to = d->to;
    q->upstream = d->upstream;
    q->len = len;
    memcpy(q->data, data, len);
}

static void
enqueue_packet(sender_t *s, ms_t now, const flow_packet_t *in,
               const uint8_t *data, size_t len, const flow_decision_t *d)
{
    queued_packet_t *q = queued_of(pacer_find(s->pacer, in));

    if (q != NULL) { /* the later copy acknowledges more */
        counter_add(&s->t->count.retransmits, 1);
        set_packet(q, data, len, d);
        return;
    }
    counter_add(&s->t->count.paced, 1);
    q = make_room(s, now);
    set_packet(q, data, len, d);
    q->paced.caller = in->caller;
    q->paced.service = in->service;
    q->paced.seq = in->seq;
    q->paced.len = in->len;
    q->paced.bytes = (uint32_t)len + PACKET_PREFIX_LEN + NET_HEAD_BYTES;
    pacer_push(s->pacer, &q->paced);
}

void
sender_forward(sender_t *s, ms_t now, const flow_packet_t *in, uint8_t *data,
               size_t len, const flow_decision_t *d)
{
    uint32_t bytes = (uint32_t)len + PACKET_PREFIX_LEN + NET_HEAD_BYTES;

    if (pacer_admit(s->pacer, now, bytes)) {
        send_upstream(s, data, len, &d->to, d->upstream);
    }
    else {
        enqueue_packet(s, now, in, data, len, d);
    }
}

ms_t
sender_tick(sender_t *s, ms_t now)
{
    paced_packet_t *p;

    while ((p = pacer_pop(s->pacer, now)) != NULL) {
        queued_packet_t *q = queued_of(p);
        send_upstream(s, q->data, q->len, &q->to, q->upstream);
        list_append(&s->free_list, &p->link); /* not reused before the flush */
    }
    sender_flush(s);
    return pacer_next_send(s->pacer);
}
