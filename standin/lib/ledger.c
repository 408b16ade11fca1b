#include "standin/lib/ledger.h"

#include "core/part.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { BODY_BUCKETS = 1 << 16, US_PER_MS = 1000 };

static const char *const event_names[EVENT_COUNT] = {
    [EVENT_STARTED] = "started",
    [EVENT_OK] = "ok",
    [EVENT_FAILED] = "failed",
    [EVENT_SHED] = "shed",
    [EVENT_SLOT_VIOLATION] = "slot_violations",
    [EVENT_COLD_EXCESS] = "cold_excess",
    [EVENT_COLD_VIOLATION] = "cold_violations",
    [EVENT_DRAIN_VIOLATION] = "drain_violations",
    [EVENT_NO_VERSION] = "no_version",
    [EVENT_MOVED] = "moved",
    [EVENT_EXPIRED] = "expired",
    [EVENT_CANCELLED] = "cancelled",
    [EVENT_CRASH] = "crashes",
    [EVENT_CONNECTION] = "connections",
    [EVENT_CONNECTION_REFUSED] = "connections_refused",
};

struct ledger_counters {
    struct ledger_counters *next;
    char service[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t events[EVENT_COUNT];
    uint64_t running;
    uint64_t peak_running;
    int64_t last_start_us;
};

typedef struct body {
    struct body *next;
    bool doubled;
    range_set_t started;
    char text[];
} body_t;

struct ledger {
    pthread_mutex_t lock;
    ledger_counters_t *counters_list;
    uint64_t repeated;
    uint64_t doubled;
    uint64_t body_count;
    body_t *bodies[BODY_BUCKETS];
};

ledger_t *
ledger_new(void)
{
    ledger_t *ledger = calloc(1, sizeof(*ledger));
    if (ledger != NULL) {
        pthread_mutex_init(&ledger->lock, NULL);
    }
    return ledger;
}

static void
bodies_free(body_t *body)
{
    while (body != NULL) {
        body_t *next = body->next;
        range_set_release(&body->started);
        free(body);
        body = next;
    }
}

void
ledger_free(ledger_t *ledger)
{
    if (ledger == NULL) {
        return;
    }
    for (size_t i = 0; i < BODY_BUCKETS; i++) {
        bodies_free(ledger->bodies[i]);
    }
    while (ledger->counters_list != NULL) {
        ledger_counters_t *counters = ledger->counters_list;
        ledger->counters_list = counters->next;
        free(counters);
    }
    pthread_mutex_destroy(&ledger->lock);
    free(ledger);
}

ledger_counters_t *
ledger_counters_get(ledger_t *ledger, const char *service, const char *zone)
{
    for (ledger_counters_t *counters = ledger->counters_list; counters != NULL;
         counters = counters->next) {
        if (strcmp(counters->service, service) == 0 &&
            strcmp(counters->zone, zone) == 0) {
            return counters;
        }
    }
    ledger_counters_t *counters = calloc(1, sizeof(*counters));
    if (counters != NULL) {
        (void)snprintf(counters->service, sizeof(counters->service), "%s",
                       service);
        (void)snprintf(counters->zone, sizeof(counters->zone), "%s", zone);
        counters->next = ledger->counters_list;
        ledger->counters_list = counters;
    }
    return counters;
}

void
ledger_add(ledger_t *ledger, ledger_counters_t *counters, event_t event,
           uint64_t count)
{
    pthread_mutex_lock(&ledger->lock);
    counters->events[event] += count;
    pthread_mutex_unlock(&ledger->lock);
}

static body_t **
body_bucket(ledger_t *ledger, const char *text)
{
    return &ledger->bodies[XXH64(text, strlen(text), 0) % BODY_BUCKETS];
}

static body_t *
body_find(ledger_t *ledger, const char *text)
{
    body_t *body = *body_bucket(ledger, text);
    while (body != NULL && strcmp(body->text, text) != 0) {
        body = body->next;
    }
    return body;
}

static body_t *
body_create(ledger_t *ledger, const char *text)
{
    size_t size = strlen(text) + 1;
    body_t *body = calloc(1, sizeof(*body) + size);
    if (body == NULL) {
        return NULL;
    }
    memcpy(body->text, text, size);
    range_set_init(&body->started);
    body_t **bucket = body_bucket(ledger, text);
    body->next = *bucket;
    *bucket = body;
    ledger->body_count++;
    return body;
}

static void
body_start(ledger_t *ledger, const char *text, bool once, key_range_t range)
{
    body_t *body = body_find(ledger, text);
    if (body == NULL) {
        body = body_create(ledger, text);
    }
    if (body == NULL) {
        return;
    }
    if (range_set_overlaps(&body->started, range)) {
        ledger->repeated++;
        ledger->doubled += once && !body->doubled;
        body->doubled = body->doubled || once;
    }
    (void)range_set_add(&body->started, range);
}

void
ledger_start(ledger_t *ledger, ledger_counters_t *counters, const char *body,
             bool once, key_range_t range, int64_t now_us)
{
    pthread_mutex_lock(&ledger->lock);
    counters->events[EVENT_STARTED]++;
    counters->last_start_us = now_us;
    counters->running++;
    counters->peak_running = counters->running > counters->peak_running
                                 ? counters->running
                                 : counters->peak_running;
    body_start(ledger, body, once, range);
    pthread_mutex_unlock(&ledger->lock);
}

void
ledger_end(ledger_t *ledger, ledger_counters_t *counters, uint64_t count)
{
    pthread_mutex_lock(&ledger->lock);
    counters->running -= count;
    pthread_mutex_unlock(&ledger->lock);
}

bool
ledger_body_started(ledger_t *ledger, const char *body)
{
    pthread_mutex_lock(&ledger->lock);
    bool ran = body_find(ledger, body) != NULL;
    pthread_mutex_unlock(&ledger->lock);
    return ran;
}

static json_t *
child_object_get(json_t *parent, const char *name)
{
    json_t *object = json_object_get(parent, name);
    if (object == NULL) {
        object = json_object();
        json_object_set_new(parent, name, object);
    }
    return object;
}

static void
integer_set_max(json_t *object, const char *name, json_int_t value)
{
    const json_t *current = json_object_get(object, name);
    if (current == NULL || value > json_integer_value(current)) {
        json_object_set_new(object, name, json_integer(value));
    }
}

static void
counters_json(const ledger_counters_t *counters, json_t *services,
              json_t *zones, uint64_t *totals)
{
    json_t *object = child_object_get(
        child_object_get(services, counters->service), counters->zone);
    for (int event = 0; event < EVENT_COUNT; event++) {
        totals[event] += counters->events[event];
        json_object_set_new(object, event_names[event],
                            json_integer((json_int_t)counters->events[event]));
    }
    json_int_t last_ms = counters->last_start_us / US_PER_MS;
    json_object_set_new(object, "peak",
                        json_integer((json_int_t)counters->peak_running));
    json_object_set_new(object, "last_ms", json_integer(last_ms));
    integer_set_max(child_object_get(zones, counters->zone), "last_ms",
                    last_ms);
}

json_t *
ledger_json(ledger_t *ledger, int64_t now_us)
{
    json_t *services = json_object();
    json_t *zones = json_object();
    json_t *totals = json_object();
    uint64_t sums[EVENT_COUNT] = {0};
    pthread_mutex_lock(&ledger->lock);
    for (const ledger_counters_t *counters = ledger->counters_list;
         counters != NULL; counters = counters->next) {
        counters_json(counters, services, zones, sums);
    }
    json_int_t repeated = (json_int_t)ledger->repeated;
    json_int_t doubled = (json_int_t)ledger->doubled;
    json_int_t bodies = (json_int_t)ledger->body_count;
    pthread_mutex_unlock(&ledger->lock);
    for (int event = 0; event < EVENT_COUNT; event++) {
        json_object_set_new(totals, event_names[event],
                            json_integer((json_int_t)sums[event]));
    }
    json_object_set_new(totals, "repeated", json_integer(repeated));
    json_object_set_new(totals, "doubled", json_integer(doubled));
    json_object_set_new(totals, "bodies", json_integer(bodies));
    return json_pack("{s:o, s:o, s:o, s:I}", "services", services, "zones",
                     zones, "totals", totals, "now_ms",
                     (json_int_t)(now_us / US_PER_MS));
}
