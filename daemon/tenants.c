#include "daemon/tenants.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
    uint64_t hash; /* of service and tenant; 0: free */
    uint32_t in_progress;
} tenant_t;

struct tenants {
    pthread_mutex_t lock;
    size_t count;
    tenant_t slots[TENANTS_MAX];
};

tenants_t *
tenants_new(void)
{
    tenants_t *tenants = calloc(1, sizeof(*tenants));
    if (tenants != NULL) {
        pthread_mutex_init(&tenants->lock, NULL);
    }
    return tenants;
}

void
tenants_free(tenants_t *tenants)
{
    if (tenants == NULL) {
        return;
    }
    pthread_mutex_destroy(&tenants->lock);
    free(tenants);
}

uint32_t
tenants_share(const table_row_t *row, size_t members)
{
    uint32_t share = row->tenant_slots / (uint32_t)(members > 0 ? members : 1);
    return share > 0 ? share : 1;
}

static uint64_t
hash_tenant(const char *service, const char *tenant)
{
    uint64_t seed = XXH64(service, strlen(service), 0);
    uint64_t hash = XXH64(tenant, strlen(tenant), seed);
    return hash != 0 ? hash : 1;
}

/*
 * Returns the tenant's slot, or else the first free one in probe order; NULL
 * if there is neither. Requires the lock.
 */
static tenant_t *
find_slot(tenants_t *tenants, uint64_t hash)
{
    for (size_t i = 0; i < TENANTS_MAX; i++) {
        tenant_t *slot = &tenants->slots[(hash + i) % TENANTS_MAX];
        if (slot->hash == hash || slot->hash == 0) {
            return slot;
        }
    }
    return NULL;
}

/*
 * Moves later slots of the probe sequence back into a freed slot, so that
 * find_slot still finds them. Requires the lock.
 */
static void
close_slot_gap(tenants_t *tenants, size_t gap)
{
    size_t next = (gap + 1) % TENANTS_MAX;
    while (tenants->slots[next].hash != 0) {
        size_t home = tenants->slots[next].hash % TENANTS_MAX;
        size_t distance_from_home = (next + TENANTS_MAX - home) % TENANTS_MAX;
        size_t distance_from_gap = (next + TENANTS_MAX - gap) % TENANTS_MAX;
        if (distance_from_home >= distance_from_gap) {
            tenants->slots[gap] = tenants->slots[next];
            tenants->slots[next].hash = 0;
            gap = next;
        }
        next = (next + 1) % TENANTS_MAX;
    }
}

bool
tenants_admit(tenants_t *tenants, const char *service, const char *tenant,
              uint32_t share)
{
    uint64_t hash = hash_tenant(service, tenant);
    pthread_mutex_lock(&tenants->lock);
    tenant_t *slot = find_slot(tenants, hash);
    bool fits = slot != NULL && slot->hash == hash
                    ? slot->in_progress < share
                    : slot != NULL && tenants->count < TENANTS_MAX - 1;
    if (fits && slot->hash == 0) {
        *slot = (tenant_t){.hash = hash};
        tenants->count++;
    }
    if (fits) {
        slot->in_progress++;
    }
    pthread_mutex_unlock(&tenants->lock);
    return fits;
}

void
tenants_finish(tenants_t *tenants, const char *service, const char *tenant)
{
    uint64_t hash = hash_tenant(service, tenant);
    pthread_mutex_lock(&tenants->lock);
    tenant_t *slot = find_slot(tenants, hash);
    if (slot != NULL && slot->hash == hash && --slot->in_progress == 0) {
        size_t gap = (size_t)(slot - tenants->slots);
        slot->hash = 0;
        tenants->count--;
        close_slot_gap(tenants, gap);
    }
    pthread_mutex_unlock(&tenants->lock);
}
