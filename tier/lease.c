#include "tier/lease.h"

#include <stdio.h>

enum {
    LEASE_RETRY_US = 300000, /* after a failed call, */
    /* and after many: less than the grace period of records that expired in
       an outage of the store. */
    LEASE_RETRY_MAX_US = 1200000
};

static void
lease_retry_later(lease_t *lease, int64_t now_us)
{
    if (lease->retry_us == 0) {
        lease->retry_us = LEASE_RETRY_US;
    }
    lease->due_us = now_us + lease->retry_us;
    lease->retry_us = lease->retry_us * 2 < LEASE_RETRY_MAX_US
                          ? lease->retry_us * 2
                          : LEASE_RETRY_MAX_US;
}

void
lease_init(lease_t *lease, const char *key, int64_t ttl_us)
{
    *lease = (lease_t){
        .ttl_us = ttl_us,
        .renewals = LEASE_RENEWALS,
        .next = LEASE_GRANT,
    };
    snprintf(lease->key, sizeof(lease->key), "%s", key);
}

void
lease_set_renewals(lease_t *lease, uint32_t renewals)
{
    lease->renewals = renewals;
}

bool
lease_next_call(lease_t *lease, const char *record, size_t size,
                kv_call_t *call, int64_t now_us)
{
    if (lease->busy || lease->ended || now_us < lease->due_us) {
        return false;
    }
    bool built = false;
    switch (lease->next) {
    case LEASE_GRANT:
        built = kv_call_lease_grant(call, lease->ttl_us);
        break;
    case LEASE_WRITE:
        built = kv_call_put(call, lease->key, record, size, lease->lease_id);
        break;
    case LEASE_RENEW:
        built = kv_call_lease_renew(call, lease->lease_id);
        break;
    case LEASE_REVOKE:
        built = kv_call_lease_revoke(call, lease->lease_id);
        break;
    }
    lease->busy = built;
    lease->pending = lease->next;
    return built;
}

void
lease_restart(lease_t *lease, int64_t now_us)
{
    lease->busy = false;
    lease->lease_id = 0;
    if (lease->next == LEASE_REVOKE) {
        lease->ended = true;
        return;
    }
    lease->next = LEASE_GRANT;
    lease->due_us = now_us;
}

void
lease_response(lease_t *lease, uint32_t status, const kv_response_t *response,
               int64_t now_us)
{
    lease->busy = false;
    if (lease->next == LEASE_REVOKE) {
        if (lease->pending == LEASE_REVOKE) {
            lease->ended = status == 200 || status == 404;
            lease_retry_later(lease, now_us);
        }
        return;
    }
    if (status == 404) {
        lease_restart(lease, now_us);
        return;
    }
    if (status != 200) {
        lease_retry_later(lease, now_us);
        return;
    }
    lease->retry_us = 0;
    switch (lease->next) {
    case LEASE_GRANT:
        lease->lease_id = response->lease;
        if (response->ttl_us > 0) {
            lease->ttl_us = response->ttl_us;
        }
        lease->next = LEASE_WRITE;
        lease->due_us = now_us;
        break;
    default:
        lease->next = LEASE_RENEW;
        lease->due_us = now_us + lease->ttl_us / lease->renewals;
        break;
    }
}

void
lease_failed(lease_t *lease, int64_t now_us)
{
    lease->busy = false;
    lease_retry_later(lease, now_us);
}

void
lease_record_missing(lease_t *lease, int64_t now_us)
{
    if (lease->next == LEASE_RENEW && !lease->busy) {
        lease->next = LEASE_WRITE;
        lease->due_us = now_us;
    }
}

void
lease_revoke(lease_t *lease, int64_t now_us)
{
    if (lease->lease_id == 0) {
        lease->ended = true;
        return;
    }
    lease->next = LEASE_REVOKE;
    lease->due_us = now_us;
}
