/*
 * In a fleet of which only some daemons read the store, the store cuts watches
 * that wait. Servers leave without having reported that they drain, and go on
 * serving for a while. No request may reach them later than drain_ms after the
 * removal of their entry.
 */
#include "review/stand-ins-2/lab2.h"
#include "review/stand-ins-2/store2.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

enum {
    DAEMONS = 20,
    SERVERS = 16,
    REMOVALS = 10,
    CLIENTS = 16,
    DRAIN_MS = 5000,
    CUT_AFTER_MS = 4000,
    REMOVE_EVERY_MS = 7300
};

static lab_daemon_t daemons[DAEMONS];
static lab_servers_t servers[SERVERS];
static int64_t removed_ms[SERVERS]; /* 0: listed */
static atomic_int asked, served, ended;
static int64_t beat_ms;
static uint16_t named[64]; /* ports of the directory's answer */
static int named_count;

static const char config[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-desk\",\"host\":\"a.example\",\"prefix\":\"/desk/\","
    "\"type\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":800,"
    "\"priority\":2,\"service\":\"desk\",\"attempts\":2}],"
    "\"services\":["
    "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":490,"
    "\"warmup_s\":3.0,\"cold_per_s\":0.0}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* Ask a daemon's directory which daemons to use. */
static void
ask_directory(void)
{
    static lab_conn_t conn;
    static lab_message_t answer;
    static const char call[] =
        "GET /-/resolve?name=a.example&region=r&zone=zone-b HTTP/1.1\r\n"
        "Host: x\r\n\r\n";
    if (!lab_connect(&conn, daemons[0].directory) ||
        !lab_send(&conn, call, sizeof(call) - 1) ||
        !lab_read(&conn, &answer, lab_now_ms() + 1000)) {
        lab_abort("no answer of the directory");
    }
    lab_close(&conn);
    for (const char *at = answer.body;
         named_count < 64 && (at = strstr(at, "127.0.0.1:")) != NULL; at++) {
        unsigned port = 0;
        if (sscanf(at, "127.0.0.1:%u", &port) == 1) {
            named[named_count++] = (uint16_t)port;
        }
    }
    lab_record("the directory names %d of %d daemons", named_count, DAEMONS);
}

static void *
run_client(void *argument)
{
    int client = (int)(intptr_t)argument;
    static _Thread_local lab_conn_t conn;
    static _Thread_local lab_message_t answer;
    conn.fd = -1;
    for (int number = 0; ended == 0; number++) {
        char call[256];
        int size = snprintf(call, sizeof(call),
                            "GET /desk/a?ms=5 HTTP/1.1\r\nHost: a.example\r\n"
                            "X-Yuccarun-Request-Id: c%d-%d\r\n"
                            "X-Yuccarun-Deadline-Ms: 2000\r\n\r\n",
                            client, number);
        if (conn.fd < 0 && !lab_connect(&conn, named[client % named_count])) {
            lab_sleep_ms(100);
            continue;
        }
        asked++;
        bool answered = lab_send(&conn, call, (size_t)size) &&
                        lab_read(&conn, &answer, lab_now_ms() + 2500);
        served += answered && answer.status == 200 ? 1 : 0;
        if (!answered) {
            lab_close(&conn);
        }
        lab_sleep_ms(25);
    }
    return NULL;
}

static void
beat_until(int64_t until_ms)
{
    while (lab_now_ms() < until_ms) {
        if (lab_now_ms() >= beat_ms) {
            beat_ms = lab_now_ms() + LAB_HEARTBEAT_MS;
            for (int i = 0; i < SERVERS; i++) {
                if (removed_ms[i] == 0) {
                    lab_servers_beat(&servers[i]);
                }
            }
        }
        lab_sleep_ms(20);
    }
}

/* From the record: requests that ran at a server later than DRAIN_MS after its
   removal. */
static int
count_late_runs(void)
{
    FILE *file = fopen("review/9/record.txt", "r");
    char line[1200];
    int late = 0;
    double latest = 0;
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        double at;
        int index;
        if (sscanf(line, "%lf run id=%*s server=i-desk-%d-", &at, &index) !=
                2 ||
            removed_ms[index] == 0) {
            continue;
        }
        double after = at - (double)removed_ms[index] / 1000;
        latest = after > latest ? after : latest;
        late += after * 1000 > DRAIN_MS ? 1 : 0;
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    lab_record("late_runs=%d latest_s=%.3f", late, latest);
    return late;
}

int
main(void)
{
    pthread_t clients[CLIENTS];
    if (!lab_start("review/9")) {
        return 2;
    }
    for (int i = 0; i < SERVERS; i++) {
        servers[i] = (lab_servers_t){
            .service = "desk",
            .count = 1,
            .slots = 8,
            .first = i,
        };
        lab_servers_start(&servers[i]);
    }
    lab_store_start();
    lab_put("op/config", config);
    beat_until(lab_now_ms() + 50);
    for (int i = 0; i < DAEMONS; i++) {
        daemons[i].settings =
            "bounds.drain_ms=5000\nbounds.converge_ms=5000\n";
        lab_daemon_start(&daemons[i], i + 1);
    }
    for (int i = 0; i < DAEMONS; i++) {
        if (!lab_daemon_wait_ready(&daemons[i])) {
            lab_abort("a daemon is not ready");
        }
    }
    beat_until(lab_now_ms() + 8000);
    ask_directory();
    store2_cut_watches(lab_has_trouble() ? CUT_AFTER_MS : 0);
    for (intptr_t i = 0; i < CLIENTS; i++) {
        if (pthread_create(&clients[i], NULL, run_client, (void *)i) != 0) {
            lab_abort("thread");
        }
    }
    for (int i = 0; i < REMOVALS; i++) {
        beat_until(lab_now_ms() + REMOVE_EVERY_MS);
        lab_servers_remove(&servers[i]);
        removed_ms[i] = lab_now_ms();
        lab_record("removed server %d", i);
    }
    beat_until(lab_now_ms() + REMOVE_EVERY_MS);
    ended = 1;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    lab_record("asked=%d served=%d", asked, served);
    if (served == 0) {
        lab_abort("nothing was served");
    }
    return lab_end(count_late_runs() > 0);
}
