/* Callers that keep their connections, and check what they get. */
#include "daemon/clock.h"
#include "platform/names.h"
#include "t/soak/world_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { BODY_MAX = 4096, SHARD_TOP = 2 };

static int
record_order(const void *left, const void *right)
{
    return memcmp(right, left, RECORD);
}

/* The body that the named parts make; how many parts are named. */
static uint32_t
merged_parts(const char *signatures, uint32_t request, uint8_t *top)
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
            upstream_part(service, request, records + parts * PART_BYTES);
            parts++;
        }
    }
    uint32_t named = 1;
    for (const char *at = signatures; *at != '\0'; at++) {
        named += *at == ',' ? 1 : 0;
    }
    qsort(records, parts * PART_BYTES / RECORD, RECORD, record_order);
    memcpy(top, records, SHARD_TOP * RECORD);
    return named == parts ? parts : SHARDS + 1;
}

static void
check_merged(caller_t *caller, const http_message_t *message)
{
    ledger_t *ledger = caller->world->ledger;
    const char *signatures = http_header_find(message, HEADER_PART_SIGNATURES);
    const char *missing = http_header_find(message, HEADER_PARTS_MISSING);
    uint8_t top[SHARD_TOP * RECORD];
    uint32_t parts = signatures != NULL && missing != NULL
                         ? merged_parts(signatures, caller->request, top)
                         : SHARDS + 1;
    if (parts > SHARDS || parts == 0 ||
        parts + (uint32_t)atoi(missing) != SHARDS) {
        ledger_break(ledger, "MIXED", "r-%u has the parts %s, missing %s",
                     caller->request, signatures != NULL ? signatures : "-",
                     missing != NULL ? missing : "-");
        return;
    }
    if (buffer_size(&message->body) != sizeof(top) ||
        memcmp(buffer_data(&message->body), top, sizeof(top)) != 0) {
        ledger_break(ledger, "MIXED", "r-%u is not the best of its parts",
                     caller->request);
    }
}

static void
check_single(caller_t *caller, const http_message_t *message)
{
    const ledger_entry_t *entry =
        ledger_entry(caller->world->ledger, caller->request);
    const char *signature = http_header_find(message, HEADER_SIGNATURE);
    uint8_t part[PART_BYTES];
    uint32_t service = signature != NULL ? (uint32_t)atoi(signature) : 0;
    char expected[32];
    bool ran = false;
    for (uint32_t i = 0; i < entry->run_count; i++) {
        ran |= !entry->runs[i].rejected && entry->runs[i].service == service;
    }
    snprintf(expected, sizeof(expected), "%u.r-%u", service, caller->request);
    upstream_part(service, caller->request, part);
    if (signature == NULL || strcmp(signature, expected) != 0 || !ran ||
        buffer_size(&message->body) != sizeof(part) ||
        memcmp(buffer_data(&message->body), part, sizeof(part)) != 0) {
        ledger_break(caller->world->ledger, "MIXED", "r-%u is answered by %s",
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
        ledger_break(caller->world->ledger, "MIXED",
                     "bytes that are no answer");
        caller_close(caller);
        return;
    }
    if (message->status == 200) {
        const ledger_entry_t *entry =
            ledger_entry(caller->world->ledger, caller->request);
        (entry->kind == KIND_ALL ? check_merged : check_single)(caller,
                                                                message);
    }
    ledger_ended(caller->world->ledger, caller->request, message->status,
                 clock_now_us());
    caller->request = 0;
    if (message->keep_alive) {
        http_reader_next(&caller->reader);
    }
    else {
        caller_close(caller);
    }
}

/* A connection that ends while a request is on it, around planned work. */
static void
check_lost(caller_t *caller, int64_t now_us)
{
    world_t *world = caller->world;
    const ledger_entry_t *entry = ledger_entry(world->ledger, caller->request);
    const daemon_t *daemon = &world->daemons[caller->daemon];
    bool planned_only = daemon->term_us != 0 &&
                        entry->sent_us - daemon->harmed_us > STABLE_US &&
                        now_us < daemon->term_us + GRACE_S * 1000000LL;
    if (planned_only &&
        (entry->run_count > 0 || now_us - entry->sent_us > LOSS_SLACK_US)) {
        ledger_break(world->ledger, "LOST", "r-%u, %lld ms after its SIGTERM",
                     caller->request,
                     (long long)(now_us - daemon->term_us) / 1000);
    }
}

static void
caller_ended(conn_t *conn, bool clean)
{
    caller_t *caller = conn->owner;
    int64_t now_us = clock_now_us();
    (void)clean;
    if (caller->request != 0) {
        check_lost(caller, now_us);
        ledger_ended(caller->world->ledger, caller->request, 0, now_us);
    }
    caller_close(caller);
}

static const conn_ops_t caller_ops = {
    .data = caller_data,
    .disconnected = caller_ended,
};

/* An idle connection to that daemon, or a new one; NULL: there is none. */
static caller_t *
caller_of(world_t *world, uint32_t daemon)
{
    static const http_limits_t limits = {.max_body_bytes = BODY_MAX};
    caller_t *spare = NULL;
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        caller_t *caller = &world->callers[i];
        if (!caller->open) {
            spare = caller;
        }
        else if (caller->request == 0 && caller->daemon == daemon) {
            return caller;
        }
    }
    if (spare == NULL || !conn_open(&spare->conn, world->loop,
                                    &world->daemons[daemon].settings.callers,
                                    &caller_ops, spare)) {
        return NULL;
    }
    http_reader_release(&spare->reader);
    http_reader_init(&spare->reader, HTTP_RESPONSES, &limits);
    spare->world = world;
    spare->daemon = daemon;
    spare->open = true;
    return spare;
}

void
callers_send(world_t *world, int64_t now_us)
{
    static const ledger_kind_t kinds[] = {KIND_ONE, KIND_ONE, KIND_ONE,
                                          KIND_ONCE, KIND_ALL};
    ledger_entry_t entry = {
        .kind = kinds[world_random(world, sizeof(kinds) / sizeof(kinds[0]))],
        .daemon = world_random(world, world->daemon_count),
        .sent_us = now_us,
    };
    entry.service = entry.kind == KIND_ONE    ? world->one_goes_to
                    : entry.kind == KIND_ONCE ? SHARDS
                                              : 0;
    caller_t *caller = caller_of(world, entry.daemon);
    if (caller == NULL) {
        return;
    }
    static const char *const starts[] = {
        [KIND_ONE] = "GET /one/",
        [KIND_ONCE] = "POST /once/",
        [KIND_ALL] = "GET /all/",
    };
    char text[512];
    char body[64] = "";
    uint32_t number = ledger_sent(world->ledger, &entry);
    if (entry.kind == KIND_ONCE) {
        snprintf(body, sizeof(body), "body of r-%u", number);
    }
    int size = snprintf(text, sizeof(text),
                        "%sr-%u HTTP/1.1\r\nHost: h\r\n" HEADER_REQUEST_ID
                        ": r-%u\r\n" HEADER_DEADLINE_MS
                        ": %d\r\nContent-Length: %zu\r\n\r\n%s",
                        starts[entry.kind], number, number, DEADLINE_US / 1000,
                        strlen(body), body);
    caller->request = number;
    if (!conn_write(&caller->conn, text, (size_t)size)) {
        ledger_ended(world->ledger, number, 0, now_us);
        caller_close(caller);
    }
}

/* Give up what has had its time; a daemon that ran all the while answers. */
void
callers_check(world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        caller_t *caller = &world->callers[i];
        if (!caller->open || caller->request == 0) {
            continue;
        }
        const ledger_entry_t *entry =
            ledger_entry(world->ledger, caller->request);
        const daemon_t *daemon = &world->daemons[caller->daemon];
        if (now_us < entry->sent_us + DEADLINE_US + HELD_US) {
            continue;
        }
        if (entry->sent_us - daemon->harmed_us > HELD_US) {
            ledger_break(world->ledger, "HELD", "r-%u has no answer from %s",
                         caller->request, daemon->name);
        }
        ledger_ended(world->ledger, caller->request, 0, now_us);
        caller_close(caller);
    }
}
