/* The bulk duty: transfers configuration between instances, over ZeroMQ with
 * CURVE.
 *
 * A request is the text "GET" and the version that the requester has, 0 for
 * none.  The answer (siskind/reply.h) contains the differences from that
 * version to the newest.  Both ends derive the same CURVE key pair from the
 * peer key, so only instances that hold the peer key can connect.
 */
#include "siskind/reply.h"
#include "siskind/siskind.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define Z85_LEN 41
#define MESSAGE_MAX (CONF_TEXT_MAX + 128 * 1024) /* bytes */
#define QUEUE_MAX 64          /* queued messages per socket */
#define FETCH_TIMEOUT_MS 1500 /* wait for an answer */
#define CANDIDATES_MAX 4      /* peers that have a newer version */
#define REQUEST_MAX 32        /* bytes of a request */
#define REQUESTS_PER_TURN 16

typedef struct {
    char name[NAME_LEN];
    addr_t addr;
    uint64_t version;
} candidate_t;

typedef struct {
    daemon_t *d;
    void *ctx, *server;
    void *client; /* the fetch in progress, or NULL */
    candidate_t from;
    ms_t deadline;
    size_t n_candidates;
    candidate_t candidate[CANDIDATES_MAX];
    versions_t versions; /* the version in force and recent ones */
    bool want_full;      /* the last difference didn't apply: request all */
    uint64_t offered_version; /* last fetched; decide may not have it yet */
    ms_t offered_at;
    int accepted; /* versions accepted from the last answer */
    char public_key[Z85_LEN], secret_key[Z85_LEN];
} bulk_t;

static int
derive_keys(bulk_t *b)
{
    static const char purpose[] = "siskin bulk";
    uint8_t secret[32];

    crypto_generichash(secret, sizeof(secret), (const uint8_t *)purpose,
                       sizeof(purpose), b->d->peer_key,
                       sizeof(b->d->peer_key));
    zmq_z85_encode(b->secret_key, secret, sizeof(secret));
    sodium_memzero(secret, sizeof(secret));
    return zmq_curve_public(b->public_key, b->secret_key) < 0 ? -errno : 0;
}

/* Sets the limits of a socket, which bound the cost of a silent, slow or
 * hostile peer. */
static void
set_limits(void *s)
{
    int queue = QUEUE_MAX;
    int linger = 0;
    int wait = 0;
    int handshake = FETCH_TIMEOUT_MS;
    int64_t max_bytes = MESSAGE_MAX;

    zmq_setsockopt(s, ZMQ_RCVHWM, &queue, sizeof(queue));
    zmq_setsockopt(s, ZMQ_SNDHWM, &queue, sizeof(queue));
    zmq_setsockopt(s, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(s, ZMQ_RCVTIMEO, &wait, sizeof(wait));
    zmq_setsockopt(s, ZMQ_SNDTIMEO, &wait, sizeof(wait));
    zmq_setsockopt(s, ZMQ_HANDSHAKE_IVL, &handshake, sizeof(handshake));
    zmq_setsockopt(s, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
}

static void
endpoint(char *out, size_t cap, const addr_t *a)
{
    char text[ADDR_STRLEN];

    snprintf(out, cap, "tcp://%s", addr_text(a, text));
}

static int
open_server(bulk_t *b)
{
    char url[ADDR_STRLEN + 8];
    int on = 1;

    b->server = zmq_socket(b->ctx, ZMQ_ROUTER);
    if (b->server == NULL) {
        return -errno;
    }
    set_limits(b->server);
    zmq_setsockopt(b->server, ZMQ_CURVE_SERVER, &on, sizeof(on));
    zmq_setsockopt(b->server, ZMQ_CURVE_SECRETKEY, b->secret_key, Z85_LEN - 1);
    endpoint(url, sizeof(url), &b->d->settings.bulk_addr);
    return zmq_bind(b->server, url) < 0 ? -errno : 0;
}

/* ---- Serving ---- */

/* Returns the version that the requester has.  For a malformed request returns
 * UINT64_MAX, so that the answer is empty. */
static uint64_t
read_request(const char *text)
{
    unsigned long long have;

    return sscanf(text, "GET %llu", &have) == 1 ? have : UINT64_MAX;
}

static void
answer(bulk_t *b, zmq_msg_t *requester, uint64_t have)
{
    int sent;

    if (zmq_msg_send(requester, b->server, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
        return;
    }
    sent = reply_send(b->server, &b->versions, have, clock_now(),
                      SHARED_GET(b->d, history_complete));
    if (sent > 0) {
        counter_add(&b->d->count.bulk_served, 1);
        counter_add(&b->d->count.bulk_bytes, (uint64_t)sent);
    }
}

/* Serves one request: the requester's identity and a frame.  Returns false
 * when none is waiting. */
static bool
serve_one(bulk_t *b)
{
    zmq_msg_t requester;
    char text[REQUEST_MAX + 1];
    int n;

    zmq_msg_init(&requester);
    if (zmq_msg_recv(&requester, b->server, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&requester);
        return false;
    }
    n = zmq_recv(b->server, text, REQUEST_MAX, ZMQ_DONTWAIT);
    if (n > 0 && n <= REQUEST_MAX) {
        text[n] = '\0';
        answer(b, &requester, read_request(text));
    }
    zmq_msg_close(&requester);
    return true;
}

/* ---- Fetching ---- */

static void
fetch_end(bulk_t *b)
{
    zmq_close(b->client);
    b->client = NULL;
}

static int
fetch_connect(bulk_t *b)
{
    char url[ADDR_STRLEN + 8];
    char request[REQUEST_MAX];
    int n;

    b->client = zmq_socket(b->ctx, ZMQ_DEALER);
    if (b->client == NULL) {
        return -errno;
    }
    set_limits(b->client);
    zmq_setsockopt(b->client, ZMQ_CURVE_SERVERKEY, b->public_key, Z85_LEN - 1);
    zmq_setsockopt(b->client, ZMQ_CURVE_PUBLICKEY, b->public_key, Z85_LEN - 1);
    zmq_setsockopt(b->client, ZMQ_CURVE_SECRETKEY, b->secret_key, Z85_LEN - 1);
    endpoint(url, sizeof(url), &b->from.addr);
    n = snprintf(request, sizeof(request), "GET %llu",
                 (unsigned long long)(b->want_full ? 0 : b->versions.version));
    if (zmq_connect(b->client, url) < 0 ||
        zmq_send(b->client, request, (size_t)n, ZMQ_DONTWAIT) < 0) {
        fetch_end(b);
        return -errno;
    }
    return 0;
}

/* True when VERSION should be fetched.  A version just fetched may still be
 * queued for decide; another peer would send the same again, and the whole
 * text to an instance that starts.  The check expires after FETCH_TIMEOUT_MS,
 * so that the version is fetched again from the peers that gossip names if
 * decide refused it. */
static bool
should_fetch(const bulk_t *b, uint64_t version)
{
    if (version <= SHARED_GET(b->d, version)) {
        return false;
    }
    return version > b->offered_version ||
           clock_now() - b->offered_at > FETCH_TIMEOUT_MS;
}

/* Starts a fetch from the next candidate with a version to fetch. */
static void
fetch_next(bulk_t *b)
{
    while (b->client == NULL && b->n_candidates > 0) {
        b->from = b->candidate[--b->n_candidates];
        if (!should_fetch(b, b->from.version)) {
            continue;
        }
        b->deadline = clock_now() + FETCH_TIMEOUT_MS;
        if (fetch_connect(b) < 0) {
            counter_add(&b->d->count.bulk_refused, 1);
        }
    }
}

static void
add_candidate(bulk_t *b, const control_t *ctl)
{
    candidate_t c = {.addr = ctl->fetch.bulk_addr,
                     .version = ctl->fetch.version};
    size_t i = 0;

    memcpy(c.name, ctl->fetch.name, sizeof(c.name));
    while (i < b->n_candidates && !addr_eq(&b->candidate[i].addr, &c.addr)) {
        i++;
    }
    if (i == CANDIDATES_MAX) {
        return; /* full: gossip will name the peer again */
    }
    b->candidate[i] = c;
    b->n_candidates = i == b->n_candidates ? i + 1 : b->n_candidates;
}

/* Offers every version to decide, not just the newest: a starting
 * instance needs the older ones to determine which upstreams may hold earlier
 * requests. */
static void
offer_version(void *arg, const blob_t *text, ms_t age, bool complete)
{
    bulk_t *b = arg;
    bundle_source_t src = {.part = "bulk",
                           .from = b->from.name,
                           .age = age,
                           .complete = complete};
    char *json = strndup((const char *)text->data, text->len);

    if (json != NULL && offer_bundle(b->d, json, &src) >= 0) {
        b->accepted++;
    }
}

/* Receives an answer.  offer_bundle() checks the content hash and the version
 * number; a stale or invalid answer is dropped and the next peer is tried.  A
 * difference that doesn't apply would fail again, so the next request is for
 * the whole text. */
static void
receive_answer(bulk_t *b)
{
    int rc;

    b->accepted = 0;
    rc = reply_receive(b->client, &b->versions, offer_version, b);
    fetch_end(b);
    b->want_full = rc == -EBADMSG;
    if (rc < 0 || b->accepted == 0) {
        counter_add(&b->d->count.bulk_refused, 1);
        return;
    }
    b->offered_version = b->from.version;
    b->offered_at = clock_now();
    counter_add(&b->d->count.bulk_fetched, 1);
}

static void
fetch_timeout(bulk_t *b)
{
    if (b->client == NULL || clock_now() < b->deadline) {
        return;
    }
    log_line(LVL_WARN, "bulk",
             "A peer didn't answer a request for its version. peer=%s "
             "version=%llu",
             b->from.name, (unsigned long long)b->from.version);
    counter_add(&b->d->count.bulk_refused, 1);
    fetch_end(b);
}

/* ---- The duty ---- */

static void
read_inbox(duty_t *self, bulk_t *b)
{
    void *msg;

    while (duty_take(self, &msg, 1) == 1) {
        control_t *ctl = msg;
        if (ctl->kind == MSG_BUNDLE) {
            versions_add(&b->versions, ctl->conf.version,
                         clock_now() - ctl->conf.age, ctl->conf.json);
            ctl->conf.json = NULL;
        }
        if (ctl->kind == MSG_FETCH) {
            add_candidate(b, ctl);
        }
        msg_drop(ctl);
    }
}

static void
run_once(duty_t *self, bulk_t *b)
{
    zmq_pollitem_t item[3] = {
        {.fd = duty_fd(self), .events = ZMQ_POLLIN},
        {.socket = b->server, .events = ZMQ_POLLIN},
        {.socket = b->client, .events = ZMQ_POLLIN},
    };
    long wait = b->client != NULL ? 100 : 1000;

    zmq_poll(item, b->client != NULL ? 3 : 2,
             duty_prepare_sleep(self) ? wait : 0);
    duty_finish_sleep(self);
    for (int i = 0; i < REQUESTS_PER_TURN && serve_one(b); i++) {
        continue;
    }
    if (b->client != NULL && (item[2].revents & ZMQ_POLLIN)) {
        receive_answer(b);
    }
    fetch_timeout(b);
    read_inbox(self, b);
    fetch_next(b);
}

static int
bulk_open(bulk_t *b)
{
    int rc;

    b->ctx = zmq_ctx_new();
    if (b->ctx == NULL) {
        return -ENOMEM;
    }
    rc = derive_keys(b);
    return rc < 0 ? rc : open_server(b);
}

void
bulk_run(duty_t *self, void *daemon)
{
    bulk_t *b = calloc(1, sizeof(*b));
    int rc;

    if (b == NULL) {
        return;
    }
    b->d = daemon;
    rc = bulk_open(b);
    if (rc < 0) {
        log_line(LVL_ERROR, "bulk", "Can't serve peers. error=\"%s\"",
                 zmq_strerror(-rc));
    }
    while (rc == 0 && !duty_stopping(self)) {
        run_once(self, b);
    }
    if (b->client != NULL) {
        fetch_end(b);
    }
    if (b->server != NULL) {
        zmq_close(b->server);
    }
    if (b->ctx != NULL) {
        zmq_ctx_term(b->ctx);
    }
    versions_free(&b->versions);
    free(b);
}
