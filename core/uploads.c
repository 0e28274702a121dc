/* Uploads at their owner. */
#include "core/state.h"

#define BLOCK_MORE 8 /* RFC 7959 2.2 */

/* Refuses an upload.  A first block that an upstream may have accepted,
 * from this owner or from one that failed, must not be reported as "not
 * run": the caller is asked to start again. */
static void
upload_refuse(core_t *c, const dgram_t *d, refuse_t why, bool maybe_accepted)
{
    if (maybe_accepted) {
        answer_now(c, d, COAP_INCOMPLETE, COAP_NONE, REFUSE_UPLOAD);
        return;
    }
    answer_now(c, d, COAP_UNAVAILABLE,
               retry_after_s(c, &c->services[d->service]), why);
}

/* Opens an upload.  ALREADY_FORWARDED: its first block was sent to an
 * upstream before.  Returns NULL when the upload was refused. */
static flow_t *
upload_open(core_t *c, const dgram_t *d, bool already_forwarded)
{
    service_t *s = &c->services[d->service];
    up_ix_t first = bucket_of(s, d->key)->candidate[0];
    up_ix_t up = first;
    bool exclusive = owner_exclusive(c, request_owner_key(s, d->key));
    flow_t *f;

    s->stats.requests[CLASS_BULK]++;
    if (exclusive) {
        up = up_least_loaded(c, s->ups, s->n_ups, first, CLASS_BULK);
    }
    if (!up_eligible(c, up)) {
        upload_refuse(c, d, REFUSE_FULL, !exclusive || already_forwarded);
        return NULL;
    }
    f = flow_add(c, d->key, d->service, up, FLOW_UPLOAD);
    if (f == NULL) {
        upload_refuse(c, d, REFUSE_TABLE_FULL,
                      !exclusive || already_forwarded);
        return NULL;
    }
    sync_flow(c, f);
    return f;
}

void
upload_block(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    up_ix_t first = bucket_of(s, d->key)->candidate[0];
    flow_t *f = flow_claim(c, d->key);
    bool first_block = d->m->block1 >> 4 == 0;
    bool already_forwarded = f != NULL && !(f->flags & FLOW_ENDED);

    if (f != NULL && (up_lost(c, f->up) || !(f->flags & FLOW_UPLOAD) ||
                      (first_block && (f->flags & FLOW_ENDED)))) {
        flow_remove(c, f);
        f = NULL;
    }
    if (f == NULL && first_block) {
        f = upload_open(c, d, already_forwarded);
        if (f == NULL) {
            return;
        }
    }
    if (f != NULL) {
        flow_touch(c, f);
        if (!(d->m->block1 & BLOCK_MORE)) {
            f->flags |= FLOW_LAST_BLOCK;
        }
        send_to_pin(c, d, f, true);
        return;
    }
    if (owner_exclusive(c, request_owner_key(s, d->key)) ||
        up_lost(c, first)) {
        answer_now(c, d, COAP_INCOMPLETE, COAP_NONE, REFUSE_UPLOAD);
        return;
    }
    /* An owner that failed may have opened it at the first candidate. */
    if (up_lease_valid(c, first)) {
        send_upstream(c, first, &d->h->client, true, d->data, d->len);
    }
}

bool
is_upload_block(const coap_msg_t *m)
{
    bool more = (m->block1 & BLOCK_MORE) != 0;

    return m->block1 != COAP_NONE && (m->block1 >> 4 > 0 || more);
}
