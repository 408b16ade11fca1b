/* The daemons of the fleet, what each does, and what they suspect. */
#include "edge/event.h"
#include "platform/names.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Daemons beyond those that serve now, that shares allow for. */
    SERVING_SPARE = 2,
    /* A daemon that stands by takes one in so many of a full share. */
    STANDBY_PARTS = 4,
    LINK_AMPLE_MBPS = 100, /* Mbit/s; more makes no VM stronger */
    SUSPECTS_MAX = 16      /* fingerprints that a daemon names in the store */
};

/* How much the VM can carry: its processor, less where its link is narrow. */
static uint32_t
boot_weight(const boot_t *boot)
{
    /* A link whose width is not said is an ample one. */
    double link = boot->link_mbps > 0 && boot->link_mbps < LINK_AMPLE_MBPS
                      ? boot->link_mbps / LINK_AMPLE_MBPS
                      : 1;
    return (uint32_t)(boot->cpu_share * boot->cores * link * 1000);
}

/* This daemon's record; 0: callers do not connect to it. */
size_t
node_record(const node_t *node, char *text, size_t size)
{
    const boot_t *boot = &node->boot;
    return boot->has_callers
               ? member_record_write(text, size, boot->callers_address_text,
                                     boot->control_address_text, boot->zone,
                                     boot_weight(boot))
               : 0;
}

/* It is a member in its own eyes, whatever has reached the store of it. */
void
node_list_itself(node_t *node, int64_t now_us)
{
    char record[MEMBER_RECORD_SIZE];
    size_t size = node_record(node, record, sizeof(record));
    if (size > 0 && !node->leaving) {
        members_put(&node->members, node->boot.daemon_name, record, size, 0,
                    now_us);
    }
}

/* What depends on who the members are, and on whether this one serves. */
void
node_members_settle(node_t *node, int64_t now_us)
{
    uint32_t serving = members_choose(&node->members);
    member_role_t role = members_role(&node->members, node->boot.daemon_name);
    uint32_t fleet = members_fleet(&node->members, now_us);
    bool large = serving < node->members.count;
    if (large) {
        /* Who stands by sends next to nothing. */
        fleet = role != MEMBER_STANDS_BY ? serving + SERVING_SPARE
                                         : fleet * STANDBY_PARTS;
    }
    node->asks_peers = large && role != MEMBER_READS;
    pace_set(&node->pace, node->boot.drain_us, node->boot.converge_us, large);
    store_link_pace(node->store, KEY_UPSTREAMS, node->pace.read_us);
    store_link_pace(node->store, KEY_FLEET, node->pace.members_us);
    /* Those who are asked tell the others when the store is back. */
    store_link_retry(node->store,
                     node->asks_peers ? node->pace.read_us : FOLLOW_RETRY_US);
    if (fleet != node->fleet) {
        node->fleet = fleet;
        engine_set_fleet(node->engine, fleet, now_us);
    }
}

void
node_members_changed(node_t *node, const char *name, const char *change,
                     int64_t now_us)
{
    node->asked = 0; /* whoever did not answer may be replaced */
    node_members_settle(node, now_us);
    event_log(EVENT_MEMBERS,
              "daemon_name=%s change=%s members=%u serves=%d "
              "shares=%u",
              name, change, node->members.count,
              (int)members_role(&node->members, node->boot.daemon_name),
              node->fleet);
}

static void
members_list_began(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    node->members_listing = true;
    members_list_begin(&node->members);
}

/* What another daemon suspects: DAEMON/SLOT, and the fingerprint as value. */
static void
suspect_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    const char *daemon = item->key + sizeof(KEY_SUSPECTS) - 1;
    size_t length = strlen(node->boot.daemon_name);
    bool own = strncmp(daemon, node->boot.daemon_name, length) == 0 &&
               daemon[length] == '/';
    if (!item->removed && !own) {
        engine_suspect(node->engine, strtoull(item->value, NULL, 16), now_us);
    }
}

void
node_suspect(void *owner, uint64_t fingerprint)
{
    node_t *node = owner;
    char key[LEASE_KEY_SIZE];
    char value[32];
    snprintf(key, sizeof(key), KEY_SUSPECTS "%s/%u", node->boot.daemon_name,
             node->suspects++ % SUSPECTS_MAX);
    snprintf(value, sizeof(value), "%016" PRIx64, fingerprint);
    if (!store_link_put(node->store, key, value, true)) {
        event_log(EVENT_INPUT_REFUSED, "key=%s cause=too_many_writes", key);
    }
}

static void
member_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    const char *name = item->key + sizeof(KEY_MEMBERS) - 1;
    bool own = strcmp(name, node->boot.daemon_name) == 0;
    if (item->removed) {
        if (own && !node->leaving) {
            store_link_missing(node->store, now_us);
        }
        else if (members_remove(&node->members, name, item->revision,
                                now_us)) {
            node_members_changed(node, name, "gone", now_us);
        }
        return;
    }
    if (members_put(&node->members, name, item->value, item->size,
                    item->revision, now_us)) {
        if (node->members_listing) {
            node->members_listed = true;
        }
        else {
            node_members_changed(node, name, "listed", now_us);
        }
    }
}

static void
members_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    if (strncmp(item->key, KEY_MEMBERS, sizeof(KEY_MEMBERS) - 1) == 0) {
        member_item(owner, item, now_us);
    }
    else if (strncmp(item->key, KEY_SUSPECTS, sizeof(KEY_SUSPECTS) - 1) == 0) {
        suspect_item(owner, item, now_us);
    }
}

static void
members_list_ended(void *owner, int64_t now_us)
{
    node_t *node = owner;
    node->members_listing = false;
    bool changed = members_list_end(&node->members, now_us);
    members_list_read(&node->members,
                      store_link_revision(node->store, KEY_FLEET));
    if (!node->leaving &&
        !members_has(&node->members, node->boot.daemon_name)) {
        store_link_missing(node->store, now_us);
        node_list_itself(node, now_us);
    }
    if (changed || node->members_listed) {
        node->members_listed = false;
        node_members_changed(node, "-", "list", now_us);
    }
}

const store_reader_t node_members_reader = {
    .list_begin = members_list_began,
    .item = members_item,
    .list_end = members_list_ended,
};
