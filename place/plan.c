/* Shares of a data centre's new flows between the data centres.
 *
 * Load: the callers of one data centre press at several times the usual, swing
 * or move, while other data centres have slots free.
 *
 * Water-filling: work stays in its data centre up to a utilisation (the
 * level).  What exceeds it goes to the others in proportion to their room
 * below the level.  All data centres work out the same matrix from the same
 * sums, and each applies its own row.  So the sum of all rows exceeds no
 * receiver's room, without any coordination.
 *
 * Demand is that of callers, wherever they are served, so that a plan doesn't
 * change the sums it rests on, and sums of different age don't make plans
 * swing. */
#include "place/place.h"

#include <math.h>
#include <string.h>

/* Utilisation up to which the slots suffice within the goal: above it, queues
 * of the slots grow to several response times. */
#define LEVEL 0.8
/* Utilisation above which flows begin to leave; they return at LEVEL.  Noise
 * of the sums stays below the difference. */
#define SPILL_FROM 0.88
/* Utilisation above which a plan follows at once: queues overflow within some
 * response times. */
#define OVERFULL 1.0
/* Largest rise of the share of a receiver, a second.  A fall is applied at
 * once: its room is needed by its own callers. */
#define RISE_PER_S 1.0
/* Longest time between two updates that counts for a rise. */
#define UPDATE_MAX_MS 200
/* Age from which a plan isn't applied: as that of the sums. */
#define PLAN_MAX_AGE_MS 800
/* Time constant of the smoothed demand, and factor of the rise above it that
 * is added: the window of the sums is LOAD_WINDOW_MS long, so that a burst
 * shows in full only then. */
#define LAG_MS 200
#define TREND_FACTOR 1.5
/* Rise, as a share of the capacity, that is no noise of the sums. */
#define TREND_MIN 0.25
/* Rounds of filling.  One suffices where all may send to all. */
#define ROUNDS 8
/* Share of the demand below which the excess counts as placed. */
#define PLACED 1e-9

/* Excess of each data centre, room in each, and what goes where. */
typedef struct {
    double excess[PLACE_DATA_CENTRES_MAX];
    double room[PLACE_DATA_CENTRES_MAX];
    double sent[PLACE_DATA_CENTRES_MAX][PLACE_DATA_CENTRES_MAX];
} matrix_t;

static bool
is_closed(const place_dc_t *dc, uint32_t from, uint32_t to)
{
    return dc[to].closed_to >> from & 1;
}

/* What can't be reached counts neither as demand nor as room, and neither does
 * what has no known capacity, unless it is evacuated. */
static bool
is_part(const place_dc_t *dc, uint32_t i, uint32_t self)
{
    return (dc[i].capacity > 0 || is_closed(dc, i, i)) &&
           (i == self || dc[i].link_share > 0);
}

/* Returns the level to which all are filled: LEVEL, or the common utilisation
 * if all slots together don't suffice. */
static double
level_of(const place_dc_t *dc, uint32_t n, uint32_t self)
{
    double demand = 0, capacity = 0;

    for (uint32_t i = 0; i < n; i++) {
        if (is_part(dc, i, self)) {
            demand += dc[i].demand;
            capacity += is_closed(dc, i, i) ? 0 : dc[i].capacity;
        }
    }
    return capacity > 0 && demand > LEVEL * capacity ? demand / capacity
                                                     : LEVEL;
}

static void
find_excess(matrix_t *m, const place_dc_t *dc, uint32_t n, uint32_t self)
{
    double level = level_of(dc, n, self);

    for (uint32_t i = 0; i < n; i++) {
        double own = is_closed(dc, i, i) ? 0 : level * dc[i].capacity;
        if (!is_part(dc, i, self)) {
            continue;
        }
        m->excess[i] = dc[i].demand > own ? dc[i].demand - own : 0;
        m->room[i] = dc[i].demand < own ? own - dc[i].demand : 0;
    }
}

/* Room that data centre FROM may use. */
static double
room_for(const matrix_t *m, const place_dc_t *dc, uint32_t n, uint32_t from)
{
    double room = 0;

    for (uint32_t i = 0; i < n; i++) {
        room += is_closed(dc, from, i) ? 0 : m->room[i];
    }
    return room;
}

/* Fills each room with as much of the excess as fits, in proportion to what
 * each data centre asks for there. */
static void
fill(matrix_t *m, const place_dc_t *dc, uint32_t n)
{
    double all[PLACE_DATA_CENTRES_MAX], room[PLACE_DATA_CENTRES_MAX];

    memcpy(room, m->room, sizeof(room));
    for (uint32_t i = 0; i < n; i++) {
        all[i] = room_for(m, dc, n, i);
    }
    for (uint32_t to = 0; to < n; to++) {
        double asked[PLACE_DATA_CENTRES_MAX], sum = 0;
        for (uint32_t i = 0; i < n; i++) {
            asked[i] = all[i] > 0 && !is_closed(dc, i, to)
                           ? m->excess[i] * room[to] / all[i]
                           : 0;
            sum += asked[i];
        }
        for (uint32_t i = 0; i < n && sum > 0; i++) {
            m->sent[i][to] += asked[i] * (sum > room[to] ? room[to] / sum : 1);
        }
        m->room[to] = sum > room[to] ? 0 : room[to] - sum;
    }
}

static double
sent_by(const matrix_t *m, uint32_t n, uint32_t from)
{
    double sum = 0;

    for (uint32_t i = 0; i < n; i++) {
        sum += m->sent[from][i];
    }
    return sum;
}

/* Where some are closed to others, room stays free in the first round that
 * the excess left may use in the next. */
static void
fill_all(matrix_t *m, const place_dc_t *dc, uint32_t n)
{
    double first[PLACE_DATA_CENTRES_MAX];
    bool left = true;

    memcpy(first, m->excess, sizeof(first));
    for (int round = 0; round < ROUNDS && left; round++) {
        left = false;
        fill(m, dc, n);
        for (uint32_t i = 0; i < n; i++) {
            double rest = first[i] - sent_by(m, n, i);
            m->excess[i] = rest > PLACED * first[i] ? rest : 0;
            left = left || m->excess[i] > 0;
        }
    }
}

/* Spreads the work of an evacuated data centre that found no room: it can't
 * stay. */
static void
spread_rest(matrix_t *m, const place_dc_t *dc, uint32_t n, uint32_t self)
{
    double capacity = 0;

    for (uint32_t i = 0; i < n; i++) {
        capacity += is_part(dc, i, self) && !is_closed(dc, self, i)
                        ? dc[i].capacity
                        : 0;
    }
    for (uint32_t i = 0; i < n && capacity > 0; i++) {
        if (is_part(dc, i, self) && !is_closed(dc, self, i)) {
            m->sent[self][i] += m->excess[self] * dc[i].capacity / capacity;
        }
    }
}

/* Writes the row of SELF into SHARE. */
static void
row_of(double *share, const place_dc_t *dc, uint32_t n, uint32_t self)
{
    matrix_t m = {0};
    double demand = dc[self].demand;

    find_excess(&m, dc, n, self);
    fill_all(&m, dc, n);
    if (is_closed(dc, self, self) && m.excess[self] > 0) {
        spread_rest(&m, dc, n, self);
    }
    for (uint32_t i = 0; i < n; i++) {
        double link = dc[i].link_share < 1 ? dc[i].link_share : 1;
        share[i] = i != self ? link * m.sent[self][i] / demand : 0;
    }
}

/* Moves the shares to TARGET.  Returns the sum of those of the others. */
static double
approach(place_plan_t *p, const double *target, double rise)
{
    double away = 0;

    for (uint32_t i = 0; i < p->n; i++) {
        double most = p->share[i] + rise;
        if (i != p->self) {
            p->share[i] = target[i] < most ? target[i] : most;
            away += p->share[i];
        }
    }
    return away;
}

/* Adds to the demand what it is about to rise by. */
static void
add_trends(place_plan_t *p, place_dc_t *dc, ms_t elapsed)
{
    double part =
        elapsed < PLAN_MAX_AGE_MS ? 1 - exp(-(double)elapsed / LAG_MS) : 1;

    for (uint32_t i = 0; i < p->n; i++) {
        double rise = TREND_FACTOR * (dc[i].demand - p->lagged[i]);
        p->lagged[i] += part * (dc[i].demand - p->lagged[i]);
        if (part < 1 && rise > TREND_MIN * dc[i].capacity) {
            dc[i].demand += rise;
        }
    }
}

static void
reset_plan(place_plan_t *p, uint32_t n, uint32_t self)
{
    memset(p->share, 0, sizeof(p->share));
    p->n = n;
    p->self = self;
    p->share[self] = 1;
    p->spilling = false;
}

void
place_plan_init(place_plan_t *p, uint64_t seed)
{
    rng_t rng = {.seed = seed};

    *p = (place_plan_t){.n = 1, .share = {1}};
    for (uint32_t i = 0; i < PLACE_DATA_CENTRES_MAX; i++) {
        /* A credit moves within (-1, 1) of that of SELF. */
        p->credit[i] = rng_below(&rng, 2000) / 1000.0 - 1;
    }
}

void
place_plan_update(place_plan_t *p, ms_t now, const place_dc_t *part,
                  uint32_t n, uint32_t self)
{
    place_dc_t dc[PLACE_DATA_CENTRES_MAX];
    double target[PLACE_DATA_CENTRES_MAX] = {0};
    double used;
    bool closed = is_closed(part, self, self);
    ms_t elapsed = now - p->updated_at;
    double rise = RISE_PER_S / 1000 *
                  (elapsed < UPDATE_MAX_MS ? elapsed : UPDATE_MAX_MS);

    if (n != p->n || self != p->self) {
        reset_plan(p, n, self);
        elapsed = PLAN_MAX_AGE_MS;
    }
    memcpy(dc, part, n * sizeof(*dc));
    add_trends(p, dc, elapsed);
    used = dc[self].capacity > 0 ? dc[self].demand / dc[self].capacity : 0;
    p->updated_at = now;
    p->spilling = (closed && dc[self].demand > 0) || used > SPILL_FROM ||
                  (p->spilling && used > LEVEL);
    if (p->spilling) {
        row_of(target, dc, n, self);
    }
    if (closed || used > OVERFULL) {
        rise = 1;
    }
    p->share[self] = 1 - approach(p, target, rise);
    if (p->share[self] < PLACED) {
        p->share[self] = 0;
    }
}

uint32_t
place_plan_next(place_plan_t *p, ms_t now)
{
    uint32_t best = p->self;

    if (now - p->updated_at >= PLAN_MAX_AGE_MS) {
        return p->self;
    }
    for (uint32_t i = 0; i < p->n; i++) {
        p->credit[i] += p->share[i];
        if (p->share[i] > 0 &&
            (p->share[best] == 0 || p->credit[i] > p->credit[best])) {
            best = i;
        }
    }
    p->credit[best]--;
    return best;
}
