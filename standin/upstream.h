/* upstream: a stand-in for one upstream that conforms to docs/UPSTREAM.md.
 * Does no I/O itself: datagrams and the time are arguments; datagrams and
 * lines of the run log go out through callbacks.  The program si_upstream runs
 * many of them, each on its own socket.
 */
#ifndef SISKIN_STANDIN_UPSTREAM_H
#define SISKIN_STANDIN_UPSTREAM_H

#include "wire/wire.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SI_ID_MAX 40 /* a payload ID with its NUL */

/* The upstream's output callbacks. */
typedef struct {
    void *arg;
    void (*send)(void *arg, const addr_t *to, const uint8_t *data, size_t len);
    void (*log)(void *arg, const char *line); /* may be NULL */
} si_upstream_out_t;

typedef struct {
    addr_t service, addr;
    bool opaque; /* protocol "udp": datagrams are echoed */
    uint32_t epoch;
    uint16_t slots;
    uint16_t queue; /* limit of requests waiting for a slot */
    uint32_t connections;
    ms_t service_ms;
    ms_t warmup_ms; /* after a start, when requests take 5 times as long */
    ms_t idle_ms;   /* a connection idle for longer is removed */
    ms_t load_lag_ms;
    ms_t notify_interval_ms;
    int con_every;
    ms_t ack_ms;
    uint32_t refusal_max_age_s; /* Max-Age of a refusal */
} si_upstream_params_t;

#define SI_UPSTREAM_PARAMS                                                    \
    {                                                                         \
        .epoch = 1, .slots = 2, .queue = 8, .connections = 2000,              \
        .service_ms = 20, .idle_ms = 120000, .notify_interval_ms = 500,       \
        .con_every = 4, .ack_ms = 2000, .refusal_max_age_s = 1                \
    }

typedef struct {
    uint64_t executed, duplicates, cancelled, shed, late;
    uint64_t misdelivered; /* addressed to another service */
    uint64_t probe_mismatch, malformed, echoed;
} si_upstream_stats_t;

typedef struct si_upstream si_upstream_t;

si_upstream_t *si_upstream_new(const si_upstream_params_t *p,
                               const si_upstream_out_t *out, ms_t now);
void si_upstream_free(si_upstream_t *u);

void si_upstream_receive(si_upstream_t *u, ms_t now, const addr_t *from,
                         const uint8_t *data, size_t len);
/* To be called every few milliseconds. */
void si_upstream_tick(si_upstream_t *u, ms_t now);

/* Clears all state, is unreachable for DOWN_MS, and then starts with the next
 * epoch, as an upstream of SERVICE (NULL: the same service). */
void si_upstream_restart(si_upstream_t *u, ms_t now, ms_t down_ms,
                         const addr_t *service);
/* Unreachable until restarted. */
void si_upstream_kill(si_upstream_t *u);
void si_upstream_drain(si_upstream_t *u, bool on);
/* While ON, the load endpoint repeats the last reported values. */
void si_upstream_freeze(si_upstream_t *u, bool on);
/* The load endpoint reports BUSY running requests; negative: the real value.
 */
void si_upstream_fake_load(si_upstream_t *u, int busy);

const si_upstream_params_t *si_upstream_params(const si_upstream_t *u);
const si_upstream_stats_t *si_upstream_stats(const si_upstream_t *u);
/* Counters and state for the admin port. */
json_t *si_upstream_json(const si_upstream_t *u);

#ifdef __cplusplus
}
#endif

#endif
