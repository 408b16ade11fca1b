/*
 * Client of the platform's key-value store.
 *
 * A store_client_t is a table of functions and a handle. store_http_init makes
 * one that uses HTTP; tests use one that keeps the values in memory. A client
 * must only be used by one thread; clients may share counters.
 *
 *     store_client_t store;
 *     if (store_http_init(&store, url, timeout_ms, &counters, &err) != ...)
 *     store_value_t value;
 *     status_t status = store_get(&store, "yuccarun/config", &value, &err);
 *     store_value_release(&value);
 *     store_release(&store);
 */
#ifndef EDGE_STORE_H
#define EDGE_STORE_H

#include "core/status.h"

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

enum {
    STORE_KEY_MAX_BYTES = 128,
    STORE_VALUE_MAX_BYTES = 1000000,
    STORE_WATCH_MAX_MS = 60000
};

#define STORE_KEY_CONFIG "yuccarun/config"

typedef struct {
    char *text; /* with a NUL appended; NULL: no value */
    size_t size;
    uint64_t modify_index; /* index for cas_put; 0: the key does not exist */
    uint64_t watch_index;  /* index for the next watch; 0: does not wait */
} store_value_t;

typedef enum {
    STORE_CALL_GET,
    STORE_CALL_WATCH,
    STORE_CALL_PUT,
    STORE_CALL_COUNT
} store_call_t;

/* Calls and traffic by kind of call; any thread may use them. */
typedef struct {
    atomic_uint_fast64_t calls[STORE_CALL_COUNT];
    /* Calls that returned neither OK, NOT_FOUND nor CONFLICT. */
    atomic_uint_fast64_t failed[STORE_CALL_COUNT];
    atomic_uint_fast64_t bytes_out[STORE_CALL_COUNT];
    atomic_uint_fast64_t bytes_in[STORE_CALL_COUNT];
} store_counters_t;

typedef struct {
    /*
     * Reads a key. Returns STATUS_OK or STATUS_NOT_FOUND (watch_index is then
     * set as well). Otherwise returns UNAVAILABLE, TIMEOUT, TOO_LARGE, DENIED,
     * INVALID or NO_MEMORY, and the state of the key is unknown. Sets *value
     * in every case; the caller releases it with store_value_release.
     */
    status_t (*get)(void *handle, const char *key, store_value_t *value,
                    error_t *err);

    /*
     * As get, but waits until the key's index is greater than index, or for
     * wait_ms, after which the value may be unchanged.
     */
    status_t (*watch)(void *handle, const char *key, uint64_t index,
                      uint32_t wait_ms, store_value_t *value, error_t *err);

    /*
     * Compare-and-swap: writes if the key's modify index is index (0: if the
     * key does not exist). The request is sent at most once. Returns
     * STATUS_OK: written. CONFLICT, UNAVAILABLE, DENIED, TOO_LARGE, INVALID,
     * NO_MEMORY: this call did not write. TIMEOUT, UNKNOWN: it may have
     * written, or may still write shortly; the caller has to read the key to
     * find out.
     */
    status_t (*cas_put)(void *handle, const char *key, const char *text,
                        size_t size, uint64_t index, error_t *err);

    void (*release)(void *handle);
} store_ops_t;

typedef struct {
    const store_ops_t *ops;
    void *handle;
} store_client_t;

/*
 * The functions of store_ops_t, with these checks first: STATUS_INVALID for a
 * key that is not 1 to STORE_KEY_MAX_BYTES characters of a-z, 0-9, '.', '-'
 * and '/'; STATUS_TOO_LARGE for a value over STORE_VALUE_MAX_BYTES. wait_ms is
 * limited to STORE_WATCH_MAX_MS.
 */
status_t store_get(const store_client_t *store, const char *key,
                   store_value_t *value, error_t *err);
status_t store_watch(const store_client_t *store, const char *key,
                     uint64_t index, uint32_t wait_ms, store_value_t *value,
                     error_t *err);
status_t store_cas_put(const store_client_t *store, const char *key,
                       const char *text, size_t size, uint64_t index,
                       error_t *err);
void store_release(store_client_t *store);
void store_value_release(store_value_t *value);

/*
 * Creates a client that uses HTTP. url: without a trailing slash. timeout_ms:
 * for one call; a watch adds its wait_ms. counters: NULL, or must outlive the
 * client. Returns STATUS_NO_MEMORY if out of memory.
 */
status_t store_http_init(store_client_t *store, const char *url,
                         uint32_t timeout_ms, store_counters_t *counters,
                         error_t *err);

#endif
