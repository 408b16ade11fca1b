#include "cli/request.h"

#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

enum { URL_SIZE = 512, READY_TIMEOUT_S = 3 };

static bool
request_prepare(const cli_t *cli, const cli_request_t *request,
                const char *daemon, unsigned timeout_s,
                struct _u_request *http)
{
    char url[URL_SIZE];
    size_t length = strlen(daemon);
    while (length > 0 && daemon[length - 1] == '/') {
        length--;
    }
    if (snprintf(url, sizeof(url), "%.*s%s", (int)length, daemon,
                 request->path) >= (int)sizeof(url)) {
        return false;
    }
    /* Disables redirects and "Expect: 100-continue", with which the HTTP
       client could send the request twice. */
    int result = ulfius_set_request_properties(
        http, U_OPT_HTTP_VERB, request->verb, U_OPT_HTTP_URL, url,
        U_OPT_TIMEOUT, (unsigned long)timeout_s, U_OPT_FOLLOW_REDIRECT, 0,
        U_OPT_HEADER_PARAMETER, "Expect", "", U_OPT_NONE);
    if (result == U_OK && cli->token[0] != '\0') {
        char bearer[CLI_TOKEN_SIZE + sizeof("Bearer ")];
        snprintf(bearer, sizeof(bearer), "Bearer %s", cli->token);
        result = ulfius_set_request_properties(
            http, U_OPT_HEADER_PARAMETER, "Authorization", bearer, U_OPT_NONE);
    }
    if (result == U_OK && request->body != NULL) {
        result = ulfius_set_json_body_request(http, request->body);
    }
    return result == U_OK;
}

/* Sends the request to one daemon; returns whether it replied. */
static bool
request_try(const cli_t *cli, const cli_request_t *request, const char *daemon,
            unsigned timeout_s, cli_reply_t *reply)
{
    struct _u_request http;
    struct _u_response response;
    *reply = (cli_reply_t){.daemon = daemon};
    if (ulfius_init_request(&http) != U_OK) {
        return false;
    }
    if (ulfius_init_response(&response) != U_OK) {
        ulfius_clean_request(&http);
        return false;
    }
    bool answered = request_prepare(cli, request, daemon, timeout_s, &http) &&
                    ulfius_send_http_request(&http, &response) == U_OK &&
                    response.status > 0;
    if (answered) {
        json_t *body = json_loadb(response.binary_body,
                                  response.binary_body_length, 0, NULL);
        reply->status = response.status;
        if (json_is_object(body)) {
            reply->body = json_incref(body);
        }
        json_decref(body);
    }
    ulfius_clean_response(&response);
    ulfius_clean_request(&http);
    return answered;
}

static cli_exit_t
send_idempotent(const cli_t *cli, const cli_request_t *request,
                cli_reply_t *reply)
{
    for (size_t i = 0; i < cli->daemon_count; i++) {
        if (request_try(cli, request, cli->daemons[i], cli->timeout_s,
                        reply)) {
            return CLI_OK;
        }
        cli_fail(cli, CLI_UNAVAILABLE, "%s %s: no reply from %s",
                 request->verb, request->path, cli->daemons[i]);
    }
    return CLI_UNAVAILABLE;
}

/* Returns the first daemon that is ready, else the first that replies. */
static const char *
choose_daemon(const cli_t *cli)
{
    const cli_request_t ready = {.verb = "GET", .path = "/ready"};
    const char *first_answering = NULL;
    for (size_t i = 0; i < cli->daemon_count; i++) {
        cli_reply_t reply;
        if (!request_try(cli, &ready, cli->daemons[i], READY_TIMEOUT_S,
                         &reply)) {
            continue;
        }
        cli_reply_release(&reply);
        if (reply.status == 200) {
            return cli->daemons[i];
        }
        first_answering =
            first_answering == NULL ? cli->daemons[i] : first_answering;
    }
    return first_answering;
}

static cli_exit_t
send_once(const cli_t *cli, const cli_request_t *request, cli_reply_t *reply)
{
    const char *daemon =
        request->daemon != NULL ? request->daemon : choose_daemon(cli);
    if (daemon == NULL) {
        return cli_fail(cli, CLI_UNAVAILABLE,
                        "%s %s: no daemon replies; nothing was sent",
                        request->verb, request->path);
    }
    if (request_try(cli, request, daemon, cli->timeout_s, reply)) {
        return CLI_OK;
    }
    return cli_fail(cli, CLI_UNKNOWN,
                    "%s %s: sent to %s, no reply: the request may have taken "
                    "effect and is not sent again",
                    request->verb, request->path, daemon);
}

cli_exit_t
cli_send(const cli_t *cli, const cli_request_t *request, cli_reply_t *reply)
{
    *reply = (cli_reply_t){0};
    cli_exit_t code = request->once ? send_once(cli, request, reply)
                                    : send_idempotent(cli, request, reply);
    /* Only a 4xx status is accepted without the daemon's JSON body. Without
       the body, a 5xx status does not prove a refusal. */
    bool needs_body = reply->status < 400 || reply->status >= 500;
    if (code == CLI_OK && reply->body == NULL && needs_body) {
        return cli_fail(cli, request->once ? CLI_UNKNOWN : CLI_BAD_REPLY,
                        "%s %s: %s replied with status %ld and no JSON object",
                        request->verb, request->path, reply->daemon,
                        reply->status);
    }
    return code;
}

void
cli_reply_release(cli_reply_t *reply)
{
    json_decref(reply->body);
    reply->body = NULL;
}

/* The exit code and the error message for an HTTP status. */
typedef struct {
    long status;
    cli_exit_t code;
    const char *meaning;
} status_code_t;

static const status_code_t status_codes[] = {
    {400, CLI_INVALID, "invalid request"},
    {401, CLI_DENIED, "an operator token is needed (--token-file)"},
    {403, CLI_DENIED, "the operator token is wrong"},
    {404, CLI_NOT_FOUND, "not found"},
    {409, CLI_CONFLICT, "another change was accepted first"},
    {413, CLI_INVALID, "request is too large"},
    {422, CLI_INVALID, "invalid"},
    {502, CLI_UNKNOWN, "outcome unknown"},
    {503, CLI_NOT_RUN, "refused: not run"},
    {504, CLI_UNKNOWN, "not confirmed: the change may be in force"},
};

cli_exit_t
cli_reply_fail(const cli_t *cli, const cli_reply_t *reply)
{
    status_code_t found = {
        .status = reply->status,
        .code = CLI_BAD_REPLY,
        .meaning = "unexpected reply",
    };
    for (size_t i = 0; i < sizeof(status_codes) / sizeof(status_codes[0]);
         i++) {
        if (status_codes[i].status == reply->status) {
            found = status_codes[i];
        }
    }
    const char *error =
        json_string_value(json_object_get(reply->body, "error"));
    return cli_fail(cli, found.code, "%s: %s%s%s (%ld)", reply->daemon,
                    found.meaning, error == NULL ? "" : ": ",
                    error == NULL ? "" : error, reply->status);
}

bool
cli_path_segment_valid(const char *text)
{
    size_t length = strspn(text, "abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-");
    return length > 0 && length < URL_SIZE / 4 && text[length] == '\0';
}
