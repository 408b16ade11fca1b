#include "daemon/clock.h"
#include "daemon/fleet_state.h"
#include "edge/event.h"
#include "edge/vmlist.h"
#include "fleet/partition_poll.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    PARTITION_POLL_US = 2000000,
    US_PER_MS = 1000,
    IDLE_SLEEP_MAX_US = 200000
};

bool
fleet_open_store(fleet_t *fleet, store_client_t *store)
{
    const settings_t *settings = fleet->settings.settings;
    error_t err = ERROR_INIT;
    status_t status =
        store_http_init(store, settings->store_url, settings->store_timeout_ms,
                        &fleet->counters, &err);
    if (status != STATUS_OK) {
        event_log(EVENT_STORE_DOWN, "%s", error_text(&err));
    }
    return status == STATUS_OK;
}

bool
fleet_is_store_answer(status_t status)
{
    return status == STATUS_OK || status == STATUS_NOT_FOUND ||
           status == STATUS_CONFLICT;
}

void
fleet_record_store_call(fleet_t *fleet, status_t status, error_t *err)
{
    pthread_mutex_lock(&fleet->lock);
    fleet_set_store_up(fleet, fleet_is_store_answer(status), err);
    pthread_mutex_unlock(&fleet->lock);
}

static void
read_roster(fleet_t *fleet, const store_client_t *store, const char *key)
{
    store_value_t value;
    error_t err = ERROR_INIT;
    status_t status = store_get(store, key, &value, &err);
    pthread_mutex_lock(&fleet->lock);
    roster_read_result(fleet->roster, status, value.modify_index, value.text,
                       value.size, clock_now_us());
    pthread_mutex_unlock(&fleet->lock);
    store_value_release(&value);
    fleet_record_store_call(fleet, status, &err);
}

static void
write_roster(fleet_t *fleet, const store_client_t *store, const char *key,
             roster_request_t *request)
{
    error_t err = ERROR_INIT;
    status_t status =
        store_cas_put(store, key, request->text, strlen(request->text),
                      request->index, &err);
    free(request->text);
    pthread_mutex_lock(&fleet->lock);
    roster_write_result(fleet->roster, status, clock_now_us());
    pthread_mutex_unlock(&fleet->lock);
    fleet_record_store_call(fleet, status, &err);
}

/* Make the roster's next call to the store, or sleep until one is due. */
static void
run_roster_step(fleet_t *fleet, const store_client_t *store, const char *key)
{
    roster_request_t request = {.text = NULL};
    pthread_mutex_lock(&fleet->lock);
    int64_t now_us = clock_now_us();
    roster_step_t step = roster_next(fleet->roster, now_us, &request);
    int64_t wait_us = roster_wakeup(fleet->roster, now_us) - now_us;
    pthread_mutex_unlock(&fleet->lock);
    if (step == ROSTER_READ) {
        read_roster(fleet, store, key);
    }
    else if (step == ROSTER_WRITE) {
        write_roster(fleet, store, key, &request);
    }
    else {
        fleet_sleep(fleet,
                    wait_us < IDLE_SLEEP_MAX_US ? wait_us : IDLE_SLEEP_MAX_US);
    }
}

void *
fleet_roster_main(void *context)
{
    fleet_t *fleet = context;
    store_client_t store;
    char key[STORE_KEY_MAX_BYTES];
    snprintf(key, sizeof(key), "yuccarun/roster/%u",
             fleet->settings.settings->group);
    if (!fleet_open_store(fleet, &store)) {
        return NULL;
    }
    while (!atomic_load(&fleet->stopping)) {
        run_roster_step(fleet, &store, key);
        fleet_record_cpu_time(fleet, FLEET_THREAD_ROSTER);
    }
    store_release(&store);
    return NULL;
}

/* Adopt a partition read from the store, and announce it if requested. */
static void
adopt_stored_partition(fleet_t *fleet, const partition_t *partition,
                       bool announce)
{
    if (announce) {
        fleet_announce_partition(fleet, partition);
    }
    else {
        fleet_adopt_partition(fleet, partition);
    }
}

static void
read_partition(fleet_t *fleet, const store_client_t *store,
               const char *service, bool announce)
{
    char key[STORE_KEY_MAX_BYTES];
    store_value_t value;
    partition_t partition = {.shard_count = 0};
    error_t err = ERROR_INIT;
    snprintf(key, sizeof(key), "yuccarun/shards/%s", service);
    if (store_get(store, key, &value, &err) == STATUS_OK) {
        if (partition_parse(service, value.text, value.size, &partition,
                            &err) == STATUS_OK) {
            adopt_stored_partition(fleet, &partition, announce);
            free(partition.shards);
        }
        else {
            event_log(EVENT_INPUT_REFUSED, "%s", error_text(&err));
        }
    }
    store_value_release(&value);
}

static bool
partition_is_known(fleet_t *fleet, const char *service)
{
    pthread_mutex_lock(&fleet->lock);
    bool known = topology_partition(fleet->topology, service) != NULL;
    pthread_mutex_unlock(&fleet->lock);
    return known;
}

static bool
is_watcher(fleet_t *fleet)
{
    pthread_mutex_lock(&fleet->lock);
    bool watcher =
        confsync_is_watcher(roster_members(fleet->roster), &fleet->members,
                            fleet->settings.settings->name);
    pthread_mutex_unlock(&fleet->lock);
    return watcher;
}

/* Read the partitions that are due in a round, see partition_poll.h. */
static void
read_partitions(fleet_t *fleet, const store_client_t *store, uint64_t round)
{
    config_t *config = fleet_current_config(fleet);
    bool watcher = is_watcher(fleet);
    for (size_t i = 0; config != NULL && i < config->row_count &&
                       !atomic_load(&fleet->stopping);
         i++) {
        const char *service = config->rows[i].service;
        bool known = partition_is_known(fleet, service);
        if (partition_poll_due(round, i, known, watcher)) {
            read_partition(fleet, store, service, known && watcher);
        }
    }
    config_put(config);
}

/* Record whether a read of the VM list succeeded, and log a change. */
static void
record_vmlist_call(fleet_t *fleet, bool up, error_t *err)
{
    pthread_mutex_lock(&fleet->lock);
    if (up != fleet->vmlist_up) {
        fleet->vmlist_up = up;
        event_log(up ? EVENT_VM_LIST_BACK : EVENT_VM_LIST_DOWN, "%s",
                  up ? "" : error_text(err));
    }
    pthread_mutex_unlock(&fleet->lock);
}

static void
read_vmlist(fleet_t *fleet, const vmlist_client_t *vmlist)
{
    upstream_info_t *upstreams;
    size_t count;
    error_t err = ERROR_INIT;
    status_t status = vmlist_fetch(vmlist, &upstreams, &count, &err);
    if (status == STATUS_OK) {
        fleet_set_upstreams(fleet, upstreams, count);
    }
    record_vmlist_call(fleet, status == STATUS_OK, &err);
}

void *
fleet_platform_main(void *context)
{
    fleet_t *fleet = context;
    const settings_t *settings = fleet->settings.settings;
    store_client_t store;
    vmlist_client_t vmlist;
    error_t err = ERROR_INIT;
    int64_t partitions_due_us = 0;
    uint64_t round = fleet->settings.incarnation % PARTITION_POLL_ROUNDS;
    if (!fleet_open_store(fleet, &store)) {
        return NULL;
    }
    if (vmlist_http_init(&vmlist, settings->vmlist_url,
                         settings->store_timeout_ms, NULL,
                         &err) != STATUS_OK) {
        event_log(EVENT_VM_LIST_DOWN, "%s", error_text(&err));
        store_release(&store);
        return NULL;
    }
    while (!atomic_load(&fleet->stopping)) {
        read_vmlist(fleet, &vmlist);
        if (clock_now_us() >= partitions_due_us) {
            read_partitions(fleet, &store, round++);
            partitions_due_us = clock_now_us() + PARTITION_POLL_US;
        }
        fleet_record_cpu_time(fleet, FLEET_THREAD_PLATFORM);
        fleet_sleep(fleet, (int64_t)settings->vmlist_poll_ms * US_PER_MS);
    }
    vmlist_release(&vmlist);
    store_release(&store);
    return NULL;
}
