#include "t/lib/script_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    CONNECTIONS_MAX = 16,
    REQUEST_MAX = 16384,
    RECEIVED_MAX = 65536,
    POLL_MS = 20
};

typedef struct {
    int fd; /* -1: free */
    char request[REQUEST_MAX];
    size_t size;
} script_connection_t;

struct script_server {
    const script_step_t *script;
    size_t count;
    int listener;
    uint16_t port;
    pthread_t thread;
    pthread_mutex_t lock;
    bool stopping;
    unsigned requests;
    unsigned connections;
    char received[RECEIVED_MAX];
    size_t received_size;
    script_connection_t open[CONNECTIONS_MAX];
};

/* Returns the size of the request in the buffer; 0: not complete yet. */
static size_t
request_size(const script_connection_t *connection)
{
    const char *end = strstr(connection->request, "\r\n\r\n");
    if (end == NULL) {
        return 0;
    }
    size_t head = (size_t)(end - connection->request) + 4;
    const char *field = strcasestr(connection->request, "content-length:");
    size_t body = field == NULL ? 0 : strtoul(field + 15, NULL, 10);
    return connection->size >= head + body ? head + body : 0;
}

static void
connection_close(script_connection_t *connection)
{
    close(connection->fd);
    connection->fd = -1;
    connection->size = 0;
}

static void
send_text(int fd, const char *text)
{
    if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
        perror("script server: send");
    }
}

/* Sends a response with the id of the request's first part. */
static void
send_with_id(const script_connection_t *connection, const char *format)
{
    char id[64] = "";
    char body[1024];
    char answer[2048];
    const char *id_member = strstr(connection->request, "\"id\":\"");
    if (id_member != NULL) {
        sscanf(id_member + 6, "%63[^\"]", id);
    }
    /* The formats come from the tests and contain one %s. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
    snprintf(body, sizeof(body), format, id);
#pragma GCC diagnostic pop
    snprintf(answer, sizeof(answer),
             "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(body),
             body);
    send_text(connection->fd, answer);
}

static void
serve_request(script_server_t *server, script_connection_t *connection,
              size_t size)
{
    pthread_mutex_lock(&server->lock);
    size_t index = server->requests < server->count ? server->requests
                                                    : server->count - 1;
    server->requests++;
    size_t room = RECEIVED_MAX - 1 - server->received_size;
    size_t kept = size < room ? size : room;
    memcpy(server->received + server->received_size, connection->request,
           kept);
    server->received_size += kept;
    pthread_mutex_unlock(&server->lock);
    const script_step_t *step = &server->script[index];
    if (step->answer != NULL && step->echo_id) {
        send_with_id(connection, step->answer);
    }
    else if (step->answer != NULL) {
        send_text(connection->fd, step->answer);
    }
    connection->size = 0;
    memset(connection->request, 0, sizeof(connection->request));
    if (step->close) {
        connection_close(connection);
    }
}

static void
read_connection(script_server_t *server, script_connection_t *connection)
{
    ssize_t got = recv(connection->fd, connection->request + connection->size,
                       REQUEST_MAX - 1 - connection->size, 0);
    if (got <= 0) {
        connection_close(connection);
        return;
    }
    connection->size += (size_t)got;
    size_t size = request_size(connection);
    if (size > 0) {
        serve_request(server, connection, size);
    }
}

static void
accept_connection(script_server_t *server)
{
    int fd = accept(server->listener, NULL, NULL);
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (server->open[i].fd < 0) {
            memset(&server->open[i], 0, sizeof(server->open[i]));
            server->open[i].fd = fd;
            pthread_mutex_lock(&server->lock);
            server->connections++;
            pthread_mutex_unlock(&server->lock);
            return;
        }
    }
    close(fd);
}

static void *
script_server_main(void *context)
{
    script_server_t *server = context;
    bool stopping = false;
    while (!stopping) {
        struct pollfd fds[CONNECTIONS_MAX + 1];
        fds[0] = (struct pollfd){.fd = server->listener, .events = POLLIN};
        for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
            fds[i + 1] =
                (struct pollfd){.fd = server->open[i].fd, .events = POLLIN};
        }
        poll(fds, CONNECTIONS_MAX + 1, POLL_MS);
        for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
            if (server->open[i].fd >= 0 && fds[i + 1].revents != 0) {
                read_connection(server, &server->open[i]);
            }
        }
        if (fds[0].revents != 0) {
            accept_connection(server);
        }
        pthread_mutex_lock(&server->lock);
        stopping = server->stopping;
        pthread_mutex_unlock(&server->lock);
    }
    return NULL;
}

script_server_t *
script_server_new(const script_step_t *script, size_t count)
{
    script_server_t *server = calloc(1, sizeof(*server));
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    server->script = script;
    server->count = count;
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        server->open[i].fd = -1;
    }
    if (bind(server->listener, (struct sockaddr *)&address, size) != 0 ||
        listen(server->listener, CONNECTIONS_MAX) != 0) {
        perror("script server: listen");
        abort();
    }
    getsockname(server->listener, (struct sockaddr *)&address, &size);
    server->port = ntohs(address.sin_port);
    pthread_mutex_init(&server->lock, NULL);
    pthread_create(&server->thread, NULL, script_server_main, server);
    return server;
}

void
script_server_free(script_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    server->stopping = true;
    pthread_mutex_unlock(&server->lock);
    pthread_join(server->thread, NULL);
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (server->open[i].fd >= 0) {
            close(server->open[i].fd);
        }
    }
    close(server->listener);
    pthread_mutex_destroy(&server->lock);
    free(server);
}

uint16_t
script_server_port(const script_server_t *server)
{
    return server->port;
}

unsigned
script_server_requests(script_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned requests = server->requests;
    pthread_mutex_unlock(&server->lock);
    return requests;
}

unsigned
script_server_connections(script_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned connections = server->connections;
    pthread_mutex_unlock(&server->lock);
    return connections;
}

bool
script_server_received(script_server_t *server, const char *text)
{
    pthread_mutex_lock(&server->lock);
    bool found = strstr(server->received, text) != NULL;
    pthread_mutex_unlock(&server->lock);
    return found;
}
