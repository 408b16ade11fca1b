#include "http/message.h"

#include <string.h>
#include <strings.h>

static http_reader_t *
reader_of(http_parser *parser)
{
    return parser->data;
}

static int
reader_fail(http_reader_t *reader, http_state_t failure)
{
    reader->failure = failure;
    return -1;
}

static int
text_append(http_reader_t *reader, const char *bytes, size_t size)
{
    buffer_t *text = &reader->message.text;
    size_t limit = reader->limits.max_header_bytes;
    if (limit > 0 && buffer_size(text) + size > limit) {
        return reader_fail(reader, HTTP_HEADERS_TOO_LARGE);
    }
    uint8_t *room = buffer_reserve(text, size);
    if (room == NULL) {
        return reader_fail(reader, HTTP_HEADERS_TOO_LARGE);
    }
    memcpy(room, bytes, size);
    buffer_commit(text, size);
    return 0;
}

/* Discard a piece of a trailer field; trailer fields and headers together are
   limited. */
static int
trailer_skip(http_reader_t *reader, size_t size)
{
    size_t limit = reader->limits.max_header_bytes;
    reader->trailer_bytes += size;
    if (limit > 0 &&
        buffer_size(&reader->message.text) + reader->trailer_bytes > limit) {
        return reader_fail(reader, HTTP_HEADERS_TOO_LARGE);
    }
    return 0;
}

static int
text_terminate(http_reader_t *reader)
{
    return text_append(reader, "", 1);
}

static void
message_clear(http_message_t *message)
{
    buffer_clear(&message->text, HTTP_RETAIN_MAX_BYTES);
    buffer_clear(&message->body, HTTP_RETAIN_MAX_BYTES);
    message->header_count = 0;
    message->method = NULL;
    message->status = 0;
    message->keep_alive = false;
    message->expects_continue = false;
    message->close_delimited = false;
}

static int
on_message_begin(http_parser *parser)
{
    reader_of(parser)->started = true;
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t size)
{
    return text_append(reader_of(parser), at, size);
}

/* Terminate the target or the header value that was being read. */
static int
text_finish_part(http_reader_t *reader)
{
    http_message_t *message = &reader->message;
    if (reader->phase == READING_VALUE) {
        http_header_t *header = &message->headers[message->header_count++];
        header->value_length =
            (uint32_t)buffer_size(&message->text) - header->value;
    }
    return text_terminate(reader);
}

static int
on_header_field(http_parser *parser, const char *at, size_t size)
{
    http_reader_t *reader = reader_of(parser);
    http_message_t *message = &reader->message;
    if (reader->phase == READING_BODY) {
        return trailer_skip(reader, size);
    }
    if (reader->phase != READING_NAME) {
        if (text_finish_part(reader) != 0) {
            return -1;
        }
        if (message->header_count >= HTTP_HEADERS_MAX) {
            return reader_fail(reader, HTTP_HEADERS_TOO_LARGE);
        }
        reader->phase = READING_NAME;
        message->headers[message->header_count].name =
            (uint32_t)buffer_size(&message->text);
    }
    return text_append(reader, at, size);
}

static int
on_header_value(http_parser *parser, const char *at, size_t size)
{
    http_reader_t *reader = reader_of(parser);
    http_message_t *message = &reader->message;
    if (reader->phase == READING_BODY) {
        return trailer_skip(reader, size);
    }
    if (reader->phase == READING_NAME) {
        if (text_terminate(reader) != 0) {
            return -1;
        }
        reader->phase = READING_VALUE;
        message->headers[message->header_count].value =
            (uint32_t)buffer_size(&message->text);
    }
    return text_append(reader, at, size);
}

static bool
is_blank(const char *text)
{
    return text[strspn(text, " \t")] == '\0';
}

static bool
value_is_length(const char *value)
{
    size_t digits = strspn(value, "0123456789");
    return digits > 0 && is_blank(value + digits);
}

static bool
value_is_chunked(const char *value)
{
    static const char coding[] = "chunked";
    size_t length = sizeof(coding) - 1;
    return strncasecmp(value, coding, length) == 0 && is_blank(value + length);
}

/*
 * Whether the fields that frame the body are of a form that all readers take
 * alike. The only transfer coding that is decoded here is "chunked"; none
 * other is offered to a sender (RFC 9112, section 6.1).
 */
static bool
framing_is_valid(const http_message_t *message, const http_parser *parser)
{
    uint32_t codings = 0;
    for (uint32_t i = 0; i < message->header_count; i++) {
        const char *name = http_header_name(message, i);
        const char *value = http_header_value(message, i);
        if (strcasecmp(name, "Content-Length") == 0 &&
            !value_is_length(value)) {
            return false;
        }
        if (strcasecmp(name, "Transfer-Encoding") == 0 &&
            (!value_is_chunked(value) || codings++ > 0 ||
             parser->http_minor == 0)) {
            return false;
        }
    }
    return (codings > 0) == ((parser->flags & F_CHUNKED) != 0);
}

static int
on_headers_complete(http_parser *parser)
{
    http_reader_t *reader = reader_of(parser);
    http_message_t *message = &reader->message;
    if (text_finish_part(reader) != 0) {
        return -1;
    }
    if (!framing_is_valid(message, parser)) {
        return reader_fail(reader, HTTP_MALFORMED);
    }
    reader->phase = READING_BODY;
    reader->headers_done = true;
    http_grammar_begin(&reader->grammar, HTTP_GRAMMAR_CHUNKS);
    /* Only HTTP/1.1 is supported, so an upgrade is ignored and the bytes that
       follow are read as a body. */
    parser->upgrade = 0;
    if (reader->kind == HTTP_REQUESTS) {
        message->method = http_method_str(parser->method);
        const char *expect = http_header_find(message, "Expect");
        message->expects_continue =
            expect != NULL && strcasecmp(expect, "100-continue") == 0;
        size_t limit = reader->limits.max_body_bytes;
        if (limit > 0 && parser->content_length != UINT64_MAX &&
            parser->content_length > limit) {
            return reader_fail(reader, HTTP_BODY_TOO_LARGE);
        }
        return 0;
    }
    message->status = parser->status_code;
    return reader->is_head_response ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t size)
{
    http_reader_t *reader = reader_of(parser);
    buffer_t *body = &reader->message.body;
    size_t limit = reader->limits.max_body_bytes;
    if (limit > 0 && buffer_size(body) + size > limit) {
        return reader_fail(reader, HTTP_BODY_TOO_LARGE);
    }
    uint8_t *room = buffer_reserve(body, size);
    if (room == NULL) {
        return reader_fail(reader, HTTP_BODY_TOO_LARGE);
    }
    memcpy(room, at, size);
    buffer_commit(body, size);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    http_reader_t *reader = reader_of(parser);
    if (reader->kind == HTTP_RESPONSES && parser->status_code / 100 == 1) {
        /* An interim response: the final response follows it. */
        if (++reader->interim_count > HTTP_INTERIM_MAX) {
            return reader_fail(reader, HTTP_HEADERS_TOO_LARGE);
        }
        message_clear(&reader->message);
        reader->phase = READING_TARGET;
        reader->headers_done = false;
        http_grammar_begin(&reader->grammar, HTTP_GRAMMAR_RESPONSE);
        return 0;
    }
    reader->message.keep_alive = http_should_keep_alive(parser) != 0;
    reader->done = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings reader_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
reader_reset(http_reader_t *reader)
{
    http_parser_init(&reader->parser, reader->kind == HTTP_REQUESTS
                                          ? HTTP_REQUEST
                                          : HTTP_RESPONSE);
    reader->parser.data = reader;
    http_grammar_begin(&reader->grammar, reader->kind == HTTP_REQUESTS
                                             ? HTTP_GRAMMAR_REQUEST
                                             : HTTP_GRAMMAR_RESPONSE);
    reader->interim_count = 0;
    reader->failure = HTTP_MALFORMED;
    reader->phase = READING_TARGET;
    reader->trailer_bytes = 0;
    reader->started = false;
    reader->headers_done = false;
    reader->done = false;
    reader->is_head_response = false;
}

void
http_reader_init(http_reader_t *reader, http_kind_t kind,
                 const http_limits_t *limits)
{
    memset(reader, 0, sizeof(*reader));
    reader->kind = kind;
    reader->limits = *limits;
    reader_reset(reader);
}

void
http_reader_release(http_reader_t *reader)
{
    buffer_release(&reader->message.text);
    buffer_release(&reader->message.body);
}

void
http_reader_next(http_reader_t *reader)
{
    message_clear(&reader->message);
    reader_reset(reader);
}

static http_state_t
reader_state(http_reader_t *reader)
{
    if (reader->done) {
        return HTTP_DONE;
    }
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (error == HPE_OK) {
        return HTTP_INCOMPLETE;
    }
    if (error == HPE_HEADER_OVERFLOW) {
        return HTTP_HEADERS_TOO_LARGE;
    }
    return reader->failure;
}

/*
 * Find the bytes that the parser may read next: those of the head, or of the
 * chunks, that the grammar allows. Returns false if the byte after them is
 * invalid.
 */
static bool
reader_check(http_reader_t *reader, const char *bytes, size_t size,
             size_t *checked)
{
    if (reader->headers_done && (reader->parser.flags & F_CHUNKED) == 0) {
        *checked = size;
        return true;
    }
    return http_grammar_feed(&reader->grammar, bytes, size, checked) !=
           HTTP_GRAMMAR_INVALID;
}

http_state_t
http_reader_feed(http_reader_t *reader, const char *bytes, size_t size,
                 size_t *used)
{
    *used = 0;
    while (*used < size) {
        size_t checked;
        bool valid =
            reader_check(reader, bytes + *used, size - *used, &checked);
        if (checked > 0) {
            *used += http_parser_execute(&reader->parser, &reader_settings,
                                         bytes + *used, checked);
            http_state_t state = reader_state(reader);
            if (state != HTTP_INCOMPLETE) {
                return state;
            }
        }
        if (!valid || checked == 0) {
            return HTTP_MALFORMED;
        }
    }
    return HTTP_INCOMPLETE;
}

http_state_t
http_reader_feed_eof(http_reader_t *reader)
{
    if (!reader->started || !reader->headers_done) {
        return HTTP_MALFORMED;
    }
    reader->message.close_delimited = true;
    http_parser_execute(&reader->parser, &reader_settings, NULL, 0);
    return reader->done ? HTTP_DONE : HTTP_MALFORMED;
}

const char *
http_target(const http_message_t *message)
{
    return (const char *)buffer_data(&message->text);
}

const char *
http_header_name(const http_message_t *message, uint32_t index)
{
    return http_target(message) + message->headers[index].name;
}

const char *
http_header_value(const http_message_t *message, uint32_t index)
{
    return http_target(message) + message->headers[index].value;
}

size_t
http_message_size(const http_message_t *message)
{
    return buffer_size(&message->text) + buffer_size(&message->body);
}

const char *
http_header_find(const http_message_t *message, const char *name)
{
    for (uint32_t i = 0; i < message->header_count; i++) {
        if (strcasecmp(http_header_name(message, i), name) == 0) {
            return http_header_value(message, i);
        }
    }
    return NULL;
}

/* Whether a comma-separated list contains a name, ignoring case. */
static bool
list_contains(const char *list, const char *name)
{
    size_t length = strlen(name);
    while (*list != '\0') {
        list += strspn(list, " \t,");
        size_t size = strcspn(list, " \t,");
        if (size == length && strncasecmp(list, name, size) == 0) {
            return true;
        }
        list += size;
    }
    return false;
}

bool
http_header_is_hop_by_hop(const http_message_t *message, const char *name)
{
    static const char *const hop_by_hop[] = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    };
    for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++) {
        if (strcasecmp(name, hop_by_hop[i]) == 0) {
            return true;
        }
    }
    for (uint32_t i = 0; i < message->header_count; i++) {
        if (strcasecmp(http_header_name(message, i), "Connection") == 0 &&
            list_contains(http_header_value(message, i), name)) {
            return true;
        }
    }
    return false;
}
