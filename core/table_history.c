#include "core/table.h"

#include <stdio.h>
#include <string.h>

static const char *const kind_names[CHANGE_KIND_COUNT] = {
    [CHANGE_ROWS] = "rows",
    [CHANGE_ZONE] = "zone",
    [CHANGE_VM] = "vm",
};

const char *
change_kind_name(change_kind_t kind)
{
    return kind_names[kind];
}

void
config_advance(config_t *config, change_kind_t kind, const char *id,
               const char *by)
{
    config->version++;
    snprintf(config->change_id, sizeof(config->change_id), "%s", id);
    snprintf(config->by, sizeof(config->by), "%s", by);
    if (config->history_count == CONFIG_HISTORY_MAX) {
        config->history_count--;
        memmove(&config->history[0], &config->history[1],
                config->history_count * sizeof(config->history[0]));
    }
    change_record_t *record = &config->history[config->history_count++];
    record->version = config->version;
    record->kind = kind;
    memcpy(record->change_id, config->change_id, sizeof(record->change_id));
    memcpy(record->by, config->by, sizeof(record->by));
}

const change_record_t *
config_find_change(const config_t *config, const char *id)
{
    for (size_t i = config->history_count; i > 0; i--) {
        if (strcmp(config->history[i - 1].change_id, id) == 0) {
            return &config->history[i - 1];
        }
    }
    return NULL;
}

bool
config_history_covers(const config_t *config, uint64_t version)
{
    if (version > config->version) {
        return true;
    }
    return config->history_count > 0 && config->history[0].version <= version;
}
