#include "cli/change.h"

#include "cli/print.h"
#include "core/name.h"

#include <stdlib.h>

struct arg_str *
change_by_arg(cli_args_t *args)
{
    return cli_arg(
        args, arg_str0(NULL, "by", "NAME", "who makes the change [$USER]"));
}

const char *
change_by(const struct arg_str *by)
{
    const char *user = getenv("USER");
    if (by->count > 0) {
        return by->sval[0];
    }
    return user != NULL && name_valid(user) ? user : "operator";
}

static void
print_accepted(const cli_t *cli, const json_t *body)
{
    if (cli->json) {
        print_json(cli->out, body);
        return;
    }
    fprintf(cli->out, "accepted:  version %" JSON_INTEGER_FORMAT "\n",
            json_integer_value(json_object_get(body, "version")));
    fprintf(cli->out, "confirmed: ");
    print_names(cli->out, json_object_get(body, "confirmed"));
    fprintf(cli->out, "\nwaiting:   ");
    print_names(cli->out, json_object_get(body, "waiting"));
    fprintf(cli->out, "\n");
}

static void
print_conflict(const cli_t *cli, const json_t *body)
{
    const char *by = json_string_value(json_object_get(body, "by"));
    const char *change = json_string_value(json_object_get(body, "change"));
    if (cli->json) {
        print_json(cli->out, body);
        return;
    }
    fprintf(cli->out,
            "in force:  version %" JSON_INTEGER_FORMAT " by %s, change %s\n",
            json_integer_value(json_object_get(body, "version")),
            by == NULL ? "-" : by, change == NULL ? "-" : change);
}

static void
print_fault(const cli_t *cli, const json_t *body)
{
    if (cli->json) {
        print_json(cli->out, body);
        return;
    }
    const char *column = json_string_value(json_object_get(body, "column"));
    json_int_t row = json_integer_value(json_object_get(body, "row"));
    if (column != NULL) {
        fprintf(cli->err, "row %" JSON_INTEGER_FORMAT ", column %s\n", row,
                column);
    }
}

cli_exit_t
change_send(const cli_t *cli, const char *verb, const char *path, json_t *body,
            cli_reply_t *reply)
{
    cli_request_t request = {
        .verb = verb,
        .path = path,
        .body = body,
        .once = true,
    };
    cli_exit_t code = cli_send(cli, &request, reply);
    if (code != CLI_OK) {
        return code;
    }
    if (reply->status == 200) {
        print_accepted(cli, reply->body);
        return json_array_size(json_object_get(reply->body, "waiting")) == 0
                   ? CLI_OK
                   : CLI_PARTIAL;
    }
    if (reply->status == 409) {
        print_conflict(cli, reply->body);
    }
    else if (reply->status == 422) {
        print_fault(cli, reply->body);
    }
    return cli_reply_fail(cli, reply);
}
