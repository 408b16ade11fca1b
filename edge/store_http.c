#include "edge/http_client.h"
#include "edge/settings.h"
#include "edge/store.h"

#include <gnutls/gnutls.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    URL_SIZE = SETTINGS_URL_SIZE + STORE_KEY_MAX_BYTES + 80,
    READ_REPLY_MAX_BYTES =
        1500000, /* base64 of the largest value, and its JSON */
    WRITE_REPLY_MAX_BYTES = 1024,
    HTTP_OK = 200,
    HTTP_UNAUTHORIZED = 401,
    HTTP_FORBIDDEN = 403,
    HTTP_NOT_FOUND = 404,
    HTTP_TOO_LARGE = 413
};

typedef struct {
    http_client_t *client;
    char url[SETTINGS_URL_SIZE];
    uint32_t timeout_ms;
    store_counters_t *counters;
} store_http_t;

static const char *const steps[STORE_CALL_COUNT] = {
    [STORE_CALL_GET] = "store get",
    [STORE_CALL_WATCH] = "store watch",
    [STORE_CALL_PUT] = "store put",
};

static void
counter_add(atomic_uint_fast64_t *counter, uint64_t value)
{
    atomic_fetch_add_explicit(counter, value, memory_order_relaxed);
}

static void
call_count(const store_http_t *http, store_call_t call,
           const http_reply_t *reply, bool failed)
{
    store_counters_t *counters = http->counters;
    if (counters == NULL) {
        return;
    }
    counter_add(&counters->calls[call], 1);
    counter_add(&counters->failed[call], failed ? 1 : 0);
    counter_add(&counters->bytes_out[call], reply->bytes_out);
    counter_add(&counters->bytes_in[call], reply->bytes_in);
}

/* Decodes the base64 of a value; null is an empty value. */
static bool
value_decode(const json_t *encoded, store_value_t *value)
{
    value->text = NULL;
    value->size = 0;
    if (json_is_null(encoded) || json_string_length(encoded) == 0) {
        value->text = calloc(1, 1);
        return value->text != NULL &&
               (json_is_null(encoded) || json_is_string(encoded));
    }
    gnutls_datum_t in = {
        .data = (unsigned char *)json_string_value(encoded),
        .size = (unsigned int)json_string_length(encoded),
    };
    gnutls_datum_t out;
    if (gnutls_base64_decode2(&in, &out) < 0) {
        return false;
    }
    value->text = malloc((size_t)out.size + 1);
    if (value->text != NULL) {
        memcpy(value->text, out.data, out.size);
        value->text[out.size] = '\0';
        value->size = out.size;
    }
    gnutls_free(out.data);
    return value->text != NULL;
}

/* Reads [{"Key","Value","ModifyIndex"}]; returns false unless Key is key. */
static bool
value_read(const json_t *document, const char *key, store_value_t *value)
{
    const json_t *entry = json_array_get(document, 0);
    const char *found = json_string_value(json_object_get(entry, "Key"));
    const json_t *index = json_object_get(entry, "ModifyIndex");
    if (json_array_size(document) != 1 || found == NULL ||
        strcmp(found, key) != 0 || json_integer_value(index) <= 0) {
        return false;
    }
    value->modify_index = (uint64_t)json_integer_value(index);
    return value_decode(json_object_get(entry, "Value"), value);
}

static status_t
value_parse(const http_reply_t *reply, const char *step, const char *key,
            store_value_t *value, error_t *err)
{
    json_t *document = json_loadb(reply->body, reply->body_size,
                                  JSON_REJECT_DUPLICATES, NULL);
    bool valid = value_read(document, key, value);
    json_decref(document);
    if (!valid) {
        store_value_release(value);
        return error_set(err, STATUS_INVALID, step, key,
                         "the response must be one entry of this key");
    }
    if (value->size > STORE_VALUE_MAX_BYTES) {
        store_value_release(value);
        return error_set(err, STATUS_TOO_LARGE, step, key,
                         "the value must be at most %d bytes",
                         STORE_VALUE_MAX_BYTES);
    }
    return STATUS_OK;
}

static status_t
http_status_error(const http_reply_t *reply, const char *step,
                  const char *peer, status_t default_status, error_t *err)
{
    status_t status = default_status;
    if (reply->code == HTTP_UNAUTHORIZED || reply->code == HTTP_FORBIDDEN) {
        status = STATUS_DENIED;
    }
    if (reply->code == HTTP_TOO_LARGE) {
        status = STATUS_TOO_LARGE;
    }
    return error_set(err, status, step, peer, "unexpected HTTP status %ld",
                     reply->code);
}

static status_t
reply_read(const http_reply_t *reply, const char *step, const char *key,
           store_value_t *value, error_t *err)
{
    if (reply->code == HTTP_NOT_FOUND) {
        return error_set(err, STATUS_NOT_FOUND, step, key,
                         "the key does not exist");
    }
    if (reply->code != HTTP_OK) {
        return http_status_error(reply, step, key, STATUS_UNAVAILABLE, err);
    }
    return value_parse(reply, step, key, value, err);
}

static status_t
http_read(store_http_t *http, store_call_t kind, const char *key,
          const char *query, uint32_t timeout_ms, store_value_t *value,
          error_t *err)
{
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "%s/v1/kv/%s%s", http->url, key, query);
    http_call_t call = {
        .step = steps[kind],
        .peer = http->url,
        .url = url,
        .timeout_ms = timeout_ms,
        .body_max = READ_REPLY_MAX_BYTES,
    };
    http_reply_t reply;
    status_t status = http_client_get(http->client, &call, &reply, err);
    if (status == STATUS_OK) {
        status = reply_read(&reply, call.step, key, value, err);
        value->watch_index = reply.index;
    }
    call_count(http, kind, &reply,
               status != STATUS_OK && status != STATUS_NOT_FOUND);
    http_reply_release(&reply);
    return status;
}

static status_t
http_get(void *handle, const char *key, store_value_t *value, error_t *err)
{
    store_http_t *http = handle;
    return http_read(http, STORE_CALL_GET, key, "", http->timeout_ms, value,
                     err);
}

static status_t
http_watch(void *handle, const char *key, uint64_t index, uint32_t wait_ms,
           store_value_t *value, error_t *err)
{
    store_http_t *http = handle;
    char query[80];
    snprintf(query, sizeof(query), "?index=%" PRIu64 "&wait=%" PRIu32 "ms",
             index, wait_ms);
    /* The store may extend the wait by up to 1/16. */
    uint32_t timeout_ms = http->timeout_ms + wait_ms + wait_ms / 16;
    status_t status =
        http_read(http, STORE_CALL_WATCH, key, query, timeout_ms, value, err);
    if (value->watch_index < index) {
        value->watch_index = 0; /* the store's indexes were reset */
    }
    return status;
}

/* Returns the result of a write from a complete response. */
static status_t
put_reply_read(const http_reply_t *reply, const char *key, error_t *err)
{
    if (reply->code == HTTP_OK) {
        size_t size = strcspn(reply->body, " \r\n");
        if (size == 4 && memcmp(reply->body, "true", 4) == 0) {
            return STATUS_OK;
        }
        if (size == 5 && memcmp(reply->body, "false", 5) == 0) {
            return error_set(err, STATUS_CONFLICT, "store put", key,
                             "another write changed the key first");
        }
        return error_set(err, STATUS_UNKNOWN, "store put", key,
                         "the response must be true or false");
    }
    /* Only a 4xx status proves that nothing was written. */
    bool refused = reply->code >= 400 && reply->code < 500;
    return http_status_error(reply, "store put", key,
                             refused ? STATUS_UNAVAILABLE : STATUS_UNKNOWN,
                             err);
}

static status_t
http_cas_put(void *handle, const char *key, const char *text, size_t size,
             uint64_t index, error_t *err)
{
    store_http_t *http = handle;
    char url[URL_SIZE];
    snprintf(url, sizeof(url), "%s/v1/kv/%s?cas=%" PRIu64, http->url, key,
             index);
    http_call_t call = {
        .step = steps[STORE_CALL_PUT],
        .peer = http->url,
        .url = url,
        .timeout_ms = http->timeout_ms,
        .body_max = WRITE_REPLY_MAX_BYTES,
        .body = text,
        .body_size = size,
    };
    http_reply_t reply;
    status_t status = http_client_put(http->client, &call, &reply, err);
    if (status == STATUS_OK) {
        status = put_reply_read(&reply, key, err);
    }
    else if (status == STATUS_TOO_LARGE) {
        status = error_set(err, STATUS_UNKNOWN, call.step, call.peer,
                           "the response body exceeds the size limit");
    }
    call_count(http, STORE_CALL_PUT, &reply,
               status != STATUS_OK && status != STATUS_CONFLICT);
    http_reply_release(&reply);
    return status;
}

static void
http_release(void *handle)
{
    store_http_t *http = handle;
    http_client_free(http->client);
    free(http);
}

static const store_ops_t http_ops = {
    .get = http_get,
    .watch = http_watch,
    .cas_put = http_cas_put,
    .release = http_release,
};

status_t
store_http_init(store_client_t *store, const char *url, uint32_t timeout_ms,
                store_counters_t *counters, error_t *err)
{
    *store = (store_client_t){0};
    store_http_t *http = calloc(1, sizeof(*http));
    http_client_t *client = http_client_new();
    if (http == NULL || client == NULL) {
        free(http);
        http_client_free(client);
        return error_set(err, STATUS_NO_MEMORY, "store open", url,
                         "out of memory");
    }
    http->client = client;
    http->timeout_ms = timeout_ms;
    http->counters = counters;
    snprintf(http->url, sizeof(http->url), "%s", url);
    *store = (store_client_t){.ops = &http_ops, .handle = http};
    return STATUS_OK;
}
