#include "cli/cli.h"

#include <stdbool.h>
#include <string.h>

const cli_command_t cli_commands[] = {
    {"query", NULL, "run one query and print its answer", query_run},
    {"entries", NULL, "print the addresses that callers should use",
     entries_run},
    {"table", "show", "print the table in force", table_show_run},
    {"table", "diff", "compare a file with the table in force",
     table_diff_run},
    {"table", "apply", "replace the table in force by a file",
     table_apply_run},
    {"zone", "show", "print the availability zones and their state",
     zone_show_run},
    {"zone", "out", "take an availability zone out of service", zone_out_run},
    {"zone", "in", "bring an availability zone back into service",
     zone_in_run},
    {"vm", "show", "print the VMs and their state", vm_show_run},
    {"vm", "out", "take a VM out of service", vm_out_run},
    {"vm", "in", "bring a VM back into service", vm_in_run},
    {"status", NULL, "print one daemon's view of the fleet", status_run},
    {"explain", NULL, "print how one query was handled", explain_run},
    {0},
};

/* Prints all commands or, if group is not NULL, those of the group. */
static void
print_commands(FILE *out, const char *group)
{
    fprintf(out, "Usage: yuccarun %s%sCOMMAND [ARGUMENTS]\n\nCommands:\n",
            group != NULL ? group : "", group != NULL ? " " : "");
    for (const cli_command_t *c = cli_commands; c->group != NULL; c++) {
        char name[32];
        if (group != NULL && strcmp(group, c->group) != 0) {
            continue;
        }
        snprintf(name, sizeof(name), "%s %s", c->group,
                 c->action == NULL ? "" : c->action);
        fprintf(out, "  %-14s%s\n", name, c->help);
    }
    fprintf(out, "\nyuccarun COMMAND --help prints the arguments.\n");
}

/*
 * Returns the index of the first argument, starting at from, that is neither
 * an option nor the value of an option, or argc. The options listed here are
 * the common ones whose value may be a separate argument.
 */
static int
find_positional(int argc, char **argv, int from)
{
    for (int i = from; i < argc; i++) {
        if (argv[i][0] != '-') {
            return i;
        }
        if (strcmp(argv[i], "--daemon") == 0 ||
            strcmp(argv[i], "--token-file") == 0 ||
            strcmp(argv[i], "--timeout") == 0) {
            i++;
        }
    }
    return argc;
}

static const cli_command_t *
find_command(const char *group, const char *action)
{
    for (const cli_command_t *c = cli_commands; c->group != NULL; c++) {
        bool same_action = c->action == NULL ||
                           (action != NULL && strcmp(c->action, action) == 0);
        if (strcmp(c->group, group) == 0 && same_action) {
            return c;
        }
    }
    return NULL;
}

/* Returns whether group is the first word of two-word commands. */
static bool
is_group(const char *group)
{
    for (const cli_command_t *c = cli_commands; c->group != NULL; c++) {
        if (c->action != NULL && strcmp(c->group, group) == 0) {
            return true;
        }
    }
    return false;
}

static cli_exit_t
run_command(const cli_command_t *command, int argc, char **argv, FILE *out,
            FILE *err)
{
    char name[32];
    snprintf(name, sizeof(name), "%s%s%s", command->group,
             command->action == NULL ? "" : " ",
             command->action == NULL ? "" : command->action);
    cli_t cli = {
        .command = name,
        .help = command->help,
        .out = out,
        .err = err,
        .timeout_s = CLI_TIMEOUT_DEFAULT_S,
    };
    return command->run(&cli, argc, argv);
}

/* Copies argv to out without two of its arguments; returns the new argc. */
static int
remove_words(int argc, char **argv, char **out, int first, int second)
{
    int kept = 0;
    for (int i = 0; i < argc; i++) {
        if (i != first && i != second) {
            out[kept++] = argv[i];
        }
    }
    out[kept] = NULL;
    return kept;
}

cli_exit_t
cli_main(int argc, char **argv, FILE *out, FILE *err)
{
    enum { ARGC_MAX = 128 };
    char *rest[ARGC_MAX + 1];
    if (argc > ARGC_MAX) {
        fprintf(err, "yuccarun: too many arguments, at most %d are allowed\n",
                ARGC_MAX);
        return CLI_USAGE;
    }
    int group = find_positional(argc, argv, 1);
    if (group == argc) {
        bool help = argc > 1 && strcmp(argv[1], "--help") == 0;
        print_commands(help ? out : err, NULL);
        return help ? CLI_OK : CLI_USAGE;
    }
    int action = find_positional(argc, argv, group + 1);
    const cli_command_t *command =
        find_command(argv[group], action < argc ? argv[action] : NULL);
    if (command == NULL && action == argc && is_group(argv[group])) {
        print_commands(out, argv[group]);
        return CLI_OK;
    }
    if (command == NULL) {
        fprintf(err, "yuccarun: no command \"%s%s%s\"\n", argv[group],
                action < argc ? " " : "", action < argc ? argv[action] : "");
        print_commands(err, NULL);
        return CLI_USAGE;
    }
    int second = command->action == NULL ? -1 : action;
    int kept = remove_words(argc, argv, rest, group, second);
    return run_command(command, kept, rest, out, err);
}
