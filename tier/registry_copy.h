/*
 * A copy of the registry in the store, for daemons that start while entries
 * have lapsed.
 *
 * An outage of the store can let the upstreams' own entries run out, and all
 * daemons can be killed in it: who starts then would know no upstream until
 * each has registered again. The copy does not lapse. What it names is
 * believed for as long as an upstream has to come back, and no longer.
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

/* The text, to be freed; NULL: no memory. */
char *registry_copy_write(const registry_t *registry, int64_t now_us,
                          size_t *size);

/* Add what is missing, for a while; how many were added. */
uint32_t registry_copy_load(registry_t *registry, const char *text,
                            size_t size, int64_t now_us);

/* The same as rows of another document: entries written after a revision of
   the store. */
json_t *registry_copy_rows(const registry_t *registry, uint64_t since,
                           int64_t now_us);
uint32_t registry_copy_add_provisional(registry_t *registry,
                                       const json_t *rows, int64_t now_us);

/*
 * Take over all rows, as a list that is good up to that revision of the
 * store. False: they are none.
 */
bool registry_copy_apply_list(registry_t *registry, const json_t *rows,
                              uint64_t revision, int64_t now_us);

/* Put rows, each as it was written at its own revision. */
void registry_copy_put_rows(registry_t *registry, const json_t *rows,
                            int64_t now_us);

#endif
