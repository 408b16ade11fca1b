/*
 * A small deployment on loopback for the review's scripts: the store's
 * stand-in of the project's tests, daemons as processes, upstreams and callers
 * on one event loop and the real clock.
 *
 *     world_t *world = world_new(argv, &settings);
 *     world_add_upstream(world, "i-1", "shelf", &ops, owner);
 *     world_configure(world, text);
 *     world_start_daemon(world, 0);
 *     world_run(world, step, owner);   // until world_stop
 *     return world_end(world, broken, "...");
 */
#ifndef REVIEW_STAND_INS_3_WORLD_H
#define REVIEW_STAND_INS_3_WORLD_H

#include "http/conn.h"
#include "http/message.h"
#include "http/server.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum { WORLD_DAEMONS_MAX = 4, WORLD_UPSTREAMS_MAX = 8 };

/* Exit codes of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

typedef struct world world_t;
typedef struct upstream upstream_t;
typedef struct caller caller_t;

/*
 * Create the world from the arguments of a case's program: the folder for
 * settings and logs, the file for the record. Exits with CASE_NOT_RUN if that
 * fails.
 */
world_t *world_new(int argc, char **argv, uint32_t daemons);

/* Whether the disruption takes place: TROUBLE is not 0. */
bool world_has_trouble(const world_t *world);

/* Seconds since the start. */
double world_now_s(const world_t *world);

/* Write a line to the record, with the time before it. */
void world_record(world_t *world, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Call `step` every 10 ms until it returns false. */
typedef bool (*world_step_fn_t)(void *owner, double now_s);
void world_run(world_t *world, world_step_fn_t step, void *owner);

/* End all processes and free the world; returns the exit code of the case,
   CASE_NOT_RUN if a daemon has ended by itself. */
int world_end(world_t *world, int verdict);

/* --- the platform -------------------------------------------------------- */

/* The operator writes op/config. */
void world_configure(world_t *world, const char *text);

/*
 * The store refuses all calls with 503 from now on, or serves them again.
 * Upstreams write their entries again return_s after its return.
 */
void world_set_store_down(world_t *world, bool down, double return_s);

/* The store removes the entries of upstreams that could not renew them. */
void world_expire_entries(world_t *world);

/* --- daemons ------------------------------------------------------------- */

void world_start_daemon(world_t *world, uint32_t index);

/* Send SIGTERM; it is started again when it has ended. */
void world_restart_daemon(world_t *world, uint32_t index);

/* When the process was started last, in seconds; negative: it is not running,
   or has got SIGTERM. */
double world_daemon_since_s(const world_t *world, uint32_t index);

/* The daemon's address for callers. */
const struct sockaddr_in *world_daemon_address(const world_t *world,
                                               uint32_t index);

/* --- upstreams ----------------------------------------------------------- */

/* What an upstream does with a request that names it: the function calls
   upstream_respond or upstream_crash. */
typedef void (*upstream_request_fn_t)(void *owner, upstream_t *upstream,
                                      exchange_t *exchange);

upstream_t *world_add_upstream(world_t *world, const char *id,
                               const char *service,
                               upstream_request_fn_t request, void *owner);

const char *upstream_id(const upstream_t *upstream);

/* Its entry says from now on that it is cold for so long after each start. */
void upstream_set_warmup(upstream_t *upstream, double warmup_s);

/* How long it is cold yet. */
double upstream_cold_s(const upstream_t *upstream);

/* Respond after delay_s; headers may be "". A 200 is signed. */
void upstream_respond(upstream_t *upstream, exchange_t *exchange,
                      uint32_t status, const char *headers, double delay_s);

/* End without a response and start again after down_s, as a new process under
   the same id and address. */
void upstream_crash(upstream_t *upstream, double down_s);

/* --- callers ------------------------------------------------------------- */

/* The request has ended; status 0: without a response. */
typedef void (*caller_done_fn_t)(void *owner, caller_t *caller,
                                 uint32_t status);

caller_t *world_add_caller(world_t *world, uint32_t daemon,
                           caller_done_fn_t done, void *owner);

/* When a request was sent, by its id; negative: it is not the last one of its
   caller. */
double world_sent_s(const world_t *world, const char *id);

/* The id of its last request. */
const char *caller_request_id(const caller_t *caller);

/* Close its connection, so that the next request opens a new one. */
void caller_hang_up(caller_t *caller);

/* Send a request on the caller's connection, which is kept; false: the last
   one has not ended. */
bool caller_send(caller_t *caller, const char *method, const char *path,
                 uint32_t deadline_ms, size_t body_size);

#endif
