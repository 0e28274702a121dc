/* An instance in the tree of reports: what it sends.
 *
 * Reports go from child to parent, and sums of data centres from parent to
 * child.  In calm the sums are the answer to a report; while some instance is
 * pressing, both are sent at the fast period.  The flag goes up with reports,
 * across with root sums and down with sums.  What goes up holds the flags of
 * the subtree only: a flag that came down would otherwise go round for ever.
 *
 * Sequence numbers order the messages of a process; its incarnation tells them
 * from those of another one at the same address. */
#include "load/state.h"

#include <stdlib.h>

/* Time between two answers to a child in calm. */
#define ANSWER_PERIOD_MS (3 * LOAD_SLOW_PERIOD_MS / 2)
/* Time after the flag falls in which the fast period remains: messages that
 * raise it may be lost, and so may the first one that states the slow period,
 * without which this instance's report expires. */
#define HOLD_MS LOAD_SLOW_PERIOD_MS

/* calloc() leaves the pages of unused tables out of memory. */
load_node_t *
load_node_new(const load_node_spec_t *spec)
{
    load_node_t *n = calloc(1, sizeof(*n));

    if (n != NULL) {
        n->spec = *spec;
        n->is_root = true;
    }
    return n;
}

void
load_node_free(load_node_t *n)
{
    free(n);
}

/* ---- The flag ---- */

static bool
child_is_pressing(const load_node_t *n, ms_t now)
{
    for (uint32_t i = 0; i < n->n_children; i++) {
        if (n->child[i].report.sum.pressing &&
            node_child_is_fresh(n, now, &n->child[i])) {
            return true;
        }
    }
    return false;
}

static bool
root_is_pressing(const load_node_t *n, ms_t now)
{
    for (uint32_t i = 0; i < n->n_roots; i++) {
        if (n->root[i].report.sum.pressing &&
            node_is_fresh(now, &n->root[i])) {
            return true;
        }
    }
    return false;
}

static bool
is_pressing(const load_node_t *n, ms_t now)
{
    if ((node_own_counts(n, now) && n->own.pressing) ||
        child_is_pressing(n, now)) {
        return true;
    }
    return n->is_root ? root_is_pressing(n, now)
                      : n->parent_pressing &&
                            now - n->parent_pressing_at <=
                                LOAD_EXPIRY_PERIODS * LOAD_FAST_PERIOD_MS;
}

void
node_update_pressing(load_node_t *n, ms_t now)
{
    bool was_pressing = n->pressing;

    n->flag = is_pressing(n, now);
    n->flag_at = n->flag ? now : n->flag_at;
    n->pressing = n->flag || (was_pressing && now - n->flag_at < HOLD_MS);
    if (n->pressing && !was_pressing) {
        n->pressing_since = now;
        n->next_at = now;
    }
}

/* ---- Sending ---- */

static void
send_to(load_node_t *n, const addr_t *to, const uint8_t *data, size_t len)
{
    n->stats.sent++;
    n->stats.bytes_sent += len;
    n->spec.emit(n->spec.arg, to, data, len);
}

/* Writes the next part of n->out. */
static size_t
write_out(load_node_t *n, uint8_t data[LOAD_MESSAGE_MAX], uint32_t *first)
{
    n->out.incarnation = n->spec.incarnation;
    n->out.seq = ++n->seq;
    n->out.period_ms = n->flag ? LOAD_FAST_PERIOD_MS : LOAD_SLOW_PERIOD_MS;
    return load_message_write(data, &n->out, first);
}

static bool
is_peer(const load_node_t *n, const addr_t *a)
{
    for (uint32_t i = 0; i < n->n_peers; i++) {
        if (addr_eq(&n->peer[i], a)) {
            return true;
        }
    }
    return false;
}

/* Sends the sum of a root to the other data centres. */
static void
send_to_roots(load_node_t *n, ms_t now, const uint8_t *data, size_t len)
{
    for (uint32_t i = 0; i < n->n_peers; i++) {
        send_to(n, &n->peer[i], data, len);
    }
    for (uint32_t i = 0; i < n->n_roots && n->spec.is_known != NULL; i++) {
        const addr_t *a = &n->root[i].addr;
        if (node_is_fresh(now, &n->root[i]) && !is_peer(n, a) &&
            n->spec.is_known(n->spec.arg, a)) {
            send_to(n, a, data, len);
        }
    }
}

/* Reports to the parent, or as root to the other data centres. */
static void
send_report(load_node_t *n, ms_t now)
{
    uint8_t data[LOAD_MESSAGE_MAX];
    uint32_t first = 0;
    size_t len;

    n->out.kind = n->is_root ? LOAD_ROOT : LOAD_REPORT;
    n->out.sums.n = 1;
    n->out.depth = node_sum_subtree(n, now, &n->out.sums.dc[0]);
    n->out.pressing = n->out.sums.dc[0].sum.pressing;
    if (n->out.sums.dc[0].sum.instances == 0) {
        return;
    }
    len = write_out(n, data, &first);
    if (n->is_root) {
        send_to_roots(n, now, data, len);
    }
    else {
        send_to(n, &n->parent, data, len);
    }
}

static void
prepare_sums(load_node_t *n, ms_t now)
{
    n->out.kind = LOAD_SUMS;
    n->out.depth = 0;
    n->out.pressing = n->flag;
    load_node_view(n, now, &n->out.sums);
}

/* Sends the sums of all data centres to all children. */
static void
push_sums(load_node_t *n, ms_t now)
{
    uint8_t data[LOAD_MESSAGE_MAX];
    uint32_t first = 0;
    size_t len;

    prepare_sums(n, now);
    do {
        len = write_out(n, data, &first);
        for (uint32_t i = 0; i < n->n_children; i++) {
            if (node_child_is_fresh(n, now, &n->child[i])) {
                send_to(n, &n->child[i].addr, data, len);
            }
        }
    } while (first < n->out.sums.n);
}

/* One message: sums that don't fit begin the next answer. */
void
node_answer(load_node_t *n, ms_t now, sender_t *child)
{
    uint8_t data[LOAD_MESSAGE_MAX];
    uint32_t first;
    size_t len;

    if (child->answered_at != 0 &&
        now - child->answered_at < ANSWER_PERIOD_MS) {
        return;
    }
    prepare_sums(n, now);
    first = child->first_sum < n->out.sums.n ? child->first_sum : 0;
    len = write_out(n, data, &first);
    child->first_sum = first;
    child->answered_at = now;
    send_to(n, &child->addr, data, len);
}

/* Declares the report at TO void. */
static void
send_leave(load_node_t *n, const addr_t *to)
{
    uint8_t data[LOAD_MESSAGE_MAX];
    uint32_t first = 0;
    size_t len;

    n->out.kind = LOAD_LEAVE;
    n->out.pressing = false;
    n->out.depth = 0;
    n->out.sums.n = 0;
    len = write_out(n, data, &first);
    send_to(n, to, data, len);
}

ms_t
load_node_tick(load_node_t *n, ms_t now)
{
    node_update_pressing(n, now);
    if (now >= n->next_at) {
        ms_t period = n->pressing ? LOAD_FAST_PERIOD_MS : LOAD_SLOW_PERIOD_MS;
        send_report(n, now);
        if (n->pressing) {
            push_sums(n, now);
        }
        n->next_at =
            now - n->next_at < period ? n->next_at + period : now + period;
    }
    return n->next_at;
}

/* ---- Inputs ---- */

void
load_node_set_own(load_node_t *n, ms_t now, const load_sum_t *own)
{
    if (!node_own_counts(n, now)) {
        n->next_at = now; /* the parent pushes nothing before a report */
    }
    n->own = *own;
    n->own_at = now;
    n->has_own = true;
}

/* Replaces the sums from a former parent, which a root hasn't updated, by
 * those that it has of the other data centres. */
static void
keep_sums_of_root(load_node_t *n, ms_t now)
{
    load_node_view(n, now, &n->out.sums);
    n->n_received = 0;
    for (uint32_t i = 0; i < n->out.sums.n; i++) {
        const load_data_centre_t *dc = &n->out.sums.dc[i];
        if (dc->data_centre != n->spec.data_centre) {
            n->received[n->n_received++] =
                (received_sum_t){.received_at = now, .dc = *dc};
        }
    }
}

void
load_node_set_parent(load_node_t *n, ms_t now, const addr_t *parent)
{
    bool is_root = parent == NULL;

    if (is_root == n->is_root && (is_root || addr_eq(parent, &n->parent))) {
        return;
    }
    if (!n->is_root) {
        send_leave(n, &n->parent);
    }
    for (uint32_t i = 0; n->is_root && i < n->n_peers; i++) {
        send_leave(n, &n->peer[i]);
    }
    if (n->is_root) {
        keep_sums_of_root(n, now);
    }
    n->is_root = is_root;
    n->parent = (addr_t){.port = 0};
    if (!is_root) {
        n->parent = *parent;
    }
    n->parent_order = (order_t){.seq = 0};
    n->parent_at = now;
    n->parent_pressing = false;
    for (uint32_t i = 0; i < n->n_received; i++) {
        n->received[i].seq = 0;
    }
    n->next_at = now;
}

void
load_node_set_peers(load_node_t *n, const addr_t *peer, uint32_t count)
{
    n->n_peers = count < LOAD_PEERS_MAX ? count : LOAD_PEERS_MAX;
    for (uint32_t i = 0; i < n->n_peers; i++) {
        n->peer[i] = peer[i];
    }
}

void
load_node_stats(const load_node_t *n, ms_t now, load_node_stats_t *out)
{
    *out = n->stats;
    out->pressing = n->pressing;
    out->parent_at = n->parent_at;
    out->children = 0;
    for (uint32_t i = 0; i < n->n_children; i++) {
        out->children += node_child_is_fresh(n, now, &n->child[i]);
    }
}
