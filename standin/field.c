/* Values in texts of "key=value" words. */
#include "standin/field.h"

#include <string.h>

bool
si_field(char *out, size_t cap, const char *text, const char *key)
{
    size_t n = strlen(key), len;
    const char *p = text;

    out[0] = '\0';
    while (p != NULL && strncmp(p, key, n) != 0) {
        p = strchr(p, ' ');
        p = p != NULL ? p + 1 : NULL;
    }
    if (p == NULL) {
        return false;
    }
    len = strcspn(p + n, " \n");
    len = len < cap ? len : cap - 1;
    memcpy(out, p + n, len);
    out[len] = '\0';
    return true;
}
