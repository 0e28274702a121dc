/* fleet_ends: simulated upstreams, as docs/UPSTREAM.md specifies, and
 * callers. */
#include "test/fleet.h"

#include <algorithm>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static const ms_t feed_interval_ms = 1000;
static const int feed_unacked_max = 12;
static const ms_t feed_timeout_ms = 15000;
static const ms_t raw_interval_ms = 500;
static const ms_t raw_timeout_ms = 10000;
static const ms_t ack_timeout_ms = 2000; /* RFC 7252 4.8 */
static const int max_retransmit = 4;
static const ms_t max_transmit_wait_ms = 93000;
static const ms_t drain_grace_ms = 4000;

static std::string
text_of(const coap_msg_t &m)
{
    return std::string((const char *)m.payload, m.payload_len);
}

static bytes_t
token_of(const coap_msg_t &m)
{
    return bytes_t(m.token, m.token + m.token_len);
}

static coap_msg_t
message(coap_type_t type, uint8_t code, uint16_t mid, const bytes_t &token)
{
    coap_msg_t m = COAP_MSG_INIT;

    m.type = type;
    m.code = code;
    m.mid = mid;
    m.token_len = (uint8_t)token.size();
    std::copy(token.begin(), token.end(), m.token);
    return m;
}

static void
set_text(coap_msg_t &m, const std::string &s)
{
    m.payload = (const uint8_t *)s.data();
    m.payload_len = s.size();
}

/* A temporary would be freed before the message is encoded. */
static void set_text(coap_msg_t &m, std::string &&s) = delete;

static bytes_t
encode(const coap_msg_t &m)
{
    bytes_t b(DATAGRAM_MAX);
    int n = coap_encode(b.data(), b.size(), &m);

    b.resize(n < 0 ? 0 : (size_t)n);
    return b;
}

static uint64_t
record_key(const addr_t &client, uint16_t mid)
{
    return hash_mix(addr_id(&client), mid);
}

static std::string
feed_key(const addr_t &client, const coap_msg_t &m)
{
    std::string token((const char *)m.token, m.token_len);

    return std::to_string(addr_id(&client)) + "/" + token;
}

/* ---- Upstreams: start and stop ---- */

void
fleet_t::upstream_add(int service)
{
    upstream_t x;
    int u = (int)upstreams.size();
    conf_upstream_t entry = {};

    char text[ADDR_STRLEN];
    snprintf(text, sizeof(text), "10.1.0.%d:6000", u + 1);
    addr_parse(&x.addr, text);
    x.id = addr_id(&x.addr);
    x.service = service;
    x.run_ms = opt.run_ms;
    x.up_at = versions.empty() ? now - 1000000 : now;
    entry.addr = x.addr;
    entry.id = x.id;
    strcpy(entry.data_centre, "brno-sal-a");
    entry.slots = (uint16_t)opt.slots;
    entry.connections = 2000;
    entry.weight = 10;
    upstreams.push_back(std::move(x));
    upstream_conf[u] = entry;
    upstream_service[u] = service;
}

void
fleet_t::kill_upstream(int u)
{
    upstream_t &x = upstreams[u];

    trace_event("kill upstream %d", u);
    x.running = false;
    x.epoch++;
    x.busy = 0;
    x.queue.clear();
    x.records.clear();
    x.feeds.clear();
    x.uploads.clear();
    x.flows.clear();
}

void
fleet_t::restart_upstream(int u, ms_t duration, int service)
{
    if (!upstreams[u].running) {
        return;
    }
    kill_upstream(u);
    after(std::max<ms_t>(duration, IDENTITY_LEASE_MS), [=] {
        upstreams[u].running = true;
        upstreams[u].up_at = now;
        upstreams[u].draining = false;
        if (service >= 0) {
            upstreams[u].service = service;
        }
        trace_event("upstream %d up, service %d", u, upstreams[u].service);
    });
}

int
fleet_t::feed_upstream(const std::string &id)
{
    for (int u = 0; u < (int)upstreams.size(); u++) {
        for (auto &[key, feed] : upstreams[u].feeds) {
            if (feed.id == id) {
                return u;
            }
        }
    }
    return -1;
}

void
fleet_t::blackhole(const call_t &c)
{
    int u = feed_upstream(c.id);

    if (u >= 0) {
        trace_event("mute %s at upstream %d", c.id.c_str(), u);
        blackholed.insert(addr_id(&c.client) ^ upstreams[u].id);
    }
}

/* ---- Upstreams: datagrams ---- */

void
fleet_t::upstream_reply(int u, int dest, const spp_t &h, const coap_msg_t &m)
{
    upstream_send(u, dest, h, encode(m));
}

/* Counts new work on a draining upstream.  Work that was first forwarded
 * within the grace period is not new: copies of a request must go to the
 * upstream of the first copy. */
void
fleet_t::count_late_work(int u, const bytes_t &data)
{
    const upstream_t &x = upstreams[u];
    std::string id = request_id(data.data(), data.size());

    if (x.drain_started != MS_NEVER &&
        first_forwarded[id] > x.drain_started + drain_grace_ms) {
        trace_event("new work %s on draining upstream %d", id.c_str(), u);
        tally.late_drain_work++;
    }
}

void
fleet_t::upstream_receive(int u, int source, bytes_t data)
{
    upstream_t &x = upstreams[u];
    spp_t h;

    if (!x.running || spp_read(&h, data.data(), data.size()) < 0 ||
        blackholed.count(addr_id(&h.client) ^ x.id) > 0) {
        return;
    }
    bytes_t body(data.begin() + SPP_LEN, data.end());
    coap_msg_t m;
    addr_t own_service = fleet_service_addr(x.service);
    bool coap = coap_decode(&m, body.data(), body.size()) == 0;
    if (coap && upstream_control(u, source, h, m)) {
        return;
    }
    if (!addr_eq(&h.service, &own_service)) {
        trace_event("misdelivered to upstream %d: type %d code %d of %d", u,
                    m.type, m.code, h.client.ip[15]);
        tally.misdelivered++;
        return;
    }
    if (x.service == SERVICE_RAW) {
        upstream_raw(u, source, h, body);
    }
    else if (coap) {
        upstream_coap(u, source, h, body);
    }
}

/* Answers probes and cancellations, whatever service the header names, so that
 * the sender learns which service the upstream has. */
bool
fleet_t::upstream_control(int u, int source, const spp_t &h,
                          const coap_msg_t &m)
{
    upstream_t &x = upstreams[u];
    coap_type_t type = m.type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON;
    coap_msg_t r = message(type, COAP_CONTENT, m.mid, token_of(m));
    char text[256], addr[ADDR_STRLEN];

    if (m.code == COAP_GET && coap_path_is(&m, ".well-known", "load")) {
        addr_t own_service = fleet_service_addr(x.service);
        snprintf(text, sizeof(text),
                 "{\"service\":\"%s\",\"epoch\":%u,\"busy\":%d,\"queued\":%d,"
                 "\"slots\":%d,\"connections\":%d,\"draining\":%s,"
                 "\"age_ms\":%lld}",
                 addr_text(&own_service, addr), x.epoch,
                 x.reported_busy >= 0 ? x.reported_busy : x.busy,
                 x.reported_busy >= 0 ? 0 : (int)x.queue.size(), opt.slots,
                 (int)(x.feeds.size() + x.flows.size()),
                 x.draining ? "true" : "false", (long long)(now - x.up_at));
        std::string body = text;
        set_text(r, body);
        upstream_reply(u, source, h, r);
        return true;
    }
    if (m.code != COAP_DELETE ||
        !coap_path_is(&m, ".well-known", "exchange")) {
        return false;
    }
    unsigned mid = 0;
    char owner[20] = "";
    addr_t client;
    if (sscanf(m.query, "c=%55[^&]&m=%u&o=%19s", addr, &mid, owner) < 2 ||
        addr_parse(&client, addr) < 0) {
        return true;
    }
    const char *state = "barred";
    std::string by;
    uint64_t key = record_key(client, (uint16_t)mid);
    auto it = x.records.find(key);
    if (it == x.records.end() || now - it->second.at > EXCHANGE_LIFETIME_MS ||
        it->second.state == record_t::QUEUED || it->second.shed) {
        record_t &t = x.records[key];
        if (t.cancelled_by.empty()) {
            t.cancelled_by = owner;
        }
        t.state = record_t::CANCELLED;
        t.at = now;
        by = t.cancelled_by;
        auto same = [&](const job_t &j) { return j.key == key; };
        x.queue.erase(std::remove_if(x.queue.begin(), x.queue.end(), same),
                      x.queue.end());
    }
    else if (it->second.state == record_t::CANCELLED) {
        by = it->second.cancelled_by;
    }
    else {
        state = it->second.state == record_t::DONE ? "done" : "running";
    }
    trace_event("cancel of %s %u by %s at upstream %d: %s %s", addr, mid,
                owner, u, state, by.c_str());
    snprintf(text, sizeof(text),
             "{\"state\":\"%s\",\"by\":\"%s\",\"epoch\":%u}", state,
             by.c_str(), x.epoch);
    r.code = COAP_DELETED;
    std::string body = text;
    set_text(r, body);
    upstream_reply(u, source, h, r);
    return true;
}

void
fleet_t::upstream_raw(int u, int source, const spp_t &h, bytes_t data)
{
    upstream_t &x = upstreams[u];
    std::string text(data.begin(), data.end());
    bool opening = text.size() > 2 && text.substr(text.size() - 2) == ".0";

    if (x.flows.count(addr_id(&h.client)) == 0) {
        if (!opening) {
            return; /* unknown flow: the caller times out */
        }
        count_late_work(u, data);
        x.flows.insert(addr_id(&h.client));
    }
    text += "@" + std::to_string(u) + "/" + std::to_string(x.epoch);
    (void)source; /* opaque flows reply through the return address */
    upstream_send(u, PARTY_OUTSIDE, h, bytes_t(text.begin(), text.end()));
}

void
fleet_t::upstream_coap(int u, int source, const spp_t &h, bytes_t data)
{
    upstream_t &x = upstreams[u];
    coap_msg_t m;

    coap_decode(&m, data.data(), data.size());
    if (!coap_is_request(&m)) {
        if (m.type == COAP_T_CON) { /* a ping */
            upstream_reply(u, source, h,
                           message(COAP_T_RST, COAP_EMPTY, m.mid, {}));
            return;
        }
        for (auto it = x.feeds.begin(); it != x.feeds.end(); ++it) {
            if (it->second.con_mid != m.mid ||
                !addr_eq(&it->second.header.client, &h.client)) {
                continue;
            }
            it->second.unacked = 0;
            if (m.type == COAP_T_RST) {
                x.feeds.erase(it);
            }
            return;
        }
        auto it = x.records.find(record_key(h.client, m.mid) ^ 1);
        if (it != x.records.end()) {
            it->second.acked = true; /* the ACK of a separate answer */
        }
        return;
    }
    uint64_t key = record_key(h.client, m.mid);
    auto it = x.records.find(key);
    if (it != x.records.end() && now - it->second.at <= EXCHANGE_LIFETIME_MS) {
        it->second.source = source;
        upstream_answer_duplicate(u, it->second, h, m);
        return;
    }
    if (m.code == COAP_GET && m.observe != COAP_NONE) {
        count_late_work(u, data);
        upstream_observe(u, source, h, m, key);
        return;
    }
    record_t &r = x.records[key];
    r = {};
    r.at = now;
    r.source = source;
    count_late_work(u, data);
    if (x.busy >= opt.slots && (int)x.queue.size() >= opt.queue) {
        coap_msg_t shed =
            message(m.type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON,
                    COAP_UNAVAILABLE, m.mid, token_of(m));
        shed.max_age = 2;
        r.state = record_t::DONE;
        r.shed = true;
        r.answer = encode(shed);
        trace_event("shed %s at upstream %d", text_of(m).c_str(), u);
        upstream_send(u, source, h, r.answer);
        return;
    }
    ms_t deadline =
        m.max_age == COAP_NONE ? MS_NEVER : now + (ms_t)m.max_age * 1000;
    x.queue.push_back({h, data, key, deadline});
    upstream_start(u);
}

void
fleet_t::upstream_answer_duplicate(int u, record_t &r, const spp_t &h,
                                   const coap_msg_t &m)
{
    switch (r.state) {
    case record_t::CANCELLED:
        upstream_reply(u, r.source, h,
                       message(m.type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON,
                               COAP_CONFLICT, m.mid, token_of(m)));
        break;
    case record_t::DONE:
        upstream_send(u, r.source, h, r.answer);
        break;
    case record_t::QUEUED:
    case record_t::RUNNING:
        if (m.type == COAP_T_CON) {
            r.acked = true;
            upstream_reply(u, r.source, h,
                           message(COAP_T_ACK, COAP_EMPTY, m.mid, {}));
        }
        break;
    }
}

/* The run time of a request; a block of an upload takes a quarter. */
ms_t
fleet_t::run_duration(int u, const coap_msg_t &m)
{
    ms_t mean =
        m.block1 == COAP_NONE ? upstreams[u].run_ms : upstreams[u].run_ms / 4;

    if (!opt.heavy_tail) {
        return mean;
    }
    /* Pareto with shape 1.5: the mean is 3 times the minimum. */
    double x = (rng_below(&rng, 1000000) + 1) / 1000001.0;
    return std::min<ms_t>((ms_t)((double)mean / 3 / pow(x, 2.0 / 3)),
                          50 * mean);
}

void
fleet_t::upstream_start(int u)
{
    upstream_t &x = upstreams[u];

    while (x.busy < opt.slots && !x.queue.empty()) {
        job_t j = x.queue.front();
        x.queue.pop_front();
        coap_msg_t m;
        coap_decode(&m, j.data.data(), j.data.size());
        record_t &r = x.records[j.key];
        if (now > j.deadline) {
            coap_msg_t late =
                message(COAP_T_ACK, COAP_UNAVAILABLE, m.mid, token_of(m));
            r.state = record_t::DONE;
            r.answer = encode(late);
            upstream_send(u, r.source, j.header, r.answer);
            continue;
        }
        r.state = record_t::RUNNING;
        std::string id = text_of(m);
        if (m.code == COAP_POST && m.block1 == COAP_NONE) {
            trace_event("run %s at upstream %d", id.c_str(), u);
            auto &list = runs[id];
            list.push_back(std::to_string(u) + "/" + std::to_string(x.epoch));
            tally.duplicate_runs += list.size() > 1;
            tally.false_not_run += reported_not_run.count(id) > 0;
        }
        x.busy++;
        uint32_t epoch = x.epoch;
        after(run_duration(u, m), [=] { upstream_finish(u, epoch, j); });
    }
}

/* Runs a request.  Returns the answer; BODY gets its payload. */
coap_msg_t
fleet_t::upstream_execute(int u, const job_t &j, const coap_msg_t &m,
                          std::string &body)
{
    upstream_t &x = upstreams[u];
    coap_type_t type = m.type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON;
    coap_msg_t r = message(type, COAP_CHANGED, m.mid, token_of(m));
    std::string text = text_of(m);

    if (m.code == COAP_GET) {
        r.code = COAP_CONTENT;
        body = "A" + std::string(m.path_n > 1 ? m.path[1] : "");
        return r;
    }
    body = "A" + text;
    if (m.block1 == COAP_NONE) {
        return r;
    }
    uint64_t flow = addr_id(&j.header.client);
    uint32_t num = m.block1 >> 4;
    if (num == 0) {
        x.uploads[flow] = {text, 0};
    }
    auto it = x.uploads.find(flow);
    r.block1 = m.block1;
    if (it == x.uploads.end() || it->second.first != text ||
        it->second.second != num) {
        r.code = COAP_INCOMPLETE;
        return r;
    }
    it->second.second++;
    if (m.block1 & 8) {
        r.code = COAP_CONTINUE;
        return r;
    }
    runs[text].push_back(std::to_string(u));
    tally.duplicate_runs += runs[text].size() > 1;
    x.uploads.erase(it);
    return r;
}

void
fleet_t::upstream_finish(int u, uint32_t epoch, const job_t &j)
{
    upstream_t &x = upstreams[u];
    coap_msg_t m;
    std::string body;

    if (x.epoch != epoch) {
        return;
    }
    x.busy--;
    coap_decode(&m, j.data.data(), j.data.size());
    coap_msg_t r = upstream_execute(u, j, m, body);
    set_text(r, body);
    record_t &rec = x.records[j.key];
    rec.state = record_t::DONE;
    bool is_separate = rec.acked;
    if (is_separate) { /* RFC 7252 5.2.2 */
        r.type = COAP_T_CON;
        r.mid = x.next_mid++;
        record_t &out = x.records[record_key(j.header.client, r.mid) ^ 1];
        out = {};
        out.at = now;
        out.source = rec.source;
        out.answer = encode(r);
    }
    rec.answer = encode(r);
    upstream_send(u, rec.source, j.header, rec.answer);
    if (is_separate) {
        uint16_t mid = r.mid;
        uint64_t key = record_key(j.header.client, mid) ^ 1;
        spp_t h = j.header;
        after(ack_timeout_ms,
              [=] { upstream_retransmit(u, epoch, h, key, mid, 1); });
    }
    upstream_start(u);
}

void
fleet_t::upstream_retransmit(int u, uint32_t epoch, const spp_t &h,
                             uint64_t key, uint16_t mid, int tries)
{
    upstream_t &x = upstreams[u];

    if (x.epoch != epoch || tries > max_retransmit) {
        return;
    }
    record_t &r = x.records[key];
    if (r.acked) {
        return;
    }
    upstream_send(u, r.source, h, r.answer);
    after(ack_timeout_ms << tries,
          [=] { upstream_retransmit(u, epoch, h, key, mid, tries + 1); });
}

/* ---- Upstreams: feeds ---- */

void
fleet_t::upstream_observe(int u, int source, const spp_t &h,
                          const coap_msg_t &m, uint64_t key)
{
    upstream_t &x = upstreams[u];
    std::string name = feed_key(h.client, m);
    coap_msg_t r = message(COAP_T_ACK, COAP_CONTENT, m.mid, token_of(m));

    if (m.observe == 0) {
        feed_t f;
        f.header = h;
        f.token = token_of(m);
        f.id = m.path_n > 1 ? m.path[1] : "";
        f.source = source;
        x.feeds[name] = f;
        r.observe = 1;
        trace_event("feed %s at upstream %d", f.id.c_str(), u);
        uint32_t epoch = x.epoch;
        after(feed_interval_ms, [=] { feed_tick(u, epoch, name); });
    }
    else {
        x.feeds.erase(name);
    }
    std::string body = std::string(m.path_n > 1 ? m.path[1] : "");
    set_text(r, body);
    record_t &rec = x.records[key];
    rec = {};
    rec.at = now;
    rec.source = source;
    rec.state = record_t::DONE;
    rec.answer = encode(r);
    upstream_send(u, source, h, rec.answer);
}

/* Sends a notification.  Every fifth is confirmable, and so are all after an
 * unacknowledged one.  Removes the observer when too many are
 * unacknowledged. */
void
fleet_t::feed_tick(int u, uint32_t epoch, const std::string &key)
{
    upstream_t &x = upstreams[u];
    auto it = x.feeds.find(key);

    if (x.epoch != epoch || it == x.feeds.end()) {
        return;
    }
    feed_t &f = it->second;
    if (f.unacked > feed_unacked_max) {
        trace_event("feed %s dropped by upstream %d", f.id.c_str(), u);
        x.feeds.erase(it);
        return;
    }
    bool con = f.sequence % 5 == 0 || f.unacked > 0;
    coap_msg_t m = message(con ? COAP_T_CON : COAP_T_NON, COAP_CONTENT,
                           x.next_mid++, f.token);
    if (con) {
        f.unacked++;
        f.con_mid = m.mid;
    }
    m.observe = f.sequence++;
    set_text(m, f.id);
    upstream_reply(u, f.source, f.header, m);
    after(feed_interval_ms, [=] { feed_tick(u, epoch, key); });
}

/* ---- Callers ---- */

call_t &
fleet_t::open(call_kind_t kind, int service, int client, uint32_t blocks)
{
    static const char letters[] = "PRFUO";
    call_t c;
    size_t n = calls.size();
    uint64_t token = hash_mix(n, opt.seed);

    c.kind = kind;
    c.id = letters[kind] + std::to_string(n + 1);
    c.service = service;
    c.client = fleet_client_addr(client >= 0 ? client : next_client++);
    c.mid = (uint16_t)(1000 + n);
    c.token.assign((uint8_t *)&token, (uint8_t *)&token + 4);
    c.blocks = blocks;
    c.started = c.last_received = now;
    calls.push_back(c);
    by_client[addr_id(&c.client)].push_back(n);
    if (kind == CALL_RAW) {
        after(0, [=] { raw_tick(n); });
    }
    else {
        after(0, [=] { call_send(n); });
    }
    if (kind == CALL_FEED) {
        after(feed_interval_ms, [=] { feed_check_timeout(n); });
    }
    return calls.back();
}

/* Sends the request of call N or retransmits it. */
void
fleet_t::call_send(size_t n)
{
    call_t &c = calls[n];
    coap_msg_t m = message(COAP_T_CON, COAP_POST, c.mid, c.token);

    if (c.kind == CALL_FEED || c.kind == CALL_READ) {
        m.code = COAP_GET;
        m.path_n = 2;
        strcpy(m.path[0], "data");
        snprintf(m.path[1], COAP_SEG_MAX, "%s", c.id.c_str());
        m.observe = c.kind == CALL_FEED ? 0 : COAP_NONE;
    }
    else {
        set_text(m, c.id);
        if (c.kind == CALL_UPLOAD) {
            m.block1 = c.block << 4 | (c.block + 1 < c.blocks) << 3 | 6;
        }
    }
    if (c.sent++ == 0) {
        c.timeout =
            ack_timeout_ms + rng_below(&rng, (uint32_t)ack_timeout_ms / 2);
        uint16_t mid = c.mid;
        after(max_transmit_wait_ms, [=] {
            if (!calls[n].finished && !calls[n].established &&
                calls[n].mid == mid) {
                tally.broken_uploads += calls[n].block > 0;
                tally.timeouts++;
                call_end(calls[n], "timeout");
            }
        });
    }
    client_send(fleet_service_addr(c.service), c.client, encode(m));
    call_schedule_copy(n, c.mid, c.timeout << (c.sent - 1));
}

void
fleet_t::call_schedule_copy(size_t n, uint16_t mid, ms_t duration)
{
    after(duration, [=] {
        call_t &c = calls[n];
        if (!c.finished && !c.established && !c.acked && c.mid == mid &&
            c.sent <= max_retransmit) {
            call_send(n);
        }
    });
}

void
fleet_t::call_end(call_t &c, const char *outcome)
{
    if (c.finished) {
        return;
    }
    trace_event("%s: %s", c.id.c_str(), outcome);
    c.finished = true;
    c.ended = now;
    c.outcome = outcome;
    if (c.kind == CALL_UPLOAD && opt.repeat_uploads) {
        int service = c.service;
        uint32_t blocks = c.blocks;
        after(2000, [=] { open(CALL_UPLOAD, service, -1, blocks); });
    }
    if (c.kind == CALL_POST) {
        hist_add(&tally.answer_ms, (uint64_t)(now - c.started));
    }
}

void
fleet_t::record_not_run(const std::string &id)
{
    reported_not_run.insert(id);
    if (runs.count(id) > 0) {
        trace_event("%s ran but was answered \"not run\"", id.c_str());
        tally.false_not_run++;
    }
}

void
fleet_t::client_receive(addr_t service, addr_t client, bytes_t data)
{
    coap_msg_t m;
    auto it = by_client.find(addr_id(&client));

    if (it == by_client.end()) {
        return;
    }
    addr_t raw_addr = fleet_service_addr(SERVICE_RAW);
    if (addr_eq(&service, &raw_addr)) {
        for (size_t n : it->second) {
            raw_answer(n, std::string(data.begin(), data.end()));
        }
        return;
    }
    if (coap_decode(&m, data.data(), data.size()) < 0) {
        return;
    }
    if (m.code == COAP_EMPTY && m.type == COAP_T_CON) { /* a ping */
        client_send(service, client,
                    encode(message(COAP_T_RST, COAP_EMPTY, m.mid, {})));
        return;
    }
    bool matched = false;
    for (size_t n : it->second) {
        call_t &c = calls[n];
        bool mid_fits = m.type != COAP_T_ACK || c.mid == m.mid;
        if (m.code == COAP_EMPTY) {
            if (c.mid != m.mid || c.finished) {
                continue;
            }
            c.acked = true;
            if (m.type == COAP_T_RST) {
                call_end(c, "reset");
            }
        }
        else if (token_of(m) == c.token && mid_fits && !c.finished) {
            matched = true;
            call_answer(n, m);
            break;
        }
    }
    if (m.type == COAP_T_CON) {
        coap_type_t type = matched ? COAP_T_ACK : COAP_T_RST;
        client_send(service, client,
                    encode(message(type, COAP_EMPTY, m.mid, {})));
    }
}

void
fleet_t::call_answer(size_t n, const coap_msg_t &m)
{
    call_t &c = calls[n];
    std::string text = text_of(m);

    if (m.code >> 5 == 2) {
        std::string want = c.kind == CALL_FEED ? c.id : "A" + c.id;
        if (text != want) {
            trace_event("%s got the answer %s", c.id.c_str(), text.c_str());
            tally.mismatched_answers++;
        }
    }
    if (c.kind == CALL_FEED) {
        feed_answer(n, m);
        return;
    }
    if (c.kind == CALL_UPLOAD && (m.code >> 5 == 2 || c.block > 0)) {
        upload_answer(n, m);
        return;
    }
    if (m.code >> 5 == 2) {
        tally.done++;
        call_end(c, "done");
        return;
    }
    if (m.code == COAP_UNAVAILABLE || m.code == COAP_CONFLICT) {
        tally.not_run++;
        call_end(c, "not run");
        record_not_run(c.id);
        return;
    }
    if (m.code == COAP_GW_TIMEOUT) {
        tally.unknown++;
        call_end(c, "unknown");
        return;
    }
    call_end(c, ("code " + std::to_string(m.code)).c_str());
}

void
fleet_t::upload_answer(size_t n, const coap_msg_t &m)
{
    call_t &c = calls[n];

    if (m.code == COAP_CONTINUE) {
        if (m.block1 >> 4 != c.block) {
            return;
        }
        c.block++;
        c.mid = (uint16_t)(c.mid + 500);
        c.sent = 0;
        c.acked = false;
        after(200, [=] { call_send(n); });
        return;
    }
    if (m.code >> 5 == 2) {
        tally.done++;
        call_end(c, "done");
        return;
    }
    c.broken++;
    tally.broken_uploads++;
    call_end(c, "broken");
}

void
fleet_t::feed_answer(size_t n, const coap_msg_t &m)
{
    call_t &c = calls[n];

    if (m.code >> 5 == 2) {
        c.established = true;
        c.last_received = now;
        c.outcome = "live";
        return;
    }
    if (!c.established) {
        tally.not_run++;
        call_end(c, "refused");
        return;
    }
    c.broken++;
    tally.broken_feeds++;
    call_end(c, "ended");
    reopen(n);
}

/* Opens a feed again after an error answer or a timeout. */
void
fleet_t::reopen(size_t n)
{
    if (calls[n].kind == CALL_FEED) {
        int service = calls[n].service;
        after(500, [=] { open(CALL_FEED, service); });
    }
}

void
fleet_t::feed_check_timeout(size_t n)
{
    call_t &c = calls[n];

    if (c.finished) {
        return;
    }
    if (c.established && now - c.last_received > feed_timeout_ms) {
        c.broken++;
        tally.broken_feeds++;
        call_end(c, "silent");
        reopen(n);
        return;
    }
    after(feed_interval_ms, [=] { feed_check_timeout(n); });
}

void
fleet_t::raw_tick(size_t n)
{
    call_t &c = calls[n];

    if (c.finished) {
        return;
    }
    if (c.established && now - c.last_received > raw_timeout_ms) {
        c.broken++;
        tally.broken_flows++;
        call_end(c, "silent");
        return;
    }
    std::string text =
        c.id + "." + std::to_string(c.established ? ++c.sequence : 0);
    client_send(fleet_service_addr(SERVICE_RAW), c.client,
                bytes_t(text.begin(), text.end()));
    after(raw_interval_ms, [=] { raw_tick(n); });
}

/* An echo is "O5.7@UPSTREAM/EPOCH"; an established flow keeps both. */
void
fleet_t::raw_answer(size_t n, const std::string &text)
{
    call_t &c = calls[n];
    size_t dot = text.find('.'), at_sign = text.find('@');

    if (c.finished || dot == std::string::npos ||
        at_sign == std::string::npos) {
        return;
    }
    if (text.substr(0, dot) != c.id) {
        tally.mismatched_answers++;
        return;
    }
    bool opening = text.substr(dot + 1, at_sign - dot - 1) == "0";
    std::string current = text.substr(at_sign + 1);
    c.last_received = now;
    c.outcome = "live";
    c.established = true;
    if (opening) {
        return;
    }
    if (!c.upstream_epoch.empty() && c.upstream_epoch != current) {
        c.broken++;
        tally.broken_flows++;
        call_end(c, "moved");
        return;
    }
    c.upstream_epoch = current;
}

/* ---- Results ---- */

std::string
fleet_t::violations()
{
    char line[256];

    snprintf(line, sizeof(line),
             "twice %d, false not-run %d, misdelivered %d, crossed %d, "
             "reverts %d, late work on leaving %d",
             tally.duplicate_runs, tally.false_not_run, tally.misdelivered,
             tally.mismatched_answers, tally.version_reverts,
             tally.late_drain_work);
    return line;
}

std::string
fleet_t::report()
{
    std::string s;

    for (const call_t &c : calls) {
        s += c.id + " " + c.outcome;
        if (c.kind == CALL_POST) {
            s += ", ran " + std::to_string(runs[c.id].size());
        }
        s += "\n";
    }
    return s + violations() + "\n";
}
