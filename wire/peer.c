/* Messages between instances: a msgpack body and a keyed BLAKE2b tag. */
#include "wire/wire.h"

#include <errno.h>
#include <msgpack.h>
#include <sodium.h>
#include <string.h>

#define PEER_VERSION 1
#define TAG_LEN 16

static int
pack_bin(msgpack_packer *pk, const void *p, size_t n)
{
    return msgpack_pack_bin(pk, n) | msgpack_pack_bin_body(pk, p, n);
}

static int
pack_addr(msgpack_packer *pk, const addr_t *a)
{
    return pack_bin(pk, a->ip, sizeof(a->ip)) |
           msgpack_pack_uint16(pk, a->port);
}

static int
pack_pins(msgpack_packer *pk, const peer_msg_t *m)
{
    int bad = msgpack_pack_array(pk, m->sync.n);

    for (int i = 0; i < m->sync.n; i++) {
        const pin_t *pin = &m->sync.pin[i];
        bad |= msgpack_pack_array(pk, 3);
        bad |= msgpack_pack_uint64(pk, pin->flow);
        bad |= msgpack_pack_uint64(pk, pin->upstream);

        bad |= msgpack_pack_uint8(pk, pin->kind);
    }
    return bad;
}

static int
pack_body(msgpack_packer *pk, const peer_msg_t *m)
{
    int bad = 0;

    switch (m->kind) {
    case PEER_MEMBER:
        return pack_bin(pk, m->member.body, m->member.len);
    case PEER_FORWARD:
        bad |= msgpack_pack_uint8(pk, m->forward.hops);
        bad |= msgpack_pack_uint64(pk, m->forward.version);
        bad |= pack_addr(pk, &m->forward.service);
        bad |= pack_addr(pk, &m->forward.client);
        return bad | pack_bin(pk, m->forward.data, m->forward.len);
    case PEER_HINT:
        bad |= msgpack_pack_uint64(pk, m->hint.flow);
        bad |= msgpack_pack_uint64(pk, m->hint.upstream);
        return bad | msgpack_pack_uint32(pk, m->hint.lease_ms);
    case PEER_SYNC:
    case PEER_SYNC_ACK:
        return pack_pins(pk, m);
    }
    return -1;
}

int
peer_write(uint8_t *out, size_t cap, const peer_msg_t *m,
           const uint8_t key[PEER_KEY_LEN])
{
    buffer_t buf = {.p = out, .cap = cap};
    msgpack_packer pk;

    if (cap < TAG_LEN) {
        return -ENOSPC;
    }
    buf.cap -= TAG_LEN;
    msgpack_packer_init(&pk, &buf, buffer_write);
    if (msgpack_pack_uint8(&pk, PEER_VERSION) |
        msgpack_pack_uint8(&pk, (uint8_t)m->kind) |
        msgpack_pack_uint64(&pk, m->from) | pack_body(&pk, m)) {
        return -ENOSPC;
    }
    crypto_generichash(out + buf.len, TAG_LEN, out, buf.len, key,
                       PEER_KEY_LEN);
    return (int)(buf.len + TAG_LEN);
}

/* Reads consecutive msgpack objects; BAD is sticky after an error. */
typedef struct {
    const char *p;
    size_t len, off;
    msgpack_unpacked u;
    bool bad;
} unpacker_t;

static const msgpack_object *
next(unpacker_t *s, msgpack_object_type want)
{
    static const msgpack_object nil = {.type = MSGPACK_OBJECT_NIL};

    if (s->bad ||
        msgpack_unpack_next(&s->u, s->p, s->len, &s->off) !=
            MSGPACK_UNPACK_SUCCESS ||
        s->u.data.type != want) {
        s->bad = true;
        return &nil;
    }
    return &s->u.data;
}

static uint64_t
next_uint(unpacker_t *s, uint64_t max)
{
    const msgpack_object *o = next(s, MSGPACK_OBJECT_POSITIVE_INTEGER);

    if (s->bad || o->via.u64 > max) {
        s->bad = true;
        return 0;
    }
    return o->via.u64;
}

static const uint8_t *
next_bin(unpacker_t *s, size_t *len)
{
    const msgpack_object *o = next(s, MSGPACK_OBJECT_BIN);

    if (s->bad) {
        *len = 0;
        return NULL;
    }
    *len = o->via.bin.size;
    return (const uint8_t *)o->via.bin.ptr;
}

static void
next_addr(unpacker_t *s, addr_t *a)
{
    size_t n;
    const uint8_t *ip = next_bin(s, &n);

    if (ip == NULL || n != sizeof(a->ip)) {
        s->bad = true;
        return;
    }
    memcpy(a->ip, ip, n);
    a->port = (uint16_t)next_uint(s, UINT16_MAX);
}

static bool
read_pin(pin_t *pin, const msgpack_object *o)
{
    const msgpack_object *f = o->via.array.ptr;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3) {
        return false;
    }
    for (int i = 0; i < 3; i++) {
        if (f[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
    }
    *pin = (pin_t){.flow = f[0].via.u64,
                   .upstream = f[1].via.u64,
                   .kind = (uint8_t)f[2].via.u64};
    return pin->kind == PIN_FLOW || pin->kind == PIN_UPLOAD;
}

static void
read_pins(unpacker_t *s, peer_msg_t *m)
{
    const msgpack_object *o = next(s, MSGPACK_OBJECT_ARRAY);

    if (s->bad || o->via.array.size > SYNC_PINS_MAX) {
        s->bad = true;
        return;
    }
    m->sync.n = (uint16_t)o->via.array.size;
    for (int i = 0; i < m->sync.n; i++) {
        if (!read_pin(&m->sync.pin[i], &o->via.array.ptr[i])) {
            s->bad = true;
        }
    }
}

static void
read_body(unpacker_t *s, peer_msg_t *m)
{
    switch (m->kind) {
    case PEER_MEMBER:
        m->member.body = next_bin(s, &m->member.len);
        return;
    case PEER_FORWARD:
        m->forward.hops = (uint8_t)next_uint(s, UINT8_MAX);
        m->forward.version = next_uint(s, UINT64_MAX);
        next_addr(s, &m->forward.service);
        next_addr(s, &m->forward.client);
        m->forward.data = next_bin(s, &m->forward.len);
        return;
    case PEER_HINT:
        m->hint.flow = next_uint(s, UINT64_MAX);
        m->hint.upstream = next_uint(s, UINT64_MAX);
        m->hint.lease_ms = (uint32_t)next_uint(s, UINT32_MAX);
        return;
    case PEER_SYNC:
    case PEER_SYNC_ACK:
        read_pins(s, m);
        return;
    }
    s->bad = true;
}

int
peer_read(peer_msg_t *m, const uint8_t *data, size_t len,
          const uint8_t key[PEER_KEY_LEN])
{
    uint8_t tag[TAG_LEN];
    unpacker_t s = {.p = (const char *)data};

    if (len <= TAG_LEN) {
        return -EBADMSG;
    }
    s.len = len - TAG_LEN;
    crypto_generichash(tag, TAG_LEN, data, s.len, key, PEER_KEY_LEN);
    if (sodium_memcmp(tag, data + s.len, TAG_LEN) != 0) {
        return -EBADMSG;
    }
    msgpack_unpacked_init(&s.u);
    if (next_uint(&s, UINT8_MAX) != PEER_VERSION) {
        s.bad = true;
    }
    m->kind = (peer_kind_t)next_uint(&s, UINT8_MAX);
    m->from = next_uint(&s, UINT64_MAX);
    read_body(&s, m);
    msgpack_unpacked_destroy(&s.u);
    return s.bad ? -EPROTO : 0;
}
