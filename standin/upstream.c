/* Upstream stand-in: incoming datagrams, timers, lifecycle. */
#include "standin/upstream_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
si_upstream_update_conn(si_upstream_t *u, ms_t now, const addr_t *client)
{
    bool room = !u->draining && u->conns.n < u->params.connections;

    return si_conns_update(&u->conns, now, client, room);
}

/* ---- Incoming datagrams ---- */

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
on_empty(si_upstream_t *u, ms_t now, const addr_t *from, const spp_t *header,
         const coap_msg_t *m)
{
    coap_msg_t rst = COAP_MSG_INIT;

    if (m->type == COAP_T_ACK || m->type == COAP_T_RST) {
        si_upstream_update_conn(u, now, &header->client);
        si_feeds_on_empty(&u->feeds, &header->client, m);
        return;
    }
    if (m->type == COAP_T_CON) { /* a ping, RFC 7252 4.3 */
        rst.type = COAP_T_RST;
        rst.mid = m->mid;
        si_upstream_send(u, from, header, &rst);
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

    if (!si_upstream_update_conn(u, now, &header->client)) {
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
        si_upstream_answer(u, from, header, m, FORBIDDEN, "");
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
        si_upstream_on_load(u, now, from, &header, &m);
    }
    else if (is_coap && m.code == COAP_DELETE &&
             coap_path_is(&m, ".well-known", "exchange")) {
        si_upstream_on_cancel(u, now, from, &header, &m);
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
        si_upstream_on_request(u, now, from, &header, &m, data, len);
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
    full.payload_len = si_upstream_payload(u, text, id, &f->header);
    si_upstream_send(u, &f->from, &f->header, &full);
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
            si_upstream_finish(u, now, x);
        }
    }
    si_upstream_start_queued(u, now);
    si_upstream_refresh_load(u, now);
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
