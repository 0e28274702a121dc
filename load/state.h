/* State of an instance in the tree of reports.  Private to load/.
 *
 * The files call downwards only: receive.c (messages received), node.c
 * (messages sent), view.c (expiry and sums), message.c (messages as bytes),
 * sum.c. */
#ifndef SISKIN_LOAD_STATE_H
#define SISKIN_LOAD_STATE_H

#include "load/message.h"

#ifdef __cplusplus
extern "C" {
#endif

#define REMOTE_ROOTS_MAX (LOAD_PEERS_MAX * LOAD_ROOTS_MAX)

/* The order of a peer's messages. */
typedef struct {
    uint64_t incarnation, former; /* 0: none */
    uint64_t seq;
} order_t;

/* The latest report of a child, or sum of another data centre's root.  Entries
 * remain for LOAD_FORGET_MS after their expiry, to order late messages. */
typedef struct {
    addr_t addr;
    order_t order;
    bool left; /* void: the sender has left */
    ms_t received_at, period_ms;
    ms_t answered_at;   /* in calm; 0: not yet */
    uint32_t first_sum; /* that the next answer in calm begins with */
    uint32_t depth;
    load_data_centre_t report; /* its age is that at RECEIVED_AT */
} sender_t;

/* A data centre's sum from the parent. */
typedef struct {
    uint64_t seq;
    ms_t received_at;
    load_data_centre_t dc; /* the same */
} received_sum_t;

struct load_node {
    load_node_spec_t spec;
    load_sum_t own;
    ms_t own_at;
    bool has_own;
    bool is_root;
    addr_t parent;
    order_t parent_order;
    ms_t parent_at; /* as in load_node_stats_t */
    bool parent_pressing;
    ms_t parent_pressing_at;
    addr_t peer[LOAD_PEERS_MAX];
    uint32_t n_peers, n_children, n_roots, n_received;
    bool flag;     /* some instance is pressing */
    bool pressing; /* the same, or it was until recently */
    ms_t flag_at, pressing_since, next_at;
    uint64_t seq;
    load_node_stats_t stats;
    sender_t child[LOAD_CHILDREN_MAX];
    sender_t root[REMOTE_ROOTS_MAX];
    received_sum_t received[LOAD_DATA_CENTRES_MAX];
    load_message_t in, out; /* buffers */
};

/* ---- node.c ---- */

/* Updates the flag: what is due is sent at once when it rises. */
void node_update_pressing(load_node_t *n, ms_t now);
/* Answers a child in calm, unless its last answer is recent. */
void node_answer(load_node_t *n, ms_t now, sender_t *child);

/* ---- view.c ---- */

/* True if the report of a root or child counts. */
bool node_is_fresh(ms_t now, const sender_t *s);
bool node_child_is_fresh(const load_node_t *n, ms_t now, const sender_t *s);
/* True if this instance's own sum counts. */
bool node_own_counts(const load_node_t *n, ms_t now);
/* Sums up this instance and its children; returns the levels below. */
uint32_t node_sum_subtree(const load_node_t *n, ms_t now,
                          load_data_centre_t *out);

#ifdef __cplusplus
}
#endif

#endif
