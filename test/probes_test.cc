/* Probes: TCP connections to upstreams, against sockets on loopback. */
#include "tagged/tagged.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <map>
#include <netinet/in.h>
#include <unistd.h>

namespace {

class Probes : public ::testing::Test {
  protected:
    probes_t p = {};
    std::map<uint64_t, flow_probe_t> done;

    ~Probes() override
    {
        probes_close(&p);
    }

    static void
    record(void *arg, uint64_t upstream, flow_probe_t result)
    {
        static_cast<Probes *>(arg)->done[upstream] = result;
    }

    int
    start(uint64_t id, const addr_t &to, ms_t timeout_ms)
    {
        flow_out_t out = {};
        out.kind = FLOW_OUT_PROBE;
        out.upstream = id;
        out.probe.to = to;
        out.probe.timeout_ms = timeout_ms;
        return probes_start(&p, &out);
    }

    /* Polls as the packets duty does until all probes have ended. */
    void
    finish()
    {
        while (p.n > 0) {
            struct pollfd fds[PROBES_MAX];
            ms_t next = MS_NEVER;
            size_t n = probes_poll(&p, fds, &next);
            poll(fds, n, 10);
            probes_check(&p, record, this);
        }
    }

    static int
    listener(addr_t *a, int backlog)
    {
        struct sockaddr_storage ss;
        socklen_t len;
        int fd = socket(AF_INET, SOCK_STREAM, 0);

        addr_parse(a, "127.0.0.1:1");
        a->port = 0;
        len = addr_to_sock(a, &ss);
        EXPECT_EQ(bind(fd, (struct sockaddr *)&ss, len), 0);
        EXPECT_EQ(listen(fd, backlog), 0);
        getsockname(fd, (struct sockaddr *)&ss, &len);
        addr_from_sock(a, &ss);
        return fd;
    }
};

} // namespace

/* The kernel answers; the process need not accept. */
TEST_F(Probes, ListenerAnswersWithoutAccept)
{
    addr_t a;
    int fd = listener(&a, 16);

    EXPECT_EQ(start(1, a, 5000), 0);
    finish();
    EXPECT_EQ(done[1], PROBE_ANSWERED);
    close(fd);
}

TEST_F(Probes, ClosedPortIsRefused)
{
    addr_t a;
    int fd = listener(&a, 16);

    close(fd);
    EXPECT_EQ(start(1, a, 5000), 0);
    finish();
    EXPECT_EQ(done[1], PROBE_REFUSED);
}

/* A server with too many connections accepts one more and resets it.  The
 * process is alive, and so are its flows: if the reset counted as a refusal,
 * all of them would be ended. */
TEST_F(Probes, ResetAfterAcceptIsNotRefusal)
{
    addr_t a;
    int fd = listener(&a, 16), taken;
    struct linger at_once = {1, 0};

    EXPECT_EQ(start(1, a, 5000), 0);
    taken = accept(fd, NULL, NULL);
    ASSERT_GE(taken, 0);
    setsockopt(taken, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(taken);
    finish();
    EXPECT_EQ(done[1], PROBE_RESET);
    close(fd);
}

/* A listener with a full queue drops further connections, as an unreachable
 * host would. */
TEST_F(Probes, FullBacklogTimesOut)
{
    addr_t a;
    int fd = listener(&a, 0);

    for (uint64_t id = 1; id <= 8; id++) {
        EXPECT_EQ(start(id, a, 150), 0);
    }
    finish();
    EXPECT_EQ(done[8], PROBE_TIMED_OUT);
    close(fd);
}

/* The caller was busy for longer than the probe's timeout, as a small instance
 * that reads a large configuration.  An answer that arrived meanwhile counts.
 */
TEST_F(Probes, AnswerCountsWhenCheckedAfterDeadline)
{
    addr_t a;
    int fd = listener(&a, 16);

    EXPECT_EQ(start(1, a, 20), 0);
    usleep(60000);
    probes_check(&p, record, this);
    EXPECT_EQ(done[1], PROBE_ANSWERED);
    close(fd);
}

TEST_F(Probes, StartFailsWithoutFreeSlot)
{
    addr_t a;
    int fd = listener(&a, 128);

    for (uint64_t id = 1; id <= PROBES_MAX; id++) {
        EXPECT_EQ(start(id, a, 5000), 0);
    }
    EXPECT_EQ(start(PROBES_MAX + 1, a, 5000), -EAGAIN);
    finish();
    EXPECT_EQ(done.size(), (size_t)PROBES_MAX);
    EXPECT_EQ(start(PROBES_MAX + 1, a, 5000), 0);
    close(fd);
}
