/* The fields of a service and of an upstream: keys, limits and units. */
#include "conf/model.h"

#define DAY_MS (24 * 3600 * 1000)

/* In the order of proto_t and prefer_t. */
static const char *const proto_names[] = {"udp", "coap", NULL};
static const char *const prefer_names[] = {"stability", "balance", NULL};

const field_t service_fields[] = {
    ADDR_FIELD("address", REQUIRED, conf_service_t, addr),
    CHOICE_FIELD("protocol", REQUIRED, conf_service_t, proto, proto_names),
    CHOICE_FIELD("prefer", REQUIRED, conf_service_t, prefer, prefer_names),
    U16_FIELD("urgent_slots", OPTIONAL, conf_service_t, urgent_slots, 0, 1000,
              "slots"),
    U16_FIELD("queue", OPTIONAL, conf_service_t, queue, 0, 10000, "requests"),
    U16_FIELD("retry_percent", OPTIONAL, conf_service_t, retry_percent, 0, 100,
              "percent"),
    U16_FIELD("caller_share", OPTIONAL, conf_service_t, caller_share, 1, 60000,
              "requests"),
    U32_FIELD("request_ms", OPTIONAL, conf_service_t, request_ms, 100, 240000,
              "milliseconds"),
    U32_FIELD("flow_idle_ms", OPTIONAL, conf_service_t, flow_idle_ms, 1000,
              DAY_MS, "milliseconds"),
    U32_FIELD("upload_idle_ms", OPTIONAL, conf_service_t, upload_idle_ms, 1000,
              DAY_MS, "milliseconds"),
    U32_FIELD("feed_silent_ms", OPTIONAL, conf_service_t, feed_silent_ms, 500,
              DAY_MS, "milliseconds"),
    U32_FIELD("come_back_s", OPTIONAL, conf_service_t, come_back_s, 1, 3600,
              "seconds"),
};
const size_t n_service_fields = FIELD_COUNT(service_fields);

const field_t upstream_fields[] = {
    ADDR_FIELD("address", REQUIRED, conf_upstream_t, addr),
    U16_FIELD("slots", OPTIONAL, conf_upstream_t, slots, 1, SLOTS_MAX,
              "requests"),
    U32_FIELD("connections", OPTIONAL, conf_upstream_t, connections, 1,
              CONNECTIONS_MAX, "flows"),
    U16_FIELD("weight", OPTIONAL, conf_upstream_t, weight, 1, 100, NULL),
    BOOL_FIELD("draining", OPTIONAL, conf_upstream_t, draining),
};
const size_t n_upstream_fields = FIELD_COUNT(upstream_fields);
