/*
 * Carry a change of the configuration through the store, with the real clock.
 */
#ifndef EDGE_CONFIG_CHANGE_H
#define EDGE_CONFIG_CHANGE_H

#include "edge/store.h"
#include "fleet/change.h"

/*
 * Run the change to its final outcome; the caller's thread waits meanwhile,
 * at most settings->timeout_us and one call of the store. NULL and err when
 * the edit itself is bad. known: as for change_new.
 */
change_t *config_change_run(const store_client_t *store,
                            const change_settings_t *settings,
                            const change_edit_t *edit, config_t *known,
                            error_t *err);

#endif
