/* Shared by the files of the decide duty, which all run on one thread. */
#ifndef SISKIND_DECIDE_H
#define SISKIND_DECIDE_H

#include "siskind/siskind.h"

/* Limit of the upstreams in a snapshot, and of those examined before serving.
 */
#define UPSTREAMS_SHOWN 4096

typedef struct {
    daemon_t *d;
    duty_t *receive, *send, *bulk, *roster, *main;
    core_t *core;
    members_t *members;
    conf_t *conf; /* in force; NULL before the first */
    ms_t conf_at; /* when it came into force at its source */
    port_set_t *ports;
    ms_t ports_at; /* last attempt to open the sockets */
    ms_t now;
    ms_t tick_at;
    packet_t *unsent; /* an empty packet that could not be posted */
    /* The received datagram that is being handled, and whether its buffer is
     * reused for the output.  It is posted only after core returns: send may
     * release the buffer at once, and receive would then overwrite data that
     * core still reads. */
    packet_t *current;
    bool current_taken;
    bool members_changed;
    bool listed_alone; /* the platform lists only this instance */
    /* The values last passed to core. */
    ms_t core_uncertain_at;
    uint64_t core_lowest_version;
    member_state_t state; /* of this instance */
    ms_t leave_at;        /* entered LEAVING */
    ms_t leave_check_at;  /* next check for pending work */
    ms_t gone_at;         /* entered GONE */
    bool stopping;        /* exit once nothing is pending */
    bool leave_reported;  /* MSG_LEAVE_DONE has been posted to main */
} decide_t;

/* life.c: state changes of this instance. */
void life_tick(decide_t *c);
void life_leave(decide_t *c);
int life_rejoin(decide_t *c);

/* output.c: output of core and members. */
void output_current(decide_t *c, packet_t *p);
void output_core(void *decide, const core_out_t *out);
void output_member(void *decide, const member_out_t *out);

/* view.c: handles an operator's query. */
void answer_query(decide_t *c, query_t *q);

#endif
