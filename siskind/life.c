/* State changes of this instance: joining, serving, leaving. */
#include "siskind/decide.h"

#include <errno.h>
#include <stdlib.h>

/* A joining instance without peers serves after this time, even if the
 * platform's list can't be read. */
#define NO_PEER_WAIT_MS 10000
/* A joining instance serves once its version has been in force for this time,
 * counted from conf_at, even if upstreams have no identity lease yet. */
#define WARMUP_MAX_MS 1500
/* Interval between counts of pending work; each count scans every flow. */
#define LEAVE_CHECK_MS 200
/* Minimum and maximum time for which GONE is announced to peers, so that they
 * don't take the following silence for a failure. */
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

/* True when every upstream has an identity lease, or WARMUP_MAX_MS have
 * passed.  An instance that served before its first probes are answered would
 * refuse work for lack of verified upstreams although all are healthy, and
 * callers would notice each restart.  The limit keeps an upstream that is down
 * from delaying the start further. */
static bool
upstreams_ready(const decide_t *c)
{
    core_upstream_t *up;
    size_t n;
    bool ready = true;

    if (c->now - c->conf_at >= WARMUP_MAX_MS) {
        return true;
    }
    up = calloc(UPSTREAMS_SHOWN, sizeof(*up));
    if (up == NULL) {
        return true;
    }
    n = core_upstreams(c->core, up, UPSTREAMS_SHOWN);
    for (size_t i = 0; i < n; i++) {
        ready = ready && up[i].lease_valid;
    }
    free(up);
    return ready;
}

/* A new instance that decided before the others learn of it would be a second
 * owner beside the old one.  It therefore waits until all members have
 * acknowledged its state, or until no other instance can exist: the platform's
 * list, which lags, already shows this instance, and would also show any that
 * started earlier. */
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

/* True when the fabric has stopped sending callers' datagrams here.  It sends
 * them, and they must be forwarded, until its lagging list shows this instance
 * as leaving.  While the platform is unreachable, the list can't show that. */
static bool
fabric_updated(const decide_t *c)
{
    ms_t listed_at = SHARED_GET(c->d, leave_listed_at);

    return listed_at > 0 && c->now - listed_at >= LIST_LAG_MS;
}

/* True when the fabric is updated, all requests are answered and all pins are
 * handed over, or the operators' drain period is over. */
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

/* True when the peers have acknowledged GONE, or GONE_GOSSIP_MAX_MS have
 * passed. */
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

/* Returns to service through JOINING, so that no other instance treats this
 * one as an owner before it considers itself one. */
int
life_rejoin(decide_t *c)
{
    if (c->stopping || c->state == MEMBER_GONE) {
        return -EBUSY;
    }
    core_cancel_leave(c->core, c->now);
    if (c->state == MEMBER_LEAVING) {
        SHARED_SET(c->d, leaving, false);
        SHARED_SET(c->d, leave_listed_at, 0);
        enter_state(c, MEMBER_JOINING);
        control_post(c->roster, control_new(MSG_LEAVE));
    }
    return 0;
}
