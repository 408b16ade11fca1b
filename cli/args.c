#include "cli/cli.h"

#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum { CLI_PARSE_ERRORS_MAX = 8, CLI_TIMEOUT_MAX_S = 600 };

#define DEFAULT_DAEMON "http://127.0.0.1:8080"

/* The options common to all subcommands. */
typedef struct {
    struct arg_str *daemon;
    struct arg_str *token_file;
    struct arg_int *timeout;
    struct arg_lit *json;
    struct arg_lit *help;
    struct arg_end *end;
} common_options_t;

void *
cli_args_add(cli_args_t *args, void *entry)
{
    args->table[args->count++] = entry;
    return entry;
}

void
cli_args_release(cli_args_t *args)
{
    arg_freetable(args->table, args->count);
    args->count = 0;
}

cli_exit_t
cli_fail(const cli_t *cli, cli_exit_t code, const char *format, ...)
{
    fprintf(cli->err, "yuccarun: ");
    va_list list;
    va_start(list, format);
    vfprintf(cli->err, format, list);
    va_end(list);
    fprintf(cli->err, "\n");
    return code;
}

cli_exit_t
cli_read_file(const cli_t *cli, const char *path, size_t max, char **text,
              size_t *size)
{
    *text = NULL;
    *size = 0;
    FILE *file = fopen(path, "r");
    if (file == NULL) {
        return cli_fail(cli, CLI_INVALID, "%s: %s", path, strerror(errno));
    }
    char *bytes = malloc(max + 2);
    size_t got = bytes == NULL ? 0 : fread(bytes, 1, max + 1, file);
    bool failed = bytes == NULL || ferror(file) != 0;
    fclose(file);
    if (failed || got > max) {
        free(bytes);
        return cli_fail(cli, CLI_INVALID, "%s: %s", path,
                        failed ? "cannot be read" : "file is too large");
    }
    bytes[got] = '\0';
    *text = bytes;
    *size = got;
    return CLI_OK;
}

static void
add_common_options(cli_args_t *args, common_options_t *common)
{
    common->daemon = cli_args_add(
        args, arg_strn(NULL, "daemon", "URL", 0, CLI_DAEMONS_MAX,
                       "URL of a daemon; the next one is tried if "
                       "it does not reply [$YUCCARUN_DAEMON]"));
    common->token_file = cli_args_add(
        args, arg_str0(NULL, "token-file", "FILE",
                       "file with the operator token [$YUCCARUN_TOKEN_FILE]"));
    common->timeout = cli_args_add(
        args, arg_int0(NULL, "timeout", "SECONDS",
                       "timeout of a request to one daemon [15]"));
    common->json =
        cli_args_add(args, arg_lit0(NULL, "json", "print the daemon's JSON"));
    common->help =
        cli_args_add(args, arg_lit0(NULL, "help", "print this help and exit"));
    common->end = cli_args_add(args, arg_end(CLI_PARSE_ERRORS_MAX));
}

static void
print_help(const cli_t *cli, const cli_args_t *args)
{
    void *table[CLI_ARGS_MAX];
    memcpy(table, args->table, sizeof(table));
    fprintf(cli->out, "Usage: yuccarun %s", cli->command);
    arg_print_syntax(cli->out, table, "\n");
    fprintf(cli->out, "%s\n\n", cli->help);
    arg_print_glossary(cli->out, table, "  %-28s %s\n");
}

static const char *
default_daemon(void)
{
    const char *daemon = getenv("YUCCARUN_DAEMON");
    return daemon == NULL || daemon[0] == '\0' ? DEFAULT_DAEMON : daemon;
}

static void
set_daemons(cli_t *cli, const common_options_t *common)
{
    cli->daemon_count = (size_t)common->daemon->count;
    for (size_t i = 0; i < cli->daemon_count; i++) {
        cli->daemons[i] = common->daemon->sval[i];
    }
    if (cli->daemon_count == 0) {
        cli->daemons[0] = default_daemon();
        cli->daemon_count = 1;
    }
}

static cli_exit_t
read_token(cli_t *cli, const char *path)
{
    char *text;
    size_t size;
    cli_exit_t code =
        cli_read_file(cli, path, CLI_TOKEN_SIZE - 1, &text, &size);
    if (code != CLI_OK || text == NULL) {
        return code;
    }
    size_t length = strcspn(text, "\r\n");
    bool single_line = strspn(text + length, "\r\n") == strlen(text + length);
    memcpy(cli->token, text, length);
    cli->token[length] = '\0';
    free(text);
    if (length == 0 || !single_line) {
        return cli_fail(cli, CLI_INVALID, "%s: must be one line with a token",
                        path);
    }
    return CLI_OK;
}

static cli_exit_t
set_token(cli_t *cli, const common_options_t *common)
{
    const char *path = getenv("YUCCARUN_TOKEN_FILE");
    if (common->token_file->count > 0) {
        path = common->token_file->sval[0];
    }
    return path == NULL || path[0] == '\0' ? CLI_OK : read_token(cli, path);
}

static cli_exit_t
set_timeout(cli_t *cli, const common_options_t *common)
{
    if (common->timeout->count == 0) {
        return CLI_OK;
    }
    int seconds = common->timeout->ival[0];
    if (seconds < 1 || seconds > CLI_TIMEOUT_MAX_S) {
        return cli_fail(cli, CLI_USAGE, "--timeout %d: must be from 1 to %d",
                        seconds, CLI_TIMEOUT_MAX_S);
    }
    cli->timeout_s = (unsigned)seconds;
    return CLI_OK;
}

bool
cli_parse(cli_t *cli, cli_args_t *args, int argc, char **argv,
          cli_exit_t *code)
{
    common_options_t common;
    add_common_options(args, &common);
    if (arg_nullcheck(args->table) != 0) {
        *code = cli_fail(cli, CLI_USAGE, "out of memory");
        return false;
    }
    int errors = arg_parse(argc, argv, args->table);
    if (common.help->count > 0) {
        print_help(cli, args);
        *code = CLI_OK;
        return false;
    }
    if (errors > 0) {
        arg_print_errors(cli->err, common.end, "yuccarun");
        fprintf(cli->err, "yuccarun %s --help prints the arguments.\n",
                cli->command);
        *code = CLI_USAGE;
        return false;
    }
    cli->json = common.json->count > 0;
    set_daemons(cli, &common);
    *code = set_timeout(cli, &common);
    if (*code == CLI_OK) {
        *code = set_token(cli, &common);
    }
    return *code == CLI_OK;
}
