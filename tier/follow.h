/*
 * Following a prefix of the store: list it once, then watch its changes.
 *
 * A failed call is retried. When the store has compacted the history that the
 * watch needs, the prefix is listed again. Changes are fetched by polling at
 * an interval, for prefixes that change often, or by long polling, for
 * prefixes that rarely change.
 *
 *     follow_t follow;
 *     follow_init(&follow, &settings);
 *     if (follow_next_call(&follow, &call, now_us)) { ... send the call ... }
 *     follow_step_t step = follow_response(&follow, &response, now_us);
 *     follow_failed(&follow, compacted, now_us);
 */
#ifndef TIER_FOLLOW_H
#define TIER_FOLLOW_H

#include "platform/kv.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Pause after a failed call: short, since changes made during an outage
       must be known within a second of its end. */
    FOLLOW_RETRY_US = 400000,
    /* A response with this many changes may be incomplete: the store's pages
       end at about 500. */
    FOLLOW_BATCH_FULL = 400
};

typedef struct {
    const char *prefix;
    int64_t pause_us;       /* between two calls for changes; 0: none */
    int64_t first_pause_us; /* after the list, if longer than pause_us */
    int64_t long_poll_us;   /* wait of a call for changes; 0: none */
    int64_t retry_us;       /* pause after a failed call; 0: FOLLOW_RETRY_US */
    bool list_only;         /* do not watch changes after the list */
    bool all_prefixes; /* watch the changes of all prefixes, not only this */
    /* Another follow_t with all_prefixes delivers the changes: watch only
       those between the list and its first. */
    bool covered;
} follow_settings_t;

typedef struct {
    follow_settings_t settings;
    bool watching;           /* false: listing */
    bool busy;               /* a call is in flight */
    bool caught_up;          /* no change precedes those delivered by
                                the follow_t that covers it */
    uint64_t revision;       /* changes up to here were received */
    uint64_t list_revision;  /* of the first page of the list */
    char page[KV_PAGE_SIZE]; /* that is listed next; "": the first */
    int64_t due_us;          /* earliest time of the next call */
    int64_t paused_until_us; /* no call before this */
    uint32_t failures;       /* consecutive */
} follow_t;

/* What the items of a response are. */
typedef enum {
    FOLLOW_CHANGES,
    FOLLOW_LIST_FIRST, /* first page of a list; more pages follow */
    FOLLOW_LIST_MORE,
    FOLLOW_LIST_LAST,
    FOLLOW_LIST_WHOLE /* the only page of a list */
} follow_step_t;

/* The strings of the settings are not copied. */
void follow_init(follow_t *follow, const follow_settings_t *settings);

/* Build the next call, if one is due and none is in flight. Returns true if
   `call` was built: it then counts as in flight until follow_response or
   follow_failed, and the caller releases it. */
bool follow_next_call(follow_t *follow, kv_call_t *call, int64_t now_us);

/* Process a successful response. Returns what its items are. */
follow_step_t follow_response(follow_t *follow, const kv_response_t *response,
                              int64_t now_us);

/* The call failed. compacted: the store no longer has the history from the
   requested revision, so the prefix is listed again at once. */
void follow_failed(follow_t *follow, bool compacted, int64_t now_us);

/*
 * Another follow_t with all_prefixes has received and delivered the changes
 * between two store revisions, those of this prefix included: continue after
 * them. If `covered` is set, no call is made any more until the next list.
 */
void follow_advance(follow_t *follow, uint64_t from, uint64_t to);

/* Make no call before `until_us`: a peer provides the items and their
   changes. */
void follow_pause_until(follow_t *follow, int64_t until_us);

/* List the prefix again, at `now_us`. */
void follow_restart(follow_t *follow, int64_t now_us);

#endif
