/* A duty: its thread, its inbox (a ck_ring), sleep and wake-up. */
#include "kern/duty.h"

#include <ck_ring.h>
#include <errno.h>
#include <linux/futex.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/syscall.h>
#include <unistd.h>

/* Whether and where a duty sleeps; selects the way to wake it. */
typedef enum {
    AWAKE,
    ASLEEP_POLL, /* in poll() or similar; woken by wake_fd */
    ASLEEP_FUTEX /* on the inbox only: one system call instead of three */
} sleep_mode_t;

struct duty {
    kern_t *kern;
    duty_spec_t spec;
    char name[DUTY_NAME_LEN];
    pthread_t thread;
    bool started;
    bool stopping;     /* atomic */
    uint32_t asleep;   /* atomic, sleep_mode_t; also a futex */
    bool wake_pending; /* a write to wake_fd, done or due, is unread */
    uint64_t refused;  /* atomic; incremented by any sender */
    int wake_fd;
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
};

duty_t *
duty_new(kern_t *k, const duty_spec_t *spec)
{
    duty_t *d = calloc(1, sizeof(*d));

    if (d == NULL) {
        return NULL;
    }
    d->kern = k;
    d->spec = *spec;
    snprintf(d->name, sizeof(d->name), "%s", spec->name);
    d->slots = calloc(spec->inbox_size, sizeof(*d->slots));
    d->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (d->slots == NULL || d->wake_fd < 0) {
        duty_free(d);
        return NULL;
    }
    ck_ring_init(&d->ring, spec->inbox_size);
    return d;
}

void
duty_free(duty_t *d)
{
    void *msg;

    while (d->slots != NULL && duty_take(d, &msg, 1) == 1) {
        if (d->spec.free_msg != NULL) {
            d->spec.free_msg(msg);
        }
    }
    if (d->wake_fd >= 0) {
        close(d->wake_fd);
    }
    free(d->slots);
    free(d);
}

static void *
thread_main(void *arg)
{
    duty_t *d = arg;

    d->spec.run(d, d->spec.arg);
    return NULL;
}

int
duty_start(duty_t *d)
{
    int rc;

    if (d->spec.run == NULL) {
        return 0;
    }
    rc = pthread_create(&d->thread, NULL, thread_main, d);
    if (rc != 0) {
        return -rc;
    }
    pthread_setname_np(d->thread, d->name);
    d->started = true;
    return 0;
}

void
duty_stop(duty_t *d)
{
    __atomic_store_n(&d->stopping, true, __ATOMIC_SEQ_CST);
    duty_wake(d);
}

int
duty_join(duty_t *d, const struct timespec *deadline)
{
    if (!d->started) {
        return 0;
    }
    if (pthread_timedjoin_np(d->thread, NULL, deadline) != 0) {
        return -ETIMEDOUT;
    }
    d->started = false;
    return 0;
}

kern_t *
duty_kern(const duty_t *d)
{
    return d->kern;
}

const char *
duty_name(const duty_t *d)
{
    return d->name;
}

bool
duty_stopping(const duty_t *d)
{
    return __atomic_load_n(&d->stopping, __ATOMIC_RELAXED);
}

int
duty_put(duty_t *d, void *msg)
{
    bool queued = d->spec.single_sender
                      ? ck_ring_enqueue_spsc(&d->ring, d->slots, msg)
                      : ck_ring_enqueue_mpsc(&d->ring, d->slots, msg);

    if (!queued) {
        __atomic_add_fetch(&d->refused, 1, __ATOMIC_RELAXED);
        return -EAGAIN;
    }
    return 0;
}

static void
futex_wait(uint32_t *word, uint32_t value, ms_t wait_ms)
{
    struct timespec ts = {.tv_sec = wait_ms / 1000,
                          .tv_nsec = wait_ms % 1000 * 1000000};

    syscall(SYS_futex, word, FUTEX_WAIT_PRIVATE, value,
            wait_ms < 0 ? NULL : &ts, NULL, 0);
}

/* Without ordering, a sender could read AWAKE just before the duty goes to
 * sleep, and the message would stay in the inbox until the next event.  The
 * sender stores the message and then loads the sleep mode; prepare_sleep()
 * stores the sleep mode and then loads the inbox depth.  The memory fences on
 * both sides guarantee that at least one sees the other's store. */
void
duty_wake(duty_t *d)
{
    uint64_t one = 1;

    __atomic_thread_fence(__ATOMIC_SEQ_CST);
    if (__atomic_load_n(&d->asleep, __ATOMIC_RELAXED) == AWAKE) {
        return;
    }
    switch ((sleep_mode_t)__atomic_exchange_n(&d->asleep, AWAKE,
                                              __ATOMIC_SEQ_CST)) {
    case AWAKE:
        return; /* another sender woke D */
    case ASLEEP_FUTEX:
        syscall(SYS_futex, &d->asleep, FUTEX_WAKE_PRIVATE, 1, NULL, NULL, 0);
        return;
    case ASLEEP_POLL:
        if (write(d->wake_fd, &one, sizeof(one)) < 0) {
            return; /* the eventfd counter is full: a wake-up is pending */
        }
        return;
    }
}

int
duty_post(duty_t *d, void *msg)
{
    int rc = duty_put(d, msg);

    duty_wake(d);
    return rc;
}

size_t
duty_take(duty_t *d, void **out, size_t n)
{
    size_t i = 0;

    if (d->spec.single_sender) {
        while (i < n && ck_ring_dequeue_spsc(&d->ring, d->slots, &out[i])) {
            i++;
        }
        return i;
    }
    while (i < n && ck_ring_dequeue_mpsc(&d->ring, d->slots, &out[i])) {
        i++;
    }
    return i;
}

/* Marks D as asleep.  Returns true if D may sleep: the inbox is empty and no
 * stop was requested. */
static bool
prepare_sleep(duty_t *d, sleep_mode_t mode)
{
    __atomic_store_n(&d->asleep, mode, __ATOMIC_SEQ_CST);
    __atomic_thread_fence(__ATOMIC_SEQ_CST);
    return duty_depth(d) == 0 && !duty_stopping(d);
}

bool
duty_prepare_sleep(duty_t *d)
{
    return prepare_sleep(d, ASLEEP_POLL);
}

void
duty_finish_sleep(duty_t *d)
{
    uint64_t n;

    if (__atomic_exchange_n(&d->asleep, AWAKE, __ATOMIC_SEQ_CST) == AWAKE) {
        d->wake_pending = true;
    }
    /* The waking thread may not have written to wake_fd yet.  The descriptor
     * then becomes readable during a later sleep and is read after that. */
    if (d->wake_pending && read(d->wake_fd, &n, sizeof(n)) > 0) {
        d->wake_pending = false;
    }
}

void
duty_wait(duty_t *d, struct pollfd *fds, size_t n, ms_t wait_ms)
{
    if (fds == NULL) {
        if (prepare_sleep(d, ASLEEP_FUTEX)) {
            futex_wait(&d->asleep, ASLEEP_FUTEX, wait_ms);
        }
        __atomic_store_n(&d->asleep, AWAKE, __ATOMIC_SEQ_CST);
        return;
    }
    fds[0] = (struct pollfd){.fd = d->wake_fd, .events = POLLIN};
    poll(fds, n, duty_prepare_sleep(d) ? (int)wait_ms : 0);
    duty_finish_sleep(d);
}

int
duty_fd(const duty_t *d)
{
    return d->wake_fd;
}

unsigned
duty_depth(const duty_t *d)
{
    return ck_ring_size(&d->ring);
}

unsigned
duty_capacity(const duty_t *d)
{
    return ck_ring_capacity(&d->ring) - 1;
}

uint64_t
duty_refused_count(const duty_t *d)
{
    return counter_read(&d->refused);
}
