/* bytes: loads and stores of unaligned integers in network byte order. */
#ifndef SISKIN_BYTES_H
#define SISKIN_BYTES_H

#include <stdint.h>

static inline uint16_t
get16(const uint8_t *p)
{
    return (uint16_t)(p[0] << 8 | p[1]);
}

static inline uint32_t
get32(const uint8_t *p)
{
    return (uint32_t)get16(p) << 16 | get16(p + 2);
}

static inline void
put16(uint8_t *p, uint16_t v)
{
    p[0] = (uint8_t)(v >> 8);
    p[1] = (uint8_t)v;
}

static inline void
put32(uint8_t *p, uint32_t v)
{
    put16(p, (uint16_t)(v >> 16));
    put16(p + 2, (uint16_t)v);
}

#endif
