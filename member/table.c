/* The member table: records sorted by ID for binary search, and the shuffled
 * ping order.  Entries move only when a member joins or a dead member's record
 * is removed.
 */
#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAP 16

/* Returns the index of ID, or the index at which to insert it. */
static size_t
position(const members_t *m, uint64_t id)
{
    size_t lo = 0;
    size_t hi = m->n;

    while (lo < hi) {
        size_t mid = (lo + hi) / 2;
        if (m->list[mid].id < id) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return lo;
}

peer_t *
table_find(const members_t *m, uint64_t id)
{
    size_t i = position(m, id);

    return i < m->n && m->list[i].id == id ? m->peer[i] : NULL;
}

static bool
grow(members_t *m)
{
    size_t cap = m->cap == 0 ? INITIAL_CAP : m->cap + m->cap / 2;
    member_t *list;
    peer_t **peers;

    if (m->n < m->cap) {
        return true;
    }
    if (m->n >= MEMBERS_LIMIT ||
        (list = realloc(m->list, cap * sizeof(*list))) == NULL) {
        return false;
    }
    m->list = list;
    if ((peers = realloc(m->peer, cap * sizeof(*peers))) == NULL) {
        return false;
    }
    m->peer = peers;
    if ((peers = realloc(m->order, cap * sizeof(*peers))) == NULL) {
        return false;
    }
    m->order = peers;
    m->cap = cap;
    return true;
}

static void
renumber(members_t *m, size_t from)
{
    for (size_t i = from; i < m->n; i++) {
        m->peer[i]->index = (uint32_t)i;
    }
}

/* Swaps the new last entry with a random one of the ping order. */
static void
order_add(members_t *m, peer_t *p)
{
    size_t at = rng_below(&m->rng, (uint32_t)m->n);

    m->order[m->n - 1] = p;
    m->order[m->n - 1] = m->order[at];
    m->order[at] = p;
}

peer_t *
table_add(members_t *m, const member_t *member)
{
    size_t i = position(m, member->id);
    peer_t *p;

    if (!grow(m) || (p = calloc(1, sizeof(*p))) == NULL) {
        return NULL;
    }
    memmove(&m->list[i + 1], &m->list[i], (m->n - i) * sizeof(*m->list));
    memmove(&m->peer[i + 1], &m->peer[i], (m->n - i) * sizeof(*m->peer));
    m->list[i] = *member;
    m->peer[i] = p;
    m->n++;
    renumber(m, i);
    p->id = member->id;
    p->unlisted_at = MS_NEVER;
    list_init(&p->gossip);
    list_init(&p->unreachable);
    order_add(m, p);
    return p;
}

static void
order_remove(members_t *m, const peer_t *p)
{
    for (size_t i = 0; i < m->n; i++) {
        if (m->order[i] == p) {
            m->order[i] = m->order[m->n - 1];
            return;
        }
    }
}

void
table_remove(members_t *m, peer_t *p)
{
    size_t i = p->index;

    order_remove(m, p);
    list_remove(&p->gossip);
    list_remove(&p->unreachable);
    m->n--;
    memmove(&m->list[i], &m->list[i + 1], (m->n - i) * sizeof(*m->list));
    memmove(&m->peer[i], &m->peer[i + 1], (m->n - i) * sizeof(*m->peer));
    renumber(m, i);
    free(p);
}

void
table_free(members_t *m)
{
    for (size_t i = 0; i < m->n; i++) {
        free(m->peer[i]);
    }
    free(m->list);
    free(m->peer);
    free(m->order);
}

void
table_shuffle(members_t *m)
{
    for (size_t i = m->n; i > 1; i--) {
        size_t j = rng_below(&m->rng, (uint32_t)i);
        peer_t *p = m->order[i - 1];
        m->order[i - 1] = m->order[j];
        m->order[j] = p;
    }
}
