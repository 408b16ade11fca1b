#include "net/dialer.h"

#include "net/backoff.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
dialer_init(dialer_t *dialer, uint64_t seed)
{
    *dialer = (dialer_t){.seed = seed};
}

void
dialer_release(dialer_t *dialer)
{
    free(dialer->entries);
    dialer_init(dialer, dialer->seed);
}

/*
 * Whether the entry is for the daemon of this name and incarnation, which may
 * be connected or not.
 */
static bool
dial_entry_matches(const dial_entry_t *dial, const char *name,
                   uint64_t incarnation)
{
    if (dial->incarnation == incarnation && strcmp(dial->name, name) == 0) {
        return true;
    }
    bool any_incarnation = dial->peer.incarnation == 0;
    return (any_incarnation || dial->peer.incarnation == incarnation) &&
           strcmp(dial->peer.name, name) == 0;
}

static bool
same_address(const peer_address_t *a, const peer_address_t *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0;
}

static bool
same_peer(const peer_address_t *a, const peer_address_t *b)
{
    return same_address(a, b) && a->incarnation == b->incarnation &&
           strcmp(a->name, b->name) == 0;
}

static dial_entry_t *
dialer_find(const dialer_t *dialer, const peer_address_t *peer)
{
    for (size_t i = 0; i < dialer->count; i++) {
        if (same_peer(&dialer->entries[i].peer, peer)) {
            return &dialer->entries[i];
        }
    }
    return NULL;
}

/* Whether peers[at] is unnamed and a named peer has the same address. */
static bool
is_redundant(const peer_address_t *peers, size_t count, size_t at)
{
    for (size_t i = 0; i < count && peers[at].name[0] == '\0'; i++) {
        if (peers[i].name[0] != '\0' && same_address(&peers[i], &peers[at])) {
            return true;
        }
    }
    return false;
}

/*
 * Returns an entry for a new peer. A change of the fleet reaches many daemons
 * at once, so the first dial is delayed by up to BACKOFF_BASE_US / 2 at random
 * to spread their dials.
 */
static dial_entry_t
dial_entry_new(const dialer_t *dialer, const peer_address_t *peer,
               int64_t now_us)
{
    uint64_t seed = XXH64(peer->name, strlen(peer->name),
                          dialer->seed ^ peer->incarnation);
    return (dial_entry_t){
        .peer = *peer,
        .seed = seed,
        .next_dial_us =
            now_us + backoff_delay_us(0, seed) - BACKOFF_BASE_US / 2,
    };
}

bool
dialer_set_peers(dialer_t *dialer, const peer_address_t *peers, size_t count,
                 int64_t now_us)
{
    dial_entry_t *list = calloc(count == 0 ? 1 : count, sizeof(*list));
    if (list == NULL) {
        return false;
    }
    size_t kept = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_redundant(peers, count, i)) {
            continue;
        }
        const dial_entry_t *old = dialer_find(dialer, &peers[i]);
        list[kept++] =
            old != NULL ? *old : dial_entry_new(dialer, &peers[i], now_us);
    }
    free(dialer->entries);
    dialer->entries = list;
    dialer->count = kept;
    return true;
}

const peer_address_t *
dialer_next(dialer_t *dialer, int64_t now_us)
{
    for (size_t i = 0; i < dialer->count; i++) {
        dial_entry_t *dial = &dialer->entries[i];
        if (!dial->busy && dial->next_dial_us <= now_us) {
            dial->busy = true;
            return &dial->peer;
        }
    }
    return NULL;
}

/* Schedules the next dial after a failed dial or a lost connection. */
static void
dial_entry_schedule(dial_entry_t *dial, int64_t lasted_us, int64_t now_us)
{
    dial->busy = false;
    dial->incarnation = 0;
    dial->name[0] = '\0';
    dial->next_dial_us = now_us + backoff_delay_us(dial->failures, dial->seed);
    dial->failures = backoff_next_failures(dial->failures, lasted_us);
}

void
dialer_failed(dialer_t *dialer, const peer_address_t *peer, int64_t now_us)
{
    dial_entry_t *dial = dialer_find(dialer, peer);
    bool connected = dial != NULL && dial->incarnation != 0;
    if (dial != NULL && !connected) {
        dial_entry_schedule(dial, 0, now_us);
    }
}

void
dialer_connected(dialer_t *dialer, const char *name, uint64_t incarnation,
                 const peer_address_t *dialed)
{
    for (size_t i = 0; i < dialer->count; i++) {
        dial_entry_t *dial = &dialer->entries[i];
        bool answered = dialed != NULL && same_peer(&dial->peer, dialed);
        if (answered || dial_entry_matches(dial, name, incarnation)) {
            dial->busy = true;
            dial->incarnation = incarnation;
            strncpy(dial->name, name, NAME_SIZE - 1);
        }
    }
}

void
dialer_disconnected(dialer_t *dialer, const char *name, uint64_t incarnation,
                    int64_t lasted_us, int64_t now_us)
{
    for (size_t i = 0; i < dialer->count; i++) {
        dial_entry_t *dial = &dialer->entries[i];
        if (dial->incarnation == incarnation &&
            strcmp(dial->name, name) == 0) {
            dial_entry_schedule(dial, lasted_us, now_us);
        }
    }
}

bool
dialer_has_daemon(const dialer_t *dialer, const char *name,
                  uint64_t incarnation)
{
    for (size_t i = 0; i < dialer->count; i++) {
        if (dial_entry_matches(&dialer->entries[i], name, incarnation)) {
            return true;
        }
    }
    return false;
}

bool
dialer_has_peer(const dialer_t *dialer, const peer_address_t *peer)
{
    return dialer_find(dialer, peer) != NULL;
}

int64_t
dialer_next_due_us(const dialer_t *dialer)
{
    int64_t next_us = INT64_MAX;
    for (size_t i = 0; i < dialer->count; i++) {
        const dial_entry_t *dial = &dialer->entries[i];
        if (!dial->busy && dial->next_dial_us < next_us) {
            next_us = dial->next_dial_us;
        }
    }
    return next_us;
}
