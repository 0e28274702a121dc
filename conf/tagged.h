/* tagged: settings of an instance that serves tagged flows (flow/). */
#ifndef SISKIN_CONF_TAGGED_H
#define SISKIN_CONF_TAGGED_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TAGGED_NAME_LEN 64
#define TAGGED_SEEDS_MAX 8
#define TAGGED_FEATURES_MAX 64

typedef enum {
    SHARE_LOAD_OFF,
    SHARE_LOAD_ON,
    SHARE_LOAD_AUTO /* by the features */
} share_load_t;

typedef struct {
    char name[TAGGED_NAME_LEN]; /* of the instance, unique */
    char data_centre[TAGGED_NAME_LEN];
    addr_t flow_addr;    /* UDP: callers' packets */
    addr_t ready_addr;   /* HTTP: readiness check */
    addr_t admin_addr;   /* HTTP: metrics, status, state for peers */
    char store_url[128]; /* of the platform's store */
    uint32_t stop_ms;    /* from SIGTERM until the platform kills it */
    uint32_t records;    /* limit of flows on record */
    uint32_t followers;  /* limit of instances that follow this one */
    double link_mbps;    /* rate of the outgoing link; 0: unset */
    /* Time limits, counted from the moment the store has a change. */
    double apply_ms; /* until a version is in force */
    double drain_ms; /* until a leaving upstream gets no new flow */

    double flow_ttl_s; /* upper bound of a flow's lifetime */
    /* Limit of new flows a second at an upstream in slow start: its configured
     * rate times WARM_UP_OVER, plus WARM_UP_SLACK; see flow_spec_t. */
    double warm_up_over, warm_up_slack;
    log_level_t log_level;
    uint32_t n_seeds;
    addr_t seed[TAGGED_SEEDS_MAX]; /* admin addresses of some instances */
    addr_t load_addr;    /* UDP: messages of other instances that share load;
                          * zero: none */
    unsigned share_load; /* share_load_t */
    uint32_t n_features;
    /* What the platform states about the deployment, in its own words. */
    char feature[TAGGED_FEATURES_MAX][TAGGED_NAME_LEN];
} tagged_settings_t;

/* True when TEXT has a "kind" key with a string value, as settings of tagged
 * flows do; tagged_settings_parse() checks the value. */
bool text_is_tagged_settings(const char *text);
/* 0, or -EINVAL with "file:line" in E's peer. */
int tagged_settings_parse(tagged_settings_t *s, const char *file,
                          const char *text, err_t *e);

#ifdef __cplusplus
}
#endif

#endif
