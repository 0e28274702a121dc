/* Recent versions, kept as the newest text, the oldest version in full
 * (compressed), and the deltas that lead from one to the other.
 *
 * Each delta is computed once, when a version is added, however many peers
 * request it.  The texts in between are not kept.
 */
#include "plat/plat.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const blob_t empty_blob;

void
versions_free(versions_t *v)
{
    blob_free(&v->json);
    blob_free(&v->oldest.delta);
    for (size_t i = 0; i < v->n; i++) {
        blob_free(&v->step[i].delta);
    }
    *v = (versions_t){0};
}

/* Applies STEP to TEXT in place. */
static int
apply_step(blob_t *text, const version_step_t *step)
{
    blob_t next;
    int rc = delta_apply(text, &step->delta, BLOB_MAX, &next);

    if (rc == 0) {
        blob_free(text);
        *text = next;
    }
    return rc;
}

/* The version after N steps, as a step that contains it in full. */
static int
full_step_at(const versions_t *v, size_t n, version_step_t *out)
{
    blob_t text = {0};
    int rc = apply_step(&text, &v->oldest);

    for (size_t i = 0; rc == 0 && i < n; i++) {
        rc = apply_step(&text, &v->step[i]);
    }
    if (rc == 0) {
        *out = v->step[n - 1];
        rc = delta_make(&empty_blob, &text, &out->delta);
    }
    blob_free(&text);
    return rc;
}

/* If the array of steps is full, drops its older half.  Half at a time, since
 * the new oldest version has to be reconstructed and compressed in full. */
static int
drop_older_half(versions_t *v)
{
    const size_t half = VERSION_STEPS_MAX / 2;
    version_step_t oldest;
    int rc;

    if (v->n < VERSION_STEPS_MAX) {
        return 0;
    }
    rc = full_step_at(v, half, &oldest);
    if (rc < 0) {
        return rc;
    }
    blob_free(&v->oldest.delta);
    v->oldest = oldest;
    v->truncated = true;
    for (size_t i = 0; i < half; i++) {
        blob_free(&v->step[i].delta);
    }
    v->n -= half;
    memmove(&v->step[0], &v->step[half], v->n * sizeof(v->step[0]));
    return 0;
}

static int
add_step(versions_t *v, uint64_t version, ms_t activated_at,
         const blob_t *json)
{
    version_step_t step = {.version = version, .activated_at = activated_at};
    int rc = drop_older_half(v);

    if (rc == 0) {
        rc = delta_make(&v->json, json, &step.delta);
    }
    if (rc < 0) {
        return rc;
    }
    if (v->version == 0) {
        v->oldest = step;
    }
    else {
        v->step[v->n++] = step;
    }
    return 0;
}

int
versions_add(versions_t *v, uint64_t version, ms_t activated_at, char *json)
{
    blob_t text = {(uint8_t *)json, strlen(json)};
    int rc = version > v->version ? add_step(v, version, activated_at, &text)
                                  : -ESTALE;

    if (rc < 0) {
        blob_free(&text);
        return rc;
    }
    blob_free(&v->json);
    v->json = text;
    v->version = version;
    return 0;
}

/* The number of steps from the oldest version to HAVE, or -1 when HAVE is not
 * kept. */
static int
steps_to_version(const versions_t *v, uint64_t have)
{
    if (have == v->oldest.version) {
        return 0;
    }
    for (size_t i = 0; i < v->n; i++) {
        if (v->step[i].version == have) {
            return (int)i + 1;
        }
    }
    return -1;
}

size_t
versions_steps(const versions_t *v, uint64_t have, bool *full,
               const version_step_t *out[VERSION_STEPS_MAX + 1])
{
    size_t n = 0;
    int from;

    *full = false;
    if (have >= v->version) {
        return 0;
    }
    from = steps_to_version(v, have);
    if (from < 0) {
        *full = true;
        out[n++] = &v->oldest;
        from = 0;
    }
    for (size_t i = (size_t)from; i < v->n; i++) {
        out[n++] = &v->step[i];
    }
    return n;
}
