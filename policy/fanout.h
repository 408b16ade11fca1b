/*
 * Whether a query over shards is admitted while some shards are short of
 * capacity, and without which of them.
 *
 * When the upstreams of several shards are down or slow, the queues there grow
 * and every query would be late: each shard completes other queries first, and
 * few queries get all the parts they need. So a query is admitted only if the
 * parts that its answer needs are expected by its goal, queues included. Else
 * it is refused at once, before it takes capacity from others, and its caller
 * returns when there may be room. Parts that the answer can do without are
 * left out at shards whose queues would deliver them after the goal.
 *
 * A part of a service that has stopped responding counts as missing: beside
 * it the answer can do without fewer of the others (t1011, a shard silent and
 * another short). If too few services respond in any case, the caller decides
 * by that, see request_is_hopeless.
 *
 * A part that is late although it does not wait is no reason to refuse: it
 * takes capacity from nobody, and the next ones may be faster.
 *
 *     fanout_part_t parts[...] = {{.wait_us = ..., .service_us = ...}, ...};
 *     fanout_plan_t plan = fanout_plan(parts, count, min_parts, goal_left_us);
 */
#ifndef POLICY_FANOUT_H
#define POLICY_FANOUT_H

#include <stdbool.h>
#include <stdint.h>

/* What is expected of a part if it is sent or queued now. */
typedef struct {
    int64_t wait_us;    /* until it is sent; 0: at once */
    int64_t service_us; /* from then on until its response */
    bool is_silent;     /* its service has stopped responding */
    bool left_out;      /* set by fanout_plan */
} fanout_part_t;

typedef struct {
    bool admitted;
    uint32_t left_out; /* number of parts */
} fanout_plan_t;

/* min_parts: parts that the answer needs, 1 to count. goal_left_us: time left
   until the goal. */
fanout_plan_t fanout_plan(fanout_part_t *parts, uint32_t count,
                          uint32_t min_parts, int64_t goal_left_us);

#endif
