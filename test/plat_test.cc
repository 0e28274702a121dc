// The platform's client against the stand-in: stored versions, and writes that
// take effect at most once whatever happens to their answers.
#include "plat/plat.h"
#include "plat/http.h"
#include "standin/platform.h"
#include "standin/rest.h"

#include <errno.h>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string.h>
#include <thread>

static std::string
base_text(int queue)
{
    return "[site]\nname = \"moravia\"\n[service.dohled]\n"
           "address = \"127.1.0.1:5683\"\nprotocol = \"coap\"\n"
           "prefer = \"balance\"\nslots = 2\nconnections = 2000\nqueue = " +
           std::to_string(queue) + "\n";
}

static std::string
overlay_text(const char *name, int host)
{
    return std::string("data_centre = \"") + name +
           "\"\n[[upstream]]\nservice = \"dohled\"\naddress = \"127.2.1." +
           std::to_string(host) + ":5683\"\n";
}

// A bundle that is freed with its scope.
struct Bundle {
    conf_bundle_t b = {};
    Bundle() = default;
    Bundle(int queue, const char *id)
    {
        std::string base = base_text(queue);
        std::string z = overlay_text("ostrava-sal", 2);
        std::string a = overlay_text("brno-sal-a", 1);
        conf_source_t src[] = {{"base.toml", base.c_str()},
                               {"z.toml", z.c_str()},
                               {"a.toml", a.c_str()}};
        err_t e = {};
        EXPECT_EQ(0, bundle_make(&b, src, 3, &e)) << e.text;
        strcpy(b.change_id, id);
    }
    Bundle(const Bundle &) = delete;
    ~Bundle()
    {
        bundle_free(&b);
    }
};

TEST(Bundle, IsSortedAndReadBack)
{
    Bundle x(4, "one");
    x.b.version = 7;
    x.b.n_changes = 1;
    x.b.changes[0] = {6, "zero"};
    EXPECT_STREQ("base", x.b.file[0]);
    EXPECT_STREQ("brno-sal-a", x.b.file[1]);
    char *json = bundle_write(&x.b);
    Bundle y;
    err_t e = {};
    ASSERT_EQ(0, bundle_read(&y.b, json, &e)) << e.text;
    free(json);
    EXPECT_EQ(7u, y.b.version);
    EXPECT_EQ(x.b.hash, y.b.hash);
    EXPECT_STREQ("zero", y.b.changes[0].change_id);
    conf_t *c = bundle_conf(&y.b, &e);
    ASSERT_TRUE(c) << e.text;
    EXPECT_EQ(7u, c->version);
    EXPECT_EQ(x.b.hash, c->hash);
    EXPECT_STREQ("one", c->change_id);
    conf_free(c);
}

// An instance gets a version whose text was cut or changed on its way: the
// hash differs, and the version isn't taken.
TEST(Bundle, ChangedTextIsRefused)
{
    Bundle x(4, "one");
    x.b.version = 1;
    char *json = bundle_write(&x.b);
    std::string s = json;
    free(json);
    s.replace(s.find("queue = 4"), 9, "queue = 5");
    Bundle y;
    EXPECT_EQ(-EBADMSG, bundle_read(&y.b, s.c_str(), nullptr));
    EXPECT_EQ(-EBADMSG, bundle_read(&y.b, "{}", nullptr));
    EXPECT_EQ(-EBADMSG, bundle_read(&y.b, "", nullptr));
}

RC_GTEST_PROP(Bundle, NoChangedByteBreaksTheReader, ())
{
    Bundle x(4, "one");
    x.b.version = 1;
    char *json = bundle_write(&x.b);
    std::string s = json;
    free(json);
    s[*rc::gen::inRange<size_t>(0, s.size())] =
        (char)*rc::gen::inRange(1, 256);
    Bundle y;
    int rc = bundle_read(&y.b, s.c_str(), nullptr);
    RC_ASSERT(rc == 0 || rc == -EBADMSG);
}

class Plat : public testing::Test {
  protected:
    void
    SetUp() override
    {
        si_platform_params_t params = {0, 0, 3000};
        err_t e = {};
        platform = si_platform_open(&params, &e);
        ASSERT_TRUE(platform) << e.text;
        url = "http://127.0.0.1:" + std::to_string(si_platform_port(platform));
        p = plat_new(url.c_str());
    }
    void
    TearDown() override
    {
        plat_free(p);
        si_platform_close(platform);
    }
    void
    set(const char *query)
    {
        http_t *h = http_new(url.c_str());
        std::string path = std::string("/v1/switch?") + query;
        http_call_t c = {HTTP_POST, path.c_str(), NULL, 2000, "switch"};
        http_reply_t r;
        EXPECT_EQ(0, http_call(h, &c, &r, NULL));
        http_free(h);
    }
    uint64_t
    version()
    {
        Bundle now;
        uint64_t revision;
        EXPECT_EQ(0, plat_config(p, &now.b, &revision, NULL));
        return now.b.version;
    }
    int
    apply(int queue, const char *id, uint64_t expect)
    {
        Bundle x(queue, id);
        return plat_apply(p, &x.b, expect, NULL, NULL);
    }
    si_platform_t *platform;
    plat_t *p;
    std::string url;
};

TEST_F(Plat, KeysAreReadAndSwapped)
{
    char *value;
    uint64_t rev;
    EXPECT_EQ(0, plat_get(p, "k", 0, 0, &value, &rev, NULL));
    EXPECT_EQ(nullptr, value);
    EXPECT_EQ(0u, rev);
    EXPECT_EQ(0, plat_put(p, "k", "v\n\"1\"", 0, &rev, NULL));
    EXPECT_EQ(1u, rev);
    EXPECT_EQ(-EAGAIN, plat_put(p, "k", "v2", 0, &rev, NULL));
    EXPECT_EQ(1u, rev);
    EXPECT_EQ(0, plat_get(p, "k", 0, 0, &value, &rev, NULL));
    EXPECT_STREQ("v\n\"1\"", value);
    free(value);
    EXPECT_EQ(4u, plat_calls(p));
}

TEST_F(Plat, WatchReturnsWithTheNextRevision)
{
    uint64_t rev;
    ASSERT_EQ(0, plat_put(p, "k", "old", 0, &rev, NULL));
    std::thread writer([this] {
        plat_t *other = plat_new(url.c_str());
        uint64_t r;
        EXPECT_EQ(0, plat_put(other, "k", "new", 1, &r, NULL));
        plat_free(other);
    });
    char *value;
    EXPECT_EQ(0, plat_get(p, "k", 30000, 1, &value, &rev, NULL));
    EXPECT_STREQ("new", value);
    EXPECT_EQ(2u, rev);
    free(value);
    writer.join();
    EXPECT_EQ(0, plat_get(p, "k", 1, 2, &value, &rev, NULL));
    EXPECT_EQ(2u, rev);
    free(value);
}

TEST_F(Plat, LeaseHasOneHolder)
{
    EXPECT_EQ(0, plat_lease(p, "watch", "a b", 60000, NULL));
    EXPECT_EQ(0, plat_lease(p, "watch", "a b", 60000, NULL));
    EXPECT_EQ(-EBUSY, plat_lease(p, "watch", "c", 60000, NULL));
    EXPECT_EQ(0, plat_lease_drop(p, "watch", "a b", NULL));
    EXPECT_EQ(0, plat_lease(p, "watch", "c", 60000, NULL));
}

TEST_F(Plat, InstancesAreListed)
{
    plat_instance_t i = {"moravia-1", "brno-sal-a", true, "127.0.1.1",
                         {},          {},           {}};
    addr_parse(&i.return_addr, "127.0.1.1:6000");
    addr_parse(&i.peer_addr, "127.0.1.1:6002");
    addr_parse(&i.bulk_addr, "127.0.1.1:6003");
    EXPECT_EQ(0, plat_register(p, &i, NULL));
    plat_instance_t out[4];
    size_t n;
    ASSERT_EQ(0, plat_instances(p, out, 4, &n, NULL));
    ASSERT_EQ(1u, n);
    EXPECT_STREQ("moravia-1", out[0].name);
    EXPECT_TRUE(out[0].leaving);
    EXPECT_TRUE(addr_eq(&i.bulk_addr, &out[0].bulk_addr));
    EXPECT_EQ(0, plat_deregister(p, "moravia-1", NULL));
    ASSERT_EQ(0, plat_instances(p, out, 4, &n, NULL));
    EXPECT_EQ(0u, n);
}

TEST_F(Plat, ErrorsNameStepAndPeer)
{
    plat_t *nowhere = plat_new("http://127.0.0.1:1");
    char *value;
    uint64_t rev;
    err_t e = {};
    EXPECT_EQ(-ECONNREFUSED, plat_get(nowhere, "k", 0, 0, &value, &rev, &e));
    EXPECT_STREQ("platform read", e.step);
    EXPECT_STREQ("http://127.0.0.1:1", e.peer);
    Bundle x(4, "one");
    EXPECT_EQ(-ECONNREFUSED, plat_apply(nowhere, &x.b, 0, NULL, &e));
    plat_free(nowhere);
}

TEST_F(Plat, VersionsFollowEachOther)
{
    EXPECT_EQ(0, apply(4, "one", 0));
    EXPECT_EQ(0, apply(5, "two", 1));
    EXPECT_EQ(2u, version());
    Bundle first;
    EXPECT_EQ(0, plat_history(p, 1, &first.b, NULL));
    EXPECT_STREQ("one", first.b.change_id);
    Bundle none;
    EXPECT_EQ(-ENOENT, plat_history(p, 2, &none.b, NULL));
}

// The operator's write takes effect, its answer is lost, and the tool tries
// again by itself.  Applied twice, the second would revert what came between.
TEST_F(Plat, LostAnswerIsReadBack)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    set("lose_answers=2"); // of the history's write and the version's
    EXPECT_EQ(0, apply(5, "two", 1));
    EXPECT_EQ(2u, version());
}

// As before, but another operator has written by the time the first comes
// back: the change is found among those before, and isn't applied again.
TEST_F(Plat, LostAnswerIsFoundBehindALaterVersion)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, apply(5, "two", 1));
    ASSERT_EQ(0, apply(6, "three", 2));
    Bundle again(5, "two");
    EXPECT_EQ(0, plat_apply(p, &again.b, 1, NULL, NULL));
    EXPECT_EQ(2u, again.b.version);
    EXPECT_EQ(3u, version());
}

// Two operators edit version 1.  The second is told what the first wrote,
// and nothing of it is lost.
TEST_F(Plat, LoserOfARaceGetsTheOthersVersion)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, apply(5, "theirs", 1));
    Bundle mine(6, "mine"), theirs;
    err_t e = {};
    EXPECT_EQ(-EAGAIN, plat_apply(p, &mine.b, 1, &theirs.b, &e));
    EXPECT_STREQ("theirs", theirs.b.change_id);
    EXPECT_EQ(2u, theirs.b.version);
    EXPECT_EQ(2u, version());
}

// A writer reads the version, is paused, and wakes after another wrote.  It
// still believes that it may write; its revision is old and is refused.
TEST_F(Plat, PausedWriterIsFenced)
{
    Bundle seen;
    uint64_t revision;
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, plat_config(p, &seen.b, &revision, NULL));
    ASSERT_EQ(0, apply(5, "two", 1));
    char *json = bundle_write(&seen.b);
    EXPECT_EQ(-EAGAIN,
              plat_put(p, PLAT_CONFIG_KEY, json, revision, &revision, NULL));
    free(json);
    EXPECT_EQ(2u, version());
}

// A read that lags shows version 1 while 2 is in force.  The write based on
// it is refused, the next read shows why.
TEST_F(Plat, StaleReadDoesNotRevert)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, apply(5, "two", 1));
    set("stale_reads=1");
    EXPECT_EQ(-EAGAIN, apply(6, "three", 1));
    set("stale_reads=1");
    EXPECT_EQ(0, apply(6, "three", 2));
    EXPECT_EQ(3u, version());
}

TEST_F(Plat, OutageWritesNothing)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    set("outage=1");
    EXPECT_EQ(-EHOSTUNREACH, apply(5, "two", 1));
    set("outage=0");
    EXPECT_EQ(1u, version());
}

// The platform takes the write, and before it answers it goes away for long.
// The tool can't tell whether the version stands and says so.
TEST(Apply, WriteThatCantBeReadBackIsUnknown)
{
    bool written = false;
    auto serve = [](void *arg, const si_request_t *r) -> si_reply_t {
        bool *gone = (bool *)arg;
        if (!*gone && strcmp(r->method, "GET") == 0) {
            return {404, json_pack("{si}", "revision", 0)};
        }
        *gone = true;
        return {0, NULL};
    };
    si_rest_t *rest = si_rest_open(0, serve, &written, NULL);
    ASSERT_TRUE(rest);
    std::string url = "http://127.0.0.1:" + std::to_string(si_rest_port(rest));
    plat_t *p = plat_new(url.c_str());
    Bundle x(4, "one");
    err_t e = {};
    EXPECT_EQ(-EIO, plat_apply(p, &x.b, 0, NULL, &e));
    EXPECT_TRUE(strstr(e.text, "change ID one")) << e.text;
    plat_free(p);
    si_rest_close(rest);
}

TEST_F(Plat, StepThatSwapsAnUpstreamIsRefused)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    std::string base = base_text(4);
    base.replace(base.find("dohled"), 6, "archiv");
    base.replace(base.find("127.1.0.1"), 9, "127.1.0.2");
    std::string over = overlay_text("brno-sal-a", 1);
    over.replace(over.find("dohled"), 6, "archiv");
    conf_source_t src[] = {{"base", base.c_str()}, {"a", over.c_str()}};
    Bundle x;
    ASSERT_EQ(0, bundle_make(&x.b, src, 2, NULL));
    strcpy(x.b.change_id, "swap");
    err_t e = {};
    EXPECT_EQ(-EINVAL, plat_apply(p, &x.b, 1, NULL, &e));
    EXPECT_TRUE(strstr(e.text, "in one step")) << e.text;
    EXPECT_EQ(1u, version());
}

// Many writers at once, answers lost in between: each version number is made
// by one change, and a change that was told "applied" is there.
TEST_F(Plat, RacingWritersLoseNothing)
{
    const int writers = 4, rounds = 5;
    std::vector<std::thread> threads;
    std::atomic<int> applied{0};
    ASSERT_EQ(0, apply(4, "start", 0));
    set("lose_answers=6");
    for (int w = 0; w < writers; w++) {
        threads.emplace_back([&, w] {
            plat_t *own = plat_new(url.c_str());
            for (int i = 0; i < rounds; i++) {
                std::string id = std::to_string(w) + "-" + std::to_string(i);
                Bundle now, next(10 + w, id.c_str());
                uint64_t rev;
                if (plat_config(own, &now.b, &rev, NULL) == 0 &&
                    plat_apply(own, &next.b, now.b.version, NULL, NULL) == 0) {
                    applied++;
                }
            }
            plat_free(own);
        });
    }
    for (std::thread &t : threads) {
        t.join();
    }
    EXPECT_EQ((uint64_t)applied + 1, version());
}

// How often change ID stands in the version in force or those before it.
static int
times_applied(const conf_bundle_t *now, const std::string &id)
{
    int n = id == now->change_id;
    for (size_t i = 0; i < now->n_changes; i++) {
        n += id == now->changes[i].change_id;
    }
    return n;
}

// Operators with fresh and old views write while answers are lost and reads
// lag, and each runs the command again when it failed.  Whatever the order:
// "done" is there once, "lost the race" is not there, versions only grow, and
// none is skipped.
TEST_F(Plat, AnyOrderOfFaultsAppliesOnce)
{
    int next_id = 0;
    ASSERT_EQ(0, apply(4, "start", 0));
    EXPECT_TRUE(rc::check("applies once", [&] {
        uint64_t before = version();
        uint64_t old = (uint64_t)*rc::gen::inRange(0, 2);
        uint64_t expect = before > old ? before - old : before;
        int lost = *rc::gen::inRange(0, 4), stale = *rc::gen::inRange(0, 3);
        int runs = *rc::gen::inRange(1, 3);
        std::string id = "id-" + std::to_string(next_id++);
        int rc = 0;
        set(("lose_answers=" + std::to_string(lost) +
             "&stale_reads=" + std::to_string(stale))
                .c_str());
        for (int i = 0; i < runs; i++) {
            rc = apply(next_id % 100, id.c_str(), expect);
        }
        set("lose_answers=0&stale_reads=0");
        Bundle now;
        uint64_t revision;
        RC_ASSERT(plat_config(p, &now.b, &revision, NULL) == 0);
        int n = times_applied(&now.b, id);
        RC_ASSERT(n == (rc == 0 ? 1 : 0));
        RC_ASSERT(rc == 0 || rc == -EAGAIN || rc == -ESTALE);
        RC_ASSERT(now.b.version == before + (uint64_t)n);
        RC_CLASSIFY(rc == 0, "applied");
    }));
}
