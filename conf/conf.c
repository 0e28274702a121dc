/* The checked configuration: copy, free, lookup, hash.  Reading of files. */
#include "conf/conf.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
conf_free(conf_t *c)
{
    if (c == NULL) {
        return;
    }
    for (uint32_t i = 0; i < c->n_services; i++) {
        free(c->services[i].upstreams);
    }
    free(c->services);
    free(c);
}

static void *
duplicate(const void *p, size_t n)
{
    void *to = malloc(n);

    if (to != NULL) {
        memcpy(to, p, n);
    }
    return to;
}

conf_t *
conf_copy(const conf_t *c)
{
    conf_t *to = duplicate(c, sizeof(*c));

    if (to == NULL) {
        return NULL;
    }
    to->n_services = 0;
    to->services =
        duplicate(c->services, c->n_services * sizeof(*c->services));
    while (to->services != NULL && to->n_services < c->n_services) {
        conf_service_t *s = &to->services[to->n_services];
        s->upstreams = duplicate(c->services[to->n_services].upstreams,
                                 s->n_upstreams * sizeof(*s->upstreams));
        if (s->upstreams == NULL) {
            break;
        }
        to->n_services++;
    }
    if (to->n_services < c->n_services) {
        conf_free(to);
        return NULL;
    }
    return to;
}

uint64_t
conf_text_hash(const conf_source_t *src, size_t n)
{
    uint64_t h = n;

    for (size_t i = 0; i < n; i++) {
        h = hash_mix(h, hash64(src[i].text, strlen(src[i].text), i));
    }
    return h;
}

static int
by_name(const void *name, const void *service)
{
    return strcmp(name, ((const conf_service_t *)service)->name);
}

const conf_service_t *
conf_find_service(const conf_t *c, const char *name)
{
    if (c->n_services == 0) {
        return NULL; /* bsearch() must not get a NULL array */
    }
    return bsearch(name, c->services, c->n_services, sizeof(*c->services),
                   by_name);
}

const conf_service_t *
conf_find_service_by_addr(const conf_t *c, const addr_t *addr)
{
    for (uint32_t i = 0; i < c->n_services; i++) {
        if (addr_eq(&c->services[i].addr, addr)) {
            return &c->services[i];
        }
    }
    return NULL;
}

const conf_upstream_t *
conf_find_upstream(const conf_service_t *s, uint64_t id)
{
    uint32_t low = 0, high = s->n_upstreams;

    while (low < high) {
        uint32_t mid = low + (high - low) / 2;
        if (s->upstreams[mid].id == id) {
            return &s->upstreams[mid];
        }
        if (s->upstreams[mid].id < id) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return NULL;
}

static char *
read_stream(FILE *f, const char *file, err_t *e)
{
    char *text = malloc(CONF_TEXT_MAX + 2);
    size_t n;

    if (text == NULL) {
        err_set(e, -ENOMEM, "read", file, "Out of memory.");
        return NULL;
    }
    n = fread(text, 1, CONF_TEXT_MAX + 1, f);
    text[n] = '\0';
    if (ferror(f)) {
        err_set(e, -EIO, "read", file, "can't be read; expected a file");
    }
    else if (n > CONF_TEXT_MAX) {
        err_set(e, -EFBIG, "read", file, "too long; expected at most %d bytes",
                CONF_TEXT_MAX);
    }
    else if (strlen(text) != n) {
        err_set(e, -EINVAL, "read", file,
                "contains a NUL byte; expected TOML text");
    }
    else {
        return text;
    }
    free(text);
    return NULL;
}

char *
conf_read_file(const char *file, err_t *e)
{
    FILE *f = fopen(file, "r");
    char *text;

    if (f == NULL) {
        err_set(e, -errno, "read", file, "can't be opened: %s",
                strerror(errno));
        return NULL;
    }
    text = read_stream(f, file, e);
    fclose(f);
    return text;
}
