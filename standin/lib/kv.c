#include "standin/lib/kv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    char *data;
    size_t size;
    uint64_t index;
} value_t;

typedef struct kv_item {
    struct kv_item *next;
    char key[KV_KEY_MAX];
    char session[KV_SESSION_SIZE];
    value_t current;
    value_t previous;
} kv_item_t;

typedef struct kv_session {
    struct kv_session *next;
    char id[KV_SESSION_SIZE];
    int64_t ttl_us;
    int64_t expires_us;
} kv_session_t;

struct kv {
    kv_item_t *items;
    kv_session_t *sessions;
    uint64_t index;
    uint64_t sessions_created;
};

static const char *const fault_names[KV_FAULT_COUNT] = {
    [KV_FAULT_OK] = "ok",       [KV_FAULT_DOWN] = "down",
    [KV_FAULT_SLOW] = "slow",   [KV_FAULT_LOST_REPLY] = "lost_reply",
    [KV_FAULT_STALE] = "stale",
};

kv_fault_t
kv_fault_parse(const char *name)
{
    for (int fault = 0; fault < KV_FAULT_COUNT; fault++) {
        if (strcmp(name, fault_names[fault]) == 0) {
            return (kv_fault_t)fault;
        }
    }
    return KV_FAULT_COUNT;
}

kv_t *
kv_new(void)
{
    kv_t *kv = calloc(1, sizeof(*kv));
    if (kv != NULL) {
        kv->index = 1;
    }
    return kv;
}

static void
item_free(kv_item_t *item)
{
    free(item->current.data);
    free(item->previous.data);
    free(item);
}

void
kv_free(kv_t *kv)
{
    if (kv == NULL) {
        return;
    }
    while (kv->items != NULL) {
        kv_item_t *item = kv->items;
        kv->items = item->next;
        item_free(item);
    }
    while (kv->sessions != NULL) {
        kv_session_t *session = kv->sessions;
        kv->sessions = session->next;
        free(session);
    }
    free(kv);
}

static kv_item_t *
item_find(const kv_t *kv, const char *key)
{
    for (kv_item_t *item = kv->items; item != NULL; item = item->next) {
        if (strcmp(item->key, key) == 0) {
            return item;
        }
    }
    return NULL;
}

static kv_session_t *
session_find(const kv_t *kv, const char *id)
{
    for (kv_session_t *s = kv->sessions; s != NULL; s = s->next) {
        if (strcmp(s->id, id) == 0) {
            return s;
        }
    }
    return NULL;
}

bool
kv_read(const kv_t *kv, const char *key, bool stale, kv_entry_t *entry)
{
    const kv_item_t *item = item_find(kv, key);
    if (item == NULL) {
        return false;
    }
    const value_t *value = &item->current;
    if (stale && item->previous.data != NULL) {
        value = &item->previous;
    }
    *entry = (kv_entry_t){.value = value->data,
                          .size = value->size,
                          .index = value->index,
                          .session = item->session};
    return true;
}

static bool
write_allowed(const kv_t *kv, const kv_item_t *item, const kv_write_t *write)
{
    uint64_t index = item != NULL ? item->current.index : 0;
    if (write->cas && write->cas_index != index) {
        return false;
    }
    const char *holder = item != NULL ? item->session : "";
    if (write->acquire != NULL) {
        return session_find(kv, write->acquire) != NULL &&
               (holder[0] == '\0' || strcmp(holder, write->acquire) == 0);
    }
    return write->release == NULL || strcmp(holder, write->release) == 0;
}

static kv_item_t *
item_create(kv_t *kv, const char *key)
{
    kv_item_t *item = calloc(1, sizeof(*item));
    if (item != NULL) {
        (void)snprintf(item->key, sizeof(item->key), "%s", key);
        item->next = kv->items;
        kv->items = item;
    }
    return item;
}

static void
item_write(kv_t *kv, kv_item_t *item, char *data, size_t size)
{
    free(item->previous.data);
    item->previous = item->current;
    kv->index++;
    item->current = (value_t){.data = data, .size = size, .index = kv->index};
}

bool
kv_put(kv_t *kv, const char *key, const char *value, size_t size,
       const kv_write_t *write)
{
    kv_item_t *item = item_find(kv, key);
    if (strlen(key) >= KV_KEY_MAX || size > KV_VALUE_MAX_BYTES ||
        !write_allowed(kv, item, write)) {
        return false;
    }
    char *data = malloc(size + 1);
    if (data == NULL) {
        return false;
    }
    if (size > 0) {
        memcpy(data, value, size);
    }
    data[size] = '\0';
    if (item == NULL) {
        item = item_create(kv, key);
    }
    if (item == NULL) {
        free(data);
        return false;
    }
    item_write(kv, item, data, size);
    if (write->acquire != NULL) {
        (void)snprintf(item->session, sizeof(item->session), "%s",
                       write->acquire);
    }
    if (write->release != NULL) {
        item->session[0] = '\0';
    }
    return true;
}

bool
kv_delete(kv_t *kv, const char *key, const kv_write_t *write)
{
    kv_item_t **link = &kv->items;
    while (*link != NULL && strcmp((*link)->key, key) != 0) {
        link = &(*link)->next;
    }
    kv_item_t *item = *link;
    if (item == NULL) {
        return !write->cas || write->cas_index == 0;
    }
    if (!write_allowed(kv, item, write)) {
        return false;
    }
    *link = item->next;
    item_free(item);
    kv->index++;
    return true;
}

uint64_t
kv_index(const kv_t *kv)
{
    return kv->index;
}

void
kv_session_create(kv_t *kv, int64_t ttl_us, int64_t now_us,
                  char id[KV_SESSION_SIZE])
{
    kv->sessions_created++;
    (void)snprintf(id, KV_SESSION_SIZE, "00000000-0000-4000-8000-%012" PRIx64,
                   kv->sessions_created);
    kv_session_t *session = calloc(1, sizeof(*session));
    if (session == NULL) {
        return;
    }
    (void)snprintf(session->id, sizeof(session->id), "%s", id);
    session->ttl_us = ttl_us;
    session->expires_us = now_us + ttl_us;
    session->next = kv->sessions;
    kv->sessions = session;
}

bool
kv_session_renew(kv_t *kv, const char *id, int64_t now_us)
{
    kv_session_t *session = session_find(kv, id);
    if (session == NULL || session->expires_us <= now_us) {
        return false;
    }
    session->expires_us = now_us + session->ttl_us;
    return true;
}

static bool
session_release_keys(kv_t *kv, const char *id)
{
    bool released = false;
    for (kv_item_t *item = kv->items; item != NULL; item = item->next) {
        if (strcmp(item->session, id) == 0) {
            item->session[0] = '\0';
            kv->index++;
            item->current.index = kv->index;
            released = true;
        }
    }
    return released;
}

void
kv_session_destroy(kv_t *kv, const char *id)
{
    for (kv_session_t **link = &kv->sessions; *link != NULL;
         link = &(*link)->next) {
        if (strcmp((*link)->id, id) == 0) {
            kv_session_t *session = *link;
            *link = session->next;
            free(session);
            break;
        }
    }
    (void)session_release_keys(kv, id);
}

int64_t
kv_expire(kv_t *kv, int64_t now_us, bool *key_freed)
{
    int64_t next_us = INT64_MAX;
    *key_freed = false;
    kv_session_t **link = &kv->sessions;
    while (*link != NULL) {
        kv_session_t *session = *link;
        if (session->expires_us > now_us) {
            next_us =
                session->expires_us < next_us ? session->expires_us : next_us;
            link = &session->next;
            continue;
        }
        *link = session->next;
        *key_freed = session_release_keys(kv, session->id) || *key_freed;
        free(session);
    }
    return next_us;
}
