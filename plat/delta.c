/* Binary deltas between two versions: a header that identifies both versions
 * by hash, then a zstd frame that uses the old version as its prefix.
 *
 * Header, little endian: "SKD1", hash of the old bytes, hash of the new bytes
 * (8 bytes each), length of the new bytes (4 bytes).
 */
#include "plat/plat.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#define MAGIC "SKD1"
#define MAGIC_LEN 4
#define OLD_HASH_OFFSET MAGIC_LEN
#define NEW_HASH_OFFSET (OLD_HASH_OFFSET + 8)
#define LENGTH_OFFSET (NEW_HASH_OFFSET + 8)
#define HEADER_LEN (LENGTH_OFFSET + 4)
#define COMPRESSION_LEVEL 3
#define WINDOW_LOG_MIN 17
#define WINDOW_LOG_MAX 26 /* covers a prefix and a text of BLOB_MAX each */
#define HASH_SEED 0x534b4431u

void
blob_free(blob_t *b)
{
    free(b->data);
    *b = (blob_t){0};
}

static uint64_t
blob_hash(const blob_t *b)
{
    return hash64(b->data, b->len, HASH_SEED + b->len);
}

static void
put_le(uint8_t *to, uint64_t v, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        to[i] = (uint8_t)(v >> (8 * i));
    }
}

static uint64_t
get_le(const uint8_t *from, int bytes)
{
    uint64_t v = 0;

    for (int i = 0; i < bytes; i++) {
        v |= (uint64_t)from[i] << (8 * i);
    }
    return v;
}

/* Allocates LEN bytes and a terminating NUL, so that a text is a C string. */
static int
alloc_blob(blob_t *b, size_t len)
{
    b->data = malloc(len + 1);
    if (b->data == NULL) {
        return -ENOMEM;
    }
    b->data[len] = '\0';
    b->len = len;
    return 0;
}

/* ---- Compression ---- */

static void
write_header(uint8_t *to, const blob_t *old, const blob_t *new_)
{
    memcpy(to, MAGIC, MAGIC_LEN);
    put_le(to + OLD_HASH_OFFSET, blob_hash(old), 8);
    put_le(to + NEW_HASH_OFFSET, blob_hash(new_), 8);
    put_le(to + LENGTH_OFFSET, new_->len, 4);
}

/* The window must span the old and the new bytes: with a smaller one, the
 * start of a long prefix would be out of reach for matches. */
static int
window_log(size_t span)
{
    int log = WINDOW_LOG_MIN;

    while (log < WINDOW_LOG_MAX && ((size_t)1 << log) < span) {
        log++;
    }
    return log;
}

static ZSTD_CCtx *
create_compressor(const blob_t *old, const blob_t *new_)
{
    ZSTD_CCtx *z = ZSTD_createCCtx();

    if (z == NULL) {
        return NULL;
    }
    ZSTD_CCtx_setParameter(z, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
    ZSTD_CCtx_setParameter(z, ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(z, ZSTD_c_windowLog,
                           window_log(old->len + new_->len));
    ZSTD_CCtx_setParameter(z, ZSTD_c_enableLongDistanceMatching, old->len > 0);
    if (ZSTD_isError(ZSTD_CCtx_refPrefix(z, old->data, old->len))) {
        ZSTD_freeCCtx(z);
        return NULL;
    }
    return z;
}

int
delta_make(const blob_t *old, const blob_t *new_, blob_t *out)
{
    size_t bound = ZSTD_compressBound(new_->len);
    ZSTD_CCtx *z;
    size_t n;

    *out = (blob_t){0};
    if (old->len > BLOB_MAX || new_->len > BLOB_MAX) {
        return -EFBIG;
    }
    z = create_compressor(old, new_);
    if (z == NULL || alloc_blob(out, HEADER_LEN + bound) < 0) {
        ZSTD_freeCCtx(z);
        return -ENOMEM;
    }
    write_header(out->data, old, new_);
    n = ZSTD_compress2(z, out->data + HEADER_LEN, bound, new_->data,
                       new_->len);
    ZSTD_freeCCtx(z);
    if (ZSTD_isError(n)) {
        blob_free(out);
        return -ENOMEM;
    }
    out->len = HEADER_LEN + n;
    return 0;
}

/* ---- Decompression ---- */

/* The length of the new bytes, or -EBADMSG.  Everything is checked before
 * memory is allocated, so that a forged length costs nothing; the zstd frame
 * must declare the same length. */
static ssize_t
check_header(const blob_t *old, const blob_t *delta, size_t limit)
{
    const uint8_t *p = delta->data;
    size_t len;

    if (delta->len < HEADER_LEN || memcmp(p, MAGIC, MAGIC_LEN) != 0) {
        return -EBADMSG;
    }
    if (get_le(p + OLD_HASH_OFFSET, 8) != blob_hash(old)) {
        return -EBADMSG; /* made for another version */
    }
    len = get_le(p + LENGTH_OFFSET, 4);
    if (len > limit || len > BLOB_MAX ||
        ZSTD_getFrameContentSize(p + HEADER_LEN, delta->len - HEADER_LEN) !=
            len) {
        return -EBADMSG;
    }
    return (ssize_t)len;
}

static bool
decompress(const blob_t *old, const blob_t *delta, blob_t *out)
{
    ZSTD_DCtx *z = ZSTD_createDCtx();
    size_t n;

    if (z == NULL ||
        ZSTD_isError(
            ZSTD_DCtx_setParameter(z, ZSTD_d_windowLogMax, WINDOW_LOG_MAX)) ||
        ZSTD_isError(ZSTD_DCtx_refPrefix(z, old->data, old->len))) {
        ZSTD_freeDCtx(z);
        return false;
    }
    n = ZSTD_decompressDCtx(z, out->data, out->len, delta->data + HEADER_LEN,
                            delta->len - HEADER_LEN);
    ZSTD_freeDCtx(z);
    return n == out->len &&
           get_le(delta->data + NEW_HASH_OFFSET, 8) == blob_hash(out);
}

int
delta_apply(const blob_t *old, const blob_t *delta, size_t limit, blob_t *out)
{
    ssize_t len = check_header(old, delta, limit);

    *out = (blob_t){0};
    if (len < 0) {
        return (int)len;
    }
    if (alloc_blob(out, (size_t)len) < 0) {
        return -ENOMEM;
    }
    if (!decompress(old, delta, out)) {
        blob_free(out);
        return -EBADMSG;
    }
    return 0;
}
