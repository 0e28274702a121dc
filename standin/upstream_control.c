/* Load endpoint of an upstream stand-in, and cancellations. */
#include "standin/upstream_state.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
si_upstream_refresh_load(si_upstream_t *u, ms_t now)
{
    if (u->frozen || now < u->reported_at + u->params.load_lag_ms) {
        return;
    }
    u->reported_at = now;
    u->reported_busy = u->n_running;
    u->reported_queued = u->n_queue;
    u->reported_conn = u->conns.n;
}

void
si_upstream_on_load(si_upstream_t *u, ms_t now, const addr_t *from,
                    const spp_t *header, const coap_msg_t *m)
{
    char service[ADDR_STRLEN], text[PAYLOAD_MAX + 64];

    if (!addr_eq(&header->service, &u->params.service)) {
        u->stats.probe_mismatch++;
    }
    si_upstream_refresh_load(u, now);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"epoch\":%u,\"busy\":%u,\"queued\":%u,"
             "\"slots\":%u,\"connections\":%u,\"draining\":%s,"
             "\"age_ms\":%lld}",
             addr_text(&u->params.service, service), u->params.epoch,
             u->fake_busy >= 0 ? (uint32_t)u->fake_busy : u->reported_busy,
             u->fake_busy >= 0 ? 0 : u->reported_queued, u->params.slots,
             u->reported_conn, u->draining ? "true" : "false",
             (long long)(now - u->up_at));
    si_upstream_answer(u, from, header, m, COAP_CONTENT, text);
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
        si_upstream_answer(u, &x->from, &x->header, &m, COAP_CONFLICT, "");
    }
    return "barred";
}

void
si_upstream_on_cancel(si_upstream_t *u, ms_t now, const addr_t *from,
                      const spp_t *header, const coap_msg_t *m)
{
    spp_t target = {.service = u->params.service};
    const char *state, *owner;
    uint16_t mid;
    char text[128], by[20] = "";

    if (!addr_eq(&header->service, &u->params.service)) {
        u->stats.probe_mismatch++;
        si_upstream_answer(u, from, header, m, FORBIDDEN, "");
        return;
    }
    if (cancel_parse(m->query, &target.client, &mid, &owner) < 0) {
        si_upstream_answer(u, from, header, m, COAP_BAD_REQUEST, "");
        return;
    }
    state = cancel_exchange(u, now, &target, mid, owner, by, sizeof(by));
    if (state == NULL) {
        si_upstream_answer(u, from, header, m, COAP_UNAVAILABLE, "");
        return;
    }
    snprintf(text, sizeof(text), "{\"state\":\"%s\"%s%s%s,\"epoch\":%u}",
             state, by[0] == '\0' ? "" : ",\"by\":\"", by,
             by[0] == '\0' ? "" : "\"", u->params.epoch);
    si_upstream_answer(u, from, header, m, COAP_DELETED, text);
}
