/*
 * Client of the platform's VM list, which lags behind the VMs' actual state.
 *
 *     vmlist_client_t vmlist;
 *     if (vmlist_http_init(&vmlist, url, timeout_ms, &counters, &err) != ...)
 *     if (vmlist_fetch(&vmlist, &upstreams, &count, &err) == STATUS_OK)
 *         ... free(upstreams);
 *     vmlist_release(&vmlist);
 *
 * A client must only be used by one thread; clients may share counters. An
 * empty list is STATUS_OK: the caller decides whether to trust it.
 */
#ifndef EDGE_VMLIST_H
#define EDGE_VMLIST_H

#include "core/topology.h"

/* Calls and traffic; any thread may use them. */
typedef struct {
    atomic_uint_fast64_t calls;
    atomic_uint_fast64_t failed;
    atomic_uint_fast64_t bytes_out;
    atomic_uint_fast64_t bytes_in;
} vmlist_counters_t;

typedef struct {
    /*
     * Reads the list. Returns STATUS_OK and in *upstreams an array of *count
     * upstreams, which the caller frees. Returns UNAVAILABLE, TIMEOUT, DENIED,
     * TOO_LARGE or NO_MEMORY if there is no complete response, INVALID if the
     * list is invalid.
     */
    status_t (*fetch)(void *handle, upstream_info_t **upstreams, size_t *count,
                      error_t *err);
    void (*release)(void *handle);
} vmlist_ops_t;

typedef struct {
    const vmlist_ops_t *ops;
    void *handle;
} vmlist_client_t;

/* As fetch of vmlist_ops_t; on failure *upstreams is NULL and *count 0. */
status_t vmlist_fetch(const vmlist_client_t *vmlist,
                      upstream_info_t **upstreams, size_t *count,
                      error_t *err);
void vmlist_release(vmlist_client_t *vmlist);

/*
 * Creates a client that uses HTTP. url: without a trailing slash. timeout_ms:
 * for one call. counters: NULL, or must outlive the client. Returns
 * STATUS_NO_MEMORY if out of memory.
 */
status_t vmlist_http_init(vmlist_client_t *vmlist, const char *url,
                          uint32_t timeout_ms, vmlist_counters_t *counters,
                          error_t *err);

#endif
