/* HTTP calls with slow answers, against a server that sends its answer in
 * chunks. */
#include "plat/http.h"

#include <arpa/inet.h>
#include <atomic>
#include <errno.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <string.h>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

const int CHUNKS = 40;
const std::string CHUNK(100, 'x');

/* Answers one request: sends SEND_CHUNKS of CHUNKS chunks, GAP_MS apart, then
 * waits until the client closes the connection. */
class Server {
  public:
    Server(int send_chunks, int gap_ms, size_t chunk_bytes = CHUNK.size())
        : chunk(chunk_bytes, 'x'), chunks(send_chunks), gap(gap_ms)
    {
        struct sockaddr_in a = {};
        socklen_t len = sizeof(a);
        fd = socket(AF_INET, SOCK_STREAM, 0);
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(0, bind(fd, (struct sockaddr *)&a, sizeof(a)));
        EXPECT_EQ(0, listen(fd, 4));
        getsockname(fd, (struct sockaddr *)&a, &len);
        url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port));
        thread = std::thread([this] { serve(); });
    }
    ~Server()
    {
        thread.join();
        close(fd);
    }

    std::string url;

  private:
    void
    put(int c, const std::string &s)
    {
        (void)!send(c, s.data(), s.size(), MSG_NOSIGNAL);
    }

    void
    serve()
    {
        char buf[1024];
        int c = accept(fd, NULL, NULL);
        EXPECT_GT(recv(c, buf, sizeof(buf), 0), 0);
        if (chunks > 0) {
            put(c, "HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(CHUNKS * chunk.size()) + "\r\n\r\n");
        }
        for (int i = 0; i < chunks; i++) {
            put(c, chunk);
            usleep((useconds_t)gap * 1000);
        }
        struct pollfd p = {c, POLLIN, 0};
        poll(&p, 1, 20000); /* until the client closes */
        close(c);
    }

    std::string chunk;
    int chunks, gap, fd;
    std::thread thread;
};

int
call(const std::string &url, ms_t timeout_ms, ms_t stall_ms,
     std::string *body = nullptr)
{
    http_t *h = http_new(url.c_str());
    http_call_t c = {};
    http_reply_t r;
    c.path = "/";
    c.timeout_ms = timeout_ms;
    c.stall_timeout_ms = stall_ms;
    c.step = "read";
    int rc = http_call(h, &c, &r, NULL);
    if (rc == 0 && body != nullptr) {
        *body = r.body;
    }
    http_free(h);
    return rc;
}

/* Guards against a long answer over a congested link that is aborted and
 * requested again endlessly. */
TEST(Http, AnAnswerThatMakesProgressIsAwaited)
{
    Server s(CHUNKS, 50); /* 2 s */
    std::string body;

    EXPECT_EQ(0, call(s.url, 1000, 3000, &body));
    EXPECT_EQ(CHUNKS * CHUNK.size(), body.size());
}

TEST(Http, WithoutAStallTimeoutTheWholeAnswerMustMeetTheTimeout)
{
    Server s(CHUNKS, 50);

    EXPECT_EQ(-ETIMEDOUT, call(s.url, 1000, 0));
}

/* Guards against a connection that stalls in the middle of an answer. */
TEST(Http, AStalledAnswerFails)
{
    Server s(CHUNKS / 2, 0);

    EXPECT_EQ(-ETIMEDOUT, call(s.url, 1000, 500));
}

TEST(Http, NoAnswerFails)
{
    Server s(0, 0);

    EXPECT_EQ(-ETIMEDOUT, call(s.url, 300, 10000));
}

/* Guards against a caller that can't distinguish an answer in progress from no
 * answer. */
TEST(Http, ProgressOfAnAnswerIsReported)
{
    Server s(CHUNKS / 2, 10); /* the answer stays incomplete */
    http_t *h = http_new(s.url.c_str());
    http_call_t c = {};
    http_reply_t r;
    std::vector<uint64_t> progress; /* bytes at each call */

    c.path = "/";
    c.timeout_ms = 1000;
    c.stall_timeout_ms = 300;
    c.step = "read";
    c.on_progress = [](void *arg, long status, uint64_t bytes) {
        EXPECT_EQ(200, status);
        static_cast<std::vector<uint64_t> *>(arg)->push_back(bytes);
    };
    c.arg = &progress;
    EXPECT_EQ(-ETIMEDOUT, http_call(h, &c, &r, NULL));
    ASSERT_GE(progress.size(), 2u);
    EXPECT_LT(progress.front(), progress.back());
    EXPECT_LE(progress.back(), CHUNKS / 2 * CHUNK.size());
    http_free(h);
}

/* Guards against a replica that no peer can deliver, since it is longer than
 * an answer may be: 120,000 upstreams are 11 MB. */
TEST(Http, TheReplicaOfALargeFleetIsRead)
{
    Server s(CHUNKS, 0, 11 * 1000 * 1000 / CHUNKS);
    std::string body;

    EXPECT_EQ(0, call(s.url, 5000, 5000, &body));
    EXPECT_EQ(11u * 1000 * 1000, body.size());
}

/* Guards against a server that keeps sending a few bytes without end. */
TEST(Http, AnEndlessAnswerFails)
{
    Server s(CHUNKS, 200); /* 8 s */

    EXPECT_EQ(-ETIMEDOUT, call(s.url, 1000, 1000));
}

} // namespace

namespace {

/* Answers requests on any number of connections, until those that are open go
 * silent; new ones are answered. */
class KeepAliveServer {
  public:
    KeepAliveServer()
    {
        struct sockaddr_in a = {};
        socklen_t len = sizeof(a);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(0, bind(fd, (struct sockaddr *)&a, sizeof(a)));
        EXPECT_EQ(0, listen(fd, 16));
        getsockname(fd, (struct sockaddr *)&a, &len);
        url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port));
        fds.push_back({fd, POLLIN, 0});
        thread = std::thread([this] { serve(); });
    }
    ~KeepAliveServer()
    {
        stopping = true;
        thread.join();
        for (const struct pollfd &p : fds) {
            close(p.fd);
        }
    }
    void
    silence()
    {
        n_silent = n_connections.load();
    }

    std::string url;

  private:
    void
    answer(int fd, bool silent)
    {
        static const char OK[] =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        char buf[4096];

        if (recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0 && !silent) {
            (void)!send(fd, OK, strlen(OK), MSG_NOSIGNAL);
        }
    }
    void
    serve()
    {
        while (!stopping) {
            poll(fds.data(), fds.size(), 5);
            for (size_t i = fds.size(); i-- > 1;) {
                if (fds[i].revents != 0) {
                    answer(fds[i].fd, i <= n_silent);
                }
            }
            if (fds[0].revents != 0) {
                fds.push_back({accept(fds[0].fd, NULL, NULL), POLLIN, 0});
                n_connections = fds.size() - 1;
            }
        }
    }

    std::vector<struct pollfd> fds; /* first: the listener */
    std::atomic<size_t> n_connections{0}, n_silent{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace

/* Guards against: a change that arrives late, since several idle connections
 * have gone silent together, and each of them costs a timeout of its own. */
TEST(Http, SilentConnectionsCostOneTimeout)
{
    KeepAliveServer server;
    http_t *h = http_new(server.url.c_str());
    http_call_t get = {}, post = {};
    http_reply_t r;

    get.path = post.path = "/";
    get.step = post.step = "read";
    get.timeout_ms = post.timeout_ms = 5000;
    post.method = HTTP_POST;
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(http_call(h, &get, &r, NULL), 0);
        EXPECT_EQ(http_call(h, &post, &r, NULL), 0);
    }
    server.silence();
    get.timeout_ms = 100;
    EXPECT_EQ(http_call(h, &get, &r, NULL), -ETIMEDOUT);
    get.timeout_ms = 5000; /* a loaded machine answers in time */
    EXPECT_EQ(http_call(h, &get, &r, NULL), 0);
    EXPECT_EQ(http_call(h, &get, &r, NULL), 0);
    http_free(h);
}
