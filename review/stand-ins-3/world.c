#include "review/stand-ins-3/world.h"

#include "daemon/clock.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_store.h"
#include "t/soak/process.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    HEARTBEAT_US = 1200000,
    BODY_MAX = 1 << 20,
    HEADER_MAX = 64 << 10,
    STEP_MS = 10
};

typedef struct {
    process_t process;
    struct sockaddr_in callers, readiness, control, directory;
    double since_s;
    bool is_wanted; /* started by the case */
    bool is_ending; /* it has got SIGTERM */
    bool has_run;
} daemon_t;

struct upstream {
    world_t *world;
    const char *id;
    const char *service;
    struct sockaddr_in address;
    http_server_t *server;
    upstream_request_fn_t request;
    void *owner;
    int64_t born_ms;
    uint32_t sequence;
    int64_t beat_us;   /* next write of its entry */
    bool is_crashing;  /* its process ends at the next step */
    int64_t start_us;  /* when it starts again; 0: it runs */
    int64_t silent_us; /* it cannot write its entry before */
    int64_t warmup_us;
    int64_t cold_until_us;
    uint64_t answers;
};

struct caller {
    world_t *world;
    uint32_t daemon;
    uint32_t number;
    uint32_t sent;
    double sent_s;
    conn_t conn;
    http_reader_t reader;
    bool is_busy;
    char id[32];
    caller_done_fn_t done;
    void *owner;
    caller_t *next;
};

struct world {
    struct ev_loop *loop;
    loop_clock_t clock;
    tier_store_t *store;
    struct sockaddr_in store_address;
    bool store_down;
    char folder[PATH_SIZE - 64];
    FILE *record;
    int64_t started_us;
    bool trouble;
    bool has_failed;
    daemon_t daemons[WORLD_DAEMONS_MAX];
    uint32_t daemon_count;
    upstream_t upstreams[WORLD_UPSTREAMS_MAX];
    uint32_t upstream_count;
    caller_t *callers;
    uint32_t caller_count;
    world_step_fn_t step;
    void *step_owner;
};

/* A response that waits for its time. */
typedef struct {
    upstream_t *upstream;
    uint32_t status;
    char headers[256];
} delayed_t;

static void
fail(const char *what)
{
    perror(what);
    exit(CASE_NOT_RUN);
}

/* A free port of a loopback address. */
static struct sockaddr_in
address_pick(uint8_t host)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(0x7f000000U | host),
    };
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 ||
        bind(fd, (const struct sockaddr *)&address, sizeof(address)) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        fail("no free port");
    }
    close(fd);
    return address;
}

double
world_now_s(const world_t *world)
{
    return (double)(clock_now_us() - world->started_us) / 1e6;
}

bool
world_has_trouble(const world_t *world)
{
    return world->trouble;
}

void
world_record(world_t *world, const char *format, ...)
{
    va_list values;
    fprintf(world->record, "%8.3f ", world_now_s(world));
    va_start(values, format);
    vfprintf(world->record, format, values);
    va_end(values);
    fputc('\n', world->record);
}

world_t *
world_new(int argc, char **argv, uint32_t daemons)
{
    const char *trouble = getenv("TROUBLE");
    world_t *world = calloc(1, sizeof(*world));
    if (argc != 3 || world == NULL) {
        fprintf(stderr, "usage: %s FOLDER RECORD\n", argv[0]);
        exit(CASE_NOT_RUN);
    }
    (void)signal(SIGPIPE, SIG_IGN);
    world->started_us = clock_now_us();
    world->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    snprintf(world->folder, sizeof(world->folder), "%s", argv[1]);
    world->record = fopen(argv[2], "w");
    world->loop = ev_default_loop(EVBACKEND_EPOLL);
    if (world->record == NULL || world->loop == NULL) {
        fail(argv[2]);
    }
    loop_clock_start(&world->clock, world->loop);
    world->store_address = address_pick(1);
    world->store = tier_store_new(world->loop, &world->store_address);
    world->daemon_count = daemons;
    for (uint32_t i = 0; i < daemons; i++) {
        daemon_t *daemon = &world->daemons[i];
        uint8_t host = (uint8_t)(10 + i);
        daemon->callers = address_pick(host);
        daemon->readiness = address_pick(host);
        daemon->control = address_pick(host);
        daemon->directory = address_pick(host);
        daemon->since_s = -1;
    }
    world_record(world, "trouble=%d daemons=%u", world->trouble, daemons);
    return world;
}

/* --- the platform -------------------------------------------------------- */

void
world_configure(world_t *world, const char *text)
{
    tier_store_put(world->store, KEY_CONFIG, text);
    world_record(world, "operator writes op/config: %s", text);
}

void
world_set_store_down(world_t *world, bool down, double return_s)
{
    world->store_down = down;
    tier_store_set_mode(world->store,
                        down ? TIER_STORE_UNAVAILABLE : TIER_STORE_NORMAL);
    for (uint32_t i = 0; !down && i < world->upstream_count; i++) {
        upstream_t *upstream = &world->upstreams[i];
        upstream->silent_us = clock_now_us() + (int64_t)(return_s * 1e6);
        upstream->beat_us = upstream->silent_us;
    }
    world_record(world, "store %s", down ? "answers 503" : "serves again");
}

static void
upstream_key(const upstream_t *upstream, char *key, size_t size)
{
    snprintf(key, size, "%s%s", KEY_UPSTREAMS, upstream->id);
}

void
world_expire_entries(world_t *world)
{
    char key[96];
    for (uint32_t i = 0; i < world->upstream_count; i++) {
        upstream_key(&world->upstreams[i], key, sizeof(key));
        tier_store_remove(world->store, key);
        world_record(world, "store removes %s: not renewed", key);
    }
}

/* --- daemons ------------------------------------------------------------- */

static void
settings_write(const world_t *world, const daemon_t *daemon, uint32_t index)
{
    char text[64];
    FILE *file = fopen(daemon->process.settings_path, "w");
    if (file == NULL) {
        fail(daemon->process.settings_path);
    }
    fprintf(file,
            "node_name=front-a-%u\nrole=daemon\nclass=front\n"
            "serves=front,control,directory\nip=127.0.0.%u\nzone=zone-a\n"
            "region=r\nzones.zone-a=r\nbootstrap=%s\n",
            index + 1, 10 + index, daemon->has_run ? "false" : "true");
    fprintf(file, "listen.front=%s\n",
            address_text(&daemon->callers, text, sizeof(text)));
    fprintf(file, "listen.ready_addr=%s\n",
            address_text(&daemon->readiness, text, sizeof(text)));
    fprintf(file, "listen.control=%s\n",
            address_text(&daemon->control, text, sizeof(text)));
    fprintf(file, "listen.directory=%s\n",
            address_text(&daemon->directory, text, sizeof(text)));
    fprintf(file, "seeds=%s\n",
            address_text(&world->daemons[0].control, text, sizeof(text)));
    fprintf(file, "platform.addr=%s\n",
            address_text(&world->store_address, text, sizeof(text)));
    fputs("platform.form=kv\nplatform.writes_per_s=400\n"
          "platform.reads_per_s=2000\nplatform.history_s=20\n"
          "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n"
          "discovery=platform\nentry=directory\nheartbeat_ms=1200\n"
          "contracts=base,drain,config,cost,retry,recover,scatter,places,"
          "platform\ntolerate.machines=2\ntolerate.zones=1\n"
          "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
          "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
          "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n"
          "bounds.stable_ms=4000\nbounds.ack_ms=5000\nbounds.catchup_s=4\n"
          "bounds.drain_ms=3000\nbounds.grace_s=6\n"
          "bounds.loss_slack_ms=200\nbounds.converge_ms=3000\n"
          "bounds.downgrade_ms=250\nbounds.stretch_ms=12000\n"
          "bounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
          "bounds.retry_slack=52\nbounds.cold_factor=1.5\n"
          "bounds.cold_slack=5\nbounds.evacuate_ms=5000\n"
          "bounds.recovery_s=12\nbounds.ttl_max_s=5\n",
          file);
    fclose(file);
}

void
world_start_daemon(world_t *world, uint32_t index)
{
    daemon_t *daemon = &world->daemons[index];
    process_t *process = &daemon->process;
    snprintf(process->program_path, sizeof(process->program_path),
             "target/yuccarun-tier");
    snprintf(process->settings_path, sizeof(process->settings_path),
             "%s/node-%u.conf", world->folder, index + 1);
    snprintf(process->log_path, sizeof(process->log_path), "%s/node-%u.log",
             world->folder, index + 1);
    settings_write(world, daemon, index);
    /* The child would write what is buffered once more. */
    fflush(world->record);
    process_start(process);
    daemon->since_s = world_now_s(world);
    daemon->is_wanted = daemon->has_run = true;
    daemon->is_ending = false;
    world_record(world, "front-a-%u is started", index + 1);
}

void
world_restart_daemon(world_t *world, uint32_t index)
{
    daemon_t *daemon = &world->daemons[index];
    process_signal(&daemon->process, SIGTERM);
    daemon->is_ending = true;
    daemon->since_s = -1;
    world_record(world, "front-a-%u gets SIGTERM", index + 1);
}

double
world_daemon_since_s(const world_t *world, uint32_t index)
{
    return world->daemons[index].since_s;
}

const struct sockaddr_in *
world_daemon_address(const world_t *world, uint32_t index)
{
    return &world->daemons[index].callers;
}

/* Start daemons again that have ended after SIGTERM. */
static void
daemons_reap(world_t *world)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        daemon_t *daemon = &world->daemons[i];
        if (!daemon->is_wanted || !process_reap(&daemon->process)) {
            continue;
        }
        world_record(world, "front-a-%u has ended", i + 1);
        world->has_failed |= !daemon->is_ending;
        world_start_daemon(world, i);
    }
}

/* --- upstreams ----------------------------------------------------------- */

const char *
upstream_id(const upstream_t *upstream)
{
    return upstream->id;
}

static void
respond_now(exchange_t *exchange, const delayed_t *delayed)
{
    char head[512];
    const char *id =
        http_header_find(exchange_request(exchange), HEADER_REQUEST_ID);
    int size = snprintf(head, sizeof(head), HEADER_REQUEST_ID ": %.64s\r\n%s",
                        id != NULL ? id : "-", delayed->headers);
    if (delayed->status == 200) {
        size +=
            snprintf(head + size, sizeof(head) - (size_t)size,
                     HEADER_SIGNATURE ": %s.%llu\r\n", delayed->upstream->id,
                     (unsigned long long)++delayed->upstream->answers);
    }
    exchange_respond(exchange,
                     &(http_response_t){
                         .status = delayed->status,
                         .headers = head,
                         .headers_size = (size_t)size,
                         .body = "0123456789abcdef",
                         .body_size = delayed->status == 200 ? 16 : 0,
                     });
}

static void
upstream_wake(void *owner, exchange_t *exchange)
{
    delayed_t *delayed = exchange_data(exchange);
    (void)owner;
    if (delayed != NULL) {
        exchange_set_data(exchange, NULL);
        respond_now(exchange, delayed);
        free(delayed);
    }
}

static void
upstream_disconnected(void *owner, exchange_t *exchange)
{
    (void)owner;
    free(exchange_data(exchange));
    exchange_set_data(exchange, NULL);
}

static void
upstream_request(void *owner, exchange_t *exchange)
{
    upstream_t *upstream = owner;
    const http_message_t *message = exchange_request(exchange);
    const char *expected = http_header_find(message, HEADER_EXPECT_INSTANCE);
    if (upstream->is_crashing) {
        return;
    }
    if (strcmp(http_target(message), "/health") == 0) {
        upstream_respond(upstream, exchange, 200, "", 0);
    }
    else if (expected != NULL && strcmp(expected, upstream->id) != 0) {
        upstream_respond(upstream, exchange, 421, "", 0);
    }
    else {
        const char *id = http_header_find(message, HEADER_REQUEST_ID);
        world_record(upstream->world, "%s gets %s", upstream->id,
                     id != NULL ? id : "-");
        upstream->request(upstream->owner, upstream, exchange);
    }
}

static const http_handler_t upstream_handler = {
    .request = upstream_request,
    .disconnected = upstream_disconnected,
    .wake = upstream_wake,
};

void
upstream_respond(upstream_t *upstream, exchange_t *exchange, uint32_t status,
                 const char *headers, double delay_s)
{
    delayed_t delayed = {.upstream = upstream, .status = status};
    snprintf(delayed.headers, sizeof(delayed.headers), "%s", headers);
    if (delay_s <= 0) {
        respond_now(exchange, &delayed);
        return;
    }
    delayed_t *copy = malloc(sizeof(*copy));
    if (copy == NULL) {
        fail("malloc");
    }
    *copy = delayed;
    exchange_set_data(exchange, copy);
    exchange_wake_at(exchange, clock_now_us() + (int64_t)(delay_s * 1e6));
}

void
upstream_crash(upstream_t *upstream, double down_s)
{
    upstream->is_crashing = true;
    upstream->start_us = clock_now_us() + (int64_t)(down_s * 1e6);
}

static void
upstream_start(upstream_t *upstream)
{
    static const http_server_settings_t settings = {.connections_max = 45};
    upstream->server = http_server_new(upstream->world->loop, &settings);
    if (upstream->server == NULL ||
        !http_server_listen(upstream->server, &upstream->address,
                            &upstream_handler, upstream)) {
        fail("upstream");
    }
    upstream->born_ms = clock_wall_us() / 1000;
    upstream->sequence = 0;
    upstream->beat_us = clock_now_us();
    upstream->cold_until_us = clock_now_us() + upstream->warmup_us;
    upstream->start_us = 0;
}

upstream_t *
world_add_upstream(world_t *world, const char *id, const char *service,
                   upstream_request_fn_t request, void *owner)
{
    upstream_t *upstream = &world->upstreams[world->upstream_count++];
    *upstream = (upstream_t){
        .world = world,
        .id = id,
        .service = service,
        .address = address_pick(50),
        .request = request,
        .owner = owner,
    };
    upstream_start(upstream);
    return upstream;
}

void
upstream_set_warmup(upstream_t *upstream, double warmup_s)
{
    upstream->warmup_us = (int64_t)(warmup_s * 1e6);
}

double
upstream_cold_s(const upstream_t *upstream)
{
    int64_t left_us = upstream->cold_until_us - clock_now_us();
    return left_us > 0 ? (double)left_us / 1e6 : 0;
}

/* Write the entry at each heartbeat, and end and start the process. */
static void
upstream_step(upstream_t *upstream)
{
    world_t *world = upstream->world;
    int64_t now_us = clock_now_us();
    if (upstream->is_crashing) {
        upstream->is_crashing = false;
        http_server_free(upstream->server);
        upstream->server = NULL;
        world_record(world, "%s has crashed", upstream->id);
    }
    if (upstream->server == NULL && now_us >= upstream->start_us) {
        upstream_start(upstream);
        world_record(world, "%s runs again", upstream->id);
    }
    if (upstream->server == NULL || world->store_down ||
        now_us < upstream->beat_us || now_us < upstream->silent_us) {
        return;
    }
    char key[96];
    char address[64];
    char entry[320];
    upstream_key(upstream, key, sizeof(key));
    snprintf(entry, sizeof(entry),
             "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"zone-a\","
             "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
             "\"cold_left_ms\":%d,\"seq\":%u,\"born\":%lld}",
             upstream->service,
             address_text(&upstream->address, address, sizeof(address)),
             (int)(upstream_cold_s(upstream) * 1000), ++upstream->sequence,
             (long long)upstream->born_ms);
    if (upstream->sequence == 1 || tier_store_get(world->store, key) == NULL) {
        world_record(world, "%s writes its entry: %s", upstream->id, entry);
    }
    tier_store_put(world->store, key, entry);
    upstream->beat_us = now_us + HEARTBEAT_US;
}

/* --- callers ------------------------------------------------------------- */

static void
caller_end(caller_t *caller, uint32_t status, bool keep)
{
    bool was_busy = caller->is_busy;
    caller->is_busy = false;
    if (!keep) {
        caller_hang_up(caller);
    }
    if (was_busy) {
        world_record(caller->world, "%s is answered %u", caller->id, status);
        caller->done(caller->owner, caller, status);
    }
}

static void
caller_data(conn_t *conn, const char *bytes, size_t size)
{
    caller_t *caller = conn->owner;
    size_t used = 0;
    http_state_t state =
        caller->is_busy ? http_reader_feed(&caller->reader, bytes, size, &used)
                        : HTTP_MALFORMED;
    if (state == HTTP_INCOMPLETE) {
        return;
    }
    bool whole = state == HTTP_DONE && used == size;
    uint32_t status = whole ? caller->reader.message.status : 0;
    bool keep = whole && caller->reader.message.keep_alive;
    http_reader_next(&caller->reader);
    caller_end(caller, status, keep);
}

static void
caller_disconnected(conn_t *conn, bool clean)
{
    (void)clean;
    caller_end(conn->owner, 0, false);
}

static const conn_ops_t caller_ops = {
    .data = caller_data,
    .disconnected = caller_disconnected,
};

caller_t *
world_add_caller(world_t *world, uint32_t daemon, caller_done_fn_t done,
                 void *owner)
{
    static const http_limits_t limits = {
        .max_header_bytes = HEADER_MAX,
        .max_body_bytes = BODY_MAX,
    };
    caller_t *caller = calloc(1, sizeof(*caller));
    if (caller == NULL) {
        fail("calloc");
    }
    caller->world = world;
    caller->daemon = daemon;
    caller->number = ++world->caller_count;
    caller->conn.fd = -1;
    caller->done = done;
    caller->owner = owner;
    http_reader_init(&caller->reader, HTTP_RESPONSES, &limits);
    caller->next = world->callers;
    world->callers = caller;
    return caller;
}

double
world_sent_s(const world_t *world, const char *id)
{
    const caller_t *caller = world->callers;
    while (caller != NULL && strcmp(caller->id, id) != 0) {
        caller = caller->next;
    }
    return caller != NULL ? caller->sent_s : -1;
}

const char *
caller_request_id(const caller_t *caller)
{
    return caller->id;
}

void
caller_hang_up(caller_t *caller)
{
    conn_close(&caller->conn);
    http_reader_next(&caller->reader);
}

bool
caller_send(caller_t *caller, const char *method, const char *path,
            uint32_t deadline_ms, size_t body_size)
{
    if (caller->is_busy) {
        return false;
    }
    bool kept = conn_is_open(&caller->conn);
    if (!kept &&
        !conn_open(&caller->conn, caller->world->loop,
                   world_daemon_address(caller->world, caller->daemon),
                   &caller_ops, caller)) {
        return false;
    }
    size_t room = body_size + 512;
    char *text = malloc(room);
    if (text == NULL) {
        fail("malloc");
    }
    snprintf(caller->id, sizeof(caller->id), "%08x%08x", caller->number,
             ++caller->sent);
    caller->sent_s = world_now_s(caller->world);
    int size =
        snprintf(text, room,
                 "%s %s HTTP/1.1\r\nHost: review.example\r\n" HEADER_REQUEST_ID
                 ": %s\r\n" HEADER_DEADLINE_MS ": %u\r\n",
                 method, path, caller->id, deadline_ms);
    size += body_size > 0 ? snprintf(text + size, room - (size_t)size,
                                     "Content-Length: %zu\r\n\r\n", body_size)
                          : snprintf(text + size, room - (size_t)size, "\r\n");
    memset(text + size, 'x', body_size);
    world_record(caller->world,
                 "%s is sent to front-a-%u on %s connection: %s %s, body of "
                 "%zu bytes",
                 caller->id, caller->daemon + 1, kept ? "its open" : "a new",
                 method, path, body_size);
    caller->is_busy = true;
    if (!conn_write(&caller->conn, text, (size_t)size + body_size)) {
        caller_end(caller, 0, false);
    }
    free(text);
    return true;
}

/* --- the run ------------------------------------------------------------- */

static void
world_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    world_t *world = timer->data;
    daemons_reap(world);
    for (uint32_t i = 0; i < world->upstream_count; i++) {
        upstream_step(&world->upstreams[i]);
    }
    if (!world->step(world->step_owner, world_now_s(world))) {
        ev_break(loop, EVBREAK_ALL);
    }
}

void
world_run(world_t *world, world_step_fn_t step, void *owner)
{
    ev_timer timer;
    world->step = step;
    world->step_owner = owner;
    ev_timer_init(&timer, world_timer, 0, STEP_MS / 1e3);
    timer.data = world;
    ev_timer_start(world->loop, &timer);
    ev_run(world->loop, 0);
    ev_timer_stop(world->loop, &timer);
}

int
world_end(world_t *world, int verdict)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        process_kill(&world->daemons[i].process);
    }
    while (world->callers != NULL) {
        caller_t *next = world->callers->next;
        conn_close(&world->callers->conn);
        http_reader_release(&world->callers->reader);
        free(world->callers);
        world->callers = next;
    }
    for (uint32_t i = 0; i < world->upstream_count; i++) {
        http_server_free(world->upstreams[i].server);
    }
    if (world->has_failed) {
        verdict = CASE_NOT_RUN;
    }
    world_record(world, "verdict: %s",
                 verdict == CASE_HELD     ? "the rule held"
                 : verdict == CASE_BROKEN ? "the rule was broken"
                                          : "the case could not run");
    tier_store_free(world->store);
    loop_clock_stop(&world->clock);
    fclose(world->record);
    free(world);
    return verdict;
}
