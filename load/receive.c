/* An instance in the tree of reports: messages received. */
#include "load/state.h"

#include <errno.h>

/* Levels of a tree.  Instances that follow each other in a circle for a moment
 * would otherwise add up their own reports. */
#define LEVELS_MAX 8

static bool
order_is_newer(const order_t *o, const load_message_t *m)
{
    return m->incarnation == o->incarnation ? m->seq > o->seq
                                            : m->incarnation != o->former;
}

static void
order_update(order_t *o, const load_message_t *m)
{
    if (m->incarnation != o->incarnation) {
        o->former = o->incarnation;
        o->incarnation = m->incarnation;
    }
    o->seq = m->seq;
}

/* ---- Receiving ---- */

/* The place of a further sender: at the end, or of a forgotten one; NULL: the
 * table is full. */
static sender_t *
place_sender(sender_t *s, uint32_t *n, uint32_t max, ms_t now)
{
    if (*n < max) {
        return &s[(*n)++];
    }
    for (uint32_t i = 0; i < *n; i++) {
        if (now - s[i].received_at > LOAD_FORGET_MS) {
            return &s[i];
        }
    }
    return NULL;
}

static sender_t *
find_sender(sender_t *s, uint32_t n, const addr_t *from)
{
    for (uint32_t i = 0; i < n; i++) {
        if (addr_eq(&s[i].addr, from)) {
            return &s[i];
        }
    }
    return NULL;
}

/* Stores the report in n->in of the sender S; a new one has the address 0. */
static int
store_report(load_node_t *n, ms_t now, const addr_t *from, sender_t *s,
             ms_t age)
{
    if (now - s->received_at > LOAD_FORGET_MS) {
        *s = (sender_t){.addr = *from};
    }
    if (!order_is_newer(&s->order, &n->in)) {
        return -ESTALE;
    }
    order_update(&s->order, &n->in);
    s->left = false;
    s->depth = n->in.depth;
    s->period_ms = n->in.period_ms < LOAD_SLOW_PERIOD_MS ? n->in.period_ms
                                                         : LOAD_SLOW_PERIOD_MS;
    s->report = n->in.sums.dc[0];
    s->received_at = now - age;
    return 0;
}

/* A parent's report is rejected: it counts this instance. */
static int
receive_report(load_node_t *n, ms_t now, const addr_t *from, ms_t age)
{
    sender_t *s = find_sender(n->child, n->n_children, from);
    int rc;

    if (n->in.sums.n != 1) {
        return -EPROTO;
    }
    if (n->in.sums.dc[0].data_centre != n->spec.data_centre ||
        n->in.depth + 1 >= LEVELS_MAX ||
        (!n->is_root && addr_eq(from, &n->parent))) {
        return -EINVAL;
    }
    if (s == NULL) {
        s = place_sender(n->child, &n->n_children, LOAD_CHILDREN_MAX, now);
        if (s == NULL) {
            return -ENOSPC;
        }
        *s = (sender_t){.addr = *from};
    }
    rc = store_report(n, now, from, s, age);
    node_update_pressing(n, now);
    if (rc == 0 && !n->pressing) {
        node_answer(n, now, s);
    }
    return rc;
}

static bool
has_root_place(const load_node_t *n, ms_t now, uint64_t data_centre)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < n->n_roots; i++) {
        const sender_t *s = &n->root[i];
        count += s->report.data_centre == data_centre &&
                 now - s->received_at <= LOAD_FORGET_MS;
    }
    return count < LOAD_ROOTS_MAX;
}

/* A sum of a root is accepted from known instances of other data centres only:
 * otherwise any sender could set the load of a data centre. */
static int
receive_root(load_node_t *n, ms_t now, const addr_t *from, ms_t age)
{
    sender_t *s = find_sender(n->root, n->n_roots, from);
    uint64_t data_centre = n->in.sums.dc[0].data_centre;

    if (n->in.sums.n != 1) {
        return -EPROTO;
    }
    if (data_centre == n->spec.data_centre) {
        return -EINVAL;
    }
    if (n->spec.is_known != NULL && !n->spec.is_known(n->spec.arg, from)) {
        return -EACCES;
    }
    if (s == NULL) {
        s = has_root_place(n, now, data_centre)
                ? place_sender(n->root, &n->n_roots, REMOTE_ROOTS_MAX, now)
                : NULL;
        if (s == NULL) {
            return -ENOSPC;
        }
        *s = (sender_t){.addr = *from};
    }
    return store_report(n, now, from, s, age);
}

static received_sum_t *
find_received(load_node_t *n, uint64_t data_centre)
{
    for (uint32_t i = 0; i < n->n_received; i++) {
        if (n->received[i].dc.data_centre == data_centre) {
            return &n->received[i];
        }
    }
    if (n->n_received == LOAD_DATA_CENTRES_MAX) {
        return NULL;
    }
    n->received[n->n_received] =
        (received_sum_t){.dc = {.data_centre = data_centre}};
    return &n->received[n->n_received++];
}

static int
receive_sums(load_node_t *n, ms_t now, const addr_t *from, ms_t age)
{
    const load_message_t *m = &n->in;
    order_t *o = &n->parent_order;
    int rc = -ESTALE;

    if (n->is_root || !addr_eq(from, &n->parent)) {
        return -EACCES;
    }
    if (m->incarnation != o->incarnation) {
        if (m->incarnation == o->former) {
            return -ESTALE;
        }
        for (uint32_t i = 0; i < n->n_received; i++) {
            n->received[i].seq = 0;
        }
    }
    if (order_is_newer(o, m)) {
        order_update(o, m);
        n->parent_pressing = m->pressing;
        n->parent_pressing_at = now - age;
        n->parent_at = now;
        rc = 0;
    }
    /* The parts of one push may arrive in any order. */
    for (uint32_t i = 0; i < m->sums.n; i++) {
        received_sum_t *r = find_received(n, m->sums.dc[i].data_centre);
        if (r != NULL && m->seq > r->seq) {
            *r = (received_sum_t){m->seq, now - age, m->sums.dc[i]};
            rc = 0;
        }
    }
    return rc;
}

static int
receive_leave(load_node_t *n, const addr_t *from)
{
    sender_t *s = find_sender(n->child, n->n_children, from);

    if (s == NULL) {
        s = find_sender(n->root, n->n_roots, from);
    }
    if (s == NULL || !order_is_newer(&s->order, &n->in)) {
        return -ESTALE;
    }
    order_update(&s->order, &n->in);
    s->left = true;
    return 0;
}

static int
receive_message(load_node_t *n, ms_t now, const addr_t *from, ms_t age)
{
    switch (n->in.kind) {
    case LOAD_REPORT:
        return receive_report(n, now, from, age);
    case LOAD_ROOT:
        return receive_root(n, now, from, age);
    case LOAD_SUMS:
        return receive_sums(n, now, from, age);
    case LOAD_LEAVE:
        return receive_leave(n, from);
    case LOAD_MESSAGES:
        break;
    }
    return -EPROTO;
}

int
load_node_receive(load_node_t *n, ms_t now, const addr_t *from,
                  const uint8_t *data, size_t len, ms_t age_ms)
{
    int rc = load_message_read(&n->in, data, len);

    n->stats.received++;
    if (rc == 0) {
        rc = receive_message(n, now, from, age_ms);
    }
    n->stats.malformed += rc == -EPROTO;
    n->stats.ignored += rc < 0 && rc != -EPROTO;
    return rc;
}
