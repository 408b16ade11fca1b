/*
 * An upstream on the caller's event loop that answers as a script says.
 *
 * It reads whole requests and answers with the script's bytes, in which %I
 * stands for the request's id and %P for that of the request before.
 *
 *     tier_script_t script = {.bytes = "HTTP/1.1 200 OK\r\n..."};
 *     tier_upstream_server_t *up = tier_upstream_new(loop, &address, &script);
 *     tier_upstream_free(up);
 */
#ifndef T_LIB_TIER_UPSTREAM_H
#define T_LIB_TIER_UPSTREAM_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
    SCRIPT_KEEP,  /* the connection */
    SCRIPT_CLOSE, /* after the bytes */
    SCRIPT_RESET  /* after the bytes */
} script_end_t;

typedef struct {
    const char *bytes; /* NULL: says nothing */
    script_end_t end;
    int64_t delay_us;
    const char *later; /* sent 20 ms after the bytes; NULL: nothing */
} tier_script_t;

typedef struct tier_upstream_server tier_upstream_server_t;

tier_upstream_server_t *tier_upstream_new(struct ev_loop *loop,
                                          const struct sockaddr_in *address,
                                          const tier_script_t *script);
void tier_upstream_free(tier_upstream_server_t *server);

void tier_upstream_set(tier_upstream_server_t *server,
                       const tier_script_t *script);

uint32_t tier_upstream_requests(const tier_upstream_server_t *server);

/* Connections that ended before their answer was due. */
uint32_t tier_upstream_disconnects(const tier_upstream_server_t *server);

/* The head and the body of the last request, as they came. */
const char *tier_upstream_last(const tier_upstream_server_t *server);

#endif
