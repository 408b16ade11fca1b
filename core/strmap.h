/*
 * A map from names to pointers. The map copies the names; the caller keeps
 * ownership of what the pointers refer to.
 *
 *     strmap_t map = {0};
 *     strmap_add(&map, "a", value);
 *     value = strmap_find(&map, "a");
 *     for (strmap_entry_t *e = strmap_first(&map), *next; e; e = next) {
 *         next = strmap_next(e);     // the loop may remove e
 *     }
 *     strmap_release(&map, free);
 */
#ifndef CORE_STRMAP_H
#define CORE_STRMAP_H

#include <stdbool.h>
#include <stddef.h>

typedef struct strmap_entry strmap_entry_t;

/* A zeroed map is empty. */
typedef struct {
    strmap_entry_t *entries;
} strmap_t;

/* Returns the value of a name, or NULL if the map does not hold the name. */
void *strmap_find(const strmap_t *map, const char *name);

/*
 * Adds a copy of name, which must not be in the map yet, with its value.
 * Returns false if out of memory.
 */
bool strmap_add(strmap_t *map, const char *name, void *value);

/* Removes a name; returns its value, or NULL if the map did not hold it. */
void *strmap_remove(strmap_t *map, const char *name);

size_t strmap_count(const strmap_t *map);

/* Iterate in the order of insertion; return NULL at the end. */
strmap_entry_t *strmap_first(const strmap_t *map);
strmap_entry_t *strmap_next(const strmap_entry_t *entry);
void *strmap_value(const strmap_entry_t *entry);
const char *strmap_name(const strmap_entry_t *entry);

/* Removes all entries; passes each value to value_free unless it is NULL. */
void strmap_release(strmap_t *map, void (*value_free)(void *value));

#endif
