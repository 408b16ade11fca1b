#include "edge/http_head.h"

#include <string.h>

static const char status_line[] = "HTTP/";

void
http_head_init(http_head_t *head)
{
    *head = (http_head_t){.whole = false};
    http_grammar_begin(&head->grammar, HTTP_GRAMMAR_RESPONSE);
}

/* A line after a whole head begins another head, or is a trailer field. */
static void
head_continue(http_head_t *head, const char *line, size_t length)
{
    bool begins_head = length >= sizeof(status_line) - 1 &&
                       memcmp(line, status_line, sizeof(status_line) - 1) == 0;
    if (begins_head) {
        /* The head before was that of an interim response. */
        head->whole = false;
        http_grammar_begin(&head->grammar, HTTP_GRAMMAR_RESPONSE);
    }
    else if (!head->in_trailer) {
        head->in_trailer = true;
        http_grammar_begin(&head->grammar, HTTP_GRAMMAR_TRAILER);
    }
}

size_t
http_head_receive(char *line, size_t size, size_t count, void *user)
{
    http_head_t *head = user;
    size_t length = size * count;
    size_t used;
    if (head->whole && length > 0) {
        head_continue(head, line, length);
    }
    head->bytes += length;
    http_grammar_result_t result =
        http_grammar_feed(&head->grammar, line, length, &used);
    if (result == HTTP_GRAMMAR_INVALID || used < length ||
        head->bytes > HTTP_HEAD_MAX_BYTES) {
        head->invalid = true;
        return 0;
    }
    head->whole = head->whole || result == HTTP_GRAMMAR_END;
    return length;
}

CURLcode
http_head_finish(const http_head_t *head, CURLcode code)
{
    return code == CURLE_OK && !head->whole ? CURLE_PARTIAL_FILE : code;
}
