/* The Simple Proxy Protocol header, and identifiers derived by hashing. */
#include "wire/wire.h"
#include "base/bytes.h"

#include <errno.h>
#include <string.h>

#define SPP_MAGIC 0x56EC

void
spp_write(uint8_t out[SPP_LEN], const spp_t *h)
{
    put16(out, SPP_MAGIC);
    memcpy(out + 2, h->client.ip, 16);
    memcpy(out + 18, h->service.ip, 16);
    put16(out + 34, h->client.port);
    put16(out + 36, h->service.port);
}

int
spp_read(spp_t *h, const uint8_t *data, size_t len)
{
    if (len < SPP_LEN || get16(data) != SPP_MAGIC) {
        return -EPROTO;
    }
    memcpy(h->client.ip, data + 2, 16);
    memcpy(h->service.ip, data + 18, 16);
    h->client.port = get16(data + 34);
    h->service.port = get16(data + 36);
    return 0;
}

uint64_t
addr_id(const addr_t *a)
{
    return hash64(a->ip, sizeof(a->ip), a->port);
}

uint64_t
flow_key(const addr_t *service, const addr_t *client)
{
    return hash_mix(addr_id(service), addr_id(client));
}

uint64_t
instance_id(const char *name)
{
    return hash64(name, strlen(name), 0);
}
