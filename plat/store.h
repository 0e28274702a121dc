/* store: storage format of a version in the platform's keys.  Short texts are
 * stored in the head, the value of PLAT_CONFIG_KEY.  Longer ones are split
 * into parts, each stored in one of a fixed number of slots (PLAT_PART_KEY);
 * the head then lists the slot and the hash of each part.
 */
#ifndef SISKIN_STORE_H
#define SISKIN_STORE_H

#include "plat/plat.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Texts with a greater total length are stored in parts. */
#define INLINE_MAX (64 * 1024)
/* Bytes of a part.  Even if incompressible, it fits a value as base64. */
#define PART_LEN (512 * 1024)
#define PARTS_MAX 56
#define SLOTS 128
#define PART_HASH_LEN 16

typedef struct {
    uint32_t slot;
    uint8_t hash[PART_HASH_LEN]; /* BLAKE2b of the part's text */
} part_t;

/* The parts of a version and the state of all slots. */
typedef struct {
    size_t n; /* 0: the texts are in the head */
    part_t part[PARTS_MAX];
    size_t end[SOURCES_MAX];   /* index after the last part of each text */
    uint64_t revision[SLOTS];  /* of the slot's key, as last read */
    uint64_t last_used[SLOTS]; /* last version using it; 0: none */
} layout_t;

/* ---- bundle.c ---- */

/* Adds a text, keeping the overlays sorted by name. */
int bundle_add(conf_bundle_t *b, const char *file, const char *text, err_t *e);
uint64_t bundle_hash(const conf_bundle_t *b);
/* JSON with the texts (NULL: a text is not valid UTF-8), and without them. */
json_t *bundle_json(const conf_bundle_t *b);
json_t *bundle_head_json(const conf_bundle_t *b);
int bundle_head_read(conf_bundle_t *b, const json_t *o, err_t *e);

/* ---- parts.c ---- */

void part_hash(uint8_t hash[PART_HASH_LEN], const char *text, size_t len);
/* The stored form: compressed, base64 (malloc).  NULL: out of memory. */
char *part_encode(const char *text, size_t len);
/* Appends the text of a stored part to TO.  -EBADMSG: STORED is malformed or
 * its text has another hash. */
int part_decode(const char *stored, const uint8_t hash[PART_HASH_LEN],
                blob_t *to);

/* The stored parts of the version read last, so that only changed parts are
 * fetched or written for the next one. */
typedef struct {
    size_t n;
    struct {
        uint8_t hash[PART_HASH_LEN];
        char *stored;
    } part[PARTS_MAX];
} part_cache_t;

const char *cache_find(const part_cache_t *c,
                       const uint8_t hash[PART_HASH_LEN]);
/* Takes ownership of STORED. */
void cache_add(part_cache_t *c, const uint8_t hash[PART_HASH_LEN],
               char *stored);
/* Removes the parts that L does not contain. */
void cache_prune(part_cache_t *c, const layout_t *l);
void cache_clear(part_cache_t *c);

/* client.c */
part_cache_t *plat_cache(plat_t *p);

/* ---- store.c ---- */

/* Reads the bundle and layout of a head.  -ESTALE: a slot does not hold the
 * part that the head refers to, because a read of either was stale; read the
 * head again. */
int stored_head_read(plat_t *p, const char *head, conf_bundle_t *b,
                     layout_t *l, err_t *e);
char *stored_head_write(const conf_bundle_t *b,
                        const layout_t *l); /* malloc */

/* ---- slots.c ---- */

/* Writes the parts of B that are missing in CUR, the layout in force, and
 * fills NEXT.  -ENOSPC: other writers have taken all free slots; NEXT has
 * their revisions.  The parts are not referenced until a head is written. */
int store_parts(plat_t *p, const conf_bundle_t *b, const layout_t *cur,
                layout_t *next, err_t *e);

#ifdef __cplusplus
}
#endif

#endif
