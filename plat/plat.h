/* plat: client of the platform's key-value service, over HTTP and JSON
 * (libcurl, jansson).  Calls block, so they are made on a dedicated thread.
 *
 * Protocol, as implemented by the stand-in si_platform (docs/PLATFORM.md):
 *   GET    /v1/kv/KEY                     200 {"value":"...","revision":7}
 *                                         404 {"revision":0}
 *   GET    /v1/kv/KEY?wait=MS&after=REV   the same, as a long poll: answered
 *                                         when the key's revision exceeds REV
 *                                         or MS has elapsed
 *   PUT    /v1/kv/KEY?cas=REV             body: value.  200 {"revision":8}
 *                                         409 {"revision":7}; cas=0: the key
 *                                         must be absent
 *   POST   /v1/lease/NAME?owner=O&ms=N    200 {"owner":"O","ms":N}, acquired
 *                                         or renewed; 409 {"owner":"X"}
 *   DELETE /v1/lease/NAME?owner=O         200
 *   GET    /v1/instances                  200 {"instances":[{"name":...,
 *            "data_centre":...,"state":"live"|"leaving","service_ip":...,
 *            "return":"ip:port","peer":"ip:port","bulk":"ip:port"}]}
 *   POST   /v1/instances                  one such object: register or renew
 *   DELETE /v1/instances/NAME             200
 * Every HTTP request counts as one call, a long poll too.
 */
#ifndef SISKIN_PLAT_H
#define SISKIN_PLAT_H

#include "base/base.h"
#include "conf/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PLAT_CONFIG_KEY "siskin/config"
/* Earlier versions; the key's number is the version modulo
 * PLAT_HISTORY_LEN. */
#define PLAT_HISTORY_KEY "siskin/history/%u"
#define PLAT_HISTORY_LEN 16
/* Parts of long texts, in a fixed number of slots (plat/store.h). */
#define PLAT_PART_KEY "siskin/text/%u"
#define PLAT_VALUE_MAX (1000 * 1000) /* bytes of a value, service limit */

typedef struct plat plat_t;

/* A client may be used by one thread only.  URL as "http://127.0.0.1:8500". */
plat_t *plat_new(const char *url);
void plat_free(plat_t *p);
/* Total calls made. */
uint64_t plat_calls(const plat_t *p);
/* Total bytes of bodies sent, and of those received in answers with a status
 * below 500. */
uint64_t plat_bytes(const plat_t *p);

/* Reads KEY into *VALUE (freed by the caller; NULL when absent) and *REVISION.
 * WAIT_MS > 0 waits up to that long for a revision greater than AFTER.
 * -ETIMEDOUT, -ECONNREFUSED and similar when the service is unreachable. */
int plat_get(plat_t *p, const char *key, ms_t wait_ms, uint64_t after,
             char **value, uint64_t *revision, err_t *e);

/* Compare-and-swap on revision CAS; 0 for an absent key.  -EAGAIN: the
 * revision differs, another write came first.  -EIO, -ETIMEDOUT: the outcome
 * is unknown; read the key back. */
int plat_put(plat_t *p, const char *key, const char *value, uint64_t cas,
             uint64_t *revision, err_t *e);

/* Acquires or renews a lease.  -EBUSY: held by another owner. */
int plat_lease(plat_t *p, const char *name, const char *owner, ms_t ms,
               err_t *e);
int plat_lease_release(plat_t *p, const char *name, const char *owner,
                       err_t *e);

/* One entry of the instance list, which lags behind the actual state. */
typedef struct {
    char name[NAME_LEN];
    char data_centre[NAME_LEN];
    bool leaving;
    char service_ip[48];
    addr_t return_addr, peer_addr, bulk_addr;
} plat_instance_t;

#define PLAT_INSTANCES_MAX 1024

int plat_instances(plat_t *p, plat_instance_t *out, size_t cap, size_t *n,
                   err_t *e);
int plat_register(plat_t *p, const plat_instance_t *i, err_t *e);
int plat_deregister(plat_t *p, const char *name, err_t *e);

/* ---- Binary deltas between versions ---- */

/* Bytes on the heap.  Blobs returned by these functions are followed by a NUL
 * that LEN does not include. */
typedef struct {
    uint8_t *data;
    size_t len;
} blob_t;

#define BLOB_MAX (32u * 1024 * 1024)

void blob_free(blob_t *b);
/* Creates the compressed delta from OLD to NEW_.  With an empty OLD the delta
 * contains NEW_ in full.  -EFBIG: OLD or NEW_ is longer than BLOB_MAX. */
int delta_make(const blob_t *old, const blob_t *new_, blob_t *out);
/* Reconstructs the new bytes from OLD and DELTA.  -EBADMSG: DELTA is
 * malformed, was made for another OLD, or yields more than LIMIT bytes. */
int delta_apply(const blob_t *old, const blob_t *delta, size_t limit,
                blob_t *out);

/* ---- Recent versions, as sent to peers ---- */

/* Limit of deltas kept; at least half as many versions are kept. */
#define VERSION_STEPS_MAX 8

/* The delta from the preceding version to VERSION, or VERSION in full. */
typedef struct {
    uint64_t version;
    ms_t activated_at; /* when it took effect on this instance */
    blob_t delta;
} version_step_t;

/* The newest bundle's JSON, and the deltas from recent versions to it. */
typedef struct {
    uint64_t version; /* 0: none yet */
    blob_t json;
    version_step_t oldest; /* the oldest version kept, in full */
    bool truncated;        /* older versions have been dropped */
    size_t n;
    version_step_t step[VERSION_STEPS_MAX];
} versions_t;

void versions_free(versions_t *v);
/* Adds a newer version and takes ownership of JSON (malloc), also on failure.
 * -ESTALE: VERSION is not newer. */
int versions_add(versions_t *v, uint64_t version, ms_t activated_at,
                 char *json);
/* Stores in OUT the steps from version HAVE to the newest, oldest first, and
 * returns their number, 0 when HAVE is the newest or later.  When HAVE is not
 * among the versions kept, *FULL is set and the first step is a full version.
 * Pointers are valid until the next versions_add(). */
size_t versions_steps(const versions_t *v, uint64_t have, bool *full,
                      const version_step_t *out[VERSION_STEPS_MAX + 1]);

/* ---- The accepted configuration ---- */

#define SOURCES_MAX 17 /* a base and 16 data centres */

/* An earlier version and the ID of the change that created it. */
typedef struct {
    uint64_t version;
    char change_id[CHANGE_ID_LEN];
} conf_change_t;

#define CHANGES_MAX 16

/* A version of the configuration.  As JSON:
 * {"version":N,"change_id":"...","hash":"hex",
 * "base":"...","overlays":{"brno-sal-a":"...",...},
 * "changes":[{"version":M,"change_id":"..."},...]}, newest change first.
 * A short bundle is stored in this form under PLAT_CONFIG_KEY.  For a long one
 * that key holds the head only, and the texts are stored in parts. */
typedef struct {
    uint64_t version;
    uint64_t hash;
    char change_id[CHANGE_ID_LEN];
    size_t n_changes; /* earlier versions, newest first */
    conf_change_t changes[CHANGES_MAX];
    size_t n;
    char *file[SOURCES_MAX]; /* "base", then the data centres, sorted */
    char *text[SOURCES_MAX];
} conf_bundle_t;

/* Converts between JSON and bundle.  bundle_read() verifies the hash;
 * -EBADMSG: malformed, or the hash does not match. */
int bundle_read(conf_bundle_t *b, const char *json, err_t *e);
char *bundle_write(const conf_bundle_t *b); /* malloc */
void bundle_free(conf_bundle_t *b);
/* Creates a bundle, without version and change ID, from a base (SRC[0]) and
 * overlays in any order.  The texts are validated together; errors as for
 * conf_parse(). */
int bundle_make(conf_bundle_t *b, const conf_source_t *src, size_t n,
                err_t *e);
/* The validated model of a bundle, with version, hash and change ID set. */
conf_t *bundle_conf(const conf_bundle_t *b, err_t *e);

/* Writes base and overlays as the next version.  The change ID makes the call
 * idempotent: when an answer is lost, the key is read back, and a version with
 * that ID counts as success.
 * EXPECT is the version that the operator edited, 0 for none.
 * -EAGAIN: another operator's version came first; *THEIRS (if not NULL)
 * receives it, and nothing was written.  *THEIRS is empty when other writers
 * changed the key at each attempt, but not the version.
 * -ESTALE: the platform still returns a version before EXPECT, or stale parts.
 * -ENOSPC: other writers have taken all free slots for the texts.
 * -EINVAL: B is invalid or must not follow the version in force.
 * -ECONNREFUSED, -EHOSTUNREACH: unreachable, nothing was written.
 * -EIO: the outcome is unknown; call again with the same change ID.
 * On success B's version is set; a later one may be in force already. */
int plat_apply(plat_t *p, conf_bundle_t *b, uint64_t expect,
               conf_bundle_t *theirs, err_t *e);

/* Reads the version in force; *B is zeroed when there is none. */
int plat_read_config(plat_t *p, conf_bundle_t *b, uint64_t *revision,
                     err_t *e);
/* Creates the bundle from VALUE, read from PLAT_CONFIG_KEY.  Fetches the parts
 * that VALUE refers to and this client has not cached.  -ESTALE: VALUE or a
 * part is stale. */
int plat_read_bundle(plat_t *p, const char *value, conf_bundle_t *b, err_t *e);
/* Reads an earlier version.  -ENOENT: no longer kept. */
int plat_read_history(plat_t *p, uint64_t version, conf_bundle_t *b, err_t *e);

#ifdef __cplusplus
}
#endif

#endif
