/* Options and signals of the stand-ins' programs. */
#include "standin/tool.h"

#include <signal.h>

static volatile sig_atomic_t stop_requested;

bool
si_args(const char *name, int argc, char **argv, void **table,
        const struct arg_lit *help, struct arg_end *end, int *status)
{
    int errors = arg_parse(argc, argv, table);

    if (errors == 0 && help->count == 0) {
        return true;
    }
    *status = help->count > 0 ? 0 : 2;
    if (help->count == 0) {
        arg_print_errors(stderr, end, name);
    }
    printf("usage: %s", name);
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-25s %s\n");
    return false;
}

int
si_option_int(const struct arg_int *a, int absent)
{
    return a->count > 0 ? a->ival[0] : absent;
}

FILE *
si_log_open(const char *name, const struct arg_file *a, FILE *absent)
{
    FILE *f = absent;

    if (a->count > 0) {
        f = fopen(a->filename[0], "w");
    }
    if (f == NULL) {
        fprintf(stderr, "%s: %s can't be written\n", name, a->filename[0]);
        return NULL;
    }
    setvbuf(f, NULL, _IOLBF, 0);
    return f;
}

static void
on_signal(int sig)
{
    (void)sig;
    stop_requested = 1;
}

void
si_catch_stop(void)
{
    struct sigaction sa = {.sa_handler = on_signal};

    sigaction(SIGTERM, &sa, NULL);
    sigaction(SIGINT, &sa, NULL);
}

bool
si_stop_asked(void)
{
    return stop_requested != 0;
}
