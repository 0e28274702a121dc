/* Upstream stand-in: duplicate detection, slots, cancelled requests, uploads,
 * load. */
#include "standin/upstream.h"
#include "standin/conns.h"
#include "standin/exchanges.h"
#include "standin/feeds.h"
#include "standin/uploads.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WARMUP_FACTOR 5
#define PAYLOAD_MAX 200
#define FORBIDDEN COAP_C(4, 3)

struct si_upstream {
    si_upstream_params_t params;
    si_upstream_out_t out;
    si_upstream_stats_t stats;
    si_feeds_t feeds;
    si_exchanges_t exchanges;
    si_conns_t conns;
    si_uploads_t uploads;
    link_t queue, running; /* exchanges, linked by their work field */
    uint32_t n_queue, n_running;
    uint16_t mid;
    ms_t now;   /* time of the current tick */
    ms_t up_at; /* unreachable before */
    ms_t next_expiry_at;
    bool draining, frozen;
    int fake_busy; /* busy requests to report; negative: the real value */
    ms_t reported_at;
    uint32_t reported_busy, reported_queued, reported_conn;
};

/* ---- Sending ---- */

static void
send_coap(si_upstream_t *u, const addr_t *to, const spp_t *header,
          const coap_msg_t *m)
{
    uint8_t b[SPP_LEN + DATAGRAM_MAX];
    int n = coap_encode(b + SPP_LEN, DATAGRAM_MAX, m);

    if (n < 0) {
        return;
    }
    spp_write(b, header);
    u->out.send(u->out.arg, to, b, SPP_LEN + (size_t)n);
}

/* Returns an answer to M with CODE and no payload. */
static coap_msg_t
new_answer(si_upstream_t *u, const coap_msg_t *m, uint8_t code)
{
    coap_msg_t a = COAP_MSG_INIT;

    a.type = m->type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON;
    a.code = code;
    a.mid = m->type == COAP_T_CON ? m->mid : u->mid++;
    a.token_len = m->token_len;
    memcpy(a.token, m->token, m->token_len);
    return a;
}

static void
answer_text(si_upstream_t *u, const addr_t *to, const spp_t *header,
            const coap_msg_t *m, uint8_t code, const char *text)
{
    coap_msg_t a = new_answer(u, m, code);

    a.payload = (const uint8_t *)text;
    a.payload_len = strlen(text);
    send_coap(u, to, header, &a);
}

/* ---- Answers ---- */

/* Sends answer A, and stores the encoded answer for duplicates. */
static void
ex_answer(si_upstream_t *u, si_exchange_t *x, const coap_msg_t *a)
{
    uint8_t b[SPP_LEN + DATAGRAM_MAX];
    int n = coap_encode(b + SPP_LEN, DATAGRAM_MAX, a);

    if (n < 0) {
        return;
    }
    spp_write(b, &x->header);
    x->answer_len = SPP_LEN + (size_t)n;
    free(x->answer);
    x->answer = malloc(x->answer_len);
    if (x->answer == NULL) {
        x->answer_len = 0;
        return;
    }
    memcpy(x->answer, b, x->answer_len);
    u->out.send(u->out.arg, &x->from, x->answer, x->answer_len);
}

static void
ex_duplicate(si_upstream_t *u, si_exchange_t *x, const addr_t *from,
             const coap_msg_t *m)
{
    x->from = *from;
    if (x->state == SI_EX_CANCELLED) {
        u->stats.cancelled++;
        answer_text(u, from, &x->header, m, COAP_CONFLICT, "");
        return;
    }
    u->stats.duplicates++;
    if (x->answer != NULL) {
        u->out.send(u->out.arg, from, x->answer, x->answer_len);
    }
}

/* Refuses a request that has not started, for good. */
static void
ex_refuse(si_upstream_t *u, si_exchange_t *x, const coap_msg_t *m)
{
    coap_msg_t a = new_answer(u, m, COAP_UNAVAILABLE);

    a.max_age = u->params.refusal_max_age_s;
    x->state = SI_EX_REFUSED;
    ex_answer(u, x, &a);
}

/* False when the client is new and can't be added. */
static bool
update_conn(si_upstream_t *u, ms_t now, const addr_t *client)
{
    bool room = !u->draining && u->conns.n < u->params.connections;

    return si_conns_update(&u->conns, now, client, room);
}

/* ---- Running requests ---- */

/* Extracts the payload ID: the first word of the payload. */
static void
payload_id(char id[SI_ID_MAX], const coap_msg_t *m)
{
    size_t n = 0;

    while (n < m->payload_len && n < SI_ID_MAX - 1 && m->payload[n] > ' ' &&
           m->payload[n] < 127) {
        id[n] = (char)m->payload[n];
        n++;
    }
    id[n] = '\0';
    if (n == 0) {
        strcpy(id, "-");
    }
}

static void
log_run(si_upstream_t *u, const char *what, const si_exchange_t *x,
        const coap_msg_t *m)
{
    char service[ADDR_STRLEN], self[ADDR_STRLEN], client[ADDR_STRLEN];
    char id[SI_ID_MAX], token[2 * COAP_TOKEN_MAX + 1] = "-", line[400];

    u->stats.executed++;
    if (u->out.log == NULL) {
        return;
    }
    for (int i = 0; i < m->token_len; i++) {
        snprintf(token + 2 * i, 3, "%02x", m->token[i]);
    }
    payload_id(id, m);
    snprintf(line, sizeof(line),
             "%s service=%s upstream=%s epoch=%u client=%s mid=%u token=%s "
             "path=%s id=%s",
             what, addr_text(&x->header.service, service),
             addr_text(&u->params.addr, self), u->params.epoch,
             addr_text(&x->header.client, client), m->mid, token,
             m->path_n > 0 ? m->path[0] : "-", id);
    u->out.log(u->out.arg, line);
}

/* Formats the payload of an answer, which names the request and the upstream
 * so that a caller can detect a misrouted answer. */
static size_t
answer_payload(si_upstream_t *u, char out[PAYLOAD_MAX], const char *id,
               const spp_t *header)
{
    char service[ADDR_STRLEN], client[ADDR_STRLEN], self[ADDR_STRLEN];
    int n = snprintf(out, PAYLOAD_MAX,
                     "id=%s client=%s service=%s upstream=%s epoch=%u", id,
                     addr_text(&header->client, client),
                     addr_text(&u->params.service, service),
                     addr_text(&u->params.addr, self), u->params.epoch);

    return n < PAYLOAD_MAX ? (size_t)n : PAYLOAD_MAX - 1;
}

/* Registers or removes a feed; returns the answer's Observe value. */
static uint32_t
observe(si_upstream_t *u, ms_t now, const si_exchange_t *x,
        const coap_msg_t *m)
{
    if (m->observe == 1) {
        si_feeds_remove(&u->feeds, &x->header.client, m);
        return COAP_NONE;
    }
    if (m->observe != 0) {
        return COAP_NONE;
    }
    return si_feeds_add(&u->feeds, now, &x->header, &x->from, m) ? 0
                                                                 : COAP_NONE;
}

/* Handles a block of an upload.  A block that is answered 4.08 is not
 * accepted. The last block runs the upload as a whole. */
static uint8_t
on_block(si_upstream_t *u, const si_exchange_t *x, const coap_msg_t *m,
         uint64_t *bytes)
{
    uint8_t code =
        si_uploads_on_block(&u->uploads, &x->header.client, m, bytes);

    if (code == COAP_CONTINUE) {
        log_run(u, "block", x, m);
    }
    if (code == COAP_CHANGED) {
        log_run(u, "run", x, m);
    }
    return code;
}

static void
ex_finish(si_upstream_t *u, ms_t now, si_exchange_t *x)
{
    coap_msg_t m, a;
    char id[SI_ID_MAX], text[PAYLOAD_MAX];
    uint64_t bytes = 0;

    list_remove(&x->work);
    u->n_running--;
    x->state = SI_EX_DONE;
    if (coap_decode(&m, x->request, x->request_len) < 0) {
        return;
    }
    a = new_answer(u, &m, m.code == COAP_GET ? COAP_CONTENT : COAP_CHANGED);
    payload_id(id, &m);
    if (m.code == COAP_GET) {
        a.observe = observe(u, now, x, &m);
    }
    else if (m.block1 != COAP_NONE) {
        a.code = on_block(u, x, &m, &bytes);
        a.block1 = m.block1;
        snprintf(id, sizeof(id), "%llu", (unsigned long long)bytes);
    }
    a.payload = (const uint8_t *)text;
    a.payload_len = answer_payload(u, text, id, &x->header);
    ex_answer(u, x, &a);
    free(x->request);
    x->request = NULL;
}

static void
ex_start(si_upstream_t *u, ms_t now, si_exchange_t *x)
{
    ms_t duration_ms = u->params.service_ms;
    coap_msg_t m;

    list_remove(&x->work);
    u->n_queue--;
    if (coap_decode(&m, x->request, x->request_len) < 0) {
        x->state = SI_EX_DONE;
        return;
    }
    if (now > x->deadline) {
        u->stats.late++;
        ex_refuse(u, x, &m);
        return;
    }
    if (now < u->up_at + u->params.warmup_ms) {
        duration_ms *= WARMUP_FACTOR;
    }
    x->state = SI_EX_RUNNING;
    x->done_at = now + duration_ms;
    list_append(&u->running, &x->work);
    u->n_running++;
    if (m.block1 == COAP_NONE) {
        log_run(u, "run", x, &m);
    }
}

static void
start_queued(si_upstream_t *u, ms_t now)
{
    LIST_EACH (it, &u->queue) {
        if (u->n_running >= u->params.slots) {
            return;
        }
        ex_start(u, now, CONTAINER_OF(it, si_exchange_t, work));
    }
}

/* ---- Incoming datagrams ---- */

static void
on_request(si_upstream_t *u, ms_t now, const addr_t *from, const spp_t *header,
           const coap_msg_t *m, const uint8_t *data, size_t len)
{
    si_exchange_t *x =
        si_exchanges_find(&u->exchanges, &header->client, m->mid);
    bool room;

    if (x != NULL) {
        ex_duplicate(u, x, from, m);
        return;
    }
    x = si_exchanges_add(&u->exchanges, now, header, m->mid);
    if (x == NULL) {
        u->stats.shed++;
        return;
    }
    x->from = *from;
    x->deadline =
        m->max_age == COAP_NONE ? MS_NEVER : now + (ms_t)m->max_age * 1000;
    room = update_conn(u, now, &header->client) &&
           u->n_queue < (uint32_t)u->params.queue + u->params.slots;
    x->request = room ? malloc(len) : NULL;
    if (x->request == NULL) {
        u->stats.shed++;
        ex_refuse(u, x, m);
        return;
    }
    memcpy(x->request, data, len);
    x->request_len = len;
    x->state = SI_EX_QUEUED;
    list_append(&u->queue, &x->work);
    u->n_queue++;
    start_queued(u, now);
}

static void
log_misdelivered(si_upstream_t *u, const spp_t *header)
{
    char service[ADDR_STRLEN], self[ADDR_STRLEN], client[ADDR_STRLEN];
    char own[ADDR_STRLEN], line[300];

    u->stats.misdelivered++;
    if (u->out.log == NULL) {
        return;
    }
    snprintf(line, sizeof(line),
             "misdelivered service=%s upstream=%s own=%s client=%s",
             addr_text(&header->service, service),
             addr_text(&u->params.addr, self),
             addr_text(&u->params.service, own),
             addr_text(&header->client, client));
    u->out.log(u->out.arg, line);
}

static void
refresh_load(si_upstream_t *u, ms_t now)
{
    if (u->frozen || now < u->reported_at + u->params.load_lag_ms) {
        return;
    }
    u->reported_at = now;
    u->reported_busy = u->n_running;
    u->reported_queued = u->n_queue;
    u->reported_conn = u->conns.n;
}

static void
on_load(si_upstream_t *u, ms_t now, const addr_t *from, const spp_t *header,
        const coap_msg_t *m)
{
    char service[ADDR_STRLEN], text[PAYLOAD_MAX + 64];

    if (!addr_eq(&header->service, &u->params.service)) {
        u->stats.probe_mismatch++;
    }
    refresh_load(u, now);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"epoch\":%u,\"busy\":%u,\"queued\":%u,"
             "\"slots\":%u,\"connections\":%u,\"draining\":%s,"
             "\"age_ms\":%lld}",
             addr_text(&u->params.service, service), u->params.epoch,
             u->fake_busy >= 0 ? (uint32_t)u->fake_busy : u->reported_busy,
             u->fake_busy >= 0 ? 0 : u->reported_queued, u->params.slots,
             u->reported_conn, u->draining ? "true" : "false",
             (long long)(now - u->up_at));
    answer_text(u, from, header, m, COAP_CONTENT, text);
}

/* Parses "c=IP:PORT&m=MID&o=OWNER"; the owner is optional. */
static int
cancel_parse(const char *query, addr_t *client, uint16_t *mid,
             const char **owner)
{
    char text[ADDR_STRLEN];
    const char *amp = strstr(query, "&m=");
    const char *by = strstr(query, "&o=");
    size_t n;

    if (strncmp(query, "c=", 2) != 0 || amp == NULL) {
        return -EINVAL;
    }
    n = (size_t)(amp - query - 2);
    if (n >= sizeof(text)) {
        return -EINVAL;
    }
    memcpy(text, query + 2, n);
    text[n] = '\0';
    *mid = (uint16_t)strtoul(amp + 3, NULL, 10);
    *owner = by == NULL ? "" : by + 3;
    return addr_parse(client, text);
}

/* Cancels the request unless it has started; returns its state, or NULL when
 * the exchange can't be added. */
static const char *
cancel_exchange(si_upstream_t *u, ms_t now, const spp_t *header, uint16_t mid,
                const char *owner, char *by, size_t by_cap)
{
    si_exchange_t *x = si_exchanges_find(&u->exchanges, &header->client, mid);
    coap_msg_t m;

    if (x == NULL) {
        x = si_exchanges_add(&u->exchanges, now, header, mid);
        if (x == NULL) {
            return NULL;
        }
        x->state = SI_EX_CANCELLED;
    }
    if (x->state != SI_EX_RUNNING && x->state != SI_EX_DONE) {
        if (x->cancelled_by[0] == '\0') {
            snprintf(x->cancelled_by, sizeof(x->cancelled_by), "%s", owner);
        }
        snprintf(by, by_cap, "%s", x->cancelled_by);
    }
    switch (x->state) {
    case SI_EX_RUNNING:
        return "running";
    case SI_EX_DONE:
        return "done";
    case SI_EX_REFUSED:
    case SI_EX_CANCELLED:
        return "barred";
    case SI_EX_QUEUED:
        break;
    }
    list_remove(&x->work);
    u->n_queue--;
    x->state = SI_EX_CANCELLED;
    if (coap_decode(&m, x->request, x->request_len) == 0) {
        answer_text(u, &x->from, &x->header, &m, COAP_CONFLICT, "");
    }
    return "barred";
}

static void
on_cancel(si_upstream_t *u, ms_t now, const addr_t *from, const spp_t *header,
          const coap_msg_t *m)
{
    spp_t target = {.service = u->params.service};
    const char *state, *owner;
    uint16_t mid;
    char text[128], by[20] = "";

    if (!addr_eq(&header->service, &u->params.service)) {
        u->stats.probe_mismatch++;
        answer_text(u, from, header, m, FORBIDDEN, "");
        return;
    }
    if (cancel_parse(m->query, &target.client, &mid, &owner) < 0) {
        answer_text(u, from, header, m, COAP_BAD_REQUEST, "");
        return;
    }
    state = cancel_exchange(u, now, &target, mid, owner, by, sizeof(by));
    if (state == NULL) {
        answer_text(u, from, header, m, COAP_UNAVAILABLE, "");
        return;
    }
    snprintf(text, sizeof(text), "{\"state\":\"%s\"%s%s%s,\"epoch\":%u}",
             state, by[0] == '\0' ? "" : ",\"by\":\"", by,
             by[0] == '\0' ? "" : "\"", u->params.epoch);
    answer_text(u, from, header, m, COAP_DELETED, text);
}

static void
on_empty(si_upstream_t *u, ms_t now, const addr_t *from, const spp_t *header,
         const coap_msg_t *m)
{
    coap_msg_t rst = COAP_MSG_INIT;

    if (m->type == COAP_T_ACK || m->type == COAP_T_RST) {
        update_conn(u, now, &header->client);
        si_feeds_on_empty(&u->feeds, &header->client, m);
        return;
    }
    if (m->type == COAP_T_CON) { /* a ping, RFC 7252 4.3 */
        rst.type = COAP_T_RST;
        rst.mid = m->mid;
        send_coap(u, from, header, &rst);
    }
}

/* Echoes an opaque datagram, prefixed with the upstream's address and epoch.
 */
static void
on_opaque(si_upstream_t *u, ms_t now, const addr_t *from, const spp_t *header,
          const uint8_t *data, size_t len)
{
    uint8_t b[SPP_LEN + PAYLOAD_MAX + DATAGRAM_MAX];
    char self[ADDR_STRLEN];
    int n;

    if (!update_conn(u, now, &header->client)) {
        u->stats.shed++;
        return;
    }
    u->stats.echoed++;
    spp_write(b, header);
    n = snprintf((char *)b + SPP_LEN, PAYLOAD_MAX, "upstream=%s epoch=%u ",
                 addr_text(&u->params.addr, self), u->params.epoch);
    memcpy(b + SPP_LEN + n, data, len);
    u->out.send(u->out.arg, from, b, SPP_LEN + (size_t)n + len);
}

static void
on_misdelivered(si_upstream_t *u, const addr_t *from, const spp_t *header,
                const coap_msg_t *m)
{
    log_misdelivered(u, header);
    if (m != NULL && coap_is_request(m)) {
        answer_text(u, from, header, m, FORBIDDEN, "");
    }
}

void
si_upstream_receive(si_upstream_t *u, ms_t now, const addr_t *from,
                    const uint8_t *data, size_t len)
{
    spp_t header;
    coap_msg_t m;
    bool is_coap, own;

    if (now < u->up_at) {
        return;
    }
    if (spp_read(&header, data, len) < 0 || len > SPP_LEN + DATAGRAM_MAX) {
        u->stats.malformed++;
        return;
    }
    data += SPP_LEN;
    len -= SPP_LEN;
    own = addr_eq(&header.service, &u->params.service);
    is_coap = coap_decode(&m, data, len) == 0;
    if (is_coap && m.code == COAP_GET &&
        coap_path_is(&m, ".well-known", "load")) {
        on_load(u, now, from, &header, &m);
    }
    else if (is_coap && m.code == COAP_DELETE &&
             coap_path_is(&m, ".well-known", "exchange")) {
        on_cancel(u, now, from, &header, &m);
    }
    else if (!own) {
        on_misdelivered(u, from, &header, is_coap ? &m : NULL);
    }
    else if (u->params.opaque) {
        on_opaque(u, now, from, &header, data, len);
    }
    else if (!is_coap) {
        u->stats.malformed++;
    }
    else if (m.code == COAP_EMPTY) {
        on_empty(u, now, from, &header, &m);
    }
    else if (coap_is_request(&m)) {
        on_request(u, now, from, &header, &m, data, len);
    }
}

/* ---- Timers ---- */

static void
notify(void *arg, const si_feed_t *f, const coap_msg_t *m)
{
    si_upstream_t *u = arg;
    coap_msg_t full = *m;
    char id[SI_ID_MAX], text[PAYLOAD_MAX];

    si_conns_update(&u->conns, u->now, &f->header.client, false);
    snprintf(id, sizeof(id), "n%u", m->observe);
    full.payload = (const uint8_t *)text;
    full.payload_len = answer_payload(u, text, id, &f->header);
    send_coap(u, &f->from, &f->header, &full);
}

void
si_upstream_tick(si_upstream_t *u, ms_t now)
{
    u->now = now;
    if (now < u->up_at) {
        return;
    }
    LIST_EACH (it, &u->running) {
        si_exchange_t *x = CONTAINER_OF(it, si_exchange_t, work);
        if (now >= x->done_at) {
            ex_finish(u, now, x);
        }
    }
    start_queued(u, now);
    refresh_load(u, now);
    si_feeds_tick(&u->feeds, now, notify, u);
    if (now >= u->next_expiry_at) {
        u->next_expiry_at = now + 1000;
        si_exchanges_expire(&u->exchanges, now);
        si_conns_expire(&u->conns, now - u->params.idle_ms);
    }
}

/* ---- Lifecycle ---- */

static void
clear_state(si_upstream_t *u)
{
    si_exchanges_clear(&u->exchanges);
    si_uploads_clear(&u->uploads);
    si_conns_expire(&u->conns, MS_NEVER);
    si_feeds_clear(&u->feeds);
    u->n_queue = u->n_running = 0;
    u->reported_busy = u->reported_queued = u->reported_conn = 0;
}

si_upstream_t *
si_upstream_new(const si_upstream_params_t *p, const si_upstream_out_t *out,
                ms_t now)
{
    si_upstream_t *u = calloc(1, sizeof(*u));

    if (u == NULL) {
        return NULL;
    }
    u->params = *p;
    u->out = *out;
    u->up_at = now;
    u->fake_busy = -1;
    si_exchanges_init(&u->exchanges);
    si_uploads_init(&u->uploads);
    list_init(&u->queue);
    list_init(&u->running);
    si_feeds_init(&u->feeds);
    u->feeds.period_ms = p->notify_interval_ms;
    u->feeds.con_every = p->con_every;
    u->feeds.ack_ms = p->ack_ms;
    u->feeds.max = p->connections;
    return u;
}

void
si_upstream_free(si_upstream_t *u)
{
    if (u == NULL) {
        return;
    }
    clear_state(u);
    free(u);
}

void
si_upstream_restart(si_upstream_t *u, ms_t now, ms_t down_ms,
                    const addr_t *service)
{
    clear_state(u);
    u->params.epoch++;
    u->up_at = now + down_ms;
    u->draining = false;
    if (service != NULL) {
        u->params.service = *service;
    }
}

void
si_upstream_kill(si_upstream_t *u)
{
    u->up_at = MS_NEVER;
}

void
si_upstream_drain(si_upstream_t *u, bool on)
{
    u->draining = on;
}

void
si_upstream_freeze(si_upstream_t *u, bool on)
{
    u->frozen = on;
}

void
si_upstream_fake_load(si_upstream_t *u, int busy)
{
    u->fake_busy = busy;
}

const si_upstream_params_t *
si_upstream_params(const si_upstream_t *u)
{
    return &u->params;
}

const si_upstream_stats_t *
si_upstream_stats(const si_upstream_t *u)
{
    return &u->stats;
}

json_t *
si_upstream_json(const si_upstream_t *u)
{
    char service[ADDR_STRLEN], self[ADDR_STRLEN];
    const si_upstream_stats_t *s = &u->stats;
    json_t *o =
        json_pack("{ssss}", "service", addr_text(&u->params.service, service),
                  "upstream", addr_text(&u->params.addr, self));
    const struct {
        const char *name;
        uint64_t v;
    } fields[] = {{"epoch", u->params.epoch},
                  {"executed", s->executed},
                  {"duplicates", s->duplicates},
                  {"barred", s->cancelled},
                  {"shed", s->shed},
                  {"late", s->late},
                  {"misdelivered", s->misdelivered},
                  {"probe_mismatch", s->probe_mismatch},
                  {"malformed", s->malformed},
                  {"echoed", s->echoed},
                  {"connections", u->conns.n},
                  {"feeds", u->feeds.n},
                  {"notified", u->feeds.notified},
                  {"feeds_lost", u->feeds.lost}};

    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        json_object_set_new(o, fields[i].name,
                            json_integer((json_int_t)fields[i].v));
    }
    return o;
}
