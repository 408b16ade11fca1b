#include "tier/store_link.h"

#include "edge/event.h"
#include "http/conn.h"
#include "http/loop_clock.h"
#include "http/message.h"
#include "platform/header_values.h"
#include "platform/names.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CHANNELS_MAX = 6, /* followed prefixes */
    RECORD_SIZE = 256,
    WRITES_MAX = 16, /* in the queue */
    WRITE_RETRY_US = 500000,
    /* Timeout of a call, without the time for which a watch stays open. The
       store responds within milliseconds, or 250 ms when it is slow. */
    STORE_CALL_TIMEOUT_US = 1500000,
    ANSWER_BODY_MAX = 8 << 20, /* a page of a list or a batch of changes */
    /* Bytes of the unfinished answers to all calls together. */
    ANSWERS_MAX = 16 << 20,
    ANSWER_HEADER_MAX = 16 << 10,
    /* TCP keepalive. The connection of an open watch may be lost without
       notice, and a change must be known within three seconds. */
    PROBE_IDLE_S = 1,
    PROBE_INTERVAL_S = 1,
    PROBE_COUNT = 2,
    /* Without a valid read for this time, responses of an older era count as
       an outage: they are not just late. */
    OLD_ERA_OUTAGE_US = 2000000,
    STATUS_RATE_LIMITED = 429
};

typedef enum { CHANNEL_FOLLOW, CHANNEL_LEASE, CHANNEL_WRITE } channel_use_t;

/* A queued write. */
typedef struct {
    char key[LEASE_KEY_SIZE];
    char *value;
    bool leased; /* attached to the lease of this daemon's record */
    bool conditional;
    uint64_t revision; /* of the key, if conditional */
} write_t;

/* One connection to the store, with at most one call in flight. */
typedef struct {
    store_link_t *store;
    channel_use_t use;
    conn_t conn;
    http_reader_t reader;
    bool busy;           /* a call is in flight */
    int64_t sent_us;     /* of the call in flight */
    int64_t deadline_us; /* of the call in flight */
    /* Only for CHANNEL_FOLLOW. */
    follow_t follow;
    const prefix_reader_t *prefix_reader;
    void *prefix_reader_owner;
} channel_t;

struct store_link {
    struct ev_loop *loop;
    struct sockaddr_in address;
    store_ops_t ops;
    void *owner;
    channel_t channels[CHANNELS_MAX];
    uint32_t channel_count;
    channel_t lease_channel;
    channel_t write_channel;
    write_t writes[WRITES_MAX]; /* the first is in flight if write_channel is
                                   busy */
    uint32_t write_count;
    int64_t write_due_us;
    lease_t lease;
    bool has_record;    /* store_link_register was called */
    bool logged_no_era; /* that the store stopped to report its era */
    char record[RECORD_SIZE];
    char host[64];
    store_health_t health;
    store_link_stats_t stats;
};

static const http_limits_t answer_limits = {
    .max_header_bytes = ANSWER_HEADER_MAX,
    .max_body_bytes = ANSWER_BODY_MAX,
};

static void
channel_init(channel_t *channel, store_link_t *store, channel_use_t use)
{
    *channel = (channel_t){.store = store, .use = use};
    channel->conn.fd = -1;
    http_reader_init(&channel->reader, HTTP_RESPONSES, &answer_limits);
}

static void
store_mark_reachable(store_link_t *store, int64_t now_us)
{
    int64_t away_us;
    store->stats.last_answer_us = now_us;
    if (!store_health_answered(&store->health, &away_us, now_us)) {
        return;
    }
    store->stats.reachable = true;
    store->ops.reachable(store->owner, away_us, now_us);
    store->lease.due_us = now_us;
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channel_t *channel = &store->channels[i];
        if (channel->busy && channel->follow.watching &&
            channel->follow.settings.long_poll_us > 0) {
            /* A watch opened before the outage may never be answered. */
            conn_close(&channel->conn);
            channel->busy = false;
            follow_failed(&channel->follow, false, now_us);
            channel->follow.due_us = now_us;
        }
    }
}

static void
write_dequeue(store_link_t *store)
{
    free(store->writes[0].value);
    store->write_count--;
    memmove(&store->writes[0], &store->writes[1],
            store->write_count * sizeof(store->writes[0]));
}

/* The conditional write at the head of the queue has ended. */
static void
write_end_conditional(store_link_t *store, bool done, uint64_t revision,
                      int64_t now_us)
{
    char key[LEASE_KEY_SIZE];
    memcpy(key, store->writes[0].key, sizeof(key));
    write_dequeue(store);
    if (store->ops.wrote != NULL) {
        store->ops.wrote(store->owner, key, done, revision, now_us);
    }
}

static void
write_failed(store_link_t *store, int64_t now_us)
{
    if (store->write_count > 0 && store->writes[0].conditional) {
        write_end_conditional(store, false, 0, now_us);
        return;
    }
    store->write_due_us = now_us + WRITE_RETRY_US;
}

/* Make the next read of the first channel due, to learn whether the store
   answers. */
static void
store_read_now(store_link_t *store, int64_t now_us)
{
    follow_t *follow = &store->channels[0].follow;
    follow_pause_until(follow, now_us);
    follow->due_us = now_us;
}

/* The channel's read has failed, by a refusal or without a response. */
static void
store_read_failed(channel_t *channel, const char *why, uint32_t status,
                  int64_t now_us)
{
    store_link_t *store = channel->store;
    const store_failure_t failure = {
        .sent_us = channel->sent_us,
        .rate_limited = status == STATUS_RATE_LIMITED,
    };
    bool doubtful = store->health.doubtful;
    store->stats.failures++;
    follow_failed(&channel->follow, false, now_us);
    if (store_health_failed(&store->health, &failure, now_us)) {
        store->stats.reachable = false;
        store->ops.unreachable(store->owner, why, now_us);
    }
    else if (store->health.doubtful && !doubtful) {
        event_log(EVENT_STORE_DOUBTED, "cause=%s prefix=%s open_ms=%" PRId64,
                  why, channel->follow.settings.prefix,
                  (now_us - channel->sent_us) / 1000);
        if (status == 0) {
            store_read_now(store, now_us);
        }
    }
}

static void
channel_failed(channel_t *channel, const char *why, int64_t now_us)
{
    conn_close(&channel->conn);
    http_reader_next(&channel->reader);
    if (!channel->busy) {
        return;
    }
    channel->busy = false;
    store_link_t *store = channel->store;
    if (channel->use == CHANNEL_FOLLOW) {
        store_read_failed(channel, why, 0, now_us);
        return;
    }
    /* A failed write does not show that reads fail too: the store still
       counts as reachable. */
    store->stats.failures++;
    if (channel->use == CHANNEL_LEASE) {
        lease_failed(&store->lease, now_us);
    }
    else {
        write_failed(store, now_us);
    }
}

/* After a response with the complete changes of all prefixes, move the other
   channels past those changes. Channels that it covers follow it in any case:
   the next response has the rest. */
static void
follow_skip_delivered(const channel_t *channel, uint64_t from,
                      const kv_response_t *response)
{
    store_link_t *store = channel->store;
    if (!channel->follow.settings.all_prefixes) {
        return;
    }
    for (uint32_t i = 0; i < store->channel_count; i++) {
        follow_t *follow = &store->channels[i].follow;
        if (follow->settings.covered || response->count < FOLLOW_BATCH_FULL) {
            follow_advance(follow, from, channel->follow.revision);
        }
    }
}

static void
follow_deliver(channel_t *channel, const kv_response_t *response,
               int64_t now_us)
{
    uint64_t from = channel->follow.revision;
    follow_step_t step = follow_response(&channel->follow, response, now_us);
    const prefix_reader_t *prefix_reader = channel->prefix_reader;
    if (step == FOLLOW_LIST_FIRST || step == FOLLOW_LIST_WHOLE) {
        prefix_reader->list_begin(channel->prefix_reader_owner, now_us);
    }
    for (size_t i = 0; i < response->count; i++) {
        prefix_reader->item(channel->prefix_reader_owner, &response->items[i],
                            now_us);
    }
    if (step == FOLLOW_LIST_LAST || step == FOLLOW_LIST_WHOLE) {
        prefix_reader->list_end(channel->prefix_reader_owner, now_us);
    }
    if (step == FOLLOW_CHANGES) {
        follow_skip_delivered(channel, from, response);
    }
    if (prefix_reader->answered != NULL) {
        prefix_reader->answered(channel->prefix_reader_owner, now_us);
    }
}

static void
write_answered(store_link_t *store, uint32_t status,
               const kv_response_t *response, int64_t now_us)
{
    if (store->writes[0].conditional) {
        write_end_conditional(store, status == 200, response->revision,
                              now_us);
        return;
    }
    if (status == 200 || status == 404) {
        /* 404: the lease of the write has ended, and the write is obsolete. */
        write_dequeue(store);
        return;
    }
    store->write_due_us = now_us + WRITE_RETRY_US;
}

static bool
write_build_call(store_link_t *store, kv_call_t *call, int64_t now_us)
{
    if (store->write_count == 0 || now_us < store->write_due_us) {
        return false;
    }
    const write_t *write = &store->writes[0];
    if (write->leased && store->lease.lease_id == 0) {
        return false;
    }
    if (write->conditional) {
        return kv_call_put_if(call, write->key, write->value,
                              strlen(write->value), write->revision);
    }
    return kv_call_put(call, write->key, write->value, strlen(write->value),
                       write->leased ? store->lease.lease_id : 0);
}

/* Queue a write in place of a queued one of the same key; NULL: it does not
   fit. */
static write_t *
write_enqueue(store_link_t *store, const char *key, const char *value)
{
    uint32_t slot = store->write_channel.busy ? 1 : 0;
    while (slot < store->write_count &&
           strcmp(store->writes[slot].key, key) != 0) {
        slot++;
    }
    if (slot == WRITES_MAX) {
        return NULL;
    }
    char *copy = strdup(value);
    if (copy == NULL) {
        return NULL;
    }
    write_t *write = &store->writes[slot];
    if (slot < store->write_count) {
        free(write->value);
    }
    else {
        store->write_count++;
    }
    write->value = copy;
    snprintf(write->key, sizeof(write->key), "%s", key);
    return write;
}

bool
store_link_put(store_link_t *store, const char *key, const char *value,
               bool leased)
{
    write_t *write = write_enqueue(store, key, value);
    if (write != NULL) {
        write->leased = leased;
        write->conditional = false;
    }
    return write != NULL;
}

bool
store_link_put_if(store_link_t *store, const char *key, const char *value,
                  uint64_t revision)
{
    write_t *write = write_enqueue(store, key, value);
    if (write != NULL) {
        write->leased = false;
        write->conditional = true;
        write->revision = revision;
    }
    return write != NULL;
}

/* The store has risen to an era: drop what was read and all calls in flight,
   list all prefixes again and get a new lease. */
static void
store_restored(store_link_t *store, uint64_t era, int64_t now_us)
{
    uint64_t from_era = store->stats.era;
    store->stats.era = era;
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channel_t *channel = &store->channels[i];
        if (channel->busy) {
            conn_close(&channel->conn);
            channel->busy = false;
        }
        follow_restart(&channel->follow, now_us);
    }
    if (store->lease_channel.busy) {
        conn_close(&store->lease_channel.conn);
        store->lease_channel.busy = false;
    }
    if (store->has_record) {
        lease_restart(&store->lease, now_us);
    }
    if (store->write_channel.busy) {
        conn_close(&store->write_channel.conn);
        store->write_channel.busy = false;
    }
    store->write_due_us = now_us;
    store->ops.restored(store->owner, from_era, era, now_us);
}

typedef enum {
    ERA_CURRENT,
    ERA_RISEN, /* the response belongs to calls that were dropped */
    ERA_OLD    /* the response is older than one received before */
} era_status_t;

/* Compare the era of a response with the latest one and act on a rise. A
   response without a readable era counts as current. */
static era_status_t
store_check_era(store_link_t *store, const http_message_t *message,
                int64_t now_us)
{
    const char *text = http_header_find(message, HEADER_STORE_ERA);
    uint64_t era;
    header_status_t status = header_parse_store_era(text, &era);
    if (status != HEADER_VALID) {
        if (store->stats.era > 0 && !store->logged_no_era) {
            store->logged_no_era = true;
            event_log(EVENT_INPUT_REFUSED,
                      "key=%s era=%" PRIu64 " value=%.32s cause=%s",
                      HEADER_STORE_ERA, store->stats.era,
                      text != NULL ? text : "-",
                      status == HEADER_ABSENT ? "missing" : "not_readable");
        }
        return ERA_CURRENT;
    }
    store->logged_no_era = false;
    if (era == store->stats.era) {
        return ERA_CURRENT;
    }
    if (era < store->stats.era) {
        event_log(EVENT_INPUT_REFUSED,
                  "key=%s era=%" PRIu64 " value=%" PRIu64 " cause=older",
                  HEADER_STORE_ERA, store->stats.era, era);
        return ERA_OLD;
    }
    if (store->stats.last_answer_us == 0 && store->lease.lease_id == 0) {
        store->stats.era = era; /* nothing was read before */
        return ERA_CURRENT;
    }
    store_restored(store, era, now_us);
    return ERA_RISEN;
}

/* Repeat a call whose response is of an older era. */
static void
channel_reject_old_era(channel_t *channel, int64_t now_us)
{
    store_link_t *store = channel->store;
    if (channel->use == CHANNEL_FOLLOW &&
        now_us - store->stats.last_answer_us > OLD_ERA_OUTAGE_US) {
        channel_failed(channel, "older_era", now_us);
        return;
    }
    conn_close(&channel->conn);
    channel->busy = false;
    store->stats.failures++;
    if (channel->use == CHANNEL_FOLLOW) {
        follow_failed(&channel->follow, false, now_us);
    }
    else if (channel->use == CHANNEL_LEASE) {
        lease_failed(&store->lease, now_us);
    }
    else {
        store->write_due_us = now_us + WRITE_RETRY_US;
    }
}

/* The changes that the channel with all prefixes has missed may concern the
   prefixes that it covers. */
static void
store_relist_covered(store_link_t *store, int64_t now_us)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channel_t *channel = &store->channels[i];
        if (channel->follow.settings.covered && !channel->busy) {
            follow_restart(&channel->follow, now_us);
        }
    }
}

/* List the prefix again, since its changes cannot be had. */
static void
channel_relist(channel_t *channel, int64_t now_us)
{
    follow_failed(&channel->follow, true, now_us);
    if (channel->follow.settings.all_prefixes) {
        store_relist_covered(channel->store, now_us);
    }
}

static void
channel_answered(channel_t *channel, int64_t now_us)
{
    store_link_t *store = channel->store;
    const http_message_t *message = &channel->reader.message;
    uint32_t status = message->status;
    era_status_t era = store_check_era(store, message, now_us);
    if (era != ERA_CURRENT) {
        if (era == ERA_OLD) {
            channel_reject_old_era(channel, now_us);
        }
        return;
    }
    kv_response_t response = {0};
    bool parsed =
        kv_response_parse(&response, (const char *)buffer_data(&message->body),
                          buffer_size(&message->body));
    kv_response_set_era(&response, store->stats.era);
    channel->busy = false;
    if (channel->use == CHANNEL_WRITE) {
        write_answered(store, status, &response, now_us);
    }
    else if (channel->use == CHANNEL_LEASE) {
        if (status == 200 && !parsed) {
            lease_failed(&store->lease, now_us);
        }
        else {
            lease_response(&store->lease, status, &response, now_us);
        }
    }
    else if (status == 200 && parsed) {
        store_mark_reachable(store, now_us);
        follow_deliver(channel, &response, now_us);
    }
    else if (status == 410) {
        store_mark_reachable(store, now_us);
        channel_relist(channel, now_us);
    }
    else {
        char why[32];
        snprintf(why, sizeof(why), "status_%u", status);
        store_read_failed(channel, why, status, now_us);
    }
    kv_response_release(&response);
}

/* If the unfinished answers take too much memory together, give up the call
   with the longest one. */
static void
store_bound_answers(store_link_t *store, int64_t now_us)
{
    channel_t *channels[CHANNELS_MAX + 2];
    uint32_t count = 0;
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channels[count++] = &store->channels[i];
    }
    channels[count++] = &store->lease_channel;
    channels[count++] = &store->write_channel;
    channel_t *longest = channels[0];
    size_t total = 0;
    size_t most = 0;
    for (uint32_t i = 0; i < count; i++) {
        size_t held = http_message_size(&channels[i]->reader.message);
        total += held;
        if (held > most) {
            most = held;
            longest = channels[i];
        }
    }
    if (total > ANSWERS_MAX) {
        channel_failed(longest, "too_large", now_us);
    }
}

static void
channel_data(conn_t *conn, const char *bytes, size_t size)
{
    channel_t *channel = conn->owner;
    int64_t now_us = loop_now_us();
    size_t used = 0;
    if (!channel->busy) {
        conn_close(conn);
        return;
    }
    http_state_t state =
        http_reader_feed(&channel->reader, bytes, size, &used);
    if (state == HTTP_INCOMPLETE) {
        store_bound_answers(channel->store, now_us);
        return;
    }
    if (state == HTTP_BODY_TOO_LARGE && channel->follow.watching) {
        /* The changes are in one response, however many there are; a list
           comes in pages. */
        conn_close(conn);
        channel->busy = false;
        channel_relist(channel, now_us);
        return;
    }
    if (state != HTTP_DONE || used < size) {
        channel_failed(channel, "garbled", now_us);
        return;
    }
    if (!channel->reader.message.keep_alive) {
        conn_close(conn);
    }
    channel_answered(channel, now_us);
    http_reader_next(&channel->reader);
    store_link_tick(channel->store, now_us);
}

static void
channel_disconnected(conn_t *conn, bool clean)
{
    channel_t *channel = conn->owner;
    (void)clean;
    channel_failed(channel, conn->connecting ? "connect" : "closed",
                   loop_now_us());
}

static const conn_ops_t channel_ops = {
    .data = channel_data,
    .disconnected = channel_disconnected,
};

static void
channel_send(channel_t *channel, kv_call_t *call, store_call_kind_t kind,
             int64_t wait_us, int64_t now_us)
{
    store_link_t *store = channel->store;
    channel->busy = true;
    channel->sent_us = now_us;
    channel->deadline_us = now_us + wait_us + STORE_CALL_TIMEOUT_US;
    store->stats.calls[kind]++;
    if (!conn_is_open(&channel->conn)) {
        if (!conn_open(&channel->conn, store->loop, &store->address,
                       &channel_ops, channel)) {
            channel_failed(channel, "connect", now_us);
            return;
        }
        conn_enable_keepalive(&channel->conn, PROBE_IDLE_S, PROBE_INTERVAL_S,
                              PROBE_COUNT);
    }
    http_reader_next(&channel->reader);
    char head[KV_TARGET_SIZE + 256];
    size_t body_size = call->body != NULL ? strlen(call->body) : 0;
    int size = snprintf(head, sizeof(head), "%s %s HTTP/1.1\r\nHost: %s\r\n",
                        call->method, call->target, store->host);
    if (body_size > 0) {
        size += snprintf(head + size, sizeof(head) - (size_t)size,
                         "Content-Type: application/json\r\n"
                         "Content-Length: %zu\r\n",
                         body_size);
    }
    size += snprintf(head + size, sizeof(head) - (size_t)size, "\r\n");
    struct iovec pieces[] = {{head, (size_t)size}, {call->body, body_size}};
    if (!conn_writev(&channel->conn, pieces, 2)) {
        channel_failed(channel, "write", now_us);
    }
}

/*
 * While the store is unreachable, only the first channel calls it: the other
 * channels would learn nothing more, and each call has a cost. Until the
 * first valid response to a read, all channels call it.
 */
static bool
channel_is_paused(const channel_t *channel)
{
    const store_link_t *store = channel->store;
    return !store->stats.reachable && store->stats.last_answer_us != 0 &&
           store->channel_count > 0 && channel != &store->channels[0];
}

static void
channel_tick(channel_t *channel, int64_t now_us)
{
    store_link_t *store = channel->store;
    if (channel->busy) {
        if (now_us >= channel->deadline_us) {
            channel_failed(channel, "timeout", now_us);
        }
        return;
    }
    if (channel_is_paused(channel)) {
        return;
    }
    kv_call_t call = {0};
    if (channel->use == CHANNEL_WRITE) {
        if (write_build_call(store, &call, now_us)) {
            channel_send(channel, &call, STORE_CALL_WRITE, 0, now_us);
        }
    }
    else if (channel->use == CHANNEL_FOLLOW) {
        if (follow_next_call(&channel->follow, &call, now_us)) {
            channel_send(channel, &call,
                         channel->follow.watching ? STORE_CALL_WATCH
                                                  : STORE_CALL_LIST,
                         channel->follow.watching
                             ? channel->follow.settings.long_poll_us
                             : 0,
                         now_us);
        }
    }
    else if (store->has_record &&
             lease_next_call(&store->lease, store->record,
                             strlen(store->record), &call, now_us)) {
        channel_send(channel, &call,
                     store->lease.pending == LEASE_WRITE ? STORE_CALL_WRITE
                                                         : STORE_CALL_LEASE,
                     0, now_us);
    }
    kv_call_release(&call);
}

void
store_link_tick(store_link_t *store, int64_t now_us)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channel_tick(&store->channels[i], now_us);
    }
    channel_tick(&store->lease_channel, now_us);
    channel_tick(&store->write_channel, now_us);
}

static void
store_set_host(store_link_t *store)
{
    uint32_t ip = ntohl(store->address.sin_addr.s_addr);
    snprintf(store->host, sizeof(store->host), "%u.%u.%u.%u:%u", ip >> 24,
             ip >> 16 & 255, ip >> 8 & 255, ip & 255,
             ntohs(store->address.sin_port));
}

store_link_t *
store_link_new(struct ev_loop *loop, const struct sockaddr_in *address,
               const store_ops_t *ops, void *owner)
{
    store_link_t *store = calloc(1, sizeof(*store));
    if (store == NULL) {
        return NULL;
    }
    store->loop = loop;
    store->address = *address;
    store->ops = *ops;
    store->owner = owner;
    channel_init(&store->lease_channel, store, CHANNEL_LEASE);
    channel_init(&store->write_channel, store, CHANNEL_WRITE);
    store_set_host(store);
    return store;
}

void
store_link_set_address(store_link_t *store, const struct sockaddr_in *address,
                       int64_t now_us)
{
    store->address = *address;
    store_set_host(store);
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channel_failed(&store->channels[i], "moved", now_us);
    }
    channel_failed(&store->lease_channel, "moved", now_us);
    channel_failed(&store->write_channel, "moved", now_us);
}

bool
store_link_follow(store_link_t *store, const follow_settings_t *settings,
                  const prefix_reader_t *reader, void *owner)
{
    if (store->channel_count == CHANNELS_MAX) {
        return false;
    }
    channel_t *channel = &store->channels[store->channel_count++];
    channel_init(channel, store, CHANNEL_FOLLOW);
    channel->prefix_reader = reader;
    channel->prefix_reader_owner = owner;
    follow_init(&channel->follow, settings);
    return true;
}

void
store_link_set_poll_interval(store_link_t *store, const char *prefix,
                             int64_t interval_us)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        follow_t *follow = &store->channels[i].follow;
        if (strcmp(follow->settings.prefix, prefix) == 0) {
            follow->settings.pause_us = interval_us;
        }
    }
}

void
store_link_set_covered(store_link_t *store, const char *prefix, bool covered)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        follow_t *follow = &store->channels[i].follow;
        if (strcmp(follow->settings.prefix, prefix) == 0) {
            follow->settings.covered = covered;
        }
    }
}

void
store_link_set_retry_delay(store_link_t *store, int64_t retry_us)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        store->channels[i].follow.settings.retry_us = retry_us;
    }
}

uint64_t
store_link_revision(const store_link_t *store, const char *prefix)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        const follow_t *follow = &store->channels[i].follow;
        if (strcmp(follow->settings.prefix, prefix) == 0) {
            return follow->watching ? follow->revision : 0;
        }
    }
    return 0;
}

void
store_link_pause_polling(store_link_t *store, const char *prefix,
                         int64_t until_us)
{
    for (uint32_t i = 0; i < store->channel_count; i++) {
        follow_t *follow = &store->channels[i].follow;
        if (strcmp(follow->settings.prefix, prefix) == 0) {
            follow_pause_until(follow, until_us);
        }
    }
}

void
store_link_retry_now(store_link_t *store, int64_t now_us)
{
    if (!store->stats.reachable && store->channel_count > 0) {
        store_read_now(store, now_us);
    }
}

void
store_link_register(store_link_t *store, const char *key, const char *record,
                    int64_t ttl_us)
{
    if (store->lease_channel.busy) {
        conn_close(&store->lease_channel.conn);
        store->lease_channel.busy = false;
    }
    snprintf(store->record, sizeof(store->record), "%s", record);
    lease_init(&store->lease, key, ttl_us);
    store->has_record = true;
}

void
store_link_set_renewals(store_link_t *store, uint32_t renewals)
{
    lease_set_renewals(&store->lease, renewals);
}

void
store_link_restore_record(store_link_t *store, int64_t now_us)
{
    if (store->has_record) {
        lease_record_missing(&store->lease, now_us);
    }
}

void
store_link_deregister(store_link_t *store, int64_t now_us)
{
    if (store->has_record) {
        lease_revoke(&store->lease, now_us);
    }
}

bool
store_link_is_deregistered(const store_link_t *store)
{
    return !store->has_record || store->lease.ended;
}

const store_link_stats_t *
store_link_stats(const store_link_t *store)
{
    return &store->stats;
}

static void
channel_release(channel_t *channel)
{
    conn_close(&channel->conn);
    http_reader_release(&channel->reader);
}

void
store_link_free(store_link_t *store)
{
    if (store == NULL) {
        return;
    }
    for (uint32_t i = 0; i < store->channel_count; i++) {
        channel_release(&store->channels[i]);
    }
    channel_release(&store->lease_channel);
    channel_release(&store->write_channel);
    while (store->write_count > 0) {
        write_dequeue(store);
    }
    free(store);
}
