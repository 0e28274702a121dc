/* Duty functions for kern.c only; private to kern/. */
#ifndef SISKIN_DUTY_H
#define SISKIN_DUTY_H

#include "kern/kern.h"

#include <time.h>

duty_t *duty_new(kern_t *k, const duty_spec_t *spec);
void duty_free(duty_t *d);
int duty_start(duty_t *d);
void duty_stop(duty_t *d);
/* DEADLINE is a time of CLOCK_REALTIME.  -ETIMEDOUT: the thread still runs. */
int duty_join(duty_t *d, const struct timespec *deadline);

#endif
