#include "tier/tenant_check.h"

#include <string.h>

const char *
tenant_check(const route_table_t *table, const route_t *route,
             const credential_t *credential, uint32_t *tenant)
{
    *tenant = TENANT_NONE;
    if (!table->needs_keys || (route != NULL && route->is_public)) {
        return NULL;
    }
    if (credential->peer_tenant != NULL) {
        *tenant =
            tenant_table_find_name(&table->tenants, credential->peer_tenant);
        return *tenant != TENANT_NONE ? NULL : "unknown_tenant";
    }
    if (credential->key == NULL) {
        return credential->several_keys ? "several_keys" : "no_key";
    }
    *tenant = tenant_table_find_key(&table->tenants, credential->key,
                                    strlen(credential->key));
    return *tenant != TENANT_NONE ? NULL : "unknown_key";
}

bool
tenant_recheck(const route_table_t *table, const route_t *route,
               const credential_t *credential, const char *tenant)
{
    uint32_t found;
    if (tenant == NULL) {
        return true;
    }
    if (tenant_check(table, route, credential, &found) != NULL) {
        return false;
    }
    /* Without a tenant now, the request is one that nobody needs a key for. */
    return found == TENANT_NONE ||
           strcmp(table->tenants.tenants[found]->name, tenant) == 0;
}
