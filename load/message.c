/* Messages as msgpack, in one datagram each:
 *
 *   [version, kind, incarnation, seq, pressing, period, depth, [sum...]]
 *   sum: [data centre, age, instances, pressing, [service...], [upstream...]]
 *
 * A service and an upstream are binaries: the id (8 bytes), for a service the
 * set of its values that are not 0 (2 bytes), and the values (2 bytes each).
 * Readers ignore what follows the elements and bytes that are known here. */
#include "load/message.h"

#include <errno.h>
#include <math.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/* A reader rejects other versions: a change that isn't an appended element
 * needs another one. */
#define VERSION 1

#define MESSAGE_FIELDS 8
#define SUM_FIELDS 6
#define UPSTREAM_VALUES 5
/* Upper bounds, in bytes, of a message without sums, and of an upstream. */
#define HEADER_MAX 48
#define UPSTREAM_BYTES 20
#define ID_BYTES 8
#define VALUE_BYTES 2
#define SERVICE_BYTES_MAX                                                     \
    (ID_BYTES + VALUE_BYTES + LOAD_SERVICE_VALUES * VALUE_BYTES)
/* Limits of numbers in messages. */
#define PERIOD_MAX_MS 60000
#define AGE_MAX_MS 3600000
#define INSTANCES_MAX 10000000
#define DEPTH_MAX 255

_Static_assert(offsetof(load_service_t, remote) ==
                   offsetof(load_service_t, opened) +
                       (LOAD_SERVICE_VALUES - 1) * sizeof(float),
               "values of load_service_t are not contiguous");

/* ---- Values: 6 bits of exponent, 10 of mantissa; 0 is 0 ---- */

#define MANTISSA_BITS 10
#define EXPONENT_BIAS 21
#define EXPONENT_MAX 63

static uint16_t
value_code(float v)
{
    int exponent;
    float fraction; /* 0.5 to 1 */
    long code;

    if (!(v > 0)) {
        return 0;
    }
    if (isinf(v)) {
        return UINT16_MAX;
    }
    fraction = frexpf(v, &exponent);
    code = lrintf((2 * fraction - 1) * (1 << MANTISSA_BITS)) +
           ((long)(exponent - 1 + EXPONENT_BIAS) << MANTISSA_BITS);
    return code < 0 ? 0 : code > UINT16_MAX ? UINT16_MAX : (uint16_t)code;
}

static float
value_of(uint16_t code)
{
    int exponent = (code >> MANTISSA_BITS) - EXPONENT_BIAS;
    float mantissa = (float)(code & ((1 << MANTISSA_BITS) - 1));

    return code == 0 ? 0
                     : ldexpf(1 + mantissa / (1 << MANTISSA_BITS), exponent);
}

/* ---- Writing ---- */

typedef struct {
    uint8_t data[LOAD_MESSAGE_MAX];
    size_t len;
    bool full;
} datagram_t;

static int
datagram_write(void *datagram, const char *data, size_t len)
{
    datagram_t *b = datagram;

    if (b->full || len > sizeof(b->data) - b->len) {
        b->full = true;
        return -1;
    }
    memcpy(b->data + b->len, data, len);
    b->len += len;
    return 0;
}

static void
pack_bool(msgpack_packer *pk, bool yes)
{
    if (yes) {
        msgpack_pack_true(pk);
    }
    else {
        msgpack_pack_false(pk);
    }
}

static size_t
put_bytes(uint8_t *out, uint64_t v, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++) {
        out[i] = (uint8_t)(v >> (8 * (bytes - 1 - i)));
    }
    return bytes;
}

static void
pack_service(msgpack_packer *pk, const load_service_t *s)
{
    uint8_t data[SERVICE_BYTES_MAX];
    uint16_t set = 0, code;
    size_t len = ID_BYTES + VALUE_BYTES;

    put_bytes(data, s->service, ID_BYTES);
    for (size_t i = 0; i < LOAD_SERVICE_VALUES; i++) {
        code = value_code(*load_service_value((load_service_t *)s, i));
        if (code != 0) {
            set |= (uint16_t)(1U << i);
            len += put_bytes(data + len, code, VALUE_BYTES);
        }
    }
    put_bytes(data + ID_BYTES, set, VALUE_BYTES);
    msgpack_pack_bin(pk, len);
    msgpack_pack_bin_body(pk, data, len);
}

static void
pack_upstream(msgpack_packer *pk, const load_upstream_t *u)
{
    const float value[UPSTREAM_VALUES] = {u->answers, u->failed, u->answer_ms,
                                          u->timed, u->down};
    uint8_t data[ID_BYTES + UPSTREAM_VALUES * VALUE_BYTES];
    size_t len = put_bytes(data, u->upstream, ID_BYTES);

    for (size_t i = 0; i < UPSTREAM_VALUES; i++) {
        len += put_bytes(data + len, value_code(value[i]), VALUE_BYTES);
    }
    msgpack_pack_bin(pk, len);
    msgpack_pack_bin_body(pk, data, len);
}

static int
highest_rank_first(const void *a, const void *b)
{
    float u = load_upstream_rank(a), v = load_upstream_rank(b);

    return (u < v) - (u > v);
}

/* Packs the upstreams that fit beside the services. */
static void
pack_upstreams(msgpack_packer *pk, const datagram_t *b, const load_sum_t *s)
{
    load_upstream_t u[LOAD_UPSTREAMS_MAX];
    size_t array_bytes = 3;
    size_t room = LOAD_MESSAGE_MAX - HEADER_MAX - b->len - array_bytes;
    size_t n = s->n_upstreams;

    memcpy(u, s->upstream, n * sizeof(u[0]));
    if (n > room / UPSTREAM_BYTES) {
        qsort(u, n, sizeof(u[0]), highest_rank_first);
        n = room / UPSTREAM_BYTES;
    }
    msgpack_pack_array(pk, n);
    for (size_t i = 0; i < n; i++) {
        pack_upstream(pk, &u[i]);
    }
}

static void
pack_sum(datagram_t *b, const load_data_centre_t *dc)
{
    msgpack_packer pk;

    *b = (datagram_t){.len = 0};
    msgpack_packer_init(&pk, b, datagram_write);
    msgpack_pack_array(&pk, SUM_FIELDS);
    msgpack_pack_uint64(&pk, dc->data_centre);
    msgpack_pack_int64(&pk, dc->age_ms < 0            ? 0
                            : dc->age_ms > AGE_MAX_MS ? AGE_MAX_MS
                                                      : dc->age_ms);
    msgpack_pack_uint32(&pk, dc->sum.instances);
    pack_bool(&pk, dc->sum.pressing);
    msgpack_pack_array(&pk, dc->sum.n_services);
    for (uint32_t i = 0; i < dc->sum.n_services; i++) {
        pack_service(&pk, &dc->sum.service[i]);
    }
    pack_upstreams(&pk, b, &dc->sum);
}

static void
pack_header(datagram_t *b, const load_message_t *m, uint32_t n)
{
    msgpack_packer pk;

    msgpack_packer_init(&pk, b, datagram_write);
    msgpack_pack_array(&pk, MESSAGE_FIELDS);
    msgpack_pack_uint64(&pk, VERSION);
    msgpack_pack_uint64(&pk, m->kind);
    msgpack_pack_uint64(&pk, m->incarnation);
    msgpack_pack_uint64(&pk, m->seq);
    pack_bool(&pk, m->pressing);
    msgpack_pack_int64(&pk, m->period_ms);
    msgpack_pack_uint32(&pk, m->depth);
    msgpack_pack_array(&pk, n);
}

size_t
load_message_write(uint8_t out[LOAD_MESSAGE_MAX], const load_message_t *m,
                   uint32_t *first)
{
    datagram_t head = {.len = 0}, body = {.len = 0}, sum;
    uint32_t i;

    for (i = *first; i < m->sums.n; i++) {
        pack_sum(&sum, &m->sums.dc[i]);
        if (body.len + sum.len > LOAD_MESSAGE_MAX - HEADER_MAX) {
            break;
        }
        datagram_write(&body, (char *)sum.data, sum.len);
    }
    pack_header(&head, m, i - *first);
    *first = i;
    memcpy(out, head.data, head.len);
    memcpy(out + head.len, body.data, body.len);
    return head.len + body.len;
}

/* ---- Reading ---- */

static size_t
get_uint(const uint8_t *data, size_t bytes, uint64_t *v)
{
    *v = 0;
    for (size_t i = 0; i < bytes; i++) {
        *v = *v << 8 | data[i];
    }
    return bytes;
}

/* Bytes of the number or length that follows a token from 0xc0 to 0xdf. */
static const uint8_t operand_bytes[] = {
    0, 0, 0, 0,     /* nil, unused, false, true */
    1, 2, 4,        /* binary, with a length */
    1, 2, 4,        /* extension, with a length and a type */
    4, 8,           /* real number */
    1, 2, 4, 8,     /* unsigned number */
    1, 2, 4, 8,     /* signed number */
    2, 3, 5, 9, 17, /* extension of fixed length, with a type */
    1, 2, 4,        /* text, with a length */
    2, 4, 2, 4      /* array and map, with a length */
};

enum {
    SHORT_MAP = 0x80,
    SHORT_ARRAY = 0x90,
    SHORT_TEXT = 0xa0,
    WITH_OPERAND = 0xc0,
    BINARY = 0xc4,
    EXTENSION = 0xc7,
    REAL = 0xca,
    TEXT = 0xd9,
    ARRAY = 0xdc,
    MAP = 0xde,
    NEGATIVE = 0xe0
};

/* Sets *SIZE to the bytes of the token at DATA, with its text or binary;
 * returns the number of elements that it announces.  LEN bytes are left. */
static uint64_t
token_elements(const uint8_t *data, size_t len, uint64_t *size)
{
    uint8_t t = data[0];
    size_t bytes;
    uint64_t n = 0;

    *size = 1;
    if (t < SHORT_MAP || t >= NEGATIVE) {
        return 0;
    }
    if (t < SHORT_TEXT) {
        return t < SHORT_ARRAY ? 2 * (t - SHORT_MAP) : t - SHORT_ARRAY;
    }
    if (t < WITH_OPERAND) {
        *size += (uint64_t)(t - SHORT_TEXT);
        return 0;
    }
    bytes = operand_bytes[t - WITH_OPERAND];
    *size += bytes;
    if (bytes < len && bytes <= sizeof(uint32_t)) {
        get_uint(data + 1, bytes, &n);
    }
    if (t >= ARRAY) {
        return t >= MAP ? 2 * n : n;
    }
    if ((t >= BINARY && t < REAL) || t >= TEXT) {
        *size += n + (t >= EXTENSION && t < REAL);
    }
    return 0;
}

/* True if the arrays and maps of a message announce no more elements than it
 * has bytes: the library allocates them when it reads their lengths. */
static bool
is_bounded(const uint8_t *data, size_t len)
{
    uint64_t elements = 0, size;
    size_t at = 0;

    while (at < len) {
        elements += token_elements(data + at, len - at, &size);
        if (elements > len || size > len - at) {
            return false;
        }
        at += size;
    }
    return true;
}

static bool
is_array(const msgpack_object *o, uint32_t min, uint32_t max)
{
    return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= min &&
           o->via.array.size <= max;
}

static bool
is_uint(const msgpack_object *o, uint64_t max)
{
    return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= max;
}

static bool
is_bool(const msgpack_object *o)
{
    return o->type == MSGPACK_OBJECT_BOOLEAN;
}

static int
read_service(load_service_t *s, const msgpack_object *o)
{
    const uint8_t *data = (const uint8_t *)o->via.bin.ptr;
    size_t at = ID_BYTES + VALUE_BYTES;
    uint64_t set, code;

    if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size < at) {
        return -EPROTO;
    }
    *s = (load_service_t){.service = 0};
    get_uint(data, ID_BYTES, &s->service);
    get_uint(data + ID_BYTES, VALUE_BYTES, &set);
    for (size_t i = 0; i < LOAD_SERVICE_VALUES; i++) {
        if ((set >> i & 1) == 0) {
            continue;
        }
        if (o->via.bin.size < at + VALUE_BYTES) {
            return -EPROTO;
        }
        at += get_uint(data + at, VALUE_BYTES, &code);
        *load_service_value(s, i) = value_of((uint16_t)code);
    }
    return 0;
}

static int
read_upstream(load_upstream_t *u, const msgpack_object *o)
{
    const uint8_t *data = (const uint8_t *)o->via.bin.ptr;
    float value[UPSTREAM_VALUES];
    size_t at = ID_BYTES;
    uint64_t code;

    if (o->type != MSGPACK_OBJECT_BIN ||
        o->via.bin.size <
            ID_BYTES + sizeof(value) / sizeof(value[0]) * VALUE_BYTES) {
        return -EPROTO;
    }
    get_uint(data, ID_BYTES, &u->upstream);
    for (size_t i = 0; i < UPSTREAM_VALUES; i++) {
        at += get_uint(data + at, VALUE_BYTES, &code);
        value[i] = value_of((uint16_t)code);
    }
    u->answers = value[0];
    u->failed = value[1];
    u->answer_ms = value[2];
    u->timed = value[3];
    u->down = value[4];
    return 0;
}

static int
read_sum(load_data_centre_t *dc, const msgpack_object *o)
{
    const msgpack_object *field = o->via.array.ptr;
    int rc = 0;

    if (!is_array(o, SUM_FIELDS, UINT32_MAX) ||
        !is_uint(&field[0], UINT64_MAX) || !is_uint(&field[1], AGE_MAX_MS) ||
        !is_uint(&field[2], INSTANCES_MAX) || !is_bool(&field[3]) ||
        !is_array(&field[4], 0, LOAD_SERVICES_MAX) ||
        !is_array(&field[5], 0, LOAD_UPSTREAMS_MAX)) {
        return -EPROTO;
    }
    dc->data_centre = field[0].via.u64;
    dc->age_ms = (ms_t)field[1].via.u64;
    dc->sum.instances = (uint32_t)field[2].via.u64;
    dc->sum.pressing = field[3].via.boolean;
    dc->sum.n_services = field[4].via.array.size;
    dc->sum.n_upstreams = field[5].via.array.size;
    for (uint32_t i = 0; i < dc->sum.n_services && rc == 0; i++) {
        rc = read_service(&dc->sum.service[i], &field[4].via.array.ptr[i]);
    }
    for (uint32_t i = 0; i < dc->sum.n_upstreams && rc == 0; i++) {
        rc = read_upstream(&dc->sum.upstream[i], &field[5].via.array.ptr[i]);
        /* One instance's word must not count for many. */
        dc->sum.upstream[i].down =
            fminf(dc->sum.upstream[i].down, (float)dc->sum.instances);
    }
    return rc;
}

static int
read_message(load_message_t *m, const msgpack_object *o)
{
    const msgpack_object *field = o->via.array.ptr;
    int rc = 0;

    if (!is_array(o, MESSAGE_FIELDS, UINT32_MAX) ||
        !is_uint(&field[0], VERSION) || field[0].via.u64 != VERSION ||
        !is_uint(&field[1], LOAD_MESSAGES - 1) ||
        !is_uint(&field[2], UINT64_MAX) || !is_uint(&field[3], UINT64_MAX) ||
        !is_bool(&field[4]) || !is_uint(&field[5], PERIOD_MAX_MS) ||
        !is_uint(&field[6], DEPTH_MAX) ||
        !is_array(&field[7], 0, LOAD_DATA_CENTRES_MAX)) {
        return -EPROTO;
    }
    m->kind = (load_message_kind_t)field[1].via.u64;
    m->incarnation = field[2].via.u64;
    m->seq = field[3].via.u64;
    m->pressing = field[4].via.boolean;
    m->period_ms = (ms_t)field[5].via.u64;
    m->depth = (uint32_t)field[6].via.u64;
    m->sums.n = field[7].via.array.size;
    for (uint32_t i = 0; i < m->sums.n && rc == 0; i++) {
        rc = read_sum(&m->sums.dc[i], &field[7].via.array.ptr[i]);
    }
    return rc;
}

int
load_message_read(load_message_t *m, const uint8_t *data, size_t len)
{
    msgpack_unpacked u;
    size_t at = 0;
    int rc = -EPROTO;

    if (len == 0 || len > LOAD_MESSAGE_MAX || !is_bounded(data, len)) {
        return -EPROTO;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, (const char *)data, len, &at) ==
            MSGPACK_UNPACK_SUCCESS &&
        at == len) {
        rc = read_message(m, &u.data);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}
