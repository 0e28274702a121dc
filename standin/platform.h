/* platform: a stand-in for the platform: the key-value service with
 * compare-and-swap, watches and leases, and the delayed list of instances, as
 * described in plat/plat.h and docs/PLATFORM.md.  All state is in memory.
 * Faults are injected at run time.
 */
#ifndef SISKIN_STANDIN_PLATFORM_H
#define SISKIN_STANDIN_PLATFORM_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint16_t port;    /* on 127.0.0.1; 0: any */
    ms_t list_lag_ms; /* delay until a change appears in the list */
    ms_t expire_ms;   /* lifetime of a registration without renewal */
} si_platform_params_t;

#define SI_PLATFORM_PARAMS                                                    \
    {                                                                         \
        .port = 8500, .list_lag_ms = 2000, .expire_ms = 6000                  \
    }

typedef struct si_platform si_platform_t;

si_platform_t *si_platform_open(const si_platform_params_t *p, err_t *e);
uint16_t si_platform_port(const si_platform_t *p);
void si_platform_close(si_platform_t *p);

#ifdef __cplusplus
}
#endif

#endif
