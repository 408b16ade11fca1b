/*
 * A faulty server spoils some of its answers: they are chunked, end with a
 * trailer field and bear no stamp. Such bytes must not reach a client as a
 * success, least of all with the stamp of an earlier answer.
 */
#include "review/stand-ins/lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    /* The sheet's recon-night: 3 slots, 220 ms of work. */
    SLOTS = 3,
    WORK_MS = 220,
    SERVERS = 2,
    CLIENTS = 6,
    TIMEOUT_MS = 5000,
    /* The faulty server spoils one in 25 of its answers (x = 0.04), for 5 s at
       a time, as the site's garble does. */
    SPOILED_EVERY = 25,
    EPISODE_MS = 5000,
    PERIOD_MS = 8000,
    LENGTH_MS = 32000
};

static struct {
    pthread_mutex_t lock;
    uint32_t answers; /* of the faulty server in the episodes */
    uint32_t spoiled; /* of these */
    uint32_t served;
    uint32_t failed;
    uint32_t mixed;
    int64_t trouble_ms; /* start of the episodes */
    bool stopped;
} state = {.lock = PTHREAD_MUTEX_INITIALIZER};

static lab_server_t servers[SERVERS];

static bool
answer_is_spoiled(const lab_connection_t *connection)
{
    if (connection->server != &servers[0] || !lab_has_trouble() ||
        state.trouble_ms == 0) {
        return false;
    }
    int64_t since_ms = (lab_now_ms() - state.trouble_ms) % PERIOD_MS;
    if (since_ms >= EPISODE_MS) {
        return false;
    }
    state.answers++;
    if (connection->requests < 2 ||
        (state.spoiled + 1) * SPOILED_EVERY > state.answers) {
        return false;
    }
    state.spoiled++;
    return true;
}

static bool
handle(lab_connection_t *connection, const lab_request_t *request)
{
    const char *server = connection->server->id;
    lab_record("run id=%s server=%s connection=%u", request->id, server,
               connection->number);
    lab_sleep_ms(WORK_MS);
    pthread_mutex_lock(&state.lock);
    bool spoiled = answer_is_spoiled(connection);
    pthread_mutex_unlock(&state.lock);
    if (spoiled) {
        lab_record("spoiled answer without a stamp id=%s server=%s "
                   "connection=%u",
                   request->id, server, connection->number);
        return lab_print(connection->fd,
                         "HTTP/1.1 200 OK\r\n"
                         "Content-Type: text/plain\r\n"
                         "X-Yuccarun-Request-Id: %s\r\n"
                         "Transfer-Encoding: chunked\r\n"
                         "Connection: keep-alive\r\n\r\n"
                         "7\r\nspoiled\r\n0\r\nT: 1\r\n\r\n",
                         request->id);
    }
    return lab_print(connection->fd,
                     "HTTP/1.1 200 OK\r\n"
                     "Date: Sat, 05 Dec 2026 06:00:00 GMT\r\n"
                     "Content-Type: text/plain\r\n"
                     "X-Yuccarun-Request-Id: %s\r\n"
                     "Content-Length: 5\r\n"
                     "X-Yuccarun-Answer-Stamp: %s.%s\r\n\r\nsound",
                     request->id, server, request->id);
}

/* Compare a success with what a server gave for this request. */
static void
answer_check(const char *id, const client_response_t *response)
{
    char stamp[256] = "";
    (void)head_value(response->head, "X-Yuccarun-Answer-Stamp", stamp,
                     sizeof(stamp));
    const char *of = strchr(stamp, '.');
    bool good = of != NULL && strcmp(of + 1, id) == 0 &&
                response->body_size == 5 &&
                memcmp(response->body, "sound", 5) == 0;
    pthread_mutex_lock(&state.lock);
    state.served++;
    state.mixed += good ? 0 : 1;
    pthread_mutex_unlock(&state.lock);
    if (!good) {
        lab_record("MIXED id=%s status=%d stamp=%s body=%s", id,
                   response->status, stamp, response->body);
    }
}

/* A client with a kept connection, one request at a time. */
static void *
client_run(void *data)
{
    static __thread client_response_t response;
    uint32_t client = *(const uint32_t *)data;
    int fd = -1;
    for (uint32_t n = 0; !state.stopped; n++) {
        char id[LAB_ID_SIZE];
        snprintf(id, sizeof(id), "c%02u-%06u", client, n);
        response.status = 0;
        if (fd < 0) {
            fd = client_open();
        }
        bool answered = fd >= 0 &&
                        lab_print(fd,
                                  "GET /recon/get HTTP/1.1\r\n"
                                  "Host: a.example\r\n"
                                  "X-Yuccarun-Request-Id: %s\r\n"
                                  "X-Yuccarun-Deadline-Ms: %d\r\n\r\n",
                                  id, TIMEOUT_MS) &&
                        client_read(fd, &response, TIMEOUT_MS + 1000);
        lab_record("answer id=%s status=%d", id, response.status);
        if (answered && response.status / 100 == 2) {
            answer_check(id, &response);
        }
        else {
            pthread_mutex_lock(&state.lock);
            state.failed++;
            pthread_mutex_unlock(&state.lock);
            close(fd);
            fd = -1;
            lab_sleep_ms(200);
        }
        free(response.body);
        response.body = NULL;
    }
    close(fd);
    return NULL;
}

int
main(void)
{
    static const char *const ids[SERVERS] = {"i-faulty", "i-sound"};
    static uint32_t numbers[CLIENTS];
    pthread_t threads[CLIENTS];
    lab_open("review/4");
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
    for (uint32_t i = 0; i < CLIENTS; i++) {
        numbers[i] = i;
        pthread_create(&threads[i], NULL, client_run, &numbers[i]);
    }
    lab_sleep_ms(2000);
    state.trouble_ms = lab_now_ms();
    lab_sleep_ms(LENGTH_MS);
    state.stopped = true;
    for (uint32_t i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    lab_record("served=%u failed=%u spoiled answers=%u of %u; "
               "successes that are not the server's=%u",
               state.served, state.failed, state.spoiled, state.answers,
               state.mixed);
    if (state.served < 100 || (lab_has_trouble() && state.spoiled == 0)) {
        return lab_close(LAB_NOT_RUN);
    }
    return lab_close(state.mixed > 0 ? LAB_BROKEN : LAB_HELD);
}
