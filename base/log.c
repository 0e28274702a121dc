/* Logging through log4c: one category, one stream.
 *
 * A tool writes each line to standard error.  A daemon has a writer: lines are
 * stored in a bounded buffer, and a separate thread writes the buffer to the
 * descriptor of log_start_writer().  This way a reader that has stopped, a
 * full pipe or a slow disk delays no decision.  Lines that don't fit into the
 * buffer are dropped and counted; the count is logged once there is room
 * again. */
#include "base/base.h"

#include <errno.h>
#include <log4c.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
/* About 500 lines: half a second at a daemon's highest rate. */
#define BUFFER_BYTES (64 * 1024)
/* Minimum interval between two writes: batches the lines of that time into one
 * system call and one wake-up. */
#define WRITE_INTERVAL_MS 100
/* Timeout of log_close(), in case the reader has stopped reading. */
#define CLOSE_TIMEOUT_MS 300

static log4c_category_t *category;
static char prog[64] = "siskin";

/* Writer state.  LOCK protects all fields but THREAD and FD.  RUNNING and
 * STOPPING are also read without it. */
static struct {
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t not_empty, finished;
    int fd;
    bool running, stopping;
    size_t len;
    uint64_t dropped; /* lines, since the last write */
    uint64_t dropped_total;
    char buffer[BUFFER_BYTES];
} writer = {.lock = PTHREAD_MUTEX_INITIALIZER};

static const struct {
    const char *name;
    int priority;
} levels[] = {
    [LVL_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
    [LVL_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [LVL_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [LVL_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
};

static const char *
layout_format(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static __thread char line[LINE_MAX_BYTES];
    struct timespec ts;
    struct tm tm;

    (void)layout;
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    snprintf(line, sizeof(line),
             "%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ %-5s %s %s\n",
             tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour,
             tm.tm_min, tm.tm_sec, ts.tv_nsec / 1000000,
             log4c_priority_to_string(event->evt_priority), prog,
             event->evt_msg);
    return line;
}

static void
buffer_add(const char *line)
{
    size_t len = strlen(line);

    pthread_mutex_lock(&writer.lock);
    if (len > sizeof(writer.buffer) - writer.len) {
        writer.dropped++;
        writer.dropped_total++;
    }
    else {
        memcpy(writer.buffer + writer.len, line, len);
        if (writer.len == 0) {
            pthread_cond_signal(&writer.not_empty);
        }
        writer.len += len;
    }
    pthread_mutex_unlock(&writer.lock);
}

static int
line_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    if (writer.running) {
        buffer_add(event->evt_rendered_msg);
        return 0;
    }
    return fputs(event->evt_rendered_msg, stderr) < 0 ? -EIO : 0;
}

/* Discards the data if the reader has closed the stream; the counters are
 * kept. */
static void
write_all(const char *data, size_t len)
{
    while (len > 0) {
        ssize_t n = write(writer.fd, data, len);
        if (n < 0 && errno != EINTR) {
            return;
        }
        if (n > 0) {
            data += n;
            len -= (size_t)n;
        }
    }
}

static void
sleep_ms(ms_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};

    nanosleep(&ts, NULL);
}

static void *
write_lines(void *arg)
{
    static char out[BUFFER_BYTES];
    size_t len;
    uint64_t dropped;

    (void)arg;
    pthread_mutex_lock(&writer.lock);
    while (writer.len > 0 || !writer.stopping) {
        if (writer.len == 0) {
            pthread_cond_wait(&writer.not_empty, &writer.lock);
            continue;
        }
        len = writer.len;
        dropped = writer.dropped;
        memcpy(out, writer.buffer, len);
        writer.len = 0;
        writer.dropped = 0;
        pthread_mutex_unlock(&writer.lock);
        write_all(out, len);
        if (dropped > 0) {
            log_line(LVL_WARN, "log", "Lines were left out. count=%llu",
                     (unsigned long long)dropped);
        }
        if (!__atomic_load_n(&writer.stopping, __ATOMIC_RELAXED)) {
            sleep_ms(WRITE_INTERVAL_MS);
        }
        pthread_mutex_lock(&writer.lock);
    }
    pthread_cond_signal(&writer.finished);
    writer.running = false;
    pthread_mutex_unlock(&writer.lock);
    return NULL;
}

int
log_start_writer(int fd)
{
    pthread_condattr_t attr;
    sigset_t all, saved;
    int rc;

    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&writer.not_empty, &attr);
    pthread_cond_init(&writer.finished, &attr);
    pthread_condattr_destroy(&attr);
    writer.fd = fd;
    writer.stopping = false;
    writer.running = true;
    /* All signals are blocked in the thread: one that the program handles
     * itself would end the process if delivered here. */
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &saved);
    rc = pthread_create(&writer.thread, NULL, write_lines, NULL);
    pthread_sigmask(SIG_SETMASK, &saved, NULL);
    if (rc != 0) {
        writer.running = false;
        return -rc;
    }
    pthread_detach(writer.thread);
    return 0;
}

/* Waits for the last lines to be written, with a timeout in case the reader
 * has stopped. */
static void
stop_writer(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    ts.tv_nsec += CLOSE_TIMEOUT_MS * 1000000L;
    ts.tv_sec += ts.tv_nsec / 1000000000L;
    ts.tv_nsec %= 1000000000L;
    pthread_mutex_lock(&writer.lock);
    __atomic_store_n(&writer.stopping, true, __ATOMIC_RELAXED);
    pthread_cond_signal(&writer.not_empty);
    while (writer.running &&
           pthread_cond_timedwait(&writer.finished, &writer.lock, &ts) == 0) {
    }
    pthread_mutex_unlock(&writer.lock);
}

uint64_t
log_dropped_lines(void)
{
    uint64_t n;

    pthread_mutex_lock(&writer.lock);
    n = writer.dropped_total;
    pthread_mutex_unlock(&writer.lock);
    return n;
}

static const log4c_layout_type_t layout_type = {.name = "siskin",
                                                .format = layout_format};
static const log4c_appender_type_t appender_type = {.name = "siskin",
                                                    .append = line_append};

int
log_level_parse(const char *s)
{
    for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
        if (strcmp(levels[i].name, s) == 0) {
            return (int)i;
        }
    }
    return -EINVAL;
}

int
log_open(const char *name, log_level_t level)
{
    log4c_layout_t *layout;
    log4c_appender_t *appender;

    snprintf(prog, sizeof(prog), "%s", name);
    if (log4c_init() != 0) {
        return -EIO;
    }
    log4c_layout_type_set(&layout_type);
    log4c_appender_type_set(&appender_type);
    layout = log4c_layout_get("siskin");
    log4c_layout_set_type(layout, &layout_type);
    appender = log4c_appender_get("siskin");
    log4c_appender_set_type(appender, &appender_type);
    log4c_appender_set_layout(appender, layout);
    category = log4c_category_get("siskin");
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, levels[level].priority);
    return 0;
}

/* Returns the length of the UTF-8 sequence at S; 0 if it is incomplete. */
static size_t
sequence_len(const char *s)
{
    unsigned char c = (unsigned char)*s;
    size_t n = c < 0x80             ? 1
               : (c & 0xe0) == 0xc0 ? 2
               : (c & 0xf0) == 0xe0 ? 3
               : (c & 0xf8) == 0xf0 ? 4
                                    : 0;

    for (size_t i = 1; i < n; i++) {
        if (((unsigned char)s[i] & 0xc0) != 0x80) {
            return 0;
        }
    }
    return n;
}

/* Texts from the store and from peers may contain control characters, which
 * could forge a line of their own.  Long texts may be cut off within a
 * character, which makes tools take the log for a binary file. */
static void
replace_unprintable(char *s)
{
    while (*s != '\0') {
        size_t n = sequence_len(s);
        if (n == 0 || (unsigned char)*s < ' ' || *s == 0x7f) {
            *s = '?';
            n = 1;
        }
        s += n;
    }
}

void
log_line(log_level_t level, const char *part, const char *fmt, ...)
{
    char msg[LINE_MAX_BYTES - 128];
    int n;
    va_list ap;

    if (category == NULL || !log4c_category_is_priority_enabled(
                                category, levels[level].priority)) {
        return;
    }
    n = snprintf(msg, sizeof(msg), "%s: ", part);
    va_start(ap, fmt);
    vsnprintf(msg + n, sizeof(msg) - (size_t)n, fmt, ap);
    va_end(ap);
    replace_unprintable(msg);
    log4c_category_log(category, levels[level].priority, "%s", msg);
}

void
log_set_level(log_level_t level)
{
    if (category != NULL) {
        log4c_category_set_priority(category, levels[level].priority);
    }
}

void
log_close(void)
{
    if (writer.running) {
        stop_writer();
    }
    category = NULL;
    log4c_fini();
}
