/* Decisions about tagged flows: one small story a test. */
#include "test/flow_bed.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

static const char FEED[] = "198.18.0.1:443";    /* idempotent */
static const char COMMAND[] = "198.18.0.1:444"; /* once at most */

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

    /* A caller of U sends again what went unanswered: a probe starts. */
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
        bed.probed(0x11, PROBE_SILENT);
        for (flow_probe_t control : {second, third}) {
            bed.now += 100;
            bed.probed(0x12, control);
            bed.probed(0x11, PROBE_SILENT);
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

    EXPECT_EQ(d.verb, FLOW_FORWARD);
    EXPECT_EQ(d.reason, FLOW_CHOSEN);
    EXPECT_EQ(d.tag, (uint32_t)d.upstream);
    EXPECT_STREQ(d.service, "svc");
}

/* A router hands a flow's packets to another instance when one joins.  That
 * instance has never seen the flow: the tag alone leads to the upstream. */
TEST_F(Flow, AnotherInstanceForwardsByTheTagAlone)
{
    flow_decision_t d = bed.packet(FlowBed::data(77, FEED, 0x21, 4000, 100));

    EXPECT_EQ(d.verb, FLOW_FORWARD);
    EXPECT_EQ(d.reason, FLOW_BY_TAG);
    EXPECT_EQ(d.upstream, 0x21u);
}

TEST_F(Flow, WithoutARouteTheCallerIsResetAtOnce)
{
    flow_decision_t d = bed.packet(FlowBed::syn(1, "198.18.0.9:443"));

    EXPECT_EQ(d.verb, FLOW_RESET);
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

    EXPECT_EQ(d.verb, FLOW_DROP); /* its upstream may live */
    EXPECT_EQ(d.reason, FLOW_TAG_UNKNOWN);
}

/* Peers and the store may tell versions in any order.  An instance that took
 * an older one would route by it, which its callers have seen replaced. */
TEST_F(Flow, VersionsNeverGoBack)
{
    EXPECT_EQ(bed.routes(5, {{FEED, "svc", true}}), 0);
    EXPECT_EQ(bed.routes(4, {{FEED, "svc", true}, {COMMAND, "svc", false}}),
              -ESTALE);
    EXPECT_EQ(bed.routes(5, {{COMMAND, "svc", false}}), -ESTALE);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, COMMAND)).reason, FLOW_NO_ROUTE);
    EXPECT_EQ(bed.stats()->version, 5u);
}

/* Ids are longer than tags.  Of two upstreams with one tag only the first gets
 * flows: packets of the second's would reach the first and be reset. */
TEST_F(Flow, AnUpstreamWithATakenTagGetsNoFlow)
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

/* A short answer is acknowledged only with the caller's next request, which
 * comes after a pause.  Taken for the time to an answer, the pause would make
 * its upstream look slow and the service full. */
TEST_F(Flow, ThePauseBeforeTheNextRequestIsNoPartOfAnAnswer)
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
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).verb,
              FLOW_FORWARD);
    EXPECT_TRUE(bed.resets.empty());
}

/* Announcements lapse while the store is away, all at once when it returns,
 * and are back within two seconds.  New flows need somewhere to go meanwhile;
 * later, one that is still missing has gone. */
TEST_F(Flow, LapsedAnnouncementsAreUsedForAMoment)
{
    for (uint64_t id : {0x11, 0x12, 0x21}) {
        flowset_remove_upstream(bed.flows, bed.now, id);
        bed.probed(id, PROBE_ANSWERED);
    }
    bed.advance(1900);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).verb, FLOW_FORWARD);
    bed.advance(200);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED)).reason, FLOW_NO_UPSTREAM);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).verb,
              FLOW_FORWARD);
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    EXPECT_EQ(bed.packet(FlowBed::syn(3, FEED)).upstream, 0x11u);
}

/* One of several whose announcement is gone has probably died: the others are
 * taken first. */
TEST_F(Flow, AnUpstreamWithoutAnnouncementComesLast)
{
    flowset_remove_upstream(bed.flows, bed.now, 0x11);
    bed.probed(0x11, PROBE_ANSWERED);
    for (int caller = 1; caller < 50; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x11u);
    }
}

/* A draining upstream has exited; idle callers still hold flows to it.  Its
 * host refuses the probe that the end of the announcement starts, so they are
 * reset before they ask again, and lose nothing. */
TEST_F(Flow, IdleFlowsOfAnUpstreamThatHasLeftAreReset)
{
    uint32_t caller = open_at(0x11, 1);

    ASSERT_NE(caller, 0u);
    bed.resets.clear();
    flowset_remove_upstream(bed.flows, bed.now, 0x11);
    ASSERT_EQ(bed.probes.size(), 1u);
    EXPECT_EQ(bed.probes[0].upstream, 0x11u);
    bed.probed(0x11, PROBE_REFUSED);
    ASSERT_FALSE(bed.resets.empty());
    for (const flow_out_t &r : bed.resets) {
        EXPECT_EQ(r.upstream, 0x11u);
        EXPECT_EQ(r.reset.seq, 5000u); /* what the caller expects next */
    }
}

/* A leaving server closes its TCP port some moments before its last flows end.
 * One refused probe is then no proof: reset at once, a flow that its server
 * still serves would be cut by a planned change.  The second, later, is. */
TEST_F(Flow, ALeavingUpstreamsFlowsAreLeftUntilTheSecondRefusal)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.draining = true;
    bed.announce(u);
    flowset_remove_upstream(bed.flows, bed.now, 0x11);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 10)).verb,
        FLOW_FORWARD);
    bed.advance(500);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_FALSE(bed.resets.empty());
}

/* A leaving server has closed its port, and a caller still sends it an upload
 * through a full link: for seconds no instance sees an answer, and each
 * repetition starts a probe, which is refused.  It is announced all the while
 * and serves to the end; its flow must not be cut by a planned change. */
TEST_F(Flow, ALeavingUpstreamThatIsAnnouncedKeepsItsFlows)
{
    uint32_t caller = open_at(0x11, 1, COMMAND);
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    u.draining = true;
    bed.announce(u);
    bed.resets.clear();
    for (uint32_t i = 0; i < 5; i++) {
        for (ms_t wait : {400, 0}) { /* new bytes, and again */
            bed.packet(FlowBed::data((int)caller, COMMAND, 0x11,
                                     1001 + 1200 * i, 1200));
            bed.now += wait;
        }
        bed.advance(1000);
        bed.probed(0x11, PROBE_REFUSED);
        EXPECT_TRUE(bed.resets.empty()) << i;
    }
    flowset_remove_upstream(bed.flows, bed.now, 0x11);
    bed.advance(2000);
    bed.probed(0x11, PROBE_REFUSED);
    EXPECT_FALSE(bed.resets.empty()); /* now it has left */
}

/* A server whose connections are over its limit accepts a probe and resets it.
 * It lives and answers its callers, 200 ms late; a caller repeats its request
 * in between and starts the probe.  None of its flows may be ended, at the
 * first such probe or the tenth. */
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
        ASSERT_EQ(bed.probes.size(), 1u); /* asked again soon */
    }
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1101, 10)).verb,
        FLOW_FORWARD);
}

/* The same reset comes when a process ends with a connection in its queue: the
 * next probe is refused, and then its callers are told. */
TEST_F(Flow, AnUpstreamThatEndsAfterItResetAProbeIsFoundByTheNext)
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

/* An address is given to a server of another service only after its former
 * holder has ended.  Packets of the former's flows must not be carried to the
 * new one, and their callers needn't wait. */
TEST_F(Flow, AnAddressThatIsUsedAgainEndsItsFormerFlows)
{
    uint32_t caller = open_at(0x11, 1);
    flow_upstream_t next = FlowBed::upstream(0x31, "archive", "dc-a");
    flow_decision_t d;

    ASSERT_NE(caller, 0u);
    next.addr = FlowBed::upstream(0x11, "svc", "dc-a").addr;
    bed.announce(next);
    EXPECT_FALSE(bed.resets.empty());
    d = bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 10));
    EXPECT_EQ(d.verb, FLOW_RESET);
    EXPECT_EQ(d.reason, FLOW_UPSTREAM_DEAD);
}

/* The former holder's announcement outlasts it, and a list tells both, in the
 * order of their ids.  The later announced one is there now: its flows must
 * not be reset, whatever the order. */
TEST(FlowAddress, OfTwoAtOneAddressTheLaterAnnouncedHoldsIt)
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
        EXPECT_EQ(bed.packet(FlowBed::data(2, FEED, 0x42, 1, 1)).verb,
                  FLOW_FORWARD);
        EXPECT_EQ(bed.packet(FlowBed::data(3, FEED, 0x41, 1, 1)).reason,
                  FLOW_UPSTREAM_DEAD);
    }
}

/* A server starts again under its id and holds nothing of before.  It resets
 * old flows itself; what is counted here starts anew. */
TEST_F(Flow, AnUpstreamBornAgainHasNoFlows)
{
    flow_upstream_t u = FlowBed::upstream(0x11, "svc", "dc-a");

    ASSERT_NE(open_at(0x11, 1), 0u);
    u.born_ms = 1772060000000;
    bed.resets.clear();
    bed.announce(u);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x11, 1, 1)).open, 0u);
}

/* ---- Reach ---- */

/* A caller repeats itself after a lost packet as well.  The probe is answered:
 * the upstream lives, nothing is reset, and it goes on getting flows. */
TEST_F(Flow, ADoubtThatAProbeRefutesChangesNothing)
{
    uint32_t caller = open_at(0x11, 1);

    raise_suspicion((int)caller, 0x11);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(0x11, PROBE_ANSWERED);
    EXPECT_TRUE(bed.resets.empty());
    EXPECT_EQ(
        bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 100)).verb,
        FLOW_FORWARD);
    EXPECT_EQ(bed.probes.size(), 1u); /* settled for a while */
    EXPECT_NE(open_at(0x11, 100), 0u);
}

/* Routers may let a packet overtake another.  The late one holds bytes seen
 * before, but too early for a repetition. */
TEST_F(Flow, OvertakenPacketsRaiseNoDoubt)
{
    uint32_t caller = open_at(0x11, 1);

    bed.now += 500;
    bed.packet(FlowBed::data((int)caller, FEED, 0x11, 2201, 1200));
    bed.now += 1;
    bed.packet(FlowBed::data((int)caller, FEED, 0x11, 1001, 1200));
    EXPECT_TRUE(bed.probes.empty());
}

/* Other callers of the upstream got answers since: one repetition is a lost
 * packet, and no probe is spent on it. */
TEST_F(Flow, OthersThatGoOnRefuteADoubt)
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

/* A server dies without a word.  One caller repeats itself, the host refuses
 * the probe: every caller of that server is told at once, and tries elsewhere
 * well before its goal has passed. */
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

/* An instance passes an opening packet to an upstream that has just died, and
 * stands still.  The caller's copy goes to another instance, which opens the
 * flow at a living upstream.  Back again, the first instance learns of the
 * death: a reset would end the flow that lives. */
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

/* An instance stands still with a caller's opening packet in its socket.  The
 * caller's copy opens the flow through another one.  Awake again, the instance
 * passes the old packet on to an upstream that has died meanwhile, and learns
 * so at once: the record is young, the packet is not. */
TEST_F(Flow, AnOpeningThatWaitedToBeReadIsNotReset)
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

/* A slow upstream answers the first opening packet after its caller has sent a
 * copy.  The copy came here and went to an upstream that is dead: the flow is
 * open by now, and a reset would end it. */
TEST_F(Flow, ACopyAtADeadUpstreamIsNotReset)
{
    uint64_t up = bed.packet(FlowBed::syn(1, COMMAND, 1)).upstream;

    bed.advance(80);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.probed(up, PROBE_REFUSED);
    EXPECT_TRUE(bed.resets.empty());
}

/* The same when both came here and the copy was moved to the dead one. */
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

/* An instance that stood still knows no upstream or route that takes an old
 * opening packet or a copy: another instance may have opened the flow.  Its
 * caller is told at the packet that is neither. */
TEST_F(Flow, ALateOpeningThatNobodyTakesIsDropped)
{
    static const char NO_ROUTE[] = "198.18.0.9:9";
    flow_packet_t late = FlowBed::syn(1, NO_ROUTE);

    late.age_ms = 150;
    EXPECT_EQ(bed.packet(late).verb, FLOW_DROP);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, NO_ROUTE, 1)).verb, FLOW_DROP);
    EXPECT_EQ(bed.packet(FlowBed::syn(3, NO_ROUTE)).verb, FLOW_RESET);
    for (uint64_t id : {0x11, 0x12, 0x21}) {
        flowset_remove_upstream(bed.flows, bed.now, id);
        bed.probed(id, PROBE_REFUSED);
    }
    late.service = address(FEED);
    EXPECT_EQ(bed.packet(late).verb, FLOW_DROP);
    EXPECT_EQ(bed.packet(late).reason, FLOW_NO_UPSTREAM);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED, 1)).verb, FLOW_DROP);
    EXPECT_EQ(bed.packet(FlowBed::syn(3, FEED)).verb, FLOW_RESET);
}

/* Packets that waited tell of the time when they came: a caller went on then,
 * and its upstream may have died since.  The doubt stays. */
TEST_F(Flow, AnOldSignOfLifeSettlesNoDoubt)
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

/* Before its caller sends a copy, the opening can only have been passed on
 * here: its caller is told at once. */
TEST_F(Flow, AYoungOpeningAtADeadUpstreamIsReset)
{
    uint64_t up = bed.packet(FlowBed::syn(1, COMMAND)).upstream;

    bed.advance(80);
    ASSERT_EQ(bed.probes.size(), 1u);
    bed.resets.clear();
    bed.probed(up, PROBE_REFUSED);
    EXPECT_EQ(bed.resets.size(), 1u);
}

/* A request is unanswered for much longer than the service's usual: it is
 * asked about before its caller sends again.  Once others get answers, a long
 * wait means a long request, and no probe is spent. */
TEST_F(Flow, ALongWaitRaisesADoubtBeforeTheCallerRepeatsItself)
{
    int a = (int)open_at(0x11, 1), b = (int)open_at(0x11, 100);

    for (int i = 0; i < 60; i++) { /* answers take some 20 ms */
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

/* What an upstream has closed must not be reset afterwards. */
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

/* A data centre is cut off: probes get no answer.  The servers there live, and
 * may be working on what they were sent, so only callers that may repeat their
 * request, and ask for something now, are told to try elsewhere. */
TEST_F(Flow, AnUnreachableUpstreamIsLeftByRepeatableRequestsOnly)
{
    int a = (int)open_at(0x11, 1);

    bed.packet(FlowBed::data(901, COMMAND, 0x11, 1, 10));
    raise_suspicion(a, 0x11);
    bed.now += 200;
    bed.probed(0x11, PROBE_SILENT);
    /* One may have been lost; another upstream is asked beside it. */
    ASSERT_EQ(bed.probes.size(), 3u);
    EXPECT_EQ(bed.probes[1].upstream, 0x11u);
    EXPECT_EQ(bed.probes[2].upstream, 0x12u);
    bed.probed(0x12, PROBE_ANSWERED);
    bed.probed(0x11, PROBE_SILENT);
    bed.probed(0x12, PROBE_ANSWERED);
    EXPECT_EQ(bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100)).verb,
              FLOW_FORWARD);
    bed.now += 200;
    EXPECT_TRUE(bed.resets.empty());
    bed.probed(0x11, PROBE_SILENT);
    ASSERT_EQ(bed.resets.size(), 1u); /* A waits, and may ask again */
    EXPECT_EQ(bed.resets[0].reset.caller.port, a);
    EXPECT_EQ(bed.resets[0].reset.reason, FLOW_UPSTREAM_OUT);
    EXPECT_EQ(bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100)).reason,
              FLOW_UPSTREAM_OUT);
    EXPECT_EQ(bed.packet(FlowBed::data(a + 1, FEED, 0x11, 1001, 0)).verb,
              FLOW_FORWARD);
    EXPECT_EQ(bed.packet(FlowBed::data(901, COMMAND, 0x11, 1, 10)).verb,
              FLOW_FORWARD);
    for (int caller = 200; caller < 250; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x11u);
    }
}

/* A small instance's own link is full: whatever it asks, no answer comes in
 * time.  Not one of the upstreams is at fault, and their flows, which are
 * merely late, must not be reset. */
TEST_F(Flow, WhenNothingAnswersItIsTheInstanceItself)
{
    int a = (int)open_at(0x11, 1);

    raise_suspicion(a, 0x11);
    for (int i = 0; i < 40; i++) {
        std::vector<flow_out_t> pending = bed.probes;
        bed.probes.clear();
        bed.now += 100;
        for (const flow_out_t &p : pending) {
            bed.probed(p.upstream, PROBE_SILENT);
        }
        bed.advance(300);
    }
    EXPECT_TRUE(bed.resets.empty());
    for (const flow_out_t &r : bed.reaches) {
        EXPECT_NE(r.reach.to, REACH_UNREACHABLE);
    }
    EXPECT_EQ(bed.packet(FlowBed::data(a, FEED, 0x11, 1001, 100)).verb,
              FLOW_FORWARD);
    EXPECT_EQ(bed.packet(FlowBed::syn(500, FEED)).verb, FLOW_FORWARD);
}

/* A link that is nearly full drops some packets and lets others pass.  One
 * answer beside a silent probe is then no proof: it takes both. */
TEST_F(Flow, OneAnswerBesideASilentProbeProvesNothing)
{
    probe_with_controls(PROBE_ANSWERED, PROBE_SILENT);
}

TEST_F(Flow, NorDoesTheSecondAnswerAlone)
{
    probe_with_controls(PROBE_SILENT, PROBE_ANSWERED);
}

/* A burst of uploads fills a small instance's link for a minute: a third of
 * its probes get no answer in time, whomever they ask.  Among thousands, three
 * in a row are silent by chance again and again, with an answer beside each.
 * No upstream may be found unreachable by that. */
TEST_F(Flow, ChanceOnAFullLinkFindsNoUpstreamUnreachable)
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
        for (ms_t wait : {200, 0}) { /* each sends a request, and again */
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
                                           ? PROBE_SILENT
                                           : PROBE_ANSWERED);
            }
        }
    }
    for (const flow_out_t &r : bed.reaches) {
        EXPECT_NE(r.reach.to, REACH_UNREACHABLE);
    }
    EXPECT_TRUE(bed.resets.empty());
}

/* It comes back by proof: it is probed now and then, and the first answer
 * makes it good. */
TEST_F(Flow, AnUnreachableUpstreamReturnsWithItsFirstAnswer)
{
    int a = (int)open_at(0x11, 1);
    size_t before;

    raise_suspicion(a, 0x11);
    for (int i = 0; i < 3; i++) {
        bed.now += 100;
        bed.probed(0x12, PROBE_ANSWERED);
        bed.probed(0x11, PROBE_SILENT);
    }
    before = bed.probes.size();
    bed.advance(500);
    EXPECT_EQ(bed.probes.size(), before + 1);
    bed.probed(0x11, PROBE_ANSWERED);
    EXPECT_NE(open_at(0x11, 300), 0u);
}

/* A server that died wrote to the store just before: its announcement arrives
 * after the refused probe.  It gets no flow until a probe is answered. */
TEST_F(Flow, AnAnnouncementAloneDoesNotRaiseTheDead)
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

/* Probes of what stays away come less and less often, up to a bound. */
TEST_F(Flow, ProbesOfAnUnreachableUpstreamBackOff)
{
    int a = (int)open_at(0x11, 1);
    size_t n;

    raise_suspicion(a, 0x11);
    for (int i = 0; i < 20000; i += 50) {
        if (i % 200 == 0) {
            bed.probed(0x12, PROBE_ANSWERED);
            bed.probed(0x11, PROBE_SILENT);
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

/* An opening packet that nobody answers shows within 80 ms that something is
 * wrong, long before its copy comes; the copy goes to another upstream. */
TEST_F(Flow, AnUnansweredOpeningPacketMovesOn)
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

/* The process stood still for seconds.  Callers sent again meanwhile, which
 * says nothing about upstreams: no probe, no doubt. */
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

/* A probe that could not be made (no descriptor is free) settles nothing and
 * is made later. */
TEST_F(Flow, AProbeThatWasNotMadeIsTriedAgain)
{
    int a = (int)open_at(0x11, 1);

    raise_suspicion(a, 0x11);
    bed.probed(0x11, PROBE_NONE);
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
    EXPECT_GE(bed.stats()->forgotten, 700u);
    EXPECT_EQ(bed.packet(FlowBed::data(1, FEED, 0x11, 1001, 10)).verb,
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

TEST(FlowBounds, AnUpstreamThatLeftIsForgottenAtLast)
{
    FlowBed bed;

    bed.routes(1, {{FEED, "svc", true}});
    bed.announce(FlowBed::upstream(0x11, "svc", "dc-a"));
    flowset_remove_upstream(bed.flows, bed.now, 0x11);
    bed.probed(0x11, PROBE_REFUSED);
    bed.advance(80000);
    EXPECT_EQ(bed.stats()->upstreams, 1u);
    bed.advance(20000);
    EXPECT_EQ(bed.stats()->upstreams, 0u);
}

/* ---- Evacuations ---- */

/* An evacuation applied late or in part would go on sending flows to upstreams
 * that the operator is about to take away. */
TEST_F(Flow, AnEvacuatedDataCentreGetsNoNewFlow)
{
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-a", true, 0), 2);
    for (int caller = 1; caller < 100; caller++) {
        EXPECT_EQ(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x21u);
    }
    EXPECT_EQ(bed.stats()->evacuated, 1u);
    EXPECT_EQ(bed.stats()->usable, 1u);
}

/* A reset would break a feed that the evacuation is meant to spare. */
TEST_F(Flow, AnEvacuationLeavesOpenFlowsAlone)
{
    int caller = (int)open_at(0x11, 1);

    flowset_evacuate(bed.flows, "dc-a", true, 0);
    bed.advance(1000);
    flow_decision_t d =
        bed.packet(FlowBed::data(caller, FEED, 0x11, 1001, 100));
    EXPECT_EQ(d.verb, FLOW_FORWARD);
    EXPECT_EQ(d.upstream, 0x11u);
    EXPECT_TRUE(bed.resets.empty());
    /* The same at an instance that has never seen the flow. */
    EXPECT_EQ(bed.packet(FlowBed::data(900, FEED, 0x12, 1, 1)).upstream,
              0x12u);
}

/* A retransmitted opening packet would open a flow in the evacuated data
 * centre long after the evacuation began. */
TEST_F(Flow, ARetransmittedOpeningPacketLeavesAnEvacuatedDataCentre)
{
    ASSERT_NE(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x21u);
    flowset_evacuate(bed.flows, "dc-a", true, 0);
    bed.now += 200;
    flow_decision_t d = bed.packet(FlowBed::syn(1, FEED, 1));
    EXPECT_EQ(d.reason, FLOW_COPY_MOVED);
    EXPECT_EQ(d.upstream, 0x21u);
}

/* Callers would wait for an answer that nobody may give. */
TEST_F(Flow, WithAllDataCentresEvacuatedCallersAreResetAtOnce)
{
    flowset_evacuate(bed.flows, "dc-a", true, 0);
    flowset_evacuate(bed.flows, "dc-b", true, 0);
    flow_decision_t d = bed.packet(FlowBed::syn(1, FEED));
    EXPECT_EQ(d.verb, FLOW_RESET);
    EXPECT_EQ(d.reason, FLOW_EVACUATED);
    /* Another instance may have opened the flow before. */
    d = bed.packet(FlowBed::syn(2, FEED, 1));
    EXPECT_EQ(d.verb, FLOW_DROP);
    EXPECT_EQ(d.reason, FLOW_EVACUATED);
}

/* An instance that starts late hears of the evacuation before it hears of
 * upstreams, and of upstreams that start meanwhile. */
TEST_F(Flow, UpstreamsAnnouncedDuringAnEvacuationGetNoFlow)
{
    flowset_evacuate(bed.flows, "dc-c", true, 0);
    bed.announce(FlowBed::upstream(0x31, "svc", "dc-c"));
    bed.announce(FlowBed::upstream(0x31, "svc", "dc-c")); /* anew */
    for (int caller = 1; caller < 100; caller++) {
        EXPECT_NE(bed.packet(FlowBed::syn(caller, FEED)).upstream, 0x31u);
    }
}

/* After the end of an evacuation its upstreams would stay idle for ever; those
 * that have left or drain meanwhile must stay out. */
TEST_F(Flow, TheEndOfAnEvacuationBringsBackThoseThatMayBeChosen)
{
    std::set<uint64_t> chosen;

    bed.announce(FlowBed::upstream(0x13, "svc", "dc-a"));
    bed.announce(FlowBed::upstream(0x14, "svc", "dc-a"));
    flowset_evacuate(bed.flows, "dc-a", true, 0);
    flow_upstream_t leaving = FlowBed::upstream(0x12, "svc", "dc-a");
    leaving.draining = true;
    bed.announce(leaving);
    flowset_remove_upstream(bed.flows, bed.now, 0x13);
    flowset_evacuate(bed.flows, "dc-a", false, 0);
    flowset_evacuate(bed.flows, "dc-a", true, 0); /* within a second */
    flowset_evacuate(bed.flows, "dc-a", false, 0);
    EXPECT_EQ(flowset_evacuate(bed.flows, "dc-a", false, 0), 4);
    for (int caller = 1; caller < 100; caller++) {
        chosen.insert(bed.packet(FlowBed::syn(caller, FEED)).upstream);
    }
    chosen.erase(0x21); /* the others' queues spill over */
    EXPECT_EQ(chosen, (std::set<uint64_t>{0x11, 0x14}));
    EXPECT_EQ(bed.stats()->evacuated, 0u);
}

/* Names come from outside: they must not fill the memory. */
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
 * evacuation, where the end is heard of before their announcements are. */
TEST_F(Flow, AnEvacuationEndsOnlyWhenTheUpstreamsAreKnownAsOfThen)
{
    flowset_evacuate(bed.flows, "dc-a", true, 50);
    flowset_upstreams_known(bed.flows, 55);
    flowset_evacuate(bed.flows, "dc-a", false, 60);
    EXPECT_TRUE(flowset_evacuation_ends(bed.flows));
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x21u);
    flowset_upstreams_known(bed.flows, 59);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, FEED)).upstream, 0x21u);
    flowset_upstreams_known(bed.flows, 60);
    EXPECT_FALSE(flowset_evacuation_ends(bed.flows));
    EXPECT_NE(bed.packet(FlowBed::syn(3, FEED)).upstream, 0x21u);
}

/* Guards against: a late end of an evacuation that has begun again. */
TEST_F(Flow, AnEvacuationThatBeginsAgainDoesNotEnd)
{
    flowset_evacuate(bed.flows, "dc-a", true, 50);
    flowset_evacuate(bed.flows, "dc-a", false, 60);
    flowset_evacuate(bed.flows, "dc-a", true, 61);
    flowset_upstreams_known(bed.flows, 70);
    EXPECT_EQ(bed.packet(FlowBed::syn(1, FEED)).upstream, 0x21u);
    EXPECT_EQ(bed.stats()->evacuated, 1u);
}
