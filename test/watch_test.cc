/* Following the store: the timing of the calls, and the updates from peers for
 * each topic. */
#include "tagged/tagged.h"

#include <arpa/inet.h>
#include <cstring>
#include <errno.h>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <unistd.h>

/* Longest time between two answers of a peer, including one transfer. */
static const ms_t PEER_CONFIRM_MS = 900;

/* Guards against: an instance that counts its replica as stale although its
 * source is healthy, and repeatedly reads the store itself. */
TEST(Pace, ConfirmedReplicaIsNotStaleAtAnyLinkRate)
{
    for (ms_t change_ms : {100, 3000, 4000, 5000, 6000, 60000}) {
        for (double mbps : {0.0, 0.1, 2.0, 10.0, 200.0, 1000.0}) {
            for (store_topic_t topic : {TOPIC_UPSTREAMS, TOPIC_OPERATOR}) {
                watch_timing_t follower_timing =
                    watch_timing(topic, change_ms, mbps);
                for (double source : {0.0, 0.1, 2.0, 200.0}) {
                    watch_timing_t source_timing =
                        watch_timing(topic, change_ms, source);
                    EXPECT_GE(follower_timing.stale_ms,
                              source_timing.wait_ms + PEER_CONFIRM_MS);
                }
            }
        }
    }
}

/* Guards against: a change that arrives too late because all leaders were cut
 * off silently, and too little time was left to read the configuration. */
TEST(Pace, LeavesTimeToReadLongConfiguration)
{
    const double BYTES = 460000; /* 350 kB as the store encodes it */

    for (double mbps : {2.0, 10.0, 200.0}) {
        watch_timing_t p = watch_timing(TOPIC_OPERATOR, 5000, mbps);
        double read_ms = BYTES * 8 / (mbps * 1000);
        EXPECT_LT(p.stale_ms + read_ms, 5000) << mbps;
    }
}

/* Guards against: a time limit of less than a second for changes, which makes
 * an instance call the store without a pause. */
TEST(Pace, ShortChangeTimeKeepsPauses)
{
    watch_timing_t p = watch_timing(TOPIC_UPSTREAMS, 100, 10);

    EXPECT_GE(p.wait_ms, 1000);
    EXPECT_GT(p.coalesce_ms, 0);
}

/* Guards against: followers that leave a source on a slow link while it
 * receives the update, and fill their own links with the same transfer. */
TEST(Progress, AnswerInTransferKeepsReplicaCurrent)
{
    replica_t *r = replica_new(1000);
    store_items_t items = {}, changed;

    replica_on_progress(r, 2000);
    EXPECT_EQ(replica_current_at(r), 1000) << "nothing is known yet";
    items.revision = 5;
    items.is_snapshot = true;
    ASSERT_EQ(replica_merge(r, 1500, &items, &changed), 0);
    replica_on_progress(r, 3000);
    EXPECT_EQ(replica_current_at(r), 3000);
    replica_on_progress(r, 2500);
    EXPECT_EQ(replica_current_at(r), 3000);
    store_items_free(&changed);
    replica_free(r);
}

namespace {

/* A store that begins an answer, sends it byte by byte, and never completes
 * it.  With a body, it sends that and closes. */
class SlowStore {
  public:
    explicit SlowStore(const char *status_line = "200 OK",
                       const std::string &body = "")
        : status(status_line), whole(body)
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
    ~SlowStore()
    {
        shutdown(fd, SHUT_RDWR);
        thread.join();
        close(fd);
    }

    std::string url;

  private:
    void
    serve()
    {
        const std::string length =
            whole.empty() ? "9999" : std::to_string(whole.size());
        const std::string head = "HTTP/1.1 " + status +
                                 "\r\nContent-Length: " + length + "\r\n\r\n" +
                                 (whole.empty() ? "{\"events\":[" : whole);
        char buf[1024];
        int c = accept(fd, NULL, NULL);
        if (c < 0) {
            return; /* no request was made */
        }
        EXPECT_GT(recv(c, buf, sizeof(buf), 0), 0);
        (void)!send(c, head.data(), head.size(), MSG_NOSIGNAL);
        for (int k = 0; k < 20 && whole.empty(); k++) {
            usleep(20000);
            (void)!send(c, " ", 1, MSG_NOSIGNAL);
        }
        close(c);
    }

    std::string status, whole;
    int fd;
    std::thread thread;
};

/* An instance with revision 5 of each topic, as of time 1. */
class Watch : public ::testing::Test {
  protected:
    tagged_t *t = static_cast<tagged_t *>(calloc(1, sizeof(tagged_t)));
    watch_t w;

    void
    open(const std::string &url)
    {
        t->kern = kern_new();
        for (const char *name : {"packets", "serve"}) {
            duty_spec_t spec = {name, NULL, NULL, 4, false, NULL};
            ASSERT_EQ(kern_add(t->kern, &spec), 0);
        }
        pthread_mutex_init(&t->follow_lock, NULL);
        for (int i = 0; i < TOPICS; i++) {
            store_items_t items = {}, changed;
            items.revision = 5;
            items.is_snapshot = true;
            t->replica[i] = replica_new(1);
            t->store[i] = store_new(url.c_str());
            ASSERT_EQ(replica_merge(t->replica[i], 1, &items, &changed), 0);
            store_items_free(&changed);
        }
        watch_init(&w, t, TOPIC_OPERATOR, 5000);
    }
    void
    TearDown() override
    {
        for (int i = 0; i < TOPICS; i++) {
            replica_free(t->replica[i]);
            store_free(t->store[i]);
        }
        kern_free(t->kern);
        free(t);
    }
};

} // namespace

/* Guards against: followers that count a source as cut off while a store's
 * answer arrives there over a slow link. */
TEST_F(Watch, AnswerInTransferKeepsTopicCurrent)
{
    SlowStore store;
    ms_t before = clock_now();

    open(store.url);
    watch_once(&w);
    EXPECT_TRUE(w.failed); /* the answer was incomplete */
    EXPECT_GE(replica_current_at(t->replica[TOPIC_OPERATOR]), before);
    EXPECT_EQ(replica_current_at(t->replica[TOPIC_UPSTREAMS]), 1);
}

/* Guards against: a leader that the store refuses, and that looks current to
 * its followers because refusals keep arriving. */
TEST_F(Watch, RefusalInTransferDoesNotKeepTopicCurrent)
{
    SlowStore store("429 Too Many Requests");

    open(store.url);
    watch_once(&w);
    EXPECT_TRUE(w.failed);
    EXPECT_EQ(replica_current_at(t->replica[TOPIC_OPERATOR]), 1);
}

/* Guards against: peers that wait for an instance which reads the first part
 * of the list again and again. */
TEST_F(Watch, OnlyNewPartsOfTheListAreProgress)
{
    for (size_t read_before : {0, 500}) {
        SlowStore store;
        open(store.url);
        watch_init(&w, t, TOPIC_UPSTREAMS, 5000);
        w.needs_resync = true;
        w.n_read_max = read_before;
        watch_once(&w);
        EXPECT_TRUE(w.failed);
        EXPECT_EQ(replica_progress_at(t->replica[TOPIC_UPSTREAMS]) > 1,
                  read_before == 0);
        if (read_before == 0) {
            TearDown();
            t = static_cast<tagged_t *>(calloc(1, sizeof(tagged_t)));
        }
    }
}

/* Guards against: an instance that follows peers after the store has failed,
 * and reports the store as down for ever. */
TEST_F(Watch, RetriesFailedStoreUntilItAnswers)
{
    SlowStore store("200 OK", "{\"items\":[],\"has_more\":false,"
                              "\"store_revision\":9}");
    duty_spec_t spec = {"operator", operator_run, t, 4, false, NULL};

    open(store.url);
    t->settings.apply_ms = 600000; /* nothing becomes stale */
    replica_on_progress(t->replica[TOPIC_OPERATOR], clock_now());
    ASSERT_EQ(kern_add(t->kern, &spec), 0);
    ASSERT_EQ(kern_start(t->kern), 0);
    for (int i = 0; i < 3000 && !ATOMIC_GET(t, store_up); i++) {
        usleep(10000);
    }
    EXPECT_TRUE(ATOMIC_GET(t, store_up));
    EXPECT_EQ(replica_revision(t->replica[TOPIC_OPERATOR]), 9u);
    EXPECT_EQ(kern_stop(t->kern, 10000), 0);
}

/* Guards against: a watch that transfers every version of a series, one after
 * the other, after the store was unavailable. */
TEST_F(Watch, ListsOperatorTopicAfterFailure)
{
    SlowStore store;

    open(store.url);
    EXPECT_FALSE(w.needs_resync);
    EXPECT_GT(watch_once(&w), 0);
    EXPECT_TRUE(w.needs_resync);
}

/* An old peer's JSON is read as before, and both codecs carry the same. */
TEST(Topics, RoundTripsText)
{
    std::string upstreams = "{\"revision\":7,\"whole\":true,\"age_ms\":20,"
                            "\"items\":[{\"key\":\"servers/a\","
                            "\"value\":\"1\",\"revision\":6}]}";
    std::string op = "{\"revision\":9,\"whole\":false,\"age_ms\":30,"
                     "\"items\":[{\"key\":\"op/x\",\"revision\":8}]}";
    std::string both =
        "{\"upstreams\":" + upstreams + ",\"operator\":" + op + "}";
    store_items_t s[TOPICS];

    ASSERT_EQ(store_topics_parse(s, both.data(), both.size()), 0);
    for (store_codec_t codec : {CODEC_JSON, CODEC_MSGPACK}) {
        store_text_t text[TOPICS], joined;
        for (int i = 0; i < TOPICS; i++) {
            text[i] = store_items_serialise(&s[i], codec);
        }
        joined = store_topics_serialise(text, codec);
        store_topics_free(s);
        ASSERT_EQ(store_topics_parse(s, joined.data, joined.len), 0);
        EXPECT_EQ(s[TOPIC_UPSTREAMS].topic, TOPIC_UPSTREAMS);
        EXPECT_EQ(s[TOPIC_UPSTREAMS].revision, 7u);
        EXPECT_TRUE(s[TOPIC_UPSTREAMS].is_snapshot);
        ASSERT_EQ(s[TOPIC_UPSTREAMS].n, 1u);
        EXPECT_STREQ(s[TOPIC_UPSTREAMS].item[0].key, "servers/a");
        EXPECT_STREQ(s[TOPIC_UPSTREAMS].item[0].value, "1");
        EXPECT_EQ(s[TOPIC_OPERATOR].topic, TOPIC_OPERATOR);
        EXPECT_EQ(s[TOPIC_OPERATOR].revision, 9u);
        EXPECT_EQ(s[TOPIC_OPERATOR].age, 30);
        ASSERT_EQ(s[TOPIC_OPERATOR].n, 1u);
        EXPECT_EQ(s[TOPIC_OPERATOR].item[0].value, nullptr);
        free(joined.data);
        free(text[TOPIC_UPSTREAMS].data);
        free(text[TOPIC_OPERATOR].data);
    }
    store_topics_free(s);
}

/* Guards against: a peer of another release, or a truncated answer, of which
 * the one half would count as complete. */
TEST(Topics, RejectsAnswerWithoutBothTopics)
{
    store_items_t s[TOPICS];

    for (const char *text :
         {"", "{}", "{\"upstreams\":{\"revision\":7,\"items\":[]}}",
          "{\"upstreams\":{\"revision\":7,\"items\":[]},"
          "\"operator\":{\"revision\":7}}"}) {
        EXPECT_EQ(store_topics_parse(s, text, strlen(text)), -EPROTO) << text;
    }
    for (std::string text :
         {std::string("\x92\x95\x07\xc3\x00\x90\x00", 7), std::string("\xc0"),
          std::string("\x91\x95\x07\xc3\x00\x90\x00", 7),
          std::string("\x92\xdd\xff\xff\xff\xff\x90", 7),
          std::string("\x92\xdf\x7f\xff\xff\xff\x90", 7),
          std::string("\x92\xdb\x7f\xff\xff\xff\x90", 7),
          std::string("\x92\xdd\xff\xff", 4), std::string("\x92\xcb", 2)}) {
        EXPECT_EQ(store_topics_parse(s, text.data(), text.size()), -EPROTO);
    }
}
