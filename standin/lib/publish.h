/*
 * Publishes what index builders and the platform would publish: the partition
 * of each service to the store, and the list of VMs to the VM list.
 *
 *     publisher_t publisher = {.store_url = "http://127.0.0.1:8500"};
 *     if (!publish_partition(&publisher, service, generation)) ...
 */
#ifndef STANDIN_LIB_PUBLISH_H
#define STANDIN_LIB_PUBLISH_H

#include "standin/lib/host.h"

enum { ENTRIES_MAX = 16 };

/* A VM with the role "entry" on the VM list. */
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

/* Parses "NAME,ZONE,ADDRESS,PORT"; false: the text is malformed. */
bool entry_vm_parse(const char *text, entry_vm_t *entry);

/*
 * Writes the partition of a service to the store. Returns false if the write
 * failed. Without a store URL, does nothing and returns true.
 */
bool publish_partition(const publisher_t *publisher,
                       const service_plan_t *service, uint64_t generation);

/*
 * Sets the VM list to the host's upstreams and the entry VMs. Returns false if
 * the request failed. Without a VM list URL, does nothing and returns true.
 */
bool publish_vms(const publisher_t *publisher, host_t *host);

#endif
