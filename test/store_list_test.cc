/* Lists of the store's keys, read page by page, against a store in the test's
 * own process.  Anyone may write keys, of up to 200 bytes of any characters.
 */
#include "platform/platform.h"
#include "standin/rest.h"

#include <algorithm>
#include <errno.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <microhttpd.h>
#include <mutex>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace {

const size_t KEY_MAX = 200; /* bytes of a key */
const ms_t TIMEOUT_MS = 5000;

class ListedStore {
  public:
    std::vector<std::string> keys; /* in the store's order */
    size_t page_items = 1;
    /* Pages after the first begin this many keys too early. */
    size_t steps_back = 0;
    store_t *store;

    ListedStore()
    {
        rest = si_rest_open(0, serve, this, NULL);
        store = store_new(
            ("http://127.0.0.1:" + std::to_string(si_rest_port(rest)))
                .c_str());
    }
    ~ListedStore()
    {
        store_free(store);
        si_rest_close(rest);
    }
    size_t
    calls()
    {
        std::lock_guard<std::mutex> hold(lock);
        return n_calls;
    }

  private:
    si_rest_t *rest;
    std::mutex lock;
    size_t n_calls = 0;

    /* A list that never ends fails instead. */
    bool
    exceeds_calls()
    {
        return ++n_calls > 8 * (keys.size() + 2);
    }
    size_t
    first_after(const std::string &after) const
    {
        size_t at =
            std::upper_bound(keys.begin(), keys.end(), after) - keys.begin();
        return at > steps_back ? at - steps_back : 0;
    }
    json_t *
    page(const std::string &prefix, const std::string *after) const
    {
        json_t *items = json_array();
        bool more = false;
        for (size_t i = after != NULL ? first_after(*after) : 0;
             i < keys.size() && !more; i++) {
            if (keys[i].compare(0, prefix.size(), prefix) != 0) {
                continue;
            }
            more = json_array_size(items) == page_items;
            if (!more) {
                json_array_append_new(
                    items, json_pack("{ss# ss sI}", "key", keys[i].data(),
                                     (int)keys[i].size(), "value",
                                     "e30=", "rev", (json_int_t)3));
            }
        }
        return json_pack("{so sb sI}", "items", items, "has_more", (int)more,
                         "store_revision", (json_int_t)7);
    }
    /* A removal of each key. */
    json_t *
    events() const
    {
        json_t *list = json_array();
        for (const std::string &key : keys) {
            json_array_append_new(list,
                                  json_pack("{ss# sI sb}", "key", key.data(),
                                            (int)key.size(), "rev",
                                            (json_int_t)3, "tombstone", 1));
        }
        return json_pack("{so sI}", "events", list, "store_revision",
                         (json_int_t)7);
    }
    static si_reply_t
    serve(void *arg, const si_request_t *r)
    {
        ListedStore *s = static_cast<ListedStore *>(arg);
        std::lock_guard<std::mutex> hold(s->lock);
        if (s->exceeds_calls()) {
            return si_reply_error(404, "too many calls");
        }
        if (strcmp(r->path, "/api/kv-watch") == 0) {
            return {200, s->events()};
        }
        const char *text = NULL;
        size_t len = 0;
        MHD_lookup_connection_value_n((struct MHD_Connection *)r->connection,
                                      MHD_GET_ARGUMENT_KIND, "after", 5, &text,
                                      &len);
        const std::string after(text != NULL ? text : "", len);
        return {200,
                s->page(si_query(r, "prefix"), text != NULL ? &after : NULL)};
    }
};

/* Reads the topic of upstreams to its end, or to an error. */
int
list_upstreams(ListedStore *s, std::vector<std::string> *keys, err_t *e)
{
    store_items_t items = {};
    store_cursor_t at = {};
    int rc = 0;

    items.topic = TOPIC_UPSTREAMS;
    while (!at.complete && rc == 0) {
        rc = store_list_page(s->store, TIMEOUT_MS, &at, &items, e);
    }
    store_cursor_free(&at);
    keys->clear();
    for (size_t i = 0; i < items.n; i++) {
        keys->push_back(items.item[i].key);
    }
    store_items_free(&items);
    return rc;
}

std::string
repeat(const std::string &text, size_t n)
{
    std::string out;

    while (n-- > 0) {
        out += text;
    }
    return out;
}

/* A key of at most KEY_MAX bytes, with characters of one to four bytes. */
rc::Gen<std::string>
any_key()
{
    const auto character = rc::gen::element<std::string>(
        "a", "-", "/", "%", "&", "+", "#", " ", "\"", "\x01", "\xc3\xa9",
        "\xe8\xa9\xa6", "\xf0\x9f\x92\xa1");
    return rc::gen::map(
        rc::gen::pair(
            rc::gen::container<std::vector<std::string>>(character),
            rc::gen::pair(character, rc::gen::inRange<size_t>(0, KEY_MAX))),
        [](const std::pair<std::vector<std::string>,
                           std::pair<std::string, size_t>> &p) {
            std::string key = "servers/";
            for (const std::string &c : p.first) {
                key += key.size() + c.size() <= KEY_MAX ? c : "";
            }
            for (size_t i = 0; i < p.second.second; i++) {
                const std::string &c = p.second.first;
                key += key.size() + c.size() <= KEY_MAX ? c : "";
            }
            return key;
        });
}

} // namespace

/* Guards against: a list that never ends, and a process that never starts,
 * since a long key at the end of a page is cut off in the next page's path. */
TEST(StoreList, ALongKeyAtTheEndOfAPage)
{
    ListedStore s;
    const std::string foreign = "servers/dc1-" + repeat("\xe8\xa9\xa6", 60);
    std::vector<std::string> listed;
    err_t e = {};

    s.keys = {"s-instances/10.0.0.1:7002", foreign, "servers/i-1"};
    EXPECT_EQ(list_upstreams(&s, &listed, &e), 0) << e.text;
    EXPECT_EQ(listed, s.keys);
}

/* Guards against: the same in the lists of operators' requests and of the
 * operator's topic. */
TEST(StoreList, LongKeysInOtherLists)
{
    ListedStore s;
    const std::string foreign = repeat("\xe8\xa9\xa6", 60);
    store_items_t items, known = {};
    err_t e = {};

    s.keys = {"s-requests/" + foreign, "s-requests/" + foreign + "z"};
    EXPECT_EQ(store_list_requests(s.store, TIMEOUT_MS, &items, &e), 0);
    EXPECT_EQ(items.n, 2u);
    store_items_free(&items);
    s.keys = {"op/config", "op/evacuate/" + foreign,
              "op/evacuate/" + foreign + "z"};
    EXPECT_EQ(store_list_operator(s.store, TIMEOUT_MS, &known, &items, &e), 0);
    EXPECT_EQ(items.n, 3u);
    store_items_free(&items);
}

/* Guards against: a page that can't be read, and a process that never starts,
 * since a key of another writer contains a NUL character. */
TEST(StoreList, KeysWithNul)
{
    const std::string nul(1, '\0');

    for (size_t page_items : {1, 2, 5}) {
        ListedStore s;
        std::vector<std::string> listed;
        err_t e = {};
        s.page_items = page_items;
        s.keys = {"servers/a" + nul, "servers/a" + nul + "z", "servers/b",
                  "servers/c" + nul, "servers/d"};
        EXPECT_EQ(list_upstreams(&s, &listed, &e), 0) << e.text;
        EXPECT_EQ(listed,
                  (std::vector<std::string>{"servers/b", "servers/d"}));
    }
}

/* Guards against: changes that never arrive, for the same reason. */
TEST(StoreList, EventsWithNul)
{
    ListedStore s;
    store_items_t items;
    err_t e = {};

    s.keys = {"servers/a" + std::string(1, '\0'), "servers/b"};
    ASSERT_EQ(store_watch(s.store, TOPIC_UPSTREAMS, 1, 0, &items, &e), 0)
        << e.text;
    ASSERT_EQ(items.n, 1u);
    EXPECT_STREQ(items.item[0].key, "servers/b");
    store_items_free(&items);
}

/* Guards against: any key that makes a list skip or repeat others. */
RC_GTEST_PROP(StoreList, EachKeyIsListedOnce, ())
{
    const auto keys = *rc::gen::container<std::set<std::string>>(any_key());
    ListedStore s;
    std::vector<std::string> listed;
    err_t e = {};

    s.keys.assign(keys.begin(), keys.end());
    s.page_items = *rc::gen::inRange<size_t>(1, 4);
    RC_ASSERT(list_upstreams(&s, &listed, &e) == 0);
    RC_ASSERT(listed == s.keys);
}

/* Guards against: a list that is read for ever, and counts as progress, while
 * the store sends pages again that were read before. */
TEST(StoreList, RepeatedPagesFail)
{
    for (size_t steps_back : {1, 2, 3, 4}) {
        ListedStore s;
        std::vector<std::string> listed;
        err_t e = {};
        s.keys = {"sa", "sb", "sc", "sd", "se", "sf", "sg", "sh", "si"};
        s.steps_back = steps_back;
        EXPECT_EQ(list_upstreams(&s, &listed, &e), -EPROTO);
        EXPECT_EQ(std::string(e.text).find("a list page comes again"), 0u)
            << e.text;
        EXPECT_LT(s.calls(), 3 * s.keys.size());
    }
}
