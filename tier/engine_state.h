/*
 * What the files of the engine share; nobody else includes it.
 */
#ifndef TIER_ENGINE_STATE_H
#define TIER_ENGINE_STATE_H

#include "core/quarantine.h"
#include "tier/engine.h"
#include "tier/gather.h"
#include "tier/hedge.h"

enum {
    SUBREQUESTS_TEXT_SIZE = 260 /* of shards named in one log line */
};

/* What is known of a route across versions of the configuration. */
typedef struct {
    hedge_profile_t profile;
    hist_t latency;       /* from arrival to success */
    double *split_credit; /* of each part, for an even split by weight */
    uint32_t split_target_count;
    uint64_t table_version; /* the split's */
} route_state_t;

typedef enum {
    SUBREQUEST_IDLE,
    SUBREQUEST_QUEUED,        /* for room at its service */
    SUBREQUEST_RETRY_DELAYED, /* until it is sent again, or not */
    SUBREQUEST_RUNNING,
    SUBREQUEST_DONE,
    SUBREQUEST_FAILED
} subrequest_state_t;

/* The part of a request that goes to one service. */
typedef struct {
    request_t *request;
    pool_t *pool;
    subrequest_state_t state;
    uint32_t sends;        /* that reached an upstream, in all */
    uint32_t may_have_run; /* of them, those that may have run */
    attempt_t *attempts[ENGINE_ATTEMPTS_MAX]; /* that run now */
    uint32_t attempt_count;
    /* Compared with, never followed. */
    const instance_t *tried[PICK_AVOID_MAX];
    uint32_t tried_count;
    int64_t sent_us;      /* the first send */
    int64_t hedge_us;     /* when to send again; 0: not at all */
    int64_t retry_us;     /* paused: until then */
    bool was_queued;      /* for room, at some time */
    uint32_t unreachable; /* upstreams that could not be reached */
} subrequest_t;

struct request {
    engine_t *engine;
    call_t call;
    char id[ENGINE_ID_SIZE];
    route_table_t *table;
    const route_t *route;
    route_state_t *route_state;
    int64_t arrived_us;
    int64_t goal_us;     /* when an answer ceases to be of full use */
    int64_t deadline_us; /* when it gets its final answer */
    int64_t
        half_answered_us; /* after which half of the shards were in; 0: not */
    int64_t wake_us;      /* the wake-up asked for; 0: none */
    subrequest_t *subrequests;
    uint32_t subrequest_count;
    gather_t gather;
    records_t records;
    buffer_t signatures;
    uint64_t fingerprint; /* of host, method, target and body */
    uint32_t lost_sends;  /* sends whose connection ended without an answer */
    uint32_t answered_sends; /* sends that were answered at all */
    uint32_t hedges;
    uint32_t retries;
    uint32_t queued;
    request_t *next;
    request_t *prev;
};

struct engine {
    engine_settings_t settings;
    engine_ports_t ports;
    void *owner;
    registry_t registry;
    route_table_t *table;
    strmap_t route_states; /* of route_state_t, by route */
    uint32_t fleet_size;
    uint32_t request_count;
    request_t *requests;
    attempt_t *attempts; /* all, those not needed any more too */
    uint64_t random;
    quarantine_t *quarantine; /* requests that crash what runs them */
};

/* Next of a sequence that spreads choices. */
uint64_t engine_random(engine_t *engine);

/* A send of a leg, in the lists of engine and leg; NULL: no memory. */
attempt_t *attempt_new(subrequest_t *subrequest, instance_t *instance,
                       bool hedge, int64_t now_us);

/* Unlink and free; the upstream's counts were brought up before. */
void attempt_free(engine_t *engine, attempt_t *attempt);

/* Bring up what is known of the upstream. */
void attempt_record_result(const attempt_t *attempt, const reply_t *reply,
                           int64_t now_us);

/* One line for a send that came to nothing. */
void attempt_log(const attempt_t *attempt, const reply_t *reply,
                 int64_t now_us);

/* Send a leg's first request, or let it wait, or fail it. */
void subrequest_start(subrequest_t *subrequest, int64_t now_us);

/* Requests that the upstreams it may go to take from here; 0: none is there.
 */
uint32_t subrequest_capacity(const subrequest_t *subrequest, int64_t now_us);

/* Whether it could be done by then, as far as is known. */
bool subrequest_is_feasible(const subrequest_t *subrequest, int64_t by_us,
                            int64_t now_us);

/* Work on an attempt that has ended goes on. */
void subrequest_handle_reply(subrequest_t *subrequest, attempt_t *attempt,
                             const reply_t *reply, int64_t now_us);

/* Half of the shards are in: measure the others by that. */
void subrequest_schedule_hedge(subrequest_t *subrequest, int64_t now_us);

/* Send it again if that is due, after a pause or as a hedge. */
void subrequest_wake(subrequest_t *subrequest, int64_t now_us);

/* Give up what the leg still does; may_finish: answers on their way are
   waited for a while, so that their connections can be kept. */
void subrequest_stop(subrequest_t *subrequest, bool may_finish,
                     int64_t now_us);

/* Give work that waits the room there is now. */
void pool_dispatch_queued(pool_t *pool, int64_t now_us);

/* Judge the request after one of its legs moved; it may be answered. */
void request_progress(request_t *request, int64_t now_us);

/* Whether some upstream may have begun to work on it. */
bool request_may_have_run(const request_t *request);

/* One line at its end; event: whose answer it was, or that the caller left. */
void request_log(const request_t *request, const char *outcome,
                 uint32_t status, const char *reason, int64_t now_us);

/* Which services cannot do their part: upstreams, room, work that waits. */
void request_describe_infeasible(const request_t *request, char *text,
                                 size_t size, int64_t now_us);

/* Answer and forget it. */
void request_answer(request_t *request, const answer_t *answer,
                    int64_t now_us);

#endif
