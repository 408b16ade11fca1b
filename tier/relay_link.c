#include "tier/relay_link.h"

#include "edge/event.h"
#include "http/conn.h"
#include "http/loop_clock.h"
#include "platform/names.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Peers are milliseconds away. */
    CONNECT_TIMEOUT_US = 200000,
    IDLE_TIMEOUT_US = 5000000,
    /* A request that is not idempotent reuses a connection only if it was used
       within this time: the peer may be closing it, and the request could not
       be sent again. */
    FRESH_MAX_US = 1000000,
    /* The peer is to answer this long before the request's deadline. */
    HOP_MARGIN_US = 5000,
    BODY_MAX = 16 << 20,
    HEADER_MAX = 64 << 10,
    /* Bytes of unfinished answers on all connections together; beyond it the
       longest one is dropped. */
    BUFFERED_MAX = 32 << 20
};

/* A connection to a peer, and the call that it serves. */
struct relay_call {
    conn_t conn;
    http_reader_t reader;
    relay_links_t *links;
    struct sockaddr_in address;
    relay_done_fn_t done; /* NULL: idle */
    void *owner;
    bool delivering; /* `done` is being called */
    int64_t opened_us;
    int64_t deadline_us;
    int64_t idle_since_us;
    size_t buffered; /* bytes of the unfinished answer */
    relay_call_t *next;
    relay_call_t *prev;
};

struct relay_links {
    struct ev_loop *loop;
    relay_call_t *all;
    size_t buffered;          /* sum over all calls */
    relay_call_t *sweep_next; /* of a running sweep; call_free skips it */
};

relay_links_t *
relay_links_new(struct ev_loop *loop)
{
    relay_links_t *links = calloc(1, sizeof(*links));
    if (links != NULL) {
        links->loop = loop;
    }
    return links;
}

static void
call_set_buffered(relay_call_t *call, size_t buffered)
{
    call->links->buffered += buffered - call->buffered;
    call->buffered = buffered;
}

static void
call_free(relay_call_t *call)
{
    relay_links_t *links = call->links;
    call_set_buffered(call, 0);
    if (links->sweep_next == call) {
        links->sweep_next = call->next;
    }
    if (call->prev != NULL) {
        call->prev->next = call->next;
    }
    else {
        links->all = call->next;
    }
    if (call->next != NULL) {
        call->next->prev = call->prev;
    }
    conn_close(&call->conn);
    http_reader_release(&call->reader);
    free(call);
}

/* Close the connection and report the end of the call. */
static void
call_fail(relay_call_t *call, relay_result_t result, int64_t now_us)
{
    relay_done_fn_t done = call->done;
    void *owner = call->owner;
    call_free(call);
    if (done != NULL) {
        done(owner, result, NULL, now_us);
    }
}

static void
call_deliver(relay_call_t *call, bool surplus, int64_t now_us)
{
    const http_message_t *message = &call->reader.message;
    relay_done_fn_t done = call->done;
    bool keep = message->keep_alive && !message->close_delimited && !surplus &&
                conn_is_flushed(&call->conn);
    call->done = NULL;
    call_set_buffered(call, 0);
    call->idle_since_us = now_us;
    /* `done` may send another request, but not on this connection while its
       reader holds the message. */
    call->delivering = true;
    done(call->owner, RELAY_ANSWERED, message, now_us);
    call->delivering = false;
    if (!keep) {
        call_free(call);
        return;
    }
    http_reader_next(&call->reader);
}

/* Account for the answer that is being read. If all of them take too much
   memory, drop the longest one, which may be this call's. */
static void
call_note_buffered(relay_call_t *call)
{
    relay_links_t *links = call->links;
    call_set_buffered(call, http_message_size(&call->reader.message));
    if (links->buffered <= BUFFERED_MAX) {
        return;
    }
    relay_call_t *longest = call;
    for (relay_call_t *other = links->all; other != NULL;
         other = other->next) {
        if (other->buffered > longest->buffered) {
            longest = other;
        }
    }
    event_log(EVENT_INPUT_REFUSED,
              "key=relayed_answer peer=%s:%u bytes=%zu all_bytes=%zu "
              "cause=answers_too_large",
              inet_ntoa(longest->address.sin_addr),
              ntohs(longest->address.sin_port), longest->buffered,
              links->buffered);
    call_fail(longest, RELAY_LOST, loop_now_us());
}

static void
call_data(conn_t *conn, const char *bytes, size_t size)
{
    relay_call_t *call = conn->owner;
    size_t used = 0;
    if (call->done == NULL) {
        call_free(call); /* no request waits for these bytes */
        return;
    }
    http_state_t state = http_reader_feed(&call->reader, bytes, size, &used);
    if (state == HTTP_INCOMPLETE) {
        call_note_buffered(call);
        return;
    }
    if (state != HTTP_DONE) {
        call_fail(call, RELAY_LOST, loop_now_us());
        return;
    }
    call_deliver(call, used < size, loop_now_us());
}

static void
call_disconnected(conn_t *conn, bool clean)
{
    (void)clean;
    call_fail(conn->owner, conn->connecting ? RELAY_NOT_SENT : RELAY_LOST,
              loop_now_us());
}

static const conn_ops_t call_ops = {
    .data = call_data,
    .disconnected = call_disconnected,
};

static bool
address_equals(const struct sockaddr_in *left, const struct sockaddr_in *right)
{
    return left->sin_addr.s_addr == right->sin_addr.s_addr &&
           left->sin_port == right->sin_port;
}

/* An idle connection to the peer that was used at not_before_us or later. */
static relay_call_t *
links_find_idle(const relay_links_t *links, const struct sockaddr_in *address,
                int64_t not_before_us)
{
    relay_call_t *best = NULL;
    for (relay_call_t *call = links->all; call != NULL; call = call->next) {
        if (call->done == NULL && !call->delivering &&
            call->idle_since_us >= not_before_us &&
            address_equals(&call->address, address) &&
            (best == NULL || call->idle_since_us > best->idle_since_us)) {
            best = call;
        }
    }
    return best;
}

static relay_call_t *
links_open(relay_links_t *links, const struct sockaddr_in *address,
           int64_t now_us)
{
    static const http_limits_t limits = {
        .max_header_bytes = HEADER_MAX,
        .max_body_bytes = BODY_MAX,
    };
    relay_call_t *call = calloc(1, sizeof(*call));
    if (call == NULL ||
        !conn_open(&call->conn, links->loop, address, &call_ops, call)) {
        free(call);
        return NULL;
    }
    http_reader_init(&call->reader, HTTP_RESPONSES, &limits);
    call->links = links;
    call->address = *address;
    call->opened_us = now_us;
    call->next = links->all;
    if (call->next != NULL) {
        call->next->prev = call;
    }
    links->all = call;
    return call;
}

static bool
call_write(relay_call_t *call, const relay_request_t *request, int64_t now_us)
{
    char line[384]; /* a tenant's name has at most 127 bytes */
    int64_t left_ms = (request->deadline_us - HOP_MARGIN_US - now_us) / 1000;
    int line_size = snprintf(
        line, sizeof(line),
        HEADER_DEADLINE_MS ": %" PRId64 "\r\n" HEADER_RELAY_VERSION
                           ": %" PRIu64 "%s%s\r\nContent-Length: %zu\r\n\r\n",
        left_ms > 1 ? left_ms : 1, request->min_version,
        request->tenant != NULL ? RELAY_TENANT : "",
        request->tenant != NULL ? request->tenant : "", request->body_size);
    if (request->is_message) {
        line_size = snprintf(line, sizeof(line), "Content-Length: %zu\r\n\r\n",
                             request->body_size);
    }
    if (line_size < 0 || (size_t)line_size >= sizeof(line)) {
        return false;
    }
    struct iovec pieces[] = {
        {(void *)request->method, strlen(request->method)},
        {" ", 1},
        {(void *)request->target, strlen(request->target)},
        {" HTTP/1.1\r\n", 11},
        {(void *)request->head, request->head_size},
        {line, (size_t)line_size},
        {(void *)request->body, request->body_size},
    };
    return conn_writev(&call->conn, pieces,
                       sizeof(pieces) / sizeof(pieces[0]));
}

relay_call_t *
relay_links_send(relay_links_t *links, const relay_request_t *request,
                 relay_done_fn_t done, void *owner, int64_t now_us)
{
    relay_call_t *call =
        links_find_idle(links, &request->address,
                        request->idempotent ? 0 : now_us - FRESH_MAX_US);
    if (call == NULL) {
        call = links_open(links, &request->address, now_us);
    }
    if (call == NULL) {
        return NULL;
    }
    call->reader.is_head_response = strcmp(request->method, "HEAD") == 0;
    call->done = done;
    call->owner = owner;
    call->deadline_us = request->deadline_us;
    if (!call_write(call, request, now_us)) {
        call_free(call);
        return NULL;
    }
    return call;
}

void
relay_links_cancel(relay_call_t *call)
{
    call_free(call);
}

static void
call_sweep(relay_call_t *call, int64_t now_us)
{
    if (call->done == NULL) {
        if (now_us - call->idle_since_us > IDLE_TIMEOUT_US) {
            call_free(call);
        }
    }
    else if (now_us >= call->deadline_us) {
        call_fail(call,
                  call->conn.connecting ? RELAY_NOT_SENT : RELAY_TIMED_OUT,
                  now_us);
    }
    else if (call->conn.connecting &&
             now_us - call->opened_us > CONNECT_TIMEOUT_US) {
        call_fail(call, RELAY_NOT_SENT, now_us);
    }
}

void
relay_links_sweep(relay_links_t *links, int64_t now_us)
{
    /* The reports of call_sweep may add calls at the head, and free any. */
    for (relay_call_t *call = links->all; call != NULL;
         call = links->sweep_next) {
        links->sweep_next = call->next;
        call_sweep(call, now_us);
    }
}

void
relay_links_fail_all(relay_links_t *links, int64_t now_us)
{
    for (relay_call_t *call = links->all; call != NULL;
         call = links->sweep_next) {
        links->sweep_next = call->next;
        if (call->done != NULL) {
            call_fail(call, RELAY_TIMED_OUT, now_us);
        }
    }
}

void
relay_links_free(relay_links_t *links)
{
    if (links == NULL) {
        return;
    }
    for (relay_call_t *call = links->all, *next; call != NULL; call = next) {
        next = call->next;
        call_free(call);
    }
    free(links);
}
