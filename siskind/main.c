/* siskind, the load balancer's daemon: options, start, signals and stop. */
#include "siskind/siskind.h"
#include "tagged/tagged.h"

#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define VERSION "0.1"

enum { EXIT_OK, EXIT_FAILED, EXIT_USAGE };

/* Sizes of the inboxes.  Decide's holds 40 ms of 100,000 datagrams a second;
 * the sockets' buffers hold any excess. */
#define PACKET_INBOX 4096
#define CONTROL_INBOX 64
/* Packets of a pool: a full inbox, and the buffers of the duties at its ends.
 * Received packets that decide reuses for output stay out of their pool until
 * send releases them. */
#define PACKETS (PACKET_INBOX + 256)

#define STOP_TIMEOUT_MS 1500

static const duty_spec_t duties[] = {
    {.name = "main", .inbox_size = 4},
    {.name = "send",
     .run = send_run,
     .inbox_size = PACKET_INBOX,
     .single_sender = true},
    {.name = "decide", .run = decide_run, .inbox_size = PACKET_INBOX},
    {.name = "receive",
     .run = receive_run,
     .inbox_size = CONTROL_INBOX,
     .single_sender = true},
    {.name = "bulk",
     .run = bulk_run,
     .inbox_size = CONTROL_INBOX,
     .single_sender = true},
    {.name = "watch",
     .run = watch_run,
     .inbox_size = 4,
     .single_sender = true},
    {.name = "roster",
     .run = roster_run,
     .inbox_size = 4,
     .single_sender = true},
    {.name = "admin",
     .run = admin_run,
     .inbox_size = 4,
     .single_sender = true},
};

static int
open_sockets(daemon_t *d, err_t *e)
{
    d->return_fd = udp_open(&d->settings.return_addr, e);
    if (d->return_fd < 0) {
        return d->return_fd;
    }
    d->own_fd = udp_open(&d->settings.own_addr, e);
    if (d->own_fd < 0) {
        return d->own_fd;
    }
    d->peer_fd = udp_open(&d->settings.peer_addr, e);
    return d->peer_fd < 0 ? d->peer_fd : 0;
}

static int
read_key(daemon_t *d, err_t *e)
{
    size_t len = 0;

    if (sodium_hex2bin(d->peer_key, sizeof(d->peer_key), d->settings.peer_key,
                       strlen(d->settings.peer_key), NULL, &len, NULL) != 0 ||
        len != PEER_KEY_LEN) {
        return err_set(e, -EINVAL, "read settings", "peer_key",
                       "expected 64 hexadecimal digits");
    }
    return 0;
}

static int
open_kern(daemon_t *d)
{
    d->kern = kern_new();
    d->in = pool_new(PACKETS, sizeof(packet_t));
    d->out = pool_new(PACKETS, sizeof(packet_t));
    if (d->kern == NULL || d->in == NULL || d->out == NULL) {
        return -ENOMEM;
    }
    for (size_t i = 0; i < sizeof(duties) / sizeof(duties[0]); i++) {
        duty_spec_t spec = duties[i];
        spec.arg = d;
        spec.free_msg = msg_drop;
        int rc = kern_add(d->kern, &spec);
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

/* Returns a signalfd.  Called before any thread starts, so that all threads
 * inherit the signal mask. */
static int
open_signals(void)
{
    sigset_t set;

    signal(SIGPIPE, SIG_IGN);
    signal(SIGHUP, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

/* Waits for the end of a graceful leave or for a second signal. */
static void
wait_for_stop(daemon_t *d, int signals)
{
    duty_t *self = kern_find(d->kern, "main");
    struct pollfd fds[2] = {[1] = {.fd = signals, .events = POLLIN}};
    struct signalfd_siginfo info;
    void *msg;
    int seen = 0;

    for (;;) {
        duty_wait(self, fds, 2, 10000);
        if (duty_take(self, &msg, 1) == 1) {
            msg_drop(msg);
            return;
        }
        if (read(signals, &info, sizeof(info)) != sizeof(info)) {
            continue;
        }
        if (++seen == 2) {
            log_line(LVL_WARN, "main", "It stops at once. signal=%u",
                     info.ssi_signo);
            return;
        }
        log_line(LVL_INFO, "main", "Draining. signal=%u", info.ssi_signo);
        control_post(kern_find(d->kern, "decide"), control_new(MSG_LEAVE));
    }
}

static int
start(daemon_t *d, err_t *e)
{
    int rc = read_key(d, e);

    if (rc == 0) {
        rc = open_sockets(d, e);
    }
    if (rc == 0) {
        rc = open_kern(d);
    }
    return rc;
}

static int
run(daemon_t *d)
{
    err_t e = {0};
    int signals = open_signals();
    int rc;

    d->self = instance_id(d->settings.name);
    d->started = clock_now();
    rc = start(d, &e);
    if (rc < 0) {
        log_line(LVL_ERROR, "main",
                 "It can't start. step=\"%s\" peer=%s "
                 "error=\"%s\"",
                 e.step, e.peer, e.text);
        log_close();
        return EXIT_FAILED;
    }
    rc = kern_start(d->kern);
    if (rc < 0) {
        log_line(LVL_ERROR, "main", "Can't start the threads. error=\"%s\"",
                 strerror(-rc));
        return EXIT_FAILED;
    }
    log_line(LVL_INFO, "main", "Started. data_centre=%s",
             d->settings.data_centre);
    wait_for_stop(d, signals);
    rc = kern_stop(d->kern, STOP_TIMEOUT_MS);
    log_line(LVL_INFO, "main", "Stopped.");
    if (rc == 0) {
        kern_free(d->kern);
        pool_free(d->in);
        pool_free(d->out);
    }
    /* On failure a thread still blocks in a call to the platform: exit without
     * waiting, and don't free what the thread may still use. */
    log_close();
    return EXIT_OK;
}

static int
refuse_settings(const err_t *e)
{
    fprintf(stderr, "siskind: %s: %s\n", e->peer, e->text);
    return EXIT_FAILED;
}

static int
start_tagged_mode(const char *file, const char *text, bool check)
{
    tagged_settings_t s;
    err_t e = {0};

    if (tagged_settings_parse(&s, file, text, &e) < 0) {
        return refuse_settings(&e);
    }
    if (check) {
        printf("%s: instance %s of data centre %s, tagged flows\n", file,
               s.name, s.data_centre);
        return EXIT_OK;
    }
    return tagged_run(file, &s);
}

static int
start_owner_mode(const char *file, const char *text, bool check)
{
    static daemon_t d;
    err_t e = {0};

    if (settings_parse(&d.settings, file, text, &e) < 0) {
        return refuse_settings(&e);
    }
    if (check) {
        printf("%s: instance %s of data centre %s\n", file, d.settings.name,
               d.settings.data_centre);
        return EXIT_OK;
    }
    if (sodium_init() < 0 ||
        log_open(d.settings.name, d.settings.log_level) < 0 ||
        log_start_writer(STDOUT_FILENO) < 0) {
        fprintf(stderr, "siskind: can't start libsodium or log4c\n");
        return EXIT_FAILED;
    }
    return run(&d);
}

/* Starts the mode of operation that the kind of the settings selects. */
static int
start_from_file(const char *file, bool check)
{
    err_t e = {0};
    char *text = conf_read_file(file, &e);
    int rc;

    if (text == NULL) {
        return refuse_settings(&e);
    }
    rc = text_is_tagged_settings(text) ? start_tagged_mode(file, text, check)
                                       : start_owner_mode(file, text, check);
    free(text);
    return rc;
}

static void
print_help(void **table)
{
    printf("usage: siskind");
    arg_print_syntax(stdout, table, "\n");
    printf("The load balancer's daemon: one process an instance.\n\n");
    arg_print_glossary(stdout, table, "  %-16s %s\n");
    printf("\nSIGTERM and SIGINT: leave gracefully; a second one stops at "
           "once.\nExit codes: 0 stopped as asked, 1 failed, 2 wrong "
           "options.\nExample: siskind /etc/siskin/instance.toml\n");
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_lit *version = arg_lit0("V", "version", "print the version");
    struct arg_lit *check = arg_lit0("c", "check", "check the settings only");
    struct arg_file *file =
        arg_file0(NULL, NULL, "SETTINGS.toml", "the instance's own settings");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, version, check, file, end};
    int errors = arg_parse(argc, argv, table);
    int rc = EXIT_OK;

    if (help->count > 0) {
        print_help(table);
    }
    else if (version->count > 0) {
        printf("siskind %s\n", VERSION);
    }
    else if (errors > 0 || file->count == 0) {
        arg_print_errors(stderr, end, "siskind");
        fprintf(stderr, "siskind: expected one file of settings; see "
                        "siskind --help\n");
        rc = EXIT_USAGE;
    }
    else {
        rc = start_from_file(file->filename[0], check->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
