/* The state of an upstream stand-in, private to upstream*.c. */
#ifndef SISKIN_STANDIN_UPSTREAM_STATE_H
#define SISKIN_STANDIN_UPSTREAM_STATE_H

#include "standin/conns.h"
#include "standin/exchanges.h"
#include "standin/feeds.h"
#include "standin/uploads.h"
#include "standin/upstream.h"

#define PAYLOAD_MAX 200
#define FORBIDDEN COAP_C(4, 3)

struct si_upstream {
    si_upstream_params_t params;
    si_upstream_out_t out;
    si_upstream_stats_t stats;
    si_feeds_t feeds;
    si_exchanges_t exchanges;
    si_conns_t conns;
    si_uploads_t uploads;
    link_t queue, running; /* exchanges, linked by their work field */
    uint32_t n_queue, n_running;
    uint16_t mid;
    ms_t now;   /* time of the current tick */
    ms_t up_at; /* unreachable before */
    ms_t next_expiry_at;
    bool draining, frozen;
    int fake_busy; /* busy requests to report; negative: the real value */
    ms_t reported_at;
    uint32_t reported_busy, reported_queued, reported_conn;
};

/* ---- upstream_send.c ---- */

void si_upstream_send(si_upstream_t *u, const addr_t *to, const spp_t *header,
                      const coap_msg_t *m);
/* Returns an answer to M with CODE and no payload. */
coap_msg_t si_upstream_new_answer(si_upstream_t *u, const coap_msg_t *m,
                                  uint8_t code);
void si_upstream_answer(si_upstream_t *u, const addr_t *to,
                        const spp_t *header, const coap_msg_t *m, uint8_t code,
                        const char *text);
/* Formats the payload of an answer, which names the request and the upstream
 * so that a caller can detect a misrouted answer. */
size_t si_upstream_payload(si_upstream_t *u, char out[PAYLOAD_MAX],
                           const char *id, const spp_t *header);

/* ---- upstream_run.c ---- */

/* Ends the running request X, and answers it. */
void si_upstream_finish(si_upstream_t *u, ms_t now, si_exchange_t *x);
/* Starts queued requests while slots are free. */
void si_upstream_start_queued(si_upstream_t *u, ms_t now);
void si_upstream_on_request(si_upstream_t *u, ms_t now, const addr_t *from,
                            const spp_t *header, const coap_msg_t *m,
                            const uint8_t *data, size_t len);

/* ---- upstream_control.c ---- */

/* Updates the reported load, unless it is frozen or still current. */
void si_upstream_refresh_load(si_upstream_t *u, ms_t now);
/* Answer a load probe and a cancellation. */
void si_upstream_on_load(si_upstream_t *u, ms_t now, const addr_t *from,
                         const spp_t *header, const coap_msg_t *m);
void si_upstream_on_cancel(si_upstream_t *u, ms_t now, const addr_t *from,
                           const spp_t *header, const coap_msg_t *m);

/* ---- upstream.c ---- */

/* Updates the connection of CLIENT.  False when the client is new and can't be
 * added. */
bool si_upstream_update_conn(si_upstream_t *u, ms_t now, const addr_t *client);

#endif
