#include "edge/store.h"

#include <stdlib.h>
#include <string.h>

enum {
    KEY_SHOWN_MAX_BYTES = 40 /* bytes of an invalid key shown in a message */
};

/* Keys are put into URLs without escaping, so only safe characters pass. */
static status_t
key_check(const char *key, const char *step, error_t *err)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789.-/";
    size_t length = strspn(key, allowed);
    if (length == 0 || length > STORE_KEY_MAX_BYTES || key[length] != '\0') {
        return error_set(err, STATUS_INVALID, step, "key",
                         "found '%.*s', expected 1 to %d characters of "
                         "a-z, 0-9, '.', '-' and '/'",
                         KEY_SHOWN_MAX_BYTES, key, STORE_KEY_MAX_BYTES);
    }
    return STATUS_OK;
}

status_t
store_get(const store_client_t *store, const char *key, store_value_t *value,
          error_t *err)
{
    *value = (store_value_t){0};
    status_t status = key_check(key, "store get", err);
    if (status != STATUS_OK) {
        return status;
    }
    return store->ops->get(store->handle, key, value, err);
}

status_t
store_watch(const store_client_t *store, const char *key, uint64_t index,
            uint32_t wait_ms, store_value_t *value, error_t *err)
{
    *value = (store_value_t){0};
    status_t status = key_check(key, "store watch", err);
    if (status != STATUS_OK) {
        return status;
    }
    if (wait_ms > STORE_WATCH_MAX_MS) {
        wait_ms = STORE_WATCH_MAX_MS;
    }
    return store->ops->watch(store->handle, key, index, wait_ms, value, err);
}

status_t
store_cas_put(const store_client_t *store, const char *key, const char *text,
              size_t size, uint64_t index, error_t *err)
{
    status_t status = key_check(key, "store put", err);
    if (status != STATUS_OK) {
        return status;
    }
    if (size > STORE_VALUE_MAX_BYTES) {
        return error_set(err, STATUS_TOO_LARGE, "store put", key,
                         "found %zu bytes, expected at most %d", size,
                         STORE_VALUE_MAX_BYTES);
    }
    return store->ops->cas_put(store->handle, key, text, size, index, err);
}

void
store_release(store_client_t *store)
{
    if (store->ops != NULL) {
        store->ops->release(store->handle);
    }
    *store = (store_client_t){0};
}

void
store_value_release(store_value_t *value)
{
    free(value->text);
    *value = (store_value_t){0};
}
