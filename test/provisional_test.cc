/* What an instance has while it reads the first list of upstreams. */
#include "tagged/tagged.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace {

changes_t *
changes(const std::vector<uint64_t> &ids)
{
    changes_t *c = static_cast<changes_t *>(
        calloc(1, sizeof(changes_t) + ids.size() * sizeof(store_event_t)));

    for (uint64_t id : ids) {
        c->event[c->n].kind = STORE_UPSTREAM;
        c->event[c->n].upstream.id = id;
        c->event[c->n++].upstream.entry = 100 + id;
    }
    return c;
}

void
on_remove(void *arg, uint64_t id, uint64_t entry)
{
    EXPECT_EQ(entry, 100 + id);
    static_cast<std::set<uint64_t> *>(arg)->insert(id);
}

} // namespace

/* Guards against: an upstream that left between the part of the list and the
 * complete one, and that stays in use since no source reports its removal. */
TEST(Provisional, WhatTheCompleteListLacksIsRemoved)
{
    provisional_t v = {};
    std::set<uint64_t> removed;
    changes_t *first = changes({5, 1, 9}), *second = changes({7, 3});
    changes_t *list = changes({1, 2, 3, 5, 7});

    provisional_add(&v, 1000, first);
    provisional_add(&v, 1200, second);
    EXPECT_EQ(provisional_end(&v, list, on_remove, &removed), 1u);
    EXPECT_EQ(removed, std::set<uint64_t>{9});
    EXPECT_FALSE(provisional_expired(&v, 1000000));
    free(first);
    free(second);
    free(list);
}

/* Guards against: an instance that serves by a part of the list for ever. */
TEST(Provisional, WithoutTheCompleteListAllExpire)
{
    provisional_t v = {};
    std::set<uint64_t> removed;
    changes_t *part = changes({5, 1});

    EXPECT_FALSE(provisional_expired(&v, 5000));
    provisional_add(&v, 1000, part);
    EXPECT_FALSE(provisional_expired(&v, 1500));
    provisional_add(&v, 2000, part); /* the list makes progress */
    EXPECT_FALSE(provisional_expired(&v, 2900));
    EXPECT_TRUE(provisional_expired(&v, 5000));
    EXPECT_EQ(provisional_end(&v, nullptr, on_remove, &removed), 4u);
    EXPECT_EQ(removed, (std::set<uint64_t>{1, 5}));
    free(part);
}

/* Guards against: memory that grows with the packets of a long start. */
TEST(Provisional, ParkedPacketsAreBounded)
{
    parked_t k = {};
    uint8_t data[PACKET_MAX_LEN] = {7};

    for (int i = 0; i < 5000; i++) {
        parked_add(&k, i, data, i % 2 ? sizeof(data) : PACKET_HEADER_LEN);
    }
    EXPECT_LE(k.n, 512u);
    ASSERT_GE(k.n, 2u);
    EXPECT_EQ(k.packet[1].arrived, 1);
    EXPECT_EQ(k.packet[1].len, sizeof(data));
    EXPECT_EQ(k.packet[1].data[0], 7);
    parked_free(&k);
    EXPECT_EQ(k.n, 0u);
}
