/* Instance list of the fabric, polled over HTTP (libcurl, jansson). */
#include "standin/fabric.h"

#include <curl/curl.h>
#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ANSWER_MAX (512 * 1024)
#define POLL_TIMEOUT_MS 2000L
#define RETURNS_MAX 4096

struct si_fabric {
    char url[160];
    pthread_t thread;
    bool polling, stop;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    rng_t rng;
    int lose, repeat; /* of 100 datagrams */
    si_target_t list[SI_FABRIC_MAX];
    size_t n;
    addr_t returns[RETURNS_MAX]; /* every return address listed so far */
    size_t n_returns;
};

/* The body of an HTTP answer. */
typedef struct {
    char *data;
    size_t len;
} answer_t;

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
    answer_t *a = arg;
    size_t add = size * n;
    char *p;

    if (a->len + add > ANSWER_MAX) {
        return 0;
    }
    p = realloc(a->data, a->len + add + 1);
    if (p == NULL) {
        return 0;
    }
    memcpy(p + a->len, data, add);
    a->data = p;
    a->len += add;
    a->data[a->len] = '\0';
    return add;
}

static const char *
string_field(const json_t *o, const char *key)
{
    const char *s = json_string_value(json_object_get(o, key));

    return s != NULL ? s : "";
}

int
si_fabric_parse(const char *json, si_target_t *out, size_t cap)
{
    json_t *top = json_loads(json, 0, NULL);
    json_t *array = json_object_get(top, "instances");
    size_t i, n = 0;
    json_t *o;

    if (!json_is_array(array)) {
        json_decref(top);
        return -EPROTO;
    }
    json_array_foreach(array, i, o)
    {
        si_target_t *t = &out[n];
        if (n == cap) {
            break;
        }
        *t = (si_target_t){0};
        if (addr_parse(&t->return_addr, string_field(o, "return")) < 0) {
            continue;
        }
        snprintf(t->name, sizeof(t->name), "%s", string_field(o, "name"));
        snprintf(t->service_ip, sizeof(t->service_ip), "%s",
                 string_field(o, "service_ip"));
        t->leaving = strcmp(string_field(o, "state"), "leaving") == 0;
        n++;
    }
    json_decref(top);
    return (int)n;
}

static bool
is_return(const si_fabric_t *f, const addr_t *addr)
{
    for (size_t i = 0; i < f->n_returns; i++) {
        if (addr_eq(&f->returns[i], addr)) {
            return true;
        }
    }
    return false;
}

void
si_fabric_set(si_fabric_t *f, const si_target_t *list, size_t n)
{
    pthread_mutex_lock(&f->lock);
    f->n = n < SI_FABRIC_MAX ? n : SI_FABRIC_MAX;
    memcpy(f->list, list, f->n * sizeof(*list));
    for (size_t i = 0; i < f->n; i++) {
        const addr_t *a = &f->list[i].return_addr;
        if (!is_return(f, a) && f->n_returns < RETURNS_MAX) {
            f->returns[f->n_returns++] = *a;
        }
    }
    pthread_mutex_unlock(&f->lock);
}

static void
poll_once(si_fabric_t *f, CURL *curl)
{
    answer_t a = {0};
    si_target_t *list = malloc(SI_FABRIC_MAX * sizeof(*list));
    int n = -ENOMEM;

    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &a);
    if (list != NULL && curl_easy_perform(curl) == CURLE_OK &&
        a.data != NULL) {
        n = si_fabric_parse(a.data, list, SI_FABRIC_MAX);
    }
    if (n >= 0) {
        si_fabric_set(f, list, (size_t)n);
    }
    free(list);
    free(a.data);
}

/* Waits for the poll interval; false when the fabric is being closed. */
static bool
wait_for_poll(si_fabric_t *f)
{
    struct timespec until;
    bool go;

    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += SI_FABRIC_POLL_MS * 1000000L;
    until.tv_sec += until.tv_nsec / 1000000000L;
    until.tv_nsec %= 1000000000L;
    pthread_mutex_lock(&f->lock);
    if (!f->stop) {
        pthread_cond_timedwait(&f->wake, &f->lock, &until);
    }
    go = !f->stop;
    pthread_mutex_unlock(&f->lock);
    return go;
}

static void *
poll_main(void *arg)
{
    si_fabric_t *f = arg;
    CURL *curl = curl_easy_init();

    if (curl == NULL) {
        return NULL;
    }
    curl_easy_setopt(curl, CURLOPT_URL, f->url);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, POLL_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    do {
        poll_once(f, curl);
    } while (wait_for_poll(f));
    curl_easy_cleanup(curl);
    return NULL;
}

si_fabric_t *
si_fabric_open(const char *url, uint64_t seed)
{
    si_fabric_t *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return NULL;
    }
    f->rng = (rng_t){.seed = seed};
    pthread_mutex_init(&f->lock, NULL);
    pthread_cond_init(&f->wake, NULL);
    if (url == NULL) {
        return f;
    }
    snprintf(f->url, sizeof(f->url), "%s/v1/fabric", url);
    f->polling = pthread_create(&f->thread, NULL, poll_main, f) == 0;
    if (!f->polling) {
        si_fabric_close(f);
        return NULL;
    }
    return f;
}

void
si_fabric_close(si_fabric_t *f)
{
    if (f == NULL) {
        return;
    }
    if (f->polling) {
        pthread_mutex_lock(&f->lock);
        f->stop = true;
        pthread_cond_signal(&f->wake);
        pthread_mutex_unlock(&f->lock);
        pthread_join(f->thread, NULL);
    }
    pthread_cond_destroy(&f->wake);
    pthread_mutex_destroy(&f->lock);
    free(f);
}

void
si_fabric_set_faults(si_fabric_t *f, int lose, int repeat)
{
    pthread_mutex_lock(&f->lock);
    f->lose = lose;
    f->repeat = repeat;
    pthread_mutex_unlock(&f->lock);
}

int
si_fabric_copies(si_fabric_t *f)
{
    int k, copies = 1;

    pthread_mutex_lock(&f->lock);
    if (f->lose + f->repeat > 0) {
        k = (int)rng_below(&f->rng, 100);
        copies = k < f->lose ? 0 : k < f->lose + f->repeat ? 2 : 1;
    }
    pthread_mutex_unlock(&f->lock);
    return copies;
}

static size_t
count_active(const si_fabric_t *f)
{
    size_t n = 0;

    for (size_t i = 0; i < f->n; i++) {
        n += !f->list[i].leaving;
    }
    return n;
}

bool
si_fabric_pick(si_fabric_t *f, si_target_t *out)
{
    size_t active, k;

    pthread_mutex_lock(&f->lock);
    if (f->n == 0) {
        pthread_mutex_unlock(&f->lock);
        return false;
    }
    active = count_active(f);
    k = rng_below(&f->rng, (uint32_t)(active ? active : f->n));
    for (size_t i = 0; i < f->n; i++) {
        if (active > 0 && f->list[i].leaving) {
            continue;
        }
        if (k-- == 0) {
            *out = f->list[i];
            break;
        }
    }
    pthread_mutex_unlock(&f->lock);
    return true;
}

size_t
si_fabric_size(si_fabric_t *f)
{
    size_t n;

    pthread_mutex_lock(&f->lock);
    n = f->n;
    pthread_mutex_unlock(&f->lock);
    return n;
}

bool
si_fabric_is_return(si_fabric_t *f, const addr_t *addr)
{
    bool yes;

    pthread_mutex_lock(&f->lock);
    yes = is_return(f, addr);
    pthread_mutex_unlock(&f->lock);
    return yes;
}
