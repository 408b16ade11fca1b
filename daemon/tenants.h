/*
 * Queries in progress of each tenant of each service, at this daemon.
 *
 * The table bounds a tenant's queries in the whole fleet; each daemon admits
 * an equal share, so that no message is needed to stay within the bound.
 * Callers are spread over the entries they are told, which keeps the shares
 * alike. May be called from any thread.
 *
 *     if (!tenants_admit(tenants, "kiosk-till", "kiosk-7", share)) ...
 *     tenants_finish(tenants, "kiosk-till", "kiosk-7");
 */
#ifndef DAEMON_TENANTS_H
#define DAEMON_TENANTS_H

#include "core/table.h"

enum { TENANTS_MAX = 4096 /* with queries in progress at one time */ };

typedef struct tenants tenants_t;

tenants_t *tenants_new(void);          /* NULL: no memory */
void tenants_free(tenants_t *tenants); /* NULL ok */

/* Share of one daemon among members; at least one query. */
uint32_t tenants_share(const table_row_t *row, size_t members);

/* Count one query in; false: its tenant has share in progress already. */
bool tenants_admit(tenants_t *tenants, const char *service, const char *tenant,
                   uint32_t share);

/* A query that was counted in has ended. */
void tenants_finish(tenants_t *tenants, const char *service,
                    const char *tenant);

#endif
