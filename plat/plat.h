/* plat: the client of the platform's key-value service, over HTTP and JSON
 * (libcurl, jansson).  Calls block; a thread of its own makes them.
 *
 * The service, as the stand-in si_platform speaks it (docs/PLATFORM.md):
 *   GET    /v1/kv/KEY                     200 {"value":"...","revision":7}
 *                                         404 {"revision":0}
 *   GET    /v1/kv/KEY?wait=MS&after=REV   the same, held until the key's
 *                                         revision passes REV or MS is over
 *   PUT    /v1/kv/KEY?cas=REV             body: value.  200 {"revision":8}
 *                                         409 {"revision":7}; cas=0: absent
 *   POST   /v1/lease/NAME?owner=O&ms=N    200 {"owner":"O","ms":N}, taken or
 *                                         renewed; 409 {"owner":"X"}
 *   DELETE /v1/lease/NAME?owner=O         200
 *   GET    /v1/instances                  200 {"instances":[{"name":...,
 *            "data_centre":...,"state":"live"|"leaving","service_ip":...,
 *            "return":"ip:port","peer":"ip:port","bulk":"ip:port"}]}
 *   POST   /v1/instances                  one such object: register or renew
 *   DELETE /v1/instances/NAME             200
 * Each call counts, a waiting one as one.
 */
#ifndef SISKIN_PLAT_H
#define SISKIN_PLAT_H

#include "base/base.h"
#include "conf/conf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PLAT_CONFIG_KEY "siskin/config"
/* Earlier versions, each under the number that its version leaves over. */
#define PLAT_HISTORY_KEY "siskin/history/%u"
#define PLAT_HISTORY 16
/* Parts of long texts, in a ring of slots (plat/store.h). */
#define PLAT_TEXT_KEY "siskin/text/%u"
#define PLAT_VALUE_MAX (1000 * 1000) /* bytes the service holds in a value */

typedef struct plat plat_t;

/* A client for one thread.  URL as "http://127.0.0.1:8500". */
plat_t *plat_new(const char *url);
void plat_free(plat_t *p);
/* Calls made so far. */
uint64_t plat_calls(const plat_t *p);
/* Bytes of bodies sent and received so far. */
uint64_t plat_bytes(const plat_t *p);

/* Reads KEY into *VALUE (freed by the caller; NULL when absent) and *REVISION.
 * WAIT_MS > 0 waits until the revision passes AFTER.  -ETIMEDOUT or
 * -ECONNREFUSED and the like when the service is out of reach. */
int plat_get(plat_t *p, const char *key, ms_t wait_ms, uint64_t after,
             char **value, uint64_t *revision, err_t *e);

/* Compare and swap.  -EAGAIN: another write came first.  -EIO, -ETIMEDOUT:
 * the outcome is unknown, read back. */
int plat_put(plat_t *p, const char *key, const char *value, uint64_t cas,
             uint64_t *revision, err_t *e);

/* Takes or renews a lease.  -EBUSY: another holds it. */
int plat_lease(plat_t *p, const char *name, const char *owner, ms_t ms,
               err_t *e);
int plat_lease_drop(plat_t *p, const char *name, const char *owner, err_t *e);

/* One entry of the lagging list of instances. */
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

/* ---- Differences between versions, as bytes ---- */

/* Bytes on the heap; those that these functions return have a NUL behind
 * them that LEN does not count. */
typedef struct {
    uint8_t *data;
    size_t len;
} blob_t;

#define BLOB_MAX (32u * 1024 * 1024)

void blob_free(blob_t *b);
/* What makes NEW_ of OLD, compressed; an empty OLD gives NEW_ whole.  -EFBIG:
 * one is longer than BLOB_MAX. */
int delta_make(const blob_t *old, const blob_t *new_, blob_t *out);
/* Makes NEW_ again.  -EBADMSG: the bytes are no delta, or one for another OLD,
 * or give more than LIMIT bytes. */
int delta_apply(const blob_t *old, const blob_t *delta, size_t limit,
                blob_t *out);

/* ---- The last versions, as peers get them ---- */

#define STEPS_MAX 8 /* differences kept; at least half as many versions */

/* Makes VERSION of the one before it. */
typedef struct {
    uint64_t version;
    ms_t at; /* came into force here */
    blob_t delta;
} step_t;

/* The newest bundle's JSON, and how to get to it from the last few. */
typedef struct {
    uint64_t version; /* 0: none yet */
    blob_t json;
    step_t first; /* the oldest kept, whole */
    size_t n;
    step_t step[STEPS_MAX];
} versions_t;

void versions_free(versions_t *v);
/* Adds a newer version and takes JSON (malloc).  -ESTALE: it isn't newer. */
int versions_add(versions_t *v, uint64_t version, ms_t at, char *json);
/* The steps for a peer that has version HAVE, oldest first; the number is
 * returned, 0 when it has the newest.  The first is whole, and *WHOLE true,
 * when HAVE isn't among the versions kept.  Valid until the next add. */
size_t versions_steps(const versions_t *v, uint64_t have, bool *whole,
                      const step_t *out[STEPS_MAX + 1]);

/* ---- The accepted configuration ---- */

#define SOURCES_MAX 17 /* a base and 16 data centres */

/* A version that came before, by the change that made it. */
typedef struct {
    uint64_t version;
    char change_id[CHANGE_ID_LEN];
} conf_change_t;

#define CHANGES_MAX 16

/* As one JSON text: {"version":N,"change_id":"...","hash":"hex",
 * "base":"...","overlays":{"brno-sal-a":"...",...},
 * "changes":[{"version":M,"change_id":"..."},...]}, newest change first.
 * A short one is stored so under PLAT_CONFIG_KEY; of a long one that key has
 * the head, and the texts lie in parts. */
typedef struct {
    uint64_t version;
    uint64_t hash;
    char change_id[CHANGE_ID_LEN];
    size_t n_changes; /* versions before this one, newest first */
    conf_change_t changes[CHANGES_MAX];
    size_t n;
    char *file[SOURCES_MAX]; /* "base" and the data centres, sorted */
    char *text[SOURCES_MAX];
} conf_bundle_t;

/* JSON to bundle and back.  The hash is checked on reading: -EBADMSG. */
int bundle_read(conf_bundle_t *b, const char *json, err_t *e);
char *bundle_write(const conf_bundle_t *b); /* malloc */
void bundle_free(conf_bundle_t *b);
/* A bundle, without version and change ID, of a base (SRC[0]) and overlays in
 * any order.  The texts are checked whole; errors as conf_parse()'s. */
int bundle_make(conf_bundle_t *b, const conf_source_t *src, size_t n,
                err_t *e);
/* The checked model of a bundle, with version, hash and change ID set. */
conf_t *bundle_conf(const conf_bundle_t *b, err_t *e);

/* Writes base and overlays as the next version.  The change ID makes the call
 * idempotent: when an answer is lost, the key is read back, and a version that
 * carries the ID counts as success.  -EAGAIN: another operator's version came
 * first; *THEIRS (if not NULL) receives it, and nothing was written.
 * EXPECT is the version that the operator edited, 0 for none.
 * -EINVAL: B may not follow the version in force, or doesn't check.
 * -ECONNREFUSED, -EHOSTUNREACH: out of reach, nothing was written.
 * -EIO: the outcome is unknown; call again with the same change ID.
 * On success B has the version, which a later one may have followed. */
int plat_apply(plat_t *p, conf_bundle_t *b, uint64_t expect,
               conf_bundle_t *theirs, err_t *e);

/* Reads the version in force; the bundle is all zero when there is none. */
int plat_config(plat_t *p, conf_bundle_t *b, uint64_t *revision, err_t *e);
/* The bundle of VALUE, read under PLAT_CONFIG_KEY; reads the parts that it
 * names and this client hasn't yet.  -ESTALE: VALUE or a part is stale. */
int plat_expand(plat_t *p, const char *value, conf_bundle_t *b, err_t *e);
/* Reads an earlier version; -ENOENT when it is no longer kept. */
int plat_history(plat_t *p, uint64_t version, conf_bundle_t *b, err_t *e);

#ifdef __cplusplus
}
#endif

#endif
