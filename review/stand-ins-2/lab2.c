#include "review/stand-ins-2/lab2.h"

#include "review/stand-ins-2/store2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    CHILDREN_MAX = 128,
    PATH_MAX_SIZE = 256,
    DAEMONS_MAX = 40,
    PORT_FIRST = 12000,
    PORTS = 18000
};

static int record_fd = -1;
static int64_t start_ms;
static char temporary[PATH_MAX_SIZE];
static pid_t children[CHILDREN_MAX];
static int child_count;
static uint16_t store_port;
static volatile int *slow_factor; /* shared with the servers' processes */

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
    return clock_ms() - start_ms;
}

void
lab_sleep_ms(int64_t ms)
{
    struct timespec left = {
        .tv_sec = ms / 1000,
        .tv_nsec = ms % 1000 * 1000000,
    };
    while (ms > 0 && nanosleep(&left, &left) != 0 && errno == EINTR) {
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
    char line[1024];
    int size =
        snprintf(line, sizeof(line), "%8.3f ", (double)lab_now_ms() / 1000);
    va_list arguments;
    va_start(arguments, format);
    int added = vsnprintf(line + size, sizeof(line) - (size_t)size - 1, format,
                          arguments);
    va_end(arguments);
    size += added < (int)sizeof(line) - size - 2
                ? added
                : (int)sizeof(line) - size - 2;
    line[size++] = '\n';
    /* One write each: the servers' processes append to the same file. */
    if (write(record_fd, line, (size_t)size) != size) {
        return;
    }
}

bool
lab_start(const char *folder)
{
    char path[PATH_MAX_SIZE];
    const char *base = getenv("TMPDIR");
    start_ms = clock_ms();
    (void)signal(SIGPIPE, SIG_IGN);
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record_fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
    snprintf(temporary, sizeof(temporary), "%s/yuccarun-review-XXXXXX",
             base != NULL ? base : "/tmp");
    void *shared = mmap(NULL, sizeof(*slow_factor), PROT_READ | PROT_WRITE,
                        MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (shared == MAP_FAILED) {
        return false;
    }
    slow_factor = shared;
    *slow_factor = 1;
    return record_fd >= 0 && mkdtemp(temporary) != NULL;
}

static void
end_processes(void)
{
    for (int i = 0; i < child_count; i++) {
        if (children[i] > 0) {
            (void)kill(children[i], SIGCONT);
            (void)kill(children[i], SIGKILL);
            (void)waitpid(children[i], NULL, 0);
        }
    }
    for (int i = 1; i <= DAEMONS_MAX; i++) {
        char path[PATH_MAX_SIZE + 32];
        snprintf(path, sizeof(path), "%s/d%d.conf", temporary, i);
        (void)unlink(path);
        snprintf(path, sizeof(path), "%s/d%d.log", temporary, i);
        if (getenv("KEEP_LOGS") == NULL) {
            (void)unlink(path);
        }
    }
    (void)rmdir(temporary);
}

int
lab_end(bool broken)
{
    lab_record("result: the rule %s", broken ? "was broken" : "held");
    end_processes();
    return broken ? 1 : 0;
}

void
lab_abort(const char *why)
{
    lab_record("cannot run: %s", why);
    fprintf(stderr, "cannot run: %s\n", why);
    end_processes();
    _exit(2);
}

static pid_t
child_note(pid_t pid)
{
    int free_slot = 0;
    while (free_slot < child_count && children[free_slot] != 0) {
        free_slot++;
    }
    if (pid < 0 || free_slot == CHILDREN_MAX) {
        lab_abort("fork");
    }
    child_count += free_slot == child_count ? 1 : 0;
    children[free_slot] = pid;
    return pid;
}

static void
child_kill(pid_t pid)
{
    for (int i = 0; i < child_count; i++) {
        if (children[i] == pid) {
            (void)kill(pid, SIGKILL);
            (void)waitpid(pid, NULL, 0);
            children[i] = 0;
        }
    }
}

/* --- sockets --- */

static struct sockaddr_in
loopback(uint16_t port)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
}

static int
listen_on(uint16_t port)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = loopback(port);
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 256) != 0) {
        lab_abort("listen");
    }
    return fd;
}

/* Whether nobody listens on the port or uses it. */
static bool
port_is_free(uint16_t port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = loopback(port);
    bool is_free =
        fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return is_free;
}

uint16_t
lab_free_port(void)
{
    /* Below the range from which the system takes ports for connections. */
    static uint32_t next;
    if (next == 0) {
        next = (uint32_t)getpid() * 61;
    }
    for (int tries = 0; tries < PORTS; tries++) {
        uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORTS);
        if (port_is_free(port)) {
            return port;
        }
    }
    lab_abort("no free port");
}

bool
lab_connect(lab_conn_t *conn, uint16_t port)
{
    int on = 1;
    struct sockaddr_in address = loopback(port);
    conn->size = 0;
    conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (conn->fd < 0) {
        return false;
    }
    (void)setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(conn->fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        lab_close(conn);
        return false;
    }
    return true;
}

void
lab_close(lab_conn_t *conn)
{
    if (conn->fd >= 0) {
        close(conn->fd);
    }
    conn->fd = -1;
    conn->size = 0;
}

bool
lab_send(const lab_conn_t *conn, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(conn->fd, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

void
lab_header(const lab_message_t *message, const char *name, char *out,
           size_t size)
{
    size_t length = strlen(name);
    const char *line = strchr(message->head, '\n');
    out[0] = '\0';
    for (; line != NULL; line = strchr(line, '\n')) {
        line++;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            line += length + 1;
            line += strspn(line, " ");
            snprintf(out, size, "%.*s", (int)strcspn(line, "\r\n"), line);
            return;
        }
    }
}

/* Take a whole message from what was received; false: it is not whole yet. */
static bool
conn_take(lab_conn_t *conn, lab_message_t *message)
{
    char value[32];
    conn->bytes[conn->size] = '\0';
    const char *end = strstr(conn->bytes, "\r\n\r\n");
    if (end == NULL) {
        return false;
    }
    size_t head_size = (size_t)(end - conn->bytes) + 4;
    if (head_size >= sizeof(message->head)) {
        return false;
    }
    memcpy(message->head, conn->bytes, head_size);
    message->head[head_size] = '\0';
    message->status = strncmp(message->head, "HTTP/1.1 ", 9) == 0
                          ? (int)strtol(message->head + 9, NULL, 10)
                          : 0;
    lab_header(message, "Content-Length", value, sizeof(value));
    size_t body_size = strtoul(value, NULL, 10);
    if (body_size >= sizeof(message->body) ||
        conn->size < head_size + body_size) {
        return false;
    }
    memcpy(message->body, conn->bytes + head_size, body_size);
    message->body[body_size] = '\0';
    message->body_size = body_size;
    conn->size -= head_size + body_size;
    memmove(conn->bytes, conn->bytes + head_size + body_size, conn->size);
    return true;
}

bool
lab_read(lab_conn_t *conn, lab_message_t *message, int64_t until_ms)
{
    while (!conn_take(conn, message)) {
        struct pollfd wait = {.fd = conn->fd, .events = POLLIN};
        int64_t left_ms = until_ms - lab_now_ms();
        if (left_ms <= 0 || conn->size + 1 >= sizeof(conn->bytes) ||
            poll(&wait, 1, (int)left_ms) <= 0) {
            return false;
        }
        ssize_t size = recv(conn->fd, conn->bytes + conn->size,
                            sizeof(conn->bytes) - conn->size - 1, 0);
        if (size <= 0) {
            return false;
        }
        conn->size += (size_t)size;
    }
    return true;
}

/* --- servers --- */

typedef struct {
    int fd;
    char id[64];
    const char *poison; /* NULL: none */
    int factor;         /* of the time that work takes */
    bool is_steady;     /* slow_factor does not apply */
} server_t;

static void
server_id(const lab_servers_t *servers, int index, char *id, size_t size)
{
    snprintf(id, size, "i-%s-%d-%d", servers->service, servers->first + index,
             servers->incarnation);
}

static void
server_answer(const server_t *server, const lab_conn_t *conn,
              const lab_message_t *request)
{
    char id[64];
    char expected[64];
    char out[512];
    char body[160];
    char target[256] = "";
    lab_header(request, "X-Yuccarun-Request-Id", id, sizeof(id));
    lab_header(request, "X-Yuccarun-Expect-Instance", expected,
               sizeof(expected));
    (void)sscanf(request->head, "%*s %255s", target);
    if (strcmp(expected, server->id) != 0) {
        int size = snprintf(out, sizeof(out),
                            "HTTP/1.1 421 Misdirected Request\r\n"
                            "X-Yuccarun-Request-Id: %s\r\n"
                            "X-Yuccarun-Instance-Id: %s\r\n"
                            "Content-Length: 0\r\n\r\n",
                            id, server->id);
        (void)lab_send(conn, out, (size_t)size);
        return;
    }
    const char *work = strstr(target, "?ms=");
    if (server->poison != NULL &&
        strncmp(target, server->poison, strlen(server->poison)) == 0) {
        lab_record("crash id=%s server=%s", id, server->id);
        _exit(9);
    }
    lab_record("run id=%s server=%s target=%s body=%zu", id, server->id,
               target, request->body_size);
    lab_sleep_ms((work != NULL ? strtol(work + 4, NULL, 10) : 10) *
                 server->factor * (server->is_steady ? 1 : *slow_factor));
    int body_size = snprintf(body, sizeof(body), "%s by %s", id, server->id);
    int size = snprintf(out, sizeof(out),
                        "HTTP/1.1 200 OK\r\nX-Yuccarun-Request-Id: %s\r\n"
                        "X-Yuccarun-Answer-Stamp: %s.%s\r\n"
                        "Content-Length: %d\r\n\r\n%s",
                        id, server->id, id, body_size, body);
    (void)lab_send(conn, out, (size_t)size);
    lab_record("end id=%s server=%s", id, server->id);
}

typedef struct {
    server_t *server;
    lab_conn_t conn;
    lab_message_t message;
} serving_t;

static void *
serve_connection(void *argument)
{
    serving_t *serving = argument;
    while (lab_read(&serving->conn, &serving->message, INT32_MAX)) {
        server_answer(serving->server, &serving->conn, &serving->message);
    }
    lab_close(&serving->conn);
    free(serving);
    return NULL;
}

static void *
serve_listener(void *argument)
{
    server_t *server = argument;
    for (;;) {
        int on = 1;
        pthread_t thread;
        serving_t *serving = calloc(1, sizeof(*serving));
        if (serving == NULL) {
            _exit(3);
        }
        serving->server = server;
        serving->conn.fd = accept(server->fd, NULL, NULL);
        (void)setsockopt(serving->conn.fd, IPPROTO_TCP, TCP_NODELAY, &on,
                         sizeof(on));
        if (serving->conn.fd < 0 ||
            pthread_create(&thread, NULL, serve_connection, serving) != 0) {
            _exit(3);
        }
        pthread_detach(thread);
    }
    return NULL;
}

static _Noreturn void
servers_run(const int *fds, const lab_servers_t *servers)
{
    pthread_t thread;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (int i = 0; i < servers->count; i++) {
        server_t *server = calloc(1, sizeof(*server));
        if (server == NULL) {
            _exit(3);
        }
        server->fd = fds[i];
        server_id(servers, i, server->id, sizeof(server->id));
        server->poison = servers->poison;
        server->is_steady = servers->is_steady;
        server->factor = servers->slow_factor > 0 && servers->slow_index == i
                             ? servers->slow_factor
                             : 1;
        if (pthread_create(&thread, NULL, serve_listener, server) != 0) {
            _exit(3);
        }
    }
    for (;;) {
        pause();
    }
}

void
lab_servers_start(lab_servers_t *servers)
{
    int fds[LAB_SERVERS_MAX];
    servers->incarnation++;
    for (int i = 0; i < servers->count; i++) {
        if (servers->ports[i] == 0) {
            servers->ports[i] = lab_free_port();
        }
        fds[i] = listen_on(servers->ports[i]);
    }
    pid_t pid = fork();
    if (pid == 0) {
        servers_run(fds, servers);
    }
    servers->pid = child_note(pid);
    for (int i = 0; i < servers->count; i++) {
        close(fds[i]);
    }
}

void
lab_servers_slow(int factor)
{
    lab_record("work takes %d times as long", factor);
    *slow_factor = factor;
}

void
lab_servers_beat(const lab_servers_t *servers)
{
    static int seq;
    for (int i = 0; i < servers->count; i++) {
        char id[64];
        char key[96];
        char value[256];
        server_id(servers, i, id, sizeof(id));
        snprintf(key, sizeof(key), "servers/%s", id);
        snprintf(value, sizeof(value),
                 "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\","
                 "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":%d,"
                 "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%d,"
                 "\"born\":%d}",
                 servers->service, servers->ports[i], servers->slots, seq,
                 1000 + servers->incarnation);
        lab_put(key, value);
    }
    seq++;
}

void
lab_servers_kill(lab_servers_t *servers)
{
    child_kill(servers->pid);
    servers->pid = 0;
}

/* Collect a child that has ended by itself; false: it has not. */
static bool
child_collect(pid_t *pid)
{
    if (*pid == 0 || waitpid(*pid, NULL, WNOHANG) == 0) {
        return false;
    }
    for (int i = 0; i < child_count; i++) {
        children[i] = children[i] == *pid ? 0 : children[i];
    }
    *pid = 0;
    return true;
}

bool
lab_servers_ended(lab_servers_t *servers)
{
    return child_collect(&servers->pid);
}

void
lab_servers_remove(const lab_servers_t *servers)
{
    for (int i = 0; i < servers->count; i++) {
        char id[64];
        char key[96];
        server_id(servers, i, id, sizeof(id));
        snprintf(key, sizeof(key), "servers/%s", id);
        lab_remove(key);
    }
}

/* --- daemons --- */

static void
daemon_write_settings(const lab_daemon_t *daemon, const char *path,
                      uint16_t seed)
{
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        lab_abort("settings file");
        return;
    }
    fprintf(file,
            "node_name=%s\nrole=daemon\nclass=front\n"
            "serves=front,control,directory\nip=127.0.0.1\nzone=zone-a\n"
            "region=r\nzones.zone-a=r\nlisten.front=127.0.0.1:%u\n"
            "listen.ready_addr=127.0.0.1:%u\nlisten.control=127.0.0.1:%u\n"
            "listen.directory=127.0.0.1:%u\nseeds=127.0.0.1:%u\n"
            "bootstrap=false\n",
            daemon->name, daemon->front, daemon->ready, daemon->control,
            daemon->directory, seed);
    fprintf(file,
            "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
            "limits.max_fds=4100\nlimits.link_mbps=1000.0\n"
            "heartbeat_ms=%d\nbounds.stable_ms=4000\nbounds.drain_ms=3000\n"
            "bounds.grace_s=6\nbounds.converge_ms=3000\n"
            "bounds.retry_ratio=0.2\nbounds.retry_slack=52\n"
            "bounds.ttl_max_s=5\nplatform.addr=127.0.0.1:%u\n"
            "platform.form=kv\nplatform.writes_per_s=400\n"
            "platform.reads_per_s=2000\nplatform.history_s=20\n"
            "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n",
            LAB_HEARTBEAT_MS, store_port);
    fprintf(file, "%s", daemon->settings != NULL ? daemon->settings : "");
    fclose(file);
}

void
lab_daemon_start(lab_daemon_t *daemon, int number)
{
    static uint16_t seed;
    char settings[PATH_MAX_SIZE + 32];
    char log[PATH_MAX_SIZE + 32];
    if (daemon->front == 0) {
        snprintf(daemon->name, sizeof(daemon->name), "d%d", number);
        daemon->front = lab_free_port();
        daemon->ready = lab_free_port();
        daemon->control = lab_free_port();
        daemon->directory = lab_free_port();
        seed = seed == 0 ? daemon->control : seed;
    }
    snprintf(settings, sizeof(settings), "%s/%s.conf", temporary,
             daemon->name);
    snprintf(log, sizeof(log), "%s/%s.log", temporary, daemon->name);
    daemon_write_settings(daemon, settings, seed);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (fd < 0 || dup2(fd, STDOUT_FILENO) < 0 ||
            dup2(fd, STDERR_FILENO) < 0 ||
            setenv("YUCCARUN_BOOT", settings, 1) != 0) {
            _exit(126);
        }
        execl("target/yuccarun-tier", "target/yuccarun-tier", (char *)NULL);
        _exit(127);
    }
    daemon->pid = child_note(pid);
    lab_record("start %s front=%u", daemon->name, daemon->front);
}

void
lab_daemon_signal(const lab_daemon_t *daemon, int number)
{
    lab_record("signal %s %s", daemon->name, strsignal(number));
    (void)kill(daemon->pid, number);
}

bool
lab_daemon_ended(lab_daemon_t *daemon)
{
    bool ended = child_collect(&daemon->pid);
    if (ended) {
        lab_record("ended %s", daemon->name);
    }
    return ended;
}

bool
lab_daemon_wait_ready(const lab_daemon_t *daemon)
{
    static const char call[] = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    lab_conn_t conn;
    lab_message_t answer;
    int64_t until_ms = lab_now_ms() + 20000;
    while (lab_now_ms() < until_ms) {
        bool is_ready = lab_connect(&conn, daemon->ready) &&
                        lab_send(&conn, call, sizeof(call) - 1) &&
                        lab_read(&conn, &answer, lab_now_ms() + 1000) &&
                        answer.status == 200;
        lab_close(&conn);
        if (is_ready) {
            return true;
        }
        lab_sleep_ms(100);
    }
    return false;
}

/* --- the store --- */

typedef struct {
    lab_conn_t conn;
    lab_message_t call;
} store_conn_t;

static void *
store_connection(void *argument)
{
    store_conn_t *served = argument;
    while (lab_read(&served->conn, &served->call, INT32_MAX)) {
        char *answer = store2_call(served->call.head, served->call.body);
        bool sent =
            answer != NULL && lab_send(&served->conn, answer, strlen(answer));
        free(answer);
        if (!sent) {
            break;
        }
    }
    lab_close(&served->conn);
    free(served);
    return NULL;
}

static void *
store_listener(void *argument)
{
    int fd = *(int *)argument;
    for (;;) {
        pthread_t thread;
        store_conn_t *served = calloc(1, sizeof(*served));
        if (served == NULL) {
            _exit(3);
        }
        served->conn.fd = accept(fd, NULL, NULL);
        if (served->conn.fd < 0 ||
            pthread_create(&thread, NULL, store_connection, served) != 0) {
            _exit(3);
        }
        pthread_detach(thread);
    }
    return NULL;
}

void
lab_store_start(void)
{
    static int fd;
    pthread_t thread;
    store_port = lab_free_port();
    fd = listen_on(store_port);
    if (pthread_create(&thread, NULL, store_listener, &fd) != 0) {
        lab_abort("thread");
    }
    pthread_detach(thread);
}

void
lab_put(const char *key, const char *value)
{
    store2_put(key, value);
}

void
lab_remove(const char *key)
{
    store2_put(key, NULL);
}
