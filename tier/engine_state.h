/*
 * Declarations shared by the engine's source files; no other file includes
 * this header.
 */
#ifndef TIER_ENGINE_STATE_H
#define TIER_ENGINE_STATE_H

#include "core/quarantine.h"
#include "policy/fanout.h"
#include "policy/gather.h"
#include "policy/hedge.h"
#include "tier/engine.h"

enum {
    SUBREQUESTS_TEXT_SIZE = 260 /* bytes for the shard list of one log line */
};

/* State of a route that is kept across configuration versions. */
typedef struct {
    hedge_profile_t profile;
    hist_t latency;             /* of successful answers, from arrival */
    double mean_response_bytes; /* moving mean; 0: no response yet */
    double *split_credit;       /* per target, for weighted round-robin */
    uint32_t split_target_count;
    /* Most time that callers allowed, in the current window and the one
       before it; 0: none. */
    int64_t longest_timeout_us[2];
    int64_t timeout_window_us; /* start of the current window */
    int64_t probe_us; /* last query sent although too few shards respond */
    uint64_t table_version; /* of the table that split_credit belongs to */
} route_state_t;

typedef enum {
    SUBREQUEST_IDLE,
    SUBREQUEST_QUEUED,        /* waits for capacity at its service */
    SUBREQUEST_RETRY_DELAYED, /* decides at retry_us whether to send again */
    SUBREQUEST_RUNNING,
    SUBREQUEST_DONE,
    SUBREQUEST_FAILED
} subrequest_state_t;

/* The part of a request that goes to one service. */
typedef struct {
    request_t *request;
    pool_t *pool;
    subrequest_state_t state;
    uint32_t sends;        /* that reached an upstream, in total */
    int64_t first_sent_us; /* time of the first send; 0: none */
    uint32_t may_have_run; /* sends that an upstream may have run */
    attempt_t *attempts[ENGINE_ATTEMPTS_MAX]; /* in flight */
    uint32_t attempt_count;
    /* Instances sent to before. They may be freed: compare, don't follow. */
    const instance_t *tried[PICK_AVOID_MAX];
    uint32_t tried_count;
    int64_t hedge_us;     /* when to send a hedge; 0: no hedge is scheduled */
    int64_t retry_us;     /* when to retry; 0: no retry is scheduled */
    bool was_queued;      /* has waited for capacity at least once */
    uint32_t unreachable; /* attempts that found no connection */
} subrequest_t;

struct request {
    engine_t *engine;
    call_t call;
    char id[ENGINE_ID_SIZE];
    route_table_t *table;
    const route_t *route;
    route_state_t *route_state;
    uint32_t priority; /* the tenant's, else the route's; 0 is first */
    int64_t arrived_us;
    int64_t goal_us;     /* latency goal, as a point in time */
    bool is_return;      /* its caller was refused before, or has lost time */
    int64_t deadline_us; /* when the final answer is sent */
    bool ends_with_daemon;    /* deadline_us is when the daemon stops */
    int64_t half_answered_us; /* time that half the shards took; 0: not yet */
    int64_t wake_us;          /* time of the pending wake-up; 0: none */
    subrequest_t *subrequests;
    uint32_t subrequest_count;
    gather_t gather;
    records_t records;
    buffer_t signatures;
    const subrequest_t *last_part; /* that arrived; NULL: none */
    int64_t last_part_us;          /* when it arrived */
    uint32_t part_bytes;           /* expected of each part, with its header */
    uint32_t expected_parts;       /* that have not arrived */
    uint64_t fingerprint;          /* hash of host, method, target and body */
    uint32_t lost_sends;           /* sends that were lost; see REPLY_LOST */
    uint32_t answered_sends;       /* sends that got a whole response */
    uint32_t hedges;
    uint32_t retries;
    uint32_t queued; /* subrequests that had to wait for capacity */
    request_t *next;
    request_t *prev;
};

struct engine {
    engine_settings_t settings;
    engine_ports_t ports;
    void *owner;
    registry_t registry;
    route_table_t *table;
    strmap_t route_states; /* of route_state_t, by route name */
    tenant_names_t tenant_names;
    uint32_t fleet_size;
    reach_t reach;
    rate_sharers_t sharers;
    uint64_t *sharer_ids; /* what sharers.ids points to */
    uint32_t request_count;
    request_t *requests;
    attempt_t *attempts;    /* all in flight, abandoned ones included */
    uint64_t inbound_bytes; /* expected in response to all open requests */
    uint64_t limited_sends; /* to upstreams that stated a rate limit */
    zone_traffic_t zone_traffic;
    int64_t stop_us; /* when the daemon stops; 0: not planned */
    uint64_t random;
    quarantine_t *quarantine; /* fingerprints of crash-inducing requests */
    fair_share_t shares;      /* of tenants in the upstreams' capacity */
};

/* Next pseudo-random number; for spreading choices, not for secrets. */
uint64_t engine_random(engine_t *engine);

/* Create an attempt and link it into the lists of the engine and the
   subrequest; NULL: out of memory. */
attempt_t *attempt_new(subrequest_t *subrequest, instance_t *instance,
                       bool hedge, int64_t now_us);

/* Unlink and free an attempt. The caller has updated the instance's in-flight
   count before, by attempt_record_result or instance_dropped. */
void attempt_free(engine_t *engine, attempt_t *attempt);

/* Account for the send of an attempt within the zone or out of it, and log
   when the share of its service that leaves crosses a half. */
void attempt_note_zone(engine_t *engine, attempt_t *attempt, int64_t now_us);

/* Update the instance's in-flight count and statistics. */
void attempt_record_result(engine_t *engine, const attempt_t *attempt,
                           const reply_t *reply, int64_t now_us);

/* Count the send of an attempt for the rollout of its service. */
void attempt_note_sent(engine_t *engine, attempt_t *attempt, int64_t now_us);

/* Count how the attempt ended for the rollout; message is NULL unless there is
   a response. */
void attempt_note_result(const attempt_t *attempt, reply_kind_t kind,
                         const http_message_t *message, int64_t now_us);

/* Choose an upstream: of the new version if its account allows that and one
   can take the request, else of the usual one. */
pick_result_t engine_pick(engine_t *engine, pool_t *pool, pool_pick_t *pick,
                          int64_t now_us, instance_t **picked);

/* Compute this daemon's share of the instance's rate limit, if it has one. */
void engine_divide_limit(const engine_t *engine, instance_t *instance,
                         int64_t now_us);

/* Log an attempt that failed. */
void attempt_log(const attempt_t *attempt, const reply_t *reply,
                 int64_t now_us);

/* Send the first attempt, or queue the subrequest, or fail it. */
void subrequest_start(subrequest_t *subrequest, int64_t now_us);

/* How many requests this daemon may have in flight, in total, at the upstreams
   that the subrequest may use; 0: none is usable. */
uint32_t subrequest_capacity(const subrequest_t *subrequest, int64_t now_us);

/* Order of queued subrequests, for wait_queue_pop; see engine_subrequest.c. */
int64_t subrequest_rank(const void *item, int64_t now_us);

/* Time within which most responses arrive, in microseconds. */
int64_t subrequest_estimate_us(const subrequest_t *subrequest);

/* Whether its service has stopped responding; see pool_is_unresponsive. */
bool subrequest_is_unresponsive(const subrequest_t *subrequest,
                                int64_t now_us);

/* When the first of its upstreams ends its rest, if all of them rest; else
   0. */
int64_t subrequest_rest_end_us(const subrequest_t *subrequest, int64_t now_us);

/* A part of the request has arrived: expect its bytes no longer. */
void request_part_arrived(request_t *request);

/* Whether the subrequest is estimated to finish by deadline_us. */
bool subrequest_is_feasible(const subrequest_t *subrequest,
                            int64_t deadline_us, int64_t now_us);

/* Handle the end of an attempt: merge, answer, retry or fail. The request may
   be answered, and so freed, within the call. */
void subrequest_handle_reply(subrequest_t *subrequest, attempt_t *attempt,
                             const reply_t *reply, int64_t now_us);

/* When the subrequest is expected to be answered if it is sent or queued
   now. */
fanout_part_t subrequest_outlook(const subrequest_t *subrequest,
                                 int64_t now_us);

/* Fail the subrequest before anything is sent: the answer does without it. */
void subrequest_leave_out(subrequest_t *subrequest);

/* Set the time of the hedge of a shard's subrequest from the time that half
   of the shards took, or from the goal until that is known. */
void subrequest_schedule_hedge(subrequest_t *subrequest, int64_t now_us);

/* Send the retry or the hedge that is due. */
void subrequest_wake(subrequest_t *subrequest, int64_t now_us);

/* Drop all outstanding work. may_finish: attempts in flight are abandoned
   rather than cancelled, which can keep their connections. */
void subrequest_stop(subrequest_t *subrequest, bool may_finish,
                     int64_t now_us);

/* Start queued subrequests while the pool has capacity. */
void pool_dispatch_queued(pool_t *pool, int64_t now_us);

/* Refuse the open requests of which nothing has been sent and that the
   configuration in force does not allow. */
void engine_recheck_tenants(engine_t *engine, int64_t now_us);

/* Answer the request if its subrequests or the time allow or demand it, else
   schedule its next wake-up. The request may be freed within the call. */
void request_progress(request_t *request, int64_t now_us);

/* Answer with an error. 503 promises that no upstream ran any part of the
   request; 502 and 504 (late) make no such promise. */
void request_fail(request_t *request, const char *reason, bool late,
                  int64_t now_us);

/* Unlink an answered or refused request and free it. */
void request_remove(request_t *request);

/* Free a request that is not in the engine's list. */
void request_free(request_t *request);

/* Set the next wake-up to the time of the request's next event. */
void request_schedule_wake(request_t *request, int64_t now_us);

/* Count the pending shards whose services don't respond. */
void request_count_unresponsive(request_t *request, int64_t now_us);

/* Time that this VM's link needs for the responses to all open requests. */
int64_t engine_link_wait_us(const engine_t *engine);

/*
 * Retry-After of a refusal: when the link has room and enough services accept
 * requests again, but at least 150 ms, and a random part that spreads the
 * callers that return.
 */
int64_t request_retry_after_us(const request_t *request, int64_t now_us);

/* Whether an upstream may have begun to run any part of the request. */
bool request_may_have_run(const request_t *request);

/* Log the end of a request. outcome: the kind of the answer, or "left" when
   the caller disconnected. */
void request_log(const request_t *request, const char *outcome,
                 uint32_t status, const char *reason, int64_t now_us);

/* Write into text, for each service that cannot finish in time, the number of
   its upstreams, its capacity and the length of its queue. */
void request_describe_infeasible(const request_t *request, char *text,
                                 size_t size, int64_t now_us);

/* The request's tenant, for its usage; TENANT_NONE: none. */
tenant_id_t call_tenant(const call_t *call);

/* Place among queued requests by priority and by the level of the tenant; the
   lesser goes first. At most 11 bits. */
uint32_t request_standing(const request_t *request);

/* Estimated wait of the subrequest if it is queued now, in microseconds. Of
   requests with a tenant, behind what goes first or is equal; else behind all
   that is queued. */
int64_t subrequest_wait_us(const subrequest_t *subrequest, int64_t now_us);

/* Count the request to its tenant, and log a tenant above its fair part. */
void engine_note_tenant(engine_t *engine, const call_t *call, int64_t now_us);

/* Count the time that the attempt held its upstream's slot to its tenant. */
void attempt_add_cost(engine_t *engine, const attempt_t *attempt,
                      int64_t now_us);

/* Answer with 503 the open request that has not run, and whose tenant has the
   highest level, if that is above the level of the call's tenant and its
   priority is not more urgent than `priority`, the call's. False: there is
   none, or the call has no tenant. */
bool engine_displace(engine_t *engine, const call_t *call, uint32_t priority,
                     int64_t now_us);

/* Answer with 503 a request of a higher level that has not run and waits
   behind this one, if it can now no longer finish in time; at most one for
   each service of this request. */
void request_displace_queued(request_t *request, int64_t now_us);

/* Answer the request and free it. */
void request_answer(request_t *request, const answer_t *answer,
                    int64_t now_us);

#endif
