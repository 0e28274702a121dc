/* The serve duty: HTTP (libmicrohttpd).  One listener is for readiness checks,
 * the other (admin address) for metrics, status and the replica; both answer
 * every path. */
#include "kern/reply.h"
#include "tagged/tagged.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

/* An announced instance has those of its followers, of a quarter of its data
 * centre, which checks with it, and of other leaders. */
#define CONNECTIONS_MAX 512
/* Memory of a connection: requests of peers and their headers are short. */
#define CONNECTION_BYTES 4096
#define IDLE_S 10
/* Limit of suspended requests; further ones are answered at once. */
#define WAITING_MAX 256
#define WAIT_MAX_MS 10000
/* A suspended request is answered without a change once the replica has been
 * confirmed this much later than at its suspension.  The peer's own followers
 * wait for the confirmation, and ages would otherwise add up along the path to
 * a stale replica.  Smaller steps are not passed on. */
#define CONFIRM_MS 300
#define STACK_BYTES (128 * 1024)

#define TEXT "text/plain"
#define PROMETHEUS "text/plain; version=0.0.4"
#define JSON "application/json"
/* Value of the argument "codec". */
#define MSGPACK "msgpack"

static enum MHD_Result
reply_ready(struct MHD_Connection *c, tagged_t *t)
{
    bool ready = ATOMIC_GET(t, ready) && !ATOMIC_GET(t, draining);

    return http_reply(c, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                      TEXT, strdup(ready ? "ready\n" : "not ready\n"));
}

/* ---- Long polls of peers ---- */

typedef struct {
    struct MHD_Connection *c; /* NULL: free slot */
    uint64_t after[TOPICS];
    size_t part;             /* of the first list, that the peer has */
    ms_t current_at[TOPICS]; /* of the replicas, when the request was suspended
                              */
    ms_t deadline;
} waiting_request_t;

/* Guarded by LOCK: requests come on the listeners' threads, changes and
 * timeouts on the duty's. */
static struct {
    pthread_mutex_t lock;
    waiting_request_t slot[WAITING_MAX];
    followers_t followers;
} waiting = {.lock = PTHREAD_MUTEX_INITIALIZER};

static bool
suspend_request(struct MHD_Connection *c, tagged_t *t,
                const uint64_t after[TOPICS], size_t part, ms_t deadline)
{
    waiting_request_t w = {.c = c, .part = part, .deadline = deadline};
    bool suspended = false;

    for (int i = 0; i < TOPICS; i++) {
        w.after[i] = after[i];
        w.current_at[i] = replica_current_at(t->replica[i]);
    }
    pthread_mutex_lock(&waiting.lock);
    for (size_t i = 0; i < WAITING_MAX && !suspended; i++) {
        if (waiting.slot[i].c == NULL) {
            waiting.slot[i] = w;
            ATOMIC_SET(t, waiting, ATOMIC_GET(t, waiting) + 1);
            MHD_suspend_connection(c);
            suspended = true;
        }
    }
    pthread_mutex_unlock(&waiting.lock);
    return suspended;
}

/* True if a topic has an update, or a confirmation that there is none, or if
 * the first list has a later part. */
static bool
has_update(const waiting_request_t *w, const uint64_t revision[TOPICS],
           const ms_t current_at[TOPICS], size_t part)
{
    if (part > w->part) {
        return true;
    }
    for (int i = 0; i < TOPICS; i++) {
        if (revision[i] > w->after[i] ||
            current_at[i] - w->current_at[i] >= CONFIRM_MS) {
            return true;
        }
    }
    return false;
}

/* Resumes requests that can be answered or timed out; returns the time until
 * the next timeout. */
static ms_t
resume_requests(tagged_t *t, bool all)
{
    uint64_t revision[TOPICS];
    ms_t current_at[TOPICS];
    ms_t now = clock_now(), next = -1;
    size_t part = replica_part_at(t->replica[TOPIC_UPSTREAMS]);

    for (int i = 0; i < TOPICS; i++) {
        revision[i] = replica_revision(t->replica[i]);
        current_at[i] = replica_current_at(t->replica[i]);
    }
    pthread_mutex_lock(&waiting.lock);
    for (size_t i = 0; i < WAITING_MAX; i++) {
        waiting_request_t *w = &waiting.slot[i];
        if (w->c == NULL) {
            continue;
        }
        if (all || now >= w->deadline ||
            has_update(w, revision, current_at, part)) {
            MHD_resume_connection(w->c);
            w->c = NULL;
            ATOMIC_SET(t, waiting, ATOMIC_GET(t, waiting) - 1);
        }
        else if (next < 0 || w->deadline - now < next) {
            next = w->deadline - now;
        }
    }
    pthread_mutex_unlock(&waiting.lock);
    return next;
}

/* True if FROM has, or now gets, a follower place; else *REDIRECT is the
 * follower to poll. */
static bool
admit_follower(tagged_t *t, const addr_t *from, addr_t *redirect)
{
    bool admitted;

    pthread_mutex_lock(&waiting.lock);
    admitted =
        followers_admit(&waiting.followers, clock_now(), from, redirect);
    pthread_mutex_unlock(&waiting.lock);
    if (!admitted) {
        counter_add(&t->count.followers_redirected, 1);
    }
    return admitted;
}

static uint32_t
count_followers(void)
{
    uint32_t n;

    pthread_mutex_lock(&waiting.lock);
    n = followers_count(&waiting.followers, clock_now());
    pthread_mutex_unlock(&waiting.lock);
    return n;
}

static const char *
argument(struct MHD_Connection *c, const char *name)
{
    return MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, name);
}

static uint64_t
uint_argument(struct MHD_Connection *c, const char *name)
{
    const char *s = argument(c, name);

    return s != NULL ? strtoull(s, NULL, 10) : 0;
}

/* Reads the follower's address; false: the request is not a follower's. */
static bool
follower_address(struct MHD_Connection *c, addr_t *from)
{
    const char *s = argument(c, "from");

    return s != NULL && addr_parse(from, s) == 0;
}

/* Reads the revisions that the peer has; "after" stands for all topics.  True
 * if the replica is newer. */
static bool
read_after(struct MHD_Connection *c, const tagged_t *t, uint64_t after[TOPICS])
{
    bool has_updates = false;

    for (int i = 0; i < TOPICS; i++) {
        const char *name = store_topic_name((store_topic_t)i);
        after[i] =
            uint_argument(c, argument(c, name) != NULL ? name : "after");
        has_updates =
            has_updates || replica_revision(t->replica[i]) > after[i];
    }
    return has_updates;
}

static enum MHD_Result
reply_replica(struct MHD_Connection *c, tagged_t *t, bool waited)
{
    uint64_t after[TOPICS], wait = uint_argument(c, "wait_ms");
    size_t part = uint_argument(c, "part");
    bool has_updates = read_after(c, t, after) ||
                       replica_part_at(t->replica[TOPIC_UPSTREAMS]) > part;
    ms_t now = clock_now();
    addr_t from, redirect;
    char text[ADDR_STRLEN];
    const char *codec;

    if (!waited && follower_address(c, &from) &&
        !admit_follower(t, &from, &redirect)) {
        return http_reply(c, MHD_HTTP_TEMPORARY_REDIRECT, TEXT,
                          strdup(addr_text(&redirect, text)));
    }
    if (!waited && wait > 0 && !has_updates &&
        suspend_request(c, t, after, part,
                        now +
                            (ms_t)(wait < WAIT_MAX_MS ? wait : WAIT_MAX_MS))) {
        duty_wake(kern_find(t->kern, "serve"));
        return MHD_YES;
    }
    codec = argument(c, "codec");
    return answers_reply(t->answers, t->replica, c, after, part,
                         uint_argument(c, "differences") > 0,
                         codec != NULL && strcmp(codec, MSGPACK) == 0
                             ? CODEC_MSGPACK
                             : CODEC_JSON);
}

static enum MHD_Result
route(struct MHD_Connection *c, tagged_t *t, const char *path, bool waited)
{
    if (strcmp(path, "/ready") == 0) {
        return reply_ready(c, t);
    }
    if (strcmp(path, "/replica") == 0) {
        return reply_replica(c, t, waited);
    }
    if (strcmp(path, "/metrics") == 0) {
        return http_reply(c, MHD_HTTP_OK, PROMETHEUS,
                          tagged_metrics(t, count_followers()));
    }
    if (strcmp(path, "/status") == 0) {
        return http_reply(c, MHD_HTTP_OK, JSON, tagged_status(t));
    }
    if (strcmp(path, "/load") == 0) {
        return http_reply(c, MHD_HTTP_OK, JSON, tagged_load(t));
    }
    return http_reply(
        c, MHD_HTTP_NOT_FOUND, JSON,
        strdup("{\"error\":\"expected /ready, /metrics, /status, /load or "
               "/replica\"}\n"));
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *c, const char *path,
           const char *method, const char *version, const char *body,
           size_t *body_len, void **state)
{
    static int routed; /* the state of a request that has been routed before */
    bool waited = *state == &routed;

    (void)version;
    (void)body;
    if (!http_request_complete(body_len, state)) {
        return MHD_YES;
    }
    *state = &routed;
    if (strcmp(method, "GET") != 0) {
        return http_reply(c, MHD_HTTP_METHOD_NOT_ALLOWED, JSON,
                          strdup("{\"error\":\"expected GET\"}\n"));
    }
    return route(c, arg, path, waited);
}

static struct MHD_Daemon *
listen_at(tagged_t *t, const addr_t *a)
{
    struct sockaddr_storage ss;
    struct MHD_Daemon *http;
    char text[ADDR_STRLEN];
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                     MHD_ALLOW_SUSPEND_RESUME;

    addr_to_sock(a, &ss);
    if (ss.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    http = MHD_start_daemon(
        flags, 0, NULL, NULL, on_request, t, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&ss, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_THREAD_STACK_SIZE,
        (size_t)STACK_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
        MHD_OPTION_END);
    if (http == NULL) {
        log_line(LVL_ERROR, "serve", "Can't listen. peer=%s error=\"%s\"",
                 addr_text(a, text), strerror(errno));
    }
    return http;
}

void
serve_run(duty_t *self, void *tagged)
{
    tagged_t *t = tagged;
    struct MHD_Daemon *ready, *admin;

    followers_init(&waiting.followers, t->settings.followers,
                   (uint64_t)t->started);
    ready = listen_at(t, &t->settings.ready_addr);
    admin = listen_at(t, &t->settings.admin_addr);

    while (!duty_stopping(self)) {
        duty_wait(self, NULL, 0, resume_requests(t, false));
    }
    resume_requests(
        t, true); /* MHD_stop_daemon() requires that none is suspended */
    if (ready != NULL) {
        MHD_stop_daemon(ready);
    }
    if (admin != NULL) {
        MHD_stop_daemon(admin);
    }
}
