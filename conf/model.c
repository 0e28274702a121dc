/* The fields of a service and of an upstream: their keys, limits and units.
 */
#include "conf/model.h"

#define SERVICE(member) offsetof(conf_service_t, member)
#define UPSTREAM(member) offsetof(conf_upstream_t, member)

#define DAY_MS (24 * 3600 * 1000)

/* In the order of proto_t and prefer_t. */
static const char *const proto_names[] = {"udp", "coap", NULL};
static const char *const prefer_names[] = {"stability", "balance", NULL};

const field_t service_fields[] = {
    {"address", FIELD_ADDR, true, SERVICE(addr), {{0}}},
    {"protocol",
     FIELD_CHOICE,
     true,
     SERVICE(proto),
     {.choice = {proto_names}}},
    {"prefer",
     FIELD_CHOICE,
     true,
     SERVICE(prefer),
     {.choice = {prefer_names}}},
    {"urgent_slots",
     FIELD_U16,
     false,
     SERVICE(urgent_slots),
     {.number = {0, 1000, "slots"}}},
    {"queue",
     FIELD_U16,
     false,
     SERVICE(queue),
     {.number = {0, 10000, "requests"}}},
    {"retry_percent",
     FIELD_U16,
     false,
     SERVICE(retry_percent),
     {.number = {0, 100, "percent"}}},
    {"caller_share",
     FIELD_U16,
     false,
     SERVICE(caller_share),
     {.number = {1, 60000, "requests"}}},
    {"request_ms",
     FIELD_U32,
     false,
     SERVICE(request_ms),
     {.number = {100, 240000, "milliseconds"}}},
    {"flow_idle_ms",
     FIELD_U32,
     false,
     SERVICE(flow_idle_ms),
     {.number = {1000, DAY_MS, "milliseconds"}}},
    {"upload_idle_ms",
     FIELD_U32,
     false,
     SERVICE(upload_idle_ms),
     {.number = {1000, DAY_MS, "milliseconds"}}},
    {"feed_silent_ms",
     FIELD_U32,
     false,
     SERVICE(feed_silent_ms),
     {.number = {500, DAY_MS, "milliseconds"}}},
    {"come_back_s",
     FIELD_U32,
     false,
     SERVICE(come_back_s),
     {.number = {1, 3600, "seconds"}}},
};
const size_t n_service_fields = FIELD_COUNT(service_fields);

const field_t upstream_fields[] = {
    {"address", FIELD_ADDR, true, UPSTREAM(addr), {{0}}},
    {"slots",
     FIELD_U16,
     false,
     UPSTREAM(slots),
     {.number = {1, 10000, "requests"}}},
    {"connections",
     FIELD_U32,
     false,
     UPSTREAM(connections),
     {.number = {1, 10000000, "flows"}}},
    {"weight", FIELD_U16, false, UPSTREAM(weight), {.number = {1, 100, NULL}}},
    {"draining", FIELD_BOOL, false, UPSTREAM(draining), {{0}}},
};
const size_t n_upstream_fields = FIELD_COUNT(upstream_fields);
