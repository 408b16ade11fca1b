#include "t/lib/tier_store.h"

#include "core/text.h"
#include "daemon/clock.h"
#include "http/server.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    KEYS_MAX = 512,
    LEASES_MAX = 512,
    WATCHES_MAX = 64,
    KEY_SIZE = 256,
    PREFIXES_MAX = 8
};

typedef struct {
    char key[KEY_SIZE];
    char *base64; /* NULL: removed */
    char *value;
    uint64_t revision;
    uint64_t lease;
} item_t;

typedef struct {
    uint64_t id;
    int64_t ttl_us;
    int64_t expires_us;
} lease_row_t;

typedef struct {
    exchange_t *exchange;
    char prefix[KEY_SIZE];
    uint64_t after;
    int64_t until_us;
} watch_t;

typedef struct {
    char prefix[KEY_SIZE];
    uint32_t lists;
    uint32_t watches;
} read_counts_t;

/* What a backup contains. */
typedef struct {
    item_t items[KEYS_MAX];
    uint32_t item_count;
    lease_row_t leases[LEASES_MAX];
    uint32_t lease_count;
    uint64_t revision;
    uint64_t next_lease;
} content_t;

struct tier_store {
    struct ev_loop *loop;
    http_server_t *server;
    tier_store_mode_t mode;
    content_t now;
    content_t backup;
    uint64_t era;
    const char *era_text;
    tier_store_call_t next_poll;
    watch_t watches[WATCHES_MAX];
    uint32_t watch_count;
    uint32_t calls;
    uint32_t page_size;
    read_counts_t reads[PREFIXES_MAX];
    ev_timer tick;
};

static const char base64_digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
base64_encode(const char *text)
{
    size_t size = strlen(text);
    char *out = calloc(1, (size + 2) / 3 * 4 + 1);
    for (size_t i = 0, o = 0; i < size; i += 3, o += 4) {
        uint32_t word = 0;
        for (size_t j = 0; j < 3; j++) {
            word = word << 8 | (i + j < size ? (uint8_t)text[i + j] : 0);
        }
        for (size_t j = 0; j < 4; j++) {
            out[o + j] =
                i + j > size ? '=' : base64_digits[word >> (18 - 6 * j) & 63];
        }
    }
    return out;
}

static char *
base64_decode(const char *text)
{
    size_t size = strlen(text);
    char *out = calloc(1, size + 1);
    size_t length = 0;
    uint32_t word = 0;
    for (size_t i = 0; i < size && text[i] != '='; i++) {
        word = word << 6 |
               (uint32_t)(strchr(base64_digits, text[i]) - base64_digits);
        if (i % 4 != 0) {
            out[length++] = (char)(word >> (6 - 2 * (i % 4)));
        }
    }
    return out;
}

static item_t *
item_get_or_add(tier_store_t *store, const char *key)
{
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        if (strcmp(store->now.items[i].key, key) == 0) {
            return &store->now.items[i];
        }
    }
    if (store->now.item_count == KEYS_MAX) {
        abort();
    }
    item_t *item = &store->now.items[store->now.item_count++];
    (void)text_copy(item->key, sizeof(item->key), key);
    return item;
}

static json_t *
item_json(const item_t *item)
{
    if (item->base64 == NULL) {
        return json_pack("{s:s, s:I, s:b}", "key", item->key, "rev",
                         (json_int_t)item->revision, "deleted", 1);
    }
    return json_pack("{s:s, s:s, s:I, s:I}", "key", item->key, "value",
                     item->base64, "rev", (json_int_t)item->revision, "lease",
                     (json_int_t)item->lease);
}

static void
answer_json(const tier_store_t *store, exchange_t *exchange, uint32_t status,
            json_t *body)
{
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : strdup("{}");
    char header[64];
    if (store->era_text == NULL) {
        snprintf(header, sizeof(header), "Store-Era: %" PRIu64 "\r\n",
                 store->era);
    }
    else {
        snprintf(header, sizeof(header), "%s%s%s",
                 store->era_text[0] != '\0' ? "Store-Era: " : "",
                 store->era_text, store->era_text[0] != '\0' ? "\r\n" : "");
    }
    http_response_t out = {
        .status = status,
        .headers = header,
        .headers_size = strlen(header),
        .body = text,
        .body_size = strlen(text),
    };
    exchange_respond(exchange, &out);
    free(text);
    json_decref(body);
}

/* The changes under a prefix after a revision; NULL: none. */
static json_t *
changes_since(const tier_store_t *store, const char *prefix, uint64_t after)
{
    json_t *events = json_array();
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        const item_t *item = &store->now.items[i];
        if (item->revision > after &&
            strncmp(item->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(events, item_json(item));
        }
    }
    if (json_array_size(events) == 0) {
        json_decref(events);
        return NULL;
    }
    return events;
}

static void
answer_watch(tier_store_t *store, exchange_t *exchange, json_t *events)
{
    answer_json(store, exchange, 200,
                json_pack("{s:o, s:I}", "events",
                          events != NULL ? events : json_array(),
                          "current_rev", (json_int_t)store->now.revision));
}

static void
watches_serve(tier_store_t *store)
{
    if (store->mode == TIER_STORE_WATCHES_LOST) {
        return;
    }
    int64_t now_us = clock_now_us();
    for (uint32_t i = store->watch_count; i-- > 0;) {
        watch_t watch = store->watches[i];
        json_t *events = changes_since(store, watch.prefix, watch.after);
        if (events != NULL || now_us >= watch.until_us) {
            store->watches[i] = store->watches[--store->watch_count];
            answer_watch(store, watch.exchange, events);
        }
    }
}

static void
item_set(tier_store_t *store, const char *key, char *value, uint64_t lease)
{
    item_t *item = item_get_or_add(store, key);
    free(item->base64);
    free(item->value);
    item->value = value;
    item->base64 = value != NULL ? base64_encode(value) : NULL;
    item->lease = lease;
    item->revision = ++store->now.revision;
}

void
tier_store_put(tier_store_t *store, const char *key, const char *value)
{
    item_set(store, key, strdup(value), 0);
    watches_serve(store);
}

void
tier_store_remove(tier_store_t *store, const char *key)
{
    item_set(store, key, NULL, 0);
    watches_serve(store);
}

const char *
tier_store_get(const tier_store_t *store, const char *key)
{
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        if (strcmp(store->now.items[i].key, key) == 0) {
            return store->now.items[i].value;
        }
    }
    return NULL;
}

int64_t
tier_store_lease_ttl_ms(const tier_store_t *store, const char *key)
{
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        const item_t *item = &store->now.items[i];
        for (uint32_t j = 0;
             strcmp(item->key, key) == 0 && j < store->now.lease_count; j++) {
            if (store->now.leases[j].id == item->lease) {
                return store->now.leases[j].ttl_us / 1000;
            }
        }
    }
    return 0;
}

uint32_t
tier_store_calls(const tier_store_t *store)
{
    return store->calls;
}

static void
lease_end(tier_store_t *store, uint32_t row)
{
    uint64_t id = store->now.leases[row].id;
    store->now.leases[row] = store->now.leases[--store->now.lease_count];
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        if (store->now.items[i].lease == id &&
            store->now.items[i].value != NULL) {
            item_set(store, store->now.items[i].key, NULL, 0);
        }
    }
}

static void
tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    tier_store_t *store = timer->data;
    int64_t now_us = clock_now_us();
    for (uint32_t i = store->now.lease_count; i-- > 0;) {
        if (now_us >= store->now.leases[i].expires_us) {
            lease_end(store, i);
        }
    }
    watches_serve(store);
}

/* Copy a parameter of the target's query to out; "" if it is missing. */
static void
query_parameter(const char *target, const char *name, char *out, size_t size)
{
    char wanted[32];
    snprintf(wanted, sizeof(wanted), "%s=", name);
    const char *found = strstr(target, wanted);
    out[0] = '\0';
    if (found != NULL) {
        found += strlen(wanted);
        snprintf(out, size, "%.*s", (int)strcspn(found, "&"), found);
    }
}

static read_counts_t *
reads_get_or_add(tier_store_t *store, const char *prefix)
{
    for (uint32_t i = 0; i < PREFIXES_MAX; i++) {
        read_counts_t *reads = &store->reads[i];
        if (reads->prefix[0] == '\0') {
            (void)text_copy(reads->prefix, sizeof(reads->prefix), prefix);
        }
        if (strcmp(reads->prefix, prefix) == 0) {
            return reads;
        }
    }
    abort();
}

uint32_t
tier_store_list_calls(tier_store_t *store, const char *prefix)
{
    return reads_get_or_add(store, prefix)->lists;
}

uint32_t
tier_store_watch_calls(tier_store_t *store, const char *prefix)
{
    return reads_get_or_add(store, prefix)->watches;
}

void
tier_store_set_page_size(tier_store_t *store, uint32_t items)
{
    store->page_size = items;
}

/* Resolve the escapes of a URL in place. */
static void
unescape(char *text)
{
    char *out = text;
    for (unsigned byte; *text != '\0'; text++) {
        if (*text == '%' && sscanf(text + 1, "%2x", &byte) == 1) {
            *out++ = (char)byte;
            text += 2;
        }
        else {
            *out++ = *text;
        }
    }
    *out = '\0';
}

/* The item under the prefix with the least key after that one; NULL: none. */
static const item_t *
item_after(const tier_store_t *store, const char *prefix, const char *after)
{
    const item_t *least = NULL;
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        const item_t *item = &store->now.items[i];
        if (item->base64 != NULL &&
            strncmp(item->key, prefix, strlen(prefix)) == 0 &&
            strcmp(item->key, after) > 0 &&
            (least == NULL || strcmp(item->key, least->key) < 0)) {
            least = item;
        }
    }
    return least;
}

static void
answer_page(tier_store_t *store, exchange_t *exchange, const char *target,
            const char *prefix)
{
    char after[3 * KEY_SIZE];
    query_parameter(target, "after", after, sizeof(after));
    unescape(after);
    json_t *items = json_array();
    const item_t *item = item_after(store, prefix, after);
    while (item != NULL && json_array_size(items) < store->page_size) {
        json_array_append_new(items, item_json(item));
        item = item_after(store, prefix, item->key);
    }
    answer_json(store, exchange, 200,
                json_pack("{s:o, s:b, s:I}", "items", items, "has_more",
                          item != NULL, "current_rev",
                          (json_int_t)store->now.revision));
}

static void
handle_range(tier_store_t *store, exchange_t *exchange, const char *target)
{
    char prefix[KEY_SIZE];
    query_parameter(target, "prefix", prefix, sizeof(prefix));
    reads_get_or_add(store, prefix)->lists++;
    if (store->page_size > 0) {
        answer_page(store, exchange, target, prefix);
        return;
    }
    json_t *items = json_array();
    for (uint32_t i = 0; i < store->now.item_count; i++) {
        const item_t *item = &store->now.items[i];
        if (item->base64 != NULL &&
            strncmp(item->key, prefix, strlen(prefix)) == 0) {
            json_array_append_new(items, item_json(item));
        }
    }
    answer_json(store, exchange, 200,
                json_pack("{s:o, s:b, s:I}", "items", items, "has_more", 0,
                          "current_rev", (json_int_t)store->now.revision));
}

static void
handle_watch(tier_store_t *store, exchange_t *exchange, const char *target)
{
    char prefix[KEY_SIZE];
    char after[32];
    char wait_ms[32];
    query_parameter(target, "prefix", prefix, sizeof(prefix));
    query_parameter(target, "after", after, sizeof(after));
    query_parameter(target, "wait_ms", wait_ms, sizeof(wait_ms));
    reads_get_or_add(store, prefix)->watches++;
    if (store->mode == TIER_STORE_COMPACTED) {
        answer_json(store, exchange, 410, NULL);
        return;
    }
    uint64_t since = strtoull(after, NULL, 10);
    if (since > store->now.revision) {
        answer_json(store, exchange, 410, NULL);
        return;
    }
    json_t *events = changes_since(store, prefix, since);
    int64_t wait_us = strtoll(wait_ms, NULL, 10) * 1000;
    bool can_wait = wait_us > 0 && store->watch_count < WATCHES_MAX;
    if (!can_wait ||
        (events != NULL && store->mode != TIER_STORE_WATCHES_LOST)) {
        answer_watch(store, exchange, events);
        return;
    }
    watch_t *watch = &store->watches[store->watch_count++];
    json_decref(events);
    watch->exchange = exchange;
    watch->after = since;
    watch->until_us = clock_now_us() + wait_us;
    memcpy(watch->prefix, prefix, sizeof(prefix));
}

static void
handle_txn(tier_store_t *store, exchange_t *exchange, const json_t *body)
{
    const json_t *puts = json_object_get(body, "puts");
    const json_t *conditions = json_object_get(body, "precondition");
    for (size_t i = 0; i < json_array_size(conditions); i++) {
        const json_t *condition = json_array_get(conditions, i);
        const char *key = json_string_value(json_object_get(condition, "key"));
        const item_t *item = key != NULL ? item_get_or_add(store, key) : NULL;
        uint64_t revision =
            item != NULL && item->value != NULL ? item->revision : 0;
        if (revision !=
            (uint64_t)json_integer_value(json_object_get(condition, "rev"))) {
            answer_json(
                store, exchange, 409,
                json_pack("{s:I}", "rev", (json_int_t)store->now.revision));
            return;
        }
    }
    for (size_t i = 0; i < json_array_size(puts); i++) {
        const json_t *put = json_array_get(puts, i);
        item_set(
            store, json_string_value(json_object_get(put, "key")),
            base64_decode(json_string_value(json_object_get(put, "value"))),
            (uint64_t)json_integer_value(json_object_get(put, "lease")));
    }
    answer_json(store, exchange, 200,
                json_pack("{s:I}", "rev", (json_int_t)store->now.revision));
    watches_serve(store);
}

uint64_t
tier_store_grant_lease(tier_store_t *store, int64_t ttl_ms)
{
    if (store->now.lease_count == LEASES_MAX) {
        abort(); /* the test starts more daemons than the stand-in is for */
    }
    lease_row_t *lease = &store->now.leases[store->now.lease_count++];
    *lease = (lease_row_t){
        .id = ++store->now.next_lease,
        .ttl_us = ttl_ms * 1000,
        .expires_us = clock_now_us() + ttl_ms * 1000,
    };
    return lease->id;
}

static void
handle_lease_grant(tier_store_t *store, exchange_t *exchange,
                   const json_t *body)
{
    int64_t ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
    uint64_t id = tier_store_grant_lease(store, ttl_ms);
    answer_json(store, exchange, 200,
                json_pack("{s:I, s:I}", "lease", (json_int_t)id, "ttl_ms",
                          (json_int_t)ttl_ms));
}

static void
handle_lease_keep_or_end(tier_store_t *store, exchange_t *exchange,
                         const char *target)
{
    bool ends = strstr(target, "lease-end") != NULL;
    uint64_t id = strtoull(strrchr(target, '/') + 1, NULL, 10);
    for (uint32_t i = 0; i < store->now.lease_count; i++) {
        lease_row_t *lease = &store->now.leases[i];
        if (lease->id == id) {
            if (ends) {
                lease_end(store, i);
            }
            else {
                lease->expires_us = clock_now_us() + lease->ttl_us;
            }
            answer_json(store, exchange, 200, NULL);
            return;
        }
    }
    answer_json(store, exchange, 404, NULL);
}

/* The daemon's reader of the store never takes a close for the end of a
   response, so that this one is cut. */
static void
cut(exchange_t *exchange)
{
    static const http_response_t response = {
        .status = 200,
        .no_body = true,
        .close = true,
    };
    exchange_respond(exchange, &response);
}

static void
fail_call(tier_store_t *store, exchange_t *exchange, tier_store_call_t call)
{
    static const char garbled[] = "{";
    switch (call) {
    case TIER_STORE_CALL_CUT:
        cut(exchange);
        break;
    case TIER_STORE_CALL_BUSY:
        answer_json(store, exchange, 503, NULL);
        break;
    case TIER_STORE_CALL_LIMITED:
        answer_json(store, exchange, 429, NULL);
        break;
    case TIER_STORE_CALL_GARBLED:
        exchange_respond(exchange,
                         &(http_response_t){.status = 200,
                                            .body = garbled,
                                            .body_size = sizeof(garbled) - 1});
        break;
    default:
        break;
    }
}

void
tier_store_fail_next_poll(tier_store_t *store, tier_store_call_t call)
{
    store->next_poll = call;
}

bool
tier_store_poll_is_to_fail(const tier_store_t *store)
{
    return store->next_poll != TIER_STORE_CALL_OK;
}

uint32_t
tier_store_cut_watches(tier_store_t *store)
{
    uint32_t count = store->watch_count;
    while (store->watch_count > 0) {
        cut(store->watches[--store->watch_count].exchange);
    }
    return count;
}

static void
store_request(void *owner, exchange_t *exchange)
{
    tier_store_t *store = owner;
    const http_message_t *message = exchange_request(exchange);
    const char *target = http_target(message);
    store->calls++;
    if (store->mode == TIER_STORE_UNAVAILABLE) {
        answer_json(store, exchange, 503, NULL);
        return;
    }
    if (store->mode == TIER_STORE_SILENT) {
        return;
    }
    char prefix[KEY_SIZE];
    query_parameter(target, "prefix", prefix, sizeof(prefix));
    if (store->next_poll != TIER_STORE_CALL_OK && prefix[0] == '\0' &&
        strncmp(target, "/-/kv-watch", 11) == 0) {
        fail_call(store, exchange, store->next_poll);
        store->next_poll = TIER_STORE_CALL_OK;
        return;
    }
    json_t *body = json_loadb((const char *)buffer_data(&message->body),
                              buffer_size(&message->body), 0, NULL);
    if (strncmp(target, "/-/kv-range", 11) == 0) {
        handle_range(store, exchange, target);
    }
    else if (strncmp(target, "/-/kv-watch", 11) == 0) {
        handle_watch(store, exchange, target);
    }
    else if (strncmp(target, "/-/kv-txn", 9) == 0) {
        handle_txn(store, exchange, body);
    }
    else if (strcmp(target, "/-/kv-lease") == 0) {
        handle_lease_grant(store, exchange, body);
    }
    else {
        handle_lease_keep_or_end(store, exchange, target);
    }
    json_decref(body);
}

static void
store_disconnected(void *owner, exchange_t *exchange)
{
    tier_store_t *store = owner;
    for (uint32_t i = store->watch_count; i-- > 0;) {
        if (store->watches[i].exchange == exchange) {
            store->watches[i] = store->watches[--store->watch_count];
        }
    }
}

static const http_handler_t store_handler = {
    .request = store_request,
    .disconnected = store_disconnected,
};

tier_store_t *
tier_store_new(struct ev_loop *loop, const struct sockaddr_in *address)
{
    static const http_server_settings_t settings = {.connections_max = 200};
    tier_store_t *store = calloc(1, sizeof(*store));
    store->loop = loop;
    store->now.revision = 10;
    store->era = 1;
    store->server = http_server_new(loop, &settings);
    if (!http_server_listen(store->server, address, &store_handler, store)) {
        abort();
    }
    ev_timer_init(&store->tick, tick, 0.02, 0.02);
    store->tick.data = store;
    ev_timer_start(loop, &store->tick);
    return store;
}

void
tier_store_set_mode(tier_store_t *store, tier_store_mode_t mode)
{
    store->mode = mode;
    /* Open watches end with the start of the outage. */
    while (mode == TIER_STORE_UNAVAILABLE && store->watch_count > 0) {
        answer_json(store, store->watches[--store->watch_count].exchange, 503,
                    NULL);
    }
}

static void
content_release(content_t *content)
{
    for (uint32_t i = 0; i < content->item_count; i++) {
        free(content->items[i].base64);
        free(content->items[i].value);
    }
    content->item_count = 0;
}

static void
content_copy(content_t *to, const content_t *from)
{
    content_release(to);
    *to = *from;
    for (uint32_t i = 0; i < to->item_count; i++) {
        item_t *item = &to->items[i];
        item->base64 = item->base64 != NULL ? strdup(item->base64) : NULL;
        item->value = item->value != NULL ? strdup(item->value) : NULL;
    }
}

void
tier_store_back_up(tier_store_t *store)
{
    content_copy(&store->backup, &store->now);
}

void
tier_store_restore(tier_store_t *store)
{
    content_copy(&store->now, &store->backup);
    store->era++;
    for (uint32_t i = store->watch_count; i-- > 0;) {
        watch_t watch = store->watches[i];
        if (watch.after > store->now.revision) {
            store->watches[i] = store->watches[--store->watch_count];
            answer_json(store, watch.exchange, 410, NULL);
        }
    }
}

void
tier_store_set_era_text(tier_store_t *store, const char *text)
{
    store->era_text = text;
}

void
tier_store_free(tier_store_t *store)
{
    ev_timer_stop(store->loop, &store->tick);
    http_server_free(store->server);
    content_release(&store->now);
    content_release(&store->backup);
    free(store);
}
