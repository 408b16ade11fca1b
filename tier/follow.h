/*
 * Following a prefix of the store: read it whole once, then its changes.
 *
 * After a failure the same step is tried again; when the store no longer has
 * the history that is asked for, the prefix is read whole again. Two ways to
 * wait for changes: asking every so often, for prefixes that change all the
 * time, and one call that stays open, for those that hardly do.
 *
 *     follow_t follow;
 *     follow_init(&follow, &settings);
 *     if (follow_next(&follow, &call, now_us)) { ... send it ... }
 *     follow_step_t step = follow_answered(&follow, &answer, now_us);
 *     follow_failed(&follow, forgotten, now_us);
 */
#ifndef TIER_FOLLOW_H
#define TIER_FOLLOW_H

#include "platform/kv.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Pause after a failed call: short, since what was missed in an outage is
       wanted within a second of its end. */
    FOLLOW_RETRY_US = 400000,
    /* An answer of so many changes may not be all: the store's pages end at
       about 500. */
    FOLLOW_FULL = 400,
    FOLLOW_KEY_SIZE = 256
};

typedef struct {
    const char *prefix;
    int64_t pause_us; /* between two calls for changes; 0: none */
    int64_t first_us; /* the pause after the list, where that is longer */
    int64_t wait_us;  /* a call stays open for; 0: answers at once */
    int64_t retry_us; /* after a failed call; 0: FOLLOW_RETRY_US */
    bool once;        /* it is read whole, and its changes are not wanted */
    bool all;         /* the changes of all prefixes are asked for */
} follow_settings_t;

typedef struct {
    follow_settings_t settings;
    bool watching;               /* else the prefix is read whole */
    bool busy;                   /* a call is on its way */
    uint64_t revision;           /* changes up to here are known */
    uint64_t list_revision;      /* of the first page */
    char after[FOLLOW_KEY_SIZE]; /* the last key of the page before */
    int64_t due_us;              /* the next call's time */
    int64_t rest_us;             /* no call for changes before then */
    uint32_t failures;           /* in a row */
} follow_t;

/* How the items of an answer are to be taken. */
typedef enum {
    FOLLOW_CHANGES,
    FOLLOW_LIST_FIRST, /* a list begins; it goes on with the next answer */
    FOLLOW_LIST_MORE,
    FOLLOW_LIST_LAST,
    FOLLOW_LIST_WHOLE /* first and last */
} follow_step_t;

void follow_init(follow_t *follow, const follow_settings_t *settings);

/* Build the next call if it is due; it then is on its way. */
bool follow_next(follow_t *follow, kv_call_t *call, int64_t now_us);

follow_step_t follow_answered(follow_t *follow, const kv_response_t *answer,
                              int64_t now_us);

/* forgotten: the store has no history from the revision asked for. */
void follow_failed(follow_t *follow, bool forgotten, int64_t now_us);

/*
 * The changes of all prefixes between two revisions of the store were heard
 * by another follow_t, and those of this one were delivered with them.
 */
void follow_skip(follow_t *follow, uint64_t from, uint64_t to);

/* What changes is learnt elsewhere: ask for no changes before then. */
void follow_rest(follow_t *follow, int64_t until_us);

/* Read the prefix whole again, at once. */
void follow_restart(follow_t *follow, int64_t now_us);

#endif
