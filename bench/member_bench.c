/* member_bench: measures the cost and the latency of membership by the size of
 * the fleet.  Simulates time, the instances, and a switch that delays each
 * message by 1 to 3 ms.  Byte counts include 28 bytes of IP and UDP headers
 * and 29 bytes of envelope and tag per message.
 *
 * usage: member_bench [N ...]
 */
#include "member/internal.h"
#include "wire/wire.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICK_MS 50
#define OVERHEAD (28 + 13 + 16) /* IP and UDP; envelope; tag */
#define FETCH_MS 20             /* transfer of a version between peers */
#define RING_SLOTS 32
#define STEADY_S 60
#define TRIALS 5
#define TIMEOUT_MS 600000

/* The brief's rates for the whole fleet. */
#define REPLACED_PER_DAY 7400
#define FAILED_PER_DAY 560
#define VERSIONS_PER_DAY 12000
#define DAY_S 86400.0

typedef struct {
    members_t *m;
    uint64_t id;
    int index;
    int side;
    ms_t leaving_at;   /* MS_NEVER: not leaving */
    ms_t successor_at; /* start time of its successor */
    uint64_t fetched;
    ms_t fetched_at;
    ms_t started_at;
    ms_t active_at;
} node_t;

typedef struct {
    uint32_t to, len;
    uint64_t from;
} frame_t;

typedef struct {
    uint8_t *p;
    size_t len, cap;
} bucket_t;

typedef struct {
    int n;
    node_t *node;
    ms_t now;
    rng_t rng;
    int loss; /* percent */
    uint32_t names_used;
    uint64_t sent, bytes;
    bucket_t ring[RING_SLOTS];
} fleet_t;

static fleet_t fleet;

/* ---- The switch ---- */

static void
bucket_put(bucket_t *b, const void *p, size_t len)
{
    if (b->cap - b->len < len) {
        b->cap = (b->cap + len) * 2;
        b->p = realloc(b->p, b->cap);
        if (b->p == NULL) {
            abort();
        }
    }
    memcpy(b->p + b->len, p, len);
    b->len += len;
}

static void
transmit(const node_t *from, const member_out_t *out)
{
    frame_t frame = {.from = from->id, .len = (uint32_t)out->send.len};
    ms_t at = fleet.now + 1 + rng_below(&fleet.rng, 3);

    memcpy(&frame.to, out->send.to.ip + 12, sizeof(frame.to));
    fleet.sent++;
    fleet.bytes += out->send.len + OVERHEAD;
    if (rng_below(&fleet.rng, 100) < (uint32_t)fleet.loss ||
        fleet.node[frame.to].side != from->side) {
        return;
    }
    bucket_put(&fleet.ring[at % RING_SLOTS], &frame, sizeof(frame));
    bucket_put(&fleet.ring[at % RING_SLOTS], out->send.body, out->send.len);
}

static void
on_member_out(void *arg, const member_out_t *out)
{
    node_t *n = arg;

    switch (out->kind) {
    case MEMBER_OUT_SEND:
        transmit(n, out);
        return;
    case MEMBER_OUT_FETCH:
        n->fetched = out->fetch.version;
        n->fetched_at = fleet.now + FETCH_MS;
        return;
    case MEMBER_OUT_CHANGE:
        return;
    }
}

static void
deliver_all(bucket_t *b)
{
    size_t off = 0;

    while (off < b->len) {
        frame_t frame;
        node_t *to;
        memcpy(&frame, b->p + off, sizeof(frame));
        off += sizeof(frame);
        to = &fleet.node[frame.to];
        if (to->m != NULL) {
            members_receive(to->m, fleet.now, frame.from, b->p + off,
                            frame.len);
        }
        off += frame.len;
    }
    b->len = 0;
}

/* ---- Instances ---- */

static member_t
describe(int index, uint32_t names_used)
{
    member_t r = {.incarnation = 1796000000, .state = MEMBER_JOINING};
    uint32_t at = (uint32_t)index;

    snprintf(r.name, sizeof(r.name), "entry-%05u", names_used);
    snprintf(r.data_centre, sizeof(r.data_centre), "dc-%02u", at % 16);
    r.id = instance_id(r.name);
    r.peer_addr.ip[10] = r.peer_addr.ip[11] = 255;
    memcpy(r.peer_addr.ip + 12, &at, sizeof(at));
    r.peer_addr.port = 7000;
    r.bulk_addr = r.peer_addr;
    return r;
}

static void
start(node_t *n, const member_t *self)
{
    member_params_t params = MEMBER_PARAMS_DEFAULT;

    n->id = self->id;
    n->leaving_at = n->successor_at = n->fetched_at = MS_NEVER;
    n->started_at = fleet.now;
    n->active_at = MS_NEVER;
    n->m = members_new(self, &params, fleet.now + 1, on_member_out, n);
}

static int
by_id(const void *a, const void *b)
{
    const member_t *x = a;
    const member_t *y = b;

    return x->id < y->id ? -1 : x->id > y->id;
}

/* Completes the view of M and empties its gossip queue: the state of a fleet
 * after a long run. */
static void
mark_converged(members_t *m, const member_t *all)
{
    for (int i = 0; i < fleet.n; i++) {
        peer_t *p = table_find(m, all[i].id);
        if (p == NULL) {
            p = view_add(m, fleet.now - TIMEOUT_MS, &all[i]);
        }
        list_remove(&p->gossip);
        p->acked_incarnation = all[i].incarnation;
    }
    m->gossip_n = 0;
    table_shuffle(m);
}

static size_t
fleet_new(int n)
{
    member_t *all = calloc((size_t)n, sizeof(*all));
    size_t before;

    fleet = (fleet_t){.n = n, .now = TIMEOUT_MS, .rng = {.seed = (uint64_t)n}};
    fleet.node = calloc((size_t)n, sizeof(*fleet.node));
    if (all == NULL || fleet.node == NULL) {
        abort();
    }
    before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (int i = 0; i < n; i++) {
        all[i] = describe(i, fleet.names_used++);
        all[i].state = MEMBER_ACTIVE;
        fleet.node[i].index = i;
        start(&fleet.node[i], &all[i]);
        fleet.node[i].active_at = fleet.now;
    }
    qsort(all, (size_t)n, sizeof(*all), by_id);
    for (int i = 0; i < n; i++) {
        mark_converged(fleet.node[i].m, all);
    }
    free(all);
    return (mallinfo2().uordblks + mallinfo2().hblkhd - before) / (size_t)n;
}

static void
fleet_free(void)
{
    for (int i = 0; i < fleet.n; i++) {
        members_free(fleet.node[i].m);
    }
    for (int i = 0; i < RING_SLOTS; i++) {
        free(fleet.ring[i].p);
    }
    free(fleet.node);
}

static void
kill_node(node_t *n)
{
    members_free(n->m);
    n->m = NULL;
    n->leaving_at = MS_NEVER;
}

/* Starts a successor under a new name, with the platform's list (simulated by
 * the view of a live instance) and the version in force. */
static void
start_successor(node_t *n)
{
    member_t self = describe(n->index, fleet.names_used++);
    const node_t *source = &fleet.node[n->index == 0 ? 1 : 0];
    const member_t *list;
    size_t k;

    start(n, &self);
    if (source->m == NULL) {
        return;
    }
    k = members_list(source->m, &list);
    for (size_t i = 0; i < k; i++) {
        if (is_alive(&list[i])) {
            members_add_peer(n->m, fleet.now, &list[i]);
        }
    }
    members_set_version(n->m, fleet.now, self_of(source->m)->version, 1);
}

static void
advance_node(node_t *n)
{
    if (n->m == NULL) {
        if (fleet.now >= n->successor_at) {
            start_successor(n);
        }
        return;
    }
    if (fleet.now >= n->fetched_at) {
        n->fetched_at = MS_NEVER;
        members_set_version(n->m, fleet.now, n->fetched, 1);
    }
    if (n->active_at == MS_NEVER && members_acked(n->m)) {
        members_set_self(n->m, fleet.now, MEMBER_ACTIVE);
        n->active_at = fleet.now;
    }
    if (fleet.now - 3000 >= n->leaving_at) {
        kill_node(n);
        n->successor_at = fleet.now + 1000;
    }
    else if (fleet.now - 2000 >= n->leaving_at) {
        members_set_self(n->m, fleet.now, MEMBER_GONE);
    }
}

static void
step(void)
{
    fleet.now++;
    deliver_all(&fleet.ring[fleet.now % RING_SLOTS]);
    for (int i = (int)(fleet.now % TICK_MS); i < fleet.n; i += TICK_MS) {
        node_t *n = &fleet.node[i];
        advance_node(n);
        if (n->m != NULL) {
            members_tick(n->m, fleet.now);
        }
    }
}

static void
run(ms_t ms)
{
    for (ms_t end = fleet.now + ms; fleet.now < end;) {
        step();
    }
}

/* ---- Measurements ---- */

static double
cpu_s(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

typedef struct {
    double bytes, messages, cpu_us; /* per second and instance */
} rate_t;

static bool
random_event(double per_day)
{
    double ms = DAY_S * 1000 / per_day;

    return rng_below(&fleet.rng, (uint32_t)ms) == 0;
}

static node_t *
any_node(void)
{
    return &fleet.node[rng_below(&fleet.rng, (uint32_t)fleet.n)];
}

/* Applies changes at the brief's rates for the whole fleet, at every size. */
static void
apply_random_change(uint64_t *version)
{
    node_t *n = any_node();

    if (n->m == NULL || n->leaving_at != MS_NEVER) {
        return;
    }
    if (random_event(REPLACED_PER_DAY)) {
        n->leaving_at = fleet.now;
        members_set_self(n->m, fleet.now, MEMBER_LEAVING);
    }
    else if (random_event(FAILED_PER_DAY)) {
        kill_node(n);
        n->successor_at = fleet.now + 10000;
    }
    else if (random_event(VERSIONS_PER_DAY)) {
        members_set_version(n->m, fleet.now, ++*version, 1);
    }
}

static rate_t
measure_steady(bool changes, uint64_t *version)
{
    double span = (double)STEADY_S * fleet.n;
    double cpu = cpu_s();

    fleet.sent = fleet.bytes = 0;
    for (ms_t end = fleet.now + STEADY_S * 1000; fleet.now < end;) {
        if (changes) {
            apply_random_change(version);
        }
        step();
    }
    return (rate_t){.bytes = (double)fleet.bytes / span,
                    .messages = (double)fleet.sent / span,
                    .cpu_us = (cpu_s() - cpu) * 1e6 / span};
}

/* Counts the live instances that hold ID as suspect or gone. */
static int
count_suspecting(uint64_t id)
{
    int count = 0;

    for (int i = 0; i < fleet.n; i++) {
        const members_t *m = fleet.node[i].m;
        const member_t *r = m != NULL ? members_find(m, id) : NULL;
        count += r != NULL && !is_alive(r);
    }
    return count;
}

static void
measure_detection(ms_t *first, ms_t *last)
{
    node_t *n = &fleet.node[fleet.n - 1];
    ms_t from = fleet.now;
    int seen = 0;

    kill_node(n);
    n->successor_at = MS_NEVER;
    *first = -1;
    while (seen < fleet.n - 1 && fleet.now - from < TIMEOUT_MS) {
        run(10);
        seen = count_suspecting(n->id);
        if (seen > 0 && *first < 0) {
            *first = fleet.now - from;
        }
    }
    *last = fleet.now - from;
}

static bool
all_have(uint64_t version)
{
    for (int i = 0; i < fleet.n; i++) {
        if (fleet.node[i].m != NULL &&
            self_of(fleet.node[i].m)->version < version) {
            return false;
        }
    }
    return true;
}

static ms_t
spread_version(uint64_t version)
{
    ms_t from = fleet.now;

    members_set_version(fleet.node[0].m, fleet.now, version, 1);
    while (!all_have(version) && fleet.now - from < TIMEOUT_MS) {
        run(10);
    }
    return fleet.now - from;
}

/* Time until one instance has learned that all have VERSION. */
static ms_t
confirm_version(uint64_t version)
{
    ms_t from = fleet.now;

    spread_version(version);
    while (members_lowest_version(fleet.node[0].m) < version &&
           fleet.now - from < TIMEOUT_MS) {
        run(10);
    }
    return fleet.now - from;
}

static ms_t
measure_join(void)
{
    node_t *n = &fleet.node[fleet.n - 1];

    n->successor_at = fleet.now;
    run(TICK_MS + 1);
    while (n->active_at == MS_NEVER &&
           fleet.now - n->started_at < TIMEOUT_MS) {
        run(10);
    }
    return fleet.now - n->started_at;
}

static bool
all_agree(void)
{
    for (int i = 0; i < fleet.n; i++) {
        member_stats_t s;
        members_stats(fleet.node[i].m, &s);
        if (s.count[MEMBER_ACTIVE] != (uint32_t)fleet.n) {
            return false;
        }
    }
    return true;
}

/* Partitions the fleet into halves for a minute.  Returns the time until all
 * views agree again; BYTES: bytes per second and instance in that time. */
static ms_t
measure_heal(double *bytes)
{
    ms_t from;

    for (int i = 0; i < fleet.n; i++) {
        fleet.node[i].side = i % 2;
    }
    run(60000);
    for (int i = 0; i < fleet.n; i++) {
        fleet.node[i].side = 0;
    }
    from = fleet.now;
    fleet.bytes = 0;
    while (!all_agree() && fleet.now - from < TIMEOUT_MS) {
        run(100);
    }
    *bytes = (double)fleet.bytes * 1000 / (double)(fleet.now - from) / fleet.n;
    return fleet.now - from;
}

static uint64_t
false_suspicions(void)
{
    uint64_t sum = 0;

    fleet.loss = 1;
    run(STEADY_S * 1000);
    fleet.loss = 0;
    for (int i = 0; i < fleet.n; i++) {
        member_stats_t s;
        members_stats(fleet.node[i].m, &s);
        sum += s.suspected;
    }
    return sum;
}

/* Time of one members_watches_platform() call in us. */
static double
watch_check_us(void)
{
    double start = cpu_s();
    int checks = 0;

    for (int i = 0; checks < 200; i++) {
        const members_t *m = fleet.node[i % fleet.n].m;
        if (m != NULL) {
            members_watches_platform(m, 2);
            checks++;
        }
    }
    return (cpu_s() - start) * 1e6 / checks;
}

static void
cost_row(int n)
{
    uint64_t version = 1;
    size_t memory = fleet_new(n);
    rate_t idle;
    rate_t busy;

    run(2000);
    idle = measure_steady(false, &version);
    busy = measure_steady(true, &version);
    printf("%6d %8.0f %6.1f %7.0f %8.0f %6.1f %7.0f %9zu %8.1f\n", n,
           idle.bytes, idle.messages, idle.cpu_us, busy.bytes, busy.messages,
           busy.cpu_us, memory, watch_check_us());
    fflush(stdout);
    fleet_free();
}

typedef struct {
    ms_t sum, max;
} times_t;

static void
times_add(times_t *t, ms_t v)
{
    t->sum += v;
    t->max = v > t->max ? v : t->max;
}

static void
time_row(int n)
{
    times_t first = {0}, last = {0}, version = {0};
    ms_t joined = 0;
    ms_t known;

    fleet_new(n);
    run(1000);
    known = confirm_version(1);
    for (int i = 0; i < TRIALS; i++) {
        ms_t first_ms, all;
        times_add(&version, spread_version((uint64_t)i + 2));
        measure_detection(&first_ms, &all);
        times_add(&first, first_ms);
        times_add(&last, all);
        joined = measure_join();
    }
    printf("%6d %7ld %7ld %7ld %8ld %8ld %8ld %8ld", n,
           (long)first.sum / TRIALS, (long)last.sum / TRIALS, (long)last.max,
           (long)version.sum / TRIALS, (long)version.max, (long)known,
           (long)joined);
    fflush(stdout);
    fleet_free();
}

static void
fault_row(int n)
{
    double bytes;
    uint64_t false_count;
    ms_t healed;

    fleet_new(n);
    run(1000);
    false_count = false_suspicions();
    healed = measure_heal(&bytes);
    printf(" %7lu %8ld %8.0f\n", (unsigned long)false_count, (long)healed,
           bytes);
    fflush(stdout);
    fleet_free();
}

/* ---- Messages ---- */

static const uint8_t key[PEER_KEY_LEN] = {1};

static size_t
sealed_len(const uint8_t *body, size_t len)
{
    uint8_t out[PEER_MSG_MAX];
    peer_msg_t msg = {.kind = PEER_MEMBER, .from = instance_id("entry-1")};

    msg.member.body = body;
    msg.member.len = len;
    return (size_t)peer_write(out, sizeof(out), &msg, key);
}

static void
size_row(const char *what, int brief, int full)
{
    uint8_t body[MEMBER_BODY_MAX];
    body_t b = {.p = body, .cap = sizeof(body)};
    member_t m = describe(7, 7);
    msg_head_t head = {.kind = MSG_PING, .seq = 1u << 31, .sender = m};

    m.incarnation = 1796000000; /* the wall clock in seconds */
    m.version = 12000;
    head.sender = m;
    head.echo = m;
    head.hash = m.id;
    body_head(&b, &head);
    for (int i = 0; i < brief + full; i++) {
        body_record(&b, &m, i < full);
    }
    printf("%-28s %5zu %5zu %5zu\n", what, b.len, sealed_len(body, b.len),
           sealed_len(body, b.len) + 28);
}

/* Time to seal and open one ping in us. */
static double
seal_us(void)
{
    enum { ROUNDS = 200000 };
    uint8_t out[PEER_MSG_MAX], body[100] = {0};
    peer_msg_t msg = {.kind = PEER_MEMBER, .from = 1}, back;
    double start = cpu_s();

    msg.member.body = body;
    msg.member.len = sizeof(body);
    for (int i = 0; i < ROUNDS; i++) {
        int n = peer_write(out, sizeof(out), &msg, key);
        if (peer_read(&back, out, (size_t)n, key) < 0) {
            abort();
        }
    }
    return (cpu_s() - start) * 1e6 / ROUNDS;
}

static void
sizes(void)
{
    printf("# Messages, bytes: body, with envelope and tag, with UDP and "
           "IPv4.\n");
    size_row("ping or ack", 0, 0);
    size_row("ping, 1 brief record", 1, 0);
    size_row("ping, 6 brief records", 6, 0);
    size_row("ping, 1 full record", 0, 1);
    size_row("ping, 6 full records", 0, 6);
    printf("# Sealing and opening one: %.2f us\n", seal_us());
}

int
main(int argc, char **argv)
{
    static const int default_sizes[] = {8, 32, 128, 512, 1024, 2048, 3072};
    int n[16];
    int count = 0;

    for (int i = 1; i < argc && count < 16; i++) {
        n[count++] = atoi(argv[i]);
    }
    for (size_t i = 0;
         argc == 1 && i < sizeof(default_sizes) / sizeof(*default_sizes);
         i++) {
        n[count++] = default_sizes[i];
    }
    sizes();
    printf("# Cost an instance: without changes, and with the letter's (7,400 "
           "replaced, 560 failed,\n# 12,000 versions a day, at every size).  "
           "CPU includes the driver's switch.\n"
           "#    n   idle_B  msg/s  cpu_us   busy_B  msg/s  cpu_us   "
           "mem_B watch_us\n");
    for (int i = 0; i < count; i++) {
        cost_row(n[i]);
    }
    printf("# Times, ms: a death noticed first, and by the last (mean, max of "
           "5); a version at the\n# last (mean, max), and one known by an "
           "instance to be everywhere; a join to ACTIVE.\n# Suspicions in 60 "
           "s at 1 %% loss; a half cut off for 60 s: until all agree, and "
           "bytes a\n# second and instance meanwhile.\n"
           "#    n   first    last  lastmax  version  vermax    known     join"
           "   wrong     heal   heal_B\n");
    for (int i = 0; i < count; i++) {
        time_row(n[i]);
        fault_row(n[i]);
    }
    return 0;
}
