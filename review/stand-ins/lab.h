/*
 * Runs one daemon of the query tier on loopback beside stand-ins of the
 * platform's store, servers and clients, and records what they see.
 *
 *     lab_open("review/1");
 *     lab_server_start(&server);
 *     lab_store_put("op/config", text);
 *     lab_daemon_start();
 *     ... send requests with client_* ...
 *     return lab_close(broken ? LAB_BROKEN : LAB_HELD);
 *
 * The store and each connection of a server have a thread of their own. All
 * functions that cannot do their work end the program with LAB_NOT_RUN.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Exit codes. */
enum { LAB_HELD = 0, LAB_BROKEN = 1, LAB_NOT_RUN = 2 };

enum {
    LAB_ID_SIZE = 80,
    LAB_HEAD_SIZE = 20000,
    LAB_BODY_SIZE = 300000,
    LAB_STABLE_MS = 4000 /* stable_ms of the site sbpo-yucca */
};

/* Create the temporary folder and the record in folder; the program ends with
   LAB_NOT_RUN if lab_close is not called within 110 s. */
void lab_open(const char *folder);

/* End the daemon, remove the temporary folder and return the exit code. */
int lab_close(int code);

/* Whether the disruption is to be applied: TROUBLE is not 0. */
bool lab_has_trouble(void);

/* Append a line to the record, with the milliseconds since lab_open. */
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Milliseconds since lab_open. */
int64_t lab_now_ms(void);
void lab_sleep_ms(int64_t ms);

/* A port on 127.0.0.1 that is free now. */
uint16_t lab_free_port(void);

/* A request that a server has read. */
typedef struct {
    char method[16];
    char target[256];
    char id[LAB_ID_SIZE];
    char expected[64]; /* value of X-Yuccarun-Expect-Instance */
    char *body;
    size_t body_size;
} lab_request_t;

typedef struct lab_server lab_server_t;

/* One connection to a server. */
typedef struct {
    lab_server_t *server;
    int fd;
    uint32_t number;   /* of the connection, from 1 */
    uint32_t requests; /* read on it so far, this one included */
    void *data;        /* for the handler's use; freed at the end */
} lab_connection_t;

struct lab_server {
    const char *id; /* of the incarnation */
    const char *service;
    uint32_t slots;
    /* Handle a request and write the response; false: close the connection. */
    bool (*handle)(lab_connection_t *connection, const lab_request_t *request);
    uint16_t port; /* set by lab_server_start */
    int fd;
    uint32_t connections;
};

/* Listen, and write the server's entry to the store. */
void lab_server_start(lab_server_t *server);

/* Listen only. */
void lab_server_listen(lab_server_t *server);

/* Write the server's entry to the store, with that address. */
void lab_entry_put(const lab_server_t *server, const char *address);

/* Write all bytes; false: the connection is broken. */
bool lab_write(int fd, const char *bytes, size_t size);
bool lab_print(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Write a key to the store. */
void lab_store_put(const char *key, const char *value);

/* Start the store and the daemon, and wait until it is ready. */
void lab_daemon_start(void);

/* Ask the daemon whether it is ready, as the platform does; false: no 200
   within a second. */
bool lab_daemon_is_ready(void);

/* Wait until the daemon has run for longer than stable_ms. */
void lab_daemon_settle(void);

pid_t lab_daemon_pid(void);

/* Whether the daemon has ended by itself, and with which wait status. */
bool lab_daemon_has_ended(int *status);

typedef struct {
    int status; /* 0: the connection ended before a whole response */
    char head[LAB_HEAD_SIZE];
    char *body;
    size_t body_size;
} client_response_t;

/* Connect to the daemon's address for clients; -1: it refuses. */
int client_open(void);

/* Read one response; false: none within timeout_ms, or not a whole one. */
bool client_read(int fd, client_response_t *response, int64_t timeout_ms);

/* Copy a header's value to out; false: there is none. */
bool head_value(const char *head, const char *name, char *out, size_t size);

#endif
