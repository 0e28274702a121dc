/* The load duty: exchanges the load of services with other instances (load/),
 * and hands it to and from the packets duty. */
#include "tagged/tagged.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BATCH 32       /* datagrams per recvmmsg() call */
#define BATCHES_MAX 16 /* received before anything is sent */
/* Retry of packets while the load duty holds the lock. */
#define RETRY_MS 5
/* Least time between two log lines about one data centre. */
#define LOG_PERIOD_MS 5000
/* Silence of the parent after which it counts as none, in reports unanswered
 * in calm. */
#define PARENT_TIMEOUT_MS (4 * LOAD_SLOW_PERIOD_MS)
/* Age from which a sum is lost in calm: its way takes a report, an exchange
 * and an answer, and one of each may be lost. */
#define CALM_AGE_MAX_MS (8 * LOAD_SLOW_PERIOD_MS)

/* What the log says of a data centre's sum. */
typedef struct {
    uint64_t data_centre;
    bool seen; /* in the current view, and not too old */
    bool logged_seen;
    ms_t begun_at, logged_at, age_ms;
    uint32_t instances;
} dc_log_t;

typedef struct {
    tagged_t *t;
    load_node_t *node;
    ms_t now, inputs_at, own_at;
    ms_t pressing_since; /* 0: calm */
    addr_t parent;       /* the followed peer, as a parent */
    bool parent_rejects; /* it never answers */
    /* Load addresses of the announced instances of other data centres. */
    uint32_t n_known;
    addr_t known[SOURCE_PEERS_MAX];
    load_view_t view;
    uint32_t n_logs;
    dc_log_t log[LOAD_DATA_CENTRES_MAX];
    struct mmsghdr in[BATCH];
    struct iovec in_iov[BATCH];
    struct sockaddr_storage from[BATCH];
    char stamp[BATCH][UDP_TIMESTAMP_LEN];
    /* One byte more, to detect oversized messages. */
    uint8_t data[BATCH][LOAD_MESSAGE_MAX + 1];
} load_duty_t;

flow_sharing_t
load_sharing(const tagged_settings_t *s)
{
    flow_sharing_t widest = FLOW_SHARE_NONE;

    if (s->share_load == SHARE_LOAD_OFF || addr_is_zero(&s->load_addr)) {
        return FLOW_SHARE_NONE;
    }
    if (s->share_load == SHARE_LOAD_ON) {
        return FLOW_SHARE_ALL;
    }
    for (uint32_t i = 0; i < s->n_features; i++) {
        flow_sharing_t sharing = platform_sharing(s->feature[i]);
        widest = sharing > widest ? sharing : widest;
    }
    return widest;
}

/* ---- Names ---- */

/* Records the name of a data centre or service, under the lock. */
static void
add_name(load_exchange_t *x, const char *name)
{
    uint64_t id = load_name_id(name);

    if (load_exchange_name(x, id) == NULL && x->n_names < LOAD_NAMES_MAX) {
        load_name_t *n = &x->name[x->n_names++];
        n->id = id;
        snprintf(n->name, sizeof(n->name), "%s", name);
    }
}

const char *
load_exchange_name(const load_exchange_t *x, uint64_t id)
{
    for (uint32_t i = 0; i < x->n_names; i++) {
        if (x->name[i].id == id) {
            return x->name[i].name;
        }
    }
    return NULL;
}

void
load_set_services(tagged_t *t, const flow_conf_t *c)
{
    if (t->sharing == FLOW_SHARE_NONE) {
        return;
    }
    pthread_mutex_lock(&t->load.lock);
    for (uint32_t i = 0; i < c->n_targets; i++) {
        add_name(&t->load, c->targets[i].service);
    }
    pthread_mutex_unlock(&t->load.lock);
}

/* ---- The side of packets ---- */

ms_t
load_exchange(tagged_t *t, flowset_t *f, ms_t now, ms_t due)
{
    load_exchange_t *x = &t->load;
    load_sum_t own;
    bool rises;

    if (t->sharing == FLOW_SHARE_NONE) {
        return MS_NEVER;
    }
    if (now < due) {
        return due;
    }
    if (pthread_mutex_trylock(&x->lock) != 0) {
        return now + RETRY_MS;
    }
    x->taken = x->view;
    for (uint32_t i = 0; i < x->taken.n; i++) {
        x->taken.dc[i].age_ms += now - x->view_at;
    }
    pthread_mutex_unlock(&x->lock);
    flowset_set_load(f, now, &x->taken);
    flowset_load_report(f, now, &own);
    if (pthread_mutex_trylock(&x->lock) != 0) {
        return now + RETRY_MS;
    }
    rises = own.pressing && !x->own.pressing;
    x->own = own;
    x->own_at = now;
    pthread_mutex_unlock(&x->lock);
    if (rises) {
        duty_wake(kern_find(t->kern, "load"));
    }
    return now + LOAD_FAST_PERIOD_MS;
}

/* ---- Inputs of the node ---- */

/* The address of a peer's load socket: the port is the same at all. */
static addr_t
load_addr_of(const load_duty_t *d, const source_peer_t *p)
{
    addr_t a = p->addr;

    a.port = d->t->settings.load_addr.port;
    return a;
}

static void
update_known(load_duty_t *d)
{
    const sources_t *s = &d->t->sources;

    d->n_known = 0;
    for (uint32_t i = 0; i < s->n; i++) {
        const source_peer_t *p = &s->peer[i];
        if (p->data_centre[0] != '\0' &&
            strcmp(p->data_centre, d->t->settings.data_centre) != 0) {
            d->known[d->n_known++] = load_addr_of(d, p);
        }
    }
}

static bool
is_known(void *arg, const addr_t *a)
{
    const load_duty_t *d = arg;

    for (uint32_t i = 0; i < d->n_known; i++) {
        if (addr_eq(&d->known[i], a)) {
            return true;
        }
    }
    return false;
}

/* Returns the peer that receives the reports; NULL: this instance is a root.
 * A relay may belong to another data centre, from the start of the fleet, when
 * all followed the seeds.  It rejects the reports, and the leader takes its
 * place. */
static const source_peer_t *
choose_parent(load_duty_t *d)
{
    const sources_t *s = &d->t->sources;
    const source_peer_t *followed = sources_followed(s, d->now);
    load_node_stats_t stats;
    addr_t a;

    if (followed == NULL ||
        strcmp(followed->data_centre, d->t->settings.data_centre) != 0) {
        return NULL;
    }
    a = load_addr_of(d, followed);
    if (!addr_eq(&a, &d->parent)) {
        d->parent = a;
        d->parent_rejects = false;
    }
    load_node_stats(d->node, d->now, &stats);
    d->parent_rejects =
        d->parent_rejects || (s->follows_relay && stats.parent_at != 0 &&
                              d->now - stats.parent_at > PARENT_TIMEOUT_MS);
    return d->parent_rejects ? sources_local_leader(s, d->now) : followed;
}

/* Sets the parent, or the instances with which a root exchanges sums.  The
 * lock is only tried: its holder may be decoding a long configuration. */
static void
update_peers(load_duty_t *d)
{
    const sources_t *s = &d->t->sources;
    const source_peer_t *p, *leader[LOAD_PEERS_MAX];
    addr_t parent, peer[LOAD_PEERS_MAX];
    uint32_t n = 0;
    bool is_root;

    if (pthread_mutex_trylock(&d->t->follow_lock) != 0) {
        return;
    }
    p = choose_parent(d);
    is_root = p == NULL;
    if (is_root) {
        n = sources_remote_leaders(s, d->now, leader, LOAD_PEERS_MAX);
    }
    else {
        parent = load_addr_of(d, p);
    }
    update_known(d);
    for (uint32_t i = 0; i < n; i++) {
        peer[i] = load_addr_of(d, leader[i]);
    }
    pthread_mutex_unlock(&d->t->follow_lock);
    load_node_set_parent(d->node, d->now, is_root ? NULL : &parent);
    if (is_root) {
        load_node_set_peers(d->node, peer, n);
    }
}

static bool
has_unnamed(load_duty_t *d)
{
    bool unnamed = false;

    pthread_mutex_lock(&d->t->load.lock);
    for (uint32_t i = 0; i < d->view.n; i++) {
        unnamed =
            unnamed ||
            load_exchange_name(&d->t->load, d->view.dc[i].data_centre) == NULL;
    }
    pthread_mutex_unlock(&d->t->load.lock);
    return unnamed;
}

/* Records the names of the data centres. */
static void
update_names(load_duty_t *d)
{
    const sources_t *s = &d->t->sources;

    if (!has_unnamed(d) || pthread_mutex_trylock(&d->t->follow_lock) != 0) {
        return;
    }
    pthread_mutex_lock(&d->t->load.lock);
    add_name(&d->t->load, d->t->settings.data_centre);
    for (uint32_t i = 0; i < s->n; i++) {
        if (s->peer[i].data_centre[0] != '\0') {
            add_name(&d->t->load, s->peer[i].data_centre);
        }
    }
    pthread_mutex_unlock(&d->t->load.lock);
    pthread_mutex_unlock(&d->t->follow_lock);
}

static void
update_own(load_duty_t *d)
{
    load_exchange_t *x = &d->t->load;

    pthread_mutex_lock(&x->lock);
    if (x->own_at > d->own_at) {
        d->own_at = x->own_at;
        load_node_set_own(d->node, x->own_at < d->now ? x->own_at : d->now,
                          &x->own);
    }
    pthread_mutex_unlock(&x->lock);
}

/* ---- Log ---- */

static dc_log_t *
find_log(load_duty_t *d, uint64_t data_centre)
{
    for (uint32_t i = 0; i < d->n_logs; i++) {
        if (d->log[i].data_centre == data_centre) {
            return &d->log[i];
        }
    }
    if (d->n_logs == LOAD_DATA_CENTRES_MAX) {
        return NULL;
    }
    d->log[d->n_logs] =
        (dc_log_t){.data_centre = data_centre, .begun_at = d->now};
    return &d->log[d->n_logs++];
}

/* Copies the name of a data centre.  False: the announcement that has it may
 * still arrive. */
static bool
copy_dc_name(load_duty_t *d, const dc_log_t *l, char name[SOURCE_NAME_LEN])
{
    const char *known;

    pthread_mutex_lock(&d->t->load.lock);
    known = load_exchange_name(&d->t->load, l->data_centre);
    snprintf(name, SOURCE_NAME_LEN, "%s", known != NULL ? known : "unknown");
    pthread_mutex_unlock(&d->t->load.lock);
    return known != NULL || d->now - l->begun_at > LOG_PERIOD_MS;
}

/* Logs a change that lasts or occurs rarely enough. */
static void
log_change(load_duty_t *d, dc_log_t *l, const load_node_stats_t *s)
{
    char name[SOURCE_NAME_LEN];

    if (l->seen == l->logged_seen ||
        (l->logged_at != 0 && d->now - l->logged_at < LOG_PERIOD_MS) ||
        !copy_dc_name(d, l, name)) {
        return;
    }
    l->logged_seen = l->seen;
    l->logged_at = d->now;
    log_line(l->seen ? LVL_INFO : LVL_WARN, "load",
             "Sums of a data centre %s. data_centre=%s age_ms=%lld "
             "instances=%u children=%u period=%s",
             l->seen ? "in use" : "lost", name, (long long)l->age_ms,
             l->instances, s->children, s->pressing ? "fast" : "slow");
}

/* While the flag rises, the sums are those of before. */
static void
log_changes(load_duty_t *d, const load_node_stats_t *s)
{
    ms_t limit = CALM_AGE_MAX_MS;

    if (!s->pressing) {
        d->pressing_since = 0;
    }
    else if (d->pressing_since == 0) {
        d->pressing_since = d->now;
    }
    else if (d->now - d->pressing_since > LOAD_MAX_AGE_MS) {
        limit = LOAD_MAX_AGE_MS;
    }
    for (uint32_t i = 0; i < d->n_logs; i++) {
        d->log[i].seen = false;
    }
    for (uint32_t i = 0; i < d->view.n; i++) {
        const load_data_centre_t *dc = &d->view.dc[i];
        dc_log_t *l = find_log(d, dc->data_centre);
        if (l != NULL) {
            l->seen = dc->age_ms <= limit && dc->sum.instances > 0;
            l->age_ms = dc->age_ms;
            l->instances = dc->sum.instances;
        }
    }
    for (uint32_t i = 0; i < d->n_logs; i++) {
        log_change(d, &d->log[i], s);
    }
}

/* ---- The loop ---- */

static void
emit(void *arg, const addr_t *to, const uint8_t *data, size_t len)
{
    load_duty_t *d = arg;
    struct sockaddr_storage ss;
    socklen_t ss_len = addr_to_sock(to, &ss);

    if (sendto(d->t->load_fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&ss,
               ss_len) < 0) {
        counter_add(&d->t->count.load_send_failed, 1);
    }
}

static void
prepare_buffers(load_duty_t *d)
{
    for (int i = 0; i < BATCH; i++) {
        d->in_iov[i] = (struct iovec){d->data[i], sizeof(d->data[i])};
        d->in[i].msg_hdr =
            (struct msghdr){.msg_name = &d->from[i],
                            .msg_namelen = sizeof(d->from[i]),
                            .msg_iov = &d->in_iov[i],
                            .msg_iovlen = 1,
                            .msg_control = d->stamp[i],
                            .msg_controllen = UDP_TIMESTAMP_LEN};
    }
}

/* A message that waited in the socket, while the process was suspended, is as
 * old as that. */
static void
receive(load_duty_t *d)
{
    int n = BATCH;

    for (int turn = 0; turn < BATCHES_MAX && n == BATCH; turn++) {
        ms_t wall;
        prepare_buffers(d);
        n = recvmmsg(d->t->load_fd, d->in, BATCH, MSG_DONTWAIT, NULL);
        wall = clock_wall();
        for (int i = 0; i < n; i++) {
            addr_t from;
            if (addr_from_sock(&from, &d->from[i]) == 0) {
                load_node_receive(d->node, d->now, &from, d->data[i],
                                  d->in[i].msg_len,
                                  udp_age(&d->in[i].msg_hdr, wall));
            }
        }
    }
}

/* Exchanges state with other duties; returns the time of the next call. */
static ms_t
exchange(load_duty_t *d)
{
    load_exchange_t *x = &d->t->load;
    load_node_stats_t stats;

    if (d->now < d->inputs_at) {
        return d->inputs_at;
    }
    update_peers(d);
    load_node_view(d->node, d->now, &d->view);
    update_names(d);
    load_node_stats(d->node, d->now, &stats);
    pthread_mutex_lock(&x->lock);
    x->view = d->view;
    x->view_at = d->now;
    x->stats = stats;
    pthread_mutex_unlock(&x->lock);
    log_changes(d, &stats);
    d->inputs_at = d->now + LOAD_FAST_PERIOD_MS;
    return d->inputs_at;
}

void
load_run(duty_t *self, void *tagged)
{
    static load_duty_t d;
    struct pollfd fds[2];
    load_node_spec_t spec = {.emit = emit, .is_known = is_known, .arg = &d};
    ms_t next = 0, due;

    d.t = tagged;
    spec.data_centre = load_name_id(d.t->settings.data_centre);
    spec.incarnation = hash_mix((uint64_t)clock_wall(), (uint64_t)getpid());
    d.node = load_node_new(&spec);
    if (d.node == NULL) {
        log_line(LVL_ERROR, "load", "Out of memory, no load is shared.");
        return;
    }
    d.now = clock_now();
    while (!duty_stopping(self)) {
        fds[1] = (struct pollfd){.fd = d.t->load_fd, .events = POLLIN};
        duty_wait(self, fds, 2, next > d.now ? next - d.now : 0);
        d.now = clock_now();
        receive(&d);
        update_own(&d);
        due = exchange(&d);
        next = load_node_tick(d.node, d.now);
        next = due < next ? due : next;
    }
    load_node_free(d.node);
}
