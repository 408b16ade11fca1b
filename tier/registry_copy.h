/*
 * A copy of the registry, kept in the store for daemons that start after an
 * outage.
 *
 * In a store outage the upstreams' own entries can expire, and all daemons can
 * be killed: a daemon that starts then would know no upstream until each has
 * registered again. The copy does not expire. Its upstreams are kept for the
 * grace period in which an upstream has to write its entry again, and no
 * longer.
 *
 *     char *text = registry_copy_write(&registry, now_us, &size);
 *     registry_copy_load(&registry, text, size, now_us);
 */
#ifndef TIER_REGISTRY_COPY_H
#define TIER_REGISTRY_COPY_H

#include "tier/registry.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/* The copy as JSON text of *size bytes, to be freed by the caller; NULL: out
   of memory. */
char *registry_copy_write(const registry_t *registry, int64_t now_us,
                          size_t *size);

/* Add the upstreams of a copy that the registry lacks, as provisional; see
   registry_add_provisional. Draining upstreams and invalid rows are skipped.
   Returns how many were added. */
uint32_t registry_copy_load(registry_t *registry, const char *text,
                            size_t size, int64_t now_us);

/* Write and load the rows alone, as a JSON array inside another document.
   registry_copy_rows returns the entries written after the store revision
   `since` (0: all of them); the caller owns the array. */
json_t *registry_copy_rows(const registry_t *registry, uint64_t since,
                           int64_t now_us);
uint32_t registry_copy_add_provisional(registry_t *registry,
                                       const json_t *rows, int64_t now_us);

/*
 * Apply the rows as a complete list as of a store revision: entries that are
 * not in it are removed unless they were written later. False: `rows` is not
 * an array.
 */
bool registry_copy_apply_list(registry_t *registry, const json_t *rows,
                              uint64_t revision, int64_t now_us);

/* Pass each valid row to registry_put, with the revision in the row. */
void registry_copy_put_rows(registry_t *registry, const json_t *rows,
                            int64_t now_us);

#endif
