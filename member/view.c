/* The view of the group: precedence of records, effects of a change, and
 * gossip.
 */
#include "member/internal.h"

#include <string.h>

/* For this time after a new incarnation, records are sent in full, so that
 * changes of a new member arrive with its addresses. */
#define FULL_RECORD_MS 10000
#define GOSSIP_BACKLOG 60 /* above this, messages are filled up */

/* Duration of the extra pings to members that haven't acknowledged self's new
 * state. */
#define SPREAD_MS 3000

static void
queue_gossip(members_t *m, peer_t *p)
{
    if (list_empty(&p->gossip)) {
        m->gossip_n++;
    }
    list_remove(&p->gossip);
    p->sent = 0;
    list_append(&m->gossip[0], &p->gossip);
}

static void
emit_change(members_t *m, const peer_t *p)
{
    member_out_t out = {.kind = MEMBER_OUT_CHANGE};

    out.change = *rec_of(m, p);
    m->emit(m->arg, &out);
}

/* Unreachable members are pinged at a low rate, so that the sides of a healed
 * partition find each other.  Members that left cleanly are not. */
static void
update_unreachable(members_t *m, peer_t *p)
{
    const member_t *r = rec_of(m, p);
    bool unreachable = !is_alive(r) && !r->left;

    if (!unreachable) {
        list_remove(&p->unreachable);
    }
    else if (list_empty(&p->unreachable)) {
        list_append(&m->unreachable, &p->unreachable);
    }
}

void
view_set_state(members_t *m, ms_t now, peer_t *p, member_state_t state)
{
    member_t *r = rec_of(m, p);
    member_state_t old = r->state;

    if (old == MEMBER_SUSPECT || state == MEMBER_SUSPECT ||
        (state == MEMBER_GONE && !r->left)) {
        m->uncertain_at = now;
    }
    m->stats.count[old]--;
    m->stats.count[state]++;
    r->state = state;
    r->changed_at = now;
    m->lowest_stale = true;
    update_unreachable(m, p);
    queue_gossip(m, p);
    emit_change(m, p);
}

/* Marks the lowest version stale only when this member may have had it: a scan
 * of all members for each message would cost more than everything else. */
void
view_set_version(members_t *m, member_t *r, uint64_t version)
{
    if (version <= r->version) {
        return;
    }
    m->lowest_stale |= r->version <= m->lowest;
    r->version = version;
}

void
view_self_changed(members_t *m, ms_t now)
{
    m->spread_until = now + SPREAD_MS;
    self_of(m)->changed_at = now;
    queue_gossip(m, m->self);
}

peer_t *
view_add(members_t *m, ms_t now, const member_t *member)
{
    peer_t *p = table_add(m, member);

    if (p == NULL) {
        return NULL;
    }
    p->incarnation_seen_at = now;
    m->stats.count[member->state]++;
    view_set_state(m, now, p, member->state);
    return p;
}

/* Among records of one revision, a suspicion overrides the member's own state,
 * and a confirmed GONE overrides a suspicion. */
static int
state_precedence(const member_t *r)
{
    if (r->state == MEMBER_SUSPECT) {
        return 1;
    }
    return r->state == MEMBER_GONE && !r->left ? 2 : 0;
}

/* Above 0: A supersedes B; 0: same precedence. */
static int
compare(const member_t *a, const member_t *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation ? 1 : -1;
    }
    if (a->revision != b->revision) {
        return a->revision > b->revision ? 1 : -1;
    }
    return state_precedence(a) - state_precedence(b);
}

/* Handles other members' records of self.  Refutes a suspicion with a higher
 * revision.  Any other record with precedence over the present one is from an
 * earlier run (the wall clock may have gone back between the two): self takes
 * the next higher incarnation. */
static void
apply_self_record(members_t *m, ms_t now, const member_t *reported)
{
    member_t *self = self_of(m);
    int cmp = compare(reported, self);

    if (cmp <= 0 || self->state == MEMBER_GONE) {
        return;
    }
    if (reported->incarnation == self->incarnation &&
        reported->revision == self->revision) {
        self->revision++;
        m->stats.refuted++;
        m->uncertain_at = now;
    }
    else {
        self->incarnation = reported->incarnation + 1;
        self->revision = 0;
    }
    view_self_changed(m, now);
}

static void
copy_addresses(member_t *to, const member_t *from)
{
    memcpy(to->name, from->name, sizeof(to->name));
    memcpy(to->data_centre, from->data_centre, sizeof(to->data_centre));
    to->peer_addr = from->peer_addr;
    to->bulk_addr = from->bulk_addr;
}

/* The instance has restarted: discards the state of the earlier incarnation.
 * If that ended without leaving, decisions that only it had are lost, so
 * ownership is uncertain. */
static void
new_incarnation(members_t *m, ms_t now, peer_t *p, const member_t *reported)
{
    member_t *r = rec_of(m, p);

    if (r->state != MEMBER_GONE && r->state != MEMBER_JOINING) {
        m->uncertain_at = now;
    }
    r->version = reported->version;
    p->incarnation_seen_at = now;
    p->acked_incarnation = 0;
    p->requested_version = 0;
}

static void
supersede(members_t *m, ms_t now, peer_t *p, const record_t *rec)
{
    const member_t *reported = &rec->member;
    member_t *r = rec_of(m, p);
    bool restarted = reported->incarnation != r->incarnation;

    if (restarted) {
        new_incarnation(m, now, p, reported);
    }
    if (rec->full) {
        copy_addresses(r, reported);
    }
    r->incarnation = reported->incarnation;
    r->revision = reported->revision;
    r->left = reported->left;
    if (restarted || reported->state != r->state) {
        view_set_state(m, now, p, reported->state);
    }
    else {
        queue_gossip(m, p);
    }
}

static void
add_correction(members_t *m, peer_t *p)
{
    if (m->n_corrections < CORRECTIONS_MAX) {
        m->corrections[m->n_corrections++] = p;
    }
}

peer_t *
view_apply(members_t *m, ms_t now, const record_t *rec)
{
    const member_t *reported = &rec->member;
    peer_t *p = table_find(m, reported->id);
    int cmp;

    if (reported->id == m->self_id) {
        apply_self_record(m, now, reported);
        return p;
    }
    if (p == NULL) {
        bool wanted = rec->full && reported->state != MEMBER_GONE;
        return wanted ? view_add(m, now, reported) : NULL;
    }
    cmp = compare(reported, rec_of(m, p));
    if (cmp > 0) {
        supersede(m, now, p, rec);
    }
    else if (cmp < 0) {
        add_correction(m, p);
    }
    if (reported->incarnation == rec_of(m, p)->incarnation) {
        view_set_version(m, rec_of(m, p), reported->version);
    }
    return p;
}

/* Limit of transmissions of a change: twice the binary logarithm of the number
 * of members, after which the change has reached all but one in millions. */
static int
gossip_limit(const members_t *m)
{
    int bits = 64 - __builtin_clzll(m->n);

    return 2 * bits < GOSSIP_MAX ? 2 * bits : GOSSIP_MAX;
}

static bool
put_record(members_t *m, ms_t now, buffer_t *b, peer_t *p)
{
    bool full = now - p->incarnation_seen_at < FULL_RECORD_MS;

    if (body_record(b, rec_of(m, p), full) < 0) {
        return false;
    }
    p->msg_no = m->msg_no;
    return true;
}

static void
requeue_gossip(members_t *m, peer_t *p, int limit)
{
    list_remove(&p->gossip);
    p->sent++;
    if (p->sent >= limit) {
        m->gossip_n--;
        return;
    }
    list_append(&m->gossip[p->sent], &p->gossip);
}

void
view_gossip(members_t *m, ms_t now, buffer_t *b, const peer_t *to)
{
    int room =
        m->gossip_n > GOSSIP_BACKLOG ? RECORDS_BULK : m->params.gossip_per_msg;
    int limit = gossip_limit(m);

    for (int i = 0; i < limit; i++) {
        LIST_EACH (it, &m->gossip[i]) {
            peer_t *p = CONTAINER_OF(it, peer_t, gossip);
            if (p == to || p->msg_no == m->msg_no) {
                continue;
            }
            if (room-- == 0 || !put_record(m, now, b, p)) {
                return;
            }
            requeue_gossip(m, p, limit);
        }
    }
}
