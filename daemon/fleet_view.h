/*
 * One consistent view of configuration, topology and ownership.
 *
 * The fleet thread builds a fleet_view_t whenever one of them changes and
 * hands it to every worker; it is never changed afterwards and shared by
 * reference count, so that a worker decides with parts that belong together.
 */
#ifndef DAEMON_FLEET_VIEW_H
#define DAEMON_FLEET_VIEW_H

#include "core/table.h"
#include "core/topology.h"
#include "fleet/member.h"
#include "fleet/roster.h"

#define FLEET_VIEW_NO_MEMBER (-1)

typedef struct {
    atomic_uint references;
    config_t *config;     /* NULL: none in force */
    topology_t *topology; /* never NULL */
    roster_member_t *members;
    size_t member_count;
    int self;       /* index of this daemon, FLEET_VIEW_NO_MEMBER: none */
    bool trusted;   /* config is known to be the newest */
    bool leaving;   /* this daemon takes no new queries */
    int16_t *owner; /* a member per upstream, or FLEET_VIEW_NO_MEMBER */
    bool *active;   /* this daemon may admit for the upstream */
    bool *doubtful; /* per upstream: its owner is another, and silent; NULL:
                       none is */
    uint64_t roster_version;
} fleet_view_t;

/* Takes one reference of config and topology; NULL: no memory. */
fleet_view_t *fleet_view_new(config_t *config, topology_t *topology,
                             roster_t *roster, const member_table_t *members,
                             uint64_t self_incarnation, int64_t now_us);
fleet_view_t *fleet_view_get(fleet_view_t *view);
void fleet_view_put(fleet_view_t *view); /* NULL ok */

/* Member by incarnation; FLEET_VIEW_NO_MEMBER when there is none. */
int fleet_view_member(const fleet_view_t *view, uint64_t incarnation);

#endif
