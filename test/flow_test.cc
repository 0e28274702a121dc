/* Tests of decisions about tagged flows, one scenario each. */
#include "test/flow_bed.h"

#include <errno.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

static const char FEED[] = "198.18.0.1:443";    /* idempotent */
static const char COMMAND[] = "198.18.0.1:444"; /* at most once */

/* Two local upstreams and one in another data centre. */
class Flow : public ::testing::Test {
  protected:
    FlowBed bed;

    void
    SetUp() override
    {
        ASSERT_EQ(
            bed.routes(1, {{FEED, "svc", true}, {COMMAND, "svc", false}}), 0);
        bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
        bed.announce(FlowBed::upstream(0x12, "svc", "dc-a"));
        bed.announce(FlowBed::upstream(0x21, "svc", "dc-b"));
    }

    /* A caller retransmits an unanswered request to TAG's upstream, which
     * starts a probe. */
    void
    raise_suspicion(int caller, uint32_t tag)
    {
        bed.now += 500;
        bed.packet(FlowBed::data(caller, FEED, tag, 1001, 100));
        bed.now += 200;
        bed.packet(FlowBed::data(caller, FEED, tag, 1001, 100));
    }

    void
    probe_with_controls(flow_probe_t second, flow_probe_t third)
    {
        raise_suspicion((int)open_at(0x11, 1), 0x11);
        bed.probed(0x11, PROBE_TIMED_OUT);
        for (flow_probe_t control : {second, third}) {
            bed.now += 100;
            bed.probed(0x12, control);
            bed.probed(0x11, PROBE_TIMED_OUT);
        }
        EXPECT_TRUE(bed.resets.empty());
        for (const flow_out_t &r : bed.reaches) {
            EXPECT_NE(r.reach.to, REACH_UNREACHABLE);
        }
    }

    uint32_t
    open_at(uint64_t id, int first_caller, const char *route = FEED)
    {
        for (int caller = first_caller; caller < first_caller + 50; caller++) {
            if (bed.open(caller, route) == id) {
                return (uint32_t)caller;
            }
        }
        return 0;
    }
};

/* ---- Routes and tags ---- */

TEST_F(Flow, AnOpeningPacketGetsTheTagOfItsUpstream)
{
    flow_decision_t d = bed.packet(FlowBed::syn(1, FEED));

    EXPECT_EQ(d.action, FLOW_FORWARD);
    EXPECT_EQ(d.reason, FLOW_CHOSEN);
    EXPECT_EQ(d.tag, (uint32_t)d.upstream);
    EXPECT_STREQ(d.service, "svc");
}

/* Routers send a flow's packets to another instance when one joins.  That
 * instance has never seen the flow: the tag alone identifies the upstream. */
TEST_F(Flow, AnotherInstanceForwardsByTheTagAlone)
{
    flow_decision_t d = bed.packet(FlowBed::data(77, FEED, 0x21, 4000, 100));

    EXPECT_EQ(d.action, FLOW_FORWARD);
    EXPECT_EQ(d.reason, FLOW_BY_TAG);
    EXPECT_EQ(d.upstream, 0x21u);
}

TEST_F(Flow, WithoutARouteTheCallerIsResetAtOnce)
{
    flow_decision_t d = bed.packet(FlowBed::syn(1, "198.18.0.9:443"));

    EXPECT_EQ(d.action, FLOW_RESET);
    EXPECT_EQ(d.reason, FLOW_NO_ROUTE);
}

TEST_F(Flow, WithoutAnyUpstreamTheCallerIsResetAtOnce)
{
    bed.routes(2, {{FEED, "other", true}});
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).reason, FLOW_NO_UPSTREAM);
}

TEST_F(Flow, AnUnknownTagIsDroppedNotReset)
{
    flow_decision_t d = bed.packet(FlowBed::data(5, FEED, 0x99, 4000, 100));

    EXPECT_EQ(d.action, FLOW_DROP); /* its upstream may be alive */
    EXPECT_EQ(d.reason, FLOW_TAG_UNKNOWN);
}

/* Guards against: an older version of the routes that arrives late from a peer
 * or the store, and replaces a newer one that callers have already seen. */
TEST_F(Flow, OlderRouteVersionsAreRejected)
{
    EXPECT_EQ(bed.routes(5, {{FEED, "svc", true}}), 0);
    EXPECT_EQ(bed.routes(4, {{FEED, "svc", true}, {COMMAND, "svc", false}}),
              -ESTALE);
    EXPECT_EQ(bed.routes(5, {{COMMAND, "svc", false}}), -ESTALE);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, COMMAND)).reason, FLOW_NO_ROUTE);
    EXPECT_EQ(bed.stats()->version, 5u);
}

/* Ids are longer than tags.  Of two upstreams with the same tag only the first
 * gets flows: packets of the second's flows would reach the first and be
 * reset. */
TEST_F(Flow, AnUpstreamWithADuplicateTagGetsNoFlow)
{
    flow_upstream_t duplicate = FlowBed::upstream(0x1200000011, "svc", "dc-a");

    duplicate.addr = address("10.0.9.9:80");
    bed.announce(duplicate);
    for (int caller = 1; caller < 200; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream,
                  duplicate.id);
    }
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).upstream,
              0x11u);
}

/* A short response is acknowledged only with the caller's next request, after
 * a pause.  Counted as response time, the pause would make the upstream look
 * slow and the service full. */
TEST_F(Flow, ResponseTimeExcludesThePauseBeforeTheNextRequest)
{
    uint32_t tag = bed.open(1, FEED);

    bed.packet(FlowBed::data(1, FEED, tag, 1001, 100));
    bed.now += 4000;
    bed.packet(FlowBed::data(1, FEED, tag, 1101, 100, 5200));
    EXPECT_EQ(bed.stats()->answer_ms.count, 0u);
    bed.now += 40;
    bed.packet(FlowBed::data(1, FEED, tag, 1201, 0, 5400));
    EXPECT_EQ(bed.stats()->answer_ms.count, 1u);
    EXPECT_LE(bed.stats()->answer_ms.sum, 40u);
}

/* ---- Leaving and returning ---- */

TEST_F(Flow, ADrainingUpstreamKeepsItsFlowsAndGetsNoNewOne)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.draining = true;
    bed.announce(u);
    for (int caller = 1; caller < 100; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x11u);
    }
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).action,
              FLOW_FORWARD);
    EXPECT_TRUE(bed.resets.empty());
}

/* All announcements lapse together while the store is unavailable, and are
 * back within two seconds of its return.  New flows need an upstream
 * meanwhile; an upstream that is still missing later has left. */
TEST_F(Flow, LapsedAnnouncementsAreUsedDuringTheGracePeriod)
{
    for (uint64_t id : {0x11, 0x12, 0x21}) {
        flowset_remove_upstream(bed.flows, bed.now, id, 0);
        bed.probed(id, PROBE_ANSWERED);
    }
    bed.advance(1900);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).action, FLOW_FORWARD);
    bed.advance(200);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED)).reason, FLOW_NO_UPSTREAM);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).action,
              FLOW_FORWARD);
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    EXPECT_EQ(bed.packet(FlowBed::syn(3, FEED)).upstream, 0x11u);
}

/* If one of several announcements is gone, its upstream has probably died: the
 * others are preferred. */
TEST_F(Flow, AnUnannouncedUpstreamIsSelectedLast)
{
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    bed.probed(0x11, PROBE_ANSWERED);
    for (int caller = 1; caller < 50; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x11u);
    }
}

/* A draining upstream has exited while idle callers still hold flows to it.
 * Its host refuses the probe triggered by the end of the announcement, so the
 * callers are reset before their next request, and lose nothing. */
TEST_F(Flow, IdleFlowsOfAnUpstreamThatHasLeftAreReset)
{
    uint32_t caller = open_at(0x11, 1);

    ASSERT_NE(caller, 0u);
    bed.resets.clear();
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    ASSERT_EQ(bed.probes.size(), 1u);
    EXPECT_EQ(bed.probes[0].upstream, 0x11u);
    bed.probed(0x11, PROBE_REFUSED);
    ASSERT_FALSE(bed.resets.empty());
    for (const flow_out_t &r : bed.resets) {
        EXPECT_EQ(r.upstream, 0x11u);
        EXPECT_EQ(r.reset.seq, 5000u); /* next byte the caller expects */
    }
}

/* Guards against: as many probes of an upstream that leaves as there are
 * instances, most of which have no flow there. */
TEST_F(Flow, AnUpstreamWithoutFlowsHereIsProbedAtItsFirstPacket)
{
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    EXPECT_TRUE(bed.probes.empty());
    bed.advance(20);
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 9)).action,
              FLOW_FORWARD);
    ASSERT_EQ(bed.probes.size(), 1u);
    EXPECT_EQ(bed.probes[0].upstream, 0x11u);
    bed.probed(0x11, PROBE_REFUSED);
    ASSERT_EQ(bed.resets.size(), 1u); /* the caller learns of it at once */
}

/* A draining server closes its TCP port shortly before its last flows end, so
 * one refused probe is no proof: a reset would cut flows that are still
 * served, by a planned change.  A second, later refusal is proof. */
TEST_F(Flow, FlowsOfADrainingUpstreamAreResetAfterTheSecondRefusal)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.draining = true;
    bed.announce(u);
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 10)).action,
        FLOW_FORWARD);
    bed.advance(500);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_FALSE(bed.resets.empty());
}

/* A draining server has closed its port while a caller still uploads to it
 * through a saturated link: no instance sees a response for seconds, and each
 * retransmission starts a probe, which is refused.  The server is announced
 * and serves to the end; its flow must not be cut by a planned change. */
TEST_F(Flow, AnAnnouncedDrainingUpstreamKeepsItsFlows)
{
    uint32_t caller = open_at(0x11, 1, COMMAND);
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.draining = true;
    bed.announce(u);
    bed.resets.clear();
    for (uint32_t i = 0; i < 5; i++) {
        for (ms_t wait : {400, 0}) { /* new data, then its retransmission */
            bed.packet(FlowBed::data((int)caller, COMMAND, 0x11,
                                     1001 + 1200 * i, 1200));
            bed.now += wait;
        }
        bed.advance(1000);
        bed.probed(0x11, PROBE_REFUSED);
        EXPECT_TRUE(bed.resets.empty()) << i;
    }
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    bed.advance(2000);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_FALSE(bed.resets.empty()); /* the upstream has left */
}

/* A server over its connection limit accepts a probe and resets it.  It is
 * alive and responds 200 ms late; a caller's retransmission in between starts
 * the probe.  No flow may be reset, after the first such probe or the tenth.
 */
TEST_F(Flow, AnOverloadedUpstreamThatResetsProbesKeepsItsFlows)
{
    uint32_t caller = open_at(0x11, 1);

    bed.resets.clear();
    raise_suspicion((int)caller, 0x11);
    ASSERT_FALSE(bed.probes.empty());
    for (int i = 0; i < 10; i++) {
        bed.probes.clear();
        bed.probed(0x11, PROBE_RESET);
        bed.advance(60);
        ASSERT_EQ(bed.probes.size(), 1u); /* probed again soon */
    }
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1101, 10)).action,
        FLOW_FORWARD);
}

/* The same reset occurs when a process ends with a connection in its accept
 * queue: the next probe is refused, and the callers are reset. */
TEST_F(Flow, AnUpstreamThatEndsAfterResettingAProbeIsDetectedByTheNext)
{
    uint32_t caller = open_at(0x11, 1);

    bed.resets.clear();
    raise_suspicion((int)caller, 0x11);
    bed.probed(0x11, PROBE_RESET);
    bed.probes.clear();
    bed.advance(60);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_FALSE(bed.resets.empty());
}

/* An address is assigned to a server of another service only after its
 * previous upstream has ended.  Packets of the old flows must not be forwarded
 * to the new server, and their callers needn't wait. */
TEST_F(Flow, AReassignedAddressEndsThePreviousFlows)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t next = FlowBed::upstream(0x31, "archive", "dc-a");
    flow_decision_t d;

    ASSERT_NE(caller, 0u);
    bed.routes(2, {{FEED, "svc", true},
                   {COMMAND, "svc", false},
                   {"198.18.0.2:443", "archive", false}});
    next.addr = FlowBed::upstream(0x11, "svc", "dc-a").addr;
    bed.announce(next);
    EXPECT_FALSE(bed.resets.empty());
    d = bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 10));
    EXPECT_EQ(d.action, FLOW_RESET);
    EXPECT_EQ(d.reason, FLOW_UPSTREAM_DEAD);
}

/* Guards against: open flows that are reset, since an entry of a service that
 * no configuration names has the address of a live upstream. */
TEST_F(Flow, AServiceWithoutARouteTakesNoAddress)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t foreign = FlowBed::upstream(0x31, "audit", "dc-a");
    flow_upstream_t own = FlowBed::upstream(0x11, "svc", "dc-a");

    foreign.addr = own.addr;
    foreign.revision = 9;
    bed.resets.clear();
    bed.announce(foreign);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 10)).action,
        FLOW_FORWARD);
    EXPECT_NE(open_at(0x11, 100), 0u);
    bed.announce(own); /* of an earlier revision than the foreign entry */
    EXPECT_NE(open_at(0x11, 200), 0u);
    EXPECT_TRUE(bed.resets.empty());
}

/* Guards against: open flows that are reset, since the store does the last
 * write of a process that has ended after another one has announced itself at
 * the same address; at instances that knew the former one, and at others. */
TEST_F(Flow, ALateWriteOfAnEndedProcessTakesNoAddress)
{
    for (bool known : {true, false}) {
        const uint64_t ended_id = known ? 0x31 : 0x41, next_id = ended_id + 1;
        flow_upstream_t ended = FlowBed::upstream(ended_id, "svc", "dc-a");
        flow_upstream_t next = FlowBed::upstream(next_id, "svc", "dc-a");
        next.addr = ended.addr;
        ended.started_ms = 1772060000000;
        next.started_ms = 1772060005000;
        ended.revision = 10;
        next.revision = 20;
        if (known) {
            bed.announce(ended);
            flowset_remove_upstream(bed.flows, bed.now, ended_id, 0);
        }
        bed.announce(next);
        uint32_t caller = open_at(next_id, known ? 1 : 1000);
        bed.resets.clear();
        ended.revision = 30;
        bed.announce(ended);
        EXPECT_TRUE(bed.resets.empty());
        EXPECT_EQ(bed.packet(FlowBed::data((int)caller, FEED,
                                           (uint32_t)next_id, 1001, 10))
                      .action,
                  FLOW_FORWARD);
        EXPECT_NE(open_at(next_id, known ? 200 : 1200), 0u);
        flowset_remove_upstream(bed.flows, bed.now, ended_id, 0);
        EXPECT_NE(open_at(next_id, known ? 400 : 1400), 0u);
        flowset_remove_upstream(bed.flows, bed.now, next_id, 0);
    }
}

/* Guards against: an upstream that gets no flows for good, since the clock of
 * its host was behind when it took over an address whose previous announcement
 * was still there. */
TEST_F(Flow, AnAddressReturnsWhenTheOtherEntryEnds)
{
    flow_upstream_t ended = FlowBed::upstream(0x31, "svc", "dc-a");
    flow_upstream_t next = FlowBed::upstream(0x32, "svc", "dc-a");

    next.addr = ended.addr;
    ended.started_ms = 1772060005000;
    next.started_ms = 1772060000000;
    next.revision = 9;
    bed.announce(ended);
    bed.announce(next);
    EXPECT_EQ(open_at(0x32, 1), 0u);
    flowset_remove_upstream(bed.flows, bed.now, 0x31, 0);
    bed.probed(0x32, PROBE_ANSWERED);
    EXPECT_NE(open_at(0x32, 100), 0u);
    /* Its own entry ends: no other returns. */
    flowset_remove_upstream(bed.flows, bed.now, 0x32, 0);
    EXPECT_EQ(open_at(0x31, 200), 0u);
    EXPECT_EQ(open_at(0x32, 300), 0u);
}

/* Guards against: an address that stays with its previous upstream, since the
 * next one was announced before the version that names its service. */
TEST_F(Flow, ALaterVersionGivesAnAddressToItsUpstream)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t next = FlowBed::upstream(0x31, "archive", "dc-a");

    next.addr = FlowBed::upstream(0x11, "svc", "dc-a").addr;
    next.revision = 9;
    bed.announce(next);
    for (uint64_t version : {2, 3}) { /* it is named, and stays so */
        bed.routes(version,
                   {{FEED, "svc", true}, {COMMAND, "archive", false}});
        flow_decision_t d =
            bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 10));
        EXPECT_EQ(d.action, FLOW_RESET);
        EXPECT_EQ(d.reason, FLOW_UPSTREAM_DEAD);
        EXPECT_EQ(bed.packet(FlowBed::syn(50, COMMAND)).upstream, 0x31u);
    }
}

/* The previous upstream's announcement outlasts it, and a list contains both
 * in order of id.  The one announced later is current: its flows must not be
 * reset, in either order. */
TEST(FlowAddress, TheLaterAnnouncedUpstreamOwnsTheAddress)
{
    for (bool previous_first : {true, false}) {
        FlowBed bed;
        flow_upstream_t previous = FlowBed::upstream(0x41, "archive", "dc-a");
        flow_upstream_t next = FlowBed::upstream(0x42, "svc", "dc-a");
        bed.routes(1, {{FEED, "svc", true}});
        next.addr = previous.addr;
        previous.revision = 10;
        next.revision = 20;
        bed.announce(previous_first ? previous : next);
        bed.announce(previous_first ? next : previous);
        EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x42u);
        EXPECT_EQ(bed.packet(FlowBed::data(2, FEED, 0x42, 1, 1)).action,
                  FLOW_FORWARD);
        EXPECT_EQ(bed.packet(FlowBed::data(3, FEED, 0x41, 1, 1)).reason,
                  FLOW_UPSTREAM_DEAD);
    }
}

/* A server restarts under its id and holds no former flows.  It resets these
 * itself; the counts here start from zero. */
TEST_F(Flow, ARestartedUpstreamHasNoFlows)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    ASSERT_NE(open_at(0x11, 1), 0u);
    u.started_ms = 1772060000000;
    bed.resets.clear();
    bed.announce(u);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).open, 0u);
}

/* Guards against: suspicion and failed probes of the former process that keep
 * flows from the new one. */
TEST_F(Flow, ARestartedUpstreamIsJudgedAnew)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    raise_suspicion((int)open_at(0x11, 1), 0x11);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_EQ(bed.stats()->usable, 2u);
    u.started_ms = 1772060000000;
    u.revision = 9;
    bed.announce(u);
    bed.probed(0x11, PROBE_ANSWERED);
    EXPECT_EQ(bed.stats()->usable, 3u);
    EXPECT_NE(open_at(0x11, 100), 0u);
}

/* Guards against: a refused probe of the former process that counts towards
 * the two which prove the end of a draining upstream. */
TEST_F(Flow, AProbeOfTheFormerProcessProvesNothing)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.draining = true;
    raise_suspicion((int)open_at(0x11, 1), 0x11);
    bed.announce(u);
    bed.probed(0x11, PROBE_REFUSED);
    u.started_ms = 1772060000000;
    bed.announce(u);
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    bed.probed(0x11, PROBE_REFUSED);
    for (const flow_out_t &r : bed.reaches) {
        EXPECT_NE(r.reach.to, REACH_DEAD);
    }
}

/* Guards against: an entry that the former process wrote, which arrives late
 * and takes the flows of the new one. */
TEST_F(Flow, ALateEntryOfTheFormerProcessIsIgnored)
{
    flow_upstream_t before = FlowBed::upstream(0x11, "svc", "dc-a");
    flow_upstream_t after = before;

    before.started_ms = 1772060000000;
    after.started_ms = 1772060009000;
    EXPECT_EQ(bed.announce(before), 0);
    EXPECT_EQ(bed.announce(after), 0);
    uint32_t caller = open_at(0x11, 1);
    before.draining = true;
    EXPECT_EQ(bed.announce(before), -ESTALE);
    EXPECT_EQ(bed.stats()->usable, 3u);
    EXPECT_GE(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 100)).open,
        1u);
    /* The same after its announcement has lapsed in an outage. */
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    EXPECT_EQ(bed.announce(before), -ESTALE);
    EXPECT_EQ(bed.announce(after), 0);
}

/* Guards against: an entry of another writer that lacks the start, is taken
 * for a restart, and has the upstream's own entries refused from then on as
 * those of a former process, its drain among them. */
TEST_F(Flow, AnEntryWithoutAStartIsNoRestart)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a"), foreign = u;

    u.started_ms = 1772060000000;
    EXPECT_EQ(bed.announce(u), 0);
    uint32_t caller = open_at(0x11, 1);
    EXPECT_EQ(bed.announce(foreign), 0);
    EXPECT_GE(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 100)).open,
        1u);
    u.draining = true;
    EXPECT_EQ(bed.announce(u), 0);
    EXPECT_EQ(bed.stats()->usable, 2u);
    /* The same with another service, which replaces the upstream. */
    u.draining = false;
    EXPECT_EQ(bed.announce(u), 0);
    strcpy(foreign.service, "other");
    EXPECT_EQ(bed.announce(foreign), 0);
    EXPECT_EQ(bed.announce(u), 0);
    EXPECT_EQ(bed.stats()->usable, 3u);
}

/* Guards against: a restart that is missed since the clock of the upstream's
 * host was set back, and flows that are lost since an entry repeats the same
 * start. */
TEST_F(Flow, ARestartIsRecognisedByAnyChangeOfTheStart)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.started_ms = 1772060000000;
    bed.announce(u);
    uint32_t caller = open_at(0x11, 1);
    u.warm_up_ms = 500;
    EXPECT_EQ(bed.announce(u), 0);
    EXPECT_GE(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 100)).open,
        1u);
    u.started_ms -= 3600000;
    EXPECT_EQ(bed.announce(u), 0);
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).open, 0u);
}

/* Guards against: flows that go to the address of the former process after the
 * new one announced itself elsewhere. */
TEST_F(Flow, ARestartAtAnotherAddressMovesTheId)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");
    flow_upstream_t reuse = FlowBed::upstream(0x61, "other", "dc-a");

    u.started_ms = 1772060000000;
    bed.announce(u);
    reuse.addr = u.addr;
    reuse.revision = 5;
    u.started_ms += 1000;
    u.revision = 6;
    u.addr = address("10.0.9.9:80");
    bed.announce(u);
    bed.announce(reuse);
    flow_decision_t d = bed.packet(FlowBed::data(7, FEED, 0x11, 1, 1));
    EXPECT_EQ(d.action, FLOW_FORWARD);
    EXPECT_TRUE(addr_eq(&d.to, &u.addr));
    u.started_ms -= 1000; /* the former process */
    u.addr = reuse.addr;
    EXPECT_EQ(bed.announce(u), -ESTALE);
}

/* ---- Entries of other writers ---- */

/* Guards against: an unreadable entry under another key that withdraws the
 * upstream with the same id. */
TEST_F(Flow, TheEndOfAnotherEntryLeavesAnUpstreamListed)
{
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 99);
    EXPECT_TRUE(bed.probes.empty());
    EXPECT_EQ(bed.stats()->usable, 3u);
}

/* Guards against: an entry that takes the flows of an upstream by announcing
 * its id at another address. */
TEST_F(Flow, ASecondEntryWithTheSameIdIsIgnored)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t other = FlowBed::upstream(0x11, "svc", "dc-a");

    other.entry = 99;
    other.addr = address("10.0.9.9:80");
    EXPECT_EQ(bed.announce(other), -EEXIST);
    EXPECT_TRUE(bed.resets.empty());
    flow_decision_t d =
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 100));
    EXPECT_FALSE(addr_eq(&d.to, &other.addr));
    /* It may take the id over once the first announcement has ended. */
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    EXPECT_EQ(bed.announce(other), 0);
}

/* ---- Reach ---- */

/* A caller also retransmits after packet loss.  If the probe is answered,
 * nothing is reset and the upstream continues to get flows. */
TEST_F(Flow, AnAnsweredProbeClearsSuspicion)
{
    uint32_t caller = open_at(0x11, 1);

    raise_suspicion((int)caller, 0x11);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(0x11, PROBE_ANSWERED);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 100)).action,
        FLOW_FORWARD);
    EXPECT_EQ(bed.probes.size(), 1u); /* no new probe during the grace
                                       * period */
    EXPECT_NE(open_at(0x11, 100), 0u);
}

/* Routers may reorder packets.  A late one repeats data seen before, but too
 * early for a retransmission. */
TEST_F(Flow, ReorderedPacketsRaiseNoSuspicion)
{
    uint32_t caller = open_at(0x11, 1);

    bed.now += 500;
    bed.packet(FlowBed::data((int)caller, FEED, 0x11, 2201, 1200));
    bed.now += 1;
    bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 1200));
    EXPECT_TRUE(bed.probes.empty());
}

/* Other callers of the upstream have got responses since: a single
 * retransmission is packet loss, and no probe is sent. */
TEST_F(Flow, ProgressOfOtherFlowsPreventsSuspicion)
{
    int a = (int)open_at(0x11, 1), b = (int)open_at(0x11, 100);

    bed.now += 500;
    bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100));
    bed.now += 100;
    bed.packet(FlowBed::data(b, FEED, 0x11, 1001, 0, 9000));
    bed.now += 100;
    bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100));
    EXPECT_TRUE(bed.probes.empty());
}

/* A server crashes silently.  After one caller's retransmission its host
 * refuses the probe: every caller of that server is reset at once, and can
 * retry elsewhere well within its goal. */
TEST_F(Flow, ADeadUpstreamsFlowsAreResetAndNewOnesGoElsewhere)
{
    int a = (int)open_at(0x11, 1);
    size_t n = bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).open;

    raise_suspicion(a, 0x11);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_EQ(bed.resets.size(), n + 1);
    for (int caller = 200; caller < 250; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x11u);
    }
    EXPECT_EQ(bed.packet(FlowBed::data(901, COMMAND, 0x11, 1, 1)).reason,
              FLOW_UPSTREAM_DEAD);
}

/* An instance forwards an opening packet to an upstream that has just died,
 * and is paused.  The caller's copy goes through another instance, which opens
 * the flow at a live upstream.  When the first instance resumes and detects
 * the death, a reset would end the live flow. */
TEST_F(Flow, AnOpeningThatIsOlderThanACopyIsNotReset)
{
    int caller = 1;
    uint64_t up = bed.packet(FlowBed::syn(caller, COMMAND)).upstream;

    bed.advance(80);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.resets.clear();
    bed.now += 700;
    flowset_paused(bed.flows, bed.now);
    bed.probed(up, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
}

/* An instance is paused with a caller's opening packet in its socket buffer,
 * and the caller's copy opens the flow through another instance.  On resuming,
 * the first instance forwards the old packet to an upstream that has died
 * meanwhile, and detects this at once: the record is recent but the packet is
 * not, and the flow must not be reset. */
TEST_F(Flow, AnOpeningDelayedInTheSocketIsNotReset)
{
    flow_packet_t p = FlowBed::syn(1, COMMAND);
    uint64_t up;

    p.age_ms = 700;
    up = bed.packet(p).upstream;
    bed.advance(80);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(up, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
}

/* A slow upstream answers the first opening packet after the caller has sent a
 * copy.  The copy arrived here and went to a dead upstream: the flow is open
 * by now, and a reset would end it. */
TEST_F(Flow, ACopyAtADeadUpstreamIsNotReset)
{
    uint64_t up = bed.packet(FlowBed::syn(1, COMMAND, 1)).upstream;

    bed.advance(80);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(up, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
}

/* The same when both arrived here and the copy was moved to the dead upstream.
 */
TEST_F(Flow, AMovedCopyAtADeadUpstreamIsNotReset)
{
    uint64_t second;

    bed.packet(FlowBed::syn(1, COMMAND));
    bed.now += 200;
    second = bed.packet(FlowBed::syn(1, COMMAND, 1)).upstream;
    bed.advance(80);
    bed.probed(second, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
}

/* A resumed instance has no upstream or route for an old opening packet or a
 * copy: another instance may have opened the flow, so it is not reset.  An
 * opening packet that is neither is reset. */
TEST_F(Flow, ALateOpeningWithoutUpstreamIsDropped)
{
    static const char NO_ROUTE[] = "198.18.0.9:9";
    flow_packet_t late = FlowBed::syn(1, NO_ROUTE);

    late.age_ms = 150;
    EXPECT_EQ(bed.packet(late).action, FLOW_DROP);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, NO_ROUTE, 1)).action, FLOW_DROP);
    EXPECT_EQ(bed.packet(FlowBed::syn(3, NO_ROUTE)).action, FLOW_RESET);
    for (uint64_t id : {0x11, 0x12, 0x21}) {
        flowset_remove_upstream(bed.flows, bed.now, id, 0);
    }
    bed.advance(2100); /* past their grace period */
    late.service = address(FEED);
    EXPECT_EQ(bed.packet(late).action, FLOW_DROP);
    EXPECT_EQ(bed.packet(late).reason, FLOW_NO_UPSTREAM);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED, 1)).action, FLOW_DROP);
    EXPECT_EQ(bed.packet(FlowBed::syn(3, FEED)).action, FLOW_RESET);
}

/* Packets that waited to be read date from their arrival: the caller's flow
 * made progress then, but the upstream may have died since.  It stays suspect.
 */
TEST_F(Flow, AnOldSignOfLifeDoesNotClearSuspicion)
{
    uint32_t caller = open_at(0x11, 1);
    flow_packet_t p = FlowBed::data((int)caller, FEED, 0x11, 1101, 0, 6000);

    raise_suspicion((int)caller, 0x11);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.reaches.clear();
    p.age_ms = 300;
    bed.packet(p);
    EXPECT_TRUE(bed.reaches.empty());
    p.age_ms = 0;
    p.ack++;
    bed.packet(p);
    EXPECT_EQ(bed.reaches.size(), 1u);
}

/* Until the caller may have sent a copy, only this instance can have forwarded
 * the opening packet: the caller is reset at once. */
TEST_F(Flow, ARecentOpeningAtADeadUpstreamIsReset)
{
    uint64_t up = bed.packet(FlowBed::syn(1, COMMAND)).upstream;

    bed.advance(80);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.resets.clear();
    bed.probed(up, PROBE_REFUSED);
    EXPECT_EQ(bed.resets.size(), 1u);
}

/* A request that is unanswered for much longer than the service's median
 * response time starts a probe before its caller retransmits.  If other
 * callers get responses meanwhile, the long wait means a long request, and no
 * probe is sent. */
TEST_F(Flow, ALongWaitRaisesSuspicionBeforeTheRetransmission)
{
    int a = (int)open_at(0x11, 1), b = (int)open_at(0x11, 100);

    for (int i = 0; i < 60; i++) { /* responses take about 20 ms */
        uint32_t seq = 1001 + 100 * (uint32_t)i;
        bed.packet(FlowBed::data(b, FEED, 0x11, seq, 100, 5000 + i));
        bed.now += 20;
        bed.packet(FlowBed::data(b, FEED, 0x11, seq + 100, 0, 5001 + i));
        bed.advance(1);
    }
    ASSERT_TRUE(bed.probes.empty());
    bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100));
    bed.advance(30);
    bed.packet(FlowBed::data(b, FEED, 0x11, 7101, 0, 6000));
    bed.advance(100);
    EXPECT_TRUE(bed.probes.empty());
    bed.advance(500);
    bed.packet(FlowBed::data(b, FEED, 0x11, 7101, 100, 6000));
    bed.advance(79);
    EXPECT_TRUE(bed.probes.empty());
    bed.advance(20);
    EXPECT_EQ(bed.probes.size(), 1u);
}

/* A flow that has been closed must not be reset afterwards. */
TEST_F(Flow, EndedFlowsAreNotReset)
{
    int a = (int)open_at(0x11, 1);
    flow_packet_t fin = FlowBed::data(a, FEED, 0x11, 1001, 0);

    fin.ends = true;
    bed.packet(fin);
    bed.resets.clear();
    raise_suspicion(900, 0x11);
    bed.probed(0x11, PROBE_REFUSED);
    for (const flow_out_t &r : bed.resets) {
        EXPECT_NE(r.reset.caller.port, a);
    }
}

/* A data centre is partitioned and probes time out.  Its servers are alive and
 * may be processing requests, so only callers with a pending request that may
 * be repeated are reset, to retry elsewhere. */
TEST_F(Flow, OnlyIdempotentRequestsOfAnUnreachableUpstreamAreReset)
{
    int a = (int)open_at(0x11, 1);

    bed.packet(FlowBed::data(901, COMMAND, 0x11, 1, 10));
    raise_suspicion(a, 0x11);
    bed.now += 200;
    bed.probed(0x11, PROBE_TIMED_OUT);
    /* The probe may have been lost: the next has a control probe of another
     * upstream. */
    ASSERT_EQ(bed.probes.size(), 3u);
    EXPECT_EQ(bed.probes[1].upstream, 0x11u);
    EXPECT_EQ(bed.probes[2].upstream, 0x12u);
    bed.probed(0x12, PROBE_ANSWERED);
    bed.probed(0x11, PROBE_TIMED_OUT);
    bed.probed(0x12, PROBE_ANSWERED);
    EXPECT_EQ(bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100)).action,
              FLOW_FORWARD);
    bed.now += 200;
    EXPECT_TRUE(bed.resets.empty());
    bed.probed(0x11, PROBE_TIMED_OUT);
    ASSERT_EQ(bed.resets.size(), 1u); /* A has a pending request that may be
                                       * repeated */
    EXPECT_EQ(bed.resets[0].reset.caller.port, a);
    EXPECT_EQ(bed.resets[0].reset.reason, FLOW_UPSTREAM_UNREACHABLE);
    EXPECT_EQ(bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100)).reason,
              FLOW_UPSTREAM_UNREACHABLE);
    EXPECT_EQ(bed.packet(FlowBed::data(a + 1, FEED, 0x11, 1001, 0)).action,
              FLOW_FORWARD);
    EXPECT_EQ(bed.packet(FlowBed::data(901, COMMAND, 0x11, 1, 10)).action,
              FLOW_FORWARD);
    for (int caller = 200; caller < 250; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x11u);
    }
}

/* The link of a small instance is saturated: no probe is answered in time.  No
 * upstream is at fault, and flows that are merely late must not be reset. */
TEST_F(Flow, ASaturatedInstanceMarksNoUpstreamUnreachable)
{
    int a = (int)open_at(0x11, 1);

    raise_suspicion(a, 0x11);
    for (int i = 0; i < 40; i++) {
        std::vector<flow_out_t> pending = bed.probes;
        bed.probes.clear();
        bed.now += 100;
        for (const flow_out_t &p : pending) {
            bed.probed(p.upstream, PROBE_TIMED_OUT);
        }
        bed.advance(300);
    }
    EXPECT_TRUE(bed.resets.empty());
    for (const flow_out_t &r : bed.reaches) {
        EXPECT_NE(r.reach.to, REACH_UNREACHABLE);
    }
    EXPECT_EQ(bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100)).action,
              FLOW_FORWARD);
    EXPECT_EQ(bed.packet(FlowBed::syn(500, FEED)).action, FLOW_FORWARD);
}

/* A nearly saturated link drops some packets and passes others.  A single
 * answered control probe is then no proof; two are required. */
TEST_F(Flow, OnlyTheFirstControlProbeAnsweredIsNoProof)
{
    probe_with_controls(PROBE_ANSWERED, PROBE_TIMED_OUT);
}

TEST_F(Flow, OnlyTheSecondControlProbeAnsweredIsNoProof)
{
    probe_with_controls(PROBE_TIMED_OUT, PROBE_ANSWERED);
}

/* Guards against: an upstream that gets the control probes of all instances of
 * a data centre, since it is the first of their lists. */
TEST(FlowControls, InstancesProbeDifferentUpstreams)
{
    std::map<uint64_t, int> controls;

    for (uint64_t seed = 1; seed <= 60; seed++) {
        FlowBed bed("dc-a", 4096, seed);
        bed.routes(1, {{FEED, "svc", true}});
        for (uint64_t id = 0x11; id < 0x11 + 100; id++) {
            bed.announce(FlowBed::upstream(id, "svc", "dc-a"));
        }
        uint64_t suspect = bed.open(1, FEED);
        bed.now += 500;
        bed.packet(FlowBed::data(1, FEED, (uint32_t)suspect, 1001, 100));
        bed.now += 200;
        bed.packet(FlowBed::data(1, FEED, (uint32_t)suspect, 1001, 100));
        bed.probed(suspect, PROBE_TIMED_OUT);
        ASSERT_EQ(bed.probes.size(), 3u);
        controls[bed.probes[2].upstream]++;
    }
    for (const auto &c : controls) {
        EXPECT_LE(c.second, 6) << c.first;
    }
}

/* A burst of uploads saturates a small instance's link for a minute: a third
 * of its probes time out, whatever the upstream.  Among thousands, three in a
 * row time out by chance repeatedly, each with an answered control probe.  No
 * upstream may become unreachable by that. */
TEST_F(Flow, RandomProbeLossMarksNoUpstreamUnreachable)
{
    rng_t rng = {11, 0};
    const int n = 20;
    std::map<uint64_t, int> caller_of;

    for (uint64_t id = 0x31; id < 0x31 + n; id++) {
        bed.announce(FlowBed::upstream(id, "svc", "dc-a"));
    }
    for (int caller = 1; caller <= 200; caller++) {
        caller_of[bed.open(caller, FEED)] = caller;
    }
    for (uint32_t round = 0; round < 100; round++) {
        bed.now += 500;
        for (ms_t wait : {200, 0}) { /* each sends a request, then retransmits
                                      * it */
            for (const auto &c : caller_of) {
                bed.packet(FlowBed::data(c.second, FEED, (uint32_t)c.first,
                                         1001 + 100 * round, 100));
            }
            bed.now += wait;
        }
        for (int i = 0; i < 6; i++) {
            std::vector<flow_out_t> pending;
            pending.swap(bed.probes);
            bed.now += 100;
            for (const flow_out_t &p : pending) {
                bed.probed(p.upstream, rng_below(&rng, 3) == 0
                                           ? PROBE_TIMED_OUT
                                           : PROBE_ANSWERED);
            }
        }
    }
    for (const flow_out_t &r : bed.reaches) {
        EXPECT_NE(r.reach.to, REACH_UNREACHABLE);
    }
    EXPECT_TRUE(bed.resets.empty());
}

/* An unreachable upstream is probed at intervals, and the first answered probe
 * makes it healthy again. */
TEST_F(Flow, AnUnreachableUpstreamReturnsWithItsFirstAnswer)
{
    int a = (int)open_at(0x11, 1);
    size_t before;

    raise_suspicion(a, 0x11);
    for (int i = 0; i < 3; i++) {
        bed.now += 100;
        bed.probed(0x12, PROBE_ANSWERED);
        bed.probed(0x11, PROBE_TIMED_OUT);
    }
    before = bed.probes.size();
    bed.advance(500);
    EXPECT_EQ(bed.probes.size(), before + 1);
    bed.probed(0x11, PROBE_ANSWERED);
    EXPECT_NE(open_at(0x11, 300), 0u);
}

/* A server wrote to the store just before it died, so its announcement arrives
 * after the refused probe.  It gets no flows until a probe is answered. */
TEST_F(Flow, AnAnnouncementAloneDoesNotReviveADeadUpstream)
{
    int a = (int)open_at(0x11, 1);

    raise_suspicion(a, 0x11);
    bed.probed(0x11, PROBE_REFUSED);
    bed.probes.clear();
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    EXPECT_EQ(open_at(0x11, 300), 0u);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(0x11, PROBE_ANSWERED);
    EXPECT_NE(open_at(0x11, 400), 0u);
}

/* Probes of an upstream that stays unreachable back off, up to a maximum
 * interval. */
TEST_F(Flow, ProbesOfAnUnreachableUpstreamBackOff)
{
    int a = (int)open_at(0x11, 1);
    size_t n;

    raise_suspicion(a, 0x11);
    for (int i = 0; i < 20000; i += 50) {
        if (i % 200 == 0) {
            bed.probed(0x12, PROBE_ANSWERED);
            bed.probed(0x11, PROBE_TIMED_OUT);
        }
        bed.advance(50);
    }
    n = 0;
    for (const flow_out_t &p : bed.probes) {
        n += p.upstream == 0x11;
    }
    EXPECT_GE(n, 10u);
    EXPECT_LE(n, 20u);
}

/* An opening packet unanswered for 80 ms makes its upstream suspect, long
 * before the caller sends a copy; the copy goes to another upstream. */
TEST_F(Flow, ACopyOfAnUnansweredOpeningMovesToAnotherUpstream)
{
    flow_decision_t first = bed.packet(FlowBed::syn(1, FEED)), second;

    bed.advance(79);
    EXPECT_TRUE(bed.probes.empty());
    bed.advance(1);
    ASSERT_EQ(bed.probes.size(), 1u);
    EXPECT_EQ(bed.probes[0].upstream, first.upstream);
    bed.now += 120;
    second = bed.packet(FlowBed::syn(1, FEED, 1));
    EXPECT_EQ(second.reason, FLOW_COPY_MOVED);
    EXPECT_NE(second.upstream, first.upstream);
}

TEST_F(Flow, ACopyStaysWhenThereIsNoOtherUpstream)
{
    flow_decision_t first;

    bed.routes(2, {{FEED, "single", true}});
    bed.announce(FlowBed::upstream(0x41, "single", "dc-a"));
    first = bed.packet(FlowBed::syn(1, FEED));
    bed.now += 200;
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED, 1)).reason, FLOW_COPY);
    EXPECT_EQ(first.upstream, 0x41u);
}

/* The process was paused for seconds.  Retransmissions from that time prove
 * nothing about upstreams: no probe, no suspicion. */
TEST_F(Flow, APauseOfTheProcessProvesNothing)
{
    int a = (int)open_at(0x11, 1);

    bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100));
    bed.packet(FlowBed::syn(400, FEED));
    bed.now += 4000;
    flowset_paused(bed.flows, bed.now);
    bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100));
    bed.tick();
    EXPECT_TRUE(bed.probes.empty());
}

/* A probe that could not be sent (no free descriptor) proves nothing and is
 * repeated later. */
TEST_F(Flow, AProbeThatWasNotSentIsRetried)
{
    int a = (int)open_at(0x11, 1);

    raise_suspicion(a, 0x11);
    bed.probed(0x11, PROBE_NOT_SENT);
    bed.advance(500);
    EXPECT_EQ(bed.probes.size(), 2u);
}

/* ---- Bounds ---- */

TEST(FlowBounds, RecordsAreBoundedAndTheOldestGoesFirst)
{
    FlowBed bed("dc-a", 256);

    bed.routes(1, {{FEED, "svc", true}});
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    for (int caller = 1; caller <= 1000; caller++) {
        bed.open(caller, FEED);
    }
    EXPECT_EQ(bed.stats()->records, 256u);
    EXPECT_GE(bed.stats()->records_evicted, 700u);
    EXPECT_EQ(bed.packet(FlowBed::data(1, FEED, 0x11, 1001, 10)).action,
              FLOW_FORWARD);
}

TEST(FlowBounds, IdleFlowsAreForgotten)
{
    FlowBed bed;

    bed.routes(1, {{FEED, "svc", true}});
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    bed.open(1, FEED);
    bed.advance(16000);
    EXPECT_EQ(bed.stats()->records, 0u);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED)).open, 0u);
}

TEST(FlowBounds, AnUpstreamThatLeftIsExpired)
{
    FlowBed bed;

    bed.routes(1, {{FEED, "svc", true}});
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    flowset_remove_upstream(bed.flows, bed.now, 0x11, 0);
    bed.probed(0x11, PROBE_REFUSED);
    bed.advance(80000);
    EXPECT_EQ(bed.stats()->upstreams, 1u);
    bed.advance(20000);
    EXPECT_EQ(bed.stats()->upstreams, 0u);
}

/* ---- Evacuations ---- */

/* Guards against: an evacuation applied late or in part, which would keep
 * sending flows to upstreams that the operator is about to take down. */
TEST_F(Flow, AnEvacuatedDataCentreGetsNoNewFlow)
{
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-a", true, 0), 2);
    for (int caller = 1; caller < 100; caller++) {
        EXPECT_EQ(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x21u);
    }
    EXPECT_EQ(bed.stats()->evacuated, 1u);
    EXPECT_EQ(bed.stats()->usable, 1u);
}

/* A reset would break a feed that the evacuation is meant to preserve. */
TEST_F(Flow, AnEvacuationLeavesOpenFlowsAlone)
{
    int caller = (int)open_at(0x11, 1);

    flowset_evacuate(bed.flows, "dc-a", true, 0);
    bed.advance(1000);
    flow_decision_t d =
        bed.packet(FlowBed::data(caller, FEED, 0x11, 1001, 100));
    EXPECT_EQ(d.action, FLOW_FORWARD);
    EXPECT_EQ(d.upstream, 0x11u);
    EXPECT_TRUE(bed.resets.empty());
    /* The same at an instance that has never seen the flow. */
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x12, 1, 1)).upstream,
              0x12u);
}

/* Guards against: a retransmitted opening packet that opens a flow in the
 * evacuated data centre long after the evacuation began. */
TEST_F(Flow, ARetransmittedOpeningPacketLeavesAnEvacuatedDataCentre)
{
    ASSERT_NE(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x21u);
    flowset_evacuate(bed.flows, "dc-a", true, 0);
    bed.now += 200;
    flow_decision_t d = bed.packet(FlowBed::syn(1, FEED, 1));
    EXPECT_EQ(d.reason, FLOW_COPY_MOVED);
    EXPECT_EQ(d.upstream, 0x21u);
}

/* Guards against: callers that wait although no upstream may take their flows.
 */
TEST_F(Flow, WithAllDataCentresEvacuatedCallersAreResetAtOnce)
{
    flowset_evacuate(bed.flows, "dc-a", true, 0);
    flowset_evacuate(bed.flows, "dc-b", true, 0);
    flow_decision_t d = bed.packet(FlowBed::syn(1, FEED));
    EXPECT_EQ(d.action, FLOW_RESET);
    EXPECT_EQ(d.reason, FLOW_EVACUATED);
    /* Another instance may have opened the flow before. */
    d = bed.packet(FlowBed::syn(2, FEED, 1));
    EXPECT_EQ(d.action, FLOW_DROP);
    EXPECT_EQ(d.reason, FLOW_EVACUATED);
}

/* An instance that starts late receives the evacuation before the upstreams,
 * and upstreams may start during an evacuation. */
TEST_F(Flow, UpstreamsAnnouncedDuringAnEvacuationGetNoFlow)
{
    flowset_evacuate(bed.flows, "dc-c", true, 0);
    bed.announce(FlowBed::upstream(0x31, "svc", "dc-c"));
    bed.announce(FlowBed::upstream(0x31, "svc", "dc-c")); /* announced again */
    for (int caller = 1; caller < 100; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x31u);
    }
}

/* After an evacuation its upstreams must not stay idle for ever; those that
 * have left or are draining must stay excluded. */
TEST_F(Flow, TheEndOfAnEvacuationRestoresEligibleUpstreams)
{
    std::set<uint64_t> chosen;

    bed.announce(FlowBed::upstream(0x13, "svc", "dc-a"));
    bed.announce(FlowBed::upstream(0x14, "svc", "dc-a"));
    flowset_evacuate(bed.flows, "dc-a", true, 0);
    flow_upstream_t leaving = FlowBed::upstream(0x12, "svc", "dc-a");
    leaving.draining = true;
    bed.announce(leaving);
    flowset_remove_upstream(bed.flows, bed.now, 0x13, 0);
    flowset_evacuate(bed.flows, "dc-a", false, 0);
    flowset_evacuate(bed.flows, "dc-a", true, 0); /* within a second */
    flowset_evacuate(bed.flows, "dc-a", false, 0);
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-a", false, 0), 4);
    for (int caller = 1; caller < 100; caller++) {
        chosen.insert(bed.packet(FlowBed::syn(caller, FEED)).upstream);
    }
    chosen.erase(0x21); /* overflow of the other upstreams' queues */
    EXPECT_EQ(chosen, (std::set<uint64_t>{0x11, 0x14}));
    EXPECT_EQ(bed.stats()->evacuated, 0u);
}

/* Names are external input and must not exhaust memory. */
TEST_F(Flow, EvacuationsAreBounded)
{
    for (int i = 0; i < EVACUATIONS_MAX; i++) {
        std::string name = "dc-x" + std::to_string(i);
        EXPECT_EQ(flowset_evacuate(bed.flows, name.c_str(), true, 0), 0);
    }
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-a", true, 0), -ENOSPC);
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-x7", false, 0), 0);
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-a", true, 0), 2);
}

/* Guards against: a flood of flows at upstreams that became cold during the
 * evacuation, if its end is received before their announcements. */
TEST_F(Flow, AnEvacuationEndsOnceAnnouncementsAreSynced)
{
    flowset_evacuate(bed.flows, "dc-a", true, 50);
    flowset_upstreams_synced(bed.flows, 55);
    flowset_evacuate(bed.flows, "dc-a", false, 60);
    EXPECT_TRUE(flowset_evacuation_ending(bed.flows));
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x21u);
    flowset_upstreams_synced(bed.flows, 59);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED)).upstream, 0x21u);
    flowset_upstreams_synced(bed.flows, 60);
    EXPECT_FALSE(flowset_evacuation_ending(bed.flows));
    EXPECT_NE(bed.packet(FlowBed::syn(3, FEED)).upstream, 0x21u);
}

/* Guards against: the late end of an evacuation that has been started again.
 */
TEST_F(Flow, AnEvacuationThatBeginsAgainDoesNotEnd)
{
    flowset_evacuate(bed.flows, "dc-a", true, 50);
    flowset_evacuate(bed.flows, "dc-a", false, 60);
    flowset_evacuate(bed.flows, "dc-a", true, 61);
    flowset_upstreams_synced(bed.flows, 70);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x21u);
    EXPECT_EQ(bed.stats()->evacuated, 1u);
}
