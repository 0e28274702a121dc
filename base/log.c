/* Logs through log4c: one category, one stream on standard error. */
#include "base/base.h"

#include <errno.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LINE_MAX_BYTES 1024

static log4c_category_t *category;
static char prog[64] = "siskin";

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

static int
stderr_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    return fputs(event->evt_rendered_msg, stderr) < 0 ? -EIO : 0;
}

static const log4c_layout_type_t layout_type = {.name = "siskin",
                                                .format = layout_format};
static const log4c_appender_type_t appender_type = {.name = "siskin",
                                                    .append = stderr_append};

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
    log4c_category_log(category, levels[level].priority, "%s", msg);
}

void
log_close(void)
{
    category = NULL;
    log4c_fini();
}
