/*
 * Functions that the stand-in programs share: an ulfius HTTP server on
 * loopback, JSON bodies, and waiting for a signal to stop.
 *
 *     struct _u_instance http;
 *     struct sockaddr_in address;
 *     if (!service_init(&http, &address, 8500)) ...
 *     ulfius_add_endpoint_by_val(&http, ...);
 *     service_run(&http);
 */
#ifndef STANDIN_LIB_SERVICE_H
#define STANDIN_LIB_SERVICE_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

/* Monotonic time in microseconds. */
int64_t service_now_us(void);

/*
 * Blocks the signals that service_run waits for, and ignores SIGPIPE. Call it
 * before any thread starts, since threads inherit the signal mask.
 */
void service_block_signals(void);

/* Waits for SIGTERM or SIGINT, which must be blocked. */
void service_wait_signal(void);

/*
 * Initializes an instance that will listen on a port of 127.0.0.1. Sets
 * address, which must outlive the instance. Returns false on failure.
 */
bool service_init(struct _u_instance *http, struct sockaddr_in *address,
                  uint16_t port);

/* Starts to serve in other threads; false: the port can't be bound. */
bool service_start(struct _u_instance *http);

/*
 * Serves until a signal to stop arrives, then releases the instance. Returns
 * the exit status of the program.
 */
int service_run(struct _u_instance *http);

/* Sets status and JSON body of a response; takes over the reference. */
void service_reply(struct _u_response *response, unsigned status,
                   json_t *body);

/*
 * Parses the request's body, which the caller releases; NULL: it is not a JSON
 * object.
 */
json_t *service_request_json(const struct _u_request *request);

#endif
