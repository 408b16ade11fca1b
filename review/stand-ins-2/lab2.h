/*
 * Stand-ins for the cases 6 to 10: the platform's store, servers, clients, and
 * the daemons as processes, all on 127.0.0.1.
 *
 *     lab_start("review/6");
 *     lab_servers_start(&servers);      before any thread: it forks
 *     lab_store_start();
 *     lab_put("op/config", text);
 *     lab_daemon_start(&daemons[0], 1, "");
 *     ...
 *     return lab_end(broken);
 */
#ifndef REVIEW_LAB2_H
#define REVIEW_LAB2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
    LAB_SERVERS_MAX = 40,
    LAB_HEAD_SIZE = 16384,
    LAB_BODY_SIZE = 300000,
    LAB_HEARTBEAT_MS = 1200
};

/* A message as read: its head, ended by a NUL, and its body. */
typedef struct {
    char head[LAB_HEAD_SIZE];
    char body[LAB_BODY_SIZE];
    size_t body_size;
    int status; /* of a response; else 0 */
} lab_message_t;

/* A connection with what has been received on it and not read yet. */
typedef struct {
    int fd;
    char bytes[LAB_HEAD_SIZE + LAB_BODY_SIZE];
    size_t size;
} lab_conn_t;

/* Servers of one service in one process. */
typedef struct {
    const char *service;
    int count;
    int slots;
    int first; /* number of the first of them, part of its id */
    uint16_t ports[LAB_SERVERS_MAX];
    int incarnation;    /* part of the ids; rises with each start */
    const char *poison; /* a request with this prefix crashes the process */
    int slow_index;     /* of the server that is slow, if slow_factor is set */
    int slow_factor;    /* its work takes so many times as long; 0: none */
    bool is_steady;     /* lab_servers_slow does not apply to them */
    pid_t pid;          /* 0: not running */
} lab_servers_t;

typedef struct {
    pid_t pid;
    char name[16];
    uint16_t front, ready, control, directory;
    const char *settings; /* lines that replace the usual ones; or NULL */
} lab_daemon_t;

/* Open the record and the temporary folder; false: the case cannot run. */
bool lab_start(const char *folder);

/* End all processes, and return the exit code of the case: 1 if the rule was
   broken, else 0. */
int lab_end(bool broken);

/* The case cannot run: end all processes and exit with 2. */
_Noreturn void lab_abort(const char *why);

/* Whether the disruption is to take place (TROUBLE is not 0). */
bool lab_has_trouble(void);

int64_t lab_now_ms(void); /* since lab_start */
void lab_sleep_ms(int64_t ms);

/* Append a line, with the time before it, to the record. */
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

uint16_t lab_free_port(void);

/* The store. */
void lab_store_start(void);
void lab_put(const char *key, const char *value);
void lab_remove(const char *key);

/*
 * Start a process with the servers. Each request takes the time that its query
 * states (?ms=N, default 10). The answer has the id and, as stamp and body,
 * the id and the server's; "run" and "end" are recorded.
 */
void lab_servers_start(lab_servers_t *servers);

/* From now on the work of all servers but the steady ones takes so many times
   as long. */
void lab_servers_slow(int factor);

/* Write or renew the entries of the servers. */
void lab_servers_beat(const lab_servers_t *servers);

/* Kill the process; the entries stay. */
void lab_servers_kill(lab_servers_t *servers);
void lab_servers_remove(const lab_servers_t *servers);

/* Whether the process has ended by itself; it is then collected. */
bool lab_servers_ended(lab_servers_t *servers);

/* Start, or start again, a daemon with the command of the deploy file. */
void lab_daemon_start(lab_daemon_t *daemon, int number);
void lab_daemon_signal(const lab_daemon_t *daemon, int number);

/* Whether the daemon has ended; it is then collected. */
bool lab_daemon_ended(lab_daemon_t *daemon);

/* Wait until the daemon is ready; false: it is not after 20 s. */
bool lab_daemon_wait_ready(const lab_daemon_t *daemon);

/* Connect to a port on loopback; false: no connection. */
bool lab_connect(lab_conn_t *conn, uint16_t port);
void lab_close(lab_conn_t *conn);
bool lab_send(const lab_conn_t *conn, const char *bytes, size_t size);

/* Read one message until then; false: none was read whole. */
bool lab_read(lab_conn_t *conn, lab_message_t *message, int64_t until_ms);

/* Copy the value of a header to out; "" if there is none. */
void lab_header(const lab_message_t *message, const char *name, char *out,
                size_t size);

#endif
