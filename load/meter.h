/* A rate over a sliding window that decays exponentially: one number and one
 * time, whatever the rate. */
#ifndef SISKIN_LOAD_METER_H
#define SISKIN_LOAD_METER_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    double sum; /* decayed, as of AT */
    ms_t at;
} meter_t;

/* Adds X, with samples decaying over WINDOW_MS. */
void meter_add(meter_t *m, ms_t now, ms_t window_ms, double x);
/* Sum of the samples in the window. */
double meter_sum(const meter_t *m, ms_t now, ms_t window_ms);
/* The same a second. */
double meter_rate(const meter_t *m, ms_t now, ms_t window_ms);

#ifdef __cplusplus
}
#endif

#endif
