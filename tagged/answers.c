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

/* Replaces TEXT by its compressed form; false: it is too short, or there is no
 * memory. */
static bool
compress_text(store_text_t *text)
{
    size_t room = ZSTD_compressBound(text->len);
    void *out = text->len < COMPRESS_MIN_BYTES ? NULL : malloc(room);
    size_t len;

    if (out == NULL) {
        return false;
    }
    len = ZSTD_compress(out, room, text->data, text->len, COMPRESS_LEVEL);
    if (ZSTD_isError(len)) {
        free(out);
        return false;
    }
    free(text->data);
    *text = (store_text_t){.data = out, .len = len};
    return true;
}

/* TEXT is freed with the response, or here without memory. */
static struct MHD_Response *
make_response(store_text_t text, const answer_query_t *query)
{
    bool compressed = query->packed && compress_text(&text);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        text.len, text.data, MHD_RESPMEM_MUST_FREE);

    if (r == NULL) {
        free(text.data);
        return NULL;
    }
    MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
                            query->codec == CODEC_MSGPACK
                                ? "application/msgpack"
                                : "application/json");
    if (compressed) {
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
        cached->codec != query->codec || cached->part != query->part ||
        cached->whole != query->whole) {
        return false;
    }
    return query->whole
               ? age <= WHOLE_LIFETIME_MS && cached->revision > query->after
               : age <= CHANGES_LIFETIME_MS && cached->after == query->after &&
                     cached->revision == query->revision;
}

/* Serialises the requested part of each topic. */
static store_text_t
write_topics(replica_t *const r[TOPICS], ms_t now, ms_t lifetime_ms,
             const answer_query_t query[TOPICS])
{
    store_text_t text[TOPICS], out = {0};
    bool all = true;

    for (int i = 0; i < TOPICS; i++) {
        text[i] = query[i].part > 0
                      ? replica_part_text(r[i], now, query[i].codec)
                      : replica_text(r[i], now, query[i].after, lifetime_ms,
                                     query[i].differences, query[i].codec);
        all = all && text[i].data != NULL;
    }
    if (all) {
        out = store_topics_serialise(text, query->codec);
    }
    for (int i = 0; i < TOPICS; i++) {
        free(text[i].data);
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
    store_text_t text;

    if (is_reusable(entry, now, query)) {
        return entry->response;
    }
    if (entry->response != NULL) {
        MHD_destroy_response(entry->response);
    }
    text = write_topics(
        r, now, whole ? WHOLE_LIFETIME_MS : CHANGES_LIFETIME_MS, query);
    *entry = (cached_answer_t){
        .response = text.data != NULL ? make_response(text, query) : NULL,
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
              size_t part, bool deltas, store_codec_t codec)
{
    answer_query_t query[TOPICS];
    struct MHD_Response *response;
    enum MHD_Result rc = MHD_NO;
    size_t part_at = replica_part_at(r[TOPIC_UPSTREAMS]);

    for (int i = 0; i < TOPICS; i++) {
        query[i] = (answer_query_t){.packed = accepts_zstd(c),
                                    .differences = deltas,
                                    .codec = codec,
                                    .whole = replica_is_behind(r[i], after[i]),
                                    .after = after[i],
                                    .revision = replica_revision(r[i])};
    }
    query[TOPIC_UPSTREAMS].part = part_at > part ? part_at : 0;
    pthread_mutex_lock(&a->lock);
    response = cached_response(a, r, clock_now(), query);
    if (response != NULL) {
        rc = MHD_queue_response(c, MHD_HTTP_OK, response);
    }
    pthread_mutex_unlock(&a->lock);
    return rc;
}
