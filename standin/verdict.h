/* verdict: compares the outcomes reported to callers with the requests that
 * the upstreams executed. */
#ifndef SISKIN_STANDIN_VERDICT_H
#define SISKIN_STANDIN_VERDICT_H

#include "base/base.h"

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint64_t posts, runs;    /* requests with an outcome, and executed */
    uint64_t executed_twice; /* executed more than once */
    uint64_t false_not_run;
    uint64_t never_ran; /* answered but not executed */
    uint64_t misdelivered;
    uint64_t crossed;
    uint64_t unknown;             /* outcome reported as unknown */
    uint64_t restarted_after_run; /* completed upload answered 4.08 */
    uint64_t unanswered;          /* no outcome reported: timeout */
    uint64_t broken;              /* broken flows */
} si_verdict_counts_t;

typedef struct si_verdict si_verdict_t;

si_verdict_t *si_verdict_new(void);
void si_verdict_free(si_verdict_t *v);
/* Processes one line of a caller's or an upstream's log. */
void si_verdict_line(si_verdict_t *v, const char *line);
void si_verdict_count(const si_verdict_t *v, si_verdict_counts_t *out);
/* Writes the IDs of the requests counted as faults. */
void si_verdict_faults(const si_verdict_t *v, FILE *out);

#ifdef __cplusplus
}
#endif

#endif
