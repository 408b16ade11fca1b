/* Reads the upstreams' entries into the registry and writes its copy. */
#include "edge/event.h"
#include "platform/documents.h"
#include "platform/names.h"
#include "tier/node_state.h"
#include "tier/registry_copy.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Shortest interval between two writes of the registry's copy. */
    COPY_INTERVAL_US = 5000000
};

static void
ignore_list_event(void *owner, int64_t now_us)
{
    (void)owner;
    (void)now_us;
}

static void
copy_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    node_t *node = owner;
    if (item->removed || strcmp(item->key, KEY_REGISTRY_COPY) != 0) {
        return;
    }
    uint32_t added = registry_copy_load(engine_registry(node->engine),
                                        item->value, item->size, now_us);
    event_log(EVENT_REGISTRY_COPY_READ,
              "rev=%" PRIu64 " believed=%u listed=%u", item->revision, added,
              registry_count(engine_registry(node->engine)) - added);
    engine_dispatch_queued(node->engine, now_us);
}

static const prefix_reader_t copy_reader = {
    .list_begin = ignore_list_event,
    .item = copy_item,
    .list_end = ignore_list_event,
};

void
node_read_registry_copy(node_t *node)
{
    static const follow_settings_t copy_settings = {
        .prefix = KEY_REGISTRY,
        .list_only = true,
    };
    /* At the fleet's first start there is none. */
    if (!node->boot.bootstrap) {
        (void)store_link_follow(node->store, &copy_settings, &copy_reader,
                                node);
    }
}

static void
upstreams_list_begin(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    registry_list_begin(engine_registry(node->engine));
}

static void
upstream_log_change(const char *id, const instance_entry_t *entry,
                    registry_change_t change, uint64_t revision)
{
    static const char *const changes[] = {
        [REGISTRY_UNCHANGED] = "same",        [REGISTRY_ADDED] = "added",
        [REGISTRY_CHANGED] = "changed",       [REGISTRY_REMOVED] = "gone",
        [REGISTRY_REMOVAL_DEFERRED] = "kept",
    };
    if (change == REGISTRY_UNCHANGED) {
        return;
    }
    event_log(
        EVENT_INSTANCE_CHANGED,
        "instance=%s change=%s rev=%" PRIu64
        " service=%s zone=%s draining=%d cold_ms=%" PRId64,
        id, changes[change], revision, entry != NULL ? entry->service : "-",
        entry != NULL ? entry->zone : "-", entry != NULL && entry->draining,
        entry != NULL ? entry->cold_left_us / 1000 : 0);
}

static void
upstreams_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    static const char prefix[] = KEY_UPSTREAMS;
    node_t *node = owner;
    registry_t *registry = engine_registry(node->engine);
    if (strncmp(item->key, prefix, sizeof(prefix) - 1) != 0) {
        /* The changes of all prefixes are read here. Each reader ignores the
           keys of other prefixes and acts only on what is new to it. */
        node_operator_reader.item(owner, item, now_us);
        node_fleet_reader.item(owner, item, now_us);
        node_rollout_item(node, item, now_us);
        return;
    }
    const char *id = item->key + sizeof(prefix) - 1;
    instance_entry_t entry;
    const char *error = "removed";
    if (!item->removed &&
        document_parse_instance(&entry, id, item->value, item->size, &error)) {
        registry_change_t change =
            registry_put(registry, &entry, item->revision, now_us);
        node->registry_copy_stale |= change != REGISTRY_UNCHANGED;
        upstream_log_change(id, &entry, change, item->revision);
        return;
    }
    if (!item->removed) {
        event_log(EVENT_INPUT_REFUSED, "key=%s rev=%" PRIu64 " cause=%s",
                  item->key, item->revision, error);
    }
    upstream_log_change(id, NULL,
                        registry_remove(registry, id, item->revision, now_us),
                        item->revision);
}

static void
upstreams_answered(void *owner, int64_t now_us)
{
    node_t *node = owner;
    node->upstreams_read_us = now_us;
    node_rollout_heard(node, now_us);
}

static void
upstreams_list_end(void *owner, int64_t now_us)
{
    node_t *node = owner;
    registry_list_end(engine_registry(node->engine), now_us);
    registry_reset_tombstones(engine_registry(node->engine),
                              store_link_revision(node->store, KEY_UPSTREAMS));
    if (!node->upstreams_known) {
        node->upstreams_known = true;
        node_read_registry_copy(node);
        event_log(EVENT_TOPOLOGY_CHANGED, "upstreams=%u",
                  registry_count(engine_registry(node->engine)));
    }
    engine_dispatch_queued(node->engine, now_us);
}

const prefix_reader_t node_upstreams_reader = {
    .list_begin = upstreams_list_begin,
    .item = upstreams_item,
    .list_end = upstreams_list_end,
    .answered = upstreams_answered,
};

/* Only the first daemon by name writes the copy. */
void
node_copy_registry(node_t *node, int64_t now_us)
{
    if (!node->registry_copy_stale || node->shutting_down ||
        !node->upstreams_known ||
        now_us - node->registry_copied_us < COPY_INTERVAL_US ||
        !store_link_stats(node->store)->reachable ||
        !members_is_first(&node->members, node->boot.daemon_name)) {
        return;
    }
    size_t size;
    char *text =
        registry_copy_write(engine_registry(node->engine), now_us, &size);
    if (text != NULL &&
        store_link_put(node->store, KEY_REGISTRY_COPY, text, false)) {
        node->registry_copy_stale = false;
        node->registry_copied_us = now_us;
    }
    free(text);
}
