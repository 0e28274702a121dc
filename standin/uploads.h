/* uploads: the Block1 uploads that an upstream's stand-in is receiving (RFC
 * 7959), one a client.
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
/* Takes a block of CLIENT; gives the answer's code (RFC 7959 2.9), and in
 * *BYTES how much of the upload has come. */
uint8_t si_uploads_block(si_uploads_t *us, const addr_t *client,
                         const coap_msg_t *m, uint64_t *bytes);

#ifdef __cplusplus
}
#endif

#endif
