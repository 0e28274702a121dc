/* Block1 uploads. */
#include "standin/uploads.h"

#include <stdlib.h>

typedef struct {
    link_t link;
    addr_t client;
    uint32_t next; /* number of the expected block */
    uint64_t bytes;
} upload_t;

void
si_uploads_init(si_uploads_t *us)
{
    list_init(&us->list);
}

static void
upload_remove(si_uploads_t *us, upload_t *up)
{
    list_remove(&up->link);
    free(up);
    us->n--;
}

void
si_uploads_clear(si_uploads_t *us)
{
    LIST_EACH (it, &us->list) {
        upload_remove(us, CONTAINER_OF(it, upload_t, link));
    }
}

static upload_t *
upload_find(si_uploads_t *us, const addr_t *client)
{
    LIST_EACH (it, &us->list) {
        upload_t *up = CONTAINER_OF(it, upload_t, link);
        if (addr_eq(&up->client, client)) {
            return up;
        }
    }
    return NULL;
}

/* Starts or restarts the client's upload. */
static upload_t *
upload_start(si_uploads_t *us, const addr_t *client)
{
    upload_t *up = upload_find(us, client);

    if (up == NULL && us->n < SI_UPLOADS_MAX) {
        up = calloc(1, sizeof(*up));
        if (up == NULL) {
            return NULL;
        }
        up->client = *client;
        list_append(&us->list, &up->link);
        us->n++;
    }
    if (up != NULL) {
        up->next = 0;
        up->bytes = 0;
    }
    return up;
}

uint8_t
si_uploads_on_block(si_uploads_t *us, const addr_t *client,
                    const coap_msg_t *m, uint64_t *bytes)
{
    uint32_t num = m->block1 >> 4;
    bool more = m->block1 & 8;
    upload_t *up =
        num == 0 ? upload_start(us, client) : upload_find(us, client);

    if (up == NULL || num > up->next) {
        return COAP_INCOMPLETE;
    }
    if (num == up->next) {
        up->next++;
        up->bytes += m->payload_len;
    }
    *bytes = up->bytes;
    if (more) {
        return COAP_CONTINUE;
    }
    upload_remove(us, up);
    return COAP_CHANGED;
}
