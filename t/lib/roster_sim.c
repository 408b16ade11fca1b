#include "t/lib/roster_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { STEP_US = 50000, CALL_TIMEOUT_US = 400000 };

uint64_t
roster_sim_draw(roster_sim_t *sim, uint64_t bound)
{
    uint64_t counter = sim->draws++;
    return XXH64(&counter, sizeof(counter), sim->seed) % bound;
}

static int64_t
sim_delay(roster_sim_t *sim, int64_t most_us)
{
    return 1 + (int64_t)roster_sim_draw(sim, (uint64_t)most_us);
}

static void
sim_fill_upstreams(roster_sim_t *sim)
{
    for (size_t u = 0; u < SIM_UPSTREAMS; u++) {
        char name[NAME_SIZE];
        snprintf(name, sizeof(name), "ledger-desk-g%u-r0", (unsigned)u);
        const char *zone = u % 2 == 0 ? "south-1" : "south-2";
        sim->upstreams[u] = owner_key(name, zone);
    }
}

static int64_t
node_clock(const roster_sim_t *sim, const sim_node_t *node)
{
    return sim->now_us + node->offset_us;
}

static void
sim_start(roster_sim_t *sim, size_t i)
{
    sim_node_t *node = &sim->nodes[i];
    roster_settings_t settings = sim->settings;
    settings.seed = roster_sim_draw(sim, UINT32_MAX);
    node->self = (roster_member_t){
        .incarnation = ++sim->next_id,
        .http_port = 80,
        .peer_port = (uint16_t)(7000 + i),
    };
    snprintf(node->self.name, NAME_SIZE, "a%u", (unsigned)i);
    snprintf(node->self.zone, NAME_SIZE, "south-%u", (unsigned)(i % 2) + 1);
    snprintf(node->self.address, ADDRESS_SIZE, "127.0.0.1");
    node->offset_us = (int64_t)roster_sim_draw(sim, 3600) * SECOND_US;
    node->roster = roster_new(&settings, &node->self);
}

roster_sim_t *
roster_sim_new(const roster_settings_t *settings, size_t nodes, uint64_t seed)
{
    roster_sim_t *sim = calloc(1, sizeof(*sim));
    if (sim == NULL) {
        abort();
    }
    sim->settings = *settings;
    sim->seed = seed;
    sim->count = nodes;
    sim->delay_us = 20000;
    sim->store_us = 20000;
    sim->late_us = 20 * SECOND_US;
    sim->now_us = SECOND_US;
    sim_fill_upstreams(sim);
    for (size_t i = 0; i < nodes; i++) {
        sim_start(sim, i);
    }
    return sim;
}

void
roster_sim_free(roster_sim_t *sim)
{
    for (size_t i = 0; i < sim->count; i++) {
        roster_free(sim->nodes[i].roster);
    }
    for (size_t i = 0; i < sim->replaced_count; i++) {
        roster_free(sim->replaced[i].roster);
    }
    for (size_t i = 0; i < SIM_CALLS_MAX; i++) {
        free(sim->calls[i].text);
    }
    for (size_t i = 0; i < sim->message_count; i++) {
        free(sim->messages[i].text);
    }
    free(sim->store_text);
    free(sim);
}

static void
call_free(sim_call_t *call)
{
    free(call->text);
    *call = (sim_call_t){0};
}

static void
sim_call(roster_sim_t *sim, size_t n, roster_step_t step,
         roster_request_t *request)
{
    sim_node_t *node = &sim->nodes[n];
    node->call_id = ++sim->next_id;
    node->call_until_us = sim->now_us + CALL_TIMEOUT_US;
    node->call_writes = step == ROSTER_WRITE;
    size_t i = 0;
    while (i < SIM_CALLS_MAX && sim->calls[i].id != 0) {
        i++;
    }
    if (i == SIM_CALLS_MAX) {
        free(request->text);
        return;
    }
    bool lossy = sim->lost_reply_one_in != 0 &&
                 roster_sim_draw(sim, sim->lost_reply_one_in) == 0;
    bool late = lossy && roster_sim_draw(sim, 2) == 0;
    sim->calls[i] = (sim_call_t){
        .id = node->call_id,
        .node = n,
        .write = step == ROSTER_WRITE,
        .applied_late = late,
        .no_reply = lossy,
        .index = request->index,
        .text = request->text,
        .arrive_us =
            sim->now_us + sim_delay(sim, late ? sim->late_us : sim->store_us),
    };
}

static void
store_put(roster_sim_t *sim, sim_call_t *call)
{
    if (call->index != sim->store_index) {
        call->status = STATUS_CONFLICT;
        return;
    }
    free(sim->store_text);
    sim->store_text = call->text;
    call->text = NULL;
    sim->store_index += 3;
}

static void
store_get(const roster_sim_t *sim, sim_call_t *call)
{
    call->index = sim->store_index;
    if (sim->store_text == NULL) {
        call->status = STATUS_NOT_FOUND;
        return;
    }
    call->text = strdup(sim->store_text);
}

static void
call_arrive(roster_sim_t *sim, sim_call_t *call)
{
    bool down = sim->store_down || sim->nodes[call->node].store_cut;
    if (down && call->applied_late) {
        call->arrive_us += SECOND_US;
        return;
    }
    call->arrived = true;
    call->reply_us = sim->now_us + sim_delay(sim, sim->store_us);
    if (down) {
        call->status = STATUS_UNAVAILABLE;
    }
    else if (call->write) {
        store_put(sim, call);
    }
    else {
        store_get(sim, call);
    }
}

static void
node_answer(roster_sim_t *sim, sim_node_t *node, status_t status,
            const sim_call_t *call)
{
    node->call_id = 0;
    int64_t clock_us = node_clock(sim, node);
    if (node->call_writes) {
        roster_write_result(node->roster, status, clock_us);
        return;
    }
    const char *text = call == NULL ? NULL : call->text;
    roster_read_result(node->roster, status, call == NULL ? 0 : call->index,
                       text, text == NULL ? 0 : strlen(text), clock_us);
}

static bool
node_runs(const roster_sim_t *sim, const sim_node_t *node)
{
    return node->roster != NULL && sim->now_us >= node->paused_until_us;
}

static void
sim_calls_step(roster_sim_t *sim)
{
    for (size_t i = 0; i < SIM_CALLS_MAX; i++) {
        sim_call_t *call = &sim->calls[i];
        if (call->id != 0 && !call->arrived &&
            call->arrive_us <= sim->now_us) {
            call_arrive(sim, call);
        }
        if (call->id == 0 || !call->arrived || call->reply_us > sim->now_us) {
            continue;
        }
        sim_node_t *node = &sim->nodes[call->node];
        bool waits = node->call_id == call->id && !call->no_reply;
        if (waits && !node_runs(sim, node)) {
            continue;
        }
        if (waits) {
            node_answer(sim, node, call->status, call);
        }
        call_free(call);
    }
}

static void
sim_send(roster_sim_t *sim, size_t from, size_t to,
         const roster_heartbeat_t *heartbeat, char *text)
{
    bool lost =
        sim->link_cut[from][to] || (text != NULL && sim->documents_lost);
    if (sim->message_count == SIM_MESSAGES_MAX || lost ||
        sim->nodes[to].roster == NULL) {
        free(text);
        return;
    }
    sim_message_t *message = &sim->messages[sim->message_count++];
    *message = (sim_message_t){
        .from = from,
        .to = to,
        .text = text,
        .arrive_us = sim->now_us + sim_delay(sim, sim->delay_us),
    };
    if (heartbeat != NULL) {
        message->heartbeat = *heartbeat;
    }
}

static void
node_receive(roster_sim_t *sim, size_t n, const sim_message_t *message)
{
    sim_node_t *node = &sim->nodes[n];
    int64_t clock_us = node_clock(sim, node);
    if (message->text != NULL) {
        roster_adopt(node->roster, message->text, strlen(message->text),
                     clock_us);
        return;
    }
    roster_heartbeat_t received = message->heartbeat;
    if (sim->broken == BREAK_GRANT) {
        received.grants = true;
        received.requests_grant = false;
    }
    if (sim->broken == BREAK_GRANT_VERSION) {
        received.version = roster_version(node->roster);
    }
    roster_heartbeat_receive(node->roster, &received, clock_us);
    if (received.version < roster_version(node->roster)) {
        sim_send(sim, n, message->from, NULL, roster_text(node->roster));
    }
    const roster_doc_t *doc = roster_members(node->roster);
    int member = roster_doc_find(doc, received.name);
    if (member < 0 ||
        doc->members[member].incarnation != received.incarnation) {
        roster_heartbeat_t answer;
        roster_heartbeat_answer(node->roster, &received, clock_us, &answer);
        sim_send(sim, n, message->from, &answer, NULL);
    }
}

static void
sim_messages_step(roster_sim_t *sim)
{
    size_t i = 0;
    while (i < sim->message_count) {
        sim_message_t message = sim->messages[i];
        sim_node_t *node = &sim->nodes[message.to];
        bool waits = node->roster != NULL && !node_runs(sim, node);
        if (message.arrive_us > sim->now_us || waits) {
            i++;
            continue;
        }
        sim->messages[i] = sim->messages[--sim->message_count];
        if (node->roster != NULL) {
            node_receive(sim, message.to, &message);
        }
        free(message.text);
    }
}

static void
node_send_heartbeats(roster_sim_t *sim, size_t n)
{
    sim_node_t *node = &sim->nodes[n];
    int64_t clock_us = node_clock(sim, node);
    bool urgent = roster_urgent(node->roster, clock_us);
    if (!urgent && sim->now_us < node->next_heartbeat_us) {
        return;
    }
    node->next_heartbeat_us = sim->now_us + sim->settings.heartbeat_us;
    const roster_doc_t *doc = roster_members(node->roster);
    for (size_t i = 0; i < doc->count; i++) {
        size_t to = (size_t)(doc->members[i].name[1] - '0');
        if (to == n) {
            continue;
        }
        roster_heartbeat_t heartbeat;
        roster_heartbeat_make(node->roster, i, clock_us, &heartbeat);
        sim_send(sim, n, to, &heartbeat, NULL);
    }
}

static roster_owner_t
node_owner(const roster_sim_t *sim, const sim_node_t *node, size_t upstream)
{
    int member;
    roster_owner_t owner = roster_owner(node->roster, sim->upstreams[upstream],
                                        node_clock(sim, node), &member);
    bool ours = owner == ROSTER_ACTIVE ||
                (owner == ROSTER_WAITING && sim->broken == BREAK_WAITING) ||
                (owner == ROSTER_PAUSED && sim->broken == BREAK_CLOCK &&
                 !node->leaving);
    return ours ? ROSTER_ACTIVE : owner;
}

/*
 * Admit work for the upstreams that this node is active for. Release the
 * current version when no work is in flight for the other upstreams.
 */
static void
node_work(roster_sim_t *sim, sim_node_t *node)
{
    bool busy_elsewhere = false;
    int64_t clock_us = node_clock(sim, node);
    int64_t until_us = roster_act_until(node->roster, clock_us);
    for (size_t u = 0; u < SIM_UPSTREAMS; u++) {
        bool busy = node->busy_until_us[u] > sim->now_us;
        if (node_owner(sim, node, u) != ROSTER_ACTIVE) {
            busy_elsewhere = busy_elsewhere || busy;
            continue;
        }
        int64_t most_us = until_us - clock_us + sim->settings.drain_us;
        int64_t span_us = sim_delay(sim, 3 * SECOND_US / 2);
        if (!busy) {
            node->busy_until_us[u] =
                sim->now_us + (span_us < most_us ? span_us : most_us);
        }
    }
    if (!busy_elsewhere || sim->broken == BREAK_RELEASE) {
        roster_release(node->roster, roster_version(node->roster), clock_us);
    }
}

static void
node_step(roster_sim_t *sim, size_t n)
{
    sim_node_t *node = &sim->nodes[n];
    if (!node_runs(sim, node)) {
        return;
    }
    if (node->call_id != 0 && sim->now_us > node->call_until_us) {
        node_answer(sim, node, STATUS_UNKNOWN, NULL);
    }
    if (node->leaving) {
        roster_leave(node->roster);
    }
    node_work(sim, node);
    roster_request_t request;
    roster_step_t step =
        roster_next(node->roster, node_clock(sim, node), &request);
    if (step != ROSTER_IDLE) {
        sim_call(sim, n, step, &request);
    }
    node_send_heartbeats(sim, n);
}

static void
sim_check_upstream(roster_sim_t *sim, size_t u)
{
    size_t active = 0;
    size_t busy = sim->killed_work_until_us[u] > sim->now_us ? 1 : 0;
    for (size_t i = 0; i < sim->count + sim->replaced_count; i++) {
        const sim_node_t *node =
            i < sim->count ? &sim->nodes[i] : &sim->replaced[i - sim->count];
        if (node->roster == NULL) {
            continue;
        }
        active += node_owner(sim, node, u) == ROSTER_ACTIVE;
        busy += node->busy_until_us[u] > sim->now_us;
    }
    sim->checks++;
    sim->double_owners += active > 1;
    sim->overlapping_work += busy > 1;
    sim->unowned[u] += active == 0;
}

void
roster_sim_run(roster_sim_t *sim, int64_t span_us)
{
    int64_t end_us = sim->now_us + span_us;
    while (sim->now_us < end_us) {
        sim->now_us += STEP_US;
        sim_calls_step(sim);
        sim_messages_step(sim);
        for (size_t i = 0; i < sim->count; i++) {
            node_step(sim, i);
        }
        for (size_t u = 0; u < SIM_UPSTREAMS; u++) {
            sim_check_upstream(sim, u);
        }
    }
}

void
roster_sim_kill(roster_sim_t *sim, size_t node)
{
    sim_node_t *old = &sim->nodes[node];
    for (size_t u = 0; u < SIM_UPSTREAMS; u++) {
        if (old->busy_until_us[u] > sim->killed_work_until_us[u]) {
            sim->killed_work_until_us[u] = old->busy_until_us[u];
        }
    }
    roster_free(old->roster);
    *old = (sim_node_t){0};
}

void
roster_sim_replace(roster_sim_t *sim, size_t node)
{
    if (sim->replaced_count < SIM_REPLACED_MAX &&
        sim->nodes[node].roster != NULL) {
        sim->replaced[sim->replaced_count++] = sim->nodes[node];
        sim->nodes[node] = (sim_node_t){0};
    }
    else {
        roster_sim_kill(sim, node);
    }
    sim_start(sim, node);
}

void
roster_sim_cut_peers(roster_sim_t *sim, size_t node, bool cut)
{
    for (size_t i = 0; i < sim->count; i++) {
        sim->link_cut[node][i] = cut;
        sim->link_cut[i][node] = cut;
    }
}

size_t
roster_sim_active(const roster_sim_t *sim, size_t node)
{
    size_t active = 0;
    const sim_node_t *n = &sim->nodes[node];
    for (size_t u = 0; u < SIM_UPSTREAMS && n->roster != NULL; u++) {
        active += node_owner(sim, n, u) == ROSTER_ACTIVE;
    }
    return active;
}

size_t
roster_sim_owned(const roster_sim_t *sim)
{
    size_t owned = 0;
    for (size_t i = 0; i < sim->count; i++) {
        owned += roster_sim_active(sim, i);
    }
    return owned;
}
