/* Reading operators' files and the version in force into bundles. */
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

typedef struct {
    size_t n;
    conf_source_t src[CTL_FILES_MAX];
} input_files_t;

static void
input_files_free(input_files_t *t)
{
    for (size_t i = 0; i < t->n; i++) {
        free((char *)t->src[i].text);
    }
}

/* Moves the base file to the front; it may be named in any position. */
static int
move_base_first(input_files_t *t, err_t *e)
{
    char name[NAME_LEN];
    conf_source_t base;

    for (size_t i = 0; i < t->n; i++) {
        if (!conf_is_overlay(t->src[i].text, name)) {
            base = t->src[i];
            memmove(&t->src[1], &t->src[0], i * sizeof(base));
            t->src[0] = base;
            return 0;
        }
    }
    return err_set(e, -EINVAL, "check", t->src[0].file,
                   "each file names a data_centre; expected a base file "
                   "among them");
}

static int
input_files_read(input_files_t *t, const options_t *o, err_t *e)
{
    char *text;

    for (size_t i = 0; i < o->n_files; i++) {
        text = conf_read_file(o->files[i], e);
        if (text == NULL) {
            return -EINVAL;
        }
        t->src[t->n++] = (conf_source_t){o->files[i], text};
    }
    return move_base_first(t, e);
}

ctl_exit_t
ctl_read_files(const options_t *o, conf_bundle_t *b)
{
    input_files_t t = {.n = 0};
    err_t e = {0};
    int rc;

    *b = (conf_bundle_t){0};
    rc = input_files_read(&t, o, &e);
    if (rc == 0) {
        rc = bundle_make(b, t.src, t.n, &e);
    }
    input_files_free(&t);
    return rc < 0 ? ctl_fail(o, CTL_USAGE, &e) : CTL_OK;
}

plat_t *
ctl_open_platform(const options_t *o)
{
    plat_t *p = plat_new(o->platform);

    if (p == NULL) {
        fprintf(stderr,
                "siskinctl: no call to %.40s can be made; expected a "
                "URL shorter than 128\n",
                o->platform);
        exit(CTL_USAGE);
    }
    return p;
}

ctl_exit_t
ctl_read_platform(const options_t *o, plat_t *p, conf_bundle_t *b)
{
    err_t e = {0};
    uint64_t revision;

    return plat_read_config(p, b, &revision, &e) < 0
               ? ctl_fail(o, CTL_UNREACHABLE, &e)
               : CTL_OK;
}

void
ctl_new_change_id(char id[CHANGE_ID_LEN])
{
    uint64_t random[2];

    if (getrandom(random, sizeof(random), 0) != sizeof(random)) {
        abort();
    }
    snprintf(id, CHANGE_ID_LEN, "%016llx%016llx",
             (unsigned long long)random[0], (unsigned long long)random[1]);
}

/* ---- Differences ---- */

static void
append_line(void *arg, const char *text)
{
    json_array_append_new(arg, json_string(text));
}

json_t *
ctl_diff(const conf_bundle_t *old, const conf_bundle_t *new_)
{
    conf_t *a = old->n > 0 ? bundle_conf(old, NULL) : NULL;
    conf_t *b = new_->n > 0 ? bundle_conf(new_, NULL) : NULL;
    json_t *lines = NULL;

    if ((a != NULL || old->n == 0) && (b != NULL || new_->n == 0)) {
        lines = json_array();
        conf_diff(a, b, append_line, lines);
    }
    conf_free(a);
    conf_free(b);
    return lines;
}

/* Returns the length of the subject of a line, which ends at ": "; includes
 * the sign in front. */
static size_t
subject_len(const char *line)
{
    const char *end = strstr(line, ": ");

    return end != NULL ? (size_t)(end - line) : strlen(line);
}

/* "service a" includes "service a queue": removing a service conflicts with
 * editing it. */
static bool
same_subject(const char *x, const char *y)
{
    size_t a = subject_len(x), b = subject_len(y);
    size_t n = a < b ? a : b;

    if (strncmp(x + 1, y + 1, n - 1) != 0) {
        return false;
    }
    return a == b || (a > b ? x : y)[n] == ' ';
}

static bool
collides(const char *line, const json_t *theirs)
{
    size_t i;
    json_t *other;

    json_array_foreach(theirs, i, other)
    {
        if (same_subject(line, json_string_value(other))) {
            return true;
        }
    }
    return false;
}

json_t *
ctl_collisions(const json_t *mine, const json_t *theirs)
{
    json_t *out = json_array();
    json_t *line;
    size_t i;

    json_array_foreach(mine, i, line)
    {
        if (collides(json_string_value(line), theirs)) {
            json_array_append(out, line);
        }
    }
    return out;
}
