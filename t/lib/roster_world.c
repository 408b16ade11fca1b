#include "t/lib/roster_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { STEP_US = 50000, CALL_TIMEOUT_US = 400000 };

uint64_t
roster_world_draw(roster_world_t *world, uint64_t bound)
{
    uint64_t counter = world->draws++;
    return XXH64(&counter, sizeof(counter), world->seed) % bound;
}

static int64_t
world_delay(roster_world_t *world, int64_t most_us)
{
    return 1 + (int64_t)roster_world_draw(world, (uint64_t)most_us);
}

static void
world_fill_upstreams(roster_world_t *world)
{
    for (size_t u = 0; u < WORLD_UPSTREAMS; u++) {
        char name[NAME_SIZE];
        snprintf(name, sizeof(name), "ledger-desk-g%u-r0", (unsigned)u);
        const char *zone = u % 2 == 0 ? "south-1" : "south-2";
        world->upstreams[u] = owner_key(name, zone);
    }
}

static int64_t
node_clock(const roster_world_t *world, const world_node_t *node)
{
    return world->now_us + node->offset_us;
}

static void
world_start(roster_world_t *world, size_t i)
{
    world_node_t *node = &world->nodes[i];
    roster_settings_t settings = world->settings;
    settings.seed = roster_world_draw(world, UINT32_MAX);
    node->self = (roster_member_t){
        .incarnation = ++world->next_id,
        .http_port = 80,
        .peer_port = (uint16_t)(7000 + i),
    };
    snprintf(node->self.name, NAME_SIZE, "a%u", (unsigned)i);
    snprintf(node->self.zone, NAME_SIZE, "south-%u", (unsigned)(i % 2) + 1);
    snprintf(node->self.address, ADDRESS_SIZE, "127.0.0.1");
    node->offset_us = (int64_t)roster_world_draw(world, 3600) * SECOND_US;
    node->roster = roster_new(&settings, &node->self);
}

roster_world_t *
roster_world_new(const roster_settings_t *settings, size_t nodes,
                 uint64_t seed)
{
    roster_world_t *world = calloc(1, sizeof(*world));
    if (world == NULL) {
        abort();
    }
    world->settings = *settings;
    world->seed = seed;
    world->count = nodes;
    world->delay_us = 20000;
    world->store_us = 20000;
    world->late_us = 20 * SECOND_US;
    world->now_us = SECOND_US;
    world_fill_upstreams(world);
    for (size_t i = 0; i < nodes; i++) {
        world_start(world, i);
    }
    return world;
}

void
roster_world_free(roster_world_t *world)
{
    for (size_t i = 0; i < world->count; i++) {
        roster_free(world->nodes[i].roster);
    }
    for (size_t i = 0; i < world->cut_off_count; i++) {
        roster_free(world->cut_off[i].roster);
    }
    for (size_t i = 0; i < WORLD_CALLS_MAX; i++) {
        free(world->calls[i].text);
    }
    for (size_t i = 0; i < world->message_count; i++) {
        free(world->messages[i].text);
    }
    free(world->store_text);
    free(world);
}

static void
call_free(world_call_t *call)
{
    free(call->text);
    *call = (world_call_t){0};
}

static void
world_call(roster_world_t *world, size_t n, roster_step_t step,
           roster_request_t *request)
{
    world_node_t *node = &world->nodes[n];
    node->call_id = ++world->next_id;
    node->call_until_us = world->now_us + CALL_TIMEOUT_US;
    node->call_writes = step == ROSTER_WRITE;
    size_t i = 0;
    while (i < WORLD_CALLS_MAX && world->calls[i].id != 0) {
        i++;
    }
    if (i == WORLD_CALLS_MAX) {
        free(request->text);
        return;
    }
    bool lossy = world->lose_each != 0 &&
                 roster_world_draw(world, world->lose_each) == 0;
    bool late = lossy && roster_world_draw(world, 2) == 0;
    world->calls[i] = (world_call_t){
        .id = node->call_id,
        .node = n,
        .write = step == ROSTER_WRITE,
        .stubborn = late,
        .no_reply = lossy,
        .index = request->index,
        .text = request->text,
        .arrive_us =
            world->now_us +
            world_delay(world, late ? world->late_us : world->store_us),
    };
}

static void
store_put(roster_world_t *world, world_call_t *call)
{
    if (call->index != world->store_index) {
        call->status = STATUS_CONFLICT;
        return;
    }
    free(world->store_text);
    world->store_text = call->text;
    call->text = NULL;
    world->store_index += 3;
}

static void
store_get(const roster_world_t *world, world_call_t *call)
{
    call->index = world->store_index;
    if (world->store_text == NULL) {
        call->status = STATUS_NOT_FOUND;
        return;
    }
    call->text = strdup(world->store_text);
}

static void
call_arrive(roster_world_t *world, world_call_t *call)
{
    bool down = world->store_down || world->nodes[call->node].store_cut;
    if (down && call->stubborn) {
        call->arrive_us += SECOND_US;
        return;
    }
    call->landed = true;
    call->reply_us = world->now_us + world_delay(world, world->store_us);
    if (down) {
        call->status = STATUS_UNAVAILABLE;
    }
    else if (call->write) {
        store_put(world, call);
    }
    else {
        store_get(world, call);
    }
}

static void
node_answer(roster_world_t *world, world_node_t *node, status_t status,
            const world_call_t *call)
{
    node->call_id = 0;
    int64_t clock_us = node_clock(world, node);
    if (node->call_writes) {
        roster_write_result(node->roster, status, clock_us);
        return;
    }
    const char *text = call == NULL ? NULL : call->text;
    roster_read_result(node->roster, status, call == NULL ? 0 : call->index,
                       text, text == NULL ? 0 : strlen(text), clock_us);
}

static bool
node_runs(const roster_world_t *world, const world_node_t *node)
{
    return node->roster != NULL && world->now_us >= node->paused_until_us;
}

static void
world_calls_step(roster_world_t *world)
{
    for (size_t i = 0; i < WORLD_CALLS_MAX; i++) {
        world_call_t *call = &world->calls[i];
        if (call->id != 0 && !call->landed &&
            call->arrive_us <= world->now_us) {
            call_arrive(world, call);
        }
        if (call->id == 0 || !call->landed || call->reply_us > world->now_us) {
            continue;
        }
        world_node_t *node = &world->nodes[call->node];
        bool waits = node->call_id == call->id && !call->no_reply;
        if (waits && !node_runs(world, node)) {
            continue;
        }
        if (waits) {
            node_answer(world, node, call->status, call);
        }
        call_free(call);
    }
}

static void
world_send(roster_world_t *world, size_t from, size_t to,
           const roster_heartbeat_t *heartbeat, char *text)
{
    bool lost =
        world->link_cut[from][to] || (text != NULL && world->documents_lost);
    if (world->message_count == WORLD_MESSAGES_MAX || lost ||
        world->nodes[to].roster == NULL) {
        free(text);
        return;
    }
    world_message_t *message = &world->messages[world->message_count++];
    *message = (world_message_t){
        .from = from,
        .to = to,
        .text = text,
        .arrive_us = world->now_us + world_delay(world, world->delay_us),
    };
    if (heartbeat != NULL) {
        message->heartbeat = *heartbeat;
    }
}

static void
node_receive(roster_world_t *world, size_t n, const world_message_t *message)
{
    world_node_t *node = &world->nodes[n];
    int64_t clock_us = node_clock(world, node);
    if (message->text != NULL) {
        roster_adopt(node->roster, message->text, strlen(message->text),
                     clock_us);
        return;
    }
    roster_heartbeat_t received = message->heartbeat;
    if (world->broken == BREAK_GRANT) {
        received.granting = true;
        received.asking = false;
    }
    if (world->broken == BREAK_GRANT_VERSION) {
        received.version = roster_version(node->roster);
    }
    roster_heartbeat_receive(node->roster, &received, clock_us);
    if (received.version < roster_version(node->roster)) {
        world_send(world, n, message->from, NULL, roster_text(node->roster));
    }
    const roster_doc_t *doc = roster_members(node->roster);
    int member = roster_doc_find(doc, received.name);
    if (member < 0 ||
        doc->members[member].incarnation != received.incarnation) {
        roster_heartbeat_t answer;
        roster_heartbeat_answer(node->roster, &received, clock_us, &answer);
        world_send(world, n, message->from, &answer, NULL);
    }
}

static void
world_messages_step(roster_world_t *world)
{
    size_t i = 0;
    while (i < world->message_count) {
        world_message_t message = world->messages[i];
        world_node_t *node = &world->nodes[message.to];
        bool waits = node->roster != NULL && !node_runs(world, node);
        if (message.arrive_us > world->now_us || waits) {
            i++;
            continue;
        }
        world->messages[i] = world->messages[--world->message_count];
        if (node->roster != NULL) {
            node_receive(world, message.to, &message);
        }
        free(message.text);
    }
}

static void
node_beat(roster_world_t *world, size_t n)
{
    world_node_t *node = &world->nodes[n];
    int64_t clock_us = node_clock(world, node);
    bool urgent = roster_urgent(node->roster, clock_us);
    if (!urgent && world->now_us < node->beat_us) {
        return;
    }
    node->beat_us = world->now_us + world->settings.heartbeat_us;
    const roster_doc_t *doc = roster_members(node->roster);
    for (size_t i = 0; i < doc->count; i++) {
        size_t to = (size_t)(doc->members[i].name[1] - '0');
        if (to == n) {
            continue;
        }
        roster_heartbeat_t heartbeat;
        roster_heartbeat_make(node->roster, i, clock_us, &heartbeat);
        world_send(world, n, to, &heartbeat, NULL);
    }
}

static roster_owner_t
node_owner(const roster_world_t *world, const world_node_t *node,
           size_t upstream)
{
    int member;
    roster_owner_t owner =
        roster_owner(node->roster, world->upstreams[upstream],
                     node_clock(world, node), &member);
    bool ours = owner == ROSTER_ACTIVE ||
                (owner == ROSTER_WAITING && world->broken == BREAK_WAITING) ||
                (owner == ROSTER_PAUSED && world->broken == BREAK_CLOCK &&
                 !node->leaving);
    return ours ? ROSTER_ACTIVE : owner;
}

/* Admit work where this node is active, and let go of what it lost. */
static void
node_work(roster_world_t *world, world_node_t *node)
{
    bool busy_elsewhere = false;
    int64_t clock_us = node_clock(world, node);
    int64_t until_us = roster_act_until(node->roster, clock_us);
    for (size_t u = 0; u < WORLD_UPSTREAMS; u++) {
        bool busy = node->busy_until_us[u] > world->now_us;
        if (node_owner(world, node, u) != ROSTER_ACTIVE) {
            busy_elsewhere = busy_elsewhere || busy;
            continue;
        }
        int64_t most_us = until_us - clock_us + world->settings.drain_us;
        int64_t span_us = world_delay(world, 3 * SECOND_US / 2);
        if (!busy) {
            node->busy_until_us[u] =
                world->now_us + (span_us < most_us ? span_us : most_us);
        }
    }
    if (!busy_elsewhere || world->broken == BREAK_RELEASE) {
        roster_release(node->roster, roster_version(node->roster), clock_us);
    }
}

static void
node_step(roster_world_t *world, size_t n)
{
    world_node_t *node = &world->nodes[n];
    if (!node_runs(world, node)) {
        return;
    }
    if (node->call_id != 0 && world->now_us > node->call_until_us) {
        node_answer(world, node, STATUS_UNKNOWN, NULL);
    }
    if (node->leaving) {
        roster_leave(node->roster);
    }
    node_work(world, node);
    roster_request_t request;
    roster_step_t step =
        roster_next(node->roster, node_clock(world, node), &request);
    if (step != ROSTER_IDLE) {
        world_call(world, n, step, &request);
    }
    node_beat(world, n);
}

static void
world_check_upstream(roster_world_t *world, size_t u)
{
    size_t active = 0;
    size_t busy = world->orphan_until_us[u] > world->now_us ? 1 : 0;
    for (size_t i = 0; i < world->count + world->cut_off_count; i++) {
        const world_node_t *node = i < world->count
                                       ? &world->nodes[i]
                                       : &world->cut_off[i - world->count];
        if (node->roster == NULL) {
            continue;
        }
        active += node_owner(world, node, u) == ROSTER_ACTIVE;
        busy += node->busy_until_us[u] > world->now_us;
    }
    world->checks++;
    world->doubles += active > 1;
    world->overlaps += busy > 1;
    world->unowned[u] += active == 0;
}

void
roster_world_run(roster_world_t *world, int64_t span_us)
{
    int64_t end_us = world->now_us + span_us;
    while (world->now_us < end_us) {
        world->now_us += STEP_US;
        world_calls_step(world);
        world_messages_step(world);
        for (size_t i = 0; i < world->count; i++) {
            node_step(world, i);
        }
        for (size_t u = 0; u < WORLD_UPSTREAMS; u++) {
            world_check_upstream(world, u);
        }
    }
}

void
roster_world_kill(roster_world_t *world, size_t node)
{
    world_node_t *old = &world->nodes[node];
    for (size_t u = 0; u < WORLD_UPSTREAMS; u++) {
        if (old->busy_until_us[u] > world->orphan_until_us[u]) {
            world->orphan_until_us[u] = old->busy_until_us[u];
        }
    }
    roster_free(old->roster);
    *old = (world_node_t){0};
}

void
roster_world_replace(roster_world_t *world, size_t node)
{
    if (world->cut_off_count < WORLD_CUT_OFF_MAX &&
        world->nodes[node].roster != NULL) {
        world->cut_off[world->cut_off_count++] = world->nodes[node];
        world->nodes[node] = (world_node_t){0};
    }
    else {
        roster_world_kill(world, node);
    }
    world_start(world, node);
}

void
roster_world_cut_peers(roster_world_t *world, size_t node, bool cut)
{
    for (size_t i = 0; i < world->count; i++) {
        world->link_cut[node][i] = cut;
        world->link_cut[i][node] = cut;
    }
}

size_t
roster_world_active(const roster_world_t *world, size_t node)
{
    size_t active = 0;
    const world_node_t *n = &world->nodes[node];
    for (size_t u = 0; u < WORLD_UPSTREAMS && n->roster != NULL; u++) {
        active += node_owner(world, n, u) == ROSTER_ACTIVE;
    }
    return active;
}

size_t
roster_world_owned(const roster_world_t *world)
{
    size_t owned = 0;
    for (size_t i = 0; i < world->count; i++) {
        owned += roster_world_active(world, i);
    }
    return owned;
}
