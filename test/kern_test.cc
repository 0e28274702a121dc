// The micro-kernel: lookup by name, no message lost or duplicated, refusal by
// a full inbox, stop of a sleeping duty.
#include "kern/kern.h"

#include <gtest/gtest.h>
#include <jansson.h>
#include <errno.h>
#include <sched.h>
#include <semaphore.h>
#include <set>
#include <string.h>
#include <string>
#include <vector>

static int dropped;

static void
count_drop(void *)
{
    dropped++;
}

static duty_spec_t
spec(const char *name, duty_run_t *run, void *arg, unsigned inbox,
     bool one_sender)
{
    return {name, run, arg, inbox, one_sender, count_drop};
}

TEST(Kern, NamesAreUniqueAndFound)
{
    kern_t *k = kern_new();
    duty_spec_t a = spec("a", nullptr, nullptr, 4, true);
    EXPECT_EQ(0, kern_add(k, &a));
    EXPECT_EQ(-EEXIST, kern_add(k, &a));
    ASSERT_NE(nullptr, kern_find(k, "a"));
    EXPECT_STREQ("a", duty_name(kern_find(k, "a")));
    EXPECT_EQ(k, duty_kern(kern_find(k, "a")));
    EXPECT_EQ(nullptr, kern_find(k, "b"));
    kern_free(k);
}

// Guards against loss when a caller floods an instance and the inbox is full:
// the sender gets -EAGAIN at once and keeps its message, and messages accepted
// before stay queued.
TEST(Kern, FullInboxRefusesAndCounts)
{
    for (bool one_sender : {true, false}) {
        kern_t *k = kern_new();
        duty_spec_t a = spec("a", nullptr, nullptr, 8, one_sender);
        ASSERT_EQ(0, kern_add(k, &a));
        duty_t *d = kern_find(k, "a");
        int msg[16];
        unsigned n = duty_capacity(d);
        for (unsigned i = 0; i < n; i++) {
            EXPECT_EQ(0, duty_post(d, &msg[i]));
        }
        EXPECT_EQ(-EAGAIN, duty_post(d, &msg[n]));
        EXPECT_EQ(-EAGAIN, duty_post(d, &msg[n]));
        EXPECT_EQ(2u, duty_refused_count(d));
        EXPECT_EQ(n, duty_depth(d));
        void *out[4];
        EXPECT_EQ(4u, duty_take(d, out, 4));
        EXPECT_EQ(&msg[0], out[0]);
        EXPECT_EQ(0, duty_post(d, &msg[n]));
        dropped = 0;
        kern_free(k);
        EXPECT_EQ((int)n - 3, dropped);
    }
}

struct echo_t {
    const char *to;
    uint64_t left; // messages still expected
    bool poll;     // sleep in poll(), not on the inbox only
};

// Passes each message on to the next duty and sleeps in between.  A single
// lost wake-up stops all of them for good.
static void
echo_run(duty_t *self, void *arg)
{
    echo_t *e = static_cast<echo_t *>(arg);
    duty_t *to = kern_find(duty_kern(self), e->to);
    void *msg;
    struct pollfd fd;

    while (e->left > 0 && !duty_stopping(self)) {
        if (duty_take(self, &msg, 1) == 1) {
            e->left--;
            EXPECT_EQ(0, duty_post(to, msg));
            continue;
        }
        duty_wait(self, e->poll ? &fd : nullptr, 1, -1);
    }
}

TEST(Kern, WakeUpsAreNotLost)
{
    kern_t *k = kern_new();
    echo_t a = {"b", 50000, true}, b = {"main", 50000, false};
    echo_t c = {"a", 50000, true};
    duty_spec_t s[] = {spec("a", echo_run, &a, 4, true),
                       spec("b", echo_run, &b, 4, true),
                       spec("main", nullptr, nullptr, 4, true)};
    int token;
    for (const duty_spec_t &x : s) {
        ASSERT_EQ(0, kern_add(k, &x));
    }
    ASSERT_EQ(0, kern_start(k));
    ASSERT_EQ(0, duty_post(kern_find(k, "a"), &token));
    echo_run(kern_find(k, "main"), &c);
    EXPECT_EQ(0u, c.left);
    EXPECT_EQ(0, kern_stop(k, 60000));
    EXPECT_EQ(0u, a.left + b.left);
    kern_free(k);
}

struct source_arg_t {
    uint64_t first, n;
};

static void
source_run(duty_t *self, void *arg)
{
    source_arg_t *s = static_cast<source_arg_t *>(arg);
    duty_t *to = kern_find(duty_kern(self), "sink");

    for (uint64_t i = 0; i < s->n; i++) {
        while (duty_post(to, (void *)(s->first + i)) == -EAGAIN) {
            sched_yield();
        }
    }
}

TEST(Kern, ConcurrentSendersKeepOrderWithoutLoss)
{
    const uint64_t n = 20000;
    kern_t *k = kern_new();
    source_arg_t a = {1, n}, b = {1 + n, n}, c = {1 + 2 * n, n};
    duty_spec_t s[] = {spec("sink", nullptr, nullptr, 64, false),
                       spec("a", source_run, &a, 4, true),
                       spec("b", source_run, &b, 4, true),
                       spec("c", source_run, &c, 4, true)};
    for (const duty_spec_t &x : s) {
        ASSERT_EQ(0, kern_add(k, &x));
    }
    ASSERT_EQ(0, kern_start(k));
    duty_t *sink = kern_find(k, "sink");
    std::vector<uint64_t> last = {0, n, 2 * n};
    for (uint64_t got = 0; got < 3 * n;) {
        void *msg[16];
        size_t m = duty_take(sink, msg, 16);
        for (size_t i = 0; i < m; i++) {
            uint64_t v = (uint64_t)msg[i];
            EXPECT_EQ(++last[(v - 1) / n], v); // in order for each sender
        }
        got += m;
        if (m == 0) {
            duty_wait(sink, nullptr, 0, -1);
        }
    }
    EXPECT_EQ(0u, duty_depth(sink));
    EXPECT_EQ(0, kern_stop(k, 60000));
    kern_free(k);
}

static void
sleep_run(duty_t *self, void *)
{
    while (!duty_stopping(self)) {
        duty_wait(self, nullptr, 0, -1);
    }
}

TEST(Kern, StopWakesSleepers)
{
    kern_t *k = kern_new();
    duty_spec_t s = spec("a", sleep_run, nullptr, 4, true);
    ASSERT_EQ(0, kern_add(k, &s));
    ASSERT_EQ(0, kern_start(k));
    EXPECT_EQ(0, kern_stop(k, 60000));
    kern_free(k);
}

static void
block_run(duty_t *, void *arg)
{
    sem_wait(static_cast<sem_t *>(arg));
}

// Guards against a hang at stop when the platform doesn't respond: the thread
// stays in its blocking call, and kern_stop() returns after the timeout.
TEST(Kern, StopIsBounded)
{
    kern_t *k = kern_new();
    sem_t gate;
    sem_init(&gate, 0, 0);
    duty_spec_t s = spec("a", block_run, &gate, 4, true);
    ASSERT_EQ(0, kern_add(k, &s));
    ASSERT_EQ(0, kern_start(k));
    EXPECT_EQ(-ETIMEDOUT, kern_stop(k, 10));
    sem_post(&gate);
    EXPECT_EQ(0, kern_stop(k, 60000));
    kern_free(k);
    sem_destroy(&gate);
}

TEST(Pool, SlotsAreDistinctUntilExhausted)
{
    pool_t *p = pool_new(5, 100);
    std::set<void *> got;
    for (int i = 0; i < 5; i++) {
        void *slot = pool_get(p);
        ASSERT_NE(nullptr, slot);
        memset(slot, i, 100);
        EXPECT_TRUE(got.insert(slot).second);
    }
    EXPECT_EQ(nullptr, pool_get(p));
    pool_put(p, *got.begin());
    EXPECT_EQ(*got.begin(), pool_get(p));
    pool_free(p);
}

// The age of a datagram is the time that it was queued in the socket.  It is 0
// if the timestamp is later than the clock, after the clock stepped back, or
// if there is no timestamp.
TEST(Udp, AgeIsTimeInSocketBuffer)
{
    addr_t a = {};
    err_t e = {};
    char data[8], stamp[UDP_TIMESTAMP_LEN];
    iovec iov = {data, sizeof(data)};
    msghdr h = {};
    sockaddr_storage ss;
    socklen_t len = sizeof(ss);

    ASSERT_EQ(0, addr_parse(&a, "127.0.0.1:1"));
    a.port = 0;
    int fd = udp_open(&a, &e);
    ASSERT_GE(fd, 0) << e.text;
    ASSERT_EQ(0, getsockname(fd, reinterpret_cast<sockaddr *>(&ss), &len));
    h.msg_iov = &iov;
    h.msg_iovlen = 1;
    h.msg_control = stamp;
    ms_t age = 0;
    // The kernel starts to timestamp with a delay after the first socket
    // enables the option.
    for (int i = 0; i < 100 && age < 29; i++) {
        ASSERT_EQ(3, sendto(fd, "abc", 3, 0, reinterpret_cast<sockaddr *>(&ss),
                            len));
        usleep(30000);
        h.msg_controllen = sizeof(stamp);
        ASSERT_EQ(3, recvmsg(fd, &h, 0));
        age = udp_age(&h, clock_wall());
    }
    EXPECT_GE(age, 29);
    EXPECT_EQ(0, udp_age(&h, clock_wall() - 3600000));
    h.msg_controllen = 0;
    EXPECT_EQ(0, udp_age(&h, clock_wall()));
    close(fd);
}

/* The log opens once in a process. */
class Log : public testing::Test {
  protected:
    static void
    SetUpTestSuite()
    {
        ASSERT_EQ(log_open("try", LVL_INFO), 0);
    }
    static void
    TearDownTestSuite()
    {
        log_close();
    }
};

/* Guards against: a log that grep takes for a binary file, since a long key of
 * another writer was cut off within a character. */
TEST_F(Log, CharactersThatAreCutOffAreReplaced)
{
    const std::string wide = "\xe8\xa9\xa6\xf0\x9f\x92\xa1\xc3\xa9";
    std::string out, key;
    err_t e;

    while (key.size() < 2000) {
        key += "\xe8\xa9\xa6";
    }
    err_set(&e, -EINVAL, "store item", key.c_str(), "%s", wide.c_str());
    testing::internal::CaptureStderr();
    log_line(LVL_INFO, "news", "peer=%s error=%s", e.peer, e.text);
    log_line(LVL_INFO, "news", "%s", key.c_str());
    out = testing::internal::GetCapturedStderr();
    EXPECT_NE(out.find("error=" + wide + "\n"), std::string::npos) << out;
    json_t *text = json_stringn(out.data(), out.size());
    EXPECT_NE(text, nullptr) << "not UTF-8: " << out;
    json_decref(text);
}

/* Guards against: text from the store that forges a log line of its own. */
TEST_F(Log, ControlCharactersStartNoNewLine)
{
    std::string out;

    testing::internal::CaptureStderr();
    log_line(LVL_INFO, "news", "Item refused. key=%s", "a\nERROR x: b\x1b[0m");
    out = testing::internal::GetCapturedStderr();
    EXPECT_NE(out.find("key=a?ERROR x: b?[0m\n"), std::string::npos) << out;
    EXPECT_EQ(out.find('\n'), out.size() - 1);
}
