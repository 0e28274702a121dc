/* The watch and roster duties: they read the configuration and the list of
 * instances from the platform.  Calls to the platform block, so each duty has
 * its own thread, client and backoff. */
#include "siskind/siskind.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_TIMEOUT_MS 8000 /* long poll of the configuration */
#define PEERS_FIRST_WAIT_MS 1000
#define WATCH_PAUSE_MS 200 /* after each successful read */
#define IDLE_MS 500        /* interval of the checks for due calls */
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 5000
/* Intervals between reads of the list; each call counts against the platform's
 * rate limits.  A watcher reads the list often, so that a suspect is confirmed
 * gone.  The others learn of members by gossip, and read the list only to
 * recover what gossip may lose. */
#define LIST_WATCHER_MS 2000
#define LIST_OTHER_MS 60000
/* The platform removes an instance that hasn't renewed its registration for
 * some time. */
#define RENEW_MS 2000

typedef struct {
    rng_t rng;
    ms_t wait; /* the next wait, before jitter; 0: the last call succeeded */
    bool down; /* an outage has been logged */
} backoff_t;

/* Returns the wait after a failed call: exponential backoff with jitter, so
 * that the instances don't all call at once when the platform recovers. */
static ms_t
backoff_next(backoff_t *b)
{
    b->wait = b->wait == 0 ? BACKOFF_MIN_MS : b->wait * 2;
    if (b->wait > BACKOFF_MAX_MS) {
        b->wait = BACKOFF_MAX_MS;
    }
    return b->wait / 2 + rng_below(&b->rng, (uint32_t)b->wait / 2 + 1);
}

/* Logs the start and the end of an outage, not each failed call. */
static void
record_result(backoff_t *b, const char *part, int rc, const err_t *e)
{
    if (rc < 0 && !b->down) {
        log_line(LVL_WARN, part,
                 "The platform can't be used. step=\"%s\" "
                 "peer=%s error=\"%s\"",
                 e->step, e->peer, e->text);
    }
    if (rc == 0 && b->down) {
        log_line(LVL_INFO, part, "The platform can be used again.");
    }
    b->down = rc < 0;
    if (rc == 0) {
        b->wait = 0;
    }
}

int
offer_bundle(daemon_t *d, char *json, const bundle_source_t *src)
{
    conf_bundle_t b = {0};
    err_t e = {0};
    control_t *ctl;
    int rc = bundle_read(&b, json, &e);

    if (rc < 0) {
        log_line(LVL_WARN, src->part,
                 "A configuration is refused. from=%s "
                 "step=\"%s\" error=\"%s\"",
                 src->from, e.step, e.text);
        free(json);
        return rc;
    }
    if (b.version <= SHARED_GET(d, version)) {
        bundle_free(&b);
        free(json);
        return -ESTALE;
    }
    ctl = control_new(MSG_CONF);
    if (ctl != NULL) {
        ctl->conf.json = json;
        ctl->conf.age = src->age;
        ctl->conf.complete = src->complete;
        ctl->conf.first = src->first;
        ctl->conf.conf = bundle_conf(&b, &e);
    }
    bundle_free(&b);
    if (ctl == NULL || ctl->conf.conf == NULL) {
        log_line(LVL_WARN, src->part,
                 "A configuration is refused. from=%s "
                 "peer=%s error=\"%s\"",
                 src->from, e.peer, e.text);
        if (ctl != NULL) {
            msg_drop(ctl);
        }
        else {
            free(json);
        }
        return -EINVAL;
    }
    return control_post(kern_find(d->kern, "decide"), ctl);
}

/* Few instances watch; one without a version or without peers always does.  At
 * start the peers get PEERS_FIRST_WAIT_MS to send their version, because they
 * also send its age and the versions before it, which the platform can't. */
static bool
should_watch(const daemon_t *d)
{
    if (SHARED_GET(d, version) == 0 && d->settings.n_peers > 0 &&
        clock_now() - d->started < PEERS_FIRST_WAIT_MS) {
        return false;
    }
    return SHARED_GET(d, watches) || SHARED_GET(d, version) == 0 ||
           SHARED_GET(d, peers) == 0;
}

/* Offers a bundle read from the platform. */
static int
offer_read(daemon_t *d, const conf_bundle_t *b, bool first, err_t *e)
{
    bundle_source_t src = {
        .part = "watch", .from = d->settings.platform_url, .first = first};
    char *json = bundle_write(b);

    if (json == NULL) {
        return err_set(e, -ENOMEM, "bundle write", "platform",
                       "Out of memory.");
    }
    offer_bundle(d, json, &src);
    return 0;
}

/* Offers the version before VERSION to an instance that starts without a peer:
 * upstreams may hold requests that others forwarded under it.  When it was
 * replaced isn't known; the age is taken as 0. */
static void
offer_previous(daemon_t *d, plat_t *p, uint64_t version)
{
    conf_bundle_t b = {0};
    err_t e = {0};

    if (SHARED_GET(d, version) != 0 || version < 2 ||
        plat_read_history(p, version - 1, &b, &e) < 0) {
        return;
    }
    offer_read(d, &b, false, &e);
    bundle_free(&b);
}

/* Reads the parts named by the configuration's head and offers the bundle. */
static int
offer_head(daemon_t *d, plat_t *p, const char *head, err_t *e)
{
    conf_bundle_t b;
    int rc = plat_read_bundle(p, head, &b, e);

    if (rc == -EBADMSG) { /* permanent: reading again won't help */
        log_line(LVL_WARN, "watch",
                 "A configuration is refused. from=%s step=\"%s\" "
                 "error=\"%s\"",
                 d->settings.platform_url, e->step, e->text);
        return 0;
    }
    if (rc < 0) {
        return rc;
    }
    offer_previous(d, p, b.version);
    rc = offer_read(d, &b, b.version == 1, e);
    bundle_free(&b);
    return rc;
}

/* Makes one long poll; returns the pause before the next. */
static ms_t
watch_once(daemon_t *d, plat_t *p, uint64_t *revision, backoff_t *b)
{
    char *json = NULL;
    uint64_t got = 0;
    err_t e = {0};
    int rc = plat_get(p, PLAT_CONFIG_KEY, WATCH_TIMEOUT_MS, *revision, &json,
                      &got, &e);

    /* A stale read has a lower revision, which is kept: the next read then
     * returns at once, and decide rejects lower versions.  A head whose parts
     * couldn't be read is read again. */
    if (rc == 0 && json != NULL && got != *revision) {
        rc = offer_head(d, p, json, &e);
    }
    free(json);
    record_result(b, "watch", rc, &e);
    if (rc < 0) {
        return backoff_next(b);
    }
    *revision = got;
    return WATCH_PAUSE_MS;
}

void
watch_run(duty_t *self, void *daemon)
{
    daemon_t *d = daemon;
    backoff_t b = {.rng = {.seed = d->self, .count = 1}};
    uint64_t revision = 0;
    plat_t *p = plat_new(d->settings.platform_url);

    while (p != NULL && !duty_stopping(self)) {
        ms_t pause = IDLE_MS;
        if (should_watch(d)) {
            pause = watch_once(d, p, &revision, &b);
            counter_set(&d->count.watch_calls, plat_calls(p));
        }
        duty_wait(self, NULL, 0, pause);
    }
    plat_free(p);
}

static void
describe_self(const daemon_t *d, plat_instance_t *i)
{
    const settings_t *s = &d->settings;

    *i = (plat_instance_t){.leaving = SHARED_GET(d, leaving),
                           .return_addr = s->return_addr,
                           .peer_addr = s->peer_addr,
                           .bulk_addr = s->bulk_addr};
    memcpy(i->name, s->name, sizeof(i->name));
    memcpy(i->data_centre, s->data_centre, sizeof(i->data_centre));
    memcpy(i->service_ip, s->bind_ip, sizeof(i->service_ip));
}

static int
renew_registration(const daemon_t *d, plat_t *p, err_t *e)
{
    plat_instance_t me;

    describe_self(d, &me);
    return plat_register(p, &me, e);
}

static int
read_list(const daemon_t *d, plat_t *p, err_t *e)
{
    control_t *ctl = control_new(MSG_LIST);
    int rc;

    if (ctl == NULL) {
        return -ENOMEM;
    }
    ctl->list.instance = calloc(PLAT_INSTANCES_MAX, sizeof(plat_instance_t));
    if (ctl->list.instance == NULL) {
        msg_drop(ctl);
        return -ENOMEM;
    }
    rc = plat_instances(p, ctl->list.instance, PLAT_INSTANCES_MAX,
                        &ctl->list.n, e);
    if (rc < 0) {
        msg_drop(ctl);
        return rc;
    }
    control_post(kern_find(d->kern, "decide"), ctl);
    return 0;
}

static ms_t
list_period(const daemon_t *d)
{
    return SHARED_GET(d, watches) || SHARED_GET(d, peers) == 0
               ? LIST_WATCHER_MS
               : LIST_OTHER_MS;
}

typedef struct {
    plat_t *plat;
    backoff_t backoff;
    ms_t renewed_at, read_at;
    bool leaving; /* as last registered */
} roster_t;

/* Makes the calls that are due; returns the pause before the next check. */
static ms_t
roster_once(daemon_t *d, roster_t *r)
{
    err_t e = {0};
    ms_t now = clock_now();
    int rc = 0;
    bool leaving = SHARED_GET(d, leaving);

    if (now - r->renewed_at >= RENEW_MS || leaving != r->leaving) {
        rc = renew_registration(d, r->plat, &e);
        if (rc == 0) {
            r->renewed_at = now;
            if (leaving && !r->leaving) {
                SHARED_SET(d, leave_listed_at, now);
            }
            r->leaving = leaving;
        }
    }
    if (rc == 0 && now - r->read_at >= list_period(d)) {
        rc = read_list(d, r->plat, &e);
        if (rc == 0) {
            r->read_at = now;
        }
    }
    record_result(&r->backoff, "roster", rc, &e);
    return rc < 0 ? backoff_next(&r->backoff) : IDLE_MS;
}

/* Messages only wake this duty; the shared state determines the work. */
static void
drain_inbox(duty_t *self)
{
    void *msg;

    while (duty_take(self, &msg, 1) == 1) {
        msg_drop(msg);
    }
}

void
roster_run(duty_t *self, void *daemon)
{
    daemon_t *d = daemon;
    err_t e = {0};
    /* Another random sequence than watch's, so that their jitter differs. */
    roster_t r = {.plat = plat_new(d->settings.platform_url),
                  .backoff = {.rng = {.seed = d->self, .count = 1u << 31}},
                  .renewed_at = -LIST_OTHER_MS,
                  .read_at = -LIST_OTHER_MS};

    while (r.plat != NULL && !duty_stopping(self)) {
        drain_inbox(self);
        ms_t pause = roster_once(d, &r);
        counter_set(&d->count.roster_calls, plat_calls(r.plat));
        duty_wait(self, NULL, 0, pause);
    }
    if (r.plat != NULL && !r.backoff.down) {
        plat_deregister(r.plat, d->settings.name, &e);
    }
    plat_free(r.plat);
}
