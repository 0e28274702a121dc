/* verdict: compares what callers were told with what upstreams ran. */
#ifndef SISKIN_STANDIN_VERDICT_H
#define SISKIN_STANDIN_VERDICT_H

#include "base/base.h"

#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint64_t posts, runs; /* requests told of, and run */
    uint64_t twice;       /* executed more than once */
    uint64_t false_not_run;
    uint64_t never_ran; /* answered, but not executed */
    uint64_t misdelivered;
    uint64_t crossed;
    uint64_t unknown;      /* told that the outcome is unknown */
    uint64_t stored_again; /* a whole upload told to start again */
    uint64_t unanswered;   /* never told anything */
    uint64_t broken;       /* flows */
} si_counts_t;

typedef struct si_verdict si_verdict_t;

si_verdict_t *si_verdict_new(void);
void si_verdict_free(si_verdict_t *v);
/* One line of a caller's or an upstream's log. */
void si_verdict_line(si_verdict_t *v, const char *line);
void si_verdict_count(const si_verdict_t *v, si_counts_t *out);
/* Writes the IDs of the requests that were counted as faults. */
void si_verdict_faults(const si_verdict_t *v, FILE *out);

#ifdef __cplusplus
}
#endif

#endif
