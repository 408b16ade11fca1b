/*
 * HTTP/1.1 messages as they arrive: a reader fed with bytes as they come.
 *
 * A message is kept whole before anyone sees it, so that nothing incomplete
 * is ever passed on. After HTTP_DONE the bytes not used belong to the next
 * message, or to nobody.
 *
 *     http_reader_t reader;
 *     http_reader_init(&reader, HTTP_REQUESTS, &limits);
 *     http_state_t state = http_reader_feed(&reader, bytes, size, &used);
 *     if (state == HTTP_DONE) {
 *         ... reader.message ...
 *         http_reader_next(&reader);
 *     }
 *     http_reader_release(&reader);
 */
#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include "net/buffer.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { HTTP_HEADERS_MAX = 96 };

/* Offsets into the message's text; both parts end with a NUL. */
typedef struct {
    uint32_t name;
    uint32_t value;
    uint32_t value_length;
} http_header_t;

typedef struct {
    buffer_t text; /* target, then names and values */
    buffer_t body;
    http_header_t headers[HTTP_HEADERS_MAX];
    uint32_t header_count;
    const char *method; /* of a request */
    uint32_t status;    /* of a response */
    bool keep_alive;
    bool expects_continue;
    bool close_delimited; /* no length: complete at a clean close */
} http_message_t;

typedef struct {
    size_t
        max_header_bytes; /* start line and headers; 0: no limit of its own */
    size_t max_body_bytes;
} http_limits_t;

typedef enum { HTTP_REQUESTS, HTTP_RESPONSES } http_kind_t;

typedef enum {
    HTTP_INCOMPLETE, /* incomplete so far */
    HTTP_DONE,
    HTTP_MALFORMED,         /* not HTTP */
    HTTP_HEADERS_TOO_LARGE, /* over the limits */
    HTTP_BODY_TOO_LARGE
} http_state_t;

typedef enum {
    READING_TARGET,
    READING_NAME,
    READING_VALUE
} http_reader_phase_t;

typedef struct {
    http_parser parser;
    http_kind_t kind;
    http_limits_t limits;
    http_message_t message;
    http_state_t failure; /* why a callback stopped the parser */
    http_reader_phase_t phase;
    bool started; /* some byte of this message has come */
    bool headers_done;
    bool done;
    bool is_head_response; /* the response awaited has no body */
} http_reader_t;

void http_reader_init(http_reader_t *reader, http_kind_t kind,
                      const http_limits_t *limits);
void http_reader_release(http_reader_t *reader);

/* Make ready for the next message; buffers are kept. */
void http_reader_next(http_reader_t *reader);

/* Feed bytes; used says how many were taken, all of them for HTTP_INCOMPLETE.
 */
http_state_t http_reader_feed(http_reader_t *reader, const char *bytes,
                              size_t size, size_t *used);

/* The connection closed cleanly: HTTP_DONE for a body that ends with it. */
http_state_t http_reader_feed_eof(http_reader_t *reader);

/* The request's target. */
const char *http_target(const http_message_t *message);

/* Name and value of a header by its index. */
const char *http_header_name(const http_message_t *message, uint32_t index);
const char *http_header_value(const http_message_t *message, uint32_t index);

/* The first header of that name, whatever the case; NULL: none. */
const char *http_header_find(const http_message_t *message, const char *name);

/*
 * Whether a header concerns the connection only, or frames the body, and so
 * is not passed on.
 */
bool http_header_is_hop_by_hop(const http_message_t *message,
                               const char *name);

#endif
