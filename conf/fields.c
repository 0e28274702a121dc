/* Reads and formats fields by their descriptions. */
#include "conf/fields.h"
#include "conf/conf.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

bool
name_valid(const char *s)
{
    size_t n = strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-");

    return n > 0 && n < NAME_LEN && s[n] == '\0';
}

bool
addr_usable(const addr_t *a)
{
    static const uint8_t v4[12] = {[10] = 255, [11] = 255};
    static const uint8_t zero[16];

    if (memcmp(a->ip, v4, sizeof(v4)) == 0) {
        return a->ip[12] != 0 && a->ip[12] < 224;
    }
    return a->ip[0] != 0xFF && memcmp(a->ip, zero, sizeof(zero)) != 0;
}

static void *
member_ptr(const field_t *f, void *struct_)
{
    return (char *)struct_ + f->offset;
}

static int
choice_index(const char *const *names, const char *s)
{
    for (int i = 0; names[i] != NULL; i++) {
        if (strcmp(names[i], s) == 0) {
            return i;
        }
    }
    return -EINVAL;
}

static void
append_word(char *buf, size_t cap, const char *word)
{
    size_t n = strlen(buf);

    snprintf(buf + n, cap - n, "%s%s", n > 0 ? ", " : "", word);
}

static void
expected_number_text(const field_t *f, const char *noun, char *buf, size_t cap)
{
    const char *unit = f->number.unit;

    snprintf(buf, cap, "%s%s%s from %u to %u", noun,
             unit != NULL ? " of " : "", unit != NULL ? unit : "",
             f->number.min, f->number.max);
}

/* "a whole number of milliseconds from 1 to 60000" and the like. */
static void
expected_text(const field_t *f, char *buf, size_t cap)
{
    char names[96] = "";

    switch (f->kind) {
    case FIELD_U16:
    case FIELD_U32:
        expected_number_text(f, "a whole number", buf, cap);
        return;
    case FIELD_REAL:
        expected_number_text(f, "a number", buf, cap);
        return;
    case FIELD_BOOL:
        snprintf(buf, cap, "true or false");
        return;
    case FIELD_NAME:
        snprintf(buf, cap, "1 to %d lower-case letters, digits and '-'",
                 NAME_LEN - 1);
        return;
    case FIELD_TEXT:
        snprintf(buf, cap, "a string shorter than %zu", f->text.cap);
        return;
    case FIELD_ADDR:
        snprintf(buf, cap, "one host's address and port as \"10.1.2.3:5683\"");
        return;
    case FIELD_CHOICE:
        for (int i = 0; f->choice.names[i] != NULL; i++) {
            append_word(names, sizeof(names), f->choice.names[i]);
        }
        snprintf(buf, cap, "one of %s", names);
        return;
    }
}

static int
read_number(const field_t *f, const toml_node_t *n, void *to)
{
    int64_t v;

    if (toml_kind(n) != TOML_INTEGER) {
        return -EINVAL;
    }
    v = toml_integer(n);
    if (v < f->number.min || v > f->number.max) {
        return -EINVAL;
    }
    if (f->kind == FIELD_U16) {
        *(uint16_t *)to = (uint16_t)v;
    }
    else {
        *(uint32_t *)to = (uint32_t)v;
    }
    return 0;
}

static int
read_real(const field_t *f, const toml_node_t *n, double *to)
{
    double v;

    switch (toml_kind(n)) {
    case TOML_INTEGER:
        v = (double)toml_integer(n);
        break;
    case TOML_FLOAT:
        v = toml_float(n);
        break;
    default:
        return -EINVAL;
    }
    if (!(v >= f->number.min && v <= f->number.max)) { /* rejects NaN too */
        return -EINVAL;
    }
    *to = v;
    return 0;
}

static int
read_addr(const char *s, addr_t *a)
{
    if (addr_parse(a, s) < 0 || !addr_usable(a)) {
        return -EINVAL;
    }
    return 0;
}

static int
read_string(const field_t *f, const toml_node_t *n, void *to)
{
    const char *s = toml_string(n);
    int i;

    if (toml_kind(n) != TOML_STRING) {
        return -EINVAL;
    }
    if (f->kind == FIELD_ADDR) {
        return read_addr(s, to);
    }
    if (f->kind == FIELD_CHOICE) {
        i = choice_index(f->choice.names, s);
        if (i >= 0) {
            *(unsigned *)to = (unsigned)i;
        }
        return i < 0 ? i : 0;
    }
    if (f->kind == FIELD_NAME && !name_valid(s)) {
        return -EINVAL;
    }
    if (f->kind == FIELD_TEXT && strlen(s) >= f->text.cap) {
        return -EINVAL;
    }
    strcpy(to, s);
    return 0;
}

static int
read_value(const field_t *f, const toml_node_t *n, void *to)
{
    switch (f->kind) {
    case FIELD_U16:
    case FIELD_U32:
        return read_number(f, n, to);
    case FIELD_REAL:
        return read_real(f, n, to);
    case FIELD_BOOL:
        if (toml_kind(n) != TOML_BOOLEAN) {
            return -EINVAL;
        }
        *(bool *)to = toml_boolean(n);
        return 0;
    case FIELD_NAME:
    case FIELD_TEXT:
    case FIELD_ADDR:
    case FIELD_CHOICE:
        return read_string(f, n, to);
    }
    return -EINVAL;
}

/* Formats an invalid value as in the file. */
static void
value_text(const toml_node_t *n, char *buf, size_t cap)
{
    switch (toml_kind(n)) {
    case TOML_STRING:
        snprintf(buf, cap, "\"%.40s\"", toml_string(n));
        return;
    case TOML_INTEGER:
        snprintf(buf, cap, "%lld", (long long)toml_integer(n));
        return;
    case TOML_BOOLEAN:
        snprintf(buf, cap, "%s", toml_boolean(n) ? "true" : "false");
        return;
    case TOML_FLOAT:
        snprintf(buf, cap, "%g", toml_float(n));
        return;
    case TOML_TABLE:
    case TOML_ARRAY:
    case TOML_OTHER:
        snprintf(buf, cap, "%s", toml_kind_text(n));
        return;
    }
}

static int
read_field(const origin_t *o, const field_t *f, const toml_node_t *table,
           void *into)
{
    const toml_node_t *n = toml_get(table, f->key);
    char value[64], wanted[128];

    if (n == NULL && !f->required) {
        return 0;
    }
    expected_text(f, wanted, sizeof(wanted));
    if (n == NULL) {
        return toml_fail(o->e, o->file, toml_line(table),
                         "%s is missing; expected %s", f->key, wanted);
    }
    if (read_value(f, n, member_ptr(f, into)) == 0) {
        return 0;
    }
    value_text(n, value, sizeof(value));
    return toml_fail(o->e, o->file, toml_line(n), "%s is %s; expected %s",
                     f->key, value, wanted);
}

static bool
is_known(const char *key, const field_set_t *sets, size_t n,
         const char *const *other_keys)
{
    if (other_keys != NULL && choice_index(other_keys, key) >= 0) {
        return true;
    }
    for (size_t s = 0; s < n; s++) {
        for (size_t i = 0; i < sets[s].n; i++) {
            if (strcmp(sets[s].fields[i].key, key) == 0) {
                return true;
            }
        }
    }
    return false;
}

static int
fail_unknown_key(const origin_t *o, const toml_node_t *table, size_t key,
                 const field_set_t *sets, size_t n,
                 const char *const *other_keys)
{
    char known[200] = "";

    for (size_t s = 0; s < n; s++) {
        for (size_t i = 0; i < sets[s].n; i++) {
            append_word(known, sizeof(known), sets[s].fields[i].key);
        }
    }
    for (size_t i = 0; other_keys != NULL && other_keys[i] != NULL; i++) {
        append_word(known, sizeof(known), other_keys[i]);
    }
    return toml_fail(o->e, o->file, toml_key_line(table, key),
                     "unknown key \"%.24s\"; expected %s",
                     toml_key(table, key), known);
}

int
fields_read(const origin_t *o, const toml_node_t *table,
            const field_set_t *sets, size_t n, const char *const *other_keys)
{
    if (toml_kind(table) != TOML_TABLE) {
        return toml_fail(o->e, o->file, toml_line(table),
                         "here is %s; expected a table",
                         toml_kind_text(table));
    }
    for (size_t i = 0; i < toml_size(table); i++) {
        if (!is_known(toml_key(table, i), sets, n, other_keys)) {
            return fail_unknown_key(o, table, i, sets, n, other_keys);
        }
    }
    for (size_t s = 0; s < n; s++) {
        for (size_t i = 0; i < sets[s].n; i++) {
            int rc = read_field(o, &sets[s].fields[i], table, sets[s].into);
            if (rc < 0) {
                return rc;
            }
        }
    }
    return 0;
}

void
field_text(const field_t *f, const void *struct_, char *buf, size_t cap)
{
    const void *p = (const char *)struct_ + f->offset;
    char addr[ADDR_STRLEN];

    switch (f->kind) {
    case FIELD_U16:
        snprintf(buf, cap, "%u", *(const uint16_t *)p);
        return;
    case FIELD_U32:
        snprintf(buf, cap, "%u", *(const uint32_t *)p);
        return;
    case FIELD_REAL:
        snprintf(buf, cap, "%g", *(const double *)p);
        return;
    case FIELD_BOOL:
        snprintf(buf, cap, "%s", *(const bool *)p ? "true" : "false");
        return;
    case FIELD_NAME:
    case FIELD_TEXT:
        snprintf(buf, cap, "%s", (const char *)p);
        return;
    case FIELD_ADDR:
        snprintf(buf, cap, "%s", addr_text(p, addr));
        return;
    case FIELD_CHOICE:
        snprintf(buf, cap, "%s", f->choice.names[*(const unsigned *)p]);
        return;
    }
}
