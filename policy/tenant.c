#include "policy/tenant.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    SLOTS_MIN = 16 /* a power of two */
};

void
tenant_table_init(tenant_table_t *table, uint64_t seed)
{
    *table = (tenant_table_t){.seed = seed};
}

static void
tenant_free(void *value)
{
    tenant_t *tenant = value;
    free(tenant->name);
    free(tenant);
}

void
tenant_table_release(tenant_table_t *table)
{
    strmap_release(&table->names, NULL);
    for (uint32_t i = 0; i < table->count; i++) {
        tenant_free(table->tenants[i]);
    }
    free(table->tenants);
    free(table->keys);
    free(table->slots);
    buffer_release(&table->bytes);
    *table = (tenant_table_t){0};
}

tenant_t *
tenant_table_add(tenant_table_t *table, const char *name)
{
    if (table->sealed || strmap_find(&table->names, name) != NULL) {
        return NULL;
    }
    tenant_t **grown = realloc((void *)table->tenants,
                               (table->count + 1) * sizeof(*table->tenants));
    if (grown == NULL) {
        return NULL;
    }
    table->tenants = grown;
    tenant_t *tenant = calloc(1, sizeof(*tenant));
    if (tenant == NULL) {
        return NULL;
    }
    tenant->index = table->count;
    tenant->name = strdup(name);
    if (tenant->name == NULL || !strmap_add(&table->names, name, tenant)) {
        tenant_free(tenant);
        return NULL;
    }
    grown[table->count++] = tenant;
    return tenant;
}

/* Whether the bytes are equal, in a time that depends on size only. */
static bool
bytes_equal(const uint8_t *a, const uint8_t *b, size_t size)
{
    volatile uint8_t difference = 0;
    for (size_t i = 0; i < size; i++) {
        difference |= (uint8_t)(a[i] ^ b[i]);
    }
    return difference == 0;
}

/* The slot of the key, or the empty slot where it belongs. */
static uint32_t
slot_find(const tenant_table_t *table, uint64_t hash, const char *key,
          size_t size)
{
    const uint8_t *bytes = buffer_data(&table->bytes);
    uint32_t mask = table->slot_count - 1;
    uint32_t slot = (uint32_t)hash & mask;
    for (; table->slots[slot] != TENANT_NONE; slot = (slot + 1) & mask) {
        const tenant_key_t *held = &table->keys[table->slots[slot]];
        if (held->hash == hash && held->size == size &&
            bytes_equal(bytes + held->offset, (const uint8_t *)key, size)) {
            break;
        }
    }
    return slot;
}

/* Make room for one more key with at most half of the slots in use; false: out
   of memory. */
static bool
slots_reserve(tenant_table_t *table)
{
    if (table->slot_count >= 2 * (table->key_count + 1)) {
        return true;
    }
    uint32_t count = table->slot_count > 0 ? table->slot_count * 2 : SLOTS_MIN;
    uint32_t *slots = malloc(count * sizeof(*slots));
    if (slots == NULL) {
        return false;
    }
    memset(slots, 0xff, count * sizeof(*slots)); /* all TENANT_NONE */
    for (uint32_t i = 0; i < table->key_count; i++) {
        uint32_t slot = (uint32_t)table->keys[i].hash & (count - 1);
        while (slots[slot] != TENANT_NONE) {
            slot = (slot + 1) & (count - 1);
        }
        slots[slot] = i;
    }
    free(table->slots);
    table->slots = slots;
    table->slot_count = count;
    return true;
}

static bool
keys_reserve(tenant_table_t *table)
{
    if (table->key_count < table->key_capacity) {
        return true;
    }
    uint32_t capacity = table->key_capacity > 0 ? table->key_capacity * 2 : 8;
    tenant_key_t *grown = realloc(table->keys, capacity * sizeof(*grown));
    if (grown == NULL) {
        return false;
    }
    table->keys = grown;
    table->key_capacity = capacity;
    return true;
}

tenant_key_result_t
tenant_table_add_key(tenant_table_t *table, uint32_t index, const char *key)
{
    size_t size = strlen(key);
    if (table->sealed || size > UINT32_MAX || !slots_reserve(table) ||
        !keys_reserve(table)) {
        return TENANT_KEY_FAILED;
    }
    uint64_t hash = XXH64(key, size, table->seed);
    uint32_t slot = slot_find(table, hash, key, size);
    if (table->slots[slot] != TENANT_NONE) {
        tenant_key_t *held = &table->keys[table->slots[slot]];
        if (held->tenant == index) {
            return TENANT_KEY_ADDED;
        }
        held->tenant = TENANT_NONE;
        return TENANT_KEY_SHARED;
    }
    size_t offset = buffer_size(&table->bytes);
    uint8_t *bytes = buffer_reserve(&table->bytes, size + 1);
    if (bytes == NULL) {
        return TENANT_KEY_FAILED;
    }
    memcpy(bytes, key, size + 1); /* the terminating NUL is not committed */
    buffer_commit(&table->bytes, size);
    table->slots[slot] = table->key_count;
    table->keys[table->key_count++] = (tenant_key_t){
        .hash = hash,
        .offset = offset,
        .size = (uint32_t)size,
        .tenant = index,
    };
    return TENANT_KEY_ADDED;
}

void
tenant_table_seal(tenant_table_t *table)
{
    table->sealed = true;
}

uint32_t
tenant_table_find_key(const tenant_table_t *table, const char *key,
                      size_t size)
{
    if (table->slot_count == 0) {
        return TENANT_NONE;
    }
    uint64_t hash = XXH64(key, size, table->seed);
    uint32_t slot = slot_find(table, hash, key, size);
    return table->slots[slot] != TENANT_NONE
               ? table->keys[table->slots[slot]].tenant
               : TENANT_NONE;
}

uint32_t
tenant_table_find_name(const tenant_table_t *table, const char *name)
{
    const tenant_t *tenant = strmap_find(&table->names, name);
    return tenant != NULL ? tenant->index : TENANT_NONE;
}

tenant_id_t
tenant_names_find(const tenant_names_t *names, const char *name)
{
    const tenant_id_t *id = strmap_find(&names->ids, name);
    return id != NULL ? *id : TENANT_NONE;
}

tenant_id_t
tenant_names_intern(tenant_names_t *names, const char *name)
{
    tenant_id_t found = tenant_names_find(names, name);
    if (found != TENANT_NONE) {
        return found;
    }
    char **grown = realloc((void *)names->texts,
                           (names->count + 1) * sizeof(*names->texts));
    if (grown == NULL) {
        return TENANT_NONE;
    }
    names->texts = grown;
    tenant_id_t *id = malloc(sizeof(*id));
    char *text = strdup(name);
    if (id == NULL || text == NULL || !strmap_add(&names->ids, name, id)) {
        free(id);
        free(text);
        return TENANT_NONE;
    }
    *id = names->count;
    grown[names->count++] = text;
    return *id;
}

const char *
tenant_names_text(const tenant_names_t *names, tenant_id_t id)
{
    return id < names->count ? names->texts[id] : NULL;
}

void
tenant_names_release(tenant_names_t *names)
{
    for (uint32_t i = 0; i < names->count; i++) {
        free(names->texts[i]);
    }
    free((void *)names->texts);
    strmap_release(&names->ids, free);
    *names = (tenant_names_t){0};
}
