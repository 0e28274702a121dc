/* Dispatch: what arrives, where it goes; ticks; statistics. */
#include "core/state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* So long after a change an unknown flow may be an old one. */
#define OLD_FLOW_MS 3000
/* No call for so long is a pause; calls come each 20 to 50 ms, and others take
 * an instance for dead after 600 ms. */
#define PAUSE_MS 400

#define HINT_AFTER                                                            \
    3 /* steered datagrams of a flow, until its hint is sent                  \
       */

core_t *
core_new(const core_params_t *p, core_emit_t *emit, void *arg)
{
    core_t *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->p = *p;
    c->emit = emit;
    c->arg = arg;
    c->rng.seed = p->seed;
    c->slots = calloc(HOME_SLOTS, sizeof(*c->slots));
    if (c->slots == NULL || flows_new(c) < 0 || exchanges_new(c) < 0) {
        core_free(c);
        return NULL;
    }
    c->doubt_at = INT64_MIN / 2;
    c->start = c->last_call = -1;
    return c;
}

void
core_free(core_t *c)
{
    if (c == NULL) {
        return;
    }
    for (uint32_t i = 0; i < c->n_services; i++) {
        free(c->services[i].buckets);
        free(c->services[i].ups);
    }
    flows_free(c);
    exchanges_free(c);
    map_free(&c->up_map);
    map_free(&c->service_map);
    free(c->services);
    free(c->ups);
    free(c->peers);
    free(c->slots);
    free(c);
}

/* ---- Configuration ---- */

static uint16_t
service_find(const core_t *c, const addr_t *a)
{
    uint32_t i = map_get(&c->service_map, addr_id(a));

    return i == MAP_NONE ? UP_NONE : (uint16_t)i;
}

static uint16_t
service_add(core_t *c, const conf_service_t *conf)
{
    service_t *s;

    c->services =
        realloc(c->services, (c->n_services + 1) * sizeof(*c->services));
    s = &c->services[c->n_services];
    *s = (service_t){.used = true, .id = addr_id(&conf->addr)};
    map_put(&c->service_map, s->id, c->n_services);
    return (uint16_t)c->n_services++;
}

void
core_history_complete(core_t *c)
{
    c->history_complete = true;
}

bool
core_history_is_complete(const core_t *c)
{
    return c->history_complete;
}

/* When an upstream that is new here can first have got work from anyone;
 * INT64_MIN / 2 when that isn't known.  An instance that hears all others has
 * a version at about the same time as they; one that was cut off may have it
 * much later.  With its first version an instance knows if it was there before
 * all others, or was given what was in force over all of DOUBT_MS. */
static ms_t
first_listing(core_t *c)
{
    bool in_touch = !c->suspects && c->now - c->doubt_at >= DOUBT_MS;
    bool known = in_touch;

    if (c->first_version) {
        c->history_complete |= !c->met_elder;
        known = c->history_complete || c->last_call - c->now >= DOUBT_MS;
    }
    return known ? c->now : INT64_MIN / 2;
}

static void
take_upstream(core_t *c, uint16_t service, const conf_upstream_t *conf)
{
    uint16_t u = up_find_id(c, conf->id);

    if (u != UP_NONE && c->ups[u].service != service) {
        /* The address has another service now: what is known of its earlier
         * life is of no use, and its flows have ended there. */
        feeds_lost(c, u);
        c->ups[u].used = false;
        u = UP_NONE;
    }
    if (u == UP_NONE) {
        u = up_add(c, conf, service);
        c->ups[u].listed_since = first_listing(c);
    }
    c->ups[u].conf = *conf;
    c->ups[u].conf_draining = conf->draining;
    c->ups[u].listed = true;
    c->services[service].ups[c->services[service].n_ups++] = u;
}

static void
take_service(core_t *c, const conf_service_t *conf)
{
    uint16_t i = service_find(c, &conf->addr);
    service_t *s;

    if (i == UP_NONE) {
        i = service_add(c, conf);
    }
    s = &c->services[i];
    s->conf = *conf;
    s->conf.upstreams = NULL;
    s->n_ups = 0;
    s->ups = realloc(s->ups, (conf->n_upstreams + 1) * sizeof(*s->ups));
    for (uint32_t k = 0; k < conf->n_upstreams; k++) {
        take_upstream(c, i, &conf->upstreams[k]);
    }
    table_build(c, i);
}

int
core_set_conf(core_t *c, ms_t now, const conf_t *conf)
{
    if (conf->version <= c->version) {
        return -ESTALE;
    }
    c->now = now;
    c->first_version = c->version == 0;
    c->version = conf->version;
    for (uint32_t i = 0; i < c->n_ups; i++) {
        up_t *u = &c->ups[i];
        u->unlisted_at = u->listed ? now : u->unlisted_at;
        u->listed = false;
    }
    for (uint32_t i = 0; i < conf->n_services; i++) {
        take_service(c, &conf->services[i]);
    }
    return 0;
}

uint64_t
core_version(const core_t *c)
{
    return c->version;
}

/* ---- Sending ---- */

void
send_client(core_t *c, uint16_t service, const addr_t *client,
            const uint8_t *data, size_t len)
{
    core_out_t out = {.kind = CORE_TO_CLIENT};

    out.client.service = c->services[service].conf.addr;
    out.client.client = *client;
    out.client.data = data;
    out.client.len = len;
    c->services[service].stats.datagrams_out++;
    c->emit(c->arg, &out);
}

void
send_upstream(core_t *c, uint16_t u, const addr_t *client, bool own,
              const uint8_t *data, size_t len)
{
    core_out_t out = {.kind = CORE_TO_UPSTREAM};

    out.upstream.upstream = c->ups[u].conf.addr;
    out.upstream.header.client = *client;
    out.upstream.header.service = c->services[c->ups[u].service].conf.addr;
    out.upstream.own = own;
    out.upstream.data = data;
    out.upstream.len = len;
    c->emit(c->arg, &out);
}

void
send_steer(core_t *c, const dgram_t *d, uint64_t to)
{
    service_t *s = &c->services[d->service];
    core_out_t out = {.kind = CORE_TO_PEER};

    if (d->hops >= STEER_HOPS) {
        s->stats.steer_loops++;
        return;
    }
    out.peer.to = to;
    out.peer.msg.kind = PEER_STEER;
    out.peer.msg.from = c->p.self;
    out.peer.msg.steer.hops = (uint8_t)(d->hops + 1);
    out.peer.msg.steer.version = c->version;
    out.peer.msg.steer.service = d->h->service;
    out.peer.msg.steer.client = d->h->client;
    out.peer.msg.steer.data = d->data;
    out.peer.msg.steer.len = d->len;
    s->stats.steered++;
    c->emit(c->arg, &out);
}

static void
send_hint(core_t *c, uint64_t to, const flow_t *f)
{
    core_out_t out = {.kind = CORE_TO_PEER};

    out.peer.to = to;
    out.peer.msg.kind = PEER_HINT;
    out.peer.msg.from = c->p.self;
    out.peer.msg.hint.flow = f->key;
    out.peer.msg.hint.upstream = c->ups[f->up].conf.id;
    out.peer.msg.hint.lease_ms = HINT_LEASE_MS;
    c->emit(c->arg, &out);
}

static const char *
answer_text(uint8_t code)
{
    switch (code) {
    case COAP_UNAVAILABLE:
        return "not run";
    case COAP_GW_TIMEOUT:
        return "outcome unknown";
    case COAP_TOO_LARGE:
        return "longer than 1152 bytes: use Block1";
    default:
        return "start again";
    }
}

int
answer_build(core_t *c, uint8_t *buf, size_t cap, const ex_t *ex, uint8_t code,
             uint32_t max_age)
{
    coap_msg_t m = COAP_MSG_INIT;
    const char *text = answer_text(code);

    m.type = ex->type == COAP_T_CON ? COAP_T_ACK : COAP_T_NON;
    m.mid = ex->type == COAP_T_CON ? ex->mid : ++c->mid;
    m.code = code;
    m.max_age = max_age;
    m.token_len = ex->token_len;
    memcpy(m.token, ex->token, ex->token_len);
    m.payload = (const uint8_t *)text;
    m.payload_len = strlen(text);
    return coap_encode(buf, cap, &m);
}

void
answer_now(core_t *c, const dgram_t *d, uint8_t code, uint32_t max_age,
           refuse_t why)
{
    uint8_t buf[96];
    ex_t ex = {
        .type = d->m->type, .mid = d->m->mid, .token_len = d->m->token_len};
    int n;

    memcpy(ex.token, d->m->token, sizeof(ex.token));
    c->services[d->service].stats.refused[why]++;
    n = answer_build(c, buf, sizeof(buf), &ex, code, max_age);
    if (n > 0) {
        send_client(c, d->service, &d->h->client, buf, (size_t)n);
    }
}

/* Seconds until a refused caller may try again: spread, so that those who
 * were refused together don't return together. */
uint32_t
come_back(core_t *c, const service_t *s)
{
    uint32_t least = s->conf.come_back_s > 0 ? s->conf.come_back_s : 1;

    return least + rng_below(&c->rng, least + 1);
}

class_t
class_of(const coap_msg_t *m)
{
    if (m->code == COAP_GET) {
        return m->observe != COAP_NONE ? CLASS_FEED : CLASS_READ;
    }
    return m->block1 != COAP_NONE ? CLASS_BULK : CLASS_URGENT;
}

/* ---- Flows at their home ---- */

/* The upstream for a new flow: the less loaded of the two choices.  A home in
 * doubt takes the first, as another home would. */
static uint16_t
choose_flow(core_t *c, service_t *s, uint64_t key)
{
    const bucket_t *b = bucket_of(s, key);
    bool first = up_eligible(c, b->choice[0]);
    bool second = up_eligible(c, b->choice[1]);
    uint64_t load1, load2;

    if (!first) {
        return second ? b->choice[1] : up_next(c, s, key, b->choice[0]);
    }
    if (!second || !home_sure(c, flow_group(s, key))) {
        return b->choice[0];
    }
    load1 = (uint64_t)c->ups[b->choice[0]].flows *
            c->ups[b->choice[1]].conf.weight;
    load2 = (uint64_t)c->ups[b->choice[1]].flows *
            c->ups[b->choice[0]].conf.weight;
    if (s->conf.prefer == PREFER_STABILITY) {
        /* Each flow on the second choice needs a copy at the backup; taken
         * only when the first is a tenth busier. */
        load2 += load2 / 10 + 1;
    }
    return load2 < load1 ? b->choice[1] : b->choice[0];
}

/* An unknown flow of a bucket that changed moments ago, at a home that may
 * have lost its memory, is more likely an old one: it stays where it was. */
static uint16_t
choose_unknown(core_t *c, service_t *s, uint64_t key)
{
    uint16_t old = earlier_first(c, s, key, c->now - OLD_FLOW_MS);

    if (old != UP_NONE && !home_sure(c, flow_group(s, key)) &&
        up_trusted(c, old)) {
        return old;
    }
    return choose_flow(c, s, key);
}

static void
maybe_hint(core_t *c, const dgram_t *d, flow_t *f)
{
    if (d->from == 0 || f->up2 != UP_NONE) {
        return; /* two upstreams don't fit a hint */
    }
    if (f->steers < HINT_AFTER) {
        f->steers++;
        return;
    }
    send_hint(c, d->from, f);
}

static void
opaque_at_home(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    flow_t *f = flow_own(c, d->key);

    if (f != NULL && !up_trusted(c, f->up)) {
        flow_remove(c, f);
        f = NULL;
    }
    if (f == NULL) {
        uint16_t up = choose_unknown(c, s, d->key);
        s->stats.requests[CLASS_OPAQUE]++;
        if (up == UP_NONE) {
            s->stats.refused[REFUSE_NONE]++;
            return;
        }
        f = flow_add(c, d->key, d->service, up, 0);
        if (f == NULL) {
            up = bucket_of(s, d->key)->choice[0];
            if (up != UP_NONE && up_trusted(c, up)) {
                send_upstream(c, up, &d->h->client, false, d->data, d->len);
            }
            return;
        }
        sync_flow(c, f);
    }
    flow_touch(c, f);
    maybe_hint(c, d, f);
    send_upstream(c, f->up, &d->h->client, false, d->data, d->len);
}

/* GET with Observe: opens, refreshes or ends a feed (RFC 7641). */
static void
feed_at_home(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    flow_t *f = flow_own(c, d->key);
    uint16_t up;

    if (f != NULL && (f->flags & FLOW_UPLOAD)) {
        f = NULL; /* an upload's pin says nothing about feeds */
    }
    if (f != NULL && up_trusted(c, f->up)) {
        bool same = f->feed == 0 || memcmp(c->feeds[f->feed - 1].token,
                                           d->m->token, d->m->token_len) == 0;
        if (!same && !up_eligible(c, f->up)) {
            up = choose_flow(c, s, d->key);
            if (up != UP_NONE) {
                flow_pin(c, f, up);
            }
        }
    }
    else if (f != NULL) {
        flow_remove(c, f);
        f = NULL;
    }
    if (f == NULL) {
        up = choose_flow(c, s, d->key);
        s->stats.requests[CLASS_FEED]++;
        if (up == UP_NONE || !up_room(c, up, CLASS_FEED)) {
            answer_now(c, d, COAP_UNAVAILABLE, come_back(c, s),
                       up == UP_NONE ? REFUSE_NONE : REFUSE_FULL);
            return;
        }
        f = flow_find(c, d->key) == NULL
                ? flow_add(c, d->key, d->service, up, 0)
                : NULL;
        if (f == NULL) {
            send_upstream(c, up, &d->h->client, false, d->data, d->len);
            return;
        }
        sync_flow(c, f);
    }
    if (d->m->observe == 0) {
        flow_set_feed(c, f, d);
    }
    flow_touch(c, f);
    send_upstream(c, f->up, &d->h->client, false, d->data, d->len);
}

/* An ACK, RST or ping goes to the upstream whose message it answers.  When
 * that isn't known it goes to each that it can be: one that has no such
 * message ignores it (RFC 7252 4.2). */
static void
empty_unknown(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    uint16_t to[CHOICES_MAX];
    int n = all_choices(c, s, d->key, to);

    for (int i = 0; i < n; i++) {
        if (up_trusted(c, to[i])) {
            send_upstream(c, to[i], &d->h->client, false, d->data, d->len);
        }
    }
}

static void
empty_at_home(core_t *c, const dgram_t *d)
{
    ex_t *ex = ex_find_answer(c, d->key, d->m->mid);
    flow_t *f = flow_own(c, d->key);

    if (ex != NULL && ex->up != UP_NONE) {
        if (up_trusted(c, ex->up)) {
            send_upstream(c, ex->up, &d->h->client, true, d->data, d->len);
        }
        return;
    }
    if (f == NULL || (f->flags & FLOW_UPLOAD)) {
        empty_unknown(c, d);
        return;
    }
    flow_touch(c, f);
    maybe_hint(c, d, f);
    if (up_trusted(c, f->up)) {
        send_upstream(c, f->up, &d->h->client, false, d->data, d->len);
    }
    if (f->up2 != UP_NONE && up_trusted(c, f->up2)) {
        send_upstream(c, f->up2, &d->h->client, false, d->data, d->len);
    }
}

/* ---- Datagrams from callers ---- */

/* Sends D on to its home, or returns false when this is the place to decide.
 * KEY is the flow's or, for requests, the service's.  PINNED: the home before
 * this may have a pin for it. */
static bool
to_home(core_t *c, const dgram_t *d, uint64_t key, bool known, bool pinned)
{
    uint64_t home = home_of(c, key);
    uint64_t earlier;

    if (known) {
        return false;
    }
    if (home == 0) {
        /* It has just started and knows no home, nor what was done before:
         * the caller's next copy finds an instance that does. */
        c->services[d->service].stats.untrusted++;
        return true;
    }
    if (home == c->p.self && d->hops >= STEER_HOPS) {
        return false; /* views differ; some home has to decide */
    }
    if (home != c->p.self) {
        send_steer(c, d, home);
        return true;
    }
    earlier = pinned ? earlier_home(c, key) : 0;
    if (earlier != 0 && earlier != c->p.self && earlier != d->from) {
        send_steer(c, d, earlier);
        return true;
    }
    return false;
}

static bool
use_hint(core_t *c, const dgram_t *d)
{
    const hint_t *h = hint_find(c, d->key);
    uint16_t u;

    if (h == NULL) {
        return false;
    }
    u = up_find_id(c, h->upstream);
    if (u == UP_NONE || c->ups[u].service != d->service || !up_trusted(c, u)) {
        return false;
    }
    c->services[d->service].stats.hinted++;
    send_upstream(c, u, &d->h->client, false, d->data, d->len);
    return true;
}

/* Is F decided on here, even if its home has moved on? */
static bool
flow_mine(const core_t *c, const flow_t *f)
{
    return f != NULL && !(f->flags & FLOW_HELD) && up_trusted(c, f->up);
}

static void
opaque_in(core_t *c, const dgram_t *d)
{
    flow_t *f = flow_find(c, d->key);
    bool mine = flow_mine(c, f);

    if (!mine && home_of(c, d->home) != c->p.self && use_hint(c, d)) {
        return;
    }
    if (!to_home(c, d, d->home, mine, true)) {
        opaque_at_home(c, d);
    }
}

/* An ACK or RST: for a feed the flow's home knows the upstream, for the late
 * answer to a request the service's home does. */
static void
empty_in(core_t *c, const dgram_t *d, bool mine)
{
    uint64_t work = home_of(c, work_key(&c->services[d->service], d->key));
    bool answer = ex_find_answer(c, d->key, d->m->mid) != NULL;

    if (!mine && !answer && use_hint(c, d)) {
        return;
    }
    if (to_home(c, d, d->home, mine || answer, true)) {
        return;
    }
    if (!mine && !answer && work != 0 && work != c->p.self &&
        work != d->from) {
        send_steer(c, d, work);
    }
    empty_at_home(c, d);
}

static void
coap_in(core_t *c, const dgram_t *d)
{
    service_t *s = &c->services[d->service];
    flow_t *f = flow_find(c, d->key);
    bool mine = flow_mine(c, f);
    bool known;

    if (d->m->code == COAP_EMPTY) {
        empty_in(c, d, mine && !(f->flags & FLOW_UPLOAD));
        return;
    }
    if (!coap_is_request(d->m)) {
        s->stats.malformed++; /* upstreams ask callers nothing */
        return;
    }
    if (class_of(d->m) == CLASS_FEED) {
        if (!to_home(c, d, d->home, mine && !(f->flags & FLOW_UPLOAD), true)) {
            feed_at_home(c, d);
        }
        return;
    }
    known = ex_find(c, d->key, d->m->mid) != NULL ||
            (mine && (f->flags & FLOW_UPLOAD));
    if (!to_home(c, d, work_key(s, d->key), known, is_upload_block(d->m))) {
        request_at_home(c, d);
    }
}

/* After a pause nothing learned before it may be trusted: upstreams may have
 * changed their service, and others have taken this instance for dead. */
static void
wake(core_t *c)
{
    for (uint32_t i = 0; i < c->n_ups; i++) {
        c->ups[i].trust_until = c->now;
        c->ups[i].probe_next = c->now;
        c->ups[i].misses = 0; /* nobody asked it meanwhile */
    }
    c->doubt_at = c->now;
}

/* Called first by each entry.  A gap in the calls is a pause of this process.
 * Others may have taken it for dead meanwhile, and acted in its place, before
 * it hears of that: the doubt must start before the first datagram is decided
 * on, not at the next tick. */
static void
enter(core_t *c, ms_t now)
{
    ms_t gap = c->last_call < 0 ? 0 : now - c->last_call;

    c->now = now;
    c->last_call = now;
    if (c->start < 0) {
        c->start = now;
    }
    if (gap > PAUSE_MS) {
        c->doubt_at = now;
    }
    if (gap > TRUST_MS) {
        wake(c);
    }
}

static void
datagram_in(core_t *c, const spp_t *h, uint64_t from, uint8_t hops,
            const uint8_t *data, size_t len)
{
    uint16_t service = service_find(c, &h->service);
    coap_msg_t m;
    dgram_t d = {.service = service,
                 .h = h,
                 .from = from,
                 .hops = hops,
                 .data = data,
                 .len = len};

    if (service == UP_NONE) {
        return;
    }
    c->services[service].stats.datagrams_in++;
    d.key = flow_key(&h->service, &h->client);
    d.home = flow_group(&c->services[service], d.key);
    if (c->services[service].conf.proto == PROTO_UDP) {
        opaque_in(c, &d);
        return;
    }
    if (coap_decode(&m, data, len) < 0) {
        c->services[service].stats.malformed++;
        return;
    }
    d.m = &m;
    coap_in(c, &d);
}

void
core_from_client(core_t *c, ms_t now, const addr_t *service,
                 const addr_t *client, const uint8_t *data, size_t len)
{
    spp_t h = {.client = *client, .service = *service};

    enter(c, now);
    datagram_in(c, &h, 0, 0, data, len);
}

static void
want_upstream(core_t *c, uint64_t id, ms_t lease)
{
    uint16_t u = up_find_id(c, id);

    if (u != UP_NONE) {
        c->ups[u].wanted_until = c->now + lease;
    }
}

void
core_from_peer(core_t *c, ms_t now, const peer_msg_t *m)
{
    spp_t h;

    enter(c, now);
    switch (m->kind) {
    case PEER_STEER:
        h = (spp_t){.client = m->steer.client, .service = m->steer.service};
        datagram_in(c, &h, m->from, m->steer.hops, m->steer.data,
                    m->steer.len);
        return;
    case PEER_HINT:
        want_upstream(c, m->hint.upstream, (ms_t)m->hint.lease_ms);
        hint_put(c, m->hint.flow, m->hint.upstream, (ms_t)m->hint.lease_ms);
        return;
    case PEER_SYNC:
        sync_receive(c, m);
        return;
    case PEER_SYNC_ACK:
        sync_acked(c, m);
        return;
    case PEER_MEMBER:
        return;
    }
}

/* ---- Datagrams from upstreams ---- */

/* The answer belongs to EX if it has its token, and comes from the upstream
 * and epoch that got the request. */
static ex_t *
answered_exchange(core_t *c, uint64_t key, uint16_t u, const coap_msg_t *m)
{
    ex_t *ex = ex_find_token(c, key, m);

    if (ex == NULL || ex->up != u || ex->epoch != c->ups[u].epoch) {
        return NULL;
    }
    return ex;
}

static void
coap_reply(core_t *c, uint16_t u, const spp_t *h, const uint8_t *data,
           size_t len)
{
    uint16_t service = c->ups[u].service;
    service_t *s = &c->services[service];
    uint64_t key = flow_key(&h->service, &h->client);
    flow_t *f = flow_find(c, key);
    coap_msg_t m;
    ex_t *ex;

    if (coap_decode(&m, data, len) < 0) {
        s->stats.malformed++;
        return;
    }
    if (f != NULL && f->up == u && coap_is_response(&m)) {
        upload_answered(c, f, &m);
    }
    if (f != NULL && f->up == u) {
        bool pinged = f->feed != 0 && c->feeds[f->feed - 1].pings > 0;
        flow_touch(c, f);
        if (m.type == COAP_T_RST && pinged) {
            return;
        }
    }
    if (!coap_is_response(&m) || m.observe != COAP_NONE) {
        send_client(c, service, &h->client, data, len);
        return;
    }
    ex = answered_exchange(c, key, u, &m);
    if (ex != NULL) {
        request_answer(c, ex, &m, data, len);
        return;
    }
    if (ex_find_token(c, key, &m) != NULL) {
        s->stats.late_answers++; /* of an earlier life, or after a bar */
        return;
    }
    send_client(c, service, &h->client, data, len);
}

void
core_from_upstream(core_t *c, ms_t now, const addr_t *upstream,
                   const uint8_t *data, size_t len)
{
    uint16_t u = up_find(c, upstream);
    spp_t h;
    coap_msg_t m;

    enter(c, now);
    if (u == UP_NONE || spp_read(&h, data, len) < 0) {
        if (c->n_services > 0) {
            c->services[0].stats.malformed++;
        }
        return;
    }
    if (addr_id(&h.service) != c->services[c->ups[u].service].id) {
        c->services[c->ups[u].service].stats.misdirected++;
        return;
    }
    data += SPP_LEN;
    len -= SPP_LEN;
    if (addr_eq(&h.client, &c->p.own_addr)) {
        if (coap_decode(&m, data, len) == 0) {
            up_from_probe(c, u, &m);
        }
        return;
    }
    if (c->services[c->ups[u].service].conf.proto == PROTO_COAP) {
        coap_reply(c, u, &h, data, len);
        return;
    }
    send_client(c, c->ups[u].service, &h.client, data, len);
}

/* ---- Time ---- */

void
core_tick(core_t *c, ms_t now)
{
    enter(c, now);
    if (c->n_services == 0) {
        return;
    }
    up_probe_tick(c);
    ex_tick(c);
    sync_refill(c);
    flow_sweep(c);
    sync_flush(c);
}

void
core_leave(core_t *c, ms_t now)
{
    c->now = now;
    c->leaving = true;
}

static bool
flow_waits(core_t *c, const flow_t *f)
{
    uint64_t to;

    if (!(f->flags & FLOW_USED) || (f->flags & FLOW_SYNCED)) {
        return false;
    }
    to = sync_target(c, flow_home_key(c, f));
    return to != 0 && to != c->p.self;
}

void
core_pending(const core_t *c, uint32_t *exchanges, uint32_t *pins)
{
    core_t *mutable_c = (core_t *)c;

    *exchanges = *pins = 0;
    LIST_EACH(l, &mutable_c->ex_active)
    {
        *exchanges += 1;
    }
    for (uint32_t i = 0; i < c->flow_top; i++) {
        *pins += flow_waits(mutable_c, &c->flows[i]);
    }
}

/* ---- Statistics ---- */

void
core_stats(const core_t *c, uint32_t service, core_stats_t *out)
{
    *out = (core_stats_t){0};
    if (service < c->n_services) {
        *out = c->services[service].stats;
    }
}

size_t
core_upstreams(const core_t *c, core_upstream_t *out, size_t cap)
{
    size_t n = 0;

    for (uint32_t i = 0; i < c->n_ups && n < cap; i++) {
        const up_t *u = &c->ups[i];
        if (!u->used) {
            continue;
        }
        out[n] = (core_upstream_t){.addr = u->conf.addr,
                                   .draining = u->draining || u->conf_draining,
                                   .trusted = up_trusted(c, (uint16_t)i),
                                   .ejected = c->now < u->eject_until,
                                   .epoch = u->epoch,
                                   .in_flight = u->in_flight,
                                   .reported_busy = u->reported,
                                   .flows = u->flows};
        memcpy(out[n].service, c->services[u->service].conf.name, NAME_LEN);
        memcpy(out[n].data_centre, u->conf.data_centre, NAME_LEN);
        n++;
    }
    return n;
}

void
core_flows(const core_t *c, uint32_t *flows, uint32_t *hints,
           uint32_t *exchanges)
{
    *flows = c->flow_used;
    *exchanges = c->ex_used;
    *hints = 0;
    for (uint32_t i = 0; i <= c->hint_mask; i++) {
        *hints += c->hints[i].until > c->now;
    }
}
