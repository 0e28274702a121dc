/* si_platform: runs the platform stand-in. */
#include "standin/platform.h"
#include "standin/tool.h"

#include <signal.h>
#include <stdio.h>

static int
run(const si_platform_params_t *params)
{
    err_t e = {0};
    sigset_t set;
    int sig;
    si_platform_t *p;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, NULL);
    p = si_platform_open(params, &e);
    if (p == NULL) {
        fprintf(stderr, "si_platform: %s\n", e.text);
        return 1;
    }
    sigwait(&set, &sig);
    si_platform_close(p);
    return 0;
}

int
main(int argc, char **argv)
{
    si_platform_params_t params = SI_PLATFORM_PARAMS;
    struct arg_int *port =
        arg_int0("p", "port", "N", "port on 127.0.0.1 (8500)");
    struct arg_int *lag =
        arg_int0(NULL, "list-lag-ms", "MS", "lag of the list (2000)");
    struct arg_int *expire = arg_int0(
        NULL, "expire-ms", "MS", "an instance not renewed vanishes (6000)");
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_end *end = arg_end(5);
    void *table[] = {port, lag, expire, help, end};
    int rc;

    if (si_args("si_platform", argc, argv, table, help, end, &rc)) {
        params.port = (uint16_t)si_option_int(port, params.port);
        params.list_lag_ms = si_option_int(lag, (int)params.list_lag_ms);
        params.expire_ms = si_option_int(expire, (int)params.expire_ms);
        rc = run(&params);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
