/* kern: the micro-kernel.  A program is a set of duties, looked up by name.
 * A duty is one thread with one bounded inbox.  Its state is private to its
 * thread.  (In a micro-kernel these are usually called services; here
 * "service" means what callers reach.)
 *
 * Sending never blocks: a full inbox returns -EAGAIN and counts the refusal.
 * Packets are never allocated on the heap: fixed-size buffers are taken from a
 * pool and returned to it.
 */
#ifndef SISKIN_KERN_H
#define SISKIN_KERN_H

#include "base/base.h"

#include <poll.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DUTIES_MAX 16
#define DUTY_NAME_LEN 16

typedef struct kern kern_t;
typedef struct duty duty_t;

/* The thread's main function; must return once duty_stopping() is true. */
typedef void duty_run_t(duty_t *self, void *arg);

typedef struct {
    const char *name;
    duty_run_t *run; /* NULL: runs on the caller's own thread */
    void *arg;
    unsigned inbox_size;         /* ring size, a power of two >= 4; the inbox
                                  * holds one message less */
    bool single_sender;          /* only one thread sends: SPSC ring */
    void (*free_msg)(void *msg); /* frees a message left in the inbox */
} duty_spec_t;

kern_t *kern_new(void);
/* Doesn't stop the duties: call kern_stop() first.  Passes messages left in
 * the inboxes to free_msg(). */
void kern_free(kern_t *k);

/* Registers a duty.  -EEXIST: the name is in use; -ENOSPC: DUTIES_MAX
 * duties exist. */
int kern_add(kern_t *k, const duty_spec_t *spec);
/* Returns NULL if there is no duty of that name. */
duty_t *kern_find(const kern_t *k, const char *name);
/* Starts a thread for each duty that has a main function, in the order of
 * kern_add(). */
int kern_start(kern_t *k);
/* Requests all duties to stop and joins them, with a timeout of WAIT_MS for
 * all together.  -ETIMEDOUT: a duty is still in a blocking call; K must not be
 * freed then. */
int kern_stop(kern_t *k, ms_t wait_ms);

kern_t *duty_kern(const duty_t *d);
const char *duty_name(const duty_t *d);
bool duty_stopping(const duty_t *d);

/* ---- Messages ---- */

/* Enqueues MSG to D without waking D.  -EAGAIN: the inbox is full; the sender
 * keeps ownership of MSG. */
int duty_put(duty_t *d, void *msg);
/* Wakes D if it sleeps.  Call this once after a batch of duty_put(). */
void duty_wake(duty_t *d);
/* duty_put() and duty_wake(). */
int duty_post(duty_t *d, void *msg);
/* Dequeues up to N messages without waiting.  Only D's thread may call this.
 */
size_t duty_take(duty_t *d, void **out, size_t n);
/* Sleeps until a message, a stop request, an event on FDS or the timeout of
 * WAIT_MS (negative: none).  FDS may be NULL; otherwise FDS[0] is reserved for
 * the wake-up descriptor, and callers use FDS[1] to FDS[N-1]. */
void duty_wait(duty_t *d, struct pollfd *fds, size_t n, ms_t wait_ms);

/* The two halves of duty_wait(), for a duty that sleeps in another call, such
 * as epoll_wait() or zmq_poll(), which must watch duty_fd().
 * duty_prepare_sleep() marks D as asleep; it returns false if a message or a
 * stop request is pending, and D must not sleep then.  duty_finish_sleep()
 * must follow in both cases. */
bool duty_prepare_sleep(duty_t *d);
void duty_finish_sleep(duty_t *d);
int duty_fd(const duty_t *d);

/* Number of messages in the inbox, and the most that it holds. */
unsigned duty_depth(const duty_t *d);
unsigned duty_capacity(const duty_t *d);
/* Number of messages refused because the inbox was full. */
uint64_t duty_refused_count(const duty_t *d);

/* ---- Buffers ---- */

/* A pool of fixed-size slots.  Only one thread may call pool_get(); any thread
 * may call pool_put(). */
typedef struct pool pool_t;

pool_t *pool_new(unsigned n, size_t size);
void pool_free(pool_t *p);
void *pool_get(pool_t *p); /* NULL: the pool is empty */
void pool_put(pool_t *p, void *slot);

/* ---- Sockets ---- */

/* Opens and binds a non-blocking UDP socket with receive timestamps
 * (SO_TIMESTAMPNS).  Returns the descriptor, or a negative errno with E
 * set. */
int udp_open(const addr_t *a, err_t *e);

/* Size of the msg_control buffer for a receive timestamp. */
#define UDP_TIMESTAMP_LEN CMSG_SPACE(sizeof(struct timespec))

/* The time from the arrival of a datagram to NOW (clock_wall()), from the
 * receive timestamp in H.  0 without a timestamp, and never negative.  A step
 * of the wall clock in between distorts the result. */
ms_t udp_age(struct msghdr *h, ms_t now);

/* ---- Counters: one writing thread, any number of readers ---- */

static inline void
counter_set(uint64_t *c, uint64_t n)
{
    __atomic_store_n(c, n, __ATOMIC_RELAXED);
}

static inline uint64_t
counter_read(const uint64_t *c)
{
    return __atomic_load_n(c, __ATOMIC_RELAXED);
}

static inline void
counter_add(uint64_t *c, uint64_t n)
{
    counter_set(c, counter_read(c) + n);
}

#ifdef __cplusplus
}
#endif

#endif
