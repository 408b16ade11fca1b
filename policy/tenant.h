/*
 * The tenants of one version of the configuration, their keys, and handles of
 * tenants that are stable across versions.
 *
 * A table is filled, sealed and then immutable. Its tenants have indices from
 * 0 that are valid for this table only.
 *
 *     tenant_table_init(&table, seed);
 *     tenant_t *tenant = tenant_table_add(&table, "t1");
 *     tenant->rate_per_s = 49;
 *     tenant_table_add_key(&table, tenant->index, "k1");
 *     tenant_table_seal(&table);
 *     uint32_t index = tenant_table_find_key(&table, key, strlen(key));
 *     if (index != TENANT_NONE) ... table.tenants[index]->name
 *     tenant_table_release(&table);
 *
 * State that outlives a version is kept by tenant_id_t, which tenant_names_t
 * gives to each name:
 *
 *     tenant_names_t names = {0};
 *     tenant_id_t id = tenant_names_intern(&names, "t1");
 *     tenant_names_text(&names, id);   // "t1"
 *     tenant_names_release(&names);
 *
 * The time of a lookup does not depend on the number of keys, nor on how much
 * of an unknown key equals a known one. Keys are never written anywhere.
 */
#ifndef POLICY_TENANT_H
#define POLICY_TENANT_H

#include "core/strmap.h"
#include "net/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A tenant's handle, valid for the life of its tenant_names_t. Handles count
   up from 0, so that they can index arrays. */
typedef uint32_t tenant_id_t;

/* No tenant: as a handle, as an index in a table. */
#define TENANT_NONE UINT32_MAX

typedef struct {
    char *name;
    uint32_t index;    /* in tenant_table_t.tenants */
    bool has_priority; /* priority takes precedence over the route's */
    uint32_t priority; /* 0 is the most urgent */
    double rate_per_s; /* requests a second, by all daemons; 0: no limit */
    double burst;      /* requests beyond the rate at a time */
} tenant_t;

/* One key; its bytes are in tenant_table_t.bytes. */
typedef struct {
    uint64_t hash;
    size_t offset;
    uint32_t size;
    uint32_t tenant; /* its index; TENANT_NONE: several tenants hold the key */
} tenant_key_t;

typedef struct {
    tenant_t **tenants;
    uint32_t count;
    bool sealed;
    uint64_t seed; /* of the keys' hashes */
    tenant_key_t *keys;
    uint32_t key_count;
    uint32_t key_capacity;
    uint32_t *slots;     /* hash table with indices of keys; or TENANT_NONE */
    uint32_t slot_count; /* a power of two, or 0 */
    buffer_t bytes;      /* of all keys */
    strmap_t names;      /* of tenant_t */
} tenant_table_t;

typedef enum {
    TENANT_KEY_ADDED,
    TENANT_KEY_SHARED, /* another tenant has it: valid for neither from now on
                        */
    TENANT_KEY_FAILED  /* out of memory, or the table is sealed */
} tenant_key_result_t;

/* Make an empty table. The seed is secret and random, so that nobody can
   choose keys whose hashes collide. */
void tenant_table_init(tenant_table_t *table, uint64_t seed);

/* Free the table's memory; it is an empty table then. */
void tenant_table_release(tenant_table_t *table);

/* Add a tenant for the caller to fill in; valid as long as the table. NULL:
   out of memory, the name is taken, or the table is sealed. */
tenant_t *tenant_table_add(tenant_table_t *table, const char *name);

/* Add a key of the tenant with that index. A key that the tenant has already
   counts as added. */
tenant_key_result_t tenant_table_add_key(tenant_table_t *table, uint32_t index,
                                         const char *key);

/* End the filling. */
void tenant_table_seal(tenant_table_t *table);

/* The index of the tenant that holds the key, which has size bytes;
   TENANT_NONE: none or several do. */
uint32_t tenant_table_find_key(const tenant_table_t *table, const char *key,
                               size_t size);

/* The index of the tenant of that name; TENANT_NONE: there is none. */
uint32_t tenant_table_find_name(const tenant_table_t *table, const char *name);

/* Names and their handles. A zeroed one is empty. It grows by the names that
   it is given; only names of configurations go in. */
typedef struct {
    strmap_t ids; /* of tenant_id_t, allocated */
    char **texts; /* by handle */
    uint32_t count;
} tenant_names_t;

/* The handle of a name, a new one if it has none; TENANT_NONE: out of
   memory. */
tenant_id_t tenant_names_intern(tenant_names_t *names, const char *name);

/* The handle of a name; TENANT_NONE: it has none. */
tenant_id_t tenant_names_find(const tenant_names_t *names, const char *name);

/* The name of a handle, valid as long as names; NULL: TENANT_NONE or another
   value that is no handle. */
const char *tenant_names_text(const tenant_names_t *names, tenant_id_t id);

void tenant_names_release(tenant_names_t *names);

#endif
