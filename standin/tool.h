/* tool: what the stand-ins' programs share: options (argtable2) and stopping
 * by a signal.
 */
#ifndef SISKIN_STANDIN_TOOL_H
#define SISKIN_STANDIN_TOOL_H

#include <argtable2.h>
#include <stdbool.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Reads the arguments.  False when the program is to exit with *STATUS, after
 * an error or --help has been printed. */
bool si_args(const char *name, int argc, char **argv, void **table,
             const struct arg_lit *help, struct arg_end *end, int *status);
/* An option's value, or ABSENT. */
int si_option_int(const struct arg_int *a, int absent);
/* A log file that is written line by line; DEFAULT without the option.  NULL
 * when it can't be written, which is printed. */
FILE *si_log_open(const char *name, const struct arg_file *a, FILE *absent);

/* SIGTERM and SIGINT are noted from now on. */
void si_catch_stop(void);
bool si_stop_asked(void);

#ifdef __cplusplus
}
#endif

#endif
