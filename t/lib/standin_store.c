#include "t/lib/standin_store.h"

#include "t/lib/raw_server.h"

#include <stdio.h>

enum { PORTS_TRIED = 10 };

store_t *
standin_store_new(char url[STANDIN_URL_SIZE])
{
    store_t *store = NULL;
    for (int i = 0; i < PORTS_TRIED && store == NULL; i++) {
        uint16_t port = raw_server_free_port();
        snprintf(url, STANDIN_URL_SIZE, "http://127.0.0.1:%u",
                 (unsigned int)port);
        store = store_new(port);
    }
    return store;
}
