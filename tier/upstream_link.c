#include "tier/upstream_link.h"

#include "edge/event.h"
#include "http/conn.h"
#include "http/loop_clock.h"
#include "platform/header_values.h"
#include "platform/names.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* Connect timeout; a request sent after it would be too late. */
    CONNECT_TIMEOUT_US = 400000,
    /* Longest idle time of a connection, for upstreams that announce no
       shorter one. */
    IDLE_TIMEOUT_US = 30000000,
    /* An idle connection is closed this long before the upstream would. */
    IDLE_MARGIN_US = 1000000,
    /* A request that is not idempotent reuses a connection only if it has been
       idle for less than this: an upstream may be closing a connection that
       was idle for longer, and the request could not be retried. */
    FRESH_MAX_US = 1000000,
    /* Backoff after a failed connect, doubled for each further failure. */
    CONNECT_BACKOFF_US = 100000,
    CONNECT_BACKOFF_MAX_US = 1600000,
    BODY_MAX = 16 << 20,   /* bytes of a response; more makes it invalid */
    HEADER_MAX = 64 << 10, /* bytes of a response's header */
    /* Bytes on the connection for one request, with everything that is
       skipped: framing, interim responses and responses to other requests. */
    RECEIVED_MAX = 32 << 20,
    /* Bytes of unfinished responses on all connections together; beyond it the
       longest one is dropped. A fifth of the smallest VM's memory, since a
       buffer that grows takes up to twice its contents. */
    BUFFERED_MAX = 32 << 20,
    /* Requests that a connection remembers having carried. */
    CARRIED_MAX = 32
};

typedef struct link link_t;

/* A request that was sent on a connection. */
typedef struct {
    uint64_t id_hash;
    int64_t sent_us;
} carried_t;

struct link {
    conn_t conn;
    http_reader_t reader;
    upstream_links_t *links;
    instance_t *instance;
    attempt_t *attempt; /* NULL: idle */
    bool tainted;       /* must not be reused */
    bool answers_head;  /* the response is to a HEAD request: no body */
    bool reused;
    bool echoes_ids; /* a response on it had a request id */
    bool probe;      /* opened without a request */
    int64_t opened_us;
    int64_t idle_since_us;    /* valid while idle */
    int64_t idle_timeout_us;  /* close after this idle time */
    int64_t abandon_until_us; /* end of the grace time; 0: not abandoned */
    size_t received;          /* bytes since the request was sent */
    size_t buffered;          /* of them, held by the reader */
    uint64_t sends;           /* requests sent on it */
    carried_t carried[CARRIED_MAX]; /* ring of the latest of them */
    link_t *instance_next;
    link_t *next;
    link_t *prev;
};

struct upstream_links {
    struct ev_loop *loop;
    const upstream_links_ops_t *ops;
    void *owner;
    link_t *all;
    size_t buffered;    /* sum over all links */
    link_t *sweep_next; /* next link of a running sweep; link_free skips it */
    link_t *delivering; /* whose response is being reported; NULL: none */
    upstream_links_stats_t stats;
};

upstream_links_t *
upstream_links_new(struct ev_loop *loop, const upstream_links_ops_t *ops,
                   void *owner)
{
    upstream_links_t *links = calloc(1, sizeof(*links));
    if (links != NULL) {
        links->loop = loop;
        links->owner = owner;
        links->ops = ops;
    }
    return links;
}

const upstream_links_stats_t *
upstream_links_stats(const upstream_links_t *links)
{
    return &links->stats;
}

/* Close the connection and free it; while its response is being reported, when
   the report ends. */
static void
link_free(link_t *link)
{
    if (link->links->delivering == link) {
        link->attempt = NULL;
        link->tainted = true;
        return;
    }
    link_t **place = (link_t **)&link->instance->links;
    while (*place != link) {
        place = &(*place)->instance_next;
    }
    *place = link->instance_next;
    if (link->links->sweep_next == link) {
        link->links->sweep_next = link->next;
    }
    if (link->prev != NULL) {
        link->prev->next = link->next;
    }
    else {
        link->links->all = link->next;
    }
    if (link->next != NULL) {
        link->next->prev = link->prev;
    }
    link->links->stats.open--;
    link->links->buffered -= link->buffered;
    conn_close(&link->conn);
    http_reader_release(&link->reader);
    free(link);
}

/* Close the connection and report the end of its attempt, if it has one. */
static void
link_fail(link_t *link, reply_kind_t kind, const char *detail)
{
    upstream_links_t *links = link->links;
    attempt_t *attempt = link->attempt;
    int64_t now_us = loop_now_us();
    if (kind == REPLY_NOT_SENT) {
        instance_t *instance = link->instance;
        int64_t backoff_us =
            (int64_t)CONNECT_BACKOFF_US
            << (instance->connect_failures > 4 ? 4
                                               : instance->connect_failures);
        instance->connect_failures++;
        instance->backoff_until_us =
            now_us + (backoff_us < CONNECT_BACKOFF_MAX_US
                          ? backoff_us
                          : CONNECT_BACKOFF_MAX_US);
        links->stats.failed++;
        links->ops->connect_ended(links->owner, instance, link->probe, false,
                                  now_us);
    }
    link_free(link);
    if (attempt != NULL) {
        reply_t reply = {.kind = kind, .detail = detail};
        attempt->link = NULL;
        links->ops->replied(links->owner, attempt, &reply, now_us);
    }
}

static void
link_disconnected(conn_t *conn, bool clean)
{
    link_t *link = conn->owner;
    if (conn->connecting) {
        link_fail(link, REPLY_NOT_SENT, "connect");
        return;
    }
    if (link->attempt == NULL) {
        link_free(link);
        return;
    }
    if (clean && http_reader_feed_eof(&link->reader) == HTTP_DONE) {
        link->tainted = true;
        conn->ops->data(conn, NULL, 0);
        return;
    }
    link_fail(link, REPLY_LOST,
              link->reader.started ? "cut"
              : link->reused       ? "closed_reused"
                                   : "closed");
}

/* Idle timeout of the connection, from the response's Keep-Alive header. */
static int64_t
idle_timeout_from_header(const http_message_t *message)
{
    const char *value = http_header_find(message, "Keep-Alive");
    const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
    if (timeout == NULL) {
        return IDLE_TIMEOUT_US;
    }
    long limit_s = strtol(timeout + strlen("timeout="), NULL, 10);
    if (limit_s < 0 || limit_s > IDLE_TIMEOUT_US / 1000000) {
        return IDLE_TIMEOUT_US;
    }
    int64_t limit_us = limit_s * INT64_C(1000000);
    int64_t used_us = limit_us - IDLE_MARGIN_US;
    if (used_us < limit_us / 2) {
        used_us = limit_us / 2;
    }
    return used_us > 0 && used_us < IDLE_TIMEOUT_US ? used_us
                                                    : IDLE_TIMEOUT_US;
}

static void
log_header(const instance_t *instance, const char *name, const char *value,
           header_status_t status)
{
    if (status == HEADER_INVALID || status == HEADER_CAPPED) {
        event_log(EVENT_INPUT_REFUSED,
                  "key=%s instance=%s value=%.32s cause=%s", name,
                  instance->entry.id, value,
                  status == HEADER_CAPPED ? "too_large" : "not_readable");
    }
}

/* Add what the response says about the upstream itself. */
static void
reply_add_state(reply_t *reply, const http_message_t *message,
                const instance_t *instance)
{
    const char *leaving = http_header_find(message, HEADER_LEAVING);
    header_status_t status = header_parse_leaving(leaving);
    log_header(instance, HEADER_LEAVING, leaving, status);
    reply->leaving = status == HEADER_VALID;
    const char *rate = http_header_find(message, HEADER_RATE_LIMIT);
    status = header_parse_rate_limit(rate, &reply->rate_per_s);
    log_header(instance, HEADER_RATE_LIMIT, rate, status);
    if (status == HEADER_VALID) {
        reply->rate = RATE_LIMITED;
    }
    else if (status == HEADER_ABSENT && reply->kind != REPLY_LOST) {
        reply->rate = RATE_UNLIMITED;
    }
    if (message->status == 503) {
        const char *rest = http_header_find(message, HEADER_RETRY_AFTER);
        status = header_parse_retry_after(rest, &reply->rest_us);
        log_header(instance, HEADER_RETRY_AFTER, rest, status);
    }
}

/* The result of an attempt that got a whole response from the instance. */
static reply_t
reply_from_message(const http_message_t *message, const instance_t *instance)
{
    reply_t reply = {
        .kind = REPLY_ANSWER,
        .message = message,
        .signature = http_header_find(message, HEADER_SIGNATURE),
    };
    if (message->status == 421) {
        reply.kind = REPLY_MISDIRECTED;
    }
    else if (http_header_find(message, HEADER_NOT_RUN) != NULL) {
        reply.kind = REPLY_NOT_RUN;
    }
    else if (reply.signature == NULL) {
        reply.kind = REPLY_LOST;
        reply.detail = "unsigned";
    }
    else if (http_header_find(message, "Content-Encoding") != NULL) {
        reply.kind = REPLY_LOST;
        reply.detail = "encoded";
    }
    if (reply.kind != REPLY_MISDIRECTED) {
        reply_add_state(&reply, message, instance);
    }
    return reply;
}

static void
link_set_buffered(link_t *link, size_t buffered)
{
    link->links->buffered += buffered - link->buffered;
    link->buffered = buffered;
}

/* Report a whole response, and keep the connection if it can be reused. */
static void
link_deliver(link_t *link)
{
    upstream_links_t *links = link->links;
    const http_message_t *message = &link->reader.message;
    attempt_t *attempt = link->attempt;
    int64_t now_us = loop_now_us();
    reply_t reply = reply_from_message(message, link->instance);
    link->attempt = NULL;
    link_set_buffered(link, 0);
    link->abandon_until_us = 0;
    link->idle_since_us = now_us;
    link->idle_timeout_us = idle_timeout_from_header(message);
    if (!message->keep_alive || message->close_delimited ||
        !conn_is_flushed(&link->conn) || reply.kind == REPLY_MISDIRECTED ||
        reply.kind == REPLY_LOST) {
        link->tainted = true;
    }
    attempt->link = NULL;
    /* ops->replied may reuse this link, or free any other. */
    links->delivering = link;
    links->ops->replied(links->owner, attempt, &reply, now_us);
    links->delivering = NULL;
    if (link->tainted) {
        link_free(link);
    }
    else {
        http_reader_next(&link->reader);
    }
}

/* Which request a response belongs to, by its request id. */
typedef enum {
    RESPONSE_OWN,         /* the request that waits on the connection */
    RESPONSE_OTHER,       /* another one */
    RESPONSE_UNIDENTIFIED /* without an id: perhaps an earlier one */
} response_owner_t;

/*
 * A response without an id may be a late copy of an earlier response. It is
 * accepted only as the first one of its connection, which is not used again.
 */
static response_owner_t
link_identify_response(link_t *link)
{
    const char *id =
        http_header_find(&link->reader.message, HEADER_REQUEST_ID);
    if (id != NULL) {
        link->echoes_ids = true;
        return strcmp(id, link->attempt->id) == 0 ? RESPONSE_OWN
                                                  : RESPONSE_OTHER;
    }
    if (link->echoes_ids) {
        return RESPONSE_UNIDENTIFIED;
    }
    link->tainted = true;
    return RESPONSE_OWN;
}

/* Account for the response that is being read. If all of them take too much
   memory, drop the longest one, which may be this link's. */
static void
link_note_buffered(link_t *link)
{
    upstream_links_t *links = link->links;
    link_set_buffered(link, http_message_size(&link->reader.message));
    if (links->buffered <= BUFFERED_MAX) {
        return;
    }
    link_t *longest = link;
    for (link_t *other = links->all; other != NULL; other = other->next) {
        if (other->buffered > longest->buffered) {
            longest = other;
        }
    }
    event_log(EVENT_UPSTREAM_BAD_REPLY,
              "instance=%s bytes=%zu all_bytes=%zu cause=responses_too_large",
              longest->instance->entry.id, longest->buffered, links->buffered);
    link_fail(longest, REPLY_LOST, "too_large");
}

static void
link_data(conn_t *conn, const char *bytes, size_t size)
{
    link_t *link = conn->owner;
    if (link->attempt == NULL) {
        event_log(EVENT_UPSTREAM_BAD_REPLY,
                  "instance=%s bytes=%zu cause=no_request_waits",
                  link->instance->entry.id, size);
        link_free(link);
        return;
    }
    link->received += size;
    if (link->received > RECEIVED_MAX) {
        link_fail(link, REPLY_LOST, "endless");
        return;
    }
    link->reader.is_head_response = link->answers_head;
    while (size > 0 || link->reader.done) {
        size_t used = 0;
        http_state_t state = HTTP_DONE;
        if (!link->reader.done) {
            state = http_reader_feed(&link->reader, bytes, size, &used);
        }
        if (state == HTTP_INCOMPLETE) {
            link_note_buffered(link);
            return;
        }
        if (state != HTTP_DONE) {
            link_fail(link, REPLY_LOST,
                      state == HTTP_BODY_TOO_LARGE ||
                              state == HTTP_HEADERS_TOO_LARGE
                          ? "too_large"
                          : "garbled");
            return;
        }
        bytes += used;
        size -= used;
        response_owner_t owner = link_identify_response(link);
        if (owner == RESPONSE_OWN) {
            link->tainted = link->tainted || size > 0;
            link_deliver(link);
            return;
        }
        if (owner == RESPONSE_UNIDENTIFIED) {
            event_log(EVENT_UPSTREAM_BAD_REPLY,
                      "id=%s instance=%s cause=no_request_id",
                      link->attempt->id, link->instance->entry.id);
            link_fail(link, REPLY_LOST, "unidentified");
            return;
        }
        /* Skip it and wait for the response to this request. */
        event_log(EVENT_UPSTREAM_BAD_REPLY,
                  "id=%s instance=%s other_id=%s "
                  "cause=answers_another_request",
                  link->attempt->id, link->instance->entry.id,
                  http_header_find(&link->reader.message, HEADER_REQUEST_ID));
        if (!link->reader.message.keep_alive || link->tainted) {
            link_fail(link, REPLY_LOST, "other_answer");
            return;
        }
        http_reader_next(&link->reader);
        link->tainted = true;
        link->reader.is_head_response = link->answers_head;
    }
}

static void
link_connected(conn_t *conn)
{
    link_t *link = conn->owner;
    link->instance->connect_failures = 0;
    link->instance->backoff_until_us = 0;
    link->idle_since_us = loop_now_us();
    instance_connected(link->instance, link->idle_since_us - link->opened_us);
    link->links->ops->connect_ended(link->links->owner, link->instance,
                                    link->probe, true, link->idle_since_us);
}

static const conn_ops_t link_ops = {
    .connected = link_connected,
    .data = link_data,
    .disconnected = link_disconnected,
};

static void
link_note_carried(link_t *link, uint64_t id_hash, int64_t now_us)
{
    link->carried[link->sends++ % CARRIED_MAX] =
        (carried_t){.id_hash = id_hash, .sent_us = now_us};
}

/* Whether the connection has carried the request, or may have: of a request
   that was sent before, it remembers only the latest CARRIED_MAX sends. */
static bool
link_may_have_carried(const link_t *link, const attempt_t *attempt,
                      uint64_t id_hash)
{
    uint64_t known = link->sends < CARRIED_MAX ? link->sends : CARRIED_MAX;
    for (uint64_t i = 0; i < known; i++) {
        if (link->carried[i].id_hash == id_hash) {
            return true;
        }
    }
    const carried_t *oldest = &link->carried[link->sends % CARRIED_MAX];
    return link->sends > CARRIED_MAX && attempt->first_sent_us != 0 &&
           attempt->first_sent_us <= oldest->sent_us;
}

/*
 * Whether the attempt may be sent on the connection. A request goes out on a
 * connection once at most: a response names the request that it belongs to,
 * but not the send, so that a late copy of the response to the first send
 * would pass for the response to the second.
 */
static bool
link_suits(const link_t *link, const attempt_t *attempt, uint64_t id_hash,
           int64_t now_us)
{
    return (attempt->idempotent ||
            now_us - link->idle_since_us <= FRESH_MAX_US) &&
           !link_may_have_carried(link, attempt, id_hash);
}

/* The most recently used idle connection that suits the attempt, or any if
   attempt is NULL; NULL: none. The others can thus reach their idle timeout.
 */
static link_t *
link_find_idle(const instance_t *instance, const attempt_t *attempt,
               uint64_t id_hash, int64_t now_us)
{
    link_t *best = NULL;
    for (link_t *link = instance->links; link != NULL;
         link = link->instance_next) {
        if (link->attempt == NULL && !link->tainted &&
            !link->conn.connecting &&
            (best == NULL || link->idle_since_us > best->idle_since_us) &&
            (attempt == NULL || link_suits(link, attempt, id_hash, now_us))) {
            best = link;
        }
    }
    return best;
}

static link_t *
link_open(upstream_links_t *links, instance_t *instance, bool probe,
          int64_t now_us)
{
    link_t *link = calloc(1, sizeof(*link));
    if (link == NULL ||
        !conn_open(&link->conn, links->loop, &instance->entry.address,
                   &link_ops, link)) {
        free(link);
        links->stats.failed++;
        links->ops->connect_ended(links->owner, instance, probe, false,
                                  now_us);
        return NULL;
    }
    static const http_limits_t limits = {
        .max_header_bytes = HEADER_MAX,
        .max_body_bytes = BODY_MAX,
    };
    http_reader_init(&link->reader, HTTP_RESPONSES, &limits);
    link->links = links;
    link->instance = instance;
    link->probe = probe;
    link->opened_us = now_us;
    link->idle_timeout_us = IDLE_TIMEOUT_US;
    link->instance_next = instance->links;
    instance->links = link;
    link->next = links->all;
    if (link->next != NULL) {
        link->next->prev = link;
    }
    links->all = link;
    links->stats.open++;
    links->stats.opened++;
    return link;
}

/* Close one idle connection, if there is any, to make room for a new one. */
static void
link_drop_idle(instance_t *instance, int64_t now_us)
{
    link_t *idle = link_find_idle(instance, NULL, 0, now_us);
    if (idle != NULL) {
        link_free(idle);
    }
}

static bool
link_write(link_t *link, const attempt_t *attempt, int64_t now_us)
{
    const call_t *call = attempt->call;
    char line[256];
    char length[64] = "";
    int64_t left_ms = (attempt->deadline_us - now_us) / 1000;
    int line_size =
        snprintf(line, sizeof(line),
                 HEADER_DEADLINE_MS ": %" PRId64 "\r\n" HEADER_EXPECT_INSTANCE
                                    ": %s\r\n",
                 left_ms > 1 ? left_ms : 1, attempt->instance->entry.id);
    int length_size = 0;
    if (call->body_size > 0 || strcmp(call->method, "POST") == 0 ||
        strcmp(call->method, "PUT") == 0 ||
        strcmp(call->method, "PATCH") == 0) {
        length_size = snprintf(length, sizeof(length),
                               "Content-Length: %zu\r\n", call->body_size);
    }
    struct iovec pieces[] = {
        {(void *)call->method, strlen(call->method)},
        {" ", 1},
        {(void *)call->target, strlen(call->target)},
        {" HTTP/1.1\r\n", 11},
        {(void *)call->head, call->head_size},
        {line, (size_t)line_size},
        {length, (size_t)length_size},
        {"\r\n", 2},
        {(void *)call->body, call->body_size},
    };
    return conn_writev(&link->conn, pieces,
                       sizeof(pieces) / sizeof(pieces[0]));
}

bool
upstream_links_send(upstream_links_t *links, attempt_t *attempt,
                    int64_t now_us)
{
    instance_t *instance = attempt->instance;
    uint64_t id_hash = XXH64(attempt->id, strlen(attempt->id), 0);
    link_t *link = link_find_idle(instance, attempt, id_hash, now_us);
    if (link != NULL) {
        link->reused = true;
        links->stats.reused++;
    }
    else {
        link_drop_idle(instance, now_us);
        link = link_open(links, instance, false, now_us);
        if (link == NULL) {
            return false;
        }
    }
    link->answers_head = strcmp(attempt->call->method, "HEAD") == 0;
    if (!link_write(link, attempt, now_us)) {
        /* Part of the request may have been written, so the connection can't
           be reused. */
        link_free(link);
        return false;
    }
    link_note_carried(link, id_hash, now_us);
    link->received = 0;
    link->attempt = attempt;
    attempt->link = link;
    return true;
}

void
upstream_links_probe(upstream_links_t *links, instance_t *instance,
                     int64_t now_us)
{
    (void)link_open(links, instance, true, now_us);
}

void
upstream_links_abandon(attempt_t *attempt, int64_t until_us)
{
    link_t *link = attempt->link;
    link->abandon_until_us = until_us;
}

void
upstream_links_cancel(attempt_t *attempt)
{
    link_t *link = attempt->link;
    attempt->link = NULL;
    link_free(link);
}

static void
link_sweep(link_t *link, int64_t now_us)
{
    if (link->conn.connecting) {
        if (now_us - link->opened_us > CONNECT_TIMEOUT_US) {
            link_fail(link, REPLY_NOT_SENT, "connect_timeout");
        }
        else if (link->abandon_until_us != 0 &&
                 now_us >= link->abandon_until_us) {
            link_fail(link, REPLY_NOT_SENT, "abandoned");
        }
    }
    else if (link->attempt != NULL) {
        if (link->abandon_until_us != 0 && now_us >= link->abandon_until_us) {
            link_fail(link, REPLY_UNFINISHED, "abandoned");
        }
    }
    else if (now_us - link->idle_since_us > link->idle_timeout_us ||
             !link->instance->listed || link->instance->entry.draining) {
        link_free(link);
    }
}

void
upstream_links_sweep(upstream_links_t *links, int64_t now_us)
{
    /* link_sweep's reports may add links at the head, and free any link. */
    for (link_t *link = links->all; link != NULL; link = links->sweep_next) {
        links->sweep_next = link->next;
        link_sweep(link, now_us);
    }
}

void
upstream_links_free(upstream_links_t *links)
{
    if (links == NULL) {
        return;
    }
    for (link_t *link = links->all, *next; link != NULL; link = next) {
        next = link->next;
        link_free(link);
    }
    free(links);
}
