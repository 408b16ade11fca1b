/*
 * The messages about rollouts between daemons, and the part of the fleet's
 * state that has the orders and statuses, as JSON.
 *
 * A daemon posts its reports, one for each service with an open order, to the
 * decider at ROLLOUT_PATH; the response has the statuses of these services.
 * Fields that are not known are ignored.
 *
 *     json_t *row = rollout_report_json(service, order, report);
 *     rollout_report_t report;
 *     if (rollout_report_parse(&report, row)) ...
 */
#ifndef TIER_ROLLOUT_MESSAGE_H
#define TIER_ROLLOUT_MESSAGE_H

#include "policy/rollout.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define ROLLOUT_PATH "/fleet/rollout"

/* The report of a service, an object with "service" and "order". */
json_t *rollout_report_json(const char *service, uint64_t order,
                            const rollout_report_t *report);

/* False: the row is not a report. */
bool rollout_report_parse(rollout_report_t *report, const json_t *row);

/* An order or a status as an object. */
json_t *rollout_order_json(const rollout_order_t *order);
json_t *rollout_status_json(const rollout_status_t *status);

/* False: there is no valid one in the row. */
bool rollout_order_parse(rollout_order_t *order, const json_t *row);
bool rollout_status_parse(rollout_status_t *status, const json_t *row);

#endif
