/* toml: C interface to toml++, a C++ library.  A document is parsed once; its
 * nodes are valid until the document is freed.
 */
#ifndef SISKIN_TOML_H
#define SISKIN_TOML_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct toml_doc toml_doc_t;
typedef struct toml_node toml_node_t;

typedef enum {
    TOML_TABLE,
    TOML_ARRAY,
    TOML_STRING,
    TOML_INTEGER,
    TOML_BOOLEAN,
    TOML_FLOAT,
    TOML_OTHER /* dates and times */
} toml_kind_t;

/* Parses TEXT; FILE is its name in error messages.  On error returns NULL and
 * sets E, with "file:line" in peer. */
toml_doc_t *toml_doc_parse(const char *file, const char *text, err_t *e);
void toml_doc_free(toml_doc_t *d);
const toml_node_t *toml_doc_root(const toml_doc_t *d);

toml_kind_t toml_kind(const toml_node_t *n);
/* "a string", "a table" and so on, for error messages. */
const char *toml_kind_text(const toml_node_t *n);
int toml_line(const toml_node_t *n);

/* Number of entries of a table or an array; 0 for other nodes.  Entries of a
 * table are sorted by key. */
size_t toml_size(const toml_node_t *n);
const toml_node_t *toml_at(const toml_node_t *n, size_t i);
/* Key I of a table, and its line. */
const char *toml_key(const toml_node_t *n, size_t i);
int toml_key_line(const toml_node_t *n, size_t i);
/* The entry of a table, or NULL. */
const toml_node_t *toml_get(const toml_node_t *n, const char *key);

/* The value; the node must be of the matching kind. */
const char *toml_string(const toml_node_t *n);
int64_t toml_integer(const toml_node_t *n);
bool toml_boolean(const toml_node_t *n);
double toml_float(const toml_node_t *n);

/* Sets E with FILE:LINE in peer and returns -EINVAL. */
int toml_fail(err_t *e, const char *file, int line, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

#ifdef __cplusplus
}
#endif

#endif
