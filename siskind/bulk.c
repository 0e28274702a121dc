/* The bulk duty: configuration between instances, over ZeroMQ and CURVE.
 *
 * A request is "GET" and the version that the asker has, as text, 0 for none;
 * the answer (siskind/reply.h) has what leads from there to the newest.  Both
 * ends derive the same CURVE key pair from the peer key, so only instances
 * that hold it can connect.
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
#define MESSAGE_MAX (CONF_TEXT_MAX + 128 * 1024)
#define QUEUE_MAX 64   /* messages a socket holds */
#define FETCH_MS 1500  /* an answer is waited for so long */
#define CANDIDATES 4   /* peers known to have a newer version */
#define REQUEST_MAX 32 /* bytes of a request */
#define REQUESTS_A_TURN 16

typedef struct {
    char name[NAME_LEN];
    addr_t addr;
    uint64_t version;
} candidate_t;

typedef struct {
    daemon_t *d;
    void *ctx, *server;
    void *client; /* the fetch under way, or NULL */
    candidate_t from;
    ms_t deadline;
    size_t n;
    candidate_t waiting[CANDIDATES];
    versions_t versions; /* the one in force and the last few */
    bool want_whole;     /* the last answer didn't fit the version here */
    uint64_t offered;    /* fetched last; decide may not have it yet */
    ms_t offered_at;
    int taken; /* versions of the last answer that were offered */
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

/* Bounds of every socket: a peer that is silent, slow or hostile costs no
 * more than this. */
static void
set_bounds(void *s)
{
    int queue = QUEUE_MAX;
    int linger = 0;
    int wait = 0;
    int handshake = FETCH_MS;
    int64_t most = MESSAGE_MAX;

    zmq_setsockopt(s, ZMQ_RCVHWM, &queue, sizeof(queue));
    zmq_setsockopt(s, ZMQ_SNDHWM, &queue, sizeof(queue));
    zmq_setsockopt(s, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(s, ZMQ_RCVTIMEO, &wait, sizeof(wait));
    zmq_setsockopt(s, ZMQ_SNDTIMEO, &wait, sizeof(wait));
    zmq_setsockopt(s, ZMQ_HANDSHAKE_IVL, &handshake, sizeof(handshake));
    zmq_setsockopt(s, ZMQ_MAXMSGSIZE, &most, sizeof(most));
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
    char where[ADDR_STRLEN + 8];
    int on = 1;

    b->server = zmq_socket(b->ctx, ZMQ_ROUTER);
    if (b->server == NULL) {
        return -errno;
    }
    set_bounds(b->server);
    zmq_setsockopt(b->server, ZMQ_CURVE_SERVER, &on, sizeof(on));
    zmq_setsockopt(b->server, ZMQ_CURVE_SECRETKEY, b->secret_key, Z85_LEN - 1);
    endpoint(where, sizeof(where), &b->d->settings.bulk_addr);
    return zmq_bind(b->server, where) < 0 ? -errno : 0;
}

/* ---- Serving ---- */

static uint64_t
read_request(const char *text)
{
    unsigned long long have;

    return sscanf(text, "GET %llu", &have) == 1 ? have : UINT64_MAX;
}

static void
answer(bulk_t *b, zmq_msg_t *asker, uint64_t have)
{
    int sent;

    if (zmq_msg_send(asker, b->server, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
        return;
    }
    sent = reply_send(b->server, &b->versions, have, clock_now(),
                      FACT(b->d, complete));
    if (sent > 0) {
        counter_add(&b->d->count.bulk_served, 1);
        counter_add(&b->d->count.bulk_bytes, (uint64_t)sent);
    }
}

/* Reads one request: the asker's identity and a frame.  False: none. */
static bool
serve_one(bulk_t *b)
{
    zmq_msg_t asker;
    char text[REQUEST_MAX + 1];
    int n;

    zmq_msg_init(&asker);
    if (zmq_msg_recv(&asker, b->server, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&asker);
        return false;
    }
    n = zmq_recv(b->server, text, REQUEST_MAX, ZMQ_DONTWAIT);
    if (n > 0 && n <= REQUEST_MAX) {
        text[n] = '\0';
        answer(b, &asker, read_request(text));
    }
    zmq_msg_close(&asker);
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
    char where[ADDR_STRLEN + 8];
    char request[REQUEST_MAX];
    int n;

    b->client = zmq_socket(b->ctx, ZMQ_DEALER);
    if (b->client == NULL) {
        return -errno;
    }
    set_bounds(b->client);
    zmq_setsockopt(b->client, ZMQ_CURVE_SERVERKEY, b->public_key, Z85_LEN - 1);
    zmq_setsockopt(b->client, ZMQ_CURVE_PUBLICKEY, b->public_key, Z85_LEN - 1);
    zmq_setsockopt(b->client, ZMQ_CURVE_SECRETKEY, b->secret_key, Z85_LEN - 1);
    endpoint(where, sizeof(where), &b->from.addr);
    n = snprintf(
        request, sizeof(request), "GET %llu",
        (unsigned long long)(b->want_whole ? 0 : b->versions.version));
    if (zmq_connect(b->client, where) < 0 ||
        zmq_send(b->client, request, (size_t)n, ZMQ_DONTWAIT) < 0) {
        fetch_end(b);
        return -errno;
    }
    return 0;
}

/* What was just fetched is on its way to decide: another peer would give the
 * same again, whole to an instance that starts.  Only for a while: should
 * decide refuse it, gossip names the peers again. */
static bool
is_newer(const bulk_t *b, uint64_t version)
{
    if (version <= FACT(b->d, version)) {
        return false;
    }
    return version > b->offered || clock_now() - b->offered_at > FETCH_MS;
}

/* Asks the next candidate that still has something newer. */
static void
fetch_next(bulk_t *b)
{
    while (b->client == NULL && b->n > 0) {
        b->from = b->waiting[--b->n];
        if (!is_newer(b, b->from.version)) {
            continue;
        }
        b->deadline = clock_now() + FETCH_MS;
        if (fetch_connect(b) < 0) {
            counter_add(&b->d->count.bulk_refused, 1);
        }
    }
}

static void
add_candidate(bulk_t *b, const note_t *n)
{
    candidate_t c = {.addr = n->fetch.bulk_addr, .version = n->fetch.version};
    size_t i = 0;

    memcpy(c.name, n->fetch.name, sizeof(c.name));
    while (i < b->n && !addr_eq(&b->waiting[i].addr, &c.addr)) {
        i++;
    }
    if (i == CANDIDATES) {
        return; /* enough of them: gossip names it again */
    }
    b->waiting[i] = c;
    b->n = i == b->n ? i + 1 : b->n;
}

/* All versions are offered, not the newest alone: an instance that starts
 * learns from them which upstreams may hold older requests. */
static void
fetch_take(void *arg, const blob_t *text, ms_t age, bool complete)
{
    bulk_t *b = arg;
    origin_t o = {.part = "bulk",
                  .from = b->from.name,
                  .age = age,
                  .complete = complete};
    char *json = strndup((const char *)text->data, text->len);

    if (json != NULL && offer_bundle(b->d, json, &o) >= 0) {
        b->taken++;
    }
}

/* An answer: the content hash and the version number are checked; a stale or
 * wrong one is dropped and another peer is asked.  A difference that doesn't
 * fit would not fit again, so then all is asked for. */
static void
fetch_answer(bulk_t *b)
{
    int rc;

    b->taken = 0;
    rc = reply_receive(b->client, &b->versions, fetch_take, b);
    fetch_end(b);
    b->want_whole = rc == -EBADMSG;
    if (rc < 0 || b->taken == 0) {
        counter_add(&b->d->count.bulk_refused, 1);
        return;
    }
    b->offered = b->from.version;
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
             "A peer doesn't give its version. peer=%s "
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
        note_t *n = msg;
        if (n->kind == MSG_BUNDLE) {
            versions_add(&b->versions, n->conf.version,
                         clock_now() - n->conf.age, n->conf.json);
            n->conf.json = NULL;
        }
        if (n->kind == MSG_FETCH) {
            add_candidate(b, n);
        }
        msg_drop(n);
    }
}

static void
one_turn(duty_t *self, bulk_t *b)
{
    zmq_pollitem_t item[3] = {
        {.fd = duty_fd(self), .events = ZMQ_POLLIN},
        {.socket = b->server, .events = ZMQ_POLLIN},
        {.socket = b->client, .events = ZMQ_POLLIN},
    };
    long wait = b->client != NULL ? 100 : 1000;

    zmq_poll(item, b->client != NULL ? 3 : 2, duty_sleep(self) ? wait : 0);
    duty_awake(self);
    for (int i = 0; i < REQUESTS_A_TURN && serve_one(b); i++) {
        continue;
    }
    if (b->client != NULL && (item[2].revents & ZMQ_POLLIN)) {
        fetch_answer(b);
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
        log_line(LVL_ERROR, "bulk", "It can't serve peers. error=\"%s\"",
                 zmq_strerror(-rc));
    }
    while (rc == 0 && !duty_stopping(self)) {
        one_turn(self, b);
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
