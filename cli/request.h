/*
 * Sends the requests of the command-line tool to the daemons.
 *
 *     cli_request_t request = {.verb = "GET", .path = "/v1/status"};
 *     cli_reply_t reply;
 *     cli_exit_t code = cli_send(cli, &request, &reply);
 *     if (code == CLI_OK) { ... use reply.status and reply.body ... }
 *     cli_reply_release(&reply);
 *
 * An idempotent request is sent to one daemon after the other until one
 * replies. A request with .once is sent once, to the first daemon that reports
 * itself ready or, if none does, to the first that replies. Without a reply
 * the exit code is CLI_UNKNOWN.
 */
#ifndef CLI_REQUEST_H
#define CLI_REQUEST_H

#include "cli/cli.h"

typedef struct {
    const char *verb;
    const char *path;
    json_t *body;       /* owned by the caller; NULL: none */
    bool once;          /* must not be sent twice */
    const char *daemon; /* with .once, URL to use; NULL: chosen as above */
} cli_request_t;

typedef struct {
    long status;        /* HTTP status; 0: no reply */
    json_t *body;       /* an object; NULL only after an error or with 4xx */
    const char *daemon; /* URL of the daemon that replied */
} cli_reply_t;

/*
 * Sends the request. Returns CLI_OK if a daemon replied, with any HTTP status.
 * Otherwise prints an error and returns
 * - CLI_UNAVAILABLE: no daemon replied; a request with .once was not sent;
 * - CLI_UNKNOWN: a request with .once was sent and got no valid reply;
 * - CLI_BAD_REPLY: the reply to an idempotent request has no JSON object.
 * The caller releases *reply in every case.
 */
cli_exit_t cli_send(const cli_t *cli, const cli_request_t *request,
                    cli_reply_t *reply);

void cli_reply_release(cli_reply_t *reply);

/* Prints the error in a reply and returns the exit code for its status. */
cli_exit_t cli_reply_fail(const cli_t *cli, const cli_reply_t *reply);

/*
 * Returns whether text can be part of a path without encoding: it is not too
 * long and consists of characters of [A-Za-z0-9.-].
 */
bool cli_path_segment_valid(const char *text);

#endif
