/*
 * The platform's key-value service, as the daemon uses it.
 *
 * A store_client_t is a table of functions and a handle: the real one talks
 * HTTP, tests use one in memory. One client per thread; clients may share
 * counters.
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
    char *text; /* NUL added; NULL when there is no value */
    size_t size;
    uint64_t modify_index; /* for cas_put; 0: the key does not exist */
    uint64_t watch_index;  /* for the next watch; 0: it will not wait */
} store_value_t;

typedef enum {
    STORE_CALL_GET,
    STORE_CALL_WATCH,
    STORE_CALL_PUT,
    STORE_CALL_COUNT
} store_call_t;

/* What the calls cost; read and written by any thread. */
typedef struct {
    atomic_uint_fast64_t calls[STORE_CALL_COUNT];
    atomic_uint_fast64_t failed[STORE_CALL_COUNT]; /* no definite answer */
    atomic_uint_fast64_t bytes_out[STORE_CALL_COUNT];
    atomic_uint_fast64_t bytes_in[STORE_CALL_COUNT];
} store_counters_t;

typedef struct {
    /*
     * STATUS_OK or STATUS_NOT_FOUND (watch_index is then set as well).
     * Otherwise UNAVAILABLE, TIMEOUT, TOO_LARGE, DENIED or INVALID, and what
     * the key holds is not known. value is filled in every case.
     */
    status_t (*get)(void *handle, const char *key, store_value_t *value,
                    error_t *err);

    /*
     * As get, but waits until the key's index passes index or wait_ms are
     * over; then the value may be the old one.
     */
    status_t (*watch)(void *handle, const char *key, uint64_t index,
                      uint32_t wait_ms, store_value_t *value, error_t *err);

    /*
     * Write if the key's modify index is index (0: if there is no key).
     * STATUS_OK: written. CONFLICT, UNAVAILABLE, DENIED, TOO_LARGE, INVALID:
     * not written by this call. TIMEOUT, UNKNOWN: it may be written, now or
     * shortly; the caller finds out by reading. Sent at most once.
     */
    status_t (*cas_put)(void *handle, const char *key, const char *text,
                        size_t size, uint64_t index, error_t *err);

    void (*release)(void *handle);
} store_ops_t;

typedef struct {
    const store_ops_t *ops;
    void *handle;
} store_client_t;

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
 * The real one: url as in the settings, timeout_ms of one call (a watch waits
 * longer by wait_ms). counters may be NULL, and is shared with the caller.
 */
status_t store_http_init(store_client_t *store, const char *url,
                         uint32_t timeout_ms, store_counters_t *counters,
                         error_t *err);

#endif
