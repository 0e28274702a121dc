/* field: values in the stand-ins' texts of "key=value" words. */
#ifndef SISKIN_STANDIN_FIELD_H
#define SISKIN_STANDIN_FIELD_H

#include <stdbool.h>
#include <stddef.h>

/* Copies the value of KEY ("key=") in TEXT to OUT, cut to CAP bytes with the
 * NUL.  False, with an empty OUT, if the key is absent. */
bool si_field(char *out, size_t cap, const char *text, const char *key);

#endif
