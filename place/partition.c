/* Data centres that can't be reached.
 *
 * Load: a data centre is cut off while its callers, and those of the others,
 * go on.  Each opening that is sent across the cut costs its caller a timeout,
 * and its copy again, so that the whole data centre is given up before each of
 * its upstreams is found unreachable.
 *
 * Two signs: sums stay away, and openings in a row aren't answered.  Single
 * packets are also lost on links that work, and other causes stop the sums
 * alone or the openings to one upstream alone. */
#include "place/place.h"

/* Sums missing in a row that make a cut: at a loss of a tenth on each of two
 * hops, fewer are lost by chance each minute in a large fleet. */
#define SILENT_PERIODS 8
/* Longest period at which missing sums are a sign.  In calm, sums come so
 * rarely that waiting for them takes longer than the openings' timeouts. */
#define FAST_PERIOD_MS 200
/* Unanswered openings in a row, with nothing heard since the first of them. */
#define UNANSWERED_MAX 8
/* The same while sums arrive: only the way there is cut, or the upstreams
 * there don't accept flows. */
#define UNANSWERED_ONE_WAY 16
/* Gap between two checks from which this instance counts as paused. */
#define PAUSE_MS 400
/* Time until a one-way cut is tried again.  Nothing shows its end but an
 * answer. */
#define ONE_WAY_RETRY_MS 2000
/* Time over which flows return, and the number of steps. */
#define RETURN_MS 2000
#define RETURN_STEPS 8
/* A cut within FLAP_MS of the end of the last doubles both times, up to
 * 2^FLAPS_MAX. */
#define FLAP_MS 10000
#define FLAPS_MAX 4

void
place_link_init(place_link_t *l, ms_t now)
{
    *l = (place_link_t){.sum_at = MS_NEVER,
                        .answered_at = now,
                        .fast_from = MS_NEVER,
                        .checked_at = now,
                        .silent_from = MS_NEVER,
                        .cut_at = MS_NEVER,
                        .healed_at = MS_NEVER};
}

static void
clear_unanswered(place_link_t *l)
{
    l->unanswered = 0;
    l->silent_from = MS_NEVER;
}

static void
cut(place_link_t *l, ms_t now, bool one_way)
{
    bool again = l->healed_at != MS_NEVER && now - l->healed_at < FLAP_MS;

    l->flaps = !again ? 0 : l->flaps < FLAPS_MAX ? l->flaps + 1 : FLAPS_MAX;
    l->cut = true;
    l->one_way = one_way;
    l->cut_at = now;
}

static void
heal(place_link_t *l, ms_t now)
{
    l->cut = false;
    l->healed_at = now;
    clear_unanswered(l);
}

void
place_link_sum_heard(place_link_t *l, ms_t now)
{
    l->sum_at = now;
    /* The last sum from before the cut is repeated until it is forgotten. */
    if (l->cut && !l->one_way && now >= l->cut_at) {
        heal(l, now);
    }
}

void
place_link_heard(place_link_t *l, ms_t now)
{
    l->answered_at = now;
    clear_unanswered(l);
    if (l->cut) {
        heal(l, now);
    }
}

/* Returns true if a sum came at or after SINCE. */
static bool
has_sum_since(const place_link_t *l, ms_t since)
{
    return l->sum_at != MS_NEVER && l->sum_at >= since;
}

void
place_link_unanswered(place_link_t *l, ms_t now, ms_t sent_at)
{
    if (l->cut || sent_at <= l->answered_at) {
        return;
    }
    if (l->unanswered++ == 0 || sent_at < l->silent_from) {
        l->silent_from = sent_at;
    }
    if (has_sum_since(l, l->silent_from)) {
        if (l->unanswered >= UNANSWERED_ONE_WAY) {
            cut(l, now, true);
        }
    }
    else if (l->unanswered >= UNANSWERED_MAX) {
        cut(l, now, false);
    }
}

/* Returns true if sums and answers have been missing at the fast period.  The
 * time counts from the start of that period: at the slow one, the last sum may
 * be older. */
static bool
is_silent(const place_link_t *l, ms_t now, ms_t period_ms)
{
    ms_t from = l->fast_from;

    if (l->sum_at == MS_NEVER || l->fast_from == MS_NEVER) {
        return false;
    }
    from = l->sum_at > from ? l->sum_at : from;
    from = l->answered_at > from ? l->answered_at : from;
    return now - from >= SILENT_PERIODS * period_ms;
}

static ms_t
lengthened(ms_t ms, const place_link_t *l)
{
    return ms << l->flaps;
}

bool
place_link_is_cut(place_link_t *l, ms_t now, ms_t period_ms)
{
    bool paused = now - l->checked_at >= PAUSE_MS;

    l->checked_at = now;
    if (period_ms > FAST_PERIOD_MS) {
        l->fast_from = MS_NEVER;
    }
    else if (paused || l->fast_from == MS_NEVER) {
        l->fast_from = now;
    }
    if (paused) {
        clear_unanswered(l);
    }
    if (!l->cut && is_silent(l, now, period_ms)) {
        cut(l, now, false);
    }
    if (l->cut && l->one_way &&
        now - l->cut_at >= lengthened(ONE_WAY_RETRY_MS, l)) {
        heal(l, now);
    }
    return l->cut;
}

double
place_link_share(const place_link_t *l, ms_t now)
{
    ms_t step_ms = lengthened(RETURN_MS, l) / RETURN_STEPS;
    ms_t steps;

    if (l->cut) {
        return 0;
    }
    if (l->healed_at == MS_NEVER) {
        return 1;
    }
    steps = (now - l->healed_at) / step_ms + 1;
    return steps < RETURN_STEPS ? (double)steps / RETURN_STEPS : 1;
}
