/*
 * Intents of callers' ids, committed to the platform's store by a thread of
 * its own.
 *
 * A request that may run once and is named by a caller's id only waits here
 * until its intent is in the store, with those of others that came meanwhile
 * in one write; see core/intent.h for the rules.
 *
 *     intent_verdict_t verdict = intents_commit(intents, hash, until_us);
 *     if (verdict.status == INTENT_RUN) ... run it ...
 *     intents_withdraw(intents, hash);   // when it proved not to have run
 */
#ifndef DAEMON_INTENTS_H
#define DAEMON_INTENTS_H

#include "core/intent.h"
#include "edge/store.h"

typedef struct intents intents_t;

/* Takes over the store's client; NULL with *err set when it cannot start. */
intents_t *intents_new(const store_client_t *store, uint64_t incarnation,
                       error_t *err);
void intents_free(intents_t *intents); /* NULL ok */

/*
 * Ask for the id's intent. done is called once, in the thread of the intents
 * or at once in the caller's, with the verdict; after the monotonic time
 * until_us its status is INTENT_STORE: this daemon will not run it.
 */
typedef void (*intents_callback_t)(void *context,
                                   const intent_verdict_t *verdict);
void intents_submit(intents_t *intents, uint64_t hash, int64_t until_us,
                    intents_callback_t done, void *context);

/* As intents_submit, and wait for the verdict. */
intent_verdict_t intents_commit(intents_t *intents, uint64_t hash,
                                int64_t until_us);

/* The request proved not to have run: another daemon may run it. */
void intents_withdraw(intents_t *intents, uint64_t hash);

#endif
