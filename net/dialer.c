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
    free(dialer->list);
    dialer_init(dialer, dialer->seed);
}

/* An entry with incarnation 0 stands for every one of that name. */
static dial_t *
dialer_find(const dialer_t *dialer, const char *name, uint64_t incarnation)
{
    for (size_t i = 0; i < dialer->count; i++) {
        dial_t *dial = &dialer->list[i];
        bool matches = dial->peer.incarnation == incarnation ||
                       dial->peer.incarnation == 0;
        if (matches && strcmp(dial->peer.name, name) == 0) {
            return dial;
        }
    }
    return NULL;
}

static bool
same_address(const peer_address_t *a, const peer_address_t *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0;
}

/* A change of the fleet reaches many daemons at once: spread their dials. */
static dial_t
dial_first(const dialer_t *dialer, const peer_address_t *peer, int64_t now_us)
{
    uint64_t seed = XXH64(peer->name, strlen(peer->name),
                          dialer->seed ^ peer->incarnation);
    return (dial_t){
        .peer = *peer,
        .seed = seed,
        .next_us = now_us + backoff_delay_us(0, seed) - BACKOFF_BASE_US / 2,
    };
}

bool
dialer_set(dialer_t *dialer, const peer_address_t *peers, size_t count,
           int64_t now_us)
{
    dial_t *list = calloc(count == 0 ? 1 : count, sizeof(*list));
    if (list == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        const dial_t *old =
            dialer_find(dialer, peers[i].name, peers[i].incarnation);
        bool known = old != NULL && same_address(&old->peer, &peers[i]);
        list[i] = known ? *old : dial_first(dialer, &peers[i], now_us);
        list[i].busy = old != NULL && old->busy;
    }
    free(dialer->list);
    dialer->list = list;
    dialer->count = count;
    return true;
}

const peer_address_t *
dialer_next(dialer_t *dialer, int64_t now_us)
{
    for (size_t i = 0; i < dialer->count; i++) {
        dial_t *dial = &dialer->list[i];
        if (!dial->busy && dial->next_us <= now_us) {
            dial->busy = true;
            return &dial->peer;
        }
    }
    return NULL;
}

void
dialer_up(dialer_t *dialer, const char *name, uint64_t incarnation)
{
    dial_t *dial = dialer_find(dialer, name, incarnation);
    if (dial != NULL) {
        dial->busy = true;
    }
}

void
dialer_ended(dialer_t *dialer, const char *name, uint64_t incarnation,
             int64_t lasted_us, int64_t now_us)
{
    dial_t *dial = dialer_find(dialer, name, incarnation);
    if (dial == NULL) {
        return;
    }
    dial->busy = false;
    dial->next_us = now_us + backoff_delay_us(dial->failures, dial->seed);
    dial->failures = backoff_failures(dial->failures, lasted_us);
}

bool
dialer_wants(const dialer_t *dialer, const char *name, uint64_t incarnation)
{
    return dialer_find(dialer, name, incarnation) != NULL;
}

int64_t
dialer_wakeup(const dialer_t *dialer)
{
    int64_t next_us = INT64_MAX;
    for (size_t i = 0; i < dialer->count; i++) {
        const dial_t *dial = &dialer->list[i];
        if (!dial->busy && dial->next_us < next_us) {
            next_us = dial->next_us;
        }
    }
    return next_us;
}
