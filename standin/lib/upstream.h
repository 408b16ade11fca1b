/*
 * One hosted upstream and its requests in progress. All functions must be
 * called with the lock of the upstream's worker held.
 *
 * A request is read, waits for the simulated connection setup, runs, and ends
 * with a reply or a closed connection. While a request waits or runs it is in
 * its worker's waiting list and its HTTP connection is suspended.
 */
#ifndef STANDIN_LIB_UPSTREAM_H
#define STANDIN_LIB_UPSTREAM_H

#include "standin/lib/ledger.h"
#include "standin/lib/replica.h"

#include <microhttpd.h>
#include <pthread.h>

typedef enum {
    STEP_READING,
    STEP_CONNECTING, /* waits for the simulated connection setup */
    STEP_RUNNING,
    STEP_DONE, /* the reply is ready to be sent */
    STEP_CLOSE /* the connection is to be closed without a reply */
} step_t;

typedef struct connection {
    struct connection *next;
    struct connection *prev;
    int fd;
    int64_t ready_us; /* end of the simulated connection setup */
} connection_t;

typedef struct upstream upstream_t;
typedef struct request request_t;

struct request {
    struct request *next; /* in the worker's waiting list */
    upstream_t *upstream;
    struct MHD_Connection *mhd;
    step_t step;
    int64_t due_us; /* end of the current step */
    char *text;     /* received body, size bytes */
    size_t size;
    json_t *body;      /* parsed text; the parts' bodies point into it */
    run_part_t *parts; /* room for REPLICA_PARTS_MAX */
    size_t part_count;
    size_t slots;    /* parts that run */
    unsigned status; /* HTTP status of the reply */
    json_t *reply;
};

typedef struct {
    pthread_t thread;
    bool started;
    pthread_mutex_t lock;
    int epoll_fd;
    int wake_fd;
    bool stopping;
    request_t *waiting;  /* requests that wait or run */
    upstream_t *pending; /* upstreams to run before the next wait */
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
    json_t *health; /* snapshot for GET /v1/health */
    int64_t health_us;
};

/* Makes the worker run the upstream's HTTP server before its next wait. */
void upstream_schedule(upstream_t *upstream);

/* Adds count to the upstream's counter of an event. */
void upstream_count(const upstream_t *upstream, event_t event, uint64_t count);

/* Drops every request and connection, as the death of a process would. */
void upstream_drop(upstream_t *upstream);

/* Drops all requests and connections and restarts the replica, cold. */
void upstream_crash(upstream_t *upstream, int64_t now_us);

/* Starts the upstream's HTTP server; false: its port can't be bound. */
bool upstream_listen(upstream_t *upstream);

/* Sets the request's reply and takes over the reference to it. */
void request_reply(request_t *request, unsigned status, json_t *reply);

/* Serves POST /v1/parts, after its body has been read. */
void request_serve_parts(request_t *request, const char *id);

/* Serves DELETE /v1/parts/ID. */
void request_serve_cancel(request_t *request, const char *id);

/* Serves GET /v1/health from the snapshot of an earlier request. */
void request_serve_health(request_t *request, const char *id);

/* Takes a request in the waiting list to its next step, if it is due. */
void request_advance(request_t *request, int64_t now_us);

#endif
