/*
 * Numbered log events.
 *
 * Each log line of the daemons is an event of this catalogue, which has a
 * stable number, a name and a level, followed by key=value fields.
 * docs/EVENTS.md lists the events with their causes and remedies. Events are
 * counted, and the latest are kept for `yuccarun status`.
 *
 *     event_log_open(EVENT_LEVEL_INFO, NULL, "a1");
 *     event_log(EVENT_PEER_UP, "peer=%s", name);
 *     event_log_close();
 *
 * While the log is open, all functions may be called from any thread. Before
 * that, events are counted and kept, but not written.
 */
#ifndef EDGE_EVENT_H
#define EDGE_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    EVENT_LEVEL_DEBUG,
    EVENT_LEVEL_INFO,
    EVENT_LEVEL_WARN,
    EVENT_LEVEL_ERROR
} event_level_t;

/* X(symbol, number, name, level); the symbol is the name in upper case. */
#define EVENT_CATALOGUE(X)                                                    \
    X(STARTED, 100, "started", INFO)                                          \
    X(STOPPING, 101, "stopping", INFO)                                        \
    X(STOPPED, 102, "stopped", INFO)                                          \
    X(HURRIED, 103, "hurried", WARN)                                          \
    X(SETTINGS_CHANGED, 104, "settings_changed", INFO)                        \
    X(LISTEN_FAILED, 111, "listen_failed", ERROR)                             \
    X(CONFIG_IN_FORCE, 200, "config_in_force", INFO)                          \
    X(CONFIG_REFUSED, 201, "config_refused", ERROR)                           \
    X(CONFIG_OLDER_IGNORED, 202, "config_older_ignored", WARN)                \
    X(CONFIG_FROM_PEER, 203, "config_from_peer", INFO)                        \
    X(CONFIG_CHANGED_BY_OPERATOR, 204, "config_changed_by_operator", INFO)    \
    X(CONFIG_UNTRUSTED, 205, "config_untrusted", ERROR)                       \
    X(CONFIG_TRUSTED_AGAIN, 206, "config_trusted_again", INFO)                \
    X(HOLDS_CHANGED, 207, "holds_changed", WARN)                              \
    X(CONFIG_WRITTEN_BACK, 208, "config_written_back", WARN)                  \
    X(ZONE_CLOSED, 209, "zone_closed", WARN)                                  \
    X(STORE_DOWN, 300, "store_down", ERROR)                                   \
    X(STORE_BACK, 301, "store_back", INFO)                                    \
    X(VM_LIST_DOWN, 310, "vm_list_down", WARN)                                \
    X(VM_LIST_BACK, 311, "vm_list_back", INFO)                                \
    X(TOPOLOGY_CHANGED, 312, "topology_changed", INFO)                        \
    X(PARTITION_CHANGED, 313, "partition_changed", INFO)                      \
    X(INSTANCE_CHANGED, 314, "instance_changed", INFO)                        \
    X(REGISTRY_COPY_READ, 315, "registry_copy_read", INFO)                    \
    X(STATE_FROM_PEER, 316, "state_from_peer", WARN)                          \
    X(UPSTREAMS_TOLD, 317, "upstreams_told", INFO)                            \
    X(STORE_RESTORED, 318, "store_restored", WARN)                            \
    X(STORE_DOUBTED, 319, "store_doubted", INFO)                              \
    X(LEASE_HELD, 400, "lease_held", INFO)                                    \
    X(LEASE_LOST, 401, "lease_lost", WARN)                                    \
    X(MEMBER_JOINED, 402, "member_joined", INFO)                              \
    X(MEMBER_LEFT, 403, "member_left", INFO)                                  \
    X(MEMBER_REMOVED, 404, "member_removed", WARN)                            \
    X(OWNERS_CHANGED, 405, "owners_changed", INFO)                            \
    X(MEMBERS_CHANGED, 406, "members_changed", INFO)                          \
    X(PEER_UP, 410, "peer_up", INFO)                                          \
    X(PEER_DOWN, 411, "peer_down", WARN)                                      \
    X(MEMBER_STATE, 412, "member_state", WARN)                                \
    X(ROLLOUT_ORDERED, 420, "rollout_ordered", INFO)                          \
    X(ROLLOUT_STATUS, 421, "rollout_status", INFO)                            \
    X(ROLLOUT_STOPPED, 422, "rollout_stopped", WARN)                          \
    X(ROLLOUT_DECIDED, 423, "rollout_decided", INFO)                          \
    X(UPSTREAM_COLD, 500, "upstream_cold", WARN)                              \
    X(UPSTREAM_WARM, 501, "upstream_warm", INFO)                              \
    X(UPSTREAM_BAD_REPLY, 502, "upstream_bad_reply", WARN)                    \
    X(REQUEST_QUARANTINED, 503, "request_quarantined", ERROR)                 \
    X(REQUEST_SUSPECTED, 504, "request_suspected", WARN)                      \
    X(UPSTREAM_LEAVING, 505, "upstream_leaving", INFO)                        \
    X(UPSTREAM_RESTING, 506, "upstream_resting", INFO)                        \
    X(UPSTREAM_LIMITED, 507, "upstream_limited", INFO)                        \
    X(UPSTREAM_UNLIMITED, 508, "upstream_unlimited", INFO)                    \
    X(UPSTREAMS_UNREACHABLE, 509, "upstreams_unreachable", WARN)              \
    X(UPSTREAMS_REACHABLE, 510, "upstreams_reachable", INFO)                  \
    X(REQUEST_REFUSED, 600, "request_refused", INFO)                          \
    X(OPERATOR_DENIED, 601, "operator_denied", WARN)                          \
    X(INPUT_REFUSED, 602, "input_refused", WARN)                              \
    X(REQUEST_ANSWERED, 610, "request_answered", INFO)                        \
    X(REQUEST_SENT_AGAIN, 611, "request_sent_again", INFO)                    \
    X(ATTEMPT_FAILED, 612, "attempt_failed", INFO)                            \
    X(REQUEST_RELAYED, 613, "request_relayed", INFO)                          \
    X(TENANT_AT_LIMIT, 622, "tenant_at_limit", INFO)                          \
    X(TENANT_ABOVE_PART, 626, "tenant_above_part", INFO)                      \
    X(ZONE_MOSTLY_LEFT, 630, "zone_mostly_left", INFO)                        \
    X(ZONE_MOSTLY_USED, 631, "zone_mostly_used", INFO)

#define EVENT_SYMBOL(symbol, number, name, level) EVENT_##symbol,
typedef enum { EVENT_CATALOGUE(EVENT_SYMBOL) EVENT_COUNT } event_t;
#undef EVENT_SYMBOL

enum {
    EVENT_TEXT_MAX = 240, /* bytes of the fields kept in event_record_t */
    EVENT_LINE_MAX = 640, /* bytes of the fields in a log line */
    EVENT_RECENT_MAX = 64 /* events kept */
};

/* A logged event, kept for the status report. */
typedef struct {
    event_t event;
    int64_t at_us; /* wall-clock time, from the epoch */
    char text[EVENT_TEXT_MAX];
} event_record_t;

/* Return the number and the name of an event: 411, "peer_down". */
int event_number(event_t event);
const char *event_name(event_t event);

event_level_t event_level(event_t event);

/*
 * Parses the name of a level: "debug", "info", "warn" or "error". Returns
 * false for any other name.
 */
bool event_level_parse(const char *name, event_level_t *level);

/*
 * Opens the log on a file, or on the standard error if path is NULL. Events
 * below level are not written. daemon is the daemon's name, which each line
 * contains. Returns false if the file cannot be opened for writing.
 */
bool event_log_open(event_level_t level, const char *path, const char *daemon);

/*
 * Function that writes a line, which has no newline. It is called with the
 * log's lock held, so it must not block. now_us is the monotonic time.
 */
typedef void (*event_sink_fn_t)(void *context, const char *line, size_t size,
                                int64_t now_us);

/* As event_log_open, but passes each line to a function. */
void event_log_open_sink(event_level_t level, const char *daemon,
                         event_sink_fn_t sink, void *context);

/* Closes the log opened by either function. */
void event_log_close(void);

/* Logs an event with key=value fields; see EVENT_LINE_MAX. */
void event_log(event_t event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns how often the event was logged, including below the log's level. */
uint64_t event_count(event_t event);

/*
 * Copies the latest events above debug level to out, the newest first, at most
 * max of them; returns how many.
 */
size_t event_recent(event_record_t *out, size_t max);

#endif
