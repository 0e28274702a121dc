/* The sums of shared load that are recent enough to decide by. */
#include "flow/state.h"

/* Time after the change to the fast period in which sums may still have the
 * age of the slow one. */
#define SPEED_UP_MS 500
/* Age of a sum in calm from which it counts for nothing: a report, an exchange
 * and an answer on its way, and lost ones among them. */
#define CALM_MAX_AGE_MS (5 * LOAD_SLOW_PERIOD_MS)

/* Age from which a sum counts for nothing now. */
static ms_t
max_age(const flowset_t *f, ms_t now)
{
    return f->pressing_from == MS_NEVER || now - f->pressing_from < SPEED_UP_MS
               ? CALM_MAX_AGE_MS
               : LOAD_MAX_AGE_MS;
}

const load_sum_t *
view_sum(const flowset_t *f, ms_t now, uint32_t i)
{
    const load_data_centre_t *d =
        load_view_find(f->view, f->data_centre_of[i].id);

    return d != NULL && d->age_ms + (now - f->view_at) <= max_age(f, now)
               ? &d->sum
               : NULL;
}

const load_service_t *
view_row(const flowset_t *f, ms_t now, uint32_t i, const service_t *s)
{
    const load_sum_t *sum =
        f->data_centre_of[i].cut ? NULL : view_sum(f, now, i);

    return sum != NULL ? load_sum_service(sum, s->load_id) : NULL;
}
