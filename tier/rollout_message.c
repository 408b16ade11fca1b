#include "tier/rollout_message.h"

#include "core/text.h"

#include <string.h>

enum {
    /* Of a cell's array: route, zone, side, answers, failures, and then pairs
       of a bucket's number and count. */
    CELL_HEAD = 5
};

static json_t *
cell_json(const rollout_report_t *report, uint32_t index, int side)
{
    json_t *cell = json_array();
    const uint32_t head[CELL_HEAD] = {
        report->keys[index].route,
        report->keys[index].zone,
        (uint32_t)side,
        report->cells[index][side].answers,
        report->cells[index][side].failures,
    };
    for (int i = 0; i < CELL_HEAD; i++) {
        json_array_append_new(cell, json_integer(head[i]));
    }
    for (uint32_t b = 0; b < ROLLOUT_BUCKETS; b++) {
        uint32_t count = report->cells[index][side].buckets[b];
        if (count > 0) {
            json_array_append_new(cell, json_integer(b));
            json_array_append_new(cell, json_integer(count));
        }
    }
    return cell;
}

json_t *
rollout_report_json(const char *service, uint64_t order,
                    const rollout_report_t *report)
{
    json_t *cells = json_array();
    for (uint32_t i = 0; i < report->key_count; i++) {
        for (int side = 0; side < ROLLOUT_SIDES; side++) {
            if (report->cells[i][side].answers > 0) {
                json_array_append_new(cells, cell_json(report, i, side));
            }
        }
    }
    return json_pack("{s:s, s:I, s:b, s:o}", "service", service, "order",
                     (json_int_t)order, "stopped", (int)report->stopped,
                     "cells", cells);
}

/* A count in an array; 0 if it is missing or out of range. */
static uint32_t
array_u32(const json_t *array, size_t index)
{
    json_int_t value = json_integer_value(json_array_get(array, index));
    return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

static uint32_t
report_key_index(rollout_report_t *report, const rollout_key_t *key)
{
    uint32_t i = 0;
    while (i < report->key_count && (report->keys[i].route != key->route ||
                                     report->keys[i].zone != key->zone)) {
        i++;
    }
    if (i == report->key_count && i < ROLLOUT_CELLS_MAX) {
        report->keys[report->key_count++] = *key;
    }
    return i;
}

bool
rollout_report_parse(rollout_report_t *report, const json_t *row)
{
    *report = (rollout_report_t){
        .stopped = json_is_true(json_object_get(row, "stopped")),
    };
    const json_t *cells = json_object_get(row, "cells");
    if (!json_is_array(cells)) {
        return false;
    }
    for (size_t i = 0; i < json_array_size(cells); i++) {
        const json_t *cell = json_array_get(cells, i);
        const rollout_key_t key = {array_u32(cell, 0), array_u32(cell, 1)};
        uint32_t side = array_u32(cell, 2);
        if (json_array_size(cell) < CELL_HEAD || key.route == 0 ||
            side >= ROLLOUT_SIDES) {
            continue;
        }
        uint32_t index = report_key_index(report, &key);
        if (index >= ROLLOUT_CELLS_MAX) {
            continue;
        }
        report->cells[index][side].answers = array_u32(cell, 3);
        report->cells[index][side].failures = array_u32(cell, 4);
        for (size_t at = CELL_HEAD; at + 1 < json_array_size(cell); at += 2) {
            uint32_t bucket = array_u32(cell, at);
            if (bucket < ROLLOUT_BUCKETS) {
                report->cells[index][side].buckets[bucket] =
                    array_u32(cell, at + 1);
            }
        }
    }
    return true;
}

json_t *
rollout_order_json(const rollout_order_t *order)
{
    return json_pack("{s:I, s:s, s:I}", "id", (json_int_t)order->id, "target",
                     order->target, "over_us", (json_int_t)order->over_us);
}

json_t *
rollout_status_json(const rollout_status_t *status)
{
    return json_pack("{s:s, s:I, s:s, s:f}", "state",
                     rollout_state_name(status->state), "order",
                     (json_int_t)status->order, "target", status->target,
                     "share", status->share);
}

static bool
row_target(const json_t *row, char *target)
{
    const char *text = json_string_value(json_object_get(row, "target"));
    return text != NULL && text[0] != '\0' &&
           text_copy(target, ROLLOUT_VERSION_SIZE, text);
}

bool
rollout_order_parse(rollout_order_t *order, const json_t *row)
{
    *order = (rollout_order_t){
        .id = (uint64_t)json_integer_value(json_object_get(row, "id")),
        .over_us = json_integer_value(json_object_get(row, "over_us")),
    };
    return row_target(row, order->target) && order->over_us > 0;
}

bool
rollout_status_parse(rollout_status_t *status, const json_t *row)
{
    const char *state = json_string_value(json_object_get(row, "state"));
    *status = (rollout_status_t){
        .order = (uint64_t)json_integer_value(json_object_get(row, "order")),
        .share = json_number_value(json_object_get(row, "share")),
    };
    for (int i = ROLLOUT_ACTIVE; state != NULL && i < ROLLOUT_STATES; i++) {
        if (strcmp(state, rollout_state_name(i)) == 0) {
            status->state = i;
        }
    }
    return status->state != ROLLOUT_ABSENT && status->share >= 0 &&
           status->share <= 1 && row_target(row, status->target);
}
