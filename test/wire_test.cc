// Wire formats: encoded messages decode to the same values, and decoders
// reject arbitrary bytes only with their documented errors.
#include "wire/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string.h>
#include <errno.h>

static addr_t
addr(const char *s)
{
    addr_t a;
    EXPECT_EQ(0, addr_parse(&a, s));
    return a;
}

static const uint8_t key[PEER_KEY_LEN] = {1, 2, 3};

TEST(Addr, ReadsAndWritesBothFamilies)
{
    char buf[ADDR_STRLEN];
    for (const char *s : {"127.0.0.1:5683", "[::1]:1", "10.1.2.3:65535"}) {
        addr_t a = addr(s);
        EXPECT_STREQ(s, addr_text(&a, buf));
    }
    addr_t a;
    for (const char *s : {"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "x:1",
                          ":1", "[::1:1", "127.0.0.1:1x", ""}) {
        EXPECT_EQ(-EINVAL, addr_parse(&a, s)) << s;
    }
}

TEST(Spp, RoundTrip)
{
    spp_t in = {addr("127.0.0.9:4000"), addr("127.0.0.1:5683")}, out;
    uint8_t b[SPP_LEN];
    spp_write(b, &in);
    ASSERT_EQ(0, spp_read(&out, b, sizeof(b)));
    EXPECT_TRUE(addr_eq(&in.client, &out.client));
    EXPECT_TRUE(addr_eq(&in.service, &out.service));
    EXPECT_EQ(-EPROTO, spp_read(&out, b, SPP_LEN - 1));
    b[0] ^= 1;
    EXPECT_EQ(-EPROTO, spp_read(&out, b, sizeof(b)));
}

TEST(Coap, RoundTrip)
{
    coap_msg_t m = COAP_MSG_INIT, r;
    uint8_t b[256];
    m.type = COAP_T_CON;
    m.code = COAP_POST;
    m.mid = 0xBEEF;
    m.token_len = 3;
    memcpy(m.token, "abc", 3);
    m.observe = 0;
    m.block1 = 5 << 4 | 8 | 6;
    m.max_age = 7;
    m.path_n = 2;
    strcpy(m.path[0], "alarm");
    strcpy(m.path[1], "ack");
    strcpy(m.query, "hall=3");
    m.payload = (const uint8_t *)"on";
    m.payload_len = 2;
    int n = coap_encode(b, sizeof(b), &m);
    ASSERT_GT(n, 0);
    ASSERT_EQ(0, coap_decode(&r, b, (size_t)n));
    EXPECT_EQ(m.type, r.type);
    EXPECT_EQ(m.code, r.code);
    EXPECT_EQ(m.mid, r.mid);
    EXPECT_EQ(0, memcmp(m.token, r.token, 3));
    EXPECT_EQ(0u, r.observe);
    EXPECT_EQ(m.block1, r.block1);
    EXPECT_EQ(COAP_NONE, r.block2);
    EXPECT_EQ(7u, r.max_age);
    EXPECT_TRUE(coap_path_is(&r, "alarm", "ack"));
    EXPECT_STREQ("hall=3", r.query);
    ASSERT_EQ(2u, r.payload_len);
    EXPECT_EQ(0, memcmp("on", r.payload, 2));
    for (int cap = 0; cap < n; cap++) {
        EXPECT_EQ(-ENOSPC, coap_encode(b, (size_t)cap, &m));
    }
}

RC_GTEST_PROP(Coap, ArbitraryBytesAreHandled, (std::vector<uint8_t> b))
{
    coap_msg_t m;
    int rc = coap_decode(&m, b.data(), b.size());
    RC_ASSERT(rc == 0 || rc == -EPROTO);
    if (rc == 0 && m.payload_len > 0) {
        RC_ASSERT(m.payload + m.payload_len == b.data() + b.size());
    }
}

TEST(Peer, ForwardAndSyncRoundTrip)
{
    uint8_t b[PEER_MSG_MAX];
    peer_msg_t m = {}, r;
    m.kind = PEER_FORWARD;
    m.from = 42;
    m.forward.hops = 1;
    m.forward.version = 9;
    m.forward.service = addr("127.0.0.1:5683");
    m.forward.client = addr("127.0.0.9:4000");
    m.forward.data = (const uint8_t *)"hello";
    m.forward.len = 5;
    int n = peer_write(b, sizeof(b), &m, key);
    ASSERT_GT(n, 0);
    ASSERT_EQ(0, peer_read(&r, b, (size_t)n, key));
    EXPECT_EQ(42u, r.from);
    EXPECT_EQ(9u, r.forward.version);
    EXPECT_TRUE(addr_eq(&m.forward.client, &r.forward.client));
    ASSERT_EQ(5u, r.forward.len);
    EXPECT_EQ(0, memcmp("hello", r.forward.data, 5));

    m = {};
    m.kind = PEER_SYNC;
    m.sync.n = SYNC_PINS_MAX;
    for (int i = 0; i < SYNC_PINS_MAX; i++) {
        m.sync.pin[i] = {(uint64_t)-i, (uint64_t)i << 40,
                         (uint8_t)(i % 2 ? PIN_FLOW : PIN_UPLOAD)};
    }
    n = peer_write(b, sizeof(b), &m, key);
    ASSERT_GT(n, 0);
    ASSERT_EQ(0, peer_read(&r, b, (size_t)n, key));
    ASSERT_EQ(SYNC_PINS_MAX, r.sync.n);
    EXPECT_EQ(m.sync.pin[31].flow, r.sync.pin[31].flow);
    EXPECT_EQ(m.sync.pin[31].upstream, r.sync.pin[31].upstream);
    EXPECT_EQ(PIN_FLOW, r.sync.pin[31].kind);
}

// Guards against messages forged by a caller without the key at an instance's
// peer socket: they are rejected before any field is used.
TEST(Peer, ForgedMessageIsRefused)
{
    uint8_t b[PEER_MSG_MAX], other[PEER_KEY_LEN] = {9};
    peer_msg_t m = {}, r;
    m.kind = PEER_HINT;
    m.hint.flow = 1;
    int n = peer_write(b, sizeof(b), &m, other);
    EXPECT_EQ(-EBADMSG, peer_read(&r, b, (size_t)n, key));
    n = peer_write(b, sizeof(b), &m, key);
    b[3] ^= 1;
    EXPECT_EQ(-EBADMSG, peer_read(&r, b, (size_t)n, key));
}

RC_GTEST_PROP(Peer, ArbitraryBytesAreHandled, (std::vector<uint8_t> b))
{
    peer_msg_t m;
    int rc = peer_read(&m, b.data(), b.size(), key);
    RC_ASSERT(rc == -EBADMSG || rc == -EPROTO || rc == 0);
}
