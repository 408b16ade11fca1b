#include "fleet/hold.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

static hold_t *
hold_find(hold_set_t *set, hold_kind_t kind, const char *name,
          uint64_t version)
{
    for (size_t i = 0; i < set->count; i++) {
        hold_t *hold = &set->holds[i];
        if (hold->kind == kind && hold->version == version &&
            strcmp(hold->name, name) == 0) {
            return hold;
        }
    }
    return NULL;
}

static bool
hold_set_add(hold_set_t *set, const hold_t *hold)
{
    if (set->count == HOLDS_MAX) {
        return false;
    }
    set->holds[set->count++] = *hold;
    return true;
}

static bool
copy_name(char *to, const char *from)
{
    size_t length = strlen(from);
    if (length == 0 || length >= NAME_SIZE) {
        return false;
    }
    memcpy(to, from, length + 1);
    return true;
}

status_t
hold_set_change(hold_set_t *set, hold_kind_t kind, const char *name, bool out,
                const char *by, uint64_t version)
{
    hold_t new_hold = {
        .kind = kind, .version = version, .serial = 1, .out = out};
    if (!copy_name(new_hold.name, name) || !copy_name(new_hold.by, by)) {
        return STATUS_INVALID;
    }
    hold_t *existing = hold_find(set, kind, name, version);
    if (existing != NULL) {
        new_hold.serial = existing->serial + 1;
        *existing = new_hold;
        return STATUS_OK;
    }
    return hold_set_add(set, &new_hold) ? STATUS_OK : STATUS_TOO_LARGE;
}

static bool
hold_supersedes(const hold_t *a, const hold_t *b)
{
    if (a->serial != b->serial) {
        return a->serial > b->serial;
    }
    return a->out && !b->out;
}

bool
hold_set_merge(hold_set_t *set, const hold_set_t *other)
{
    bool changed = false;
    for (size_t i = 0; i < other->count; i++) {
        const hold_t *hold = &other->holds[i];
        hold_t *existing =
            hold_find(set, hold->kind, hold->name, hold->version);
        if (existing == NULL) {
            changed = hold_set_add(set, hold) || changed;
        }
        else if (hold_supersedes(hold, existing)) {
            *existing = *hold;
            changed = true;
        }
    }
    return changed;
}

void
hold_set_drop(hold_set_t *set, uint64_t version)
{
    size_t kept = 0;
    for (size_t i = 0; i < set->count; i++) {
        if (set->holds[i].version >= version) {
            set->holds[kept++] = set->holds[i];
        }
    }
    set->count = kept;
}

bool
hold_set_is_out(const hold_set_t *set, hold_kind_t kind, const char *name)
{
    for (size_t i = 0; i < set->count; i++) {
        const hold_t *hold = &set->holds[i];
        if (hold->out && hold->kind == kind && strcmp(hold->name, name) == 0) {
            return true;
        }
    }
    return false;
}

uint64_t
hold_set_digest(const hold_set_t *set)
{
    uint64_t digest = 0;
    for (size_t i = 0; i < set->count; i++) {
        const hold_t *hold = &set->holds[i];
        uint64_t fields[] = {hold->kind, hold->version, hold->serial,
                             hold->out};
        uint64_t seed = XXH64(fields, sizeof(fields), 0);
        digest += XXH64(hold->name, strlen(hold->name), seed);
    }
    return digest;
}

char *
hold_set_format(const hold_set_t *set)
{
    json_t *root = json_array();
    for (size_t i = 0; i < set->count; i++) {
        const hold_t *hold = &set->holds[i];
        json_array_append_new(
            root,
            json_pack("{s:b,s:s,s:s,s:I,s:I,s:b}", "zone",
                      hold->kind == HOLD_ZONE, "name", hold->name, "by",
                      hold->by, "version", (json_int_t)hold->version, "serial",
                      (json_int_t)hold->serial, "out", (int)hold->out));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static bool
parse_hold(json_t *object, hold_t *hold)
{
    int zone;
    const char *name;
    const char *by;
    json_int_t version;
    json_int_t serial;
    int out;
    if (json_unpack(object, "{s:b,s:s,s:s,s:I,s:I,s:b}", "zone", &zone, "name",
                    &name, "by", &by, "version", &version, "serial", &serial,
                    "out", &out) != 0) {
        return false;
    }
    if (version < 0 || serial < 1 || serial > UINT32_MAX) {
        return false;
    }
    *hold = (hold_t){
        .kind = zone != 0 ? HOLD_ZONE : HOLD_VM,
        .version = (uint64_t)version,
        .serial = (uint32_t)serial,
        .out = out != 0,
    };
    return copy_name(hold->name, name) && copy_name(hold->by, by);
}

static bool
parse_holds(json_t *root, hold_set_t *set)
{
    size_t index;
    json_t *object;
    json_array_foreach(root, index, object)
    {
        hold_t hold;
        if (!parse_hold(object, &hold) || !hold_set_add(set, &hold)) {
            return false;
        }
    }
    return json_is_array(root);
}

status_t
hold_set_parse(const char *text, size_t size, hold_set_t *set, error_t *err)
{
    *set = (hold_set_t){0};
    if (size > HOLD_TEXT_MAX) {
        return error_set(err, STATUS_TOO_LARGE, "read holds", "",
                         "the text has %zu bytes, at most %d are allowed",
                         size, HOLD_TEXT_MAX);
    }
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
    bool good = root != NULL && parse_holds(root, set);
    json_decref(root);
    if (!good) {
        *set = (hold_set_t){0};
        return error_set(err, STATUS_INVALID, "read holds", "",
                         "the text is not a valid list of holds");
    }
    return STATUS_OK;
}
