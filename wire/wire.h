/* wire: encoding and decoding of wire formats: the per-datagram proxy header,
 * the subset of CoAP that the balancer uses, and the messages between
 * instances.  Does no I/O.
 */
#ifndef SISKIN_WIRE_H
#define SISKIN_WIRE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DATAGRAM_MAX 1500 /* longest datagram forwarded, bytes */

/* ---- Simple Proxy Protocol for UDP (Cloudflare, 38 bytes) ---- */

/* Magic 0x56EC, client IP, proxy IP, client port, proxy port; big endian.
 * The proxy address is the service's address.  The header precedes each
 * datagram sent to an upstream; the upstream prepends the same header to each
 * reply. */
#define SPP_LEN 38

typedef struct {
    addr_t client;
    addr_t service;
} spp_t;

void spp_write(uint8_t out[SPP_LEN], const spp_t *h);
/* -EPROTO: DATA is shorter than a header, or the magic differs. */
int spp_read(spp_t *h, const uint8_t *data, size_t len);

/* ---- CoAP (RFC 7252, 7641, 7959), encoded and decoded by libcoap ---- */

typedef enum {
    COAP_T_CON = 0,
    COAP_T_NON = 1,
    COAP_T_ACK = 2,
    COAP_T_RST = 3
} coap_type_t;

/* Codes: class in the upper 3 bits, detail in the lower 5. */
#define COAP_C(cls, detail) ((uint8_t)((cls) << 5 | (detail)))
#define COAP_EMPTY COAP_C(0, 0)
#define COAP_GET COAP_C(0, 1)
#define COAP_POST COAP_C(0, 2)
#define COAP_PUT COAP_C(0, 3)
#define COAP_DELETE COAP_C(0, 4)
#define COAP_CREATED COAP_C(2, 1)
#define COAP_DELETED COAP_C(2, 2)
#define COAP_CHANGED COAP_C(2, 4)
#define COAP_CONTENT COAP_C(2, 5)
#define COAP_CONTINUE COAP_C(2, 31)
#define COAP_BAD_REQUEST COAP_C(4, 0)
#define COAP_NOT_FOUND COAP_C(4, 4)
#define COAP_INCOMPLETE COAP_C(4, 8) /* RFC 7959 2.9.2 */
#define COAP_CONFLICT COAP_C(4, 9)   /* RFC 8132 */
#define COAP_TOO_LARGE COAP_C(4, 13)
#define COAP_UNAVAILABLE COAP_C(5, 3) /* not run; Max-Age: retry delay */
#define COAP_GW_TIMEOUT COAP_C(5, 4)  /* outcome unknown */

#define COAP_TOKEN_MAX 8
#define COAP_NONE UINT32_MAX /* option not present */
#define COAP_PATH_MAX 4      /* Uri-Path segments decoded or encoded */
#define COAP_SEG_MAX 32
#define COAP_QUERY_MAX 96

/* A CoAP message.  Decoding fills in the options below and skips all others,
 * and truncates a path segment or query that is too long.  Encoding writes the
 * same options, in the order of their numbers. */
typedef struct {
    coap_type_t type;
    uint8_t code;
    uint16_t mid; /* message ID */
    uint8_t token_len;
    uint8_t token[COAP_TOKEN_MAX];
    uint32_t observe; /* option 6, or COAP_NONE */
    uint32_t max_age; /* option 14, seconds, or COAP_NONE */
    uint32_t block1;  /* option 27: num << 4 | more << 3 | szx, or COAP_NONE */
    uint32_t block2;  /* option 23, same layout */
    uint8_t path_n;   /* segments in PATH; not used for routing */
    char path[COAP_PATH_MAX][COAP_SEG_MAX];
    char query[COAP_QUERY_MAX]; /* first Uri-Query, "" when absent */
    const uint8_t *payload;     /* points into the decoded buffer */
    size_t payload_len;
} coap_msg_t;

/* A message without options and token. */
#define COAP_MSG_INIT                                                         \
    {                                                                         \
        .observe = COAP_NONE, .max_age = COAP_NONE, .block1 = COAP_NONE,      \
        .block2 = COAP_NONE                                                   \
    }

/* -EPROTO: not a valid CoAP message, as libcoap decides, or longer than
 * DATAGRAM_MAX; also returned without memory. */
int coap_decode(coap_msg_t *m, const uint8_t *data, size_t len);
/* Returns the number of bytes written, or -ENOSPC. */
int coap_encode(uint8_t *out, size_t cap, const coap_msg_t *m);
/* True if the path is /A/B, or /A if B is NULL. */
bool coap_path_is(const coap_msg_t *m, const char *a, const char *b);

static inline bool
coap_is_request(const coap_msg_t *m)
{
    return m->code != COAP_EMPTY && m->code >> 5 == 0;
}

static inline bool
coap_is_response(const coap_msg_t *m)
{
    return m->code >> 5 >= 2;
}

/* ---- Messages between instances (docs/PROTOCOL.md) ---- */

#define PEER_KEY_LEN 32
#define PEER_MSG_MAX (DATAGRAM_MAX + 128)
#define SYNC_PINS_MAX 32 /* pins in one message */

typedef enum {
    PEER_MEMBER = 1, /* heartbeats and gossip; body encoded by member/ */
    PEER_FORWARD,    /* a client's datagram, forwarded to the flow's owner */
    PEER_HINT,       /* forwarding hint: upstream of a flow, with a lease */
    PEER_SYNC,       /* pins for the backup owner to store */
    PEER_SYNC_ACK    /* the pins that the backup owner has stored */
} peer_kind_t;

typedef enum {
    PIN_FLOW = 1, /* the upstream serves a feed or an opaque flow */
    PIN_UPLOAD    /* the upstream receives a block-wise upload */
} pin_kind_t;

/* A flow's pin, as replicated by the owner to the backup owner. */
typedef struct {
    uint64_t flow;     /* flow_key() */
    uint64_t upstream; /* addr_id() of the upstream */

    uint8_t kind; /* pin_kind_t */
} pin_t;

typedef struct {
    peer_kind_t kind;
    uint64_t from; /* the sender's instance ID */
    union {
        struct {
            const uint8_t *body;
            size_t len;
        } member;
        struct {
            uint8_t hops; /* forwards so far; refused above FORWARD_HOPS_MAX */
            uint64_t
                version; /* configuration version in force at the sender */
            addr_t service, client;
            const uint8_t *data;
            size_t len;
        } forward;
        struct {
            uint64_t flow;
            uint64_t upstream;
            uint32_t lease_ms;
        } hint;
        struct {
            uint16_t n;
            pin_t pin[SYNC_PINS_MAX];
        } sync; /* PEER_SYNC and PEER_SYNC_ACK */
    };
} peer_msg_t;

#define FORWARD_HOPS_MAX 3

/* Stable 64-bit identifiers of an address and of a flow. */
uint64_t addr_id(const addr_t *a);
uint64_t flow_key(const addr_t *service, const addr_t *client);
/* Stable 64-bit identifier of an instance, a hash of its name. */
uint64_t instance_id(const char *name);

/* Encodes M and appends an authentication tag (keyed BLAKE2b, 16 bytes).
 * Returns the number of bytes written, or -ENOSPC. */
int peer_write(uint8_t *out, size_t cap, const peer_msg_t *m,
               const uint8_t key[PEER_KEY_LEN]);
/* Verifies the tag and decodes.  Pointers in M point into DATA.  -EBADMSG: the
 * tag is wrong; -EPROTO: the tag is valid, but the body can't be decoded (sent
 * by another release). */
int peer_read(peer_msg_t *m, const uint8_t *data, size_t len,
              const uint8_t key[PEER_KEY_LEN]);

#ifdef __cplusplus
}
#endif

#endif
