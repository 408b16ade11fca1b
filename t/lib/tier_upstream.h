/*
 * A scripted upstream server on the caller's event loop.
 *
 * It reads whole requests and responds with the script's bytes, in which %I
 * stands for the request's id and %P for the id of the previous request on the
 * same connection.
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
    SCRIPT_KEEP,  /* keep the connection open */
    SCRIPT_CLOSE, /* close the connection after the bytes */
    SCRIPT_RESET  /* reset the connection after the bytes */
} script_end_t;

typedef struct {
    const char *bytes; /* NULL: send nothing; with SCRIPT_KEEP, hang */
    size_t filler;     /* as many bytes "x" follow them */
    script_end_t end;
    int64_t delay_us; /* before the bytes */
    /* Sent at once, before the delay, on a connection that has served another
       request before: a late copy of that response. NULL: nothing. */
    const char *early;
    const char *later; /* sent 20 ms after the bytes; NULL: nothing */
    /* Sent again and again after the bytes, as fast as the daemon reads, until
       it closes the connection; NULL: nothing. */
    const char *endless;
} tier_script_t;

typedef struct tier_upstream_server tier_upstream_server_t;

tier_upstream_server_t *tier_upstream_new(struct ev_loop *loop,
                                          const struct sockaddr_in *address,
                                          const tier_script_t *script);
void tier_upstream_free(tier_upstream_server_t *server);

/* The address that the server listens on. */
const struct sockaddr_in *
tier_upstream_address(const tier_upstream_server_t *server);

/* Replace the script, from the next request on. */
void tier_upstream_set(tier_upstream_server_t *server,
                       const tier_script_t *script);

/* Number of requests received. */
uint32_t tier_upstream_requests(const tier_upstream_server_t *server);

/* Number of connections that daemons closed before the response was sent. */
uint32_t tier_upstream_disconnects(const tier_upstream_server_t *server);

/* Number of open connections with an endless response. */
uint32_t tier_upstream_endless(const tier_upstream_server_t *server);

/* Bytes that the daemons have taken of endless responses. */
uint64_t tier_upstream_endless_bytes(const tier_upstream_server_t *server);

/* The last request as received, header and body. */
const char *tier_upstream_last(const tier_upstream_server_t *server);

#endif
