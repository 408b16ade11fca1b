/*
 * Sending a change of the configuration and telling how it ended.
 */
#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli/request.h"

/* The arguments that every change has. */
typedef struct {
    struct arg_str *by;
    struct arg_str *id;
} change_args_t;

void change_args_add(cli_args_t *args, change_args_t *change);

/*
 * Send a change once and print who has confirmed it and who has not; who
 * makes it and its id are added to body. A change that got no certain answer
 * is looked for by its id in the configuration that daemons have; it is never
 * sent again. *reply is the answer, for what the caller prints besides;
 * release it.
 */
cli_exit_t change_send(const cli_t *cli, const char *verb, const char *path,
                       json_t *body, const change_args_t *change,
                       cli_reply_t *reply);

#endif
