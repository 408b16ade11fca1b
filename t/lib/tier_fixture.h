/*
 * A daemon on loopback sockets, with stand-ins for the store and for one
 * upstream of each of the services s0, s1 and s2.
 *
 *     fixture_t f;
 *     fixture_init(&f);
 *     caller_exchange(&f, &caller, &f.boot.callers_address,
 *                     REQUEST("/one/", "r-1"), 500);
 *     fixture_release(&f);
 */
#ifndef T_LIB_TIER_FIXTURE_H
#define T_LIB_TIER_FIXTURE_H

#include "http/conn.h"
#include "t/lib/tier_store.h"
#include "t/lib/tier_upstream.h"
#include "tier/node.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum { UPSTREAMS = 3, REPLY_SIZE = 16384, CALLER_DEADLINE_MS = 600 };

#define SIGNED_HEADERS                                                        \
    "X-Yuccarun-Answer-Stamp: sig\r\nX-Yuccarun-Request-Id: %I\r\n"
#define GOOD_RESPONSE                                                         \
    "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS                                      \
    "X-Kept: yes\r\nContent-Length: 16\r\n\r\n"                               \
    "0123456789abcdef"

typedef struct {
    struct ev_loop *loop;
    tier_store_t *store;
    tier_upstream_server_t *upstreams[UPSTREAMS];
    node_t *node;
    boot_t boot;
} fixture_t;

/* One connection of a caller and what it received. */
typedef struct {
    conn_t conn;
    char text[REPLY_SIZE];
    size_t size;
    bool ended;
} caller_t;

#define REQUEST(path, id)                                                     \
    "GET " path " HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: " id          \
    "\r\nX-Yuccarun-Deadline-Ms: 600\r\nX-More: kept\r\n\r\n"

/* Start the daemon; first_start: it is the fleet's first start. */
void fixture_start(fixture_t *f, bool first_start);
void fixture_init(fixture_t *f);
void fixture_release(fixture_t *f);

/* Run the event loop for ms milliseconds. */
void run_ms(fixture_t *f, int64_t ms);

/* Write the entry of upstream i-NUMBER, or the configuration, to the store. */
void put_upstream(fixture_t *f, int number, const struct sockaddr_in *address,
                  const char *service, const char *state);
void put_config(fixture_t *f, int version);

/* Write the record of a member with that control address ("": none). */
void list_member(fixture_t *f, const char *name, const char *control,
                 uint32_t weight);

/* Add so many weak members that the fleet counts as large, and a daemon that
   is no stronger than they are becomes a standby. */
void list_other_members(fixture_t *f);

void caller_open(fixture_t *f, caller_t *caller,
                 const struct sockaddr_in *address);
void caller_send(caller_t *caller, const char *text);

/* Send text and wait for an answer's head or the connection's end, at most ms
   milliseconds. */
void caller_exchange(fixture_t *f, caller_t *caller,
                     const struct sockaddr_in *address, const char *text,
                     int64_t ms);

/* The status of the first answer; 0: there is none. */
uint32_t status_of(const caller_t *caller);

#endif
