/* tool: code shared by the stand-ins' programs: command-line options
 * (argtable2) and termination by a signal.
 */
#ifndef SISKIN_STANDIN_TOOL_H
#define SISKIN_STANDIN_TOOL_H

#include <argtable2.h>
#include <stdbool.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Parses the arguments.  After printing an error or the --help text, returns
 * false; the program must then exit with *STATUS. */
bool si_args(const char *name, int argc, char **argv, void **table,
             const struct arg_lit *help, struct arg_end *end, int *status);
/* Returns an option's value, or ABSENT when the option is missing. */
int si_option_int(const struct arg_int *a, int absent);
/* Opens a line-buffered log file; returns ABSENT when the option is missing.
 * Prints an error and returns NULL when the file can't be written. */
FILE *si_log_open(const char *name, const struct arg_file *a, FILE *absent);

/* Installs handlers that record SIGTERM and SIGINT. */
void si_catch_stop(void);
bool si_stop_asked(void);

#ifdef __cplusplus
}
#endif

#endif
