/*
 * What the check of a configuration has found, and how it is written.
 *
 *     config_report_t report = {0};
 *     config_report_find(&report, "route", "one", "the rule", "%u", value);
 *     config_report_write(&report, stdout, false);
 *     config_report_release(&report);
 */
#ifndef TIER_CONFIG_REPORT_H
#define TIER_CONFIG_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Exit statuses of the program. */
typedef enum {
    CONFIG_CLEAN = 0,
    CONFIG_FINDINGS = 1,
    CONFIG_UNREADABLE = 2
} config_status_t;

typedef struct {
    char *object; /* such as "route search" or "tenants[0].api_keys[1]" */
    char *value;  /* what it has; of a difference, old and new */
    char *rule;   /* that it breaks; of a difference, the kind of change */
} config_item_t;

typedef struct {
    config_item_t *items;
    uint32_t count;
} config_items_t;

/* A zeroed report is empty. */
typedef struct {
    config_items_t findings;
    config_items_t differences;
    const char *unreadable; /* why a text can't be read; NULL: it can */
} config_report_t;

/* Add a finding about the object of that kind and name, which may be "": its
   value, as printf does, and the rule that it breaks. */
void config_report_find(config_report_t *report, const char *kind,
                        const char *name, const char *rule, const char *format,
                        ...) __attribute__((format(printf, 5, 6)));

/* Add a difference: its kind of change, and old and new value. */
void config_report_differ(config_report_t *report, const char *kind,
                          const char *name, const char *change,
                          const char *format, ...)
    __attribute__((format(printf, 5, 6)));

config_status_t config_report_status(const config_report_t *report);

/* Write the report: a line for each finding and difference, or a JSON object
   with the members status, error, findings and differences. */
void config_report_write(const config_report_t *report, FILE *file,
                         bool as_json);

/* Free the report's memory; it is empty then. */
void config_report_release(config_report_t *report);

#endif
