/*
 * Whether this daemon reaches the upstreams at all.
 *
 * A daemon can lose its links to all upstreams while callers, the store and
 * other daemons still reach it. It suspects that when nothing has come back
 * from any upstream although requests are overdue, or when connects to several
 * upstreams fail and none succeeds. Services that are down look the same to
 * requests, so the suspicion is checked by connecting to a few upstreams
 * chosen at random: if one of them accepts, the daemon is not cut off. Later
 * probes show when it reaches them again.
 *
 *     reach_note_sent(&reach, overdue_us, now_us);
 *     reach_note_response(&reach, now_us);
 *     for (uint32_t n = reach_probes_due(&reach, now_us); n > 0; n--) {
 *         ... connect to a random upstream ...
 *     }
 *     reach_note_probe(&reach, connected, now_us);
 */
#ifndef POLICY_REACH_H
#define POLICY_REACH_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* So many requests without any response raise the suspicion, or connects
       that fail to so many upstreams for so long. */
    REACH_SENDS_MIN = 3,
    REACH_CONNECTS_MIN = 3,
    REACH_CONNECT_FAILING_US = 300000,
    /* After this time without a request, the last ones show nothing. */
    REACH_IDLE_US = 1000000,
    /* Connects that check a suspicion, all at once. */
    REACH_PROBES = 3,
    /* Between two probes while cut off. */
    REACH_PROBE_INTERVAL_US = 200000,
    /* After a suspicion that was wrong, no other is raised for this long. */
    REACH_CLEARED_US = 500000
};

typedef enum {
    REACH_OK,
    REACH_CHECKING, /* suspects it is cut off; probes are out */
    REACH_CUT       /* cut off from all upstreams */
} reach_state_t;

typedef enum {
    REACH_CAUSE_NONE,
    REACH_CAUSE_SILENCE, /* requests get no response */
    REACH_CAUSE_CONNECTS /* no connection can be opened */
} reach_cause_t;

typedef struct {
    reach_state_t state;
    reach_cause_t cause; /* of the last suspicion */
    uint32_t unanswered; /* requests sent since the last response */
    int64_t overdue_us;  /* when the first of them counts as overdue */
    int64_t sent_us;     /* the last request */
    uint64_t failed[REACH_CONNECTS_MIN]; /* keys of upstreams, distinct */
    uint32_t failed_count;
    int64_t failing_since_us; /* the first of these connects failed */
    uint32_t probes_out;
    int64_t probe_us;   /* when the next probe is due, while cut off */
    int64_t cleared_us; /* the last suspicion ended; 0: never */
    int64_t since_us;   /* of the state */
} reach_t;

/* A request was sent; without a response it is overdue at overdue_us. */
void reach_note_sent(reach_t *reach, int64_t overdue_us, int64_t now_us);

/* Any upstream has sent a response. */
void reach_note_response(reach_t *reach, int64_t now_us);

/* A connect to the upstream with that key, other than a probe, has ended. */
void reach_note_connect(reach_t *reach, uint64_t key, bool connected,
                        int64_t now_us);

/* How many probes to start now. reach_note_probe is called for each of them,
   at once if it cannot be started. */
uint32_t reach_probes_due(reach_t *reach, int64_t now_us);

/* A probe has ended. */
void reach_note_probe(reach_t *reach, bool connected, int64_t now_us);

/* Whether the daemon is cut off, or is suspected to be because of silence.
   While a suspicion because of failed connects is checked, open connections
   serve. */
bool reach_is_cut_off(const reach_t *reach);

#endif
