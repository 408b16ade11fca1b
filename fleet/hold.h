/*
 * Holds: zones and VMs that the daemons keep out of service before the
 * operator's change is in the store, or while the store is unavailable.
 *
 * A hold never puts into service what the configuration has out of service.
 * The daemon that received the operator's request makes the hold, and daemons
 * exchange holds when their digests differ. A hold expires when a newer
 * version of the configuration is in force: that version either contains the
 * operator's change, or its author saw that it lacks the change. The daemon
 * that made a hold writes the change to the store, and makes the hold again if
 * another change was stored first.
 *
 *     hold_set_t set = {0};
 *     hold_set_change(&set, HOLD_ZONE, "south-1", true, "ops", version);
 *     hold_set_merge(&set, &other);
 *     hold_set_drop(&set, version);    after each new configuration
 *     if (hold_set_is_out(&set, HOLD_ZONE, upstream->zone)) ...
 *
 * Of two holds on the same name and version the one with the higher serial
 * wins; with equal serials the one that is out. A hold_set_t owns no memory.
 */
#ifndef FLEET_HOLD_H
#define FLEET_HOLD_H

#include "core/part.h"
#include "core/status.h"

enum {
    HOLDS_MAX = 64,
    HOLD_TEXT_MAX = 16384 /* largest text of a set, in bytes */
};

typedef enum { HOLD_ZONE, HOLD_VM } hold_kind_t;

typedef struct {
    hold_kind_t kind;
    char name[NAME_SIZE];
    char by[NAME_SIZE]; /* the operator */
    uint64_t version;   /* of the configuration in force when it was made */
    uint32_t serial;    /* number of changes to this name and version */
    bool out;           /* false: an operator put it back in service */
} hold_t;

typedef struct {
    size_t count;
    hold_t holds[HOLDS_MAX];
} hold_set_t;

/*
 * Add or replace the hold on this name and version. Returns STATUS_INVALID if
 * a name is empty or too long, STATUS_TOO_LARGE if the set is full.
 */
status_t hold_set_change(hold_set_t *set, hold_kind_t kind, const char *name,
                         bool out, const char *by, uint64_t version);

/*
 * Add the holds that only the other set has, as far as they fit, and replace
 * a hold if the other set's wins. Returns whether the set changed.
 */
bool hold_set_merge(hold_set_t *set, const hold_set_t *other);

/* Remove the holds made on a version lower than this one. */
void hold_set_drop(hold_set_t *set, uint64_t version);

/* Whether a hold keeps the zone or VM out of service. */
bool hold_set_is_out(const hold_set_t *set, hold_kind_t kind,
                     const char *name);

/* Hash of the set, independent of its order; 0 for an empty set. */
uint64_t hold_set_digest(const hold_set_t *set);

/* The set as JSON. The caller frees it; NULL when out of memory. */
char *hold_set_format(const hold_set_t *set);

/*
 * Parse a text of `size` bytes. On STATUS_INVALID and STATUS_TOO_LARGE, *set
 * is empty and *err, which may be NULL, says why.
 */
status_t hold_set_parse(const char *text, size_t size, hold_set_t *set,
                        error_t *err);

#endif
