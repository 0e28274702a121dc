/* conf: the operators' configuration.  One base TOML file and one overlay for
 * each data centre are checked together and become one conf_t, the model that
 * every other part reads.  An instance's own settings are a separate file.
 */
#ifndef SISKIN_CONF_H
#define SISKIN_CONF_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define NAME_LEN 32      /* a service, data centre or instance name + NUL */
#define CHANGE_ID_LEN 40 /* an applied change's ID (text) + NUL */
#define CONF_TEXT_MAX (16 * 1024 * 1024) /* of all texts together */

typedef enum { PROTO_UDP, PROTO_COAP } proto_t;

/* What a service gives up first when its upstreams change or load differs. */
typedef enum {
    PREFER_STABILITY, /* fewer broken flows */
    PREFER_BALANCE    /* less imbalance */
} prefer_t;

typedef struct {
    addr_t addr;
    uint64_t id; /* addr_id(addr) */
    char data_centre[NAME_LEN];
    uint16_t slots;       /* requests it runs at once */
    uint32_t connections; /* flows it holds at once */
    uint16_t weight;      /* share of flows relative to the others; 1..100 */
    bool draining;        /* no new work; what it has goes on */
} conf_upstream_t;

typedef struct {
    char name[NAME_LEN];
    addr_t addr; /* what callers send to */
    proto_t proto;
    prefer_t prefer;
    uint16_t urgent_slots;   /* of each upstream's slots, kept from uploads */
    uint16_t queue;          /* requests an upstream may hold past its slots */
    uint16_t retry_percent;  /* retries, of the requests forwarded */
    uint16_t caller_share;   /* most requests in progress from one IP */
    uint32_t request_ms;     /* a request unanswered so long is given up */
    uint32_t flow_idle_ms;   /* a silent flow is forgotten */
    uint32_t upload_idle_ms; /* an upload without a block is forgotten */
    uint32_t feed_silent_ms; /* a feed without traffic is probed */
    uint32_t come_back_s;    /* least Max-Age of a refusal */
    uint32_t n_upstreams;
    conf_upstream_t *upstreams; /* of all data centres, sorted by id */
} conf_service_t;

/* A checked configuration. */
typedef struct {
    uint64_t version; /* the platform's number; 0: not yet accepted */
    uint64_t hash;    /* of base and overlays, as conf_text_hash() gives */
    char change_id[CHANGE_ID_LEN];
    char site[NAME_LEN]; /* "moravia" */
    uint32_t drain_ms;   /* a leaving upstream or instance is waited for */
    uint32_t n_services;
    conf_service_t *services; /* sorted by name */
} conf_t;

/* One TOML text and the name that errors give it. */
typedef struct {
    const char *file;
    const char *text;
} conf_source_t;

/* Reads and checks base (SRC[0]) and overlays (SRC[1..N-1]).  On error the
 * result is NULL and E holds "file:line" in peer and a sentence in text.
 * Checked: unknown keys, types and units, duplicate addresses, an upstream in
 * two services, a data centre named twice or without upstreams, a service
 * without any upstream, limits out of range. */
conf_t *conf_parse(const conf_source_t *src, size_t n, err_t *e);
void conf_free(conf_t *c);
conf_t *conf_copy(const conf_t *c);

/* A hash of the texts in the order given, to compare versions by content. */
uint64_t conf_text_hash(const conf_source_t *src, size_t n);

const conf_service_t *conf_service(const conf_t *c, const char *name);
const conf_service_t *conf_service_at(const conf_t *c, const addr_t *addr);
const conf_upstream_t *conf_upstream(const conf_service_t *s, uint64_t id);

/* Checks that OLD (may be NULL) may be followed by NEW: an address may pass
 * from one service to another, or between a service's own and an upstream's,
 * only through a version without it, so that no instance still trusts it in
 * its old place.  0 or -EINVAL with E. */
int conf_step_check(const conf_t *old, const conf_t *new_, err_t *e);

/* The overlay TEXT with "draining" of the upstream at A set (freed by the
 * caller); its other lines stay as they are.  NULL with E: -ENOENT when the
 * overlay has no such upstream, -EINVAL when the text is written in a way that
 * can't be edited line by line. */
char *conf_set_draining(const char *text, const addr_t *a, bool draining,
                        err_t *e);

/* Calls LINE for each difference, as "SIGN SUBJECT: WHAT" with the sign '+',
 * '-' or '~': "~ service dohled queue: 4 -> 8",
 * "+ service dohled upstream 127.2.1.1:5683: brno-sal-a, ...".
 * Either side may be NULL: nothing is configured there.
 * Returns how many there were. */
int conf_diff(const conf_t *old, const conf_t *new_,
              void (*line)(void *arg, const char *text), void *arg);

/* ---- An instance's own settings ---- */

#define PEERS_MAX 64 /* seed peers named in the settings */

/* A peer that is asked while the platform can't be. */
typedef struct {
    char name[NAME_LEN];
    char data_centre[NAME_LEN];
    addr_t peer_addr, bulk_addr;
} settings_peer_t;

typedef struct {
    char name[NAME_LEN]; /* of the instance, unique */
    char data_centre[NAME_LEN];
    char bind_ip[48];   /* where it takes callers' datagrams; port from the
                         * service; "" binds the service's own address */
    addr_t return_addr; /* the fabric hands upstreams' datagrams to this */
    addr_t own_addr;    /* replies to this instance alone: probes, requests */
    addr_t peer_addr;   /* UDP: messages between instances */
    addr_t bulk_addr;   /* TCP: configuration between instances (ZeroMQ) */
    addr_t admin_addr;  /* HTTP: metrics, status, drain; loopback */
    char platform_url[128];
    char peer_key[65]; /* 32 bytes in hexadecimal, shared by instances */
    log_level_t log_level;
    uint16_t n_peers; /* [[peer]] tables */
    settings_peer_t peer[PEERS_MAX];
} settings_t;

/* Reads the file, or its text.  Errors as conf_parse()'s. */
int settings_read(settings_t *s, const char *file, err_t *e);
int settings_parse(settings_t *s, const char *file, const char *text,
                   err_t *e);

/* The whole text of FILE (freed by the caller), at most CONF_TEXT_MAX bytes;
 * NULL with E. */
char *conf_read_file(const char *file, err_t *e);
/* True when TEXT is an overlay, not a base: it names a data centre, which
 * goes into NAME. */
bool conf_is_overlay(const char *text, char name[NAME_LEN]);

#ifdef __cplusplus
}
#endif

#endif
