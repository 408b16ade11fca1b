/*
 * JSON of the upstream interface, as docs/PROTOCOL.md has it.
 *
 *     json_t *body = json_loadb(...);
 *     size_t count;
 *     if (wire_parse_parts(body, "ledger-desk-g0-r1", now_us, parts, &count))
 *         ... the parts' bodies point into body ...
 */
#ifndef STANDIN_LIB_WIRE_H
#define STANDIN_LIB_WIRE_H

#include "standin/lib/replica.h"

#include <jansson.h>

/*
 * Read a request to the named upstream into parts, which has room for
 * REPLICA_PARTS_MAX; false when it is malformed or for another upstream.
 */
bool wire_parse_parts(const json_t *body, const char *upstream, int64_t now_us,
                      run_part_t *parts, size_t *count);

/* The reply to a request whose parts all ended. */
json_t *wire_format_reply(const replica_t *replica, const run_part_t *parts,
                          size_t count);

/* The reply to a request of which nothing ran. */
json_t *wire_format_shed(const replica_t *replica);

/* State and load of the replica now. */
json_t *wire_format_health(const replica_t *replica);

/* Change state by an object of fields named as in replica_state_t. */
void wire_apply_state(const json_t *set, replica_state_t *state);

/* A partition as published in the store. */
json_t *wire_format_partition(const service_plan_t *service,
                              uint64_t generation);

/* An upstream's entry of the VM list. */
json_t *wire_format_vm(const replica_t *replica);

#endif
