/* balance: measures the distribution of requests and connections, the latency
 * of urgent requests under a flood of bulk uploads, and the flows that each
 * change breaks.  Covers both sites of the brief and compares with baseline
 * policies in the same run.  Under virtual time, the figures depend only on
 * the seed.
 *
 * usage: balance [SEED]
 */
#include "test/fleet.h"

#include <algorithm>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

struct site_t {
    const char *name;
    int instances, upstreams[SERVICE_COUNT], slots;
};

/* The raw service models the long opaque flows of the first service. */
static const site_t sites[] = {
    {"Moravia", 7, {15, 4, 15}, 2},
    {"Bogota", 9, {15, 4, 15}, 3},
};

enum policy_t {
    POLICY_SISKIN,
    POLICY_SISKIN_BALANCE,
    POLICY_RANDOM,
    POLICY_HASH,
    POLICY_LEAST,
    POLICY_IDEAL,
    POLICY_COUNT
};

static const char *const policy_names[] = {
    "siskinfork, stability",
    "siskinfork, balance",
    "random",
    "plain hash",
    "least reported load",
    "least load, seen at once",
};

static uint64_t seed = 1;

/* ---- Baselines ---- */

static int
random_choice(fleet_t &f, int service, const addr_t &)
{
    std::vector<int> t = f.active_upstreams(service);

    return t.empty() ? -1 : t[rng_below(&f.rng, (uint32_t)t.size())];
}

static int
hash_choice(fleet_t &f, int service, const addr_t &client)
{
    uint64_t key = addr_id(&client), best = 0;
    int choice = -1;

    for (int u : f.active_upstreams(service)) {
        uint64_t score = hash_mix(key, f.upstreams[u].id);
        if (choice < 0 || score > best) {
            choice = u;
            best = score;
        }
    }
    return choice;
}

/* Load reports, read every INTERVAL ms. */
struct reports_t {
    ms_t interval;
    std::vector<int> load;
    ms_t read_at = -1000;
};

/* Selects the upstream with the lowest reported load; ties at random. */
static int
least_choice(fleet_t &f, int service, reports_t &r)
{
    int choice = -1, ties = 0;

    if (f.now - r.read_at >= r.interval) {
        r.read_at = f.now;
        r.load.clear();
        for (const upstream_t &u : f.upstreams) {
            r.load.push_back(u.reported_busy >= 0
                                 ? u.reported_busy
                                 : u.busy + (int)u.queue.size());
        }
    }
    for (int u : f.active_upstreams(service)) {
        if ((size_t)u >= r.load.size()) {
            continue;
        }
        if (choice < 0 || r.load[u] < r.load[choice]) {
            choice = u;
            ties = 1;
        }
        else if (r.load[u] == r.load[choice] &&
                 rng_below(&f.rng, (uint32_t)++ties) == 0) {
            choice = u;
        }
    }
    return choice;
}

static fleet_options_t
policy_options(const site_t &site, policy_t policy)
{
    fleet_options_t o;

    o.seed = seed;
    o.instances = site.instances;
    std::copy(site.upstreams, site.upstreams + SERVICE_COUNT, o.upstreams);
    o.slots = site.slots;
    o.urgent_slots[SERVICE_ARCHIVE] = 1;
    o.max_exchanges = 65536; /* 247 s of requests at the busiest owner */
    o.prefer =
        policy == POLICY_SISKIN_BALANCE ? PREFER_BALANCE : PREFER_STABILITY;
    if (policy == POLICY_RANDOM) {
        o.baseline = random_choice;
    }
    else if (policy == POLICY_HASH) {
        o.baseline = hash_choice;
    }
    else if (policy == POLICY_LEAST || policy == POLICY_IDEAL) {
        auto r = std::make_shared<reports_t>();
        r->interval = policy == POLICY_LEAST ? 1000 : 0;
        o.baseline = [r](fleet_t &f, int service, const addr_t &) {
            return least_choice(f, service, *r);
        };
    }
    return o;
}

/* ---- Measurements ---- */

struct spread_t {
    std::vector<double> all;
    double ratio = 0;
    int samples = 0;

    void
    add(const std::vector<int> &values)
    {
        double sum = 0, most = 0;
        for (int v : values) {
            all.push_back(v);
            sum += v;
            most = std::max(most, (double)v);
        }
        if (sum > 0) {
            ratio += most / (sum / (double)values.size());
            samples++;
        }
    }

    double
    max_mean() const
    {
        return samples > 0 ? ratio / samples : 0;
    }

    double
    p99_mean()
    {
        double sum = 0;
        std::sort(all.begin(), all.end());
        for (double v : all) {
            sum += v;
        }
        return sum > 0
                   ? all[all.size() * 99 / 100] / (sum / (double)all.size())
                   : 0;
    }
};

static std::vector<int>
queue_lengths(fleet_t &f, int service)
{
    std::vector<int> v;

    for (int u : f.active_upstreams(service)) {
        v.push_back(f.upstreams[u].busy + (int)f.upstreams[u].queue.size());
    }
    return v;
}

static ms_t
quantile(std::vector<ms_t> v, double q)
{
    std::sort(v.begin(), v.end());
    return v.empty() ? -1 : v[(size_t)(q * (double)(v.size() - 1))];
}

struct result_t {
    spread_t spread;
    std::vector<ms_t> latencies; /* of answered requests */
    int requests = 0, refused = 0;
};

/* Opens RATE requests per second for DURATION ms, with exponential
 * interarrival times. */
static result_t
offer_load(fleet_t &f, int service, double rate, ms_t duration)
{
    result_t r;
    double next = (double)f.now;
    ms_t end = f.now + duration;
    size_t first = f.calls.size();
    ms_t sample = f.now;

    while (next < (double)end) {
        double x = (rng_below(&f.rng, 1000000) + 1) / 1000001.0;
        next -= log(x) * 1000 / rate;
        while (sample < (ms_t)next && sample < end) {
            f.run_until(sample);
            r.spread.add(queue_lengths(f, service));
            sample += 50;
        }
        f.run_until((ms_t)next);
        f.open(CALL_POST, service);
    }
    f.run_until(end + 20000);
    for (size_t i = first; i < f.calls.size(); i++) {
        const call_t &c = f.calls[i];
        if (c.kind != CALL_POST) {
            continue;
        }
        r.requests++;
        r.refused += c.outcome == "not run";
        if (c.outcome == "done") {
            r.latencies.push_back(c.ended - c.started);
        }
    }
    return r;
}

static void
print_spread(const char *name, result_t &r)
{
    printf("  %-24s %8.2f %8.2f %9.2f%% %7d %7d\n", name, r.spread.max_mean(),
           r.spread.p99_mean(), 100.0 * r.refused / r.requests,
           (int)quantile(r.latencies, 0.5), (int)quantile(r.latencies, 0.99));
}

static void
print_request_spread(const site_t &site, bool frozen)
{
    double slots = site.upstreams[SERVICE_MONITOR] * site.slots;

    printf("\n%s: requests at 0.7 of %.0f slots, heavy-tailed, mean 200 ms%s\n"
           "  %-24s %8s %8s %10s %7s %7s\n",
           site.name, slots,
           frozen ? "; 5 of 15 load reports frozen at idle" : "", "policy",
           "max/mean", "p99/mean", "refused", "p50 ms", "p99 ms");
    for (int p = 0; p < POLICY_COUNT; p++) {
        fleet_options_t o = policy_options(site, (policy_t)p);
        o.run_ms = 200;
        o.heavy_tail = true;
        fleet_t f(o);
        for (int u = 0; frozen && u < 5; u++) {
            f.upstreams[u].reported_busy = 0;
        }
        result_t r = offer_load(f, SERVICE_MONITOR, 0.7 * slots / 0.2, 60000);
        print_spread(policy_names[p], r);
    }
}

static void
print_flood_latency(const site_t &site)
{
    printf("\n%s: urgent requests at the %d archive servers, 100 ms each,\n"
           "0.3 of the slots, without and with 60 uploaders that never stop\n"
           "  %-24s %9s %9s %9s %9s %9s %9s\n",
           site.name, site.upstreams[SERVICE_ARCHIVE], "policy", "p50 ms",
           "p99 ms", "p50 flood", "p99 flood", "refused", "uploaded");
    for (int p = 0; p < POLICY_COUNT; p++) {
        ms_t wait[4];
        int refused = 0, total = 0, uploaded = 0;
        for (int flooded = 0; flooded < 2; flooded++) {
            fleet_options_t o = policy_options(site, (policy_t)p);
            o.run_ms = 100;
            o.repeat_uploads = true;
            fleet_t f(o);
            for (int i = 0; flooded && i < 60; i++) {
                f.open(CALL_UPLOAD, SERVICE_ARCHIVE, -1, 100);
            }
            double rate = 0.3 * 4 * site.slots / 0.1;
            result_t r = offer_load(f, SERVICE_ARCHIVE, rate, 60000);
            wait[2 * flooded] = quantile(r.latencies, 0.5);
            wait[2 * flooded + 1] = quantile(r.latencies, 0.99);
            refused = r.refused;
            total = r.requests;
            for (const call_t &c : f.calls) {
                uploaded += c.kind == CALL_UPLOAD && c.outcome == "done";
            }
        }
        printf("  %-24s %9d %9d %9d %9d %8.2f%% %9d\n", policy_names[p],
               (int)wait[0], (int)wait[1], (int)wait[2], (int)wait[3],
               100.0 * refused / total, uploaded);
    }
}

static void
print_flow_spread(const site_t &site)
{
    printf("\n%s: 3,000 long flows over 15 upstreams\n"
           "  %-24s %8s %8s\n",
           site.name, "policy", "max/mean", "p99/mean");
    for (int p = 0; p < POLICY_COUNT; p++) {
        fleet_t f(policy_options(site, (policy_t)p));
        for (int i = 0; i < 3000; i++) {
            f.open(CALL_RAW, SERVICE_RAW);
            f.run_until(f.now + 5);
        }
        f.run_until(f.now + 3000);
        std::map<std::string, int> flows;
        for (const call_t &c : f.calls) {
            flows[c.upstream_epoch]++;
        }
        flows.erase("");
        std::vector<int> v;
        for (auto &[upstream_epoch, n] : flows) {
            v.push_back(n);
        }
        spread_t s;
        s.add(v);
        printf("  %-24s %8.2f %8.2f\n", policy_names[p], s.max_mean(),
               s.p99_mean());
    }
}

/* ---- Changes ---- */

static const struct {
    const char *name, *script;
} changes[] = {
    {"an upstream joins", "6000 add monitor\n6000 add raw"},
    {"an upstream drains", "6000 drain 0\n6000 drain 19"},
    {"weights change", "6000 weight 1 40\n6000 weight 20 40"},
    {"an instance joins", "6000 join"},
    {"an instance leaves", "6000 leave 1"},
    {"all instances are replaced",
     "6000 join\n9000 leave 0\n12000 join\n15000 leave 1\n18000 join\n"
     "21000 leave 2"},
    {"an instance dies", "6000 kill 1"},
    {"two instances die", "6000 kill 1\n6000 kill 2"},
    {"an instance stops for 10 s", "6000 pause 1 10000"},
    {"an upstream dies", "6000 up-kill 0"},
};

static void
print_broken(const site_t &site)
{
    printf("\n%s: broken of 300 feeds, 300 opaque flows, 20 uploads\n"
           "(each as feeds/flows/uploads)\n  %-28s",
           site.name, "change");
    for (const char *name : policy_names) {
        printf(" %-12.12s", name);
    }
    printf("\n");
    for (auto &change : changes) {
        printf("  %-28s", change.name);
        for (int p = 0; p < POLICY_COUNT; p++) {
            fleet_t f(policy_options(site, (policy_t)p));
            f.run_script("3000 feed monitor 300\n3000 raw 300\n"
                         "5000 upload archive 20 blocks=60\n" +
                         std::string(change.script) + "\n60000 end");
            char text[32];
            snprintf(text, sizeof(text), "%d/%d/%d", f.tally.broken_feeds,
                     f.tally.broken_flows, f.tally.broken_uploads);
            printf(" %-12s", text);
        }
        printf("\n");
    }
}

int
main(int argc, char **argv)
{
    if (argc > 1) {
        seed = strtoull(argv[1], NULL, 10);
    }
    printf("seed %llu\n", (unsigned long long)seed);
    for (const site_t &site : sites) {
        print_request_spread(site, false);
        print_request_spread(site, true);
        print_flood_latency(site);
        print_flow_spread(site);
        print_broken(site);
    }
    return 0;
}
