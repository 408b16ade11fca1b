/* The platform's metadata store in memory; calls may come from any thread. */
#ifndef REVIEW_STORE2_H
#define REVIEW_STORE2_H

/* Execute a call given by its head and body; a watch waits within the call.
   The answer is a whole HTTP response, to be freed; NULL: the connection is to
   be closed. */
char *store2_call(const char *head, const char *body);

/* Write a key without a lease; value NULL: remove it. */
void store2_put(const char *key, const char *value);

/* Cut each watch after it has waited for that long; 0: serve it. */
void store2_cut_watches(int after_ms);

#endif
