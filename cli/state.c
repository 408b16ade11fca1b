/* Subcommands that take zones and VMs out of service and back. */
#include "cli/change.h"
#include "cli/print.h"
#include "core/name.h"

typedef struct {
    const char *path;        /* "/v1/zones" */
    const char *placeholder; /* "ZONE" */
} state_kind_t;

static const state_kind_t zone_kind = {.path = "/v1/zones",
                                       .placeholder = "ZONE"};
static const state_kind_t vm_kind = {.path = "/v1/vms", .placeholder = "VM"};

static cli_exit_t
state_change_send(const cli_t *cli, const state_kind_t *kind, const char *name,
                  const char *state, const change_args_t *change)
{
    char path[128];
    if (!name_valid(name)) {
        return cli_fail(cli, CLI_USAGE, "%s: must be %s", kind->placeholder,
                        NAME_ALLOWED);
    }
    snprintf(path, sizeof(path), "%s/%s", kind->path, name);
    json_t *body = json_pack("{s:s}", "state", state);
    cli_reply_t reply;
    cli_exit_t code = change_send(cli, "POST", path, body, change, &reply);
    cli_reply_release(&reply);
    json_decref(body);
    return code;
}

static cli_exit_t
state_change_run(cli_t *cli, int argc, char **argv, const state_kind_t *kind,
                 const char *state)
{
    cli_args_t args = {0};
    cli_exit_t code;
    struct arg_str *name =
        cli_args_add(&args, arg_str1(NULL, NULL, kind->placeholder, "name"));
    change_args_t change;
    change_args_add(&args, &change);
    if (cli_parse(cli, &args, argc, argv, &code)) {
        code = state_change_send(cli, kind, name->sval[0], state, &change);
    }
    cli_args_release(&args);
    return code;
}

static cli_exit_t
state_show(cli_t *cli, int argc, char **argv, const state_kind_t *kind)
{
    cli_args_t args = {0};
    cli_exit_t code;
    if (cli_parse(cli, &args, argc, argv, &code)) {
        cli_request_t request = {.verb = "GET", .path = kind->path};
        cli_reply_t reply;
        code = cli_send(cli, &request, &reply);
        if (code == CLI_OK && reply.status != 200) {
            code = cli_reply_fail(cli, &reply);
        }
        else if (code == CLI_OK && cli->json) {
            print_json(cli->out, reply.body);
        }
        else if (code == CLI_OK) {
            print_object(cli->out, reply.body);
        }
        cli_reply_release(&reply);
    }
    cli_args_release(&args);
    return code;
}

cli_exit_t
zone_out_run(cli_t *cli, int argc, char **argv)
{
    return state_change_run(cli, argc, argv, &zone_kind, "out");
}

cli_exit_t
zone_in_run(cli_t *cli, int argc, char **argv)
{
    return state_change_run(cli, argc, argv, &zone_kind, "in");
}

cli_exit_t
zone_show_run(cli_t *cli, int argc, char **argv)
{
    return state_show(cli, argc, argv, &zone_kind);
}

cli_exit_t
vm_out_run(cli_t *cli, int argc, char **argv)
{
    return state_change_run(cli, argc, argv, &vm_kind, "out");
}

cli_exit_t
vm_in_run(cli_t *cli, int argc, char **argv)
{
    return state_change_run(cli, argc, argv, &vm_kind, "in");
}

cli_exit_t
vm_show_run(cli_t *cli, int argc, char **argv)
{
    return state_show(cli, argc, argv, &vm_kind);
}
