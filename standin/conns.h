/* conns: an upstream stand-in's table of clients, each with the time of its
 * last datagram.
 */
#ifndef SISKIN_STANDIN_CONNS_H
#define SISKIN_STANDIN_CONNS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_CONN_BUCKETS 1024 /* a power of two */

typedef struct si_conn si_conn_t;

typedef struct {
    si_conn_t *bucket[SI_CONN_BUCKETS];
    uint32_t n;
} si_conns_t;

/* Sets CLIENT's last-seen time to NOW.  With ADD, inserts an unknown client.
 * False when the client is unknown and not added, or memory is exhausted. */
bool si_conns_update(si_conns_t *cs, ms_t now, const addr_t *client, bool add);
/* Removes the clients last seen before LIMIT. */
void si_conns_expire(si_conns_t *cs, ms_t limit);

#ifdef __cplusplus
}
#endif

#endif
