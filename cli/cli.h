/*
 * The command-line tool: types and functions shared by its subcommands.
 *
 * A subcommand is a row of cli_commands in commands.c. Its function declares
 * its arguments, parses them together with the options common to all
 * subcommands, sends requests to a daemon and prints the result:
 *
 *     cli_args_t args = {0};
 *     struct arg_str *zone =
 *         cli_args_add(&args, arg_str1(NULL, NULL, "ZONE", "zone to show"));
 *     cli_exit_t code;
 *     if (cli_parse(cli, &args, argc, argv, &code)) {
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

/* Exit codes. They are documented; a code never changes its number. */
typedef enum {
    CLI_OK = 0,
    CLI_USAGE = 1,       /* the command line is invalid */
    CLI_NOT_RUN = 2,     /* refused: proven that nothing ran or changed */
    CLI_UNKNOWN = 3,     /* may have run (query) or be in force (change) */
    CLI_CONFLICT = 4,    /* another operator's change was accepted first */
    CLI_PARTIAL = 5,     /* partial answer, or not all daemons confirmed */
    CLI_UNAVAILABLE = 6, /* no daemon replied; no change was sent */
    CLI_INVALID = 7,     /* a file or the content of a request is invalid */
    CLI_DENIED = 8,      /* the operator token is missing or wrong */
    CLI_NOT_FOUND = 9,   /* the named object does not exist */
    CLI_BAD_REPLY = 10   /* the daemon's reply is invalid or unexpected */
} cli_exit_t;

enum {
    CLI_ARGS_MAX = 24,
    CLI_DAEMONS_MAX = 32,
    CLI_TOKEN_SIZE = 512,
    CLI_TIMEOUT_DEFAULT_S = 15
};

/* One run of a subcommand: its options and output streams. */
typedef struct {
    const char *command; /* "table apply" */
    const char *help;
    FILE *out;
    FILE *err;
    const char *daemons[CLI_DAEMONS_MAX]; /* URLs, tried in this order */
    size_t daemon_count;
    char token[CLI_TOKEN_SIZE]; /* operator token; empty: none */
    bool json;                  /* print the daemon's JSON */
    unsigned timeout_s;         /* for one request to one daemon */
} cli_t;

typedef struct {
    const char *group;  /* "table" */
    const char *action; /* "apply"; NULL: the command is the group alone */
    const char *help;
    cli_exit_t (*run)(cli_t *cli, int argc, char **argv);
} cli_command_t;

/* The last entry has no group. */
extern const cli_command_t cli_commands[];

/* Runs the tool with the arguments of main and returns its exit code. */
cli_exit_t cli_main(int argc, char **argv, FILE *out, FILE *err);

/* The argtable entries of one subcommand, common options included. */
typedef struct {
    void *table[CLI_ARGS_MAX];
    size_t count;
} cli_args_t;

/*
 * Adds an argtable entry, which cli_args_release frees, and returns it. At
 * most CLI_ARGS_MAX entries fit, those of cli_parse included.
 */
void *cli_args_add(cli_args_t *args, void *entry);

/*
 * Adds the common options, parses argv and stores the options in cli. Returns
 * false if the run is over: help or an error has been printed, and *code is
 * the exit code.
 */
bool cli_parse(cli_t *cli, cli_args_t *args, int argc, char **argv,
               cli_exit_t *code);

void cli_args_release(cli_args_t *args);

/* Prints "yuccarun: " and a formatted message to cli->err; returns code. */
cli_exit_t cli_fail(const cli_t *cli, cli_exit_t code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * Reads a file of at most max bytes. *text, freed by the caller, ends with a
 * NUL that *size does not count. On failure prints an error, sets *text to
 * NULL and returns CLI_INVALID.
 */
cli_exit_t cli_read_file(const cli_t *cli, const char *path, size_t max,
                         char **text, size_t *size);

/* The subcommands. argv lacks the words that name the command. */
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
