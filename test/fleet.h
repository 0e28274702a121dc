/* fleet: instances of the pure core in one process, between fake callers,
 * upstreams, a fabric and links, under virtual time and a seeded generator.
 * A script or a property makes the faults happen; the tally says which
 * promises were broken.  Two runs with one seed and one script are the same.
 */
#ifndef SISKIN_TEST_FLEET_H
#define SISKIN_TEST_FLEET_H

#include "core/core.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

typedef std::vector<uint8_t> bytes_t;

/* The ends of a link.  Callers are one party to links: the outside. */
enum { PARTY_OUTSIDE = -1, PARTY_UPSTREAM = 1000 };

enum { SERVICE_MONITOR, SERVICE_ARCHIVE, SERVICE_RAW, SERVICE_COUNT };

class fleet_t;

/* A baseline without instances: the upstream for a caller's datagram, or -1
 * to drop it. */
typedef std::function<int(fleet_t &f, int service, const addr_t &client)>
    baseline_t;

struct fleet_options_t {
    uint64_t seed = 1;
    int instances = 5;
    ms_t warm_ms = 55000; /* it ran so long before scripts' time 0 */
    int upstreams[SERVICE_COUNT] = {4, 3, 3};
    int slots = 2;
    int queue = 4;
    ms_t run_ms = 60;  /* how long an upstream works on a request */
    bool tail = false; /* heavy-tailed, with that mean */
    int urgent_slots[SERVICE_COUNT] = {1, 0, 0};
    prefer_t prefer = PREFER_STABILITY;
    bool persist = false; /* an upload that ends is followed by another */
    baseline_t baseline;  /* in place of the cores */
    ms_t jitter_ms = 4;
    double loss = 0, duplicate = 0;
    ms_t skew_ms = 1000;       /* a version reaches instances within this */
    ms_t fabric_lag_ms = 2000; /* the fabric's list follows within this */
    ms_t suspect_ms = 600;     /* member parameters, as in member.h */
    ms_t gone_ms = 60000;
    double hear = 0.4; /* chance that 100 ms carry a peer's state across */
    uint32_t max_exchanges = 4096;
    uint32_t feed_silent_ms = 5000;
};

/* What one instance believes of another. */
struct view_t {
    bool known = false;
    member_state_t state = MEMBER_JOINING;
    uint32_t incarnation = 0;
    uint64_t version = 0;
    ms_t heard = 0, changed = 0;
};

struct queued_t {
    ms_t at;
    std::function<void()> fn;
};

struct instance_t {
    core_t *core = nullptr;
    std::string name;
    uint64_t id = 0;
    addr_t own = {};
    uint32_t incarnation = 1;
    member_state_t state = MEMBER_ACTIVE;
    bool alive = true, paused = false, left = false;
    bool in_fabric = true;
    int life = 0; /* callbacks of an earlier life are void */
    ms_t started = 0;
    ms_t doubt = INT64_MIN;
    uint64_t version = 0; /* the highest that was ever in force here */
    std::map<uint64_t, ms_t> in_force; /* version to when that began */
    std::vector<view_t> view;
    std::deque<queued_t> inbox; /* what arrived while paused */
};

/* Duplicate detection and tombstones: one for each (client, message ID). */
struct record_t {
    enum { QUEUED, RUNNING, DONE, BARRED } state = QUEUED;
    bool shed = false;  /* it did not start */
    bool acked = false; /* an empty ACK went out: the answer is separate */
    int source = 0;     /* instance, or PARTY_OUTSIDE for the return address */
    ms_t at = 0;
    std::string by; /* who was the first to have it barred */
    bytes_t answer;
};

struct job_t {
    spp_t header;
    bytes_t data;
    uint64_t key;
    ms_t deadline;
};

struct feed_t {
    spp_t header;
    bytes_t token;
    std::string id;
    int source;
    uint32_t sequence = 2;
    int unacked = 0;
    uint16_t con_mid = 0;
};

struct upstream_t {
    addr_t addr = {};
    uint64_t id = 0;
    int service = 0;
    uint32_t epoch = 1;
    bool up = true, draining = false;
    ms_t drain_from = MS_NEVER; /* no new work 4 s after this */
    ms_t run_ms = 0, up_at = 0;
    int busy = 0, reported = -1; /* -1: the truth */
    uint16_t next_mid = 1;
    std::deque<job_t> queue;
    std::map<uint64_t, record_t> records;
    std::map<std::string, feed_t> feeds;
    std::map<uint64_t, std::pair<std::string, uint32_t>> uploads;
    std::set<uint64_t> flows;
};

enum call_kind_t { CALL_POST, CALL_READ, CALL_FEED, CALL_UPLOAD, CALL_RAW };

/* What a caller asked for, and what became of it. */
struct call_t {
    call_kind_t kind = CALL_POST;
    std::string id; /* the payload by which the run log knows it */
    int service = 0;
    addr_t client = {};
    uint16_t mid = 0;
    bytes_t token;
    int sent = 0;
    bool acked = false, over = false, live = false;
    std::string outcome = "open";
    ms_t started = 0, ended = 0, heard = 0, timeout = 0;
    uint32_t block = 0, blocks = 0, next = 0;
    std::string place; /* the upstream and epoch that hold a raw flow */
    int broken = 0;
};

/* The promises, counted. */
struct tally_t {
    int twice = 0; /* a non-idempotent request that ran again */
    int false_not_run = 0;
    int misdelivered = 0; /* reached an upstream of another service */
    int crossed = 0;      /* a caller took another request's answer */
    int reverts = 0;
    int drain_work = 0; /* new work on a leaving upstream, too late */
    int broken_feeds = 0, broken_uploads = 0, broken_flows = 0;
    int done = 0, not_run = 0, unknown = 0, timeouts = 0;
    hist_t answer_ms = {};
};

class fleet_t {
  public:
    explicit fleet_t(const fleet_options_t &options);
    ~fleet_t();

    /* ---- Time ---- */
    ms_t now = 1000;
    void at(ms_t when, std::function<void()> fn);
    void after(ms_t span, std::function<void()> fn);
    void run_until(ms_t when);

    /* ---- What operators and faults do ---- */
    int join();
    void leave(int i);
    void kill(int i);
    void restart_instance(int i); /* the same name, nothing remembered */
    void pause(int i, ms_t span);
    void cut(int a, int b); /* either may be PARTY_UPSTREAM + u */
    void cut_one_way(int from, int to);
    void heal();
    void isolate(int i); /* from all instances and the platform */
    void drain(int u, bool on);
    void set_weight(int u, int weight);
    void add_upstream(int service);
    void push_conf();
    /* Down for SPAN ms, at least TRUST_MS; then a new epoch, serving SERVICE
     * (-1: as before). */
    void restart_upstream(int u, ms_t span, int service = -1);
    void kill_upstream(int u);
    void recycle(int u, int service);
    void mute(const call_t &c); /* a middlebox loses track of its flow */

    /* ---- What callers do ---- */
    /* The first copy goes out when the clock next moves.  CLIENT -1: a new
     * address. */
    call_t &open(call_kind_t kind, int service, int client = -1,
                 uint32_t blocks = 0);

    /* Runs a script; script.cc has the verbs. */
    void play(const std::string &script);

    /* ---- What is seen ---- */
    int holder(const std::string &id);   /* the upstream of a feed; or -1 */
    std::vector<int> table(int service); /* upstreams not draining */
    std::string report();   /* a line for each call, then the tally */
    std::string promises(); /* the tally's zeros alone */
    int home_of(const call_t &c);

    fleet_options_t opt;
    ms_t origin = 0; /* scripts count from here */
    tally_t tally;
    rng_t rng;
    double loss;
    std::vector<instance_t> inst;
    std::vector<upstream_t> up;
    std::deque<call_t> calls;
    /* Payload ID to the upstream and epoch of each run. */
    std::map<std::string, std::vector<std::string>> runs;
    std::map<std::string, int> forwarder; /* the last instance of each */
    std::map<std::string, ms_t> first_forwarded;
    std::vector<std::string> trace;
    bool tracing = false;

  private:
    struct event_t {
        ms_t at;
        uint64_t order;
        std::function<void()> fn;
        bool
        operator<(const event_t &o) const
        {
            return at != o.at ? at > o.at : order > o.order;
        }
    };
    struct emit_box_t {
        fleet_t *f;
        int i;
    };
    struct conf_box_t {
        conf_t conf = {};
        conf_service_t services[SERVICE_COUNT];
        std::vector<conf_upstream_t> upstreams[SERVICE_COUNT];
    };
    std::priority_queue<event_t> events;
    std::deque<emit_box_t> emit_boxes;
    uint64_t order = 0;
    std::vector<std::shared_ptr<conf_box_t>> versions; /* 0 is the first */
    bool founding = true; /* the first instances start: nothing was before */
    std::map<int, conf_upstream_t> model; /* upstream number to its entry */
    std::map<int, int> model_service;
    std::set<std::pair<int, int>> cuts;
    std::set<uint64_t> muted;      /* (client, upstream) */
    std::set<std::string> refused; /* payload IDs said to be "not run" */
    std::map<uint64_t, std::vector<size_t>> by_client;
    int next_client = 100;

    void note(const char *fmt, ...) __attribute__((format(printf, 2, 3)));
    bool chance(double p);
    bool is_cut(int a, int b) const;
    void carry(int from, int to, std::function<void()> fn);

    void start_instance(int i);
    int add_instance(const std::string &name);
    void stop_instance(int i);
    void tick(int i, int life);
    void wake(int i);
    void to_instance(int i, std::function<void(instance_t &)> fn);
    int fabric_pick();
    bool reachable(int i, int j);
    void observe(int i);
    bool observe_one(int i, int j);
    bool hear(int i, int j);
    void refute(int j, uint32_t suspected);
    void give_members(int i);
    void try_activate(int i);
    void try_stop(int i, int life);
    void give_conf(int i, uint64_t version);
    void give_history(int i);
    void take_conf(int i, uint64_t version, ms_t when);
    std::shared_ptr<conf_box_t> make_conf();
    static void emit(void *arg, const core_out_t *out);
    void from_core(int i, const core_out_t *out);
    void send_peer(int i, const core_out_t *out);
    void send_upstream(int i, const core_out_t *out);
    static std::string work_id(const uint8_t *data, size_t len);

    void upstream_add(int service);
    void upstream_receive(int u, int source, bytes_t data);
    void upstream_coap(int u, int source, const spp_t &h, bytes_t data);
    void upstream_raw(int u, int source, const spp_t &h, bytes_t data);
    bool upstream_control(int u, int source, const spp_t &h,
                          const coap_msg_t &m);
    void upstream_duplicate(int u, record_t &r, const spp_t &h,
                            const coap_msg_t &m);
    void upstream_observe(int u, int source, const spp_t &h,
                          const coap_msg_t &m, uint64_t key);
    void upstream_start(int u);
    ms_t run_span(int u, const coap_msg_t &m);
    void upstream_finish(int u, uint32_t epoch, const job_t &j);
    coap_msg_t upstream_execute(int u, const job_t &j, const coap_msg_t &m,
                                std::string &body);
    void upstream_separate(int u, uint32_t epoch, const spp_t &h, uint64_t key,
                           uint16_t mid, int tries);
    void upstream_send(int u, int dest, const spp_t &h, const bytes_t &data);
    void upstream_reply(int u, int dest, const spp_t &h, const coap_msg_t &m);
    void feed_tick(int u, uint32_t epoch, const std::string &key);
    void new_work(int u, const bytes_t &data);

    void call_send(size_t n);
    void call_retry(size_t n, uint16_t mid, ms_t span);
    void call_end(call_t &c, const char *outcome);
    void call_answer(size_t n, const coap_msg_t &m);
    void upload_answer(size_t n, const coap_msg_t &m);
    void feed_answer(size_t n, const coap_msg_t &m);
    void feed_watch(size_t n);
    void raw_tick(size_t n);
    void raw_answer(size_t n, const std::string &text);
    void reopen(size_t n);
    void client_receive(addr_t service, addr_t client, bytes_t data);
    void client_send(const addr_t &service, const addr_t &client,
                     const bytes_t &data);
    void said_not_run(const std::string &id);
};

addr_t fleet_service_addr(int service);
addr_t fleet_client_addr(int client);

#endif
