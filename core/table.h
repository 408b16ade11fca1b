/*
 * The operators' table and the zone and VM states: one configuration
 * document, checked before it is accepted.
 *
 * A config_t is built once, never changed afterwards and shared between
 * threads by reference count:
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
    TABLE_ZONE_LIMITS_MAX = 64, /* zone_limits of one row */
    CONFIG_ZONES_OUT_MAX = 256, /* zones taken out at one time */
    CONFIG_VMS_OUT_MAX = 16384, /* VMs taken out at one time */
    CONFIG_TEXT_MAX = 1000000,  /* bytes of the document */
    CONFIG_HISTORY_MAX = 32,    /* changes that the document remembers */
    CHANGE_ID_SIZE = 64
};

typedef struct {
    char zone[NAME_SIZE];
    uint32_t slots;
} zone_limit_t;

/* One service. Slots are parts in progress at one time. */
typedef struct {
    char service[NAME_SIZE];
    class_t class;
    uint32_t weight;               /* share of a contended zone, 1..1000 */
    uint32_t deadline_ms;          /* of a query that names none */
    uint32_t upstream_slots;       /* one upstream, from the whole fleet */
    uint32_t upstream_connections; /* one upstream, from the whole fleet */
    uint32_t held_connections;     /* kept open to a warm upstream */
    uint32_t cold_slots;           /* one upstream in cold start */
    uint32_t zone_slots;           /* one zone, unless zone_limits says */
    uint32_t service_slots;        /* the whole service */
    uint32_t tenant_slots;         /* queries of one tenant in progress */
    uint32_t added_load_percent;   /* hedges and retries over first sends */
    zone_limit_t *zone_limits;
    size_t zone_limit_count;
} table_row_t;

typedef struct {
    char name[NAME_SIZE];
} name_entry_t;

/* What a change is about. */
typedef enum {
    CHANGE_ROWS,
    CHANGE_ZONE,
    CHANGE_VM,
    CHANGE_KIND_COUNT
} change_kind_t;

/* One change that the document remembers. */
typedef struct {
    uint64_t version; /* that it made */
    change_kind_t kind;
    char change_id[CHANGE_ID_SIZE];
    char by[NAME_SIZE];
} change_record_t;

typedef struct {
    atomic_uint references;
    uint64_t version;
    char change_id[CHANGE_ID_SIZE]; /* id of the change that made it */
    char by[NAME_SIZE];
    /* The newest changes, oldest first, without gaps in their versions. */
    change_record_t history[CONFIG_HISTORY_MAX];
    size_t history_count;
    table_row_t *rows; /* sorted by service */
    size_t row_count;
    name_entry_t *zones_out; /* sorted */
    size_t zone_out_count;
    name_entry_t *vms_out; /* sorted */
    size_t vm_out_count;
} config_t;

/* Where a refused table is wrong, in the operator's words. */
typedef struct {
    size_t row; /* 1 is the first row; 0: no single row */
    char column[NAME_SIZE];
    char message[ERROR_MESSAGE_MAX]; /* what was found, what is allowed */
} table_fault_t;

/* Parse and check the stored document; *config gets one reference. */
status_t config_parse_json(const char *text, size_t size, config_t **config,
                           error_t *err);

/* The document as JSON text, to be freed by the caller; NULL: no memory. */
char *config_format_json(const config_t *config);

/*
 * Parse and check the operator's YAML table into *config (version 0, nothing
 * out). Unknown and doubled keys are faults; on STATUS_INVALID *fault says
 * where.
 */
status_t table_parse_yaml(const char *text, size_t size, config_t **config,
                          table_fault_t *fault, error_t *err);

/* Check every row; STATUS_INVALID fills *fault with the first found. */
status_t config_check(const config_t *config, table_fault_t *fault);

/* An empty configuration with one reference; NULL: no memory. */
config_t *config_new(void);

/* A deep copy with one reference, to change before it is shared. */
config_t *config_copy(const config_t *config);

config_t *config_get(config_t *config); /* one more reference */
void config_put(config_t *config);      /* one less; frees at none; NULL ok */

const table_row_t *config_row(const config_t *config, const char *service);
bool config_zone_is_out(const config_t *config, const char *zone);
bool config_vm_is_out(const config_t *config, const char *vm);

/* Mark a zone or VM out or in, on an unshared config. */
status_t config_set_zone_out(config_t *config, const char *zone, bool out,
                             error_t *err);
status_t config_set_vm_out(config_t *config, const char *vm, bool out,
                           error_t *err);

/*
 * Make an unshared config the next version: version rises by one, change, by
 * and history tell of it. id and by are checked by the caller.
 */
void config_advance(config_t *config, change_kind_t kind, const char *id,
                    const char *by);

/* The record of a change; NULL when the document does not remember it. */
const change_record_t *config_find_change(const config_t *config,
                                          const char *id);

/* Whether every change that made a version from this one on is remembered. */
bool config_history_covers(const config_t *config, uint64_t version);

/* Name in the document and for operators: "rows", "zone", "vm". */
const char *change_kind_name(change_kind_t kind);

/* Slots of the row in one zone. */
uint32_t table_row_zone_slots(const table_row_t *row, const char *zone);

#endif
