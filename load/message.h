/* Messages between the instances that share load.  Private to load/. */
#ifndef SISKIN_LOAD_MESSAGE_H
#define SISKIN_LOAD_MESSAGE_H

#include "load/load.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    LOAD_REPORT, /* from a child: the sum of its subtree */
    LOAD_ROOT,   /* from a root: the sum of its data centre's subtree */
    LOAD_SUMS,   /* from a parent: sums of data centres */
    LOAD_LEAVE,  /* the sender's report or root sum is void */
    LOAD_MESSAGES
} load_message_kind_t;

typedef struct {
    load_message_kind_t kind;
    uint64_t incarnation, seq; /* of the sender */
    bool pressing;             /* sums are needed at the fast period */
    ms_t period_ms;            /* until the sender's next report */
    uint32_t depth;            /* levels below the sender */
    load_view_t sums;
} load_message_t;

/* Writes M with the sums from *FIRST on that fit, and sets *FIRST to the first
 * one that doesn't.  Returns the length. */
size_t load_message_write(uint8_t out[LOAD_MESSAGE_MAX],
                          const load_message_t *m, uint32_t *first);
/* -EPROTO: the message is malformed. */
int load_message_read(load_message_t *m, const uint8_t *data, size_t len);

/* Value I of the rates in S, in the order of load_service_t. */
#define LOAD_SERVICE_VALUES 16

static inline float *
load_service_value(load_service_t *s, size_t i)
{
    void *first = (char *)s + offsetof(load_service_t, opened);

    return (float *)first + i;
}

#ifdef __cplusplus
}
#endif

#endif
