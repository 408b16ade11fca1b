/*
 * What two versions of a service have answered, and whether the newer one is
 * bad by comparison.
 *
 * Answers are counted in time slices and in cells, one cell for each route and
 * zone of the upstreams. The verdict compares the versions cell by cell, so
 * that a slow zone or a slow route is not taken for a slow version, and within
 * a window of slices, so that a fault that hits both at some time isn't
 * either.
 *
 *     rollout_record_note(record, &answer, now_us);
 *     rollout_record_add_report(record, &report, &base, now_us);
 *     rollout_finding_t finding = rollout_record_judge(record, alpha, now_us);
 *
 * A record is plain data without pointers. Times are microseconds.
 */
#ifndef POLICY_ROLLOUT_RECORD_H
#define POLICY_ROLLOUT_RECORD_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Routes times zones that are told apart; answers of more are not used. */
    ROLLOUT_CELLS_MAX = 32,
    /* Latency buckets, three to an octave, the first up to 1 ms. */
    ROLLOUT_BUCKETS = 36,
    /* A pause of an upstream takes 250 ms and so falls into two slices at
       most. The upstream that gets the canary traffic changes each slice. */
    ROLLOUT_SLICE_US = 500000,
    ROLLOUT_SLICES = 32,
    /* Long slices keep the evidence of services with few requests. */
    ROLLOUT_LONG_SLICE_US = 4000000
};

typedef enum { ROLLOUT_OLD, ROLLOUT_NEW, ROLLOUT_SIDES } rollout_side_t;

/* Hashes of the route's and of the zone's name; a route's is not 0. */
typedef struct {
    uint32_t route;
    uint32_t zone;
} rollout_key_t;

/* Counts saturate. */
typedef struct {
    uint16_t answers;  /* failures included */
    uint16_t failures; /* server errors and lost responses */
    uint16_t buckets[ROLLOUT_BUCKETS];
} rollout_cell_t;

typedef struct {
    int64_t number; /* start time / length of a slice; 0: never used */
    rollout_cell_t cells[ROLLOUT_CELLS_MAX][ROLLOUT_SIDES];
} rollout_slice_t;

typedef struct {
    rollout_key_t keys[ROLLOUT_CELLS_MAX];
    uint32_t key_count;
    rollout_slice_t recent[ROLLOUT_SLICES];
    rollout_slice_t longer[ROLLOUT_SLICES];
} rollout_record_t;

typedef struct {
    rollout_side_t side;
    rollout_key_t key;
    int64_t took_us; /* < 0: the time says nothing, such as a cold upstream's
                        or a failure's */
    bool failed;
} rollout_answer_t;

/* A daemon's cumulative counts since the order. */
typedef struct {
    rollout_key_t keys[ROLLOUT_CELLS_MAX];
    uint32_t key_count;
    bool stopped; /* the daemon has found the version bad by itself */
    struct {
        uint32_t answers;
        uint32_t failures;
        uint32_t buckets[ROLLOUT_BUCKETS];
    } cells[ROLLOUT_CELLS_MAX][ROLLOUT_SIDES];
} rollout_report_t;

typedef enum {
    ROLLOUT_REASON_NONE,
    ROLLOUT_REASON_FAILURES,
    ROLLOUT_REASON_MEDIAN, /* is twice the old version's */
    ROLLOUT_REASON_P90,    /* the 90th percentile is */
    ROLLOUT_REASONS
} rollout_reason_t;

/* Why a version is bad. */
typedef struct {
    rollout_reason_t reason;
    uint32_t route;   /* hash of the route's name; 0: all routes */
    uint32_t answers; /* of the new version on the route, in the window */
    uint32_t bad;     /* of these, failed or slower than the threshold */
    double expected;  /* how many would be, at the old version's rate */
    double chance;    /* of as many by accident */
} rollout_finding_t;

/* "failures", "median" or "p90"; "-" for none. */
const char *rollout_reason_name(rollout_reason_t reason);

/* The bucket of a latency. */
uint32_t rollout_bucket(int64_t took_us);

/* Count an answer, in the slice of now_us. */
void rollout_record_note(rollout_record_t *record,
                         const rollout_answer_t *answer, int64_t now_us);

/* Count an answer in a daemon's own report. */
void rollout_report_note(rollout_report_t *report,
                         const rollout_answer_t *answer);

/*
 * Count what a daemon has reported beyond its last report, `base`, and set
 * base to the report. A daemon that has restarted reports less than before;
 * clear its base then.
 */
void rollout_record_add_report(rollout_record_t *record,
                               const rollout_report_t *report,
                               rollout_report_t *base, int64_t now_us);

/*
 * Judge the new version: the least probable difference, with the reason
 * ROLLOUT_REASON_NONE if its chance is above `alpha`. without_worst: the slice
 * with the most bad answers is left out of each comparison, since one pause or
 * one disturbed upstream fills a slice, and a bad version fills all.
 */
rollout_finding_t rollout_record_judge(const rollout_record_t *record,
                                       double alpha, bool without_worst,
                                       int64_t now_us);

/* Answers of the new version in the record, whatever the route. */
uint32_t rollout_record_answers(const rollout_record_t *record,
                                rollout_side_t side, int64_t now_us);

#endif
