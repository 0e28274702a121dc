// Guarantees that hold under any schedule of faults, tested with RapidCheck.
// Runs are reproducible: the seed is fixed unless SISKIN_SEED is set.
// SISKIN_SCHEDULES sets the number of schedules (make soak).  The output for a
// failure contains a script that can be added to core_test.cc.
#include "test/fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <stdlib.h>
#include <string.h>

static const char no_violations[] =
    "twice 0, false not-run 0, misdelivered 0, crossed 0, reverts 0";

static bool
configure(void)
{
    const char *n = getenv("SISKIN_SCHEDULES"), *seed = getenv("SISKIN_SEED");
    std::string params = "max_success=" + std::string(n ? n : "60") +
                         " seed=" + std::string(seed ? seed : "4");

    const char *rc_params = getenv("RC_PARAMS");
    bool reproducing =
        rc_params != NULL && strstr(rc_params, "reproduce") != NULL;

    return setenv("RC_PARAMS", params.c_str(), !reproducing) == 0;
}

static const bool configured = configure();

static int
random_int(int from, int to)
{
    return *rc::gen::inRange(from, to);
}

static std::string
num(int n)
{
    return std::to_string(n);
}

/* A planned change by operators. */
static std::string
random_change(int upstreams)
{
    switch (random_int(0, 8)) {
    case 0:
        return "join";
    case 1:
    case 2:
        return "leave " + num(random_int(0, 2));
    case 3:
        return "drain " + num(random_int(0, upstreams));
    case 4:
        return "undrain " + num(random_int(0, upstreams));
    case 5:
        return "weight " + num(random_int(0, upstreams)) + " " +
               num(random_int(1, 100));
    case 6:
        return "add " +
               std::string(*rc::gen::element("monitor", "archive", "raw"));
    default:
        return "push";
    }
}

static std::string
random_fault(int instances, int upstreams)
{
    std::string i = num(random_int(0, instances)),
                u = num(random_int(0, upstreams));

    switch (random_int(0, 15)) {
    case 0:
        return "kill " + i;
    case 12:
        return "up-kill " + u;
    case 13:
        return "deaf " + i + " " + num(random_int(0, instances));
    case 14:
        return "run-ms " + num(random_int(20, 4000));
    case 1:
        return "kill home:P" + num(random_int(1, 4));
    case 2:
        return "restart " + i;
    case 3:
    case 4:
        return "pause " + i + " " + num(random_int(200, 6000));
    case 5:
        return "isolate " + i;
    case 6:
        return "part " + i + " " + num(random_int(0, instances));
    case 7:
        return "cut " + i + " " + u;
    case 8:
        return "up-restart " + u + " " + num(random_int(1500, 4000));
    case 9:
        return "recycle " + num(random_int(0, 4)) + " archive";
    case 10:
        return "freeze " + u + " " + num(random_int(0, 2));
    default:
        return "heal";
    }
}

static std::string
load_line(int t)
{
    switch (t / 400 % 4) {
    case 0:
        return "post monitor 4";
    case 1:
        return "post archive 3";
    case 2:
        return "read monitor 2";
    default:
        return t < 8000 ? "feed monitor 2" : "post monitor 2";
    }
}

/* Merges LINES, by time, with load from 4 to 24 s. */
static std::string
script_of(std::multimap<int, std::string> lines)
{
    std::string s;

    lines.insert({4000, "post monitor 4"});
    for (int t = 4400; t < 24000; t += 400) {
        lines.insert({t, load_line(t)});
    }
    lines.insert({4400, "raw 6"});
    lines.insert({4500, "upload archive 2 blocks=40"});
    lines.insert({11000, "upload archive 2 blocks=20"});
    lines.insert({75000, "end"});
    for (auto &[t, line] : lines) {
        s += num(t) + " " + line + "\n";
    }
    return s;
}

RC_GTEST_PROP(AnySchedule, NoSecondRunNoFalseNotRunNoWrongService, ())
{
    fleet_options_t o;
    std::multimap<int, std::string> faults;
    int upstreams = 10;

    o.seed = (uint64_t)random_int(1, 1000000);
    o.instances = random_int(2, 8);
    o.warmup_ms = *rc::gen::element(0, 55000);
    o.loss = *rc::gen::element(0.0, 0.02, 0.15);
    o.duplicate = *rc::gen::element(0.0, 0.05);
    o.skew_ms = *rc::gen::element(300, 3000, 9000);
    o.run_ms = *rc::gen::element(20, 300, 1800, 5000);
    int n = random_int(1, 9);
    for (int k = 0; k < n; k++) {
        std::string line = random_int(0, 3) == 0
                               ? random_change(upstreams)
                               : random_fault(o.instances, upstreams);
        faults.insert({random_int(4010, 22000), line});
    }
    std::string script = script_of(faults);
    fleet_t f(o);
    f.run_script(script);
    RC_LOG() << "seed " << o.seed << " instances " << o.instances << " warm "
             << o.warmup_ms << " loss " << o.loss << " duplicate "
             << o.duplicate << " skew " << o.skew_ms << " run " << o.run_ms
             << "\n"
             << script << f.violations() << std::endl;
    RC_ASSERT(f.violations().rfind(no_violations, 0) == 0);
}

/* Planned changes alone break no flow and leave no request unanswered. */
RC_GTEST_PROP(PlannedSchedule, BreaksNothing, ())
{
    fleet_options_t o;
    std::multimap<int, std::string> changes;

    o.seed = (uint64_t)random_int(1, 1000000);
    o.instances = random_int(3, 8);
    o.skew_ms = *rc::gen::element(300, 3000);
    o.run_ms = *rc::gen::element(20, 300);
    int n = random_int(1, 7);
    for (int k = 0; k < n; k++) {
        changes.insert({random_int(4010, 22000), random_change(10)});
    }
    std::string script = script_of(changes);
    fleet_t f(o);
    f.run_script(script);
    tally_t &t = f.tally;
    RC_LOG() << "seed " << o.seed << " instances " << o.instances << " skew "
             << o.skew_ms << " run " << o.run_ms << "\n"
             << script << f.report() << "broken feeds " << t.broken_feeds
             << " uploads " << t.broken_uploads << " flows " << t.broken_flows
             << " unknown " << t.unknown << " timeouts " << t.timeouts
             << std::endl;
    RC_ASSERT(f.violations().rfind(no_violations, 0) == 0);
    RC_ASSERT(t.late_drain_work == 0);
    RC_ASSERT(t.broken_feeds + t.broken_uploads + t.broken_flows == 0);
    RC_ASSERT(t.unknown + t.timeouts == 0);
}
