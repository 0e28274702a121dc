/* base: utilities shared by all parts of siskinfork: time, arrays, addresses,
 * errors, hashing, random numbers, intrusive lists, logs and histograms.
 */
#ifndef SISKIN_BASE_H
#define SISKIN_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/socket.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

/* ---- Time ---- */

/* A time on the monotonic clock, or a duration, in milliseconds. */
typedef int64_t ms_t;

#define MS_NEVER INT64_MAX

/* The monotonic clock.  The decision code never calls this. */
ms_t clock_now(void);
/* The wall clock, in milliseconds since 1970.  May step. */
ms_t clock_wall(void);
/* Converts a timespec of either clock. */
ms_t timespec_to_ms(const struct timespec *ts);

/* ---- Arrays ---- */

/* Grows ARRAY (malloc, or NULL) of *CAP elements of SIZE bytes to at least
 * NEED elements, by doubling the capacity.  Returns the array, which may have
 * moved, and updates *CAP.  Returns NULL if memory runs out; ARRAY is
 * unchanged then. */
void *array_grow(void *array, size_t *cap, size_t need, size_t size);

/* ---- Output buffers ---- */

/* A buffer of fixed capacity, supplied by the caller: avoids allocation. */
typedef struct {
    uint8_t *p;
    size_t len, cap;
} buffer_t;

/* Appends LEN bytes of DATA to BUFFER, a buffer_t.  Returns -1, and leaves it
 * unchanged, if they don't fit.  Serves as the writer of a msgpack_packer. */
int buffer_write(void *buffer, const char *data, size_t len);

/* ---- Addresses ---- */

/* An IP address and a UDP or TCP port.  IPv4 is stored as ::ffff:a.b.c.d. */
typedef struct {
    uint8_t ip[16]; /* network byte order */
    uint16_t port;  /* host byte order */
} addr_t;

#define ADDR_STRLEN 56 /* "[v6]:port" and its NUL */

/* Parses "127.0.0.1:5683" or "[::1]:5683".  Returns 0 or -EINVAL. */
int addr_parse(addr_t *a, const char *s);
/* Writes the text form into BUF (ADDR_STRLEN bytes) and returns BUF. */
const char *addr_text(const addr_t *a, char *buf);
bool addr_eq(const addr_t *a, const addr_t *b);
bool addr_is_zero(const addr_t *a);
/* Conversion to and from a socket address.  addr_to_sock() returns its length;
 * addr_from_sock() returns 0 or -EAFNOSUPPORT. */
socklen_t addr_to_sock(const addr_t *a, struct sockaddr_storage *ss);
int addr_from_sock(addr_t *a, const struct sockaddr_storage *ss);

/* ---- Errors ---- */

/* Functions return 0 or a negative errno.  Where a caller needs more detail,
 * they fill in an err_t. */
typedef struct {
    int code;       /* negative errno; 0: no error */
    char step[32];  /* the operation that failed, such as "platform read" */
    char peer[64];  /* its object: an address, a file and line, a name */
    char text[256]; /* message: what failed and what was expected */
} err_t;

/* Fills in E (may be NULL) and returns CODE. */
int err_set(err_t *e, int code, const char *step, const char *peer,
            const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/* ---- Hashing and random numbers (xxHash) ---- */

uint64_t hash64(const void *p, size_t n, uint64_t seed);
/* Hashes two words; cheap, for rendezvous hashing. */
uint64_t hash_mix(uint64_t a, uint64_t b);

/* A deterministic generator: the same seed gives the same sequence. */
typedef struct {
    uint64_t seed;
    uint64_t count;
} rng_t;

uint64_t rng_next(rng_t *r);
/* A random number in [0, n); n > 0. */
uint32_t rng_below(rng_t *r, uint32_t n);

/* ---- Intrusive doubly linked lists ---- */

typedef struct link link_t;
struct link {
    link_t *prev, *next; /* point to the link itself when unlinked */
};

static inline void
list_init(link_t *l)
{
    l->prev = l->next = l;
}

static inline bool
list_empty(const link_t *l)
{
    return l->next == l;
}

static inline void
list_remove(link_t *l)
{
    l->prev->next = l->next;
    l->next->prev = l->prev;
    list_init(l);
}

static inline void
list_append(link_t *head, link_t *l)
{
    l->prev = head->prev;
    l->next = head;
    head->prev->next = l;
    head->prev = l;
}

#define CONTAINER_OF(ptr, type, field)                                        \
    ((type *)((char *)(ptr)-offsetof(type, field)))
#define LIST_EACH(it, head)                                                   \
    for (link_t *it = (head)->next, *it##_n = it->next; it != (head);         \
         it = it##_n, it##_n = it->next)

/* ---- Logs (log4c) ---- */

typedef enum { LVL_ERROR, LVL_WARN, LVL_INFO, LVL_DEBUG } log_level_t;

/* Writes lines to standard error, unless log_start_writer() is called.  Line
 * format: time, level, NAME, "part: sentence key=value ..."; NAME is the
 * program, such as "siskind-3". */
int log_open(const char *name, log_level_t level);
/* Parses "error", "warn", "info" or "debug"; -EINVAL otherwise. */
int log_level_parse(const char *s);
void log_line(log_level_t level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void log_set_level(log_level_t level);
/* For daemons: writes all further lines to FD through a bounded buffer and a
 * separate thread, so that logging never blocks the caller. */
int log_start_writer(int fd);
/* Number of lines dropped because the buffer was full. */
uint64_t log_dropped_lines(void);
/* Flushes the buffer, with a timeout, and closes the log. */
void log_close(void);

/* ---- Histograms ---- */

/* Log-linear: 4 linear buckets for each power of two, from 0 to 2^32 - 1.  The
 * last bucket counts larger values too. */
#define HIST_SLOTS 124
typedef struct {
    uint64_t count;
    uint64_t sum;
    uint64_t slot[HIST_SLOTS];
} hist_t;

void hist_add(hist_t *h, uint64_t v);
/* Upper bound of the bucket that contains quantile Q (0 to 1). */
uint64_t hist_quantile(const hist_t *h, double q);
/* Upper bound of bucket I, inclusive. */
uint64_t hist_bound(int i);
/* Writes a Prometheus metric without labels; TYPE is "counter" or "gauge". */
void metric_print(FILE *f, const char *type, const char *name, uint64_t n);
/* Writes H as a Prometheus histogram; LABELS is such as
 * "service=\"a\",class=\"b\"", or "". */
void hist_print(FILE *f, const char *name, const char *labels,
                const hist_t *h);

#ifdef __cplusplus
}
#endif

#endif
