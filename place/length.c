/* Responses too short for their route.
 *
 * Load: upstreams that fail answer some requests with short error responses at
 * once, while their status check is good.  An instance can't read responses,
 * but sees their lengths, up to about 2,400 bytes.
 *
 * A length is compared with the route's own median: routes differ, and a route
 * whose responses are all short has no short ones.  The median bears errors
 * among the responses up to nearly half of them, where a low quantile would
 * be the length of an error as soon as they exceed it. */
#include "place/place.h"

/* Share of the median below which a response is no answer.  Lengths vary with
 * a spread of 0.6: one answer in a hundred or fewer is as short. */
#define SHORT_SHARE 0.25
/* Responses until the median is established. */
#define ANSWERS_MIN 36
/* Relative step of the running median, and its numerator while it is learnt:
 * step = FIRST_STEP / responses. */
#define STEP 0.02
#define FIRST_STEP 2.0

static void
update_median(place_length_t *l, uint32_t bytes)
{
    double step = FIRST_STEP / ++l->answers;

    step = step > 1 ? 1 : step < STEP ? STEP : step;
    if (l->median == 0) {
        l->median = bytes;
        return;
    }
    l->median *= bytes > l->median ? 1 + step / 2 : 1 - step / 2;
}

bool
place_length_is_short(place_length_t *l, uint32_t bytes)
{
    bool is_short =
        l->answers >= ANSWERS_MIN && bytes < SHORT_SHARE * l->median;

    if (l->answers < UINT32_MAX) {
        update_median(l, bytes);
    }
    return is_short;
}
