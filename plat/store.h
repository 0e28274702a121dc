/* store: how a version lies in the platform's keys.  Small texts stand in the
 * head, the value of PLAT_CONFIG_KEY.  Longer ones are cut into parts, each
 * in a slot of a fixed ring (PLAT_TEXT_KEY); the head then names the slot and
 * the hash of each part.
 */
#ifndef SISKIN_STORE_H
#define SISKIN_STORE_H

#include "plat/plat.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Texts that are longer in sum are kept in parts. */
#define INLINE_MAX (64 * 1024)
/* Bytes of a part; compressed or not, it fits a value with base64 round it. */
#define PART_LEN (512 * 1024)
#define PARTS_MAX 56
#define SLOTS 128
#define PART_HASH_LEN 16

typedef struct {
    uint32_t slot;
    uint8_t hash[PART_HASH_LEN]; /* BLAKE2b of its text */
} part_t;

/* Where a version's parts are, and what is known of all slots. */
typedef struct {
    size_t n; /* 0: the texts stand in the head */
    part_t part[PARTS_MAX];
    size_t end[SOURCES_MAX];   /* of each text: behind its last part */
    uint64_t revision[SLOTS];  /* of the slot's key when last seen */
    uint64_t last_used[SLOTS]; /* version that had it last; 0: none */
} layout_t;

/* ---- bundle.c ---- */

/* Adds a text, in its place by name. */
int bundle_add(conf_bundle_t *b, const char *file, const char *text, err_t *e);
uint64_t bundle_hash(const conf_bundle_t *b);
/* With the texts (NULL: one is no UTF-8), and without them. */
json_t *bundle_json(const conf_bundle_t *b);
json_t *bundle_head_json(const conf_bundle_t *b);
int bundle_head_read(conf_bundle_t *b, const json_t *o, err_t *e);

/* ---- parts.c ---- */

void part_hash(uint8_t hash[PART_HASH_LEN], const char *text, size_t len);
/* The stored form: compressed, base64.  malloc, NULL without memory. */
char *part_encode(const char *text, size_t len);
/* Appends the text of a stored part to TO.  -EBADMSG: it isn't that part. */
int part_decode(const char *stored, const uint8_t hash[PART_HASH_LEN],
                blob_t *to);

/* The stored parts of the version read last, so that the next one costs only
 * the parts that changed. */
typedef struct {
    size_t n;
    struct {
        uint8_t hash[PART_HASH_LEN];
        char *stored;
    } part[PARTS_MAX];
} part_cache_t;

const char *cache_find(const part_cache_t *c,
                       const uint8_t hash[PART_HASH_LEN]);
/* Takes STORED. */
void cache_add(part_cache_t *c, const uint8_t hash[PART_HASH_LEN],
               char *stored);
/* Drops what L has not. */
void cache_prune(part_cache_t *c, const layout_t *l);
void cache_clear(part_cache_t *c);

/* client.c: the cache of this client. */
part_cache_t *plat_cache(plat_t *p);

/* ---- store.c ---- */

/* The bundle and layout of a head.  -ESTALE: a slot holds another part than
 * the head names; the head or the slot was read stale, read again. */
int store_read(plat_t *p, const char *head, conf_bundle_t *b, layout_t *l,
               err_t *e);
char *store_head(const conf_bundle_t *b, const layout_t *l); /* malloc */

/* ---- slots.c ---- */

/* Writes the parts of B that CUR, the layout in force, lacks, and fills NEXT.
 * -ENOSPC: other writers have taken each free slot; NEXT has their revisions.
 * Nothing refers to what was written until a head does. */
int store_parts(plat_t *p, const conf_bundle_t *b, const layout_t *cur,
                layout_t *next, err_t *e);

#ifdef __cplusplus
}
#endif

#endif
