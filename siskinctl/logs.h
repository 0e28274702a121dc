/* logs: parser of instances' log files. */
#ifndef SISKIN_LOGS_H
#define SISKIN_LOGS_H

#include "base/base.h"

#define LOG_FIELDS_MAX 24

typedef struct {
    const char *name, *value;
} log_field_t;

/* A log line.  The strings point into the text buffers of logs_t. */
typedef struct {
    ms_t time_ms;       /* since the Unix epoch */
    size_t input_order; /* index in order of reading */
    const char *instance, *part, *message;
    uint32_t n_fields;
    log_field_t field[LOG_FIELDS_MAX];
} log_entry_t;

typedef struct {
    log_entry_t *entry; /* sorted by time, then by order of reading */
    size_t n, cap;
    size_t unreadable; /* lines that are not log lines of an instance */
    char **text;       /* contents of each file */
    size_t n_texts;
} logs_t;

/* Reads and sorts the lines of FILES; "-" or an empty list means standard
 * input.  On failure sets E and returns -ENOMEM or -EIO. */
int logs_read(logs_t *l, const char *const *files, size_t n, err_t *e);
void logs_free(logs_t *l);
/* Returns the value of the field, or NULL. */
const char *log_field(const log_entry_t *x, const char *name);
/* Reports whether the field is present and equals VALUE. */
bool log_field_is(const log_entry_t *x, const char *name, const char *value);
/* Reports whether the line was logged by PART and its message starts with
 * BEGIN. */
bool log_matches(const log_entry_t *x, const char *part, const char *begin);

#endif
