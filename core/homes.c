/* Homes: rendezvous hashing of slots over the members. */
#include "core/state.h"

#include <stdlib.h>
#include <string.h>

#define RANKS 3

/* The first members by rank for one slot, of those that may be homes. */
typedef struct {
    const peer_t *active[2]; /* first two ACTIVE */
    const peer_t *joining;   /* first JOINING */
    uint64_t active_score[2], joining_score;
    bool suspect_ahead; /* a SUSPECT member outranks active[1] */
} ranks_t;

slot_t *
slot_of(core_t *c, uint64_t key)
{
    return &c->slots[key >> 52];
}

uint64_t
home_of(core_t *c, uint64_t key)
{
    return slot_of(c, key)->home;
}

uint64_t
core_home(const core_t *c, uint64_t flow)
{
    return c->slots[flow >> 52].home;
}

uint64_t
sync_target(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    return s->home != c->p.self ? s->home : s->backup;
}

bool
handing_over(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    return s->home != c->p.self || s->backup_joins;
}

/* Sure: no second home was possible for DOUBT_MS, so what isn't recorded here
 * was forwarded by nobody.  A home that took over from one that left cleanly
 * or is still there has its records (hand-over, earlier_home()), so only a
 * suspicion counts; but an instance younger than DOUBT_MS may have taken over
 * from one that was itself in doubt. */
bool
home_sure(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    return !s->suspect && c->now - s->doubt_at >= DOUBT_MS &&
           c->now - c->start >= DOUBT_MS;
}

/* A new home lacks what its predecessor learned; until every copy of an older
 * request is past, it sends on what it doesn't know. */
uint64_t
earlier_home(core_t *c, uint64_t key)
{
    const slot_t *s = slot_of(c, key);

    if (c->now - s->home_since >= DOUBT_MS) {
        return 0;
    }
    return s->earlier;
}

void
doubt_all(core_t *c)
{
    for (int i = 0; i < HOME_SLOTS; i++) {
        c->slots[i].doubt_at = c->now;
    }
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
    uint64_t suspect = 0;

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
            suspect = score > suspect ? score : suspect;
            break;
        case MEMBER_LEAVING:
        case MEMBER_GONE:
            break;
        }
    }
    r->suspect_ahead =
        suspect > 0 && (r->active[1] == NULL || suspect > r->active_score[1]);
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

/* Can ID still be asked about what it knew? */
static bool
peer_answers(const core_t *c, uint64_t id)
{
    const peer_t *p = peer_find(c, id);

    return p != NULL &&
           (p->state == MEMBER_ACTIVE || p->state == MEMBER_LEAVING);
}

static void
slot_update(core_t *c, uint32_t i)
{
    slot_t *s = &c->slots[i];
    uint64_t home;
    bool was_suspect = s->suspect;
    ranks_t r;

    rank_slot(c, i, &r);
    home = r.active[0] != NULL ? r.active[0]->id : 0;
    s->suspect = r.suspect_ahead;
    if (s->suspect || was_suspect) {
        s->doubt_at = c->now;
    }
    if (home != s->home) {
        if (s->home != 0 && !peer_answers(c, s->home) && !s->suspect) {
            /* The home is off the list without a word. */
            const peer_t *p = peer_find(c, s->home);
            if (p == NULL || p->state != MEMBER_GONE) {
                s->doubt_at = c->now;
            }
        }
        s->earlier = s->home;
        s->home = home;
        s->home_since = c->now;
    }
    if (s->earlier != 0 && !peer_answers(c, s->earlier)) {
        s->earlier = 0;
    }
    s->backup_joins =
        r.joining != NULL &&
        (r.active[0] == NULL || r.joining_score > r.active_score[0]) &&
        r.joining->id != c->p.self;
    if (s->backup_joins) {
        s->backup = r.joining->id;
        c->handing = true;
    }
    else if (home == c->p.self) {
        s->backup = r.active[1] != NULL ? r.active[1]->id : 0;
    }
    else {
        s->backup = home;
    }
}

/* Self refuted a suspicion, or a member restarted without leaving: for a
 * while others took another instance for the home, or its records are lost. */
static bool
was_doubted(const core_t *c, const member_t *m)
{
    const peer_t *p = peer_find(c, m->id);

    if (p == NULL || m->incarnation == p->incarnation) {
        return false;
    }
    if (m->id == c->p.self) {
        return m->state == p->state;
    }
    return m->state == MEMBER_JOINING && p->state == MEMBER_ACTIVE;
}

static void
update_slots(core_t *c)
{
    c->handing = false;
    for (uint32_t i = 0; i < HOME_SLOTS; i++) {
        slot_update(c, i);
    }
}

void
core_set_members(core_t *c, ms_t now, const member_t *list, size_t n,
                 ms_t doubt_at, uint64_t lowest)
{
    peer_t *peers = calloc(n + 1, sizeof(*peers));
    bool doubted = false;

    (void)doubt_at; /* doubt is kept for each slot: see slot_update() */
    c->now = now;
    c->lowest = lowest;
    for (size_t i = 0; i < n; i++) {
        peers[i] = (peer_t){.id = list[i].id,
                            .incarnation = list[i].incarnation,
                            .state = list[i].state};
        if (was_doubted(c, &list[i])) {
            peers[i].state = MEMBER_SUSPECT;
            doubted = true;
        }
    }
    free(c->peers);
    c->peers = peers;
    c->n_peers = n;
    if (doubted) {
        /* One pass with the doubted as suspects marks their slots. */
        update_slots(c);
        for (size_t i = 0; i < n; i++) {
            peers[i].state = list[i].state;
        }
    }
    update_slots(c);
    sync_targets_changed(c);
}
