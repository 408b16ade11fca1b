/* Subcommands that print, compare and replace the table. */
#include "cli/change.h"
#include "cli/print.h"
#include "cli/rows.h"

#include <string.h>

/* Gets the configuration in force; the caller releases *reply. */
static cli_exit_t
table_fetch(const cli_t *cli, cli_reply_t *reply)
{
    cli_request_t request = {.verb = "GET", .path = "/v1/table"};
    cli_exit_t code = cli_send(cli, &request, reply);
    if (code == CLI_OK && reply->status != 200) {
        code = cli_reply_fail(cli, reply);
    }
    return code;
}

static json_int_t
document_version(const json_t *document)
{
    return json_integer_value(json_object_get(document, "version"));
}

static void
print_document(FILE *out, const json_t *document)
{
    const char *by = json_string_value(json_object_get(document, "by"));
    fprintf(out, "version %" JSON_INTEGER_FORMAT " by %s\n",
            document_version(document),
            by == NULL || by[0] == '\0' ? "-" : by);
    print_table(out, json_object_get(document, "rows"));
    static const char *const states[] = {"zones", "vms"};
    for (size_t i = 0; i < 2; i++) {
        const json_t *state = json_object_get(document, states[i]);
        if (json_object_size(state) > 0) {
            json_t *member = json_object();
            json_object_set(member, states[i], (json_t *)state);
            print_object(out, member);
            json_decref(member);
        }
    }
}

cli_exit_t
table_show_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_lit *yaml = cli_args_add(
        &args, arg_lit0(NULL, "yaml", "print as a file for table apply"));
    if (cli_parse(cli, &args, argc, argv, &code)) {
        cli_reply_t reply;
        code = table_fetch(cli, &reply);
        if (code == CLI_OK && yaml->count > 0) {
            rows_write_yaml(cli->out, json_object_get(reply.body, "rows"),
                            document_version(reply.body));
        }
        else if (code == CLI_OK && cli->json) {
            print_json(cli->out, reply.body);
        }
        else if (code == CLI_OK) {
            print_document(cli->out, reply.body);
        }
        cli_reply_release(&reply);
    }
    cli_args_release(&args);
    return code;
}

static cli_exit_t
table_diff(const cli_t *cli, const char *path)
{
    rows_file_t file;
    cli_exit_t code = rows_read(cli, path, &file);
    if (code != CLI_OK) {
        return code;
    }
    cli_reply_t reply;
    code = table_fetch(cli, &reply);
    if (code == CLI_OK) {
        size_t differences = rows_diff(
            cli->out, json_object_get(reply.body, "rows"), file.rows);
        if (differences == 0) {
            fprintf(cli->out,
                    "no difference from version %" JSON_INTEGER_FORMAT "\n",
                    document_version(reply.body));
        }
    }
    cli_reply_release(&reply);
    json_decref(file.rows);
    return code;
}

cli_exit_t
table_diff_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_str *path =
        cli_args_add(&args, arg_str1(NULL, NULL, "FILE", "table in YAML"));
    if (cli_parse(cli, &args, argc, argv, &code)) {
        code = table_diff(cli, path->sval[0]);
    }
    cli_args_release(&args);
    return code;
}

/*
 * Finds the version that the change is based on: the option's, else the
 * file's, else the one in force.
 */
static cli_exit_t
find_based_on(const cli_t *cli, const struct arg_int *option,
              json_int_t from_file, json_int_t *based_on)
{
    if (option->count > 0) {
        *based_on = option->ival[0];
        return CLI_OK;
    }
    if (from_file >= 0) {
        *based_on = from_file;
        return CLI_OK;
    }
    cli_reply_t reply;
    cli_request_t request = {.verb = "GET", .path = "/v1/table"};
    cli_exit_t code = cli_send(cli, &request, &reply);
    /* Without a configuration at this daemon, the change is based on version
       0, which conflicts if the store has a configuration. */
    bool no_config = reply.status == 503 || reply.status == 404;
    if (code == CLI_OK && reply.status != 200 && !no_config) {
        code = cli_reply_fail(cli, &reply);
    }
    *based_on = reply.status == 200 ? document_version(reply.body) : 0;
    cli_reply_release(&reply);
    return code;
}

static cli_exit_t
table_send(const cli_t *cli, json_t *rows, json_int_t based_on,
           const change_args_t *change)
{
    json_t *body = json_pack("{s:I, s:O}", "based_on", based_on, "rows", rows);
    cli_reply_t reply;
    cli_exit_t code =
        change_send(cli, "PUT", "/v1/table", body, change, &reply);
    if (code == CLI_CONFLICT && !cli->json) {
        fprintf(cli->out, "changes from the table in force to your file:\n");
        rows_diff(cli->out, json_object_get(reply.body, "rows"), rows);
    }
    cli_reply_release(&reply);
    json_decref(body);
    return code;
}

cli_exit_t
table_apply_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_str *path =
        cli_args_add(&args, arg_str1(NULL, NULL, "FILE", "table in YAML"));
    struct arg_int *based_on_option = cli_args_add(
        &args, arg_int0(NULL, "based-on", "VERSION",
                        "version to change [the file's, else in force]"));
    change_args_t change;
    change_args_add(&args, &change);
    rows_file_t file = {0};
    if (cli_parse(cli, &args, argc, argv, &code)) {
        json_int_t based_on = 0;
        code = rows_read(cli, path->sval[0], &file);
        if (code == CLI_OK) {
            code =
                find_based_on(cli, based_on_option, file.based_on, &based_on);
        }
        if (code == CLI_OK) {
            code = table_send(cli, file.rows, based_on, &change);
        }
    }
    json_decref(file.rows);
    cli_args_release(&args);
    return code;
}
