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

struct operators {
    operator_settings_t settings;
    const operator_ops_t *ops;
    void *daemon;
    atomic_uint_fast64_t changes_made; /* for their ids */
    atomic_int changes_running;
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

operator_t *
operator_new(const operator_settings_t *settings, const operator_ops_t *ops,
             void *daemon)
{
    operator_t *operators = calloc(1, sizeof(*operators));
    if (operators != NULL) {
        operators->settings = *settings;
        operators->ops = ops;
        operators->daemon = daemon;
    }
    return operators;
}

void
operator_free(operator_t *operators)
{
    if (operators == NULL) {
        return;
    }
    explicit_bzero(operators->settings.token,
                   sizeof(operators->settings.token));
    free(operators);
}

uint64_t
operator_count(const operator_t *operators, operator_result_t result)
{
    return atomic_load(&operators->counts[result]);
}

static void
client_print(const struct _u_request *request, char out[ERROR_PEER_MAX])
{
    const struct sockaddr *address = request->client_address;
    const void *from = NULL;
    if (address != NULL && address->sa_family == AF_INET) {
        from = &((const struct sockaddr_in *)address)->sin_addr;
    }
    if (address != NULL && address->sa_family == AF_INET6) {
        from = &((const struct sockaddr_in6 *)address)->sin6_addr;
    }
    if (from == NULL ||
        inet_ntop(address->sa_family, from, out, ERROR_PEER_MAX) == NULL) {
        snprintf(out, ERROR_PEER_MAX, "client");
    }
}

/* Count, report and answer; body is given up. */
static int
reply(operator_t *operators, const struct _u_request *request,
      struct _u_response *response, operator_result_t result,
      unsigned int code, json_t *body)
{
    atomic_fetch_add(&operators->counts[result], 1);
    if (result != OPERATOR_READ) {
        char client[ERROR_PEER_MAX];
        char path[ERROR_STEP_MAX];
        client_print(request, client);
        printable_copy(path, sizeof(path), request->url_path);
        const char *message =
            json_string_value(json_object_get(body, "error"));
        error_t err = ERROR_INIT;
        error_set(&err, STATUS_OK, path, client, "%u %s", code,
                  message != NULL ? message : result_names[result]);
        operators->ops->report(operators->daemon, result, &err);
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
token_valid(const operator_t *operators, const struct _u_request *request)
{
    static const char scheme[] = "Bearer ";
    size_t skip = sizeof(scheme) - 1;
    const char *header = u_map_get_case(request->map_header, "Authorization");
    if (header == NULL || strncasecmp(header, scheme, skip) != 0) {
        return false;
    }
    return secret_equal(header + skip, strlen(header + skip),
                        operators->settings.token,
                        operators->settings.token_size);
}

/* Whether the client announced or sent more than allowed. */
static bool
body_too_large(const operator_t *operators, const struct _u_request *request)
{
    size_t max = operators->settings.body_max_bytes;
    const char *length = u_map_get_case(request->map_header, "Content-Length");
    return request->binary_body_length > max ||
           (length != NULL && strtoull(length, NULL, 10) > max);
}

static json_t *
names_write(const operator_names_t *names)
{
    json_t *list = json_array();
    for (size_t i = 0; i < names->count; i++) {
        json_array_append_new(list, json_string(names->names[i]));
    }
    return list;
}

/* Add who has confirmed the version and who has not. */
static void
confirmations_add(operator_t *operators, uint64_t version, json_t *body)
{
    operator_names_t *names = calloc(2, sizeof(*names));
    if (names == NULL) {
        return;
    }
    operators->ops->confirmations(operators->daemon, version, &names[0],
                                  &names[1]);
    json_object_set_new(body, "confirmed", names_write(&names[0]));
    json_object_set_new(body, "waiting", names_write(&names[1]));
    free(names);
}

/* Wait until all daemons have the version, within bounds. */
static void
confirmations_wait(operator_t *operators, uint64_t version)
{
    operator_names_t *names = calloc(2, sizeof(*names));
    uint32_t waited_ms = 0;
    while (names != NULL && waited_ms < operators->settings.confirm_ms_max) {
        names[0].count = 0;
        names[1].count = 0;
        operators->ops->confirmations(operators->daemon, version, &names[0],
                                      &names[1]);
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

/* The store did not take it, and the daemons keep it out meanwhile. */
static int
reply_held(operator_t *operators, const struct _u_request *request,
           struct _u_response *response, const change_edit_t *edit,
           const change_outcome_t *outcome)
{
    json_t *body = json_pack("{s:b, s:s, s:s}", "held", 1, "change", edit->id,
                             "error", outcome->err.message);
    return reply(operators, request, response, OPERATOR_HELD, HTTP_ACCEPTED,
                 body);
}

static bool
outcome_is_held(operator_t *operators, const change_edit_t *edit,
                const change_outcome_t *outcome)
{
    bool stored = outcome->status == STATUS_OK ||
                  outcome->status == STATUS_CONFLICT ||
                  outcome->status == STATUS_INVALID;
    return !stored && edit->kind != CHANGE_ROWS && edit->out &&
           operators->ops->is_held(operators->daemon, edit);
}

/* Answer with the final outcome of a change. */
static int
reply_outcome(operator_t *operators, const struct _u_request *request,
              struct _u_response *response, const change_edit_t *edit,
              const change_outcome_t *outcome)
{
    json_t *body;
    if (outcome_is_held(operators, edit, outcome)) {
        return reply_held(operators, request, response, edit, outcome);
    }
    switch (outcome->status) {
    case STATUS_OK:
        confirmations_wait(operators, outcome->version);
        body = json_pack("{s:I, s:s}", "version", (json_int_t)outcome->version,
                         "change", edit->id);
        confirmations_add(operators, outcome->version, body);
        if (edit->kind != CHANGE_ROWS &&
            !operators->ops->is_known(operators->daemon, edit->kind,
                                      edit->name)) {
            json_object_set_new(body, "warning",
                                json_string("no VM of the platform's list has "
                                            "this name or zone"));
        }
        return reply(operators, request, response, OPERATOR_ACCEPTED, HTTP_OK,
                     body);
    case STATUS_CONFLICT:
        return reply(operators, request, response, OPERATOR_CONFLICT,
                     HTTP_CONFLICT, conflict_body(outcome));
    case STATUS_UNKNOWN:
        body = error_body(outcome->err.message);
        json_object_set_new(body, "change", json_string(edit->id));
        return reply(operators, request, response, OPERATOR_UNKNOWN,
                     HTTP_TIMEOUT, body);
    case STATUS_INVALID:
        body = json_pack("{s:i, s:s, s:s}", "row", 0, "column", "", "error",
                         outcome->err.message);
        return reply(operators, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_UNPROCESSABLE, body);
    case STATUS_TOO_LARGE:
        return reply(operators, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_TOO_LARGE, error_body(outcome->err.message));
    default:
        return reply(operators, request, response, OPERATOR_REFUSED,
                     HTTP_UNAVAILABLE, error_body(outcome->err.message));
    }
}

static int
change_run(operator_t *operators, const struct _u_request *request,
           struct _u_response *response, change_edit_t *edit)
{
    if (edit->id[0] == '\0') {
        uint64_t number = atomic_fetch_add(&operators->changes_made, 1);
        snprintf(edit->id, sizeof(edit->id), "%016" PRIx64 "-%" PRIu64,
                 operators->settings.incarnation, number);
    }
    if (edit->kind != CHANGE_ROWS) {
        /* What only takes work away need not wait for the store. */
        operators->ops->hold(operators->daemon, edit);
    }
    error_t err = ERROR_INIT;
    change_t *change =
        operators->ops->run_change(operators->daemon, edit, &err);
    if (change == NULL) {
        return reply(operators, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_BAD_REQUEST, error_body(err.message));
    }
    int result = reply_outcome(operators, request, response, edit,
                               change_outcome(change));
    change_free(change);
    return result;
}

/* Read the edit of a request that changes something, and run it. */
static int
change_serve(operator_t *operators, const struct _u_request *request,
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
        return reply(operators, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_UNPROCESSABLE, body);
    }
    if (status != STATUS_OK) {
        return reply(operators, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_BAD_REQUEST, error_body(fault.table.message));
    }
    int running = atomic_fetch_add(&operators->changes_running, 1);
    int result =
        running < OPERATOR_CHANGES_MAX
            ? change_run(operators, request, response, edit)
            : reply(operators, request, response, OPERATOR_REFUSED,
                    HTTP_UNAVAILABLE,
                    error_body("too many changes are in progress here"));
    atomic_fetch_sub(&operators->changes_running, 1);
    config_put(rows);
    return result;
}

/* Judge token and size; true when the request may be served. */
static bool
request_admit(operator_t *operators, const struct _u_request *request,
              struct _u_response *response)
{
    if (!token_valid(operators, request)) {
        reply(operators, request, response, OPERATOR_DENIED, HTTP_UNAUTHORIZED,
              error_body("the operators' token is missing or wrong"));
        return false;
    }
    if (body_too_large(operators, request)) {
        reply(operators, request, response, OPERATOR_BAD_REQUEST,
              HTTP_TOO_LARGE, error_body("the body is larger than allowed"));
        return false;
    }
    return true;
}

static int
on_put_table(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    operator_t *operators = user;
    change_edit_t edit = {.kind = CHANGE_ROWS};
    if (!request_admit(operators, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    return change_serve(operators, request, response, &edit);
}

static int
post_state(operator_t *operators, const struct _u_request *request,
           struct _u_response *response, change_kind_t kind)
{
    change_edit_t edit = {.kind = kind};
    if (!request_admit(operators, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    const char *name = u_map_get(request->map_url, "name");
    snprintf(edit.name, sizeof(edit.name), "%s", name != NULL ? name : "");
    if (name == NULL || strcmp(edit.name, name) != 0) {
        return reply(operators, request, response, OPERATOR_BAD_REQUEST,
                     HTTP_BAD_REQUEST, error_body("the name is too long"));
    }
    return change_serve(operators, request, response, &edit);
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

/* Answer from the configuration in force, and who has it when listed. */
static int
get_config(operator_t *operators, const struct _u_request *request,
           struct _u_response *response,
           json_t *(*write)(const config_t *config), bool listed)
{
    if (!request_admit(operators, request, response)) {
        return U_CALLBACK_COMPLETE;
    }
    config_t *config = operators->ops->current(operators->daemon);
    if (config == NULL) {
        return reply(operators, request, response, OPERATOR_REFUSED,
                     HTTP_UNAVAILABLE,
                     error_body("no configuration is in force here"));
    }
    json_t *body = write(config);
    if (listed) {
        confirmations_add(operators, config->version, body);
    }
    config_put(config);
    return reply(operators, request, response, OPERATOR_READ, HTTP_OK, body);
}

static int
on_get_table(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    return get_config(user, request, response, operator_table_body, false);
}

static int
on_get_zones(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    return get_config(user, request, response, operator_zones_body, true);
}

static int
on_get_vms(const struct _u_request *request, struct _u_response *response,
           void *user)
{
    return get_config(user, request, response, operator_vms_body, true);
}

bool
operator_serve(operator_t *operators, struct _u_instance *http)
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
        /* Only the format, not the prefix, yields ":name". */
        if (ulfius_add_endpoint_by_val(http, routes[i].method, NULL,
                                       routes[i].path, 0, routes[i].serve,
                                       operators) != U_OK) {
            return false;
        }
    }
    return true;
}
