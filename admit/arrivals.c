/* Arrivals of new flows at one instance.
 *
 * The load: a burst begins or ends within milliseconds, while sums over all
 * instances show it only after their age and window.  A share taken from them
 * admits too much at the begin, and refuses flows at the end although slots
 * are free.  An instance sees its own part of the burst at once. */
#include "admit/arrivals.h"

#include <string.h>

/* Time over which present arrivals are counted, in whole buckets before the
 * current one. */
#define RECENT_BUCKETS 2
/* Flows added to both sides of the ratio: few flows show nothing but chance.
 */
#define RATIO_PRIOR 8.0

static void
advance(admit_arrivals_t *a, ms_t bucket)
{
    if (a->bucket == 0 || bucket - a->bucket >= ADMIT_BUCKETS) {
        memset(a->flows, 0, sizeof(a->flows));
        a->since = bucket;
        a->bucket = bucket;
    }
    while (a->bucket < bucket) {
        a->bucket++;
        memset(a->flows[a->bucket % ADMIT_BUCKETS], 0, sizeof(*a->flows));
    }
}

void
arrivals_count(admit_arrivals_t *a, ms_t now, uint32_t priority)
{
    advance(a, now / ADMIT_BUCKET_MS);
    a->flows[a->bucket % ADMIT_BUCKETS][priority]++;
}

void
arrivals_expect(admit_arrivals_t *a, ms_t now, ms_t age_ms)
{
    const ms_t n = ADMIT_WINDOW_MS / ADMIT_BUCKET_MS;
    ms_t last = (now - age_ms) / ADMIT_BUCKET_MS - 1;
    ms_t first = last - n + 1;

    advance(a, now / ADMIT_BUCKET_MS);
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        double flows = 0;
        for (ms_t b = first; b <= last; b++) {
            flows += a->flows[(uint64_t)b % ADMIT_BUCKETS][p];
        }
        a->expected[p] = first < a->since || first <= a->bucket - ADMIT_BUCKETS
                             ? -1
                             : flows * 1000 / ADMIT_WINDOW_MS;
    }
}

/* Part of the flow in question that counts among the present ones: then the
 * mean of the ratio is 1 also where an instance sees few flows. */
#define SELF 0.5

/* Present flows of PRIORITY, with the prior. */
static double
present(const admit_arrivals_t *a, ms_t bucket, uint32_t priority)
{
    double flows = RATIO_PRIOR;

    for (ms_t b = bucket - RECENT_BUCKETS; b <= a->bucket; b++) {
        flows += a->flows[(uint64_t)b % ADMIT_BUCKETS][priority];
    }
    return flows;
}

double
arrivals_share(const admit_arrivals_t *a, ms_t now, uint32_t priority,
               const double *share, const double *limit)
{
    ms_t bucket = now / ADMIT_BUCKET_MS;
    double s =
        (double)(now - (bucket - RECENT_BUCKETS) * ADMIT_BUCKET_MS) / 1000;
    double left = 0, now_share = 0;

    if (a->expected[priority] < 0) {
        return share[priority];
    }
    for (uint32_t p = 0; p <= priority; p++) {
        double flows = present(a, bucket, p) - (p == priority ? 1 - SELF : 0);
        left += share[p] * (a->expected[p] * s + RATIO_PRIOR);
        now_share = left / flows < limit[p] ? left / flows : limit[p];
        left -= now_share * flows;
    }
    return now_share;
}
