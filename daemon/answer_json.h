/*
 * A query's answer as callers see it; see docs/PROTOCOL.md.
 */
#ifndef DAEMON_ANSWER_JSON_H
#define DAEMON_ANSWER_JSON_H

#include "core/query.h"

#include <jansson.h>

enum { QUERY_NAME_SIZE = 40 };

/* "<incarnation>-<sequence>", both in hexadecimal. */
void query_name_format(uint64_t incarnation, uint64_t sequence,
                       char name[QUERY_NAME_SIZE]);
bool query_name_parse(const char *name, uint64_t *incarnation,
                      uint64_t *sequence);

/* NULL: no memory. */
json_t *answer_json(const query_answer_t *answer, uint64_t incarnation,
                    uint64_t sequence, int64_t took_us);

/* The HTTP status that goes with an answer. */
unsigned answer_http_status(const query_answer_t *answer);

/* An answer of a query that was refused before anything was sent. */
void answer_refuse(query_answer_t *answer, reason_t reason,
                   int64_t retry_after_us);

#endif
