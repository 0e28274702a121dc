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
#define PACK_BYTES 2048
/* Speed matters more than size: entries are alike, and even this level
 * compresses them to about a tenth. */
#define PACK_LEVEL 1
/* Lifetimes of a cached answer, which are included in its stated age: of the
 * whole replica, for peers without data, which request the changes since; of
 * changes, for peers that long-polled for them. */
#define WHOLE_LIFETIME_MS 1000
#define CHANGES_LIFETIME_MS 100

typedef struct {
    struct MHD_Response *response; /* NULL: empty */
    answer_query_t question[TOPICS];
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
pack(char *text, size_t *len)
{
    size_t n = strlen(text), room = ZSTD_compressBound(n);
    void *out = n < PACK_BYTES ? NULL : malloc(room);

    if (out == NULL) {
        return NULL;
    }
    *len = ZSTD_compress(out, room, text, n, PACK_LEVEL);
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
    void *out = packed ? pack(text, &len) : NULL;
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
answer_is_reusable(const answer_query_t *kept, ms_t age,
                   const answer_query_t *asked)
{
    if (kept->packed != asked->packed ||
        kept->differences != asked->differences ||
        kept->whole != asked->whole) {
        return false;
    }
    return asked->whole
               ? age <= WHOLE_LIFETIME_MS && kept->revision > asked->after
               : age <= CHANGES_LIFETIME_MS && kept->after == asked->after &&
                     kept->revision == asked->revision;
}

/* Writes the requested part of each topic as text.  NULL without memory. */
static char *
write_topics(replica_t *const r[TOPICS], ms_t now, ms_t lifetime_ms,
             const answer_query_t asked[TOPICS])
{
    char *text[TOPICS], *out = NULL;
    bool all = true;

    for (int i = 0; i < TOPICS; i++) {
        text[i] = replica_text(r[i], now, asked[i].after, lifetime_ms,
                               asked[i].differences);
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
is_reusable(const cached_answer_t *kept, ms_t now,
            const answer_query_t asked[TOPICS])
{
    bool all = kept->response != NULL;

    for (int i = 0; i < TOPICS && all; i++) {
        all = answer_is_reusable(&kept->question[i], now - kept->made_at,
                                 &asked[i]);
    }
    return all;
}

/* Returns the response to ASKED, from the cache if possible; called with LOCK
 * held. */
static struct MHD_Response *
cached_response(answers_t *a, replica_t *const r[TOPICS], ms_t now,
                const answer_query_t asked[TOPICS])
{
    bool whole = asked[TOPIC_UPSTREAMS].whole && asked[TOPIC_OPERATOR].whole;
    cached_answer_t *w = whole ? &a->whole : &a->changes;
    char *text;

    if (is_reusable(w, now, asked)) {
        return w->response;
    }
    if (w->response != NULL) {
        MHD_destroy_response(w->response);
    }
    text = write_topics(
        r, now, whole ? WHOLE_LIFETIME_MS : CHANGES_LIFETIME_MS, asked);
    *w = (cached_answer_t){
        .response = text != NULL ? make_response(text, asked->packed) : NULL,
        .made_at = now};
    memcpy(w->question, asked, sizeof(w->question));
    return w->response;
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
              bool differences)
{
    answer_query_t asked[TOPICS];
    struct MHD_Response *response;
    enum MHD_Result rc = MHD_NO;

    for (int i = 0; i < TOPICS; i++) {
        asked[i] = (answer_query_t){.packed = accepts_zstd(c),
                                    .differences = differences,
                                    .whole = replica_is_behind(r[i], after[i]),
                                    .after = after[i],
                                    .revision = replica_revision(r[i])};
    }
    pthread_mutex_lock(&a->lock);
    response = cached_response(a, r, clock_now(), asked);
    if (response != NULL) {
        rc = MHD_queue_response(c, MHD_HTTP_OK, response);
    }
    pthread_mutex_unlock(&a->lock);
    return rc;
}
