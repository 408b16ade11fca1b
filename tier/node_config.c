/* Applies the configuration and the closed zones that the operator writes. */
#include "core/text.h"
#include "edge/event.h"
#include "platform/documents.h"
#include "platform/names.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static void
config_log_error(void *owner, const char *place, const char *error)
{
    (void)owner;
    event_log(EVENT_CONFIG_REFUSED, "place=%s cause=%s", place, error);
}

size_t
node_memory_part(const node_t *node, uint32_t divisor)
{
    uint64_t bytes = node->boot.memory_bytes > 0 ? node->boot.memory_bytes
                                                 : MEMORY_DEFAULT_BYTES;
    return (size_t)(bytes / divisor);
}

static size_t
limit_or_default(uint64_t limit, size_t default_limit)
{
    return limit > 0 && limit < SIZE_MAX ? (size_t)limit : default_limit;
}

/* Set the limits of callers' connections by the configuration. */
static void
node_apply_limits(node_t *node)
{
    const route_table_t *table = engine_table(node->engine);
    http_server_settings_t settings = {
        .connections_max = CALLER_CONNECTIONS_MAX,
        .limits =
            {
                .max_header_bytes = limit_or_default(table->max_header_bytes,
                                                     CALLER_HEADER_BYTES_MAX),
                .max_body_bytes = limit_or_default(table->max_body_bytes,
                                                   CALLER_BODY_BYTES_MAX),
            },
        .max_held_bytes = node_memory_part(node, CALLERS_HELD_DIVISOR),
        .header_timeout_us = table->header_timeout_us,
        .idle_timeout_us = table->idle_timeout_us,
    };
    http_server_configure(node->caller_server, &settings);
    /* Relayed requests are callers' requests with a few more headers. */
    settings.limits.max_header_bytes += RELAY_HEADERS_BYTES;
    if (settings.limits.max_body_bytes < QUOTA_BODY_BYTES) {
        settings.limits.max_body_bytes = QUOTA_BODY_BYTES;
    }
    if (node->rollouts != NULL &&
        settings.limits.max_body_bytes < ROLLOUT_REPORT_BYTES) {
        settings.limits.max_body_bytes = ROLLOUT_REPORT_BYTES;
    }
    settings.max_held_bytes = node_memory_part(node, PEERS_HELD_DIVISOR);
    settings.connections_max = PEER_CONNECTIONS_MAX;
    settings.idle_timeout_us = PEER_IDLE_TIMEOUT_US;
    http_server_configure(node->peer_server, &settings);
}

void
node_apply_config(node_t *node, const char *text, size_t size,
                  uint64_t revision, int64_t now_us)
{
    const document_error_handler_t handler = {.on_error = config_log_error,
                                              .owner = node};
    const route_table_t *old = engine_table(node->engine);
    route_table_t *table = document_parse_routes(text, size, &handler);
    if (table == NULL) {
        event_log(EVENT_CONFIG_REFUSED, "rev=%" PRIu64 " cause=not_readable",
                  revision);
        return;
    }
    if (old != NULL && table->version <= old->version) {
        if (table->version == old->version) {
            /* Written again, by a restored store or its operator. */
            engine_confirm_table(node->engine, revision);
        }
        else {
            event_log(EVENT_CONFIG_OLDER_IGNORED,
                      "v=%" PRIu64 " rev=%" PRIu64 " in_force=%" PRIu64,
                      table->version, revision, old->version);
        }
        route_table_release(table);
        return;
    }
    table->revision = revision;
    engine_configure(node->engine, table, now_us);
    node_apply_limits(node);
    free(node->config_text);
    node->config_text = strndup(text, size);
    event_log(EVENT_CONFIG_IN_FORCE,
              "v=%" PRIu64 " rev=%" PRIu64 " routes=%u services=%u "
              "tenants=%u keys=%u needs_keys=%d",
              table->version, revision, table->route_count,
              table->service_count, table->tenants.count,
              table->tenants.key_count, table->needs_keys);
    route_table_release(table);
}

static void
zone_set_closed(node_t *node, const char *zone, bool closed)
{
    registry_t *registry = engine_registry(node->engine);
    if (registry_zone_is_closed(registry, zone) == closed) {
        return;
    }
    bool applied = registry_set_zone_closed(registry, zone, closed);
    event_log(EVENT_ZONE_CLOSED, "zone=%s closed=%d done=%d", zone, closed,
              applied);
}

static void
listed_zones_add(node_t *node, const char *zone)
{
    for (uint32_t i = 0; i < node->listed_zone_count; i++) {
        if (strcmp(node->listed_zones[i], zone) == 0) {
            return;
        }
    }
    if (node->listed_zone_count < REGISTRY_ZONES_MAX &&
        text_copy(node->listed_zones[node->listed_zone_count],
                  INSTANCE_NAME_SIZE, zone)) {
        node->listed_zone_count++;
    }
}

static void
listed_zones_remove(node_t *node, const char *zone)
{
    for (uint32_t i = node->listed_zone_count; i-- > 0;) {
        if (strcmp(node->listed_zones[i], zone) == 0) {
            uint32_t last = --node->listed_zone_count;
            if (i != last) {
                memcpy(node->listed_zones[i], node->listed_zones[last],
                       INSTANCE_NAME_SIZE);
            }
        }
    }
}

static void
operator_list_begin(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    node->listed_zone_count = 0;
    node_rollout_orders_begin(node);
}

static void
operator_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    node_t *node = owner;
    static const char evacuate[] = KEY_EVACUATE;
    size_t length = sizeof(evacuate) - 1;
    if (strcmp(item->key, KEY_CONFIG) == 0) {
        if (!item->removed) {
            node_apply_config(node, item->value, item->size, item->revision,
                              now_us);
        }
    }
    else if (strncmp(item->key, evacuate, length) == 0) {
        const char *zone = item->key + length;
        zone_set_closed(node, zone, !item->removed);
        if (item->removed) {
            listed_zones_remove(node, zone);
        }
        else {
            listed_zones_add(node, zone);
        }
    }
    else {
        node_rollout_item(node, item, now_us);
    }
}

/* Reopen the closed zones that are not listed. */
static void
operator_list_end(void *owner, int64_t now_us)
{
    node_t *node = owner;
    if (now_us < node->zones_held_until_us) {
        return;
    }
    registry_t *registry = engine_registry(node->engine);
    for (uint32_t i = registry->closed_zone_count; i-- > 0;) {
        char zone[INSTANCE_NAME_SIZE];
        bool listed = false;
        memcpy(zone, registry->closed_zones[i], sizeof(zone));
        for (uint32_t j = 0; j < node->listed_zone_count; j++) {
            listed |= strcmp(node->listed_zones[j], zone) == 0;
        }
        if (!listed) {
            zone_set_closed(node, zone, false);
        }
    }
    engine_dispatch_queued(node->engine, now_us);
}

void
node_apply_closed_zones(node_t *node, char (*names)[INSTANCE_NAME_SIZE],
                        uint32_t count, int64_t now_us)
{
    node->listed_zone_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        zone_set_closed(node, names[i], true);
        listed_zones_add(node, names[i]);
    }
    operator_list_end(node, now_us);
}

void
node_release_zones(node_t *node, int64_t now_us)
{
    if (node->zones_held_until_us != 0 &&
        now_us >= node->zones_held_until_us) {
        node->zones_held_until_us = 0;
        operator_list_end(node, now_us);
    }
}

static void
operator_list_read(void *owner, int64_t now_us)
{
    node_rollout_orders_end(owner, now_us);
    operator_list_end(owner, now_us);
}

const prefix_reader_t node_operator_reader = {
    .list_begin = operator_list_begin,
    .item = operator_item,
    .list_end = operator_list_read,
};
