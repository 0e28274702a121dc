/* Ownership of keys: rendezvous hashing of slots over the members. */
#include "core/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define RANKS 3

/* The first members by rank for a slot, of those that may own it. */
typedef struct {
    const peer_t *active[2]; /* first two ACTIVE */
    const peer_t *joining;   /* first JOINING */
    uint64_t active_score[2], joining_score;
} ranks_t;

slot_t *
slot_of(core_t *c, uint64_t key)
{
    return &c->slots[key >> 52];
}

uint64_t
owner_of(core_t *c, uint64_t key)
{
    return slot_of(c, key)->owner;
}

uint64_t
core_owner(const core_t *c, const addr_t *service, const addr_t *client)
{
    uint32_t i = map_get(&c->service_map, addr_id(service));
    uint64_t key = flow_key(service, client);

    if (i == MAP_NONE) {
        return 0;
    }
    return c->slots[flow_owner_key(&c->services[i], key) >> 52].owner;
}

uint64_t
sync_target(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    return s->owner != c->p.self ? s->owner : s->backup;
}

bool
handing_over(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    return s->owner != c->p.self || s->backup_joins;
}

/* Ownership is exclusive when, for OWNER_SETTLE_MS, this instance was the
 * owner and all members were alive and had the same view: no other instance
 * can then have forwarded what is not recorded here.  A single suspect member
 * anywhere ends this: cut off from the others, the suspect treats itself as
 * the owner of everything that the fabric delivers to it. */
bool
owner_exclusive(core_t *c, uint64_t key)
{
    return !c->suspects && c->now - c->uncertain_at >= OWNER_SETTLE_MS &&
           c->now - c->start >= OWNER_SETTLE_MS &&
           c->now - slot_of(c, key)->owner_since >= OWNER_SETTLE_MS;
}

/* For OWNER_SETTLE_MS a new owner forwards datagrams of unknown flows to its
 * predecessor, which has pins that the new owner lacks. */
uint64_t
previous_owner(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    if (c->now - s->owner_since >= OWNER_SETTLE_MS) {
        return 0;
    }
    return s->previous;
}

static void
rank_active(ranks_t *r, const peer_t *p, uint64_t score)
{
    if (r->active[0] == NULL || score > r->active_score[0]) {
        r->active[1] = r->active[0];
        r->active_score[1] = r->active_score[0];
        r->active[0] = p;
        r->active_score[0] = score;
        return;
    }
    if (r->active[1] == NULL || score > r->active_score[1]) {
        r->active[1] = p;
        r->active_score[1] = score;
    }
}

static void
rank_slot(const core_t *c, uint32_t slot, ranks_t *r)
{
    *r = (ranks_t){0};
    for (size_t i = 0; i < c->n_peers; i++) {
        const peer_t *p = &c->peers[i];
        uint64_t score = hash_mix(p->id, slot);

        switch (p->state) {
        case MEMBER_ACTIVE:
            rank_active(r, p, score);
            break;
        case MEMBER_JOINING:
            if (r->joining == NULL || score > r->joining_score) {
                r->joining = p;
                r->joining_score = score;
            }
            break;
        case MEMBER_SUSPECT:
        case MEMBER_LEAVING:
        case MEMBER_GONE:
            break;
        }
    }
}

static const peer_t *
peer_find(const core_t *c, uint64_t id)
{
    for (size_t i = 0; i < c->n_peers; i++) {
        if (c->peers[i].id == id) {
            return &c->peers[i];
        }
    }
    return NULL;
}

/* True when datagrams can still be forwarded to ID, which may have pins. */
static bool
peer_reachable(const core_t *c, uint64_t id)
{
    const peer_t *p = peer_find(c, id);

    return p != NULL &&
           (p->state == MEMBER_ACTIVE || p->state == MEMBER_LEAVING);
}

static bool
slot_update(core_t *c, uint32_t i)
{
    slot_t *s = &c->slots[i];
    slot_t old = *s;
    uint64_t owner;
    ranks_t r;

    rank_slot(c, i, &r);
    owner = r.active[0] != NULL ? r.active[0]->id : 0;
    if (owner != s->owner) {
        s->previous = s->owner;
        s->owner = owner;
        s->owner_since = c->now;
    }
    if (s->previous != 0 && !peer_reachable(c, s->previous)) {
        s->previous = 0;
    }
    s->backup_joins =
        r.joining != NULL &&
        (r.active[0] == NULL || r.joining_score > r.active_score[0]) &&
        r.joining->id != c->p.self;
    if (s->backup_joins) {
        s->backup = r.joining->id;
        c->handover = true;
    }
    else if (owner == c->p.self) {
        s->backup = r.active[1] != NULL ? r.active[1]->id : 0;
    }
    else {
        s->backup = owner;
    }
    s->may_own =
        r.active[1] == NULL || hash_mix(c->p.self, i) >= r.active_score[1];
    s->changed = s->owner != old.owner || s->backup != old.backup ||
                 s->backup_joins != old.backup_joins;
    return s->changed;
}

/* True when self refuted a suspicion, or a member restarted without
 * leaving: other members had assigned its slots to another instance, or
 * records are lost. */
static bool
was_uncertain(const core_t *c, const member_t *m)
{
    const peer_t *p = peer_find(c, m->id);

    if (p == NULL) {
        return false;
    }
    if (p->state == MEMBER_SUSPECT && m->state != MEMBER_SUSPECT) {
        return true;
    }
    if (m->incarnation == p->incarnation) {
        return false;
    }
    if (m->id == c->p.self) {
        return m->state == p->state;
    }
    return m->state == MEMBER_JOINING && p->state == MEMBER_ACTIVE;
}

/* True when M started before this instance.  A member that starts at the
 * same time is first seen JOINING. */
static bool
is_older(const core_t *c, const member_t *m)
{
    return m->id != c->p.self && m->state != MEMBER_JOINING &&
           m->state != MEMBER_GONE && peer_find(c, m->id) == NULL;
}

int
core_set_members(core_t *c, ms_t now, const member_t *list, size_t n,
                 ms_t uncertain_at, uint64_t lowest_version)
{
    peer_t *peers = calloc(n + 1, sizeof(*peers));
    bool changed = false;
    bool same;

    if (peers == NULL) {
        return -ENOMEM;
    }
    c->now = now;
    if (c->start < 0) {
        c->start = c->last_call = now;
    }
    c->lowest_version = lowest_version;
    c->uncertain_at =
        uncertain_at > c->uncertain_at ? uncertain_at : c->uncertain_at;
    c->suspects = false;
    for (size_t i = 0; i < n; i++) {
        peers[i].id = list[i].id;
        peers[i].incarnation = list[i].incarnation;
        peers[i].state = list[i].state;
        c->suspects |= list[i].state == MEMBER_SUSPECT;
        if (is_older(c, &list[i])) {
            c->met_older = true;
        }
        if (was_uncertain(c, &list[i])) {
            c->uncertain_at = now;
        }
    }
    same = n == c->n_peers && c->peers != NULL &&
           memcmp(peers, c->peers, n * sizeof(*peers)) == 0;
    free(c->peers);
    c->peers = peers;
    c->n_peers = n;
    if (same) {
        return 0;
    }
    c->handover = false;
    for (uint32_t i = 0; i < OWNER_SLOTS; i++) {
        changed |= slot_update(c, i);
    }
    for (uint32_t i = 0; i < c->n_services; i++) {
        service_update_may_own(c, &c->services[i]);
    }
    if (changed) {
        sync_targets_changed(c);
    }
    return 0;
}
