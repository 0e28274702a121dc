/* Caller stand-in. */
#include "standin/client.h"
#include "standin/feeds.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ID_LEN 40
#define TEXT_LEN 320
#define ECHOES_LOST_MAX 5 /* consecutive losses that break an echo flow */
#define RETRY_MS 200 /* delay before an interrupted feed registers again */

const char *const si_kind_names[SI_KINDS] = {"feed", "ack", "upload", "read",
                                             "echo"};
const char *const si_outcome_names[SI_OUTCOMES] = {
    "answered", "refused", "unknown", "restart",
    "conflict", "other",   "timeout"};

/* The request that awaits its answer. */
typedef struct {
    bool active;
    coap_msg_t msg;
    char id[ID_LEN];
    uint8_t bytes[DATAGRAM_MAX];
    size_t len;
    int transmissions;
    ms_t sent_at, retransmit_at;
    ms_t timeout_ms; /* retransmission timeout */
    bool acked;      /* by an empty ACK: the answer comes separately */
} pending_t;

struct si_client {
    si_client_params_t params;
    si_client_out_t out;
    si_client_stats_t *stats;
    rng_t rng;
    pending_t pending;
    ms_t next_at; /* time of the next request */
    bool stopping;
    uint32_t count; /* payload IDs generated so far */
    uint16_t mid;
    uint32_t token;
    bool open; /* a feed is established */
    uint8_t feed_token_len;
    uint8_t feed_token[COAP_TOKEN_MAX];
    ms_t last_received_at;
    uint32_t block;     /* next block of the upload */
    char upstream[100]; /* source of the last echo: address and epoch */
    int echoes_lost;    /* consecutive lost echoes */
};

static void
log_text(si_client_t *c, const char *line)
{
    if (c->out.log != NULL) {
        c->out.log(c->out.arg, line);
    }
}

static void
log_broken(si_client_t *c, const char *why)
{
    char line[TEXT_LEN], self[ADDR_STRLEN];

    c->stats->broken++;
    snprintf(line, sizeof(line), "broken kind=%s client=%s why=%s",
             si_kind_names[c->params.kind], addr_text(&c->params.self, self),
             why);
    log_text(c, line);
}

static void
log_crossed(si_client_t *c, const char *want, const char *got)
{
    char line[TEXT_LEN], self[ADDR_STRLEN];

    c->stats->crossed++;
    snprintf(line, sizeof(line), "crossed client=%s want=%s got=%.150s",
             addr_text(&c->params.self, self), want, got);
    log_text(c, line);
}

/* ---- Requests ---- */

static void
send_empty(si_client_t *c, coap_type_t type, uint16_t mid)
{
    coap_msg_t m = COAP_MSG_INIT;
    uint8_t b[8];

    m.type = type;
    m.mid = mid;
    c->out.send(c->out.arg, b, (size_t)coap_encode(b, sizeof(b), &m));
}

/* A request of METHOD on PATH with a new message ID and token. */
static coap_msg_t
new_request(si_client_t *c, uint8_t method, const char *path)
{
    coap_msg_t m = COAP_MSG_INIT;

    m.type = COAP_T_CON;
    m.code = method;
    m.mid = c->mid++;
    m.token_len = 4;
    c->token++;
    memcpy(m.token, &c->token, 4);
    m.path_n = 1;
    snprintf(m.path[0], COAP_SEG_MAX, "%s", path);
    return m;
}

static void
send_request(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    pending_t *p = &c->pending;
    int n = coap_encode(p->bytes, sizeof(p->bytes), m);

    if (n < 0) {
        return;
    }
    p->active = true;
    p->acked = false;
    p->msg = *m;
    p->len = (size_t)n;
    p->transmissions = 1;
    p->sent_at = now;
    /* ACK_RANDOM_FACTOR 1.5 */
    p->timeout_ms = c->params.ack_ms +
                    rng_below(&c->rng, (uint32_t)c->params.ack_ms / 2 + 1);
    p->retransmit_at = now + p->timeout_ms;
    c->stats->sent++;
    c->out.send(c->out.arg, p->bytes, p->len);
}

static void
new_id(si_client_t *c)
{
    snprintf(c->pending.id, ID_LEN, "%s-%u", c->params.name, c->count++);
}

static void
send_feed(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_GET, "feed");

    m.observe = 0;
    send_request(c, now, &m);
}

static void
send_post(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_POST, "ack");

    new_id(c);
    m.payload = (const uint8_t *)c->pending.id;
    m.payload_len = strlen(c->pending.id);
    send_request(c, now, &m);
}

static void
send_block(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_POST, "archive");
    bool more = c->block + 1 < c->params.blocks;
    uint8_t data[SI_BLOCK_LEN];

    new_id(c);
    memset(data, ' ', sizeof(data));
    memcpy(data, c->pending.id, strlen(c->pending.id));
    m.block1 = c->block << 4 | (more ? 8 : 0) | SI_BLOCK_SZX;
    m.payload = data;
    m.payload_len = sizeof(data);
    send_request(c, now, &m);
}

static void
send_read(si_client_t *c, ms_t now)
{
    coap_msg_t m = new_request(c, COAP_GET, "state");

    send_request(c, now, &m);
}

static void
send_echo(si_client_t *c, ms_t now)
{
    pending_t *p = &c->pending;

    new_id(c);
    p->active = true;
    p->len = strlen(p->id);
    memcpy(p->bytes, p->id, p->len);
    p->sent_at = now;
    p->retransmit_at = now + c->params.ack_ms;
    p->transmissions = SI_RETRANSMITS + 1; /* opaque: not retransmitted */
    c->stats->sent++;
    c->out.send(c->out.arg, p->bytes, p->len);
}

static void
send_next(si_client_t *c, ms_t now)
{
    switch (c->params.kind) {
    case SI_FEED:
        send_feed(c, now);
        break;
    case SI_POST:
        send_post(c, now);
        break;
    case SI_UPLOAD:
        send_block(c, now);
        break;
    case SI_READ:
        send_read(c, now);
        break;
    case SI_ECHO:
        send_echo(c, now);
        break;
    case SI_KINDS:
        break;
    }
}

/* ---- Outcomes ---- */

static void
log_outcome(si_client_t *c, ms_t now, si_outcome_t o)
{
    char line[TEXT_LEN], self[ADDR_STRLEN];
    const pending_t *p = &c->pending;

    c->stats->outcome[o]++;
    if (o == SI_ANSWERED) {
        hist_add(&c->stats->ms, (uint64_t)(now - p->sent_at));
    }
    if (c->params.kind != SI_POST && c->params.kind != SI_UPLOAD) {
        return;
    }
    snprintf(
        line, sizeof(line),
        "post id=%s outcome=%s kind=%s client=%s mid=%u copies=%d ms=%lld",
        p->id, si_outcome_names[o], si_kind_names[c->params.kind],
        addr_text(&c->params.self, self), p->msg.mid, p->transmissions,
        (long long)(now - p->sent_at));
    log_text(c, line);
}

static void
log_established(si_client_t *c)
{
    char line[TEXT_LEN], self[ADDR_STRLEN];

    c->stats->established++;
    snprintf(line, sizeof(line), "feed established client=%s",
             addr_text(&c->params.self, self));
    log_text(c, line);
}

static void
on_feed_outcome(si_client_t *c, ms_t now, si_outcome_t o, const coap_msg_t *m)
{
    c->next_at = now + (o == SI_ANSWERED ? 0 : RETRY_MS);
    if (o != SI_ANSWERED || m == NULL || m->observe == COAP_NONE) {
        return;
    }
    c->open = true;
    c->last_received_at = now;
    c->feed_token_len = m->token_len;
    memcpy(c->feed_token, m->token, m->token_len);
    log_established(c);
}

static void
log_uploaded(si_client_t *c)
{
    char line[TEXT_LEN], self[ADDR_STRLEN];

    c->stats->uploaded++;
    snprintf(line, sizeof(line), "uploaded client=%s bytes=%u",
             addr_text(&c->params.self, self),
             c->params.blocks * SI_BLOCK_LEN);
    log_text(c, line);
}

/* Handles the outcome of a block. */
static void
on_upload_outcome(si_client_t *c, ms_t now, si_outcome_t o,
                  const coap_msg_t *m)
{
    c->next_at = now;
    if (o == SI_ANSWERED && m->code == COAP_CONTINUE) {
        c->block++;
        return;
    }
    if (o == SI_REFUSED) { /* send the same block again later */
        c->next_at = now + c->params.interval_ms;
        return;
    }
    c->next_at = now + c->params.interval_ms;
    c->block = 0;
    if (o == SI_ANSWERED) {
        log_uploaded(c);
        return;
    }
    log_broken(c, si_outcome_names[o]);
}

static void
on_echo_outcome(si_client_t *c, si_outcome_t o)
{
    c->echoes_lost = o == SI_TIMEOUT ? c->echoes_lost + 1 : 0;
    if (c->echoes_lost == ECHOES_LOST_MAX) {
        c->echoes_lost = 0;
        log_broken(c, "silent");
    }
}

/* Ends the pending request with outcome O; M is the answer, or NULL. */
static void
end_request(si_client_t *c, ms_t now, si_outcome_t o, const coap_msg_t *m)
{
    ms_t wait = c->params.interval_ms;

    log_outcome(c, now, o);
    c->pending.active = false;
    if (o == SI_REFUSED && m != NULL && m->max_age != COAP_NONE) {
        wait = (ms_t)m->max_age * 1000;
    }
    c->next_at = now + wait;
    if (c->params.kind == SI_FEED) {
        on_feed_outcome(c, now, o, m);
    }
    else if (c->params.kind == SI_UPLOAD) {
        on_upload_outcome(c, now, o, m);
    }
    else if (c->params.kind == SI_ECHO) {
        on_echo_outcome(c, o);
    }
    if (o == SI_REFUSED) {
        c->next_at = now + wait;
    }
}

/* ---- Incoming datagrams ---- */

/* Copies the value of KEY ("key=") in a text of "k=v k=v" fields. */
static void
copy_field(char *out, size_t cap, const char *text, const char *key)
{
    size_t n = strlen(key), len;
    const char *p = text;

    out[0] = '\0';
    while (p != NULL && strncmp(p, key, n) != 0) {
        p = strchr(p, ' ');
        p = p != NULL ? p + 1 : NULL;
    }
    if (p == NULL) {
        return;
    }
    len = strcspn(p + n, " ");
    len = len < cap ? len : cap - 1;
    memcpy(out, p + n, len);
    out[len] = '\0';
}

/* Checks that an answer names this client, its service and, unless WANT_ID is
 * NULL, its request. */
static void
check_own(si_client_t *c, const coap_msg_t *m, const char *want_id)
{
    char text[TEXT_LEN], got[ADDR_STRLEN], want[ADDR_STRLEN], id[ID_LEN];
    size_t n = m->payload_len < TEXT_LEN ? m->payload_len : TEXT_LEN - 1;

    memcpy(text, m->payload != NULL ? (const char *)m->payload : "", n);
    text[n] = '\0';
    copy_field(got, sizeof(got), text, "client=");
    if (strcmp(got, addr_text(&c->params.self, want)) != 0) {
        log_crossed(c, want, text);
        return;
    }
    copy_field(got, sizeof(got), text, "service=");
    if (strcmp(got, addr_text(&c->params.service, want)) != 0) {
        log_crossed(c, want, text);
        return;
    }
    copy_field(id, sizeof(id), text, "id=");
    if (want_id != NULL && strcmp(id, want_id) != 0) {
        log_crossed(c, want_id, text);
    }
}

static si_outcome_t
outcome_of(uint8_t code)
{
    if (code >> 5 == 2) {
        return SI_ANSWERED;
    }
    switch (code) {
    case COAP_UNAVAILABLE:
        return SI_REFUSED;
    case COAP_GW_TIMEOUT:
        return SI_UNKNOWN;
    case COAP_INCOMPLETE:
        return SI_RESTART;
    case COAP_CONFLICT:
        return SI_CONFLICT;
    default:
        return SI_OTHER;
    }
}

static void
on_answer(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    si_outcome_t o = outcome_of(m->code);
    char received[ID_LEN];
    const char *want = NULL;

    if (c->params.kind == SI_POST) {
        want = c->pending.id;
    }
    if (c->params.kind == SI_UPLOAD) { /* the bytes received so far */
        snprintf(received, sizeof(received), "%u",
                 (c->block + 1) * SI_BLOCK_LEN);
        want = received;
    }
    if (o == SI_ANSWERED) {
        check_own(c, m, want);
    }
    end_request(c, now, o, m);
}

static void
break_feed(si_client_t *c, ms_t now, const char *why)
{
    c->open = false;
    c->next_at = now + RETRY_MS;
    log_broken(c, why);
}

static bool
matches_feed(const si_client_t *c, const coap_msg_t *m)
{
    return c->open && m->token_len == c->feed_token_len &&
           memcmp(m->token, c->feed_token, m->token_len) == 0;
}

static void
on_notification(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    if (m->type == COAP_T_CON) {
        send_empty(c, COAP_T_ACK, m->mid);
    }
    if (m->code >> 5 != 2) {
        break_feed(c, now, si_outcome_names[outcome_of(m->code)]);
        return;
    }
    c->last_received_at = now;
    if (m->observe != COAP_NONE) {
        c->stats->notified++;
        check_own(c, m, NULL);
    }
}

static void
on_empty(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    bool mine = c->pending.active && c->pending.msg.mid == m->mid;

    if (m->type == COAP_T_ACK && mine) {
        c->pending.acked = true;
    }
    else if (m->type == COAP_T_RST && mine) {
        end_request(c, now, SI_OTHER, NULL);
    }
    else if (m->type == COAP_T_RST && c->open) {
        break_feed(c, now, "reset");
    }
    else if (m->type == COAP_T_CON) { /* a ping, RFC 7252 4.3 */
        send_empty(c, COAP_T_RST, m->mid);
    }
}

static bool
matches_pending(const si_client_t *c, const coap_msg_t *m)
{
    const pending_t *p = &c->pending;

    if (!p->active || m->token_len != p->msg.token_len ||
        memcmp(m->token, p->msg.token, m->token_len) != 0) {
        return false;
    }
    return m->type != COAP_T_ACK || m->mid == p->msg.mid;
}

static void
on_response(si_client_t *c, ms_t now, const coap_msg_t *m)
{
    if (matches_pending(c, m)) {
        if (m->type == COAP_T_CON) {
            send_empty(c, COAP_T_ACK, m->mid);
        }
        on_answer(c, now, m);
        return;
    }
    if (matches_feed(c, m)) {
        on_notification(c, now, m);
        return;
    }
    /* Belongs to an earlier request or feed: reject (RFC 7252 4.2). */
    if (m->type == COAP_T_CON || m->type == COAP_T_NON) {
        send_empty(c, COAP_T_RST, m->mid);
    }
}

/* Handles an echo: "upstream=U epoch=E ID". */
static void
on_echo(si_client_t *c, ms_t now, const uint8_t *data, size_t len)
{
    char text[TEXT_LEN], upstream[64], epoch[16], source[100];
    size_t n = len < TEXT_LEN ? len : TEXT_LEN - 1;
    const char *id;

    memcpy(text, data, n);
    text[n] = '\0';
    id = strrchr(text, ' ');
    if (id == NULL || !c->pending.active ||
        strcmp(id + 1, c->pending.id) != 0) {
        return; /* belongs to an earlier request */
    }
    copy_field(upstream, sizeof(upstream), text, "upstream=");
    copy_field(epoch, sizeof(epoch), text, "epoch=");
    snprintf(source, sizeof(source), "%s/%s", upstream, epoch);
    if (c->upstream[0] != '\0' && strcmp(source, c->upstream) != 0) {
        log_broken(c, "moved");
    }
    memcpy(c->upstream, source, sizeof(source));
    end_request(c, now, SI_ANSWERED, NULL);
}

void
si_client_receive(si_client_t *c, ms_t now, const uint8_t *data, size_t len)
{
    coap_msg_t m;

    if (c->params.kind == SI_ECHO) {
        on_echo(c, now, data, len);
        return;
    }
    if (coap_decode(&m, data, len) < 0) {
        log_crossed(c, "coap", "malformed");
        return;
    }
    if (m.code == COAP_EMPTY) {
        on_empty(c, now, &m);
    }
    else if (coap_is_response(&m)) {
        on_response(c, now, &m);
    }
}

/* ---- Timers ---- */

static void
retransmit(si_client_t *c, ms_t now)
{
    pending_t *p = &c->pending;

    if (p->transmissions > SI_RETRANSMITS) {
        end_request(c, now, SI_TIMEOUT, NULL);
        return;
    }
    p->timeout_ms *= 2;
    p->retransmit_at = now + p->timeout_ms;
    p->transmissions++;
    if (p->acked) {
        return; /* the request arrived; only wait for the answer */
    }
    c->stats->retransmitted++;
    c->out.send(c->out.arg, p->bytes, p->len);
}

void
si_client_tick(si_client_t *c, ms_t now)
{
    if (c->pending.active && now >= c->pending.retransmit_at) {
        retransmit(c, now);
    }
    if (c->open && now - c->last_received_at > c->params.silence_timeout_ms) {
        break_feed(c, now, "silent");
    }
    if (!c->pending.active && !c->open && !c->stopping && now >= c->next_at) {
        send_next(c, now);
    }
}

void
si_client_stop(si_client_t *c)
{
    coap_msg_t m = COAP_MSG_INIT;
    uint8_t b[64];
    int n;

    c->stopping = true;
    if (!c->open) {
        return;
    }
    c->open = false;
    m.type = COAP_T_NON;
    m.code = COAP_GET;
    m.mid = c->mid++;
    m.observe = 1;
    m.token_len = c->feed_token_len;
    memcpy(m.token, c->feed_token, m.token_len);
    m.path_n = 1;
    strcpy(m.path[0], "feed");
    n = coap_encode(b, sizeof(b), &m);
    if (n > 0) {
        c->out.send(c->out.arg, b, (size_t)n);
    }
}

bool
si_client_idle(const si_client_t *c)
{
    return !c->pending.active;
}

void
si_client_abort(si_client_t *c, ms_t now)
{
    if (c->pending.active) {
        end_request(c, now, SI_TIMEOUT, NULL);
    }
}

si_client_t *
si_client_new(const si_client_params_t *p, const si_client_out_t *out,
              si_client_stats_t *stats, ms_t now)
{
    si_client_t *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->params = *p;
    c->out = *out;
    c->stats = stats;
    c->rng = (rng_t){.seed = p->seed};
    c->mid = (uint16_t)rng_next(&c->rng);
    c->token = (uint32_t)rng_next(&c->rng);
    /* Random delay so that the clients don't all start at once. */
    c->next_at = now + rng_below(&c->rng, (uint32_t)p->interval_ms + 1);
    return c;
}

void
si_client_free(si_client_t *c)
{
    free(c);
}
