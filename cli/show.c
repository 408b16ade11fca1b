/* Subcommands that only read: entries, status, explain. */
#include "cli/print.h"
#include "cli/request.h"

/* GET a path and print it whole, or member as a table when it is named. */
static cli_exit_t
show(const cli_t *cli, const char *path, const char *member)
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
    struct arg_str *zone =
        cli_arg(&args, arg_str0(NULL, "zone", "ZONE", "zone of the caller"));
    if (cli_parse(cli, &args, argc, argv, &code)) {
        char path[256];
        snprintf(path, sizeof(path), "/v1/entries%s%s",
                 zone->count > 0 ? "?zone=" : "",
                 zone->count > 0 ? zone->sval[0] : "");
        code = zone->count == 0 || cli_path_word(zone->sval[0])
                   ? show(cli, path, NULL)
                   : cli_fail(cli, CLI_USAGE, "--zone: not a name");
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
        code = show(cli, "/v1/status", NULL);
    }
    cli_args_release(&args);
    return code;
}

cli_exit_t
explain_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_str *query = cli_arg(
        &args, arg_str1(NULL, NULL, "QUERY-ID", "as an answer names it"));
    if (cli_parse(cli, &args, argc, argv, &code)) {
        char path[256];
        snprintf(path, sizeof(path), "/v1/explain/%s", query->sval[0]);
        code = cli_path_word(query->sval[0])
                   ? show(cli, path, NULL)
                   : cli_fail(cli, CLI_USAGE, "QUERY-ID: not a query's id");
    }
    cli_args_release(&args);
    return code;
}
