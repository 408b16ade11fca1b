#include "core/gate_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint32_t
part_bucket(const gate_t *gate, attempt_id_t id)
{
    uint64_t words[3] = {id.incarnation, id.sequence, id.attempt};
    uint64_t hash = XXH64(words, sizeof(words), 0);
    return (uint32_t)hash & (gate->part_hash_size - 1);
}

void
part_list_append(gate_t *gate, part_list_t *list, uint32_t part)
{
    gate->parts[part].list_next = HEAP_NONE;
    gate->parts[part].list_prev = list->last;
    if (list->last == HEAP_NONE) {
        list->first = part;
    }
    else {
        gate->parts[list->last].list_next = part;
    }
    list->last = part;
}

void
part_list_remove(gate_t *gate, part_list_t *list, uint32_t part)
{
    uint32_t next = gate->parts[part].list_next;
    uint32_t prev = gate->parts[part].list_prev;
    if (prev == HEAP_NONE) {
        list->first = next;
    }
    else {
        gate->parts[prev].list_next = next;
    }
    if (next == HEAP_NONE) {
        list->last = prev;
    }
    else {
        gate->parts[next].list_prev = prev;
    }
}

static void
part_hash_insert(gate_t *gate, uint32_t part)
{
    uint32_t bucket = part_bucket(gate, gate->parts[part].id);
    gate->parts[part].hash_next = gate->part_hash[bucket];
    gate->part_hash[bucket] = part;
}

static bool
part_hash_grow(gate_t *gate, uint32_t count)
{
    uint32_t size = 16;
    while (size < count) {
        size *= 2;
    }
    uint32_t *hash = malloc(size * sizeof(*hash));
    if (hash == NULL) {
        return false;
    }
    memset(hash, 0xff, size * sizeof(*hash));
    free(gate->part_hash);
    gate->part_hash = hash;
    gate->part_hash_size = size;
    for (uint32_t i = 0; i < gate->part_count; i++) {
        if (gate->parts[i].state != PART_STATE_FREE) {
            part_hash_insert(gate, i);
        }
    }
    return true;
}

bool
parts_reserve(gate_t *gate, uint32_t count)
{
    if (count <= gate->part_count) {
        return true;
    }
    gate_part_t *parts = realloc(gate->parts, count * sizeof(*parts));
    if (parts == NULL) {
        return false;
    }
    gate->parts = parts;
    if (count > gate->part_hash_size && !part_hash_grow(gate, count)) {
        return false;
    }
    for (uint32_t i = gate->part_count; i < count; i++) {
        parts[i] = (gate_part_t){.state = PART_STATE_FREE};
        part_list_append(gate, &gate->free, i);
    }
    gate->part_count = count;
    return true;
}

uint32_t
part_find(const gate_t *gate, attempt_id_t id)
{
    if (gate->part_hash_size == 0) {
        return HEAP_NONE;
    }
    uint32_t part = gate->part_hash[part_bucket(gate, id)];
    while (part != HEAP_NONE && !attempt_id_equal(gate->parts[part].id, id)) {
        part = gate->parts[part].hash_next;
    }
    return part;
}

uint32_t
part_alloc(gate_t *gate, attempt_id_t id)
{
    uint32_t part = gate->free.first;
    if (part == HEAP_NONE) {
        return HEAP_NONE;
    }
    part_list_remove(gate, &gate->free, part);
    gate->parts[part] = (gate_part_t){.id = id};
    part_hash_insert(gate, part);
    return part;
}

void
part_free(gate_t *gate, uint32_t part)
{
    uint32_t *link = &gate->part_hash[part_bucket(gate, gate->parts[part].id)];
    while (*link != part) {
        link = &gate->parts[*link].hash_next;
    }
    *link = gate->parts[part].hash_next;
    gate->parts[part].state = PART_STATE_FREE;
    part_list_append(gate, &gate->free, part);
}
