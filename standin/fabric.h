/* fabric: a stand-in for the network fabric.  Delivers each datagram to a
 * random instance of the platform's delayed instance list.  Used by callers
 * (towards the service) and by upstreams (towards the return addresses).
 */
#ifndef SISKIN_STANDIN_FABRIC_H
#define SISKIN_STANDIN_FABRIC_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_FABRIC_MAX 1024
#define SI_FABRIC_POLL_MS 500

/* An instance in the fabric's list. */
typedef struct {
    char name[64];
    char service_ip[48]; /* for callers' datagrams; "": the service's IP */
    addr_t return_addr;  /* for upstreams' datagrams */
    bool leaving;
} si_target_t;

typedef struct si_fabric si_fabric_t;

/* Polls the platform at URL in a separate thread.  With a NULL URL only
 * si_fabric_set() changes the list. */
si_fabric_t *si_fabric_open(const char *url, uint64_t seed);
void si_fabric_close(si_fabric_t *f);

/* Replaces the list. */
void si_fabric_set(si_fabric_t *f, const si_target_t *list, size_t n);
/* Parses the platform's answer.  Returns the number of instances, or -EPROTO.
 */
int si_fabric_parse(const char *json, si_target_t *out, size_t cap);

/* Sets the percentages of datagrams that are lost and delivered twice. */
void si_fabric_set_faults(si_fabric_t *f, int lose, int repeat);
/* The number of copies to deliver of the next datagram: 0, 1 or 2. */
int si_fabric_copies(si_fabric_t *f);

/* Picks a random instance that isn't leaving, or any if all are leaving.
 * False when the list is empty. */
bool si_fabric_pick(si_fabric_t *f, si_target_t *out);
/* The number of instances in the list. */
size_t si_fabric_size(si_fabric_t *f);
/* True when ADDR is or was a return address of any instance.  A return address
 * denotes all instances, even after its own instance has left. */
bool si_fabric_is_return(si_fabric_t *f, const addr_t *addr);

#ifdef __cplusplus
}
#endif

#endif
