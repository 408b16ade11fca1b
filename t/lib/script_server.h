/*
 * A server that reads whole HTTP requests from raw sockets and answers, or
 * not, as a script says; counts how many requests it has read.
 *
 *     script_server_t *server = script_server_new(script, count);
 *     ... requests to script_server_port(server) ...
 *     script_server_free(server);
 */
#ifndef T_LIB_SCRIPT_SERVER_H
#define T_LIB_SCRIPT_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What is done with the next request, on whatever connection it comes. */
typedef struct {
    const char *answer; /* sent as it is; NULL: nothing */
    bool echo_id;       /* answer is JSON with %s for the part's id */
    bool close;         /* then close the connection */
} script_step_t;

typedef struct script_server script_server_t;

/* The last step repeats. */
script_server_t *script_server_new(const script_step_t *script, size_t count);
void script_server_free(script_server_t *server);

uint16_t script_server_port(const script_server_t *server);

/* Requests read whole, and connections accepted, so far. */
unsigned script_server_requests(script_server_t *server);
unsigned script_server_connections(script_server_t *server);

/* Whether any request so far had the text in it. */
bool script_server_received(script_server_t *server, const char *text);

#endif
