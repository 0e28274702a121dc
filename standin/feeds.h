/* feeds: the Observe registrations of an upstream stand-in (RFC 7641) and
 * their notifications.
 */
#ifndef SISKIN_STANDIN_FEEDS_H
#define SISKIN_STANDIN_FEEDS_H

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_RETRANSMITS 4 /* MAX_RETRANSMIT, RFC 7252 4.8 */

/* One registration, keyed by client and token. */
typedef struct {
    link_t link;
    spp_t header;
    addr_t from; /* source of the latest registration */
    uint8_t token_len;
    uint8_t token[COAP_TOKEN_MAX];
    uint32_t sent; /* notifications; the Observe value */
    ms_t next_at;
    uint16_t last_mid;
    uint16_t con_mid;       /* of the unacknowledged notification */
    int con_transmissions;  /* transmissions of it; 0: none pending */
    ms_t con_retransmit_at; /* time of its next retransmission */
} si_feed_t;

typedef struct {
    ms_t period_ms;
    int con_every; /* every con_every-th notification is confirmable */
    ms_t ack_ms;   /* ACK_TIMEOUT */
    uint32_t max;
    uint32_t n;
    uint64_t notified, lost; /* lost: removed because no ACK arrived */
    uint16_t mid;
    link_t list;
} si_feeds_t;

/* Sends notification M of feed F. */
typedef void si_notify_t(void *arg, const si_feed_t *f, const coap_msg_t *m);

void si_feeds_init(si_feeds_t *fs);
void si_feeds_clear(si_feeds_t *fs);
/* Adds a registration, or replaces the one with the same client and token.
 * False when the limit is reached or memory is exhausted. */
bool si_feeds_add(si_feeds_t *fs, ms_t now, const spp_t *header,
                  const addr_t *from, const coap_msg_t *reg);
void si_feeds_remove(si_feeds_t *fs, const addr_t *client,
                     const coap_msg_t *reg);
/* Handles an empty ACK or RST from a client. */
void si_feeds_on_empty(si_feeds_t *fs, const addr_t *client,
                       const coap_msg_t *m);
void si_feeds_tick(si_feeds_t *fs, ms_t now, si_notify_t *notify, void *arg);

#ifdef __cplusplus
}
#endif

#endif
