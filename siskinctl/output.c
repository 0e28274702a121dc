/* Output of errors, JSON and tables. */
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COLUMNS_MAX 24
#define CELL_LEN 128
#define KEY_WIDTH 20

ctl_exit_t
ctl_fail(const options_t *o, ctl_exit_t code, const err_t *e)
{
    if (o->json) {
        ctl_print_json(json_pack("{s{ss ss ss si}}", "error", "step", e->step,
                                 "peer", e->peer, "text", e->text, "exit",
                                 code));
    }
    else if (strcmp(e->step, "check") == 0) {
        fprintf(stderr, "%s: %s\n", e->peer, e->text);
    }
    else {
        fprintf(stderr, "siskinctl: %s: %s: %s\n", e->step, e->peer, e->text);
    }
    return code;
}

ctl_exit_t
ctl_exit_code(int rc)
{
    switch (rc) {
    case 0:
        return CTL_OK;
    case -EINVAL:
    case -ENOENT:
        return CTL_NEGATIVE;
    case -EAGAIN:
        return CTL_CONFLICT;
    case -EIO:
        return CTL_UNKNOWN;
    default:
        return CTL_UNREACHABLE;
    }
}

void
ctl_print_json(json_t *o)
{
    json_dumpf(o, stdout, JSON_COMPACT | JSON_SORT_KEYS);
    putchar('\n');
    json_decref(o);
}

void
ctl_print_lines(const json_t *list)
{
    size_t i;
    json_t *line;

    json_array_foreach(list, i, line)
    {
        printf("%s\n", json_string_value(line));
    }
}

int
ctl_write_file(const options_t *o, const char *step, const char *name,
               const char *text, err_t *e)
{
    char *path;
    FILE *f;
    int failed;

    if (asprintf(&path, "%s/%s", o->output_dir, name) < 0) {
        return err_set(e, -ENOMEM, step, name, "out of memory");
    }
    f = fopen(path, "wx");
    if (f == NULL) {
        err_set(e, -EIO, step, path, "%s", strerror(errno));
        free(path);
        return -EIO;
    }
    failed = fputs(text, f) < 0;
    failed |= fclose(f) != 0;
    if (failed) {
        err_set(e, -EIO, step, path, "write failed or was incomplete");
    }
    free(path);
    return failed ? -EIO : 0;
}

/* ---- Tables ---- */

/* Formats a value on one line: "yes", "12", "urgent=3 feed=1"; "-" if empty.
 */
static void
format_cell(const json_t *v, char *buf, size_t cap)
{
    char inner[CELL_LEN];
    const char *key;
    size_t used = 0, i;
    json_t *entry;

    snprintf(buf, cap, "-");
    switch (json_typeof(v)) {
    case JSON_STRING:
        snprintf(buf, cap, "%s", json_string_value(v));
        return;
    case JSON_INTEGER:
        snprintf(buf, cap, "%lld", (long long)json_integer_value(v));
        return;
    case JSON_REAL:
        snprintf(buf, cap, "%.3f", json_real_value(v));
        return;
    case JSON_TRUE:
        snprintf(buf, cap, "yes");
        return;
    case JSON_FALSE:
        snprintf(buf, cap, "no");
        return;
    case JSON_NULL:
        return;
    case JSON_OBJECT:
        json_object_foreach((json_t *)v, key, entry)
        {
            format_cell(entry, inner, sizeof(inner));
            if (used < cap) {
                used += (size_t)snprintf(buf + used, cap - used, "%s%s=%s",
                                         used > 0 ? " " : "", key, inner);
            }
        }
        return;
    case JSON_ARRAY:
        json_array_foreach(v, i, entry)
        {
            format_cell(entry, inner, sizeof(inner));
            if (used < cap) {
                used += (size_t)snprintf(buf + used, cap - used, "%s%s",
                                         used > 0 ? "," : "", inner);
            }
        }
        return;
    }
}

typedef struct {
    const char *key[COLUMNS_MAX];
    int width[COLUMNS_MAX];
    size_t n;
} columns_t;

static void
fit_column(columns_t *c, const char *key, const json_t *value)
{
    char text[CELL_LEN];
    size_t i = 0;
    int len;

    while (i < c->n && strcmp(c->key[i], key) != 0) {
        i++;
    }
    if (i == COLUMNS_MAX) {
        return;
    }
    if (i == c->n) {
        c->key[c->n] = key;
        c->width[c->n++] = (int)strlen(key);
    }
    format_cell(value, text, sizeof(text));
    len = (int)strlen(text);
    c->width[i] = len > c->width[i] ? len : c->width[i];
}

/* Prints the header if ROW is NULL. */
static void
print_row(const columns_t *c, const json_t *row)
{
    char text[CELL_LEN];
    const json_t *v;

    for (size_t i = 0; i < c->n; i++) {
        bool last = i + 1 == c->n;
        v = json_object_get(row, c->key[i]);
        snprintf(text, sizeof(text), "%s", row == NULL ? c->key[i] : "-");
        if (v != NULL) {
            format_cell(v, text, sizeof(text));
        }
        printf("%s%-*s", i > 0 ? "  " : "", last ? 0 : c->width[i], text);
    }
    putchar('\n');
}

static void
print_rows(const char *name, const json_t *rows)
{
    columns_t c = {.n = 0};
    const char *key;
    json_t *row, *value;
    size_t i;

    json_array_foreach(rows, i, row)
    {
        json_object_foreach(row, key, value)
        {
            fit_column(&c, key, value);
        }
    }
    printf("\n%s\n", name);
    print_row(&c, NULL);
    json_array_foreach(rows, i, row)
    {
        print_row(&c, row);
    }
}

static bool
is_table(const json_t *v)
{
    return json_is_object(json_array_get(v, 0));
}

void
ctl_print_table(const json_t *o)
{
    char text[CELL_LEN];
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)o, key, value)
    {
        if (!is_table(value)) {
            format_cell(value, text, sizeof(text));
            printf("%-*s %s\n", KEY_WIDTH, key, text);
        }
    }
    json_object_foreach((json_t *)o, key, value)
    {
        if (is_table(value)) {
            print_rows(key, value);
        }
    }
}
