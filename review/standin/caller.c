/* rv_caller: si_pcaller whose lines begin with the Unix time in milliseconds,
 * and whose requests are numbered from FIRST_REQUEST on, so that those of
 * several processes have ids of their own. */
#include "base/base.h"

#include <stdio.h>

#define printf(...)                                                           \
    (fprintf(stdout, "%lld ", (long long)clock_wall()), printf(__VA_ARGS__))
#define main si_pcaller_main
#include "platform/standin/caller_main.c"
#undef main

int
main(int argc, char **argv)
{
    const char *first = getenv("FIRST_REQUEST");

    me.requests = first != NULL ? strtoull(first, NULL, 10) : 0;
    return si_pcaller_main(argc, argv);
}
