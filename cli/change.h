/*
 * Sends a change of the configuration and reports its outcome.
 */
#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli/request.h"

/* The options of every subcommand that changes the configuration. */
typedef struct {
    struct arg_str *by; /* author */
    struct arg_str *id; /* id of the change */
} change_args_t;

/* Adds the options to args, which owns them. */
void change_args_add(cli_args_t *args, change_args_t *change);

/*
 * Adds the author and the id to body, sends the change once and prints which
 * daemons have confirmed it and which have not yet. If no reply states the
 * outcome, looks up the id in the configuration in force; never sends the
 * change again. Returns CLI_OK if all daemons have confirmed the change,
 * CLI_PARTIAL if it is in force but not confirmed by all, or the code of the
 * error it printed. *reply is the reply to the change; the caller
 * releases it.
 */
cli_exit_t change_send(const cli_t *cli, const char *verb, const char *path,
                       json_t *body, const change_args_t *change,
                       cli_reply_t *reply);

#endif
