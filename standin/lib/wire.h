/*
 * JSON messages of the upstream interface, which docs/PROTOCOL.md describes.
 *
 *     json_t *body = json_loadb(...);
 *     size_t count;
 *     if (wire_parse_parts(body, "ledger-desk-g0-r1", now_us, parts, &count))
 *         ... the parts' bodies point into the JSON value body ...
 *
 * The JSON values that these functions return belong to the caller.
 */
#ifndef STANDIN_LIB_WIRE_H
#define STANDIN_LIB_WIRE_H

#include "standin/lib/replica.h"

#include <jansson.h>

/*
 * Parses a request to the named upstream into parts, which has room for
 * REPLICA_PARTS_MAX elements. Returns false if the request is malformed, has
 * too many parts or is for another upstream.
 */
bool wire_parse_parts(const json_t *body, const char *upstream, int64_t now_us,
                      run_part_t *parts, size_t *count);

/* Reply to a request whose parts have all ended. */
json_t *wire_format_reply(const replica_t *replica, const run_part_t *parts,
                          size_t count);

/* Reply to a request that was refused, so that no part of it ran. */
json_t *wire_format_shed(const replica_t *replica);

/* Reply of GET /v1/health: present state and load of the replica. */
json_t *wire_format_health(const replica_t *replica);

/* Sets the members of state that set has fields for, by the same names. */
void wire_apply_state(const json_t *set, replica_state_t *state);

/* Document of a partition, as it is published in the store. */
json_t *wire_format_partition(const service_plan_t *service,
                              uint64_t generation);

/* Entry of an upstream on the VM list. */
json_t *wire_format_vm(const replica_t *replica);

#endif
