#include "fleet/member.h"

#include <string.h>
#include <xxhash.h>

static const char *const state_names[MEMBER_STATE_COUNT] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_DEAF] = "deaf",
    [MEMBER_DEAD] = "dead",
};

const char *
member_state_name(member_state_t state)
{
    return state_names[state];
}

void
member_table_init(member_table_t *table, const member_settings_t *settings)
{
    *table = (member_table_t){.settings = *settings};
}

static member_t *
member_find(member_table_t *table, const char *name)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->members[i].name, name) == 0) {
            return &table->members[i];
        }
    }
    return NULL;
}

void
member_table_sync(member_table_t *table, const roster_doc_t *doc,
                  const char *self, int64_t now_us)
{
    member_table_t old = *table;
    table->count = doc->count;
    for (size_t i = 0; i < doc->count; i++) {
        const roster_member_t *from = &doc->members[i];
        const member_t *known = member_find(&old, from->name);
        if (known != NULL && known->incarnation == from->incarnation) {
            table->members[i] = *known;
            continue;
        }
        table->members[i] = (member_t){
            .incarnation = from->incarnation,
            .self = strcmp(from->name, self) == 0,
            .last_heartbeat_us = now_us,
            .last_echo_us = now_us,
        };
        memcpy(table->members[i].name, from->name, NAME_SIZE);
    }
}

void
member_heartbeat_receive(member_table_t *table, const char *name,
                         uint64_t incarnation, int64_t echo_us, int64_t now_us)
{
    member_t *member = member_find(table, name);
    if (member == NULL) {
        return;
    }
    if (member->incarnation != incarnation) {
        member->replaced = true;
        return;
    }
    member->last_heartbeat_us = now_us;
    member->connection_failed = false;
    member->replaced = false;
    if (echo_us > member->last_echo_us && echo_us <= now_us) {
        member->last_echo_us = echo_us;
    }
}

void
member_connection_failed(member_table_t *table, const char *name,
                         int64_t now_us)
{
    member_t *member = member_find(table, name);
    if (member != NULL && now_us >= member->last_heartbeat_us) {
        member->connection_failed = true;
    }
}

static member_state_t
member_compute_state(const member_t *member, const member_settings_t *settings,
                     int64_t now_us)
{
    int64_t silence_us = now_us - member->last_heartbeat_us;
    if (member->self) {
        return MEMBER_ALIVE;
    }
    if (member->replaced || silence_us > settings->dead_us) {
        return MEMBER_DEAD;
    }
    if (member->connection_failed || silence_us > settings->suspect_us) {
        return MEMBER_SUSPECT;
    }
    if (now_us - member->last_echo_us > settings->dead_us) {
        return MEMBER_DEAF;
    }
    return MEMBER_ALIVE;
}

/*
 * If this process was paused, heartbeats that came meanwhile have yet to be
 * read: don't count the pause as time without heartbeats.
 */
static void
member_table_discount_pause(member_table_t *table, int64_t now_us)
{
    int64_t gap_us = now_us - table->last_tick_us;
    bool paused =
        table->last_tick_us != 0 && gap_us > table->settings.suspect_us;
    table->last_tick_us = now_us;
    for (size_t i = 0; paused && i < table->count; i++) {
        table->members[i].last_heartbeat_us += gap_us;
        table->members[i].last_echo_us += gap_us;
    }
}

size_t
member_table_tick(member_table_t *table, int64_t now_us,
                  member_change_t *changes, size_t max)
{
    member_table_discount_pause(table, now_us);
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        member_t *member = &table->members[i];
        member_state_t state =
            member_compute_state(member, &table->settings, now_us);
        if (state == member->state) {
            continue;
        }
        if (count < max) {
            changes[count] = (member_change_t){
                .from = member->state,
                .to = state,
            };
            memcpy(changes[count].name, member->name, NAME_SIZE);
        }
        member->state = state;
        count++;
    }
    return count;
}

member_state_t
member_state(const member_table_t *table, const char *name)
{
    for (size_t i = 0; i < table->count; i++) {
        if (strcmp(table->members[i].name, name) == 0) {
            return table->members[i].state;
        }
    }
    return MEMBER_DEAD;
}

void
member_digest(const member_table_t *table, member_digest_t *digest)
{
    *digest = (member_digest_t){0};
    for (size_t i = 0; i < table->count; i++) {
        const member_t *member = &table->members[i];
        digest->counts[member->state]++;
        digest->hash += XXH64(member->name, strlen(member->name),
                              member->incarnation + member->state);
    }
}
