/* Answers to peers with the replica.
 *
 * Peers that start together, or learn of a change together, send the same
 * request within moments.  Written for each of them, a list of thousands of
 * upstreams fills a small instance's link for half a second per peer, and when
 * hundreds of instances start together the last ones have no data for many
 * seconds.  A long answer is therefore written and compressed once for all. */
#include "tagged/tagged.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/* Shorter answers are not compressed: they fit a few packets. */
#define COMPRESS_MIN_BYTES 2048
/* Speed matters more than size: entries are alike, and even this level
 * compresses them to about a tenth. */
#define COMPRESS_LEVEL 1
/* Lifetimes of a cached answer, which are included in its stated age: of the
 * whole replica, for peers without data, which request the changes since; of
 * changes, for peers that long-polled for them. */
#define WHOLE_LIFETIME_MS 1000
#define CHANGES_LIFETIME_MS 100

typedef struct {
    struct MHD_Response *response; /* NULL: empty */
    answer_query_t query[TOPICS];
    ms_t made_at;
} cached_answer_t;

struct answers {
    pthread_mutex_t lock;
    cached_answer_t whole, changes; /* the latest of each kind */
};

answers_t *
answers_new(void)
{
    answers_t *a = calloc(1, sizeof(*a));

    if (a != NULL) {
        pthread_mutex_init(&a->lock, NULL);
    }
    return a;
}

/* Returns TEXT (freed) compressed, or NULL if it is too short or without
 * memory. */
static void *
compress_text(char *text, size_t *len)
{
    size_t n = strlen(text), room = ZSTD_compressBound(n);
    void *out = n < COMPRESS_MIN_BYTES ? NULL : malloc(room);

    if (out == NULL) {
        return NULL;
    }
    *len = ZSTD_compress(out, room, text, n, COMPRESS_LEVEL);
    if (ZSTD_isError(*len)) {
        free(out);
        return NULL;
    }
    free(text);
    return out;
}

static struct MHD_Response *
make_response(char *text, bool packed)
{
    size_t len = strlen(text);
    void *out = packed ? compress_text(text, &len) : NULL;
    struct MHD_Response *r = MHD_create_response_from_buffer(
        len, out != NULL ? out : text, MHD_RESPMEM_MUST_FREE);

    if (r == NULL) {
        free(out != NULL ? out : text);
        return NULL;
    }
    MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
                            "application/json");
    if (out != NULL) {
        MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_ENCODING, "zstd");
    }
    return r;
}

bool
answer_is_reusable(const answer_query_t *cached, ms_t age,
                   const answer_query_t *query)
{
    if (cached->packed != query->packed ||
        cached->differences != query->differences ||
        cached->whole != query->whole) {
        return false;
    }
    return query->whole
               ? age <= WHOLE_LIFETIME_MS && cached->revision > query->after
               : age <= CHANGES_LIFETIME_MS && cached->after == query->after &&
                     cached->revision == query->revision;
}

/* Writes the requested part of each topic as text.  NULL without memory. */
static char *
write_topics(replica_t *const r[TOPICS], ms_t now, ms_t lifetime_ms,
             const answer_query_t query[TOPICS])
{
    char *text[TOPICS], *out = NULL;
    bool all = true;

    for (int i = 0; i < TOPICS; i++) {
        text[i] = replica_text(r[i], now, query[i].after, lifetime_ms,
                               query[i].differences);
        all = all && text[i] != NULL;
    }
    if (all) {
        out = store_topics_serialise(text);
    }
    for (int i = 0; i < TOPICS; i++) {
        free(text[i]);
    }
    return out;
}

static bool
is_reusable(const cached_answer_t *cached, ms_t now,
            const answer_query_t query[TOPICS])
{
    bool all = cached->response != NULL;

    for (int i = 0; i < TOPICS && all; i++) {
        all = answer_is_reusable(&cached->query[i], now - cached->made_at,
                                 &query[i]);
    }
    return all;
}

/* Returns the response to QUERY, from the cache if possible; called with LOCK
 * held. */
static struct MHD_Response *
cached_response(answers_t *a, replica_t *const r[TOPICS], ms_t now,
                const answer_query_t query[TOPICS])
{
    bool whole = query[TOPIC_UPSTREAMS].whole && query[TOPIC_OPERATOR].whole;
    cached_answer_t *entry = whole ? &a->whole : &a->changes;
    char *text;

    if (is_reusable(entry, now, query)) {
        return entry->response;
    }
    if (entry->response != NULL) {
        MHD_destroy_response(entry->response);
    }
    text = write_topics(
        r, now, whole ? WHOLE_LIFETIME_MS : CHANGES_LIFETIME_MS, query);
    *entry = (cached_answer_t){
        .response = text != NULL ? make_response(text, query->packed) : NULL,
        .made_at = now};
    memcpy(entry->query, query, sizeof(entry->query));
    return entry->response;
}

static bool
accepts_zstd(struct MHD_Connection *c)
{
    const char *accepts = MHD_lookup_connection_value(
        c, MHD_HEADER_KIND, MHD_HTTP_HEADER_ACCEPT_ENCODING);

    return accepts != NULL && strstr(accepts, "zstd") != NULL;
}

enum MHD_Result
answers_reply(answers_t *a, replica_t *const r[TOPICS],
              struct MHD_Connection *c, const uint64_t after[TOPICS],
              bool deltas)
{
    answer_query_t query[TOPICS];
    struct MHD_Response *response;
    enum MHD_Result rc = MHD_NO;

    for (int i = 0; i < TOPICS; i++) {
        query[i] = (answer_query_t){.packed = accepts_zstd(c),
                                    .differences = deltas,
                                    .whole = replica_is_behind(r[i], after[i]),
                                    .after = after[i],
                                    .revision = replica_revision(r[i])};
    }
    pthread_mutex_lock(&a->lock);
    response = cached_response(a, r, clock_now(), query);
    if (response != NULL) {
        rc = MHD_queue_response(c, MHD_HTTP_OK, response);
    }
    pthread_mutex_unlock(&a->lock);
    return rc;
}
