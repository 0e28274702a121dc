// The platform client against the stand-in: stored versions, and writes that
// take effect at most once even if their answers are lost.
#include "plat/plat.h"
#include "plat/http.h"
#include "plat/store.h"
#include "standin/platform.h"
#include "standin/rest.h"

#include <errno.h>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string.h>
#include <thread>

// Bytes of comment lines at the start of the base; a long text is stored in
// parts.
static size_t padding;

static std::string
pad()
{
    std::string s;
    while (s.size() < padding) {
        s += "# upstreams of row " + std::to_string(s.size()) + "\n";
    }
    return s;
}

static std::string
base_text(int queue)
{
    return pad() +
           "[site]\nname = \"moravia\"\n[service.dohled]\n"
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

// A bundle that is freed at the end of its scope.
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

// Guards against accepting a version whose text was truncated or changed in
// transit: the hash differs.
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

RC_GTEST_PROP(Bundle, ReaderSurvivesAnyChangedByte, ())
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

// Each test runs with short texts, which are stored in the head, and with long
// ones, which are stored in parts.
class Plat : public testing::TestWithParam<size_t> {
  protected:
    void
    SetUp() override
    {
        padding = GetParam();
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
        padding = 0;
    }
    void
    set_faults(const char *query)
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
        EXPECT_EQ(0, plat_read_config(p, &now.b, &revision, NULL));
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

INSTANTIATE_TEST_SUITE_P(Texts, Plat, testing::Values(0, 600000),
                         [](const testing::TestParamInfo<size_t> &i) {
                             return i.param == 0 ? "short" : "long";
                         });

TEST_P(Plat, KeysAreReadAndSwapped)
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

TEST_P(Plat, WatchReturnsWithTheNextRevision)
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

TEST_P(Plat, LeaseHasOneHolder)
{
    EXPECT_EQ(0, plat_lease(p, "watch", "a b", 60000, NULL));
    EXPECT_EQ(0, plat_lease(p, "watch", "a b", 60000, NULL));
    EXPECT_EQ(-EBUSY, plat_lease(p, "watch", "c", 60000, NULL));
    EXPECT_EQ(0, plat_lease_release(p, "watch", "a b", NULL));
    EXPECT_EQ(0, plat_lease(p, "watch", "c", 60000, NULL));
}

/* Guards against: a lease that ends early, and has two holders, since the path
 * of its call is cut off within its time. */
TEST_P(Plat, ALeasePathIsNotCutOff)
{
    const std::string head = "/v1/lease/watch?owner=";
    const std::string owner(511 - head.size() - strlen("&ms=6"), 'o');

    EXPECT_EQ(0, plat_lease(p, "watch", owner.c_str(), 60000, NULL));
    usleep(50 * 1000);
    EXPECT_EQ(-EBUSY, plat_lease(p, "watch", "b", 60000, NULL));
    EXPECT_EQ(-EINVAL, plat_lease(p, "other", std::string(1000, 'o').c_str(),
                                  60000, NULL));
}

TEST_P(Plat, InstancesAreListed)
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

TEST_P(Plat, ErrorsNameStepAndPeer)
{
    plat_t *unreachable = plat_new("http://127.0.0.1:1");
    char *value;
    uint64_t rev;
    err_t e = {};
    EXPECT_EQ(-ECONNREFUSED,
              plat_get(unreachable, "k", 0, 0, &value, &rev, &e));
    EXPECT_STREQ("platform read", e.step);
    EXPECT_STREQ("http://127.0.0.1:1", e.peer);
    Bundle x(4, "one");
    EXPECT_EQ(-ECONNREFUSED, plat_apply(unreachable, &x.b, 0, NULL, &e));
    plat_free(unreachable);
}

TEST_P(Plat, VersionsFollowEachOther)
{
    EXPECT_EQ(0, apply(4, "one", 0));
    EXPECT_EQ(0, apply(5, "two", 1));
    EXPECT_EQ(2u, version());
    Bundle first;
    EXPECT_EQ(0, plat_read_history(p, 1, &first.b, NULL));
    EXPECT_STREQ("one", first.b.change_id);
    Bundle none;
    EXPECT_EQ(-ENOENT, plat_read_history(p, 2, &none.b, NULL));
}

// The operator's write takes effect, its answer is lost, and the tool retries
// on its own.  Applying the change twice would revert any change in between.
TEST_P(Plat, LostAnswerIsReadBack)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    set_faults("lose_answers=2"); // to the writes of history and version
    EXPECT_EQ(0, apply(5, "two", 1));
    EXPECT_EQ(2u, version());
}

// As above, but another operator has written before the retry: the change is
// found among the earlier changes and is not applied again.
TEST_P(Plat, LostAnswerIsFoundAfterALaterVersion)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, apply(5, "two", 1));
    ASSERT_EQ(0, apply(6, "three", 2));
    Bundle again(5, "two");
    EXPECT_EQ(0, plat_apply(p, &again.b, 1, NULL, NULL));
    EXPECT_EQ(2u, again.b.version);
    EXPECT_EQ(3u, version());
}

// Two operators edit version 1.  The second gets the version written by the
// first, and nothing of that version is lost.
TEST_P(Plat, LoserOfARaceGetsTheWinnersVersion)
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

// A writer reads the version, is paused, and resumes after another has
// written. Its write is based on an old revision and is rejected.
TEST_P(Plat, PausedWriterIsFenced)
{
    Bundle seen;
    uint64_t revision;
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, plat_read_config(p, &seen.b, &revision, NULL));
    ASSERT_EQ(0, apply(5, "two", 1));
    char *json = bundle_write(&seen.b);
    EXPECT_EQ(-EAGAIN,
              plat_put(p, PLAT_CONFIG_KEY, json, revision, &revision, NULL));
    free(json);
    EXPECT_EQ(2u, version());
}

// A stale read returns version 1 while 2 is in force.  The write based on it
// is rejected, and the next read returns version 2.
TEST_P(Plat, StaleReadDoesNotRevert)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, apply(5, "two", 1));
    set_faults("stale_reads=1");
    EXPECT_EQ(-EAGAIN, apply(6, "three", 1));
    set_faults("stale_reads=1");
    EXPECT_EQ(0, apply(6, "three", 2));
    EXPECT_EQ(3u, version());
}

TEST_P(Plat, OutageWritesNothing)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    set_faults("outage=1");
    EXPECT_EQ(-EHOSTUNREACH, apply(5, "two", 1));
    set_faults("outage=0");
    EXPECT_EQ(1u, version());
}

// The platform receives the write and becomes unavailable before answering.
// The outcome can't be read back and is reported as unknown.
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

TEST_P(Plat, StepThatSwapsAnUpstreamIsRefused)
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

// Concurrent writers with lost answers: each version number belongs to one
// change, and each change that was reported as applied is stored.
TEST_P(Plat, ConcurrentWritersLoseNoChange)
{
    const int writers = 4, rounds = 5;
    std::vector<std::thread> threads;
    std::atomic<int> applied{0};
    ASSERT_EQ(0, apply(4, "start", 0));
    set_faults("lose_answers=6");
    for (int w = 0; w < writers; w++) {
        threads.emplace_back([&, w] {
            plat_t *own = plat_new(url.c_str());
            for (int i = 0; i < rounds; i++) {
                std::string id = std::to_string(w) + "-" + std::to_string(i);
                Bundle now, next(10 + w, id.c_str());
                uint64_t rev;
                if (plat_read_config(own, &now.b, &rev, NULL) == 0 &&
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

// How often a change ID occurs in the version in force and the earlier ones.
static int
times_applied(const conf_bundle_t *now, const std::string &id)
{
    int n = id == now->change_id;
    for (size_t i = 0; i < now->n_changes; i++) {
        n += id == now->changes[i].change_id;
    }
    return n;
}

// Operators write, based on the newest or an older version, while answers are
// lost and reads are stale, and run the command again.  In any order: a change
// reported as applied is stored exactly once, one reported as having lost the
// race is not stored, and version numbers increase without gaps.
TEST_P(Plat, AnyOrderOfFaultsAppliesOnce)
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
        set_faults(("lose_answers=" + std::to_string(lost) +
                    "&stale_reads=" + std::to_string(stale))
                       .c_str());
        for (int i = 0; i < runs; i++) {
            rc = apply(next_id % 100, id.c_str(), expect);
        }
        set_faults("lose_answers=0&stale_reads=0");
        Bundle now;
        uint64_t revision;
        RC_ASSERT(plat_read_config(p, &now.b, &revision, NULL) == 0);
        int n = times_applied(&now.b, id);
        RC_ASSERT(n == (rc == 0 ? 1 : 0));
        RC_ASSERT(rc == 0 || rc == -EAGAIN || rc == -ESTALE);
        RC_ASSERT(now.b.version == before + (uint64_t)n);
        RC_CLASSIFY(rc == 0, "applied");
    }));
}

// ---- Parts ----

class Parts : public Plat {
  protected:
    // A writer that can be stopped after any step.
    struct Writer {
        plat_t *p = nullptr;
        Bundle now, next;
        layout_t cur = {}, after = {};
        uint64_t revision = 0;
        int state = 0; // 0: idle, 1: has read, 2: has written parts
        ~Writer()
        {
            plat_free(p);
        }
    };
    void
    read_head(Writer &w)
    {
        char *head;
        bundle_free(&w.now.b);
        ASSERT_EQ(
            0, plat_get(w.p, PLAT_CONFIG_KEY, 0, 0, &head, &w.revision, NULL));
        ASSERT_EQ(0, stored_head_read(w.p, head, &w.now.b, &w.cur, NULL));
        free(head);
        w.state = 1;
    }
    int
    write_parts(Writer &w, int queue, const char *id)
    {
        Bundle fresh(queue, id);
        std::swap(w.next.b, fresh.b);
        w.next.b.version = w.now.b.version + 1;
        w.state = 2;
        return store_parts(w.p, &w.next.b, &w.cur, &w.after, NULL);
    }
    int
    write_head(Writer &w)
    {
        char *json = stored_head_write(&w.next.b, &w.after);
        uint64_t r;
        int rc = plat_put(w.p, PLAT_CONFIG_KEY, json, w.revision, &r, NULL);
        free(json);
        w.state = 0;
        return rc;
    }
    // The version in force, read by a client with an empty cache.
    void
    in_force(Bundle *now)
    {
        plat_t *fresh = plat_new(url.c_str());
        uint64_t r;
        EXPECT_EQ(0, plat_read_config(fresh, &now->b, &r, NULL));
        plat_free(fresh);
    }
    std::string
    in_force()
    {
        Bundle now;
        in_force(&now);
        return now.b.change_id;
    }
    uint64_t
    hash_in_force()
    {
        Bundle now;
        in_force(&now);
        return now.b.hash;
    }
};

INSTANTIATE_TEST_SUITE_P(Texts, Parts, testing::Values(600000));

TEST_P(Parts, OnlyWhatChangedIsWrittenAndRead)
{
    plat_t *reader = plat_new(url.c_str());
    Bundle first, second;
    uint64_t r;
    ASSERT_EQ(0, apply(4, "one", 0));
    ASSERT_EQ(0, plat_read_config(reader, &first.b, &r, NULL));
    EXPECT_EQ(5u, plat_calls(reader)); // the head and four parts
    uint64_t before = plat_calls(p);
    ASSERT_EQ(0, apply(5, "two", 1));
    // the head, one part, the history's read and write, the head
    EXPECT_EQ(before + 5, plat_calls(p));
    ASSERT_EQ(0, plat_read_config(reader, &second.b, &r, NULL));
    EXPECT_EQ(7u, plat_calls(reader)); // the head and one part
    EXPECT_STREQ("two", second.b.change_id);
    plat_free(reader);
}

// Operators' tools crash between writing parts and head, more often than there
// are slots.  The slots that they leave behind become free again.
TEST_P(Parts, CrashedWritersDontExhaustTheSlots)
{
    ASSERT_EQ(0, apply(4, "start", 0));
    for (int i = 0; i < SLOTS + 5; i++) {
        Writer w;
        w.p = plat_new(url.c_str());
        read_head(w);
        write_parts(w, 100 + i, std::to_string(i).c_str());
    }
    EXPECT_EQ(0, apply(5, "after", 1));
    EXPECT_EQ("after", in_force());
    EXPECT_EQ(0, apply(6, "again", 2));
    EXPECT_EQ("again", in_force());
}

// A tool that crashed is run again with the same change ID: it reuses the
// parts written before.
TEST_P(Parts, RetryReusesThePartsOfTheFirstAttempt)
{
    ASSERT_EQ(0, apply(4, "one", 0));
    Writer first, second;
    first.p = plat_new(url.c_str());
    second.p = plat_new(url.c_str());
    read_head(first);
    ASSERT_EQ(0, write_parts(first, 5, "two"));
    read_head(second);
    ASSERT_EQ(0, write_parts(second, 5, "two"));
    EXPECT_EQ(0, memcmp(first.after.part, second.after.part,
                        sizeof(first.after.part)));
    ASSERT_EQ(0, write_head(second));
    EXPECT_EQ("two", in_force());
}

// Writers read, write parts and write heads in any order, stop anywhere, and
// resume after others have written.  Guards against an accepted head that
// refers to slots which were reused in between: no instance could read the
// version in force.  Compare-and-swap on both slot and head prevents it.
TEST_P(Parts, AcceptedVersionIsCompleteInAnyOrderOfWriters)
{
    ASSERT_EQ(0, apply(4, "start", 0));
    EXPECT_TRUE(rc::check("is whole", [&] {
        Writer w[3];
        for (Writer &x : w) {
            x.p = plat_new(url.c_str());
        }
        uint64_t expected = hash_in_force();
        for (int n = *rc::gen::inRange(3, 15); n > 0; n--) {
            Writer &x = w[*rc::gen::inRange(0, 3)];
            if (x.state == 0 || *rc::gen::inRange(0, 4) == 0) {
                read_head(x);
                continue;
            }
            if (x.state == 1) {
                int queue = 10 + *rc::gen::inRange(0, 3);
                int stale = *rc::gen::inRange(0, 2);
                // Few IDs: writers with the same ID start at the same slot.
                std::string name = std::to_string(*rc::gen::inRange(0, 2));
                set_faults(("stale_reads=" + std::to_string(stale)).c_str());
                x.state = write_parts(x, queue, name.c_str()) == 0 ? 2 : 0;
                set_faults("stale_reads=0");
                continue;
            }
            uint64_t mine = x.next.b.hash;
            expected = write_head(x) == 0 ? mine : expected;
            RC_ASSERT(hash_in_force() == expected);
        }
    }));
}
