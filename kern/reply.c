/* Responses of the HTTP listeners. */
#include "kern/reply.h"

#include <stdlib.h>
#include <string.h>

enum MHD_Result
http_reply(struct MHD_Connection *c, unsigned status, const char *type,
           char *text)
{
    struct MHD_Response *r;
    enum MHD_Result rc;

    if (text == NULL) {
        return MHD_NO;
    }
    r = MHD_create_response_from_buffer(strlen(text), text,
                                        MHD_RESPMEM_MUST_FREE);
    if (r == NULL) {
        free(text);
        return MHD_NO;
    }
    MHD_add_response_header(r, "Content-Type", type);
    rc = MHD_queue_response(c, status, r);
    MHD_destroy_response(r);
    return rc;
}

bool
http_request_complete(size_t *body_len, void **state)
{
    static int headers_seen;

    if (*state == NULL) {
        *state = &headers_seen;
        return false;
    }
    if (*body_len > 0) {
        *body_len = 0;
        return false;
    }
    return true;
}
