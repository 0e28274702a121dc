/* si_upstream: many upstreams in one process, each with a socket of its own,
 * and an admin port to restart, kill, drain or freeze them. */
#include "standin/fabric.h"
#include "standin/rest.h"
#include "standin/udp.h"
#include "standin/upstream.h"

#include <argtable2.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define UPSTREAMS_MAX 256
#define TICK_MS 5
#define BURST 64 /* datagrams read from one socket before the next */
#define DOWN_MS 2000

typedef struct {
    int fd;
    si_upstream_t *upstream;
    struct host *host;
} slot_t;

typedef struct host {
    si_fabric_t *fabric;
    si_rest_t *rest;
    pthread_mutex_t lock; /* between the loop and the admin port */
    int epoll;
    FILE *log;
    slot_t slot[UPSTREAMS_MAX];
    size_t n;
} host_t;

static volatile sig_atomic_t stop_asked;

static void
on_signal(int sig)
{
    (void)sig;
    stop_asked = 1;
}

/* A return address stands for all instances: the fabric picks one. */
static void
send_reply(void *arg, const addr_t *to, const uint8_t *data, size_t len)
{
    slot_t *s = arg;
    si_target_t t;

    if (si_fabric_is_return(s->host->fabric, to) &&
        si_fabric_pick(s->host->fabric, &t)) {
        si_udp_send(s->fd, &t.return_addr, data, len);
        return;
    }
    si_udp_send(s->fd, to, data, len);
}

static void
log_run(void *arg, const char *line)
{
    slot_t *s = arg;

    fprintf(s->host->log, "%s\n", line);
}

static int
slot_open(host_t *h, const si_upstream_params_t *p)
{
    slot_t *s = &h->slot[h->n];
    si_upstream_out_t out = {.arg = s, .send = send_reply, .log = log_run};
    struct epoll_event ev = {.events = EPOLLIN, .data.ptr = s};

    if (h->n == UPSTREAMS_MAX) {
        return -ENOSPC;
    }
    s->host = h;
    s->fd = si_udp_open(&p->addr);
    if (s->fd < 0) {
        return s->fd;
    }
    s->upstream = si_upstream_new(p, &out, clock_now());
    h->n++;
    return epoll_ctl(h->epoll, EPOLL_CTL_ADD, s->fd, &ev) < 0 ? -errno : 0;
}

/* ---- The list: a line each, SERVICE ADDRESS SLOTS CONNECTIONS PROTOCOL ----
 */

static int
line_parse(si_upstream_params_t *p, const char *line)
{
    char service[64], self[64], proto[16] = "coap";
    unsigned slots, connections;
    int n = sscanf(line, "%63s %63s %u %u %15s", service, self, &slots,
                   &connections, proto);

    if (n < 4 || addr_parse(&p->service, service) < 0 ||
        addr_parse(&p->addr, self) < 0 || slots == 0 || slots > 1000) {
        return -EINVAL;
    }
    p->slots = (uint16_t)slots;
    p->connections = connections;
    p->opaque = strcmp(proto, "udp") == 0;
    return 0;
}

static int
read_list(host_t *h, const char *file, const si_upstream_params_t *defaults)
{
    char line[256];
    FILE *f = fopen(file, "r");
    int rc = 0, at = 0;

    if (f == NULL) {
        fprintf(stderr, "si_upstream: %s can't be opened\n", file);
        return -ENOENT;
    }
    while (rc == 0 && fgets(line, sizeof(line), f) != NULL) {
        si_upstream_params_t p = *defaults;
        at++;
        if (line[0] == '#' || line[0] == '\n') {
            continue;
        }
        rc = line_parse(&p, line);
        if (rc == 0) {
            rc = slot_open(h, &p);
        }
    }
    fclose(f);
    if (rc < 0) {
        fprintf(stderr,
                "si_upstream: %s:%d: %s; expected SERVICE ADDRESS "
                "SLOTS CONNECTIONS [coap|udp]\n",
                file, at, strerror(-rc));
    }
    return rc;
}

/* ---- Admin ---- */

static int
control(si_upstream_t *u, const si_request_t *r)
{
    const char *what = si_query(r, "do");
    const char *text = si_query(r, "service");
    bool on = si_query_int(r, "on", 1) != 0;
    addr_t service;

    if (what == NULL || (text != NULL && addr_parse(&service, text) < 0)) {
        return -EINVAL;
    }
    if (strcmp(what, "restart") == 0) {
        si_upstream_restart(u, clock_now(),
                            si_query_int(r, "down_ms", DOWN_MS),
                            text != NULL ? &service : NULL);
    }
    else if (strcmp(what, "kill") == 0) {
        si_upstream_kill(u);
    }
    else if (strcmp(what, "drain") == 0) {
        si_upstream_drain(u, on);
    }
    else if (strcmp(what, "freeze") == 0) {
        si_upstream_freeze(u, on);
    }
    else if (strcmp(what, "lie") == 0) {
        si_upstream_lie(u, (int)si_query_int(r, "busy", -1));
    }
    else {
        return -EINVAL;
    }
    return 0;
}

static si_reply_t
control_some(host_t *h, const si_request_t *r)
{
    const char *who = si_query(r, "addr");
    char text[ADDR_STRLEN];
    int done = 0;

    for (size_t i = 0; i < h->n && who != NULL; i++) {
        si_upstream_t *u = h->slot[i].upstream;
        addr_text(&si_upstream_params(u)->addr, text);
        if (strcmp(who, "all") != 0 && strcmp(who, text) != 0) {
            continue;
        }
        if (control(u, r) < 0) {
            return si_reply_error(400, "do= restart, kill, drain, freeze or "
                                       "lie is expected");
        }
        done++;
    }
    if (done == 0) {
        return si_reply_error(404, "no upstream has that addr=");
    }
    return (si_reply_t){.status = 200,
                        .body = json_pack("{si}", "upstreams", done)};
}

static json_t *
all_stats(const host_t *h)
{
    json_t *array = json_array();

    for (size_t i = 0; i < h->n; i++) {
        json_array_append_new(array, si_upstream_json(h->slot[i].upstream));
    }
    return array;
}

static si_reply_t
on_admin(void *arg, const si_request_t *r)
{
    host_t *h = arg;
    si_reply_t out;

    pthread_mutex_lock(&h->lock);
    if (strcmp(r->path, "/v1/stats") == 0) {
        out = (si_reply_t){.status = 200, .body = all_stats(h)};
    }
    else if (strcmp(r->path, "/v1/upstream") == 0) {
        out = control_some(h, r);
    }
    else {
        out = si_reply_error(404, "no such resource");
    }
    pthread_mutex_unlock(&h->lock);
    return out;
}

/* ---- The loop ---- */

static void
drain_socket(slot_t *s)
{
    uint8_t b[SPP_LEN + DATAGRAM_MAX + 100];
    addr_t from;

    for (int i = 0; i < BURST; i++) {
        int n = si_udp_receive(s->fd, &from, b, sizeof(b));
        if (n < 0) {
            return;
        }
        si_upstream_receive(s->upstream, clock_now(), &from, b, (size_t)n);
    }
}

static void
loop(host_t *h)
{
    struct epoll_event ev[UPSTREAMS_MAX];

    while (!stop_asked) {
        int n = epoll_wait(h->epoll, ev, UPSTREAMS_MAX, TICK_MS);
        pthread_mutex_lock(&h->lock);
        for (int i = 0; i < n; i++) {
            drain_socket(ev[i].data.ptr);
        }
        for (size_t i = 0; i < h->n; i++) {
            si_upstream_tick(h->slot[i].upstream, clock_now());
        }
        pthread_mutex_unlock(&h->lock);
    }
}

static void
host_close(host_t *h)
{
    si_rest_close(h->rest);
    for (size_t i = 0; i < h->n; i++) {
        si_upstream_free(h->slot[i].upstream);
        close(h->slot[i].fd);
    }
    si_fabric_close(h->fabric);
    close(h->epoll);
    free(h);
}

static int
run(const char *platform, const char *list, uint16_t admin, FILE *log,
    const si_upstream_params_t *defaults)
{
    host_t *h = calloc(1, sizeof(*h));
    err_t e = {0};
    int rc = 1;

    if (h == NULL) {
        return 1;
    }
    h->log = log;
    h->epoll = epoll_create1(EPOLL_CLOEXEC);
    pthread_mutex_init(&h->lock, NULL);
    h->fabric = si_fabric_open(platform, (uint64_t)getpid());
    if (h->fabric != NULL && read_list(h, list, defaults) == 0) {
        h->rest = si_rest_open(admin, on_admin, h, &e);
        if (h->rest == NULL) {
            fprintf(stderr, "si_upstream: %s\n", e.text);
        }
        else {
            loop(h);
            rc = 0;
        }
    }
    host_close(h);
    return rc;
}

static int
value_of(const struct arg_int *a, ms_t absent)
{
    return a->count > 0 ? a->ival[0] : (int)absent;
}

int
main(int argc, char **argv)
{
    struct sigaction sa = {.sa_handler = on_signal};
    si_upstream_params_t p = SI_UPSTREAM_PARAMS;
    struct arg_str *platform =
        arg_str0(NULL, "platform", "URL", "platform (none: no fabric)");
    struct arg_file *list =
        arg_file1(NULL, "list", "FILE", "upstreams, a line each");
    struct arg_file *log = arg_file0(NULL, "log", "FILE", "run log (stdout)");
    struct arg_int *admin =
        arg_int0(NULL, "admin", "N", "admin port on 127.0.0.1 (8600)");
    struct arg_int *service =
        arg_int0(NULL, "service-ms", "MS", "time in a slot (20)");
    struct arg_int *queue =
        arg_int0(NULL, "queue", "N", "requests that wait for a slot (8)");
    struct arg_int *cold =
        arg_int0(NULL, "cold-ms", "MS", "slower after a start (0)");
    struct arg_int *feed =
        arg_int0(NULL, "feed-ms", "MS", "between notifications (500)");
    struct arg_int *con =
        arg_int0(NULL, "con-every", "N", "each N-th is confirmable (4)");
    struct arg_int *ack =
        arg_int0(NULL, "ack-timeout-ms", "MS", "ACK_TIMEOUT (2000)");
    struct arg_int *lag =
        arg_int0(NULL, "load-lag-ms", "MS", "age of the load shown (0)");
    struct arg_int *epoch = arg_int0(NULL, "epoch", "N", "start epoch (the clock)");
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_end *end = arg_end(10);
    void *table[] = {platform, list, log, admin, service, queue, cold,
                     feed,     con,  ack, lag,   epoch,   help,  end};
    FILE *out = stdout;
    int rc = 2;

    if (arg_parse(argc, argv, table) > 0 || help->count > 0) {
        arg_print_errors(stderr, end, "si_upstream");
        printf("usage: si_upstream");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-25s %s\n");
        rc = help->count > 0 ? 0 : 2;
        goto out;
    }
    p.service_ms = value_of(service, p.service_ms);
    p.queue = (uint16_t)value_of(queue, p.queue);
    p.cold_ms = value_of(cold, p.cold_ms);
    p.feed_ms = value_of(feed, p.feed_ms);
    p.con_every = value_of(con, p.con_every);
    p.ack_ms = value_of(ack, p.ack_ms);
    p.load_lag_ms = value_of(lag, p.load_lag_ms);
    p.epoch = (uint32_t)value_of(epoch, time(NULL));
    if (log->count > 0 && (out = fopen(log->filename[0], "w")) == NULL) {
        fprintf(stderr, "si_upstream: %s can't be written\n",
                log->filename[0]);
        goto out;
    }
    setvbuf(out, NULL, _IOLBF, 0);
    sigaction(SIGTERM, &sa, NULL);
    sigaction(SIGINT, &sa, NULL);
    rc = run(platform->count ? platform->sval[0] : NULL, list->filename[0],
             (uint16_t)value_of(admin, 8600), out, &p);
    if (out != stdout) {
        fclose(out);
    }
out:
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
