/* Requests at an upstream stand-in: duplicate detection, queue and slots. */
#include "standin/upstream_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WARMUP_FACTOR 5

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
        si_upstream_answer(u, from, &x->header, m, COAP_CONFLICT, "");
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
    coap_msg_t a = si_upstream_new_answer(u, m, COAP_UNAVAILABLE);

    a.max_age = u->params.refusal_max_age_s;
    x->state = SI_EX_REFUSED;
    ex_answer(u, x, &a);
}

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

void
si_upstream_finish(si_upstream_t *u, ms_t now, si_exchange_t *x)
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
    a = si_upstream_new_answer(
        u, &m, m.code == COAP_GET ? COAP_CONTENT : COAP_CHANGED);
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
    a.payload_len = si_upstream_payload(u, text, id, &x->header);
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

void
si_upstream_start_queued(si_upstream_t *u, ms_t now)
{
    LIST_EACH (it, &u->queue) {
        if (u->n_running >= u->params.slots) {
            return;
        }
        ex_start(u, now, CONTAINER_OF(it, si_exchange_t, work));
    }
}

void
si_upstream_on_request(si_upstream_t *u, ms_t now, const addr_t *from,
                       const spp_t *header, const coap_msg_t *m,
                       const uint8_t *data, size_t len)
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
    room = si_upstream_update_conn(u, now, &header->client) &&
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
    si_upstream_start_queued(u, now);
}
