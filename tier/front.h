/*
 * Callers' requests: from HTTP to the engine and back.
 *
 * Header lines that concern one connection, or that this daemon sets itself,
 * are not passed on; everything else is, unchanged.
 */
#ifndef TIER_FRONT_H
#define TIER_FRONT_H

#include "http/server.h"
#include "tier/engine.h"

#include <stdbool.h>

typedef struct {
    engine_t *engine;
    bool leaving;        /* requests are refused, not to be lost at the end */
    uint64_t answers[6]; /* by the first digit of their status */
} front_t;

/* The service of the callers' listener; its owner is a front_t. */
extern const http_handler_t front_service;

/* The engine's ports that speak to callers; call_owner is an exchange_t. */
void front_answer(front_t *front, void *call_owner, const answer_t *answer);
void front_wake_at(void *call_owner, int64_t at_us);

#endif
