/* conns: the clients that an upstream's stand-in has heard of, each with the
 * time when it was last seen.
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

/* Notes that CLIENT was seen.  False when it isn't known, or, with ADD, when
 * there is no memory for it. */
bool si_conns_touch(si_conns_t *cs, ms_t now, const addr_t *client, bool add);
/* Forgets those last seen before THEN. */
void si_conns_sweep(si_conns_t *cs, ms_t then);

#ifdef __cplusplus
}
#endif

#endif
