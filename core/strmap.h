/*
 * A map from names to pointers, which stay their owner's.
 *
 *     strmap_t map = {0};
 *     strmap_add(&map, "a", value);
 *     value = strmap_find(&map, "a");
 *     for (strmap_entry_t *e = strmap_first(&map), *next; e; e = next) {
 *         next = strmap_next(e);     // e may be removed meanwhile
 *     }
 *     strmap_release(&map, free);
 */
#ifndef CORE_STRMAP_H
#define CORE_STRMAP_H

#include <stdbool.h>
#include <stddef.h>

typedef struct strmap_entry strmap_entry_t;

/* Zeroed: empty. */
typedef struct {
    strmap_entry_t *entries;
} strmap_t;

/* NULL: none of that name. */
void *strmap_find(const strmap_t *map, const char *name);

/* The name must not be there yet; it is copied. False: no memory. */
bool strmap_add(strmap_t *map, const char *name, void *value);

/* Take out; what was there, or NULL. */
void *strmap_remove(strmap_t *map, const char *name);

size_t strmap_count(const strmap_t *map);

/* In the order of their adding; NULL: no more. */
strmap_entry_t *strmap_first(const strmap_t *map);
strmap_entry_t *strmap_next(const strmap_entry_t *entry);
void *strmap_value(const strmap_entry_t *entry);
const char *strmap_name(const strmap_entry_t *entry);

/* Empty it; each value goes to value_free unless that is NULL. */
void strmap_release(strmap_t *map, void (*value_free)(void *value));

#endif
