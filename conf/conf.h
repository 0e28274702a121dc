/* conf: the operators' configuration.  One base TOML file and one overlay per
 * data centre are checked together and merged into one conf_t, which all other
 * parts read.  The settings of a single instance are in a separate file.
 */
#ifndef SISKIN_CONF_H
#define SISKIN_CONF_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define NAME_LEN 32      /* a service, data centre or instance name + NUL */
#define CHANGE_ID_LEN 40 /* an applied change's ID (text) + NUL */
#define CONF_TEXT_MAX (16 * 1024 * 1024) /* total of all texts */

typedef enum { PROTO_UDP, PROTO_COAP } proto_t;

/* What a service favours when its upstreams change or their load differs. */
typedef enum {
    PREFER_STABILITY, /* fewer broken flows */
    PREFER_BALANCE    /* less imbalance */
} prefer_t;

typedef struct {
    addr_t addr;
    uint64_t id; /* addr_id(addr) */
    char data_centre[NAME_LEN];
    uint16_t slots;       /* concurrent requests */
    uint32_t connections; /* concurrent flows */
    uint16_t weight;      /* relative share of flows; 1..100 */
    bool draining;        /* gets no new work; current work continues */
} conf_upstream_t;

typedef struct {
    char name[NAME_LEN];
    addr_t addr; /* destination of callers' datagrams */
    proto_t proto;
    prefer_t prefer;
    uint16_t urgent_slots; /* slots of each upstream closed to uploads */
    uint16_t queue; /* limit of requests at an upstream beyond its slots */
    uint16_t retry_percent;  /* retry limit, % of forwarded requests */
    uint16_t caller_share;   /* limit of requests in progress per caller IP */
    uint32_t request_ms;     /* timeout of an unanswered request */
    uint32_t flow_idle_ms;   /* idle timeout of a flow */
    uint32_t upload_idle_ms; /* timeout of an upload without a new block */
    uint32_t feed_silent_ms; /* a feed idle for this time is probed */
    uint32_t come_back_s;    /* minimum Max-Age of a refusal */
    uint32_t n_upstreams;
    conf_upstream_t *upstreams; /* of all data centres, sorted by id */
} conf_service_t;

/* A checked configuration. */
typedef struct {
    uint64_t version; /* assigned by the platform; 0: not yet accepted */
    uint64_t hash;    /* conf_text_hash() of base and overlays */
    char change_id[CHANGE_ID_LEN];
    char site[NAME_LEN]; /* "moravia" */
    uint32_t drain_ms;   /* drain timeout of an upstream or instance */
    uint32_t n_services;
    conf_service_t *services; /* sorted by name */
} conf_t;

/* A TOML text and its name in error messages. */
typedef struct {
    const char *file;
    const char *text;
} conf_source_t;

/* Parses and checks base (SRC[0]) and overlays (SRC[1..N-1]).  On error
 * returns NULL and sets E: "file:line" in peer, a message in text.
 * Rejects unknown keys, wrong types and units, duplicate addresses, an
 * upstream in two services, a data centre with two overlays or without
 * upstreams, a service without upstreams, and values out of range. */
conf_t *conf_parse(const conf_source_t *src, size_t n, err_t *e);
void conf_free(conf_t *c);
conf_t *conf_copy(const conf_t *c);

/* Hash of the texts in their order, to compare versions by content.  The
 * names of the files don't count. */
uint64_t conf_text_hash(const conf_source_t *src, size_t n);

const conf_service_t *conf_find_service(const conf_t *c, const char *name);
const conf_service_t *conf_find_service_by_addr(const conf_t *c,
                                                const addr_t *addr);
const conf_upstream_t *conf_find_upstream(const conf_service_t *s,
                                          uint64_t id);

/* Checks that NEW may replace OLD (may be NULL).  An address may move from one
 * service to another, or between a service and an upstream, only if a version
 * without the address is in force in between.  Otherwise an instance that
 * still has OLD would use the address in its former role.  A service with
 * another name counts as another service.  The site must stay the same.
 * 0, or with E -EINVAL or -ENOMEM. */
int conf_check_step(const conf_t *old, const conf_t *new_, err_t *e);

/* Returns the overlay TEXT with "draining" of the upstream at A set and all
 * other lines unchanged; the caller frees the result.  NULL with E: -ENOENT
 * when the overlay has no such upstream, -EINVAL when the text can't be edited
 * line by line. */
char *conf_set_draining(const char *text, const addr_t *a, bool draining,
                        err_t *e);

/* Calls LINE for each difference, as "SIGN SUBJECT: WHAT" with the sign '+',
 * '-' or '~': "~ service dohled queue: 4 -> 8",
 * "+ service dohled upstream 127.2.1.1:5683: brno-sal-a, ...".
 * OLD or NEW may be NULL, which stands for an empty configuration.
 * Returns the number of differences. */
int conf_diff(const conf_t *old, const conf_t *new_,
              void (*line)(void *arg, const char *text), void *arg);

/* ---- An instance's own settings ---- */

#define PEERS_MAX 64 /* seed peers named in the settings */

/* A seed peer, used while the platform is unreachable. */
typedef struct {
    char name[NAME_LEN];
    char data_centre[NAME_LEN];
    addr_t peer_addr, bulk_addr;
} settings_peer_t;

typedef struct {
    char name[NAME_LEN]; /* of the instance, unique */
    char data_centre[NAME_LEN];
    char bind_ip[48];   /* local IP for callers' datagrams, port of the
                         * service; "" binds the service's address */
    addr_t return_addr; /* the fabric sends upstreams' datagrams here */
    addr_t own_addr;    /* receives replies to own probes and requests */
    addr_t peer_addr;   /* UDP: messages between instances */
    addr_t bulk_addr;   /* TCP: configuration between instances (ZeroMQ) */
    addr_t admin_addr;  /* HTTP: metrics, status, drain; loopback */
    char platform_url[128];
    char peer_key[65]; /* 32 bytes in hexadecimal, shared by instances */
    log_level_t log_level;
    uint16_t n_peers; /* [[peer]] tables */
    settings_peer_t peer[PEERS_MAX];
} settings_t;

/* Parse the settings from a file or from its text.  Errors are reported as by
 * conf_parse(). */
int settings_read(settings_t *s, const char *file, err_t *e);
int settings_parse(settings_t *s, const char *file, const char *text,
                   err_t *e);

/* Reads FILE, at most CONF_TEXT_MAX bytes; the caller frees the text.  NULL
 * with E on error. */
char *conf_read_file(const char *file, err_t *e);
/* True when TEXT is an overlay, that is, has a valid data_centre key, whose
 * value is copied to NAME. */
bool conf_is_overlay(const char *text, char name[NAME_LEN]);

#ifdef __cplusplus
}
#endif

#endif
