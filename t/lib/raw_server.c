#include "t/lib/raw_server.h"

#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    REQUEST_MAX = 65536,
    LAST_SIZE = 1024, /* bytes kept of the last request */
    URL_SIZE = 64
};

struct raw_server {
    int listener;
    bool keep_alive;
    const char *reply;
    char url[URL_SIZE];
    pthread_t thread;
    pthread_mutex_t lock;
    unsigned int requests;
    char last[LAST_SIZE];
    bool stopping;
    int connection; /* open connection; -1: none */
};

static int
listener_new(uint16_t *port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) != 0 ||
        listen(fd, 16) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        perror("raw server");
        exit(1);
    }
    *port = ntohs(address.sin_port);
    return fd;
}

uint16_t
raw_server_free_port(void)
{
    uint16_t port;
    close(listener_new(&port));
    return port;
}

/* Returns the size of the first request in text; 0: not complete yet. */
static size_t
request_size(const char *text, size_t size)
{
    const char *end = memmem(text, size, "\r\n\r\n", 4);
    if (end == NULL) {
        return 0;
    }
    size_t head = (size_t)(end - text) + 4;
    const char *length = strcasestr(text, "content-length:");
    size_t body = length != NULL && length < end
                      ? strtoul(length + strlen("content-length:"), NULL, 10)
                      : 0;
    return head + body <= size ? head + body : 0;
}

/* Reads one request; returns false if the connection ends before its end. */
static bool
request_read(int fd, char *text)
{
    size_t size = 0;
    while (size < REQUEST_MAX - 1) {
        ssize_t got = recv(fd, text + size, REQUEST_MAX - 1 - size, 0);
        if (got <= 0) {
            return false;
        }
        size += (size_t)got;
        text[size] = '\0';
        if (request_size(text, size) > 0) {
            return true;
        }
    }
    return false;
}

static void
server_serve(raw_server_t *server, int fd)
{
    char *text = malloc(REQUEST_MAX);
    unsigned int served = 0;
    while (text != NULL && request_read(fd, text)) {
        pthread_mutex_lock(&server->lock);
        server->requests++;
        memcpy(server->last, text, strnlen(text, LAST_SIZE - 1) + 1);
        server->last[LAST_SIZE - 1] = '\0';
        pthread_mutex_unlock(&server->lock);
        served++;
        if (server->reply != NULL && served == 1) {
            (void)send(fd, server->reply, strlen(server->reply), MSG_NOSIGNAL);
        }
        if (!server->keep_alive || served > 1) {
            break;
        }
    }
    free(text);
}

static void *
server_run(void *user)
{
    raw_server_t *server = user;
    for (;;) {
        int fd = accept(server->listener, NULL, NULL);
        pthread_mutex_lock(&server->lock);
        bool stopping = server->stopping;
        server->connection = stopping ? -1 : fd;
        pthread_mutex_unlock(&server->lock);
        if (stopping || fd < 0) {
            if (fd >= 0) {
                close(fd);
            }
            return NULL;
        }
        server_serve(server, fd);
        pthread_mutex_lock(&server->lock);
        server->connection = -1;
        pthread_mutex_unlock(&server->lock);
        close(fd);
    }
}

raw_server_t *
raw_server_new(const char *reply, bool keep_alive)
{
    raw_server_t *server = calloc(1, sizeof(*server));
    if (server == NULL) {
        return NULL;
    }
    uint16_t port;
    server->listener = listener_new(&port);
    server->reply = reply;
    server->keep_alive = keep_alive;
    server->connection = -1;
    snprintf(server->url, sizeof(server->url), "http://127.0.0.1:%u",
             (unsigned int)port);
    pthread_mutex_init(&server->lock, NULL);
    pthread_create(&server->thread, NULL, server_run, server);
    return server;
}

void
raw_server_free(raw_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    server->stopping = true;
    if (server->connection >= 0) {
        shutdown(server->connection, SHUT_RDWR);
    }
    pthread_mutex_unlock(&server->lock);
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    pthread_mutex_destroy(&server->lock);
    free(server);
}

const char *
raw_server_url(const raw_server_t *server)
{
    return server->url;
}

unsigned int
raw_server_requests(raw_server_t *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned int requests = server->requests;
    pthread_mutex_unlock(&server->lock);
    return requests;
}

bool
raw_server_last_contains(raw_server_t *server, const char *text)
{
    pthread_mutex_lock(&server->lock);
    bool found = strcasestr(server->last, text) != NULL;
    pthread_mutex_unlock(&server->lock);
    return found;
}
