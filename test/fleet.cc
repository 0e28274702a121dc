/* fleet: virtual time, links, the fabric, instances, membership views and
 * operator actions.  fleet_ends.cc has the upstreams and the callers. */
#include "test/fleet.h"

#include <algorithm>
#include <errno.h>
#include <stdarg.h>
#include <string.h>

enum { PARTY_PLATFORM = -2 };

static const uint8_t peer_key[PEER_KEY_LEN] = {7};
static const ms_t tick_ms = 50;
static const ms_t view_interval_ms = 100;
static const ms_t inbox_max_age_ms = 1000; /* older datagrams are dropped */
static const ms_t leave_timeout_ms = 60000;

static addr_t
address(uint8_t a, uint8_t b, int host, uint16_t port)
{
    addr_t r = {};

    r.ip[10] = r.ip[11] = 255;
    r.ip[12] = a;
    r.ip[13] = b;
    r.ip[14] = (uint8_t)(host >> 8);
    r.ip[15] = (uint8_t)host;
    r.port = port;
    return r;
}

addr_t
fleet_service_addr(int service)
{
    return address(10, 0, service + 1, 5683);
}

addr_t
fleet_client_addr(int client)
{
    return address(192, 168, client, 40000);
}

/* ---- Time and links ---- */

void
fleet_t::at(ms_t when, std::function<void()> fn)
{
    events.push({std::max(when, now), order++, std::move(fn)});
}

void
fleet_t::after(ms_t duration, std::function<void()> fn)
{
    at(now + duration, std::move(fn));
}

void
fleet_t::run_until(ms_t when)
{
    while (!events.empty() && events.top().at <= when) {
        event_t e = events.top();
        events.pop();
        now = e.at;
        e.fn();
    }
    now = when;
}

void
fleet_t::trace_event(const char *fmt, ...)
{
    char line[256];
    va_list ap;

    if (!tracing) {
        return;
    }
    va_start(ap, fmt);
    vsnprintf(line, sizeof(line), fmt, ap);
    va_end(ap);
    trace.push_back(std::to_string(now - origin) + " " + line);
}

bool
fleet_t::chance(double p)
{
    return p > 0 && rng_below(&rng, 1000000) < p * 1000000;
}

bool
fleet_t::is_disconnected(int a, int b) const
{
    return disconnected.count({a, b}) > 0;
}

/* Sends one datagram, which may be lost, delayed, reordered or duplicated. */
void
fleet_t::transmit(int from, int to, std::function<void()> fn)
{
    int copies = chance(opt.duplicate) ? 2 : 1;

    if (is_disconnected(from, to) || chance(loss)) {
        return;
    }
    for (int k = 0; k < copies; k++) {
        after(1 + rng_below(&rng, (uint32_t)opt.jitter_ms + 1), fn);
    }
}

void
fleet_t::disconnect_one_way(int from, int to)
{
    trace_event("cut %d %d", from, to);
    disconnected.insert({from, to});
}

void
fleet_t::disconnect(int a, int b)
{
    disconnect_one_way(a, b);
    disconnect_one_way(b, a);
}

void
fleet_t::reconnect_all()
{
    trace_event("heal");
    disconnected.clear();
}

void
fleet_t::isolate(int i)
{
    for (int j = 0; j < (int)inst.size(); j++) {
        if (j != i) {
            disconnect(i, j);
        }
    }
    disconnect(i, PARTY_PLATFORM);
}

/* ---- Configuration ---- */

std::shared_ptr<fleet_t::conf_storage_t>
fleet_t::make_conf()
{
    static const char *const names[] = {"monitor", "archive", "raw"};
    auto storage = std::make_shared<conf_storage_t>();

    for (auto &[u, entry] : upstream_conf) {
        storage->upstreams[upstream_service[u]].push_back(entry);
    }
    /* Sorted by name, as conf.h requires. */
    static const int sorted[] = {SERVICE_ARCHIVE, SERVICE_MONITOR,
                                 SERVICE_RAW};
    for (int k = 0; k < SERVICE_COUNT; k++) {
        int s = sorted[k];
        auto &list = storage->upstreams[s];
        std::sort(list.begin(), list.end(),
                  [](const conf_upstream_t &a, const conf_upstream_t &b) {
                      return a.id < b.id;
                  });
        conf_service_t &c = storage->services[k];
        c = {};
        strcpy(c.name, names[s]);
        c.addr = fleet_service_addr(s);
        c.proto = s == SERVICE_RAW ? PROTO_UDP : PROTO_COAP;
        c.prefer = opt.prefer;
        c.urgent_slots = (uint16_t)opt.urgent_slots[s];
        c.queue = (uint16_t)opt.queue;
        c.retry_percent = 10;
        c.caller_share = 64;
        c.request_ms = 60000;
        c.flow_idle_ms = 300000;
        c.upload_idle_ms = 60000;
        c.feed_silent_ms = opt.feed_silent_ms;
        c.come_back_s = 2;
        c.n_upstreams = (uint32_t)list.size();
        c.upstreams = list.data();
    }
    storage->conf.version = versions.size() + 1;
    storage->conf.hash = hash_mix(storage->conf.version, 99);
    strcpy(storage->conf.site, "test");
    storage->conf.drain_ms = leave_timeout_ms;
    storage->conf.n_services = SERVICE_COUNT;
    storage->conf.services = storage->services;
    return storage;
}

void
fleet_t::apply_conf(int i, uint64_t version, ms_t when)
{
    instance_t &n = inst[i];

    trace_event("version %d at %s", (int)version, n.name.c_str());
    core_set_conf(n.core, when, &versions[version - 1]->conf);
    n.version = std::max(n.version, core_version(n.core));
    n.applied_at[n.version] = when;
}

/* Loads the versions of the last OWNER_SETTLE_MS from a peer, with the times
 * at which the peer applied them.  Without a reachable peer, loads the
 * platform's last two versions, as applied now. */
void
fleet_t::load_conf_history(int i)
{
    for (int j = 0; j < (int)inst.size(); j++) {
        if (j == i || !reachable(i, j) || inst[j].applied_at.empty()) {
            continue;
        }
        if (core_history_is_complete(inst[j].core)) {
            core_set_history_complete(inst[i].core);
        }
        for (auto &[version, when] : inst[j].applied_at) {
            apply_conf(i, version, when);
        }
        return;
    }
    if (bootstrapping) {
        core_set_history_complete(inst[i].core);
    }
    deliver_conf(i, versions.size());
}

std::vector<int>
fleet_t::active_upstreams(int service)
{
    std::vector<int> list;

    for (auto &[u, entry] : upstream_conf) {
        if (upstream_service[u] == service && !entry.draining) {
            list.push_back(u);
        }
    }
    return list;
}

/* Applies a version at instance I as soon as I can be reached.  Sometimes a
 * stale read delivers the previous version afterwards. */
void
fleet_t::deliver_conf(int i, uint64_t version)
{
    instance_t &n = inst[i];

    if (!n.alive || n.version >= version) {
        return;
    }
    bool access = !is_disconnected(i, PARTY_PLATFORM);
    for (int j = 0; j < (int)inst.size() && !access; j++) {
        access = inst[j].version >= version && reachable(i, j);
    }
    if (n.paused || !access) {
        after(100, [=] { deliver_conf(i, version); });
        return;
    }
    if (n.version == 0 && version > 1) {
        apply_conf(i, version - 1, now); /* kept by the platform */
    }
    apply_conf(i, version, now);
    if (chance(0.2) && version > 1) {
        core_set_conf(n.core, now, &versions[version - 2]->conf);
    }
    if (core_version(n.core) != n.version || n.version < version) {
        tally.version_reverts++;
    }
    for (auto &[u, entry] : upstream_conf) {
        bool reached_all =
            entry.draining && upstreams[u].drain_started == MS_NEVER;
        for (int j = 0; j < (int)inst.size() && reached_all; j++) {
            reached_all = !inst[j].alive || inst[j].paused ||
                          is_disconnected(j, PARTY_PLATFORM) ||
                          inst[j].version >= versions.size();
        }
        if (reached_all) {
            upstreams[u].drain_started = now;
        }
    }
}

void
fleet_t::push_conf()
{
    versions.push_back(make_conf());
    uint64_t v = versions.size();
    trace_event("push version %d", (int)v);
    for (int i = 0; i < (int)inst.size(); i++) {
        after(20 + rng_below(&rng, (uint32_t)opt.skew_ms + 1),
              [=] { deliver_conf(i, v); });
    }
}

void
fleet_t::set_draining(int u, bool on)
{
    if (upstream_conf.count(u) == 0 || upstream_conf[u].draining == on) {
        return;
    }
    trace_event("drain %d %d", u, on);
    upstream_conf[u].draining = on;
    upstreams[u].drain_started = MS_NEVER;
    after(rng_below(&rng, 1000), [=] { upstreams[u].draining = on; });
    push_conf();
}

void
fleet_t::set_weight(int u, int weight)
{
    if (upstream_conf.count(u) > 0) {
        trace_event("weight %d %d", u, weight);
        upstream_conf[u].weight = (uint16_t)weight;
        push_conf();
    }
}

void
fleet_t::add_upstream(int service)
{
    upstream_add(service);
    trace_event("add upstream %d to %d", (int)upstreams.size() - 1, service);
    push_conf();
}

/* Moves an address to another service.  The operator removes the address, the
 * process restarts with the new service, and the operator adds the address
 * there.  None of these steps waits for another. */
void
fleet_t::reassign_upstream(int u, int service)
{
    if (upstream_conf.count(u) == 0 || !upstreams[u].running) {
        return;
    }
    trace_event("recycle %d to %d", u, service);
    conf_upstream_t entry = upstream_conf[u];
    upstream_conf.erase(u);
    push_conf();
    after(rng_below(&rng, 500), [=] {
        restart_upstream(u, IDENTITY_LEASE_MS + opt.jitter_ms + 1, service);
    });
    after(1000 + rng_below(&rng, 2000), [=] {
        upstream_conf[u] = entry;
        upstream_conf[u].draining = false;
        upstream_service[u] = service;
        push_conf();
    });
}

/* ---- Instances ---- */

int
fleet_t::add_instance(const std::string &name)
{
    int i = (int)inst.size();

    inst.push_back({});
    inst[i].name = name;
    inst[i].id = instance_id(name.c_str());
    inst[i].own = address(10, 2, i, 7000);
    for (auto &n : inst) {
        n.view.resize(inst.size());
    }
    return i;
}

void
fleet_t::start_instance(int i)
{
    instance_t &n = inst[i];
    core_params_t p = {.self = n.id,
                       .own_addr = n.own,
                       .seed = opt.seed * 1000 + (uint64_t)i,
                       .max_flows = 4096,
                       .max_hints = 4096,
                       .max_exchanges = opt.max_exchanges};

    n.generation++;
    n.alive = true;
    n.paused = false;
    n.started = now;
    n.version = 0;
    n.inbox.clear();
    emit_contexts.push_back({this, i});
    n.core = core_new(&p, emit, &emit_contexts.back());
    n.applied_at.clear();
    load_conf_history(i);
    int generation = n.generation;
    after(rng_below(&rng, (uint32_t)tick_ms), [=] { tick(i, generation); });
}

void
fleet_t::stop_instance(int i)
{
    inst[i].alive = false;
    inst[i].generation++;
    core_free(inst[i].core);
    inst[i].core = nullptr;
}

fleet_t::fleet_t(const fleet_options_t &options)
    : opt(options), rng{options.seed, 0}, loss(options.loss)
{
    for (int s = 0; s < SERVICE_COUNT; s++) {
        for (int k = 0; k < opt.upstreams[s]; k++) {
            upstream_add(s);
        }
    }
    versions.push_back(make_conf());
    for (int i = 0; i < opt.instances; i++) {
        add_instance("entry-" + std::to_string(i));
    }
    for (auto &n : inst) {
        for (auto &v : n.view) {
            v = {true, MEMBER_ACTIVE, 1, 1, now, 0};
        }
    }
    for (int i = 0; i < opt.instances; i++) {
        start_instance(i);
        apply_members(i);
    }
    bootstrapping = false;
    run_until(now + opt.warmup_ms);
    origin = opt.warmup_ms;
}

fleet_t::~fleet_t()
{
    for (auto &n : inst) {
        if (n.alive) {
            core_free(n.core);
        }
    }
}

void
fleet_t::tick(int i, int generation)
{
    instance_t &n = inst[i];

    if (n.generation != generation) {
        return;
    }
    after(tick_ms, [=] { tick(i, generation); });
    if (n.paused) {
        return;
    }
    if ((now - n.started) / view_interval_ms !=
        (now - tick_ms - n.started) / view_interval_ms) {
        update_views(i);
        try_activate(i);
    }
    core_tick(n.core, now);
}

/* While instance I is paused, its datagrams wait in the socket buffer. */
void
fleet_t::deliver_to_instance(int i, std::function<void(instance_t &)> fn)
{
    instance_t &n = inst[i];

    if (!n.alive) {
        return;
    }
    if (n.paused) {
        n.inbox.push_back({now, [=] { fn(inst[i]); }});
        return;
    }
    fn(n);
}

void
fleet_t::pause(int i, ms_t duration)
{
    if (!inst[i].alive || inst[i].paused) {
        return;
    }
    trace_event("pause %s %d", inst[i].name.c_str(), (int)duration);
    inst[i].paused = true;
    int generation = inst[i].generation;
    after(duration, [=] {
        if (inst[i].generation == generation) {
            resume(i);
        }
    });
}

/* A resumed process may read its sockets before or after its first tick. */
void
fleet_t::resume(int i)
{
    instance_t &n = inst[i];
    bool tick_before_inbox = chance(0.5);

    trace_event("wake %s", n.name.c_str());
    n.paused = false;
    if (tick_before_inbox) {
        core_tick(n.core, now);
    }
    std::deque<queued_datagram_t> inbox;
    inbox.swap(n.inbox);
    for (auto &q : inbox) {
        if (now - q.at <= inbox_max_age_ms) {
            q.fn();
        }
    }
}

int
fleet_t::join()
{
    int i = add_instance("entry-" + std::to_string(inst.size()));

    trace_event("join %s", inst[i].name.c_str());
    inst[i].state = MEMBER_JOINING;
    inst[i].in_fabric = false;
    start_instance(i);
    apply_members(i);
    return i;
}

void
fleet_t::restart_instance(int i)
{
    instance_t &n = inst[i];

    if (!n.alive) {
        return;
    }
    trace_event("restart %s", n.name.c_str());
    stop_instance(i);
    n.incarnation++;
    n.state = MEMBER_JOINING;
    n.view.assign(inst.size(), peer_view_t());
    /* Peers report that the previous incarnation did not stop cleanly. */
    n.uncertain_at = now;
    start_instance(i);
    apply_members(i);
}

/* A joining instance becomes active, and so may own flows, when it and all
 * reachable instances list each other. */
void
fleet_t::try_activate(int i)
{
    instance_t &n = inst[i];

    if (n.state != MEMBER_JOINING || now - n.started < 500) {
        return;
    }
    for (int j = 0; j < (int)inst.size(); j++) {
        if (j == i || !inst[j].alive || inst[j].paused || !reachable(i, j)) {
            continue;
        }
        const peer_view_t &peer_view = inst[j].view[i];
        if (!peer_view.listed || peer_view.incarnation != n.incarnation ||
            !n.view[j].listed) {
            return;
        }
    }
    trace_event("active %s", n.name.c_str());
    n.state = MEMBER_ACTIVE;
    n.in_fabric = true;
    apply_members(i);
}

void
fleet_t::leave(int i)
{
    instance_t &n = inst[i];

    if (!n.alive || n.paused || n.state != MEMBER_ACTIVE) {
        return;
    }
    trace_event("leave %s", n.name.c_str());
    n.state = MEMBER_LEAVING;
    core_leave(n.core, now);
    apply_members(i);
    after(500 + rng_below(&rng, (uint32_t)opt.fabric_lag_ms),
          [=] { inst[i].in_fabric = false; });
    int generation = n.generation;
    at(now + opt.fabric_lag_ms + 1000, [=] { try_stop(i, generation); });
}

void
fleet_t::try_stop(int i, int generation)
{
    instance_t &n = inst[i];
    uint32_t exchanges, pins;

    if (n.generation != generation) {
        return;
    }
    core_pending(n.core, &exchanges, &pins);
    bool done = exchanges == 0 && pins == 0 && !n.in_fabric;
    if (n.paused || (!done && now - n.started < leave_timeout_ms * 100)) {
        after(200, [=] { try_stop(i, generation); });
        return;
    }
    trace_event("stop %s", n.name.c_str());
    n.left_cleanly = true;
    stop_instance(i);
}

void
fleet_t::kill(int i)
{
    if (!inst[i].alive) {
        return;
    }
    trace_event("kill %s", inst[i].name.c_str());
    stop_instance(i);
    after(500 + rng_below(&rng, (uint32_t)opt.fabric_lag_ms),
          [=] { inst[i].in_fabric = false; });
}

/* A random instance of the fabric's list; -1 if there is none, or if it is
 * dead, since the list is updated with a delay. */
int
fleet_t::fabric_pick()
{
    std::vector<int> listed;

    for (int i = 0; i < (int)inst.size(); i++) {
        if (inst[i].in_fabric) {
            listed.push_back(i);
        }
    }
    if (listed.empty()) {
        return -1;
    }
    int i = listed[rng_below(&rng, (uint32_t)listed.size())];
    return inst[i].alive ? i : -1;
}

/* ---- Members ---- */

/* Do heartbeats arrive, directly or through one other instance? */
bool
fleet_t::reachable(int i, int j)
{
    auto connected = [&](int a, int b) {
        return !is_disconnected(a, b) && !is_disconnected(b, a);
    };
    if (!inst[j].alive || inst[j].paused || !inst[i].alive) {
        return false;
    }
    if (connected(i, j)) {
        return true;
    }
    for (int k = 0; k < (int)inst.size(); k++) {
        if (k != i && k != j && inst[k].alive && !inst[k].paused &&
            connected(i, k) && connected(k, j)) {
            return true;
        }
    }
    return false;
}

/* A suspected instance refutes the suspicion by raising its incarnation.  No
 * other instance may raise it, and only a higher one ends the suspicion. */
void
fleet_t::refute(int j, uint32_t suspected)
{
    instance_t &n = inst[j];

    if (!n.alive || n.paused || n.incarnation > suspected) {
        return;
    }
    trace_event("%s refutes", n.name.c_str());
    n.incarnation = suspected + 1;
    n.uncertain_at = now;
    apply_members(j);
}

/* Updates I's view of J from a heartbeat.  Returns whether it changed. */
bool
fleet_t::receive_update(int i, int j)
{
    instance_t &n = inst[i];
    peer_view_t &v = n.view[j];
    const instance_t &peer = inst[j];
    bool suspect = v.listed && v.state == MEMBER_SUSPECT;

    v.last_heartbeat = now;
    if (!chance(opt.update_chance)) {
        return false;
    }
    if (suspect && v.incarnation == peer.incarnation) {
        uint32_t incarnation = v.incarnation;
        after(rng_below(&rng, 300), [=] { refute(j, incarnation); });
        return false;
    }
    bool same = v.listed && v.state == peer.state &&
                v.incarnation == peer.incarnation && v.version == peer.version;
    if (v.listed && v.incarnation != peer.incarnation &&
        v.state != MEMBER_GONE) {
        n.uncertain_at = now;
    }
    if (!same) {
        v = {true, peer.state, peer.incarnation, peer.version, now, now};
    }
    return !same;
}

/* One membership period of I's view of J.  Returns whether it changed. */
bool
fleet_t::update_view(int i, int j)
{
    instance_t &n = inst[i];
    peer_view_t &v = n.view[j];
    const instance_t &peer = inst[j];
    ms_t timeout = opt.suspect_ms + (ms_t)((i * 7 + j * 13) % 5) * 100;

    if (reachable(i, j)) {
        return receive_update(i, j);
    }
    if (!v.listed || v.state == MEMBER_GONE) {
        return false;
    }
    bool left = v.state == MEMBER_LEAVING && peer.left_cleanly;
    bool dead = v.state == MEMBER_SUSPECT && !peer.alive &&
                now - v.changed_at > opt.gone_ms;
    if (left || dead) {
        v.state = MEMBER_GONE;
        v.changed_at = now;
        return true;
    }
    if (v.state == MEMBER_SUSPECT) {
        n.uncertain_at = now;
        return false;
    }
    if (now - v.last_heartbeat <= timeout) {
        return false;
    }
    v.state = MEMBER_SUSPECT;
    v.changed_at = n.uncertain_at = now;
    return true;
}

void
fleet_t::update_views(int i)
{
    bool changed = false;

    for (int j = 0; j < (int)inst.size(); j++) {
        if (j != i && update_view(i, j)) {
            changed = true;
        }
    }
    if (changed) {
        apply_members(i);
    }
}

void
fleet_t::apply_members(int i)
{
    instance_t &n = inst[i];
    std::vector<member_t> list;
    uint64_t lowest = n.version;

    for (int j = 0; j < (int)inst.size(); j++) {
        peer_view_t v = n.view[j];
        if (j == i) {
            v = {true, n.state, n.incarnation, n.version, now, n.started};
        }
        if (!v.listed) {
            continue;
        }
        member_t m = {};
        m.id = inst[j].id;
        snprintf(m.name, sizeof(m.name), "%s", inst[j].name.c_str());
        strcpy(m.data_centre, "brno-sal-a");
        m.peer_addr = address(10, 3, j, 7001);
        m.bulk_addr = address(10, 3, j, 7002);
        m.incarnation = v.incarnation;
        m.state = v.state;
        m.version = v.version;
        m.changed_at = v.changed_at;
        list.push_back(m);
        if (v.state != MEMBER_GONE) {
            lowest = std::min(lowest, v.version);
        }
    }
    std::sort(
        list.begin(), list.end(),
        [](const member_t &a, const member_t &b) { return a.id < b.id; });
    core_set_members(n.core, now, list.data(), list.size(), n.uncertain_at,
                     lowest);
}

/* The last instance that forwarded the request, or else the flow's owner. */
int
fleet_t::owner_of(const call_t &c)
{
    addr_t service = fleet_service_addr(c.service);
    uint64_t owner = 0;

    if (last_forwarder.count(c.id) > 0) {
        return last_forwarder[c.id];
    }
    for (auto &n : inst) {
        owner = n.alive ? core_owner(n.core, &service, &c.client) : owner;
    }
    for (int i = 0; i < (int)inst.size(); i++) {
        if (inst[i].id == owner) {
            return i;
        }
    }
    return 0;
}

/* ---- Output of a core ---- */

void
fleet_t::emit(void *arg, const core_out_t *out)
{
    auto *context = static_cast<emit_context_t *>(arg);

    context->f->send_core_output(context->i, out);
}

void
fleet_t::send_core_output(int i, const core_out_t *out)
{
    switch (out->kind) {
    case CORE_TO_CLIENT: {
        coap_msg_t m;
        if (tracing &&
            coap_decode(&m, out->client.data, out->client.len) == 0 &&
            m.code >> 5 >= 4) {
            trace_event("%s says %d.%02d to message %u", inst[i].name.c_str(),
                        m.code >> 5, m.code & 31, m.mid);
        }
        addr_t service = out->client.service, client = out->client.client;
        bytes_t data(out->client.data, out->client.data + out->client.len);
        transmit(i, PARTY_OUTSIDE,
                 [=] { client_receive(service, client, data); });
        break;
    }
    case CORE_TO_UPSTREAM:
        send_upstream(i, out);
        break;
    case CORE_TO_PEER:
        send_peer(i, out);
        break;
    }
}

/* The payload ID of a request; "" for other datagrams. */
std::string
fleet_t::request_id(const uint8_t *data, size_t len)
{
    std::string text((const char *)data, len);
    coap_msg_t m;

    if (coap_decode(&m, data, len) < 0) {
        return text.substr(0, text.find('.'));
    }
    if (m.code == COAP_POST) {
        return std::string((const char *)m.payload, m.payload_len);
    }
    bool get = m.code == COAP_GET && m.path_n > 1;
    return get && !coap_path_is(&m, ".well-known", "load") ? m.path[1] : "";
}

void
fleet_t::send_upstream(int i, const core_out_t *out)
{
    bytes_t data(SPP_LEN + out->upstream.len);
    int source = out->upstream.own ? i : PARTY_OUTSIDE;

    spp_write(data.data(), &out->upstream.header);
    memcpy(data.data() + SPP_LEN, out->upstream.data, out->upstream.len);
    std::string id = request_id(out->upstream.data, out->upstream.len);
    if (!id.empty()) {
        first_forwarded.insert({id, now});
        last_forwarder[id] = i;
        char to[ADDR_STRLEN];
        trace_event("%s forwards %s to %s", inst[i].name.c_str(), id.c_str(),
                    addr_text(&out->upstream.upstream, to));
    }
    for (int u = 0; u < (int)upstreams.size(); u++) {
        if (addr_eq(&upstreams[u].addr, &out->upstream.upstream)) {
            transmit(i, PARTY_UPSTREAM + u,
                     [=] { upstream_receive(u, source, data); });
            return;
        }
    }
}

void
fleet_t::send_peer(int i, const core_out_t *out)
{
    auto data = std::make_shared<bytes_t>(PEER_MSG_MAX);
    int n = peer_write(data->data(), data->size(), &out->peer.msg, peer_key);

    if (n < 0) {
        trace_event("peer_write: %d", n);
        return;
    }
    data->resize((size_t)n);
    for (int j = 0; j < (int)inst.size(); j++) {
        if (inst[j].id != out->peer.to) {
            continue;
        }
        transmit(i, j, [=] {
            deliver_to_instance(j, [=](instance_t &to) {
                peer_msg_t m;
                if (peer_read(&m, data->data(), data->size(), peer_key) == 0) {
                    core_from_peer(to.core, now, &m);
                }
            });
        });
    }
}

/* ---- Datagrams through the fabric ---- */

void
fleet_t::client_send(const addr_t &service, const addr_t &client,
                     const bytes_t &data)
{
    if (opt.baseline) {
        bytes_t datagram(SPP_LEN + data.size());
        spp_t h = {.client = client, .service = service};
        int u = opt.baseline(*this, service.ip[15] - 1, client);
        spp_write(datagram.data(), &h);
        memcpy(datagram.data() + SPP_LEN, data.data(), data.size());
        if (u >= 0) {
            transmit(PARTY_OUTSIDE, PARTY_UPSTREAM + u,
                     [=] { upstream_receive(u, PARTY_OUTSIDE, datagram); });
        }
        return;
    }
    /* The copies of a duplicated datagram may reach different instances. */
    for (int copies = chance(opt.duplicate) ? 2 : 1; copies > 0; copies--) {
        int i = fabric_pick();
        if (i < 0) {
            continue;
        }
        transmit(PARTY_OUTSIDE, i, [=] {
            deliver_to_instance(i, [=](instance_t &n) {
                core_from_client(n.core, now, &service, &client, data.data(),
                                 data.size());
            });
        });
    }
}

void
fleet_t::upstream_send(int u, int dest, const spp_t &h, const bytes_t &data)
{
    bytes_t datagram(SPP_LEN + data.size());
    addr_t from = upstreams[u].addr;
    if (opt.baseline) {
        transmit(PARTY_UPSTREAM + u, PARTY_OUTSIDE,
                 [=] { client_receive(h.service, h.client, data); });
        return;
    }
    int i = dest == PARTY_OUTSIDE ? fabric_pick() : dest;

    if (i < 0 || blackholed.count(addr_id(&h.client) ^ upstreams[u].id) > 0) {
        return;
    }
    spp_write(datagram.data(), &h);
    memcpy(datagram.data() + SPP_LEN, data.data(), data.size());
    transmit(PARTY_UPSTREAM + u, i, [=] {
        deliver_to_instance(i, [=](instance_t &n) {
            core_from_upstream(n.core, now, &from, datagram.data(),
                               datagram.size());
        });
    });
}
