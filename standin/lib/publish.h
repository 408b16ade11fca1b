/*
 * What index builders and the platform's machinery tell the platform's
 * services: the partition of each service and the list of VMs.
 *
 *     publisher_t publisher = {.store_url = "http://127.0.0.1:8500"};
 *     if (!publish_partition(&publisher, service, generation)) ...
 */
#ifndef STANDIN_LIB_PUBLISH_H
#define STANDIN_LIB_PUBLISH_H

#include "standin/lib/host.h"

enum { ENTRIES_MAX = 16 };

typedef struct {
    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    char address[ADDRESS_SIZE];
    uint16_t port;
} entry_vm_t;

typedef struct {
    const char *store_url;  /* NULL: partitions are not published */
    const char *vmlist_url; /* NULL: the list is not published */
    entry_vm_t entries[ENTRIES_MAX];
    size_t entry_count;
} publisher_t;

/* Read "NAME,ZONE,ADDRESS,PORT"; false when it is malformed. */
bool entry_vm_parse(const char *text, entry_vm_t *entry);

/* Put the partition of a service into the store; false when refused. */
bool publish_partition(const publisher_t *publisher,
                       const service_plan_t *service, uint64_t generation);

/* Set the VM list to the host's upstreams and the entry VMs. */
bool publish_vms(const publisher_t *publisher, host_t *host);

#endif
