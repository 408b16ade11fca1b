#include "t/lib/fake_store.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { KEYS_MAX = 16, SCRIPT_MAX = 64 };

typedef struct {
    char *text;
    size_t size;
    uint64_t index;
} content_t;

typedef struct {
    char key[STORE_KEY_MAX_BYTES + 1];
    content_t current;
    content_t previous;
} entry_t;

struct fake_store {
    entry_t entries[KEYS_MAX];
    size_t entry_count;
    uint64_t index;
    fake_fault_t script[SCRIPT_MAX];
    size_t script_count;
    size_t script_next;
    unsigned int calls[STORE_CALL_COUNT];
};

fake_store_t *
fake_store_new(void)
{
    fake_store_t *fake = calloc(1, sizeof(*fake));
    if (fake != NULL) {
        fake->index = 1;
    }
    return fake;
}

void
fake_store_free(fake_store_t *fake)
{
    for (size_t i = 0; i < fake->entry_count; i++) {
        free(fake->entries[i].current.text);
        free(fake->entries[i].previous.text);
    }
    free(fake);
}

static entry_t *
entry_find(const fake_store_t *fake, const char *key)
{
    for (size_t i = 0; i < fake->entry_count; i++) {
        if (strcmp(fake->entries[i].key, key) == 0) {
            return (entry_t *)&fake->entries[i];
        }
    }
    return NULL;
}

static void
entry_write(fake_store_t *fake, const char *key, const char *text, size_t size)
{
    entry_t *entry = entry_find(fake, key);
    if (entry == NULL) {
        entry = &fake->entries[fake->entry_count++];
        strncpy(entry->key, key, STORE_KEY_MAX_BYTES);
    }
    free(entry->previous.text);
    entry->previous = entry->current;
    entry->current = (content_t){
        .text = calloc(1, size + 1),
        .size = size,
        .index = ++fake->index,
    };
    memcpy(entry->current.text, text, size);
}

static fake_fault_t
call_begin(fake_store_t *fake, store_call_t call)
{
    fake->calls[call]++;
    if (fake->script_next < fake->script_count) {
        return fake->script[fake->script_next++];
    }
    return FAKE_OK;
}

static status_t
read_failure(fake_fault_t fault)
{
    switch (fault) {
    case FAKE_REFUSED:
    case FAKE_DOWN:
    case FAKE_LOST_REPLY:
        return STATUS_UNAVAILABLE;
    case FAKE_TIMEOUT:
    case FAKE_TIMEOUT_APPLIED:
        return STATUS_TIMEOUT;
    default:
        return STATUS_OK;
    }
}

static status_t
fake_read(fake_store_t *fake, fake_fault_t fault, const char *key,
          store_value_t *value, error_t *err)
{
    status_t status = read_failure(fault);
    if (status != STATUS_OK) {
        return error_set(err, status, "store get", "fake", "injected fault");
    }
    value->watch_index = fake->index;
    const entry_t *entry = entry_find(fake, key);
    if (entry == NULL) {
        return error_set(err, STATUS_NOT_FOUND, "store get", key,
                         "the key does not exist");
    }
    bool stale = fault == FAKE_STALE && entry->previous.text != NULL;
    const content_t *content = stale ? &entry->previous : &entry->current;
    value->text = calloc(1, content->size + 1);
    memcpy(value->text, content->text, content->size);
    value->size = content->size;
    value->modify_index = content->index;
    value->watch_index = content->index;
    return STATUS_OK;
}

static status_t
fake_get(void *handle, const char *key, store_value_t *value, error_t *err)
{
    fake_store_t *fake = handle;
    fake_fault_t fault = call_begin(fake, STORE_CALL_GET);
    return fake_read(fake, fault, key, value, err);
}

static status_t
fake_watch(void *handle, const char *key, uint64_t index, uint32_t wait_ms,
           store_value_t *value, error_t *err)
{
    (void)wait_ms;
    fake_store_t *fake = handle;
    fake_fault_t fault = call_begin(fake, STORE_CALL_WATCH);
    status_t status = fake_read(fake, fault, key, value, err);
    if (value->watch_index < index) {
        value->watch_index = 0;
    }
    return status;
}

static status_t
fake_cas_put(void *handle, const char *key, const char *text, size_t size,
             uint64_t index, error_t *err)
{
    fake_store_t *fake = handle;
    fake_fault_t fault = call_begin(fake, STORE_CALL_PUT);
    bool applied =
        fault != FAKE_REFUSED && fault != FAKE_DOWN && fault != FAKE_TIMEOUT;
    const entry_t *entry = entry_find(fake, key);
    bool match = (entry != NULL ? entry->current.index : 0) == index;
    if (applied && match) {
        entry_write(fake, key, text, size);
    }
    switch (fault) {
    case FAKE_REFUSED:
        return error_set(err, STATUS_UNAVAILABLE, "store put", "fake",
                         "injected fault");
    case FAKE_TIMEOUT:
    case FAKE_TIMEOUT_APPLIED:
        return error_set(err, STATUS_TIMEOUT, "store put", "fake",
                         "injected fault");
    case FAKE_DOWN:
    case FAKE_LOST_REPLY:
        return error_set(err, STATUS_UNKNOWN, "store put", "fake",
                         "injected fault");
    default:
        break;
    }
    return match ? STATUS_OK
                 : error_set(err, STATUS_CONFLICT, "store put", key,
                             "another write changed the key first");
}

static void
fake_release(void *handle)
{
    (void)handle;
}

static const store_ops_t fake_ops = {
    .get = fake_get,
    .watch = fake_watch,
    .cas_put = fake_cas_put,
    .release = fake_release,
};

store_client_t
fake_store_client(fake_store_t *fake)
{
    return (store_client_t){.ops = &fake_ops, .handle = fake};
}

void
fake_store_script(fake_store_t *fake, const fake_fault_t *faults, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        fake->script[i] = faults[i];
    }
    fake->script_count = count;
    fake->script_next = 0;
}

uint64_t
fake_store_write(fake_store_t *fake, const char *key, const char *text)
{
    entry_write(fake, key, text, strlen(text));
    return fake->index;
}

const char *
fake_store_text(const fake_store_t *fake, const char *key)
{
    const entry_t *entry = entry_find(fake, key);
    return entry != NULL ? entry->current.text : NULL;
}

unsigned int
fake_store_calls(const fake_store_t *fake, store_call_t call)
{
    return fake->calls[call];
}
