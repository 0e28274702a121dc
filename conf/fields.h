/* fields: descriptions of the keys of a TOML table.  They are used to read a
 * table into a struct, to print expected values in errors, and to compare two
 * structs.  Private to conf/.
 */
#ifndef SISKIN_FIELDS_H
#define SISKIN_FIELDS_H

#include "conf/toml.h"

typedef enum {
    FIELD_U16,
    FIELD_U32,
    FIELD_REAL, /* double; accepts whole numbers too */
    FIELD_BOOL,
    FIELD_NAME,  /* char[NAME_LEN]: lower-case letters, digits and '-' */
    FIELD_TEXT,  /* char[text.cap] */
    FIELD_ADDR,  /* addr_t */
    FIELD_CHOICE /* an enum, by name */
} field_kind_t;

typedef struct {
    const char *key;
    field_kind_t kind;
    bool required;
    size_t offset; /* of the member in the struct */
    union {
        struct {
            uint32_t min, max;
            const char *unit; /* "milliseconds"; may be NULL */
        } number;
        struct {
            size_t cap;
        } text;
        struct {
            const char *const *names; /* by value; NULL at the end */
        } choice;
    };
} field_t;

/* Initialisers of a field_t: KEY in the file, member M of struct S. */
#define FIELD(key_, kind_, required_, s, m)                                   \
    .key = key_, .kind = kind_, .required = required_, .offset = offsetof(s, m)
#define U16_FIELD(key_, required_, s, m, min_, max_, unit_)                   \
    {                                                                         \
        FIELD(key_, FIELD_U16, required_, s, m), .number = {                  \
            .min = min_,                                                      \
            .max = max_,                                                      \
            .unit = unit_                                                     \
        }                                                                     \
    }
#define U32_FIELD(key_, required_, s, m, min_, max_, unit_)                   \
    {                                                                         \
        FIELD(key_, FIELD_U32, required_, s, m), .number = {                  \
            .min = min_,                                                      \
            .max = max_,                                                      \
            .unit = unit_                                                     \
        }                                                                     \
    }
#define REAL_FIELD(key_, required_, s, m, min_, max_, unit_)                  \
    {                                                                         \
        FIELD(key_, FIELD_REAL, required_, s, m), .number = {                 \
            .min = min_,                                                      \
            .max = max_,                                                      \
            .unit = unit_                                                     \
        }                                                                     \
    }
#define BOOL_FIELD(key_, required_, s, m)                                     \
    {                                                                         \
        FIELD(key_, FIELD_BOOL, required_, s, m)                              \
    }
#define NAME_FIELD(key_, required_, s, m)                                     \
    {                                                                         \
        FIELD(key_, FIELD_NAME, required_, s, m)                              \
    }
#define ADDR_FIELD(key_, required_, s, m)                                     \
    {                                                                         \
        FIELD(key_, FIELD_ADDR, required_, s, m)                              \
    }
#define TEXT_FIELD(key_, required_, s, m)                                     \
    {                                                                         \
        FIELD(key_, FIELD_TEXT, required_, s, m), .text = {                   \
            .cap = sizeof(((s *)0)->m)                                        \
        }                                                                     \
    }
#define CHOICE_FIELD(key_, required_, s, m, names_)                           \
    {                                                                         \
        FIELD(key_, FIELD_CHOICE, required_, s, m), .choice = {               \
            .names = names_                                                   \
        }                                                                     \
    }

#define REQUIRED true
#define OPTIONAL false

/* The fields that are read from a table into one struct. */
typedef struct {
    const field_t *fields;
    size_t n;
    void *into;
} field_set_t;

#define FIELD_COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Source of a table, for error messages. */
typedef struct {
    const char *file;
    err_t *e;
} origin_t;

/* Reads TABLE into the structs of SETS.  A key is an error unless it is in a
 * set or in OTHER_KEYS (NULL-terminated; may be NULL).  0 or -EINVAL. */
int fields_read(const origin_t *o, const toml_node_t *table,
                const field_set_t *sets, size_t n,
                const char *const *other_keys);

/* Formats the value of F in STRUCT_ as in a configuration file. */
void field_text(const field_t *f, const void *struct_, char *buf, size_t cap);

/* 1 to NAME_LEN - 1 lower-case letters, digits and '-'. */
bool name_valid(const char *s);
/* True for a unicast address: not unspecified, broadcast or multicast. */
bool addr_usable(const addr_t *a);

#endif
