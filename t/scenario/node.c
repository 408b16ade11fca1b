#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    QUERIES_MAX = 512,
    QUEUE_MAX = 512,
    RAMP_STEP_US = 50000,
    RAMP_SUCCESSES = 8,
    CRASH_LIMIT = 2,
    QUARANTINES_MAX = 16,
    ONCE_CAPACITY = 4096,
    DISCONNECT_DELAY_US = 5000
};

#define QUARANTINE_US INT64_C(600000000)
#define ONCE_LIFE_US INT64_C(600000000)

int
sim_node_find(const sim_t *sim, uint64_t incarnation)
{
    for (size_t i = 0; i < sim->node_count; i++) {
        if (sim->nodes[i].incarnation == incarnation && sim->nodes[i].alive) {
            return (int)i;
        }
    }
    return -1;
}

bool
sim_node_runs(const sim_t *sim, size_t index)
{
    const sim_node_t *node = &sim->nodes[index];
    return node->alive && node->paused_until_us <= sim->now_us;
}

static bool
is_linked(const sim_t *sim, size_t a, size_t b)
{
    return a == b || (!sim->nodes[a].isolated && !sim->nodes[b].isolated);
}

static uint64_t
link_epoch(const sim_t *sim, size_t a, size_t b)
{
    return a == b ? 0 : sim->nodes[a].link_epoch + sim->nodes[b].link_epoch;
}

/*
 * Schedule a message between daemons, delayed by extra_delay_us. Parts and
 * cancellations keep their order on a link; replies may overtake each other.
 */
static sim_event_t *
push_message(sim_t *sim, sim_event_kind_t kind, const sim_node_t *from,
             size_t to, int64_t extra_delay_us)
{
    int64_t delay_us = 0;
    if (from->index != to) {
        uint64_t spread = (uint64_t)sim->link_delay_us / 4 + 1;
        delay_us = sim->link_delay_us + (int64_t)sim_random(sim, spread) +
                   extra_delay_us;
    }
    int64_t at_us = sim->now_us + delay_us;
    int64_t *last_arrival_us = &sim->link_last_arrival_us[from->index][to];
    if (kind != EVENT_REPLY && at_us < *last_arrival_us) {
        at_us = *last_arrival_us;
    }
    *last_arrival_us = kind != EVENT_REPLY ? at_us : *last_arrival_us;
    sim_event_t *event = sim_push(sim, kind, at_us, to);
    event->from = from->incarnation;
    event->link_epoch = link_epoch(sim, from->index, to);
    return event;
}

static bool
send_parts(void *context, uint64_t owner, const part_request_t *requests,
           size_t count)
{
    const sim_node_t *node = context;
    sim_t *sim = node->sim;
    int to = sim_node_find(sim, owner);
    if (to < 0 || !is_linked(sim, node->index, (size_t)to)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        sim_event_t *event =
            push_message(sim, EVENT_PARTS, node, (size_t)to, 0);
        event->request = requests[i];
        memcpy(event->body, requests[i].body, requests[i].body_size);
    }
    return true;
}

static void
send_cancel(void *context, uint64_t owner, attempt_id_t id)
{
    const sim_node_t *node = context;
    int to = sim_node_find(node->sim, owner);
    if (to >= 0 && is_linked(node->sim, node->index, (size_t)to)) {
        push_message(node->sim, EVENT_CANCEL, node, (size_t)to, 0)->reply.id =
            id;
    }
}

/* Add a new quarantine at every daemon that the given daemon can reach. */
static void
broadcast_quarantine(sim_t *sim, const sim_node_t *node, uint64_t fingerprint)
{
    sim_log(sim, "%s quarantines a fingerprint", node->name);
    for (size_t i = 0; i < sim->node_count; i++) {
        if (sim_node_runs(sim, i) && is_linked(sim, node->index, i)) {
            admission_add_quarantine(sim->nodes[i].admission, fingerprint,
                                     sim->now_us);
        }
    }
}

static int64_t
quarantine_left_us(void *context, uint64_t fingerprint, int64_t now_us)
{
    const sim_node_t *node = context;
    return admission_quarantine_left_us(node->admission, fingerprint, now_us);
}

/* Send replies; the link may delay and duplicate them. */
static void
send_replies(void *context, uint64_t incarnation, const part_reply_t *replies,
             size_t count)
{
    const sim_node_t *node = context;
    sim_t *sim = node->sim;
    int to = sim_node_find(sim, incarnation);
    for (size_t i = 0; i < count; i++) {
        check_reply(sim, &replies[i]);
        if (to < 0 || !is_linked(sim, node->index, (size_t)to)) {
            continue;
        }
        int64_t delay_us = 0;
        if (sim->link_reply_delay_us > 0) {
            delay_us =
                (int64_t)sim_random(sim, (uint64_t)sim->link_reply_delay_us);
        }
        push_message(sim, EVENT_REPLY, node, (size_t)to, delay_us)->reply =
            replies[i];
        if (sim_chance(sim, sim->link_duplicate_permille)) {
            push_message(sim, EVENT_REPLY, node, (size_t)to, delay_us * 2)
                ->reply = replies[i];
        }
    }
}

static void
ignore_partition(void *context, const partition_t *partition)
{
    /* The simulation publishes partitions with the topology only. */
    (void)context;
    (void)partition;
}

static void
start_modules(sim_t *sim, sim_node_t *node)
{
    error_t err = ERROR_INIT;
    stats_init(&node->stats);
    coordinator_settings_t coordinator = {
        .incarnation = node->incarnation,
        .queries_max = QUERIES_MAX,
        .seed = sim->script->seed + node->incarnation,
        .trust_until_us = &node->trust_until_us,
        .sink = {.context = node,
                 .send = send_parts,
                 .cancel = send_cancel,
                 .quarantine_left_us = quarantine_left_us},
        .stats = &node->stats,
    };
    admission_settings_t admission = {
        .worker_count = 1,
        .gate = {.queue_max = QUEUE_MAX,
                 .ramp_step_us = RAMP_STEP_US,
                 .ramp_successes = RAMP_SUCCESSES,
                 .crash_limit = CRASH_LIMIT,
                 .quarantine_us = QUARANTINE_US},
        .upstream = &sim_upstream_ops,
        .act_until_us = &node->act_until_us,
        .drain_us = SIM_DRAIN_US,
        .stats = &node->stats,
        .context = node,
        .reply = send_replies,
        .partition = ignore_partition,
    };
    sim_upstream_bind_client(sim, node->index);
    node->coordinator = coordinator_new(&coordinator);
    node->admission = admission_new(&admission, &err);
    once_settings_t once = {.incarnation = node->incarnation,
                            .lifetime_us = ONCE_LIFE_US,
                            .grace_us = ONCE_LIFE_US,
                            .capacity = ONCE_CAPACITY};
    memcpy(once.daemon, node->name, NAME_SIZE);
    node->once = once_new(&once);
}

void
sim_node_start(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    node->sim = sim;
    node->index = index;
    node->incarnation = ++sim->incarnations * 1000 + index;
    node->alive = true;
    node->roster_removed = false;
    node->left = node->leaving = node->isolated = node->config_read_pending =
        false;
    node->paused_until_us = 0;
    node->wakeup_us = 0;
    node->own_hold_count = 0;
    node->highest_version = 0;
    memset(node->last_report_us, 0, sizeof(node->last_report_us));
    node->holds = (hold_set_t){.count = 0};
    node->roster = (roster_doc_t){.version = 0};
    node->topology = topology_get(sim->topology);
    node->topology_order = sim->publications;
    atomic_store(&node->act_until_us, 0);
    atomic_store(&node->trust_until_us, 0);
    confsync_settings_t sync = CONFSYNC_SETTINGS_DEFAULT;
    confsync_init(&node->sync, &sync);
    start_modules(sim, node);
}

void
sim_node_release(sim_node_t *node)
{
    if (!node->alive) {
        return;
    }
    node->alive = false;
    coordinator_free(node->coordinator);
    admission_free(node->admission);
    once_free(node->once);
    for (size_t i = 0; i < INTENT_BUCKETS; i++) {
        intent_log_free(node->logs[i]);
        node->logs[i] = NULL;
        node->log_call_pending[i] = false;
    }
    fleet_view_put(node->view);
    topology_put(node->topology);
    config_put(node->config);
    config_put(node->effective);
    node->view = NULL;
    node->topology = NULL;
    node->config = node->effective = NULL;
}

/*
 * Report the daemon's lost links to its peers and, if the daemon is alive, to
 * the daemon.
 */
static void
push_disconnects(sim_t *sim, size_t index)
{
    for (size_t i = 0; i < sim->node_count; i++) {
        if (i == index || !sim->nodes[i].alive) {
            continue;
        }
        sim_push(sim, EVENT_PEER_DOWN, sim->now_us + DISCONNECT_DELAY_US, i)
            ->from = sim->nodes[index].incarnation;
        if (sim->nodes[index].alive) {
            sim_push(sim, EVENT_PEER_DOWN, sim->now_us + DISCONNECT_DELAY_US,
                     index)
                ->from = sim->nodes[i].incarnation;
        }
    }
}

void
sim_node_stop(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    node->disturbed_us = sim->now_us;
    node->link_epoch++;
    sim_node_release(node);
    caller_node_stopped(sim, index);
    push_disconnects(sim, index);
}

void
sim_node_set_isolated(sim_t *sim, size_t index, bool cut)
{
    sim_node_t *node = &sim->nodes[index];
    node->disturbed_us = sim->now_us;
    node->link_epoch++;
    node->isolated = cut;
    if (cut) {
        push_disconnects(sim, index);
    }
}

/* Whether the lease of a daemon, and the drain time after it, has ended. */
static bool
lease_expired(const sim_t *sim, const sim_node_t *node)
{
    return sim->now_us > atomic_load(&node->act_until_us) + SIM_DRAIN_US;
}

static void
set_roster(sim_t *sim, const roster_doc_t *doc)
{
    sim->roster = *doc;
    sim->roster.version++;
}

/*
 * Update the roster. One document stands for the roster that the daemons would
 * agree on through the store.
 */
static void
update_roster(sim_t *sim)
{
    for (size_t i = 0; i < sim->node_count; i++) {
        sim_node_t *node = &sim->nodes[i];
        roster_doc_t doc = sim->roster;
        int at = roster_doc_find(&doc, node->name);
        bool present = sim_node_runs(sim, i) && !node->isolated && !node->left;
        bool stale =
            at >= 0 && doc.members[at].incarnation != node->incarnation;
        if (at >= 0 && (stale || ((!present || !node->alive) &&
                                  lease_expired(sim, node)))) {
            roster_doc_remove(&doc, (size_t)at);
            node->roster_removed = true;
            set_roster(sim, &doc);
        }
        else if (at < 0 && present && !node->leaving) {
            roster_member_t member = {.incarnation = node->incarnation};
            memcpy(member.name, node->name, NAME_SIZE);
            memcpy(member.zone, node->zone, NAME_SIZE);
            roster_doc_add(&doc, &member);
            set_roster(sim, &doc);
        }
        else if (at >= 0 && node->leaving && !doc.members[at].leaving) {
            doc.members[at].leaving = true;
            set_roster(sim, &doc);
        }
    }
}

static int
find_owner(const roster_doc_t *doc, const upstream_info_t *upstream)
{
    owner_key_t keys[ROSTER_MEMBERS_MAX];
    int members[ROSTER_MEMBERS_MAX] = {0};
    size_t count = 0;
    for (size_t i = 0; i < doc->count; i++) {
        if (!doc->members[i].leaving) {
            members[count] = (int)i;
            keys[count++] =
                owner_key(doc->members[i].name, doc->members[i].zone);
        }
    }
    int owner =
        owner_pick(keys, count, owner_key(upstream->name, upstream->zone));
    return owner < 0 ? FLEET_VIEW_NO_MEMBER : members[owner];
}

/*
 * Whether no other daemon can still have work at an upstream that it owned
 * before: its lease has expired, or it has settled this roster version.
 */
static bool
others_released(const sim_t *sim, const sim_node_t *node)
{
    for (size_t i = 0; i < sim->node_count; i++) {
        const sim_node_t *other = &sim->nodes[i];
        if (other == node || lease_expired(sim, other)) {
            continue;
        }
        if (!other->alive || other->view == NULL ||
            admission_settled_version(other->admission) <
                node->roster.version) {
            return false;
        }
    }
    return true;
}

static bool
was_active(const fleet_view_t *view, const char *upstream)
{
    int index =
        view == NULL ? -1 : topology_upstream_index(view->topology, upstream);
    return index >= 0 && view->active[index];
}

static fleet_view_t *
make_view(const sim_t *sim, const sim_node_t *node)
{
    size_t count = node->topology->upstream_count;
    fleet_view_t *view = sim_alloc(sizeof(*view));
    atomic_init(&view->references, 1);
    view->config =
        node->effective == NULL ? NULL : config_get(node->effective);
    view->topology = topology_get(node->topology);
    view->member_count = node->roster.count;
    view->members = sim_alloc(sizeof(node->roster.members));
    memcpy(view->members, node->roster.members, sizeof(node->roster.members));
    view->owner = sim_alloc((count + 1) * sizeof(*view->owner));
    view->active = sim_alloc(count + 1);
    view->self = fleet_view_member(view, node->incarnation);
    view->roster_version = node->roster.version;
    bool others_done = !node->roster_removed && others_released(sim, node);
    const fleet_view_t *previous = node->roster_removed ? NULL : node->view;
    for (size_t i = 0; i < count; i++) {
        const upstream_info_t *upstream = &node->topology->upstreams[i];
        int owner = find_owner(&node->roster, upstream);
        view->owner[i] = (int16_t)owner;
        view->active[i] =
            owner != FLEET_VIEW_NO_MEMBER && owner == view->self &&
            (others_done || was_active(previous, upstream->name));
    }
    return view;
}

/* Give the daemon a new view of configuration, topology and ownership. */
void
sim_node_update_view(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    fleet_view_t *view = make_view(sim, node);
    coordinator_set_view(node->coordinator, view);
    admission_set_view(node->admission, view, sim->now_us);
    fleet_view_put(node->view);
    node->view = view;
    node->wakeup_us = 0;
}

static void
tick_node(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    if (!node->isolated) {
        node->roster = sim->roster;
        confsync_set_members(&node->sync, &node->roster, node->name);
        int at = roster_doc_find(&node->roster, node->name);
        bool member = at >= 0 && node->roster.members[at].incarnation ==
                                     node->incarnation;
        int64_t until_us = member ? sim->now_us + SIM_LEASE_US : 0;
        int64_t trust_us = confsync_trust_until(&node->sync);
        atomic_store(&node->act_until_us,
                     until_us < trust_us ? until_us : trust_us);
    }
    atomic_store(&node->trust_until_us, confsync_trust_until(&node->sync));
    sim_node_update_view(sim, index);
    node->roster_removed = node->roster_removed && node->isolated;
    sim_config_poll(sim, index);
    if (node->leaving && !node->left &&
        coordinator_running(node->coordinator) == 0 &&
        admission_pending(node->admission) == 0 &&
        sim->now_us > node->disturbed_us + 2 * SIM_LEASE_US) {
        check_shutdown(sim, index);
        node->left = true;
        sim_log(sim, "%s has finished its work and exits", node->name);
        sim_node_stop(sim, index);
    }
}

static void
broadcast_new_quarantines(sim_t *sim, sim_node_t *node)
{
    uint64_t found[QUARANTINES_MAX];
    size_t count = admission_take_new_quarantines(node->admission, found,
                                                  QUARANTINES_MAX);
    for (size_t i = 0; i < count; i++) {
        broadcast_quarantine(sim, node, found[i]);
    }
}

void
sim_nodes_tick(sim_t *sim)
{
    update_roster(sim);
    for (size_t i = 0; i < sim->node_count; i++) {
        if (sim_node_runs(sim, i)) {
            tick_node(sim, i);
        }
    }
    sim_exchange_heartbeats(sim);
    caller_tick(sim);
}

static void
adopt_topology(sim_t *sim, sim_node_t *node, const sim_event_t *event)
{
    topology_t *previous = node->topology;
    if (event->index < node->topology_order) {
        return;
    }
    node->topology_order = event->index;
    node->topology = topology_get(event->item);
    sim_node_update_view(sim, node->index);
    topology_put(previous);
}

void
sim_node_handle_event(sim_t *sim, sim_event_t *event)
{
    sim_node_t *node = &sim->nodes[event->node];
    if (event->kind == EVENT_RESUME) {
        sim_log(sim, "%s resumes", node->name);
        node->paused_until_us = 0;
        node->disturbed_us = sim->now_us;
        return;
    }
    if (!node->alive || node->incarnation != event->incarnation) {
        return;
    }
    if (event->kind == EVENT_TOPOLOGY) {
        adopt_topology(sim, node, event);
        return;
    }
    if (event->kind == EVENT_PEER_DOWN) {
        coordinator_peer_down(node->coordinator, event->from, sim->now_us);
        return;
    }
    int from = sim_node_find(sim, event->from);
    if (from < 0 ||
        event->link_epoch != link_epoch(sim, (size_t)from, event->node)) {
        return;
    }
    if (event->kind == EVENT_PARTS) {
        event->request.body = event->body;
        admission_submit(node->admission, event->from, &event->request, 1,
                         sim->now_us);
    }
    else if (event->kind == EVENT_REPLY) {
        coordinator_handle_reply(node->coordinator, &event->reply,
                                 sim->now_us);
    }
    else if (event->kind == EVENT_CANCEL) {
        admission_cancel(node->admission, &event->reply.id, 1, sim->now_us);
    }
}

void
sim_node_step(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    admission_receive(node->admission, sim->now_us);
    sim_intents_step(sim, index);
    int64_t queries_us = coordinator_step(node->coordinator, sim->now_us);
    int64_t parts_us = admission_step(node->admission, sim->now_us);
    broadcast_new_quarantines(sim, node);
    node->wakeup_us = queries_us < parts_us ? queries_us : parts_us;
    if (node->wakeup_us <= sim->now_us) {
        node->wakeup_us = sim->now_us + 1;
    }
}
