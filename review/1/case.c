/*
 * One client sends a request with many header fields and a chunked body that
 * ends with a trailer field. The daemon must answer it or turn it away, and
 * must go on serving the others.
 */
#include "review/stand-ins/lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    SLOTS = 3, /* the sheet's recon-night */
    WORK_MS = 220,
    SERVERS = 4,
    CLIENTS = 8,
    TIMEOUT_MS = 5000,
    /* Header fields of the request, of 9 bytes each; far below the limit of
       16384 bytes. */
    FIELDS = 96,
    FIELDS_NAMED = 5, /* of these, written out in request_write */
    FIRST_MS = 1500,  /* time for the first requests */
    LOST_MAX = 3      /* connections that may be lost in this way */
};

static struct {
    pthread_mutex_t lock;
    uint32_t running;
    uint32_t lost;
    uint32_t answered;
    int64_t second_ms; /* when the second requests are sent */
} state = {.lock = PTHREAD_MUTEX_INITIALIZER};

typedef struct {
    uint32_t number;
    int fd;
} client_t;

static bool
handle(lab_connection_t *connection, const lab_request_t *request)
{
    pthread_mutex_lock(&state.lock);
    state.running++;
    pthread_mutex_unlock(&state.lock);
    lab_record("run id=%s server=%s body=%zu", request->id,
               connection->server->id, request->body_size);
    lab_sleep_ms(WORK_MS);
    pthread_mutex_lock(&state.lock);
    state.running--;
    pthread_mutex_unlock(&state.lock);
    return lab_print(connection->fd,
                     "HTTP/1.1 200 OK\r\nX-Yuccarun-Request-Id: %s\r\n"
                     "X-Yuccarun-Answer-Stamp: %s.%s\r\n"
                     "Content-Length: 2\r\n\r\nok",
                     request->id, connection->server->id, request->id);
}

/* Send one request and read its answer; true: there was one. */
static bool
client_call(const client_t *client, uint32_t n)
{
    static __thread client_response_t response;
    response.status = 0;
    bool answered = lab_print(client->fd,
                              "GET /recon/get HTTP/1.1\r\n"
                              "Host: a.example\r\n"
                              "X-Yuccarun-Request-Id: c%02u-%06u\r\n"
                              "X-Yuccarun-Deadline-Ms: %d\r\n\r\n",
                              client->number, n, TIMEOUT_MS) &&
                    client_read(client->fd, &response, TIMEOUT_MS + 1000);
    free(response.body);
    response.body = NULL;
    lab_record("answer id=c%02u-%06u status=%d%s", client->number, n,
               response.status,
               answered ? "" : " (the connection was closed)");
    return answered;
}

/* The first request keeps the connection; the second is under way when the
   odd request comes. */
static void *
client_run(void *data)
{
    client_t *client = data;
    client->fd = client_open();
    bool kept = client_call(client, 1);
    while (kept && lab_now_ms() < state.second_ms) {
        lab_sleep_ms(5);
    }
    bool answered = kept && client_call(client, 2);
    pthread_mutex_lock(&state.lock);
    state.answered += answered ? 1 : 0;
    state.lost += kept && !answered ? 1 : 0;
    pthread_mutex_unlock(&state.lock);
    if (kept && !answered) {
        lab_record("LOST id=c%02u-000002: passed on, and its connection was "
                   "closed without an answer",
                   client->number);
    }
    close(client->fd);
    return NULL;
}

static void
request_write(int fd)
{
    char text[4096];
    int size = snprintf(text, sizeof(text),
                        "POST /recon/post HTTP/1.1\r\nHost: a.example\r\n"
                        "X-Yuccarun-Request-Id: odd-000001\r\n"
                        "X-Yuccarun-Deadline-Ms: %d\r\n"
                        "Content-Type: text/plain\r\n"
                        "Transfer-Encoding: chunked\r\n",
                        TIMEOUT_MS);
    for (int i = FIELDS_NAMED; i < FIELDS; i++) {
        size += snprintf(text + size, sizeof(text) - (size_t)size,
                         "X-%02d: a\r\n", i);
    }
    size += snprintf(text + size, sizeof(text) - (size_t)size,
                     "\r\n6\r\nrecord\r\n0\r\n%s\r\n",
                     lab_has_trouble() ? "X-Sum: 1\r\n" : "");
    lab_record("the odd request: %d bytes, %d header fields, %s", size, FIELDS,
               lab_has_trouble() ? "a trailer field" : "no trailer field");
    (void)lab_write(fd, text, (size_t)size);
}

int
main(void)
{
    static const char *const ids[SERVERS] = {"i-1", "i-2", "i-3", "i-4"};
    static lab_server_t servers[SERVERS];
    static client_t clients[CLIENTS];
    static client_response_t response;
    pthread_t threads[CLIENTS];
    lab_open("review/1");
    for (uint32_t i = 0; i < SERVERS; i++) {
        servers[i] = (lab_server_t){
            .id = ids[i],
            .service = "recon",
            .slots = SLOTS,
            .handle = handle,
        };
        lab_server_start(&servers[i]);
    }
    lab_store_put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"recon-fetch\",\"host\":"
        "\"a.example\",\"prefix\":\"/recon/\",\"type\":\"idempotent\","
        "\"timeout_ms\":5000,\"goal_ms\":800,\"priority\":2,\"service\":"
        "\"recon\",\"attempts\":2}],\"services\":[{\"name\":\"recon\","
        "\"health_path\":\"/health\",\"max_conns\":96,\"warmup_s\":3,"
        "\"cold_per_s\":0}],\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000}}");
    lab_daemon_start();
    lab_daemon_settle();
    state.second_ms = lab_now_ms() + FIRST_MS;
    for (uint32_t i = 0; i < CLIENTS; i++) {
        clients[i].number = i;
        pthread_create(&threads[i], NULL, client_run, &clients[i]);
    }
    int64_t until_ms = state.second_ms + WORK_MS;
    for (uint32_t running = 0; running < CLIENTS && lab_now_ms() < until_ms;) {
        lab_sleep_ms(2);
        pthread_mutex_lock(&state.lock);
        running = lab_now_ms() > state.second_ms ? state.running : 0;
        pthread_mutex_unlock(&state.lock);
    }
    int fd = client_open();
    request_write(fd);
    bool answered = client_read(fd, &response, TIMEOUT_MS);
    free(response.body);
    lab_record("the odd request: %s, status=%d",
               answered ? "answered" : "no answer", response.status);
    close(fd);
    for (uint32_t i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    lab_sleep_ms(200);
    bool ended = lab_daemon_has_ended(NULL);
    lab_record("answered=%u lost=%u; the daemon %s", state.answered,
               state.lost, ended ? "has ended by itself" : "runs");
    if (state.answered + state.lost < CLIENTS) {
        return lab_close(LAB_NOT_RUN);
    }
    return lab_close(state.lost > LOST_MAX ? LAB_BROKEN : LAB_HELD);
}
