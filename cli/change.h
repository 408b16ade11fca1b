/*
 * Sending a change of the configuration and telling how it ended.
 */
#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli/request.h"

/*
 * Send a change once and print who has confirmed it and who has not. *reply
 * is the answer, for what the caller prints besides; release it.
 */
cli_exit_t change_send(const cli_t *cli, const char *verb, const char *path,
                       json_t *body, cli_reply_t *reply);

/* The argument --by. */
struct arg_str *change_by_arg(cli_args_t *args);

/* Who makes the change: --by, else $USER when that is a name. */
const char *change_by(const struct arg_str *by);

#endif
