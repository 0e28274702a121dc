/* The set of duties: lookup by name, start and stop. */
#include "kern/duty.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct kern {
    size_t n;
    duty_t *duty[DUTIES_MAX];
};

kern_t *
kern_new(void)
{
    return calloc(1, sizeof(kern_t));
}

void
kern_free(kern_t *k)
{
    if (k == NULL) {
        return;
    }
    for (size_t i = 0; i < k->n; i++) {
        duty_free(k->duty[i]);
    }
    free(k);
}

int
kern_add(kern_t *k, const duty_spec_t *spec)
{
    duty_t *d;

    if (kern_find(k, spec->name) != NULL) {
        return -EEXIST;
    }
    if (k->n == DUTIES_MAX) {
        return -ENOSPC;
    }
    d = duty_new(k, spec);
    if (d == NULL) {
        return -ENOMEM;
    }
    k->duty[k->n++] = d;
    return 0;
}

duty_t *
kern_find(const kern_t *k, const char *name)
{
    for (size_t i = 0; i < k->n; i++) {
        if (strcmp(duty_name(k->duty[i]), name) == 0) {
            return k->duty[i];
        }
    }
    return NULL;
}

int
kern_start(kern_t *k)
{
    for (size_t i = 0; i < k->n; i++) {
        int rc = duty_start(k->duty[i]);
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

int
kern_stop(kern_t *k, ms_t wait_ms)
{
    struct timespec deadline;
    int rc = 0;

    for (size_t i = 0; i < k->n; i++) {
        duty_stop(k->duty[i]);
    }
    clock_gettime(CLOCK_REALTIME, &deadline);
    deadline.tv_sec += wait_ms / 1000;
    deadline.tv_nsec += wait_ms % 1000 * 1000000;
    if (deadline.tv_nsec >= 1000000000) {
        deadline.tv_sec++;
        deadline.tv_nsec -= 1000000000;
    }
    for (size_t i = 0; i < k->n; i++) {
        if (duty_join(k->duty[i], &deadline) < 0) {
            rc = -ETIMEDOUT;
        }
    }
    return rc;
}
