/* ctl: what the commands of siskinctl share. */
#ifndef SISKIN_CTL_H
#define SISKIN_CTL_H

#include "base/base.h"
#include "conf/conf.h"
#include "plat/plat.h"

#include <jansson.h>

/* Exit codes, as man/siskinctl.1.md tells them. */
typedef enum {
    CTL_OK = 0,
    CTL_NEGATIVE = 1, /* the answer is no, refused, or there is a difference */
    CTL_USAGE = 2,    /* the command line, or files that don't check */
    CTL_UNREACHABLE = 3, /* platform or instance out of reach; nothing done */
    CTL_UNKNOWN = 4,     /* the outcome is unknown */
    CTL_CONFLICT = 5     /* another operator's version came first */
} ctl_exit_t;

#define CTL_FILES_MAX 64

typedef struct {
    bool json, settings;
    const char *platform;    /* URL */
    const char *admin;       /* IP:PORT */
    const char *upstream;    /* IP:PORT, or NULL */
    const char *data_centre; /* a name, or NULL */
    const char *output_dir;  /* a directory, or NULL */
    const char *change_id;
    const char *id;       /* what to explain, or NULL */
    int64_t base_version; /* the version edited; -1: not said */
    int64_t count;        /* versions to watch; 0: no end */
    size_t n_files;
    const char *files[CTL_FILES_MAX];
} options_t;

/* ---- Commands: each returns its exit code ---- */

ctl_exit_t cmd_check(const options_t *o);
ctl_exit_t cmd_apply(const options_t *o);
ctl_exit_t cmd_show(const options_t *o);
ctl_exit_t cmd_diff(const options_t *o);
ctl_exit_t cmd_watch(const options_t *o);
ctl_exit_t cmd_status(const options_t *o);
ctl_exit_t cmd_flows(const options_t *o);
ctl_exit_t cmd_drain(const options_t *o);
ctl_exit_t cmd_undrain(const options_t *o);
ctl_exit_t cmd_explain(const options_t *o);
ctl_exit_t cmd_report(const options_t *o);

/* ---- Output ---- */

/* Tells E on standard error (with --json: on standard output) and returns
 * CODE. */
ctl_exit_t ctl_fail(const options_t *o, ctl_exit_t code, const err_t *e);
/* The exit code for a failed call. */
ctl_exit_t ctl_exit_code(int rc);
/* Prints O as one line of JSON and frees it. */
void ctl_print_json(json_t *o);
/* Writes TEXT to the new file NAME in the directory that the options name.  A
 * file that stands there may hold an operator's work and is left as it is:
 * -EIO, and E with its path. */
int ctl_write_file(const options_t *o, const char *step, const char *name,
                   const char *text, err_t *e);
/* Prints a JSON object as "key value" lines and aligned tables. */
void ctl_print_table(const json_t *o);

/* ---- Files and versions ---- */

/* The checked bundle of the files named. */
ctl_exit_t ctl_read_files(const options_t *o, conf_bundle_t *b);
/* The platform that the options name; ends the program when there is no
 * memory for it or the URL is too long. */
plat_t *ctl_open_platform(const options_t *o);
/* The version in force; CTL_AWAY when it can't be read. */
ctl_exit_t ctl_read_platform(const options_t *o, plat_t *p, conf_bundle_t *b);
/* A fresh change ID. */
void ctl_new_change_id(char id[CHANGE_ID_LEN]);

/* The differences of two versions as an array of strings; either may be
 * empty.  NULL when one can't be read. */
json_t *ctl_diff(const conf_bundle_t *old, const conf_bundle_t *new_);
/* Prints each string of LIST on a line. */
void ctl_print_lines(const json_t *list);
/* Those lines of MINE whose subject THEIRS changes too. */
json_t *ctl_collisions(const json_t *mine, const json_t *theirs);

/* Writes drain marks for an upstream, or for all of a data centre, into the
 * overlay and applies it. */
ctl_exit_t ctl_drain_upstreams(const options_t *o, bool draining);

#endif
