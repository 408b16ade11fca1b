/*
 * Runs the stand-in key-value service in the test's own process, on a free
 * port.
 */
#ifndef T_LIB_STANDIN_STORE_H
#define T_LIB_STANDIN_STORE_H

#include "standin/lib/store.h"

enum { STANDIN_URL_SIZE = 64 };

/*
 * Starts to serve and sets url to "http://127.0.0.1:PORT". Returns NULL if no
 * port could be bound; the caller frees the store with store_free.
 */
store_t *standin_store_new(char url[STANDIN_URL_SIZE]);

#endif
