/* Rates over a sliding window: see meter.h. */
#include "load/meter.h"

#include <math.h>

double
meter_sum(const meter_t *m, ms_t now, ms_t window_ms)
{
    return now <= m->at
               ? m->sum
               : m->sum * exp(-(double)(now - m->at) / (double)window_ms);
}

double
meter_rate(const meter_t *m, ms_t now, ms_t window_ms)
{
    return meter_sum(m, now, window_ms) * 1000 / (double)window_ms;
}

void
meter_add(meter_t *m, ms_t now, ms_t window_ms, double x)
{
    m->sum = meter_sum(m, now, window_ms) + x;
    m->at = now > m->at ? now : m->at;
}
