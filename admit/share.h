/* Division of a service's capacity among priorities and data centres.  For
 * admit/ only. */
#ifndef SISKIN_ADMIT_SHARE_H
#define SISKIN_ADMIT_SHARE_H

#include "admit/admit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Max-min fair division by weight: gives WANTED[i] to each who wants at most
 * its weighted share of AMOUNT, and the rest to the others by weight.  Each
 * gets at least FLOOR[i], which must be at most WANTED[i] and, summed up, at
 * most AMOUNT. */
void share_max_min(uint32_t n, double amount, const double *wanted,
                   const double *weight, const double *floor, double *given);

/* New flows a second that can be admitted, by priority and data centre. */
typedef struct {
    double priority[ADMIT_PRIORITIES]; /* sum over data centres */
    double self[ADMIT_PRIORITIES];     /* of this instance's */
} share_grant_t;

/* Divides ROOM (flows a second) among the demand of LOAD.  USUAL is the usual
 * demand.  RULES may be NULL. */
void share_divide(const admit_load_t *load, double room,
                  double usual[][ADMIT_PRIORITIES], const admit_rules_t *rules,
                  share_grant_t *grant);

/* Largest share of priority P that RULES admit. */
double share_limit(const admit_rules_t *rules, uint32_t p);

#ifdef __cplusplus
}
#endif

#endif
