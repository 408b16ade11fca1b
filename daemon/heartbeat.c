#include "daemon/heartbeat.h"

#include <stdio.h>
#include <string.h>

enum { FLAG_GRANTING = 1, FLAG_HOLDING = 2, WORD_BYTES = 8 };

/* Offsets of the fields within the lease's bytes. */
enum {
    AT_VERSION = 0,
    AT_SEEN = 8,
    AT_SENT = 16,
    AT_ECHO = 24,
    AT_FLAGS = 32
};

#define LEASE_KEY "lease"

static void
put_word(uint8_t *out, uint64_t word)
{
    for (int i = 0; i < WORD_BYTES; i++) {
        out[i] = (uint8_t)(word >> (8 * i));
    }
}

static uint64_t
get_word(const uint8_t *in)
{
    uint64_t word = 0;
    for (int i = 0; i < WORD_BYTES; i++) {
        word |= (uint64_t)in[i] << (8 * i);
    }
    return word;
}

static void
lease_encode(const roster_heartbeat_t *lease,
             uint8_t out[HEARTBEAT_LEASE_BYTES])
{
    put_word(out + AT_VERSION, lease->version);
    put_word(out + AT_SEEN, lease->seen);
    put_word(out + AT_SENT, (uint64_t)lease->sent_us);
    put_word(out + AT_ECHO, (uint64_t)lease->echo_us);
    out[AT_FLAGS] = (lease->granting ? FLAG_GRANTING : 0) |
                    (lease->holding ? FLAG_HOLDING : 0);
}

void
heartbeat_message(const roster_heartbeat_t *lease, uint64_t config_version,
                  bool store_failing, heartbeat_buffer_t *buffer,
                  message_t *message)
{
    lease_encode(lease, buffer->lease);
    buffer->pair = (pair_t){
        .key = LEASE_KEY,
        .value = buffer->lease,
        .size = sizeof(buffer->lease),
    };
    *message = (message_t){
        .type = MESSAGE_HEARTBEAT,
        .heartbeat =
            {
                .roster_version = lease->version,
                .config_version = config_version,
                .store_failing = store_failing,
                .pairs = &buffer->pair,
                .pair_count = 1,
            },
    };
}

bool
heartbeat_lease(const char *peer, uint64_t incarnation,
                const heartbeat_t *heartbeat, roster_heartbeat_t *lease)
{
    for (size_t i = 0; i < heartbeat->pair_count; i++) {
        const pair_t *pair = &heartbeat->pairs[i];
        if (strcmp(pair->key, LEASE_KEY) != 0 ||
            pair->size != HEARTBEAT_LEASE_BYTES) {
            continue;
        }
        uint8_t flags = pair->value[AT_FLAGS];
        *lease = (roster_heartbeat_t){
            .incarnation = incarnation,
            .version = get_word(pair->value + AT_VERSION),
            .seen = get_word(pair->value + AT_SEEN),
            .sent_us = (int64_t)get_word(pair->value + AT_SENT),
            .echo_us = (int64_t)get_word(pair->value + AT_ECHO),
            .granting = (flags & FLAG_GRANTING) != 0,
            .holding = (flags & FLAG_HOLDING) != 0,
        };
        snprintf(lease->name, sizeof(lease->name), "%s", peer);
        return true;
    }
    return false;
}
