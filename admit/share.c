/* Division of a service's capacity among those who compete for it.
 *
 * The load: callers of all data centres and priorities ask for more than the
 * slots can run, some of them for far more than usual.  Urgent requests are
 * the last to be late, background work must not stop, and callers who keep to
 * their usual demand must not pay for those who press.
 *
 * Priorities are served in order, each with a small guaranteed share; within a
 * priority, data centres by max-min fairness with their usual demand as
 * weight.  So the usual demand of each comes before anything beyond it, and
 * what one leaves the next may use. */
#include "admit/share.h"

/* Share of the room that each priority keeps. */
#define PRIORITY_FLOOR 0.02
/* Guaranteed shares never take more than this share of the room. */
#define GUARANTEED_MAX 0.9
/* Least weight of a data centre, as a share of the average: callers without a
 * usual demand aren't shut out. */
#define WEIGHT_MIN 0.05

static double
min_of(double a, double b)
{
    return a < b ? a : b;
}

static double
max_of(double a, double b)
{
    return a > b ? a : b;
}

double
share_limit(const admit_rules_t *rules, uint32_t p)
{
    double limit = rules != NULL ? rules->limit[p] : 0;

    return limit > 0 && limit < 1 ? limit : 1;
}

/* Sum of what all get at LEVEL per unit of weight. */
static double
sum_at(uint32_t n, double level, const double *wanted, const double *weight,
       const double *floor)
{
    double sum = 0;

    for (uint32_t i = 0; i < n; i++) {
        sum += max_of(floor[i], min_of(wanted[i], level * weight[i]));
    }
    return sum;
}

/* Halvings of the level: the remaining error is below a millionth. */
#define LEVEL_STEPS 50

void
share_max_min(uint32_t n, double amount, const double *wanted,
              const double *weight, const double *floor, double *given)
{
    double low = 0, high = 0;

    for (uint32_t i = 0; i < n; i++) {
        high = max_of(high, wanted[i] / weight[i]);
    }
    if (sum_at(n, high, wanted, weight, floor) <= amount) {
        low = high;
    }
    for (int step = 0; step < LEVEL_STEPS && low < high; step++) {
        double level = (low + high) / 2;
        if (sum_at(n, level, wanted, weight, floor) <= amount) {
            low = level;
        }
        else {
            high = level;
        }
    }
    for (uint32_t i = 0; i < n; i++) {
        given[i] = max_of(floor[i], min_of(wanted[i], low * weight[i]));
    }
}

/* What competes for the room: demand within the limits, and guarantees. */
typedef struct {
    double wanted[ADMIT_PRIORITIES][ADMIT_DATA_CENTRES_MAX];
    double sum[ADMIT_PRIORITIES];   /* of WANTED */
    double floor[ADMIT_PRIORITIES]; /* guaranteed to the priority */
    double here[ADMIT_PRIORITIES];  /* of it, to this data centre */
} contest_t;

static void
sum_demand(contest_t *c, const admit_load_t *load, const admit_rules_t *rules)
{
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        for (uint32_t d = 0; d < load->n; d++) {
            c->wanted[p][d] =
                max_of(0, load->dc[d].opened[p]) * share_limit(rules, p);
            c->sum[p] += c->wanted[p][d];
        }
    }
}

/* Sets SHARE to the guaranteed shares of the room and *HERE to this data
 * centre's, scaled so that together they leave a part to competition. */
static void
guaranteed_shares(const admit_rules_t *rules, double *share, double *here)
{
    double sum, scale;

    sum = *here = rules != NULL ? rules->guaranteed_here : 0;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        share[p] =
            max_of(PRIORITY_FLOOR, rules != NULL ? rules->guaranteed[p] : 0);
        sum += share[p];
    }
    scale = sum > GUARANTEED_MAX ? GUARANTEED_MAX / sum : 1;
    *here *= scale;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        share[p] *= scale;
    }
}

/* What is guaranteed to this data centre goes to its priorities in order. */
static void
guarantee(contest_t *c, const admit_load_t *load, double room,
          const admit_rules_t *rules)
{
    double share[ADMIT_PRIORITIES], here;

    guaranteed_shares(rules, share, &here);
    here *= room;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        if (load->self < load->n) {
            c->here[p] = min_of(here, c->wanted[p][load->self]);
            here -= c->here[p];
        }
        c->floor[p] = max_of(c->here[p], min_of(c->sum[p], share[p] * room));
    }
}

/* Divides AMOUNT among the data centres of priority P; returns what this
 * instance's gets. */
static double
divide_data_centres(const contest_t *c, const admit_load_t *load, uint32_t p,
                    double amount, double usual[][ADMIT_PRIORITIES])
{
    double weight[ADMIT_DATA_CENTRES_MAX];
    double floor[ADMIT_DATA_CENTRES_MAX] = {0};
    double given[ADMIT_DATA_CENTRES_MAX];
    double sum = 0;

    for (uint32_t d = 0; d < load->n; d++) {
        sum += usual[d][p];
    }
    for (uint32_t d = 0; d < load->n; d++) {
        weight[d] =
            sum > 0 ? max_of(usual[d][p], WEIGHT_MIN * sum / load->n) : 1;
    }
    if (load->self >= load->n) {
        return 0;
    }
    floor[load->self] = c->here[p];
    share_max_min(load->n, amount, c->wanted[p], weight, floor, given);
    return given[load->self];
}

void
share_divide(const admit_load_t *load, double room,
             double usual[][ADMIT_PRIORITIES], const admit_rules_t *rules,
             share_grant_t *grant)
{
    contest_t c = {0};
    double left = room;

    sum_demand(&c, load, rules);
    guarantee(&c, load, room, rules);
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        left -= c.floor[p];
    }
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        double more = min_of(c.sum[p] - c.floor[p], max_of(0, left));
        left -= more;
        grant->priority[p] = c.floor[p] + more;
        grant->self[p] =
            divide_data_centres(&c, load, p, grant->priority[p], usual);
    }
}
