/*
 * The platform's lagging list of VMs, as the daemon reads it.
 *
 *     vmlist_client_t vmlist;
 *     if (vmlist_http_init(&vmlist, url, timeout_ms, &counters, &err) != ...)
 *     if (vmlist_fetch(&vmlist, &upstreams, &count, &err) == STATUS_OK)
 *         ... free(upstreams);
 *     vmlist_release(&vmlist);
 *
 * One client per thread; clients may share counters. An empty list is
 * STATUS_OK: whether to believe it is the caller's decision.
 */
#ifndef EDGE_VMLIST_H
#define EDGE_VMLIST_H

#include "core/topology.h"

typedef struct {
    atomic_uint_fast64_t calls;
    atomic_uint_fast64_t failed;
    atomic_uint_fast64_t bytes_out;
    atomic_uint_fast64_t bytes_in;
} vmlist_counters_t;

typedef struct {
    /*
     * STATUS_OK and the upstreams, to be freed; UNAVAILABLE, TIMEOUT, DENIED
     * or TOO_LARGE when there is no whole answer, INVALID for a bad list.
     */
    status_t (*fetch)(void *handle, upstream_info_t **upstreams, size_t *count,
                      error_t *err);
    void (*release)(void *handle);
} vmlist_ops_t;

typedef struct {
    const vmlist_ops_t *ops;
    void *handle;
} vmlist_client_t;

status_t vmlist_fetch(const vmlist_client_t *vmlist,
                      upstream_info_t **upstreams, size_t *count,
                      error_t *err);
void vmlist_release(vmlist_client_t *vmlist);

/* The real one: url as in the settings; counters may be NULL. */
status_t vmlist_http_init(vmlist_client_t *vmlist, const char *url,
                          uint32_t timeout_ms, vmlist_counters_t *counters,
                          error_t *err);

#endif
