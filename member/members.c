/* Members: their list, the own state and version, and what the group has
 * acknowledged. */
#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

#define VERSION_FANOUT 3 /* extra pings when a version comes in force */

members_t *
members_new(const member_t *self, const member_params_t *params, uint64_t seed,
            member_emit_t *emit, void *arg)
{
    members_t *m = calloc(1, sizeof(*m));
    member_t r = *self;

    if (m == NULL) {
        return NULL;
    }
    m->params = *params;
    m->rng = (rng_t){.seed = hash_mix(seed, self->id)};
    m->emit = emit;
    m->arg = arg;
    m->self_id = self->id;
    m->uncertain_at = INT64_MIN;
    m->last_tick = MS_NEVER;
    m->seq = (uint32_t)rng_next(&m->rng);
    list_init(&m->unreachable);
    for (int i = 0; i < GOSSIP_MAX; i++) {
        list_init(&m->gossip[i]);
    }
    if (r.incarnation == 0) {
        r.incarnation = 1;
    }
    m->self = table_add(m, &r);
    if (m->self == NULL) {
        members_free(m);
        return NULL;
    }
    m->stats.count[r.state]++;
    m->lowest_stale = true;
    return m;
}

void
members_free(members_t *m)
{
    if (m != NULL) {
        table_free(m);
        free(m);
    }
}

void
members_add_peer(members_t *m, ms_t now, const member_t *peer)
{
    peer_t *p = table_find(m, peer->id);
    member_t r = *peer;

    if (p != NULL) {
        return;
    }
    r.incarnation = 0;
    r.revision = 0;
    r.state = MEMBER_JOINING;
    r.left = false;
    r.version = 0;
    view_add(m, now, &r);
}

/* Two readings of the list without a suspect, gone_timeout_ms apart, confirm
 * that it is gone, if it has been SUSPECT for as long.  While the list can't
 * be read, no suspect is confirmed. */
static void
confirm_gone(members_t *m, ms_t now, peer_t *p)
{
    const member_t *r = rec_of(m, p);
    ms_t gone_timeout_ms = m->params.gone_timeout_ms;

    if (p->list_round == m->list_round) {
        p->unlisted_at = MS_NEVER;
        return;
    }
    if (p->unlisted_at == MS_NEVER) {
        p->unlisted_at = now;
    }
    if (r->state == MEMBER_SUSPECT &&
        now - p->unlisted_at >= gone_timeout_ms &&
        now - r->changed_at >= gone_timeout_ms) {
        view_set_state(m, now, p, MEMBER_GONE);
    }
}

void
members_apply_list(members_t *m, ms_t now, const uint64_t *ids, size_t n)
{
    m->list_round++;
    for (size_t i = 0; i < n; i++) {
        peer_t *p = table_find(m, ids[i]);
        if (p != NULL) {
            p->list_round = m->list_round;
        }
    }
    for (size_t i = 0; i < m->n; i++) {
        confirm_gone(m, now, m->peer[i]);
    }
}

void
members_set_self(members_t *m, ms_t now, member_state_t state)
{
    member_t *self = self_of(m);

    if (self->state == state) {
        return;
    }
    m->stats.count[self->state]--;
    m->stats.count[state]++;
    m->lowest_stale = true;
    self->state = state;
    self->left = state == MEMBER_GONE;
    self->revision++;
    view_self_changed(m, now);
    m->n_corrections = 0;
    probes_spread_self(m, now);
}

void
members_set_version(members_t *m, ms_t now, uint64_t version, uint64_t hash)
{
    member_t *self = self_of(m);

    if (version <= self->version) {
        return;
    }
    view_set_version(m, self, version);
    m->self_hash = hash;
    m->n_corrections = 0;
    for (int i = 0; i < VERSION_FANOUT; i++) {
        peer_t *p = peer_pick_random(m, NULL);
        if (p != NULL && rec_of(m, p)->version < version) {
            message_ping(m, now, p);
        }
    }
}

size_t
members_list(const members_t *m, const member_t **out)
{
    *out = m->list;
    return m->n;
}

const member_t *
members_find(const members_t *m, uint64_t id)
{
    const peer_t *p = table_find(m, id);

    return p != NULL ? rec_of(m, p) : NULL;
}

void
members_stats(const members_t *m, member_stats_t *out)
{
    *out = m->stats;
}

/* A joining instance with a record of one peer only, and acknowledged by it,
 * would assume that it owns half of the flows.  So it waits until it has
 * records of as many alive members as the peer that sent the last message. */
static bool
view_is_complete(const members_t *m)
{
    return self_of(m)->state != MEMBER_JOINING ||
           alive_count(m) >= m->reported_alive;
}

bool
members_acked(const members_t *m)
{
    if (!view_is_complete(m)) {
        return false;
    }
    for (size_t i = 0; i < m->n; i++) {
        const member_t *r = &m->list[i];
        if (r->id == m->self_id ||
            (r->state != MEMBER_ACTIVE && r->state != MEMBER_JOINING)) {
            continue;
        }
        if (!peer_has_acked(m, m->peer[i])) {
            return false;
        }
    }
    return true;
}

ms_t
members_uncertain_at(const members_t *m, ms_t now)
{
    return m->stats.count[MEMBER_SUSPECT] > 0 ? now : m->uncertain_at;
}

static uint64_t
find_lowest(const members_t *m)
{
    uint64_t lowest = UINT64_MAX;

    for (size_t i = 0; i < m->n; i++) {
        const member_t *r = &m->list[i];
        bool empty = r->state == MEMBER_JOINING && r->version == 0 &&
                     r->incarnation != 0;
        if (r->state != MEMBER_GONE && !empty && r->version < lowest) {
            lowest = r->version;
        }
    }
    return lowest == UINT64_MAX ? 0 : lowest;
}

uint64_t
members_lowest_version(members_t *m)
{
    if (m->lowest_stale) {
        m->lowest = find_lowest(m);
        m->lowest_stale = false;
    }
    return m->lowest;
}

static uint64_t
watch_rank(const member_t *r)
{
    return hash_mix(r->id, hash64("watch", 5, 0));
}

bool
members_watches_platform(const members_t *m, int watchers)
{
    const member_t *self = self_of(m);
    int before = 0;

    for (size_t i = 0; i < m->n; i++) {
        const member_t *r = &m->list[i];
        if (r->id == m->self_id || r->state != MEMBER_ACTIVE ||
            strcmp(r->data_centre, self->data_centre) != 0) {
            continue;
        }
        if (self->state != MEMBER_ACTIVE || watch_rank(r) < watch_rank(self)) {
            before++;
        }
    }
    return before < watchers;
}
