#include "daemon/heartbeat.h"

#include <stdio.h>
#include <string.h>

enum { FLAG_GRANTING = 1, FLAG_HOLDING = 2, FLAG_ASKING = 4, WORD_BYTES = 8 };

/* Offsets of the fields within the lease's bytes. */
enum {
    AT_VERSION = 0,
    AT_SEEN = 8,
    AT_SENT = 16,
    AT_ECHO = 24,
    AT_FLAGS = 32
};

/* Offsets of the fields within the word's bytes; the version comes first. */
enum { AT_HOLDS = 8, AT_TRUST = 16 };

#define LEASE_KEY "lease"
#define WORD_KEY "config"

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
    put_word(out + AT_SEEN, lease->acked_version);
    put_word(out + AT_SENT, (uint64_t)lease->sent_us);
    put_word(out + AT_ECHO, (uint64_t)lease->echo_us);
    out[AT_FLAGS] = (lease->grants ? FLAG_GRANTING : 0) |
                    (lease->holds_lease ? FLAG_HOLDING : 0) |
                    (lease->requests_grant ? FLAG_ASKING : 0);
}

static void
word_encode(const confsync_report_t *word, uint8_t out[HEARTBEAT_WORD_BYTES])
{
    put_word(out, word->version);
    put_word(out + AT_HOLDS, word->holds_digest);
    put_word(out + AT_TRUST, (uint64_t)word->trust_us);
}

void
heartbeat_message(const roster_heartbeat_t *lease,
                  const confsync_report_t *word, bool store_failing,
                  heartbeat_buffer_t *buffer, message_t *message)
{
    lease_encode(lease, buffer->lease);
    word_encode(word, buffer->word);
    buffer->pairs[0] = (heartbeat_pair_t){
        .key = LEASE_KEY,
        .value = buffer->lease,
        .size = sizeof(buffer->lease),
    };
    buffer->pairs[1] = (heartbeat_pair_t){
        .key = WORD_KEY,
        .value = buffer->word,
        .size = sizeof(buffer->word),
    };
    *message = (message_t){
        .type = MESSAGE_HEARTBEAT,
        .heartbeat =
            {
                .roster_version = lease->version,
                .config_version = word->version,
                .store_failing = store_failing,
                .pairs = buffer->pairs,
                .pair_count = HEARTBEAT_PAIRS,
            },
    };
}

/* The value of a pair of exactly this size; NULL: there is none. */
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
heartbeat_lease(const char *peer, uint64_t incarnation,
                const heartbeat_t *heartbeat, roster_heartbeat_t *lease)
{
    const uint8_t *value =
        find_pair(heartbeat, LEASE_KEY, HEARTBEAT_LEASE_BYTES);
    if (value == NULL) {
        return false;
    }
    uint8_t flags = value[AT_FLAGS];
    *lease = (roster_heartbeat_t){
        .incarnation = incarnation,
        .version = get_word(value + AT_VERSION),
        .acked_version = get_word(value + AT_SEEN),
        .sent_us = (int64_t)get_word(value + AT_SENT),
        .echo_us = (int64_t)get_word(value + AT_ECHO),
        .grants = (flags & FLAG_GRANTING) != 0,
        .holds_lease = (flags & FLAG_HOLDING) != 0,
        .requests_grant = (flags & FLAG_ASKING) != 0,
    };
    snprintf(lease->name, sizeof(lease->name), "%s", peer);
    return true;
}

bool
heartbeat_word(const heartbeat_t *heartbeat, confsync_report_t *word)
{
    const uint8_t *value =
        find_pair(heartbeat, WORD_KEY, HEARTBEAT_WORD_BYTES);
    if (value == NULL) {
        return false;
    }
    *word = (confsync_report_t){
        .version = get_word(value),
        .holds_digest = get_word(value + AT_HOLDS),
        .trust_us = (int64_t)get_word(value + AT_TRUST),
    };
    return true;
}
