/*
 * A server on loopback that reads complete HTTP requests and sends the same
 * bytes, which need not be HTTP, in reply to the first request of each
 * connection.
 *
 *     raw_server_t *server = raw_server_new("HTTP/1.1 200 OK\r\n...", true);
 *     ... raw_server_url(server) ...
 *     raw_server_free(server);
 */
#ifndef T_LIB_RAW_SERVER_H
#define T_LIB_RAW_SERVER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct raw_server raw_server_t;

/*
 * reply: must outlive the server; NULL: close the connection without a reply.
 * keep_alive: after the reply, read a second request on the connection and
 * close it without a reply; otherwise close it after the first.
 */
raw_server_t *raw_server_new(const char *reply, bool keep_alive);
void raw_server_free(raw_server_t *server);

/* "http://127.0.0.1:PORT" */
const char *raw_server_url(const raw_server_t *server);

/* Returns the number of complete requests read so far. */
unsigned int raw_server_requests(raw_server_t *server);

/* Returns whether the last request contains text; ignores case. */
bool raw_server_last_contains(raw_server_t *server, const char *text);

/* Returns a port of loopback that no socket listens on. */
uint16_t raw_server_free_port(void);

#endif
