#include "daemon/heartbeat.h"

#include <stdio.h>
#include <string.h>

enum {
    FLAG_GRANTS = 1,
    FLAG_HOLDS_LEASE = 2,
    FLAG_REQUESTS_GRANT = 4,
    U64_BYTES = 8
};

/* Offsets of the fields in an encoded lease. */
enum {
    LEASE_OFFSET_VERSION = 0,
    LEASE_OFFSET_ACKED = 8,
    LEASE_OFFSET_SENT = 16,
    LEASE_OFFSET_ECHO = 24,
    LEASE_OFFSET_FLAGS = 32
};

/* Offsets of the fields in an encoded report; the version is at 0. */
enum { REPORT_OFFSET_HOLDS = 8, REPORT_OFFSET_TRUST = 16 };

#define LEASE_KEY "lease"
#define REPORT_KEY "config"

static void
put_u64_le(uint8_t *out, uint64_t value)
{
    for (int i = 0; i < U64_BYTES; i++) {
        out[i] = (uint8_t)(value >> (8 * i));
    }
}

static uint64_t
get_u64_le(const uint8_t *in)
{
    uint64_t value = 0;
    for (int i = 0; i < U64_BYTES; i++) {
        value |= (uint64_t)in[i] << (8 * i);
    }
    return value;
}

static void
lease_encode(const roster_heartbeat_t *lease,
             uint8_t out[HEARTBEAT_LEASE_BYTES])
{
    put_u64_le(out + LEASE_OFFSET_VERSION, lease->version);
    put_u64_le(out + LEASE_OFFSET_ACKED, lease->acked_version);
    put_u64_le(out + LEASE_OFFSET_SENT, (uint64_t)lease->sent_us);
    put_u64_le(out + LEASE_OFFSET_ECHO, (uint64_t)lease->echo_us);
    out[LEASE_OFFSET_FLAGS] =
        (lease->grants ? FLAG_GRANTS : 0) |
        (lease->holds_lease ? FLAG_HOLDS_LEASE : 0) |
        (lease->requests_grant ? FLAG_REQUESTS_GRANT : 0);
}

static void
report_encode(const confsync_report_t *report,
              uint8_t out[HEARTBEAT_REPORT_BYTES])
{
    put_u64_le(out, report->version);
    put_u64_le(out + REPORT_OFFSET_HOLDS, report->holds_digest);
    put_u64_le(out + REPORT_OFFSET_TRUST, (uint64_t)report->trust_us);
}

void
heartbeat_make_message(const roster_heartbeat_t *lease,
                       const confsync_report_t *report, bool store_failing,
                       heartbeat_buffer_t *buffer, message_t *message)
{
    lease_encode(lease, buffer->lease);
    report_encode(report, buffer->report);
    buffer->pairs[0] = (heartbeat_pair_t){
        .key = LEASE_KEY,
        .value = buffer->lease,
        .size = sizeof(buffer->lease),
    };
    buffer->pairs[1] = (heartbeat_pair_t){
        .key = REPORT_KEY,
        .value = buffer->report,
        .size = sizeof(buffer->report),
    };
    *message = (message_t){
        .type = MESSAGE_HEARTBEAT,
        .heartbeat =
            {
                .roster_version = lease->version,
                .config_version = report->version,
                .store_failing = store_failing,
                .pairs = buffer->pairs,
                .pair_count = HEARTBEAT_PAIRS,
            },
    };
}

/* Value of the pair with this key and size; NULL: there is none. */
static const uint8_t *
find_pair(const heartbeat_t *heartbeat, const char *key, size_t size)
{
    for (size_t i = 0; i < heartbeat->pair_count; i++) {
        const heartbeat_pair_t *pair = &heartbeat->pairs[i];
        if (strcmp(pair->key, key) == 0 && pair->size == size) {
            return pair->value;
        }
    }
    return NULL;
}

bool
heartbeat_parse_lease(const char *peer, uint64_t incarnation,
                      const heartbeat_t *heartbeat, roster_heartbeat_t *lease)
{
    const uint8_t *value =
        find_pair(heartbeat, LEASE_KEY, HEARTBEAT_LEASE_BYTES);
    if (value == NULL) {
        return false;
    }
    uint8_t flags = value[LEASE_OFFSET_FLAGS];
    *lease = (roster_heartbeat_t){
        .incarnation = incarnation,
        .version = get_u64_le(value + LEASE_OFFSET_VERSION),
        .acked_version = get_u64_le(value + LEASE_OFFSET_ACKED),
        .sent_us = (int64_t)get_u64_le(value + LEASE_OFFSET_SENT),
        .echo_us = (int64_t)get_u64_le(value + LEASE_OFFSET_ECHO),
        .grants = (flags & FLAG_GRANTS) != 0,
        .holds_lease = (flags & FLAG_HOLDS_LEASE) != 0,
        .requests_grant = (flags & FLAG_REQUESTS_GRANT) != 0,
    };
    snprintf(lease->name, sizeof(lease->name), "%s", peer);
    return true;
}

bool
heartbeat_parse_report(const heartbeat_t *heartbeat, confsync_report_t *report)
{
    const uint8_t *value =
        find_pair(heartbeat, REPORT_KEY, HEARTBEAT_REPORT_BYTES);
    if (value == NULL) {
        return false;
    }
    *report = (confsync_report_t){
        .version = get_u64_le(value),
        .holds_digest = get_u64_le(value + REPORT_OFFSET_HOLDS),
        .trust_us = (int64_t)get_u64_le(value + REPORT_OFFSET_TRUST),
    };
    return true;
}
