/*
 * Checks the head of a response that libcurl reads.
 *
 * libcurl takes the status and the framing of a body from lines that the
 * grammar of HTTP does not allow, keeps as many header lines as a server
 * sends, and reports success for a head that is cut by the close of the
 * connection.
 *
 *     http_head_t head;
 *     http_head_init(&head);
 *     curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, http_head_receive);
 *     curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head);
 *     CURLcode code = http_head_finish(&head, curl_easy_perform(curl));
 */
#ifndef EDGE_HTTP_HEAD_H
#define EDGE_HTTP_HEAD_H

#include "net/http_grammar.h"

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

enum {
    /* Bytes of the heads and trailer fields of one response, interim ones
       included. */
    HTTP_HEAD_MAX_BYTES = 64 << 10
};

typedef struct {
    http_grammar_t grammar;
    size_t bytes;
    bool whole;      /* the empty line after the head has arrived */
    bool in_trailer; /* lines after the head are being read */
    bool invalid;    /* malformed, or over HTTP_HEAD_MAX_BYTES */
} http_head_t;

void http_head_init(http_head_t *head);

/* A header function of libcurl, called for each line of a head and for each
   trailer field; `user` is the http_head_t. An invalid line ends the call. */
size_t http_head_receive(char *line, size_t size, size_t count, void *user);

/* The result of a call that libcurl ended with `code`: CURLE_PARTIAL_FILE if
   it reported success for a response without a whole head. */
CURLcode http_head_finish(const http_head_t *head, CURLcode code);

#endif
