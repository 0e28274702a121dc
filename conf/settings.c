/* The settings of one instance: a small file, read once at startup. */
#include "conf/conf.h"
#include "conf/fields.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* In the order of log_level_t. */
static const char *const levels[] = {"error", "warn", "info", "debug", NULL};

static const field_t settings_fields[] = {
    NAME_FIELD("name", REQUIRED, settings_t, name),
    NAME_FIELD("data_centre", REQUIRED, settings_t, data_centre),
    TEXT_FIELD("bind_ip", OPTIONAL, settings_t, bind_ip),
    ADDR_FIELD("return_addr", REQUIRED, settings_t, return_addr),
    ADDR_FIELD("own_addr", REQUIRED, settings_t, own_addr),
    ADDR_FIELD("peer_addr", REQUIRED, settings_t, peer_addr),
    ADDR_FIELD("bulk_addr", REQUIRED, settings_t, bulk_addr),
    ADDR_FIELD("admin_addr", OPTIONAL, settings_t, admin_addr),
    TEXT_FIELD("platform_url", REQUIRED, settings_t, platform_url),
    TEXT_FIELD("peer_key", REQUIRED, settings_t, peer_key),
    CHOICE_FIELD("log_level", OPTIONAL, settings_t, log_level, levels),
};

static const field_t peer_fields[] = {
    NAME_FIELD("name", REQUIRED, settings_peer_t, name),
    NAME_FIELD("data_centre", REQUIRED, settings_peer_t, data_centre),
    ADDR_FIELD("peer_addr", REQUIRED, settings_peer_t, peer_addr),
    ADDR_FIELD("bulk_addr", REQUIRED, settings_peer_t, bulk_addr),
};

static const char *const settings_tables[] = {"peer", NULL};

static int
fail_key(const origin_t *o, const toml_node_t *root, const char *key,
         const char *what)
{
    return toml_fail(o->e, o->file, toml_line(toml_get(root, key)), "%s %s",
                     key, what);
}

static bool
ip_valid(const char *s)
{
    uint8_t ip[16];

    return inet_pton(AF_INET, s, ip) == 1 || inet_pton(AF_INET6, s, ip) == 1;
}

static bool
key_valid(const char *s)
{
    return strlen(s) == 64 && strspn(s, "0123456789abcdefABCDEF") == 64;
}

/* Two sockets can't share an address: one would receive datagrams meant for
 * the other. */
static int
check_addrs_differ(const settings_t *s, const origin_t *o,
                   const toml_node_t *root)
{
    const struct {
        const char *key;
        const addr_t *addr;
    } udp[] = {
        {"return_addr", &s->return_addr},
        {"own_addr", &s->own_addr},
        {"peer_addr", &s->peer_addr},
    };

    for (size_t i = 1; i < FIELD_COUNT(udp); i++) {
        for (size_t j = 0; j < i; j++) {
            if (addr_eq(udp[i].addr, udp[j].addr)) {
                return fail_key(o, root, udp[i].key,
                                "is also the address of another key; "
                                "expected return_addr, own_addr and peer_addr "
                                "to differ");
            }
        }
    }
    if (addr_eq(&s->bulk_addr, &s->admin_addr)) {
        return fail_key(o, root, "bulk_addr",
                        "equals admin_addr; expected them to differ");
    }
    return 0;
}

static int
check_settings(const settings_t *s, const origin_t *o, const toml_node_t *root)
{
    if (s->bind_ip[0] != '\0' && !ip_valid(s->bind_ip)) {
        return fail_key(o, root, "bind_ip",
                        "is not an IP address; expected one such as "
                        "\"10.1.2.3\"");
    }
    if (strncmp(s->platform_url, "http://", 7) != 0) {
        return fail_key(o, root, "platform_url",
                        "is not an http URL; expected it as "
                        "\"http://127.0.0.1:8500\"");
    }
    if (!key_valid(s->peer_key)) {
        return fail_key(o, root, "peer_key",
                        "is invalid; expected 64 hexadecimal digits");
    }
    return check_addrs_differ(s, o, root);
}

static int
read_peers(settings_t *s, const origin_t *o, const toml_node_t *root)
{
    const toml_node_t *list = toml_get(root, "peer");
    int rc;

    if (list == NULL) {
        return 0;
    }
    if (toml_kind(list) != TOML_ARRAY || toml_size(list) > PEERS_MAX) {
        return toml_fail(o->e, o->file, toml_line(list),
                         "peer is invalid; expected at most %d [[peer]] "
                         "tables",
                         PEERS_MAX);
    }
    for (size_t i = 0; i < toml_size(list); i++) {
        const field_set_t set = {peer_fields, FIELD_COUNT(peer_fields),
                                 &s->peer[i]};
        rc = fields_read(o, toml_at(list, i), &set, 1, NULL);
        if (rc < 0) {
            return rc;
        }
    }
    s->n_peers = (uint16_t)toml_size(list);
    return 0;
}

int
settings_parse(settings_t *s, const char *file, const char *text, err_t *e)
{
    const origin_t o = {file, e};
    const field_set_t set = {settings_fields, FIELD_COUNT(settings_fields), s};
    toml_doc_t *doc = toml_doc_parse(file, text, e);
    const toml_node_t *root;
    int rc;

    if (doc == NULL) {
        return -EINVAL;
    }
    root = toml_doc_root(doc);
    *s = (settings_t){.log_level = LVL_INFO};
    addr_parse(&s->admin_addr, "127.0.0.1:6004");
    rc = fields_read(&o, root, &set, 1, settings_tables);
    if (rc == 0) {
        rc = check_settings(s, &o, root);
    }
    if (rc == 0) {
        rc = read_peers(s, &o, root);
    }
    toml_doc_free(doc);
    return rc;
}

int
settings_read(settings_t *s, const char *file, err_t *e)
{
    err_t err = {0};
    char *text = conf_read_file(file, &err);
    int rc;

    if (text == NULL) {
        if (e != NULL) {
            *e = err;
        }
        return err.code;
    }
    rc = settings_parse(s, file, text, e);
    free(text);
    return rc;
}
