/*
 * One hosted upstream and the requests in progress at it. Everything here
 * runs under the lock of the upstream's worker.
 *
 * A request is read, waits until its connection is set up, runs, and ends
 * with a reply or with a closed connection. While it waits it is in its
 * worker's list and its HTTP connection is suspended.
 */
#ifndef STANDIN_LIB_UPSTREAM_H
#define STANDIN_LIB_UPSTREAM_H

#include "standin/lib/ledger.h"
#include "standin/lib/replica.h"

#include <microhttpd.h>
#include <pthread.h>

typedef enum {
    STEP_READING,
    STEP_CONNECTING, /* the connection is still being set up */
    STEP_RUNNING,
    STEP_DONE, /* the reply is there */
    STEP_CLOSE /* the connection is closed without a reply */
} step_t;

typedef struct connection {
    struct connection *next;
    struct connection *prev;
    int fd;
    int64_t ready_us;
} connection_t;

typedef struct upstream upstream_t;
typedef struct request request_t;

struct request {
    struct request *next; /* of the worker's waiting requests */
    upstream_t *upstream;
    struct MHD_Connection *mhd;
    step_t step;
    int64_t due_us;
    char *text;
    size_t size;
    json_t *body;
    run_part_t *parts;
    size_t part_count;
    size_t slots;
    unsigned status;
    json_t *reply;
};

typedef struct {
    pthread_t thread;
    bool started;
    pthread_mutex_t lock;
    int epoll_fd;
    int wake_fd;
    bool stopping;
    request_t *waiting;
    upstream_t *pending; /* to be run before the next wait */
} worker_t;

struct upstream {
    replica_t replica;
    ledger_t *ledger;
    ledger_counters_t *counters;
    worker_t *worker;
    struct MHD_Daemon *mhd;
    upstream_t *next_pending;
    bool is_pending;
    connection_t *connections;
    uint32_t connection_count;
    json_t *health; /* as it was a while ago */
    int64_t health_us;
};

/* Have the worker run the upstream's HTTP server before it waits. */
void upstream_schedule(upstream_t *upstream);

/* Count an event of the upstream. */
void upstream_count(const upstream_t *upstream, event_t event, uint64_t count);

/* Drop every request and connection, as a process that dies does. */
void upstream_drop(upstream_t *upstream);

/* Drop everything and start again, cold. */
void upstream_crash(upstream_t *upstream, int64_t now_us);

/* Start the HTTP server of the upstream; false when it cannot listen. */
bool upstream_listen(upstream_t *upstream);

/* Give the request its reply, whose reference is taken over. */
void request_reply(request_t *request, unsigned status, json_t *reply);

/* Serve POST /v1/parts, once its text is read. */
void request_serve_parts(request_t *request, const char *id);

/* Serve DELETE /v1/parts/ID. */
void request_serve_cancel(request_t *request, const char *id);

/* Serve GET /v1/health, as it was a while ago. */
void request_serve_health(request_t *request, const char *id);

/* Carry on with a waiting request if it is due. */
void request_advance(request_t *request, int64_t now_us);

#endif
