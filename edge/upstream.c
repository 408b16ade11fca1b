#include "edge/upstream.h"
#include "edge/event.h"
#include "edge/http_head.h"
#include "edge/wire.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

enum {
    URL_SIZE = 160,
    PATH_SIZE = WIRE_ID_SIZE + 16,
    CONNECT_TIMEOUT_MS = 1000,
    REPLY_GRACE_MS = 50, /* after the deadline, for a reply in transit */
    CACHED_CONNECTIONS_MAX = 4096,
    /* Bytes of the replies to all calls that are in progress. */
    REPLIES_MAX_BYTES = 64 << 20,
    CONNECTION_IDLE_MAX_S = 30, /* below the idle timeout of the servers */
    US_PER_MS = 1000
};

/* An HTTP request in progress and its parts. */
typedef struct call {
    upstream_client_t *client;
    CURL *easy;
    char *request;
    size_t request_size;
    size_t request_sent;
    char *reply;
    size_t reply_size;
    bool too_large;
    http_head_t head;
    int64_t sent_us;
    size_t count; /* parts; 0: a cancellation or a health check */
    char health_target[NAME_SIZE]; /* "" unless a health check */
    part_request_t parts[UPSTREAM_CALL_PARTS_MAX];
    struct call *prev;
    struct call *next;
} call_t;

struct upstream_client {
    upstream_callbacks_t callbacks;
    CURLM *multi;
    struct curl_slist *headers;
    call_t *calls;
    size_t replies_size; /* sum over all calls */
    upstream_totals_t totals;
};

static int64_t
monotonic_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static upstream_client_t *
upstream_http_new(const upstream_callbacks_t *callbacks, error_t *err)
{
    upstream_client_t *client = calloc(1, sizeof(*client));
    CURLM *multi = curl_multi_init();
    if (client == NULL || multi == NULL) {
        free(client);
        curl_multi_cleanup(multi);
        error_set(err, STATUS_NO_MEMORY, "start upstream client", "-",
                  "out of memory");
        return NULL;
    }
    client->callbacks = *callbacks;
    client->multi = multi;
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                      (long)CACHED_CONNECTIONS_MAX);
    client->headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    /*
     * Disables "Expect: 100-continue", with which libcurl could send the body
     * to a server twice.
     */
    client->headers = curl_slist_append(client->headers, "Expect:");
    return client;
}

static void
call_free(call_t *call)
{
    DL_DELETE(call->client->calls, call);
    call->client->replies_size -= call->reply_size;
    curl_multi_remove_handle(call->client->multi, call->easy);
    curl_easy_cleanup(call->easy);
    free(call->request);
    free(call->reply);
    free(call);
}

static void
upstream_http_free(upstream_client_t *client)
{
    if (client == NULL) {
        return;
    }
    call_t *call = NULL;
    call_t *next = NULL;
    DL_FOREACH_SAFE(client->calls, call, next)
    {
        call_free(call);
    }
    curl_multi_cleanup(client->multi);
    curl_slist_free_all(client->headers);
    free(client);
}

/*
 * Passes the body to libcurl, which can read it only once: libcurl resends a
 * request if a reused connection broke before the reply, and for that it has
 * to rewind the body, which call_refuse_seek prevents.
 */
static size_t
call_read_body(char *buffer, size_t size, size_t count, void *context)
{
    call_t *call = context;
    size_t remaining = call->request_size - call->request_sent;
    size_t capacity = size * count;
    size_t chunk = remaining < capacity ? remaining : capacity;
    memcpy(buffer, call->request + call->request_sent, chunk);
    call->request_sent += chunk;
    return chunk;
}

static int
call_refuse_seek(void *context, curl_off_t offset, int origin)
{
    (void)context;
    (void)offset;
    (void)origin;
    return CURL_SEEKFUNC_FAIL;
}

static size_t
call_write_reply(char *data, size_t size, size_t count, void *context)
{
    call_t *call = context;
    size_t bytes = size * count;
    if (call->reply_size + bytes > WIRE_REPLY_MAX_BYTES ||
        call->client->replies_size + bytes > REPLIES_MAX_BYTES) {
        call->too_large = true;
        return 0;
    }
    char *grown = realloc(call->reply, call->reply_size + bytes);
    if (grown == NULL) {
        return 0;
    }
    memcpy(grown + call->reply_size, data, bytes);
    call->reply = grown;
    call->reply_size += bytes;
    call->client->replies_size += bytes;
    return bytes;
}

static void
call_set_options(call_t *call)
{
    CURL *easy = call->easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, call_write_reply);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    http_head_init(&call->head);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, http_head_receive);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call->head);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)CONNECTION_IDLE_MAX_S);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->client->headers);
}

static call_t *
call_new(upstream_client_t *client)
{
    call_t *call = calloc(1, sizeof(*call));
    CURL *easy = curl_easy_init();
    if (call == NULL || easy == NULL) {
        free(call);
        curl_easy_cleanup(easy);
        return NULL;
    }
    call->client = client;
    call->easy = easy;
    DL_APPEND(client->calls, call);
    call_set_options(call);
    return call;
}

static void
call_set_target(call_t *call, const upstream_info_t *target, const char *path)
{
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "http://%s:%u%s", target->address, target->port,
             path);
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
}

static void
call_set_body(call_t *call, bool once)
{
    CURL *easy = call->easy;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, call_read_body);
    curl_easy_setopt(easy, CURLOPT_READDATA, call);
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, call_refuse_seek);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)call->request_size);
    if (once) {
        /* The server may close a reused connection during the request. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        /*
         * If kept alive, each of these new connections would count against
         * the limit in the table.
         */
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

/* The end of a call that got no complete response. */
typedef struct {
    part_status_t status;
    bool not_run; /* no byte of the request was sent */
    bool reset;   /* the connection broke; false: timeout */
} call_failure_t;

static void
deliver_result(upstream_client_t *client, const part_reply_t *reply,
               const wire_reply_t *call_reply, bool reset, int64_t service_us)
{
    gate_result_t result = {
        .status = reply->status,
        .service_us = service_us,
        .boot = call_reply->boot,
        .cold = call_reply->cold,
        .reset = reset,
        .not_run = reply->not_run,
        .retry_after_us = call_reply->retry_after_us,
    };
    part_reply_t timed_reply = *reply;
    timed_reply.service_us = service_us;
    client->callbacks.result(client->callbacks.context, &timed_reply, &result);
}

static void
deliver_failure(upstream_client_t *client, const part_request_t *parts,
                size_t count, const call_failure_t *failure,
                int64_t service_us)
{
    wire_reply_t call_reply = {.boot = 0};
    for (size_t i = 0; i < count; i++) {
        part_reply_t reply = {
            .id = parts[i].id,
            .status = failure->status,
            .not_run = failure->not_run,
        };
        deliver_result(client, &reply, &call_reply, failure->reset,
                       service_us);
    }
}

static void
call_handle_reply(call_t *call, long http_status, int64_t service_us)
{
    upstream_client_t *client = call->client;
    part_reply_t replies[UPSTREAM_CALL_PARTS_MAX];
    wire_reply_t call_reply;
    error_t err = ERROR_INIT;
    status_t status =
        wire_reply_parse(call->reply, call->reply_size, http_status,
                         call->parts, call->count, &call_reply, replies, &err);
    if (status != STATUS_OK) {
        client->totals.bad_replies++;
        event_log(EVENT_UPSTREAM_BAD_REPLY, "%s", error_text(&err));
    }
    if (call_reply.partition.shard_count > 0) {
        client->callbacks.partition(client->callbacks.context,
                                    &call_reply.partition);
    }
    free(call_reply.partition.shards);
    for (size_t i = 0; i < call->count; i++) {
        deliver_result(client, &replies[i], &call_reply, false, service_us);
    }
}

static void
call_count_traffic(call_t *call, long *request_bytes, long *http_status)
{
    upstream_totals_t *totals = &call->client->totals;
    long connects = 0;
    curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, request_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, http_status);
    totals->connects += (uint64_t)connects;
    totals->bytes_sent += call->request_sent;
    totals->bytes_received += call->reply_size;
}

static void
call_handle_health(call_t *call)
{
    upstream_client_t *client = call->client;
    bool cold;
    bool draining;
    if (wire_health_parse(call->reply, call->reply_size, &cold, &draining)) {
        client->callbacks.health(client->callbacks.context,
                                 call->health_target, cold, draining);
    }
}

static void
call_finish(call_t *call, CURLcode code)
{
    long request_bytes = 0;
    long http_status = 0;
    int64_t service_us = monotonic_us() - call->sent_us;
    call_count_traffic(call, &request_bytes, &http_status);
    if (call->health_target[0] != '\0' && code == CURLE_OK) {
        call_handle_health(call);
    }
    if (call->count == 0) {
        return;
    }
    if (code == CURLE_OK) {
        call_handle_reply(call, http_status, service_us);
        return;
    }
    bool bad_reply = call->too_large || call->head.invalid;
    call_failure_t failure = {
        .status = bad_reply ? PART_BAD_REPLY : PART_LOST,
        /* No byte of the request was sent, so no upstream received it. */
        .not_run = request_bytes == 0 && call->request_sent == 0,
        .reset = !bad_reply && code != CURLE_OPERATION_TIMEDOUT,
    };
    deliver_failure(call->client, call->parts, call->count, &failure,
                    service_us);
}

static int64_t
latest_deadline_us(const part_request_t *requests, size_t count)
{
    int64_t latest_us = requests[0].deadline_us;
    for (size_t i = 1; i < count; i++) {
        if (requests[i].deadline_us > latest_us) {
            latest_us = requests[i].deadline_us;
        }
    }
    return latest_us;
}

static void
upstream_http_send(upstream_client_t *client, const upstream_info_t *target,
                   const part_request_t *requests, size_t count,
                   int64_t now_us)
{
    size_t size;
    char *text = wire_request_format(requests, count, now_us, &size);
    call_t *call = text == NULL ? NULL : call_new(client);
    if (call == NULL) {
        call_failure_t failure = {.status = PART_LOST, .not_run = true};
        free(text);
        deliver_failure(client, requests, count, &failure, 0);
        return;
    }
    call->count = count;
    memcpy(call->parts, requests, count * sizeof(*requests));
    for (size_t i = 0; i < count; i++) {
        /* text has a copy of the payload; the caller may free its own. */
        call->parts[i].body = NULL;
    }
    call->request = text;
    call->request_size = size;
    call->sent_us = now_us;
    call_set_target(call, target, "/v1/parts");
    call_set_body(call, requests[0].once);
    int64_t remaining_us = latest_deadline_us(requests, count) - now_us;
    long remaining_ms =
        remaining_us > 0 ? (long)(remaining_us / US_PER_MS) : 0;
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
                     remaining_ms + REPLY_GRACE_MS);
    client->totals.calls++;
    client->totals.parts += count;
    curl_multi_add_handle(client->multi, call->easy);
}

static void
upstream_http_cancel(upstream_client_t *client, const upstream_info_t *target,
                     attempt_id_t id)
{
    call_t *call = call_new(client);
    if (call == NULL) {
        return;
    }
    char path[PATH_SIZE];
    char text[WIRE_ID_SIZE];
    wire_id_format(id, text);
    snprintf(path, sizeof(path), "/v1/parts/%s", text);
    call_set_target(call, target, path);
    curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_multi_add_handle(client->multi, call->easy);
}

static void
upstream_http_check_health(upstream_client_t *client,
                           const upstream_info_t *target)
{
    call_t *call = call_new(client);
    if (call == NULL) {
        return;
    }
    memcpy(call->health_target, target->name, NAME_SIZE);
    call_set_target(call, target, "/v1/health");
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_multi_add_handle(client->multi, call->easy);
}

static void
upstream_http_run(upstream_client_t *client)
{
    int running;
    int remaining;
    CURLMsg *message;
    curl_multi_perform(client->multi, &running);
    while ((message = curl_multi_info_read(client->multi, &remaining)) !=
           NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        call_t *call;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        call_finish(call, http_head_finish(&call->head, code));
        call_free(call);
    }
}

static void
upstream_http_wait(upstream_client_t *client, int timeout_ms)
{
    curl_multi_poll(client->multi, NULL, 0, timeout_ms, NULL);
}

static void
upstream_http_wake(upstream_client_t *client)
{
    curl_multi_wakeup(client->multi);
}

static upstream_totals_t
upstream_http_totals(const upstream_client_t *client)
{
    return client->totals;
}

const upstream_ops_t upstream_http_ops = {
    .new = upstream_http_new,
    .free = upstream_http_free,
    .send = upstream_http_send,
    .cancel = upstream_http_cancel,
    .check_health = upstream_http_check_health,
    .wait = upstream_http_wait,
    .run = upstream_http_run,
    .wake = upstream_http_wake,
    .totals = upstream_http_totals,
};
