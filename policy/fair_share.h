/*
 * How much of the upstreams' capacity each tenant uses, and which tenants use
 * more than their fair part, so that these wait longer when capacity is short.
 *
 * The usage of a tenant is the time in milliseconds for which its requests
 * held slots of upstreams; it decays with a half-life of FAIR_HALF_LIFE_US.
 * The fair part of a tenant is the usage of all divided by the number of
 * active tenants or, if that is more, what its usual share of the usage comes
 * to. The usual share is taken from the usage with a half-life of
 * FAIR_USUAL_HALF_LIFE_US. While capacity is short, a quarter of the usage
 * counts towards it, and none of a tenant whose level is above 0. So a large
 * tenant that does what it always does is not held back for the surge of a
 * small one, and a surge that causes a shortage hardly becomes usual by
 * lasting.
 *
 * A tenant is active for FAIR_ACTIVE_US after each of its requests, served or
 * not. Tenants without a request for FAIR_KEEP_US are dropped. At most
 * FAIR_TENANTS_MAX are kept; beyond that the one idle for longest is dropped.
 *
 *     fair_share_note_request(&shares, tenant, now_us);
 *     fair_share_add_cost(&shares, tenant, took_us, now_us);
 *     uint32_t level = fair_share_level(&shares, tenant);
 *     fair_share_release(&shares);
 *
 * Each daemon counts its own requests only. All functions accept TENANT_NONE
 * and do nothing for it.
 */
#ifndef POLICY_FAIR_SHARE_H
#define POLICY_FAIR_SHARE_H

#include "policy/tenant.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    FAIR_LEVEL_MAX = 7,
    FAIR_HALF_LIFE_US = 4000000,
    FAIR_USUAL_HALF_LIFE_US = 60000000,
    /* Little more than a half-life: a tenant with a single request counts as
       active for as long as that request is most of what it is held to. */
    FAIR_ACTIVE_US = 5000000,
    FAIR_KEEP_US = 30000000,
    /* Capacity counts as short for this long after fair_share_note_shortage.
       Longer than the gaps between the refusals of a shortage that lasts. */
    FAIR_SHORTAGE_US = 2000000,
    FAIR_TENANTS_MAX = 16384,
    FAIR_NAMED_MAX = 20 /* tenants with counts of their own */
};

/* Since the start, or since the tenant got counts of its own. */
typedef struct {
    uint64_t requests;
    uint64_t served;
    uint64_t refused;
    double cost_ms;
} fair_counts_t;

typedef struct {
    tenant_id_t tenant;
    uint32_t bucket_next; /* row of the same bucket, or free row; see .c */
    uint32_t newer;       /* rows by the time of their last request */
    uint32_t older;
    double usage; /* in ms x the weight of its time; see fair_share_t */
    double usual;
    int64_t requested_us; /* last request */
    int64_t reported_us;  /* see fair_share_report_due */
    bool active;
    bool named; /* has counts of its own */
    fair_counts_t counts;
} fair_row_t;

/*
 * Zeroed: empty. Instead of reducing all sums as time passes, each cost is
 * added with a weight that doubles every half-life since epoch_us. Levels are
 * ratios of sums, so the weight cancels out of them.
 */
typedef struct {
    fair_row_t *rows;
    uint32_t *buckets; /* first row of each; as many as rows */
    uint32_t capacity; /* a power of two, or 0 */
    uint32_t count;
    uint32_t active_count;
    uint32_t named_count;
    uint32_t free_row;
    uint32_t newest;
    uint32_t oldest;
    uint32_t oldest_active;
    double usage_total;
    double usual_total;
    int64_t epoch_us;
    int64_t short_us;     /* last shortage; 0: never */
    int64_t named_us;     /* last time that named tenants were chosen */
    fair_counts_t others; /* of tenants without counts of their own */
} fair_share_t;

/* Count a request of the tenant and keep the tenant active. Out of memory, the
   tenant is not tracked and its level is 0. */
void fair_share_note_request(fair_share_t *shares, tenant_id_t tenant,
                             int64_t now_us);

/* Count how a request of the tenant ended. */
void fair_share_note_served(fair_share_t *shares, tenant_id_t tenant);
void fair_share_note_refused(fair_share_t *shares, tenant_id_t tenant);

/* Add the time that one attempt held a slot of an upstream. */
void fair_share_add_cost(fair_share_t *shares, tenant_id_t tenant,
                         int64_t cost_us, int64_t now_us);

/* Work had to wait or was refused for lack of capacity. */
void fair_share_note_shortage(fair_share_t *shares, int64_t now_us);

/* Whether capacity was short within FAIR_SHORTAGE_US. */
bool fair_share_is_short(const fair_share_t *shares, int64_t now_us);

/* 0: usage below 1.1 times the fair part; 1: from there on; one more for each
   doubling, up to FAIR_LEVEL_MAX. 0 for a tenant that is not tracked. */
uint32_t fair_share_level(const fair_share_t *shares, tenant_id_t tenant);

/* The tenant's usage, and its fair part, in milliseconds. */
double fair_share_usage_ms(const fair_share_t *shares, tenant_id_t tenant,
                           int64_t now_us);
double fair_share_part_ms(const fair_share_t *shares, tenant_id_t tenant,
                          int64_t now_us);

/* True at most once a second for each tenant, and only while capacity is
   short and the tenant's usage is at least 1.5 times its fair part. */
bool fair_share_report_due(fair_share_t *shares, tenant_id_t tenant,
                           int64_t now_us);

/* Receives the counts of one of the busiest tenants, and last those of all
   others with the tenant TENANT_NONE. */
typedef void (*fair_share_each_fn_t)(void *owner, tenant_id_t tenant,
                                     const fair_counts_t *counts);
void fair_share_each(const fair_share_t *shares, fair_share_each_fn_t each,
                     void *owner);

/* Bytes of memory in use. */
size_t fair_share_bytes(const fair_share_t *shares);

/* Free the memory; the shares are empty again. */
void fair_share_release(fair_share_t *shares);

#endif
