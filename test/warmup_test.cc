/* Tests of new flows at upstreams in slow start, from many instances that
 * don't see each other's flows. */
#include "test/flow_bed.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>

namespace {

const char *const ROUTE = "198.18.0.1:443";
const uint64_t COLD = 0x11, WARM = 0x12, FAR = 0x21;
const ms_t WARM_UP_MS = 4000;
const double OVER = 1.5, SLACK = 5; /* FlowBed's */

/* Instances of one data centre; the first ANNOUNCED of them open flows at
 * upstreams in slow start. */
struct Fleet {
    std::vector<std::unique_ptr<FlowBed>> bed;
    std::map<uint64_t, std::deque<ms_t>> opened_at;
    uint32_t refused = 0, max_per_s = 0;

    Fleet(int instances, int announced, double per_s)
    {
        std::vector<uint64_t> warm_up_instance;
        for (int i = 0; i < announced; i++) {
            warm_up_instance.push_back(1000 + (uint64_t)i);
        }
        for (int i = 0; i < instances; i++) {
            bed.emplace_back(new FlowBed());
            bed[i]->warm_up_per_s = per_s;
            bed[i]->routes(1, {{ROUTE, "svc", true}});
            flowset_set_warm_up_instances(bed[i]->flows, 1000 + (uint64_t)i,
                                          warm_up_instance.data(),
                                          (uint32_t)warm_up_instance.size());
        }
    }

    void
    announce(uint64_t id, const char *data_centre, ms_t warm_up_ms)
    {
        flow_upstream_t u = FlowBed::upstream(id, "svc", data_centre);
        u.warm_up_ms = warm_up_ms;
        for (auto &b : bed) {
            b->announce(u);
        }
    }

    /* Each instance opens EACH_PER_S flows a second. */
    void
    open(ms_t ms, double each_per_s)
    {
        std::vector<double> due(bed.size());
        rng_t rng = {3, 0};
        int caller = 1;
        for (double &d : due) {
            d = rng_below(&rng, 1000) / 1000.0 * 1000 / each_per_s;
        }
        for (ms_t at = 0; at < ms; at++) {
            for (size_t i = 0; i < bed.size(); i++) {
                bed[i]->now = 1000 + at;
                for (; due[i] <= (double)at; due[i] += 1000 / each_per_s) {
                    on_decision(
                        bed[i]->packet(FlowBed::syn(caller++ % 60000, ROUTE)),
                        at);
                }
            }
        }
    }

    void
    on_decision(const flow_decision_t &d, ms_t at)
    {
        if (d.action != FLOW_FORWARD) {
            refused++;
            return;
        }
        auto &t = opened_at[d.upstream];
        t.push_back(at);
        if (d.upstream != COLD) {
            return;
        }
        uint32_t n = 0;
        for (auto it = t.rbegin(); it != t.rend() && at - *it < 1000; ++it) {
            n++;
        }
        max_per_s = n > max_per_s ? n : max_per_s;
    }
};

} // namespace

/* Guards against: hundreds of instances that find an upstream idle after its
 * start, and open more flows there than it can take during slow start. */
TEST(WarmUp, TheSumOfAllInstancesIsWithinTheBound)
{
    for (int instances : {1, 8, 88, 300}) {
        for (double per_s : {0.5, 2.0, 10.0, 40.0}) {
            Fleet f(instances, instances < 4 ? instances : 4, per_s);
            f.announce(COLD, "dc-a", WARM_UP_MS);
            f.announce(WARM, "dc-a", 0);
            f.open(WARM_UP_MS, 20);
            EXPECT_LE(f.max_per_s, per_s * OVER + SLACK) << instances;
            EXPECT_GE(f.opened_at[COLD].size(), 1u) << instances;
            EXPECT_EQ(f.refused, 0u);
        }
    }
}

/* Guards against: a share that other instances take over during a partition,
 * and lists of instances that differ for a moment. */
TEST(WarmUp, TheBoundHoldsDuringAPartition)
{
    Fleet f(88, 4, 6);

    for (uint64_t i = 0; i < 4; i++) {
        uint64_t self = 1000 + i;
        flowset_set_warm_up_instances(f.bed[i]->flows, self, &self, 1);
    }
    f.announce(COLD, "dc-a", WARM_UP_MS);
    f.announce(WARM, "dc-a", 0);
    f.open(WARM_UP_MS, 20);
    EXPECT_LE(f.max_per_s, 6 * OVER + SLACK);
}

/* Guards against: shares that add up to more than the bound while instances
 * have different lists, here before and after one of four was replaced. */
TEST(WarmUp, TheBoundHoldsWhileListsDiffer)
{
    Fleet f(5, 4, 10);
    const uint64_t after[] = {1000, 1001, 1002, 1004};

    flowset_set_warm_up_instances(f.bed[4]->flows, 1004, after, 4);
    f.announce(COLD, "dc-a", WARM_UP_MS);
    f.open(WARM_UP_MS, 200);
    EXPECT_LE(f.max_per_s, 10 * OVER + SLACK);
}

/* Guards against: callers that wait although all eligible upstreams have
 * reached their share of new flows. */
TEST(WarmUp, CallersAreResetAtOnceWhenTheShareIsUsedUp)
{
    Fleet f(1, 1, 2);

    f.announce(COLD, "dc-a", WARM_UP_MS);
    EXPECT_EQ(f.bed[0]->packet(FlowBed::syn(1, ROUTE)).action, FLOW_FORWARD);
    flow_decision_t d = f.bed[0]->packet(FlowBed::syn(2, ROUTE));
    EXPECT_EQ(d.action, FLOW_RESET);
    EXPECT_EQ(d.reason, FLOW_WARM_UP);
    f.bed[0]->now += WARM_UP_MS;
    EXPECT_EQ(f.bed[0]->packet(FlowBed::syn(3, ROUTE)).action, FLOW_FORWARD);
}

/* Guards against: callers that are reset although some upstreams are warm,
 * because a random sample of a large service contains none of them. */
TEST(WarmUp, AWarmUpstreamIsFoundAmongManyInSlowStart)
{
    Fleet f(2, 1, 2); /* the second opens no flow at upstreams in slow start */

    for (uint64_t id = 0x100; id < 0x100 + 200; id++) {
        f.announce(id, "dc-a", WARM_UP_MS);
    }
    f.announce(WARM, "dc-a", 0);
    for (int caller = 1; caller < 500; caller++) {
        EXPECT_EQ(f.bed[1]->packet(FlowBed::syn(caller, ROUTE)).upstream,
                  WARM);
    }
}

/* Guards against: a limit that stays in force after slow start, and flows to
 * an upstream in slow start in another data centre, whose announced instances
 * aren't known here. */
TEST(WarmUp, OnlyTheOwnDataCentreOpensFlowsThere)
{
    Fleet f(4, 4, 10);

    f.announce(COLD, "dc-b", WARM_UP_MS);
    f.announce(FAR, "dc-b", 0);
    f.open(WARM_UP_MS, 20);
    EXPECT_EQ(f.opened_at[COLD].size(), 0u);
    f.open(WARM_UP_MS + 1000, 20);
    EXPECT_GT(f.opened_at[COLD].size(), 0u);
}

/* Guards against: a reported reason that misleads the operator. */
TEST(WarmUp, AnEndedUpstreamIsNotReportedAsWarmingUp)
{
    Fleet f(1, 1, 0);
    FlowBed &bed = *f.bed[0];

    bed.routes(2, {{ROUTE, "svc", true}, {"198.18.0.2:443", "other", true}});
    f.announce(COLD, "dc-a", WARM_UP_MS);
    flow_upstream_t next = FlowBed::upstream(COLD, "other", "dc-a");
    next.id = COLD + 1;
    next.revision = 9; /* its address now belongs to another upstream */
    bed.announce(next);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, ROUTE)).reason, FLOW_NO_UPSTREAM);
}

/* Guards against: a bound of zero, read from a service that doesn't set one.
 */
TEST(WarmUp, WithoutARateNothingIsBounded)
{
    Fleet f(8, 4, 0);

    f.announce(COLD, "dc-a", WARM_UP_MS);
    f.open(1000, 20);
    EXPECT_EQ(f.refused, 0u);
    EXPECT_EQ(f.opened_at[COLD].size(), 160u);
}
