/*
 * The callers' HTTP service: passes requests to the engine, and the engine's
 * answers to the callers.
 *
 * Hop-by-hop headers, and headers that this daemon sets itself, are not
 * forwarded; all others are, unchanged.
 */
#ifndef TIER_FRONT_H
#define TIER_FRONT_H

#include "http/server.h"
#include "tier/engine.h"

#include <stdbool.h>

typedef struct {
    engine_t *engine;
    bool draining;       /* the daemon stops: refuse new requests */
    uint64_t answers[6]; /* by the status' first digit; [0]: 600 and above */
} front_t;

/* The handler of the callers' listener; its owner is a front_t. */
extern const http_handler_t front_handler;

/* The engine's ports answer and wake_at; call_owner is an exchange_t. */
void front_answer(front_t *front, void *call_owner, const answer_t *answer);
void front_wake_at(void *call_owner, int64_t at_us);

#endif
