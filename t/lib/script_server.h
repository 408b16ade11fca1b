/*
 * A server on loopback that reads complete HTTP requests and handles each as
 * the next step of a script says. It counts the requests and connections.
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

/* How to handle the next request, whichever connection it arrives on. */
typedef struct {
    const char *answer; /* sent unchanged; NULL: no reply */
    bool echo_id;       /* answer is JSON with %s for the part's id */
    bool close;         /* close the connection afterwards */
} script_step_t;

typedef struct script_server script_server_t;

/* The script must outlive the server; its last step repeats. */
script_server_t *script_server_new(const script_step_t *script, size_t count);
void script_server_free(script_server_t *server);

uint16_t script_server_port(const script_server_t *server);

/* Return the number of complete requests and of connections so far. */
unsigned script_server_requests(script_server_t *server);
unsigned script_server_connections(script_server_t *server);

/* Returns whether any request so far contains text. */
bool script_server_received(script_server_t *server, const char *text);

#endif
