/* Reading of valid and malformed HTTP messages, whole and in small pieces. */
#include "http/message.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>

typedef struct {
    const char *name;
    http_kind_t kind;
    const char *bytes;
    http_state_t state;
    bool eof; /* the peer closes the connection cleanly after the bytes */
    const char *body;
    size_t unused; /* bytes after the end of the message */
} message_case_t;

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const message_case_t message_cases[] = {
    {"a request", HTTP_REQUESTS, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
     HTTP_DONE, false, "", 0},
    {"a body with a length", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", HTTP_DONE,
     false, "abc", 0},
    {"a body in chunks", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nHost: h\r\n" CHUNKED
     "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
     HTTP_DONE, false, "abcd", 0},
    {"a pipelined request", HTTP_REQUESTS,
     "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b", HTTP_DONE, false, "", 6},
    {"incomplete headers", HTTP_REQUESTS, "GET /a HTTP/1.1\r\nHost: h\r\n",
     HTTP_INCOMPLETE, false, "", 0},
    {"both a length and chunks", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" CHUNKED
     "0\r\n\r\n",
     HTTP_MALFORMED, false, "", 0},
    {"two different lengths", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
     HTTP_MALFORMED, false, "", 0},
    {"a length that is not a number", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nContent-Length: 3a\r\n\r\nabc", HTTP_MALFORMED,
     false, "", 0},
    {"not HTTP", HTTP_REQUESTS, "\x16\x03\x01 hello\r\n\r\n", HTTP_MALFORMED,
     false, "", 0},
    {"a body over the limit", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nContent-Length: 999\r\n\r\n", HTTP_BODY_TOO_LARGE,
     false, "", 0},
    {"chunks over the limit", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\n" CHUNKED
     "20\r\n01234567890123456789012345678901\r\n20\r\n"
     "01234567890123456789012345678901\r\n",
     HTTP_BODY_TOO_LARGE, false, "", 0},
    {"headers over the limit", HTTP_REQUESTS,
     "GET /a HTTP/1.1\r\nX: "
     "012345678901234567890123456789012345678901234567890123456789012345678"
     "90123456789012345678901234567890123456789012345678901234567890\r\n\r\n",
     HTTP_HEADERS_TOO_LARGE, false, "", 0},
    {"trailer fields over the limit", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\n" CHUNKED "0\r\nX: "
     "012345678901234567890123456789012345678901234567890123456789012345678"
     "90123456789012345678901234567890123456789012345678901234567890\r\n\r\n",
     HTTP_HEADERS_TOO_LARGE, false, "", 0},
    {"an upgrade is ignored", HTTP_REQUESTS,
     "GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n"
     "Content-Length: 2\r\n\r\nab",
     HTTP_DONE, false, "ab", 0},
    {"a response", HTTP_RESPONSES,
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", HTTP_DONE, false, "ab",
     0},
    {"bytes after a response", HTTP_RESPONSES,
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP", HTTP_DONE, false,
     "ab", 4},
    {"an interim response before the final one", HTTP_RESPONSES,
     "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
     "Content-Length: 2\r\n\r\nab",
     HTTP_DONE, false, "ab", 0},
    {"a body that ends with the connection", HTTP_RESPONSES,
     "HTTP/1.1 200 OK\r\n\r\nabc", HTTP_DONE, true, "abc", 0},
    {"a body cut short", HTTP_RESPONSES,
     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", HTTP_MALFORMED, true,
     "", 0},
    {"chunks cut short", HTTP_RESPONSES,
     "HTTP/1.1 200 OK\r\n" CHUNKED "3\r\nabc\r\n", HTTP_MALFORMED, true, "",
     0},
    {"headers cut short", HTTP_RESPONSES, "HTTP/1.1 200 OK\r\nX: y",
     HTTP_MALFORMED, true, "", 0},
    {"a close without any bytes", HTTP_RESPONSES, "", HTTP_MALFORMED, true, "",
     0},
    {"not a response", HTTP_RESPONSES, "garbage\r\n\r\n", HTTP_MALFORMED,
     false, "", 0},
};

static const http_limits_t limits = {.max_header_bytes = 120,
                                     .max_body_bytes = 60};

static void
check_case(const message_case_t *c, size_t step)
{
    http_reader_t reader;
    http_reader_init(&reader, c->kind, &limits);
    size_t size = strlen(c->bytes);
    size_t offset = 0;
    http_state_t state = HTTP_INCOMPLETE;
    while (offset < size && state == HTTP_INCOMPLETE) {
        size_t used = 0;
        size_t piece = size - offset < step ? size - offset : step;
        state = http_reader_feed(&reader, c->bytes + offset, piece, &used);
        offset += used;
    }
    if (state == HTTP_INCOMPLETE && c->eof) {
        state = http_reader_feed_eof(&reader);
    }
    ck_assert_msg(state == c->state, "%s, %zu at a time: %d", c->name, step,
                  state);
    if (state == HTTP_DONE) {
        const buffer_t *body = &reader.message.body;
        ck_assert_msg(buffer_size(body) == strlen(c->body), "%s", c->name);
        ck_assert_msg(
            buffer_size(body) == 0 ||
                memcmp(buffer_data(body), c->body, buffer_size(body)) == 0,
            "%s", c->name);
        ck_assert_msg(size - offset == c->unused, "%s: %zu unused", c->name,
                      size - offset);
    }
    http_reader_release(&reader);
}

START_TEST(test_message)
{
    const message_case_t *c = &message_cases[_i];
    check_case(c, 4096);
    check_case(c, 1);
    check_case(c, 7);
}
END_TEST

START_TEST(test_headers)
{
    static const char bytes[] =
        "GET /a?b HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nConnection: close, "
        "X-Own\r\nX-Own: 1\r\nx-other:  two words \r\n\r\n";
    http_reader_t reader;
    size_t used;
    http_reader_init(&reader, HTTP_REQUESTS, &limits);
    ck_assert_int_eq(
        http_reader_feed(&reader, bytes, sizeof(bytes) - 1, &used), HTTP_DONE);
    const http_message_t *message = &reader.message;
    ck_assert_str_eq(http_target(message), "/a?b");
    ck_assert_str_eq(message->method, "GET");
    ck_assert_uint_eq(message->header_count, 5);
    ck_assert_str_eq(http_header_find(message, "x-empty"), "");
    ck_assert_str_eq(http_header_find(message, "X-Other"), "two words ");
    ck_assert_ptr_null(http_header_find(message, "X-None"));
    ck_assert(!message->keep_alive);
    ck_assert(http_header_is_hop_by_hop(message, "X-Own"));
    ck_assert(http_header_is_hop_by_hop(message, "connection"));
    ck_assert(!http_header_is_hop_by_hop(message, "X-Other"));
    /* Nothing of the first message remains in the next one. */
    http_reader_next(&reader);
    static const char next[] = "GET /c HTTP/1.1\r\nA: b\r\n\r\n";
    ck_assert_int_eq(http_reader_feed(&reader, next, sizeof(next) - 1, &used),
                     HTTP_DONE);
    ck_assert_str_eq(http_target(&reader.message), "/c");
    ck_assert_uint_eq(reader.message.header_count, 1);
    ck_assert(reader.message.keep_alive);
    http_reader_release(&reader);
}
END_TEST

/* A message with a marker in each header, then a chunked one with header and
   trailer fields, on the same reader. */
typedef struct {
    const char *name;
    http_kind_t kind;
    const char *first_line; /* of both messages */
    uint32_t first_headers;
    uint32_t headers; /* beside Transfer-Encoding */
    uint32_t trailers;
} trailer_case_t;

#define RESPONSE_LINE "HTTP/1.1 200 OK\r\n"
#define REQUEST_LINE "POST /a HTTP/1.1\r\n"

static const trailer_case_t trailer_cases[] = {
    {"response, one trailer field", HTTP_RESPONSES, RESPONSE_LINE, 5, 2, 1},
    {"response, no header", HTTP_RESPONSES, RESPONSE_LINE, 5, 0, 1},
    {"response, many trailer fields", HTTP_RESPONSES, RESPONSE_LINE, 40, 3,
     30},
    {"response, more headers than before", HTTP_RESPONSES, RESPONSE_LINE, 2, 9,
     2},
    {"request, one trailer field", HTTP_REQUESTS, REQUEST_LINE, 5, 2, 1},
    {"request, many trailer fields", HTTP_REQUESTS, REQUEST_LINE, 40, 3, 30},
};

#define MARKER "of-the-first-message"

static size_t
write_fields(char *text, size_t size, uint32_t count, const char *name,
             const char *value)
{
    size_t length = 0;
    for (uint32_t i = 0; i < count; i++) {
        length += (size_t)snprintf(text + length, size - length,
                                   "%s-%u: %s\r\n", name, i, value);
    }
    return length;
}

/* Feed a whole message in pieces of `step` bytes. */
static void
feed_message(http_reader_t *reader, const char *bytes, size_t size,
             size_t step, const char *name)
{
    http_state_t state = HTTP_INCOMPLETE;
    for (size_t offset = 0; offset < size;) {
        size_t used = 0;
        size_t piece = size - offset < step ? size - offset : step;
        ck_assert_msg(state == HTTP_INCOMPLETE, "%s: %d", name, state);
        state = http_reader_feed(reader, bytes + offset, piece, &used);
        ck_assert_msg(used == piece, "%s: %zu of %zu", name, used, piece);
        offset += used;
    }
    ck_assert_msg(state == HTTP_DONE, "%s: %d", name, state);
}

/* Guards against MIXED: a trailer field made a header of the message before
   appear in this one. */
START_TEST(test_trailer_fields)
{
    static const http_limits_t large = {.max_header_bytes = 16384};
    const trailer_case_t *c = &trailer_cases[_i];
    char text[8192];
    static const size_t steps[] = {8192, 1, 7};
    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        http_reader_t reader;
        http_reader_init(&reader, c->kind, &large);
        size_t size =
            (size_t)snprintf(text, sizeof(text), "%s", c->first_line);
        size += write_fields(text + size, sizeof(text) - size,
                             c->first_headers, "X-" MARKER, MARKER);
        size += (size_t)snprintf(text + size, sizeof(text) - size,
                                 "Content-Length: 0\r\n\r\n");
        feed_message(&reader, text, size, steps[i], c->name);
        http_reader_next(&reader);
        size = (size_t)snprintf(text, sizeof(text), "%s", c->first_line);
        size += write_fields(text + size, sizeof(text) - size, c->headers,
                             "X-Own", "own");
        size += (size_t)snprintf(text + size, sizeof(text) - size,
                                 CHUNKED "3\r\nabc\r\n0\r\n");
        size += write_fields(text + size, sizeof(text) - size, c->trailers,
                             "X-Trailer", "trailer");
        size += (size_t)snprintf(text + size, sizeof(text) - size, "\r\n");
        feed_message(&reader, text, size, steps[i], c->name);
        const http_message_t *message = &reader.message;
        ck_assert_msg(message->header_count == c->headers + 1,
                      "%s: %u headers", c->name, message->header_count);
        for (uint32_t j = 0; j < message->header_count; j++) {
            const char *field = http_header_name(message, j);
            const char *value = http_header_value(message, j);
            ck_assert_msg(strstr(field, MARKER) == NULL &&
                              strstr(value, MARKER) == NULL &&
                              strstr(field, "X-Trailer") == NULL,
                          "%s: %s: %s", c->name, field, value);
            ck_assert_msg(message->headers[j].value_length == strlen(value),
                          "%s: %s", c->name, field);
        }
        ck_assert_uint_eq(buffer_size(&message->body), 3);
        http_reader_release(&reader);
    }
}
END_TEST

/* Guards against LOST: trailer fields after the most headers that a message
   may have were written past the array, and the process ended. */
START_TEST(test_most_headers_and_trailer_fields)
{
    static const http_limits_t large = {.max_header_bytes = 65536};
    static const uint32_t trailers[] = {0, 1, 2, 200};
    char text[16384];
    for (size_t i = 0; i < sizeof(trailers) / sizeof(trailers[0]); i++) {
        http_reader_t reader;
        http_reader_init(&reader, HTTP_REQUESTS, &large);
        size_t size = (size_t)snprintf(text, sizeof(text), REQUEST_LINE);
        size += write_fields(text + size, sizeof(text) - size,
                             HTTP_HEADERS_MAX - 1, "X", "a");
        size += (size_t)snprintf(text + size, sizeof(text) - size,
                                 CHUNKED "3\r\nabc\r\n0\r\n");
        size += write_fields(text + size, sizeof(text) - size, trailers[i],
                             "T", "b");
        size += (size_t)snprintf(text + size, sizeof(text) - size, "\r\n");
        feed_message(&reader, text, size, sizeof(text), "most headers");
        ck_assert_str_eq(reader.message.method, "POST");
        ck_assert_uint_eq(reader.message.header_count, HTTP_HEADERS_MAX);
        ck_assert_uint_eq(buffer_size(&reader.message.body), 3);
        http_reader_release(&reader);
    }
}
END_TEST

/* A response that is cut at each byte, and the least length at which the close
   of the connection completes it. */
typedef struct {
    const char *name;
    const char *head;
    const char *body;
    bool close_delimited; /* the head and any part of the body are complete */
} cut_case_t;

static const cut_case_t cut_cases[] = {
    {"with a length", RESPONSE_LINE "A: b\r\nContent-Length: 3\r\n\r\n", "abc",
     false},
    {"in chunks", RESPONSE_LINE "A: b\r\n" CHUNKED,
     "3\r\nabc\r\n0\r\nT: u\r\n\r\n", false},
    {"until the close", RESPONSE_LINE "A: b\r\n\r\n", "abc", true},
    {"after an interim one",
     "HTTP/1.1 103 Early\r\nC: d\r\n\r\n" RESPONSE_LINE "A: b\r\n\r\n", "abc",
     true},
    {"with line feeds only", "HTTP/1.1 200 OK\nA: b\nContent-Length: 3\n\n",
     "abc", false},
};

/* Guards against MIXED: a response whose head was cut by a close passed as a
   whole one with an empty body. */
START_TEST(test_cut_response)
{
    static const char first[] =
        RESPONSE_LINE "Content-Length: 2\r\nX: y\r\n\r\nok";
    const cut_case_t *c = &cut_cases[_i];
    char text[256];
    size_t size =
        (size_t)snprintf(text, sizeof(text), "%s%s", c->head, c->body);
    size_t complete = c->close_delimited ? strlen(c->head) : size;
    for (size_t cut = 0; cut <= size; cut++) {
        http_reader_t reader;
        size_t used;
        http_reader_init(&reader, HTTP_RESPONSES, &limits);
        feed_message(&reader, first, sizeof(first) - 1, sizeof(first),
                     c->name);
        http_reader_next(&reader);
        http_state_t state = http_reader_feed(&reader, text, cut, &used);
        if (state == HTTP_INCOMPLETE) {
            state = http_reader_feed_eof(&reader);
        }
        ck_assert_msg((state == HTTP_DONE) == (cut >= complete),
                      "%s, cut after %zu bytes: %d", c->name, cut, state);
        http_reader_release(&reader);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("message");
    tcase_add_loop_test(tests, test_message, 0,
                        sizeof(message_cases) / sizeof(message_cases[0]));
    tcase_add_test(tests, test_headers);
    tcase_add_test(tests, test_most_headers_and_trailer_fields);
    tcase_add_loop_test(tests, test_cut_response, 0,
                        sizeof(cut_cases) / sizeof(cut_cases[0]));
    tcase_add_loop_test(tests, test_trailer_fields, 0,
                        sizeof(trailer_cases) / sizeof(trailer_cases[0]));
    return suite_run("message", tests);
}
