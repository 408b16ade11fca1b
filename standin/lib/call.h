/*
 * One query of the load generator: its HTTP transfer, its request text and its
 * state.
 *
 *     call_init(&call, headers);
 *     call_format_query(&call, deadline_ms);
 *     call_transfer(&call, multi, "http://127.0.0.1:8001/v1/query", 3500);
 *     ... after the transfer, call.reply holds reply_size bytes ...
 *     call_release(&call);
 */
#ifndef STANDIN_LIB_CALL_H
#define STANDIN_LIB_CALL_H

#include "standin/lib/mix.h"

#include <curl/curl.h>

enum { CALL_TEXT_SIZE = 1024, CALL_BODY_SIZE = 64, CALL_TICKET_SIZE = 128 };

typedef enum {
    CALL_FREE,   /* carries no query */
    CALL_TICKET, /* a request for a ticket is in flight */
    CALL_QUERY,  /* the query is in flight */
    CALL_WAIT    /* waits until resend_us */
} call_step_t;

typedef struct {
    CURL *easy;
    char *reply;
    size_t reply_size;
    size_t reply_capacity;
    char request[CALL_TEXT_SIZE];
    call_step_t step;
    query_plan_t plan;
    uint64_t number;   /* of the query, from 0 */
    bool poisoned;     /* crashes the upstreams that run it */
    bool may_have_run; /* because of an earlier send */
    char body[CALL_BODY_SIZE];
    char ticket[CALL_TICKET_SIZE];
    int entry;         /* index in the directory; -1: none yet */
    unsigned sends;    /* sends of the query */
    unsigned refusals; /* retried refusals, connects and ticket requests */
    int64_t start_us;  /* when the query was due; reset by an abort */
    int64_t resend_us; /* CALL_WAIT: when to send again */
    int64_t abort_us;  /* when to close the connection; 0: never */
} call_t;

/* The headers must outlive the call. False: the handle can't be created. */
bool call_init(call_t *call, struct curl_slist *headers);
void call_release(call_t *call);

/* Starts a POST of the request text, or a GET if the text is empty. */
void call_transfer(call_t *call, CURLM *multi, const char *url,
                   int64_t timeout_ms);

/*
 * Formats the query as the request text. With deadline_ms 0 the service
 * table's deadline applies.
 */
void call_format_query(call_t *call, int64_t deadline_ms);

/* POSTs text and waits for the reply; false: the transfer failed. */
bool call_post(call_t *call, const char *url, const char *text);

#endif
