/* Properties of the flow set under any sequence of packets, announcements,
 * probes and time:
 *
 *   - a new flow goes to an upstream that is announced for the route's service
 *     (or whose announcement lapsed less than two seconds ago), is not
 *     draining, whose last probe was neither refused nor timed out, and whose
 *     data centre is not evacuated;
 *   - a flow is reset only if its upstream's host refused a probe, its address
 *     went to another upstream, or three probes timed out and the caller may
 *     repeat its request;
 *   - a later packet goes to the upstream identified by its tag, or is not
 *     forwarded;
 *   - the counts of flows and requests at upstreams match the flows opened,
 * and that of usable upstreams matches their states. */
#include "test/flow_bed.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace {

const char *const FEED = "198.18.0.1:443";
const char *const COMMAND = "198.18.0.1:444";
const uint64_t UPSTREAMS = 6;

struct Model {
    FlowBed bed;
    rng_t rng;
    std::map<uint64_t, flow_upstream_t> listed;
    std::map<uint64_t, ms_t> lapsed_at;
    std::map<uint64_t, int> probe_timeouts; /* consecutive */
    std::set<uint64_t> refused;
    std::map<int, uint32_t> tag; /* tags of the callers' open flows */
    std::set<uint64_t> known;
    std::set<std::string> evacuated;
    std::map<uint64_t, flow_reach_t> reach; /* as last emitted */

    explicit Model(uint64_t seed) : rng{seed, 0}
    {
        bed.routes(1, {{FEED, "svc", true}, {COMMAND, "svc", false}});
    }

    void
    announce()
    {
        uint64_t id = 1 + rng_below(&rng, UPSTREAMS);
        flow_upstream_t u =
            FlowBed::upstream(id, "svc", id % 2 ? "dc-a" : "dc-b");
        u.draining = rng_below(&rng, 5) == 0;
        if (listed.count(id) && listed[id].draining) {
            u.draining = true; /* a draining upstream does not return under its
                                * id */
        }
        bed.announce(u);
        listed[id] = u;
        known.insert(id);
    }

    void
    remove()
    {
        uint64_t id = 1 + rng_below(&rng, UPSTREAMS);
        if (listed.count(id)) {
            flowset_remove_upstream(bed.flows, bed.now, id, 0);
            lapsed_at[id] = bed.now;
            if (listed[id].draining) {
                lapsed_at[id] = -100000;
            }
            listed.erase(id);
        }
    }

    void
    probe_result()
    {
        if (bed.probes.empty()) {
            return;
        }
        uint64_t id = bed.probes.back().upstream;
        flow_probe_t result = (flow_probe_t)rng_below(&rng, PROBE_RESULTS);
        bed.probes.clear();
        if (result == PROBE_REFUSED) {
            refused.insert(id);
        }
        probe_timeouts[id] = result == PROBE_TIMED_OUT ? probe_timeouts[id] + 1
                             : result == PROBE_ANSWERED ? 0
                             : result == PROBE_RESET    ? 0
                                                        : probe_timeouts[id];
        if (result == PROBE_ANSWERED) {
            refused.erase(id);
        }
        bed.probed(id, result);
    }

    void
    evacuate()
    {
        const char *data_centre = rng_below(&rng, 2) ? "dc-a" : "dc-b";
        bool begin = evacuated.count(data_centre) == 0;

        RC_ASSERT(flowset_evacuate(bed.flows, data_centre, begin, 0) >= 0);
        if (begin) {
            evacuated.insert(data_centre);
        }
        else {
            evacuated.erase(data_centre);
        }
    }

    void
    check_resets()
    {
        for (const flow_out_t &r : bed.resets) {
            bool feed = r.reset.service.port == 443;
            RC_ASSERT(refused.count(r.upstream) ||
                      (feed && probe_timeouts[r.upstream] >= 3));
        }
        bed.resets.clear();
    }

    void
    open()
    {
        int caller = 1 + (int)rng_below(&rng, 40);
        const char *route = caller % 3 ? FEED : COMMAND;
        flow_decision_t d = bed.packet(FlowBed::syn(caller, route));

        if (d.action != FLOW_FORWARD) {
            RC_ASSERT(d.reason == FLOW_NO_UPSTREAM ||
                      (d.reason == FLOW_EVACUATED && !evacuated.empty()));
            return;
        }
        RC_ASSERT(evacuated.count(d.upstream % 2 ? "dc-a" : "dc-b") == 0);
        bool is_listed = listed.count(d.upstream) > 0;
        bool lapsed = !is_listed && lapsed_at.count(d.upstream) &&
                      bed.now - lapsed_at[d.upstream] < 2000;
        RC_ASSERT(is_listed || lapsed);
        if (d.reason == FLOW_CHOSEN) {
            /* RC_ASSERT evaluates both sides of a condition. */
            bool draining = is_listed && listed[d.upstream].draining;
            RC_ASSERT(!draining);
            RC_ASSERT(refused.count(d.upstream) == 0);
        }
        RC_ASSERT(d.tag == (uint32_t)d.upstream);
        tag[caller] = d.tag;
    }

    void
    follow()
    {
        int caller = 1 + (int)rng_below(&rng, 40);
        const char *route = caller % 3 ? FEED : COMMAND;
        if (!tag.count(caller)) {
            return;
        }
        flow_packet_t p = FlowBed::data(caller, route, tag[caller],
                                        1001 + rng_below(&rng, 4) * 100,
                                        (uint16_t)(rng_below(&rng, 3) * 100),
                                        5000 + rng_below(&rng, 3) * 10);
        p.ends = rng_below(&rng, 10) == 0;
        flow_decision_t d = bed.packet(p);
        switch (d.action) {
        case FLOW_FORWARD:
            RC_ASSERT(d.upstream == tag[caller]);
            break;
        case FLOW_RESET:
            RC_ASSERT(refused.count(tag[caller]) ||
                      (probe_timeouts[tag[caller]] >= 3 && route == FEED &&
                       p.len > 0));
            tag.erase(caller);
            break;
        case FLOW_DROP:
            RC_ASSERT(false);
        }
    }

    void
    check_usable()
    {
        uint32_t usable = 0;

        for (const flow_out_t &r : bed.reaches) {
            reach[r.upstream] = r.reach.to;
        }
        bed.reaches.clear();
        for (const auto &it : listed) {
            usable +=
                !it.second.draining &&
                evacuated.count(it.second.data_centre) == 0 &&
                (reach.count(it.first) == 0 || reach[it.first] == REACH_GOOD);
        }
        RC_ASSERT(bed.stats()->usable == usable);
    }

    void
    step()
    {
        switch (rng_below(&rng, 13)) {
        case 0:
            announce();
            break;
        case 1:
            remove();
            break;
        case 2:
        case 3:
            probe_result();
            break;
        case 4:
        case 5:
        case 6:
            open();
            break;
        case 7:
            bed.advance(rng_below(&rng, 800));
            break;
        case 8:
            evacuate();
            break;
        default:
            follow();
        }
        check_resets();
        check_usable();
    }
};

} // namespace

TEST(FlowProperties, HoldUnderAnySequence)
{
    EXPECT_TRUE(rc::check("any sequence", [](uint32_t seed, uint8_t length) {
        Model m(seed);
        for (int i = 0; i < 40 + 4 * length; i++) {
            m.step();
        }
    }));
}

/* When all callers are gone and all timeouts have passed, nothing is counted
 * any more.  A leaked count would keep an upstream from ever being selected.
 */
TEST(FlowProperties, NothingIsCountedAtTheEnd)
{
    EXPECT_TRUE(rc::check("counts", [](uint32_t seed) {
        Model m(seed);
        for (int i = 0; i < 400; i++) {
            m.step();
        }
        m.bed.advance(20000);
        m.bed.advance(20000);
        RC_ASSERT(m.bed.stats()->records == 0);
        m.bed.routes(2, {{FEED, "svc", true}});
        flowset_evacuate(m.bed.flows, "dc-a", false, 0);
        flowset_evacuate(m.bed.flows, "dc-b", false, 0);
        for (uint64_t id = 1; id <= UPSTREAMS; id++) {
            m.bed.announce(FlowBed::upstream(id, "svc", "dc-a"));
        }
        flow_decision_t d = m.bed.packet(FlowBed::syn(500, FEED));
        if (d.action == FLOW_FORWARD) {
            RC_ASSERT(d.open == 0 && d.busy == 0);
        }
    }));
}
