/* exchanges: an upstream stand-in's table of requests for duplicate detection
 * (RFC 7252 4.5), keyed by client and message ID.
 */
#ifndef SISKIN_STANDIN_EXCHANGES_H
#define SISKIN_STANDIN_EXCHANGES_H

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_EXCHANGE_MS 247000 /* EXCHANGE_LIFETIME, RFC 7252 4.8.2 */
#define SI_EXCHANGES_MAX 65536
#define SI_EXCHANGE_BUCKETS 4096 /* a power of two */

typedef enum {
    SI_EX_QUEUED,
    SI_EX_RUNNING,
    SI_EX_DONE,
    SI_EX_REFUSED,  /* shed, or past its deadline: never starts */
    SI_EX_CANCELLED /* cancelled before it started: never starts */
} si_ex_state_t;

typedef struct si_exchange si_exchange_t;
struct si_exchange {
    link_t age;  /* oldest first */
    link_t work; /* in the queue or the running list */
    si_exchange_t *next;
    spp_t header;
    uint16_t mid;
    si_ex_state_t state;
    char cancelled_by[20]; /* the instance that cancelled first */
    addr_t from; /* source of the latest copy; destination of the answer */
    ms_t at, deadline, done_at;
    uint8_t *request, *answer; /* the answer includes its proxy header */
    size_t request_len, answer_len;
};

typedef struct {
    si_exchange_t *bucket[SI_EXCHANGE_BUCKETS];
    link_t by_age;
    uint32_t n;
} si_exchanges_t;

void si_exchanges_init(si_exchanges_t *xs);
void si_exchanges_clear(si_exchanges_t *xs);
si_exchange_t *si_exchanges_find(const si_exchanges_t *xs,
                                 const addr_t *client, uint16_t mid);
/* NULL when the table is full or memory is exhausted. */
si_exchange_t *si_exchanges_add(si_exchanges_t *xs, ms_t now,
                                const spp_t *header, uint16_t mid);
/* Removes the exchanges older than EXCHANGE_LIFETIME. */
void si_exchanges_expire(si_exchanges_t *xs, ms_t now);

#ifdef __cplusplus
}
#endif

#endif
