/* si_upstream: runs many upstreams in one process, each on its own socket,
 * with an admin port to restart, kill, drain or freeze them. */
#include "conf/conf.h"
#include "standin/fabric.h"
#include "standin/rest.h"
#include "standin/tool.h"
#include "standin/udp.h"
#include "standin/upstream.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define UPSTREAMS_MAX 256
#define TICK_MS 5
#define BURST 64 /* maximum datagrams read from a socket in a row */
/* Longer than IDENTITY_LEASE_MS, as docs/UPSTREAM.md requires. */
#define DOWN_MS 5000
#define FILES_MAX 17 /* a base and 16 data centres */

typedef struct {
    int fd;
    si_upstream_t *upstream;
    struct host *host;
} slot_t;

typedef struct host {
    si_fabric_t *fabric;
    si_rest_t *rest;
    pthread_mutex_t lock; /* serialises the loop and the admin port */
    int epoll;
    FILE *log;
    slot_t slot[UPSTREAMS_MAX];
    size_t n;
} host_t;

/* Sends a reply.  A return address denotes all instances: the fabric picks the
 * receiver. */
static void
send_reply(void *arg, const addr_t *to, const uint8_t *data, size_t len)
{
    slot_t *s = arg;
    si_fabric_t *f = s->host->fabric;
    si_target_t t;
    int copies;

    if (!si_fabric_is_return(f, to)) {
        si_udp_send(s->fd, to, data, len);
        return;
    }
    copies = si_fabric_copies(f);
    for (int i = 0; i < copies && si_fabric_pick(f, &t); i++) {
        si_udp_send(s->fd, &t.return_addr, data, len);
    }
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

/* ---- The upstreams of a configuration ---- */

static int
open_service(host_t *h, const conf_service_t *service,
             const si_upstream_params_t *defaults, err_t *e)
{
    char text[ADDR_STRLEN];

    for (uint32_t i = 0; i < service->n_upstreams; i++) {
        const conf_upstream_t *u = &service->upstreams[i];
        si_upstream_params_t p = *defaults;
        int rc;
        p.service = service->addr;
        p.opaque = service->proto == PROTO_UDP;
        p.addr = u->addr;
        p.slots = u->slots;
        p.connections = u->connections;
        rc = slot_open(h, &p);
        if (rc < 0) {
            return err_set(e, rc, "open upstream", addr_text(&u->addr, text),
                           "%s", strerror(-rc));
        }
    }
    return 0;
}

static int
open_conf(host_t *h, const conf_t *c, const si_upstream_params_t *defaults,
          err_t *e)
{
    int rc = 0;

    for (uint32_t i = 0; i < c->n_services && rc == 0; i++) {
        rc = open_service(h, &c->services[i], defaults, e);
    }
    return rc;
}

/* Returns the contents of FILE, or NULL. */
static char *
read_file(const char *file, err_t *e)
{
    FILE *f = fopen(file, "r");
    char *text = f != NULL ? calloc(1, CONF_TEXT_MAX + 1) : NULL;

    if (text == NULL) {
        err_set(e, -ENOENT, "read", file, "the file can't be read");
    }
    else {
        text[fread(text, 1, CONF_TEXT_MAX, f)] = '\0';
    }
    if (f != NULL) {
        fclose(f);
    }
    return text;
}

/* Opens the upstreams of a base file and its overlays. */
static int
open_files(host_t *h, const char **file, size_t n,
           const si_upstream_params_t *defaults, err_t *e)
{
    conf_source_t src[FILES_MAX] = {0};
    conf_t *c = NULL;
    int rc = -EINVAL;

    for (size_t i = 0; i < n; i++) {
        src[i].file = file[i];
        src[i].text = read_file(file[i], e);
        if (src[i].text == NULL) {
            goto out;
        }
    }
    c = conf_parse(src, n, e);
    if (c != NULL) {
        rc = open_conf(h, c, defaults, e);
    }
    conf_free(c);
out:
    for (size_t i = 0; i < n; i++) {
        free((char *)src[i].text);
    }
    return rc;
}

/* ---- Admin ---- */

static int
control(si_upstream_t *u, const si_request_t *r)
{
    const char *action = si_query(r, "do");
    const char *text = si_query(r, "service");
    bool on = si_query_int(r, "on", 1) != 0;
    addr_t service;

    if (action == NULL || (text != NULL && addr_parse(&service, text) < 0)) {
        return -EINVAL;
    }
    if (strcmp(action, "restart") == 0) {
        si_upstream_restart(u, clock_now(),
                            si_query_int(r, "down_ms", DOWN_MS),
                            text != NULL ? &service : NULL);
    }
    else if (strcmp(action, "kill") == 0) {
        si_upstream_kill(u);
    }
    else if (strcmp(action, "drain") == 0) {
        si_upstream_drain(u, on);
    }
    else if (strcmp(action, "freeze") == 0) {
        si_upstream_freeze(u, on);
    }
    else if (strcmp(action, "lie") == 0) {
        si_upstream_fake_load(u, (int)si_query_int(r, "busy", -1));
    }
    else {
        return -EINVAL;
    }
    return 0;
}

static si_reply_t
control_matching(host_t *h, const si_request_t *r)
{
    const char *wanted = si_query(r, "addr");
    char text[ADDR_STRLEN];
    int done = 0;

    for (size_t i = 0; i < h->n && wanted != NULL; i++) {
        si_upstream_t *u = h->slot[i].upstream;
        addr_text(&si_upstream_params(u)->addr, text);
        if (strcmp(wanted, "all") != 0 && strcmp(wanted, text) != 0) {
            continue;
        }
        if (control(u, r) < 0) {
            return si_reply_error(400, "do= must be restart, kill, drain, "
                                       "freeze or lie");
        }
        done++;
    }
    if (done == 0) {
        return si_reply_error(404, "no upstream has the address in addr=");
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
        out = control_matching(h, r);
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

    while (!si_stop_asked()) {
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

/* Command-line options; argtable requires its entries in one array. */
typedef struct {
    struct arg_str *platform;
    struct arg_file *conf, *log;
    struct arg_int *admin, *service, *queue, *cold, *feed, *con, *ack, *lag;
    struct arg_int *epoch, *lose, *repeat;
    struct arg_lit *help;
    struct arg_end *end;
} args_t;

static args_t
args_new(void)
{
    return (args_t){
        .platform = arg_str0(NULL, "platform", "URL", "none: no fabric"),
        .conf =
            arg_filen(NULL, NULL, "FILE.toml", 1, FILES_MAX, "base, overlays"),
        .log = arg_file0(NULL, "log", "FILE", "run log (stdout)"),
        .admin = arg_int0(NULL, "admin", "N", "port on 127.0.0.1 (8600)"),
        .service = arg_int0(NULL, "service-ms", "MS", "time in a slot (20)"),
        .queue = arg_int0(NULL, "queue", "N", "that wait for a slot (8)"),
        .cold = arg_int0(NULL, "cold-ms", "MS", "slower after start (0)"),
        .feed = arg_int0(NULL, "feed-ms", "MS", "notification period (500)"),
        .con = arg_int0(NULL, "con-every", "N", "each N-th is CON (4)"),
        .ack = arg_int0(NULL, "ack-timeout-ms", "MS", "ACK_TIMEOUT (2000)"),
        .lag = arg_int0(NULL, "load-lag-ms", "MS", "age of the load (0)"),
        .epoch = arg_int0(NULL, "epoch", "N", "start epoch (the clock)"),
        .lose = arg_int0(NULL, "lose", "N", "of 100 datagrams (0)"),
        .repeat = arg_int0(NULL, "repeat", "N", "of 100 datagrams (0)"),
        .help = arg_lit0("h", "help", "print this"),
        .end = arg_end(10)};
}

static si_upstream_params_t
params_read(const args_t *a)
{
    si_upstream_params_t p = SI_UPSTREAM_PARAMS;

    p.service_ms = si_option_int(a->service, (int)p.service_ms);
    p.queue = (uint16_t)si_option_int(a->queue, p.queue);
    p.warmup_ms = si_option_int(a->cold, (int)p.warmup_ms);
    p.notify_interval_ms = si_option_int(a->feed, (int)p.notify_interval_ms);
    p.con_every = si_option_int(a->con, p.con_every);
    p.ack_ms = si_option_int(a->ack, (int)p.ack_ms);
    p.load_lag_ms = si_option_int(a->lag, (int)p.load_lag_ms);
    p.epoch = (uint32_t)si_option_int(a->epoch, (int)time(NULL));
    return p;
}

static host_t *
host_open(const args_t *a, FILE *log, err_t *e)
{
    const char *platform = a->platform->count ? a->platform->sval[0] : NULL;
    si_upstream_params_t p = params_read(a);
    host_t *h = calloc(1, sizeof(*h));

    if (h == NULL) {
        err_set(e, -ENOMEM, "start", "", "out of memory");
        return NULL;
    }
    h->log = log;
    h->epoll = epoll_create1(EPOLL_CLOEXEC);
    pthread_mutex_init(&h->lock, NULL);
    h->fabric = si_fabric_open(platform, (uint64_t)getpid());
    if (h->fabric == NULL) {
        err_set(e, -ENOMEM, "start", "",
                "the fabric's thread can't be started");
    }
    else if (open_files(h, a->conf->filename, (size_t)a->conf->count, &p, e) ==
             0) {
        si_fabric_set_faults(h->fabric, si_option_int(a->lose, 0),
                             si_option_int(a->repeat, 0));
        h->rest = si_rest_open((uint16_t)si_option_int(a->admin, 8600),
                               on_admin, h, e);
    }
    if (h->rest == NULL) {
        host_close(h);
        return NULL;
    }
    return h;
}

static int
run(const args_t *a)
{
    FILE *log = si_log_open("si_upstream", a->log, stdout);
    err_t e = {0};
    host_t *h;

    if (log == NULL) {
        return 2;
    }
    si_catch_stop();
    h = host_open(a, log, &e);
    if (h == NULL) {
        fprintf(stderr, "si_upstream: %s: %s\n", e.peer, e.text);
    }
    else {
        loop(h);
        host_close(h);
    }
    if (log != stdout) {
        fclose(log);
    }
    return h != NULL ? 0 : 1;
}

int
main(int argc, char **argv)
{
    args_t a = args_new();
    void *table[sizeof(a) / sizeof(void *)];
    int rc;

    memcpy(table, &a, sizeof(a));
    if (si_args("si_upstream", argc, argv, table, a.help, a.end, &rc)) {
        rc = run(&a);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
