/* The check duty: polls another peer than the followed source for anything
 * newer.
 *
 * The followed source may be cut off, suspended or refused by the store, and
 * its silence looks like the absence of changes.  Another peer's answer
 * reveals this within a second, at the cost of one small exchange between
 * instances and no call to the store. */
#include "tagged/tagged.h"

#include <errno.h>

/* Poll period and long-poll timeout while this instance has no data.  An
 * instance that starts while the store is unavailable, or together with many
 * others, gets the data from a peer.  A peer that is itself starting answers
 * once it has data, or after START_ANSWER_MS; if too many wait there, at once,
 * and the poll is not repeated sooner. */
#define START_POLL_MS 30
#define START_ANSWER_MS 300

static const source_peer_t *
pick_peer(tagged_t *t, bool starting, addr_t *a)
{
    const source_peer_t *p;

    pthread_mutex_lock(&t->follow_lock);
    p = starting ? sources_bootstrap_peer(&t->sources, clock_now())
                 : sources_check_peer(&t->sources, clock_now());
    if (p != NULL) {
        *a = p->addr;
    }
    pthread_mutex_unlock(&t->follow_lock);
    return p;
}

/* Classifies the result of a poll.  When all instances start together, a peer
 * that can't be reached may be up a moment later and is polled again. */
static source_result_t
classify_answer(int rc, bool starting)
{
    if (rc >= 0 || rc == -ENOBUFS) {
        return SOURCE_ANSWERED;
    }
    return starting || rc == -ENODATA ? SOURCE_STARTING : SOURCE_FAILED;
}

/* Polls a peer; returns how long after its begin the next poll may begin. */
static ms_t
check_once(tagged_t *t, peer_client_t *c)
{
    bool has_data = tagged_has_replicas(t);
    char text[ADDR_STRLEN];
    err_t e = {0};
    addr_t a;
    int rc;

    if (pick_peer(t, !has_data, &a) == NULL) {
        return START_POLL_MS;
    }
    rc = updates_poll(t, c, &a, !has_data ? START_ANSWER_MS : 0, &e);
    updates_record_answer(t, &a, classify_answer(rc, !has_data));
    if (rc > 0) {
        counter_add(&t->count.check_updates, 1);
        log_line(
            LVL_INFO, "check",
            "Update from a peer. peer=%s items=%d upstreams=%llu "
            "operator=%llu",
            addr_text(&a, text), rc,
            (unsigned long long)replica_revision(t->replica[TOPIC_UPSTREAMS]),
            (unsigned long long)replica_revision(t->replica[TOPIC_OPERATOR]));
    }
    return rc == -ENODATA ? START_ANSWER_MS : START_POLL_MS;
}

/* Returns the pause after a check that began at BEGUN.  Without data it is
 * what is left of START_PERIOD, which a failed connection or a long poll may
 * have used up. */
static ms_t
pause_ms(tagged_t *t, ms_t begun, ms_t start_period)
{
    ms_t ms, left = begun + start_period - clock_now();

    pthread_mutex_lock(&t->follow_lock);
    ms = sources_check_period_ms(&t->sources);
    pthread_mutex_unlock(&t->follow_lock);
    return tagged_has_replicas(t) ? ms : left > 0 ? left : 0;
}

void
check_run(duty_t *self, void *tagged)
{
    tagged_t *t = tagged;
    peer_client_t c = {.http = NULL};

    while (!duty_stopping(self)) {
        ms_t begun = clock_now();
        ms_t start_period = check_once(t, &c);
        duty_wait(self, NULL, 0, pause_ms(t, begun, start_period));
    }
    peer_client_close(&c);
}
