/*
 * What the stand-in programs share: an ulfius instance on loopback, JSON
 * bodies and the wait for the signal to stop.
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

/* Block the signals that service_run waits for; before any thread starts. */
void service_block_signals(void);

/* Wait for SIGTERM or SIGINT. */
void service_wait_signal(void);

/*
 * Prepare an instance that listens on 127.0.0.1; address is filled and must
 * live as long as the instance.
 */
bool service_init(struct _u_instance *http, struct sockaddr_in *address,
                  uint16_t port);

/* Start to serve; false when the port cannot be listened on. */
bool service_start(struct _u_instance *http);

/* Serve until told to stop, then release the instance; exit status. */
int service_run(struct _u_instance *http);

/* Answer with a JSON value and give up the reference to it. */
void service_reply(struct _u_response *response, unsigned status,
                   json_t *body);

/* The request's JSON object, to be released; NULL when it is none. */
json_t *service_request_json(const struct _u_request *request);

#endif
