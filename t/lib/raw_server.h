/*
 * A server on loopback that reads whole HTTP requests and answers each with
 * the same bytes, whatever they are, then closes the connection or keeps it.
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
 * reply NULL: close without an answer. keep: further requests of the same
 * connection are read, and those from the second on get no answer.
 */
raw_server_t *raw_server_new(const char *reply, bool keep_alive);
void raw_server_free(raw_server_t *server);

/* "http://127.0.0.1:PORT" */
const char *raw_server_url(const raw_server_t *server);

/* Whole requests read so far. */
unsigned int raw_server_requests(raw_server_t *server);

/* Whether the last request read has this text in it, in any case. */
bool raw_server_received(raw_server_t *server, const char *text);

/* A port of loopback that nobody listens on. */
uint16_t raw_server_free_port(void);

#endif
