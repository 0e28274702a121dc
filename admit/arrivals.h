/* New flows at this instance over time.  For admit/ only. */
#ifndef SISKIN_ADMIT_ARRIVALS_H
#define SISKIN_ADMIT_ARRIVALS_H

#include "admit/admit.h"

#ifdef __cplusplus
extern "C" {
#endif

void arrivals_count(admit_arrivals_t *a, ms_t now, uint32_t priority);
/* Notes the rates in the window of sums of AGE_MS. */
void arrivals_expect(admit_arrivals_t *a, ms_t now, ms_t age_ms);
/* Share of the flows of PRIORITY that is admitted now, so that as many are as
 * SHARE admitted in the window of the sums.  What higher priorities leave is
 * added.  Shares are at most LIMIT. */
double arrivals_share(const admit_arrivals_t *a, ms_t now, uint32_t priority,
                      const double *share, const double *limit);

#ifdef __cplusplus
}
#endif

#endif
