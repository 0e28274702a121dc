/* Sets "draining" in an overlay's text and keeps all other lines and
 * comments. */
#include "conf/conf.h"
#include "conf/toml.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP "overlay edit"

static bool
has_address(const toml_node_t *upstream, const addr_t *want)
{
    const toml_node_t *n = toml_get(upstream, "address");
    addr_t a;

    return n != NULL && toml_kind(n) == TOML_STRING &&
           addr_parse(&a, toml_string(n)) == 0 && addr_eq(&a, want);
}

static const toml_node_t *
find_upstream(const toml_node_t *root, const addr_t *a)
{
    const toml_node_t *list = toml_get(root, "upstream");

    for (size_t i = 0; list != NULL && i < toml_size(list); i++) {
        if (has_address(toml_at(list, i), a)) {
            return toml_at(list, i);
        }
    }
    return NULL;
}

static const char *
line_start(const char *text, int line)
{
    for (int i = 1; i < line && text != NULL; i++) {
        text = strchr(text, '\n');
        text = text != NULL ? text + 1 : NULL;
    }
    return text;
}

/* TEXT with the bytes from FROM to TO replaced by a "draining" line. */
static char *
splice(const char *text, const char *from, const char *to, bool draining)
{
    const char *before = from > text && from[-1] != '\n' ? "\n" : "";
    size_t cap = strlen(text) + 32;
    char *out = malloc(cap);

    if (out != NULL) {
        snprintf(out, cap, "%.*s%sdraining = %s\n%s", (int)(from - text), text,
                 before, draining ? "true" : "false", to);
    }
    return out;
}

static char *
edit_text(const char *text, const toml_node_t *upstream, bool draining)
{
    const toml_node_t *old = toml_get(upstream, "draining");
    int line = toml_line(toml_get(upstream, "address"));
    const char *from, *to;

    if (old != NULL) {
        from = line_start(text, toml_line(old));
        to = line_start(from, 2);
    }
    else {
        from = line_start(text, line + 1);
        to = from;
    }
    if (from == NULL) { /* the text ends with this line */
        from = text + strlen(text);
    }
    return splice(text, from, to != NULL ? to : "", draining);
}

/* Checks the edited text: the edit goes wrong on an inline table or two keys
 * on one line. */
static bool
draining_is_set_to(const char *text, const addr_t *a, bool draining)
{
    toml_doc_t *doc = toml_doc_parse("-", text, NULL);
    const toml_node_t *n = NULL;
    bool ok;

    if (doc == NULL) {
        return false;
    }
    n = find_upstream(toml_doc_root(doc), a);
    n = n != NULL ? toml_get(n, "draining") : NULL;
    ok = n != NULL && toml_kind(n) == TOML_BOOLEAN &&
         toml_boolean(n) == draining;
    toml_doc_free(doc);
    return ok;
}

char *
conf_set_draining(const char *text, const addr_t *a, bool draining, err_t *e)
{
    toml_doc_t *doc = toml_doc_parse("-", text, e);
    const toml_node_t *upstream;
    char addr[ADDR_STRLEN];
    char *out = NULL;

    if (doc == NULL) {
        return NULL;
    }
    addr_text(a, addr);
    upstream = find_upstream(toml_doc_root(doc), a);
    if (upstream == NULL) {
        err_set(e, -ENOENT, STEP, addr, "no such upstream in this overlay");
    }
    else {
        out = edit_text(text, upstream, draining);
    }
    toml_doc_free(doc);
    if (out != NULL && !draining_is_set_to(out, a, draining)) {
        free(out);
        out = NULL;
        err_set(e, -EINVAL, STEP, addr,
                "its overlay can't be edited line by line; edit the file and "
                "apply it");
    }
    return out;
}
