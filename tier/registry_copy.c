#include "tier/registry_copy.h"

#include "core/text.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *
row_write(const instance_t *instance, uint64_t revision, int64_t now_us)
{
    const instance_entry_t *entry = &instance->entry;
    char host[INET_ADDRSTRLEN];
    int64_t cold_us = instance->cold_until_us - now_us;
    inet_ntop(AF_INET, &entry->address.sin_addr, host, sizeof(host));
    json_t *row = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:b, s:I, s:I}", "id", entry->id,
        "service", entry->service, "zone", entry->zone, "host", host, "port",
        (int)ntohs(entry->address.sin_port), "slots", (int)entry->slots,
        "started_ms", (json_int_t)entry->started_ms, "draining",
        (int)entry->draining, "cold_us",
        (json_int_t)(cold_us > 0 ? cold_us : 0), "revision",
        (json_int_t)revision);
    if (entry->version[0] != '\0') {
        json_object_set_new(row, "version", json_string(entry->version));
    }
    return row;
}

json_t *
registry_copy_rows(const registry_t *registry, uint64_t since, int64_t now_us)
{
    json_t *rows = json_array();
    uint64_t revision;
    const instance_t *instance;
    for (void *cursor = NULL;
         (instance = registry_next(registry, &cursor, &revision)) != NULL;) {
        if (since == 0 || revision > since) {
            json_array_append_new(rows, row_write(instance, revision, now_us));
        }
    }
    return rows;
}

char *
registry_copy_write(const registry_t *registry, int64_t now_us, size_t *size)
{
    json_t *rows = registry_copy_rows(registry, 0, now_us);
    char *text = json_dumps(rows, JSON_COMPACT);
    json_decref(rows);
    *size = text != NULL ? strlen(text) : 0;
    return text;
}

static bool
row_text(const json_t *row, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(row, name));
    return text != NULL && text[0] != '\0' && text_copy(out, size, text);
}

static bool
row_parse(instance_entry_t *entry, const json_t *row)
{
    char host[INET_ADDRSTRLEN];
    *entry = (instance_entry_t){.address.sin_family = AF_INET};
    json_int_t port = json_integer_value(json_object_get(row, "port"));
    json_int_t slots = json_integer_value(json_object_get(row, "slots"));
    json_int_t cold_us = json_integer_value(json_object_get(row, "cold_us"));
    entry->started_ms = json_integer_value(json_object_get(row, "started_ms"));
    entry->address.sin_port = htons((uint16_t)port);
    entry->slots = (uint32_t)slots;
    entry->draining = json_is_true(json_object_get(row, "draining"));
    entry->cold_left_us = cold_us;
    (void)row_text(row, "version", entry->version, sizeof(entry->version));
    return row_text(row, "id", entry->id, sizeof(entry->id)) &&
           row_text(row, "service", entry->service, sizeof(entry->service)) &&
           row_text(row, "zone", entry->zone, sizeof(entry->zone)) &&
           row_text(row, "host", host, sizeof(host)) && port > 0 &&
           port <= UINT16_MAX && slots > 0 && slots <= UINT16_MAX &&
           cold_us >= 0 && cold_us <= INT64_MAX / 2 &&
           inet_pton(AF_INET, host, &entry->address.sin_addr) == 1;
}

uint32_t
registry_copy_add_provisional(registry_t *registry, const json_t *rows,
                              int64_t now_us)
{
    uint32_t added = 0;
    for (size_t i = 0; i < json_array_size(rows); i++) {
        instance_entry_t entry;
        if (row_parse(&entry, json_array_get(rows, i)) && !entry.draining &&
            registry_add_provisional(registry, &entry, now_us)) {
            added++;
        }
    }
    return added;
}

uint32_t
registry_copy_load(registry_t *registry, const char *text, size_t size,
                   int64_t now_us)
{
    json_t *rows = json_loadb(text, size, 0, NULL);
    uint32_t added = registry_copy_add_provisional(registry, rows, now_us);
    json_decref(rows);
    return added;
}

void
registry_copy_put_rows(registry_t *registry, const json_t *rows,
                       int64_t now_us)
{
    for (size_t i = 0; i < json_array_size(rows); i++) {
        instance_entry_t entry;
        const json_t *row = json_array_get(rows, i);
        json_int_t revision =
            json_integer_value(json_object_get(row, "revision"));
        if (row_parse(&entry, row) && revision > 0) {
            registry_put(registry, &entry, (uint64_t)revision, now_us);
        }
    }
}

bool
registry_copy_apply_list(registry_t *registry, const json_t *rows,
                         uint64_t revision, int64_t now_us)
{
    if (!json_is_array(rows)) {
        return false;
    }
    registry_list_begin(registry);
    registry_copy_put_rows(registry, rows, now_us);
    registry_list_end_at(registry, revision, now_us);
    registry_reset_tombstones(registry, revision);
    return true;
}
