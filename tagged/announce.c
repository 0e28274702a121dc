/* The announce duty: the instance's own announcement, by which peers find it.
 *
 * Writes are paid for, so only a few instances of a data centre are announced,
 * under leases that outlive a restart: an instance that returns and finds its
 * announcement writes nothing. */
#include "tagged/tagged.h"

#include <errno.h>
#include <string.h>

/* An announcement lapses so long after its instance died.  Until then peers
 * pass it over as one that doesn't answer. */
#define LEASE_MS 60000
#define RENEW_MS 20000
/* Instances that start together wait a random time first: by then they see
 * that enough others are announced. */
#define SPREAD_MS 8000
/* After a call that failed. */
#define RETRY_MS 3000

typedef struct {
    tagged_t *t;
    rng_t rng;
    uint64_t lease; /* 0: none of its own */
} announce_t;

static bool
needed(announce_t *a)
{
    bool yes;

    pthread_mutex_lock(&a->t->follow_lock);
    yes = sources_should_announce(&a->t->sources);
    pthread_mutex_unlock(&a->t->follow_lock);
    return yes && replica_revision(a->t->replica) > 0;
}

static int
renew(announce_t *a, err_t *e)
{
    int rc = store_renew(a->t->writer, a->lease, e);

    if (rc == -ENOENT) { /* it ended meanwhile: announced anew */
        a->lease = 0;
    }
    return rc;
}

static int
announce_anew(announce_t *a, err_t *e)
{
    char key[128];

    store_peer_key(key, sizeof(key), &a->t->settings.admin_addr);
    return store_announce(a->t->writer, key, a->t->settings.data_centre,
                          LEASE_MS, &a->lease, e);
}

/* What is due; returns how long to wait. */
static ms_t
announce_once(announce_t *a)
{
    err_t e = {0};
    int rc = 0;

    if (a->lease != 0) {
        rc = renew(a, &e);
    }
    else if (needed(a)) {
        rc = announce_anew(a, &e);
    }
    if (rc < 0) {
        log_line(LVL_WARN, "announce",
                 "The instance is not announced. step=\"%s\" error=\"%s\"",
                 e.step, e.text);
        return RETRY_MS;
    }
    return a->lease != 0 ? RENEW_MS : SPREAD_MS;
}

void
announce_run(duty_t *self, void *tagged)
{
    announce_t a = {.t = tagged};
    ms_t wait;

    a.rng.seed = hash64(a.t->settings.name, strlen(a.t->settings.name),
                        (uint64_t)a.t->started + 3);
    wait = rng_below(&a.rng, SPREAD_MS);
    while (!duty_stopping(self)) {
        duty_wait(self, NULL, 0, wait);
        if (!duty_stopping(self)) {
            wait = announce_once(&a);
        }
    }
}
