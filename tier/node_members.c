/* The members of the fleet, this daemon's role and suspected requests. */
#include "core/text.h"
#include "edge/event.h"
#include "platform/names.h"
#include "tier/node_state.h"
#include "tier/serving.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Added to the number of serving daemons when this daemon's share of the
       upstreams is computed. */
    SERVING_SPARE = 2,
    /* A standby daemon takes a full share divided by this. */
    STANDBY_SHARE_DIVISOR = 4,
    LINK_FULL_WEIGHT_MBPS = 100, /* a wider link adds no weight */
    /* A daemon that has run for this long and is missing in a peer's list of
       members has lost its record; before, the peer may not have read it. */
    RECORD_SETTLED_US = 5000000,
    /* Renewals are most of a large fleet's calls to the store. Twice per TTL
       leaves time to repeat one that gets no response. */
    MEMBER_RENEWALS_LARGE = 2,
    /* Older suspects are not written again after the store was restored: the
       other daemons refuse their requests no longer than this. */
    SUSPECT_LIFETIME_US = 60000000
};

/* The VM's capacity: its processor's, reduced in proportion to a narrow link
   (below LINK_FULL_WEIGHT_MBPS). */
static uint32_t
boot_weight(const boot_t *boot)
{
    /* A link of unknown width counts in full. */
    double link =
        boot->link_mbps > 0 && boot->link_mbps < LINK_FULL_WEIGHT_MBPS
            ? boot->link_mbps / LINK_FULL_WEIGHT_MBPS
            : 1;
    return (uint32_t)(boot->cpu_share * boot->cores * link * 1000);
}

size_t
node_format_record(const node_t *node, char *text, size_t size)
{
    const boot_t *boot = &node->boot;
    return boot->has_callers
               ? member_record_write(text, size, boot->callers_address_text,
                                     boot->control_address_text, boot->zone,
                                     boot_weight(boot))
               : 0;
}

/* This daemon is a member even if its record has not reached the store. */
void
node_add_self(node_t *node, int64_t now_us)
{
    char record[MEMBER_RECORD_SIZE];
    size_t size = node_format_record(node, record, sizeof(record));
    if (size > 0 && !node->shutting_down) {
        members_put(&node->members, node->boot.daemon_name, record, size, 0,
                    now_us);
    }
}

void
node_register(node_t *node, int64_t ttl_us)
{
    char key[LEASE_KEY_SIZE];
    char record[MEMBER_RECORD_SIZE];
    snprintf(key, sizeof(key), KEY_MEMBERS "%s", node->boot.daemon_name);
    if (node_format_record(node, record, sizeof(record)) > 0) {
        store_link_register(node->store, key, record,
                            ttl_us > node->boot.min_lease_us
                                ? ttl_us
                                : node->boot.min_lease_us);
        node->record_ttl_us = ttl_us;
    }
}

/*
 * Register when the role is known, with the lease that suits it. A daemon that
 * was weak and comes to serve gets the shorter lease; the reverse can wait for
 * its next start, since a new lease and a write are two calls.
 */
static void
node_choose_lease(node_t *node, bool serves)
{
    if (node->shutting_down || !node->members_listed) {
        return;
    }
    bool weak = !serves &&
                boot_weight(&node->boot) < serving_weight_min(&node->members);
    if (node->record_ttl_us == 0) {
        node_register(node, weak ? MEMBER_LEASE_WEAK_US : MEMBER_LEASE_US);
    }
    else if (!weak && node->record_ttl_us == MEMBER_LEASE_WEAK_US) {
        node_register(node, MEMBER_LEASE_US);
    }
}

void
node_check_own_record(node_t *node, int64_t now_us)
{
    if (!node->shutting_down &&
        now_us - node->started_us > RECORD_SETTLED_US &&
        !members_has(&node->members, node->boot.daemon_name)) {
        store_link_restore_record(node->store, now_us);
    }
}

/* The serving daemons divide the rate limits of upstreams. */
static void
node_apply_sharers(node_t *node, int64_t now_us)
{
    uint64_t *ids = malloc((node->members.count + 1) * sizeof(*ids));
    if (ids != NULL) {
        engine_set_sharers(node->engine, member_id(node->boot.daemon_name),
                           ids, members_serving_ids(&node->members, ids),
                           now_us);
    }
    free(ids);
}

void
node_apply_membership(node_t *node, int64_t now_us)
{
    uint32_t serving = members_assign_roles(&node->members);
    member_role_t role = members_role(&node->members, node->boot.daemon_name);
    uint32_t fleet_size = members_fleet_size(&node->members, now_us);
    bool large_fleet = serving < node->members.count;
    if (large_fleet) {
        /* A standby daemon sends hardly any requests. */
        fleet_size = role != MEMBER_STANDBY
                         ? serving + SERVING_SPARE
                         : fleet_size * STANDBY_SHARE_DIVISOR;
    }
    bool polled_peers = node->polls_peers;
    node->polls_peers = large_fleet && role != MEMBER_STORE_READER;
    node_choose_lease(node, !large_fleet || role != MEMBER_STANDBY);
    store_link_set_renewals(node->store, large_fleet ? MEMBER_RENEWALS_LARGE
                                                     : LEASE_RENEWALS);
    /* Callers wait for a daemon that serves, and after a restart of all
       daemons no reader has a state to give yet. */
    bool reads_first = role != MEMBER_STANDBY && !node->first_lists_released;
    if (node->members_listed &&
        (reads_first || (polled_peers && !node->polls_peers))) {
        store_link_pause_polling(node->store, KEY_UPSTREAMS, 0);
        store_link_pause_polling(node->store, KEY_OPERATOR, 0);
        store_link_pause_polling(node->store, KEY_FLEET, 0);
        node->first_lists_released = true;
    }
    poll_intervals_set(&node->poll_intervals, node->boot.drain_us,
                       node->boot.converge_us, large_fleet);
    store_link_set_poll_interval(node->store, KEY_UPSTREAMS,
                                 node->poll_intervals.store_poll_us);
    store_link_set_poll_interval(node->store, KEY_FLEET,
                                 node->poll_intervals.members_poll_us);
    /* In a large fleet a change takes two steps, so the store readers watch
       what the operator writes. In a small one the poll for upstreams, which
       reads all changes, is early enough, and each watch that a change ends
       would be one more call of each daemon. */
    store_link_set_covered(node->store, KEY_OPERATOR, !large_fleet);
    store_link_set_covered(node->store, KEY_FLEET, !large_fleet);
    store_link_set_covered(node->store, KEY_ROLLOUT_STATUS, !large_fleet);
    /* A daemon that polls peers learns from them that the store is reachable
       again, so it retries the store less often. */
    store_link_set_retry_delay(
        node->store, node->polls_peers ? node->poll_intervals.store_poll_us
                                       : FOLLOW_RETRY_US);
    node_apply_sharers(node, now_us);
    node_quota_apply_members(node, serving, now_us);
    if (fleet_size != node->fleet_size) {
        node->fleet_size = fleet_size;
        engine_set_fleet_size(node->engine, fleet_size, now_us);
    }
}

void
node_members_changed(node_t *node, const char *name, const char *change,
                     int64_t now_us)
{
    node->next_peer = 0; /* a peer that failed may have been replaced */
    node_apply_membership(node, now_us);
    event_log(EVENT_MEMBERS_CHANGED,
              "daemon_name=%s change=%s members=%u serves=%d "
              "shares=%u",
              name, change, node->members.count,
              (int)members_role(&node->members, node->boot.daemon_name),
              node->fleet_size);
}

static void
fleet_list_begin(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    node->members_list_reading = true;
    members_list_begin(&node->members);
}

/* The key ends in DAEMON/SLOT, the value is the request's fingerprint in
   hexadecimal. */
static void
suspect_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    suspect_report_t report = {.revision = item->revision};
    if (!item->removed && text_copy(report.key, sizeof(report.key),
                                    item->key + sizeof(KEY_SUSPECTS) - 1)) {
        report.fingerprint = strtoull(item->value, NULL, 16);
        node_suspect_reported(node, &report, now_us);
    }
}

void
node_suspect_reported(node_t *node, const suspect_report_t *report,
                      int64_t now_us)
{
    size_t length = strlen(node->boot.daemon_name);
    bool own = strncmp(report->key, node->boot.daemon_name, length) == 0 &&
               report->key[length] == '/';
    if (suspect_log_add(&node->suspect_log, report) && !own) {
        engine_suspect(node->engine, report->fingerprint, now_us);
    }
}

static void
suspect_write(node_t *node, uint32_t slot)
{
    char key[LEASE_KEY_SIZE];
    char value[32];
    snprintf(key, sizeof(key), KEY_SUSPECTS "%s/%u", node->boot.daemon_name,
             slot);
    snprintf(value, sizeof(value), "%016" PRIx64,
             node->suspects[slot].fingerprint);
    if (!store_link_put(node->store, key, value, true)) {
        event_log(EVENT_INPUT_REFUSED, "key=%s cause=too_many_writes", key);
    }
}

void
node_report_suspect(void *owner, uint64_t fingerprint)
{
    node_t *node = owner;
    uint32_t slot = node->suspects_reported++ % SUSPECTS_MAX;
    node->suspects[slot] = (suspect_t){
        .fingerprint = fingerprint,
        .reported_us = loop_now_us(),
    };
    suspect_write(node, slot);
}

void
node_rewrite_suspects(node_t *node, int64_t now_us)
{
    for (uint32_t slot = 0;
         slot < SUSPECTS_MAX && slot < node->suspects_reported; slot++) {
        if (now_us - node->suspects[slot].reported_us < SUSPECT_LIFETIME_US) {
            suspect_write(node, slot);
        }
    }
}

static void
member_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    const char *name = item->key + sizeof(KEY_MEMBERS) - 1;
    bool own = strcmp(name, node->boot.daemon_name) == 0;
    if (item->removed) {
        if (own && !node->shutting_down) {
            store_link_restore_record(node->store, now_us);
        }
        else if (members_remove(&node->members, name, item->revision,
                                now_us)) {
            node_members_changed(node, name, "gone", now_us);
        }
        return;
    }
    if (members_put(&node->members, name, item->value, item->size,
                    item->revision, now_us)) {
        if (node->members_list_reading) {
            node->members_list_changed = true;
        }
        else {
            node_members_changed(node, name, "listed", now_us);
        }
    }
}

static void
fleet_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    if (strncmp(item->key, KEY_MEMBERS, sizeof(KEY_MEMBERS) - 1) == 0) {
        member_item(owner, item, now_us);
    }
    else if (strncmp(item->key, KEY_SUSPECTS, sizeof(KEY_SUSPECTS) - 1) == 0) {
        suspect_item(owner, item, now_us);
    }
}

static void
fleet_list_end(void *owner, int64_t now_us)
{
    node_t *node = owner;
    node->members_list_reading = false;
    node->members_listed = true;
    bool changed = members_list_end(&node->members, now_us);
    members_reset_tombstones(&node->members,
                             store_link_revision(node->store, KEY_FLEET));
    if (!node->shutting_down &&
        !members_has(&node->members, node->boot.daemon_name)) {
        store_link_restore_record(node->store, now_us);
        node_add_self(node, now_us);
    }
    if (changed || node->members_list_changed) {
        node->members_list_changed = false;
        node_members_changed(node, "-", "list", now_us);
    }
    else {
        node_apply_membership(node, now_us);
    }
}

const prefix_reader_t node_fleet_reader = {
    .list_begin = fleet_list_begin,
    .item = fleet_item,
    .list_end = fleet_list_end,
};
