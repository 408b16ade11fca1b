/*
 * An incremental reader of HTTP/1.1 messages.
 *
 * The reader is fed with bytes as they arrive and buffers a message until it
 * is complete, so that an incomplete message is never passed on. Bytes that
 * the grammar of HTTP does not allow (net/http_grammar.h) make it malformed,
 * also where the parser would read on. After
 * HTTP_DONE, bytes that were not used belong to the next message, or are
 * surplus if no other message is expected. Trailer fields are discarded, which
 * RFC 9110, section 6.5.1, allows, as they must not pass for headers.
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
#include "net/http_grammar.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    HTTP_HEADERS_MAX = 96,
    HTTP_RETAIN_MAX_BYTES = 32 << 10, /* of each buffer of an idle reader */
    HTTP_INTERIM_MAX = 100 /* interim responses before a final one */
};

/* Offsets into the message's text; name and value are NUL-terminated. */
typedef struct {
    uint32_t name;
    uint32_t value;
    uint32_t value_length;
} http_header_t;

typedef struct {
    buffer_t text; /* target, then names and values, each NUL-terminated */
    buffer_t body;
    http_header_t headers[HTTP_HEADERS_MAX];
    uint32_t header_count;
    const char *method; /* of a request */
    uint32_t status;    /* of a response */
    bool keep_alive;
    bool expects_continue;
    bool close_delimited; /* the close of the connection ended the body */
} http_message_t;

typedef struct {
    /* Target, headers and trailer fields; 0: only the limit that http_parser
       has. */
    size_t max_header_bytes;
    size_t max_body_bytes; /* 0: no limit */
} http_limits_t;

typedef enum { HTTP_REQUESTS, HTTP_RESPONSES } http_kind_t;

typedef enum {
    HTTP_INCOMPLETE, /* more bytes are needed */
    HTTP_DONE,
    HTTP_MALFORMED,         /* not valid HTTP */
    HTTP_HEADERS_TOO_LARGE, /* in bytes or in number */
    HTTP_BODY_TOO_LARGE
} http_state_t;

typedef enum {
    READING_TARGET,
    READING_NAME,
    READING_VALUE,
    READING_BODY /* and the trailer fields after it */
} http_reader_phase_t;

typedef struct {
    http_parser parser;
    http_grammar_t grammar; /* of the head, and then of a body in chunks */
    http_kind_t kind;
    http_limits_t limits;
    http_message_t message;
    http_state_t failure; /* reported when the parser stops with an error */
    http_reader_phase_t phase;
    size_t trailer_bytes;   /* of the trailer fields that were discarded */
    uint32_t interim_count; /* interim responses that were skipped */
    bool started;           /* the start of this message has arrived */
    bool headers_done;
    bool done;
    /*
     * The next response answers a HEAD request and so has no body. The user of
     * the reader sets this before feeding; http_reader_next clears it.
     */
    bool is_head_response;
} http_reader_t;

void http_reader_init(http_reader_t *reader, http_kind_t kind,
                      const http_limits_t *limits);
void http_reader_release(http_reader_t *reader);

/* Discard the message and prepare for the next one. Buffers are kept up to
   HTTP_RETAIN_MAX_BYTES, so that idle connections take little memory. */
void http_reader_next(http_reader_t *reader);

/*
 * Feed bytes; *used is the number of bytes consumed, which is all of them for
 * HTTP_INCOMPLETE. Running out of memory is reported as HTTP_HEADERS_TOO_LARGE
 * or HTTP_BODY_TOO_LARGE. Interim (1xx) responses are skipped; more than
 * HTTP_INTERIM_MAX are reported as HTTP_HEADERS_TOO_LARGE.
 */
http_state_t http_reader_feed(http_reader_t *reader, const char *bytes,
                              size_t size, size_t *used);

/*
 * Report that the peer closed the connection cleanly. Returns HTTP_DONE if
 * this completes the message, that is if its body has no stated length, and
 * HTTP_MALFORMED otherwise.
 */
http_state_t http_reader_feed_eof(http_reader_t *reader);

/*
 * The functions below return strings of the message, valid until
 * http_reader_next or http_reader_release.
 */

/* The target of a request. */
const char *http_target(const http_message_t *message);

/* Name and value of the header at index, which is below header_count. */
const char *http_header_name(const http_message_t *message, uint32_t index);
const char *http_header_value(const http_message_t *message, uint32_t index);

/* Bytes of the message, or of the part of it that was read. */
size_t http_message_size(const http_message_t *message);

/* Value of the first header with that name, ignoring case; NULL: none. */
const char *http_header_find(const http_message_t *message, const char *name);

/*
 * Whether a header is hop-by-hop: it concerns this connection only or frames
 * the body, and so must not be forwarded. Headers that the message's
 * Connection header lists are hop-by-hop too.
 */
bool http_header_is_hop_by_hop(const http_message_t *message,
                               const char *name);

#endif
