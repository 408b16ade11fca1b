#include "edge/caller.h"
#include "core/name.h"
#include "edge/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

enum {
    HTTP_OK = 200,
    HTTP_BAD_REQUEST = 400,
    HTTP_TOO_LARGE = 413,
    HTTP_UNAVAILABLE = 503,
    DEADLINE_MAX_MS = 3600000
};

#define QUERY_STEP "read query"

static const char *const query_members[] = {
    "service", "tenant", "lo",     "hi", "deadline_ms",
    "body",    "once",   "ticket", "id",
};

static bool
member_is_known(const char *key)
{
    size_t count = sizeof(query_members) / sizeof(query_members[0]);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(key, query_members[i]) == 0) {
            return true;
        }
    }
    return false;
}

static status_t
member_error(error_t *err, const char *key, const char *expected)
{
    return error_set(err, STATUS_INVALID, QUERY_STEP, "caller",
                     "%s must be %s", key, expected);
}

static status_t
parse_name(json_t *root, const char *key, const char *default_value, char *out,
           error_t *err)
{
    json_t *member = json_object_get(root, key);
    const char *text =
        member == NULL ? default_value : json_string_value(member);
    if (text == NULL || !name_valid(text)) {
        return member_error(err, key, "a name of [a-z0-9.-]{1,31}");
    }
    memset(out, 0, NAME_SIZE);
    snprintf(out, NAME_SIZE, "%s", text);
    return STATUS_OK;
}

static status_t
parse_number(json_t *root, const char *key, uint64_t default_value,
             uint64_t max, uint64_t *out, error_t *err)
{
    json_t *member = json_object_get(root, key);
    if (member == NULL) {
        *out = default_value;
        return STATUS_OK;
    }
    json_int_t value = json_integer_value(member);
    if (!json_is_integer(member) || value < 0 || (uint64_t)value > max) {
        return member_error(err, key,
                            "a non-negative integer within its limit");
    }
    *out = (uint64_t)value;
    return STATUS_OK;
}

static status_t
parse_text(json_t *root, const char *key, char *out, size_t size, error_t *err)
{
    json_t *member = json_object_get(root, key);
    out[0] = '\0';
    if (member == NULL) {
        return STATUS_OK;
    }
    const char *text = json_string_value(member);
    size_t length = json_string_length(member);
    if (text == NULL || length == 0 || length >= size ||
        strlen(text) != length) {
        return member_error(err, key,
                            "a non-empty string without NUL, within "
                            "its length limit");
    }
    memcpy(out, text, length + 1);
    return STATUS_OK;
}

static status_t
parse_payload(json_t *root, size_t max, caller_query_t *query, error_t *err)
{
    json_t *member = json_object_get(root, "body");
    query->body = "";
    query->body_size = 0;
    if (member == NULL) {
        return STATUS_OK;
    }
    if (!json_is_string(member) || json_string_length(member) > max) {
        return member_error(err, "body", "a string within its length limit");
    }
    query->body = json_string_value(member);
    query->body_size = json_string_length(member);
    return STATUS_OK;
}

static status_t
parse_once(json_t *root, caller_query_t *query, error_t *err)
{
    json_t *member = json_object_get(root, "once");
    if (member != NULL && !json_is_boolean(member)) {
        return member_error(err, "once", "true or false");
    }
    query->once = json_is_true(member);
    bool has_identity = query->ticket[0] != '\0' || query->id[0] != '\0';
    if (query->once && !has_identity) {
        return member_error(err, "once", "false without a ticket or an id");
    }
    return STATUS_OK;
}

static status_t
parse_range(json_t *root, caller_query_t *query, error_t *err)
{
    status_t status =
        parse_number(root, "lo", 0, KEY_END - 1, &query->range.lo, err);
    if (status != STATUS_OK) {
        return status;
    }
    status = parse_number(root, "hi", KEY_END, KEY_END, &query->range.hi, err);
    if (status == STATUS_OK && query->range.hi <= query->range.lo) {
        return member_error(err, "hi", "greater than lo");
    }
    return status;
}

static status_t
check_members(json_t *root, error_t *err)
{
    const char *key;
    json_t *value;
    json_object_foreach(root, key, value)
    {
        if (!member_is_known(key)) {
            return error_set(err, STATUS_INVALID, QUERY_STEP, "caller",
                             "unknown member '%.40s'", key);
        }
    }
    return STATUS_OK;
}

status_t
caller_query_parse(json_t *root, size_t query_body_max_bytes,
                   caller_query_t *query, error_t *err)
{
    uint64_t deadline_ms = 0;
    status_t status;
    memset(query, 0, sizeof(*query));
    if (!json_is_object(root)) {
        return error_set(err, STATUS_INVALID, QUERY_STEP, "caller",
                         "body must be a JSON object");
    }
    if ((status = check_members(root, err)) != STATUS_OK ||
        (status = parse_name(root, "service", NULL, query->service, err)) !=
            STATUS_OK ||
        (status = parse_name(root, "tenant", "default", query->tenant, err)) !=
            STATUS_OK ||
        (status = parse_range(root, query, err)) != STATUS_OK ||
        (status = parse_number(root, "deadline_ms", 0, DEADLINE_MAX_MS,
                               &deadline_ms, err)) != STATUS_OK ||
        (status = parse_text(root, "ticket", query->ticket,
                             sizeof(query->ticket), err)) != STATUS_OK ||
        (status = parse_text(root, "id", query->id, sizeof(query->id), err)) !=
            STATUS_OK ||
        (status = parse_payload(root, query_body_max_bytes, query, err)) !=
            STATUS_OK) {
        return status;
    }
    query->deadline_ms = (uint32_t)deadline_ms;
    return parse_once(root, query, err);
}

static int
respond(struct _u_response *response, unsigned status, json_t *body)
{
    if (body == NULL) {
        ulfius_set_string_body_response(response, HTTP_UNAVAILABLE, "");
        return U_CALLBACK_COMPLETE;
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_int_t retry_ms =
        json_integer_value(json_object_get(body, "retry_after_ms"));
    ulfius_set_string_body_response(response, status,
                                    text == NULL ? "" : text);
    u_map_put(response->map_header, "Content-Type", "application/json");
    if (status == HTTP_UNAVAILABLE && retry_ms > 0) {
        char seconds[24];
        snprintf(seconds, sizeof(seconds), "%lld",
                 (long long)(retry_ms + 999) / 1000);
        u_map_put(response->map_header, "Retry-After", seconds);
    }
    free(text);
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

static json_t *
error_json(const char *message)
{
    return json_pack("{s:s, s:s, s:s}", "outcome",
                     outcome_name(OUTCOME_NOT_RUN), "reason",
                     reason_name(REASON_BAD_REQUEST), "error", message);
}

static int
respond_error(struct _u_response *response, unsigned status, error_t *err)
{
    event_log(EVENT_REQUEST_REFUSED, "%s", error_text(err));
    return respond(response, status, error_json(err->message));
}

static int
on_query(const struct _u_request *request, struct _u_response *response,
         void *context)
{
    caller_api_t *api = context;
    error_t err = ERROR_INIT;
    if (request->binary_body_length > api->body_max_bytes) {
        error_set(&err, STATUS_TOO_LARGE, QUERY_STEP, "caller",
                  "body must be at most %zu bytes", api->body_max_bytes);
        return respond_error(response, HTTP_TOO_LARGE, &err);
    }
    json_error_t json_error = {.text = ""};
    json_t *root = json_loadb(
        request->binary_body == NULL ? "" : request->binary_body,
        request->binary_body_length, JSON_REJECT_DUPLICATES, &json_error);
    caller_query_t query;
    status_t status =
        root == NULL
            ? error_set(&err, STATUS_INVALID, QUERY_STEP, "caller",
                        "body must be valid JSON: %.100s", json_error.text)
            : caller_query_parse(root, api->query_body_max_bytes, &query,
                                 &err);
    if (status != STATUS_OK) {
        json_decref(root);
        return respond_error(response, HTTP_BAD_REQUEST, &err);
    }
    unsigned http_status = HTTP_OK;
    json_t *body = api->ops.query(api->ops.context, &query, &http_status);
    json_decref(root);
    return respond(response, http_status, body);
}

static int
on_cancel(const struct _u_request *request, struct _u_response *response,
          void *context)
{
    caller_api_t *api = context;
    unsigned status = HTTP_OK;
    json_t *body = api->ops.cancel(
        api->ops.context, u_map_get(request->map_url, "query"), &status);
    return respond(response, status, body);
}

static int
on_explain(const struct _u_request *request, struct _u_response *response,
           void *context)
{
    caller_api_t *api = context;
    unsigned status = HTTP_OK;
    json_t *body = api->ops.explain(
        api->ops.context, u_map_get(request->map_url, "query"), &status);
    return respond(response, status, body);
}

static int
on_ticket(const struct _u_request *request, struct _u_response *response,
          void *context)
{
    (void)request;
    caller_api_t *api = context;
    unsigned status = HTTP_OK;
    json_t *body = api->ops.ticket(api->ops.context, &status);
    return respond(response, status, body);
}

static int
on_entries(const struct _u_request *request, struct _u_response *response,
           void *context)
{
    caller_api_t *api = context;
    unsigned status = HTTP_OK;
    const char *zone = u_map_get(request->map_url, "zone");
    json_t *body =
        api->ops.entries(api->ops.context, zone == NULL ? "" : zone, &status);
    return respond(response, status, body);
}

static int
on_status(const struct _u_request *request, struct _u_response *response,
          void *context)
{
    (void)request;
    caller_api_t *api = context;
    unsigned status = HTTP_OK;
    json_t *body = api->ops.status(api->ops.context, &status);
    return respond(response, status, body);
}

static int
on_health(const struct _u_request *request, struct _u_response *response,
          void *context)
{
    (void)request;
    (void)context;
    ulfius_set_string_body_response(response, HTTP_OK, "ok\n");
    return U_CALLBACK_COMPLETE;
}

static int
on_ready(const struct _u_request *request, struct _u_response *response,
         void *context)
{
    (void)request;
    caller_api_t *api = context;
    bool ready = api->ops.ready(api->ops.context);
    ulfius_set_string_body_response(response,
                                    ready ? HTTP_OK : HTTP_UNAVAILABLE,
                                    ready ? "ready\n" : "not ready\n");
    return U_CALLBACK_COMPLETE;
}

static int
on_metrics(const struct _u_request *request, struct _u_response *response,
           void *context)
{
    (void)request;
    caller_api_t *api = context;
    char *text = api->ops.metrics(api->ops.context);
    ulfius_set_string_body_response(response,
                                    text == NULL ? HTTP_UNAVAILABLE : HTTP_OK,
                                    text == NULL ? "" : text);
    u_map_put(response->map_header, "Content-Type",
              "text/plain; version=0.0.4");
    free(text);
    return U_CALLBACK_COMPLETE;
}

typedef struct {
    const char *method;
    const char *path;
    int (*callback)(const struct _u_request *request,
                    struct _u_response *response, void *context);
} endpoint_t;

static const endpoint_t endpoints[] = {
    {"POST", "/v1/query", on_query},
    {"DELETE", "/v1/query/:query", on_cancel},
    {"POST", "/v1/tickets", on_ticket},
    {"GET", "/v1/entries", on_entries},
    {"GET", "/v1/explain/:query", on_explain},
    {"GET", "/v1/status", on_status},
    {"GET", "/health", on_health},
    {"GET", "/ready", on_ready},
    {"GET", "/metrics", on_metrics},
};

status_t
caller_api_register(caller_api_t *api, struct _u_instance *instance,
                    error_t *err)
{
    for (size_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
        const endpoint_t *endpoint = &endpoints[i];
        if (ulfius_add_endpoint_by_val(instance, endpoint->method, NULL,
                                       endpoint->path, 1, endpoint->callback,
                                       api) != U_OK) {
            return error_set(err, STATUS_INTERNAL, "register endpoint",
                             endpoint->path,
                             "ulfius does not accept the endpoint");
        }
    }
    return STATUS_OK;
}
