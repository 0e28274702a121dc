// Implements conf/toml.h with toml++; no other file includes toml++.
#include "conf/toml.h"

#include <algorithm>
#include <errno.h>
#include <memory>
#include <stdexcept>
#include <stdio.h>
#include <string.h>
#include <string>
#include <vector>

// toml++ 3.3 fails an assertion in its parser on some malformed texts, such as
// a key that starts with a control byte, so an operator's typing error would
// abort the program.  TOML_ASSERT throws instead, and the text is rejected
// like any other invalid text.  NDEBUG is undefined because toml++ would
// otherwise skip the checks and read on.  The assertions in noexcept
// accessors, about which gcc warns, hold for any text.
#undef NDEBUG
#define TOML_ASSERT(expr)                                                     \
    ((expr) ? (void)0 : throw std::logic_error("a malformed key or value"))
#define TOML_EXCEPTIONS 1
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wterminate"
#include <toml++/toml.h>
#pragma GCC diagnostic pop

#define KEY_DOTS_MAX 32 // per line, except lines that begin with '#'

// A copy of a toml++ node, so that callers see no toml++ type.
struct toml_node {
    toml_kind_t kind = TOML_OTHER;
    int line = 0;
    std::string text;
    int64_t integer = 0;
    bool boolean = false;
    double real = 0;
    std::vector<std::string> keys;
    std::vector<int> key_lines;
    std::vector<std::unique_ptr<toml_node>> children;
};

struct toml_doc {
    toml_node root;
};

// Replaces NUL bytes: C callers see a string up to its first NUL, so a key or
// value with a NUL inside would be accepted as its prefix.
static std::string
replace_nul(std::string_view s)
{
    std::string out(s);
    std::replace(out.begin(), out.end(), '\0', '?');
    return out;
}

static void
node_fill(toml_node *n, const toml::node &from)
{
    n->line = (int)from.source().begin.line;
    if (const toml::table *t = from.as_table()) {
        n->kind = TOML_TABLE;
        for (auto &&[key, value] : *t) {
            n->keys.push_back(replace_nul(key.str()));
            n->key_lines.push_back((int)key.source().begin.line);
            n->children.push_back(std::make_unique<toml_node>());
            node_fill(n->children.back().get(), value);
        }
    }
    else if (const toml::array *a = from.as_array()) {
        n->kind = TOML_ARRAY;
        for (auto &&value : *a) {
            n->children.push_back(std::make_unique<toml_node>());
            node_fill(n->children.back().get(), value);
        }
    }
    else if (auto *s = from.as_string()) {
        n->kind = TOML_STRING;
        n->text = replace_nul(s->get());
    }
    else if (auto *i = from.as_integer()) {
        n->kind = TOML_INTEGER;
        n->integer = i->get();
    }
    else if (auto *b = from.as_boolean()) {
        n->kind = TOML_BOOLEAN;
        n->boolean = b->get();
    }
    else if (auto *f = from.as_floating_point()) {
        n->kind = TOML_FLOAT;
        n->real = f->get();
    }
}

// Returns the first line with more than KEY_DOTS_MAX dots, or 0.  toml++
// limits the depth of brackets but not of dotted keys.  Each dot nests a
// table, and the recursion of its parser and destructor overflows the stack.
// A key can't span lines, so counting the dots of a line is enough.
static int
find_deep_key_line(const char *text)
{
    int line = 1, dots = 0;
    bool start = true, comment = false;

    for (const char *p = text; *p != '\0'; p++) {
        if (*p == '\n') {
            line++;
            dots = 0;
            start = true;
            comment = false;
            continue;
        }
        comment = comment || (start && *p == '#');
        start = start && (*p == ' ' || *p == '\t');
        dots += *p == '.' && !comment;
        if (dots > KEY_DOTS_MAX) {
            return line;
        }
    }
    return 0;
}

toml_doc_t *
toml_doc_parse(const char *file, const char *text, err_t *e)
{
    int deep = find_deep_key_line(text);

    if (deep > 0) {
        toml_fail(e, file, deep, "more than %d dots on a line; expected fewer",
                  KEY_DOTS_MAX);
        return nullptr;
    }
    try {
        toml::table t = toml::parse(std::string_view(text));
        auto d = std::make_unique<toml_doc>();
        node_fill(&d->root, t);
        return d.release();
    } catch (const toml::parse_error &error) {
        std::string description(error.description());
        toml_fail(e, file, (int)error.source().begin.line,
                  "not valid TOML: %s", description.c_str());
    } catch (const std::exception &error) {
        toml_fail(e, file, 1, "not valid TOML: %s", error.what());
    }
    return nullptr;
}

void
toml_doc_free(toml_doc_t *d)
{
    delete d;
}

const toml_node_t *
toml_doc_root(const toml_doc_t *d)
{
    return &d->root;
}

toml_kind_t
toml_kind(const toml_node_t *n)
{
    return n->kind;
}

const char *
toml_kind_text(const toml_node_t *n)
{
    switch (n->kind) {
    case TOML_TABLE:
        return "a table";
    case TOML_ARRAY:
        return "an array";
    case TOML_STRING:
        return "a string";
    case TOML_INTEGER:
        return "a whole number";
    case TOML_BOOLEAN:
        return "true or false";
    case TOML_FLOAT:
        return "a fraction";
    case TOML_OTHER:
        break;
    }
    return "a date or time";
}

int
toml_line(const toml_node_t *n)
{
    return n->line;
}

size_t
toml_size(const toml_node_t *n)
{
    return n->children.size();
}

const toml_node_t *
toml_at(const toml_node_t *n, size_t i)
{
    return n->children[i].get();
}

const char *
toml_key(const toml_node_t *n, size_t i)
{
    return n->keys[i].c_str();
}

int
toml_key_line(const toml_node_t *n, size_t i)
{
    return n->key_lines[i];
}

const toml_node_t *
toml_get(const toml_node_t *n, const char *key)
{
    for (size_t i = 0; i < n->keys.size(); i++) {
        if (n->keys[i] == key) {
            return n->children[i].get();
        }
    }
    return nullptr;
}

const char *
toml_string(const toml_node_t *n)
{
    return n->text.c_str();
}

int64_t
toml_integer(const toml_node_t *n)
{
    return n->integer;
}

bool
toml_boolean(const toml_node_t *n)
{
    return n->boolean;
}

double
toml_float(const toml_node_t *n)
{
    return n->real;
}

int
toml_fail(err_t *e, const char *file, int line, const char *fmt, ...)
{
    char location[sizeof(e->peer)];
    char text[sizeof(e->text)];
    char number[16];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    // A long path is cut at the front, since its end names the file.
    size_t tail = (size_t)snprintf(number, sizeof(number), ":%d", line);
    size_t room = sizeof(location) - 1 - tail;
    size_t len = strlen(file);
    if (len > room) {
        file += len - room;
    }
    snprintf(location, sizeof(location), "%s%s", file, number);
    return err_set(e, -EINVAL, "check", location, "%s", text);
}
