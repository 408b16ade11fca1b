/*
 * A query's answer in the JSON form that callers get; see docs/PROTOCOL.md.
 */
#ifndef DAEMON_ANSWER_JSON_H
#define DAEMON_ANSWER_JSON_H

#include "core/query.h"

#include <jansson.h>

enum { QUERY_NAME_SIZE = 40 };

/*
 * Formats the name of a query, "<incarnation>-<sequence>" in hexadecimal;
 * query_name_parse returns false if the text has another form.
 */
void query_name_format(uint64_t incarnation, uint64_t sequence,
                       char name[QUERY_NAME_SIZE]);
bool query_name_parse(const char *name, uint64_t *incarnation,
                      uint64_t *sequence);

/* Returns the answer as a new object, or NULL if memory is out. */
json_t *answer_json(const query_answer_t *answer, uint64_t incarnation,
                    uint64_t sequence, int64_t took_us);

/* Returns the HTTP status of an answer. */
unsigned answer_http_status(const query_answer_t *answer);

/* Fills the answer of a query that was refused before anything was sent. */
void answer_refuse(query_answer_t *answer, reason_t reason,
                   int64_t retry_after_us);

#endif
