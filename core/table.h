/*
 * The configuration document: the operators' table, with one row per service,
 * and the zones and VMs that an operator took out of service.
 *
 * A config_t is immutable once it is shared. Threads share it by reference
 * count:
 *
 *     config_t *config;
 *     if (config_parse_json(text, size, &config, &err) != STATUS_OK) ...
 *     const table_row_t *row = config_row(config, "ledger-desk");
 *     config_put(config);
 */
#ifndef CORE_TABLE_H
#define CORE_TABLE_H

#include "core/part.h"
#include "core/status.h"

#include <stdatomic.h>

enum {
    TABLE_ROWS_MAX = 256,
    TABLE_ZONE_LIMITS_MAX = 64, /* zone_limits entries of one row */
    CONFIG_ZONES_OUT_MAX = 256, /* zones out of service at a time */
    CONFIG_VMS_OUT_MAX = 16384, /* VMs out of service at a time */
    CONFIG_TEXT_MAX = 1000000,  /* bytes of the JSON or YAML text */
    CONFIG_HISTORY_MAX = 32,    /* changes kept in the document's history */
    CHANGE_ID_SIZE = 64         /* bytes, including the NUL */
};

typedef struct {
    char zone[NAME_SIZE];
    uint32_t slots;
} zone_limit_t;

/* The limits of one service. A slot admits one part at a time. */
typedef struct {
    char service[NAME_SIZE];
    class_t class;
    uint32_t weight;               /* share of a contended zone, 1..1000 */
    uint32_t deadline_ms;          /* default for queries without a deadline */
    uint32_t upstream_slots;       /* per upstream, for the whole fleet */
    uint32_t upstream_connections; /* per upstream, for the whole fleet */
    uint32_t held_connections;     /* kept open per warm upstream */
    uint32_t cold_slots;           /* per upstream during cold start */
    uint32_t zone_slots;           /* per zone without a zone_limits entry */
    uint32_t service_slots;        /* for the whole service */
    uint32_t tenant_slots;         /* queries in progress per tenant */
    uint32_t added_load_percent;   /* hedges and retries per 100 first sends */
    zone_limit_t *zone_limits;
    size_t zone_limit_count;
} table_row_t;

/* The name of a zone or VM. */
typedef struct {
    char name[NAME_SIZE];
} name_entry_t;

/* The section of the document that a change modifies. */
typedef enum {
    CHANGE_ROWS,
    CHANGE_ZONE,
    CHANGE_VM,
    CHANGE_KIND_COUNT
} change_kind_t;

/* An entry of the document's history. */
typedef struct {
    uint64_t version; /* the version that the change produced */
    change_kind_t kind;
    char change_id[CHANGE_ID_SIZE];
    char by[NAME_SIZE]; /* the operator who made the change */
} change_record_t;

typedef struct {
    atomic_uint references;
    uint64_t version;
    char change_id[CHANGE_ID_SIZE]; /* the change that produced version */
    char by[NAME_SIZE];             /* the operator who made that change */
    /* The latest changes, oldest first, with consecutive versions. */
    change_record_t history[CONFIG_HISTORY_MAX];
    size_t history_count;
    table_row_t *rows; /* sorted by service */
    size_t row_count;
    name_entry_t *zones_out; /* zones out of service, sorted by name */
    size_t zone_out_count;
    name_entry_t *vms_out; /* VMs out of service, sorted by name */
    size_t vm_out_count;
} config_t;

/* The first invalid value of a rejected table, described for the operator. */
typedef struct {
    size_t row;             /* from 1; 0 if the fault is in no single row */
    char column[NAME_SIZE]; /* or the document's key if row is 0 */
    char message[ERROR_MESSAGE_MAX]; /* the value found, the rule it breaks */
} table_fault_t;

/*
 * Parses and checks the stored JSON document. On STATUS_OK the caller owns
 * one reference to *config; otherwise *config is NULL. Errors:
 * STATUS_TOO_LARGE for a text of more than CONFIG_TEXT_MAX bytes or too many
 * zones or VMs, STATUS_INVALID and STATUS_NO_MEMORY.
 */
status_t config_parse_json(const char *text, size_t size, config_t **config,
                           error_t *err);

/*
 * Returns the document as JSON text, which the caller frees, or NULL if out
 * of memory.
 */
char *config_format_json(const config_t *config);

/*
 * Parses and checks the operator's YAML table. On STATUS_OK the caller owns
 * one reference to *config, which has version 0 and nothing out of service;
 * otherwise *config is NULL. Unknown and duplicate keys are errors. On
 * STATUS_INVALID, *fault (unless NULL) locates the first invalid value.
 */
status_t table_parse_yaml(const char *text, size_t size, config_t **config,
                          table_fault_t *fault, error_t *err);

/*
 * Checks all rows. On STATUS_INVALID, *fault (unless NULL) locates the first
 * invalid value.
 */
status_t config_check(const config_t *config, table_fault_t *fault);

/*
 * Returns an empty configuration with one reference, or NULL if out of
 * memory.
 */
config_t *config_new(void);

/*
 * Returns a deep copy with one reference, which the caller may change until
 * it is shared, or NULL if out of memory.
 */
config_t *config_copy(const config_t *config);

/* Takes a reference; returns config. */
config_t *config_get(config_t *config);

/* Drops a reference and frees config with the last; config may be NULL. */
void config_put(config_t *config);

/*
 * Returns the row of a service, valid as long as config, or NULL if the
 * service has none.
 */
const table_row_t *config_row(const config_t *config, const char *service);
bool config_zone_is_out(const config_t *config, const char *zone);
bool config_vm_is_out(const config_t *config, const char *vm);

/*
 * Marks a zone or VM as out of service or in service in a config that is not
 * shared yet. Errors: STATUS_INVALID for an invalid name, STATUS_TOO_LARGE if
 * CONFIG_ZONES_OUT_MAX zones or CONFIG_VMS_OUT_MAX VMs are out already, and
 * STATUS_NO_MEMORY.
 */
status_t config_set_zone_out(config_t *config, const char *zone, bool out,
                             error_t *err);
status_t config_set_vm_out(config_t *config, const char *vm, bool out,
                           error_t *err);

/*
 * Increments the version of a config that is not shared yet and records the
 * change in change_id, by and history. Drops the oldest entry of a full
 * history. The caller has checked id and by.
 */
void config_advance(config_t *config, change_kind_t kind, const char *id,
                    const char *by);

/*
 * Returns the latest history entry of a change, or NULL if the history does
 * not hold the change.
 */
const change_record_t *config_find_change(const config_t *config,
                                          const char *id);

/*
 * Returns whether the history holds every change from the given version up to
 * the current one. True also for a version newer than the current one.
 */
bool config_history_covers(const config_t *config, uint64_t version);

/* Returns the name in documents and messages: "rows", "zone" or "vm". */
const char *change_kind_name(change_kind_t kind);

/* Returns the slots in a zone, from zone_limits or else zone_slots. */
uint32_t table_row_zone_slots(const table_row_t *row, const char *zone);

#endif
