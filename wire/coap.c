/* Encoding and decoding of CoAP messages with libcoap. */
#include "wire/wire.h"

#include <coap3/coap.h>
#include <errno.h>
#include <pthread.h>
#include <string.h>

/* libcoap copies the bytes that it parses, so each thread reuses one PDU for
 * decoding.  The PDU is freed when the thread exits. */
static __thread coap_pdu_t *scratch;
static pthread_key_t scratch_key;
static pthread_once_t scratch_once = PTHREAD_ONCE_INIT;

static void
scratch_free(void *pdu)
{
    coap_delete_pdu(pdu);
}

static void
scratch_init(void)
{
    coap_set_log_level(LOG_EMERG);
    pthread_key_create(&scratch_key, scratch_free);
}

static coap_pdu_t *
scratch_pdu(void)
{
    if (scratch == NULL) {
        pthread_once(&scratch_once, scratch_init);
        scratch = coap_pdu_init(0, 0, 0, DATAGRAM_MAX);
        pthread_setspecific(scratch_key, scratch);
    }
    return scratch;
}

static uint32_t
uint_option(const coap_opt_t *opt)
{
    return coap_decode_var_bytes(coap_opt_value(opt), coap_opt_length(opt));
}

static void
copy_text(char *out, size_t cap, const coap_opt_t *opt)
{
    size_t n = coap_opt_length(opt);

    if (n >= cap) {
        n = cap - 1;
    }
    memcpy(out, coap_opt_value(opt), n);
    out[n] = '\0';
}

static void
read_option(coap_msg_t *m, uint16_t number, const coap_opt_t *opt)
{
    switch (number) {
    case COAP_OPTION_OBSERVE:
        m->observe = uint_option(opt);
        break;
    case COAP_OPTION_MAXAGE:
        m->max_age = uint_option(opt);
        break;
    case COAP_OPTION_BLOCK1:
        m->block1 = uint_option(opt);
        break;
    case COAP_OPTION_BLOCK2:
        m->block2 = uint_option(opt);
        break;
    case COAP_OPTION_URI_PATH:
        if (m->path_n < COAP_PATH_MAX) {
            copy_text(m->path[m->path_n++], COAP_SEG_MAX, opt);
        }
        break;
    case COAP_OPTION_URI_QUERY:
        if (m->query[0] == '\0') {
            copy_text(m->query, sizeof(m->query), opt);
        }
        break;
    default:
        break;
    }
}

int
coap_decode(coap_msg_t *m, const uint8_t *data, size_t len)
{
    coap_pdu_t *pdu = scratch_pdu();
    coap_opt_iterator_t it;
    coap_opt_t *opt;
    coap_bin_const_t token;
    const uint8_t *body;
    size_t body_len;

    if (pdu == NULL || len < 4 || len > DATAGRAM_MAX) {
        return -EPROTO;
    }
    if (!coap_pdu_parse(COAP_PROTO_UDP, data, len, pdu)) {
        return -EPROTO;
    }
    *m = (coap_msg_t)COAP_MSG_INIT;
    m->type = (coap_type_t)coap_pdu_get_type(pdu);
    m->code = (uint8_t)coap_pdu_get_code(pdu);
    m->mid = (uint16_t)coap_pdu_get_mid(pdu);
    token = coap_pdu_get_token(pdu);
    if (token.length > COAP_TOKEN_MAX) {
        return -EPROTO;
    }
    m->token_len = (uint8_t)token.length;
    if (token.length > 0) {
        memcpy(m->token, token.s, token.length);
    }
    coap_option_iterator_init(pdu, &it, COAP_OPT_ALL);
    while ((opt = coap_option_next(&it)) != NULL) {
        read_option(m, it.number, opt);
    }
    if (coap_get_data(pdu, &body_len, &body)) {
        m->payload = data + (len - body_len);
        m->payload_len = body_len;
    }
    return 0;
}

/* Output position for options, and the number of the last option written. */
typedef struct {
    uint8_t *p, *end;
    uint16_t last;
    bool overflow;
} writer_t;

static void
put_option(writer_t *w, uint16_t number, const void *val, size_t len)
{
    size_t space = (size_t)(w->end - w->p);
    uint16_t delta = (uint16_t)(number - w->last);
    size_t n;

    if (w->overflow || coap_opt_encode_size(delta, len) > space) {
        w->overflow = true;
        return;
    }
    n = coap_opt_encode(w->p, space, delta, val, len);
    w->overflow = n == 0;
    w->p += n;
    w->last = number;
}

static void
put_uint(writer_t *w, uint16_t number, uint32_t v)
{
    uint8_t b[4];

    if (v == COAP_NONE) {
        return;
    }
    put_option(w, number, b, coap_encode_var_safe(b, sizeof(b), v));
}

int
coap_encode(uint8_t *out, size_t cap, const coap_msg_t *m)
{
    writer_t w = {.p = out + 4 + m->token_len, .end = out + cap};

    if (cap < 4u + m->token_len) {
        return -ENOSPC;
    }
    /* RFC 7252 section 3: version 1, type, token length, code, message ID. */
    out[0] = (uint8_t)(0x40 | m->type << 4 | m->token_len);
    out[1] = m->code;
    out[2] = (uint8_t)(m->mid >> 8);
    out[3] = (uint8_t)m->mid;
    memcpy(out + 4, m->token, m->token_len);
    put_uint(&w, COAP_OPTION_OBSERVE, m->observe);
    for (int i = 0; i < m->path_n; i++) {
        put_option(&w, COAP_OPTION_URI_PATH, m->path[i], strlen(m->path[i]));
    }
    put_uint(&w, COAP_OPTION_MAXAGE, m->max_age);
    if (m->query[0] != '\0') {
        put_option(&w, COAP_OPTION_URI_QUERY, m->query, strlen(m->query));
    }
    put_uint(&w, COAP_OPTION_BLOCK2, m->block2);
    put_uint(&w, COAP_OPTION_BLOCK1, m->block1);
    if (w.overflow) {
        return -ENOSPC;
    }
    if (m->payload_len > 0) {
        if ((size_t)(w.end - w.p) < m->payload_len + 1) {
            return -ENOSPC;
        }
        *w.p++ = 0xFF;
        memcpy(w.p, m->payload, m->payload_len);
        w.p += m->payload_len;
    }
    return (int)(w.p - out);
}

bool
coap_path_is(const coap_msg_t *m, const char *a, const char *b)
{
    if (m->path_n < 1 || strcmp(m->path[0], a) != 0) {
        return false;
    }
    if (b == NULL) {
        return m->path_n == 1;
    }
    return m->path_n == 2 && strcmp(m->path[1], b) == 0;
}
