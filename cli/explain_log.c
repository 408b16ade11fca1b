#include "cli/explain_log.h"

#include <stdlib.h>
#include <string.h>

enum {
    VALUE_SIZE = 512,
    UPSTREAMS_SHOWN_MAX = 16,
    LINES_INITIAL_CAPACITY = 256
};

/* Changes of an upstream are shown if logged within this time before or after
   the end of the request. */
#define UPSTREAM_WINDOW_S 10.0

/*
 * Maps a request's final line to its meaning; the first match is used. E600 is
 * a refused request, E610 the end of an admitted one, E612 a failed attempt.
 */
typedef struct {
    const char *event;
    const char *reason;  /* NULL: any */
    const char *outcome; /* outcome= of an attempt; NULL: any */
    const char *meaning;
} cause_t;

static const cause_t causes[] = {
    {"E610", "no_upstream_left", "lost",
     "An upstream received the request and its answer was lost. The request "
     "may have run; its route does not allow a retry or no upstream was "
     "left."},
    {"E610", "no_upstream_left", "failed",
     "Upstreams answered with a failure or an invalid answer."},
    {"E610", "no_upstream_left", NULL,
     "No upstream was left to send the request to."},
    {"E610", "too_few_shards", NULL,
     "More shards failed than may be missing in a partial answer."},
    {"E610", "deadline", NULL,
     "The deadline passed. open= lists the unfinished services, each with "
     "the upstream it was sent to or its state, and the milliseconds since."},
    {"E610", "leaving", NULL,
     "The daemon shut down before the request was answered."},
    {"E610", "caller_gone", NULL,
     "The caller disconnected before the answer."},
    {"E610", "crashes_upstreams", NULL,
     "Each upstream that received the request crashed; it is not sent again."},
    {"E600", "no_room_in_time", NULL,
     "No upstream could have answered before the deadline. cause= lists the "
     "services concerned, each with its listed upstreams, the concurrency "
     "limit of the usable ones and its queued requests. The request was sent "
     "nowhere."},
    {"E600", "crashes_upstreams", NULL,
     "Requests like this one crashed upstreams; it was sent nowhere."},
    {"E600", "no_route", NULL,
     "The configuration in force at the daemon has no route for the request."},
    {"E600", "no_configuration", NULL,
     "The daemon had no configuration yet: it had just started and reached "
     "neither the store nor another daemon."},
    {"E600", "too_many_requests", NULL,
     "The daemon had reached its maximum number of requests."},
    {"E600", "shards_silent", NULL,
     "More shards had stopped responding than the answer may lack."},
    {"E600", "leaving", NULL, "The daemon was shutting down."},
    {"E600", NULL, NULL, "The request was refused and sent nowhere."},
    {"E610", NULL, NULL, "It was answered."},
};

/* Copies the value of a field; returns false if the line has no such field. */
static bool
field_read(const char *line, const char *name, char *value, size_t size)
{
    size_t length = strlen(name);
    for (const char *at = line; (at = strstr(at, name)) != NULL; at++) {
        if (at != line && at[-1] == ' ' && at[length] == '=') {
            snprintf(value, size, "%.*s", (int)strcspn(at + length + 1, " \n"),
                     at + length + 1);
            return true;
        }
    }
    return false;
}

static bool
field_equals(const char *line, const char *name, const char *wanted)
{
    char value[VALUE_SIZE];
    return field_read(line, name, value, sizeof(value)) &&
           strcmp(value, wanted) == 0;
}

/* Returns whether the line logs that event, for example "E610". */
static bool
is_event(const char *line, const char *event)
{
    const char *at = strstr(line, event);
    return at != NULL && at != line && at[-1] == ' ' &&
           at[strlen(event)] == ' ';
}

/* Returns whether the line is about the request or the state of a daemon. */
static bool
is_relevant(const char *line, const char *id)
{
    static const char *const state_events[] = {"E100", "E101", "E102", "E200",
                                               "E209", "E300", "E301", "E314",
                                               "E315", "E316", "E317"};
    for (size_t i = 0; i < sizeof(state_events) / sizeof(state_events[0]);
         i++) {
        if (is_event(line, state_events[i])) {
            return true;
        }
    }
    return field_equals(line, "id", id);
}

bool
explain_log_add(explain_log_t *log, const char *line, const char *id)
{
    if (!is_relevant(line, id)) {
        return true;
    }
    if (log->count == log->capacity) {
        size_t capacity =
            log->capacity > 0 ? 2 * log->capacity : LINES_INITIAL_CAPACITY;
        explain_line_t *grown =
            realloc(log->lines, capacity * sizeof(*log->lines));
        if (grown == NULL) {
            return false;
        }
        log->lines = grown;
        log->capacity = capacity;
    }
    char *text = strdup(line);
    if (text == NULL) {
        return false;
    }
    text[strcspn(text, "\r\n")] = '\0';
    log->lines[log->count++] =
        (explain_line_t){.text = text, .time_s = strtod(text, NULL)};
    return true;
}

static int
line_compare(const void *left, const void *right)
{
    const explain_line_t *a = left;
    const explain_line_t *b = right;
    return a->time_s < b->time_s ? -1 : a->time_s > b->time_s ? 1 : 0;
}

/* Returns the last line that logs the end of the request, or NULL. */
static const explain_line_t *
find_final_line(const explain_log_t *log, const char *id)
{
    for (size_t i = log->count; i-- > 0;) {
        const explain_line_t *line = &log->lines[i];
        if (field_equals(line->text, "id", id) &&
            (is_event(line->text, "E610") || is_event(line->text, "E600"))) {
            return line;
        }
    }
    return NULL;
}

static bool
has_attempt_outcome(const explain_log_t *log, const char *id,
                    const char *outcome)
{
    for (size_t i = 0; i < log->count; i++) {
        const char *line = log->lines[i].text;
        if (is_event(line, "E612") && field_equals(line, "id", id) &&
            field_equals(line, "outcome", outcome)) {
            return true;
        }
    }
    return false;
}

static const char *
find_meaning(const explain_log_t *log, const char *id, const char *line)
{
    for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
        const cause_t *cause = &causes[i];
        if (is_event(line, cause->event) &&
            (cause->reason == NULL ||
             field_equals(line, "reason", cause->reason)) &&
            (cause->outcome == NULL ||
             has_attempt_outcome(log, id, cause->outcome))) {
            return cause->meaning;
        }
    }
    return "The log lines do not show why the request ended.";
}

static void
line_print(const explain_line_t *line, double since_s, FILE *out)
{
    const char *text = strchr(line->text, ' ');
    fprintf(out, "  %+9.3f s%s\n", line->time_s - since_s,
            text != NULL ? text : "");
}

/* Returns the last line with one of the events that the daemon logged up to
   until_s, or NULL. */
static const explain_line_t *
find_state_line(const explain_log_t *log, const char *daemon,
                const char *const *events, size_t event_count, double until_s)
{
    const explain_line_t *found = NULL;
    for (size_t i = 0; i < log->count; i++) {
        const explain_line_t *line = &log->lines[i];
        if (line->time_s > until_s ||
            !field_equals(line->text, "daemon", daemon)) {
            continue;
        }
        for (size_t j = 0; j < event_count; j++) {
            if (is_event(line->text, events[j])) {
                found = line;
            }
        }
    }
    return found;
}

static void
state_print(const explain_log_t *log, const char *daemon, double until_s,
            FILE *out)
{
    /* Only the last line of each pair is shown: daemon started or stopping,
       configuration in force, store down or back, zone closed, state or
       upstreams received from a peer. */
    static const char *const event_pairs[][2] = {
        {"E100", "E101"}, {"E200", "E200"}, {"E300", "E301"},
        {"E209", "E209"}, {"E316", "E317"},
    };
    fprintf(out, "state of %s, as last logged before the end:\n", daemon);
    for (size_t i = 0; i < sizeof(event_pairs) / sizeof(event_pairs[0]); i++) {
        const explain_line_t *line =
            find_state_line(log, daemon, event_pairs[i], 2, until_s);
        if (line != NULL) {
            line_print(line, until_s, out);
        }
    }
}

/*
 * Prints the lines that the daemon logged around the end of the request about
 * changes of the upstreams that the request was sent to.
 */
static void
upstream_changes_print(const explain_log_t *log, const char *id,
                       const char *daemon, double end_s, FILE *out)
{
    char names[UPSTREAMS_SHOWN_MAX][VALUE_SIZE];
    size_t count = 0;
    for (size_t i = 0; i < log->count && count < UPSTREAMS_SHOWN_MAX; i++) {
        const char *line = log->lines[i].text;
        if (field_equals(line, "id", id) &&
            field_read(line, "instance", names[count], VALUE_SIZE)) {
            count++;
        }
    }
    fprintf(out, "changes of the upstreams that the request was sent to:\n");
    for (size_t i = 0; i < log->count; i++) {
        const explain_line_t *line = &log->lines[i];
        bool used = false;
        for (size_t j = 0; j < count; j++) {
            used |= field_equals(line->text, "instance", names[j]);
        }
        if (used && is_event(line->text, "E314") &&
            field_equals(line->text, "daemon", daemon) &&
            line->time_s > end_s - UPSTREAM_WINDOW_S &&
            line->time_s < end_s + UPSTREAM_WINDOW_S) {
            line_print(line, end_s, out);
        }
    }
}

bool
explain_log_print(explain_log_t *log, const char *id, FILE *out)
{
    qsort(log->lines, log->count, sizeof(*log->lines), line_compare);
    const explain_line_t *final = find_final_line(log, id);
    if (final == NULL) {
        return false;
    }
    char daemon[VALUE_SIZE] = "-";
    char status[VALUE_SIZE] = "-";
    char reason[VALUE_SIZE] = "-";
    field_read(final->text, "daemon", daemon, sizeof(daemon));
    field_read(final->text, "status", status, sizeof(status));
    field_read(final->text, "reason", reason, sizeof(reason));
    fprintf(out, "%s: %s %s, at %s\n%s\n", id, status, reason, daemon,
            find_meaning(log, id, final->text));
    fprintf(out, "lines of the request:\n");
    for (size_t i = 0; i < log->count; i++) {
        if (field_equals(log->lines[i].text, "id", id)) {
            line_print(&log->lines[i], final->time_s, out);
        }
    }
    state_print(log, daemon, final->time_s, out);
    upstream_changes_print(log, id, daemon, final->time_s, out);
    return true;
}

void
explain_log_release(explain_log_t *log)
{
    for (size_t i = 0; i < log->count; i++) {
        free(log->lines[i].text);
    }
    free(log->lines);
    *log = (explain_log_t){0};
}
