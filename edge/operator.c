#include "edge/operator.h"

#include "core/name.h"
#include "edge/operator_request.h"
#include "edge/secret.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <ulfius.h>

enum {
    HTTP_OK = 200,
    HTTP_ACCEPTED = 202,
    HTTP_BAD_REQUEST = 400,
    HTTP_UNAUTHORIZED = 401,
    HTTP_CONFLICT = 409,
    HTTP_TOO_LARGE = 413,
    HTTP_UNPROCESSABLE = 422,
    HTTP_INTERNAL = 500,
    HTTP_UNAVAILABLE = 503,
    HTTP_TIMEOUT = 504
};

struct operator_api {
    operator_settings_t settings;
    const operator_ops_t *ops;
    void *daemon;
    atomic_uint_fast64_t changes_started; /* number in the next generated id */
    atomic_int changes_in_progress;
    atomic_uint_fast64_t counts[OPERATOR_RESULT_COUNT];
};

static const char *const result_names[OPERATOR_RESULT_COUNT] = {
    [OPERATOR_READ] = "read",
    [OPERATOR_DENIED] = "denied",
    [OPERATOR_BAD_REQUEST] = "bad_request",
    [OPERATOR_ACCEPTED] = "accepted",
    [OPERATOR_CONFLICT] = "conflict",
    [OPERATOR_HELD] = "held",
    [OPERATOR_REFUSED] = "refused",
    [OPERATOR_UNKNOWN] = "unknown",
};

const char *
operator_result_name(operator_result_t result)
{
    return result_names[result];
}

operator_api_t *
operator_api_new(const operator_settings_t *settings,
                 const operator_ops_t *ops, void *daemon)
{
    operator_api_t *api = calloc(1, sizeof(*api));
    if (api != NULL) {
        api->settings = *settings;
        api->ops = ops;
        api->daemon = daemon;
    }
    return api;
}

void
operator_api_free(operator_api_t *api)
{
    if (api == NULL) {
        return;
    }
    explicit_bzero(api->settings.token, sizeof(api->settings.token));
    free(api);
}

uint64_t
operator_api_count(const operator_api_t *api, operator_result_t result)
{
    return atomic_load(&api->counts[result]);
}

static void
client_address_format(const struct _u_request *request,
                      char out[ERROR_PEER_MAX])
{
    const struct sockaddr *address = request->client_address;
    const void *ip = NULL;
    if (address != NULL && address->sa_family == AF_INET) {
        ip = &((const struct sockaddr_in *)address)->sin_addr;
    }
    if (address != NULL && address->sa_family == AF_INET6) {
        ip = &((const struct sockaddr_in6 *)address)->sin6_addr;
    }
    if (ip == NULL ||
        inet_ntop(address->sa_family, ip, out, ERROR_PEER_MAX) == NULL) {
        snprintf(out, ERROR_PEER_MAX, "client");
    }
}

/* Counts and reports the request and sends the response; releases body. */
static int
reply(operator_api_t *api, const struct _u_request *request,
      struct _u_response *response, operator_result_t result,
      unsigned int code, json_t *body)
{
    atomic_fetch_add(&api->counts[result], 1);
    if (result != OPERATOR_READ) {
        char client[ERROR_PEER_MAX];
        char path[ERROR_STEP_MAX];
        client_address_format(request, client);
        printable_copy(path, sizeof(path), request->url_path);
        const char *message =
            json_string_value(json_object_get(body, "error"));
        error_t err = ERROR_INIT;
        error_set(&err, STATUS_OK, path, client, "%u %s", code,
                  message != NULL ? message : result_names[result]);
        api->ops->report(api->daemon, result, &err);
    }
    if (code == HTTP_UNAUTHORIZED) {
        ulfius_add_header_to_response(response, "WWW-Authenticate", "Bearer");
    }
    if (body == NULL) {
        ulfius_set_empty_body_response(response, HTTP_INTERNAL);
    }
    else {
        ulfius_set_json_body_response(response, code, body);
    }
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

static json_t *
error_body(const char *message)
{
    return json_pack("{s:s}", "error", message);
}

static bool
token_valid(const operator_api_t *api, const struct _u_request *request)
{
    static const char scheme[] = "Bearer ";
    size_t scheme_size = sizeof(scheme) - 1;
    const char *header = u_map_get_case(request->map_header, "Authorization");
    if (header == NULL || strncasecmp(header, scheme, scheme_size) != 0) {
        return false;
    }
    return secret_equal(header + scheme_size, strlen(header + scheme_size),
                        api->settings.token, api->settings.token_size);
}

/* Returns whether the announced or received body exceeds the limit. */
static bool
body_too_large(const operator_api_t *api, const struct _u_request *request)
{
    size_t max = api->settings.body_max_bytes;
    const char *length = u_map_get_case(request->map_header, "Content-Length");
    return request->binary_body_length > max ||
           (length != NULL && strtoull(length, NULL, 10) > max);
}

static json_t *
names_to_json(const operator_names_t *names)
{
    json_t *list = json_array();
    for (size_t i = 0; i < names->count; i++) {
        json_array_append_new(list, json_string(names->names[i]));
    }
    return list;
}

/* Adds the daemons that have the version, and those that don't, to body. */
static void
confirmations_add(operator_api_t *api, uint64_t version, json_t *body)
{
    operator_names_t *names = calloc(2, sizeof(*names));
    if (names == NULL) {
        return;
    }
    api->ops->confirmations(api->daemon, version, &names[0], &names[1]);
    json_object_set_new(body, "confirmed", names_to_json(&names[0]));
    json_object_set_new(body, "waiting", names_to_json(&names[1]));
    free(names);
}

/* Waits until all daemons have the version, at most confirm_ms_max. */
static void
confirmations_wait(operator_api_t *api, uint64_t version)
{
    operator_names_t *names = calloc(2, sizeof(*names));
    uint32_t waited_ms = 0;
    while (names != NULL && waited_ms < api->settings.confirm_ms_max) {
        names[0].count = 0;
        names[1].count = 0;
        api->ops->confirmations(api->daemon, version, &names[0], &names[1]);
        if (names[1].count == 0) {
            break;
        }
        struct timespec pause = {
            .tv_nsec = OPERATOR_CONFIRM_POLL_MS * 1000000L,
        };
        nanosleep(&pause, NULL);
        waited_ms += OPERATOR_CONFIRM_POLL_MS;
    }
    free(names);
}

static json_t *
conflict_body(const change_outcome_t *outcome)
{
    return json_pack(
        "{s:s, s:I, s:s, s:s, s:o}", "error", outcome->err.message, "version",
        (json_int_t)outcome->conflicting.version, "change",
        outcome->conflicting.change_id, "by", outcome->conflicting.by, "rows",
        operator_rows_body(outcome->config));
}

/* Reports that the change is not stored, but held by the daemons. */
static int
reply_held(operator_api_t *api, const struct _u_request *request,
           struct _u_response *response, const change_edit_t *edit,
           const change_outcome_t *outcome)
{
    json_t *body = json_pack("{s:b, s:s, s:s}", "held", 1, "change", edit->id,
                             "error", outcome->err.message);
    return reply(api, request, response, OPERATOR_HELD, HTTP_ACCEPTED, body);
}

static bool
outcome_is_held(operator_api_t *api, const change_edit_t *edit,
                const change_outcome_t *outcome)
{
    bool stored = outcome->status == STATUS_OK ||
                  outcome->status == STATUS_CONFLICT ||
                  outcome->status == STATUS_INVALID;
    return !stored && edit->kind != CHANGE_ROWS && edit->out &&
           api->ops->is_held(api->daemon, edit);
}

/* Sends the final outcome of a change. */
static int
reply_outcome(operator_api_t *api, const struct _u_request *request,
              struct _u_response *response, const change_edit_t *edit,
              const change_outcome_t *outcome)
{
    json_t *body;
    if (outcome_is_held(api, edit, outcome)) {
        return reply_held(api, request, response, edit, outcome);
    }
    switch (outcome->status) {
    case STATUS_OK:
        confirmations_wait(api, outcome->version);
        body = json_pack("{s:I, s:s}", "version", (json_int_t)outcome->version,
                         "change", edit->id);
        confirmations_add(api, outcome->version, body);
        if (edit->kind != CHANGE_ROWS &&
            !api->ops->is_known(api->daemon, edit->kind, edit->name)) {
            json_object_set_new(body, "warning",
                                json_string("no known VM has this name or "
                                            "zone"));
        }
        return reply(api, request, response, OPERATOR_ACCEPTED, HTTP_OK, body);
    case STATUS_CONFLICT:
        return reply(api, request, response, OPERATOR_CONFLICT, HTTP_CONFLICT,
                     conflict_body(outcome));
    case STATUS_UNKNOWN:
        body = error_body(outcome->err.message);
        json_object_set_new(body, "change", json_string(edit->id));
        return reply(api, request, response, OPERATOR_UNKNOWN, HTTP_TIMEOUT,
                     body);
    case STATUS_INVALID:
        body = json_pack("{s:i, s:s, s:s}", "row", 0, "column", "", "error",
                         outcome->err.message);
        return reply(api, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_UNPROCESSABLE, body);
    case STATUS_TOO_LARGE:
        return reply(api, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_TOO_LARGE, error_body(outcome->err.message));
    default:
        return reply(api, request, response, OPERATOR_REFUSED,
                     HTTP_UNAVAILABLE, error_body(outcome->err.message));
    }
}

static int
change_run(operator_api_t *api, const struct _u_request *request,
           struct _u_response *response, change_edit_t *edit)
{
    if (edit->id[0] == '\0') {
        uint64_t number = atomic_fetch_add(&api->changes_started, 1);
        snprintf(edit->id, sizeof(edit->id), "%016" PRIx64 "-%" PRIu64,
                 api->settings.incarnation, number);
    }
    if (edit->kind != CHANGE_ROWS) {
        /*
         * Holds the zone or VM, or ends its hold, before the change is stored:
         * a hold only takes work away, so it need not wait for the store.
         */
        api->ops->hold(api->daemon, edit);
    }
    error_t err = ERROR_INIT;
    change_t *change = api->ops->run_change(api->daemon, edit, &err);
    if (change == NULL) {
        return reply(api, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_BAD_REQUEST, error_body(err.message));
    }
    int result =
        reply_outcome(api, request, response, edit, change_outcome(change));
    change_free(change);
    return result;
}

/* Parses the edit in the body of a request and runs the change. */
static int
change_serve(operator_api_t *api, const struct _u_request *request,
             struct _u_response *response, change_edit_t *edit)
{
    operator_fault_t fault = {0};
    config_t *rows = NULL;
    status_t status =
        operator_edit_read(request->binary_body, request->binary_body_length,
                           edit, &rows, &fault);
    if (status == STATUS_INVALID && fault.in_table) {
        json_t *body = json_pack(
            "{s:I, s:s, s:s}", "row", (json_int_t)fault.table.row, "column",
            fault.table.column, "error", fault.table.message);
        return reply(api, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_UNPROCESSABLE, body);
    }
    if (status != STATUS_OK) {
        return reply(api, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_BAD_REQUEST, error_body(fault.table.message));
    }
    int in_progress = atomic_fetch_add(&api->changes_in_progress, 1);
    int result =
        in_progress < OPERATOR_CHANGES_MAX
            ? change_run(api, request, response, edit)
            : reply(api, request, response, OPERATOR_REFUSED, HTTP_UNAVAILABLE,
                    error_body("too many changes are in progress on this "
                               "daemon"));
    atomic_fetch_sub(&api->changes_in_progress, 1);
    config_put(rows);
    return result;
}

/* Checks token and size; sends an error and returns false if invalid. */
static bool
request_check(operator_api_t *api, const struct _u_request *request,
              struct _u_response *response)
{
    if (!token_valid(api, request)) {
        reply(api, request, response, OPERATOR_DENIED, HTTP_UNAUTHORIZED,
              error_body("the operators' token is missing or invalid"));
        return false;
    }
    if (body_too_large(api, request)) {
        reply(api, request, response, OPERATOR_BAD_REQUEST, HTTP_TOO_LARGE,
              error_body("the request body exceeds the size limit"));
        return false;
    }
    return true;
}

static int
on_put_table(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    operator_api_t *api = user;
    change_edit_t edit = {.kind = CHANGE_ROWS};
    if (!request_check(api, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    return change_serve(api, request, response, &edit);
}

static int
post_state(operator_api_t *api, const struct _u_request *request,
           struct _u_response *response, change_kind_t kind)
{
    change_edit_t edit = {.kind = kind};
    if (!request_check(api, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    const char *name = u_map_get(request->map_url, "name");
    snprintf(edit.name, sizeof(edit.name), "%s", name != NULL ? name : "");
    if (name == NULL || strcmp(edit.name, name) != 0) {
        return reply(api, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_BAD_REQUEST,
                     error_body("the name of the zone or VM is too long"));
    }
    return change_serve(api, request, response, &edit);
}

static int
on_post_zone(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    return post_state(user, request, response, CHANGE_ZONE);
}

static int
on_post_vm(const struct _u_request *request, struct _u_response *response,
           void *user)
{
    return post_state(user, request, response, CHANGE_VM);
}

/*
 * Sends a part of the configuration in force; with_confirmations adds which
 * daemons have it.
 */
static int
reply_config(operator_api_t *api, const struct _u_request *request,
             struct _u_response *response,
             json_t *(*format)(const config_t *config),
             bool with_confirmations)
{
    if (!request_check(api, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    config_t *config = api->ops->current(api->daemon);
    if (config == NULL) {
        return reply(api, request, response, OPERATOR_REFUSED,
                     HTTP_UNAVAILABLE,
                     error_body("no configuration is in force on this "
                                "daemon"));
    }
    json_t *body = format(config);
    if (with_confirmations) {
        confirmations_add(api, config->version, body);
    }
    config_put(config);
    return reply(api, request, response, OPERATOR_READ, HTTP_OK, body);
}

static int
on_get_table(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    return reply_config(user, request, response, operator_table_body, false);
}

static int
on_get_zones(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    return reply_config(user, request, response, operator_zones_body, true);
}

static int
on_get_vms(const struct _u_request *request, struct _u_response *response,
           void *user)
{
    return reply_config(user, request, response, operator_vms_body, true);
}

bool
operator_api_register(operator_api_t *api, struct _u_instance *http)
{
    static const struct {
        const char *method;
        const char *path;
        int (*serve)(const struct _u_request *, struct _u_response *, void *);
    } routes[] = {
        {"GET", "/v1/table", on_get_table},
        {"PUT", "/v1/table", on_put_table},
        {"GET", "/v1/zones", on_get_zones},
        {"POST", "/v1/zones/:name", on_post_zone},
        {"GET", "/v1/vms", on_get_vms},
        {"POST", "/v1/vms/:name", on_post_vm},
    };
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        /* The prefix is NULL: ulfius parses ":name" only in the format. */
        if (ulfius_add_endpoint_by_val(http, routes[i].method, NULL,
                                       routes[i].path, 0, routes[i].serve,
                                       api) != U_OK) {
            return false;
        }
    }
    return true;
}
