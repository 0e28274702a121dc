/* Log lines about what the flow set believes of upstreams, data centres and
 * load. */
#include "tagged/tagged.h"

static void
log_reach(const flow_out_t *out)
{
    char addr[ADDR_STRLEN];

    log_line(out->reach.to == REACH_GOOD ? LVL_INFO : LVL_WARN, "reach",
             "Upstream. upstream=%llx addr=%s service=%s data_centre=%s "
             "was=%s is=%s why=\"%s\" open=%u",
             (unsigned long long)out->upstream,
             addr_text(&out->reach.addr, addr), out->reach.service,
             out->reach.data_centre, flow_reach_name(out->reach.from),
             flow_reach_name(out->reach.to), out->reach.why, out->reach.open);
}

static void
log_limit(const flow_out_t *out)
{
    log_line(out->limit.in_force ? LVL_WARN : LVL_INFO, "limit",
             "%s. service=%s data_centres=%s busy=%u limit=%u "
             "slow_share=%.2f target_share=%.2f refused=%llu",
             out->limit.in_force ? "In force" : "Ended", out->limit.service,
             out->limit.local ? "own" : "others", out->limit.busy,
             out->limit.max_in_flight, out->limit.tail_latency,
             out->limit.target, (unsigned long long)out->limit.refused);
}

static void
log_admission(const flow_out_t *out)
{
    const double *share = out->admission.share;

    log_line(out->admission.in_force ? LVL_WARN : LVL_INFO, "admit",
             "%s. service=%s demand=%.0f capacity=%.0f in_flight=%.0f "
             "slots=%.0f admitted=%.2f,%.2f,%.2f,%.2f",
             out->admission.in_force ? "In force" : "Ended",
             out->admission.service, out->admission.demand,
             out->admission.capacity, out->admission.in_flight,
             out->admission.slots, share[0], share[1], share[2], share[3]);
}

static void
log_link(const flow_out_t *out)
{
    log_line(
        out->link.cut ? LVL_WARN : LVL_INFO, "place", "%s. data_centre=%s",
        out->link.cut ? "Data centre cut off" : "Data centre reachable again",
        out->link.data_centre);
}

static void
log_health(const flow_out_t *out)
{
    log_line(out->health.to == PLACE_WELL ? LVL_INFO : LVL_WARN, "place",
             "Upstream. upstream=%llx service=%s data_centre=%s was=%s is=%s "
             "answers=%.1f failed=%.1f answer_ms=%.0f usual_ms=%.0f",
             (unsigned long long)out->upstream, out->health.service,
             out->health.data_centre, place_state_name(out->health.from),
             place_state_name(out->health.to), out->health.answers,
             out->health.failed, out->health.answer_ms, out->health.usual_ms);
}

void
belief_log(const flow_out_t *out)
{
    switch (out->kind) {
    case FLOW_OUT_REACH:
        log_reach(out);
        return;
    case FLOW_OUT_LIMIT:
        log_limit(out);
        return;
    case FLOW_OUT_ADMISSION:
        log_admission(out);
        return;
    case FLOW_OUT_LINK:
        log_link(out);
        return;
    case FLOW_OUT_HEALTH:
        log_health(out);
        return;
    case FLOW_OUT_RESET:
    case FLOW_OUT_PROBE:
    case FLOW_OUT_EXPIRED:
        return;
    }
}
