#include "edge/event.h"

#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

typedef struct {
    const char *name;
    int number;
    event_level_t level;
} event_entry_t;

#define EVENT_ENTRY(symbol, id, text, severity)                               \
    [EVENT_##symbol] = {                                                      \
        .name = (text),                                                       \
        .number = (id),                                                       \
        .level = EVENT_LEVEL_##severity,                                      \
    },
static const event_entry_t event_entries[EVENT_COUNT] = {
    EVENT_CATALOGUE(EVENT_ENTRY)};

static const char *const level_names[] = {
    [EVENT_LEVEL_DEBUG] = "debug",
    [EVENT_LEVEL_INFO] = "info",
    [EVENT_LEVEL_WARN] = "warn",
    [EVENT_LEVEL_ERROR] = "error",
};

static const int level_priorities[] = {
    [EVENT_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
    [EVENT_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [EVENT_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [EVENT_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
};

/* The state of the log, one per process. */
static struct {
    pthread_mutex_t lock;
    log4c_category_t *category;
    event_sink_fn_t sink; /* replaces the category unless NULL */
    void *sink_context;
    event_level_t sink_level;
    char daemon[64];
    event_record_t recent[EVENT_RECENT_MAX];
    size_t recent_count;
} event_state = {.lock = PTHREAD_MUTEX_INITIALIZER};

static atomic_uint_fast64_t event_counts[EVENT_COUNT];

int
event_number(event_t event)
{
    return event_entries[event].number;
}

const char *
event_name(event_t event)
{
    return event_entries[event].name;
}

event_level_t
event_level(event_t event)
{
    return event_entries[event].level;
}

bool
event_level_parse(const char *name, event_level_t *level)
{
    size_t count = sizeof(level_names) / sizeof(level_names[0]);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (event_level_t)i;
            return true;
        }
    }
    return false;
}

bool
event_log_open(event_level_t level, const char *path, const char *daemon)
{
    FILE *file = stderr;
    if (path != NULL) {
        file = fopen(path, "ae");
        if (file == NULL) {
            return false;
        }
    }
    log4c_init();
    pthread_mutex_lock(&event_state.lock);
    log4c_layout_t *layout = log4c_layout_get("yuccarun");
    log4c_layout_set_type(layout, log4c_layout_type_get("dated"));
    /* log4c_fini closes the appender's stream. */
    log4c_appender_t *appender = log4c_appender_get("yuccarun");
    log4c_appender_set_type(appender, log4c_appender_type_get("stream"));
    log4c_appender_set_udata(appender, file);
    log4c_appender_set_layout(appender, layout);
    event_state.category = log4c_category_get("yuccarun");
    log4c_category_set_appender(event_state.category, appender);
    log4c_category_set_priority(event_state.category, level_priorities[level]);
    snprintf(event_state.daemon, sizeof(event_state.daemon), "%s", daemon);
    pthread_mutex_unlock(&event_state.lock);
    return true;
}

void
event_log_close(void)
{
    pthread_mutex_lock(&event_state.lock);
    bool was_open = event_state.category != NULL;
    event_state.category = NULL;
    event_state.sink = NULL;
    pthread_mutex_unlock(&event_state.lock);
    if (was_open) {
        log4c_fini();
    }
}

void
event_log_open_sink(event_level_t level, const char *daemon,
                    event_sink_fn_t sink, void *context)
{
    pthread_mutex_lock(&event_state.lock);
    event_state.sink = sink;
    event_state.sink_context = context;
    event_state.sink_level = level;
    snprintf(event_state.daemon, sizeof(event_state.daemon), "%s", daemon);
    pthread_mutex_unlock(&event_state.lock);
}

static void
event_write_to_sink(const event_entry_t *entry, const char *text)
{
    struct timespec wall_time;
    struct timespec monotonic_time;
    clock_gettime(CLOCK_REALTIME, &wall_time);
    clock_gettime(CLOCK_MONOTONIC, &monotonic_time);
    char line[EVENT_LINE_MAX + 160];
    int size =
        snprintf(line, sizeof(line), "%lld.%03ld E%d %s level=%s daemon=%s %s",
                 (long long)wall_time.tv_sec, wall_time.tv_nsec / 1000000,
                 entry->number, entry->name, level_names[entry->level],
                 event_state.daemon, text);
    if (size > 0) {
        size_t length =
            (size_t)size < sizeof(line) ? (size_t)size : sizeof(line) - 1;
        event_state.sink(event_state.sink_context, line, length,
                         (int64_t)monotonic_time.tv_sec * 1000000 +
                             monotonic_time.tv_nsec / 1000);
    }
}

static void
event_record_recent(event_t event, const char *text)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    size_t slot = event_state.recent_count++ % EVENT_RECENT_MAX;
    event_record_t *record = &event_state.recent[slot];
    record->event = event;
    record->at_us = (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
    snprintf(record->text, sizeof(record->text), "%.*s", EVENT_TEXT_MAX - 1,
             text);
}

void
event_log(event_t event, const char *format, ...)
{
    const event_entry_t *entry = &event_entries[event];
    char text[EVENT_LINE_MAX];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    atomic_fetch_add(&event_counts[event], 1);
    pthread_mutex_lock(&event_state.lock);
    if (entry->level > EVENT_LEVEL_DEBUG) {
        event_record_recent(event, text);
    }
    if (event_state.sink != NULL) {
        if (entry->level >= event_state.sink_level) {
            event_write_to_sink(entry, text);
        }
    }
    else if (event_state.category != NULL) {
        log4c_category_log(event_state.category,
                           level_priorities[entry->level],
                           "E%d %s daemon=%s %s", entry->number, entry->name,
                           event_state.daemon, text);
    }
    pthread_mutex_unlock(&event_state.lock);
}

uint64_t
event_count(event_t event)
{
    return atomic_load(&event_counts[event]);
}

size_t
event_recent(event_record_t *out, size_t max)
{
    pthread_mutex_lock(&event_state.lock);
    size_t total = event_state.recent_count;
    size_t kept = total < EVENT_RECENT_MAX ? total : EVENT_RECENT_MAX;
    size_t count = kept < max ? kept : max;
    for (size_t i = 0; i < count; i++) {
        out[i] = event_state.recent[(total - 1 - i) % EVENT_RECENT_MAX];
    }
    pthread_mutex_unlock(&event_state.lock);
    return count;
}
