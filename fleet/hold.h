/*
 * Holds: zones and VMs that the daemons keep out of service before, or
 * without, the store's word.
 *
 * A hold can only take work away. It is made by the daemon that an operator
 * told, passed between daemons whenever their digests differ, and lasts while
 * the configuration it was made on is in force: any newer version has either
 * taken the change in or was made by someone who saw that it had not. The
 * daemon that made a hold writes it to the store, and makes it anew when
 * another change came first.
 *
 *     hold_set_t set = {0};
 *     hold_set_change(&set, HOLD_ZONE, "south-1", true, "ops", version);
 *     hold_set_merge(&set, &other);
 *     hold_set_drop(&set, version);        after each new configuration
 *     if (hold_set_is_out(&set, HOLD_ZONE, upstream->zone)) ...
 *
 * Among holds on one name and version the highest serial wins, and of equal
 * serials the one that keeps out. A hold_set_t owns nothing.
 */
#ifndef FLEET_HOLD_H
#define FLEET_HOLD_H

#include "core/part.h"
#include "core/status.h"

enum {
    HOLDS_MAX = 64,
    HOLD_TEXT_MAX = 16384 /* bytes of a set as text */
};

typedef enum { HOLD_ZONE, HOLD_VM } hold_kind_t;

typedef struct {
    hold_kind_t kind;
    char name[NAME_SIZE];
    char by[NAME_SIZE]; /* the operator */
    uint64_t version;   /* configuration it was made on */
    uint32_t serial;    /* counts changes to one name on one version */
    bool out;           /* false: put back in by an operator */
} hold_t;

typedef struct {
    size_t count;
    hold_t holds[HOLDS_MAX];
} hold_set_t;

/* STATUS_TOO_LARGE when the set is full. */
status_t hold_set_change(hold_set_t *set, hold_kind_t kind, const char *name,
                         bool out, const char *by, uint64_t version);

/* Take what the other set knows better; whether anything changed. */
bool hold_set_merge(hold_set_t *set, const hold_set_t *other);

/* Forget holds made on versions below the one in force. */
void hold_set_drop(hold_set_t *set, uint64_t version);

bool hold_set_is_out(const hold_set_t *set, hold_kind_t kind,
                     const char *name);

/* Equal for equal sets, in whatever order; 0 when nothing was ever held. */
uint64_t hold_set_digest(const hold_set_t *set);

/* JSON text to be freed by the caller; NULL: no memory. */
char *hold_set_format(const hold_set_t *set);

/* An unreadable text is STATUS_INVALID or STATUS_TOO_LARGE. */
status_t hold_set_parse(const char *text, size_t size, hold_set_t *set,
                        error_t *err);

#endif
