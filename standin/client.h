/* client: a stand-in for one caller: a CoAP client (RFC 7252, 7641, 7959) or
 * a sender of opaque datagrams on one socket.  Does no I/O itself, like
 * upstream.h.
 *
 * Lines of the log: "post ..." with the outcome of each non-idempotent
 * request, "feed ..." for each established feed, "uploaded ..." for each
 * completed upload, "broken ..." for each interrupted flow, "crossed ..." for
 * each answer that belongs to another client, service or request.
 */
#ifndef SISKIN_STANDIN_CLIENT_H
#define SISKIN_STANDIN_CLIENT_H

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_BLOCK_SZX 5 /* blocks of 512 bytes */
#define SI_BLOCK_LEN 512

typedef enum {
    SI_FEED,   /* an Observe registration, kept open */
    SI_POST,   /* acknowledgements, setpoints */
    SI_UPLOAD, /* Block1 */
    SI_READ,   /* GET */
    SI_ECHO,   /* opaque datagrams that the upstream echoes */
    SI_KINDS
} si_kind_t;

extern const char *const si_kind_names[SI_KINDS];

typedef enum {
    SI_ANSWERED,
    SI_REFUSED,  /* 5.03: not run */
    SI_UNKNOWN,  /* 5.04: outcome unknown */
    SI_RESTART,  /* 4.08: restart the upload */
    SI_CONFLICT, /* 4.09: cancelled */
    SI_OTHER,    /* another error code */
    SI_TIMEOUT,  /* no answer to any transmission */
    SI_OUTCOMES
} si_outcome_t;

extern const char *const si_outcome_names[SI_OUTCOMES];

/* Counters over all clients of one kind. */
typedef struct {
    uint64_t sent; /* requests, without retransmissions */
    uint64_t retransmitted;
    uint64_t outcome[SI_OUTCOMES];
    uint64_t established, notified; /* feeds */
    uint64_t uploaded;              /* completed uploads */
    uint64_t broken;  /* interrupted feeds, uploads and echo flows */
    uint64_t crossed; /* answers that belong to another request */
    hist_t ms;        /* latency from request to answer */
} si_client_stats_t;

typedef struct {
    si_kind_t kind;
    addr_t service, self;
    char name[16];           /* prefix of the payload IDs */
    ms_t ack_ms;             /* ACK_TIMEOUT */
    ms_t interval_ms;        /* from one answer to the next request */
    ms_t silence_timeout_ms; /* a feed without traffic for longer is broken */
    uint32_t blocks;         /* of an upload */
    uint64_t seed;
} si_client_params_t;

#define SI_CLIENT_PARAMS                                                      \
    {                                                                         \
        .ack_ms = 2000, .interval_ms = 500, .silence_timeout_ms = 10000,      \
        .blocks = 8                                                           \
    }

typedef struct {
    void *arg;
    void (*send)(void *arg, const uint8_t *data, size_t len);
    void (*log)(void *arg, const char *line); /* may be NULL */
} si_client_out_t;

typedef struct si_client si_client_t;

si_client_t *si_client_new(const si_client_params_t *p,
                           const si_client_out_t *out,
                           si_client_stats_t *stats, ms_t now);
void si_client_free(si_client_t *c);
void si_client_receive(si_client_t *c, ms_t now, const uint8_t *data,
                       size_t len);
void si_client_tick(si_client_t *c, ms_t now);
/* Starts no more requests, and deregisters the feed. */
void si_client_stop(si_client_t *c);
/* True when no request is pending. */
bool si_client_idle(const si_client_t *c);
/* Ends the pending request with a timeout. */
void si_client_abort(si_client_t *c, ms_t now);

#ifdef __cplusplus
}
#endif

#endif
