#include "review/stand-ins/lab.h"

#include "t/lib/tier_store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    LAB_TIMEOUT_S = 110,
    LAB_READY_TIMEOUT_MS = 10000,
    LAB_STACK_BYTES = 1 << 20,
    PORTS = 5
};

enum { PORT_FRONT, PORT_READY, PORT_CONTROL, PORT_DIRECTORY, PORT_STORE };

/* The program that the deploy file runs, from the repository's root. */
static const char daemon_program[] = "target/yuccarun-tier";

/* A write to the store that waits for the store's thread. */
typedef struct put {
    char key[128];
    char *value;
    struct put *next;
} put_t;

static struct {
    FILE *record;
    pthread_mutex_t lock;
    char folder[64];
    char settings[96];
    char log[96];
    int64_t start_ms;
    uint16_t ports[PORTS];
    struct ev_loop *loop;
    tier_store_t *store;
    bool store_runs; /* in a thread of its own, which alone may use it */
    ev_async put_async;
    put_t *puts; /* for that thread, the last one first */
    pid_t daemon;
    int64_t daemon_started_ms;
    bool daemon_ended;
    int daemon_status;
} lab = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int64_t
clock_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
lab_now_ms(void)
{
    return clock_ms() - lab.start_ms;
}

void
lab_sleep_ms(int64_t ms)
{
    struct timespec left = {
        .tv_sec = ms / 1000,
        .tv_nsec = ms % 1000 * 1000000,
    };
    while (nanosleep(&left, &left) != 0 && errno == EINTR) {
    }
}

bool
lab_has_trouble(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

void
lab_record(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    pthread_mutex_lock(&lab.lock);
    fprintf(lab.record, "%7lld ", (long long)lab_now_ms());
    vfprintf(lab.record, format, args);
    fputc('\n', lab.record);
    pthread_mutex_unlock(&lab.lock);
    va_end(args);
}

static void
daemon_kill(void)
{
    if (lab.daemon > 0 && !lab.daemon_ended) {
        kill(lab.daemon, SIGCONT);
        kill(lab.daemon, SIGKILL);
        while (waitpid(lab.daemon, NULL, 0) < 0 && errno == EINTR) {
        }
        lab.daemon = 0;
    }
}

int
lab_close(int code)
{
    static const char *const results[] = {
        [LAB_HELD] = "the rule held",
        [LAB_BROKEN] = "the rule was broken",
        [LAB_NOT_RUN] = "the case could not run",
    };
    daemon_kill();
    unlink(lab.settings);
    unlink(lab.log);
    rmdir(lab.folder);
    lab_record("result: %s", results[code]);
    printf("%s\n", results[code]);
    fclose(lab.record);
    return code;
}

/* The case cannot run. */
static void
lab_fail(const char *what)
{
    int error = errno;
    lab_record("%s: %s", what, strerror(error));
    fprintf(stderr, "%s: %s\n", what, strerror(error));
    /* Other threads may still run, so exit handlers are left out. */
    _exit(lab_close(LAB_NOT_RUN));
}

static void *
watchdog_run(void *data)
{
    (void)data;
    lab_sleep_ms(LAB_TIMEOUT_S * 1000);
    errno = ETIMEDOUT;
    lab_fail("the case");
    return NULL;
}

static void
thread_start(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, LAB_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    errno = pthread_create(&thread, &attributes, run, data);
    if (errno != 0) {
        lab_fail("thread");
    }
    pthread_attr_destroy(&attributes);
}

static struct sockaddr_in
loopback(uint16_t port)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
}

/* A socket that is bound to a free port of 127.0.0.1. */
static int
socket_bind(uint16_t *port)
{
    struct sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    if (fd < 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        lab_fail("bind");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

uint16_t
lab_free_port(void)
{
    uint16_t port;
    close(socket_bind(&port));
    return port;
}

void
lab_open(const char *folder)
{
    char path[128];
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    lab.start_ms = clock_ms();
    lab.record = fopen(path, "we");
    if (lab.record == NULL) {
        perror(path);
        exit(LAB_NOT_RUN);
    }
    const char *temporary = getenv("TMPDIR");
    if (temporary == NULL || strlen(temporary) > 40) {
        temporary = "/tmp";
    }
    snprintf(lab.folder, sizeof(lab.folder), "%s/review.XXXXXX", temporary);
    if (mkdtemp(lab.folder) == NULL) {
        lab_fail("temporary folder");
    }
    snprintf(lab.settings, sizeof(lab.settings), "%s/node.conf", lab.folder);
    snprintf(lab.log, sizeof(lab.log), "%s/log", lab.folder);
    (void)signal(SIGPIPE, SIG_IGN);
    /* All ports are held until the last is known, so that they differ. */
    int fds[PORTS];
    for (int i = 0; i < PORTS; i++) {
        fds[i] = socket_bind(&lab.ports[i]);
    }
    for (int i = 0; i < PORTS; i++) {
        close(fds[i]);
    }
    struct sockaddr_in address = loopback(lab.ports[PORT_STORE]);
    lab.loop = ev_loop_new(EVBACKEND_EPOLL);
    lab.store = tier_store_new(lab.loop, &address);
    thread_start(watchdog_run, NULL);
    lab_record("disruption: %s", lab_has_trouble() ? "yes" : "no");
}

/* --- servers ------------------------------------------------------------ */

bool
lab_write(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

bool
lab_print(int fd, const char *format, ...)
{
    char text[8192];
    va_list args;
    va_start(args, format);
    int size = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    return size > 0 && (size_t)size < sizeof(text) &&
           lab_write(fd, text, (size_t)size);
}

bool
head_value(const char *head, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    const char *line = head;
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            value += strspn(value, " ");
            snprintf(out, size, "%.*s", (int)strcspn(value, "\r"), value);
            return true;
        }
    }
    return false;
}

/* Wait until the socket can be read; false: not within timeout_ms. */
static bool
fd_wait(int fd, int64_t timeout_ms)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
    int64_t until_ms = clock_ms() + timeout_ms;
    int ready;
    do {
        int64_t left_ms = until_ms - clock_ms();
        ready = poll(&poll_fd, 1, left_ms > 0 ? (int)left_ms : 0);
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

/* Read a message's head byte by byte, so that nothing after it is taken;
   false: the connection ended or the time is over. */
static bool
head_read(int fd, char *head, size_t size, int64_t timeout_ms)
{
    int64_t until_ms = clock_ms() + timeout_ms;
    size_t length = 0;
    while (length + 1 < size) {
        if (!fd_wait(fd, until_ms - clock_ms()) ||
            recv(fd, head + length, 1, 0) != 1) {
            return false;
        }
        head[++length] = '\0';
        if (length >= 4 && strcmp(head + length - 4, "\r\n\r\n") == 0) {
            return true;
        }
    }
    return false;
}

/* Read a body of known size; NULL: the connection ended or the time is
   over. */
static char *
body_read(int fd, size_t size, int64_t timeout_ms)
{
    int64_t until_ms = clock_ms() + timeout_ms;
    char *body = size <= LAB_BODY_SIZE ? malloc(size + 1) : NULL;
    size_t have = 0;
    while (body != NULL && have < size) {
        ssize_t got = -1;
        if (fd_wait(fd, until_ms - clock_ms())) {
            got = recv(fd, body + have, size - have, 0);
        }
        if (got <= 0) {
            free(body);
            return NULL;
        }
        have += (size_t)got;
    }
    if (body != NULL) {
        body[size] = '\0';
    }
    return body;
}

/* Read a request; false: the connection has ended. */
static bool
request_read(int fd, lab_request_t *request)
{
    char head[LAB_HEAD_SIZE];
    char length[32];
    int64_t idle_ms = (int64_t)LAB_TIMEOUT_S * 1000;
    *request = (lab_request_t){0};
    if (!head_read(fd, head, sizeof(head), idle_ms) ||
        sscanf(head, "%15s %255s", request->method, request->target) != 2) {
        return false;
    }
    (void)head_value(head, "X-Yuccarun-Request-Id", request->id,
                     sizeof(request->id));
    (void)head_value(head, "X-Yuccarun-Expect-Instance", request->expected,
                     sizeof(request->expected));
    if (head_value(head, "Content-Length", length, sizeof(length))) {
        request->body_size = strtoull(length, NULL, 10);
    }
    request->body = body_read(fd, request->body_size, idle_ms);
    return request->body != NULL;
}

/* Requests for another incarnation are not run, as the pages say. */
static bool
connection_handle(lab_connection_t *connection, const lab_request_t *request)
{
    const lab_server_t *server = connection->server;
    if (request->expected[0] != '\0' &&
        strcmp(request->expected, server->id) != 0) {
        return lab_print(connection->fd,
                         "HTTP/1.1 421 Misdirected Request\r\n"
                         "X-Yuccarun-Instance-Id: %s\r\n"
                         "Content-Length: 0\r\n\r\n",
                         server->id);
    }
    return server->handle(connection, request);
}

static void *
connection_run(void *data)
{
    lab_connection_t *connection = data;
    lab_request_t request;
    bool open = true;
    while (open && request_read(connection->fd, &request)) {
        connection->requests++;
        open = connection_handle(connection, &request);
        free(request.body);
    }
    close(connection->fd);
    free(connection->data);
    free(connection);
    return NULL;
}

static void *
server_run(void *data)
{
    lab_server_t *server = data;
    while (true) {
        int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
        lab_connection_t *connection = calloc(1, sizeof(*connection));
        if (fd < 0 || connection == NULL) {
            lab_fail("accept");
            return NULL;
        }
        connection->server = server;
        connection->fd = fd;
        connection->number = ++server->connections;
        thread_start(connection_run, connection);
    }
}

void
lab_server_listen(lab_server_t *server)
{
    server->fd = socket_bind(&server->port);
    if (listen(server->fd, 128) != 0) {
        lab_fail("listen");
    }
    thread_start(server_run, server);
}

void
lab_server_start(lab_server_t *server)
{
    char address[32];
    lab_server_listen(server);
    snprintf(address, sizeof(address), "127.0.0.1:%u", server->port);
    lab_entry_put(server, address);
}

/* --- the store and the daemon ---------------------------------------------
 */

void
lab_store_put(const char *key, const char *value)
{
    if (!lab.store_runs) {
        tier_store_put(lab.store, key, value);
        return;
    }
    put_t *put = calloc(1, sizeof(*put));
    char *copy = strdup(value);
    if (put == NULL || copy == NULL) {
        free(put);
        free(copy);
        lab_fail("memory");
        return;
    }
    snprintf(put->key, sizeof(put->key), "%s", key);
    put->value = copy;
    pthread_mutex_lock(&lab.lock);
    put->next = lab.puts;
    lab.puts = put;
    pthread_mutex_unlock(&lab.lock);
    ev_async_send(lab.loop, &lab.put_async);
}

static void
store_puts(struct ev_loop *loop, ev_async *async, int events)
{
    (void)loop;
    (void)async;
    (void)events;
    pthread_mutex_lock(&lab.lock);
    put_t *put = lab.puts;
    lab.puts = NULL;
    pthread_mutex_unlock(&lab.lock);
    while (put != NULL) {
        put_t *next = put->next;
        tier_store_put(lab.store, put->key, put->value);
        free(put->value);
        free(put);
        put = next;
    }
}

static void *
store_run(void *data)
{
    (void)data;
    ev_run(lab.loop, 0);
    return NULL;
}

void
lab_entry_put(const lab_server_t *server, const char *address)
{
    char key[128];
    char entry[512];
    snprintf(key, sizeof(key), "servers/%s", server->id);
    snprintf(entry, sizeof(entry),
             "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":"
             "\"zone-a\",\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
             "\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}",
             server->service, address, server->slots);
    lab_store_put(key, entry);
}

/* The settings of a machine of the site sbpo-yucca, in a fleet of one. */
static void
settings_write(void)
{
    FILE *file = fopen(lab.settings, "we");
    if (file == NULL) {
        lab_fail(lab.settings);
        return;
    }
    fprintf(file,
            "node_name=front-zone-a-1\nrole=daemon\nclass=front\n"
            "serves=front,control,directory\nip=127.0.0.1\nzone=zone-a\n"
            "region=bengal\nzones.zone-a=bengal\n"
            "listen.front=127.0.0.1:%u\nlisten.ready_addr=127.0.0.1:%u\n"
            "listen.control=127.0.0.1:%u\nlisten.directory=127.0.0.1:%u\n"
            "seeds=127.0.0.1:%u\nbootstrap=true\n"
            "platform.addr=127.0.0.1:%u\nplatform.form=kv\n",
            lab.ports[PORT_FRONT], lab.ports[PORT_READY],
            lab.ports[PORT_CONTROL], lab.ports[PORT_DIRECTORY],
            lab.ports[PORT_CONTROL], lab.ports[PORT_STORE]);
    fprintf(file, "platform.writes_per_s=400\nplatform.reads_per_s=2000\n"
                  "platform.history_s=20\nplatform.value_bytes=1048576\n"
                  "platform.min_ttl_ms=1000\nheartbeat_ms=1200\n"
                  "limits.cpu_share=0.25\nlimits.cores=1\n"
                  "limits.memory_mb=260\nlimits.max_fds=4100\n"
                  "limits.link_mbps=1000.0\nbounds.stable_ms=4000\n"
                  "bounds.drain_ms=3000\nbounds.grace_s=6\n"
                  "bounds.loss_slack_ms=200\nbounds.converge_ms=3000\n"
                  "bounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
                  "bounds.retry_slack=52\nbounds.ttl_max_s=5\n");
    fclose(file);
}

static void
daemon_exec(void)
{
    char boot[128];
    char path[] = "PATH=/usr/local/bin:/usr/bin:/bin";
    char *const environment[] = {boot, path, NULL};
    char *const arguments[] = {(char *)daemon_program, NULL};
    snprintf(boot, sizeof(boot), "YUCCARUN_BOOT=%s", lab.settings);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(lab.log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (fd >= 0 && dup2(fd, STDOUT_FILENO) >= 0 &&
        dup2(fd, STDERR_FILENO) >= 0) {
        execve(daemon_program, arguments, environment);
    }
    _exit(127);
}

bool
lab_daemon_is_ready(void)
{
    struct sockaddr_in address = loopback(lab.ports[PORT_READY]);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    char head[LAB_HEAD_SIZE] = "";
    bool answered =
        connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        lab_print(fd, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        head_read(fd, head, sizeof(head), 1000);
    close(fd);
    return answered && strncmp(head, "HTTP/1.1 200", 12) == 0;
}

void
lab_daemon_start(void)
{
    ev_async_init(&lab.put_async, store_puts);
    ev_async_start(lab.loop, &lab.put_async);
    lab.store_runs = true;
    thread_start(store_run, NULL);
    settings_write();
    lab.daemon = fork();
    if (lab.daemon < 0) {
        lab_fail("fork");
    }
    if (lab.daemon == 0) {
        daemon_exec();
    }
    lab.daemon_started_ms = lab_now_ms();
    int64_t until_ms = lab_now_ms() + LAB_READY_TIMEOUT_MS;
    while (!lab_daemon_is_ready()) {
        if (lab_now_ms() > until_ms || lab_daemon_has_ended(NULL)) {
            errno = ETIMEDOUT;
            lab_fail("the daemon is not ready");
        }
        lab_sleep_ms(100);
    }
    lab_record("the daemon is ready");
}

void
lab_daemon_settle(void)
{
    int64_t since_ms = lab_now_ms() - lab.daemon_started_ms;
    int64_t wait_ms = LAB_STABLE_MS + 1000 - since_ms;
    if (wait_ms > 0) {
        lab_sleep_ms(wait_ms);
    }
}

pid_t
lab_daemon_pid(void)
{
    return lab.daemon;
}

bool
lab_daemon_has_ended(int *status)
{
    int ended;
    if (!lab.daemon_ended && lab.daemon > 0 &&
        waitpid(lab.daemon, &ended, WNOHANG) == lab.daemon) {
        lab.daemon_ended = true;
        lab.daemon_status = ended;
        lab_record("the daemon has ended by itself: %s %d",
                   WIFSIGNALED(ended) ? "signal" : "exit code",
                   WIFSIGNALED(ended) ? WTERMSIG(ended) : WEXITSTATUS(ended));
    }
    if (lab.daemon_ended && status != NULL) {
        *status = lab.daemon_status;
    }
    return lab.daemon_ended;
}

/* --- clients --------------------------------------------------------------
 */

int
client_open(void)
{
    struct sockaddr_in address = loopback(lab.ports[PORT_FRONT]);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 &&
        connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
client_read(int fd, client_response_t *response, int64_t timeout_ms)
{
    char length[32];
    size_t size = 0;
    response->status = 0;
    response->body = NULL;
    response->body_size = 0;
    if (!head_read(fd, response->head, sizeof(response->head), timeout_ms) ||
        sscanf(response->head, "HTTP/1.1 %d", &response->status) != 1) {
        response->status = 0;
        return false;
    }
    if (head_value(response->head, "Content-Length", length, sizeof(length))) {
        size = strtoull(length, NULL, 10);
    }
    response->body = body_read(fd, size, timeout_ms);
    response->body_size = size;
    return response->body != NULL;
}
