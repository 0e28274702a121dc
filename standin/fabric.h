/* fabric: the users' fabric as a stand-in: any datagram goes to any instance
 * of the platform's lagging list.  Used by callers (towards the service) and
 * by upstreams (towards the return addresses).
 */
#ifndef SISKIN_STANDIN_FABRIC_H
#define SISKIN_STANDIN_FABRIC_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_FABRIC_MAX 1024
#define SI_FABRIC_POLL_MS 500

/* An instance as the fabric sees it. */
typedef struct {
    char name[64];
    char service_ip[48]; /* callers' datagrams; "": the service's own */
    addr_t return_addr;  /* upstreams' datagrams */
    bool leaving;
} si_target_t;

typedef struct si_fabric si_fabric_t;

/* Polls the platform at URL in a thread of its own.  URL may be NULL: the
 * list is then only what si_fabric_set() gives. */
si_fabric_t *si_fabric_open(const char *url, uint64_t seed);
void si_fabric_close(si_fabric_t *f);

/* Replaces the list. */
void si_fabric_set(si_fabric_t *f, const si_target_t *list, size_t n);
/* Reads the platform's answer.  The number of instances, or -EPROTO. */
int si_fabric_parse(const char *json, si_target_t *out, size_t cap);

/* Of 100 datagrams, so many are lost and so many delivered twice. */
void si_fabric_faults(si_fabric_t *f, int lose, int repeat);
/* How often the next datagram arrives: 0, 1 or 2 times. */
int si_fabric_copies(si_fabric_t *f);

/* A random instance that isn't leaving (any, if all are).  False when the
 * list is empty. */
bool si_fabric_pick(si_fabric_t *f, si_target_t *out);
/* How many instances the list has. */
size_t si_fabric_size(si_fabric_t *f);
/* Has any list so far had ADDR as a return address?  Such an address stands
 * for all instances, also after its own has gone. */
bool si_fabric_is_return(si_fabric_t *f, const addr_t *addr);

#ifdef __cplusplus
}
#endif

#endif
