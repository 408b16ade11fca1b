/*
 * The key-value service over HTTP, for standin-store and for tests that run
 * it in their own process.
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

/* Serve on 127.0.0.1; NULL when the port cannot be listened on. */
store_t *store_new(uint16_t port);

/* The port that is listened on. */
uint16_t store_port(const store_t *store);

/* Wake every watch and stop. */
void store_free(store_t *store);

/*
 * From now on calls on keys that begin with key_prefix meet the fault; an
 * empty prefix stands for every call, sessions included.
 */
void store_set_fault(store_t *store, kv_fault_t fault, int64_t delay_ms,
                     const char *key_prefix);

#endif
