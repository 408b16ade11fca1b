/*
 * Declarations shared by front.c and front_relay.c; no other file includes
 * this header.
 */
#ifndef TIER_FRONT_STATE_H
#define TIER_FRONT_STATE_H

#include "tier/front.h"
#include "tier/members.h"
#include "tier/relay_link.h"

enum { RELAY_HEADERS_SIZE = 128 };

/* State of a request until its answer. */
typedef struct {
    front_t *front;
    request_t *request; /* NULL: the engine does not handle it */
    call_t call;
    buffer_t head;
    char id[ENGINE_ID_SIZE];
    bool is_head;       /* a HEAD request, so the answer has no body */
    bool is_identified; /* by the configuration of that version */
    uint64_t identified_version; /* UINT64_MAX: none was in force */

    /* Relaying; see front_relay.c. */
    relay_call_t *relay; /* in flight; NULL: none */
    char peer[MEMBER_NAME_SIZE];
    uint32_t relays;   /* peers asked so far */
    bool relays_ended; /* it is not relayed again */
    bool may_have_run; /* here, or at a peer whose response was lost */
    bool has_failed;   /* the engine has answered with an error */
    answer_t failure;  /* that error, for the case that no peer takes it */
    int64_t deadline_us;

    /* Its token; see front_quota.c. */
    bool has_token;
    int64_t quota_until_us; /* it waits for a token until then; 0: it does not
                             */
} pending_t;

/*
 * Find the request's tenant by the configuration in force and write the head
 * to forward. False: the request was answered, mostly with 401. Call it again
 * before the request is passed on later; it does nothing if the configuration
 * is the same, or if the request may have run already.
 */
bool front_identify(exchange_t *exchange, pending_t *pending);

/* Append a header line to a head; false: out of memory. */
bool front_head_add(buffer_t *head, const char *name, const char *value);

/* Append the message's header lines, except hop-by-hop headers and those named
   in without, which ends with NULL; false: out of memory. */
bool front_head_copy(buffer_t *head, const http_message_t *message,
                     const char *const *without);

/* Refuse a request without passing it to the engine, or replace an answer that
   can't be sent. */
void front_refuse(front_t *front, exchange_t *exchange, uint32_t status,
                  const char *reason, int64_t retry_after_us);

/* Pass the request to the engine. */
void front_begin(exchange_t *exchange, pending_t *pending, int64_t now_us);

/* Take a token for a request of a tenant. False: it waits until it is woken,
   or was refused. */
bool front_take_token(exchange_t *exchange, pending_t *pending,
                      int64_t now_us);

/* The request has not run and never will. */
void front_return_token(pending_t *pending);

/* Answer the caller: with a message unchanged except for hop-by-hop headers,
   or with an error of this daemon. */
void front_answer_message(exchange_t *exchange, const http_message_t *message);
void front_answer_error(exchange_t *exchange, const answer_t *answer);

/* Relay the request to a peer. False: no peer can take it; the request is as
   before, and is not relayed any more. */
bool front_relay(exchange_t *exchange, pending_t *pending, int64_t now_us);

/* Whether a relayed request can be taken here; if not, it is refused. */
bool front_take_relayed(exchange_t *exchange, front_t *front);

/* Header lines that a response to a relayed request needs besides; "" for
   other requests. reason: why the request was not handled; NULL: it was. */
void front_relay_headers(const front_t *front, const char *reason, char *text,
                         size_t size);

#endif
