/* The instance's own life: it joins, serves, leaves. */
#include "siskind/decide.h"

#include <errno.h>
#include <stdlib.h>

/* Without the platform's list and without any peer for so long, it serves. */
#define NO_PEER_WAIT_MS 10000
/* With a version in force for so long, it serves whatever it trusts. */
#define WARMUP_MAX_MS 1500
/* Between two counts of what is pending: each looks at every flow. */
#define LEAVE_CHECK_MS 200
/* So long it goes on telling that it is gone, so that its silence is not
 * taken for a failure. */
#define GONE_GOSSIP_MIN_MS 400
#define GONE_GOSSIP_MAX_MS 2000

static void
enter_state(decide_t *c, member_state_t state)
{
    c->state = state;
    c->members_changed = true;
    members_set_self(c->members, c->now, state);
    log_line(LVL_INFO, "life", "The instance changes state. state=%s",
             state_name(state));
}

/* An instance that served before its first probes are answered would refuse
 * work for want of trusted upstreams, though all are well: callers would see
 * each restart.  An upstream that is down delays it no longer than
 * WARMUP_MAX_MS. */
static bool
upstreams_ready(const decide_t *c)
{
    core_upstream_t *up;
    size_t n;
    bool warm = true;

    if (c->now - c->conf_at >= WARMUP_MAX_MS) {
        return true;
    }
    up = calloc(UPSTREAMS_SHOWN, sizeof(*up));
    if (up == NULL) {
        return true;
    }
    n = core_upstreams(c->core, up, UPSTREAMS_SHOWN);
    for (size_t i = 0; i < n; i++) {
        warm = warm && up[i].trusted;
    }
    free(up);
    return warm;
}

/* A new instance that decided before the others know of it would be a second
 * home beside the old one.  So it waits until all have heard of it, or until
 * nobody is there to hear: the platform's list, which lags, already shows this
 * instance, and so would show one that came before it. */
static bool
ready_to_serve(const decide_t *c)
{
    if (c->conf == NULL || !members_acked(c->members) || !upstreams_ready(c)) {
        return false;
    }
    return SHARED_GET(c->d, peers) > 0 || c->listed_alone ||
           c->now - c->d->started >= NO_PEER_WAIT_MS;
}

static ms_t
drain_ms(const decide_t *c)
{
    return c->conf != NULL ? c->conf->drain_ms : DRAIN_MS;
}

/* The fabric hands callers' datagrams to this instance until the lagging list
 * has shown it as leaving; they must be forwarded until then.  While the
 * platform is out of reach the list can't show it. */
static bool
fabric_updated(const decide_t *c)
{
    ms_t listed_at = SHARED_GET(c->d, leave_listed_at);

    return listed_at > 0 && c->now - listed_at >= LIST_LAG_MS;
}

/* It stays until the fabric knows, its requests are answered and its pins are
 * handed over; but no longer than the operators' drain period. */
static bool
may_stop(decide_t *c)
{
    uint32_t exchanges, pins;
    bool late = c->now - c->leave_at >= drain_ms(c);

    if (c->now < c->leave_check_at) {
        return false;
    }
    c->leave_check_at = c->now + LEAVE_CHECK_MS;
    core_pending(c->core, &exchanges, &pins);
    if (fabric_updated(c) && exchanges == 0 && pins == 0) {
        return true;
    }
    if (late) {
        log_line(LVL_WARN, "life",
                 "The drain period is over. exchanges=%u pins=%u listed=%d",
                 exchanges, pins, fabric_updated(c));
    }
    return late;
}

/* The last word to the peers has been heard, or waited for long enough. */
static bool
gone_announced(const decide_t *c)
{
    ms_t since = c->now - c->gone_at;

    return since >= GONE_GOSSIP_MAX_MS ||
           (since >= GONE_GOSSIP_MIN_MS && members_acked(c->members));
}

void
life_tick(decide_t *c)
{
    switch (c->state) {
    case MEMBER_JOINING:
        if (ready_to_serve(c)) {
            enter_state(c, MEMBER_ACTIVE);
        }
        return;
    case MEMBER_LEAVING:
        if (c->stopping && may_stop(c)) {
            c->gone_at = c->now;
            enter_state(c, MEMBER_GONE);
        }
        return;
    case MEMBER_GONE:
        if (!c->leave_reported && gone_announced(c)) {
            c->leave_reported = true;
            control_post(c->main, control_new(MSG_LEAVE_DONE));
        }
        return;
    case MEMBER_ACTIVE:
    case MEMBER_SUSPECT:
        return;
    }
}

void
life_leave(decide_t *c)
{
    if (c->state == MEMBER_LEAVING || c->state == MEMBER_GONE) {
        return;
    }
    c->leave_at = c->now;
    enter_state(c, MEMBER_LEAVING);
    core_leave(c->core, c->now);
    SHARED_SET(c->d, leaving, true);
    control_post(c->roster, control_new(MSG_LEAVE));
}

/* Back in service: it joins anew, so that no other instance takes it for a
 * home before it knows that it is one. */
int
life_rejoin(decide_t *c)
{
    if (c->stopping || c->state == MEMBER_GONE) {
        return -EBUSY;
    }
    core_stay(c->core, c->now);
    if (c->state == MEMBER_LEAVING) {
        SHARED_SET(c->d, leaving, false);
        SHARED_SET(c->d, leave_listed_at, 0);
        enter_state(c, MEMBER_JOINING);
        control_post(c->roster, control_new(MSG_LEAVE));
    }
    return 0;
}
