#include "policy/fair_share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    NO_ROW = 0, /* row 0 is not used */
    ROWS_MIN = 64,
    REPORT_US = 1000000,
    NAMED_US = 1000000
};

/* Sums are scaled down when their weight has reached 2 to this power. */
#define WEIGHT_LOG2_MAX 60.0
/* A tenant gets counts of its own instead of the least busy of those that have
   them if it is this many times as busy, so that they don't swap often. */
#define NAMED_FACTOR 2.0
/* Level 1 begins at this multiple of the fair part. A daemon sees few tenants:
   when two of its three surge, each of them is only 1.4 times above the part.
   With 1.5, five of twelve tenants at six times their usual load left the
   others served as badly as without levels (t1036). */
#define LEVEL_MARGIN 1.1
/* A tenant is reported from this multiple on: a daemon sees some 15 requests
   of a tenant in a half-life, and their number varies by a quarter. */
#define REPORT_MARGIN 1.5
/* Part of the usage that becomes usual while capacity is short. */
#define SHORT_USUAL_WEIGHT 0.25

static double
weight_at(const fair_share_t *shares, int64_t half_life_us, int64_t now_us)
{
    return exp2((double)(now_us - shares->epoch_us) / (double)half_life_us);
}

static uint32_t
bucket_of(const fair_share_t *shares, tenant_id_t tenant)
{
    return (tenant * 2654435761U) & (shares->capacity - 1);
}

static fair_row_t *
row_find(const fair_share_t *shares, tenant_id_t tenant)
{
    if (shares->capacity == 0 || tenant == TENANT_NONE) {
        return NULL;
    }
    uint32_t at = shares->buckets[bucket_of(shares, tenant)];
    while (at != NO_ROW && shares->rows[at].tenant != tenant) {
        at = shares->rows[at].bucket_next;
    }
    return at != NO_ROW ? &shares->rows[at] : NULL;
}

/* Take the row out of the list by time, where it may be the oldest active. */
static void
row_unlink(fair_share_t *shares, uint32_t at)
{
    fair_row_t *row = &shares->rows[at];
    if (shares->oldest_active == at) {
        shares->oldest_active = row->newer;
    }
    if (row->newer != NO_ROW) {
        shares->rows[row->newer].older = row->older;
    }
    else {
        shares->newest = row->older;
    }
    if (row->older != NO_ROW) {
        shares->rows[row->older].newer = row->newer;
    }
    else {
        shares->oldest = row->newer;
    }
}

static void
row_link_newest(fair_share_t *shares, uint32_t at)
{
    fair_row_t *row = &shares->rows[at];
    row->newer = NO_ROW;
    row->older = shares->newest;
    if (shares->newest != NO_ROW) {
        shares->rows[shares->newest].newer = at;
    }
    else {
        shares->oldest = at;
    }
    shares->newest = at;
    if (shares->oldest_active == NO_ROW) {
        shares->oldest_active = at;
    }
    shares->active_count += row->active ? 0 : 1;
    row->active = true;
}

static void
row_drop(fair_share_t *shares, uint32_t at)
{
    fair_row_t *row = &shares->rows[at];
    row_unlink(shares, at);
    uint32_t *link = &shares->buckets[bucket_of(shares, row->tenant)];
    while (*link != at) {
        link = &shares->rows[*link].bucket_next;
    }
    *link = row->bucket_next;
    shares->active_count -= row->active ? 1 : 0;
    shares->named_count -= row->named ? 1 : 0;
    shares->count--;
    /* Rounding must not leave a total below the sum of what remains. */
    shares->usage_total = fmax(shares->usage_total - row->usage, 0);
    shares->usual_total = fmax(shares->usual_total - row->usual, 0);
    if (shares->count == 0) {
        shares->usage_total = 0;
        shares->usual_total = 0;
    }
    *row =
        (fair_row_t){.tenant = TENANT_NONE, .bucket_next = shares->free_row};
    shares->free_row = at;
}

/* Drop tenants that are idle for long, and count the others as inactive once
   FAIR_ACTIVE_US have passed. */
static void
shares_expire(fair_share_t *shares, int64_t now_us)
{
    while (shares->oldest != NO_ROW &&
           now_us - shares->rows[shares->oldest].requested_us > FAIR_KEEP_US) {
        row_drop(shares, shares->oldest);
    }
    while (shares->oldest_active != NO_ROW &&
           now_us - shares->rows[shares->oldest_active].requested_us >
               FAIR_ACTIVE_US) {
        fair_row_t *row = &shares->rows[shares->oldest_active];
        row->active = false;
        shares->active_count--;
        shares->oldest_active = row->newer;
    }
}

static bool
shares_grow(fair_share_t *shares)
{
    uint32_t capacity =
        shares->capacity == 0 ? ROWS_MIN : 2 * shares->capacity;
    fair_row_t *rows = realloc(shares->rows, capacity * sizeof(*rows));
    if (rows == NULL) {
        return false;
    }
    shares->rows = rows;
    uint32_t *buckets = calloc(capacity, sizeof(*buckets));
    if (buckets == NULL) {
        return false;
    }
    memset(&rows[shares->capacity], 0,
           (capacity - shares->capacity) * sizeof(*rows));
    free(shares->buckets);
    shares->buckets = buckets;
    uint32_t first_new = shares->capacity == 0 ? 1 : shares->capacity;
    shares->capacity = capacity;
    for (uint32_t at = 1; at < first_new; at++) {
        uint32_t *link = &buckets[bucket_of(shares, rows[at].tenant)];
        rows[at].bucket_next = *link;
        *link = at;
    }
    for (uint32_t at = capacity - 1; at >= first_new; at--) {
        rows[at].bucket_next = shares->free_row;
        shares->free_row = at;
    }
    return true;
}

/* Add a row for the tenant, dropping the one idle for longest at the limit. */
static uint32_t
row_add(fair_share_t *shares, tenant_id_t tenant)
{
    if (shares->count >= FAIR_TENANTS_MAX - 1) {
        row_drop(shares, shares->oldest);
    }
    /* shares_grow relies on there being no free row. */
    if (shares->free_row == NO_ROW && !shares_grow(shares)) {
        return NO_ROW;
    }
    uint32_t at = shares->free_row;
    fair_row_t *row = &shares->rows[at];
    shares->free_row = row->bucket_next;
    uint32_t *link = &shares->buckets[bucket_of(shares, tenant)];
    *row = (fair_row_t){.tenant = tenant, .bucket_next = *link};
    *link = at;
    shares->count++;
    if (shares->named_count < FAIR_NAMED_MAX) {
        row->named = true;
        shares->named_count++;
    }
    return at;
}

/* Give counts of its own to the busiest tenant without them, if one is free or
   it is far busier than the least busy tenant that has them. */
static void
shares_choose_named(fair_share_t *shares, int64_t now_us)
{
    if (now_us - shares->named_us < NAMED_US) {
        return;
    }
    shares->named_us = now_us;
    fair_row_t *least = NULL;
    fair_row_t *busiest = NULL;
    for (uint32_t at = shares->newest; at != NO_ROW;
         at = shares->rows[at].older) {
        fair_row_t *row = &shares->rows[at];
        if (row->named && (least == NULL || row->usage < least->usage)) {
            least = row;
        }
        if (!row->named && (busiest == NULL || row->usage > busiest->usage)) {
            busiest = row;
        }
    }
    if (busiest == NULL) {
        return;
    }
    if (shares->named_count == FAIR_NAMED_MAX && least != NULL) {
        if (busiest->usage <= NAMED_FACTOR * least->usage) {
            return;
        }
        least->named = false;
        shares->named_count--;
    }
    busiest->named = true;
    busiest->counts = (fair_counts_t){0};
    shares->named_count++;
}

/* Scale all sums down before their weight gets too large for the numbers. */
static void
shares_rescale(fair_share_t *shares, int64_t now_us)
{
    double elapsed_us = (double)(now_us - shares->epoch_us);
    if (shares->count > 0 &&
        elapsed_us < WEIGHT_LOG2_MAX * FAIR_HALF_LIFE_US) {
        return;
    }
    double usage = 1 / weight_at(shares, FAIR_HALF_LIFE_US, now_us);
    double usual = 1 / weight_at(shares, FAIR_USUAL_HALF_LIFE_US, now_us);
    shares->usage_total = 0;
    shares->usual_total = 0;
    for (uint32_t at = shares->newest; at != NO_ROW;
         at = shares->rows[at].older) {
        fair_row_t *row = &shares->rows[at];
        row->usage *= usage;
        row->usual *= usual;
        shares->usage_total += row->usage;
        shares->usual_total += row->usual;
    }
    shares->epoch_us = now_us;
}

/* The part of all usage that is the tenant's fair part, 0..1. */
static double
row_fair_fraction(const fair_share_t *shares, const fair_row_t *row)
{
    double equal = shares->active_count > 0 ? 1.0 / shares->active_count : 1.0;
    double usual =
        shares->usual_total > 0 ? row->usual / shares->usual_total : 0;
    return equal > usual ? equal : usual;
}

static uint32_t
row_level(const fair_share_t *shares, const fair_row_t *row)
{
    double part = row_fair_fraction(shares, row) * shares->usage_total;
    uint32_t level = 0;
    while (level < FAIR_LEVEL_MAX && row->usage > 0 &&
           row->usage >= LEVEL_MARGIN * part * (double)(1U << level)) {
        level++;
    }
    return level;
}

static fair_counts_t *
counts_of(fair_share_t *shares, tenant_id_t tenant)
{
    fair_row_t *row = row_find(shares, tenant);
    return row != NULL && row->named ? &row->counts : &shares->others;
}

void
fair_share_note_request(fair_share_t *shares, tenant_id_t tenant,
                        int64_t now_us)
{
    if (tenant == TENANT_NONE) {
        return;
    }
    shares_expire(shares, now_us);
    shares_rescale(shares, now_us);
    fair_row_t *row = row_find(shares, tenant);
    uint32_t at = NO_ROW;
    if (row != NULL) {
        at = (uint32_t)(row - shares->rows);
        row_unlink(shares, at);
    }
    else {
        at = row_add(shares, tenant);
    }
    if (at != NO_ROW) {
        shares->rows[at].requested_us = now_us;
        row_link_newest(shares, at);
    }
    shares_choose_named(shares, now_us);
    counts_of(shares, tenant)->requests++;
}

void
fair_share_note_served(fair_share_t *shares, tenant_id_t tenant)
{
    if (tenant != TENANT_NONE) {
        counts_of(shares, tenant)->served++;
    }
}

void
fair_share_note_refused(fair_share_t *shares, tenant_id_t tenant)
{
    if (tenant != TENANT_NONE) {
        counts_of(shares, tenant)->refused++;
    }
}

void
fair_share_add_cost(fair_share_t *shares, tenant_id_t tenant, int64_t cost_us,
                    int64_t now_us)
{
    if (tenant == TENANT_NONE || cost_us <= 0) {
        return;
    }
    double cost_ms = (double)cost_us / 1000;
    counts_of(shares, tenant)->cost_ms += cost_ms;
    fair_row_t *row = row_find(shares, tenant);
    if (row == NULL) {
        return;
    }
    shares_rescale(shares, now_us);
    double usage = cost_ms * weight_at(shares, FAIR_HALF_LIFE_US, now_us);
    row->usage += usage;
    shares->usage_total += usage;
    double learned = !fair_share_is_short(shares, now_us) ? 1
                     : row_level(shares, row) == 0        ? SHORT_USUAL_WEIGHT
                                                          : 0;
    double usual =
        learned * cost_ms * weight_at(shares, FAIR_USUAL_HALF_LIFE_US, now_us);
    row->usual += usual;
    shares->usual_total += usual;
}

void
fair_share_note_shortage(fair_share_t *shares, int64_t now_us)
{
    shares->short_us = now_us;
}

bool
fair_share_is_short(const fair_share_t *shares, int64_t now_us)
{
    return shares->short_us > 0 &&
           now_us - shares->short_us < FAIR_SHORTAGE_US;
}

uint32_t
fair_share_level(const fair_share_t *shares, tenant_id_t tenant)
{
    const fair_row_t *row = row_find(shares, tenant);
    return row != NULL ? row_level(shares, row) : 0;
}

double
fair_share_usage_ms(const fair_share_t *shares, tenant_id_t tenant,
                    int64_t now_us)
{
    const fair_row_t *row = row_find(shares, tenant);
    return row != NULL
               ? row->usage / weight_at(shares, FAIR_HALF_LIFE_US, now_us)
               : 0;
}

double
fair_share_part_ms(const fair_share_t *shares, tenant_id_t tenant,
                   int64_t now_us)
{
    const fair_row_t *row = row_find(shares, tenant);
    return row != NULL ? row_fair_fraction(shares, row) * shares->usage_total /
                             weight_at(shares, FAIR_HALF_LIFE_US, now_us)
                       : 0;
}

bool
fair_share_report_due(fair_share_t *shares, tenant_id_t tenant, int64_t now_us)
{
    fair_row_t *row = row_find(shares, tenant);
    if (row == NULL || !fair_share_is_short(shares, now_us) ||
        (row->reported_us > 0 && now_us - row->reported_us < REPORT_US) ||
        row->usage < REPORT_MARGIN * row_fair_fraction(shares, row) *
                         shares->usage_total) {
        return false;
    }
    row->reported_us = now_us;
    return true;
}

void
fair_share_each(const fair_share_t *shares, fair_share_each_fn_t each,
                void *owner)
{
    for (uint32_t at = shares->newest; at != NO_ROW;
         at = shares->rows[at].older) {
        if (shares->rows[at].named) {
            each(owner, shares->rows[at].tenant, &shares->rows[at].counts);
        }
    }
    each(owner, TENANT_NONE, &shares->others);
}

size_t
fair_share_bytes(const fair_share_t *shares)
{
    return shares->capacity *
           (sizeof(*shares->rows) + sizeof(*shares->buckets));
}

void
fair_share_release(fair_share_t *shares)
{
    free(shares->rows);
    free(shares->buckets);
    *shares = (fair_share_t){0};
}
