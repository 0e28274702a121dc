/* tagged: settings of an instance that serves flows with a tag (flow/). */
#ifndef SISKIN_CONF_TAGGED_H
#define SISKIN_CONF_TAGGED_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TAGGED_NAME_LEN 64
#define TAGGED_SEEDS 8

typedef struct {
    char name[TAGGED_NAME_LEN]; /* of the instance, unique */
    char data_centre[TAGGED_NAME_LEN];
    addr_t flow_addr;    /* UDP: callers' packets */
    addr_t ready_addr;   /* HTTP: may it be given packets? */
    addr_t admin_addr;   /* HTTP: metrics, status, what it knows, for peers */
    char store_url[128]; /* of the platform's store */
    uint32_t stop_ms;   /* the platform ends a process so long after SIGTERM */
    uint32_t records;   /* flows remembered */
    uint32_t followers; /* instances that may follow this one */
    double link_mbps;   /* of its outgoing link; 0: not told */
    /* After the store has it, so long until */
    double apply_ms;   /* a version is in force */
    double drain_ms;   /* an upstream that leaves gets no new flow */
    double flow_ttl_s; /* upper bound of a flow's lifetime */
    /* Bound of new flows at an upstream that warms up: see flow_spec_t. */
    double warm_up_over, warm_up_slack;
    log_level_t log_level;
    uint32_t n_seeds;
    addr_t seed[TAGGED_SEEDS]; /* admin addresses of some instances */
} tagged_settings_t;

/* True when TEXT holds such settings: it says kind = "tagged". */
bool tagged_is(const char *text);
/* 0, or -EINVAL with "file:line" in E's peer. */
int tagged_settings_parse(tagged_settings_t *s, const char *file,
                          const char *text, err_t *e);

#ifdef __cplusplus
}
#endif

#endif
