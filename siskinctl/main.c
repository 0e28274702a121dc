/* siskinctl: check, apply and watch the configuration, and inspect instances.
 * The table of commands holds the function, the options and the help text of
 * each. */
#include "siskinctl/ctl.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLATFORM_DEFAULT "http://127.0.0.1:8500"
#define ADMIN_DEFAULT "127.0.0.1:6004"
#define ERRORS_MAX 5

typedef enum {
    OPT_JSON = 1 << 0,
    OPT_SETTINGS = 1 << 1,
    OPT_PLATFORM = 1 << 2,
    OPT_ADMIN = 1 << 3,
    OPT_UPSTREAM = 1 << 4,
    OPT_INTO = 1 << 5,
    OPT_ON = 1 << 6, /* and --change-id */
    OPT_COUNT = 1 << 7,
    OPT_FILES = 1 << 8,    /* at least one */
    OPT_FILE_OPT = 1 << 9, /* at most one */
    OPT_ID = 1 << 10,
    OPT_LOGS = 1 << 11, /* none: standard input */
    OPT_DATA_CENTRE = 1 << 12,
    OPT_STORE = 1 << 13,
    OPT_REQUEST = 1 << 14, /* KIND, and the fields of a request */
    OPT_NAME = 1 << 15,    /* of a request */
    OPT_REVISION = 1 << 16,
} opt_t;

static const struct {
    const char *name;
    ctl_exit_t (*run)(const options_t *o);
    unsigned opts;
    const char *help;
} commands[] = {
    {"check", cmd_check, OPT_JSON | OPT_SETTINGS | OPT_FILES,
     "Checks a base file and its overlays as a whole."},
    {"apply", cmd_apply, OPT_JSON | OPT_PLATFORM | OPT_ON | OPT_FILES,
     "Makes the files the next version, if none came since the one edited."},
    {"show", cmd_show, OPT_JSON | OPT_PLATFORM | OPT_INTO | OPT_FILE_OPT,
     "Prints the version in force, or one of its texts (base, a data "
     "centre)."},
    {"diff", cmd_diff, OPT_JSON | OPT_PLATFORM | OPT_FILES,
     "Tells what applying the files would change."},
    {"watch", cmd_watch, OPT_JSON | OPT_PLATFORM | OPT_COUNT,
     "Tells each new version and what it changes."},
    {"status", cmd_status, OPT_JSON | OPT_ADMIN,
     "Shows an instance's version, peers, upstreams, services."},
    {"flows", cmd_flows, OPT_JSON | OPT_ADMIN, "Shows an instance's flows."},
    {"drain", cmd_drain,
     OPT_JSON | OPT_PLATFORM | OPT_ADMIN | OPT_UPSTREAM | OPT_DATA_CENTRE,
     "Drains an instance, or an upstream or a data centre's everywhere."},
    {"undrain", cmd_undrain,
     OPT_JSON | OPT_PLATFORM | OPT_ADMIN | OPT_UPSTREAM | OPT_DATA_CENTRE,
     "Takes a drain back."},
    {"explain", cmd_explain, OPT_ID | OPT_LOGS,
     "Tells from logs what became of a request, a flow or an upstream."},
    {"report", cmd_report, OPT_JSON | OPT_INTO | OPT_LOGS,
     "Sums up logs: load, resets, beliefs, versions; plots with --into."},
    {"load", cmd_load, OPT_JSON | OPT_ADMIN,
     "Shows the load of services as an instance sums it up."},
    {"request add", cmd_request_add,
     OPT_JSON | OPT_STORE | OPT_REQUEST | OPT_DATA_CENTRE | OPT_REVISION,
     "Asks all instances for a guarantee, limit, forbid, pin, weight or out."},
    {"request list", cmd_request_list, OPT_JSON | OPT_STORE,
     "Lists the requests in the store."},
    {"request end", cmd_request_end,
     OPT_JSON | OPT_STORE | OPT_NAME | OPT_REVISION, "Ends a request."},
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

/* The argtable entries of a command; NULL for options it does not have. */
typedef struct {
    struct arg_lit *help, *json, *settings;
    struct arg_str *platform, *admin, *upstream, *data_centre, *into;
    struct arg_str *change_id, *id;
    struct arg_int *on, *count;
    struct arg_file *files;
    struct arg_str *store, *kind, *name, *service, *route, *from, *to;
    struct arg_str *version, *lifetime, *note, *author, *revision;
    struct arg_int *priority;
    struct arg_dbl *share;
    struct arg_end *end;
    void *table[24];
    size_t n;
} args_t;

static void *
add_arg(args_t *a, bool wanted, void *arg)
{
    if (wanted) {
        a->table[a->n++] = arg;
        return arg;
    }
    free(arg);
    return NULL;
}

static void
args_build_request(args_t *a, unsigned opts)
{
    bool add = opts & OPT_REQUEST;

    a->kind = add_arg(a, add,
                      arg_str1(NULL, NULL, "KIND",
                               "guarantee, limit, forbid, pin, weight or "
                               "out"));
    a->service = add_arg(a, add,
                         arg_str0(NULL, "service", "NAME",
                                  "all kinds, but for the limit of a route"));
    a->route = add_arg(a, add,
                       arg_str0(NULL, "route", "NAME",
                                "limit: the route, in place of a service"));
    a->priority = add_arg(a, add,
                          arg_int0(NULL, "priority", "N",
                                   "guarantee, limit: 0 (most urgent) to 3"));
    a->share = add_arg(
        a, add,
        arg_dbl0(NULL, "share", "X", "guarantee, limit, weight: 0 to 1"));
    a->from = add_arg(
        a, add, arg_str0(NULL, "from", "NAME", "forbid, pin: data centre"));
    a->to = add_arg(a, add,
                    arg_str0(NULL, "to", "NAME", "forbid, pin: data centre"));
    if (add) {
        a->upstream = add_arg(
            a, add, arg_str0("u", "upstream", "ID", "weight, out: by id"));
    }
    a->version = add_arg(
        a, add,
        arg_str0(NULL, "version", "TEXT", "weight, out: by software version"));
    a->lifetime = add_arg(
        a, add,
        arg_str1(NULL, "for", "TIME", "such as 90s, 10m, 2h; at most 7d"));
    a->note = add_arg(a, add, arg_str0(NULL, "note", "TEXT", "why"));
    a->author =
        add_arg(a, add, arg_str0(NULL, "author", "TEXT", "who (or $USER)"));
    a->name = add_arg(
        a, add,
        arg_str0(NULL, "name", "NAME", "of the request (or a new one)"));
    if (opts & OPT_NAME) {
        a->name =
            add_arg(a, true, arg_str1(NULL, NULL, "NAME", "of the request"));
    }
}

static void
args_build(args_t *a, unsigned opts)
{
    int min_files = opts & OPT_FILES ? 1 : 0;
    int max_files = opts & (OPT_FILES | OPT_LOGS) ? CTL_FILES_MAX : 1;
    const char *placeholder = opts & OPT_FILES  ? "FILE"
                              : opts & OPT_LOGS ? "LOG"
                                                : "NAME";
    const char *description =
        opts & OPT_FILES  ? "base file and overlays"
        : opts & OPT_LOGS ? "instances' logs (none, or -: standard input)"
                          : "base, or a data centre";

    *a = (args_t){0};
    a->help = add_arg(a, true, arg_lit0("h", "help", "print this"));
    a->json = add_arg(a, opts & OPT_JSON,
                      arg_lit0(NULL, "json", "JSON on standard output"));
    a->settings = add_arg(
        a, opts & OPT_SETTINGS,
        arg_lit0(NULL, "settings", "the files are settings of instances"));
    a->platform = add_arg(a, opts & OPT_PLATFORM,
                          arg_str0("p", "platform", "URL",
                                   "the platform (" PLATFORM_DEFAULT
                                   ", or $SISKIN_PLATFORM)"));
    a->store = add_arg(a, opts & OPT_STORE,
                       arg_str0("s", "store", "URL",
                                "the platform's store (or $SISKIN_STORE)"));
    a->admin = add_arg(a, opts & OPT_ADMIN,
                       arg_str0("a", "admin", "IP:PORT",
                                "admin port of the instance (" ADMIN_DEFAULT
                                ", or $SISKIN_ADMIN)"));
    a->upstream = add_arg(a, opts & OPT_UPSTREAM,
                          arg_str0("u", "upstream", "IP:PORT",
                                   "the upstream, in place of an instance"));
    a->data_centre = add_arg(
        a, opts & OPT_DATA_CENTRE,
        arg_str0("d", "data-centre", "NAME",
                 opts & OPT_REQUEST ? "guarantee: for the callers there"
                                    : "all upstreams there, in place of an "
                                      "instance"));
    args_build_request(a, opts);
    a->into =
        add_arg(a, opts & OPT_INTO,
                arg_str0(NULL, "into", "DIR", "write to new files there"));
    a->on = add_arg(a, opts & OPT_ON,
                    arg_int0(NULL, "on", "N", "the version that was edited"));
    a->revision = add_arg(
        a, opts & OPT_REVISION,
        arg_str0(NULL, "on", "N", "the request's revision, as listed"));
    a->change_id = add_arg(a, opts & OPT_ON,
                           arg_str0(NULL, "change-id", "ID",
                                    "of an earlier try whose outcome is "
                                    "unknown"));
    a->count = add_arg(a, opts & OPT_COUNT,
                       arg_int0("n", "count", "N", "stop after N versions"));
    a->id = add_arg(a, opts & OPT_ID,
                    arg_str1(NULL, NULL, "ID",
                             "of a request or an upstream, or a flow as "
                             "IP:PORT>IP:PORT"));
    a->files = add_arg(
        a, opts & (OPT_FILES | OPT_FILE_OPT | OPT_LOGS),
        arg_filen(NULL, NULL, placeholder, min_files, max_files, description));
    a->end = add_arg(a, true, arg_end(ERRORS_MAX));
}

static const char *
string_or_env(const struct arg_str *arg, const char *env,
              const char *default_value)
{
    const char *s = getenv(env);

    if (arg != NULL && arg->count > 0) {
        return arg->sval[0];
    }
    return s != NULL && *s != '\0' ? s : default_value;
}

static const char *
string_or_null(const struct arg_str *arg)
{
    return arg != NULL && arg->count > 0 ? arg->sval[0] : NULL;
}

static request_options_t
request_options(const args_t *a)
{
    return (request_options_t){
        .kind = string_or_null(a->kind),
        .name = string_or_null(a->name),
        .service = string_or_null(a->service),
        .route = string_or_null(a->route),
        .from = string_or_null(a->from),
        .to = string_or_null(a->to),
        .version = string_or_null(a->version),
        .revision = string_or_null(a->revision),
        .lifetime = string_or_null(a->lifetime),
        .note = string_or_null(a->note),
        .author = string_or_env(a->author, "USER", ""),
        .priority = a->priority != NULL && a->priority->count > 0
                        ? a->priority->ival[0]
                        : REQUEST_NO_PRIORITY,
        .share =
            a->share != NULL && a->share->count > 0 ? a->share->dval[0] : -1,
    };
}

static bool
given(const struct arg_lit *arg)
{
    return arg != NULL && arg->count > 0;
}

static void
options_fill(options_t *o, const args_t *a)
{
    *o = (options_t){
        .json = given(a->json),
        .settings = given(a->settings),
        .platform =
            string_or_env(a->platform, "SISKIN_PLATFORM", PLATFORM_DEFAULT),
        .admin = string_or_env(a->admin, "SISKIN_ADMIN", ADMIN_DEFAULT),
        .store = string_or_env(a->store, "SISKIN_STORE", ""),
        .upstream = string_or_null(a->upstream),
        .data_centre = string_or_null(a->data_centre),
        .output_dir = string_or_null(a->into),
        .id = string_or_null(a->id),
        .change_id = string_or_null(a->change_id),
        .base_version =
            a->on != NULL && a->on->count > 0 ? a->on->ival[0] : -1,
        .count =
            a->count != NULL && a->count->count > 0 ? a->count->ival[0] : 0,
        .request = request_options(a),
    };
    for (int i = 0; a->files != NULL && i < a->files->count; i++) {
        o->files[o->n_files++] = a->files->filename[i];
    }
}

static void
usage(FILE *to)
{
    fprintf(to, "usage: siskinctl COMMAND [OPTION]... [FILE]...\n"
                "       siskinctl COMMAND --help\n\n");
    for (size_t i = 0; i < N_COMMANDS; i++) {
        fprintf(to, "  %-13s %s\n", commands[i].name, commands[i].help);
    }
    fprintf(to, "\nexit codes: 0 done; 1 no, refused, or it differs; 2 bad "
                "usage or files;\n3 platform or instance out of reach; 4 "
                "outcome unknown; 5 lost a race\n");
}

static void
command_help(size_t i, args_t *a)
{
    printf("usage: siskinctl %s", commands[i].name);
    arg_print_syntax(stdout, a->table, "\n");
    printf("%s\n\n", commands[i].help);
    arg_print_glossary(stdout, a->table, "  %-22s %s\n");
}

static ctl_exit_t
run(size_t i, int argc, char **argv)
{
    char name[64];
    args_t a;
    options_t o;
    ctl_exit_t rc;
    int errors;

    snprintf(name, sizeof(name), "siskinctl %s", commands[i].name);
    args_build(&a, commands[i].opts);
    errors = arg_parse(argc, argv, a.table);
    if (a.help->count > 0) {
        command_help(i, &a);
        rc = CTL_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, a.end, name);
        fprintf(stderr, "Try \"%s --help\".\n", name);
        rc = CTL_USAGE;
    }
    else {
        options_fill(&o, &a);
        rc = commands[i].run(&o);
    }
    arg_freetable(a.table, a.n);
    return rc;
}

/* Returns the number of arguments that make up the name of command I, 0: they
 * are another one. */
static int
match_command(size_t i, int argc, char **argv)
{
    const char *name = commands[i].name, *space = strchr(name, ' ');
    size_t len = space != NULL ? (size_t)(space - name) : strlen(name);

    if (strlen(argv[1]) != len || strncmp(argv[1], name, len) != 0) {
        return 0;
    }
    if (space == NULL) {
        return 1;
    }
    return argc > 2 && strcmp(argv[2], space + 1) == 0 ? 2 : 0;
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        usage(stderr);
        return CTL_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
        usage(stdout);
        return CTL_OK;
    }
    for (size_t i = 0; i < N_COMMANDS; i++) {
        int words = match_command(i, argc, argv);
        if (words > 0) {
            return run(i, argc - words, argv + words);
        }
    }
    fprintf(stderr, "siskinctl: no command \"%s%s%s\"\n", argv[1],
            argc > 2 ? " " : "", argc > 2 ? argv[2] : "");
    usage(stderr);
    return CTL_USAGE;
}
