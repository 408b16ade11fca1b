/*
 * A VM list client without a platform: it returns a given text or a failure.
 */
#ifndef T_LIB_FAKE_VMLIST_H
#define T_LIB_FAKE_VMLIST_H

#include "edge/vmlist.h"

typedef struct {
    const char *text;   /* of the list; NULL: fail with status */
    status_t status;    /* returned if text is NULL */
    unsigned int calls; /* number of calls of fetch */
} fake_vmlist_t;

/* Returns a client of the fake; releasing the client does nothing. */
vmlist_client_t fake_vmlist_client(fake_vmlist_t *fake);

#endif
