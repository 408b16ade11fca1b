#include "cli/change.h"

#include "cli/print.h"
#include "core/name.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum { RANDOM_ID_SIZE = 32 };

void
change_args_add(cli_args_t *args, change_args_t *change)
{
    change->by = cli_args_add(
        args, arg_str0(NULL, "by", "NAME", "author of the change [$USER]"));
    change->id = cli_args_add(
        args, arg_str0(NULL, "change", "ID",
                       "id of the change, which takes effect only once "
                       "per id [random]"));
}

static const char *
change_author(const struct arg_str *by)
{
    const char *user = getenv("USER");
    if (by->count > 0) {
        return by->sval[0];
    }
    return user != NULL && name_valid(user) ? user : "operator";
}

static bool
change_set_identity(json_t *body, const change_args_t *change)
{
    char random[RANDOM_ID_SIZE];
    uint64_t bits;
    const char *id = random;
    if (change->id->count > 0) {
        id = change->id->sval[0];
    }
    else if (gnutls_rnd(GNUTLS_RND_NONCE, &bits, sizeof(bits)) == 0) {
        snprintf(random, sizeof(random), "op-%016" PRIx64, bits);
    }
    else {
        return false;
    }
    return json_object_set_new(body, "by",
                               json_string(change_author(change->by))) == 0 &&
           json_object_set_new(body, "change", json_string(id)) == 0;
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
    const char *warning = json_string_value(json_object_get(body, "warning"));
    if (warning != NULL) {
        fprintf(cli->out, "warning:   %s\n", warning);
    }
}

static cli_exit_t
change_report_accepted(const cli_t *cli, const json_t *body)
{
    print_accepted(cli, body);
    return json_array_size(json_object_get(body, "waiting")) == 0
               ? CLI_OK
               : CLI_PARTIAL;
}

/*
 * Returns the version that the change created according to the document's
 * history, or 0 if the history does not list the change.
 */
static json_int_t
history_find_version(const json_t *document, const char *id)
{
    const json_t *history = json_object_get(document, "history");
    for (size_t i = 0; i < json_array_size(history); i++) {
        const json_t *record = json_array_get(history, i);
        const char *change =
            json_string_value(json_object_get(record, "change"));
        if (change != NULL && strcmp(change, id) == 0) {
            return json_integer_value(json_object_get(record, "version"));
        }
    }
    return 0;
}

/*
 * Reports a change that was found by its id. Fetches the lists of confirmed
 * and waiting daemons, because no reply to the change contained them.
 */
static cli_exit_t
change_report_found(const cli_t *cli, const char *id, json_int_t version)
{
    cli_request_t request = {.verb = "GET", .path = "/v1/zones"};
    cli_reply_t reply;
    cli_exit_t code = cli_send(cli, &request, &reply);
    const json_t *confirmations = reply.status == 200 ? reply.body : NULL;
    json_t *body =
        json_pack("{s:I, s:s, s:O*, s:O*}", "version", version, "change", id,
                  "confirmed", json_object_get(confirmations, "confirmed"),
                  "waiting", json_object_get(confirmations, "waiting"));
    bool confirmations_known = code == CLI_OK && confirmations != NULL;
    code = change_report_accepted(cli, body);
    json_decref(body);
    cli_reply_release(&reply);
    return confirmations_known ? code : CLI_PARTIAL;
}

/*
 * Looks up a change of unknown outcome by its id in the configuration in force
 * and reports the result.
 */
static cli_exit_t
change_resolve(const cli_t *cli, const char *id)
{
    cli_request_t request = {.verb = "GET", .path = "/v1/table"};
    cli_reply_t reply;
    cli_exit_t code = cli_send(cli, &request, &reply);
    json_int_t version =
        code == CLI_OK ? history_find_version(reply.body, id) : 0;
    cli_reply_release(&reply);
    if (version > 0) {
        cli_fail(cli, CLI_OK, "the change was found in force by its id");
        return change_report_found(cli, id, version);
    }
    return cli_fail(cli, CLI_UNKNOWN,
                    "the change was not found in force so far; to learn its "
                    "outcome, repeat the command with --change %s, which "
                    "cannot apply the change twice",
                    id);
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
print_invalid_cell(const cli_t *cli, const json_t *body)
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
            const change_args_t *change, cli_reply_t *reply)
{
    *reply = (cli_reply_t){0};
    if (!change_set_identity(body, change)) {
        return cli_fail(cli, CLI_INVALID,
                        "%s %s: cannot set the author and id of the change; "
                        "nothing was sent",
                        verb, path);
    }
    cli_request_t request = {
        .verb = verb,
        .path = path,
        .body = body,
        .once = true,
    };
    cli_exit_t code = cli_send(cli, &request, reply);
    if (code == CLI_OK && reply->status == 200) {
        return change_report_accepted(cli, reply->body);
    }
    if (code == CLI_OK) {
        if (reply->status == 409) {
            print_conflict(cli, reply->body);
        }
        else if (reply->status == 422) {
            print_invalid_cell(cli, reply->body);
        }
        code = cli_reply_fail(cli, reply);
    }
    return code == CLI_UNKNOWN
               ? change_resolve(
                     cli, json_string_value(json_object_get(body, "change")))
               : code;
}
