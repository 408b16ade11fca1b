/*
 * One caller's query on its way: the HTTP transfer, the request text and what
 * is known of the query so far.
 *
 *     call_init(&call, headers);
 *     call_format_query(&call, deadline_ms);
 *     call_transfer(&call, multi, "http://127.0.0.1:8001/v1/query", 3500);
 *     ... when the transfer ended, call.reply holds reply_size bytes ...
 *     call_release(&call);
 */
#ifndef STANDIN_LIB_CALL_H
#define STANDIN_LIB_CALL_H

#include "standin/lib/mix.h"

#include <curl/curl.h>

enum { CALL_TEXT_SIZE = 1024, CALL_BODY_SIZE = 64, CALL_TICKET_SIZE = 128 };

typedef enum { CALL_FREE, CALL_TICKET, CALL_QUERY, CALL_WAIT } call_step_t;

typedef struct {
    CURL *easy;
    char *reply;
    size_t reply_size;
    size_t reply_capacity;
    char request[CALL_TEXT_SIZE];
    call_step_t step;
    query_plan_t plan;
    uint64_t number;
    bool poisoned;
    bool may_have_run; /* an earlier send of it may have run */
    char body[CALL_BODY_SIZE];
    char ticket[CALL_TICKET_SIZE];
    int entry;
    unsigned sends;
    unsigned refusals;
    int64_t start_us;
    int64_t resend_us; /* CALL_WAIT: when to send again */
    int64_t abort_us;  /* when the connection is closed on purpose; 0: never */
} call_t;

bool call_init(call_t *call, struct curl_slist *headers);
void call_release(call_t *call);

/* Start a transfer of the request text, or a GET when that is empty. */
void call_transfer(call_t *call, CURLM *multi, const char *url,
                   int64_t timeout_ms);

/* Write the query as request text; deadline_ms 0 leaves it to the table. */
void call_format_query(call_t *call, int64_t deadline_ms);

/* Carry out a POST of text and wait; false when it was lost. */
bool call_post(call_t *call, const char *url, const char *text);

#endif
