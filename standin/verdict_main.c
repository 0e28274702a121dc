/* si_verdict: checks the logs of callers and upstreams for violations of the
 * delivery guarantees.  Exits with 1 when there are any. */
#include "standin/tool.h"
#include "standin/verdict.h"

#include <stdio.h>
#include <string.h>

#define LINE_LEN 1024

static int
read_log(si_verdict_t *v, const char *file)
{
    char line[LINE_LEN];
    FILE *f = fopen(file, "r");

    if (f == NULL) {
        fprintf(stderr, "si_verdict: %s can't be opened\n", file);
        return -1;
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        si_verdict_line(v, line);
    }
    fclose(f);
    return 0;
}

/* Prints the counts; returns the exit status. */
static int
print_counts(const si_verdict_t *v, bool allow_broken)
{
    si_verdict_counts_t c;
    uint64_t faults;

    si_verdict_count(v, &c);
    si_verdict_faults(v, stderr);
    printf("requests reported: %llu\n", (unsigned long long)c.posts);
    printf("requests run: %llu\n", (unsigned long long)c.runs);
    printf("executed twice: %llu\n", (unsigned long long)c.executed_twice);
    printf("not run but ran: %llu\n", (unsigned long long)c.false_not_run);
    printf("answered but never ran: %llu\n", (unsigned long long)c.never_ran);
    printf("misdelivered: %llu\n", (unsigned long long)c.misdelivered);
    printf("crossed answers: %llu\n", (unsigned long long)c.crossed);
    printf("outcome unknown: %llu\n", (unsigned long long)c.unknown);
    printf("unanswered: %llu\n", (unsigned long long)c.unanswered);
    printf("stored, restart requested: %llu\n",
           (unsigned long long)c.restarted_after_run);
    printf("broken flows: %llu\n", (unsigned long long)c.broken);
    faults = c.executed_twice + c.false_not_run + c.never_ran +
             c.misdelivered + c.crossed;
    if (!allow_broken) {
        faults += c.unknown + c.unanswered + c.restarted_after_run + c.broken;
    }
    return faults > 0;
}

static int
check_logs(const struct arg_file *logs, bool allow_broken)
{
    si_verdict_t *v = si_verdict_new();
    int rc = 0;

    if (v == NULL) {
        return 2;
    }
    for (int i = 0; i < logs->count && rc == 0; i++) {
        rc = read_log(v, logs->filename[i]) < 0 ? 2 : 0;
    }
    if (rc == 0) {
        rc = print_counts(v, allow_broken);
    }
    si_verdict_free(v);
    return rc;
}

int
main(int argc, char **argv)
{
    struct arg_lit *broken = arg_lit0(
        NULL, "allow-broken", "broken flows, unknown outcomes are no fault");
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_file *logs =
        arg_filen(NULL, NULL, "LOG", 1, 64, "logs of callers and upstreams");
    struct arg_end *end = arg_end(5);
    void *table[] = {broken, help, logs, end};
    int rc;

    if (si_args("si_verdict", argc, argv, table, help, end, &rc)) {
        rc = check_logs(logs, broken->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return rc;
}
