/*
 * The stand-in key-value service over HTTP, for standin-store and for tests
 * that run it in their own process.
 *
 *     store_t *store = store_new(8500);
 *     store_set_fault(store, KV_FAULT_DOWN, 0, "");
 *     store_free(store);
 */
#ifndef STANDIN_LIB_STORE_H
#define STANDIN_LIB_STORE_H

#include "standin/lib/kv.h"
#include "standin/lib/service.h"

typedef struct store store_t;

/*
 * Starts to serve on a port of 127.0.0.1. Returns NULL if the port can't be
 * bound or memory is out; the caller frees the store with store_free.
 */
store_t *store_new(uint16_t port);

/* Port on which the store listens. */
uint16_t store_port(const store_t *store);

/* Ends all watches, stops the server and frees the store. */
void store_free(store_t *store);

/*
 * Sets the fault of all calls on keys that begin with key_prefix, in place of
 * the previous fault. An empty prefix selects every call, also those on
 * sessions. delay_ms delays the calls, except with KV_FAULT_OK and
 * KV_FAULT_STALE.
 */
void store_set_fault(store_t *store, kv_fault_t fault, int64_t delay_ms,
                     const char *key_prefix);

#endif
