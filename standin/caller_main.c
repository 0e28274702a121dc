/* si_caller: runs many callers in one process.  Each has its own UDP socket
 * and sends each datagram to an instance picked by the fabric. */
#include "standin/client.h"
#include "standin/fabric.h"
#include "standin/tool.h"
#include "standin/udp.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define CLIENTS_MAX 20000
#define TICK_MS 10
#define EVENTS 256
#define BURST 16 /* maximum datagrams read from a socket in a row */

typedef struct {
    const char *platform;
    addr_t service;
    addr_t from; /* IP of the first client */
    uint32_t clients[SI_KINDS];
    ms_t run_ms, grace_ms;
    si_client_params_t params;
    FILE *log;
    bool json;
    int lose, repeat; /* percent of datagrams */
    uint64_t seed;
} options_t;

typedef struct {
    int fd;
    si_client_t *client;
    struct run *run;
} slot_t;

typedef struct run {
    options_t *o;
    si_fabric_t *fabric;
    int epoll;
    slot_t *slot;
    size_t n;
    si_client_stats_t stats[SI_KINDS];
    uint64_t undeliverable; /* dropped: the instance list was empty */
} run_t;

static void
send_one(slot_t *s, const uint8_t *data, size_t len)
{
    si_target_t t;
    char text[ADDR_STRLEN];
    addr_t to = s->run->o->service;

    if (!si_fabric_pick(s->run->fabric, &t)) {
        s->run->undeliverable++;
        return;
    }
    if (t.service_ip[0] != '\0') {
        snprintf(text, sizeof(text),
                 strchr(t.service_ip, ':') != NULL ? "[%s]:%u" : "%s:%u",
                 t.service_ip, s->run->o->service.port);
        if (addr_parse(&to, text) < 0) {
            return;
        }
    }
    si_udp_send(s->fd, &to, data, len);
}

static void
send_copies(void *arg, const uint8_t *data, size_t len)
{
    slot_t *s = arg;
    int copies = si_fabric_copies(s->run->fabric);

    for (int i = 0; i < copies; i++) {
        send_one(s, data, len);
    }
}

static void
write_log(void *arg, const char *line)
{
    slot_t *s = arg;

    if (s->run->o->log != NULL) {
        fprintf(s->run->o->log, "%s\n", line);
    }
}

/* Address of the I-th client: consecutive IPs, any free port. */
static addr_t
client_addr(const options_t *o, size_t i)
{
    addr_t a = o->from;
    uint32_t ip = (uint32_t)a.ip[12] << 24 | (uint32_t)a.ip[13] << 16 |
                  (uint32_t)a.ip[14] << 8 | a.ip[15];

    ip += (uint32_t)i;
    for (int b = 0; b < 4; b++) {
        a.ip[15 - b] = (uint8_t)(ip >> (8 * b));
    }
    a.port = 0;
    return a;
}

static int
slot_open(run_t *r, size_t i, si_kind_t kind)
{
    slot_t *s = &r->slot[i];
    addr_t local = client_addr(r->o, i);
    si_client_params_t p = r->o->params;
    si_client_out_t out = {.arg = s, .send = send_copies, .log = write_log};
    struct epoll_event ev = {.events = EPOLLIN, .data.ptr = s};

    s->run = r;
    s->fd = si_udp_open(&local);
    if (s->fd < 0) {
        return s->fd;
    }
    if (si_udp_local(s->fd, &p.self) < 0) {
        return -EIO;
    }
    p.kind = kind;
    p.service = r->o->service;
    p.seed = hash_mix(r->o->seed, i);
    snprintf(p.name, sizeof(p.name), "%c%llx.%zu", si_kind_names[kind][0],
             (unsigned long long)(r->o->seed & 0xFFFF), i);
    s->client = si_client_new(&p, &out, &r->stats[kind], clock_now());
    return epoll_ctl(r->epoll, EPOLL_CTL_ADD, s->fd, &ev) < 0 ? -errno : 0;
}

static int
open_all(run_t *r)
{
    for (int k = 0; k < SI_KINDS; k++) {
        for (uint32_t i = 0; i < r->o->clients[k]; i++) {
            int rc = slot_open(r, r->n, (si_kind_t)k);
            r->n++;
            if (rc < 0) {
                return rc;
            }
        }
    }
    return 0;
}

static void
drain_socket(slot_t *s)
{
    uint8_t b[DATAGRAM_MAX + 100];
    addr_t from;

    for (int i = 0; i < BURST; i++) {
        int n = si_udp_receive(s->fd, &from, b, sizeof(b));
        if (n < 0) {
            return;
        }
        si_client_receive(s->client, clock_now(), b, (size_t)n);
    }
}

static void
step(run_t *r)
{
    struct epoll_event ev[EVENTS];
    int n = epoll_wait(r->epoll, ev, EVENTS, TICK_MS);
    ms_t now;

    for (int i = 0; i < n; i++) {
        drain_socket(ev[i].data.ptr);
    }
    now = clock_now();
    for (size_t i = 0; i < r->n; i++) {
        si_client_tick(r->slot[i].client, now);
    }
}

static bool
all_idle(const run_t *r)
{
    for (size_t i = 0; i < r->n; i++) {
        if (!si_client_idle(r->slot[i].client)) {
            return false;
        }
    }
    return true;
}

static void
run_clients(run_t *r)
{
    ms_t end = clock_now() + r->o->run_ms;

    while (!si_stop_asked() && clock_now() < end) {
        step(r);
    }
    for (size_t i = 0; i < r->n; i++) {
        si_client_stop(r->slot[i].client);
    }
    end = clock_now() + r->o->grace_ms;
    while (!all_idle(r) && clock_now() < end) {
        step(r);
    }
    for (size_t i = 0; i < r->n; i++) {
        si_client_abort(r->slot[i].client, clock_now());
    }
}

static void
print_text(const run_t *r)
{
    for (int k = 0; k < SI_KINDS; k++) {
        const si_client_stats_t *t = &r->stats[k];
        if (r->o->clients[k] == 0) {
            continue;
        }
        printf("%s: clients=%u sent=%llu retransmitted=%llu", si_kind_names[k],
               r->o->clients[k], (unsigned long long)t->sent,
               (unsigned long long)t->retransmitted);
        for (int i = 0; i < SI_OUTCOMES; i++) {
            printf(" %s=%llu", si_outcome_names[i],
                   (unsigned long long)t->outcome[i]);
        }
        printf(" established=%llu notified=%llu uploaded=%llu broken=%llu "
               "crossed=%llu p50_ms=%llu p99_ms=%llu\n",
               (unsigned long long)t->established,
               (unsigned long long)t->notified,
               (unsigned long long)t->uploaded, (unsigned long long)t->broken,
               (unsigned long long)t->crossed,
               (unsigned long long)hist_quantile(&t->ms, 0.5),
               (unsigned long long)hist_quantile(&t->ms, 0.99));
    }
}

static json_t *
stats_json(const si_client_stats_t *t)
{
    json_t *o = json_object();
    const struct {
        const char *name;
        uint64_t v;
    } f[] = {{"sent", t->sent},
             {"retransmitted", t->retransmitted},
             {"established", t->established},
             {"notified", t->notified},
             {"uploaded", t->uploaded},
             {"broken", t->broken},
             {"crossed", t->crossed},
             {"p50_ms", hist_quantile(&t->ms, 0.5)},
             {"p99_ms", hist_quantile(&t->ms, 0.99)}};

    for (size_t i = 0; i < sizeof(f) / sizeof(f[0]); i++) {
        json_object_set_new(o, f[i].name, json_integer((json_int_t)f[i].v));
    }
    for (int i = 0; i < SI_OUTCOMES; i++) {
        json_object_set_new(o, si_outcome_names[i],
                            json_integer((json_int_t)t->outcome[i]));
    }
    return o;
}

static void
print_json(const run_t *r)
{
    json_t *o = json_object();

    for (int k = 0; k < SI_KINDS; k++) {
        if (r->o->clients[k] > 0) {
            json_object_set_new(o, si_kind_names[k], stats_json(&r->stats[k]));
        }
    }
    json_dumpf(o, stdout, JSON_INDENT(1));
    printf("\n");
    json_decref(o);
}

static void
close_all(run_t *r)
{
    for (size_t i = 0; i < r->n; i++) {
        si_client_free(r->slot[i].client);
        if (r->slot[i].fd >= 0) {
            close(r->slot[i].fd);
        }
    }
    free(r->slot);
    close(r->epoll);
    si_fabric_close(r->fabric);
}

/* Waits until the fabric lists an instance. */
static void
wait_for_fabric(run_t *r)
{
    ms_t end = clock_now() + r->o->run_ms;

    while (!si_stop_asked() && si_fabric_size(r->fabric) == 0 &&
           clock_now() < end) {
        usleep(TICK_MS * 1000);
    }
}

static int
run(options_t *o)
{
    run_t r = {.o = o, .epoll = epoll_create1(EPOLL_CLOEXEC)};
    size_t total = 0;
    int rc;

    for (int k = 0; k < SI_KINDS; k++) {
        total += o->clients[k];
    }
    if (total == 0 || total > CLIENTS_MAX) {
        fprintf(stderr, "si_caller: the number of clients must be 1 to %d\n",
                CLIENTS_MAX);
        return 2;
    }
    r.fabric = si_fabric_open(o->platform, o->seed);
    r.slot = calloc(total, sizeof(*r.slot));
    if (r.slot == NULL || r.fabric == NULL) {
        fprintf(stderr, "si_caller: out of memory\n");
        close_all(&r);
        return 1;
    }
    si_fabric_set_faults(r.fabric, o->lose, o->repeat);
    wait_for_fabric(&r);
    rc = open_all(&r);
    if (rc < 0) {
        fprintf(stderr, "si_caller: a client's socket can't be opened: %s\n",
                strerror(-rc));
    }
    else {
        run_clients(&r);
        o->json ? print_json(&r) : print_text(&r);
    }
    close_all(&r);
    return rc < 0 ? 1 : 0;
}

/* Command-line options; argtable requires its entries in one array. */
typedef struct {
    struct arg_str *platform, *service, *from;
    struct arg_int *kind[SI_KINDS];
    struct arg_int *seconds, *grace, *every, *ack, *silence, *blocks, *seed;
    struct arg_int *lose, *repeat;
    struct arg_file *log;
    struct arg_lit *json, *help;
    struct arg_end *end;
} args_t;

static args_t
args_new(void)
{
    return (args_t){
        .platform = arg_str1(NULL, "platform", "URL", "the platform"),
        .service = arg_str1(NULL, "service", "IP:PORT", "where to send to"),
        .from = arg_str0(NULL, "from", "IP", "first client (127.9.0.1)"),
        .kind = {arg_int0(NULL, "feeds", "N", "clients with a live feed"),
                 arg_int0(NULL, "acks", "N", "clients that POST"),
                 arg_int0(NULL, "uploads", "N", "clients that upload"),
                 arg_int0(NULL, "reads", "N", "clients that GET"),
                 arg_int0(NULL, "echoes", "N", "clients of a udp service")},
        .seconds = arg_int0(NULL, "seconds", "S", "length of the run (10)"),
        .grace =
            arg_int0(NULL, "grace-ms", "MS", "to wait at the end (20000)"),
        .every = arg_int0(NULL, "every-ms", "MS", "answer to request (500)"),
        .ack = arg_int0(NULL, "ack-timeout-ms", "MS", "ACK_TIMEOUT (2000)"),
        .silence = arg_int0(NULL, "silence-ms", "MS",
                            "a feed so long silent is broken (10000)"),
        .blocks = arg_int0(NULL, "blocks", "N", "blocks of an upload (8)"),
        .seed = arg_int0(NULL, "seed", "N", "random seed (1)"),
        .lose = arg_int0(NULL, "lose", "N", "of 100 datagrams (0)"),
        .repeat = arg_int0(NULL, "repeat", "N", "of 100 datagrams (0)"),
        .log = arg_file0(NULL, "log", "FILE", "log of outcomes"),
        .json = arg_lit0(NULL, "json", "summary as JSON"),
        .help = arg_lit0("h", "help", "print this"),
        .end = arg_end(10)};
}

static int
options_read(options_t *o, const args_t *a)
{
    char text[ADDR_STRLEN];

    snprintf(text, sizeof(text), "%s:1",
             a->from->count ? a->from->sval[0] : "127.9.0.1");
    if (addr_parse(&o->service, a->service->sval[0]) < 0 ||
        addr_parse(&o->from, text) < 0) {
        fprintf(stderr, "si_caller: addresses must have the form IP:PORT\n");
        return -EINVAL;
    }
    for (int k = 0; k < SI_KINDS; k++) {
        o->clients[k] = (uint32_t)si_option_int(a->kind[k], 0);
    }
    o->platform = a->platform->sval[0];
    o->run_ms = (ms_t)si_option_int(a->seconds, 10) * 1000;
    o->grace_ms = si_option_int(a->grace, 20000);
    o->params.interval_ms =
        si_option_int(a->every, (int)o->params.interval_ms);
    o->params.ack_ms = si_option_int(a->ack, (int)o->params.ack_ms);
    o->params.silence_timeout_ms =
        si_option_int(a->silence, (int)o->params.silence_timeout_ms);
    o->params.blocks =
        (uint32_t)si_option_int(a->blocks, (int)o->params.blocks);
    o->seed = (uint64_t)si_option_int(a->seed, 1);
    o->lose = si_option_int(a->lose, 0);
    o->repeat = si_option_int(a->repeat, 0);
    o->json = a->json->count > 0;
    return 0;
}

static int
run_logged(options_t *o, const args_t *a)
{
    int rc;

    if (options_read(o, a) < 0) {
        return 2;
    }
    if (a->log->count > 0) {
        o->log = si_log_open("si_caller", a->log, NULL);
        if (o->log == NULL) {
            return 2;
        }
    }
    si_catch_stop();
    rc = run(o);
    if (o->log != NULL) {
        fclose(o->log);
    }
    return rc;
}

int
main(int argc, char **argv)
{
    args_t a = args_new();
    options_t o = {.params = SI_CLIENT_PARAMS};
    void *table[sizeof(a) / sizeof(void *)];
    int rc;

    memcpy(table, &a, sizeof(a));
    if (si_args("si_caller", argc, argv, table, a.help, a.end, &rc)) {
        rc = run_logged(&o, &a);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
