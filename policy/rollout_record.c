#include "policy/rollout_record.h"

#include <math.h>
#include <string.h>

enum {
    /* Old answers that a window needs in a cell; with fewer, those of all
       slices are taken, and with fewer than that the cell is left out. */
    OLD_ANSWERS_MIN = 20,
    OLD_ANSWERS_LEAST = 4,
    /* Bad answers that it takes beside the worst slice: two accidents happen
       in any deployment. */
    BAD_MIN = 2,
    NEW_ANSWERS_MIN = 5,
    /* Twice as slow, in buckets, and one for the width of a bucket. */
    TWICE_BUCKETS = 4,
    BUCKETS_PER_OCTAVE = 3,
    FIRST_BUCKET_US = 1000,
    PRIOR_ANSWERS = 10, /* weight of all cells' rate in each one's */
    ANY_ROUTE = 0       /* all routes are judged together, too */
};

typedef struct {
    double answers;
    double bad;
    double expected;
} tally_t;

/* A threshold of one cell: which new answers are bad, and the probability of
   such an answer at the old version. */
typedef struct {
    bool usable;
    uint32_t bucket; /* the first one that is too slow */
    double answers;  /* of the old version */
    double bad;
    double rate;
} threshold_t;

/* How one test finds the bad answers of a cell. */
typedef struct {
    rollout_reason_t reason;
    double quantile;  /* of the old latencies; 0: failures are counted */
    double share_min; /* least share of bad answers */
} test_t;

static const test_t tests[] = {
    {.reason = ROLLOUT_REASON_FAILURES},
    {.reason = ROLLOUT_REASON_MEDIAN, .quantile = 0.5, .share_min = 0.5},
    {.reason = ROLLOUT_REASON_P90, .quantile = 0.9, .share_min = 0.1},
};

/* Numbers of slices that are judged together. */
static const uint32_t windows[] = {4, 10, ROLLOUT_SLICES};

const char *
rollout_reason_name(rollout_reason_t reason)
{
    static const char *const names[ROLLOUT_REASONS] = {
        [ROLLOUT_REASON_NONE] = "-",
        [ROLLOUT_REASON_FAILURES] = "failures",
        [ROLLOUT_REASON_MEDIAN] = "median",
        [ROLLOUT_REASON_P90] = "p90",
    };
    return reason < ROLLOUT_REASONS ? names[reason] : "-";
}

uint32_t
rollout_bucket(int64_t took_us)
{
    if (took_us <= FIRST_BUCKET_US) {
        return 0;
    }
    double bucket =
        1 + BUCKETS_PER_OCTAVE * log2((double)took_us / FIRST_BUCKET_US);
    return bucket < ROLLOUT_BUCKETS - 1 ? (uint32_t)bucket
                                        : ROLLOUT_BUCKETS - 1;
}

/* The index of a key, added if there is room; ROLLOUT_CELLS_MAX: none. */
static uint32_t
key_index(rollout_key_t *keys, uint32_t *count, const rollout_key_t *key)
{
    for (uint32_t i = 0; i < *count; i++) {
        if (keys[i].route == key->route && keys[i].zone == key->zone) {
            return i;
        }
    }
    if (*count < ROLLOUT_CELLS_MAX) {
        keys[*count] = *key;
        return (*count)++;
    }
    return ROLLOUT_CELLS_MAX;
}

static rollout_slice_t *
slice_at(rollout_slice_t *slices, int64_t length_us, int64_t now_us)
{
    int64_t number = now_us / length_us;
    rollout_slice_t *slice = &slices[number % ROLLOUT_SLICES];
    if (slice->number != number) {
        memset(slice, 0, sizeof(*slice));
        slice->number = number;
    }
    return slice;
}

static void
count_add(uint16_t *count, uint32_t n)
{
    *count = *count + n > UINT16_MAX ? UINT16_MAX : (uint16_t)(*count + n);
}

void
rollout_record_note(rollout_record_t *record, const rollout_answer_t *answer,
                    int64_t now_us)
{
    uint32_t index = key_index(record->keys, &record->key_count, &answer->key);
    if (index == ROLLOUT_CELLS_MAX) {
        return;
    }
    rollout_slice_t *const slices[] = {
        slice_at(record->recent, ROLLOUT_SLICE_US, now_us),
        slice_at(record->longer, ROLLOUT_LONG_SLICE_US, now_us),
    };
    for (int i = 0; i < 2; i++) {
        rollout_cell_t *cell = &slices[i]->cells[index][answer->side];
        count_add(&cell->answers, 1);
        count_add(&cell->failures, answer->failed ? 1 : 0);
        if (answer->took_us >= 0) {
            count_add(&cell->buckets[rollout_bucket(answer->took_us)], 1);
        }
    }
}

void
rollout_report_note(rollout_report_t *report, const rollout_answer_t *answer)
{
    uint32_t index = key_index(report->keys, &report->key_count, &answer->key);
    if (index == ROLLOUT_CELLS_MAX) {
        return;
    }
    report->cells[index][answer->side].answers++;
    report->cells[index][answer->side].failures += answer->failed ? 1 : 0;
    if (answer->took_us >= 0) {
        report->cells[index][answer->side]
            .buckets[rollout_bucket(answer->took_us)]++;
    }
}

static uint32_t
increase(uint32_t now, uint32_t before)
{
    return now > before ? now - before : 0;
}

/* Add a cell's counts beyond its base to a slice. */
static void
slice_add_report(rollout_cell_t *cell, const rollout_report_t *report,
                 uint32_t from, const rollout_report_t *base, uint32_t based,
                 int side)
{
    count_add(&cell->answers, increase(report->cells[from][side].answers,
                                       base->cells[based][side].answers));
    count_add(&cell->failures, increase(report->cells[from][side].failures,
                                        base->cells[based][side].failures));
    for (uint32_t b = 0; b < ROLLOUT_BUCKETS; b++) {
        count_add(&cell->buckets[b],
                  increase(report->cells[from][side].buckets[b],
                           base->cells[based][side].buckets[b]));
    }
}

void
rollout_record_add_report(rollout_record_t *record,
                          const rollout_report_t *report,
                          rollout_report_t *base, int64_t now_us)
{
    rollout_slice_t *recent =
        slice_at(record->recent, ROLLOUT_SLICE_US, now_us);
    rollout_slice_t *longer =
        slice_at(record->longer, ROLLOUT_LONG_SLICE_US, now_us);
    for (uint32_t i = 0; i < report->key_count; i++) {
        uint32_t to =
            key_index(record->keys, &record->key_count, &report->keys[i]);
        uint32_t based =
            key_index(base->keys, &base->key_count, &report->keys[i]);
        if (to == ROLLOUT_CELLS_MAX || based == ROLLOUT_CELLS_MAX) {
            continue;
        }
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            slice_add_report(&recent->cells[to][side], report, i, base, based,
                             side);
            slice_add_report(&longer->cells[to][side], report, i, base, based,
                             side);
            base->cells[based][side] = report->cells[i][side];
        }
    }
}

/* Whether a slice is one of the last `window` ones. */
static bool
slice_is_in(const rollout_slice_t *slice, int64_t last, uint32_t window)
{
    return slice->number > 0 && slice->number <= last &&
           slice->number > last - (int64_t)window;
}

/* Sum of a cell over a window. */
static void
cell_sum(const rollout_slice_t *slices, int64_t last, uint32_t window,
         uint32_t cell, double *answers, double *failures, double *buckets)
{
    *answers = *failures = 0;
    memset(buckets, 0, ROLLOUT_BUCKETS * sizeof(*buckets));
    for (uint32_t s = 0; s < ROLLOUT_SLICES; s++) {
        if (!slice_is_in(&slices[s], last, window)) {
            continue;
        }
        const rollout_cell_t *old = &slices[s].cells[cell][ROLLOUT_OLD];
        *answers += old->answers;
        *failures += old->failures;
        for (uint32_t b = 0; b < ROLLOUT_BUCKETS; b++) {
            buckets[b] += old->buckets[b];
        }
    }
}

/* Read off the old version's answers of a cell which new ones are bad, and
   how many of the old ones are, of how many. */
static threshold_t
cell_threshold(const rollout_slice_t *slices, int64_t last, uint32_t window,
               uint32_t cell, const test_t *test)
{
    double answers;
    double failures;
    double buckets[ROLLOUT_BUCKETS];
    cell_sum(slices, last, window, cell, &answers, &failures, buckets);
    if (answers < OLD_ANSWERS_MIN) {
        cell_sum(slices, last, ROLLOUT_SLICES, cell, &answers, &failures,
                 buckets);
    }
    if (test->quantile <= 0) {
        return (threshold_t){
            .usable = answers >= OLD_ANSWERS_LEAST,
            .answers = answers,
            .bad = failures,
        };
    }
    threshold_t threshold = {0};
    for (uint32_t b = 0; b < ROLLOUT_BUCKETS; b++) {
        threshold.answers += buckets[b];
    }
    double below = 0;
    uint32_t bucket = 0;
    while (bucket < ROLLOUT_BUCKETS - 1 &&
           below + buckets[bucket] < test->quantile * threshold.answers) {
        below += buckets[bucket++];
    }
    threshold.bucket = bucket + TWICE_BUCKETS;
    threshold.usable = threshold.answers >= OLD_ANSWERS_LEAST &&
                       threshold.bucket < ROLLOUT_BUCKETS;
    for (uint32_t b = threshold.bucket; b < ROLLOUT_BUCKETS; b++) {
        threshold.bad += buckets[b];
    }
    return threshold;
}

/* Set the rates of the thresholds: each cell's own, drawn towards that of all
   cells, which a cell of few answers would not show. */
static void
thresholds_set_rates(threshold_t *thresholds, uint32_t count)
{
    double answers = 2;
    double bad = 1;
    for (uint32_t c = 0; c < count; c++) {
        answers += thresholds[c].usable ? thresholds[c].answers : 0;
        bad += thresholds[c].usable ? thresholds[c].bad : 0;
    }
    for (uint32_t c = 0; c < count; c++) {
        thresholds[c].rate =
            (thresholds[c].bad + PRIOR_ANSWERS * bad / answers) /
            (thresholds[c].answers + PRIOR_ANSWERS);
    }
}

static void
tally_add(tally_t *tally, const rollout_cell_t *cell,
          const threshold_t *threshold, const test_t *test)
{
    double answers = cell->answers;
    double bad = cell->failures;
    if (test->quantile > 0) {
        answers = bad = 0;
        for (uint32_t b = 0; b < ROLLOUT_BUCKETS; b++) {
            answers += cell->buckets[b];
            bad += b >= threshold->bucket ? cell->buckets[b] : 0;
        }
    }
    tally->answers += answers;
    tally->bad += bad;
    tally->expected += answers * threshold->rate;
}

/* The probability of at least `count` events where `expected` are. */
static double
poisson_tail(double count, double expected)
{
    if (count <= expected || expected <= 0) {
        return 1;
    }
    double term = exp(count * log(expected) - expected - lgamma(count + 1));
    double sum = 0;
    for (double k = count + 1; term > sum * 1e-6; k++) {
        sum += term;
        term *= expected / k;
    }
    return sum < 1 ? sum : 1;
}

/* Apply one test to one route within a window. */
static rollout_finding_t
route_judge(const rollout_record_t *record, const rollout_slice_t *slices,
            int64_t last, uint32_t window, uint32_t route, const test_t *test,
            bool without_worst)
{
    threshold_t thresholds[ROLLOUT_CELLS_MAX];
    for (uint32_t c = 0; c < record->key_count; c++) {
        thresholds[c] = record->keys[c].route == route
                            ? cell_threshold(slices, last, window, c, test)
                            : (threshold_t){0};
    }
    thresholds_set_rates(thresholds, record->key_count);
    tally_t total = {0};
    tally_t worst = {0};
    for (uint32_t s = 0; s < ROLLOUT_SLICES; s++) {
        tally_t tally = {0};
        for (uint32_t c = 0;
             c < record->key_count && slice_is_in(&slices[s], last, window);
             c++) {
            if (thresholds[c].usable) {
                tally_add(&tally, &slices[s].cells[c][ROLLOUT_NEW],
                          &thresholds[c], test);
            }
        }
        total.answers += tally.answers;
        total.bad += tally.bad;
        total.expected += tally.expected;
        if (tally.bad - tally.expected > worst.bad - worst.expected) {
            worst = tally;
        }
    }
    rollout_finding_t finding = {
        .reason = test->reason,
        .route = route,
        .answers = (uint32_t)total.answers,
        .bad = (uint32_t)total.bad,
        .expected = total.expected,
        .chance = 1,
    };
    if (total.answers < NEW_ANSWERS_MIN ||
        total.bad < test->share_min * total.answers || total.bad < BAD_MIN) {
        return finding;
    }
    if (!without_worst) {
        worst = (tally_t){0};
    }
    if (total.bad - worst.bad >= BAD_MIN) {
        finding.chance = poisson_tail(total.bad - worst.bad,
                                      total.expected - worst.expected);
    }
    return finding;
}

rollout_finding_t
rollout_record_judge(const rollout_record_t *record, double alpha,
                     bool without_worst, int64_t now_us)
{
    rollout_finding_t found = {.chance = 1};
    const struct {
        const rollout_slice_t *slices;
        int64_t last;
    } rings[] = {
        {record->recent, now_us / ROLLOUT_SLICE_US},
        {record->longer, now_us / ROLLOUT_LONG_SLICE_US},
    };
    for (uint32_t c = 0; c <= record->key_count; c++) {
        uint32_t route =
            c < record->key_count ? record->keys[c].route : ANY_ROUTE;
        bool seen = false;
        for (uint32_t i = 0; i < c; i++) {
            seen |= record->keys[i].route == route;
        }
        for (uint32_t i = 0; !seen && i < 2 * 3 * 3; i++) {
            rollout_finding_t finding = route_judge(
                record, rings[i / 9].slices, rings[i / 9].last,
                windows[i / 3 % 3], route, &tests[i % 3], without_worst);
            if (finding.chance < found.chance) {
                found = finding;
            }
        }
    }
    if (found.chance > alpha) {
        found.reason = ROLLOUT_REASON_NONE;
    }
    return found;
}

uint32_t
rollout_record_answers(const rollout_record_t *record, rollout_side_t side,
                       int64_t now_us)
{
    uint32_t answers = 0;
    for (uint32_t s = 0; s < ROLLOUT_SLICES; s++) {
        for (uint32_t c = 0;
             c < record->key_count &&
             slice_is_in(&record->longer[s], now_us / ROLLOUT_LONG_SLICE_US,
                         ROLLOUT_SLICES);
             c++) {
            answers += record->longer[s].cells[c][side].answers;
        }
    }
    return answers;
}
