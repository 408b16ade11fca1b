/*
 * A consistent snapshot of configuration, topology and ownership.
 *
 * The fleet thread builds a fleet_view_t whenever one of them changes and
 * passes it to every worker. It is shared by reference count and never changed
 * afterwards, so that a worker never mixes data of different states.
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
    config_t *config;     /* with the holds applied; NULL: none */
    topology_t *topology; /* never NULL */
    roster_member_t *members;
    size_t member_count;
    int self;           /* index of this daemon, or FLEET_VIEW_NO_MEMBER */
    bool trusted;       /* config is trusted, see confsync.h */
    bool leaving;       /* this daemon refuses new queries */
    int16_t *owner;     /* per upstream: a member, or FLEET_VIEW_NO_MEMBER */
    bool *active;       /* per upstream: this daemon may admit work for it, as
                           long as it holds the lease */
    bool *owner_silent; /* per upstream: its owner is another member that is
                           not MEMBER_ALIVE; NULL: none */
    uint64_t roster_version;
} fleet_view_t;

/*
 * Build a view as of now_us, with references of its own to config, which may
 * be NULL, and to topology. Returns NULL when out of memory.
 */
fleet_view_t *fleet_view_new(config_t *config, topology_t *topology,
                             roster_t *roster, const member_table_t *members,
                             uint64_t self_incarnation, int64_t now_us);

/* Add a reference; returns the view. */
fleet_view_t *fleet_view_get(fleet_view_t *view);

/* Release a reference, and free the view with the last one; NULL ok. */
void fleet_view_put(fleet_view_t *view);

/* Index of the member of this incarnation; FLEET_VIEW_NO_MEMBER: none. */
int fleet_view_member(const fleet_view_t *view, uint64_t incarnation);

#endif
