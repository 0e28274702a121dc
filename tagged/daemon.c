/* Start, signals and stop of a tagged instance. */
#include "tagged/tagged.h"

#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define CHANGES_INBOX 64
/* Time without packets after which the drain ends: routers have noticed by
 * then that the instance isn't ready (two checks, half a second apart). */
#define QUIET_MS 1500
/* Margin by which the drain ends before the platform kills the process. */
#define STOP_MARGIN_MS 800
#define DRAIN_POLL_MS 100

static const duty_spec_t duties[] = {
    {.name = "main", .inbox_size = 4},
    {.name = "packets",
     .run = packets_run,
     .inbox_size = CHANGES_INBOX,
     .free_msg = changes_free},
    {.name = "serve", .run = serve_run, .inbox_size = 4},
    {.name = "follow", .run = follow_run, .inbox_size = 4},
    {.name = "operator", .run = operator_run, .inbox_size = 4},
    {.name = "check", .run = check_run, .inbox_size = 4},
    {.name = "announce", .run = announce_run, .inbox_size = 4},
};

static const duty_spec_t load_duty = {
    .name = "load", .run = load_run, .inbox_size = 4};

static int
open_signals(void)
{
    sigset_t set;

    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

ms_t
tagged_current_at(const tagged_t *t)
{
    ms_t at = MS_NEVER;

    for (int i = 0; i < TOPICS; i++) {
        ms_t topic_at = replica_current_at(t->replica[i]);
        at = topic_at < at ? topic_at : at;
    }
    return at;
}

bool
tagged_has_replicas(const tagged_t *t)
{
    bool all = true;

    for (int i = 0; i < TOPICS; i++) {
        all = all && replica_revision(t->replica[i]) > 0;
    }
    return all;
}

static bool
open_resources(tagged_t *t)
{
    bool opened;

    t->answers = answers_new();
    t->writer = store_new(t->settings.store_url);
    t->kern = kern_new();
    opened = t->answers != NULL && t->writer != NULL && t->kern != NULL;
    for (int i = 0; i < TOPICS; i++) {
        t->replica[i] = replica_new(t->started);
        t->store[i] = store_new(t->settings.store_url);
        opened = opened && t->replica[i] != NULL && t->store[i] != NULL;
    }
    return opened;
}

static int
start_duty(tagged_t *t, const duty_spec_t *duty, err_t *e)
{
    duty_spec_t spec = *duty;
    int rc;

    spec.arg = t;
    rc = kern_add(t->kern, &spec);
    return rc < 0 ? err_set(e, rc, "start", spec.name, "%s", strerror(-rc))
                  : 0;
}

static int
start_load(tagged_t *t, err_t *e)
{
    if (t->sharing == FLOW_SHARE_NONE) {
        return 0;
    }
    t->load_fd = udp_open(&t->settings.load_addr, e);
    return t->load_fd < 0 ? t->load_fd : start_duty(t, &load_duty, e);
}

static int
start(tagged_t *t, err_t *e)
{
    int rc;

    if (!open_resources(t)) {
        return err_set(e, -ENOMEM, "start", t->settings.name, "out of memory");
    }
    t->flow_fd = udp_open(&t->settings.flow_addr, e);
    if (t->flow_fd < 0) {
        return t->flow_fd;
    }
    for (size_t i = 0; i < sizeof(duties) / sizeof(duties[0]); i++) {
        rc = start_duty(t, &duties[i], e);
        if (rc < 0) {
            return rc;
        }
    }
    return start_load(t, e);
}

/* Keeps forwarding until no packets arrive, or until just before the platform
 * kills the process. */
static void
drain(tagged_t *t, duty_t *self)
{
    ms_t begin = clock_now();
    ms_t limit_ms = (ms_t)t->settings.stop_ms - STOP_MARGIN_MS;
    ms_t now = begin;

    ATOMIC_SET(t, draining, true);
    while (now - begin < limit_ms) {
        ms_t quiet = now - ATOMIC_GET(t, packet_at);
        if (quiet > QUIET_MS && now - begin > QUIET_MS) {
            break;
        }
        duty_wait(self, NULL, 0, DRAIN_POLL_MS);
        now = clock_now();
    }
    log_line(LVL_INFO, "main", "Drained. ms=%lld last_packet_ms=%lld",
             (long long)(now - begin),
             (long long)(now - ATOMIC_GET(t, packet_at)));
}

static void
wait_for_signal(tagged_t *t, int signals)
{
    duty_t *self = kern_find(t->kern, "main");
    struct pollfd fds[2] = {[1] = {.fd = signals, .events = POLLIN}};
    struct signalfd_siginfo info;

    for (;;) {
        duty_wait(self, fds, 2, -1);
        if (read(signals, &info, sizeof(info)) != sizeof(info)) {
            continue;
        }
        if (info.ssi_signo != SIGHUP) {
            break;
        }
        log_line(LVL_INFO, "main", "Reloading settings. signal=%u",
                 info.ssi_signo);
        ATOMIC_SET(t, reload, true);
        duty_wake(kern_find(t->kern, "follow"));
    }
    log_line(LVL_INFO, "main", "Draining. signal=%u", info.ssi_signo);
    drain(t, self);
}

int
tagged_run(const char *file, const tagged_settings_t *s)
{
    static tagged_t t;
    err_t e = {0};
    int signals = open_signals();

    t.settings = *s;
    snprintf(t.settings_file, sizeof(t.settings_file), "%s", file);
    t.started = clock_now();
    t.packet_at = t.started;
    t.store_up = true;
    pthread_mutex_init(&t.stats_lock, NULL);
    pthread_mutex_init(&t.follow_lock, NULL);
    pthread_mutex_init(&t.load.lock, NULL);
    t.sharing = load_sharing(s);
    sources_init(&t.sources, &s->admin_addr, s->data_centre,
                 hash64(s->name, strlen(s->name), (uint64_t)t.started + 2));
    for (uint32_t i = 0; i < s->n_seeds; i++) {
        sources_add(&t.sources, &s->seed[i], "");
    }
    if (sodium_init() < 0 || log_open(s->name, s->log_level) < 0 ||
        log_start_writer(STDOUT_FILENO) < 0) {
        fprintf(stderr, "siskind: can't start libsodium or log4c\n");
        return EXIT_FAILURE;
    }
    if (start(&t, &e) < 0 || kern_start(t.kern) < 0) {
        log_line(LVL_ERROR, "main",
                 "It can't start. step=\"%s\" peer=%s error=\"%s\"", e.step,
                 e.peer, e.text);
        log_close();
        return EXIT_FAILURE;
    }
    log_line(LVL_INFO, "main", "Started. data_centre=%s store=%s records=%u",
             s->data_centre, s->store_url, s->records);
    wait_for_signal(&t, signals);
    /* The duties are not joined: a call to the store may block for a second,
     * during which routers may still send packets here and no other process
     * receives them.  Packets are forwarded until the process exits. */
    log_line(LVL_INFO, "main", "Stopped.");
    log_close();
    _exit(EXIT_SUCCESS);
}
