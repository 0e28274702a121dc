/* uploads: the Block1 uploads in progress at an upstream stand-in (RFC 7959),
 * one per client.
 */
#ifndef SISKIN_STANDIN_UPLOADS_H
#define SISKIN_STANDIN_UPLOADS_H

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SI_UPLOADS_MAX 4096

typedef struct {
    link_t list;
    uint32_t n;
} si_uploads_t;

void si_uploads_init(si_uploads_t *us);
void si_uploads_clear(si_uploads_t *us);
/* Handles a block from CLIENT.  Returns the answer's code (RFC 7959 2.9) and
 * sets *BYTES to the number of bytes received so far. */
uint8_t si_uploads_on_block(si_uploads_t *us, const addr_t *client,
                            const coap_msg_t *m, uint64_t *bytes);

#ifdef __cplusplus
}
#endif

#endif
