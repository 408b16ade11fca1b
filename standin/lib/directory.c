#include "standin/lib/directory.h"

#include <jansson.h>
#include <stdio.h>

enum { US_PER_MS = 1000 };

static bool
entry_read(json_t *json, directory_entry_t *entry)
{
    const char *address = NULL;
    int port = 0;
    if (json_unpack(json, "{s:s, s:i}", "address", &address, "port", &port) !=
        0) {
        return false;
    }
    *entry = (directory_entry_t){.unreachable = false};
    (void)snprintf(entry->url, sizeof(entry->url), "http://%s:%d", address,
                   port);
    return true;
}

bool
directory_parse(directory_t *directory, const char *text, size_t size,
                int64_t now_us)
{
    json_t *json = json_loadb(text, size, 0, NULL);
    json_t *list = json_object_get(json, "entries");
    json_int_t keep_ms = json_integer_value(json_object_get(json, "keep_ms"));
    directory_t fresh = {.expires_us = now_us + keep_ms * US_PER_MS};
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (fresh.count < DIRECTORY_ENTRIES_MAX &&
            entry_read(json_array_get(list, i), &fresh.entries[fresh.count])) {
            fresh.count++;
        }
    }
    json_decref(json);
    if (fresh.count == 0) {
        return false;
    }
    *directory = fresh;
    return true;
}

static bool
is_usable(const directory_t *directory, size_t index, int avoid,
          bool reachable_only)
{
    return (int)index != avoid &&
           !(reachable_only && directory->entries[index].unreachable);
}

static int
choose_usable(const directory_t *directory, double draw, int avoid,
              bool reachable_only)
{
    size_t usable = 0;
    for (size_t i = 0; i < directory->count; i++) {
        usable += is_usable(directory, i, avoid, reachable_only);
    }
    size_t wanted = (size_t)(draw * (double)usable);
    for (size_t i = 0; i < directory->count; i++) {
        if (!is_usable(directory, i, avoid, reachable_only)) {
            continue;
        }
        if (wanted == 0) {
            return (int)i;
        }
        wanted--;
    }
    return -1;
}

int
directory_choose(const directory_t *directory, double draw, int avoid)
{
    int chosen = choose_usable(directory, draw, avoid, true);
    if (chosen < 0) {
        chosen = choose_usable(directory, draw, -1, true);
    }
    if (chosen < 0) {
        chosen = choose_usable(directory, draw, -1, false);
    }
    return chosen;
}
