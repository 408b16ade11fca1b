#include "core/table.h"

#include "core/name.h"
#include "core/table_row.h"

#include <stdlib.h>
#include <string.h>

config_t *
config_new(void)
{
    config_t *config = calloc(1, sizeof(*config));
    if (config != NULL) {
        atomic_init(&config->references, 1);
    }
    return config;
}

config_t *
config_get(config_t *config)
{
    atomic_fetch_add_explicit(&config->references, 1, memory_order_relaxed);
    return config;
}

void
config_put(config_t *config)
{
    if (config == NULL ||
        atomic_fetch_sub_explicit(&config->references, 1,
                                  memory_order_acq_rel) > 1) {
        return;
    }
    for (size_t i = 0; i < config->row_count; i++) {
        free(config->rows[i].zone_limits);
    }
    free(config->rows);
    free(config->zones_out);
    free(config->vms_out);
    free(config);
}

/*
 * Copies an array of count items and stores the address of the copy in the
 * pointer that to refers to, or NULL if count is 0. Returns false if out of
 * memory.
 */
static bool
array_copy(void *to, const void *from, size_t count, size_t size)
{
    void *copy = NULL;
    if (count > 0) {
        copy = calloc(count, size);
        if (copy == NULL) {
            return false;
        }
        memcpy(copy, from, count * size);
    }
    memcpy(to, &copy, sizeof(copy));
    return true;
}

static bool
config_copy_rows(config_t *to, const config_t *from)
{
    if (from->row_count == 0) {
        return true;
    }
    to->rows = calloc(from->row_count, sizeof(*to->rows));
    if (to->rows == NULL) {
        return false;
    }
    for (size_t i = 0; i < from->row_count; i++) {
        const table_row_t *row = &from->rows[i];
        to->rows[i] = *row;
        to->rows[i].zone_limits = NULL;
        to->row_count = i + 1;
        if (!array_copy(&to->rows[i].zone_limits, row->zone_limits,
                        row->zone_limit_count, sizeof(zone_limit_t))) {
            return false;
        }
    }
    return true;
}

config_t *
config_copy(const config_t *config)
{
    config_t *copy = config_new();
    if (copy == NULL) {
        return NULL;
    }
    copy->version = config->version;
    memcpy(copy->change_id, config->change_id, sizeof(copy->change_id));
    memcpy(copy->by, config->by, sizeof(copy->by));
    memcpy(copy->history, config->history, sizeof(copy->history));
    copy->history_count = config->history_count;
    copy->zone_out_count = config->zone_out_count;
    copy->vm_out_count = config->vm_out_count;
    if (!config_copy_rows(copy, config) ||
        !array_copy(&copy->zones_out, config->zones_out,
                    config->zone_out_count, sizeof(name_entry_t)) ||
        !array_copy(&copy->vms_out, config->vms_out, config->vm_out_count,
                    sizeof(name_entry_t))) {
        config_put(copy);
        return NULL;
    }
    return copy;
}

status_t
config_check(const config_t *config, table_fault_t *fault)
{
    if (config->row_count > TABLE_ROWS_MAX) {
        return table_fault_set(fault, 0, "rows",
                               "found %zu rows, the maximum is %d",
                               config->row_count, TABLE_ROWS_MAX);
    }
    for (size_t i = 0; i < config->row_count; i++) {
        status_t status = table_row_check(&config->rows[i], i + 1, fault);
        if (status != STATUS_OK) {
            return status;
        }
    }
    return table_rows_check_duplicates(config->rows, config->row_count, fault);
}

static int
row_compare(const void *service, const void *row)
{
    return strcmp(service, ((const table_row_t *)row)->service);
}

const table_row_t *
config_row(const config_t *config, const char *service)
{
    if (config->row_count == 0) {
        return NULL;
    }
    return bsearch(service, config->rows, config->row_count,
                   sizeof(*config->rows), row_compare);
}

/* Returns the index of the first entry that does not sort before name. */
static size_t
names_lower_bound(const name_entry_t *names, size_t count, const char *name)
{
    size_t low = 0;
    size_t high = count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (strcmp(names[middle].name, name) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static bool
names_contain(const name_entry_t *names, size_t count, const char *name)
{
    size_t at = names_lower_bound(names, count, name);
    return at < count && strcmp(names[at].name, name) == 0;
}

bool
config_zone_is_out(const config_t *config, const char *zone)
{
    return names_contain(config->zones_out, config->zone_out_count, zone);
}

bool
config_vm_is_out(const config_t *config, const char *vm)
{
    return names_contain(config->vms_out, config->vm_out_count, vm);
}

/*
 * Adds name to the sorted array (out) or removes it. kind is "zone" or
 * "VM", for error messages.
 */
static status_t
names_set_out(name_entry_t **names, size_t *count, size_t max,
              const char *kind, const char *name, bool out, error_t *err)
{
    if (!name_valid(name)) {
        char shown[NAME_SIZE];
        printable_copy(shown, sizeof(shown), name);
        return error_set(err, STATUS_INVALID, "set state", kind,
                         "found name '%s', expected " NAME_ALLOWED, shown);
    }
    size_t at = names_lower_bound(*names, *count, name);
    bool present = at < *count && strcmp((*names)[at].name, name) == 0;
    if (present == out) {
        return STATUS_OK;
    }
    if (!out) {
        memmove(&(*names)[at], &(*names)[at + 1],
                (*count - at - 1) * sizeof(**names));
        (*count)--;
        return STATUS_OK;
    }
    if (*count >= max) {
        return error_set(err, STATUS_TOO_LARGE, "set state", kind,
                         "%zu are out of service, the maximum is %zu", *count,
                         max);
    }
    name_entry_t *grown = realloc(*names, (*count + 1) * sizeof(**names));
    if (grown == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "set state", kind,
                         "out of memory");
    }
    memmove(&grown[at + 1], &grown[at], (*count - at) * sizeof(*grown));
    grown[at] = (name_entry_t){0};
    memcpy(grown[at].name, name, strlen(name) + 1);
    *names = grown;
    (*count)++;
    return STATUS_OK;
}

status_t
config_set_zone_out(config_t *config, const char *zone, bool out, error_t *err)
{
    return names_set_out(&config->zones_out, &config->zone_out_count,
                         CONFIG_ZONES_OUT_MAX, "zone", zone, out, err);
}

status_t
config_set_vm_out(config_t *config, const char *vm, bool out, error_t *err)
{
    return names_set_out(&config->vms_out, &config->vm_out_count,
                         CONFIG_VMS_OUT_MAX, "VM", vm, out, err);
}

uint32_t
table_row_zone_slots(const table_row_t *row, const char *zone)
{
    for (size_t i = 0; i < row->zone_limit_count; i++) {
        if (strcmp(row->zone_limits[i].zone, zone) == 0) {
            return row->zone_limits[i].slots;
        }
    }
    return row->zone_slots;
}
