/* Counts of new flows by caller.  For admit/ only. */
#ifndef SISKIN_ADMIT_CALLERS_H
#define SISKIN_ADMIT_CALLERS_H

#include "admit/admit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Counts a new flow.  Returns how many times the flows of an average caller
 * CALLER asks for, or 1 if it doesn't press. */
double callers_count(admit_callers_t *c, ms_t now, uint32_t priority,
                     uint64_t caller);

/* Share of the flows of a caller with PRESSURE (callers_count()) that is
 * admitted, so that a share SHARE of all flows of the priority is. */
double callers_share(const admit_callers_t *c, uint32_t priority, double share,
                     double pressure);

#ifdef __cplusplus
}
#endif

#endif
