#include "net/http_grammar.h"

#include <stdbool.h>
#include <string.h>

enum {
    STATUS_MIN = 100,
    STATUS_MAX = 599,
    STATUS_DIGITS = 3,
    SWITCHING_PROTOCOLS = 101, /* no request asks for it */
    CHUNK_SIZE_DIGITS_MAX = 15,
    CHUNK_EXTENSION_MAX = 1024
};

typedef enum {
    STATE_INVALID, /* a byte is not allowed where it stands */
    STATE_END,
    START, /* empty lines */
    START_LF,
    VERSION, /* of a response */
    STATUS,
    STATUS_END,
    REASON,
    METHOD,
    TARGET,
    REQUEST_VERSION,
    LINE_LF,
    LINE, /* the start of a field line */
    NAME,
    VALUE,
    END_LF,
    CHUNK_SIZE,
    CHUNK_EXTENSION,
    CHUNK_SIZE_LF,
    CHUNK_DATA,
    CHUNK_DATA_CR,
    CHUNK_DATA_LF
} state_t;

static const char version_prefix[] = "HTTP/1.";

static bool
is_digit(unsigned char byte)
{
    return byte >= '0' && byte <= '9';
}

/* A tchar of RFC 9110, section 5.6.2. */
static bool
is_token(unsigned char byte)
{
    return is_digit(byte) || (byte >= 'A' && byte <= 'Z') ||
           (byte >= 'a' && byte <= 'z') ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* A byte of a field value or a reason phrase. */
static bool
is_text(unsigned char byte)
{
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool
is_target(unsigned char byte)
{
    return byte > ' ' && byte != 0x7f;
}

/* The value of a hexadecimal digit; -1: it is none. */
static int
hex_value(unsigned char byte)
{
    if (is_digit(byte)) {
        return byte - '0';
    }
    if (byte >= 'a' && byte <= 'f') {
        return byte - 'a' + 10;
    }
    return byte >= 'A' && byte <= 'F' ? byte - 'A' + 10 : -1;
}

static state_t
enter(http_grammar_t *grammar, state_t state)
{
    grammar->count = 0;
    return state;
}

/* The end of a line: LF, or CR and then LF. */
static state_t
line_end(unsigned char byte)
{
    return byte == '\r' ? LINE_LF : byte == '\n' ? LINE : STATE_INVALID;
}

/* "HTTP/1." and a digit, then what follows in a status or request line. */
static state_t
version_next(http_grammar_t *grammar, unsigned char byte)
{
    uint32_t at = grammar->count++;
    if (at < sizeof(version_prefix) - 1) {
        return byte == (unsigned char)version_prefix[at]
                   ? (state_t)grammar->state
                   : STATE_INVALID;
    }
    if (at == sizeof(version_prefix) - 1) {
        return is_digit(byte) ? (state_t)grammar->state : STATE_INVALID;
    }
    if (grammar->state == REQUEST_VERSION) {
        return line_end(byte);
    }
    grammar->status = 0;
    return byte == ' ' ? enter(grammar, STATUS) : STATE_INVALID;
}

static state_t
status_next(http_grammar_t *grammar, unsigned char byte)
{
    if (!is_digit(byte)) {
        return STATE_INVALID;
    }
    grammar->status = grammar->status * 10 + (uint32_t)(byte - '0');
    if (++grammar->count < STATUS_DIGITS) {
        return STATUS;
    }
    bool valid = grammar->status >= STATUS_MIN &&
                 grammar->status <= STATUS_MAX &&
                 grammar->status != SWITCHING_PROTOCOLS;
    return valid ? STATUS_END : STATE_INVALID;
}

/* A token that ends with `separator`. */
static state_t
token_next(http_grammar_t *grammar, unsigned char byte, char separator,
           state_t next)
{
    if (byte == (unsigned char)separator && grammar->count > 0) {
        return enter(grammar, next);
    }
    grammar->count++;
    return is_token(byte) ? (state_t)grammar->state : STATE_INVALID;
}

static state_t
line_start_next(http_grammar_t *grammar, unsigned char byte)
{
    if (byte == '\r') {
        return END_LF;
    }
    if (byte == '\n') {
        return STATE_END;
    }
    grammar->state = NAME;
    grammar->count = 0;
    return token_next(grammar, byte, ':', VALUE);
}

static state_t
chunk_size_next(http_grammar_t *grammar, unsigned char byte)
{
    int digit = hex_value(byte);
    if (digit >= 0) {
        grammar->chunk_size = grammar->chunk_size * 16 + (uint64_t)digit;
        return ++grammar->count <= CHUNK_SIZE_DIGITS_MAX ? CHUNK_SIZE
                                                         : STATE_INVALID;
    }
    if (grammar->count == 0) {
        return STATE_INVALID;
    }
    if (byte == '\r') {
        return CHUNK_SIZE_LF;
    }
    return byte == ';' || byte == ' ' ? enter(grammar, CHUNK_EXTENSION)
                                      : STATE_INVALID;
}

static state_t
chunk_extension_next(http_grammar_t *grammar, unsigned char byte)
{
    if (byte == '\r') {
        return CHUNK_SIZE_LF;
    }
    return is_text(byte) && ++grammar->count <= CHUNK_EXTENSION_MAX
               ? CHUNK_EXTENSION
               : STATE_INVALID;
}

/* The state after a byte, other than one of a chunk's data. */
static state_t
next_state(http_grammar_t *grammar, unsigned char byte)
{
    switch ((state_t)grammar->state) {
    case START:
        if (byte == '\r' || byte == '\n') {
            return byte == '\r' ? START_LF : START;
        }
        grammar->state = VERSION;
        return version_next(grammar, byte);
    case START_LF:
        return byte == '\n' ? START : STATE_INVALID;
    case VERSION:
    case REQUEST_VERSION:
        return version_next(grammar, byte);
    case STATUS:
        return status_next(grammar, byte);
    case STATUS_END:
        return byte == ' ' ? REASON : line_end(byte);
    case REASON:
    case VALUE:
        return is_text(byte) ? (state_t)grammar->state : line_end(byte);
    case METHOD:
        if (grammar->count == 0 && (byte == '\r' || byte == '\n')) {
            return METHOD; /* empty lines before a request */
        }
        return token_next(grammar, byte, ' ', TARGET);
    case TARGET:
        if (byte == ' ' && grammar->count > 0) {
            return enter(grammar, REQUEST_VERSION);
        }
        grammar->count++;
        return is_target(byte) ? TARGET : STATE_INVALID;
    case LINE_LF:
        return byte == '\n' ? LINE : STATE_INVALID;
    case LINE:
        return line_start_next(grammar, byte);
    case NAME:
        return token_next(grammar, byte, ':', VALUE);
    case END_LF:
        return byte == '\n' ? STATE_END : STATE_INVALID;
    case CHUNK_SIZE:
        return chunk_size_next(grammar, byte);
    case CHUNK_EXTENSION:
        return chunk_extension_next(grammar, byte);
    case CHUNK_SIZE_LF:
        if (byte != '\n') {
            return STATE_INVALID;
        }
        return grammar->chunk_size > 0 ? CHUNK_DATA : LINE;
    case CHUNK_DATA_CR:
        return byte == '\r' ? CHUNK_DATA_LF : STATE_INVALID;
    case CHUNK_DATA_LF:
        return byte == '\n' ? enter(grammar, CHUNK_SIZE) : STATE_INVALID;
    default:
        return STATE_INVALID;
    }
}

void
http_grammar_begin(http_grammar_t *grammar, http_grammar_part_t part)
{
    static const state_t starts[] = {
        [HTTP_GRAMMAR_REQUEST] = METHOD,
        [HTTP_GRAMMAR_RESPONSE] = START,
        [HTTP_GRAMMAR_CHUNKS] = CHUNK_SIZE,
        [HTTP_GRAMMAR_TRAILER] = LINE,
    };
    *grammar = (http_grammar_t){.state = starts[part]};
}

/* Pass over the data of a chunk; returns the number of its bytes. */
static size_t
skip_data(http_grammar_t *grammar, size_t size)
{
    size_t skipped =
        size < grammar->chunk_size ? size : (size_t)grammar->chunk_size;
    grammar->chunk_size -= skipped;
    if (grammar->chunk_size == 0) {
        grammar->state = CHUNK_DATA_CR;
    }
    return skipped;
}

http_grammar_result_t
http_grammar_feed(http_grammar_t *grammar, const char *bytes, size_t size,
                  size_t *used)
{
    size_t at = 0;
    while (at < size && grammar->state != STATE_END &&
           grammar->state != STATE_INVALID) {
        if (grammar->state == CHUNK_DATA) {
            at += skip_data(grammar, size - at);
            continue;
        }
        grammar->state = (int)next_state(grammar, (unsigned char)bytes[at]);
        at += grammar->state != STATE_INVALID ? 1 : 0;
    }
    *used = at;
    return grammar->state == STATE_INVALID ? HTTP_GRAMMAR_INVALID
           : grammar->state == STATE_END   ? HTTP_GRAMMAR_END
                                           : HTTP_GRAMMAR_MORE;
}
