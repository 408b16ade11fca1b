/*
 * standin-store: stands in for the platform's key-value service on loopback.
 *
 *     standin-store PORT
 *
 * In addition to the interface that docs/PROTOCOL.md describes, it serves
 * POST /fault
 * {"mode":"ok"|"down"|"slow"|"lost_reply"|"stale","ms":N,"key_prefix":"..."}
 * and GET /count, which returns the number of calls by kind. A waiting watch
 * counts as one call.
 */
#include "standin/lib/store.h"

#include <stdio.h>
#include <stdlib.h>

int
main(int argc, char **argv)
{
    if (argc != 2) {
        (void)fprintf(stderr, "usage: standin-store PORT\n");
        return 2;
    }
    service_block_signals();
    store_t *store = store_new((uint16_t)strtoul(argv[1], NULL, 10));
    if (store == NULL) {
        (void)fprintf(stderr,
                      "standin-store: cannot listen on the given port\n");
        return 1;
    }
    service_wait_signal();
    store_free(store);
    return 0;
}
