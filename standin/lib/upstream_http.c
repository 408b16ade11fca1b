/* The HTTP server of one hosted upstream. */
#include "standin/lib/service.h"
#include "standin/lib/upstream.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum { BODY_MAX_BYTES = 1 << 20 };

static void
request_suspend(request_t *request)
{
    worker_t *worker = request->upstream->worker;
    request->next = worker->waiting;
    worker->waiting = request;
    MHD_suspend_connection(request->mhd);
}

static ssize_t
truncated_read(void *user, uint64_t position, char *buffer, size_t max)
{
    const char *text = user;
    size_t half = strlen(text) / 2;
    if (position >= half) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t size = half - position < max ? half - position : max;
    memcpy(buffer, text + position, size);
    return (ssize_t)size;
}

static enum MHD_Result
request_queue_response(request_t *request)
{
    char *text = json_dumps(request->reply, JSON_COMPACT);
    if (text == NULL) {
        return MHD_NO;
    }
    struct MHD_Response *response =
        request->upstream->replica.state.truncate
            ? MHD_create_response_from_callback(strlen(text), strlen(text),
                                                truncated_read, text, free)
            : MHD_create_response_from_buffer(strlen(text), text,
                                              MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", "application/json");
    enum MHD_Result result =
        MHD_queue_response(request->mhd, request->status, response);
    MHD_destroy_response(response);
    return result;
}

typedef struct {
    const char *method;
    const char *path; /* an id follows if it ends in a slash */
    void (*serve)(request_t *request, const char *id);
} route_t;

static const route_t routes[] = {
    {"POST", "/v1/parts", request_serve_parts},
    {"DELETE", "/v1/parts/", request_serve_cancel},
    {"GET", "/v1/health", request_serve_health},
};

static void
request_route(request_t *request, const char *method, const char *url)
{
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        const route_t *route = &routes[i];
        size_t size = strlen(route->path);
        bool takes_id = route->path[size - 1] == '/';
        if (strcmp(method, route->method) == 0 &&
            strncmp(url, route->path, size) == 0 &&
            (takes_id || url[size] == '\0')) {
            route->serve(request, url + size);
            return;
        }
    }
    request_reply(request, 404, json_object());
}

static bool
request_append(request_t *request, const char *data, size_t size)
{
    if (request->size + size > BODY_MAX_BYTES) {
        return false;
    }
    char *text = realloc(request->text, request->size + size);
    if (text == NULL) {
        return false;
    }
    memcpy(text + request->size, data, size);
    request->text = text;
    request->size += size;
    return true;
}

static enum MHD_Result
request_create(upstream_t *upstream, struct MHD_Connection *mhd,
               void **context)
{
    request_t *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return MHD_NO;
    }
    request->upstream = upstream;
    request->mhd = mhd;
    *context = request;
    return MHD_YES;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *mhd, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **context)
{
    (void)version;
    request_t *request = *context;
    if (request == NULL) {
        return request_create(user, mhd, context);
    }
    if (*size > 0) {
        bool kept = request_append(request, data, *size);
        *size = 0;
        return kept ? MHD_YES : MHD_NO;
    }
    if (request->step == STEP_READING) {
        request_route(request, method, url);
    }
    if (request->step == STEP_CLOSE) {
        return MHD_NO;
    }
    if (request->step == STEP_DONE) {
        return request_queue_response(request);
    }
    request_suspend(request);
    return MHD_YES;
}

static void
on_completed(void *user, struct MHD_Connection *mhd, void **context,
             enum MHD_RequestTerminationCode code)
{
    (void)user;
    (void)mhd;
    (void)code;
    request_t *request = *context;
    if (request == NULL) {
        return;
    }
    json_decref(request->body);
    json_decref(request->reply);
    free(request->parts);
    free(request->text);
    free(request);
    *context = NULL;
}

static enum MHD_Result
on_accept(void *user, const struct sockaddr *address, socklen_t size)
{
    (void)address;
    (void)size;
    upstream_t *upstream = user;
    const replica_t *replica = &upstream->replica;
    if (replica->state.down ||
        upstream->connection_count >= replica->plan->service->connections) {
        upstream_count(upstream, EVENT_CONNECTION_REFUSED, 1);
        return MHD_NO;
    }
    return MHD_YES;
}

static void
connection_open(upstream_t *upstream, struct MHD_Connection *mhd,
                void **context)
{
    connection_t *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        abort();
    }
    connection->fd =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    connection->ready_us =
        service_now_us() + upstream->replica.plan->service->connect_us;
    connection->next = upstream->connections;
    if (connection->next != NULL) {
        connection->next->prev = connection;
    }
    upstream->connections = connection;
    upstream->connection_count++;
    upstream_count(upstream, EVENT_CONNECTION, 1);
    *context = connection;
}

static void
connection_close(upstream_t *upstream, connection_t *connection)
{
    if (connection->next != NULL) {
        connection->next->prev = connection->prev;
    }
    if (connection->prev != NULL) {
        connection->prev->next = connection->next;
    }
    else {
        upstream->connections = connection->next;
    }
    upstream->connection_count--;
    free(connection);
}

static void
on_connection(void *user, struct MHD_Connection *mhd, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        connection_open(user, mhd, context);
    }
    else if (*context != NULL) {
        connection_close(user, *context);
    }
}

static struct sockaddr_in
loopback(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool
upstream_listen(upstream_t *upstream)
{
    uint16_t port = upstream->replica.plan->port;
    struct sockaddr_in address = loopback(port);
    upstream->mhd = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, on_accept, upstream,
        on_request, upstream, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
        NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, upstream,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    return upstream->mhd != NULL;
}
