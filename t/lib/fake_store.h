/*
 * The key-value service in memory, with faults by script: the n-th call
 * meets the n-th fault of the script, later calls meet none. Nothing waits:
 * a watch answers with what there is. For one thread.
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
    FAKE_REFUSED,         /* no connection: nothing has an effect */
    FAKE_DOWN,            /* an error answer; a write has no effect */
    FAKE_TIMEOUT,         /* no answer in time; a write has no effect */
    FAKE_TIMEOUT_APPLIED, /* no answer in time; a write has its effect */
    FAKE_LOST_REPLY,      /* the answer is lost; a write has its effect */
    FAKE_STALE            /* a read or watch gives the value before */
} fake_fault_t;

typedef struct fake_store fake_store_t;

fake_store_t *fake_store_new(void);
void fake_store_free(fake_store_t *fake);

/* A client of the store; its release does nothing. */
store_client_t fake_store_client(fake_store_t *fake);

/* Replace the script; at most 64 calls. */
void fake_store_script(fake_store_t *fake, const fake_fault_t *faults,
                       size_t count);

/* Write as another party would, without faults; returns the new index. */
uint64_t fake_store_write(fake_store_t *fake, const char *key,
                          const char *text);

/* What a key holds now; NULL when there is no such key. */
const char *fake_store_text(const fake_store_t *fake, const char *key);

/* Calls of a kind so far. */
unsigned int fake_store_calls(const fake_store_t *fake, store_call_t call);

#endif
