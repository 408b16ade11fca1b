/*
 * Key-value store in memory with scripted faults: the n-th call gets the n-th
 * fault of the script, later calls get none. No call waits: a watch returns
 * the current value. For use by one thread.
 *
 *     fake_store_t *fake = fake_store_new();
 *     store_client_t store = fake_store_client(fake);
 *     fake_store_script(fake, (fake_fault_t[]){FAKE_OK, FAKE_LOST_REPLY}, 2);
 *     fake_store_free(fake);
 */
#ifndef T_LIB_FAKE_STORE_H
#define T_LIB_FAKE_STORE_H

#include "edge/store.h"

typedef enum {
    FAKE_OK,
    FAKE_REFUSED,         /* connection refused; a write has no effect */
    FAKE_DOWN,            /* error response; a write has no effect */
    FAKE_TIMEOUT,         /* timeout; a write has no effect */
    FAKE_TIMEOUT_APPLIED, /* timeout; a write takes effect */
    FAKE_LOST_REPLY,      /* the reply is lost; a write takes effect */
    FAKE_STALE            /* a read or watch returns the previous value */
} fake_fault_t;

typedef struct fake_store fake_store_t;

fake_store_t *fake_store_new(void);
void fake_store_free(fake_store_t *fake);

/* Returns a client of the store; its release does nothing. */
store_client_t fake_store_client(fake_store_t *fake);

/* Replaces the script; count is at most 64. */
void fake_store_script(fake_store_t *fake, const fake_fault_t *faults,
                       size_t count);

/* Writes like another client, without faults; returns the new index. */
uint64_t fake_store_write(fake_store_t *fake, const char *key,
                          const char *text);

/* Returns the current value, valid until the next write; NULL: no such key. */
const char *fake_store_text(const fake_store_t *fake, const char *key);

/* Returns the number of calls of a kind so far. */
unsigned int fake_store_calls(const fake_store_t *fake, store_call_t call);

#endif
