/* Observe registrations and notifications. */
#include "standin/feeds.h"

#include <stdlib.h>
#include <string.h>

void
si_feeds_init(si_feeds_t *fs)
{
    list_init(&fs->list);
}

static void
feed_remove(si_feeds_t *fs, si_feed_t *f)
{
    list_remove(&f->link);
    free(f);
    fs->n--;
}

void
si_feeds_clear(si_feeds_t *fs)
{
    LIST_EACH (it, &fs->list) {
        feed_remove(fs, CONTAINER_OF(it, si_feed_t, link));
    }
}

static bool
token_is(const si_feed_t *f, const coap_msg_t *m)
{
    return f->token_len == m->token_len &&
           memcmp(f->token, m->token, m->token_len) == 0;
}

static si_feed_t *
feed_find(si_feeds_t *fs, const addr_t *client, const coap_msg_t *m)
{
    LIST_EACH (it, &fs->list) {
        si_feed_t *f = CONTAINER_OF(it, si_feed_t, link);
        if (addr_eq(&f->header.client, client) && token_is(f, m)) {
            return f;
        }
    }
    return NULL;
}

bool
si_feeds_add(si_feeds_t *fs, ms_t now, const spp_t *header, const addr_t *from,
             const coap_msg_t *reg)
{
    si_feed_t *f = feed_find(fs, &header->client, reg);

    if (f == NULL && fs->n >= fs->max) {
        return false;
    }
    if (f == NULL) {
        f = calloc(1, sizeof(*f));
        if (f == NULL) {
            return false;
        }
        list_append(&fs->list, &f->link);
        fs->n++;
        f->token_len = reg->token_len;
        memcpy(f->token, reg->token, reg->token_len);
    }
    f->header = *header;
    f->from = *from;
    f->next_at = now + fs->period_ms;
    f->con_transmissions = 0;
    return true;
}

void
si_feeds_remove(si_feeds_t *fs, const addr_t *client, const coap_msg_t *reg)
{
    si_feed_t *f = feed_find(fs, client, reg);

    if (f != NULL) {
        feed_remove(fs, f);
    }
}

void
si_feeds_on_empty(si_feeds_t *fs, const addr_t *client, const coap_msg_t *m)
{
    LIST_EACH (it, &fs->list) {
        si_feed_t *f = CONTAINER_OF(it, si_feed_t, link);
        bool con = f->con_transmissions > 0 && f->con_mid == m->mid;

        if (!addr_eq(&f->header.client, client)) {
            continue;
        }
        if (m->type == COAP_T_ACK && con) {
            f->con_transmissions = 0;
        }
        if (m->type == COAP_T_RST && (con || f->last_mid == m->mid)) {
            feed_remove(fs, f);
        }
    }
}

static void
send_notification(const si_feed_t *f, coap_type_t type, uint16_t mid,
                  si_notify_t *notify, void *arg)
{
    coap_msg_t m = COAP_MSG_INIT;

    m.type = type;
    m.code = COAP_CONTENT;
    m.mid = mid;
    m.token_len = f->token_len;
    memcpy(m.token, f->token, f->token_len);
    m.observe = f->sent;
    notify(arg, f, &m);
}

static void
notify_due(si_feeds_t *fs, si_feed_t *f, ms_t now, si_notify_t *notify,
           void *arg)
{
    bool con;

    f->sent++;
    f->next_at = now + fs->period_ms;
    con = fs->con_every > 0 && f->sent % (uint32_t)fs->con_every == 0 &&
          f->con_transmissions == 0;
    f->last_mid = fs->mid++;
    if (con) {
        f->con_mid = f->last_mid;
        f->con_transmissions = 1;
        f->con_retransmit_at = now + fs->ack_ms;
    }
    fs->notified++;
    send_notification(f, con ? COAP_T_CON : COAP_T_NON, f->last_mid, notify,
                      arg);
}

/* Retransmits a notification.  False when the feed has been removed because no
 * ACK arrived. */
static bool
retransmit_due(si_feeds_t *fs, si_feed_t *f, ms_t now, si_notify_t *notify,
               void *arg)
{
    if (f->con_transmissions > SI_RETRANSMITS) {
        fs->lost++;
        feed_remove(fs, f);
        return false;
    }
    f->con_retransmit_at = now + (fs->ack_ms << f->con_transmissions);
    f->con_transmissions++;
    send_notification(f, COAP_T_CON, f->con_mid, notify, arg);
    return true;
}

void
si_feeds_tick(si_feeds_t *fs, ms_t now, si_notify_t *notify, void *arg)
{
    LIST_EACH (it, &fs->list) {
        si_feed_t *f = CONTAINER_OF(it, si_feed_t, link);

        if (f->con_transmissions > 0 && now >= f->con_retransmit_at &&
            !retransmit_due(fs, f, now, notify, arg)) {
            continue;
        }
        if (now >= f->next_at) {
            notify_due(fs, f, now, notify, arg);
        }
    }
}
