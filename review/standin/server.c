/* rv_server: si_pserver that also writes its entry with each heartbeat.  Its
 * lines begin with the Unix time in milliseconds, and there are two more:
 *
 *   syn CALLER SERVICE   an opening packet was taken
 *   acked STATE          the store accepted an entry with that state
 *
 * It is compiled from si_pserver's source with some of its calls replaced. */
#include "base/base.h"
#include "plat/http.h"
#include "standin/udp.h"

#include <stdio.h>

static int logged_receive(int fd, addr_t *from, uint8_t *data, size_t cap);
static int logged_http_call(http_t *h, const http_call_t *call,
                            http_reply_t *r, err_t *e);

#define printf(...)                                                           \
    (fprintf(stdout, "%lld ", (long long)clock_wall()), printf(__VA_ARGS__))
#define si_udp_receive logged_receive
#define http_call logged_http_call
#include "platform/standin/server_main.c"
#undef si_udp_receive
#undef http_call

static bool
is_mine(const uint8_t *data)
{
    uint8_t mine[PACKET_PREFIX_LEN];

    packet_write_prefix(mine, me.id);
    return memcmp(data, mine, sizeof(mine)) == 0;
}

static int
logged_receive(int fd, addr_t *from, uint8_t *data, size_t cap)
{
    char caller[ADDR_STRLEN], service[ADDR_STRLEN];
    int n = si_udp_receive(fd, from, data, cap);
    flow_packet_t p;

    if (n > PACKET_PREFIX_LEN && is_mine(data) &&
        packet_read(&p, data + PACKET_PREFIX_LEN,
                    (size_t)n - PACKET_PREFIX_LEN) == 0 &&
        p.opens) {
        printf("syn %s %s\n", addr_text(&p.caller, caller),
               addr_text(&p.service, service));
    }
    return n;
}

static int
logged_http_call(http_t *h, const http_call_t *call, http_reply_t *r, err_t *e)
{
    bool draining = __atomic_load_n(&me.draining, __ATOMIC_RELAXED);
    int rc = http_call(h, call, r, e);

    if (rc < 0 || r->status != 200) {
        return rc;
    }
    if (strcmp(call->step, "entry") == 0) {
        printf("acked %s\n", draining ? "draining" : "ready");
    }
    else if (strcmp(call->step, "keep") == 0) {
        uint64_t lease = strtoull(strrchr(call->path, '/') + 1, NULL, 10);
        write_entry(h, lease);
        r->status = 200; /* of the renewal */
    }
    return rc;
}
