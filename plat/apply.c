/* Writes a new version at most once, and never over a version that the writer
 * has not read.
 *
 * Three failures are handled.  An answer is lost after the write took effect:
 * the key is read back, and the write succeeded if its change ID is the one in
 * force or among the earlier changes.  A writer is paused between read and
 * write while another writes: compare-and-swap on the revision read rejects
 * its write.  A write is delayed and arrives after its sender timed out: the
 * retry uses the same revision, so only one of the two can take effect.
 */
#include "plat/store.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ATTEMPTS_MAX 5
#define READS_MAX 3    /* of a head with stale parts */
#define BACKOFF_MS 100 /* before the first retry; grows with each */

static void
sleep_backoff(int attempt)
{
    const struct timespec ts = {.tv_nsec = attempt * BACKOFF_MS * 1000000L};

    nanosleep(&ts, NULL);
}

/* Reads the head, then the parts that it refers to.  If a part has been
 * replaced or one of the reads is stale, the head is read again. */
static int
read_config(plat_t *p, conf_bundle_t *b, layout_t *l, uint64_t *revision,
            err_t *e)
{
    int rc = -ESTALE;
    char *head;

    *b = (conf_bundle_t){0};
    *l = (layout_t){0};
    for (int i = 0; i < READS_MAX && rc == -ESTALE; i++) {
        rc = plat_get(p, PLAT_CONFIG_KEY, 0, 0, &head, revision, e);
        if (rc < 0 || head == NULL) {
            return rc;
        }
        rc = stored_head_read(p, head, b, l, e);
        free(head);
    }
    return rc;
}

int
plat_read_config(plat_t *p, conf_bundle_t *b, uint64_t *revision, err_t *e)
{
    layout_t l;

    return read_config(p, b, &l, revision, e);
}

int
plat_read_bundle(plat_t *p, const char *value, conf_bundle_t *b, err_t *e)
{
    layout_t l;

    return stored_head_read(p, value, b, &l, e);
}

/* ---- History ---- */

static void
history_key(char *buf, size_t cap, uint64_t version)
{
    snprintf(buf, cap, PLAT_HISTORY_KEY,
             (unsigned)(version % PLAT_HISTORY_LEN));
}

int
plat_read_history(plat_t *p, uint64_t version, conf_bundle_t *b, err_t *e)
{
    char key[64];
    char *json;
    uint64_t revision;
    int rc;

    *b = (conf_bundle_t){0};
    history_key(key, sizeof(key), version);
    rc = plat_get(p, key, 0, 0, &json, &revision, e);
    if (rc < 0) {
        return rc;
    }
    if (json != NULL) {
        rc = plat_read_bundle(p, json, b, e);
        free(json);
    }
    if (rc == -ESTALE || (rc == 0 && b->version != version)) {
        bundle_free(b);
        rc = err_set(e, -ENOENT, "platform read", key,
                     "version %llu is no longer kept",
                     (unsigned long long)version);
    }
    return rc;
}

/* Saves CUR so that a writer that loses the race against its successor can be
 * shown what changed.  Best effort: without it, the differences shown are
 * incomplete but not wrong. */
static void
save_history(plat_t *p, const conf_bundle_t *cur, const layout_t *layout)
{
    char key[64];
    char *old, *json = stored_head_write(cur, layout);
    uint64_t revision;

    history_key(key, sizeof(key), cur->version);
    if (json != NULL && plat_get(p, key, 0, 0, &old, &revision, NULL) == 0) {
        free(old);
        plat_put(p, key, json, revision, &revision, NULL);
    }
    free(json);
}

/* ---- Applying ---- */

typedef struct {
    plat_t *p;
    conf_bundle_t *b; /* to be applied */
    uint64_t expect;
    conf_bundle_t cur; /* in force, as last read */
    uint64_t revision; /* of CUR */
    layout_t layout;   /* of CUR */
    bool unknown;      /* a write was sent but not answered */
    bool in_history;   /* CUR has been saved to the history */
    err_t *e;
} apply_t;

/* The version created by change ID, or 0. */
static uint64_t
version_of_change(const conf_bundle_t *cur, const char *id)
{
    if (strcmp(cur->change_id, id) == 0) {
        return cur->version;
    }
    for (size_t i = 0; i < cur->n_changes; i++) {
        if (strcmp(cur->changes[i].change_id, id) == 0) {
            return cur->changes[i].version;
        }
    }
    return 0;
}

static void
set_predecessors(conf_bundle_t *b, const conf_bundle_t *cur)
{
    b->version = cur->version + 1;
    b->n_changes = 0;
    if (cur->version == 0) {
        return;
    }
    b->changes[0].version = cur->version;
    strcpy(b->changes[0].change_id, cur->change_id);
    b->n_changes = 1;
    for (size_t i = 0; i < cur->n_changes && i + 1 < CHANGES_MAX; i++) {
        b->changes[b->n_changes++] = cur->changes[i];
    }
}

static int
check_transition(const conf_bundle_t *b, const conf_bundle_t *cur, err_t *e)
{
    conf_t *old = NULL;
    conf_t *new_ = bundle_conf(b, e);
    int rc;

    if (new_ == NULL) {
        return -EINVAL;
    }
    if (cur->n > 0) {
        old = bundle_conf(cur, e);
    }
    rc = cur->n > 0 && old == NULL ? -EINVAL : conf_check_step(old, new_, e);
    conf_free(old);
    conf_free(new_);
    return rc;
}

/* Writes the current head again, with the revisions of the slots that other
 * writers have written and without a new version.  Those writers' heads are
 * based on the former revision of the head and can no longer be written, so
 * the slots are free again. */
static void
record_slot_revisions(apply_t *a, const layout_t *seen)
{
    uint64_t revision;
    char *json;

    memcpy(a->layout.revision, seen->revision, sizeof(seen->revision));
    json = stored_head_write(&a->cur, &a->layout);
    if (json != NULL && a->cur.n > 0) {
        plat_put(a->p, PLAT_CONFIG_KEY, json, a->revision, &revision, NULL);
    }
    free(json);
}

/* The parts are written before the head: a writer that crashes in between
 * leaves only parts that no head refers to.  Returns 1 to retry. */
static int
write_parts(apply_t *a, layout_t *next)
{
    int rc = store_parts(a->p, a->b, &a->layout, next, a->e);

    if (rc == -ENOSPC) {
        record_slot_revisions(a, next);
        return 1;
    }
    if (rc == -EIO || rc == -ETIMEDOUT) {
        a->e->code = -EHOSTUNREACH; /* the head was not sent */
        return 1;
    }
    return rc;
}

static int
write_head(apply_t *a, const layout_t *next)
{
    uint64_t revision;
    char *json = stored_head_write(a->b, next);
    int rc;

    if (json == NULL || strlen(json) > PLAT_VALUE_MAX) {
        free(json);
        return err_set(a->e, -EINVAL, "apply", "configuration",
                       "the stored form is too long or not UTF-8; expected "
                       "at most %d bytes",
                       PLAT_VALUE_MAX);
    }
    if (!a->in_history && a->cur.n > 0) {
        save_history(a->p, &a->cur, &a->layout);
        a->in_history = true;
    }
    rc = plat_put(a->p, PLAT_CONFIG_KEY, json, a->revision, &revision, a->e);
    free(json);
    return rc;
}

/* Returns 1 to retry. */
static int
write_next(apply_t *a)
{
    layout_t next;
    int rc = check_transition(a->b, &a->cur, a->e);

    if (rc < 0) {
        return rc;
    }
    set_predecessors(a->b, &a->cur);
    rc = write_parts(a, &next);
    return rc != 0 ? rc : write_head(a, &next);
}

/* The error of an unanswered read, before any write was sent.  -EIO would
 * report an unknown outcome to the operator, but nothing was written. */
static int
unreachable_error(int rc)
{
    return rc == -EIO || rc == -ETIMEDOUT ? -EHOSTUNREACH : rc;
}

/* One attempt: read, decide, write.  Returns 1 to retry. */
static int
apply_round(apply_t *a)
{
    uint64_t done;
    int rc;

    bundle_free(&a->cur);
    rc = read_config(a->p, &a->cur, &a->layout, &a->revision, a->e);
    if (rc < 0) {
        return a->unknown || rc == -ESTALE ? 1 : unreachable_error(rc);
    }
    done = version_of_change(&a->cur, a->b->change_id);
    if (done > 0) {
        a->b->version = done;
        return 0;
    }
    if (a->cur.version < a->expect) {
        err_set(a->e, -ESTALE, "apply", "platform",
                "has version %llu; expected %llu or later",
                (unsigned long long)a->cur.version,
                (unsigned long long)a->expect);
        return 1;
    }
    if (a->cur.version > a->expect) {
        return err_set(a->e, -EAGAIN, "apply", "platform",
                       "version %llu is in force and the files were edited "
                       "on %llu; nothing was written",
                       (unsigned long long)a->cur.version,
                       (unsigned long long)a->expect);
    }
    rc = write_next(a);
    if (rc == -EIO || rc == -ETIMEDOUT) {
        a->unknown = true;
    }
    if (rc == -EAGAIN || rc == -EIO || rc == -ETIMEDOUT) {
        return 1;
    }
    return rc < 0 && a->unknown ? 1 : rc;
}

static int
apply_with_retries(apply_t *a)
{
    int rc = 1;

    for (int i = 0; i < ATTEMPTS_MAX && rc == 1; i++) {
        if (i > 0) {
            sleep_backoff(i);
        }
        rc = apply_round(a);
    }
    if (rc != 1) {
        return rc;
    }
    if (a->unknown) {
        return err_set(a->e, -EIO, "apply", "platform",
                       "the write was not answered and can't be read back: "
                       "the outcome is unknown; run again with change ID %s",
                       a->b->change_id);
    }
    return a->e->code;
}

int
plat_apply(plat_t *p, conf_bundle_t *b, uint64_t expect, conf_bundle_t *theirs,
           err_t *e)
{
    err_t error = {0};
    apply_t a = {.p = p, .b = b, .expect = expect, .e = &error};
    int rc;

    if (theirs != NULL) {
        *theirs = (conf_bundle_t){0};
    }
    rc = apply_with_retries(&a);
    if (rc == -EAGAIN && theirs != NULL && a.cur.version > expect) {
        *theirs = a.cur;
        a.cur = (conf_bundle_t){0};
    }
    bundle_free(&a.cur);
    if (rc < 0 && e != NULL) {
        *e = error;
        e->code = rc;
    }
    return rc;
}
