/*
 * Runs a change of the configuration: drives a change_t (fleet/change.h) with
 * calls to the store and the monotonic clock.
 */
#ifndef EDGE_CONFIG_CHANGE_H
#define EDGE_CONFIG_CHANGE_H

#include "edge/store.h"
#include "fleet/change.h"

/*
 * Runs the change until its outcome is final. Blocks the caller's thread for
 * at most settings->timeout_us plus one call to the store. The caller frees
 * the result with change_free. Returns NULL and sets *err if the edit is
 * invalid or if out of memory. known: as for change_new.
 */
change_t *config_change_run(const store_client_t *store,
                            const change_settings_t *settings,
                            const change_edit_t *edit, config_t *known,
                            error_t *err);

#endif
