/*
 * Commits intents to the platform's store, in a separate thread.
 *
 * A request that may run only once, and that is identified only by an id of
 * its caller, waits here until its intent is in the store. Intents that arrive
 * during a write share the next one; core/intent.h has the rules.
 *
 *     intent_result_t result = intents_commit(intents, hash, until_us);
 *     if (result.status == INTENT_RUN) ... run it ...
 *     intents_withdraw(intents, hash);   // if it certainly did not run
 */
#ifndef DAEMON_INTENTS_H
#define DAEMON_INTENTS_H

#include "core/intent.h"
#include "edge/store.h"

typedef struct intents intents_t;

/* Start the thread; takes over the store's client. NULL: failed, *err set. */
intents_t *intents_new(const store_client_t *store, uint64_t incarnation,
                       error_t *err);

/*
 * Stop the thread and free. Requests that still wait get the status
 * INTENT_UNCONFIRMED. NULL ok.
 */
void intents_free(intents_t *intents);

typedef void (*intents_callback_t)(void *context,
                                   const intent_result_t *result);

/*
 * Request an intent for the id with this hash. `done` is called exactly once
 * with the result, either from the intents' thread or before intents_submit
 * returns. If there is no result by the monotonic time until_us, `done` gets
 * the status INTENT_UNCONFIRMED, and this daemon will not run the request.
 */
void intents_submit(intents_t *intents, uint64_t hash, int64_t until_us,
                    intents_callback_t done, void *context);

/* Like intents_submit, but wait for the result and return it. */
intent_result_t intents_commit(intents_t *intents, uint64_t hash,
                               int64_t until_us);

/* Withdraw the intent of a request that did not run; others may run it. */
void intents_withdraw(intents_t *intents, uint64_t hash);

#endif
