/* Tests of the platform adapter: packets, store documents and fuzzed input. */
#include "platform/entry.h"
#include "platform/platform.h"
#include "test/flow_bed.h"

#include <errno.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

static std::vector<uint8_t>
hex(const std::string &text)
{
    std::vector<uint8_t> out;

    for (size_t i = 0; i + 1 < text.size(); i += 3) {
        out.push_back(
            (uint8_t)strtoul(text.substr(i, 2).c_str(), nullptr, 16));
    }
    return out;
}

static const char SYN[] =
    "02 00 00 00 a1 b2 c3 d5 01 bb 9c 41 c6 12 00 01 64 40 00 07 11 22 33 44 "
    "00 00 00 00 00 00 00 00";

TEST(Features, WordsCallForSharing)
{
    EXPECT_EQ(platform_sharing("pressure"), FLOW_SHARE_ALL);
    EXPECT_EQ(platform_sharing("health"), FLOW_SHARE_PATIENT);
    EXPECT_EQ(platform_sharing("press"), FLOW_SHARE_NONE);
    EXPECT_EQ(platform_sharing(""), FLOW_SHARE_NONE);
}

TEST(Packet, ReadsSyn)
{
    std::vector<uint8_t> d = hex(SYN);
    flow_packet_t p;
    addr_t caller = address("100.64.0.7:40001");
    addr_t service = address("198.18.0.1:443");

    ASSERT_EQ(packet_read(&p, d.data(), d.size()), 0);
    EXPECT_TRUE(addr_eq(&p.caller, &caller));
    EXPECT_TRUE(addr_eq(&p.service, &service));
    EXPECT_TRUE(p.opens);
    EXPECT_FALSE(p.ends);
    EXPECT_EQ(p.seq, 0x11223344u);
    EXPECT_EQ(p.len, 0);
    EXPECT_EQ(p.tag, 0u);
}

TEST(Packet, SetTagChangesOnlyTheTag)
{
    std::vector<uint8_t> d = hex(SYN), before = d;

    packet_set_tag(d.data(), 0xdeadbeef);
    EXPECT_EQ(std::vector<uint8_t>(d.begin(), d.begin() + 28),
              std::vector<uint8_t>(before.begin(), before.begin() + 28));
    EXPECT_EQ(std::vector<uint8_t>(d.begin() + 28, d.end()),
              hex("de ad be ef "));
}

TEST(Packet, ResetHasTheExpectedHeader)
{
    addr_t caller = address("100.64.0.7:40001");
    addr_t service = address("198.18.0.1:443");
    uint8_t out[PACKET_HEADER_LEN];

    packet_write_reset(out, &caller, &service, 0);
    EXPECT_EQ(std::vector<uint8_t>(out, out + PACKET_HEADER_LEN),
              hex("04 00 00 00 00 00 00 00 9c 41 01 bb 64 40 00 07 c6 12 00 "
                  "01 00 00 00 00 00 00 00 00 00 00 00 00"));
}

TEST(Packet, PrefixHoldsTheWholeUpstreamId)
{
    uint8_t out[PACKET_PREFIX_LEN];

    packet_write_prefix(out, 0x17f3a91c2);
    EXPECT_EQ(std::vector<uint8_t>(out, out + PACKET_PREFIX_LEN),
              hex("00 00 00 01 7f 3a 91 c2 "));
}

TEST(Packet, RejectsWrongLengths)
{
    std::vector<uint8_t> d = hex(SYN);
    flow_packet_t p;

    for (size_t len = 0; len < PACKET_HEADER_LEN; len++) {
        EXPECT_EQ(packet_read(&p, d.data(), len), -EPROTO);
    }
    d.push_back(0);
    EXPECT_EQ(packet_read(&p, d.data(), d.size()), -EPROTO);
}

static bool
request_id(const std::string &content, std::string *id)
{
    std::vector<uint8_t> d(PACKET_HEADER_LEN);
    char out[PACKET_ID_LEN];
    bool found;

    d.insert(d.end(), content.begin(), content.end());
    found = packet_request_id(d.data(), d.size(), out);
    *id = found ? out : "";
    return found;
}

TEST(Packet, ExtractsRequestId)
{
    std::string id;

    EXPECT_TRUE(request_id("GET / HTTP/1.1\r\nHost: a\r\n"
                           "X-Request-Id: 60932ba8\r\n\r\n",
                           &id));
    EXPECT_EQ(id, "60932ba8");
    EXPECT_FALSE(request_id("", &id));
    EXPECT_FALSE(request_id("GET / HTTP/1.1\r\nX-Request-Id: ", &id));
    EXPECT_FALSE(request_id("X-Request-Id: inside a body", &id));
    EXPECT_TRUE(request_id("GET /\r\nX-Request-Id: a b\nc\r\n", &id));
    EXPECT_EQ(id, "a"); /* the value can't start a new log line */
    EXPECT_TRUE(
        request_id("GET /\r\nX-Request-Id:" + std::string(200, 'x'), &id));
    EXPECT_EQ(id.size(), 64u);
}

/* ---- Documents ---- */

static int
event(store_event_t *ev, const char *key, const char *value, err_t *e)
{
    store_item_t item = {(char *)key, (char *)value, 7};

    return store_decode_item(ev, &item, e);
}

TEST(Items, DecodesUpstream)
{
    store_event_t ev;
    err_t e = {};

    ASSERT_EQ(event(&ev, "servers/i-7f3a91c2",
                    R"({"service":"a","address":"10.128.0.9:8080",)"
                    R"("zone":"z","version":"v1","slots":3,)"
                    R"("state":"draining","warmup_left_ms":1500,)"
                    R"("sequence":4,"born":1772060000000,"new":[]})",
                    &e),
              0);
    ASSERT_EQ(ev.kind, STORE_UPSTREAM);
    EXPECT_EQ(ev.upstream.id, 0x7f3a91c2u);
    EXPECT_EQ(ev.upstream.slots, 3u);
    EXPECT_TRUE(ev.upstream.draining);
    EXPECT_EQ(ev.upstream.warm_up_ms, 1500);
    EXPECT_EQ(ev.upstream.started_ms, 1772060000000);
    EXPECT_STREQ(ev.upstream.data_centre, "z");
}

/* Anyone can write an entry.  An invalid entry describes no upstream, and the
 * upstream that it described before is not kept. */
TEST(Items, InvalidUpstreamsAreReportedGone)
{
    static const char *const bad[] = {
        "",
        "nonsense",
        "[]",
        "{}",
        "7",
        "\"x\"",
        "{\"service\":7}",
        R"({"service":"a","address":"10.0.0.1","zone":"z","state":"ready"})",
        R"({"service":"a","address":"10.0.0.1:0","zone":"z","state":"ready"})",
        R"({"service":"a","address":"10.0.0.1:80","zone":"z","state":"up"})",
        R"({"service":"a","address":"10.0.0.1:80","zone":3,"state":"ready"})",
        R"({"service":"","address":"10.0.0.1:80","zone":"z","state":"ready"})",
        R"({"service":"a","address":"10.0.0.1:80","zone":"z",)"
        R"("state":"ready","slots":"two"})",
        R"({"service":"a","address":"10.0.0.1:80","zone":"z",)"
        R"("state":"ready","slots":-1})",
        R"({"service":"a","address":"10.0.0.1:80","zone":"z",)"
        R"("state":"ready","born":"today"})",
    };

    for (const char *value : bad) {
        store_event_t ev;
        err_t e = {};
        EXPECT_EQ(event(&ev, "servers/i-ff", value, &e), -EINVAL) << value;
        EXPECT_EQ(ev.kind, STORE_UPSTREAM_GONE) << value;
        EXPECT_EQ(ev.id, 0xffu);
        EXPECT_STREQ(e.peer, "servers/i-ff");
    }
}

/* Guards against: two entries whose keys end in the same id being taken for
 * one. */
TEST(Items, KeysWithTheSameIdAreDistinctEntries)
{
    store_event_t a, b, gone;
    err_t e = {};
    const char *value = R"({"service":"a","address":"10.0.0.1:80",)"
                        R"("zone":"z","state":"ready"})";

    ASSERT_EQ(event(&a, "servers/i-ff", value, &e), 0);
    ASSERT_EQ(event(&b, "servers/j-ff", value, &e), 0);
    ASSERT_EQ(event(&gone, "servers/j-ff", nullptr, &e), 0);
    EXPECT_EQ(a.upstream.id, b.upstream.id);
    EXPECT_NE(a.upstream.entry, b.upstream.entry);
    EXPECT_EQ(gone.entry, b.upstream.entry);
}

/* ---- Generated entries ---- */

static const char *const VALID =
    R"({"service":"a","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":2,"state":"ready","warmup_left_ms":0,"sequence":4,)"
    R"("born":1772060000000})";

static std::string
json_value()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return "null";
    case 1:
        return std::to_string(*rc::gen::arbitrary<int64_t>());
    case 2:
        return "-1e999";
    case 3:
        return "\"" + std::string(*rc::gen::inRange(0, 300), 'x') + "\"";
    case 4:
        return "\"\\n ERROR\\tforged: line\"";
    case 5:
        return std::string(*rc::gen::inRange(1, 30000), '[');
    case 6:
        return "{\"a\":[true,{}]}";
    default:
        return "\"ready\"";
    }
}

/* An entry as another writer may leave it: fields missing or of another type,
 * a service or state that isn't known, bytes that are no JSON, 64 kB. */
static std::string
foreign_value()
{
    std::string text = "{";

    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return *rc::gen::string<std::string>();
    case 1:
        return std::string(64 * 1024, *rc::gen::element('[', '{', '"', 'x'));
    default:
        break;
    }
    for (const char *field : {"service", "address", "zone", "state", "slots",
                              "warmup_left_ms", "sequence", "born"}) {
        int kind = *rc::gen::inRange(0, 10);
        const char *good = strstr(VALID, field);
        size_t len = strcspn(strchr(good, ':') + 1, ",}");
        if (kind > 0) {
            text += text.size() > 1 ? "," : "";
            text += "\"" + std::string(field) + "\":" +
                    (kind < 4 ? json_value()
                              : std::string(strchr(good, ':') + 1, len));
        }
    }
    return text + "}";
}

/* Guards against: a foreign entry that crashes the decoder, names an upstream
 * without all it needs, or changes what is known of another upstream. */
RC_GTEST_PROP(ForeignEntries, HarmNoOther, ())
{
    FlowBed bed;
    store_event_t ev;
    err_t e = {};

    bed.routes(1, {{"198.18.0.1:443", "a", true}});
    RC_ASSERT(event(&ev, "servers/i-0a", VALID, &e) == 0);
    bed.announce(ev.upstream);
    for (int n = *rc::gen::inRange(1, 12); n > 0; n--) {
        bool same_id = *rc::gen::arbitrary<bool>();
        bool removed = *rc::gen::inRange(0, 5) == 0;
        std::string value = foreign_value();
        int rc = event(&ev, same_id ? "servers/j-0a" : "servers/i-0b",
                       removed ? nullptr : value.c_str(), &e);
        RC_ASSERT(rc == 0 || rc == -EINVAL);
        RC_ASSERT(strlen(e.text) < sizeof(e.text));
        switch (ev.kind) {
        case STORE_UPSTREAM:
            RC_ASSERT(ev.upstream.service[0] != '\0');
            RC_ASSERT(ev.upstream.slots >= 1u);
            RC_ASSERT(ev.upstream.warm_up_ms >= 0);
            ev.upstream.addr = address("10.0.0.2:80");
            bed.announce(ev.upstream);
            break;
        case STORE_UPSTREAM_GONE:
            flowset_remove_upstream(bed.flows, bed.now, ev.id, ev.entry);
            break;
        default:
            RC_FAIL("unexpected event");
        }
        bed.advance(100);
    }
    for (const flow_out_t &p : bed.probes) {
        RC_ASSERT(p.upstream != 0x0au);
    }
    flow_decision_t d =
        bed.packet(FlowBed::data(1, "198.18.0.1:443", 0x0a, 1, 1));
    addr_t expected = address("10.0.0.1:80");
    RC_ASSERT(d.action == FLOW_FORWARD);
    RC_ASSERT(addr_eq(&d.to, &expected));
    RC_ASSERT(bed.stats()->usable >= 1u);
}

/* Guards against: an entry of another writer that lacks what each upstream
 * announces, over an upstream's own, and gives that upstream another service.
 */
TEST(ForeignEntries, IncompleteOnesAreRefused)
{
    json_t *valid = json_loads(VALID, 0, NULL);
    const char *field;
    json_t *value;

    json_object_foreach(valid, field, value)
    {
        for (json_t *wrong : {(json_t *)NULL, json_null(), json_true(),
                              json_array(), json_real(-1)}) {
            json_t *entry = json_copy(valid);
            bool reported = strcmp(field, "born") != 0 || wrong != NULL;
            if (wrong != NULL) {
                json_object_set_new(entry, field, wrong);
            }
            else {
                json_object_del(entry, field);
            }
            char *text = json_dumps(entry, 0);
            char *line = entry_import(text);
            EXPECT_EQ(std::string(line).empty(), reported) << text;
            free(line);
            free(text);
            json_decref(entry);
        }
    }
    json_decref(valid);
    char *line = entry_import(VALID);
    EXPECT_STRNE(line, "");
    free(line);
}

/* Guards against: an entry that means something else, or passes its text on,
 * once it is a line; and one that a peer without lines can't read. */
RC_GTEST_PROP(Entries, LinesKeepTheMeaning, ())
{
    std::string value = *rc::gen::arbitrary<bool>() ? VALID : foreign_value();
    flow_upstream_t direct = {}, line = {}, json = {};
    char *compact = entry_compact(value.c_str());
    char *expanded = entry_expand(compact);
    int rc = entry_read(&direct, value.c_str());

    RC_ASSERT(entry_read(&line, compact) == rc);
    RC_ASSERT(entry_read(&json, expanded) == rc);
    if (rc == 0) {
        for (const flow_upstream_t &u : {line, json}) {
            RC_ASSERT(addr_eq(&u.addr, &direct.addr));
            RC_ASSERT(strcmp(u.service, direct.service) == 0);
            RC_ASSERT(strcmp(u.data_centre, direct.data_centre) == 0);
            RC_ASSERT(u.slots == direct.slots);
            RC_ASSERT(u.draining == direct.draining);
            RC_ASSERT(u.warm_up_ms == direct.warm_up_ms);
            RC_ASSERT(u.started_ms == direct.started_ms);
            RC_ASSERT(strcmp(u.version, direct.version) == 0);
        }
    }
    else {
        RC_ASSERT(strlen(compact) == 0u);
    }
    free(compact);
    free(expanded);
}

static std::string
line_of(const std::string &fields)
{
    char *line = entry_compact((R"({"service":"a","address":"10.128.0.9:80",)"
                                R"("zone":"z","slots":3,)" +
                                fields + "}")
                                   .c_str());
    std::string out = line;
    free(line);
    return out;
}

/* Guards against: a line with the software version that a peer of an earlier
 * version of this program misreads.  It takes all behind the sixth tab for the
 * service, and any state but "draining" for ready. */
TEST(Entries, EarlierPeersReadLinesWithAVersion)
{
    const std::string rest = "\t3\t0\t0\t10.128.0.9:80\tz\ta";
    flow_upstream_t u = {};

    EXPECT_EQ(line_of(R"("state":"ready")"), "u1\tready" + rest);
    EXPECT_EQ(line_of(R"("state":"ready","version":"v1.2 b")"),
              "u1\tready v1.2 b" + rest);
    EXPECT_EQ(line_of(R"("state":"draining","version":"v1")"),
              "u1\tdraining" + rest);
    for (const char *version :
         {"", "7", "v\\t1", "v\\n", "\\u0001", "v23456789012345678901234"}) {
        std::string v =
            *version == '7' ? "7" : '"' + std::string(version) + '"';
        EXPECT_EQ(line_of(R"("state":"ready","version":)" + v),
                  "u1\tready" + rest)
            << version;
    }
    ASSERT_EQ(entry_read(&u, ("u1\tready v1.2 b" + rest).c_str()), 0);
    EXPECT_STREQ(u.version, "v1.2 b");
    EXPECT_FALSE(u.draining);
    ASSERT_EQ(entry_read(&u, ("u1\tready" + rest).c_str()), 0);
    EXPECT_STREQ(u.version, "");
}

/* Guards against: an upstream that stays lost, or loses its open flows, after
 * its entry was unreadable for a moment. */
TEST(ForeignEntries, AnUnreadableEntryThatTurnsValidAgainIsServed)
{
    FlowBed bed;
    store_event_t ev;
    err_t e = {};

    bed.routes(1, {{"198.18.0.1:443", "a", true}});
    ASSERT_EQ(event(&ev, "servers/i-0a", VALID, &e), 0);
    bed.announce(ev.upstream);
    ASSERT_EQ(bed.open(1, "198.18.0.1:443"), 0x0au);
    ASSERT_EQ(event(&ev, "servers/i-0a", "{\"state\":", &e), -EINVAL);
    flowset_remove_upstream(bed.flows, bed.now, ev.id, ev.entry);
    bed.probed(0x0a, PROBE_ANSWERED);
    bed.advance(5000);
    EXPECT_EQ(bed.packet(FlowBed::syn(2, "198.18.0.1:443")).reason,
              FLOW_NO_UPSTREAM);
    EXPECT_EQ(
        bed.packet(FlowBed::data(1, "198.18.0.1:443", 0x0a, 1001, 9)).action,
        FLOW_FORWARD);
    EXPECT_TRUE(bed.resets.empty());
    ASSERT_EQ(event(&ev, "servers/i-0a", VALID, &e), 0);
    bed.announce(ev.upstream);
    EXPECT_EQ(bed.packet(FlowBed::syn(3, "198.18.0.1:443")).upstream, 0x0au);
}

TEST(Items, KeysWithoutAnUpstreamIdYieldNoUpstream)
{
    for (const char *key : {"servers/", "servers/i-", "servers/i-xyz",
                            "servers/i-0", "servers/i-11112222333344445"}) {
        store_event_t ev;
        err_t e = {};
        EXPECT_EQ(event(&ev, key, "{}", &e), -EINVAL) << key;
        EXPECT_EQ(ev.kind, STORE_UNRELATED) << key;
    }
    store_event_t ev;
    err_t e = {};
    EXPECT_EQ(event(&ev, "other/key", "x", &e), 0);
    EXPECT_EQ(ev.kind, STORE_UNRELATED);
}

TEST(Items, DecodesRoutes)
{
    store_event_t ev;
    err_t e = {};

    ASSERT_EQ(event(&ev, "op/config",
                    R"({"version":7,"routes":[)"
                    R"({"name":"r1","host":"198.18.0.1","prefix":"/8080/",)"
                    R"("kind":"unsafe","service":"a"},)"
                    R"({"name":"r2","host":"198.18.0.2","prefix":"/8443/",)"
                    R"("kind":"safe","backends":[{"service":"a","weight":90},)"
                    R"({"service":"b","weight":10}]}],)"
                    R"("limits":{"idle_timeout_ms":9000}})",
                    &e),
              0);
    ASSERT_EQ(ev.kind, STORE_ROUTES);
    flow_conf_t *c = ev.routes;
    EXPECT_EQ(c->version, 7u);
    EXPECT_EQ(c->idle_ms, 9000);
    ASSERT_EQ(c->n_routes, 2u);
    EXPECT_FALSE(c->routes[0].idempotent);
    EXPECT_TRUE(c->routes[1].idempotent);
    EXPECT_EQ(c->routes[1].n_targets, 2u);
    EXPECT_STREQ(c->targets[c->routes[1].first_target + 1].service, "b");
    flow_conf_free(c);
}

/* Downloads are idempotent, as reads are; unknown kinds are not. */
TEST(Items, RouteKindDecidesIdempotence)
{
    static const std::pair<const char *, bool> kinds[] = {
        {R"("kind":"safe",)", true},
        {R"("kind":"download",)", true},
        {R"("kind":"unsafe",)", false},
        {R"("kind":"upload",)", false},
        {R"("kind":"unheard",)", false},
        {R"("kind":7,)", false},
        {"", false},
    };

    for (const auto &k : kinds) {
        store_event_t ev;
        err_t e = {};
        std::string text = std::string(R"({"version":1,"routes":[{)") +
                           k.first + R"("host":"1.2.3.4","prefix":"/1/",)" +
                           R"("service":"a"}]})";
        ASSERT_EQ(event(&ev, "op/config", text.c_str(), &e), 0);
        EXPECT_EQ(ev.routes->routes[0].idempotent, k.second) << k.first;
        flow_conf_free(ev.routes);
    }
}

TEST(Items, OneInvalidRouteRejectsTheConfiguration)
{
    static const char *const bad[] = {
        "",
        "{}",
        R"({"version":1})",
        R"({"version":"1","routes":[]})",
        R"({"version":1,"routes":[{}]})",
        R"({"version":1,"routes":[{"host":"x","prefix":"/1/","service":"a"}]})",
        R"({"version":1,"routes":[{"host":"1.2.3.4","prefix":"/1/"}]})",
        R"({"version":1,"routes":[{"host":"1.2.3.4","prefix":"/0/",)"
        R"("service":"a"}]})",
        R"({"version":1,"routes":[{"host":"1.2.3.4","prefix":"//",)"
        R"("service":"a"}]})",
        R"({"version":1,"routes":[{"host":"1.2.3.4","prefix":"/1/",)"
        R"("backends":[{"service":"a","weight":-1}]}]})",
    };

    for (const char *value : bad) {
        store_event_t ev;
        err_t e = {};
        EXPECT_EQ(event(&ev, "op/config", value, &e), -EINVAL) << value;
        EXPECT_EQ(ev.kind, STORE_UNRELATED) << value;
    }
}

TEST(Items, DecodesWarmUpRates)
{
    store_event_t ev;
    err_t e = {};

    ASSERT_EQ(event(&ev, "op/config",
                    R"({"version":1,"routes":[],"services":[)"
                    R"({"name":"a","warmup_s":2.0,"warmup_per_s":7.5},)"
                    R"({"name":"b","warmup_per_s":0.0},{"name":"c"},)"
                    R"({"warmup_per_s":3},{"name":"d","warmup_per_s":"x"}]})",
                    &e),
              0);
    ASSERT_EQ(ev.routes->n_services, 1u);
    EXPECT_STREQ(ev.routes->services[0].service, "a");
    EXPECT_EQ(ev.routes->services[0].warm_up_per_s, 7.5);
    flow_conf_free(ev.routes);
}

TEST(Items, EvacuationIgnoresItsValue)
{
    for (const char *value : {"{}", "", "not JSON"}) {
        store_event_t ev;
        err_t e = {};
        ASSERT_EQ(event(&ev, "op/evacuate/dc-a", value, &e), 0) << value;
        EXPECT_EQ(ev.kind, STORE_EVACUATION);
        EXPECT_STREQ(ev.evacuation.data_centre, "dc-a");
        EXPECT_TRUE(ev.evacuation.evacuated);
    }
}

TEST(Items, DecodesEndOfEvacuation)
{
    store_event_t ev;
    err_t e = {};

    ASSERT_EQ(event(&ev, "op/evacuate/dc-a", nullptr, &e), 0);
    EXPECT_EQ(ev.kind, STORE_EVACUATION);
    EXPECT_FALSE(ev.evacuation.evacuated);
}

TEST(Items, RejectsEvacuationWithoutValidName)
{
    std::string names[] = {"", std::string(FLOW_NAME_LEN, 'x')};

    for (const std::string &name : names) {
        store_event_t ev;
        err_t e = {};
        EXPECT_EQ(event(&ev, ("op/evacuate/" + name).c_str(), "{}", &e),
                  -EINVAL);
        EXPECT_EQ(ev.kind, STORE_UNRELATED);
    }
}

TEST(Items, DecodesPeer)
{
    addr_t a = address("10.1.0.10:8166");
    store_event_t ev;
    char key[128];
    err_t e = {};

    store_peer_key(key, sizeof(key), &a);
    ASSERT_EQ(event(&ev, key, "dc-a", &e), 0);
    EXPECT_EQ(ev.kind, STORE_PEER);
    EXPECT_TRUE(addr_eq(&ev.peer.addr, &a));
    EXPECT_STREQ(ev.peer.data_centre, "dc-a");
    ASSERT_EQ(event(&ev, key, nullptr, &e), 0);
    EXPECT_EQ(ev.kind, STORE_PEER_GONE);
}

/* A starting instance reads only the first page of the list if there are
 * thousands of upstreams, and gets the rest from its peers.  The first page
 * must therefore contain the peers. */
TEST(Items, PeersSortBeforeUpstreams)
{
    addr_t a = address("250.1.0.10:8166");
    char key[128];

    store_peer_key(key, sizeof(key), &a);
    EXPECT_LT(std::string(key), "servers/");
}

TEST(Items, SerialisationRoundTrip)
{
    store_items_t s = {}, back;
    store_text_t text;

    store_items_add(&s, "a", "1 \"quoted\"", 4);
    store_items_add(&s, "b", nullptr, 5);
    s.revision = 9;
    s.is_snapshot = true;
    s.age = 77;
    text = store_items_serialise(&s, CODEC_JSON);
    ASSERT_EQ(store_items_parse(&back, text.data, text.len), 0);
    EXPECT_EQ(back.n, 2u);
    EXPECT_STREQ(back.item[0].value, "1 \"quoted\"");
    EXPECT_EQ(back.item[1].value, nullptr);
    EXPECT_EQ(back.revision, 9u);
    EXPECT_TRUE(back.is_snapshot);
    EXPECT_EQ(back.age, 77);
    free(text.data);
    store_items_free(&s);
    store_items_free(&back);
}

/* ---- Fuzzing (run under sanitizers too) ---- */

static std::string
damaged(rng_t *rng, std::string s)
{
    for (uint32_t n = 1 + rng_below(rng, 6); n > 0 && !s.empty(); n--) {
        size_t at = rng_below(rng, (uint32_t)s.size());
        switch (rng_below(rng, 4)) {
        case 0:
            s[at] = (char)(1 + rng_below(rng, 255));
            break;
        case 1:
            s.erase(at, 1 + rng_below(rng, 8));
            break;
        case 2:
            s.insert(at, s.substr(rng_below(rng, (uint32_t)s.size()), 9));
            break;
        default:
            s.resize(at);
        }
    }
    return s;
}

TEST(Fuzz, DamagedDocumentsAreDecodedOrRejected)
{
    static const std::string routes =
        R"({"version":7,"routes":[{"name":"r","host":"198.18.0.2",)"
        R"("prefix":"/8443/","kind":"safe","backends":[{"service":"a",)"
        R"("weight":90},{"service":"b","weight":10}]}],)"
        R"("limits":{"idle_timeout_ms":9000}})";
    static const std::string server =
        R"({"service":"a","address":"10.128.0.9:8080","zone":"z",)"
        R"("slots":3,"state":"ready","warmup_left_ms":1,"born":5})";
    static const std::string items =
        R"({"revision":4,"whole":true,"age_ms":5,"items":[{"key":"a",)"
        R"("value":"1","revision":3}]})";
    static const std::string packed("\x95\x04\xc3\x05\x91\x93\xa1"
                                    "a\xa1"
                                    "1\x03"
                                    "\x00",
                                    12);
    static const std::string line =
        "u1\tready v1\t3\t1\t5\t10.128.0.9:8080\tz\ta";
    static const std::string request =
        R"({"kind":"limit","service":"a","priority":2,"share":0.3,)"
        R"("created":5,"expires":600005})";
    rng_t rng = {5, 0};

    for (int i = 0; i < 20000; i++) {
        store_event_t ev;
        store_items_t s;
        err_t e = {};
        if (event(&ev, "op/config", damaged(&rng, routes).c_str(), &e) == 0 &&
            ev.kind == STORE_ROUTES) {
            flow_conf_free(ev.routes);
        }
        event(&ev, damaged(&rng, "servers/i-7f3a91c2").c_str(),
              damaged(&rng, server).c_str(), &e);
        for (const std::string &text : {items, packed}) {
            std::string bad = damaged(&rng, text);
            if (store_items_parse(&s, bad.data(), bad.size()) == 0) {
                store_items_free(&s);
            }
        }
        event(&ev, "servers/i-7f3a91c2", damaged(&rng, line).c_str(), &e);
        event(&ev, damaged(&rng, "s-requests/o").c_str(),
              damaged(&rng, request).c_str(), &e);
        store_event_free(&ev);
    }
}

/* Any datagram at the packet socket leads to a decision or is rejected, and
 * the flow set stays consistent. */
TEST(Fuzz, RandomPacketsAreHandledOrRejected)
{
    rng_t rng = {6, 0};
    FlowBed bed;

    bed.routes(1, {{"198.18.0.1:443", "svc", true}});
    for (uint64_t id = 1; id < 9; id++) {
        bed.announce(FlowBed::upstream(id, "svc", id % 2 ? "dc-a" : "dc-b"));
    }
    for (int i = 0; i < 200000; i++) {
        std::vector<uint8_t> d = hex(SYN);
        d.resize(PACKET_HEADER_LEN + rng_below(&rng, 4) * 100);
        d[0] = (uint8_t)rng_next(&rng);
        d[2] = (uint8_t)((d.size() - PACKET_HEADER_LEN) >> 8);
        d[3] = (uint8_t)(d.size() - PACKET_HEADER_LEN);
        d[19] = (uint8_t)rng_below(&rng, 16);
        for (int k = 20; k < 32; k++) {
            d[k] = rng_below(&rng, 3) ? (uint8_t)rng_below(&rng, 9) : d[k];
        }
        for (uint32_t k = rng_below(&rng, 3); k > 0; k--) {
            d[rng_below(&rng, PACKET_HEADER_LEN)] = (uint8_t)rng_next(&rng);
        }
        flow_packet_t p;
        if (packet_read(&p, d.data(), d.size()) == 0) {
            bed.packet(p);
        }
        if (rng_below(&rng, 20) == 0) {
            bed.advance(rng_below(&rng, 300));
            bed.probed(1 + rng_below(&rng, 8),
                       (flow_probe_t)rng_below(&rng, PROBE_RESULTS));
        }
    }
    EXPECT_LE(bed.stats()->records, 4096u);
}
