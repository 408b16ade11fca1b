/*
 * JSON messages of the upstream interface: formats requests with parts and
 * parses replies. No I/O.
 */
#ifndef EDGE_WIRE_H
#define EDGE_WIRE_H

#include "core/gate.h"
#include "core/topology.h"

enum {
    WIRE_ID_SIZE = 48, /* bytes of an attempt id's text, with its NUL */
    WIRE_REPLY_MAX_BYTES = 1024 * 1024 /* largest accepted reply */
};

/*
 * Format and parse "<incarnation>-<sequence>-<attempt>", all in hexadecimal.
 * wire_id_parse returns false if text is invalid.
 */
void wire_id_format(attempt_id_t id, char text[WIRE_ID_SIZE]);
bool wire_id_parse(const char *text, attempt_id_t *id);

/*
 * Returns the body of POST /v1/parts, which the caller frees, and its size in
 * bytes; NULL: out of memory, or a payload is not valid UTF-8. All requests
 * are for the same upstream and service.
 */
char *wire_request_format(const part_request_t *requests, size_t count,
                          int64_t now_us, size_t *size);

/* The members of a reply that concern the whole call. */
typedef struct {
    uint64_t boot;
    bool shed;
    bool cold;
    int64_t retry_after_us;
    partition_t partition; /* first valid one in a part; shard_count 0: none */
} wire_reply_t;

/*
 * Parses a reply to the requests. replies[i] is set for requests[i]; its
 * status is PART_BAD_REPLY if the reply has no complete answer to it. On
 * STATUS_INVALID, if the reply as a whole is invalid, all get PART_BAD_REPLY.
 * The caller frees reply->partition.shards.
 */
status_t wire_reply_parse(const char *text, size_t size, long http_status,
                          const part_request_t *requests, size_t count,
                          wire_reply_t *reply, part_reply_t *replies,
                          error_t *err);

/* Parses a health reply; returns false if it is invalid. */
bool wire_health_parse(const char *text, size_t size, bool *cold,
                       bool *draining);

#endif
