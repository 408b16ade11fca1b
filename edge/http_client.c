#include "edge/http_client.h"

#include "edge/http_head.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

struct http_client {
    CURL *get;
    CURL *put;
    struct curl_slist *put_headers;
};

/* Collects the body of a response. */
typedef struct {
    char *data;
    size_t size;
    size_t max;
    bool too_large;
} receiver_t;

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
curl_init_global(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

static size_t
receiver_write(char *data, size_t size, size_t count, void *user)
{
    receiver_t *receiver = user;
    size_t added = size * count;
    if (added > receiver->max - receiver->size) {
        receiver->too_large = true;
        return 0;
    }
    char *grown = realloc(receiver->data, receiver->size + added + 1);
    if (grown == NULL) {
        return 0;
    }
    memcpy(grown + receiver->size, data, added);
    receiver->data = grown;
    receiver->size += added;
    receiver->data[receiver->size] = '\0';
    return added;
}

/* Returns a handle with the options that GET and PUT share. */
static CURL *
handle_new(void)
{
    CURL *curl = curl_easy_init();
    if (curl == NULL) {
        return NULL;
    }
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receiver_write);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, http_head_receive);
    return curl;
}

http_client_t *
http_client_new(void)
{
    pthread_once(&curl_once, curl_init_global);
    http_client_t *client = calloc(1, sizeof(*client));
    if (client == NULL) {
        return NULL;
    }
    client->get = handle_new();
    client->put = handle_new();
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    client->put_headers = headers;
    headers = curl_slist_append(headers, "Content-Type: application/json");
    if (client->get == NULL || client->put == NULL || headers == NULL) {
        http_client_free(client);
        return NULL;
    }
    /*
     * libcurl resends a request by itself only if a reused connection broke,
     * so each PUT gets a new connection.
     */
    curl_easy_setopt(client->put, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(client->put, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(client->put, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(client->put, CURLOPT_HTTPHEADER, client->put_headers);
    return client;
}

void
http_client_free(http_client_t *client)
{
    if (client == NULL) {
        return;
    }
    curl_easy_cleanup(client->get);
    curl_easy_cleanup(client->put);
    curl_slist_free_all(client->put_headers);
    free(client);
}

static void
reply_count_bytes(CURL *curl, const http_call_t *call, http_reply_t *reply)
{
    long request = 0;
    long header = 0;
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(curl, CURLINFO_HEADER_SIZE, &header);
    reply->bytes_out = (uint64_t)request;
    if (request > 0) {
        reply->bytes_out += call->body_size;
    }
    reply->bytes_in = (uint64_t)header + reply->body_size;
}

static void
reply_read_index(CURL *curl, http_reply_t *reply)
{
    struct curl_header *header;
    if (curl_easy_header(curl, "X-Consul-Index", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK) {
        reply->index = strtoull(header->value, NULL, 10);
    }
}

static status_t
failure_status(CURLcode result, const receiver_t *receiver,
               const http_reply_t *reply)
{
    if (receiver->too_large) {
        return STATUS_TOO_LARGE;
    }
    if (reply->bytes_out == 0) {
        return STATUS_UNAVAILABLE;
    }
    return result == CURLE_OPERATION_TIMEDOUT ? STATUS_TIMEOUT
                                              : STATUS_UNKNOWN;
}

static status_t
client_perform(CURL *curl, const http_call_t *call, http_reply_t *reply,
               error_t *err)
{
    receiver_t receiver = {
        .data = calloc(1, 1),
        .max = call->body_max,
    };
    http_head_t head;
    char curl_message[CURL_ERROR_SIZE] = "";
    *reply = (http_reply_t){0};
    if (receiver.data == NULL) {
        return error_set(err, STATUS_NO_MEMORY, call->step, call->peer,
                         "out of memory");
    }
    curl_easy_setopt(curl, CURLOPT_URL, call->url);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &receiver);
    http_head_init(&head);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head);
    curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, curl_message);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)call->timeout_ms);
    CURLcode result = http_head_finish(&head, curl_easy_perform(curl));
    curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, NULL);
    reply->body = receiver.data;
    reply->body_size = receiver.size;
    reply_count_bytes(curl, call, reply);
    if (result != CURLE_OK) {
        return error_set(
            err, failure_status(result, &receiver, reply), call->step,
            call->peer, "%s",
            receiver.too_large ? "the response body exceeds the size limit"
            : head.invalid
                ? "the response's head is malformed or too large"
                : (curl_message[0] != '\0' ? curl_message
                                           : curl_easy_strerror(result)));
    }
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->code);
    reply_read_index(curl, reply);
    return STATUS_OK;
}

status_t
http_client_get(http_client_t *client, const http_call_t *call,
                http_reply_t *reply, error_t *err)
{
    status_t status = client_perform(client->get, call, reply, err);
    if (status != STATUS_UNKNOWN) {
        return status;
    }
    if (err != NULL) {
        err->status = STATUS_UNAVAILABLE;
    }
    return STATUS_UNAVAILABLE;
}

status_t
http_client_put(http_client_t *client, const http_call_t *call,
                http_reply_t *reply, error_t *err)
{
    CURL *curl = client->put;
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
                     call->body != NULL ? call->body : "");
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)call->body_size);
    return client_perform(curl, call, reply, err);
}

void
http_reply_release(http_reply_t *reply)
{
    free(reply->body);
    *reply = (http_reply_t){0};
}
