/* The query subcommand. */
#include "cli/print.h"
#include "cli/request.h"
#include "core/outcome.h"
#include "core/range.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    struct arg_str *service;
    struct arg_str *body;
    struct arg_str *lo;
    struct arg_str *hi;
    struct arg_int *deadline;
    struct arg_str *tenant;
    struct arg_lit *once;
    struct arg_str *id;
} query_args_t;

static void
query_args_add(cli_args_t *args, query_args_t *q)
{
    q->service = cli_args_add(
        args, arg_str1(NULL, NULL, "SERVICE", "service to query"));
    q->body = cli_args_add(
        args, arg_str0(NULL, "body", "TEXT", "payload of the query"));
    q->lo = cli_args_add(
        args, arg_str0(NULL, "lo", "KEY", "first key of the range [0]"));
    q->hi =
        cli_args_add(args, arg_str0(NULL, "hi", "KEY",
                                    "first key after the range [4294967296]"));
    q->deadline = cli_args_add(
        args, arg_int0(NULL, "deadline-ms", "MS",
                       "deadline in milliseconds [from the table]"));
    q->tenant = cli_args_add(args, arg_str0(NULL, "tenant", "NAME", "tenant"));
    q->once = cli_args_add(
        args, arg_lit0(NULL, "once",
                       "send only once: the query must not run twice"));
    q->id = cli_args_add(
        args,
        arg_str0(NULL, "id", "ID", "caller's id for the query, needs --once"));
}

/* Returns the key in text as a JSON integer; NULL: the key is invalid. */
static json_t *
key_parse(const char *text)
{
    char *end;
    errno = 0;
    unsigned long long key = strtoull(text, &end, 10);
    bool number = text[0] >= '0' && text[0] <= '9' && *end == '\0';
    return number && errno == 0 && key <= KEY_END
               ? json_integer((json_int_t)key)
               : NULL;
}

static bool
add_key(const cli_t *cli, json_t *body, const char *name,
        const struct arg_str *arg)
{
    if (arg->count == 0) {
        return true;
    }
    json_t *key = key_parse(arg->sval[0]);
    if (key == NULL) {
        cli_fail(cli, CLI_USAGE,
                 "--%s %s: must be an integer from 0 to 4294967296", name,
                 arg->sval[0]);
        return false;
    }
    json_object_set_new(body, name, key);
    return true;
}

static void
add_text(json_t *body, const char *name, const struct arg_str *arg)
{
    if (arg->count > 0) {
        json_object_set_new(body, name, json_string(arg->sval[0]));
    }
}

static bool
query_body_fill(const cli_t *cli, const query_args_t *q, json_t *body)
{
    add_text(body, "service", q->service);
    add_text(body, "body", q->body);
    add_text(body, "tenant", q->tenant);
    add_text(body, "id", q->id);
    if (q->deadline->count > 0) {
        json_object_set_new(body, "deadline_ms",
                            json_integer(q->deadline->ival[0]));
    }
    if (q->once->count > 0) {
        json_object_set_new(body, "once", json_true());
    }
    if (q->id->count > 0 && q->once->count == 0) {
        cli_fail(cli, CLI_USAGE, "--id needs --once");
        return false;
    }
    return add_key(cli, body, "lo", q->lo) && add_key(cli, body, "hi", q->hi);
}

/*
 * Gets a ticket and adds it to body. The ticket is valid only at the daemon
 * that issued it; *daemon is set to that daemon's URL.
 */
static cli_exit_t
query_ticket_fetch(const cli_t *cli, json_t *body, const char **daemon)
{
    cli_request_t request = {.verb = "POST", .path = "/v1/tickets"};
    cli_reply_t reply;
    cli_exit_t code = cli_send(cli, &request, &reply);
    json_t *ticket = json_object_get(reply.body, "ticket");
    if (code == CLI_OK && (reply.status != 200 || !json_is_string(ticket))) {
        code = cli_reply_fail(cli, &reply);
    }
    if (code == CLI_OK) {
        json_object_set(body, "ticket", ticket);
        *daemon = reply.daemon;
    }
    cli_reply_release(&reply);
    return code;
}

static const char *
member_text(const json_t *body, const char *name)
{
    const char *text = json_string_value(json_object_get(body, name));
    return text == NULL ? "-" : text;
}

static json_int_t
member_number(const json_t *body, const char *name)
{
    return json_integer_value(json_object_get(body, name));
}

static void
print_missing(FILE *out, const json_t *missing)
{
    for (size_t i = 0; i < json_array_size(missing); i++) {
        const json_t *range = json_array_get(missing, i);
        fprintf(out,
                "missing:  %" JSON_INTEGER_FORMAT " to %" JSON_INTEGER_FORMAT
                "\n",
                json_integer_value(json_array_get(range, 0)),
                json_integer_value(json_array_get(range, 1)));
    }
}

static void
print_answer(FILE *out, const json_t *body)
{
    fprintf(out, "outcome:  %s", member_text(body, "outcome"));
    if (strcmp(member_text(body, "reason"), "none") != 0) {
        fprintf(out, " (%s)", member_text(body, "reason"));
    }
    fprintf(out, "\nrows:     %" JSON_INTEGER_FORMAT ", sum %s\n",
            member_number(body, "count"), member_text(body, "sum"));
    fprintf(out,
            "coverage: %.4f (%" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
            " keys), version %" JSON_INTEGER_FORMAT
            ", generation %" JSON_INTEGER_FORMAT "\n",
            json_number_value(json_object_get(body, "coverage")),
            member_number(body, "covered"), member_number(body, "asked"),
            member_number(body, "version"), member_number(body, "generation"));
    print_missing(out, json_object_get(body, "missing"));
    fprintf(out,
            "effort:   %" JSON_INTEGER_FORMAT " parts, %" JSON_INTEGER_FORMAT
            " attempts, %" JSON_INTEGER_FORMAT " hedges, %.1f ms at %s\n",
            member_number(body, "parts"), member_number(body, "attempts"),
            member_number(body, "hedges"),
            (double)member_number(body, "took_us") / 1000.0,
            member_text(body, "daemon"));
    fprintf(out, "query:    %s\n", member_text(body, "query"));
    if (member_number(body, "retry_after_ms") > 0) {
        fprintf(out, "retry in: %" JSON_INTEGER_FORMAT " ms\n",
                member_number(body, "retry_after_ms"));
    }
}

static const cli_exit_t outcome_codes[OUTCOME_COUNT] = {
    [OUTCOME_WHOLE] = CLI_OK,
    [OUTCOME_PARTIAL] = CLI_PARTIAL,
    [OUTCOME_NOT_RUN] = CLI_NOT_RUN,
    [OUTCOME_UNKNOWN] = CLI_UNKNOWN,
};

/* Returns OUTCOME_COUNT if the body has no known outcome. */
static outcome_t
body_outcome(const json_t *body)
{
    const char *name = member_text(body, "outcome");
    outcome_t outcome = 0;
    while (outcome < OUTCOME_COUNT &&
           strcmp(outcome_name(outcome), name) != 0) {
        outcome++;
    }
    return outcome;
}

static cli_exit_t
query_print(const cli_t *cli, const cli_reply_t *reply)
{
    outcome_t outcome = body_outcome(reply->body);
    if (outcome == OUTCOME_COUNT) {
        return cli_reply_fail(cli, reply);
    }
    if (cli->json) {
        print_json(cli->out, reply->body);
    }
    else {
        print_answer(cli->out, reply->body);
    }
    return reply->status == 400 ? CLI_INVALID : outcome_codes[outcome];
}

static cli_exit_t
query_send(const cli_t *cli, const query_args_t *q)
{
    json_t *body = json_object();
    cli_request_t request = {
        .verb = "POST",
        .path = "/v1/query",
        .body = body,
        .once = q->once->count > 0,
    };
    cli_exit_t code = query_body_fill(cli, q, body) ? CLI_OK : CLI_USAGE;
    if (code == CLI_OK && request.once && q->id->count == 0) {
        code = query_ticket_fetch(cli, body, &request.daemon);
    }
    if (code == CLI_OK) {
        cli_reply_t reply;
        code = cli_send(cli, &request, &reply);
        if (code == CLI_OK) {
            code = query_print(cli, &reply);
        }
        cli_reply_release(&reply);
    }
    json_decref(body);
    return code;
}

cli_exit_t
query_run(cli_t *cli, int argc, char **argv)
{
    cli_args_t args = {0};
    query_args_t q;
    cli_exit_t code;
    query_args_add(&args, &q);
    if (cli_parse(cli, &args, argc, argv, &code)) {
        code = query_send(cli, &q);
    }
    cli_args_release(&args);
    return code;
}
