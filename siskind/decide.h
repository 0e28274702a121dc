/* What the files of the decide duty share; one thread runs them all. */
#ifndef SISKIND_DECIDE_H
#define SISKIND_DECIDE_H

#include "siskind/siskind.h"

#define UPSTREAMS_SHOWN 4096 /* at most, in one snapshot */

typedef struct {
    daemon_t *d;
    duty_t *receive, *send, *bulk, *roster, *main;
    core_t *core;
    members_t *members;
    conf_t *conf; /* in force; NULL before the first */
    ms_t conf_at; /* since when */
    port_set_t *ports;
    ms_t ports_at; /* last tried */
    ms_t now;
    ms_t tick_at;
    packet_t *spare; /* an empty packet that could not be posted */
    /* The datagram in hand, and whether it is to be sent on itself.  It is
     * posted only when core is done with it: send may give it back at once,
     * and receive would overwrite what core still reads. */
    packet_t *in;
    bool forward;
    bool members_changed;
    bool alone;      /* the platform's list shows this instance and no other */
    ms_t doubt_at;   /* as last told to core */
    uint64_t lowest; /* the same */
    member_state_t state; /* of this instance */
    ms_t leave_at;        /* LEAVING since */
    ms_t leave_check_at;  /* when to look next at what is pending */
    ms_t gone_at;         /* GONE since */
    bool stopping;        /* it stops when nothing is pending */
    bool left;            /* main has been told */
} decide_t;

/* life.c: from joining to leaving. */
void life_tick(decide_t *c);
void life_leave(decide_t *c);
int life_return(decide_t *c);

/* output.c: what core and members want sent. */
void output_forward(decide_t *c, packet_t *p);
void output_core(void *decide, const core_out_t *out);
void output_member(void *decide, const member_out_t *out);

/* view.c: answers an operator's question. */
void view_answer(decide_t *c, ask_t *a);

#endif
