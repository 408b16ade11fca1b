#include "review/stand-ins-2/store2.h"

#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { KEYS_MAX = 1024, KEY_SIZE = 256, LEASES_MAX = 256 };

typedef struct {
    char key[KEY_SIZE];
    char *value; /* base64; NULL: removed */
    uint64_t revision;
    uint64_t created;
    uint64_t lease;
} item_t;

typedef struct {
    uint64_t id;
    int64_t ttl_ms;
    int64_t ends_ms;
} lease_row_t;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static item_t items[KEYS_MAX];
static int item_count;
static lease_row_t leases[LEASES_MAX];
static int lease_count;
static uint64_t revision = 10;
static uint64_t next_lease = 1000;
static int cut_after_ms; /* 0: watches are not cut */

static int64_t
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static char *
encode(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char *out = calloc(1, (size + 2) / 3 * 4 + 1);
    for (size_t i = 0, o = 0; out != NULL && i < size; i += 3, o += 4) {
        uint32_t word = 0;
        for (size_t j = 0; j < 3; j++) {
            word = word << 8 | (i + j < size ? (uint8_t)text[i + j] : 0);
        }
        for (size_t j = 0; j < 4; j++) {
            out[o + j] =
                i + j > size ? '=' : digits[word >> (18 - 6 * j) & 63];
        }
    }
    return out;
}

static item_t *
item_find(const char *key, bool add)
{
    for (int i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0) {
            return &items[i];
        }
    }
    if (!add || item_count == KEYS_MAX) {
        return NULL;
    }
    snprintf(items[item_count].key, KEY_SIZE, "%s", key);
    return &items[item_count++];
}

/* Takes over value. */
static void
item_set(const char *key, char *value, uint64_t lease, uint64_t at)
{
    item_t *item = item_find(key, value != NULL);
    if (item == NULL || (value == NULL && item->value == NULL)) {
        free(value);
        return;
    }
    if (item->value == NULL) {
        item->created = at;
    }
    free(item->value);
    item->value = value;
    item->lease = lease;
    item->revision = at;
}

static void
leases_expire(void)
{
    for (int i = lease_count; i-- > 0;) {
        if (now_ms() < leases[i].ends_ms) {
            continue;
        }
        uint64_t id = leases[i].id;
        leases[i] = leases[--lease_count];
        for (int j = 0; j < item_count; j++) {
            if (items[j].lease == id && items[j].value != NULL) {
                item_set(items[j].key, NULL, 0, ++revision);
            }
        }
    }
}

static lease_row_t *
lease_find(uint64_t id)
{
    for (int i = 0; i < lease_count; i++) {
        if (leases[i].id == id) {
            return &leases[i];
        }
    }
    return NULL;
}

static char *
answer(int status, json_t *body)
{
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : strdup("{}");
    json_decref(body);
    size_t size = text != NULL ? strlen(text) + 256 : 0;
    char *out = text != NULL ? malloc(size) : NULL;
    if (out != NULL) {
        snprintf(out, size,
                 "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 status, strlen(text), text);
    }
    free(text);
    return out;
}

static json_t *
item_json(const item_t *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s, s:I, s:b}", "key", item->key, "rev",
                         (json_int_t)item->revision, "deleted", 1);
    }
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                     item->value, "rev", (json_int_t)item->revision,
                     "created_rev", (json_int_t)item->created, "lease",
                     (json_int_t)item->lease);
}

static void
parameter(const char *target, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    const char *at = strchr(target, '?');
    out[0] = '\0';
    for (; at != NULL; at = strchr(at, '&')) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            at += length + 1;
            snprintf(out, size, "%.*s", (int)strcspn(at, "& "), at);
            return;
        }
    }
}

/* The items under a prefix that changed after a revision; live: those that
   exist. */
static json_t *
rows_since(const char *prefix, uint64_t after, bool live)
{
    json_t *rows = json_array();
    for (int i = 0; i < item_count; i++) {
        if (items[i].revision > after &&
            strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
            (!live || items[i].value != NULL)) {
            json_array_append_new(rows, item_json(&items[i]));
        }
    }
    return rows;
}

static char *
call_watch(const char *target)
{
    char prefix[KEY_SIZE];
    char number[32];
    parameter(target, "prefix", prefix, sizeof(prefix));
    parameter(target, "after", number, sizeof(number));
    uint64_t after = strtoull(number, NULL, 10);
    parameter(target, "wait_ms", number, sizeof(number));
    int64_t since_ms = now_ms();
    int64_t until_ms = since_ms + strtoll(number, NULL, 10);
    json_t *rows = rows_since(prefix, after, false);
    while (json_array_size(rows) == 0 && now_ms() < until_ms) {
        struct timespec until;
        clock_gettime(CLOCK_REALTIME, &until);
        until.tv_nsec += 50000000;
        until.tv_sec += until.tv_nsec / 1000000000;
        until.tv_nsec %= 1000000000;
        (void)pthread_cond_timedwait(&changed, &mutex, &until);
        leases_expire();
        json_decref(rows);
        rows = rows_since(prefix, after, false);
        if (cut_after_ms > 0 && json_array_size(rows) == 0 &&
            now_ms() >= since_ms + cut_after_ms) {
            json_decref(rows);
            return NULL;
        }
    }
    return answer(200, json_pack("{s:o, s:I}", "events", rows, "current_rev",
                                 (json_int_t)revision));
}

static char *
call_txn(const char *body)
{
    json_t *root = json_loads(body, 0, NULL);
    const json_t *conditions = json_object_get(root, "precondition");
    const json_t *puts = json_object_get(root, "puts");
    const json_t *deletes = json_object_get(root, "deletes");
    int status = root != NULL ? 200 : 400;
    for (size_t i = 0; i < json_array_size(conditions); i++) {
        const json_t *row = json_array_get(conditions, i);
        const item_t *item =
            item_find(json_string_value(json_object_get(row, "key")), false);
        uint64_t known =
            item != NULL && item->value != NULL ? item->revision : 0;
        if (known !=
            (uint64_t)json_integer_value(json_object_get(row, "rev"))) {
            status = 412;
        }
    }
    for (size_t i = 0; status == 200 && i < json_array_size(puts); i++) {
        uint64_t lease = (uint64_t)json_integer_value(
            json_object_get(json_array_get(puts, i), "lease"));
        if (lease != 0 && lease_find(lease) == NULL) {
            status = 404;
        }
    }
    if (status == 200) {
        revision++;
        for (size_t i = 0; i < json_array_size(puts); i++) {
            const json_t *row = json_array_get(puts, i);
            item_set(
                json_string_value(json_object_get(row, "key")),
                strdup(json_string_value(json_object_get(row, "value"))),
                (uint64_t)json_integer_value(json_object_get(row, "lease")),
                revision);
        }
        for (size_t i = 0; i < json_array_size(deletes); i++) {
            item_set(json_string_value(json_array_get(deletes, i)), NULL, 0,
                     revision);
        }
        pthread_cond_broadcast(&changed);
    }
    json_decref(root);
    return answer(status, json_pack("{s:I}", "rev", (json_int_t)revision));
}

static char *
call_lease(const char *body)
{
    json_t *root = json_loads(body, 0, NULL);
    int64_t ttl_ms = json_integer_value(json_object_get(root, "ttl_ms"));
    json_decref(root);
    if (lease_count == LEASES_MAX) {
        return answer(503, NULL);
    }
    ttl_ms = ttl_ms < 1000 ? 1000 : ttl_ms;
    leases[lease_count++] = (lease_row_t){
        .id = ++next_lease,
        .ttl_ms = ttl_ms,
        .ends_ms = now_ms() + ttl_ms,
    };
    return answer(200, json_pack("{s:I, s:I}", "lease", (json_int_t)next_lease,
                                 "ttl_ms", (json_int_t)ttl_ms));
}

static char *
call_lease_row(const char *target, bool end)
{
    const char *number = strrchr(target, '/');
    lease_row_t *row = lease_find(strtoull(number + 1, NULL, 10));
    if (row == NULL) {
        return answer(404, NULL);
    }
    int64_t ttl_ms = row->ttl_ms;
    row->ends_ms = end ? 0 : now_ms() + ttl_ms;
    leases_expire();
    return answer(200, end ? NULL
                           : json_pack("{s:I}", "ttl_ms", (json_int_t)ttl_ms));
}

static char *
call_locked(const char *target, const char *body)
{
    char text[KEY_SIZE];
    if (strncmp(target, "/-/kv-watch", 11) == 0) {
        return call_watch(target);
    }
    if (strncmp(target, "/-/kv-range", 11) == 0) {
        parameter(target, "prefix", text, sizeof(text));
        return answer(200, json_pack("{s:o, s:b, s:I}", "items",
                                     rows_since(text, 0, true), "has_more", 0,
                                     "current_rev", (json_int_t)revision));
    }
    if (strncmp(target, "/-/kv-key", 9) == 0) {
        parameter(target, "key", text, sizeof(text));
        const item_t *item = item_find(text, false);
        return item != NULL && item->value != NULL
                   ? answer(200, item_json(item))
                   : answer(404, NULL);
    }
    if (strncmp(target, "/-/kv-txn", 9) == 0) {
        return call_txn(body);
    }
    if (strncmp(target, "/-/kv-keep/", 11) == 0) {
        return call_lease_row(target, false);
    }
    if (strncmp(target, "/-/kv-lease-end/", 16) == 0) {
        return call_lease_row(target, true);
    }
    return strncmp(target, "/-/kv-lease", 11) == 0 ? call_lease(body)
                                                   : answer(404, NULL);
}

char *
store2_call(const char *head, const char *body)
{
    char target[1024] = "";
    (void)sscanf(head, "%*s %1023s", target);
    pthread_mutex_lock(&mutex);
    leases_expire();
    char *text = call_locked(target, body);
    pthread_mutex_unlock(&mutex);
    return text;
}

void
store2_put(const char *key, const char *value)
{
    pthread_mutex_lock(&mutex);
    item_set(key, value != NULL ? encode(value) : NULL, 0, ++revision);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&mutex);
}

void
store2_cut_watches(int after_ms)
{
    pthread_mutex_lock(&mutex);
    cut_after_ms = after_ms;
    pthread_mutex_unlock(&mutex);
}
