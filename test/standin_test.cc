// Tests of the stand-ins: a faulty stand-in would let the balancer's tests
// pass without checking anything.
#include "standin/client.h"
#include "standin/exchanges.h"
#include "standin/fabric.h"
#include "standin/platform.h"
#include "standin/upstream.h"
#include "standin/verdict.h"

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using std::string;

static addr_t
addr(const char *s)
{
    addr_t a;
    EXPECT_EQ(0, addr_parse(&a, s)) << s;
    return a;
}

static const addr_t service = addr("127.20.0.1:5683");
static const addr_t other = addr("127.20.0.2:5684");
static const addr_t source = addr("127.20.1.1:7000");
static const addr_t caller = addr("127.20.9.1:4000");

// ---- Platform, over HTTP ----

struct answer {
    long status; // 0: no answer
    string body;
};

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
    static_cast<string *>(arg)->append(data, size * n);
    return size * n;
}

struct platform {
    si_platform_t *p;
    explicit platform(ms_t lag = 0, ms_t expire = 60000)
    {
        si_platform_params_t params = {};
        params.list_lag_ms = lag;
        params.expire_ms = expire;
        err_t e = {};
        p = si_platform_open(&params, &e);
        EXPECT_NE(nullptr, p) << e.text;
    }
    ~platform()
    {
        si_platform_close(p);
    }
    string
    url() const
    {
        return "http://127.0.0.1:" + std::to_string(si_platform_port(p));
    }
    answer
    call(const char *method, const string &path, const string &body = "") const
    {
        answer a = {0, ""};
        CURL *c = curl_easy_init();
        string u = url() + path;
        curl_easy_setopt(c, CURLOPT_URL, u.c_str());
        curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
        if (string(method) != "GET") {
            curl_easy_setopt(c, CURLOPT_POSTFIELDS, body.c_str());
        }
        curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_data);
        curl_easy_setopt(c, CURLOPT_WRITEDATA, &a.body);
        curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
        if (curl_easy_perform(c) == CURLE_OK) {
            curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &a.status);
        }
        curl_easy_cleanup(c);
        return a;
    }
};

TEST(Platform, ComparesAndSwapsByKey)
{
    platform p;
    EXPECT_EQ(404, p.call("GET", "/v1/kv/siskin/config").status);
    EXPECT_EQ("{\"revision\":1}",
              p.call("PUT", "/v1/kv/siskin/config?cas=0", "a").body);
    answer lost = p.call("PUT", "/v1/kv/siskin/config?cas=0", "b");
    EXPECT_EQ(409, lost.status);
    EXPECT_EQ("{\"revision\":1}", lost.body);
    EXPECT_EQ(200, p.call("PUT", "/v1/kv/siskin/config?cas=1", "b").status);
    EXPECT_EQ("{\"revision\":1}", p.call("PUT", "/v1/kv/k?cas=0", "x").body);
    EXPECT_EQ("{\"value\":\"b\",\"revision\":2}",
              p.call("GET", "/v1/kv/siskin/config").body);
}

TEST(Platform, WatchReturnsOnceTheRevisionPasses)
{
    platform p;
    p.call("PUT", "/v1/kv/k?cas=0", "a");
    answer seen;
    std::thread watch(
        [&] { seen = p.call("GET", "/v1/kv/k?wait=30000&after=1"); });
    p.call("PUT", "/v1/kv/k?cas=1", "b");
    watch.join();
    EXPECT_EQ("{\"value\":\"b\",\"revision\":2}", seen.body);
}

TEST(Platform, LeaseHasOneOwner)
{
    platform p;
    EXPECT_EQ(200, p.call("POST", "/v1/lease/l?owner=a&ms=60000").status);
    EXPECT_EQ(200, p.call("POST", "/v1/lease/l?owner=a&ms=60000").status);
    answer held = p.call("POST", "/v1/lease/l?owner=b&ms=60000");
    EXPECT_EQ(409, held.status);
    EXPECT_EQ("{\"owner\":\"a\"}", held.body);
    EXPECT_EQ(200, p.call("DELETE", "/v1/lease/l?owner=a").status);
    EXPECT_EQ(200, p.call("POST", "/v1/lease/l?owner=b&ms=0").status);
    EXPECT_EQ(200, p.call("POST", "/v1/lease/l?owner=a&ms=60000").status)
        << "the lease had lapsed";
}

// The write is applied, but its answer is lost.
TEST(Platform, DropsAnswersOfAppliedWrites)
{
    platform p;
    p.call("POST", "/v1/switch?lose_answers=1");
    EXPECT_EQ(0, p.call("PUT", "/v1/kv/k?cas=0", "a").status);
    EXPECT_EQ("{\"value\":\"a\",\"revision\":1}",
              p.call("GET", "/v1/kv/k").body);
    EXPECT_EQ(200, p.call("PUT", "/v1/kv/k?cas=1", "b").status);
}

TEST(Platform, OutageAndStaleReads)
{
    platform p;
    p.call("PUT", "/v1/kv/k?cas=0", "a");
    p.call("PUT", "/v1/kv/k?cas=1", "b");
    p.call("POST", "/v1/switch?outage=1");
    EXPECT_EQ(0, p.call("GET", "/v1/kv/k").status);
    EXPECT_EQ(0, p.call("PUT", "/v1/kv/k?cas=2", "c").status);
    p.call("POST", "/v1/switch?outage=0&stale_reads=1");
    EXPECT_EQ("{\"value\":\"a\",\"revision\":1}",
              p.call("GET", "/v1/kv/k").body);
    EXPECT_EQ("{\"value\":\"b\",\"revision\":2}",
              p.call("GET", "/v1/kv/k").body);
}

static const char *const record =
    "{\"name\":\"i1\",\"data_centre\":\"a\",\"state\":\"live\","
    "\"service_ip\":\"127.20.2.1\",\"return\":\"127.20.2.1:7001\"}";
static const char *const none = "{\"instances\":[]}";

TEST(Platform, ListShowsChangesAfterTheDelay)
{
    platform now(0), late(3600000);
    EXPECT_EQ(200, now.call("POST", "/v1/instances", record).status);
    EXPECT_EQ(200, late.call("POST", "/v1/instances", record).status);
    EXPECT_EQ(string("{\"instances\":[") + record + "]}",
              now.call("GET", "/v1/instances").body);
    EXPECT_EQ(none, late.call("GET", "/v1/instances").body);
    now.call("DELETE", "/v1/instances/i1");
    EXPECT_EQ(none, now.call("GET", "/v1/instances").body);
}

TEST(Platform, UnrenewedInstanceExpires)
{
    platform p(0, 0);
    p.call("POST", "/v1/instances", record);
    EXPECT_EQ(none, p.call("GET", "/v1/instances").body);
}

// The fabric's health checks don't use the key-value service: an outage of the
// service must not remove live instances from the fabric's list.
TEST(Platform, FabricListsInstancesDuringAnOutage)
{
    platform p;
    p.call("POST", "/v1/switch?outage=1");
    EXPECT_EQ(0, p.call("POST", "/v1/instances", record).status);
    EXPECT_EQ(0, p.call("GET", "/v1/instances").status);
    EXPECT_EQ(string("{\"instances\":[") + record + "]}",
              p.call("GET", "/v1/fabric").body);
}

TEST(Platform, CountsCallsByKind)
{
    platform p;
    p.call("GET", "/v1/kv/k");
    p.call("GET", "/v1/kv/k?wait=1&after=0");
    p.call("PUT", "/v1/kv/k?cas=0", "a");
    p.call("POST", "/v1/lease/l?owner=a&ms=1");
    p.call("GET", "/v1/instances");
    p.call("GET", "/v1/fabric");
    p.call("POST", "/v1/instances", record);
    EXPECT_EQ("{\"read\":1,\"watch\":1,\"write\":1,\"lease\":1,\"list\":1,"
              "\"register\":1}",
              p.call("GET", "/v1/stats").body);
}

// ---- Fabric ----

TEST(Fabric, SkipsLeavingInstancesAndKeepsReturnAddresses)
{
    std::unique_ptr<si_fabric_t, void (*)(si_fabric_t *)> f(
        si_fabric_open(nullptr, 1), si_fabric_close);
    si_target_t t[3], picked;
    EXPECT_FALSE(si_fabric_pick(f.get(), &picked));
    string list = string("{\"instances\":[") + record +
                  ",{\"name\":\"i2\",\"state\":\"leaving\",\"return\":"
                  "\"127.20.2.2:7001\"},{\"name\":\"i3\",\"state\":\"live\","
                  "\"return\":\"127.20.2.3:7001\"}]}";
    ASSERT_EQ(3, si_fabric_parse(list.c_str(), t, 3));
    EXPECT_EQ(-EPROTO, si_fabric_parse("[]", t, 3));
    si_fabric_set(f.get(), t, 3);
    int seen[4] = {};
    for (int i = 0; i < 200; i++) {
        ASSERT_TRUE(si_fabric_pick(f.get(), &picked));
        seen[picked.name[1] - '0']++;
    }
    EXPECT_GT(seen[1], 50);
    EXPECT_EQ(0, seen[2]);
    EXPECT_GT(seen[3], 50);
    si_fabric_set(f.get(), t + 2, 1);
    addr_t gone = addr("127.20.2.1:7001"), never = addr("127.20.2.9:7001");
    EXPECT_TRUE(si_fabric_is_return(f.get(), &gone));
    EXPECT_FALSE(si_fabric_is_return(f.get(), &never));
}

TEST(Fabric, AppliesLossAndDuplicationRates)
{
    std::unique_ptr<si_fabric_t, void (*)(si_fabric_t *)> f(
        si_fabric_open(nullptr, 1), si_fabric_close);
    EXPECT_EQ(1, si_fabric_copies(f.get()));
    si_fabric_set_faults(f.get(), 20, 30);
    int seen[3] = {};
    for (int i = 0; i < 1000; i++) {
        seen[si_fabric_copies(f.get())]++;
    }
    EXPECT_NEAR(200, seen[0], 60);
    EXPECT_NEAR(500, seen[1], 60);
    EXPECT_NEAR(300, seen[2], 60);
}

// ---- Upstream ----

struct datagram {
    addr_t to;
    std::vector<uint8_t> bytes;
};

struct bed {
    si_upstream_t *u;
    std::vector<datagram> sent;
    std::vector<string> log;
    ms_t now = 1000;

    static void
    on_send(void *arg, const addr_t *to, const uint8_t *data, size_t len)
    {
        static_cast<bed *>(arg)->sent.push_back(
            {*to, std::vector<uint8_t>(data, data + len)});
    }
    static void
    on_log(void *arg, const char *line)
    {
        static_cast<bed *>(arg)->log.push_back(line);
    }
    static si_upstream_params_t
    defaults()
    {
        si_upstream_params_t p = SI_UPSTREAM_PARAMS;
        p.service = service;
        p.addr = addr("127.20.3.1:5683");
        return p;
    }
    explicit bed(const si_upstream_params_t &p = defaults())
    {
        si_upstream_out_t out = {this, on_send, on_log};
        u = si_upstream_new(&p, &out, now);
    }
    ~bed()
    {
        si_upstream_free(u);
    }
    void
    receive(const coap_msg_t &m, const addr_t &client = caller,
            const addr_t &to = service, const addr_t &from = source)
    {
        uint8_t b[SPP_LEN + DATAGRAM_MAX];
        spp_t h = {client, to};
        spp_write(b, &h);
        int n = coap_encode(b + SPP_LEN, DATAGRAM_MAX, &m);
        ASSERT_GT(n, 0);
        si_upstream_receive(u, now, &from, b, SPP_LEN + (size_t)n);
    }
    void
    run(ms_t ms)
    {
        for (ms_t end = now + ms; now < end;) {
            now += 5;
            si_upstream_tick(u, now);
        }
    }
    // Decodes the I-th datagram sent; negative: counted from the end.
    coap_msg_t
    decode_sent(int i = -1)
    {
        coap_msg_t m = COAP_MSG_INIT;
        spp_t h;
        size_t k = i < 0 ? sent.size() + (size_t)i : (size_t)i;
        if (k >= sent.size()) {
            ADD_FAILURE() << "only " << sent.size() << " datagrams";
            return m;
        }
        const std::vector<uint8_t> &b = sent[k].bytes;
        EXPECT_EQ(0, spp_read(&h, b.data(), b.size()));
        EXPECT_EQ(0, coap_decode(&m, b.data() + SPP_LEN, b.size() - SPP_LEN));
        return m;
    }
    string
    text(int i = -1)
    {
        coap_msg_t m = decode_sent(i);
        return string((const char *)m.payload, m.payload_len);
    }
    const si_upstream_stats_t &
    stats()
    {
        return *si_upstream_stats(u);
    }
};

static coap_msg_t
request(uint8_t code, uint16_t mid, const char *path, const char *body = "")
{
    coap_msg_t m = COAP_MSG_INIT;
    m.type = COAP_T_CON;
    m.code = code;
    m.mid = mid;
    m.token_len = 2;
    m.token[0] = (uint8_t)mid;
    m.path_n = 1;
    snprintf(m.path[0], COAP_SEG_MAX, "%s", path);
    m.payload = (const uint8_t *)body;
    m.payload_len = strlen(body);
    return m;
}

static coap_msg_t
well_known(uint8_t code, const char *what, const char *query = "")
{
    coap_msg_t m = request(code, 9999, ".well-known");
    m.path_n = 2;
    snprintf(m.path[1], COAP_SEG_MAX, "%s", what);
    snprintf(m.query, COAP_QUERY_MAX, "%s", query);
    return m;
}

TEST(Upstream, RunsARequestOnceAndAnswersEachCopy)
{
    bed b;
    b.receive(request(COAP_POST, 7, "ack", "p1"));
    b.receive(request(COAP_POST, 7, "ack", "p1"));
    EXPECT_TRUE(b.sent.empty());
    b.run(20);
    ASSERT_EQ(1u, b.sent.size());
    EXPECT_EQ(COAP_CHANGED, b.decode_sent().code);
    EXPECT_EQ("id=p1 client=127.20.9.1:4000 service=127.20.0.1:5683 "
              "upstream=127.20.3.1:5683 epoch=1",
              b.text());
    b.run(246000);
    b.receive(request(COAP_POST, 7, "ack", "p1"), caller, service, other);
    ASSERT_EQ(2u, b.sent.size());
    EXPECT_TRUE(addr_eq(&other, &b.sent[1].to));
    EXPECT_EQ(b.sent[0].bytes, b.sent[1].bytes);
    ASSERT_EQ(1u, b.log.size());
    EXPECT_EQ("run service=127.20.0.1:5683 upstream=127.20.3.1:5683 epoch=1 "
              "client=127.20.9.1:4000 mid=7 token=0700 path=ack id=p1",
              b.log[0]);
}

// After EXCHANGE_LIFETIME the message ID identifies a new request.
TEST(Upstream, MessageIdIsReusableAfterItsLifetime)
{
    bed b;
    b.receive(request(COAP_POST, 7, "ack", "p1"));
    b.run(SI_EXCHANGE_MS + 1100);
    b.receive(request(COAP_POST, 7, "ack", "p2"));
    b.run(20);
    EXPECT_EQ(2u, b.stats().executed);
}

TEST(Upstream, ShedsRequestsWhenTheQueueIsFull)
{
    si_upstream_params_t p = bed::defaults();
    p.queue = 1;
    bed b(p);
    for (uint16_t i = 0; i < 6; i++) {
        b.receive(request(COAP_POST, i, "ack", "p"));
    }
    uint64_t shed = b.stats().shed;
    EXPECT_EQ(1u, shed);
    EXPECT_EQ(COAP_UNAVAILABLE, b.decode_sent().code);
    EXPECT_EQ(1u, b.decode_sent().max_age);
    b.run(100);
    EXPECT_EQ(5u, b.stats().executed);
    // A refused request stays refused.
    b.receive(request(COAP_POST, 5, "ack", "p"));
    b.run(100);
    EXPECT_EQ(5u, b.stats().executed);
    EXPECT_EQ(COAP_UNAVAILABLE, b.decode_sent().code);
}

TEST(Upstream, CancelsRequestsThatHaveNotStarted)
{
    bed b;
    b.receive(well_known(COAP_DELETE, "exchange", "c=127.20.9.1:4000&m=7"));
    EXPECT_EQ(COAP_DELETED, b.decode_sent().code);
    EXPECT_EQ("{\"state\":\"barred\",\"epoch\":1}", b.text());
    b.receive(request(COAP_POST, 7, "ack", "p1"));
    EXPECT_EQ(COAP_CONFLICT, b.decode_sent().code);
    b.run(100);
    EXPECT_EQ(0u, b.stats().executed);
    EXPECT_EQ(1u, b.stats().cancelled);
}

// Two instances cancel the same request: both answers name the first one.
TEST(Upstream, ReportsTheFirstCancellingInstance)
{
    bed b;
    b.receive(
        well_known(COAP_DELETE, "exchange", "c=127.20.9.1:4000&m=7&o=aa"));
    EXPECT_EQ("{\"state\":\"barred\",\"by\":\"aa\",\"epoch\":1}", b.text());
    b.receive(
        well_known(COAP_DELETE, "exchange", "c=127.20.9.1:4000&m=7&o=bb"));
    EXPECT_EQ("{\"state\":\"barred\",\"by\":\"aa\",\"epoch\":1}", b.text());
}

TEST(Upstream, CancelsQueuedAndReportsStartedRequests)
{
    bed b;
    b.receive(request(COAP_POST, 1, "ack", "p1"));
    b.receive(request(COAP_POST, 2, "ack", "p2"));
    b.receive(request(COAP_POST, 3, "ack", "p3"));
    b.receive(well_known(COAP_DELETE, "exchange", "c=127.20.9.1:4000&m=3"));
    EXPECT_EQ("{\"state\":\"barred\",\"epoch\":1}", b.text());
    b.receive(well_known(COAP_DELETE, "exchange", "c=127.20.9.1:4000&m=1"));
    EXPECT_EQ("{\"state\":\"running\",\"epoch\":1}", b.text());
    b.run(100);
    b.receive(well_known(COAP_DELETE, "exchange", "c=127.20.9.1:4000&m=1"));
    EXPECT_EQ("{\"state\":\"done\",\"epoch\":1}", b.text());
    EXPECT_EQ(2u, b.stats().executed);
    b.receive(well_known(COAP_DELETE, "exchange", "c=nobody"));
    EXPECT_EQ(COAP_BAD_REQUEST, b.decode_sent().code);
}

TEST(Upstream, DoesNotStartAfterTheDeadline)
{
    si_upstream_params_t p = bed::defaults();
    p.slots = 1;
    p.service_ms = 3000;
    bed b(p);
    b.receive(request(COAP_POST, 1, "ack", "p1"));
    coap_msg_t m = request(COAP_POST, 2, "ack", "p2");
    m.max_age = 1;
    b.receive(m);
    b.run(10000);
    EXPECT_EQ(1u, b.stats().executed);
    EXPECT_EQ(1u, b.stats().late);
    EXPECT_EQ(COAP_UNAVAILABLE, b.decode_sent().code);
}

TEST(Upstream, ColdStartIsSlower)
{
    si_upstream_params_t p = bed::defaults();
    p.warmup_ms = 1000;
    bed b(p);
    b.receive(request(COAP_POST, 1, "ack", "p1"));
    b.run(95);
    EXPECT_TRUE(b.sent.empty());
    b.run(5);
    EXPECT_EQ(1u, b.sent.size());
}

TEST(Upstream, DrainingServesOnlyKnownClients)
{
    bed b;
    b.receive(request(COAP_GET, 1, "state"));
    si_upstream_drain(b.u, true);
    b.receive(request(COAP_GET, 2, "state"));
    b.receive(request(COAP_GET, 1, "state"), addr("127.20.9.2:1"));
    EXPECT_EQ(COAP_UNAVAILABLE, b.decode_sent().code);
    b.run(20);
    EXPECT_EQ(2u, b.stats().executed);
    EXPECT_EQ(1u, b.stats().shed);
}

TEST(Upstream, LimitsItsConnections)
{
    si_upstream_params_t p = bed::defaults();
    p.connections = 2;
    p.idle_ms = 5000;
    bed b(p);
    for (const char *c : {"127.20.9.1:1", "127.20.9.2:1", "127.20.9.3:1"}) {
        b.receive(request(COAP_GET, 1, "state"), addr(c));
    }
    EXPECT_EQ(1u, b.stats().shed);
    b.run(7000);
    b.receive(request(COAP_GET, 1, "state"), addr("127.20.9.4:1"));
    EXPECT_EQ(1u, b.stats().shed);
}

TEST(Upstream, RejectsAndCountsMisdeliveredRequests)
{
    bed b;
    b.receive(request(COAP_POST, 1, "ack", "p1"), caller, other);
    EXPECT_EQ(COAP_C(4, 3), b.decode_sent().code);
    EXPECT_EQ(1u, b.stats().misdelivered);
    EXPECT_EQ(0u, b.stats().executed);
    ASSERT_EQ(1u, b.log.size());
    EXPECT_EQ(0u, b.log[0].find("misdelivered service=127.20.0.2:5684 "));
    // An identity probe for another service is a mismatch, not a misdelivery.
    b.receive(well_known(COAP_GET, "load"), source, other);
    EXPECT_EQ(0u, b.text().find("{\"service\":\"127.20.0.1:5683\""));
    EXPECT_EQ(1u, b.stats().misdelivered);
    EXPECT_EQ(1u, b.stats().probe_mismatch);
    b.receive(well_known(COAP_DELETE, "exchange", "c=1.2.3.4:5&m=1"), source,
              other);
    EXPECT_EQ(COAP_C(4, 3), b.decode_sent().code);
}

TEST(Upstream, LoadCanBeFrozenAndFaked)
{
    bed b;
    b.run(50);
    b.receive(request(COAP_POST, 1, "ack", "p1"));
    si_upstream_tick(b.u, b.now);
    b.receive(well_known(COAP_GET, "load"));
    EXPECT_EQ("{\"service\":\"127.20.0.1:5683\",\"epoch\":1,\"busy\":1,"
              "\"queued\":0,\"slots\":2,\"connections\":1,\"draining\":false,"
              "\"age_ms\":50}",
              b.text());
    si_upstream_freeze(b.u, true);
    b.run(100);
    b.receive(well_known(COAP_GET, "load"));
    EXPECT_NE(string::npos, b.text().find("\"busy\":1"));
    si_upstream_fake_load(b.u, 0);
    b.receive(well_known(COAP_GET, "load"));
    EXPECT_NE(string::npos, b.text().find("\"busy\":0"));
}

TEST(Upstream, RestartClearsStateAndChangesTheEpoch)
{
    bed b;
    b.receive(request(COAP_POST, 1, "ack", "p1"));
    si_upstream_restart(b.u, b.now, 2000, nullptr);
    b.receive(well_known(COAP_GET, "load"));
    EXPECT_TRUE(b.sent.empty());
    b.run(2000);
    b.receive(well_known(COAP_GET, "load"));
    EXPECT_NE(string::npos, b.text().find("\"epoch\":2"));
    b.receive(request(COAP_POST, 1, "ack", "p1"));
    EXPECT_EQ(2u, b.stats().executed) << "so a balancer must not send it";
    si_upstream_kill(b.u);
    size_t before = b.sent.size();
    b.run(5000);
    EXPECT_EQ(before, b.sent.size());
    si_upstream_restart(b.u, b.now, 0, &other);
    b.receive(request(COAP_POST, 1, "ack", "p1"), caller, other);
    EXPECT_EQ(3u, b.stats().executed);
}

// ---- Feeds ----

static coap_msg_t
registration(uint16_t mid, uint32_t observe = 0)
{
    coap_msg_t m = request(COAP_GET, mid, "feed");
    m.token[0] = 1;
    m.observe = observe;
    return m;
}

TEST(Feed, NotifiesTheSourceOfTheLatestRegistration)
{
    bed b;
    b.receive(registration(1));
    b.run(20);
    EXPECT_EQ(0u, b.decode_sent().observe);
    b.run(500);
    EXPECT_EQ(1u, b.decode_sent().observe);
    EXPECT_TRUE(addr_eq(&source, &b.sent.back().to));
    b.receive(registration(2), caller, service, other);
    b.sent.clear();
    b.run(520);
    ASSERT_EQ(2u, b.sent.size()) << "an answer and one notification";
    EXPECT_TRUE(addr_eq(&other, &b.sent[1].to));
    b.receive(registration(3, 1));
    b.run(20);
    b.sent.clear();
    b.run(5000);
    EXPECT_TRUE(b.sent.empty());
}

TEST(Feed, StaysRegisteredWhileAcknowledged)
{
    bed b;
    b.receive(registration(1));
    for (int i = 0; i < 400; i++) {
        b.run(500);
        coap_msg_t n = b.decode_sent();
        if (n.type == COAP_T_CON) {
            coap_msg_t ack = COAP_MSG_INIT;
            ack.type = COAP_T_ACK;
            ack.mid = n.mid;
            b.receive(ack);
        }
    }
    EXPECT_GT(b.sent.size(), 390u);
}

// The client has gone: the feed ends after the last retransmission (62 s).
TEST(Feed, EndsWhenNoNotificationIsAcknowledged)
{
    bed b;
    b.receive(registration(1));
    b.run(70000);
    b.sent.clear();
    b.run(5000);
    EXPECT_TRUE(b.sent.empty());
}

TEST(Feed, EndsWithAReset)
{
    bed b;
    b.receive(registration(1));
    b.run(600);
    coap_msg_t rst = COAP_MSG_INIT;
    rst.type = COAP_T_RST;
    rst.mid = b.decode_sent().mid;
    b.receive(rst);
    b.sent.clear();
    b.run(5000);
    EXPECT_TRUE(b.sent.empty());
}

// ---- Uploads ----

static coap_msg_t
block(uint16_t mid, uint32_t num, bool more)
{
    coap_msg_t m = request(COAP_POST, mid, "archive", "12345678");
    m.block1 = num << 4 | (more ? 8 : 0) | SI_BLOCK_SZX;
    return m;
}

TEST(Upload, AcceptsBlocksInOrder)
{
    bed b;
    b.receive(block(1, 0, true));
    b.run(20);
    EXPECT_EQ(COAP_CONTINUE, b.decode_sent().code);
    EXPECT_EQ(block(1, 0, true).block1, b.decode_sent().block1);
    b.receive(block(2, 2, true));
    b.run(20);
    EXPECT_EQ(COAP_INCOMPLETE, b.decode_sent().code);
    b.receive(block(3, 1, false));
    b.run(20);
    EXPECT_EQ(COAP_CHANGED, b.decode_sent().code);
    EXPECT_EQ(0u, b.text().find("id=16 ")) << "bytes received";
    ASSERT_EQ(2u, b.log.size()) << "what is answered 4.08 was not taken";
    EXPECT_EQ(0u, b.log[0].find("block "));
    EXPECT_EQ(0u, b.log[1].find("run "));
    b.receive(block(4, 1, false));
    b.run(20);
    EXPECT_EQ(COAP_INCOMPLETE, b.decode_sent().code) << "no upload any more";
}

// ---- Opaque ----

TEST(Opaque, PrefixesEchoesWithAddressAndEpoch)
{
    si_upstream_params_t p = bed::defaults();
    p.opaque = true;
    bed b(p);
    uint8_t d[SPP_LEN + 2] = {};
    spp_t h = {caller, service};
    spp_write(d, &h);
    memcpy(d + SPP_LEN, "hi", 2);
    si_upstream_receive(b.u, b.now, &source, d, sizeof(d));
    ASSERT_EQ(1u, b.sent.size());
    string text(b.sent[0].bytes.begin() + SPP_LEN, b.sent[0].bytes.end());
    EXPECT_EQ("upstream=127.20.3.1:5683 epoch=1 hi", text);
    b.receive(well_known(COAP_GET, "load"));
    EXPECT_NE(string::npos, b.text().find("\"connections\":1"));
}

// ---- Callers and an upstream, through a relay ----

// A relay with one upstream, the simplest case of a balancer.  Loses, repeats
// and delays datagrams, pseudo-randomly from SEED.
struct relay {
    struct packet {
        ms_t at;
        bool to_upstream;
        std::vector<uint8_t> bytes;
    };
    si_upstream_t *u;
    si_client_t *c;
    si_client_stats_t client_stats = {};
    si_verdict_t *verdict = si_verdict_new();
    std::deque<packet> in_flight;
    rng_t rng;
    uint32_t lose, repeat; // percent
    ms_t now = 1000;
    bool link_down = false;
    si_client_params_t params = SI_CLIENT_PARAMS;

    static void
    from_upstream(void *arg, const addr_t *, const uint8_t *data, size_t len)
    {
        static_cast<relay *>(arg)->post(false, data + SPP_LEN, len - SPP_LEN);
    }
    static void
    from_client(void *arg, const uint8_t *data, size_t len)
    {
        static_cast<relay *>(arg)->post(true, data, len);
    }
    static void
    on_log(void *arg, const char *line)
    {
        si_verdict_line(static_cast<relay *>(arg)->verdict, line);
    }
    relay(si_kind_t kind, uint64_t seed, uint32_t lose_, uint32_t repeat_,
          bool opaque = false)
        : rng{seed, 0}, lose(lose_), repeat(repeat_)
    {
        si_upstream_params_t up = bed::defaults();
        up.opaque = opaque;
        si_upstream_out_t uo = {this, from_upstream, on_log};
        u = si_upstream_new(&up, &uo, now);
        params.kind = kind;
        params.service = service;
        params.self = caller;
        params.seed = seed;
        snprintf(params.name, sizeof(params.name), "c");
        si_client_out_t co = {this, from_client, on_log};
        c = si_client_new(&params, &co, &client_stats, now);
    }
    ~relay()
    {
        si_client_free(c);
        si_upstream_free(u);
        si_verdict_free(verdict);
    }
    void
    post(bool to_upstream, const uint8_t *data, size_t len)
    {
        if (link_down || rng_below(&rng, 100) < lose) {
            return;
        }
        std::vector<uint8_t> b(data, data + len);
        in_flight.push_back({now + rng_below(&rng, 30), to_upstream, b});
        if (rng_below(&rng, 100) < repeat) {
            in_flight.push_back({now + rng_below(&rng, 5000), to_upstream, b});
        }
    }
    void
    deliver(const packet &p)
    {
        if (!p.to_upstream) {
            si_client_receive(c, now, p.bytes.data(), p.bytes.size());
            return;
        }
        std::vector<uint8_t> b(SPP_LEN);
        spp_t h = {caller, service};
        spp_write(b.data(), &h);
        b.insert(b.end(), p.bytes.begin(), p.bytes.end());
        si_upstream_receive(u, now, &source, b.data(), b.size());
    }
    void
    run(ms_t ms)
    {
        for (ms_t end = now + ms; now < end;) {
            now += 5;
            std::deque<packet> due;
            for (size_t i = in_flight.size(); i-- > 0;) {
                if (in_flight[i].at <= now) {
                    due.push_front(in_flight[i]);
                    in_flight.erase(in_flight.begin() + (long)i);
                }
            }
            for (const packet &p : due) {
                deliver(p);
            }
            si_upstream_tick(u, now);
            si_client_tick(c, now);
        }
    }
    si_verdict_counts_t
    finish()
    {
        si_verdict_counts_t n;
        si_client_stop(c);
        run(130000);
        si_client_abort(c, now);
        si_verdict_count(verdict, &n);
        return n;
    }
};

// Under loss, duplication and delay, one upstream with duplicate detection
// runs each request once, and the caller gets the true outcome.
RC_GTEST_PROP(Callers, OneUpstreamRunsEachPostOnce,
              (uint32_t seed, bool upload))
{
    relay r(upload ? SI_UPLOAD : SI_POST, seed, 30, 30);
    r.run(60000);
    si_verdict_counts_t n = r.finish();
    RC_ASSERT(n.posts > 0u);
    RC_ASSERT(n.executed_twice == 0u);
    RC_ASSERT(n.false_not_run == 0u);
    RC_ASSERT(n.never_ran == 0u);
    RC_ASSERT(n.misdelivered == 0u);
    RC_ASSERT(n.crossed == 0u);
}

TEST(Callers, UploadCompletes)
{
    relay r(SI_UPLOAD, 1, 0, 0);
    r.run(30000);
    si_verdict_counts_t n = r.finish();
    EXPECT_GT(r.client_stats.uploaded, 5u);
    EXPECT_EQ(0u, n.broken);
    EXPECT_EQ(0u, n.crossed);
    EXPECT_EQ(r.client_stats.uploaded, n.runs);
}

TEST(Callers, ReadsAreAnswered)
{
    relay r(SI_READ, 1, 0, 0);
    r.run(10000);
    EXPECT_GT(r.client_stats.outcome[SI_ANSWERED], 10u);
    EXPECT_EQ(0u, r.finish().crossed);
}

TEST(Callers, FeedIsEstablishedAndNotified)
{
    relay r(SI_FEED, 1, 0, 0);
    r.run(100000);
    EXPECT_EQ(1u, r.client_stats.established);
    EXPECT_GT(r.client_stats.notified, 150u);
    EXPECT_EQ(0u, r.finish().broken);
}

// The path drops all datagrams: the caller counts a broken feed and registers
// again.
TEST(Callers, SilentFeedIsBroken)
{
    relay r(SI_FEED, 1, 0, 0);
    r.run(5000);
    r.link_down = true;
    r.run(11000);
    r.link_down = false;
    r.run(30000);
    EXPECT_EQ(1u, r.client_stats.broken);
    EXPECT_EQ(2u, r.client_stats.established);
}

TEST(Callers, ResetBreaksAFeed)
{
    relay r(SI_FEED, 1, 0, 0);
    r.run(5000);
    const uint8_t rst[4] = {0x70, 0, 0, 1};
    si_client_receive(r.c, r.now, rst, sizeof(rst));
    r.run(5000);
    EXPECT_EQ(1u, r.client_stats.broken);
    EXPECT_EQ(2u, r.client_stats.established);
}

TEST(Callers, EchoFlowThatMovesIsBroken)
{
    relay r(SI_ECHO, 1, 0, 0, true);
    r.run(10000);
    EXPECT_GT(r.client_stats.outcome[SI_ANSWERED], 10u);
    EXPECT_EQ(0u, r.client_stats.broken);
    si_upstream_restart(r.u, r.now, 0, nullptr);
    r.run(5000);
    EXPECT_EQ(1u, r.client_stats.broken);
}

TEST(Callers, AnswerOfAnotherClientIsCrossed)
{
    relay r(SI_READ, 1, 0, 0);
    std::vector<uint8_t> sent;
    while (r.in_flight.empty()) {
        r.now += 5;
        si_client_tick(r.c, r.now);
    }
    coap_msg_t m;
    sent = r.in_flight[0].bytes;
    ASSERT_EQ(0, coap_decode(&m, sent.data(), sent.size()));
    m.type = COAP_T_ACK;
    m.code = COAP_CONTENT;
    m.path_n = 0;
    const char *text = "id=- client=127.20.9.2:4000 service=127.20.0.1:5683";
    m.payload = (const uint8_t *)text;
    m.payload_len = strlen(text);
    uint8_t b[256];
    int n = coap_encode(b, sizeof(b), &m);
    ASSERT_GT(n, 0);
    si_client_receive(r.c, r.now, b, (size_t)n);
    EXPECT_EQ(1u, r.client_stats.crossed);
}

// ---- Verdict ----

static si_verdict_counts_t
count_lines(std::vector<const char *> lines)
{
    si_verdict_counts_t n;
    si_verdict_t *v = si_verdict_new();
    for (const char *l : lines) {
        si_verdict_line(v, l);
    }
    si_verdict_count(v, &n);
    si_verdict_free(v);
    return n;
}

TEST(Verdict, FindsEachFault)
{
    EXPECT_EQ(1u, count_lines({"run x id=a", "run x id=a"}).executed_twice);
    EXPECT_EQ(0u, count_lines({"run x id=-", "run x id=-"}).executed_twice);
    EXPECT_EQ(1u, count_lines({"post id=a outcome=refused", "run x id=a"})
                      .false_not_run);
    EXPECT_EQ(1u, count_lines({"run x id=a", "post id=a outcome=conflict"})
                      .false_not_run);
    EXPECT_EQ(1u, count_lines({"post id=a outcome=answered"}).never_ran);
    EXPECT_EQ(1u, count_lines({"misdelivered service=s"}).misdelivered);
    EXPECT_EQ(1u, count_lines({"crossed client=c"}).crossed);
    EXPECT_EQ(1u, count_lines({"broken kind=feed"}).broken);
    si_verdict_counts_t ok = count_lines(
        {"post id=a outcome=answered", "run x id=a",
         "post id=b outcome=unknown", "run x id=b",
         "post id=c outcome=timeout", "post id=d outcome=refused"});
    EXPECT_EQ(4u, ok.posts);
    EXPECT_EQ(2u, ok.runs);
    EXPECT_EQ(0u, ok.executed_twice + ok.false_not_run + ok.never_ran);
    EXPECT_EQ(1u, ok.unknown);
    EXPECT_EQ(1u, ok.unanswered);
}
