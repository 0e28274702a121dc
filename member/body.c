/* Codec of message bodies: a sequence of msgpack scalars, so that neither
 * writing nor reading allocates.  docs/PROTOCOL.md lists the fields.
 */
#include "member/internal.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

#define BODY_VERSION 1
#define LEFT_BIT 8 /* flag in the state byte */

enum { RECORD_BRIEF, RECORD_FULL };

static uint8_t
state_byte(const member_t *m)
{
    return (uint8_t)(m->state | (m->left ? LEFT_BIT : 0));
}

static int
put_state(msgpack_packer *pk, const member_t *m)
{
    return msgpack_pack_uint32(pk, m->incarnation) |
           msgpack_pack_uint32(pk, m->revision) |
           msgpack_pack_uint8(pk, state_byte(m));
}

static int
put_text(msgpack_packer *pk, const char *s)
{
    return msgpack_pack_bin_with_body(pk, s, strlen(s));
}

static int
put_addr(msgpack_packer *pk, const addr_t *a)
{
    return msgpack_pack_bin_with_body(pk, a->ip, sizeof(a->ip)) |
           msgpack_pack_uint16(pk, a->port);
}

int
body_head(buffer_t *b, const msg_head_t *h)
{
    msgpack_packer pk;
    int bad = 0;

    msgpack_packer_init(&pk, b, buffer_write);
    bad |= msgpack_pack_uint8(&pk, BODY_VERSION);
    bad |= msgpack_pack_uint8(&pk, (uint8_t)h->kind);
    bad |= msgpack_pack_uint32(&pk, h->seq);
    bad |= put_state(&pk, &h->sender);
    bad |= msgpack_pack_uint64(&pk, h->sender.version);
    bad |= msgpack_pack_uint64(&pk, h->hash);
    bad |= msgpack_pack_uint32(&pk, h->alive);
    bad |= msgpack_pack_uint64(&pk, h->echo.id);
    bad |= put_state(&pk, &h->echo);
    bad |= msgpack_pack_uint64(&pk, h->target);
    return bad ? -ENOSPC : 0;
}

static int
put_full(msgpack_packer *pk, const member_t *m)
{
    return put_text(pk, m->name) | put_text(pk, m->data_centre) |
           put_addr(pk, &m->peer_addr) | put_addr(pk, &m->bulk_addr);
}

int
body_record(buffer_t *b, const member_t *m, bool full)
{
    msgpack_packer pk;
    size_t start = b->len;
    int bad = 0;

    msgpack_packer_init(&pk, b, buffer_write);
    bad |= msgpack_pack_uint8(&pk, full ? RECORD_FULL : RECORD_BRIEF);
    bad |= msgpack_pack_uint64(&pk, m->id);
    bad |= put_state(&pk, m);
    bad |= msgpack_pack_uint64(&pk, m->version);
    if (full) {
        bad |= put_full(&pk, m);
    }
    if (bad) {
        b->len = start;
        return -ENOSPC;
    }
    return 0;
}

/* Reader of a sequence of scalars.  BAD stays set after an error. */
typedef struct {
    const char *p;
    size_t len, off;
    msgpack_unpacked u;
    bool bad;
} reader_t;

/* Arrays and maps are refused; no valid body holds them.  msgpack-c allocates
 * by their announced length before it reads an element: 256 GB for five bytes.
 */
static bool
is_container(uint8_t first)
{
    return (first >= 0x80 && first <= 0x9f) ||
           (first >= 0xdc && first <= 0xdf);
}

static bool
get(reader_t *r, msgpack_object_type want)
{
    if (r->off < r->len && is_container((uint8_t)r->p[r->off])) {
        r->bad = true;
    }
    if (!r->bad && (msgpack_unpack_next(&r->u, r->p, r->len, &r->off) !=
                        MSGPACK_UNPACK_SUCCESS ||
                    r->u.data.type != want)) {
        r->bad = true;
    }
    return !r->bad;
}

static uint64_t
get_uint(reader_t *r, uint64_t max)
{
    if (!get(r, MSGPACK_OBJECT_POSITIVE_INTEGER) || r->u.data.via.u64 > max) {
        r->bad = true;
        return 0;
    }
    return r->u.data.via.u64;
}

static void
get_state(reader_t *r, member_t *m)
{
    uint64_t state;

    m->incarnation = (uint32_t)get_uint(r, INCARNATION_MAX);
    m->revision = (uint32_t)get_uint(r, INCARNATION_MAX);
    state = get_uint(r, LEFT_BIT | MEMBER_GONE);
    m->left = (state & LEFT_BIT) != 0;
    state &= ~(uint64_t)LEFT_BIT;
    if (state > MEMBER_GONE || (m->left && state != MEMBER_GONE)) {
        r->bad = true;
        return;
    }
    m->state = (member_state_t)state;
}

static void
get_text(reader_t *r, char out[NAME_LEN])
{
    const msgpack_object_bin *bin = &r->u.data.via.bin;

    if (!get(r, MSGPACK_OBJECT_BIN) || bin->size >= NAME_LEN ||
        memchr(bin->ptr, '\0', bin->size) != NULL) {
        r->bad = true;
        return;
    }
    memcpy(out, bin->ptr, bin->size);
    out[bin->size] = '\0';
}

static void
get_addr(reader_t *r, addr_t *a)
{
    const msgpack_object_bin *bin = &r->u.data.via.bin;

    if (!get(r, MSGPACK_OBJECT_BIN) || bin->size != sizeof(a->ip)) {
        r->bad = true;
        return;
    }
    memcpy(a->ip, bin->ptr, sizeof(a->ip));
    a->port = (uint16_t)get_uint(r, UINT16_MAX);
}

static void
get_head(reader_t *r, msg_head_t *h)
{
    if (get_uint(r, UINT8_MAX) != BODY_VERSION) {
        r->bad = true;
        return;
    }
    h->kind = (msg_kind_t)get_uint(r, MSG_INDIRECT_ACK);
    h->seq = (uint32_t)get_uint(r, UINT32_MAX);
    get_state(r, &h->sender);
    h->sender.version = get_uint(r, UINT64_MAX);
    h->hash = get_uint(r, UINT64_MAX);
    h->alive = (uint32_t)get_uint(r, UINT32_MAX);
    h->echo.id = get_uint(r, UINT64_MAX);
    get_state(r, &h->echo);
    h->target = get_uint(r, UINT64_MAX);
    if (h->kind < MSG_PING || h->sender.incarnation == 0) {
        r->bad = true;
    }
}

static void
get_record(reader_t *r, record_t *rec)
{
    member_t *m = &rec->member;

    rec->full = get_uint(r, RECORD_FULL) == RECORD_FULL;
    m->id = get_uint(r, UINT64_MAX);
    get_state(r, m);
    m->version = get_uint(r, UINT64_MAX);
    if (rec->full) {
        get_text(r, m->name);
        get_text(r, m->data_centre);
        get_addr(r, &m->peer_addr);
        get_addr(r, &m->bulk_addr);
    }
}

int
body_read(const uint8_t *p, size_t len, msg_head_t *h, record_t *rec,
          size_t *n)
{
    reader_t r = {.p = (const char *)p, .len = len};

    *h = (msg_head_t){0};
    *n = 0;
    msgpack_unpacked_init(&r.u);
    get_head(&r, h);
    while (!r.bad && r.off < len && *n < RECORDS_MAX) {
        rec[*n] = (record_t){0};
        get_record(&r, &rec[*n]);
        (*n)++;
    }
    msgpack_unpacked_destroy(&r.u);
    return r.bad || r.off < len ? -EPROTO : 0;
}
