/*
 * The stand-in key-value service in the test's own process, on a free port.
 */
#ifndef T_LIB_STANDIN_STORE_H
#define T_LIB_STANDIN_STORE_H

#include "standin/lib/store.h"

enum { STANDIN_URL_SIZE = 64 };

/* Serve, and fill url with "http://127.0.0.1:PORT"; NULL: no port is free. */
store_t *standin_store_new(char url[STANDIN_URL_SIZE]);

#endif
