/*
 * Connections to upstreams: kept, reused, and one request at a time on each.
 *
 * An answer counts only when it is whole, is HTTP, is signed and names the
 * request it was sent for; anything else is a reply_t that says what is known
 * of whether the request ran.
 *
 *     upstream_links_t *links = upstream_links_new(loop, owner, replied);
 *     upstream_links_send(links, attempt, now_us);
 *     upstream_links_sweep(links, now_us);   // often
 */
#ifndef TIER_UPSTREAM_LINK_H
#define TIER_UPSTREAM_LINK_H

#include "tier/engine.h"

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct upstream_links upstream_links_t;

/* An attempt has ended; it is not the links' any more. */
typedef void (*upstream_replied_fn_t)(void *owner, attempt_t *attempt,
                                      const reply_t *reply, int64_t now_us);

typedef struct {
    uint32_t open;
    uint64_t opened;
    uint64_t reused;
    uint64_t failed;
} upstream_links_stats_t;

upstream_links_t *upstream_links_new(struct ev_loop *loop, void *owner,
                                     upstream_replied_fn_t replied);
void upstream_links_free(upstream_links_t *links);

/* False: no connection can be made; nothing left. */
bool upstream_links_send(upstream_links_t *links, attempt_t *attempt,
                         int64_t now_us);

/* Take the answer until then, for the connection's sake. */
void upstream_links_abandon(attempt_t *attempt, int64_t until_us);

/* Cut it off now; replied is not called. */
void upstream_links_cancel(attempt_t *attempt);

/* End what is over: connects, abandoned answers, idle connections. */
void upstream_links_sweep(upstream_links_t *links, int64_t now_us);

const upstream_links_stats_t *
upstream_links_stats(const upstream_links_t *links);

#endif
