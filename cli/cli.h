/*
 * The command-line tool: what its subcommands share.
 *
 * A subcommand is a row of the table in commands.c. Its function declares
 * its arguments, parses them together with the options that every subcommand
 * has, talks to a daemon and prints:
 *
 *     cli_args_t args = {0};
 *     struct arg_str *zone =
 *         cli_args_add(&args, arg_str1(NULL, NULL, "ZONE", "zone to take
 * out")); cli_exit_t code; if (cli_parse(cli, &args, argc, argv, &code)) {
 *         code = ...;
 *     }
 *     cli_args_release(&args);
 *     return code;
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/* Exit codes; they are documented and never renumbered. */
typedef enum {
    CLI_OK = 0,
    CLI_USAGE = 1,       /* the command line is wrong */
    CLI_NOT_RUN = 2,     /* refused: proven that nothing ran or changed */
    CLI_UNKNOWN = 3,     /* it may have run or be in force */
    CLI_CONFLICT = 4,    /* another operator's change came first */
    CLI_PARTIAL = 5,     /* part of the answer, or not confirmed by all */
    CLI_UNAVAILABLE = 6, /* no daemon answered; nothing was sent */
    CLI_INVALID = 7,     /* a file or argument breaks a rule */
    CLI_DENIED = 8,      /* missing or wrong operator token */
    CLI_NOT_FOUND = 9,   /* the thing named does not exist */
    CLI_BAD_REPLY = 10   /* the daemon's answer cannot be understood */
} cli_exit_t;

enum {
    CLI_ARGS_MAX = 24,
    CLI_DAEMONS_MAX = 32,
    CLI_TOKEN_SIZE = 512,
    CLI_TIMEOUT_DEFAULT_S = 15
};

typedef struct {
    const char *command; /* "table apply" */
    const char *help;
    FILE *out;
    FILE *err;
    const char *daemons[CLI_DAEMONS_MAX]; /* URLs, in the order to try */
    size_t daemon_count;
    char token[CLI_TOKEN_SIZE]; /* empty: none */
    bool json;
    unsigned timeout_s;
} cli_t;

typedef struct {
    const char *group;  /* "table" */
    const char *action; /* "apply"; NULL: the group is the command */
    const char *help;
    cli_exit_t (*run)(cli_t *cli, int argc, char **argv);
} cli_command_t;

/* Ended by an entry without a group. */
extern const cli_command_t cli_commands[];

/* A whole run of the tool. argv[0] is its name. */
cli_exit_t cli_main(int argc, char **argv, FILE *out, FILE *err);

/* The arguments of one subcommand, those of every subcommand included. */
typedef struct {
    void *table[CLI_ARGS_MAX];
    size_t count;
} cli_args_t;

/* Add an argtable entry; returns it. */
void *cli_args_add(cli_args_t *args, void *entry);

/* False: *code is the exit code, and everything has been printed. */
bool cli_parse(cli_t *cli, cli_args_t *args, int argc, char **argv,
               cli_exit_t *code);

void cli_args_release(cli_args_t *args);

/* Print "yuccarun: ..." to err and return code. */
cli_exit_t cli_fail(const cli_t *cli, cli_exit_t code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Read a file of at most max bytes; the caller frees *text, which gets a NUL.
 */
cli_exit_t cli_read_file(const cli_t *cli, const char *path, size_t max,
                         char **text, size_t *size);

/* Subcommands. */
cli_exit_t query_run(cli_t *cli, int argc, char **argv);
cli_exit_t entries_run(cli_t *cli, int argc, char **argv);
cli_exit_t status_run(cli_t *cli, int argc, char **argv);
cli_exit_t explain_run(cli_t *cli, int argc, char **argv);
cli_exit_t table_show_run(cli_t *cli, int argc, char **argv);
cli_exit_t table_apply_run(cli_t *cli, int argc, char **argv);
cli_exit_t table_diff_run(cli_t *cli, int argc, char **argv);
cli_exit_t zone_out_run(cli_t *cli, int argc, char **argv);
cli_exit_t zone_in_run(cli_t *cli, int argc, char **argv);
cli_exit_t zone_show_run(cli_t *cli, int argc, char **argv);
cli_exit_t vm_out_run(cli_t *cli, int argc, char **argv);
cli_exit_t vm_in_run(cli_t *cli, int argc, char **argv);
cli_exit_t vm_show_run(cli_t *cli, int argc, char **argv);

#endif
