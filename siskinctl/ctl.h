/* ctl: declarations shared by the commands of siskinctl. */
#ifndef SISKIN_CTL_H
#define SISKIN_CTL_H

#include "base/base.h"
#include "conf/conf.h"
#include "plat/plat.h"
#include "request/request.h"

#include <jansson.h>

/* Exit codes, documented in man/siskinctl.1.md. */
typedef enum {
    CTL_OK = 0,
    CTL_NEGATIVE = 1,    /* negative answer, refused, or files differ */
    CTL_USAGE = 2,       /* bad command line or invalid files */
    CTL_UNREACHABLE = 3, /* platform or instance unreachable; nothing done */
    CTL_UNKNOWN = 4,     /* the outcome is unknown */
    CTL_CONFLICT = 5     /* another operator applied a version first */
} ctl_exit_t;

#define CTL_FILES_MAX 64

/* Options of "request add"; a text that is not given is NULL. */
typedef struct {
    const char *kind, *name, *service, *route, *from, *to, *version;
    const char *lifetime, *note, *author;
    const char *revision; /* of the request to replace or end */
    int priority;         /* REQUEST_NO_PRIORITY: not given */
    double share;         /* -1: not given */
} request_options_t;

typedef struct {
    bool json, settings;
    const char *platform;    /* URL */
    const char *admin;       /* IP:PORT */
    const char *store;       /* URL, or "" */
    const char *upstream;    /* IP:PORT, or id for "request add"; or NULL */
    const char *data_centre; /* name, or NULL */
    const char *output_dir;  /* directory, or NULL */
    const char *change_id;
    const char *id;       /* request, flow or upstream to explain, or NULL */
    int64_t base_version; /* version that was edited; -1: unset */
    int64_t count;        /* versions to watch; 0: no limit */
    size_t n_files;
    const char *files[CTL_FILES_MAX];
    request_options_t request;
} options_t;

/* ---- Commands; each returns the exit code ---- */

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
ctl_exit_t cmd_load(const options_t *o);
ctl_exit_t cmd_request_add(const options_t *o);
ctl_exit_t cmd_request_list(const options_t *o);
ctl_exit_t cmd_request_end(const options_t *o);

/* ---- Output ---- */

/* Reports E on standard error, with --json on standard output, and returns
 * CODE. */
ctl_exit_t ctl_fail(const options_t *o, ctl_exit_t code, const err_t *e);
/* Returns the exit code for RC, 0 or a negative errno value. */
ctl_exit_t ctl_exit_code(int rc);
/* Prints O as one line of JSON and frees it. */
void ctl_print_json(json_t *o);
/* Writes TEXT to the new file NAME in o->output_dir.  An existing file may
 * hold an operator's work and is never overwritten: returns -EIO and sets E
 * with the path. */
int ctl_write_file(const options_t *o, const char *step, const char *name,
                   const char *text, err_t *e);
/* Makes the request that the options describe, and checks it. */
int ctl_build_request(request_t *r, const options_t *o, err_t *e);
/* Reads PATH of the instance's admin port.  Sets *STATUS, and *BODY to the
 * JSON answer or NULL. */
ctl_exit_t ctl_get_admin(const options_t *o, const char *path,
                         const char *step, long *status, json_t **body);
/* Prints a JSON object as "key value" lines and aligned tables. */
void ctl_print_table(const json_t *o);

/* ---- Files and versions ---- */

/* Reads and checks the files named in the options; makes a bundle of them. */
ctl_exit_t ctl_read_files(const options_t *o, conf_bundle_t *b);
/* Opens the platform named in the options.  Exits when out of memory or when
 * the URL is too long. */
plat_t *ctl_open_platform(const options_t *o);
/* Reads the version in force; CTL_UNREACHABLE if that fails. */
ctl_exit_t ctl_read_platform(const options_t *o, plat_t *p, conf_bundle_t *b);
/* Generates a random change ID. */
void ctl_new_change_id(char id[CHANGE_ID_LEN]);

/* Returns the differences of two versions as an array of strings; either may
 * be empty.  NULL when one of them can't be parsed. */
json_t *ctl_diff(const conf_bundle_t *old, const conf_bundle_t *new_);
/* Prints each string of LIST on a line. */
void ctl_print_lines(const json_t *list);
/* Returns the lines of MINE whose subject is changed in THEIRS too. */
json_t *ctl_collisions(const json_t *mine, const json_t *theirs);

/* Sets or clears the drain mark of an upstream, or of all upstreams of a data
 * centre, in the overlays and applies the result as a new version. */
ctl_exit_t ctl_drain_upstreams(const options_t *o, bool draining);

#endif
