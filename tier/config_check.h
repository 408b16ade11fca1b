/*
 * Checks a configuration before it is put into force, and compares it with the
 * version in force.
 *
 *     config_report_t report = {0};
 *     config_check(&report, text, size, old_text, old_size);
 *     config_report_write(&report, stdout, false);
 *     return config_report_status(&report);
 *     config_report_release(&report);
 *
 * Findings are what a version should not have: rows that are left out, routes,
 * tenants and services that nothing can use, limits that contradict each
 * other, and a version that is not newer than the one in force. Differences
 * are no findings. A report never contains a key.
 */
#ifndef TIER_CONFIG_CHECK_H
#define TIER_CONFIG_CHECK_H

#include "tier/config_report.h"

#include <stdbool.h>
#include <stddef.h>

/* Fill an empty report. against is the text in force, or NULL. */
void config_check(config_report_t *report, const char *text, size_t size,
                  const char *against, size_t against_size);

/* Check files and write the report to stdout; against may be NULL. */
config_status_t config_check_files(const char *path, const char *against,
                                   bool as_json);

#endif
