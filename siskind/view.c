/* Snapshots that the decide duty makes in answer to operators' queries. */
#include "siskind/decide.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

const char *
class_name(class_t c)
{
    static const char *const name[CLASS_COUNT] = {
        [CLASS_URGENT] = "urgent", [CLASS_FEED] = "feed",
        [CLASS_READ] = "read",     [CLASS_BULK] = "bulk",
        [CLASS_OPAQUE] = "opaque",
    };

    return name[c];
}

const char *
refuse_name(refuse_t r)
{
    static const char *const name[REFUSE_COUNT] = {
        [REFUSE_FULL] = "full",           [REFUSE_CALLER_SHARE] = "share",
        [REFUSE_NO_UPSTREAM] = "none",    [REFUSE_TABLE_FULL] = "table",
        [REFUSE_MID_REUSE] = "mid_reuse", [REFUSE_OUTCOME_UNKNOWN] = "unknown",
        [REFUSE_UPLOAD] = "upload",
    };

    return name[r];
}

const char *
state_name(member_state_t s)
{
    switch (s) {
    case MEMBER_JOINING:
        return "joining";
    case MEMBER_ACTIVE:
        return "active";
    case MEMBER_LEAVING:
        return "leaving";
    case MEMBER_SUSPECT:
        return "suspect";
    case MEMBER_GONE:
        return "gone";
    }
    return "unknown";
}

query_t *
query_new(query_kind_t kind)
{
    pthread_condattr_t attr;
    query_t *q = calloc(1, sizeof(*q));

    if (q == NULL) {
        return NULL;
    }
    q->kind = kind;
    q->refs = 2;
    pthread_mutex_init(&q->lock, NULL);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&q->done_cond, &attr);
    pthread_condattr_destroy(&attr);
    return q;
}

void
query_release(query_t *q)
{
    if (__atomic_sub_fetch(&q->refs, 1, __ATOMIC_ACQ_REL) > 0) {
        return;
    }
    pthread_cond_destroy(&q->done_cond);
    pthread_mutex_destroy(&q->lock);
    free(q->view.peers);
    free(q->view.upstreams);
    free(q->view.services);
    free(q);
}

void
query_done(query_t *q)
{
    pthread_mutex_lock(&q->lock);
    q->done = true;
    pthread_cond_signal(&q->done_cond);
    pthread_mutex_unlock(&q->lock);
}

int
query_wait(query_t *q, ms_t ms)
{
    struct timespec until;
    bool done;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += ms / 1000;
    pthread_mutex_lock(&q->lock);
    while (!q->done) {
        if (pthread_cond_timedwait(&q->done_cond, &q->lock, &until) != 0) {
            break;
        }
    }
    done = q->done;
    pthread_mutex_unlock(&q->lock);
    return done ? 0 : -ETIMEDOUT;
}

static void
view_peers(const decide_t *c, view_t *v)
{
    const member_t *list;
    size_t n = members_list(c->members, &list);

    v->peers = calloc(n + 1, sizeof(*v->peers));
    for (size_t i = 0; v->peers != NULL && i < n; i++) {
        if (list[i].id != c->d->self) {
            v->peers[v->n_peers++] = list[i];
        }
    }
}

static void
view_services(const decide_t *c, view_t *v)
{
    uint32_t n = c->conf != NULL ? c->conf->n_services : 0;

    v->services = calloc(n + 1, sizeof(*v->services));
    for (uint32_t i = 0; v->services != NULL && i < n; i++) {
        memcpy(v->services[i].name, c->conf->services[i].name, NAME_LEN);
        core_stats(c->core, &c->conf->services[i].addr, &v->services[i].stats);
        v->n_services++;
    }
    v->upstreams = calloc(UPSTREAMS_SHOWN, sizeof(*v->upstreams));
    if (v->upstreams != NULL) {
        v->n_upstreams =
            core_upstreams(c->core, v->upstreams, UPSTREAMS_SHOWN);
    }
}

static void
view_fill(const decide_t *c, view_t *v)
{
    strcpy(v->state, state_name(c->state));
    if (c->conf != NULL) {
        v->version = c->conf->version;
        v->version_age = c->now - c->conf_at;
    }
    core_table_usage(c->core, &v->flows, &v->hints, &v->exchanges);
    core_pending(c->core, &v->pending_exchanges, &v->pending_pins);
    view_peers(c, v);
    view_services(c, v);
}

void
answer_query(decide_t *c, query_t *q)
{
    switch (q->kind) {
    case QUERY_STATUS:
        break;
    case QUERY_DRAIN:
        life_leave(c);
        break;
    case QUERY_UNDRAIN:
        q->rc = life_rejoin(c);
        break;
    }
    view_fill(c, &q->view);
    query_done(q);
}
