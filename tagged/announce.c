/* The announce duty: keeps the announcement by which peers discover this
 * instance.
 *
 * Writes are paid for, so only a few instances of a data centre are announced.
 * Their leases outlive a restart: an instance that returns and finds its
 * announcement writes nothing. */
#include "tagged/tagged.h"

#include <errno.h>

/* Lease of an announcement, which expires this long after its instance died.
 * Until then peers skip the instance as one that does not answer. */
#define LEASE_MS 60000
#define RENEW_MS 20000
/* Pause after a failed call. */
#define RETRY_MS 3000

typedef struct {
    tagged_t *t;
    uint64_t lease; /* 0: no lease held */
} announce_t;

static ms_t
next_check_ms(announce_t *a)
{
    ms_t wait;

    pthread_mutex_lock(&a->t->follow_lock);
    wait = sources_announce_delay_ms(&a->t->sources, a->t->settings.link_mbps);
    pthread_mutex_unlock(&a->t->follow_lock);
    return wait;
}

static bool
should_announce(announce_t *a)
{
    bool yes;

    pthread_mutex_lock(&a->t->follow_lock);
    yes = sources_should_announce(&a->t->sources);
    pthread_mutex_unlock(&a->t->follow_lock);
    return yes && tagged_has_replicas(a->t);
}

static int
renew(announce_t *a, err_t *e)
{
    int rc = store_renew(a->t->writer, a->lease, e);

    if (rc == -ENOENT) { /* the lease expired: announce again */
        a->lease = 0;
    }
    return rc;
}

static int
announce_instance(announce_t *a, err_t *e)
{
    char key[128];

    store_peer_key(key, sizeof(key), &a->t->settings.admin_addr);
    return store_announce(a->t->writer, key, a->t->settings.data_centre,
                          LEASE_MS, &a->lease, e);
}

/* Renews or announces as due; returns the time until the next check. */
static ms_t
announce_once(announce_t *a)
{
    err_t e = {0};
    int rc = 0;

    if (a->lease != 0) {
        rc = renew(a, &e);
    }
    else if (should_announce(a)) {
        rc = announce_instance(a, &e);
    }
    if (rc < 0) {
        log_line(LVL_WARN, "announce",
                 "Announcement failed. step=\"%s\" error=\"%s\"", e.step,
                 e.text);
        return RETRY_MS;
    }
    return a->lease != 0 ? RENEW_MS : next_check_ms(a);
}

void
announce_run(duty_t *self, void *tagged)
{
    announce_t a = {.t = tagged};
    ms_t wait;

    wait = next_check_ms(&a);
    while (!duty_stopping(self)) {
        duty_wait(self, NULL, 0, wait);
        if (!duty_stopping(self)) {
            wait = announce_once(&a);
        }
    }
}
