/* siskinctl check, diff, show and watch: read-only commands on files and
 * versions. */
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WATCH_TIMEOUT_MS 30000
#define RETRY_INTERVAL_S 1 /* after a failed or empty wait */

/* ---- check ---- */

static ctl_exit_t
check_settings(const options_t *o)
{
    settings_t s;
    err_t e = {0};

    for (size_t i = 0; i < o->n_files; i++) {
        if (settings_read(&s, o->files[i], &e) < 0) {
            return ctl_fail(o, CTL_USAGE, &e);
        }
    }
    return CTL_OK;
}

ctl_exit_t
cmd_check(const options_t *o)
{
    conf_bundle_t b;
    ctl_exit_t code;

    code = o->settings ? check_settings(o) : ctl_read_files(o, &b);
    if (code == CTL_OK && !o->settings) {
        bundle_free(&b);
    }
    if (code == CTL_OK && o->json) {
        ctl_print_json(json_pack("{sb}", "ok", 1));
    }
    return code;
}

/* ---- diff ---- */

static ctl_exit_t
print_diff(const options_t *o, const conf_bundle_t *cur,
           const conf_bundle_t *files)
{
    json_t *lines = ctl_diff(cur, files);
    bool same = cur->n > 0 && cur->hash == files->hash;

    if (o->json) {
        ctl_print_json(json_pack("{sI sb sO}", "version",
                                 (json_int_t)cur->version, "same", same,
                                 "differences", lines));
    }
    else {
        ctl_print_lines(lines);
    }
    if (!same && json_array_size(lines) == 0 && !o->json) {
        printf("Only comments or layout differ.\n");
    }
    json_decref(lines);
    return same ? CTL_OK : CTL_NEGATIVE;
}

ctl_exit_t
cmd_diff(const options_t *o)
{
    conf_bundle_t files, cur;
    plat_t *p;
    ctl_exit_t code = ctl_read_files(o, &files);

    if (code != CTL_OK) {
        return code;
    }
    p = ctl_open_platform(o);
    code = ctl_read_platform(o, p, &cur);
    plat_free(p);
    if (code == CTL_OK) {
        code = print_diff(o, &cur, &files);
        bundle_free(&cur);
    }
    bundle_free(&files);
    return code;
}

/* ---- show ---- */

static ctl_exit_t
fail_show(const options_t *o, const char *peer, const char *text)
{
    err_t e;

    err_set(&e, -ENOENT, "show", peer, "%s", text);
    return ctl_fail(o, CTL_NEGATIVE, &e);
}

static ctl_exit_t
show_text(const options_t *o, const conf_bundle_t *b)
{
    for (size_t i = 0; i < b->n; i++) {
        if (strcmp(b->file[i], o->files[0]) == 0) {
            fputs(b->text[i], stdout);
            return CTL_OK;
        }
    }
    return fail_show(o, o->files[0],
                     "no such text; expected base or a data centre in force");
}

static ctl_exit_t
show_to_dir(const options_t *o, const conf_bundle_t *b)
{
    char name[NAME_LEN + 8];
    err_t e;

    for (size_t i = 0; i < b->n; i++) {
        snprintf(name, sizeof(name), "%s.toml", b->file[i]);
        if (ctl_write_file(o, "show", name, b->text[i], &e) < 0) {
            return ctl_fail(o, CTL_NEGATIVE, &e);
        }
    }
    printf("version %llu\n", (unsigned long long)b->version);
    return CTL_OK;
}

static ctl_exit_t
show_all(const options_t *o, const conf_bundle_t *b)
{
    char *json;

    if (o->json) {
        json = bundle_write(b);
        puts(json);
        free(json);
        return CTL_OK;
    }
    printf("# version %llu, change %s, hash %016llx\n",
           (unsigned long long)b->version, b->change_id,
           (unsigned long long)b->hash);
    for (size_t i = 0; i < b->n; i++) {
        printf("\n# ---- %s ----\n%s", b->file[i], b->text[i]);
    }
    return CTL_OK;
}

static ctl_exit_t
show(const options_t *o, const conf_bundle_t *b)
{
    if (b->n == 0) {
        return fail_show(o, o->platform, "no version has been applied yet");
    }
    if (o->n_files > 0) {
        return show_text(o, b);
    }
    return o->output_dir != NULL ? show_to_dir(o, b) : show_all(o, b);
}

ctl_exit_t
cmd_show(const options_t *o)
{
    conf_bundle_t b;
    plat_t *p = ctl_open_platform(o);
    ctl_exit_t code = ctl_read_platform(o, p, &b);

    plat_free(p);
    if (code == CTL_OK) {
        code = show(o, &b);
        bundle_free(&b);
    }
    return code;
}

/* ---- watch ---- */

static void
print_version(const options_t *o, const conf_bundle_t *old,
              const conf_bundle_t *b)
{
    json_t *lines = old->n > 0 ? ctl_diff(old, b) : json_array();

    if (o->json) {
        ctl_print_json(json_pack("{sI ss sO}", "version",
                                 (json_int_t)b->version, "change_id",
                                 b->change_id, "differences", lines));
    }
    else {
        printf("version %llu, change %s\n", (unsigned long long)b->version,
               b->change_id);
        ctl_print_lines(lines);
    }
    fflush(stdout);
    json_decref(lines);
}

/* Waits for a version later than LAST; -ENODATA if there is none yet. */
static int
next_version(plat_t *p, const conf_bundle_t *last, uint64_t *revision,
             conf_bundle_t *next, err_t *e)
{
    uint64_t next_revision;
    char *json;
    int rc = plat_get(p, PLAT_CONFIG_KEY, WATCH_TIMEOUT_MS, *revision, &json,
                      &next_revision, e);

    if (rc < 0) {
        return rc;
    }
    if (json == NULL) {
        return -ENODATA;
    }
    rc = plat_read_bundle(p, json, next, e);
    free(json);
    if (rc < 0) {
        return rc;
    }
    /* The wait timed out without a change, or a stale read returned an
     * earlier version. */
    if (next->version <= last->version) {
        bundle_free(next);
        return -ENODATA;
    }
    *revision = next_revision;
    return 0;
}

ctl_exit_t
cmd_watch(const options_t *o)
{
    plat_t *p = ctl_open_platform(o);
    conf_bundle_t last = {0}, next;
    uint64_t revision = 0;
    int64_t printed = 0;
    bool unreachable = false;
    err_t e;
    int rc;

    while (o->count == 0 || printed < o->count) {
        rc = next_version(p, &last, &revision, &next, &e);
        if (rc == 0) {
            print_version(o, &last, &next);
            bundle_free(&last);
            last = next;
            printed++;
            unreachable = false;
            continue;
        }
        if (rc != -ENODATA && !unreachable) {
            ctl_fail(o, CTL_UNREACHABLE, &e);
            fflush(stdout);
        }
        unreachable = rc != -ENODATA;
        sleep(RETRY_INTERVAL_S);
    }
    bundle_free(&last);
    plat_free(p);
    return CTL_OK;
}
