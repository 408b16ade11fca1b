/*
 * Bytes that the grammar of HTTP does not allow, in responses and requests: no
 * reader takes them for a message, and no caller gets them as an answer.
 */
#include "http/message.h"
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define IN_CHUNKS "Transfer-Encoding: chunked\r\n\r\n"

static const http_limits_t limits = {.max_header_bytes = 4096,
                                     .max_body_bytes = 4096};

/* Read a message in pieces of `step` bytes. */
static http_state_t
read_message(http_kind_t kind, const char *bytes, size_t size, size_t step)
{
    http_reader_t reader;
    http_reader_init(&reader, kind, &limits);
    http_state_t state = HTTP_INCOMPLETE;
    for (size_t at = 0; at < size && state == HTTP_INCOMPLETE;) {
        size_t used;
        state = http_reader_feed(&reader, bytes + at,
                                 size - at < step ? size - at : step, &used);
        at += used;
    }
    http_reader_release(&reader);
    return state;
}

/* Guards against MIXED: an answer with status 000. */
START_TEST(test_status)
{
    for (int status = 0; status < 1000; status++) {
        char text[128];
        int size =
            snprintf(text, sizeof(text), "HTTP/1.1 %03d X\r\n" EMPTY, status);
        http_state_t expected =
            status == 101 || status < 100 || status > 599 ? HTTP_MALFORMED
            : status < 200 ? HTTP_INCOMPLETE /* an interim response */
                           : HTTP_DONE;
        http_state_t state =
            read_message(HTTP_RESPONSES, text, (size_t)size, sizeof(text));
        ck_assert_msg(state == expected, "%03d: %d", status, state);
    }
}
END_TEST

static bool
is_tchar(int byte)
{
    return byte < 0x80 && byte != 0 &&
           (isalnum(byte) || strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* The colon ends the name, and the rest is its value. */
static bool
is_name(int byte)
{
    return is_tchar(byte) || byte == ':';
}

static bool
is_text(int byte)
{
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool
is_target(int byte)
{
    return byte > ' ' && byte != 0x7f;
}

/* A message with one byte between two pieces. */
typedef struct {
    const char *name;
    http_kind_t kind;
    const char *before;
    const char *after;
    bool (*is_valid)(int byte);
} byte_case_t;

static const byte_case_t byte_cases[] = {
    {"name of a field", HTTP_RESPONSES, OK_LINE "X", "Y: z\r\n" EMPTY,
     is_name},
    {"start of a name", HTTP_RESPONSES, OK_LINE, "Y: z\r\n" EMPTY, is_tchar},
    {"end of a name", HTTP_RESPONSES, OK_LINE "X", ": z\r\n" EMPTY, is_name},
    {"value of a field", HTTP_RESPONSES, OK_LINE "X: y", "z\r\n" EMPTY,
     is_text},
    {"reason phrase", HTTP_RESPONSES, "HTTP/1.1 200 O", "K\r\n" EMPTY,
     is_text},
    {"name of a trailer field", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "1\r\na\r\n0\r\nX", "Y: z\r\n\r\n", is_name},
    {"value of a trailer field", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "1\r\na\r\n0\r\nX: y", "z\r\n\r\n", is_text},
    {"chunk extension", HTTP_RESPONSES, OK_LINE IN_CHUNKS "1;a=b",
     "c\r\na\r\n0\r\n\r\n", is_text},
    {"name of a field of a request", HTTP_REQUESTS, "GET /a HTTP/1.1\r\nX",
     "Y: z\r\n" EMPTY, is_name},
    {"value of a field of a request", HTTP_REQUESTS, "GET /a HTTP/1.1\r\nX: y",
     "z\r\n" EMPTY, is_text},
    {"target", HTTP_REQUESTS, "GET /a", "b HTTP/1.1\r\n" EMPTY, is_target},
};

/* Guards against MIXED: a field's name that holds a blank or a control byte,
   and the same in the other elements of a message. */
START_TEST(test_bytes)
{
    static const size_t steps[] = {4096, 1, 7};
    const byte_case_t *c = &byte_cases[_i];
    for (int byte = 0; byte < 256; byte++) {
        char text[512];
        size_t before = strlen(c->before);
        int after = snprintf(text + before + 1, sizeof(text) - before - 1,
                             "%s", c->after);
        memcpy(text, c->before, before);
        text[before] = (char)byte;
        for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
            http_state_t state = read_message(
                c->kind, text, before + 1 + (size_t)after, steps[i]);
            /* A LF at the start of a line ends the head. */
            ck_assert_msg((state == HTTP_DONE) == c->is_valid(byte) &&
                              (state != HTTP_INCOMPLETE || byte == '\n'),
                          "%s, byte %02x, %zu at a time: %d", c->name, byte,
                          steps[i], state);
        }
    }
}
END_TEST

typedef struct {
    const char *name;
    http_kind_t kind;
    const char *bytes;
    http_state_t state;
} framing_case_t;

static const framing_case_t framing_cases[] = {
    {"a blank before the colon hides a length", HTTP_RESPONSES,
     OK_LINE "Content-Length : 2\r\n\r\nab", HTTP_MALFORMED},
    {"a blank before the colon hides the chunks", HTTP_RESPONSES,
     OK_LINE "Transfer-Encoding : chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
     HTTP_MALFORMED},
    {"a folded line", HTTP_RESPONSES, OK_LINE "X: y\r\n z\r\n" EMPTY,
     HTTP_MALFORMED},
    {"a line without a colon", HTTP_RESPONSES, OK_LINE "X\r\n" EMPTY,
     HTTP_MALFORMED},
    {"a line without a name", HTTP_RESPONSES, OK_LINE ": y\r\n" EMPTY,
     HTTP_MALFORMED},
    {"a CR alone", HTTP_RESPONSES, OK_LINE "X: y\rZ: a\r\n" EMPTY,
     HTTP_MALFORMED},
    {"two digits of a status", HTTP_RESPONSES, "HTTP/1.1 20 OK\r\n" EMPTY,
     HTTP_MALFORMED},
    {"four digits of a status", HTTP_RESPONSES, "HTTP/1.1 0200 OK\r\n" EMPTY,
     HTTP_MALFORMED},
    {"two blanks before a status", HTTP_RESPONSES,
     "HTTP/1.1  200 OK\r\n" EMPTY, HTTP_MALFORMED},
    {"no reason phrase", HTTP_RESPONSES, "HTTP/1.1 200 \r\n" EMPTY, HTTP_DONE},
    {"another version", HTTP_RESPONSES, "HTTP/2.0 200 OK\r\n" EMPTY,
     HTTP_MALFORMED},
    {"an earlier minor version", HTTP_RESPONSES, "HTTP/1.0 200 OK\r\n" EMPTY,
     HTTP_DONE},
    {"a length with a sign", HTTP_RESPONSES,
     OK_LINE "Content-Length: +2\r\n\r\nab", HTTP_MALFORMED},
    {"a list of lengths", HTTP_RESPONSES,
     OK_LINE "Content-Length: 2, 2\r\n\r\nab", HTTP_MALFORMED},
    {"an empty length", HTTP_RESPONSES, OK_LINE "Content-Length:\r\n\r\n",
     HTTP_MALFORMED},
    {"blanks after a length", HTTP_RESPONSES,
     OK_LINE "Content-Length: 2  \r\n\r\nab", HTTP_DONE},
    {"a length beside chunks", HTTP_RESPONSES,
     OK_LINE "Content-Length: 2\r\n" IN_CHUNKS "1\r\na\r\n0\r\n\r\n",
     HTTP_MALFORMED},
    {"another transfer coding", HTTP_RESPONSES,
     OK_LINE "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
     HTTP_MALFORMED},
    {"the transfer coding twice", HTTP_RESPONSES,
     OK_LINE "Transfer-Encoding: chunked\r\n" IN_CHUNKS "1\r\na\r\n0\r\n\r\n",
     HTTP_MALFORMED},
    {"an unknown transfer coding", HTTP_RESPONSES,
     OK_LINE "Transfer-Encoding: identity\r\n\r\n", HTTP_MALFORMED},
    {"blanks after the transfer coding", HTTP_RESPONSES,
     OK_LINE "Transfer-Encoding: Chunked \r\n\r\n1\r\na\r\n0\r\n\r\n",
     HTTP_DONE},
    {"a chunk longer than stated", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "1\r\nabc0\r\n\r\n", HTTP_MALFORMED},
    {"a chunk shorter than stated", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "3\r\na\r\n0\r\n\r\n", HTTP_MALFORMED},
    {"a byte in place of the CR after a chunk", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "1\r\naX\n0\r\n\r\n", HTTP_MALFORMED},
    {"a byte in place of the LF after a chunk", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "1\r\na\rX0\r\n\r\n", HTTP_MALFORMED},
    {"a chunk's size without its LF", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "1\rXa\r\n0\r\n\r\n", HTTP_MALFORMED},
    {"a chunk's size with a sign", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "+1\r\na\r\n0\r\n\r\n", HTTP_MALFORMED},
    {"a chunk's size beyond 60 bits", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "ffffffffffffffff1\r\na\r\n0\r\n\r\n", HTTP_MALFORMED},
    {"a folded trailer line", HTTP_RESPONSES,
     OK_LINE IN_CHUNKS "0\r\nX: y\r\n z\r\n\r\n", HTTP_MALFORMED},
    {"a request without a version", HTTP_REQUESTS, "GET /a\r\n" EMPTY,
     HTTP_MALFORMED},
    {"a request of another version", HTTP_REQUESTS,
     "GET /a HTTP/3.1\r\n" EMPTY, HTTP_MALFORMED},
    {"two blanks in a request line", HTTP_REQUESTS,
     "GET  /a HTTP/1.1\r\n" EMPTY, HTTP_MALFORMED},
    {"a request with a hidden length", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", HTTP_MALFORMED},
    {"a request with a chunk longer than stated", HTTP_REQUESTS,
     "POST /a HTTP/1.1\r\n" IN_CHUNKS "1\r\nabc0\r\n\r\n", HTTP_MALFORMED},
    {"empty lines before a request", HTTP_REQUESTS,
     "\r\n\r\nGET /a HTTP/1.1\r\n" EMPTY, HTTP_DONE},
};

/* Guards against MIXED: a body that was not the server's, by framing that the
   parser reads in another way than the sender. */
START_TEST(test_framing)
{
    static const size_t steps[] = {4096, 1, 7};
    const framing_case_t *c = &framing_cases[_i];
    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        http_state_t state =
            read_message(c->kind, c->bytes, strlen(c->bytes), steps[i]);
        ck_assert_msg(state == c->state, "%s, %zu at a time: %d", c->name,
                      steps[i], state);
    }
}
END_TEST

/* What an upstream sends, whole and with the id of its request. */
static const tier_script_t upstream_cases[] = {
    {.bytes = "HTTP/1.1 000 OK\r\n" SIGNED_HEADERS EMPTY},
    {.bytes = "HTTP/1.1 999 OK\r\n" SIGNED_HEADERS EMPTY},
    {.bytes = "HTTP/1.1 0200 OK\r\n" SIGNED_HEADERS EMPTY},
    {.bytes = OK_LINE SIGNED_HEADERS "X Y: z\r\n" EMPTY},
    {.bytes = OK_LINE SIGNED_HEADERS "X\x01Y: z\r\n" EMPTY},
    {.bytes = OK_LINE SIGNED_HEADERS "Content-Length : 2\r\n\r\nab",
     .end = SCRIPT_CLOSE},
    {.bytes = OK_LINE SIGNED_HEADERS
     "Transfer-Encoding : chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
     .end = SCRIPT_CLOSE},
    {.bytes = OK_LINE SIGNED_HEADERS IN_CHUNKS "1\r\nabc0\r\n\r\n"},
    {.bytes = OK_LINE SIGNED_HEADERS
     "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"},
    {.bytes = "HTTP/1.1 1 \r\n\r\n" GOOD_RESPONSE},
};

/* Guards against MIXED: callers got an answer with status 000, or with a line
   or a body that was not the server's. */
START_TEST(test_upstream)
{
    static const char *const paths[] = {"/once/", "/one/", "/all/"};
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        fixture_t f;
        caller_t caller;
        char request[160];
        fixture_init(&f);
        for (int j = 0; j < UPSTREAMS; j++) {
            tier_upstream_set(f.upstreams[j], &upstream_cases[_i]);
        }
        snprintf(request, sizeof(request),
                 "GET %s HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r\r\n"
                 "X-Yuccarun-Deadline-Ms: 400\r\n\r\n",
                 paths[i]);
        caller_exchange(&f, &caller, &f.boot.callers_address, request,
                        CALLER_DEADLINE_MS);
        uint32_t status = status_of(&caller);
        ck_assert_msg(status >= 502 && status <= 504, "%s: %s", paths[i],
                      caller.text);
        conn_close(&caller.conn);
        fixture_release(&f);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("malformed message");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_status);
    tcase_add_loop_test(tests, test_bytes, 0,
                        sizeof(byte_cases) / sizeof(byte_cases[0]));
    tcase_add_loop_test(tests, test_framing, 0,
                        sizeof(framing_cases) / sizeof(framing_cases[0]));
    tcase_add_loop_test(tests, test_upstream, 0,
                        sizeof(upstream_cases) / sizeof(upstream_cases[0]));
    return suite_run("malformed message", tests);
}
