/* fleet: a deterministic simulation of a site.  Runs several instances of
 * core/ in one process, with simulated callers, upstreams, fabric and links,
 * under virtual time and a seeded random number generator.  A script or a
 * property test injects faults; the tally counts violated guarantees.  Two
 * runs with the same seed and script are identical.
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

/* Endpoints of a link.  All callers share one endpoint, PARTY_OUTSIDE. */
enum { PARTY_OUTSIDE = -1, PARTY_UPSTREAM = 1000 };

enum { SERVICE_MONITOR, SERVICE_ARCHIVE, SERVICE_RAW, SERVICE_COUNT };

class fleet_t;

/* A load-balancing policy that replaces the instances.  Returns the upstream
 * for a caller's datagram, or -1 to drop the datagram. */
typedef std::function<int(fleet_t &f, int service, const addr_t &client)>
    baseline_t;

struct fleet_options_t {
    uint64_t seed = 1;
    int instances = 5;
    ms_t warmup_ms = 55000; /* virtual time before a script's time 0 */
    int upstreams[SERVICE_COUNT] = {4, 3, 3};
    int slots = 2;
    int queue = 4;
    ms_t run_ms = 60;        /* time that an upstream works on a request */
    bool heavy_tail = false; /* heavy-tailed times with mean run_ms */
    int urgent_slots[SERVICE_COUNT] = {1, 0, 0};
    prefer_t prefer = PREFER_STABILITY;
    bool repeat_uploads = false; /* start a new upload when one ends */
    baseline_t baseline;         /* replaces the cores */
    ms_t jitter_ms = 4;
    double loss = 0, duplicate = 0;
    ms_t skew_ms = 1000;       /* a version reaches all instances within it */
    ms_t fabric_lag_ms = 2000; /* update delay of the fabric's list */
    ms_t suspect_ms = 600;     /* membership parameters, as in member.h */
    ms_t gone_ms = 60000;
    /* Probability that a peer's state arrives within 100 ms. */
    double update_chance = 0.4;
    uint32_t max_exchanges = 4096;
    uint32_t feed_silent_ms = 5000;
};

/* One instance's view of another. */
struct peer_view_t {
    bool listed = false;
    member_state_t state = MEMBER_JOINING;
    uint32_t incarnation = 0;
    uint64_t version = 0;
    ms_t last_heartbeat = 0, changed_at = 0;
};

struct queued_datagram_t {
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
    bool alive = true, paused = false, left_cleanly = false;
    bool in_fabric = true;
    int generation = 0; /* callbacks of an earlier generation do nothing */
    ms_t started = 0;
    ms_t uncertain_at = INT64_MIN;
    uint64_t version = 0;                /* the highest ever applied here */
    std::map<uint64_t, ms_t> applied_at; /* by version */
    std::vector<peer_view_t> view;
    std::deque<queued_datagram_t> inbox; /* received while paused */
};

/* Duplicate detection and cancellations, by (client, message ID). */
struct record_t {
    enum { QUEUED, RUNNING, DONE, CANCELLED } state = QUEUED;
    bool shed = false;  /* rejected before it started */
    bool acked = false; /* an empty ACK was sent, so the answer is separate */
    int source = 0; /* instance, or PARTY_OUTSIDE: the shared return address */
    ms_t at = 0;
    std::string cancelled_by; /* the first canceller */
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
    bool running = true, draining = false;
    ms_t drain_started = MS_NEVER; /* new work counts as late 4 s later */
    ms_t run_ms = 0, up_at = 0;
    int busy = 0, reported_busy = -1; /* -1: the real load */
    uint16_t next_mid = 1;
    std::deque<job_t> queue;
    std::map<uint64_t, record_t> records;
    std::map<std::string, feed_t> feeds;
    std::map<uint64_t, std::pair<std::string, uint32_t>> uploads;
    std::set<uint64_t> flows;
};

enum call_kind_t { CALL_POST, CALL_READ, CALL_FEED, CALL_UPLOAD, CALL_RAW };

/* A caller's request, feed, upload or flow, and its outcome. */
struct call_t {
    call_kind_t kind = CALL_POST;
    std::string id; /* payload that identifies the call in `runs` */
    int service = 0;
    addr_t client = {};
    uint16_t mid = 0;
    bytes_t token;
    int sent = 0;
    bool acked = false, finished = false, established = false;
    std::string outcome = "open";
    ms_t started = 0, ended = 0, last_received = 0, timeout = 0;
    uint32_t block = 0, blocks = 0, sequence = 0;
    std::string upstream_epoch; /* of a raw flow: "UPSTREAM/EPOCH" */
    int broken = 0;
};

/* Counts of violated guarantees and of outcomes. */
struct tally_t {
    int duplicate_runs = 0; /* repeated runs of non-idempotent requests */
    int false_not_run = 0;
    int misdelivered = 0; /* requests at an upstream of another service */
    int mismatched_answers = 0; /* answers matched to another request */
    int version_reverts = 0;
    int late_drain_work = 0; /* new work on an upstream after its drain */
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
    void after(ms_t duration, std::function<void()> fn);
    void run_until(ms_t when);

    /* ---- Operator actions and faults ---- */
    int join();
    void leave(int i);
    void kill(int i);
    void restart_instance(int i); /* same name, empty state */
    void pause(int i, ms_t duration);
    void disconnect(int a, int b); /* A or B may be PARTY_UPSTREAM + u */
    void disconnect_one_way(int from, int to);
    void reconnect_all();
    void isolate(int i); /* from all instances and the platform */
    void set_draining(int u, bool on);
    void set_weight(int u, int weight);
    void add_upstream(int service);
    void push_conf();
    /* Down for DURATION ms, at least IDENTITY_LEASE_MS, then up with a new
     * epoch and SERVICE (-1: unchanged). */
    void restart_upstream(int u, ms_t duration, int service = -1);
    void kill_upstream(int u);
    void reassign_upstream(int u, int service);
    /* Drops the datagrams of C's flow at its upstream: a middlebox has lost
     * the flow's state. */
    void blackhole(const call_t &c);

    /* ---- Callers ---- */
    /* Sends the first copy when the clock next advances.  CLIENT -1: a new
     * address. */
    call_t &open(call_kind_t kind, int service, int client = -1,
                 uint32_t blocks = 0);

    /* script.cc describes the format. */
    void run_script(const std::string &script);

    /* ---- Results ---- */
    int feed_upstream(const std::string &id);       /* -1: none */
    std::vector<int> active_upstreams(int service); /* all but draining ones */
    std::string report();     /* one line per call, then violations() */
    std::string violations(); /* the violation counts, on one line */
    int owner_of(const call_t &c);

    fleet_options_t opt;
    ms_t origin = 0; /* time 0 of scripts */
    tally_t tally;
    rng_t rng;
    double loss;
    std::vector<instance_t> inst;
    std::vector<upstream_t> upstreams;
    std::deque<call_t> calls;
    /* By payload ID: "UPSTREAM/EPOCH" of each run. */
    std::map<std::string, std::vector<std::string>> runs;
    std::map<std::string, int> last_forwarder; /* by payload ID */
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
    struct emit_context_t {
        fleet_t *f;
        int i;
    };
    struct conf_storage_t {
        conf_t conf = {};
        conf_service_t services[SERVICE_COUNT];
        std::vector<conf_upstream_t> upstreams[SERVICE_COUNT];
    };
    std::priority_queue<event_t> events;
    std::deque<emit_context_t> emit_contexts;
    uint64_t order = 0;
    /* Version N is at index N - 1. */
    std::vector<std::shared_ptr<conf_storage_t>> versions;
    bool bootstrapping = true; /* the site's first instances are starting */
    std::map<int, conf_upstream_t> upstream_conf; /* by upstream number */
    std::map<int, int> upstream_service;
    std::set<std::pair<int, int>> disconnected;
    std::set<uint64_t> blackholed;          /* (client, upstream) */
    std::set<std::string> reported_not_run; /* payload IDs */
    std::map<uint64_t, std::vector<size_t>> by_client;
    int next_client = 100;

    void trace_event(const char *fmt, ...)
        __attribute__((format(printf, 2, 3)));
    bool chance(double p);
    bool is_disconnected(int a, int b) const;
    void transmit(int from, int to, std::function<void()> fn);

    void start_instance(int i);
    int add_instance(const std::string &name);
    void stop_instance(int i);
    void tick(int i, int generation);
    void resume(int i);
    void deliver_to_instance(int i, std::function<void(instance_t &)> fn);
    int fabric_pick();
    bool reachable(int i, int j);
    void update_views(int i);
    bool update_view(int i, int j);
    bool receive_update(int i, int j);
    void refute(int j, uint32_t suspected);
    void apply_members(int i);
    void try_activate(int i);
    void try_stop(int i, int generation);
    void deliver_conf(int i, uint64_t version);
    void load_conf_history(int i);
    void apply_conf(int i, uint64_t version, ms_t when);
    std::shared_ptr<conf_storage_t> make_conf();
    static void emit(void *arg, const core_out_t *out);
    void send_core_output(int i, const core_out_t *out);
    void send_peer(int i, const core_out_t *out);
    void send_upstream(int i, const core_out_t *out);
    static std::string request_id(const uint8_t *data, size_t len);

    void upstream_add(int service);
    void upstream_receive(int u, int source, bytes_t data);
    void upstream_coap(int u, int source, const spp_t &h, bytes_t data);
    void upstream_raw(int u, int source, const spp_t &h, bytes_t data);
    bool upstream_control(int u, int source, const spp_t &h,
                          const coap_msg_t &m);
    void upstream_answer_duplicate(int u, record_t &r, const spp_t &h,
                                   const coap_msg_t &m);
    void upstream_observe(int u, int source, const spp_t &h,
                          const coap_msg_t &m, uint64_t key);
    void upstream_start(int u);
    ms_t run_duration(int u, const coap_msg_t &m);
    void upstream_finish(int u, uint32_t epoch, const job_t &j);
    coap_msg_t upstream_execute(int u, const job_t &j, const coap_msg_t &m,
                                std::string &body);
    void upstream_retransmit(int u, uint32_t epoch, const spp_t &h,
                             uint64_t key, uint16_t mid, int tries);
    void upstream_send(int u, int dest, const spp_t &h, const bytes_t &data);
    void upstream_reply(int u, int dest, const spp_t &h, const coap_msg_t &m);
    void feed_tick(int u, uint32_t epoch, const std::string &key);
    void count_late_work(int u, const bytes_t &data);

    void call_send(size_t n);
    void call_schedule_copy(size_t n, uint16_t mid, ms_t duration);
    void call_end(call_t &c, const char *outcome);
    void call_answer(size_t n, const coap_msg_t &m);
    void upload_answer(size_t n, const coap_msg_t &m);
    void feed_answer(size_t n, const coap_msg_t &m);
    void feed_check_timeout(size_t n);
    void raw_tick(size_t n);
    void raw_answer(size_t n, const std::string &text);
    void reopen(size_t n);
    void client_receive(addr_t service, addr_t client, bytes_t data);
    void client_send(const addr_t &service, const addr_t &client,
                     const bytes_t &data);
    void record_not_run(const std::string &id);
};

addr_t fleet_service_addr(int service);
addr_t fleet_client_addr(int client);

#endif
