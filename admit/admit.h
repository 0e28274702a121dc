/* admit: which new flows of a service are admitted when callers ask for more
 * than its slots can run.
 *
 * One instance sees a small part of the demand, so that the decision rests on
 * sums over all instances (load/).  Each instance admits the same share of
 * what it sees, so that what all admit together fits the slots, whatever their
 * number.  What exceeds the slots is refused at once: queued, it would make
 * the rest late too.
 *
 * The library uses no sockets, clocks or threads.
 */
#ifndef SISKIN_ADMIT_H
#define SISKIN_ADMIT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ADMIT_PRIORITIES 4 /* as LOAD_PRIORITIES */
#define ADMIT_DATA_CENTRES_MAX 16

/* Demand of the callers of one data centre for a service, a second. */
typedef struct {
    double opened[ADMIT_PRIORITIES]; /* flows that they ask to open */
    double bound; /* requests inside open flows, which can't be refused */
} admit_demand_t;

/* The load of a service, over all data centres that can be reached.  A data
 * centre keeps its index; one that can't be reached has no demand. */
typedef struct {
    uint32_t n;    /* data centres */
    uint32_t self; /* index of this instance's */
    admit_demand_t dc[ADMIT_DATA_CENTRES_MAX];
    double capacity;  /* requests a second; 0: not known */
    double in_flight; /* requests in flight */
    double slots;     /* of the usable upstreams */
    ms_t age_ms;      /* since the end of the window of the rates */
} admit_load_t;

/* Window of the rates, as LOAD_WINDOW_MS. */
#define ADMIT_WINDOW_MS 500
/* Arrivals are kept for the window of the oldest sums that count. */
#define ADMIT_BUCKETS 16
#define ADMIT_BUCKET_MS 100

/* What the operator asked for; all 0 by default. */
typedef struct {
    double guaranteed[ADMIT_PRIORITIES]; /* share of the capacity */
    double guaranteed_here; /* share of the capacity for the callers of this
                             * instance's data centre */
    /* Largest share of new flows that is admitted; 0: no limit. */
    double limit[ADMIT_PRIORITIES];
} admit_rules_t;

#define ADMIT_SKETCH_ROWS 4
#define ADMIT_SKETCH_COLUMNS 256

/* New flows by caller at one instance, decaying, in a count-min sketch.
 *
 * A caller presses if its count is several times the mean of the cells in use.
 * Counts are never too low, and too high only by callers in the same cells:
 * with many callers, a caller at usual demand counts about the mean, whatever
 * shares its cell, and so doesn't press.  It is taken for one that does only
 * if each row puts it beside such a caller: with H of them, in a share
 * (H / columns) ^ rows of cases.  Made-up addresses raise the mean of all
 * cells, which makes fewer callers press, and take no memory.  A caller that
 * uses several addresses counts by address. */
typedef struct {
    float cell[ADMIT_SKETCH_ROWS][ADMIT_SKETCH_COLUMNS];
    double flows; /* all that are counted */
    double used;  /* cells in use, mean of the rows */
    ms_t decayed_at;
    /* Of the flows, by priority: those of callers who don't press, and of the
     * others as many as they would ask for if they didn't. */
    double all[ADMIT_PRIORITIES];
    double light[ADMIT_PRIORITIES];
    double pressing[ADMIT_PRIORITIES];
} admit_callers_t;

/* New flows that this instance sees, by priority and time.  Sums are some
 * hundred milliseconds old: the share that follows from them is corrected by
 * what arrives now, against what arrived here in the window of the sums. */
typedef struct {
    uint32_t flows[ADMIT_BUCKETS][ADMIT_PRIORITIES];
    ms_t bucket;                       /* of the latest flow; 0: none yet */
    ms_t since;                        /* first bucket */
    double expected[ADMIT_PRIORITIES]; /* flows a second; below 0: unknown */
} admit_arrivals_t;

#define ADMIT_CREDITS 2 /* callers who don't press, and those who do */

/* Admission to one service at one instance. */
typedef struct {
    bool known;                     /* SHARE follows from a load */
    bool in_force;                  /* demand exceeds the capacity */
    double share[ADMIT_PRIORITIES]; /* of new flows that are admitted */
    double limit[ADMIT_PRIORITIES]; /* of SHARE, set by the operator */
    /* Spreads refusals evenly; below 0: not begun. */
    double credit[ADMIT_PRIORITIES][ADMIT_CREDITS];
    double margin; /* correction of the capacity, a factor */
    /* Usual demand by data centre, learnt while all is admitted. */
    double usual[ADMIT_DATA_CENTRES_MAX][ADMIT_PRIORITIES];
    ms_t learnt_ms; /* for which USUAL was learnt */
    ms_t updated_at;
    ms_t begun_at;   /* in_force since */
    ms_t exceeds_at; /* demand last exceeded the capacity */
    ms_t queued_at;  /* slots were last not free */
    admit_arrivals_t arrivals;
    admit_callers_t callers;
} admit_t;

typedef enum {
    ADMIT_UNKNOWN, /* no recent load: the caller decides by itself */
    ADMIT_GRANTED,
    ADMIT_REFUSED_LOAD,   /* the slots can't run it */
    ADMIT_REFUSED_CALLER, /* the caller asks for more than its share */
    ADMIT_REFUSED_RULE    /* the operator limits the priority */
} admit_verdict_t;

void admit_init(admit_t *a);
/* Works out the shares from LOAD.  RULES may be NULL. */
void admit_update(admit_t *a, ms_t now, const admit_load_t *load,
                  const admit_rules_t *rules);
/* Without a recent load, only the operator's limits refuse flows.  What was
 * learnt stays. */
void admit_expire(admit_t *a);
/* Decides on a new flow.  CALLER is a hash of the caller's IP address. */
admit_verdict_t admit_flow(admit_t *a, ms_t now, uint32_t priority,
                           uint64_t caller);

#ifdef __cplusplus
}
#endif

#endif
