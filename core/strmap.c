#include "core/strmap.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct strmap_entry {
    char *name;
    void *value;
    UT_hash_handle hh;
};

/*
 * The macros of uthash expand to long code whose calls of free() the analyzer
 * misreads.
 */
/* NOLINTBEGIN(readability-function-size,clang-analyzer-*) */

static strmap_entry_t *
entry_find(const strmap_t *map, const char *name)
{
    strmap_entry_t *entry;
    HASH_FIND_STR(map->entries, name, entry);
    return entry;
}

static void
entry_add(strmap_t *map, strmap_entry_t *entry)
{
    HASH_ADD_KEYPTR(hh, map->entries, entry->name, strlen(entry->name), entry);
}

static void
entry_remove(strmap_t *map, strmap_entry_t *entry)
{
    HASH_DEL(map->entries, entry);
    free(entry->name);
    free(entry);
}

void
strmap_release(strmap_t *map, void (*value_free)(void *value))
{
    strmap_entry_t *entry;
    strmap_entry_t *next;
    HASH_ITER(hh, map->entries, entry, next)
    {
        if (value_free != NULL) {
            value_free(entry->value);
        }
        entry_remove(map, entry);
    }
}

size_t
strmap_count(const strmap_t *map)
{
    return HASH_COUNT(map->entries);
}

/* NOLINTEND(readability-function-size,clang-analyzer-*) */

void *
strmap_find(const strmap_t *map, const char *name)
{
    const strmap_entry_t *entry = entry_find(map, name);
    return entry != NULL ? entry->value : NULL;
}

bool
strmap_add(strmap_t *map, const char *name, void *value)
{
    strmap_entry_t *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return false;
    }
    entry->name = strdup(name);
    if (entry->name == NULL) {
        free(entry);
        return false;
    }
    entry->value = value;
    entry_add(map, entry);
    return true;
}

void *
strmap_remove(strmap_t *map, const char *name)
{
    strmap_entry_t *entry = entry_find(map, name);
    if (entry == NULL) {
        return NULL;
    }
    void *value = entry->value;
    entry_remove(map, entry);
    return value;
}

strmap_entry_t *
strmap_first(const strmap_t *map)
{
    return map->entries;
}

strmap_entry_t *
strmap_next(const strmap_entry_t *entry)
{
    return entry->hh.next;
}

void *
strmap_value(const strmap_entry_t *entry)
{
    return entry->value;
}

const char *
strmap_name(const strmap_entry_t *entry)
{
    return entry->name;
}
