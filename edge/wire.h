/*
 * JSON of the upstream interface: parts out, results in. No I/O.
 */
#ifndef EDGE_WIRE_H
#define EDGE_WIRE_H

#include "core/gate.h"
#include "core/topology.h"

enum {
    WIRE_ID_SIZE = 48,                 /* text of an attempt id */
    WIRE_REPLY_MAX_BYTES = 1024 * 1024 /* bytes of one reply */
};

/* "<incarnation>-<sequence>-<attempt>", all in hexadecimal. */
void wire_id_format(attempt_id_t id, char text[WIRE_ID_SIZE]);
bool wire_id_parse(const char *text, attempt_id_t *id);

/*
 * The body of POST /v1/parts, freed by the caller; NULL: no memory or a
 * payload that is not text.
 */
char *wire_request_format(const part_request_t *requests, size_t count,
                          int64_t now_us, size_t *size);

/* A reply as far as it concerns the whole call. */
typedef struct {
    uint64_t boot;
    bool shed;
    bool cold;
    int64_t retry_after_us;
    partition_t partition; /* of a moved part; shard_count 0: none */
} wire_reply_t;

/*
 * Parse a reply to the given requests. replies[i] is filled for requests[i]:
 * a request that the reply does not answer in full gets PART_BAD_REPLY. On
 * STATUS_INVALID every one does. partition.shards is freed by the caller.
 */
status_t wire_reply_parse(const char *text, size_t size, long http_status,
                          const part_request_t *requests, size_t count,
                          wire_reply_t *reply, part_reply_t *replies,
                          error_t *err);

/* Parse a health answer; false: it cannot be read. */
bool wire_health_parse(const char *text, size_t size, bool *cold,
                       bool *draining);

#endif
