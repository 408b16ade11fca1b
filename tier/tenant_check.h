/*
 * Finds the tenant of a request, by the configuration in force.
 *
 *     const char *refusal = tenant_check(table, route, &credential, &tenant);
 *     if (refusal != NULL) ... answer 401; refusal is the reason for the log
 *     else if (tenant != TENANT_NONE) ... table->tenants.tenants[tenant]
 */
#ifndef TIER_TENANT_CHECK_H
#define TIER_TENANT_CHECK_H

#include "policy/route.h"

#include <stdbool.h>
#include <stdint.h>

/* By what a request says who sent it. The strings belong to the request. */
typedef struct {
    const char *key;   /* NULL: none, or an empty one */
    bool several_keys; /* it has the header more than once; key is NULL */
    /* The name that a peer has found, which relays the request; NULL: none. It
       takes precedence over the key. */
    const char *peer_tenant;
} credential_t;

/*
 * Returns NULL if the request may run, with the index of its tenant in
 * *tenant, which is TENANT_NONE if the configuration needs no keys or the
 * route is public. Otherwise returns the reason code of the refusal. route is
 * NULL if the request has none; it needs a key all the same, so that nobody
 * without one can find out which routes exist.
 */
const char *tenant_check(const route_table_t *table, const route_t *route,
                         const credential_t *credential, uint32_t *tenant);

/*
 * Whether a request that tenant_check let run by an older configuration, as
 * the tenant of that name (NULL: none), may run as that tenant by this one.
 */
bool tenant_recheck(const route_table_t *table, const route_t *route,
                    const credential_t *credential, const char *tenant);

#endif
