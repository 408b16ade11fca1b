/* The engine's part in rollouts: which version a request goes to, and what the
   versions answer. */
#include "tier/engine_state.h"

#include <string.h>
#include <xxhash.h>

enum {
    UPSTREAMS_MAX = 256 /* of a service, that are looked at */
};

void
engine_refresh_rollout(engine_t *engine, pool_t *pool, int64_t now_us)
{
    (void)engine;
    rollout_upstream_t upstreams[UPSTREAMS_MAX];
    uint32_t count = 0;
    for (uint32_t i = 0; i < pool->count && count < UPSTREAMS_MAX; i++) {
        const instance_entry_t *entry = &pool->instances[i]->entry;
        upstreams[count++] = (rollout_upstream_t){
            .version = entry->version,
            .id_hash = XXH64(entry->id, strlen(entry->id), 0),
            .started_ms = entry->started_ms,
        };
    }
    if (pool->rollout != NULL) {
        rollout_set_upstreams(pool->rollout, upstreams, count, now_us);
    }
}

rollout_t *
engine_rollout(engine_t *engine, pool_t *pool, int64_t now_us)
{
    if (pool->rollout == NULL && engine->settings.rollout.canary_share > 0) {
        uint64_t seed =
            XXH64(pool->name, strlen(pool->name), engine->settings.seed);
        pool->rollout = rollout_new(&engine->settings.rollout, seed, now_us);
        engine_refresh_rollout(engine, pool, now_us);
    }
    return pool->rollout;
}

pick_result_t
engine_pick(engine_t *engine, pool_t *pool, pool_pick_t *pick, int64_t now_us,
            instance_t **picked)
{
    rollout_t *rollout = engine_rollout(engine, pool, now_us);
    if (rollout != NULL && rollout_may_send(rollout, now_us)) {
        pick->to_new = true;
        pick_result_t result = pool_pick(pool, pick, now_us, picked);
        pick->to_new = false;
        if (result == PICK_OK) {
            return result;
        }
    }
    return pool_pick(pool, pick, now_us, picked);
}

void
attempt_note_sent(engine_t *engine, attempt_t *attempt, int64_t now_us)
{
    rollout_t *rollout = engine_rollout(engine, attempt->pool, now_us);
    const rollout_order_t *order =
        rollout != NULL ? rollout_order(rollout) : NULL;
    if (order == NULL) {
        return;
    }
    const instance_entry_t *entry = &attempt->instance->entry;
    const char *route = attempt->request->route->name;
    bool is_new = strcmp(entry->version, order->target) == 0;
    rollout_note_sent(rollout, is_new);
    attempt->rollout_order = order->id;
    attempt->cold = now_us < attempt->instance->cold_until_us;
    attempt->versioned = (rollout_answer_t){
        .side = is_new ? ROLLOUT_NEW : ROLLOUT_OLD,
        .key =
            {
                .route = XXH32(route, strlen(route), 0) | 1,
                .zone = XXH32(entry->zone, strlen(entry->zone), 0),
            },
    };
}

void
attempt_note_result(const attempt_t *attempt, reply_kind_t kind,
                    const http_message_t *message, int64_t now_us)
{
    rollout_t *rollout = attempt->pool->rollout;
    const rollout_order_t *order =
        rollout != NULL ? rollout_order(rollout) : NULL;
    bool counts =
        kind == REPLY_ANSWER || kind == REPLY_LOST || kind == REPLY_UNFINISHED;
    if (order == NULL || attempt->rollout_order != order->id || !counts) {
        return;
    }
    rollout_answer_t answer = attempt->versioned;
    answer.failed =
        kind == REPLY_LOST || (message != NULL && message->status >= 500);
    /* An unfinished request took at least as long. */
    answer.took_us =
        answer.failed || attempt->cold ? -1 : now_us - attempt->sent_us;
    rollout_note_answer(rollout, &answer, now_us);
}
