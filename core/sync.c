/* Replication of pins, so that the next owner has those that differ from
 * the table. */
#include "core/state.h"

#include <string.h>

#define PIN_BYTES 20         /* approximate size of a pin in a message */
#define MSG_BYTES 70         /* headers and tag of a message */
#define PACED_BYTES 100      /* per tick, when nothing is handed over */
#define HAND_OVER_BYTES 4000 /* per tick, during a planned hand-over */

static void
batch_send(core_t *c, int i)
{
    core_out_t out = {.kind = CORE_TO_PEER};

    if (c->batch[i].msg.sync.n == 0) {
        return;
    }
    out.peer.to = c->batch[i].to;
    out.peer.msg = c->batch[i].msg;
    c->services[0].stats.sync_sent += c->batch[i].msg.sync.n;
    c->services[0].stats.sync_bytes +=
        MSG_BYTES + PIN_BYTES * c->batch[i].msg.sync.n;
    c->batch[i].msg.sync.n = 0;
    c->batch[i].to = 0;
    c->emit(c->arg, &out);
}

static void
sync_add(core_t *c, uint64_t to, const pin_t *pin)
{
    int i = 0;

    while (i < BATCHES && c->batch[i].to != to && c->batch[i].to != 0) {
        i++;
    }
    if (i == BATCHES) {
        i = (int)(to % BATCHES);
        batch_send(c, i);
    }
    c->batch[i].to = to;
    c->batch[i].msg.kind = PEER_SYNC;
    c->batch[i].msg.from = c->p.self;
    c->batch[i].msg.sync.pin[c->batch[i].msg.sync.n++] = *pin;
    if (c->batch[i].msg.sync.n == SYNC_PINS_MAX) {
        batch_send(c, i);
    }
}

void
sync_flush(core_t *c)
{
    for (int i = 0; i < BATCHES; i++) {
        batch_send(c, i);
    }
}

void
sync_refill(core_t *c)
{
    c->sync_budget = c->leaving || c->handover ? HAND_OVER_BYTES : PACED_BYTES;
}

static bool
spend_budget(core_t *c)
{
    if (c->sync_budget < PIN_BYTES) {
        return false;
    }
    c->sync_budget -= PIN_BYTES;
    return true;
}

/* Replicates F to the next owner, unless that can derive the pin from the
 * table. */
void
sync_flow(core_t *c, flow_t *f)
{
    uint64_t key = pin_owner_key(c, f);
    uint64_t to = sync_target(c, key);
    bool handover = handing_over(c, key);
    const bucket_t *b = bucket_of(&c->services[f->service], f->key);
    pin_t pin = {.flow = f->key,
                 .upstream = c->ups[f->up].conf.id,
                 .kind = f->flags & FLOW_UPLOAD ? PIN_UPLOAD : PIN_FLOW};

    if (to == 0 || (f->flags & FLOW_SYNCED) ||
        (f->up == b->candidate[0] && !handover) || !spend_budget(c)) {
        return;
    }
    sync_add(c, to, &pin);
}

static void
store_replica(core_t *c, const pin_t *pin)
{
    flow_t *f = flow_find(c, pin->flow);
    up_ix_t up = up_find_id(c, pin->upstream);
    /* Synced, since the owner has the pin.  When the owner changes,
     * sync_targets_changed() clears the flag and the pin is replicated
     * again: this may be the only instance left that has it. */
    uint8_t flags = FLOW_REPLICA | FLOW_SYNCED;

    if (up == UP_NONE) {
        return;
    }
    if (pin->kind == PIN_UPLOAD) {
        flags |= FLOW_UPLOAD;
    }
    if (f == NULL) {
        flow_add(c, pin->flow, c->ups[up].service, up, flags);
        return;
    }
    if (f->flags & FLOW_REPLICA) {
        f->up = up;
        flow_touch(c, f);
    }
}

void
sync_receive(core_t *c, const peer_msg_t *m)
{
    core_out_t out = {.kind = CORE_TO_PEER};

    for (int i = 0; i < m->sync.n; i++) {
        store_replica(c, &m->sync.pin[i]);
    }
    out.peer.to = m->from;
    out.peer.msg = *m;
    out.peer.msg.kind = PEER_SYNC_ACK;
    out.peer.msg.from = c->p.self;
    c->emit(c->arg, &out);
}

void
sync_acked(core_t *c, const peer_msg_t *m)
{
    for (int i = 0; i < m->sync.n; i++) {
        const pin_t *pin = &m->sync.pin[i];
        flow_t *f = flow_find(c, pin->flow);

        if (f != NULL && c->ups[f->up].conf.id == pin->upstream &&
            m->from == sync_target(c, pin_owner_key(c, f))) {
            f->flags |= FLOW_SYNCED;
        }
    }
}

/* A membership change may have changed the sync targets. */
void
sync_targets_changed(core_t *c)
{
    for (uint32_t i = 0; i < c->flow_top; i++) {
        flow_t *f = &c->flows[i];
        if ((f->flags & FLOW_USED) &&
            slot_of(c, pin_owner_key(c, f))->changed) {
            f->flags &= (uint8_t)~FLOW_SYNCED;
        }
    }
}
