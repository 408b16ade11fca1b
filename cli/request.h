/*
 * Requests of the command-line tool to the daemons.
 *
 *     cli_request_t request = {.verb = "GET", .path = "/v1/status"};
 *     cli_reply_t reply;
 *     cli_exit_t code = cli_send(cli, &request, &reply);
 *     if (code == CLI_OK) { use reply.status and reply.body }
 *     cli_reply_release(&reply);
 *
 * What may be repeated is sent to one daemon after the other until one
 * answers. What may not is sent once, to the first daemon that says it takes
 * requests; without an answer the exit code is CLI_UNKNOWN.
 */
#ifndef CLI_REQUEST_H
#define CLI_REQUEST_H

#include "cli/cli.h"

typedef struct {
    const char *verb;
    const char *path;
    json_t *body;       /* borrowed; NULL: none */
    bool once;          /* must not be sent twice */
    const char *daemon; /* URL to use; NULL: chosen as above */
} cli_request_t;

typedef struct {
    long status;        /* HTTP */
    json_t *body;       /* an object; NULL: none, with a 4xx status only */
    const char *daemon; /* URL that answered */
} cli_reply_t;

/* CLI_OK: some daemon answered, with whatever status. Else it is printed. */
cli_exit_t cli_send(const cli_t *cli, const cli_request_t *request,
                    cli_reply_t *reply);

void cli_reply_release(cli_reply_t *reply);

/* Print the error that an answer tells and return the exit code of it. */
cli_exit_t cli_reply_fail(const cli_t *cli, const cli_reply_t *reply);

/* Whether text may stand in a path as it is: [A-Za-z0-9.-]. */
bool cli_path_segment_valid(const char *text);

#endif
