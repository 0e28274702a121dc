/* Settings of an instance that serves tagged flows. */
#include "conf/tagged.h"
#include "conf/fields.h"
#include "source/source.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* A process killed immediately after SIGTERM can't shut down gracefully. */
#define STOP_MIN_MS 100
#define STOP_MAX_MS 600000
#define STOP_DEFAULT_MS 5000
/* The design size is 31,000 flows per instance; the rest is for bursts. */
#define RECORDS_DEFAULT 65536
#define RECORDS_MIN 256
#define RECORDS_MAX 4000000

/* Each follower sends about two requests a second.  All of them together use a
 * small part of a core. */
#define FOLLOWERS_DEFAULT 32
#define FOLLOWERS_MIN 2

#define LINK_MBPS_MAX 400000

/* A shorter limit leaves no time for a retry at another peer after one
 * failed. */
#define CHANGE_MIN_MS 1
#define CHANGE_MAX_MS 600000
#define FLOW_TTL_DEFAULT_S 60
#define FLOW_TTL_MAX_S 86400
#define WARM_UP_OVER_MAX 100
#define WARM_UP_SLACK_MAX 1000000
#define CHANGE_DEFAULT_MS 3000

static const char *const kinds[] = {"tagged", NULL};
/* In the order of log_level_t. */
static const char *const levels[] = {"error", "warn", "info", "debug", NULL};

/* In the order of share_load_t. */
static const char *const share_load_names[] = {"off", "on", "auto", NULL};

/* The settings and their "kind" key. */
typedef struct {
    tagged_settings_t s;
    unsigned kind;
} draft_settings_t;

static const field_t tagged_fields[] = {
    CHOICE_FIELD("kind", REQUIRED, draft_settings_t, kind, kinds),
    TEXT_FIELD("name", REQUIRED, draft_settings_t, s.name),
    TEXT_FIELD("data_centre", REQUIRED, draft_settings_t, s.data_centre),
    ADDR_FIELD("flow_addr", REQUIRED, draft_settings_t, s.flow_addr),
    ADDR_FIELD("ready_addr", REQUIRED, draft_settings_t, s.ready_addr),
    ADDR_FIELD("admin_addr", REQUIRED, draft_settings_t, s.admin_addr),
    TEXT_FIELD("store_url", REQUIRED, draft_settings_t, s.store_url),
    U32_FIELD("stop_ms", OPTIONAL, draft_settings_t, s.stop_ms, STOP_MIN_MS,
              STOP_MAX_MS, "milliseconds"),
    U32_FIELD("records", OPTIONAL, draft_settings_t, s.records, RECORDS_MIN,
              RECORDS_MAX, "flows"),
    U32_FIELD("followers", OPTIONAL, draft_settings_t, s.followers,
              FOLLOWERS_MIN, FOLLOWERS_MAX, "instances"),
    REAL_FIELD("link_mbps", OPTIONAL, draft_settings_t, s.link_mbps, 0,
               LINK_MBPS_MAX, "megabits a second"),
    REAL_FIELD("apply_ms", OPTIONAL, draft_settings_t, s.apply_ms,
               CHANGE_MIN_MS, CHANGE_MAX_MS, "milliseconds"),
    REAL_FIELD("drain_ms", OPTIONAL, draft_settings_t, s.drain_ms,
               CHANGE_MIN_MS, CHANGE_MAX_MS, "milliseconds"),
    REAL_FIELD("flow_ttl_s", OPTIONAL, draft_settings_t, s.flow_ttl_s, 1,
               FLOW_TTL_MAX_S, "seconds"),
    REAL_FIELD("warm_up_over", OPTIONAL, draft_settings_t, s.warm_up_over, 0,
               WARM_UP_OVER_MAX, "times"),
    REAL_FIELD("warm_up_slack", OPTIONAL, draft_settings_t, s.warm_up_slack, 0,
               WARM_UP_SLACK_MAX, "flows a second"),
    CHOICE_FIELD("log_level", OPTIONAL, draft_settings_t, s.log_level, levels),
    CHOICE_FIELD("share_load", OPTIONAL, draft_settings_t, s.share_load,
                 share_load_names),
};

static const char *const other_keys[] = {"seeds", "features", "load_addr",
                                         NULL};

bool
text_is_tagged_settings(const char *text)
{
    err_t e = {0};
    toml_doc_t *doc = toml_doc_parse("settings", text, &e);
    const toml_node_t *kind;
    bool is;

    if (doc == NULL) {
        return false;
    }
    kind = toml_get(toml_doc_root(doc), "kind");
    is = kind != NULL && toml_kind(kind) == TOML_STRING;
    toml_doc_free(doc);
    return is;
}

static int
read_seeds(tagged_settings_t *s, const origin_t *o, const toml_node_t *root)
{
    const toml_node_t *list = toml_get(root, "seeds"), *seed;

    if (list == NULL) {
        return 0;
    }
    if (toml_kind(list) != TOML_ARRAY || toml_size(list) > TAGGED_SEEDS_MAX) {
        return toml_fail(o->e, o->file, toml_line(list),
                         "seeds is invalid; expected at most %d addresses",
                         TAGGED_SEEDS_MAX);
    }
    for (size_t i = 0; i < toml_size(list); i++) {
        seed = toml_at(list, i);
        if (toml_kind(seed) != TOML_STRING ||
            addr_parse(&s->seed[i], toml_string(seed)) < 0) {
            return toml_fail(o->e, o->file, toml_line(seed),
                             "seeds has an invalid entry; expected "
                             "addresses such as \"10.1.0.10:8166\"");
        }
    }
    s->n_seeds = (uint32_t)toml_size(list);
    return 0;
}

static int
read_features(tagged_settings_t *s, const origin_t *o, const toml_node_t *root)
{
    const toml_node_t *list = toml_get(root, "features"), *feature;

    if (list == NULL) {
        return 0;
    }
    if (toml_kind(list) != TOML_ARRAY ||
        toml_size(list) > TAGGED_FEATURES_MAX) {
        return toml_fail(o->e, o->file, toml_line(list),
                         "features is invalid; expected at most %d texts",
                         TAGGED_FEATURES_MAX);
    }
    for (size_t i = 0; i < toml_size(list); i++) {
        feature = toml_at(list, i);
        if (toml_kind(feature) != TOML_STRING) {
            return toml_fail(o->e, o->file, toml_line(feature),
                             "features has an invalid entry; expected texts");
        }
        snprintf(s->feature[i], sizeof(s->feature[i]), "%s",
                 toml_string(feature));
    }
    s->n_features = (uint32_t)toml_size(list);
    return 0;
}

/* Without a port there is none: the platform may have no port to give. */
static int
read_load_addr(tagged_settings_t *s, const origin_t *o,
               const toml_node_t *root)
{
    const toml_node_t *addr = toml_get(root, "load_addr");
    const toml_node_t *share = toml_get(root, "share_load");
    const char *text = "";

    if (addr != NULL && toml_kind(addr) == TOML_STRING) {
        text = toml_string(addr);
    }
    if (addr != NULL && (toml_kind(addr) != TOML_STRING ||
                         (text[0] != '\0' && text[strlen(text) - 1] != ':' &&
                          addr_parse(&s->load_addr, text) < 0))) {
        return toml_fail(o->e, o->file, toml_line(addr),
                         "load_addr is invalid; expected an address such as "
                         "\"10.1.0.10:8167\"");
    }
    if (s->share_load == SHARE_LOAD_ON && addr_is_zero(&s->load_addr)) {
        return toml_fail(o->e, o->file, toml_line(share),
                         "share_load is \"on\" without load_addr; expected "
                         "an address in load_addr");
    }
    return 0;
}

int
tagged_settings_parse(tagged_settings_t *s, const char *file, const char *text,
                      err_t *e)
{
    const origin_t o = {file, e};
    draft_settings_t d = {.s = {.log_level = LVL_INFO,
                                .stop_ms = STOP_DEFAULT_MS,
                                .records = RECORDS_DEFAULT,
                                .followers = FOLLOWERS_DEFAULT,
                                .apply_ms = CHANGE_DEFAULT_MS,
                                .drain_ms = CHANGE_DEFAULT_MS,
                                .flow_ttl_s = FLOW_TTL_DEFAULT_S,
                                .warm_up_over = 1}};
    const field_set_t set = {tagged_fields, FIELD_COUNT(tagged_fields), &d};
    toml_doc_t *doc = toml_doc_parse(file, text, e);
    int rc;

    if (doc == NULL) {
        return -EINVAL;
    }
    rc = fields_read(&o, toml_doc_root(doc), &set, 1, other_keys);
    if (rc == 0) {
        rc = read_seeds(&d.s, &o, toml_doc_root(doc));
    }
    if (rc == 0) {
        rc = read_features(&d.s, &o, toml_doc_root(doc));
    }
    if (rc == 0) {
        rc = read_load_addr(&d.s, &o, toml_doc_root(doc));
    }
    if (rc == 0 && strncmp(d.s.store_url, "http://", 7) != 0) {
        rc = toml_fail(e, file,
                       toml_line(toml_get(toml_doc_root(doc), "store_url")),
                       "store_url is not an http URL; expected it as "
                       "\"http://127.0.0.1:8500\"");
    }
    toml_doc_free(doc);
    if (rc == 0) {
        *s = d.s;
    }
    return rc;
}
