/*
 * Cost of the fleet's decisions at several fleet sizes: time per
 * decision, bytes per heartbeat, calls to the store, memory, and the balance
 * and movement of ownership.
 *
 *     build/plain/bench-fleet
 */
#include "daemon/heartbeat.h"
#include "fleet/confsync.h"
#include "fleet/entries.h"
#include "fleet/owner.h"
#include "fleet/roster.h"
#include "proto/frame.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    DAEMONS_MAX = 1300,
    GROUPS_MAX = 64,
    ZONES = 4,
    UPSTREAMS = 9600,
    ROUNDS = 200000,
    STORE_DELAY_MS = 3, /* one way between a member and the store */
    US_PER_MS = 1000
};

#define SECOND_US INT64_C(1000000)

static const size_t sizes[] = {8, 32, 100, 1300};
static volatile uint64_t sink;

static double
clock_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

/*
 * Daemons are assigned to zones in turn. Up to ROSTER_MEMBERS_MAX of them form
 * one group over all zones; larger fleets have groups within a zone.
 */
typedef struct {
    size_t daemons;
    size_t groups;
    owner_key_t group_keys[GROUPS_MAX];
    size_t group_size[GROUPS_MAX];
    owner_key_t members[GROUPS_MAX][ROSTER_MEMBERS_MAX];
    size_t member_id[GROUPS_MAX][ROSTER_MEMBERS_MAX];
} fleet_plan_t;

static owner_key_t
numbered_key(const char *prefix, size_t i, size_t zone)
{
    char name[NAME_SIZE];
    char zone_name[NAME_SIZE];
    snprintf(name, sizeof(name), "%s%u", prefix, (unsigned)i);
    snprintf(zone_name, sizeof(zone_name), "zone-%u", (unsigned)zone);
    return owner_key(name, zone_name);
}

static void
plan_add(fleet_plan_t *plan, size_t group, size_t daemon, size_t zone)
{
    size_t at = plan->group_size[group]++;
    plan->members[group][at] = numbered_key("a", daemon, zone);
    plan->member_id[group][at] = daemon;
}

/* Plans a fleet without daemon number absent; absent == daemons: with all. */
static void
plan_fill(fleet_plan_t *plan, size_t daemons, size_t absent)
{
    *plan = (fleet_plan_t){.daemons = daemons, .groups = 1};
    size_t groups_per_zone = 1;
    if (daemons > ROSTER_MEMBERS_MAX) {
        size_t daemons_per_zone = (daemons + ZONES - 1) / ZONES;
        groups_per_zone =
            (daemons_per_zone + ROSTER_MEMBERS_MAX - 1) / ROSTER_MEMBERS_MAX;
        plan->groups = ZONES * groups_per_zone;
    }
    for (size_t g = 0; g < plan->groups; g++) {
        plan->group_keys[g] = numbered_key("group", g, g % ZONES);
    }
    for (size_t i = 0; i < daemons; i++) {
        size_t zone = i % ZONES;
        size_t group = plan->groups == 1
                           ? 0
                           : zone + ZONES * (i / ZONES % groups_per_zone);
        if (i != absent) {
            plan_add(plan, group, i, zone);
        }
    }
}

static size_t
plan_owner(const fleet_plan_t *plan, owner_key_t upstream)
{
    int group = plan->groups == 1
                    ? 0
                    : owner_pick(plan->group_keys, plan->groups, upstream);
    int member =
        owner_pick(plan->members[group], plan->group_size[group], upstream);
    return plan->member_id[group][member];
}

static void
bench_owner(size_t daemons)
{
    static fleet_plan_t plan;
    static fleet_plan_t smaller;
    static size_t owned[DAEMONS_MAX];
    static owner_key_t upstreams[UPSTREAMS];
    for (size_t i = 0; i < UPSTREAMS; i++) {
        upstreams[i] = numbered_key("server-", i, i % ZONES);
    }
    memset(owned, 0, sizeof(owned));
    plan_fill(&plan, daemons, daemons);
    plan_fill(&smaller, daemons, 1);
    size_t moved = 0;
    size_t lost = 0;
    size_t max_owned = 0;
    double start_ns = clock_ns();
    for (size_t i = 0; i < UPSTREAMS; i++) {
        owned[plan_owner(&plan, upstreams[i])]++;
    }
    double pick_ns = (clock_ns() - start_ns) / UPSTREAMS;
    for (size_t i = 0; i < UPSTREAMS; i++) {
        size_t before = plan_owner(&plan, upstreams[i]);
        moved += before != plan_owner(&smaller, upstreams[i]) ? 1 : 0;
        lost += before == 1 ? 1 : 0;
    }
    for (size_t i = 0; i < daemons; i++) {
        max_owned = owned[i] > max_owned ? owned[i] : max_owned;
    }
    double fair = (double)UPSTREAMS / (double)daemons;
    printf("owner     daemons=%-4zu groups=%-2zu pick_ns=%-5.0f fair=%-7.1f "
           "most=%-5zu most/fair=%.2f moved_by_one_leave=%zu of=%zu\n",
           daemons, plan.groups, pick_ns, fair, max_owned,
           (double)max_owned / fair, moved, lost);
}

/*
 * Members of one group and their store. A request takes STORE_DELAY_MS to
 * reach the store, and its result as long to come back.
 */
typedef struct {
    size_t count;
    roster_t *rosters[ROSTER_MEMBERS_MAX];
    roster_step_t steps[ROSTER_MEMBERS_MAX];
    roster_request_t requests[ROSTER_MEMBERS_MAX];
    status_t results[ROSTER_MEMBERS_MAX];
    char *texts[ROSTER_MEMBERS_MAX];
    uint64_t indexes[ROSTER_MEMBERS_MAX];
    int64_t due_us[ROSTER_MEMBERS_MAX];
    bool handled[ROSTER_MEMBERS_MAX]; /* by the store */
    char *text;                       /* the roster document in the store */
    uint64_t index;                   /* its version in the store */
    int64_t now_us;
} group_t;

static void
group_fill(group_t *group, size_t count, const roster_settings_t *settings)
{
    *group = (group_t){.count = count, .now_us = SECOND_US};
    for (size_t i = 0; i < count; i++) {
        roster_settings_t own = *settings;
        own.seed = i + 1;
        roster_member_t self = {
            .incarnation = i + 1,
            .address = "10.0.0.1",
            .http_port = 80,
            .peer_port = (uint16_t)(7000 + i),
        };
        snprintf(self.name, NAME_SIZE, "a%02u", (unsigned)i);
        snprintf(self.zone, NAME_SIZE, "zone-%u", (unsigned)(i % ZONES));
        group->rosters[i] = roster_new(&own, &self);
    }
}

static void
group_release(group_t *group)
{
    for (size_t i = 0; i < group->count; i++) {
        roster_free(group->rosters[i]);
        free(group->requests[i].text);
        free(group->texts[i]);
    }
    free(group->text);
}

static void
group_store_handle(group_t *group, size_t i)
{
    group->handled[i] = true;
    group->due_us[i] = group->now_us + STORE_DELAY_MS * US_PER_MS;
    if (group->steps[i] == ROSTER_READ) {
        group->results[i] = group->text == NULL ? STATUS_NOT_FOUND : STATUS_OK;
        group->texts[i] = group->text == NULL ? NULL : strdup(group->text);
        group->indexes[i] = group->index;
        return;
    }
    bool won = group->requests[i].index == group->index;
    group->results[i] = won ? STATUS_OK : STATUS_CONFLICT;
    if (won) {
        free(group->text);
        group->text = group->requests[i].text;
        group->requests[i].text = NULL;
        group->index++;
    }
}

static void
group_deliver_result(group_t *group, size_t i)
{
    roster_t *roster = group->rosters[i];
    if (group->steps[i] == ROSTER_READ) {
        const char *text = group->texts[i];
        roster_read_result(roster, group->results[i], group->indexes[i], text,
                           text == NULL ? 0 : strlen(text), group->now_us);
    }
    else {
        roster_write_result(roster, group->results[i], group->now_us);
    }
    free(group->texts[i]);
    group->texts[i] = NULL;
    free(group->requests[i].text);
    group->requests[i].text = NULL;
    group->steps[i] = ROSTER_IDLE;
    group->handled[i] = false;
}

static void
group_step_store_call(group_t *group, size_t i)
{
    if (group->steps[i] != ROSTER_IDLE && group->now_us >= group->due_us[i]) {
        if (group->handled[i]) {
            group_deliver_result(group, i);
        }
        else {
            group_store_handle(group, i);
        }
    }
    if (group->steps[i] == ROSTER_IDLE) {
        roster_release(group->rosters[i], roster_version(group->rosters[i]),
                       group->now_us);
        group->steps[i] =
            roster_next(group->rosters[i], group->now_us, &group->requests[i]);
        group->due_us[i] = group->now_us + STORE_DELAY_MS * US_PER_MS;
    }
}

/* Sends one heartbeat; a receiver that doesn't list the sender answers it. */
static void
group_send_heartbeat(group_t *group, size_t from, size_t member, size_t to)
{
    roster_heartbeat_t heartbeat;
    roster_heartbeat_make(group->rosters[from], member, group->now_us,
                          &heartbeat);
    roster_heartbeat_receive(group->rosters[to], &heartbeat, group->now_us);
    if (roster_doc_find(roster_members(group->rosters[to]), heartbeat.name) <
        0) {
        roster_heartbeat_t answer;
        roster_heartbeat_answer(group->rosters[to], &heartbeat, group->now_us,
                                &answer);
        roster_heartbeat_receive(group->rosters[from], &answer, group->now_us);
    }
}

static void
group_send_heartbeats(group_t *group, const roster_settings_t *settings)
{
    bool all = group->now_us % settings->heartbeat_us == 0;
    for (size_t i = 0; i < group->count; i++) {
        if (!roster_urgent(group->rosters[i], group->now_us) && !all) {
            continue;
        }
        const roster_doc_t *doc = roster_members(group->rosters[i]);
        for (size_t m = 0; m < doc->count; m++) {
            size_t to = (size_t)doc->members[m].incarnation - 1;
            if (to != i) {
                group_send_heartbeat(group, i, m, to);
            }
        }
    }
}

static void
group_run(group_t *group, const roster_settings_t *settings, int64_t span_us)
{
    for (int64_t end_us = group->now_us + span_us; group->now_us < end_us;) {
        group->now_us += US_PER_MS;
        for (size_t i = 0; i < group->count; i++) {
            group_step_store_call(group, i);
        }
        group_send_heartbeats(group, settings);
    }
}

static size_t
group_joined(const group_t *group)
{
    size_t joined = 0;
    for (size_t i = 0; i < group->count; i++) {
        joined += roster_may_act(group->rosters[i], group->now_us) ? 1 : 0;
    }
    return joined;
}

static roster_stats_t
group_stats(const group_t *group)
{
    roster_stats_t sum = {0};
    for (size_t i = 0; i < group->count; i++) {
        roster_stats_t stats;
        roster_stats(group->rosters[i], group->now_us, &stats);
        sum.reads += stats.reads;
        sum.writes += stats.writes;
        sum.conflicts += stats.conflicts;
    }
    return sum;
}

static void
bench_group_decisions(group_t *group)
{
    static owner_key_t upstreams[UPSTREAMS / 8];
    const size_t count = sizeof(upstreams) / sizeof(upstreams[0]);
    for (size_t i = 0; i < count; i++) {
        upstreams[i] = numbered_key("server-", i, i % ZONES);
    }
    int member;
    double start_ns = clock_ns();
    for (size_t i = 0; i < ROUNDS; i++) {
        sink += roster_owner(group->rosters[0], upstreams[i % count],
                             group->now_us, &member);
    }
    double owner_ns = (clock_ns() - start_ns) / ROUNDS;
    start_ns = clock_ns();
    for (size_t i = 0; i < ROUNDS; i++) {
        sink += roster_may_act(group->rosters[0], group->now_us);
    }
    double act_ns = (clock_ns() - start_ns) / ROUNDS;
    start_ns = clock_ns();
    roster_heartbeat_t heartbeat;
    for (size_t i = 0; i < ROUNDS; i++) {
        roster_heartbeat_make(group->rosters[0], i % group->count,
                              group->now_us, &heartbeat);
        roster_heartbeat_receive(group->rosters[i % group->count], &heartbeat,
                                 group->now_us);
    }
    double heartbeat_ns = (clock_ns() - start_ns) / ROUNDS;
    printf("decision  group=%-2zu roster_owner_ns=%.0f may_act_ns=%.1f "
           "heartbeat_make_and_receive_ns=%.0f document_bytes=%zu\n",
           group->count, owner_ns, act_ns, heartbeat_ns, strlen(group->text));
}

/* Lease and heartbeat settings of a fleet of this size. */
static roster_settings_t
settings_for(size_t daemons)
{
    roster_settings_t settings = ROSTER_SETTINGS_DEFAULT;
    if (daemons > ROSTER_MEMBERS_MAX) {
        settings.renew_us = 10 * SECOND_US;
        settings.lease_us = 30 * SECOND_US;
        settings.expire_us = 35 * SECOND_US;
        settings.grant_us = 6 * SECOND_US;
        settings.heartbeat_us = 2 * SECOND_US;
    }
    return settings;
}

static void
bench_store(size_t daemons)
{
    roster_settings_t settings = settings_for(daemons);
    size_t groups = (daemons + ROSTER_MEMBERS_MAX - 1) / ROSTER_MEMBERS_MAX;
    size_t count = (daemons + groups - 1) / groups;
    size_t heap = mallinfo2().uordblks;
    static group_t group;
    group_fill(&group, count, &settings);
    size_t roster_bytes = (mallinfo2().uordblks - heap) / count;
    int64_t start_us = group.now_us;
    while (group_joined(&group) < count &&
           group.now_us < start_us + 600 * SECOND_US) {
        group_run(&group, &settings, 10 * US_PER_MS);
    }
    double joined_s = (double)(group.now_us - start_us) / (double)SECOND_US;
    group_run(&group, &settings, 30 * SECOND_US);
    roster_stats_t before = group_stats(&group);
    group_run(&group, &settings, 200 * SECOND_US);
    roster_stats_t after = group_stats(&group);
    double scale = (double)daemons / (double)count / 200;
    printf("store     daemons=%-4zu groups=%-2zu of=%-2zu renew_s=%.0f "
           "all_joined_s=%.1f writes_s=%.1f reads_s=%.1f conflicts_s=%.2f "
           "roster_bytes=%zu\n",
           daemons, groups, count,
           (double)settings.renew_us / (double)SECOND_US, joined_s,
           (double)(after.writes - before.writes) * scale,
           (double)(after.reads - before.reads) * scale,
           (double)(after.conflicts - before.conflicts) * scale, roster_bytes);
    bench_group_decisions(&group);
    group_release(&group);
}

static void
bench_confsync(size_t count)
{
    if (count == 0 || count > ROSTER_MEMBERS_MAX) {
        return;
    }
    roster_doc_t doc = {.version = 1};
    for (size_t i = 0; i < count; i++) {
        roster_member_t member = {.incarnation = 1};
        snprintf(member.name, NAME_SIZE, "a%02u", (unsigned)i);
        roster_doc_add(&doc, &member);
    }
    confsync_settings_t settings = CONFSYNC_SETTINGS_DEFAULT;
    confsync_t sync;
    confsync_init(&sync, &settings);
    confsync_set_members(&sync, &doc, "a00");
    confsync_adopt(&sync, 1, 0);
    confsync_report_t report = {.version = 1, .trust_us = 4 * SECOND_US};
    double start_ns = clock_ns();
    for (size_t i = 0; i < ROUNDS; i++) {
        int64_t now_us = SECOND_US + (int64_t)i;
        confsync_report_receive(&sync, doc.members[i % count].name, 1, &report,
                                now_us, 0, now_us);
    }
    double receive_ns = (clock_ns() - start_ns) / ROUNDS;
    start_ns = clock_ns();
    for (size_t i = 0; i < ROUNDS; i++) {
        sink += (uint64_t)confsync_trust_until(&sync);
    }
    double trust_ns = (clock_ns() - start_ns) / ROUNDS;
    printf("confsync  group=%-2zu heard_ns=%.0f trust_until_ns=%.0f "
           "bytes=%zu\n",
           count, receive_ns, trust_ns, sizeof(sync));
}

static void
bench_entries(size_t daemons)
{
    static entry_candidate_t candidates[DAEMONS_MAX];
    static char names[DAEMONS_MAX][NAME_SIZE];
    static char zones[ZONES][NAME_SIZE];
    for (size_t i = 0; i < daemons; i++) {
        snprintf(names[i], NAME_SIZE, "a%u", (unsigned)i);
        snprintf(zones[i % ZONES], NAME_SIZE, "zone-%u",
                 (unsigned)(i % ZONES));
        candidates[i] = (entry_candidate_t){
            .name = names[i],
            .zone = zones[i % ZONES],
        };
    }
    size_t rounds = ROUNDS / 10;
    size_t picked[ENTRIES_MAX];
    uint32_t keep_ms;
    double start_ns = clock_ns();
    for (size_t i = 0; i < rounds; i++) {
        sink += entries_pick(candidates, daemons, zones[0], i, picked,
                             ENTRIES_MAX, &keep_ms);
    }
    printf("entries   daemons=%-4zu pick_ns=%.0f\n", daemons,
           (clock_ns() - start_ns) / (double)rounds);
}

/* Size of a framed heartbeat, and bytes that a daemon sends per second. */
static void
bench_heartbeat_bytes(size_t daemons)
{
    roster_settings_t settings = settings_for(daemons);
    size_t groups = (daemons + ROSTER_MEMBERS_MAX - 1) / ROSTER_MEMBERS_MAX;
    size_t others = (daemons + groups - 1) / groups - 1;
    roster_heartbeat_t lease = {
        .version = 4321,
        .acked_version = 4321,
        .sent_us = INT64_C(86400000000),
        .echo_us = INT64_C(86400000000),
    };
    confsync_report_t report = {.version = 4321, .trust_us = 4 * SECOND_US};
    heartbeat_buffer_t buffer;
    message_t message;
    uint8_t *bytes;
    size_t size;
    heartbeat_make_message(&lease, &report, false, &buffer, &message);
    if (message_encode(&message, 0, &bytes, &size, NULL) != STATUS_OK) {
        return;
    }
    free(bytes);
    size_t framed = frame_size(size, FRAME_MAC_BYTES);
    double heartbeats_s =
        (double)others * (double)SECOND_US / (double)settings.heartbeat_us;
    printf("heartbeat daemons=%-4zu payload=%zu framed=%zu sent_s=%.1f "
           "bytes_s=%.0f\n",
           daemons, size, framed, heartbeats_s, heartbeats_s * (double)framed);
}

int
main(void)
{
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        bench_heartbeat_bytes(sizes[i]);
    }
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        bench_owner(sizes[i]);
    }
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        bench_store(sizes[i]);
    }
    bench_confsync(8);
    bench_confsync(ROSTER_MEMBERS_MAX);
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        bench_entries(sizes[i]);
    }
    return 0;
}
