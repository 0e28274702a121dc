/* How many requests of a group of upstreams may be in progress, as seen here.
 *
 * Load: callers ask for more than the upstreams can run.  Their queues fill,
 * and nearly every answer is late though all slots are busy.  What exceeds the
 * slots can't be served in time by anybody; refused at once, it leaves the
 * rest in time.
 *
 * Queues show in the time to an answer.  No limit is in force until the median
 * of that time is beyond a share of callers' goals, and beyond a multiple of
 * what an answer takes that waits for nobody: a service that is slow by itself
 * has no queue to shorten.
 *
 * Once slots are full, an answer takes in proportion to what was in progress
 * when its request began.  Each answer so tells with how many in progress it
 * would have taken as long as it should; the limit is their moving average.
 * It doesn't matter that answers come late, with queues long gone: a limit
 * that shrank for each late one would fall until slots idle.  It is a little
 * above that average, so that an instance whose limit is low among its peers
 * comes up again.
 */
#include "flow/state.h"

/* Answers should take this share of the goal: with the spread of work and of
 * queues, and what a caller lost on earlier tries, nearly all are in time. */
#define TARGET 0.45
/* Times the least median: answers that take so much longer have queued. */
#define QUEUE_FACTOR 2.5
/* Below this share of the target slots are free. */
#define RELEASE 0.5
/* A step of the running median, as a share of it. */
#define USUAL_STEP 0.05
/* What an answer lets the least median rise by, as a share of it: it follows a
 * service that has become slower, and hardly rises during a burst. */
#define ALONE_RISE 0.0001
/* Weight of an answer in the limit. */
#define ANSWER_WEIGHT 0.1
/* By so many requests the limit is above what answers so far justify. */
#define GROW 0.5
/* Answers without a refusal in between after which the limit may end. */
#define RELEASE_ANSWERS 64
/* At least as many may be in progress. */
#define MOST_MIN 2
/* Room beyond the limit, as a share of it, for requests that are a step of
 * priority or more above the average: what is refused is the less urgent. */
#define PRIORITY_ROOM 0.5
/* Weight of a request in the average of priorities. */
#define PRIORITY_WEIGHT 0.02

/* The share of the goal at which answers are to stay. */
static double
target_of(double alone)
{
    return QUEUE_FACTOR * alone > TARGET ? QUEUE_FACTOR * alone : TARGET;
}

static void
note_usual(limit_t *l, double share)
{
    if (l->usual == 0) {
        l->usual = share;
        return;
    }
    l->usual *= share > l->usual ? 1 + USUAL_STEP : 1 / (1 + USUAL_STEP);
}

void
limit_answered(limit_t *l, double *alone, double share, uint32_t busy)
{
    double target;

    note_usual(l, share);
    *alone *= 1 + ALONE_RISE;
    if (*alone == 0 || l->usual < *alone) {
        *alone = l->usual;
    }
    target = target_of(*alone);
    l->unrefused++;
    if (l->most == 0) {
        l->most = l->usual > target ? l->busy * target / l->usual : 0;
    }
    else if (l->usual < RELEASE * target && l->unrefused >= RELEASE_ANSWERS) {
        l->most = 0;
    }
    else {
        l->most += ANSWER_WEIGHT * (busy * target / share + GROW - l->most);
    }
}

/* The limit for requests of PRIORITY. */
static double
most_for(const limit_t *l, uint32_t priority)
{
    double ahead = l->priority - priority;

    ahead = ahead > 1 ? 1 : ahead < -1 ? -1 : ahead;
    return l->most * (1 + PRIORITY_ROOM * ahead);
}

bool
limit_admits(limit_t *l, uint32_t priority)
{
    double most = most_for(l, priority);

    l->priority += PRIORITY_WEIGHT * (priority - l->priority);
    if (l->most == 0 || l->busy < MOST_MIN || l->busy < most) {
        return true;
    }
    l->unrefused = 0;
    return false;
}
