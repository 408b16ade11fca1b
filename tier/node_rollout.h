/*
 * The daemon's part in rollouts: orders and statuses from the store or from
 * peers, reports to the decider, the decider's verdicts.
 *
 * All functions do nothing if the settings have no bounds for rollouts.
 * Private to node*.c and metrics_text.c.
 */
#ifndef TIER_NODE_ROLLOUT_H
#define TIER_NODE_ROLLOUT_H

#include "platform/kv.h"
#include "tier/store_link.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef struct node node_t;
typedef struct exchange exchange_t;
typedef struct node_rollouts node_rollouts_t;

/* Reader of the statuses' prefix; its owner is the node. */
extern const prefix_reader_t node_rollout_reader;

/* NULL: rollouts are off, or out of memory. */
node_rollouts_t *node_rollouts_new(node_t *node);
void node_rollouts_free(node_rollouts_t *rollouts);

/* An item under KEY_OPERATOR or KEY_ROLLOUT_STATUS; others are ignored. */
void node_rollout_item(node_t *node, const kv_item_t *item, int64_t now_us);

/* The operator's keys are listed from here on, and were listed. The orders
   that are not in the list were withdrawn. */
void node_rollout_orders_begin(node_t *node);
void node_rollout_orders_end(node_t *node, int64_t now_us);

/* The changes of all prefixes were read. */
void node_rollout_heard(node_t *node, int64_t now_us);

/* A status was written by this daemon, or not; see store_ops_t.wrote. */
void node_rollout_wrote(node_t *node, const char *key, bool done,
                        uint64_t revision, int64_t now_us);

/* Report, judge, decide: what is due. */
void node_rollout_tick(node_t *node, int64_t now_us);

/* Look at the versions of all services' upstreams. */
void node_rollout_housekeeping(node_t *node, int64_t now_us);

/* Answer another daemon's reports. */
void node_rollout_request(node_t *node, exchange_t *exchange);

/* Orders and statuses for another daemon's state, an array; NULL: none. */
json_t *node_rollout_state(const node_t *node);

/* Hash of what node_rollout_state has, equal in daemons that know the same; 0:
   nothing. */
uint64_t node_rollout_digest(const node_t *node);

/* Apply what node_rollout_state of a store reader has; NULL is ignored. */
void node_rollout_apply_state(node_t *node, const json_t *rows,
                              int64_t now_us);

void node_rollout_print(const node_t *node, FILE *out);

#endif
