/* model: field descriptions of the configuration's tables, and the draft that
 * a configuration is parsed into.  Private to conf/. */
#ifndef SISKIN_MODEL_H
#define SISKIN_MODEL_H

#include "conf/conf.h"
#include "conf/fields.h"

#define SLOTS_MAX 10000
#define CONNECTIONS_MAX 10000000

/* Fields of conf_service_t and of conf_upstream_t. */
extern const field_t service_fields[];
extern const size_t n_service_fields;
extern const field_t upstream_fields[];
extern const size_t n_upstream_fields;

/* Defaults from the service's tables for upstreams that don't set a value. */
typedef struct {
    uint16_t slots;
    uint32_t connections;
} limits_t;

/* A service or an upstream during parsing. */
typedef struct {
    conf_service_t s;
    limits_t limits;
    int line;
} service_draft_t;

typedef struct {
    conf_upstream_t u;
    uint32_t service; /* index */
    const char *file;
    int line;
} upstream_draft_t;

typedef struct {
    const char *base_file;
    char site[NAME_LEN];
    uint32_t drain_ms;
    service_draft_t *services; /* sorted by name */
    uint32_t n_services;
    upstream_draft_t *upstreams;
    uint32_t n_upstreams;
    size_t cap_upstreams;
} draft_t;

/* Checks the rules between tables and sorts the upstreams by service and id.
 * 0 or -EINVAL. */
int draft_check(draft_t *d, err_t *e);

#endif
