// Deltas between versions: applying one yields exactly the new bytes or an
// error.
#include "plat/plat.h"

#include <errno.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string.h>
#include <string>

static blob_t
blob(const std::string &s)
{
    return {(uint8_t *)s.data(), s.size()};
}

static std::string
take_text(blob_t b)
{
    std::string s((const char *)b.data, b.len);
    blob_free(&b);
    return s;
}

static std::string
make_delta(const std::string &old, const std::string &next)
{
    blob_t a = blob(old), b = blob(next), out;
    EXPECT_EQ(0, delta_make(&a, &b, &out));
    return take_text(out);
}

// The new bytes, or the error as text.
static std::string
apply_delta(const std::string &old, const std::string &delta,
            size_t limit = BLOB_MAX)
{
    blob_t a = blob(old), d = blob(delta), out;
    int rc = delta_apply(&a, &d, limit, &out);
    return rc == 0 ? take_text(out) : std::to_string(rc);
}

static const std::string rejected = std::to_string(-EBADMSG);

// Text with N upstreams; the one at index CHANGED has another port.
static std::string
text_of(int n, int changed)
{
    std::string s;
    for (int i = 0; i < n; i++) {
        s += "[[upstream]]\nservice = \"s" + std::to_string(i % 97) +
             "\"\naddress = \"10." + std::to_string(i >> 8) + "." +
             std::to_string(i & 255) + ".1:" + (i == changed ? "9" : "5683") +
             "\"\n";
    }
    return s;
}

static std::string
edited(std::string s)
{
    for (int i = *rc::gen::inRange(0, 5); i > 0; i--) {
        size_t at = *rc::gen::inRange<size_t>(0, s.size() + 1);
        size_t cut = *rc::gen::inRange<size_t>(0, 40);
        s.replace(at, cut, *rc::gen::arbitrary<std::string>());
    }
    return s;
}

RC_GTEST_PROP(Delta, YieldsTheNewBytes, ())
{
    auto old = text_of(*rc::gen::inRange(0, 300), -1);
    auto next = edited(old);
    RC_ASSERT(apply_delta(old, make_delta(old, next)) == next);
}

RC_GTEST_PROP(Delta, IsRejectedOnAnotherBase, ())
{
    auto old = *rc::gen::arbitrary<std::string>();
    auto other = *rc::gen::arbitrary<std::string>();
    RC_PRE(old != other);
    RC_ASSERT(apply_delta(other, make_delta(old, text_of(9, 1))) == rejected);
}

// A changed byte may be one that the reader ignores; it never changes the
// result.
RC_GTEST_PROP(Delta, ReaderSurvivesChangedBytes, ())
{
    auto old = text_of(60, -1), next = text_of(60, 7);
    auto delta = edited(make_delta(old, next));
    auto got = apply_delta(old, delta);
    RC_ASSERT(got == next || got == rejected);
}

RC_GTEST_PROP(Delta, ReaderSurvivesArbitraryBytes, (const std::string &bytes))
{
    RC_ASSERT(apply_delta("", bytes) == rejected);
    RC_ASSERT(apply_delta("", make_delta("", "").substr(0, 4) + bytes) ==
              rejected);
}

// Guards against a short delta from a peer that exhausts the memory.
TEST(Delta, OutputIsLimited)
{
    std::string zeros(1 << 20, '0');
    auto delta = make_delta("", zeros);
    EXPECT_LT(delta.size(), 200u);
    EXPECT_EQ(rejected, apply_delta("", delta, zeros.size() - 1));
    EXPECT_EQ(zeros, apply_delta("", delta, zeros.size()));
    std::string forged = delta;
    forged[20] = 1; // the length in the header
    EXPECT_EQ(rejected, apply_delta("", forged));
}

// The old bytes are far longer than the default window: the match for the
// first line is as far back as the old bytes are long.
TEST(Delta, OfOneChangeIsSmallForLongTexts)
{
    auto old = text_of(100000, -1);
    EXPECT_LT(make_delta(old, text_of(100000, 3)).size(), 1000u);
    EXPECT_LT(make_delta(old, text_of(100000, 99990)).size(), 1000u);
}

// ---- Versions ----

struct Versions {
    versions_t v = {};
    ~Versions()
    {
        versions_free(&v);
    }
    int
    add(uint64_t version, const std::string &text)
    {
        return versions_add(&v, version, (ms_t)version * 10,
                            strdup(text.c_str()));
    }
};

static std::string
text_at(uint64_t version)
{
    return text_of(50, (int)(version % 50)) + std::to_string(version);
}

// Versions are added, with gaps; a peer has any of them, or none.
RC_GTEST_PROP(Versions, StepsLeadFromAnyVersionToTheNewest, ())
{
    Versions s;
    std::vector<uint64_t> all = {0};
    for (int n = *rc::gen::inRange(1, 40); n > 0; n--) {
        all.push_back(all.back() + *rc::gen::inRange<uint64_t>(1, 3));
        RC_ASSERT(s.add(all.back(), text_at(all.back())) == 0);
    }
    uint64_t have = *rc::gen::elementOf(all);
    const version_step_t *step[VERSION_STEPS_MAX + 1];
    bool full;
    size_t n = versions_steps(&s.v, have, &full, step);
    std::string text = full || have == 0 ? "" : text_at(have);
    for (size_t i = 0; i < n; i++) {
        const blob_t &d = step[i]->delta;
        text = apply_delta(text, std::string((char *)d.data, d.len));
        RC_ASSERT(text == text_at(step[i]->version));
        RC_ASSERT(step[i]->activated_at == (ms_t)step[i]->version * 10);
    }
    RC_ASSERT(text == text_at(all.back()));
    size_t kept = std::min<size_t>(all.size() - 1, VERSION_STEPS_MAX / 2);
    RC_ASSERT(!full || have < all[all.size() - kept]);
    RC_ASSERT(!full || n >= kept);
    RC_ASSERT(s.v.truncated == (s.v.oldest.version != all[1]));
}

TEST(Versions, OnlyNewerVersionsAreAdded)
{
    Versions s;
    bool full;
    const version_step_t *step[VERSION_STEPS_MAX + 1];
    EXPECT_EQ(0u, versions_steps(&s.v, 0, &full, step));
    EXPECT_EQ(0, s.add(7, "seven"));
    EXPECT_EQ(-ESTALE, s.add(7, "other"));
    EXPECT_EQ(-ESTALE, s.add(6, "six"));
    EXPECT_EQ(0u, versions_steps(&s.v, 8, &full, step));
    EXPECT_STREQ("seven", (char *)s.v.json.data);
}
