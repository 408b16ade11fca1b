/*
 * Limits on a tenant's queries in progress, counted for each service.
 *
 * The table limits a tenant's queries in the whole fleet. Each daemon admits
 * an equal share, so the fleet stays within the limit without exchanging
 * messages. The shares are used evenly because callers are spread over the
 * daemons in their entry lists. All functions but tenants_free may be called
 * from any thread.
 *
 *     if (tenants_admit(tenants, "kiosk-till", "kiosk-7", share)) {
 *         ... run the query ...
 *         tenants_finish(tenants, "kiosk-till", "kiosk-7");
 *     }
 */
#ifndef DAEMON_TENANTS_H
#define DAEMON_TENANTS_H

#include "core/table.h"

enum { TENANTS_MAX = 4096 /* slots; one is always free */ };

typedef struct tenants tenants_t;

tenants_t *tenants_new(void);          /* NULL: out of memory */
void tenants_free(tenants_t *tenants); /* NULL ok */

/* Returns one daemon's share of the row's limit, at least one query. */
uint32_t tenants_share(const table_row_t *row, size_t members);

/*
 * Counts one query as in progress. Returns false if its tenant already has
 * `share` queries in progress, or too many tenants have queries in progress.
 */
bool tenants_admit(tenants_t *tenants, const char *service, const char *tenant,
                   uint32_t share);

/* Records the end of a query that tenants_admit counted. */
void tenants_finish(tenants_t *tenants, const char *service,
                    const char *tenant);

#endif
