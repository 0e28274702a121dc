/* place: where the new flows of a service go: to which data centre, and with
 * which weight to each of its upstreams.
 *
 * The decisions rest on sums over all instances (load/): one instance sees too
 * little of an upstream, or of the demand of its data centre.
 *
 * The library uses no sockets, clocks or threads.
 */
#ifndef SISKIN_PLACE_H
#define SISKIN_PLACE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PLACE_DATA_CENTRES_MAX 16

/* ---- plan.c: shares between data centres ---- */

/* A data centre's part in a service; requests a second. */
typedef struct {
    double demand;      /* of its callers */
    double capacity;    /* of its usable upstreams; 0: not known */
    double link_share;  /* place_link_share(); 0: unreachable, ignored for
                         * SELF */
    uint32_t closed_to; /* bit I: the operator keeps work of data centre I
                         * away; all bits: evacuated */
} place_dc_t;

typedef struct {
    uint32_t n, self;
    /* Share of this data centre's new flows that goes to each; sums up to 1,
     * or is 1 for SELF and 0 for the others. */
    double share[PLACE_DATA_CENTRES_MAX];
    double credit[PLACE_DATA_CENTRES_MAX]; /* spreads the flows evenly */
    double lagged[PLACE_DATA_CENTRES_MAX]; /* smoothed demand of each */
    bool spilling; /* flows leave, or have left since the slots sufficed */
    ms_t updated_at;
} place_plan_t;

/* All flows stay.  SEED differs between instances: those with equal plans send
 * their first flow abroad at different times. */
void place_plan_init(place_plan_t *p, uint64_t seed);
/* Works out the plan of data centre SELF of N, at most
 * PLACE_DATA_CENTRES_MAX.  To be called at the fast period also when no newer
 * sum has come: a plan that isn't updated for 800 ms isn't applied. */
void place_plan_update(place_plan_t *p, ms_t now, const place_dc_t *dc,
                       uint32_t n, uint32_t self);
/* Returns the data centre of the next new flow: SELF if the plan is too old.
 */
uint32_t place_plan_next(place_plan_t *p, ms_t now);

/* ---- partition.c: data centres that can't be reached ---- */

/* The link to another data centre, by what is heard of it. */
typedef struct {
    ms_t sum_at;         /* last sum from there; MS_NEVER: none yet */
    ms_t answered_at;    /* last probe answer or opened flow */
    ms_t fast_from;      /* sums are expected at the fast period since then;
                          * MS_NEVER: they aren't */
    ms_t checked_at;     /* last call of place_link_is_cut() */
    ms_t silent_from;    /* first unanswered opening since; MS_NEVER: none */
    uint32_t unanswered; /* openings in a row without an answer */
    bool cut;
    bool one_way;   /* the cut was found although sums arrive */
    ms_t cut_at;    /* start of the last cut */
    ms_t healed_at; /* end of the last cut; flows return in steps */
    uint32_t flaps; /* cuts shortly after another */
} place_link_t;

void place_link_init(place_link_t *l, ms_t now);
/* The last sum from there is of time NOW: the way from there works. */
void place_link_sum_heard(place_link_t *l, ms_t now);
/* A probe was answered or a flow opened there: both ways work. */
void place_link_heard(place_link_t *l, ms_t now);
/* An opening packet sent there at SENT_AT was not answered in time. */
void place_link_unanswered(place_link_t *l, ms_t now, ms_t sent_at);
/* PERIOD_MS is the period at which sums are expected now.  True if no new
 * flow goes there.  To be called at the fast period: a longer gap counts as a
 * pause of this instance, not as silence of the other side. */
bool place_link_is_cut(place_link_t *l, ms_t now, ms_t period_ms);
/* Share of the planned flows that may go there: 0 while cut, below 1 after a
 * cut. */
double place_link_share(const place_link_t *l, ms_t now);

/* ---- outlier.c: upstreams that are slow or fail ---- */

/* Responses in LOAD_WINDOW_MS, from all instances: counts, not rates. */
typedef struct {
    double answers, failed, answer_ms, timed; /* as in load_upstream_t */
} place_sample_t;

typedef enum {
    PLACE_WELL,
    PLACE_SLOW,     /* weight by its response time */
    PLACE_FAILING,  /* only a few idempotent requests try it */
    PLACE_RETURNING /* responds well again; its weight grows in steps */
} place_state_t;

/* Evidence over responses (CUSUM). */
typedef struct {
    double sum;
    double pending; /* of responses that aren't counted in full yet */
} place_score_t;

/* The state of one upstream.  Zeroed: PLACE_WELL. */
typedef struct {
    place_state_t state;
    bool spared;        /* by place_outliers_bound(): counts as well */
    double weight;      /* 1: as the others; 0: no sample yet, counts as 1 */
    double recent_ms;   /* response time over the last few responses */
    place_score_t slow; /* evidence that it is slow, */
    place_score_t failing; /* that it fails, */
    double well;           /* and that a failing one is well again */
    ms_t usual_at;         /* last time at which it didn't look slow, */
    ms_t working_at;       /* and at which it didn't look failing */
    ms_t changed_at;       /* last change of STATE */
    ms_t updated_at;
    ms_t sample_at;     /* last update with a response */
    uint32_t ejections; /* recent ones, which lengthen the next */
} place_health_t;

/* Usual values of a service, to which its upstreams are compared. */
typedef struct {
    double answer_ms; /* 0: not known */
    double failed;    /* share of failed responses */
} place_usual_t;

/* Works out the usual values of a service from its responses and those of the
 * N upstreams that are listed apart: the median over these and the rest, in
 * which outliers count no more than others. */
place_usual_t place_usual(const place_sample_t *service,
                          const place_sample_t *up, uint32_t n);
/* Updates H by S, the latest window; to be called each 100 ms or so for every
 * upstream that is listed or not well, also with an empty sample.  USUAL_MS is
 * the usual response time of the service's upstreams (0: not known),
 * USUAL_FAILED the share of failed responses over all of them: an upstream is
 * judged against the others, so that a service that is slow or fails as a
 * whole has no outliers. */
void place_health_update(place_health_t *h, ms_t now, const place_sample_t *s,
                         double usual_ms, double usual_failed);
/* Factor of the upstream's weight for a new flow; 0: it gets none. */
double place_health_weight(const place_health_t *h, ms_t now, bool idempotent);
const char *place_state_name(place_state_t s);
/* The most upstreams of N that may be out or weighed down at once. */
uint32_t place_outliers_max(uint32_t n);
/* Enforces the bound over the N upstreams of H, which belong to a service with
 * OF upstreams: the worst stay out, or suspect, the others are spared.  To be
 * called after the updates; the order of H breaks ties, and is the same at all
 * instances.
 */
void place_outliers_bound(place_health_t *const *h, uint32_t n, uint32_t of);

/* ---- length.c: responses too short for their route ---- */

/* Usual length of a route's responses. */
typedef struct {
    double median;    /* running median, bytes */
    uint32_t answers; /* responses in it */
} place_length_t;

/* Records a response of BYTES; true if it is too short to be an answer. */
bool place_length_is_short(place_length_t *l, uint32_t bytes);

#ifdef __cplusplus
}
#endif

#endif
