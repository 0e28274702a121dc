/* siskinctl apply, and drain of upstreams, which applies an edited version. */
#include "siskinctl/ctl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EDIT_ATTEMPTS 5

/* ---- Report of a conflict with a version applied meanwhile ---- */

typedef struct {
    uint64_t base_version; /* the version that both edited; 0: none */
    json_t *mine;          /* changes of each since base_version; */
    json_t *theirs;        /* NULL if it is no longer stored */
    json_t *difference;    /* from theirs to mine */
    json_t *collisions;    /* lines of mine whose subject theirs changes */
} conflict_t;

static void
conflict_init(conflict_t *r, plat_t *p, const conf_bundle_t *mine,
              const conf_bundle_t *theirs, uint64_t base_version)
{
    conf_bundle_t base = {0};

    *r = (conflict_t){.base_version = base_version};
    r->difference = ctl_diff(theirs, mine);
    if (base_version == 0 ||
        plat_read_history(p, base_version, &base, NULL) == 0) {
        r->mine = ctl_diff(&base, mine);
        r->theirs = ctl_diff(&base, theirs);
        r->collisions = ctl_collisions(r->mine, r->theirs);
    }
    bundle_free(&base);
}

static void
conflict_free(conflict_t *r)
{
    json_decref(r->mine);
    json_decref(r->theirs);
    json_decref(r->difference);
    json_decref(r->collisions);
}

static void
print_section(const char *title, const json_t *lines)
{
    if (json_array_size(lines) > 0) {
        printf("%s\n", title);
        ctl_print_lines(lines);
    }
}

static void
conflict_print(const conflict_t *r, const conf_bundle_t *theirs)
{
    unsigned long long version = theirs->version;

    printf("Version %llu came first (change %s).  Nothing was written.\n",
           version, theirs->change_id);
    if (r->mine == NULL) {
        print_section("From that version to your files:", r->difference);
    }
    else {
        print_section("It changed:", r->theirs);
        print_section("Your files changed:", r->mine);
        print_section("Both changed; of your files:", r->collisions);
    }
    printf("Bring your files up to it (siskinctl show), then apply them with "
           "--on %llu.\n",
           version);
}

static json_t *
or_null(json_t *list)
{
    return list != NULL ? json_incref(list) : json_null();
}

static ctl_exit_t
report_conflict(const options_t *o, plat_t *p, const conf_bundle_t *mine,
                const conf_bundle_t *theirs, uint64_t base_version)
{
    conflict_t r;

    conflict_init(&r, p, mine, theirs, base_version);
    if (o->json) {
        ctl_print_json(json_pack(
            "{sI ss so so so so}", "lost_to", (json_int_t)theirs->version,
            "change_id", theirs->change_id, "theirs", or_null(r.theirs),
            "mine", or_null(r.mine), "difference", or_null(r.difference),
            "collisions", or_null(r.collisions)));
    }
    else {
        conflict_print(&r, theirs);
    }
    conflict_free(&r);
    return CTL_CONFLICT;
}

/* ---- apply ---- */

static ctl_exit_t
print_applied(const options_t *o, const conf_bundle_t *b, bool changed)
{
    if (o->json) {
        ctl_print_json(json_pack("{sI ss sb}", "version",
                                 (json_int_t)b->version, "change_id",
                                 b->change_id, "changed", changed));
    }
    else if (changed) {
        printf("version %llu\n", (unsigned long long)b->version);
    }
    return CTL_OK;
}

static ctl_exit_t
write_version(const options_t *o, plat_t *p, conf_bundle_t *b,
              uint64_t base_version)
{
    conf_bundle_t theirs;
    err_t e = {0};
    int rc = plat_apply(p, b, base_version, &theirs, &e);
    ctl_exit_t code;

    if (rc == 0) {
        return print_applied(o, b, true);
    }
    if (rc == -EAGAIN && theirs.n > 0) {
        code = report_conflict(o, p, b, &theirs, base_version);
    }
    else {
        code = ctl_fail(o, ctl_exit_code(rc), &e);
    }
    bundle_free(&theirs);
    return code;
}

/* Without --on, the version in force may be one that the operator has not
 * seen; applying the files would silently revert its changes. */
static ctl_exit_t
fail_no_base_version(const options_t *o, uint64_t version)
{
    err_t e;

    err_set(&e, -EINVAL, "apply", "platform",
            "version %llu is in force; look at it with siskinctl diff, then "
            "say --on %llu",
            (unsigned long long)version, (unsigned long long)version);
    return ctl_fail(o, CTL_USAGE, &e);
}

/* A stale read may return a version older than the edited one.  Equal texts in
 * that version do not mean that they are in force now. */
static bool
already_in_force(const options_t *o, const conf_bundle_t *cur,
                 const conf_bundle_t *b)
{
    return cur->n > 0 && cur->hash == b->hash &&
           (o->base_version < 0 || cur->version >= (uint64_t)o->base_version);
}

static ctl_exit_t
apply_files(const options_t *o, plat_t *p, conf_bundle_t *b)
{
    conf_bundle_t cur;
    ctl_exit_t code = ctl_read_platform(o, p, &cur);
    uint64_t base_version =
        o->base_version >= 0 ? (uint64_t)o->base_version : 0;

    if (code != CTL_OK) {
        return code;
    }
    if (already_in_force(o, &cur, b)) {
        code = print_applied(o, &cur, false);
    }
    else if (cur.n > 0 && o->base_version < 0) {
        code = fail_no_base_version(o, cur.version);
    }
    else {
        code = write_version(o, p, b, base_version);
    }
    bundle_free(&cur);
    return code;
}

static bool
change_id_valid(const char *s)
{
    size_t n = strspn(s, "0123456789abcdefghijklmnopqrstuvwxyz"
                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ-_.");

    return n > 0 && n < CHANGE_ID_LEN && s[n] == '\0';
}

static ctl_exit_t
set_change_id(const options_t *o, conf_bundle_t *b)
{
    err_t e;

    if (o->change_id == NULL) {
        ctl_new_change_id(b->change_id);
        return CTL_OK;
    }
    if (!change_id_valid(o->change_id)) {
        err_set(&e, -EINVAL, "apply", "--change-id",
                "doesn't fit; expected 1 to %d letters, digits, '-', '_' and "
                "'.'",
                CHANGE_ID_LEN - 1);
        return ctl_fail(o, CTL_USAGE, &e);
    }
    strcpy(b->change_id, o->change_id);
    return CTL_OK;
}

ctl_exit_t
cmd_apply(const options_t *o)
{
    conf_bundle_t b;
    plat_t *p;
    ctl_exit_t code = ctl_read_files(o, &b);

    if (code != CTL_OK) {
        return code;
    }
    code = set_change_id(o, &b);
    if (code == CTL_OK) {
        p = ctl_open_platform(o);
        code = apply_files(o, p, &b);
        plat_free(p);
    }
    bundle_free(&b);
    return code;
}

/* ---- drain --upstream, drain --data-centre ---- */

/* Target of a drain: an upstream, or all upstreams of a data centre. */
typedef struct {
    addr_t upstream;
    const char *data_centre; /* NULL: drain the upstream */
    bool draining;
} drain_t;

/* Edits the overlay that contains the upstream; -ENOENT if there is none. */
static int
edit_upstream(conf_bundle_t *b, const addr_t *a, bool draining, err_t *e)
{
    char addr[ADDR_STRLEN];
    char *text;

    for (size_t i = 1; i < b->n; i++) {
        text = conf_set_draining(b->text[i], a, draining, e);
        if (text != NULL) {
            free(b->text[i]);
            b->text[i] = text;
            return 0;
        }
        if (e->code != -ENOENT) {
            return e->code;
        }
    }
    return err_set(e, -ENOENT, "drain", addr_text(a, addr),
                   "no upstream in force has this address");
}

/* Applies D to the overlays of B; BEFORE is their parsed content. */
static int
edit_bundle(conf_bundle_t *b, const conf_t *before, const drain_t *d, err_t *e)
{
    uint32_t n = 0;
    int rc = 0;

    if (d->data_centre == NULL) {
        return edit_upstream(b, &d->upstream, d->draining, e);
    }
    for (uint32_t i = 0; i < before->n_services; i++) {
        const conf_service_t *s = &before->services[i];
        for (uint32_t k = 0; k < s->n_upstreams && rc == 0; k++) {
            const conf_upstream_t *u = &s->upstreams[k];
            if (strcmp(u->data_centre, d->data_centre) == 0) {
                rc = edit_upstream(b, &u->addr, d->draining, e);
                n++;
            }
        }
    }
    if (rc == 0 && n == 0) {
        return err_set(e, -ENOENT, "drain", d->data_centre,
                       "no upstream in force is in this data centre");
    }
    return rc;
}

/* Makes the bundle again from the edited texts, with a new hash. */
static int
rebuild_bundle(conf_bundle_t *b, err_t *e)
{
    conf_source_t src[SOURCES_MAX];
    conf_bundle_t rebuilt;
    int rc;

    for (size_t i = 0; i < b->n; i++) {
        src[i] = (conf_source_t){b->file[i], b->text[i]};
    }
    rc = bundle_make(&rebuilt, src, b->n, e);
    if (rc == 0) {
        bundle_free(b);
        *b = rebuilt;
    }
    return rc;
}

/* Makes one attempt on the version in force; -EAGAIN if another version was
 * applied meanwhile. */
static int
try_drain(plat_t *p, const drain_t *d, conf_bundle_t *b, bool *changed,
          err_t *e)
{
    conf_t *before, *after;
    uint64_t revision, base_version;
    int rc = plat_read_config(p, b, &revision, e);

    if (rc < 0) { /* nothing was written yet: no unknown outcome */
        return rc == -EIO ? -EHOSTUNREACH : rc;
    }
    base_version = b->version;
    before = bundle_conf(b, e);
    rc = before != NULL ? edit_bundle(b, before, d, e) : e->code;
    if (rc == 0) {
        rc = rebuild_bundle(b, e);
    }
    after = rc == 0 ? bundle_conf(b, e) : NULL;
    *changed = before != NULL && after != NULL &&
               conf_diff(before, after, NULL, NULL) > 0;
    conf_free(before);
    conf_free(after);
    b->version = base_version;
    if (rc < 0 || !*changed) {
        return rc;
    }
    ctl_new_change_id(b->change_id);
    return plat_apply(p, b, base_version, NULL, e);
}

/* Reads the target of the drain from the options. */
static int
parse_drain(const options_t *o, drain_t *d, err_t *e)
{
    if (o->upstream != NULL && o->data_centre != NULL) {
        return err_set(e, -EINVAL, "drain", o->upstream,
                       "expected --upstream or --data-centre, not both");
    }
    d->data_centre = o->data_centre;
    if (o->upstream != NULL && addr_parse(&d->upstream, o->upstream) < 0) {
        return err_set(e, -EINVAL, "drain", o->upstream,
                       "is no address; expected IP:PORT");
    }
    return 0;
}

ctl_exit_t
ctl_drain_upstreams(const options_t *o, bool draining)
{
    drain_t d = {.draining = draining};
    conf_bundle_t b = {0};
    bool changed = false;
    err_t e = {0};
    plat_t *p;
    int rc = -EAGAIN;

    if (parse_drain(o, &d, &e) < 0) {
        return ctl_fail(o, CTL_USAGE, &e);
    }
    p = ctl_open_platform(o);
    for (int i = 0; i < EDIT_ATTEMPTS && rc == -EAGAIN; i++) {
        bundle_free(&b);
        rc = try_drain(p, &d, &b, &changed, &e);
    }
    plat_free(p);
    if (rc < 0) {
        bundle_free(&b);
        return ctl_fail(o, ctl_exit_code(rc), &e);
    }
    print_applied(o, &b, changed);
    bundle_free(&b);
    return CTL_OK;
}
