/* The replica: the store's items, merged from the store and from peers. */
#include "tagged/tagged.h"

#include <cstring>
#include <errno.h>
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace {

struct Items {
    store_items_t s = {};

    Items(uint64_t revision, bool is_snapshot = false)
    {
        s.revision = revision;
        s.is_snapshot = is_snapshot;
    }
    ~Items()
    {
        store_items_free(&s);
    }
    Items &
    add(const char *key, const char *value, uint64_t revision)
    {
        store_items_add(&s, key, value, revision);
        return *this;
    }
};

class Replica : public ::testing::Test {
  protected:
    replica_t *r = replica_new(1000);
    ms_t now = 1000;

    ~Replica() override
    {
        replica_free(r);
    }

    /* Returns the changed keys, removed ones with "-" in front. */
    std::string
    merge(const Items &items)
    {
        store_items_t *s = const_cast<store_items_t *>(&items.s);
        store_items_t changed;
        std::string out;
        EXPECT_EQ(replica_merge(r, now, s, &changed), 0);
        for (size_t i = 0; i < changed.n; i++) {
            out += std::string(changed.item[i].value ? "" : "-") +
                   changed.item[i].key + " ";
        }
        store_items_free(&changed);
        return out;
    }

    /* Returns the text sent to a peer that has all changes up to AFTER. */
    store_items_t
    text(uint64_t after)
    {
        store_text_t t = replica_text(r, now, after, 0, false, CODEC_MSGPACK);
        store_items_t out;
        EXPECT_EQ(store_items_parse(&out, t.data, t.len), 0);
        free(t.data);
        return out;
    }
};

} // namespace

TEST_F(Replica, ReportsEachChangeOnce)
{
    EXPECT_EQ(merge(Items(10, true).add("b", "1", 5).add("a", "1", 10)),
              "b a ");
    EXPECT_EQ(merge(Items(12).add("a", "2", 12)), "a ");
    EXPECT_EQ(merge(Items(12).add("a", "2", 12)), "");
    EXPECT_EQ(replica_revision(r), 12u);
}

/* A peer may lag behind the store.  Its older items must not overwrite newer
 * ones. */
TEST_F(Replica, IgnoresOlderItems)
{
    merge(Items(20, true).add("a", "new", 20));
    EXPECT_EQ(merge(Items(15).add("a", "old", 15)), "");
    EXPECT_EQ(merge(Items(15, true).add("b", "gone since", 3)), "");
    EXPECT_EQ(replica_revision(r), 20u);
}

/* The store lost its history and the removal was never sent.  The list, which
 * lacks the key, implies the removal. */
TEST_F(Replica, WholeListRemovesMissingItems)
{
    merge(Items(10, true).add("a", "1", 5).add("b", "1", 6));
    EXPECT_EQ(merge(Items(30, true).add("a", "1", 5)), "-b ");
    EXPECT_EQ(merge(Items(30, true).add("a", "1", 5)), "");
}

/* A list may be older than a change received from a peer meanwhile: a key
 * missing from the list may have been created since. */
TEST_F(Replica, OlderListRemovesNothing)
{
    merge(Items(10, true).add("a", "1", 5));
    merge(Items(40).add("b", "1", 40));
    EXPECT_EQ(merge(Items(30, true).add("a", "1", 5)), "");
}

TEST_F(Replica, PeerBehindReceivesOnlyChanges)
{
    merge(Items(10, true).add("a", "1", 5).add("b", "1", 6));
    merge(Items(11).add("c", "1", 11));
    merge(Items(12).add("a", nullptr, 12));
    store_items_t out = text(10);
    EXPECT_FALSE(out.is_snapshot);
    ASSERT_EQ(out.n, 2u);
    EXPECT_STREQ(out.item[0].key, "a");
    EXPECT_EQ(out.item[0].value, nullptr);
    EXPECT_STREQ(out.item[1].key, "c");
    EXPECT_EQ(out.revision, 12u);
    store_items_free(&out);
}

TEST_F(Replica, PeerWithoutDataReceivesWholeReplica)
{
    merge(Items(10, true).add("a", "1", 5).add("b", "1", 6));
    merge(Items(12).add("a", nullptr, 12));
    store_items_t out = text(0);
    EXPECT_TRUE(out.is_snapshot);
    ASSERT_EQ(out.n, 1u);
    EXPECT_STREQ(out.item[0].key, "b");
    store_items_free(&out);
}

/* A bounded number of removals is kept.  A peer that misses older ones
 * receives the whole replica, or it would keep removed items. */
TEST_F(Replica, PrunedRemovalsForceWholeAnswer)
{
    merge(Items(10, true));
    for (uint64_t i = 1; i <= 1000; i++) {
        std::string key = "k" + std::to_string(i);
        merge(Items(10 + 2 * i).add(key.c_str(), "1", 10 + 2 * i));
        merge(Items(11 + 2 * i).add(key.c_str(), nullptr, 11 + 2 * i));
    }
    store_items_t out = text(100);
    EXPECT_TRUE(out.is_snapshot);
    EXPECT_EQ(out.n, 0u);
    store_items_free(&out);
    out = text(1900);
    EXPECT_FALSE(out.is_snapshot);
    EXPECT_LE(out.n, 256u);
    store_items_free(&out);
}

/* Guards against: instances that wait for the complete list although a peer
 * has enough of it, ones that get the same part again and again, and a part
 * that replaces data. */
TEST_F(Replica, PartsOfTheFirstListArePassedOn)
{
    Items page(0), later(0);

    page.add("a", "1", 5).add("b", "1", 6);
    page.s.part = 200;
    later.add("c", "1", 7);
    later.s.part = 400;
    EXPECT_EQ(replica_part_at(r), 0u);
    EXPECT_EQ(replica_set_part(r, &page.s), 0);
    EXPECT_EQ(replica_set_part(r, &page.s), -ESTALE);
    EXPECT_EQ(replica_set_part(r, &later.s), 0);
    EXPECT_EQ(replica_set_part(r, &page.s), -ESTALE);
    for (store_codec_t codec : {CODEC_JSON, CODEC_MSGPACK}) {
        store_text_t t = replica_part_text(r, now, codec);
        store_items_t out;
        ASSERT_EQ(store_items_parse(&out, t.data, t.len), 0);
        EXPECT_EQ(out.revision, 0u);
        EXPECT_EQ(out.part, 400u);
        ASSERT_EQ(out.n, 1u);
        EXPECT_STREQ(out.item[0].key, "c");
        free(t.data);
        store_items_free(&out);
    }
    merge(Items(10, true).add("a", "1", 5));
    EXPECT_EQ(replica_part_at(r), 0u);
    later.s.part = 800;
    EXPECT_EQ(replica_set_part(r, &later.s), -ESTALE);
}

/* Guards against: instances that read the list from the store while a peer
 * receives it, since the peer's answer doesn't state it. */
TEST_F(Replica, AnswerWithoutDataStatesItsProgress)
{
    replica_on_progress(r, 4900);
    now = 5000;
    for (store_codec_t codec : {CODEC_JSON, CODEC_MSGPACK}) {
        store_text_t t = replica_text(r, now, 0, 0, false, codec);
        store_items_t out;
        ASSERT_EQ(store_items_parse(&out, t.data, t.len), 0);
        EXPECT_EQ(out.revision, 0u);
        EXPECT_EQ(out.age, 100);
        free(t.data);
        store_items_free(&out);
    }
    EXPECT_EQ(replica_progress_at(r), 4900);
    /* Progress is no confirmation of the data that then arrives. */
    Items items(10, true);
    items.s.age = 3000;
    merge(items);
    EXPECT_EQ(replica_current_at(r), 2000);
}

/* Guards against: a peer that is a few seconds behind and receives a whole
 * large replica, since a fleet that replaces its upstreams one after the other
 * removes hundreds a second. */
TEST_F(Replica, LargerReplicasKeepMoreRemovals)
{
    Items all(20000, true);

    for (uint64_t i = 1; i <= 10000; i++) {
        all.add(("k" + std::to_string(i)).c_str(), "1", i);
    }
    merge(all);
    for (uint64_t i = 1; i <= 500; i++) {
        merge(Items(20000 + i).add(("k" + std::to_string(i)).c_str(), nullptr,
                                   20000 + i));
    }
    store_items_t out = text(20000);
    EXPECT_FALSE(out.is_snapshot);
    EXPECT_EQ(out.n, 500u);
    store_items_free(&out);
}

TEST_F(Replica, AgeIncludesSourceAge)
{
    Items items(10, true);

    now = 5000;
    items.s.age = 3000; /* from a peer, confirmed that long ago */
    merge(items);
    EXPECT_EQ(replica_current_at(r), 2000);
    items.s.age = 9000;
    merge(items);
    EXPECT_EQ(replica_current_at(r), 2000);
}

/* An instance starts, reads the store's list, and at the same time polls a
 * peer that lags behind.  The peer's answer arrives last and contains an
 * upstream that has been removed since.  If merged, the upstream would be used
 * for ever, because no source sends its removal again. */
TEST_F(Replica, PeerBehindRestoresNoRemovedItem)
{
    EXPECT_EQ(merge(Items(20, true).add("a", "1", 5)), "a ");
    EXPECT_EQ(merge(Items(12, true).add("a", "1", 5).add("gone", "1", 7)), "");
    EXPECT_EQ(merge(Items(12).add("gone", "1", 7)), "");
    EXPECT_EQ(merge(Items(22).add("new", "1", 21)), "new ");
}

/* A cached answer is sent to other peers a little later. */
TEST_F(Replica, AnswerAgeAllowsForLaterDelivery)
{
    store_items_t out;

    merge(Items(10, true));
    for (store_codec_t codec : {CODEC_JSON, CODEC_MSGPACK}) {
        store_text_t t = replica_text(r, now + 200, 0, 1000, false, codec);
        ASSERT_EQ(store_items_parse(&out, t.data, t.len), 0);
        EXPECT_EQ(out.age, 1200);
        free(t.data);
        store_items_free(&out);
    }
}

TEST_F(Replica, PeerBeforePrunedRemovalsIsBehind)
{
    merge(Items(10, true).add("a", "1", 5));
    EXPECT_TRUE(replica_is_behind(r, 0));
    EXPECT_FALSE(replica_is_behind(r, 10));
    EXPECT_FALSE(replica_is_behind(r, 12));
}

/* A source whose watch is dead counts itself as current.  Its older revision
 * shows that it is not. */
TEST_F(Replica, OlderSourceDoesNotConfirm)
{
    merge(Items(20, true));
    now = 9000;
    merge(Items(15));
    EXPECT_EQ(replica_current_at(r), 1000);
    merge(Items(20));
    EXPECT_EQ(replica_current_at(r), 9000);
}

/* In whatever order and from whichever source updates arrive, the newest
 * revision of each key wins, and the reported changes add up to that state. */
TEST_F(Replica, ConvergesInAnyOrder)
{
    rng_t rng = {11, 0};

    for (int round = 0; round < 200; round++) {
        replica_t *replica = replica_new(0);
        std::map<std::string, std::string> seen, last;
        std::map<std::string, uint64_t> at;
        std::vector<std::pair<std::string, uint64_t>> all;
        for (uint64_t rev = 1; rev <= 30; rev++) {
            all.push_back({"k" + std::to_string(rng_below(&rng, 5)), rev});
            last[all.back().first] = rev % 4 == 0 ? "" : std::to_string(rev);
            at[all.back().first] = rev;
        }
        for (int i = 0; i < 200 || replica_revision(replica) < 30; i++) {
            uint32_t from = rng_below(&rng, 30);
            uint32_t to = from + 1 + rng_below(&rng, 30 - from);
            if (from > replica_revision(replica)) {
                continue; /* a source answers from the requested revision on */
            }
            Items items(to);
            for (uint32_t k = from; k < to; k++) {
                bool gone = all[k].second % 4 == 0;
                std::string v = std::to_string(all[k].second);
                items.add(all[k].first.c_str(), gone ? nullptr : v.c_str(),
                          all[k].second);
            }
            store_items_t changed;
            ASSERT_EQ(replica_merge(replica, 0, &items.s, &changed), 0);
            for (size_t k = 0; k < changed.n; k++) {
                seen[changed.item[k].key] =
                    changed.item[k].value ? changed.item[k].value : "";
            }
            store_items_free(&changed);
        }
        EXPECT_EQ(seen, last);
        replica_free(replica);
    }
}

namespace {

/* A configuration of some 30 kB that changes by a line with each version. */
std::string
long_value(int version)
{
    std::string s = "version " + std::to_string(version) + ": ";
    for (int i = 0; i < 1000; i++) {
        s += "route " + std::to_string(i * 7919 % 100003) + " to a service, ";
    }
    return s;
}

/* A peer of R that has all changes up to REVISION. */
struct Peer {
    replica_t *r = replica_new(1000);

    Peer(int version, uint64_t revision)
    {
        Items items(revision, true);
        items.add("conf", long_value(version).c_str(), revision);
        items.add("a", "1", 3);
        store_items_t changed;
        EXPECT_EQ(replica_merge(r, 1000, &items.s, &changed), 0);
        store_items_free(&changed);
    }
    ~Peer()
    {
        replica_free(r);
    }

    /* Merges the text from FROM; returns its length, or the error. */
    int
    poll(replica_t *from, bool differences,
         std::map<std::string, std::string> *got)
    {
        store_text_t t = replica_text(from, 1000, replica_revision(r), 0,
                                      differences, CODEC_MSGPACK);
        store_items_t items, changed;
        EXPECT_EQ(store_items_parse(&items, t.data, t.len), 0);
        int rc = replica_merge(r, 1000, &items, &changed);
        for (size_t i = 0; rc == 0 && i < changed.n; i++) {
            (*got)[changed.item[i].key] = changed.item[i].value;
        }
        rc = rc < 0 ? rc : (int)t.len;
        store_items_free(&items);
        store_items_free(&changed);
        free(t.data);
        return rc;
    }
};

} // namespace

/* Guards against: a large configuration sent in full with each version, which
 * fills a slow link for seconds. */
TEST_F(Replica, SendsLongValueAsDelta)
{
    std::map<std::string, std::string> got;

    merge(Items(10, true).add("conf", long_value(1).c_str(), 10));
    merge(Items(12).add("conf", long_value(2).c_str(), 12));
    merge(Items(14).add("conf", long_value(3).c_str(), 14));
    for (int version : {1, 2}) {
        Peer peer(version, 8 + 2 * (uint64_t)version);
        got.clear();
        int len = peer.poll(r, true, &got);
        EXPECT_GT(len, 0);
        EXPECT_LT(len, 1000);
        EXPECT_EQ(got["conf"], long_value(3));
    }
}

/* Guards against: a delta to a version that the peer does not have, because
 * this instance has never seen the peer's version. */
TEST_F(Replica, RejectsDeltaToUnknownBase)
{
    std::map<std::string, std::string> got;
    Peer peer(2, 12);

    merge(Items(10, true).add("conf", long_value(1).c_str(), 10));
    merge(Items(14).add("conf", long_value(3).c_str(), 14).add("b", "1", 13));
    EXPECT_EQ(peer.poll(r, true, &got), -ESTALE);
    EXPECT_EQ(replica_revision(peer.r), 12u);
    EXPECT_GT(peer.poll(r, false, &got), 0);
    EXPECT_EQ(got["conf"], long_value(3));
    EXPECT_EQ(got["b"], "1");
}

/* Dozens of peers send the same request at the same moment.  One answer serves
 * all of them as long as it is correct for each. */
TEST(Answers, CachedChangesServeEqualRequests)
{
    const answer_query_t kept = {
        .packed = true, .whole = false, .after = 7, .revision = 9};
    answer_query_t asked = kept;

    EXPECT_TRUE(answer_is_reusable(&kept, 0, &asked));
    EXPECT_TRUE(answer_is_reusable(&kept, 100, &asked));
    EXPECT_FALSE(answer_is_reusable(&kept, 101,
                                    &asked)); /* older than its stated age */
    asked.after = 8;
    EXPECT_FALSE(answer_is_reusable(&kept, 0, &asked));
    asked = kept;
    asked.revision = 10; /* newer changes exist */
    EXPECT_FALSE(answer_is_reusable(&kept, 0, &asked));
    asked = kept;
    asked.packed = false;
    EXPECT_FALSE(answer_is_reusable(&kept, 0, &asked));
    asked = kept;
    asked.differences = true;
    EXPECT_FALSE(answer_is_reusable(&kept, 0, &asked));
    asked = kept;
    asked.whole = true;
    EXPECT_FALSE(answer_is_reusable(&kept, 0, &asked));
}

/* A peer without data receives the whole replica as of up to a second ago, and
 * then requests the changes since.  A peer that has that revision already
 * would gain nothing from it. */
TEST(Answers, CachedWholeReplicaLivesLonger)
{
    const answer_query_t kept = {
        .packed = true, .whole = true, .after = 0, .revision = 9};
    answer_query_t asked = kept;

    asked.revision = 12;
    EXPECT_TRUE(answer_is_reusable(&kept, 1000, &asked));
    EXPECT_FALSE(answer_is_reusable(&kept, 1001, &asked));
    asked.after = 8;
    EXPECT_TRUE(answer_is_reusable(&kept, 0, &asked));
    asked.after = 9;
    EXPECT_FALSE(answer_is_reusable(&kept, 0, &asked));
}
