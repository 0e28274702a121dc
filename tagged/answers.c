/* Answers with the replica, for peers.
 *
 * Peers that start together, or hear of a change together, ask the same
 * question within moments.  A long answer is written and packed once for all
 * of them: an instance has a tenth of a core, and a link that thousands of
 * upstreams, written out for dozens of peers, fill for a minute. */
#include "tagged/tagged.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/* Shorter ones are not packed: they fit a few packets. */
#define PACK_BYTES 2048
/* Speed goes before size: entries are alike, and even this packs them to less
 * than a tenth. */
#define PACK_LEVEL 1
/* An answer is given again for so long, and says that it is so old already:
 * the whole to those who know nothing and will ask for what has changed since,
 * changes to those who waited for them. */
#define WHOLE_MS 1000
#define CHANGES_MS 100

typedef struct {
    struct MHD_Response *response; /* NULL: none */
    bool packed;
    uint64_t after, revision; /* what it answers */
    ms_t made_at;
} answer_t;

struct answers {
    pthread_mutex_t lock;
    answer_t whole, changes; /* the last of each kind */
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

/* TEXT (freed) packed, or NULL: it isn't worth it, or there is no memory. */
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
make(char *text, bool packed)
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

static bool
serves(const answer_t *w, ms_t now, const answer_t *asked, bool whole)
{
    ms_t age = now - w->made_at;

    if (w->response == NULL || w->packed != asked->packed) {
        return false;
    }
    return whole ? age <= WHOLE_MS && w->revision > asked->after
                 : age <= CHANGES_MS && w->after == asked->after &&
                       w->revision == asked->revision;
}

/* The answer to what was ASKED; under LOCK. */
static struct MHD_Response *
get(answers_t *a, replica_t *r, ms_t now, const answer_t *asked)
{
    bool whole = replica_is_behind(r, asked->after);
    answer_t *w = whole ? &a->whole : &a->changes;
    char *text;

    if (serves(w, now, asked, whole)) {
        return w->response;
    }
    if (w->response != NULL) {
        MHD_destroy_response(w->response);
    }
    *w = *asked;
    w->made_at = now;
    text = replica_text(r, now, asked->after, whole ? WHOLE_MS : CHANGES_MS);
    w->response = text != NULL ? make(text, asked->packed) : NULL;
    return w->response;
}

static bool
takes_packed(struct MHD_Connection *c)
{
    const char *accepts = MHD_lookup_connection_value(
        c, MHD_HEADER_KIND, MHD_HTTP_HEADER_ACCEPT_ENCODING);

    return accepts != NULL && strstr(accepts, "zstd") != NULL;
}

enum MHD_Result
answers_reply(answers_t *a, replica_t *r, struct MHD_Connection *c,
              uint64_t after)
{
    answer_t asked = {.packed = takes_packed(c),
                      .after = after,
                      .revision = replica_revision(r)};
    struct MHD_Response *response;
    enum MHD_Result rc = MHD_NO;

    pthread_mutex_lock(&a->lock);
    response = get(a, r, clock_now(), &asked);
    if (response != NULL) {
        rc = MHD_queue_response(c, MHD_HTTP_OK, response);
    }
    pthread_mutex_unlock(&a->lock);
    return rc;
}
