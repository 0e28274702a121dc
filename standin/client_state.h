/* The state of a caller stand-in, private to client*.c. */
#ifndef SISKIN_STANDIN_CLIENT_STATE_H
#define SISKIN_STANDIN_CLIENT_STATE_H

#include "standin/client.h"

#define SI_CLIENT_ID_LEN 40    /* a payload ID with its NUL */
#define SI_CLIENT_TEXT_LEN 320 /* a line of the log */

/* The request that awaits its answer. */
typedef struct {
    bool active;
    coap_msg_t msg;
    char id[SI_CLIENT_ID_LEN];
    uint8_t bytes[DATAGRAM_MAX];
    size_t len;
    int transmissions;
    ms_t sent_at, retransmit_at;
    ms_t timeout_ms; /* retransmission timeout */
    bool acked;      /* by an empty ACK: the answer comes separately */
} pending_t;

struct si_client {
    si_client_params_t params;
    si_client_out_t out;
    si_client_stats_t *stats;
    rng_t rng;
    pending_t pending;
    ms_t next_at; /* time of the next request */
    bool stopping;
    uint32_t count; /* payload IDs generated so far */
    uint16_t mid;
    uint32_t token;
    bool open; /* a feed is established */
    uint8_t feed_token_len;
    uint8_t feed_token[COAP_TOKEN_MAX];
    ms_t last_received_at;
    uint32_t block;     /* next block of the upload */
    char upstream[100]; /* source of the last echo: address and epoch */
    int echoes_lost;    /* consecutive lost echoes */
};

/* ---- client_send.c ---- */

/* Sends an empty message of TYPE: an acknowledgement or a reset. */
void si_client_send_empty(si_client_t *c, coap_type_t type, uint16_t mid);
/* Sends the next request of the client's kind. */
void si_client_send_next(si_client_t *c, ms_t now);

/* ---- client_outcome.c ---- */

/* Log an interrupted flow, and an answer that belongs to another request. */
void si_client_log_broken(si_client_t *c, const char *why);
void si_client_log_crossed(si_client_t *c, const char *want, const char *got);
/* Ends the pending request with outcome O; M is the answer, or NULL. */
void si_client_end(si_client_t *c, ms_t now, si_outcome_t o,
                   const coap_msg_t *m);
/* Ends the feed, which registers again later. */
void si_client_break_feed(si_client_t *c, ms_t now, const char *why);

#endif
