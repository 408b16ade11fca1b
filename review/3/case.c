/*
 * A server that is full turns requests away unrun, and sends some of these
 * answers a second time, late. The second copy must not pass for the answer to
 * the next request on the connection, which then would run twice.
 */
#include "review/stand-ins/lab.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    /* The sheet's recon-night: 3 slots, 220 ms of work. A few more wait. */
    SLOTS = 3,
    QUEUE = 2,
    WORK_MS = 220,
    CLIENTS = 2,
    SERVERS = 2,
    OTHERS_PERIOD_MS = 100,
    TIMEOUT_MS = 5000,
    RUNS_MAX = 20000,
    /* The faulty server spoils one in 25 of its answers (x = 0.04), for 5 s at
       a time, as the site's garble does. */
    SPOILED_EVERY = 25,
    EPISODE_MS = 5000,
    PERIOD_MS = 8000,
    LENGTH_MS = 72000,
    LATE_MS = 30 /* after the next request on the connection has begun */
};

typedef struct {
    char id[LAB_ID_SIZE];
    uint32_t runs;
} run_t;

static struct {
    pthread_mutex_t lock;
    pthread_cond_t freed;
    uint32_t busy[SERVERS];    /* slots in use, by server */
    uint32_t waiting[SERVERS]; /* requests in the queue, by server */
    run_t runs[RUNS_MAX];
    uint32_t run_count;
    uint32_t twice;
    uint32_t refused; /* answered 503 or 429 although they have run */
    uint32_t answers; /* of the faulty server in the episodes */
    uint32_t spoiled; /* of these, sent a second time */
    uint32_t shed;
    uint32_t statuses[6];
    int64_t trouble_ms; /* start of the episodes */
    bool stopped;
} state = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .freed = PTHREAD_COND_INITIALIZER,
};

static lab_server_t servers[SERVERS];

/* For how much of each OTHERS_PERIOD_MS requests of other machines fill the
   servers. */
static const int64_t others_full_ms[SERVERS] = {25, 60};

/* Whether the answer that is now sent may be sent a second time. */
static bool
answer_is_spoiled(uint32_t server, bool shed)
{
    if (server != 0 || !lab_has_trouble() || state.trouble_ms == 0) {
        return false;
    }
    int64_t since_ms = (lab_now_ms() - state.trouble_ms) % PERIOD_MS;
    if (since_ms >= EPISODE_MS) {
        return false;
    }
    state.answers++;
    if (!shed || (state.spoiled + 1) * SPOILED_EVERY > state.answers) {
        return false;
    }
    state.spoiled++;
    return true;
}

/* Count the run of a request; the lock is held. */
static void
run_begin(const lab_server_t *server, const char *id)
{
    uint32_t i = 0;
    while (i < state.run_count && strcmp(state.runs[i].id, id) != 0) {
        i++;
    }
    if (i == RUNS_MAX) {
        abort();
    }
    if (i == state.run_count) {
        state.run_count++;
        snprintf(state.runs[i].id, LAB_ID_SIZE, "%s", id);
    }
    state.runs[i].runs++;
    lab_record("run id=%s server=%s runs=%u", id, server->id,
               state.runs[i].runs);
    if (state.runs[i].runs == 2) {
        state.twice++;
        lab_record("BROKEN id=%s has run twice", id);
    }
}

/* Count an answer that says that the request has not run, if it has; the lock
   is held. */
static void
note_refusal(uint32_t client, uint32_t number, int status)
{
    char id[LAB_ID_SIZE];
    snprintf(id, sizeof(id), "c%02u-%06u", client, number);
    for (uint32_t i = 0;
         (status == 503 || status == 429) && i < state.run_count; i++) {
        if (strcmp(state.runs[i].id, id) == 0) {
            state.refused++;
            lab_record("REFUSED id=%s has run and was answered %d", id,
                       status);
        }
    }
}

/* What a full server answers. */
static bool
shed_write(int fd, const char *id)
{
    return lab_print(fd,
                     "HTTP/1.1 503 Service Unavailable\r\n"
                     "X-Yuccarun-Request-Id: %s\r\n"
                     "X-Yuccarun-Not-Run: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     id);
}

/* Send the second copy of the last answer, if there is one. */
static void
copy_write(lab_connection_t *connection, const char *copy)
{
    if (copy[0] != '\0') {
        lab_record("second copy id=%s server=%s connection=%u", copy,
                   connection->server->id, connection->number);
        (void)shed_write(connection->fd, copy);
    }
}

static bool
server_is_full(uint32_t server)
{
    return (state.busy[server] == SLOTS && state.waiting[server] == QUEUE) ||
           lab_now_ms() % OTHERS_PERIOD_MS < others_full_ms[server];
}

static bool
handle(lab_connection_t *connection, const lab_request_t *request)
{
    uint32_t server = (uint32_t)(connection->server - servers);
    char copy[LAB_ID_SIZE] = ""; /* the id of the answer to send again */
    pthread_mutex_lock(&state.lock);
    if (connection->data == NULL) {
        connection->data = calloc(1, LAB_ID_SIZE);
    }
    char *late = connection->data;
    snprintf(copy, sizeof(copy), "%s", late);
    late[0] = '\0';
    if (server_is_full(server)) {
        if (answer_is_spoiled(server, true)) {
            snprintf(late, LAB_ID_SIZE, "%s", request->id);
        }
        state.shed++;
        lab_record("shed id=%s server=%s connection=%u again_later=%d",
                   request->id, connection->server->id, connection->number,
                   late[0] != '\0');
        pthread_mutex_unlock(&state.lock);
        copy_write(connection, copy);
        return shed_write(connection->fd, request->id);
    }
    state.waiting[server]++;
    while (state.busy[server] == SLOTS) {
        pthread_cond_wait(&state.freed, &state.lock);
    }
    state.waiting[server]--;
    state.busy[server]++;
    run_begin(connection->server, request->id);
    pthread_mutex_unlock(&state.lock);
    lab_sleep_ms(LATE_MS);
    copy_write(connection, copy);
    lab_sleep_ms(WORK_MS - LATE_MS);
    pthread_mutex_lock(&state.lock);
    (void)answer_is_spoiled(server, false);
    state.busy[server]--;
    pthread_cond_broadcast(&state.freed);
    pthread_mutex_unlock(&state.lock);
    return lab_print(connection->fd,
                     "HTTP/1.1 200 OK\r\nX-Yuccarun-Request-Id: %s\r\n"
                     "X-Yuccarun-Answer-Stamp: %s.%s\r\n"
                     "Content-Length: 5\r\n\r\ndone\n",
                     request->id, connection->server->id, request->id);
}

/* A client with a kept connection, one request at a time. */
static void *
client_run(void *data)
{
    static __thread client_response_t response;
    uint32_t client = *(const uint32_t *)data;
    int fd = -1;
    for (uint32_t n = 0; !state.stopped; n++) {
        response.status = 0;
        if (fd < 0) {
            fd = client_open();
        }
        bool answered =
            fd >= 0 &&
            lab_print(fd,
                      "POST /recon/post HTTP/1.1\r\nHost: a.example\r\n"
                      "X-Yuccarun-Request-Id: c%02u-%06u\r\n"
                      "X-Yuccarun-Deadline-Ms: %d\r\n"
                      "Content-Length: 6\r\n\r\nrecord",
                      client, n, TIMEOUT_MS) &&
            client_read(fd, &response, TIMEOUT_MS + 1000);
        lab_record("answer id=c%02u-%06u status=%d", client, n,
                   response.status);
        pthread_mutex_lock(&state.lock);
        state.statuses[response.status / 100 % 6]++;
        note_refusal(client, n, response.status);
        pthread_mutex_unlock(&state.lock);
        free(response.body);
        response.body = NULL;
        if (!answered || response.status != 200) {
            close(fd);
            fd = -1;
            lab_sleep_ms(200);
        }
    }
    close(fd);
    return NULL;
}

int
main(void)
{
    static uint32_t numbers[CLIENTS];
    pthread_t threads[CLIENTS];
    lab_open("review/3");
    static const char *const ids[SERVERS] = {"i-faulty", "i-sound"};
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
        "\"a.example\",\"prefix\":\"/recon/\",\"type\":\"non_idempotent\","
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
    lab_record("requests run=%u shed=%u answers sent twice=%u of %u "
               "2xx=%u 5xx=%u none=%u; run twice=%u, refused after a run=%u",
               state.run_count, state.shed, state.spoiled, state.answers,
               state.statuses[2], state.statuses[5], state.statuses[0],
               state.twice, state.refused);
    if (state.run_count < 100 || state.shed == 0) {
        return lab_close(LAB_NOT_RUN);
    }
    return lab_close(state.twice > 0 ? LAB_BROKEN : LAB_HELD);
}
