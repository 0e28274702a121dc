/* Expiry of reports, and sums of those in force. */
#include "load/state.h"

bool
node_is_fresh(ms_t now, const sender_t *s)
{
    return !s->left &&
           now - s->received_at <= LOAD_EXPIRY_PERIODS * s->period_ms;
}

/* While this instance is pressing, so are its children: a report that states
 * the slow period expires by the fast one. */
bool
node_child_is_fresh(const load_node_t *n, ms_t now, const sender_t *s)
{
    ms_t since = s->received_at > n->pressing_since ? s->received_at
                                                    : n->pressing_since;

    return node_is_fresh(now, s) &&
           !(n->flag &&
             now - since > LOAD_EXPIRY_PERIODS * LOAD_FAST_PERIOD_MS);
}

bool
node_own_counts(const load_node_t *n, ms_t now)
{
    return n->has_own && now - n->own_at <= LOAD_MAX_AGE_MS;
}

/* ---- Sums ---- */

/* Adds FROM to TO.  The age of a sum is the mean over its instances. */
static void
add_aged(load_data_centre_t *to, const load_sum_t *from, ms_t age)
{
    int64_t before = to->sum.instances, more = from->instances;

    if (before + more > 0) {
        to->age_ms = (to->age_ms * before + age * more) / (before + more);
    }
    load_sum_add(&to->sum, from);
}

static ms_t
report_age(const sender_t *s, ms_t now)
{
    return s->report.age_ms + now - s->received_at;
}

uint32_t
node_sum_subtree(const load_node_t *n, ms_t now, load_data_centre_t *out)
{
    uint32_t depth = 0;

    *out = (load_data_centre_t){.data_centre = n->spec.data_centre};
    if (node_own_counts(n, now)) {
        add_aged(out, &n->own, now - n->own_at);
    }
    for (uint32_t i = 0; i < n->n_children; i++) {
        const sender_t *s = &n->child[i];
        if (node_child_is_fresh(n, now, s)) {
            add_aged(out, &s->report.sum, report_age(s, now));
            depth = s->depth + 1 > depth ? s->depth + 1 : depth;
        }
    }
    return depth;
}

static load_data_centre_t *
find_dc(load_view_t *v, uint64_t data_centre)
{
    return (load_data_centre_t *)load_view_find(v, data_centre);
}

/* Adds the sum of a root.  An expired one stands for its data centre until a
 * newer one does, and ages. */
static void
add_root(ms_t now, load_view_t *v, const sender_t *s)
{
    load_data_centre_t *dc = find_dc(v, s->report.data_centre);
    ms_t age = report_age(s, now);

    if (s->left || age > LOAD_FORGET_MS) {
        return;
    }
    if (dc != NULL && node_is_fresh(now, s)) {
        add_aged(dc, &s->report.sum, age);
    }
    else if (dc == NULL && v->n < LOAD_DATA_CENTRES_MAX) {
        v->dc[v->n] = s->report;
        v->dc[v->n++].age_ms = age;
    }
}

static void
view_of_root(const load_node_t *n, ms_t now, load_view_t *v)
{
    const sender_t *last;

    node_sum_subtree(n, now, &v->dc[v->n++]);
    for (uint32_t i = 0; i < n->n_roots; i++) {
        if (node_is_fresh(now, &n->root[i])) {
            add_root(now, v, &n->root[i]);
        }
    }
    for (uint32_t i = 0; i < n->n_roots; i++) {
        last = &n->root[i];
        for (uint32_t k = 0; k < n->n_roots; k++) {
            const sender_t *s = &n->root[k];
            if (s->report.data_centre == last->report.data_centre &&
                !s->left && s->received_at > last->received_at) {
                last = s;
            }
        }
        if (!node_is_fresh(now, last)) {
            add_root(now, v, last);
        }
    }
}

/* Adds the sums from the parent, except those of data centres in V: a root
 * that has just followed a parent uses them until other roots send theirs. */
static void
add_received(const load_node_t *n, ms_t now, load_view_t *v)
{
    for (uint32_t i = 0; i < n->n_received; i++) {
        const received_sum_t *r = &n->received[i];
        ms_t age = r->dc.age_ms + now - r->received_at;
        if (age <= LOAD_FORGET_MS && v->n < LOAD_DATA_CENTRES_MAX &&
            load_view_find(v, r->dc.data_centre) == NULL) {
            v->dc[v->n] = r->dc;
            v->dc[v->n++].age_ms = age;
        }
    }
}

void
load_node_view(const load_node_t *n, ms_t now, load_view_t *v)
{
    v->n = 0;
    if (n->is_root) {
        view_of_root(n, now, v);
    }
    add_received(n, now, v);
}
