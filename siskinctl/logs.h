/* logs: lines of instances' logs, read back. */
#ifndef SISKIN_LOGS_H
#define SISKIN_LOGS_H

#include "base/base.h"

#define LOG_FIELDS_MAX 24

typedef struct {
    const char *name, *value;
} log_field_t;

/* One line; all text stands in the file that it was read from. */
typedef struct {
    ms_t time_ms;       /* since 1970 */
    size_t input_order; /* the how-manieth */
    const char *instance, *part, *message;
    uint32_t n_fields;
    log_field_t field[LOG_FIELDS_MAX];
} log_entry_t;

typedef struct {
    log_entry_t *entry; /* by time; at the same time as they were read */
    size_t n, cap;
    size_t unreadable; /* lines that are none of an instance */
    char **text;       /* of each file */
    size_t n_texts;
} logs_t;

/* Reads the files named; "-", or none: standard input.  -ENOMEM, -EIO: E
 * tells. */
int logs_read(logs_t *l, const char *const *files, size_t n, err_t *e);
void logs_free(logs_t *l);
/* The field's value, or NULL. */
const char *log_field(const log_entry_t *x, const char *name);
/* True where the field is there and has that value. */
bool log_field_is(const log_entry_t *x, const char *name, const char *value);
/* True for a line of PART whose sentence begins so. */
bool log_matches(const log_entry_t *x, const char *part, const char *begin);

#endif
