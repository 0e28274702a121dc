/* Following the store: the pace of the calls, and what peers tell of each
 * topic.
 */
#include "tagged/tagged.h"

#include <cstring>
#include <errno.h>
#include <gtest/gtest.h>

/* Longest time between two answers of a peer, with what one may take. */
static const ms_t PEER_MS = 900;

/* Guards against: an instance that takes what it knows for old although its
 * source is well, and reads the store itself, again and again. */
TEST(Pace, InCalmNothingLooksOldWhateverTheLinks)
{
    for (ms_t change_ms : {100, 3000, 4000, 5000, 6000, 60000}) {
        for (double mbps : {0.0, 0.1, 2.0, 10.0, 200.0, 1000.0}) {
            for (store_topic_t topic : {TOPIC_UPSTREAMS, TOPIC_OPERATOR}) {
                watch_pace_t own = watch_pace(topic, change_ms, mbps);
                for (double source : {0.0, 0.1, 2.0, 200.0}) {
                    watch_pace_t its = watch_pace(topic, change_ms, source);
                    EXPECT_GE(own.stale_ms, its.wait_ms + PEER_MS);
                }
            }
        }
    }
}

/* Guards against: a change that nobody heard of in time because all leaders
 * were cut off silently, and too little time was left to read it. */
TEST(Pace, WhatIsLeftIsEnoughToReadALongConfiguration)
{
    const double BYTES = 460000; /* 350 kB as the store sends it */

    for (double mbps : {2.0, 10.0, 200.0}) {
        watch_pace_t p = watch_pace(TOPIC_OPERATOR, 5000, mbps);
        double read_ms = BYTES * 8 / (mbps * 1000);
        EXPECT_LT(p.stale_ms + read_ms, 5000) << mbps;
    }
}

/* Guards against: changes that are due within a second and make an instance
 * ask the store without a pause. */
TEST(Pace, ChangesThatAreDueSoonAreNotFollowedWithoutAPause)
{
    watch_pace_t p = watch_pace(TOPIC_UPSTREAMS, 100, 10);

    EXPECT_GE(p.wait_ms, 1000);
    EXPECT_GT(p.gather_ms, 0);
}

/* Guards against: followers that leave a source over a slow link while it
 * receives what they wait for, and fill their own links with the same. */
TEST(Progress, AnAnswerThatArrivesKeepsAReplicaCurrent)
{
    replica_t *r = replica_new(1000);
    store_items_t items = {}, changed;

    replica_on_progress(r, 2000);
    EXPECT_EQ(replica_current_at(r), 1000) << "nothing is known yet";
    items.revision = 5;
    items.whole = true;
    ASSERT_EQ(replica_merge(r, 1500, &items, &changed), 0);
    replica_on_progress(r, 3000);
    EXPECT_EQ(replica_current_at(r), 3000);
    replica_on_progress(r, 2500);
    EXPECT_EQ(replica_current_at(r), 3000);
    store_items_free(&changed);
    replica_free(r);
}

TEST(Topics, TextAndBack)
{
    char upstreams[] = "{\"revision\":7,\"whole\":true,\"age_ms\":20,"
                       "\"items\":[{\"key\":\"servers/a\",\"value\":\"1\","
                       "\"revision\":6}]}";
    char op[] = "{\"revision\":9,\"whole\":false,\"age_ms\":30,"
                "\"items\":[]}";
    char *const text[TOPICS] = {upstreams, op};
    char *both = store_topics_write(text);
    store_items_t s[TOPICS];

    ASSERT_EQ(store_topics_parse(s, both), 0);
    EXPECT_EQ(s[TOPIC_UPSTREAMS].topic, TOPIC_UPSTREAMS);
    EXPECT_EQ(s[TOPIC_UPSTREAMS].revision, 7u);
    ASSERT_EQ(s[TOPIC_UPSTREAMS].n, 1u);
    EXPECT_STREQ(s[TOPIC_UPSTREAMS].item[0].key, "servers/a");
    EXPECT_EQ(s[TOPIC_OPERATOR].topic, TOPIC_OPERATOR);
    EXPECT_EQ(s[TOPIC_OPERATOR].revision, 9u);
    EXPECT_EQ(s[TOPIC_OPERATOR].age, 30);
    store_topics_free(s);
    free(both);
}

/* Guards against: a peer of another release, or an answer cut short, whose
 * half would be taken for all there is. */
TEST(Topics, WithoutBothTheAnswerIsRefused)
{
    store_items_t s[TOPICS];

    for (const char *text :
         {"", "{}", "{\"upstreams\":{\"revision\":7,\"items\":[]}}",
          "{\"upstreams\":{\"revision\":7,\"items\":[]},"
          "\"operator\":{\"revision\":7}}"}) {
        EXPECT_EQ(store_topics_parse(s, text), -EPROTO) << text;
    }
}
