/* Parser of log lines: "TIME LEVEL INSTANCE PART: Message. name=value
 * name="..."".  Text before the time, such as a host name added by a log
 * collector, is skipped. */
#include "siskinctl/logs.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define READ_CHUNK (1 << 16)
#define TIMESTAMP_LEN 24 /* 2026-01-02T03:04:05.678Z */

/* ---- One line ---- */

static bool
is_timestamp(const char *s)
{
    static const char format[] = "dddd-dd-ddTdd:dd:dd.dddZ";

    for (size_t i = 0; format[i] != '\0'; i++) {
        if (format[i] == 'd' ? !isdigit((unsigned char)s[i])
                             : s[i] != format[i]) {
            return false;
        }
    }
    return true;
}

static ms_t
parse_timestamp(const char *s)
{
    struct tm t = {0};
    const char *end = strptime(s, "%Y-%m-%dT%H:%M:%S", &t);

    return end != NULL ? (ms_t)timegm(&t) * 1000 + atoi(end + 1) : 0;
}

/* Returns the next word of *S, NUL-terminated in place, and advances *S. */
static char *
next_word(char **s)
{
    char *begin = *s + strspn(*s, " ");
    size_t len = strcspn(begin, " ");

    *s = begin + len + (begin[len] != '\0');
    begin[len] = '\0';
    return begin;
}

/* Like next_word, but a value in quotes may contain spaces. */
static char *
next_value(char **s)
{
    char *begin = *s, *end;

    if (*begin != '"') {
        return next_word(s);
    }
    begin++;
    end = begin;
    while (*end != '\0' &&
           (*end != '"' || (end[1] != ' ' && end[1] != '\0'))) {
        end++;
    }
    *s = end + (*end != '\0');
    *end = '\0';
    return begin;
}

/* Returns the first " name=" in S, or NULL.  Names have only lower-case
 * letters and underscores. */
static char *
find_first_field(char *s)
{
    for (char *p = strchr(s, ' '); p != NULL; p = strchr(p + 1, ' ')) {
        size_t len = strspn(p + 1, "abcdefghijklmnopqrstuvwxyz_");
        if (len > 0 && p[1 + len] == '=') {
            return p;
        }
    }
    return NULL;
}

static void
parse_fields(log_entry_t *x, char *s)
{
    while (x->n_fields < LOG_FIELDS_MAX) {
        char *name = s + strspn(s, " ");
        char *equals = strchr(name, '=');
        if (equals == NULL) {
            return;
        }
        *equals = '\0';
        s = equals + 1;
        x->field[x->n_fields++] = (log_field_t){name, next_value(&s)};
    }
}

static bool
parse_entry(log_entry_t *x, char *line)
{
    char *s = line, *part, *fields;
    size_t len;

    while (*s != '\0' && !is_timestamp(s)) {
        s++;
    }
    if (*s == '\0') {
        return false;
    }
    *x = (log_entry_t){.time_ms = parse_timestamp(s)};
    s += TIMESTAMP_LEN;
    next_word(&s); /* the level */
    x->instance = next_word(&s);
    part = next_word(&s);
    len = strlen(part);
    if (len == 0 || part[len - 1] != ':') {
        return false;
    }
    part[len - 1] = '\0';
    x->part = part;
    x->message = s;
    fields = find_first_field(s);
    if (fields != NULL) {
        *fields = '\0';
        parse_fields(x, fields + 1);
    }
    return true;
}

/* ---- Files ---- */

static int
add_entry(logs_t *l, const log_entry_t *x)
{
    log_entry_t *grown =
        array_grow(l->entry, &l->cap, l->n + 1, sizeof(*grown));

    if (grown == NULL) {
        return -ENOMEM;
    }
    l->entry = grown;
    l->entry[l->n] = *x;
    l->entry[l->n].input_order = l->n;
    l->n++;
    return 0;
}

/* Returns the contents of IN, NUL-terminated, which the caller frees; NULL
 * when out of memory or on a read error. */
static char *
read_all(FILE *in)
{
    size_t len = 0, cap = 0, got;
    char *text = NULL;

    do {
        if (len + READ_CHUNK + 1 > cap) {
            char *grown;
            cap = 2 * cap + READ_CHUNK + 1;
            grown = realloc(text, cap);
            if (grown == NULL) {
                free(text);
                return NULL;
            }
            text = grown;
        }
        got = fread(text + len, 1, READ_CHUNK, in);
        len += got;
    } while (got > 0);
    for (size_t i = 0; i < len; i++) { /* a crash can leave NULs in a log */
        text[i] = text[i] == '\0' ? ' ' : text[i];
    }
    text[len] = '\0';
    if (ferror(in)) {
        free(text);
        return NULL;
    }
    return text;
}

static int
parse_lines(logs_t *l, char *text)
{
    char *next;

    for (char *line = text; line != NULL && *line != '\0'; line = next) {
        log_entry_t x;
        next = strchr(line, '\n');
        if (next != NULL) {
            *next++ = '\0';
        }
        if (!parse_entry(&x, line)) {
            l->unreadable++;
        }
        else if (add_entry(l, &x) < 0) {
            return -ENOMEM;
        }
    }
    return 0;
}

static int
read_file(logs_t *l, const char *name, err_t *e)
{
    bool is_stdin = strcmp(name, "-") == 0;
    FILE *in = is_stdin ? stdin : fopen(name, "r");
    char *text = in != NULL ? read_all(in) : NULL;
    int rc = 0;

    if (text == NULL) {
        rc = err_set(e, -EIO, "read log", name, "%s", strerror(errno));
    }
    else {
        l->text[l->n_texts++] = text;
        if (parse_lines(l, text) < 0) {
            rc = err_set(e, -ENOMEM, "read log", name, "out of memory");
        }
    }
    if (in != NULL && !is_stdin) {
        fclose(in);
    }
    return rc;
}

static int
compare_entries(const void *a, const void *b)
{
    const log_entry_t *x = a, *y = b;

    return x->time_ms != y->time_ms
               ? (x->time_ms > y->time_ms) - (x->time_ms < y->time_ms)
               : (x->input_order > y->input_order) -
                     (x->input_order < y->input_order);
}

int
logs_read(logs_t *l, const char *const *files, size_t n, err_t *e)
{
    static const char *const standard_input[] = {"-"};
    int rc = 0;

    if (n == 0) {
        files = standard_input;
        n = 1;
    }
    *l = (logs_t){.text = calloc(n, sizeof(*l->text))};
    if (l->text == NULL) {
        return err_set(e, -ENOMEM, "read log", "memory", "out of memory");
    }
    for (size_t i = 0; i < n && rc == 0; i++) {
        rc = read_file(l, files[i], e);
    }
    if (rc < 0) {
        logs_free(l);
        return rc;
    }
    if (l->n > 0) {
        qsort(l->entry, l->n, sizeof(*l->entry), compare_entries);
    }
    return 0;
}

void
logs_free(logs_t *l)
{
    for (size_t i = 0; i < l->n_texts; i++) {
        free(l->text[i]);
    }
    free(l->text);
    free(l->entry);
    *l = (logs_t){0};
}

const char *
log_field(const log_entry_t *x, const char *name)
{
    for (uint32_t i = 0; i < x->n_fields; i++) {
        if (strcmp(x->field[i].name, name) == 0) {
            return x->field[i].value;
        }
    }
    return NULL;
}

bool
log_field_is(const log_entry_t *x, const char *name, const char *value)
{
    const char *v = log_field(x, name);

    return v != NULL && strcmp(v, value) == 0;
}

bool
log_matches(const log_entry_t *x, const char *part, const char *begin)
{
    return strcmp(x->part, part) == 0 &&
           strncmp(x->message, begin, strlen(begin)) == 0;
}
