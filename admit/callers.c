/* Counts of new flows by caller, and the shares that follow from them.
 *
 * The load: one caller, or a few, ask for far more than the others, so that
 * together they exceed the slots.  Random refusals would hit all callers
 * alike; the excess of those who press is refused first. */
#include "admit/callers.h"

#include <math.h>

/* Time constants of the counts by caller, and of those by kind of caller,
 * which follow the begin of a burst. */
#define DECAY_MS 2000.0
#define KIND_DECAY_MS 200.0
/* Period in which the counts decay. */
#define DECAY_STEP_MS 100
/* Count below which a cell is empty. */
#define CELL_MIN 0.05f
/* A caller presses from this multiple of the average on, which callers at
 * usual demand don't reach by chance or by their retries. */
#define PRESSURE_MIN 6.0
/* Least average: some flows alone are no pressure. */
#define AVERAGE_MIN 1.0

static void
decay_cells(admit_callers_t *c, float factor)
{
    uint32_t used = 0;

    for (size_t r = 0; r < ADMIT_SKETCH_ROWS; r++) {
        for (size_t i = 0; i < ADMIT_SKETCH_COLUMNS; i++) {
            c->cell[r][i] *= factor;
            if (c->cell[r][i] < CELL_MIN) {
                c->cell[r][i] = 0;
            }
            used += c->cell[r][i] > 0;
        }
    }
    c->used = (double)used / ADMIT_SKETCH_ROWS;
}

static void
decay(admit_callers_t *c, ms_t now)
{
    double dt = (double)(now - c->decayed_at);
    double factor = exp(-dt / DECAY_MS), kind = exp(-dt / KIND_DECAY_MS);

    if (now - c->decayed_at < DECAY_STEP_MS) {
        return;
    }
    decay_cells(c, (float)factor);
    c->flows *= factor;
    for (uint32_t p = 0; p < ADMIT_PRIORITIES; p++) {
        c->all[p] *= kind;
        c->light[p] *= kind;
        c->pressing[p] *= kind;
    }
    c->decayed_at = now;
}

/* Adds a flow to the cells of CALLER and returns its count.  A cell that
 * counts others too stays (conservative update). */
static double
count_in_cells(admit_callers_t *c, uint64_t caller)
{
    float *cell[ADMIT_SKETCH_ROWS];
    float least = INFINITY;

    for (uint64_t r = 0; r < ADMIT_SKETCH_ROWS; r++) {
        cell[r] = &c->cell[r][hash_mix(caller, r) % ADMIT_SKETCH_COLUMNS];
        least = *cell[r] < least ? *cell[r] : least;
    }
    for (size_t r = 0; r < ADMIT_SKETCH_ROWS; r++) {
        if (*cell[r] < least + 1) {
            c->used += *cell[r] == 0 ? 1.0 / ADMIT_SKETCH_ROWS : 0;
            *cell[r] = least + 1;
        }
    }
    return least + 1;
}

double
callers_count(admit_callers_t *c, ms_t now, uint32_t priority, uint64_t caller)
{
    double count, average, pressure;

    decay(c, now);
    count = count_in_cells(c, caller);
    c->flows++;
    c->all[priority]++;
    average = c->used > 1 ? (c->flows - count) / (c->used - 1) : count;
    pressure = count / (average > AVERAGE_MIN ? average : AVERAGE_MIN);
    if (c->used <= 1 || pressure < PRESSURE_MIN) {
        c->light[priority]++;
        return 1;
    }
    c->pressing[priority] += 1 / pressure;
    return pressure;
}

double
callers_share(const admit_callers_t *c, uint32_t priority, double share,
              double pressure)
{
    double light = c->light[priority], pressing = c->pressing[priority];
    double admitted = share * c->all[priority];
    double level;

    if (pressing <= 0 || admitted <= 0) {
        return share;
    }
    level = admitted / (light + pressing);
    if (level <= 1) {
        return level / pressure;
    }
    if (pressure <= 1) {
        return 1;
    }
    level = (admitted - light) / pressing / pressure;
    return level < 1 ? level : 1;
}
