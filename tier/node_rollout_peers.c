/* The messages about rollouts: reports to the decider, statuses from it, and
   the part of the fleet's state. */
#include "daemon/clock.h"
#include "edge/event.h"
#include "http/loop_clock.h"
#include "tier/node_rollout_state.h"
#include "tier/node_state.h"
#include "tier/rollout_message.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* Peers answer within milliseconds; a later answer is overtaken by the
       next report. */
    REPORT_TIMEOUT_US = 400000,
    /* How long a reader that did not answer is passed over. It is then asked
       once more; until it answers the next one goes on deciding. */
    FIRST_RETRY_US = 2000000,
    /* A decider knows the store's word within the time for which the others
       rely on it. */
    STORE_SILENCE_US = ROLLOUT_SILENCE_US
};

/* The n-th store reader by name; NULL: there are fewer. */
static const member_record_t *
reader_at(const members_t *members, uint32_t n)
{
    const member_record_t *after = NULL;
    for (;; n--) {
        const member_record_t *next = NULL;
        for (uint32_t i = 0; i < members->count; i++) {
            const member_record_t *record = &members->records[i];
            if (record->role == MEMBER_STORE_READER &&
                (after == NULL || strcmp(record->name, after->name) > 0) &&
                (next == NULL || strcmp(record->name, next->name) < 0)) {
                next = record;
            }
        }
        if (next == NULL || n == 0) {
            return next;
        }
        after = next;
    }
}

static bool
reaches_store(const node_t *node, int64_t now_us)
{
    const store_link_stats_t *stats = store_link_stats(node->store);
    return stats->reachable && !node->polls_peers &&
           now_us - stats->last_answer_us < STORE_SILENCE_US;
}

bool
rollouts_is_decider(node_rollouts_t *rollouts, int64_t now_us)
{
    return rollouts->is_decider && reaches_store(rollouts->node, now_us);
}

static json_t *
reports_json(node_rollouts_t *rollouts)
{
    json_t *rows = json_array();
    for (service_rollout_t *service = rollouts->services; service != NULL;
         service = service->next) {
        const rollout_order_t *order = rollout_order(service->rollout);
        if (order != NULL) {
            json_array_append_new(
                rows,
                rollout_report_json(service->name, order->id,
                                    rollout_own_report(service->rollout)));
        }
    }
    return json_pack("{s:s, s:I, s:o}", "daemon",
                     rollouts->node->boot.daemon_name, "run",
                     (json_int_t)rollouts->run, "services", rows);
}

static void
status_row_apply(node_rollouts_t *rollouts, const json_t *row, int64_t now_us)
{
    const char *name = json_string_value(json_object_get(row, "service"));
    const json_t *elapsed = json_object_get(row, "elapsed_us");
    rollout_status_t status;
    service_rollout_t *service =
        name != NULL ? rollouts_service(rollouts, name, false, now_us) : NULL;
    const rollout_order_t *order =
        service != NULL ? rollout_order(service->rollout) : NULL;
    if (order == NULL || !rollout_status_parse(&status, row) ||
        status.order != order->id) {
        return;
    }
    rollouts_status_seen(rollouts, service, &status, "decider", now_us);
    if (json_is_integer(elapsed) && status.state == ROLLOUT_ACTIVE) {
        rollout_set_elapsed(service->rollout, json_integer_value(elapsed),
                            now_us);
    }
}

static void
report_done(void *owner, relay_result_t result, const http_message_t *message,
            int64_t now_us)
{
    node_rollouts_t *rollouts = owner;
    bool probing = rollouts->probing;
    rollouts->reporting = rollouts->probing = false;
    if (result != RELAY_ANSWERED || message->status != 200) {
        rollouts->decider_skips += probing ? 0 : 1;
        rollouts->first_retry_us = now_us + FIRST_RETRY_US;
        return;
    }
    if (probing) {
        rollouts->decider_skips = 0;
        rollouts->is_decider = false;
    }
    json_t *root = json_loadb((const char *)buffer_data(&message->body),
                              buffer_size(&message->body), 0, NULL);
    const json_t *rows = json_object_get(root, "services");
    for (size_t i = 0; i < json_array_size(rows); i++) {
        status_row_apply(rollouts, json_array_get(rows, i), now_us);
    }
    json_decref(root);
}

/* Choose the decider. NULL: it is this daemon, or none is known. */
static const member_record_t *
rollouts_choose_decider(node_rollouts_t *rollouts, int64_t now_us)
{
    node_t *node = rollouts->node;
    const member_record_t *first = reader_at(&node->members, 0);
    if (first != NULL && strcmp(first->name, node->boot.daemon_name) == 0 &&
        reaches_store(node, now_us)) {
        rollouts->decider_skips = 0;
    }
    const member_record_t *decider =
        reader_at(&node->members, rollouts->decider_skips);
    if (decider == NULL) {
        /* None answers. */
        if (now_us >= rollouts->first_retry_us) {
            rollouts->decider_skips = 0;
        }
        rollouts->is_decider = false;
        return NULL;
    }
    bool own = strcmp(decider->name, node->boot.daemon_name) == 0;
    if (own && !reaches_store(node, now_us)) {
        rollouts->decider_skips++;
        rollouts->first_retry_us = now_us + FIRST_RETRY_US;
        own = false;
        decider = NULL;
    }
    rollouts->is_decider = own;
    return own ? NULL : decider;
}

static void
report_own(node_rollouts_t *rollouts, int64_t now_us)
{
    const char *name = rollouts->node->boot.daemon_name;
    const rollout_reporter_t self = {XXH64(name, strlen(name), 0),
                                     rollouts->run};
    for (service_rollout_t *service = rollouts->services; service != NULL;
         service = service->next) {
        rollout_note_heard(service->rollout, now_us);
        (void)rollout_note_report(service->rollout, &self,
                                  rollout_own_report(service->rollout),
                                  now_us);
    }
}

void
rollouts_report(node_rollouts_t *rollouts, int64_t now_us)
{
    static const char head[] =
        "Host: peer\r\nContent-Type: application/json\r\n";
    bool due = false;
    bool open = false;
    for (service_rollout_t *service = rollouts->services; service != NULL;
         service = service->next) {
        due |= rollout_report_is_due(service->rollout, now_us);
        open |= rollout_is_open(service->rollout) ||
                rollout_status(service->rollout)->state == ROLLOUT_ACTIVE;
    }
    const member_record_t *decider = rollouts_choose_decider(rollouts, now_us);
    /* An order that was withdrawn has no slices. */
    due |= open && now_us - rollouts->reported_us > 2 * ROLLOUT_REPORT_US;
    if (!due) {
        return;
    }
    rollouts->reported_us = now_us;
    if (rollouts->is_decider) {
        report_own(rollouts, now_us);
    }
    bool probing = rollouts->decider_skips > 0 && !rollouts->reporting &&
                   now_us >= rollouts->first_retry_us;
    if (probing) {
        decider = reader_at(&rollouts->node->members, 0);
    }
    relay_request_t request = {
        .method = "POST",
        .target = ROLLOUT_PATH,
        .head = head,
        .head_size = sizeof(head) - 1,
        .deadline_us = now_us + REPORT_TIMEOUT_US,
        .idempotent = true,
        .is_message = true,
    };
    if (decider == NULL || rollouts->reporting ||
        !boot_parse_address(decider->control, &request.address)) {
        return;
    }
    json_t *root = reports_json(rollouts);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    if (text != NULL) {
        request.body = text;
        request.body_size = strlen(text);
        rollouts->reporting =
            relay_links_send(rollouts->node->relay_links, &request,
                             report_done, rollouts, now_us) != NULL;
        rollouts->probing = probing && rollouts->reporting;
    }
    free(text);
}

/* Count a report and add the status to the response. */
static void
report_row_apply(node_rollouts_t *rollouts, const rollout_reporter_t *reporter,
                 const json_t *row, json_t *statuses, int64_t now_us)
{
    const char *name = json_string_value(json_object_get(row, "service"));
    uint64_t id = (uint64_t)json_integer_value(json_object_get(row, "order"));
    rollout_report_t report;
    service_rollout_t *service =
        name != NULL ? rollouts_service(rollouts, name, false, now_us) : NULL;
    const rollout_order_t *order =
        service != NULL ? rollout_order(service->rollout) : NULL;
    if (order == NULL || order->id != id ||
        !rollout_report_parse(&report, row)) {
        return;
    }
    (void)rollout_note_report(service->rollout, reporter, &report, now_us);
    const rollout_status_t *status = rollout_status(service->rollout);
    if (status->state == ROLLOUT_ABSENT || status->order != id) {
        return;
    }
    json_t *answer = rollout_status_json(status);
    json_object_set_new(answer, "service", json_string(name));
    json_object_set_new(
        answer, "elapsed_us",
        json_integer(rollout_elapsed_us(service->rollout, now_us)));
    json_array_append_new(statuses, answer);
}

void
node_rollout_request(node_t *node, exchange_t *exchange)
{
    node_rollouts_t *rollouts = node->rollouts;
    const buffer_t *body = &exchange_request(exchange)->body;
    int64_t now_us = loop_now_us();
    if (rollouts == NULL) {
        node_answer_text(exchange, 404, "text/plain", "", 0);
        return;
    }
    json_t *root = json_loadb((const char *)buffer_data(body),
                              buffer_size(body), 0, NULL);
    const char *daemon = json_string_value(json_object_get(root, "daemon"));
    if (daemon == NULL || node->shutting_down ||
        !reaches_store(node, now_us)) {
        json_decref(root);
        node_answer_text(exchange, daemon == NULL ? 400 : 503, "text/plain",
                         "", 0);
        return;
    }
    const rollout_reporter_t reporter = {
        .name_hash = XXH64(daemon, strlen(daemon), 0),
        .run = (uint64_t)json_integer_value(json_object_get(root, "run")),
    };
    const json_t *rows = json_object_get(root, "services");
    json_t *statuses = json_array();
    for (size_t i = 0; i < json_array_size(rows); i++) {
        report_row_apply(rollouts, &reporter, json_array_get(rows, i),
                         statuses, now_us);
    }
    json_decref(root);
    json_t *answer = json_pack("{s:o}", "services", statuses);
    char *text = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    node_answer_text(exchange, text != NULL ? 200 : 503, "application/json",
                     text, text != NULL ? strlen(text) : 0);
    free(text);
}

json_t *
node_rollout_state(const node_t *node)
{
    if (node->rollouts == NULL || !node->rollouts->orders_known) {
        return NULL;
    }
    json_t *rows = json_array();
    for (const service_rollout_t *service = node->rollouts->services;
         service != NULL; service = service->next) {
        const rollout_order_t *order = rollout_order(service->rollout);
        const rollout_status_t *status = rollout_status(service->rollout);
        json_t *row =
            json_pack("{s:s, s:I, s:I}", "service", service->name,
                      "order_revision", (json_int_t)service->order_revision,
                      "ordered_ms", (json_int_t)service->ordered_ms);
        if (order != NULL) {
            json_object_set_new(row, "order", rollout_order_json(order));
        }
        if (status->state != ROLLOUT_ABSENT) {
            json_object_set_new(row, "status", rollout_status_json(status));
        }
        json_array_append_new(rows, row);
    }
    return rows;
}

uint64_t
node_rollout_digest(const node_t *node)
{
    uint64_t digest = 0;
    if (node->rollouts == NULL || !node->rollouts->orders_known) {
        return 0;
    }
    for (const service_rollout_t *service = node->rollouts->services;
         service != NULL; service = service->next) {
        const rollout_order_t *order = rollout_order(service->rollout);
        const rollout_status_t *status = rollout_status(service->rollout);
        const uint64_t parts[] = {
            XXH64(service->name, strlen(service->name), 0),
            service->order_revision,
            order != NULL,
            status->order,
            (uint64_t)status->state,
            (uint64_t)(status->share * 1000),
        };
        digest ^= XXH64(parts, sizeof(parts), 0);
    }
    return digest;
}

static void
state_row_apply(node_rollouts_t *rollouts, const json_t *row, int64_t now_us)
{
    const char *name = json_string_value(json_object_get(row, "service"));
    json_int_t revision =
        json_integer_value(json_object_get(row, "order_revision"));
    service_rollout_t *service =
        name != NULL ? rollouts_service(rollouts, name, true, now_us) : NULL;
    rollout_order_t order;
    rollout_status_t status;
    if (service == NULL || revision < 0 ||
        (uint64_t)revision < service->order_revision) {
        return;
    }
    service->order_revision = (uint64_t)revision;
    if (service->ordered_ms == 0) {
        service->ordered_ms =
            json_integer_value(json_object_get(row, "ordered_ms"));
    }
    if (rollout_order_parse(&order, json_object_get(row, "order"))) {
        rollouts_order_seen(rollouts, service, &order, now_us);
    }
    else {
        rollouts_order_seen(rollouts, service, NULL, now_us);
    }
    const rollout_order_t *known = rollout_order(service->rollout);
    if (rollout_status_parse(&status, json_object_get(row, "status")) &&
        (known == NULL || known->id == status.order ||
         rollout_status(service->rollout)->state == ROLLOUT_ABSENT)) {
        rollouts_status_seen(rollouts, service, &status, "peer", now_us);
    }
}

void
node_rollout_apply_state(node_t *node, const json_t *rows, int64_t now_us)
{
    if (node->rollouts == NULL || !json_is_array(rows)) {
        return;
    }
    for (size_t i = 0; i < json_array_size(rows); i++) {
        state_row_apply(node->rollouts, json_array_get(rows, i), now_us);
    }
    node->rollouts->orders_known = true;
}
