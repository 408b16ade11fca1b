/* Subcommands without side effects: entries, status, explain. */
#include "cli/explain_log.h"
#include "cli/print.h"
#include "cli/request.h"

#include <stdlib.h>

/* Gets path and prints the reply or, if member is not NULL, only the array in
   that member, as a table. */
static cli_exit_t
get_and_print(const cli_t *cli, const char *path, const char *member)
{
    cli_request_t request = {.verb = "GET", .path = path};
    cli_reply_t reply;
    cli_exit_t code = cli_send(cli, &request, &reply);
    if (code == CLI_OK && reply.status != 200) {
        code = cli_reply_fail(cli, &reply);
    }
    if (code == CLI_OK && cli->json) {
        print_json(cli->out, reply.body);
    }
    else if (code == CLI_OK && member != NULL) {
        print_table(cli->out, json_object_get(reply.body, member));
    }
    else if (code == CLI_OK) {
        print_object(cli->out, reply.body);
    }
    cli_reply_release(&reply);
    return code;
}

cli_exit_t
entries_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_str *zone = cli_args_add(
        &args, arg_str0(NULL, "zone", "ZONE", "zone of the caller"));
    if (cli_parse(cli, &args, argc, argv, &code)) {
        char path[256];
        snprintf(path, sizeof(path), "/v1/entries%s%s",
                 zone->count > 0 ? "?zone=" : "",
                 zone->count > 0 ? zone->sval[0] : "");
        code = zone->count == 0 || cli_path_segment_valid(zone->sval[0])
                   ? get_and_print(cli, path, NULL)
                   : cli_fail(cli, CLI_USAGE, "--zone: must be a valid name");
    }
    cli_args_release(&args);
    return code;
}

cli_exit_t
status_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    if (cli_parse(cli, &args, argc, argv, &code)) {
        code = get_and_print(cli, "/v1/status", NULL);
    }
    cli_args_release(&args);
    return code;
}

/* Explains a request from log lines on standard input, without a daemon. */
static cli_exit_t
explain_from_logs(const cli_t *cli, const char *id)
{
    explain_log_t log = {0};
    char *line = NULL;
    size_t size = 0;
    bool stored = true;
    while (stored && getline(&line, &size, stdin) >= 0) {
        stored = explain_log_add(&log, line, id);
    }
    free(line);
    cli_exit_t code = CLI_OK;
    if (!stored) {
        code = cli_fail(cli, CLI_INVALID, "out of memory for the log lines");
    }
    else if (!explain_log_print(&log, id, cli->out)) {
        code = cli_fail(cli, CLI_NOT_FOUND,
                        "no log line shows how request %s ended", id);
    }
    explain_log_release(&log);
    return code;
}

/* Gets the explanation of a query from a daemon (yuccarund). */
static cli_exit_t
explain_from_daemon(const cli_t *cli, const char *id)
{
    char path[256];
    snprintf(path, sizeof(path), "/v1/explain/%s", id);
    return cli_path_segment_valid(id)
               ? get_and_print(cli, path, NULL)
               : cli_fail(cli, CLI_USAGE,
                          "QUERY-ID: must be a valid query id");
}

cli_exit_t
explain_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_str *query = cli_args_add(
        &args, arg_str1(NULL, NULL, "QUERY-ID", "id from the query's answer"));
    struct arg_lit *logs = cli_args_add(
        &args,
        arg_lit0(NULL, "logs", "read the daemons' logs from standard input"));
    if (cli_parse(cli, &args, argc, argv, &code)) {
        code = logs->count > 0 ? explain_from_logs(cli, query->sval[0])
                               : explain_from_daemon(cli, query->sval[0]);
    }
    cli_args_release(&args);
    return code;
}
