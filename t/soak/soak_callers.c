/* Callers with keep-alive connections, which check each response. */
#include "daemon/clock.h"
#include "platform/names.h"
#include "t/soak/soak_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { BODY_MAX = 4096, TOP_K = 2 };

static int
compare_records_descending(const void *left, const void *right)
{
    return memcmp(right, left, RECORD_BYTES);
}

/*
 * Merge the parts that the signatures name and write the top records to top.
 * Returns the number of parts, or SHARDS + 1 if a signature is not that of a
 * shard's part of the request.
 */
static uint32_t
merge_named_parts(const char *signatures, uint32_t request, uint8_t *top)
{
    uint8_t records[SHARDS * PART_BYTES] = {0};
    uint32_t parts = 0;
    char expected[32];
    for (uint32_t service = 0; service < SHARDS; service++) {
        snprintf(expected, sizeof(expected), "%u.r-%u", service, request);
        const char *found = strstr(signatures, expected);
        size_t length = strlen(expected);
        if (found != NULL && (found[length] == '\0' || found[length] == ',') &&
            (found == signatures || found[-1] == ' ' || found[-1] == ',')) {
            upstream_fill_part(service, request, records + parts * PART_BYTES);
            parts++;
        }
    }
    uint32_t named = 1;
    for (const char *at = signatures; *at != '\0'; at++) {
        named += *at == ',' ? 1 : 0;
    }
    qsort(records, parts * PART_BYTES / RECORD_BYTES, RECORD_BYTES,
          compare_records_descending);
    memcpy(top, records, TOP_K * RECORD_BYTES);
    return named == parts ? parts : SHARDS + 1;
}

static void
check_merged_response(caller_t *caller, const http_message_t *message)
{
    request_log_t *request_log = caller->soak->request_log;
    const char *signatures = http_header_find(message, HEADER_PART_SIGNATURES);
    const char *missing = http_header_find(message, HEADER_PARTS_MISSING);
    uint8_t top[TOP_K * RECORD_BYTES];
    uint32_t parts = signatures != NULL && missing != NULL
                         ? merge_named_parts(signatures, caller->request, top)
                         : SHARDS + 1;
    if (parts > SHARDS || parts == 0 ||
        parts + (uint32_t)atoi(missing) != SHARDS) {
        request_log_add_violation(
            request_log, "MIXED",
            "r-%u: parts %s and %s missing do not make all shards",
            caller->request, signatures != NULL ? signatures : "-",
            missing != NULL ? missing : "-");
        return;
    }
    if (buffer_size(&message->body) != sizeof(top) ||
        memcmp(buffer_data(&message->body), top, sizeof(top)) != 0) {
        request_log_add_violation(
            request_log, "MIXED",
            "r-%u: body differs from the merged top records of its parts",
            caller->request);
    }
}

static void
check_single_response(caller_t *caller, const http_message_t *message)
{
    const request_log_entry_t *entry =
        request_log_entry(caller->soak->request_log, caller->request);
    const char *signature = http_header_find(message, HEADER_SIGNATURE);
    uint8_t part[PART_BYTES];
    uint32_t service = signature != NULL ? (uint32_t)atoi(signature) : 0;
    char expected[32];
    bool ran = false;
    for (uint32_t i = 0; i < entry->arrival_count; i++) {
        ran |= !entry->arrivals[i].rejected &&
               entry->arrivals[i].service == service;
    }
    snprintf(expected, sizeof(expected), "%u.r-%u", service, caller->request);
    upstream_fill_part(service, caller->request, part);
    if (signature == NULL || strcmp(signature, expected) != 0 || !ran ||
        buffer_size(&message->body) != sizeof(part) ||
        memcmp(buffer_data(&message->body), part, sizeof(part)) != 0) {
        request_log_add_violation(
            caller->soak->request_log, "MIXED",
            "r-%u: signature %s or body is not that of an upstream's "
            "response",
            caller->request, signature != NULL ? signature : "-");
    }
}

static void
caller_close(caller_t *caller)
{
    conn_close(&caller->conn);
    caller->open = false;
    caller->request = 0;
}

static void
caller_data(conn_t *conn, const char *bytes, size_t size)
{
    caller_t *caller = conn->owner;
    const http_message_t *message = &caller->reader.message;
    size_t used = 0;
    http_state_t state = HTTP_MALFORMED;
    if (caller->request != 0) {
        state = http_reader_feed(&caller->reader, bytes, size, &used);
    }
    if (state == HTTP_INCOMPLETE) {
        return;
    }
    if (state != HTTP_DONE || used < size) {
        request_log_add_violation(
            caller->soak->request_log, "MIXED",
            "received bytes that are not a response to a request");
        caller_close(caller);
        return;
    }
    if (message->status == 200) {
        const request_log_entry_t *entry =
            request_log_entry(caller->soak->request_log, caller->request);
        (entry->kind == KIND_GATHER ? check_merged_response
                                    : check_single_response)(caller, message);
    }
    keys_check_result(caller->soak, caller->request, message->status);
    request_log_set_result(caller->soak->request_log, caller->request,
                           message->status, clock_now_us());
    caller->request = 0;
    if (message->keep_alive) {
        http_reader_next(&caller->reader);
    }
    else {
        caller_close(caller);
    }
}

/*
 * Check a connection that ended with a pending request. A daemon that exits on
 * SIGTERM, without other faults, may lose only a request that is at most
 * LOSS_SLACK_US old and has not reached an upstream.
 */
static void
check_lost_response(caller_t *caller, int64_t now_us)
{
    soak_t *soak = caller->soak;
    const request_log_entry_t *entry =
        request_log_entry(soak->request_log, caller->request);
    const daemon_t *daemon = &soak->daemons[caller->daemon];
    bool only_planned_exit =
        daemon->sigterm_us != 0 &&
        entry->sent_us - daemon->last_fault_us > STABLE_US &&
        now_us < daemon->sigterm_us + GRACE_S * 1000000LL;
    if (only_planned_exit && (entry->arrival_count > 0 ||
                              now_us - entry->sent_us > LOSS_SLACK_US)) {
        request_log_add_violation(
            soak->request_log, "LOST",
            "r-%u: connection lost %lld ms after the SIGTERM", caller->request,
            (long long)(now_us - daemon->sigterm_us) / 1000);
    }
}

static void
caller_disconnected(conn_t *conn, bool clean)
{
    caller_t *caller = conn->owner;
    int64_t now_us = clock_now_us();
    (void)clean;
    if (caller->request != 0) {
        check_lost_response(caller, now_us);
        request_log_set_result(caller->soak->request_log, caller->request, 0,
                               now_us);
    }
    caller_close(caller);
}

static const conn_ops_t caller_ops = {
    .data = caller_data,
    .disconnected = caller_disconnected,
};

/*
 * An idle connection to that daemon, or a new one; NULL if all are in use or
 * the connection fails.
 */
static caller_t *
caller_acquire(soak_t *soak, uint32_t daemon)
{
    static const http_limits_t limits = {.max_body_bytes = BODY_MAX};
    caller_t *spare = NULL;
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        caller_t *caller = &soak->callers[i];
        if (!caller->open) {
            spare = caller;
        }
        else if (caller->request == 0 && caller->daemon == daemon) {
            return caller;
        }
    }
    if (spare == NULL || !conn_open(&spare->conn, soak->loop,
                                    &soak->daemons[daemon].settings.callers,
                                    &caller_ops, spare)) {
        return NULL;
    }
    http_reader_release(&spare->reader);
    http_reader_init(&spare->reader, HTTP_RESPONSES, &limits);
    spare->soak = soak;
    spare->daemon = daemon;
    spare->open = true;
    return spare;
}

void
callers_send(soak_t *soak, int64_t now_us)
{
    static const request_kind_t kinds[] = {KIND_IDEMPOTENT, KIND_IDEMPOTENT,
                                           KIND_IDEMPOTENT,
                                           KIND_NON_IDEMPOTENT, KIND_GATHER};
    request_log_entry_t entry = {
        .kind = kinds[soak_random(soak, sizeof(kinds) / sizeof(kinds[0]))],
        .daemon = soak_random(soak, soak->daemon_count),
        .sent_us = now_us,
    };
    entry.service = entry.kind == KIND_IDEMPOTENT ? soak->idempotent_service
                    : entry.kind == KIND_NON_IDEMPOTENT ? SHARDS
                                                        : 0;
    caller_t *caller = caller_acquire(soak, entry.daemon);
    if (caller == NULL) {
        return;
    }
    static const char *const starts[] = {
        [KIND_IDEMPOTENT] = "GET /one/",
        [KIND_NON_IDEMPOTENT] = "POST /once/",
        [KIND_GATHER] = "GET /all/",
    };
    char text[512];
    char body[64] = "";
    char keys[128];
    entry.may_be_refused =
        keys_may_refuse(request_log_count(soak->request_log) + 1);
    uint32_t number = request_log_add_request(soak->request_log, &entry);
    if (entry.kind == KIND_NON_IDEMPOTENT) {
        snprintf(body, sizeof(body), "body of r-%u", number);
    }
    keys_format_headers(number, keys, sizeof(keys));
    int size = snprintf(text, sizeof(text),
                        "%sr-%u HTTP/1.1\r\nHost: h\r\n" HEADER_REQUEST_ID
                        ": r-%u\r\n" HEADER_DEADLINE_MS
                        ": %d\r\n%sContent-Length: %zu\r\n\r\n%s",
                        starts[entry.kind], number, number, DEADLINE_US / 1000,
                        keys, strlen(body), body);
    caller->request = number;
    if (!conn_write(&caller->conn, text, (size_t)size)) {
        request_log_set_result(soak->request_log, number, 0, now_us);
        caller_close(caller);
    }
}

void
callers_expire(soak_t *soak, int64_t now_us)
{
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        caller_t *caller = &soak->callers[i];
        if (!caller->open || caller->request == 0) {
            continue;
        }
        const request_log_entry_t *entry =
            request_log_entry(soak->request_log, caller->request);
        const daemon_t *daemon = &soak->daemons[caller->daemon];
        if (now_us < entry->sent_us + DEADLINE_US + ANSWER_SLACK_US) {
            continue;
        }
        if (entry->sent_us - daemon->last_fault_us > ANSWER_SLACK_US) {
            request_log_add_violation(
                soak->request_log, "HELD",
                "r-%u: no response from %s within its deadline",
                caller->request, daemon->name);
        }
        request_log_set_result(soak->request_log, caller->request, 0, now_us);
        caller_close(caller);
    }
}
