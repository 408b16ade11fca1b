#include "standin/lib/store.h"

#include <inttypes.h>
#include <orcania.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WATCH_WAIT_DEFAULT_US INT64_C(300000000)
#define SESSION_TTL_DEFAULT_US INT64_C(10000000)

enum {
    PREFIX_SIZE = 64,
    UNIT_FACTOR = 1000, /* from s to ms, and from ms to us */
    KEY_PATH_OFFSET = 7 /* length of "/v1/kv/" */
};

typedef enum {
    CALL_GET,
    CALL_WATCH,
    CALL_PUT,
    CALL_CAS,
    CALL_DELETE,
    CALL_SESSION,
    CALL_REFUSED,
    CALL_COUNT
} call_kind_t;

static const char *const call_names[CALL_COUNT] = {
    [CALL_GET] = "get",         [CALL_WATCH] = "watch",
    [CALL_PUT] = "put",         [CALL_CAS] = "cas",
    [CALL_DELETE] = "delete",   [CALL_SESSION] = "session",
    [CALL_REFUSED] = "refused",
};

struct store {
    struct _u_instance http;
    struct sockaddr_in address;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    kv_t *kv;
    bool stopping;
    kv_fault_t fault;
    int64_t fault_delay_ms;
    char fault_prefix[PREFIX_SIZE];
    uint64_t calls[CALL_COUNT];
};

/* Parses "10s", "500ms" or a number of seconds; returns microseconds. */
static int64_t
duration_parse(const char *text, int64_t default_us)
{
    if (text == NULL) {
        return default_us;
    }
    char *unit = NULL;
    long long value = strtoll(text, &unit, 10);
    if (strcmp(unit, "ms") == 0) {
        return value * UNIT_FACTOR;
    }
    return value * UNIT_FACTOR * UNIT_FACTOR;
}

static void
sleep_ms(int64_t ms)
{
    struct timespec pause = {.tv_sec = ms / 1000,
                             .tv_nsec = (ms % 1000) * 1000000};
    (void)nanosleep(&pause, NULL);
}

/*
 * Counts the call, waits if its fault delays it, and returns the fault, or
 * KV_FAULT_OK if the key does not match the fault's prefix.
 */
static kv_fault_t
call_begin(store_t *store, call_kind_t call, const char *key)
{
    pthread_mutex_lock(&store->lock);
    size_t prefix = strlen(store->fault_prefix);
    kv_fault_t fault = store->fault;
    if (strncmp(key, store->fault_prefix, prefix) != 0) {
        fault = KV_FAULT_OK;
    }
    int64_t delay_ms = store->fault_delay_ms;
    store->calls[fault == KV_FAULT_DOWN ? CALL_REFUSED : call]++;
    pthread_mutex_unlock(&store->lock);
    if (fault != KV_FAULT_OK && fault != KV_FAULT_STALE && delay_ms > 0) {
        sleep_ms(delay_ms);
    }
    return fault;
}

static int
reply_refused(struct _u_response *response)
{
    ulfius_set_string_body_response(response, 500, "No cluster leader");
    return U_CALLBACK_CONTINUE;
}

static const char *
request_key(const struct _u_request *request)
{
    return request->url_path + KEY_PATH_OFFSET;
}

static const char *
request_session(const struct _u_request *request)
{
    return strrchr(request->url_path, '/') + 1;
}

static void
timespec_after(int64_t wait_us, struct timespec *deadline)
{
    clock_gettime(CLOCK_MONOTONIC, deadline);
    int64_t nanoseconds = deadline->tv_nsec + (wait_us % 1000000) * 1000;
    deadline->tv_sec += wait_us / 1000000 + nanoseconds / 1000000000;
    deadline->tv_nsec = nanoseconds % 1000000000;
}

static uint64_t
key_index(const store_t *store, const char *key)
{
    kv_entry_t entry;
    if (!kv_read(store->kv, key, false, &entry)) {
        return 0;
    }
    return entry.index;
}

/*
 * Waits until the key's index exceeds index, until_us is reached, or the store
 * goes down or stops. The caller holds the lock, which is released meanwhile.
 */
static void
watch_wait(store_t *store, const char *key, uint64_t index, int64_t until_us)
{
    while (!store->stopping && key_index(store, key) <= index) {
        int64_t now_us = service_now_us();
        bool key_freed = false;
        int64_t next_expiry_us = kv_expire(store->kv, now_us, &key_freed);
        if (key_freed) {
            pthread_cond_broadcast(&store->changed);
            continue;
        }
        if (now_us >= until_us || store->fault == KV_FAULT_DOWN) {
            return;
        }
        struct timespec deadline;
        int64_t next_us =
            next_expiry_us < until_us ? next_expiry_us : until_us;
        timespec_after(next_us - now_us, &deadline);
        pthread_cond_timedwait(&store->changed, &store->lock, &deadline);
    }
}

static void
reply_entry(struct _u_response *response, const char *key,
            const kv_entry_t *entry)
{
    size_t size = 0;
    size_t capacity = entry->size * 4 / 3 + 5;
    unsigned char *encoded = malloc(capacity);
    if (encoded == NULL ||
        (entry->size > 0 &&
         !o_base64_encode((const unsigned char *)entry->value, entry->size,
                          encoded, &size))) {
        free(encoded);
        ulfius_set_empty_body_response(response, 500);
        return;
    }
    json_t *item = json_pack(
        "{s:s, s:s%, s:I, s:s}", "Key", key, "Value", (char *)encoded, size,
        "ModifyIndex", (json_int_t)entry->index, "Session", entry->session);
    free(encoded);
    service_reply(response, 200, json_pack("[o]", item));
}

static int
on_get(const struct _u_request *request, struct _u_response *response,
       void *user)
{
    store_t *store = user;
    const char *key = request_key(request);
    const char *index = u_map_get(request->map_url, "index");
    kv_fault_t fault =
        call_begin(store, index != NULL ? CALL_WATCH : CALL_GET, key);
    if (fault == KV_FAULT_DOWN) {
        return reply_refused(response);
    }
    pthread_mutex_lock(&store->lock);
    if (index != NULL) {
        int64_t wait_us = duration_parse(u_map_get(request->map_url, "wait"),
                                         WATCH_WAIT_DEFAULT_US);
        watch_wait(store, key, strtoull(index, NULL, 10),
                   service_now_us() + wait_us);
    }
    kv_entry_t entry;
    bool found = kv_read(store->kv, key, fault == KV_FAULT_STALE, &entry);
    char text[24];
    (void)snprintf(text, sizeof(text), "%" PRIu64,
                   found ? entry.index : kv_index(store->kv));
    bool refused =
        store->stopping || (index != NULL && store->fault == KV_FAULT_DOWN);
    if (refused) {
        (void)reply_refused(response);
    }
    else if (found) {
        reply_entry(response, key, &entry);
    }
    else {
        ulfius_set_empty_body_response(response, 404);
    }
    pthread_mutex_unlock(&store->lock);
    ulfius_add_header_to_response(response, "X-Consul-Index", text);
    return U_CALLBACK_CONTINUE;
}

static kv_write_t
request_write(const struct _u_request *request)
{
    const char *cas = u_map_get(request->map_url, "cas");
    kv_write_t write = {.acquire = u_map_get(request->map_url, "acquire"),
                        .release = u_map_get(request->map_url, "release")};
    if (cas != NULL) {
        write.cas = true;
        write.cas_index = strtoull(cas, NULL, 10);
    }
    return write;
}

static int
reply_written(struct _u_response *response, kv_fault_t fault, bool written)
{
    if (fault == KV_FAULT_LOST_REPLY) {
        return reply_refused(response);
    }
    ulfius_set_string_body_response(response, 200, written ? "true" : "false");
    return U_CALLBACK_CONTINUE;
}

static int
on_put(const struct _u_request *request, struct _u_response *response,
       void *user)
{
    store_t *store = user;
    const char *key = request_key(request);
    kv_write_t write = request_write(request);
    kv_fault_t fault = call_begin(store, write.cas ? CALL_CAS : CALL_PUT, key);
    if (fault == KV_FAULT_DOWN) {
        return reply_refused(response);
    }
    if (request->binary_body_length > KV_VALUE_MAX_BYTES) {
        ulfius_set_empty_body_response(response, 413);
        return U_CALLBACK_CONTINUE;
    }
    pthread_mutex_lock(&store->lock);
    bool key_freed = false;
    (void)kv_expire(store->kv, service_now_us(), &key_freed);
    bool written = kv_put(store->kv, key, request->binary_body,
                          request->binary_body_length, &write);
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
    return reply_written(response, fault, written);
}

static int
on_delete(const struct _u_request *request, struct _u_response *response,
          void *user)
{
    store_t *store = user;
    kv_write_t write = request_write(request);
    kv_fault_t fault = call_begin(store, CALL_DELETE, request_key(request));
    if (fault == KV_FAULT_DOWN) {
        return reply_refused(response);
    }
    pthread_mutex_lock(&store->lock);
    bool written = kv_delete(store->kv, request_key(request), &write);
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
    return reply_written(response, fault, written);
}

static int
on_session_create(const struct _u_request *request,
                  struct _u_response *response, void *user)
{
    store_t *store = user;
    kv_fault_t fault = call_begin(store, CALL_SESSION, "");
    if (fault == KV_FAULT_DOWN) {
        return reply_refused(response);
    }
    json_t *body = service_request_json(request);
    const char *ttl = json_string_value(json_object_get(body, "TTL"));
    char id[KV_SESSION_SIZE];
    pthread_mutex_lock(&store->lock);
    kv_session_create(store->kv, duration_parse(ttl, SESSION_TTL_DEFAULT_US),
                      service_now_us(), id);
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
    json_decref(body);
    if (fault == KV_FAULT_LOST_REPLY) {
        return reply_refused(response);
    }
    service_reply(response, 200, json_pack("{s:s}", "ID", id));
    return U_CALLBACK_CONTINUE;
}

static int
on_session_renew(const struct _u_request *request,
                 struct _u_response *response, void *user)
{
    store_t *store = user;
    if (call_begin(store, CALL_SESSION, "") == KV_FAULT_DOWN) {
        return reply_refused(response);
    }
    const char *id = request_session(request);
    pthread_mutex_lock(&store->lock);
    bool alive = kv_session_renew(store->kv, id, service_now_us());
    pthread_mutex_unlock(&store->lock);
    if (alive) {
        service_reply(response, 200, json_pack("[{s:s}]", "ID", id));
    }
    else {
        ulfius_set_empty_body_response(response, 404);
    }
    return U_CALLBACK_CONTINUE;
}

static int
on_session_destroy(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    store_t *store = user;
    kv_fault_t fault = call_begin(store, CALL_SESSION, "");
    if (fault == KV_FAULT_DOWN) {
        return reply_refused(response);
    }
    pthread_mutex_lock(&store->lock);
    kv_session_destroy(store->kv, request_session(request));
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
    return reply_written(response, fault, true);
}

void
store_set_fault(store_t *store, kv_fault_t fault, int64_t delay_ms,
                const char *key_prefix)
{
    pthread_mutex_lock(&store->lock);
    store->fault = fault;
    store->fault_delay_ms = delay_ms;
    (void)snprintf(store->fault_prefix, sizeof(store->fault_prefix), "%s",
                   key_prefix);
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
}

static int
on_fault(const struct _u_request *request, struct _u_response *response,
         void *user)
{
    json_t *body = service_request_json(request);
    const char *mode = "ok";
    const char *prefix = "";
    json_int_t ms = 0;
    int bad = json_unpack(body, "{s:s, s?I, s?s}", "mode", &mode, "ms", &ms,
                          "key_prefix", &prefix);
    kv_fault_t fault = kv_fault_parse(mode);
    if (bad != 0 || fault == KV_FAULT_COUNT) {
        ulfius_set_empty_body_response(response, 400);
    }
    else {
        store_set_fault(user, fault, ms, prefix);
        ulfius_set_empty_body_response(response, 204);
    }
    json_decref(body);
    return U_CALLBACK_CONTINUE;
}

static int
on_count(const struct _u_request *request, struct _u_response *response,
         void *user)
{
    (void)request;
    store_t *store = user;
    json_t *counts = json_object();
    uint64_t total = 0;
    pthread_mutex_lock(&store->lock);
    for (int call = 0; call < CALL_COUNT; call++) {
        total += store->calls[call];
        json_object_set_new(counts, call_names[call],
                            json_integer((json_int_t)store->calls[call]));
    }
    pthread_mutex_unlock(&store->lock);
    json_object_set_new(counts, "total", json_integer((json_int_t)total));
    service_reply(response, 200, counts);
    return U_CALLBACK_CONTINUE;
}

typedef struct {
    const char *method;
    const char *path;
    int (*callback)(const struct _u_request *, struct _u_response *, void *);
} route_t;

static const route_t routes[] = {
    {"GET", "/v1/kv/*", on_get},
    {"PUT", "/v1/kv/*", on_put},
    {"DELETE", "/v1/kv/*", on_delete},
    {"PUT", "/v1/session/create", on_session_create},
    {"PUT", "/v1/session/renew/*", on_session_renew},
    {"PUT", "/v1/session/destroy/*", on_session_destroy},
    {"POST", "/fault", on_fault},
    {"GET", "/count", on_count},
};

static void
store_release(store_t *store)
{
    ulfius_clean_instance(&store->http);
    kv_free(store->kv);
    pthread_cond_destroy(&store->changed);
    pthread_mutex_destroy(&store->lock);
    free(store);
}

store_t *
store_new(uint16_t port)
{
    store_t *store = calloc(1, sizeof(*store));
    if (store == NULL || !service_init(&store->http, &store->address, port)) {
        free(store);
        return NULL;
    }
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&store->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    pthread_mutex_init(&store->lock, NULL);
    store->kv = kv_new();
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        ulfius_add_endpoint_by_val(&store->http, routes[i].method,
                                   routes[i].path, NULL, 0, routes[i].callback,
                                   store);
    }
    if (store->kv == NULL || !service_start(&store->http)) {
        store_release(store);
        return NULL;
    }
    return store;
}

uint16_t
store_port(const store_t *store)
{
    return (uint16_t)store->http.port;
}

void
store_free(store_t *store)
{
    if (store == NULL) {
        return;
    }
    pthread_mutex_lock(&store->lock);
    store->stopping = true;
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->lock);
    ulfius_stop_framework(&store->http);
    store_release(store);
}
