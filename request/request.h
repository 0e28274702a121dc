/* request: what operators ask for under load, for a limited time: shares that
 * are guaranteed, limits, work that is kept between or away from data centres,
 * and upstreams that are weighted or taken out.
 *
 * A request is an entry of the platform's store, so that all instances apply
 * the same ones and an instance that starts finds them.  It ends by the wall
 * clock of each instance, also while the store is down.
 *
 * The library uses no sockets, clocks or threads.
 */
#ifndef SISKIN_REQUEST_H
#define SISKIN_REQUEST_H

#include "admit/admit.h"
#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define REQUEST_NAME_LEN                                                      \
    64 /* name of a request, service, route or data                           \
        * centre, with its NUL */
#define REQUEST_VERSION_LEN 24
#define REQUEST_NOTE_LEN 200
#define REQUEST_AUTHOR_LEN 64
#define REQUEST_TEXT_MAX 2048 /* bytes of a request's JSON text */
#define REQUEST_LIFETIME_MAX_MS (7 * 24 * 3600 * 1000LL)
#define REQUESTS_MAX 64

/* ---- A request ---- */

typedef enum {
    REQUEST_GUARANTEE, /* a share of a service's capacity for a priority, or
                        * for the callers of a data centre */
    REQUEST_LIMIT,     /* the largest share of new flows that is admitted, of a
                        * priority of a service, or of a route */
    REQUEST_FORBID,    /* no new flows of a service between two data centres */
    REQUEST_PIN,       /* all new flows of a data centre go to another one */
    REQUEST_WEIGHT,    /* a share of the service's new flows for upstreams */
    REQUEST_OUT,       /* no new flows for upstreams */
    REQUEST_KINDS
} request_kind_t;

/* Names an upstream by id, or the upstreams of a software version. */
typedef struct {
    uint64_t id; /* 0: VERSION names them */
    char version[REQUEST_VERSION_LEN];
} request_upstreams_t;

#define REQUEST_NO_PRIORITY (-1)

typedef struct {
    char name[REQUEST_NAME_LEN];
    request_kind_t kind;
    char service[REQUEST_NAME_LEN]; /* "" for the limit of a route */
    char note[REQUEST_NOTE_LEN];
    char author[REQUEST_AUTHOR_LEN];
    int64_t created_ms, expires_ms; /* since 1970 */
    union {
        struct {
            int priority; /* REQUEST_NO_PRIORITY: of DATA_CENTRE's callers */
            char data_centre[REQUEST_NAME_LEN];
            double share; /* of the service's capacity */
        } guarantee;
        struct {
            int priority; /* REQUEST_NO_PRIORITY: of ROUTE */
            char route[REQUEST_NAME_LEN];
            double share; /* of new flows */
        } limit;
        struct {
            char from[REQUEST_NAME_LEN], to[REQUEST_NAME_LEN];
        } between; /* REQUEST_FORBID, REQUEST_PIN */
        struct {
            request_upstreams_t upstreams;
            double share; /* of the service's new flows; WEIGHT only */
        } placed;         /* REQUEST_WEIGHT, REQUEST_OUT */
    };
} request_t;

const char *request_kind_name(request_kind_t kind);
/* -EINVAL: there is no such kind. */
int request_kind_parse(request_kind_t *kind, const char *name);
/* True for a name that a store key may hold: letters, digits and ".-_". */
bool request_is_name(const char *name);
/* Returns -EINVAL, with the field in E, for a request that can't be applied:
 * a value out of range, or a name that is missing. */
int request_check(const request_t *r, err_t *e);
/* Reads the JSON text of request NAME and checks it.  Unknown fields are
 * ignored. */
int request_parse(request_t *r, const char *name, const char *text, err_t *e);
/* Returns the JSON text of R, on the heap; NULL without memory, or if a text
 * is no UTF-8. */
char *request_write(const request_t *r);

/* ---- The requests of a deployment ---- */

typedef struct {
    request_t request;
    uint64_t revision; /* of its store entry */
} request_entry_t;

/* Of two requests that contradict each other, the one of the later revision
 * applies. */
typedef struct {
    uint32_t n;
    request_entry_t entry[REQUESTS_MAX]; /* latest revision first */
} requests_t;

/* Adds a copy of R, or replaces the one of its name.  -ESTALE: the set holds a
 * later revision of it.  -ENOSPC: the set is full. */
int requests_put(requests_t *s, const request_t *r, uint64_t revision);
/* Removes the request NAME, if the set holds it. */
void requests_remove(requests_t *s, const char *name);
const request_entry_t *requests_find(const requests_t *s, const char *name);
/* Removes the requests that have expired; returns their number. */
uint32_t requests_expire(requests_t *s, int64_t now_wall);
/* The requests in force, bit I for entry I. */
uint64_t requests_in_force(const requests_t *s, int64_t now_wall);

/* ---- Look-ups ---- */

/* The rules for admission to SERVICE at an instance of DATA_CENTRE. */
void requests_admit_rules(const requests_t *s, int64_t now_wall,
                          const char *service, const char *data_centre,
                          admit_rules_t *out);
/* The largest share of ROUTE's new flows that is admitted; 1: no limit. */
double requests_route_limit(const requests_t *s, int64_t now_wall,
                            const char *route);
/* True if no new flow of SERVICE may go from data centre FROM to TO: by a
 * request that forbids it, or one that pins them to another data centre. */
bool requests_forbid(const requests_t *s, int64_t now_wall,
                     const char *service, const char *from, const char *to);
/* The data centre that all new flows of SERVICE from FROM go to, or NULL. */
const char *requests_pin(const requests_t *s, int64_t now_wall,
                         const char *service, const char *from);
/* The WEIGHT or OUT request that applies to an upstream, or NULL. */
const request_t *requests_placed(const requests_t *s, int64_t now_wall,
                                 const char *service, uint64_t id,
                                 const char *version);
/* Weight of each of N upstreams that get SHARE of a service's new flows
 * together, while each of OTHERS upstreams has weight 1 and these get
 * OTHERS_SHARE. */
double request_weight_factor(double share, uint32_t n, double others_share,
                             uint32_t others);

#ifdef __cplusplus
}
#endif

#endif
