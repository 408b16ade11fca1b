/*
 * The VM list in memory: a text as the platform answers it, or a failure.
 */
#ifndef T_LIB_FAKE_VMLIST_H
#define T_LIB_FAKE_VMLIST_H

#include "edge/vmlist.h"

typedef struct {
    const char *text; /* of the list; NULL: fail with status */
    status_t status;
    unsigned int calls;
} fake_vmlist_t;

/* A client of the list; its release does nothing. */
vmlist_client_t fake_vmlist_client(fake_vmlist_t *fake);

#endif
