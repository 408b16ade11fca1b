/* Rollouts: orders, statuses and the decisions about them. The messages
   between daemons are in node_rollout_peers.c. */
#include "tier/node_rollout.h"

#include "core/text.h"
#include "daemon/clock.h"
#include "edge/event.h"
#include "platform/documents.h"
#include "platform/names.h"
#include "tier/node_rollout_state.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* A conditional write whose end was not heard is decided again. */
    WRITE_TIMEOUT_US = 2000000,
    STATUS_SIZE = 512
};

node_rollouts_t *
node_rollouts_new(node_t *node)
{
    const boot_t *boot = &node->boot;
    if (boot->canary_share <= 0 || boot->rollback_us <= 0) {
        return NULL;
    }
    node_rollouts_t *rollouts = calloc(1, sizeof(*rollouts));
    if (rollouts != NULL) {
        rollouts->node = node;
        rollouts->run = (uint64_t)clock_wall_us();
    }
    return rollouts;
}

void
node_rollouts_free(node_rollouts_t *rollouts)
{
    if (rollouts == NULL) {
        return;
    }
    while (rollouts->services != NULL) {
        service_rollout_t *next = rollouts->services->next;
        free(rollouts->services);
        rollouts->services = next;
    }
    free(rollouts);
}

service_rollout_t *
rollouts_service(node_rollouts_t *rollouts, const char *name, bool create,
                 int64_t now_us)
{
    engine_t *engine = rollouts->node->engine;
    for (service_rollout_t *service = rollouts->services; service != NULL;
         service = service->next) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    service_rollout_t *service = create ? calloc(1, sizeof(*service)) : NULL;
    if (service == NULL ||
        !text_copy(service->name, sizeof(service->name), name)) {
        free(service);
        return NULL;
    }
    service->pool = registry_pool(engine_registry(engine), name);
    service->rollout = service->pool != NULL
                           ? engine_rollout(engine, service->pool, now_us)
                           : NULL;
    if (service->rollout == NULL) {
        free(service);
        return NULL;
    }
    service->next = rollouts->services;
    rollouts->services = service;
    return service;
}

void
rollouts_order_seen(node_rollouts_t *rollouts, service_rollout_t *service,
                    const rollout_order_t *order, int64_t now_us)
{
    node_t *node = rollouts->node;
    bool fresh = rollouts->orders_known;
    if (!rollout_set_order(service->rollout, order, fresh, now_us)) {
        return;
    }
    if (!fresh && service->ordered_ms > 0) {
        rollout_set_elapsed(service->rollout,
                            clock_wall_us() - service->ordered_ms * 1000,
                            now_us);
    }
    else if (fresh) {
        service->ordered_ms =
            (clock_wall_us() - rollout_elapsed_us(service->rollout, now_us)) /
            1000;
    }
    engine_refresh_rollout(node->engine, service->pool, now_us);
    event_log(EVENT_ROLLOUT_ORDERED,
              "service=%s version=%s order=%" PRIu64
              " over_s=%.1f fresh=%d usual=%s",
              service->name, order != NULL ? order->target : "-",
              order != NULL ? order->id : 0,
              order != NULL ? (double)order->over_us / 1e6 : 0, fresh,
              rollout_usual(service->rollout) != NULL
                  ? rollout_usual(service->rollout)
                  : "-");
}

void
rollouts_status_seen(node_rollouts_t *rollouts, service_rollout_t *service,
                     const rollout_status_t *status, const char *from,
                     int64_t now_us)
{
    if (!rollout_set_status(service->rollout, status, now_us)) {
        return;
    }
    engine_refresh_rollout(rollouts->node->engine, service->pool, now_us);
    event_log(EVENT_ROLLOUT_STATUS,
              "service=%s version=%s order=%" PRIu64
              " state=%s share=%.3f from=%s old=%" PRIu64 " new=%" PRIu64,
              service->name, status->target, status->order,
              rollout_state_name(status->state), status->share, from,
              rollout_sent(service->rollout, ROLLOUT_OLD),
              rollout_sent(service->rollout, ROLLOUT_NEW));
    engine_dispatch_queued(rollouts->node->engine, now_us);
}

static void
order_item(node_rollouts_t *rollouts, const char *name, const kv_item_t *item,
           int64_t now_us)
{
    rollout_order_t order;
    service_rollout_t *service =
        rollouts_service(rollouts, name, !item->removed, now_us);
    if (service == NULL || item->revision < service->order_revision) {
        return;
    }
    service->order_revision = item->revision;
    service->listed = !item->removed;
    if (item->removed) {
        rollouts_order_seen(rollouts, service, NULL, now_us);
        return;
    }
    if (!document_parse_rollout_order(&order, item->value, item->size)) {
        event_log(EVENT_INPUT_REFUSED,
                  "key=%s rev=%" PRIu64 " cause=not_an_order", item->key,
                  item->revision);
        return;
    }
    order.id = item->revision & KV_REVISION_MASK;
    rollouts_order_seen(rollouts, service, &order, now_us);
}

static void
status_item(node_rollouts_t *rollouts, const char *name, const kv_item_t *item,
            int64_t now_us)
{
    rollout_status_t status;
    int64_t ordered_ms;
    service_rollout_t *service =
        rollouts_service(rollouts, name, !item->removed, now_us);
    if (service == NULL || item->revision < service->status_revision) {
        return;
    }
    service->status_revision = item->removed ? 0 : item->revision;
    service->write_until_us = 0;
    service->stored = (rollout_status_t){0};
    if (item->removed) {
        return;
    }
    if (!document_parse_rollout_status(&status, &ordered_ms, item->value,
                                       item->size)) {
        event_log(EVENT_INPUT_REFUSED,
                  "key=%s rev=%" PRIu64 " cause=not_a_status", item->key,
                  item->revision);
        return;
    }
    service->stored = status;
    const rollout_order_t *order = rollout_order(service->rollout);
    if (ordered_ms > 0 && !rollouts->orders_known) {
        service->ordered_ms = ordered_ms;
        if (order != NULL && order->id == status.order) {
            rollout_set_elapsed(service->rollout,
                                clock_wall_us() - ordered_ms * 1000, now_us);
        }
    }
    rollouts_status_seen(rollouts, service, &status, "store", now_us);
}

void
node_rollout_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    static const char orders[] = KEY_ROLLOUT_ORDERS;
    static const char statuses[] = KEY_ROLLOUT_STATUS;
    if (node->rollouts == NULL) {
        return;
    }
    if (strncmp(item->key, orders, sizeof(orders) - 1) == 0) {
        order_item(node->rollouts, item->key + sizeof(orders) - 1, item,
                   now_us);
    }
    else if (strncmp(item->key, statuses, sizeof(statuses) - 1) == 0) {
        status_item(node->rollouts, item->key + sizeof(statuses) - 1, item,
                    now_us);
    }
}

void
node_rollout_orders_begin(node_t *node)
{
    if (node->rollouts == NULL) {
        return;
    }
    for (service_rollout_t *service = node->rollouts->services;
         service != NULL; service = service->next) {
        service->listed = false;
    }
}

void
node_rollout_orders_end(node_t *node, int64_t now_us)
{
    if (node->rollouts == NULL) {
        return;
    }
    for (service_rollout_t *service = node->rollouts->services;
         service != NULL; service = service->next) {
        if (!service->listed && rollout_order(service->rollout) != NULL) {
            rollouts_order_seen(node->rollouts, service, NULL, now_us);
        }
    }
    node->rollouts->orders_known = true;
}

void
node_rollout_heard(node_t *node, int64_t now_us)
{
    if (node->rollouts == NULL) {
        return;
    }
    for (service_rollout_t *service = node->rollouts->services;
         service != NULL; service = service->next) {
        rollout_note_heard(service->rollout, now_us);
    }
}

static void
statuses_list_event(void *owner, int64_t now_us)
{
    (void)owner;
    (void)now_us;
}

static void
statuses_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    node_rollout_item(owner, item, now_us);
}

static void
statuses_list_end(void *owner, int64_t now_us)
{
    node_t *node = owner;
    node->rollouts->statuses_known = true;
    (void)now_us;
}

const prefix_reader_t node_rollout_reader = {
    .list_begin = statuses_list_event,
    .item = statuses_item,
    .list_end = statuses_list_end,
};

static bool
status_write(node_t *node, service_rollout_t *service,
             const rollout_status_t *status, int64_t now_us)
{
    char key[LEASE_KEY_SIZE];
    char text[STATUS_SIZE];
    int length =
        snprintf(key, sizeof(key), KEY_ROLLOUT_STATUS "%s", service->name);
    if (length <= 0 || (size_t)length >= sizeof(key) ||
        document_format_rollout_status(text, sizeof(text), status,
                                       service->ordered_ms) == 0 ||
        !store_link_put_if(node->store, key, text, service->status_revision)) {
        return false;
    }
    service->writing = *status;
    service->write_until_us = now_us + WRITE_TIMEOUT_US;
    return true;
}

void
node_rollout_wrote(node_t *node, const char *key, bool done, uint64_t revision,
                   int64_t now_us)
{
    static const char prefix[] = KEY_ROLLOUT_STATUS;
    if (node->rollouts == NULL ||
        strncmp(key, prefix, sizeof(prefix) - 1) != 0) {
        return;
    }
    service_rollout_t *service = rollouts_service(
        node->rollouts, key + sizeof(prefix) - 1, false, now_us);
    if (service == NULL || service->write_until_us == 0) {
        return;
    }
    if (!done) {
        /* Another decider's status is read before the next try. */
        service->write_until_us = now_us + WRITE_TIMEOUT_US;
        return;
    }
    service->write_until_us = 0;
    service->status_revision = revision;
    service->stored = service->writing;
    rollouts_status_seen(node->rollouts, service, &service->writing, "own",
                         now_us);
}

static void
decision_log(const service_rollout_t *service, const rollout_status_t *status,
             const rollout_finding_t *finding, int64_t now_us)
{
    bool withdrawn = rollout_order(service->rollout) == NULL;
    event_log(EVENT_ROLLOUT_DECIDED,
              "service=%s version=%s order=%" PRIu64
              " state=%s share=%.3f reason=%s route=%08x bad=%u answers=%u "
              "expected=%.2f chance=%.2g after_ms=%" PRId64,
              service->name, status->target, status->order,
              rollout_state_name(status->state), status->share,
              withdrawn ? "withdrawn" : rollout_reason_name(finding->reason),
              finding->route, finding->bad, finding->answers,
              finding->expected, finding->chance,
              rollout_elapsed_us(service->rollout, now_us) / 1000);
}

/* Whether a final status is in the store no more, after its restoration. */
static bool
status_is_lost(const service_rollout_t *service)
{
    const rollout_status_t *known = rollout_status(service->rollout);
    return (known->state == ROLLOUT_COMPLETE ||
            known->state == ROLLOUT_REVERTED) &&
           (service->stored.state != known->state ||
            service->stored.order != known->order);
}

static void
service_decide(node_t *node, service_rollout_t *service, int64_t now_us)
{
    rollout_status_t status;
    rollout_finding_t finding = {0};
    const rollout_order_t *order = rollout_order(service->rollout);
    bool open = order != NULL ||
                rollout_status(service->rollout)->state == ROLLOUT_ACTIVE;
    if (now_us < service->write_until_us || !open) {
        return;
    }
    service->write_until_us = 0;
    if (rollout_decide(service->rollout, &status, &finding, now_us)) {
        if (status_write(node, service, &status, now_us)) {
            decision_log(service, &status, &finding, now_us);
        }
    }
    else if (status_is_lost(service)) {
        (void)status_write(node, service, rollout_status(service->rollout),
                           now_us);
    }
}

static void
service_watch(service_rollout_t *service, int64_t now_us)
{
    rollout_finding_t finding;
    if (rollout_watch_own(service->rollout, &finding, now_us)) {
        event_log(EVENT_ROLLOUT_STOPPED,
                  "service=%s version=%s reason=%s route=%08x bad=%u "
                  "answers=%u expected=%.2f chance=%.2g new=%" PRIu64,
                  service->name, rollout_order(service->rollout)->target,
                  rollout_reason_name(finding.reason), finding.route,
                  finding.bad, finding.answers, finding.expected,
                  finding.chance, rollout_sent(service->rollout, ROLLOUT_NEW));
    }
}

void
node_rollout_tick(node_t *node, int64_t now_us)
{
    node_rollouts_t *rollouts = node->rollouts;
    if (rollouts == NULL || rollouts->services == NULL ||
        node->shutting_down) {
        return;
    }
    rollouts_report(rollouts, now_us);
    bool decides = rollouts_is_decider(rollouts, now_us) &&
                   rollouts->orders_known && rollouts->statuses_known;
    for (service_rollout_t *service = rollouts->services; service != NULL;
         service = service->next) {
        service_watch(service, now_us);
        if (decides) {
            service_decide(node, service, now_us);
        }
        else {
            rollout_end_deciding(service->rollout);
        }
    }
}

void
node_rollout_housekeeping(node_t *node, int64_t now_us)
{
    if (node->rollouts == NULL) {
        return;
    }
    uint32_t senders = 0;
    for (uint32_t i = 0; i < node->members.count; i++) {
        senders += node->members.records[i].role != MEMBER_STANDBY ? 1 : 0;
    }
    registry_t *registry = engine_registry(node->engine);
    for (strmap_entry_t *at = strmap_first(&registry->pools); at != NULL;
         at = strmap_next(at)) {
        pool_t *pool = strmap_value(at);
        rollout_t *rollout = engine_rollout(node->engine, pool, now_us);
        if (rollout != NULL) {
            rollout_set_senders(rollout, senders);
            engine_refresh_rollout(node->engine, pool, now_us);
        }
    }
}

void
node_rollout_print(const node_t *node, FILE *out)
{
    if (node->rollouts == NULL) {
        return;
    }
    for (const service_rollout_t *service = node->rollouts->services;
         service != NULL; service = service->next) {
        const rollout_t *rollout = service->rollout;
        const rollout_status_t *status = rollout_status(rollout);
        fprintf(
            out,
            "yuccarun_rollout_state{service=\"%s\",state=\"%s\"} 1\n"
            "yuccarun_rollout_share{service=\"%s\"} %.3f\n"
            "yuccarun_rollout_stopped{service=\"%s\"} %d\n"
            "yuccarun_rollout_sent{service=\"%s\",version=\"old\"} %" PRIu64
            "\nyuccarun_rollout_sent{service=\"%s\",version=\"new\"} "
            "%" PRIu64 "\n",
            service->name, rollout_state_name(status->state), service->name,
            status->share, service->name, rollout_has_stopped(rollout),
            service->name, rollout_sent(rollout, ROLLOUT_OLD), service->name,
            rollout_sent(rollout, ROLLOUT_NEW));
    }
}
