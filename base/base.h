/* base: what every part of siskinfork shares: time, addresses, errors,
 * hashing, random numbers, intrusive lists, logs, counters and histograms.
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

/* A point on the monotonic clock, or a span, in milliseconds. */
typedef int64_t ms_t;

#define MS_NEVER INT64_MAX

/* The monotonic clock.  The decision code never calls this. */
ms_t clock_now(void);
/* The wall clock, since 1970.  It may step. */
ms_t clock_wall(void);
/* The kernel's form of either. */
ms_t clock_ms(const struct timespec *ts);

/* ---- Arrays ---- */

/* Room for NEED elements of SIZE bytes in ARRAY (malloc, or NULL), which has
 * room for *CAP: the array, moved perhaps, that doubles as often as it takes.
 * NULL without memory; ARRAY is as before then. */
void *array_grow(void *array, size_t *cap, size_t need, size_t size);

/* ---- Addresses ---- */

/* An IP address and UDP or TCP port.  IPv4 is held as ::ffff:a.b.c.d. */
typedef struct {
    uint8_t ip[16]; /* network byte order */
    uint16_t port;  /* host byte order */
} addr_t;

#define ADDR_STRLEN 56 /* "[v6]:port" and its NUL */

/* Reads "127.0.0.1:5683" or "[::1]:5683".  0, or -EINVAL. */
int addr_parse(addr_t *a, const char *s);
/* Writes the text form into BUF (ADDR_STRLEN bytes) and returns BUF. */
const char *addr_text(const addr_t *a, char *buf);
bool addr_eq(const addr_t *a, const addr_t *b);
bool addr_is_zero(const addr_t *a);
/* To and from the kernel's form; the length is returned. */
socklen_t addr_to_sock(const addr_t *a, struct sockaddr_storage *ss);
int addr_from_sock(addr_t *a, const struct sockaddr_storage *ss);

/* ---- Errors ---- */

/* Functions return 0 or a negative errno.  Where a caller needs to know more,
 * they fill an err_t. */
typedef struct {
    int code;       /* negative errno; 0: no error */
    char step[32];  /* what was being done, such as "platform read" */
    char peer[64];  /* with whom: an address, a file and line, a name */
    char text[256]; /* a sentence that says what failed and what is expected */
} err_t;

/* Fills E (may be NULL) and returns CODE. */
int err_set(err_t *e, int code, const char *step, const char *peer,
            const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/* ---- Hashing and random numbers (xxHash) ---- */

uint64_t hash64(const void *p, size_t n, uint64_t seed);
/* Mixes two words; cheap, for rendezvous ranks. */
uint64_t hash_mix(uint64_t a, uint64_t b);

/* A deterministic generator: same seed, same numbers. */
typedef struct {
    uint64_t seed;
    uint64_t count;
} rng_t;

uint64_t rng_next(rng_t *r);
/* A number in [0, n); n > 0. */
uint32_t rng_below(rng_t *r, uint32_t n);

/* ---- Intrusive doubly linked lists ---- */

typedef struct link link_t;
struct link {
    link_t *prev, *next; /* both point to the link itself when unlinked */
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

#define LIST_OWNER(ptr, type, field)                                          \
    ((type *)((char *)(ptr)-offsetof(type, field)))
#define LIST_EACH(it, head)                                                   \
    for (link_t *it = (head)->next, *it##_n = it->next; it != (head);         \
         it = it##_n, it##_n = it->next)

/* ---- Logs (log4c) ---- */

typedef enum { LVL_ERROR, LVL_WARN, LVL_INFO, LVL_DEBUG } log_level_t;

/* Lines go to standard error, unless log_start_writer() is called: time,
 * level, "part: sentence key=value ...". NAME is put before the part, as
 * "siskind-3". */
int log_open(const char *name, log_level_t level);
/* "error", "warn", "info" or "debug"; -EINVAL for others. */
int log_level_parse(const char *s);
void log_line(log_level_t level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void log_set_level(log_level_t level);
/* For a daemon: from now on lines go to FD through a bounded buffer and a
 * thread of its own, so that writing them never blocks. */
int log_start_writer(int fd);
/* Lines that found no room in the buffer. */
uint64_t log_left_out(void);
/* Writes what is left, for a bounded time. */
void log_close(void);

/* ---- Histograms ---- */

/* Log-linear: 4 linear steps in each power of two, from 1 to 2^30. */
#define HIST_SLOTS 124
typedef struct {
    uint64_t count;
    uint64_t sum;
    uint64_t slot[HIST_SLOTS];
} hist_t;

void hist_add(hist_t *h, uint64_t v);
/* The upper bound of the slot that holds quantile Q (0 to 1). */
uint64_t hist_quantile(const hist_t *h, double q);
/* The largest value counted in slot I. */
uint64_t hist_bound(int i);
/* Writes a Prometheus metric without labels; TYPE "counter" or "gauge". */
void metric_print(FILE *f, const char *type, const char *name, uint64_t n);
/* Writes H as a Prometheus histogram of that name; LABELS as
 * "service=\"a\",class=\"b\"", or "". */
void hist_print(FILE *f, const char *name, const char *labels,
                const hist_t *h);

#ifdef __cplusplus
}
#endif

#endif
