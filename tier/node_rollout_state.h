/* Declarations shared by node_rollout.c and node_rollout_peers.c. */
#ifndef TIER_NODE_ROLLOUT_STATE_H
#define TIER_NODE_ROLLOUT_STATE_H

#include "policy/pool.h"
#include "tier/node_rollout.h"

/* What is known of one service's rollouts. */
typedef struct service_rollout service_rollout_t;
struct service_rollout {
    service_rollout_t *next;
    char name[INSTANCE_NAME_SIZE];
    pool_t *pool;
    rollout_t *rollout; /* the pool's */
    bool listed;        /* the list being read has its order */
    uint64_t order_revision;
    uint64_t status_revision; /* 0: the store has no status */
    rollout_status_t stored;  /* as the store has it */
    int64_t ordered_ms;       /* Unix time of the order; 0: unknown */
    rollout_status_t writing;
    int64_t write_until_us; /* no decision before this; 0: no write is open */
};

struct node_rollouts {
    node_t *node;
    service_rollout_t *services;
    uint64_t run;        /* of this process */
    bool orders_known;   /* an order that is read now is a new one */
    bool statuses_known; /* the statuses were listed */
    /* The decider is the first store reader by name that answers. */
    uint32_t decider_skips; /* readers before it that did not answer */
    int64_t first_retry_us; /* when the first one is asked again */
    int64_t reported_us;    /* the last post */
    bool reporting;         /* a post has not been answered */
    bool is_decider;        /* by the last choice */
    bool probing;           /* the open post asks the first reader again */
};

/* The state of a service; NULL: not known and not created. */
service_rollout_t *rollouts_service(node_rollouts_t *rollouts,
                                    const char *name, bool create,
                                    int64_t now_us);

/* An order is in force; NULL: it was withdrawn. */
void rollouts_order_seen(node_rollouts_t *rollouts, service_rollout_t *service,
                         const rollout_order_t *order, int64_t now_us);

/* A status was read; from: "store", "own", "decider" or "peer". */
void rollouts_status_seen(node_rollouts_t *rollouts,
                          service_rollout_t *service,
                          const rollout_status_t *status, const char *from,
                          int64_t now_us);

/* Post the reports that are due. */
void rollouts_report(node_rollouts_t *rollouts, int64_t now_us);

/* Whether this daemon is to decide. */
bool rollouts_is_decider(node_rollouts_t *rollouts, int64_t now_us);

#endif
