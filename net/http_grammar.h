/*
 * The grammar of HTTP/1.1 messages (RFC 9112, sections 2 to 7), without their
 * meaning.
 *
 * HTTP libraries accept more than the grammar allows, and a message that two
 * readers frame differently is passed on as something else than it was. Each
 * reader of HTTP therefore checks the bytes of heads, chunks and trailer
 * fields here before it interprets them. Bodies that are not sent in chunks
 * need no check.
 *
 * A CR alone and a folded field line (section 5.2), which a reader may also
 * replace by a blank, are invalid, and so is status 101, as no request asks
 * for another protocol. More than the grammar has is allowed in three places:
 * empty lines may also precede a response, the space after a status code may
 * be missing, and a target may contain bytes above 0x7f.
 *
 *     http_grammar_t grammar;
 *     http_grammar_begin(&grammar, HTTP_GRAMMAR_RESPONSE);
 *     switch (http_grammar_feed(&grammar, bytes, size, &used)) {
 *     case HTTP_GRAMMAR_MORE: ... all bytes are valid, and more follow ...
 *     case HTTP_GRAMMAR_END: ... the part ends after `used` bytes ...
 *     case HTTP_GRAMMAR_INVALID: ...
 *     }
 */
#ifndef NET_HTTP_GRAMMAR_H
#define NET_HTTP_GRAMMAR_H

#include <stddef.h>
#include <stdint.h>

/* A part of a message that ends with an empty line. */
typedef enum {
    HTTP_GRAMMAR_REQUEST,  /* a request's head */
    HTTP_GRAMMAR_RESPONSE, /* a response's head, interim or final */
    HTTP_GRAMMAR_CHUNKS,   /* a body in chunks, with its trailer fields */
    HTTP_GRAMMAR_TRAILER   /* trailer fields alone */
} http_grammar_part_t;

typedef enum {
    HTTP_GRAMMAR_MORE,
    HTTP_GRAMMAR_END,
    HTTP_GRAMMAR_INVALID
} http_grammar_result_t;

/* Private to http_grammar.c. */
typedef struct {
    int state;
    uint32_t count;      /* of bytes in the element that is being read */
    uint32_t status;     /* code of a response */
    uint64_t chunk_size; /* bytes left of a chunk */
} http_grammar_t;

/* Begin to check a part. */
void http_grammar_begin(http_grammar_t *grammar, http_grammar_part_t part);

/*
 * Check the next bytes of the part. Sets *used to the number of bytes up to
 * the end of the part, to `size` if the part goes on, or to the offset of the
 * first invalid byte.
 */
http_grammar_result_t http_grammar_feed(http_grammar_t *grammar,
                                        const char *bytes, size_t size,
                                        size_t *used);

#endif
