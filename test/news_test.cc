/* Updates on their way to the packets duty: those that its inbox can't take
 * remain to be applied. */
#include "tagged/tagged.h"

#include <errno.h>
#include <gtest/gtest.h>
#include <string>

namespace {

class News : public ::testing::Test {
  protected:
    tagged_t *t = static_cast<tagged_t *>(calloc(1, sizeof(tagged_t)));
    duty_t *packets;

    void
    SetUp() override
    {
        t->kern = kern_new();
        for (replica_t *&r : t->replica) {
            r = replica_new(1000);
        }
        pthread_mutex_init(&t->follow_lock, NULL);
        for (const char *name : {"packets", "serve", "follow", "operator"}) {
            duty_spec_t s = {name, NULL, NULL, 4, false, changes_free};
            ASSERT_EQ(kern_add(t->kern, &s), 0);
        }
        packets = kern_find(t->kern, "packets");
    }
    void
    TearDown() override
    {
        kern_free(t->kern);
        for (replica_t *r : t->replica) {
            replica_free(r);
        }
        free(t);
    }

    /* Applies the upstream's announcement as the store's state at REVISION. */
    int
    apply_upstream(uint64_t id, uint64_t revision)
    {
        char key[40];
        store_items_t s = {};
        int rc;

        snprintf(key, sizeof(key), "servers/%010llx", (unsigned long long)id);
        s.revision = revision;
        store_items_add(&s, key,
                        "{\"service\":\"feed\",\"address\":\"10.0.0.1:80\","
                        "\"zone\":\"dc-0\",\"slots\":2,\"state\":\"ready\"}",
                        revision);
        rc = updates_apply(t, &s);
        store_items_free(&s);
        return rc;
    }

    /* Returns the upstream announced by the next message, or 0. */
    uint64_t
    next_upstream()
    {
        void *msg;
        uint64_t id = 0;

        if (duty_take(packets, &msg, 1) == 1) {
            changes_t *c = static_cast<changes_t *>(msg);
            id = c->n == 1 ? c->event[0].upstream.id : 0;
            changes_free(c);
        }
        return id;
    }
};

} // namespace

/* Guards against lost updates when the packets duty gets no processor time
 * while updates keep arriving.  With its inbox full, an upstream's
 * announcement must not be marked as applied: no source would send it again,
 * and callers would be sent to upstreams that have left. */
TEST_F(News, FullInboxDefersUpdates)
{
    uint64_t id = 1, revision;

    while (duty_depth(packets) < duty_capacity(packets)) {
        ASSERT_EQ(apply_upstream(id, id), 1);
        id++;
    }
    revision = replica_revision(t->replica[TOPIC_UPSTREAMS]);
    EXPECT_EQ(apply_upstream(id, id), -ENOBUFS);
    EXPECT_EQ(replica_revision(t->replica[TOPIC_UPSTREAMS]), revision);
    for (uint64_t i = 1; i < id; i++) {
        EXPECT_EQ(next_upstream(), i);
    }
    EXPECT_EQ(apply_upstream(id, id), 1);
    EXPECT_EQ(next_upstream(), id);
}

/* Most answers only confirm that nothing has changed, and need no room in the
 * inbox. */
TEST_F(News, ConfirmationIsAcceptedWithFullInbox)
{
    uint64_t id = 1;

    while (duty_depth(packets) < duty_capacity(packets)) {
        ASSERT_EQ(apply_upstream(id, id), 1);
        id++;
    }
    EXPECT_EQ(apply_upstream(id - 1, id - 1), 0);
}
