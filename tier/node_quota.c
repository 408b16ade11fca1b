/* Quotas of tenants: admission, and loans between daemons. */
#include "edge/event.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/node_state.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* Messages in flight. A peer answers within some milliseconds. */
    CALLS_MAX = 32,
    CALL_TIMEOUT_US = 200000,
    /* How long a peer is not asked after a message to it failed, and after it
       has answered as a daemon does that knows no quotas. */
    AVOID_FAILED_US = 1000000,
    AVOID_OLDER_US = 5000000,
    /* By then a daemon that starts has read the members, and those that start
       with it have written their records. */
    SETTLED_US = MEMBERS_STARTUP_US,
    JSON_FORMAT = JSON_COMPACT | JSON_REAL_PRECISION(5)
};

/* Fields of the messages. "waiting" has the tenants of "want" for which a
   request waits. */
static const char field_want[] = "want";
static const char field_waiting[] = "waiting";
static const char field_granted[] = "granted";
static const char field_serving[] = "serving";

/* A message in flight. */
typedef struct {
    node_quota_t *quota;
    bool is_used;
    quota_ask_t ask;
} quota_call_t;

typedef struct {
    uint64_t id;
    struct sockaddr_in address;
} quota_address_t;

struct node_quota {
    node_t *node;
    quota_t accounts;
    quota_call_t calls[CALLS_MAX];
    quota_address_t *addresses; /* control addresses of the serving peers */
    quota_peer_t *peers;        /* these peers, in the same order */
    uint32_t peer_count;
    uint32_t capacity;
};

static quota_bounds_t
boot_bounds(const boot_t *boot)
{
    return (quota_bounds_t){
        .window_us = boot->quota_window_us,
        .excess = boot->quota_excess,
        .slack = boot->quota_slack,
    };
}

bool
node_quota_init(node_t *node, int64_t now_us)
{
    node_quota_t *quota = calloc(1, sizeof(*quota));
    if (quota == NULL) {
        return false;
    }
    const char *name = node->boot.daemon_name;
    quota_bounds_t bounds = boot_bounds(&node->boot);
    quota->node = node;
    quota_init(&quota->accounts, &bounds,
               XXH64(name, strlen(name), (uint64_t)now_us), now_us);
    node->quota = quota;
    return true;
}

void
node_quota_release(node_t *node)
{
    if (node->quota != NULL) {
        quota_release(&node->quota->accounts);
        free(node->quota->addresses);
        free(node->quota->peers);
        free(node->quota);
        node->quota = NULL;
    }
}

void
node_quota_reload(node_t *node, int64_t now_us)
{
    quota_bounds_t bounds = boot_bounds(&node->boot);
    quota_set_bounds(&node->quota->accounts, &bounds, now_us);
}

const quota_stats_t *
node_quota_stats(const node_t *node)
{
    return &node->quota->accounts.stats;
}

/* Whether quotas are enforced at present. */
static bool
quota_is_active(const node_quota_t *quota)
{
    const route_table_t *table = engine_table(quota->node->engine);
    return quota->accounts.share.bounds.window_us > 0 && table != NULL &&
           table->tenants.count > 0;
}

/* The limit of the tenant of that name; rate 0: none, or no such tenant. */
static quota_limit_t
tenant_limit(const node_quota_t *quota, const char *name)
{
    const route_table_t *table = engine_table(quota->node->engine);
    uint32_t index = table != NULL && name != NULL
                         ? tenant_table_find_name(&table->tenants, name)
                         : TENANT_NONE;
    if (index == TENANT_NONE) {
        return (quota_limit_t){0};
    }
    const tenant_t *tenant = table->tenants.tenants[index];
    return (quota_limit_t){
        .key = XXH64(name, strlen(name), 0),
        .rate_per_s = tenant->rate_per_s,
        .burst = tenant->burst,
    };
}

/* --- peers --------------------------------------------------------------- */

static bool
peers_grow(node_quota_t *quota, uint32_t count)
{
    if (count <= quota->capacity) {
        return true;
    }
    /* They are filled anew by each call. */
    free(quota->addresses);
    free(quota->peers);
    quota->capacity = 0;
    quota->peer_count = 0;
    quota->addresses = calloc(count, sizeof(*quota->addresses));
    quota->peers = calloc(count, sizeof(*quota->peers));
    if (quota->addresses == NULL || quota->peers == NULL) {
        return false;
    }
    quota->capacity = count;
    return true;
}

void
node_quota_apply_members(node_t *node, uint32_t serving, int64_t now_us)
{
    node_quota_t *quota = node->quota;
    const members_t *members = &node->members;
    /* Once it shuts down, this daemon is no member, but has its part until its
       last request. */
    if (node->shutting_down || !peers_grow(quota, members->count)) {
        return;
    }
    quota->peer_count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        struct sockaddr_in address;
        if (record->role == MEMBER_STANDBY ||
            strcmp(record->name, node->boot.daemon_name) == 0 ||
            !boot_parse_address(record->control, &address)) {
            continue;
        }
        uint64_t id = member_id(record->name);
        quota->addresses[quota->peer_count] =
            (quota_address_t){.id = id, .address = address};
        quota->peers[quota->peer_count++] = (quota_peer_t){
            .id = id,
            .is_local = strcmp(record->zone, node->boot.zone) == 0,
        };
    }
    quota_fleet_t fleet = {
        .serving = serving,
        .serves =
            members_role(members, node->boot.daemon_name) != MEMBER_STANDBY,
        .is_settled = now_us - node->started_us > SETTLED_US,
        .self = member_id(node->boot.daemon_name),
        .peers = quota->peers,
        .peer_count = quota->peer_count,
    };
    quota_set_fleet(&quota->accounts, &fleet, now_us);
}

static const struct sockaddr_in *
peer_address(const node_quota_t *quota, uint64_t id)
{
    for (uint32_t i = 0; i < quota->peer_count; i++) {
        if (quota->addresses[i].id == id) {
            return &quota->addresses[i].address;
        }
    }
    return NULL;
}

/* A count of serving daemons that a peer states. */
static void
peer_serving(node_quota_t *quota, const json_t *message, int64_t now_us)
{
    json_int_t serving =
        json_integer_value(json_object_get(message, field_serving));
    if (serving > 0 && serving <= MEMBERS_MAX) {
        quota_note_serving(&quota->accounts, (uint32_t)serving, now_us);
    }
}

/* --- borrowing ----------------------------------------------------------- */

/* The text of a message, to be freed; NULL: out of memory. */
static char *
ask_write(const node_quota_t *quota, const quota_ask_t *ask)
{
    const tenant_names_t *names = engine_tenant_names(quota->node->engine);
    json_t *want = json_object();
    json_t *waiting = json_object();
    for (uint32_t i = 0; i < ask->count; i++) {
        const char *name = tenant_names_text(names, ask->tenants[i]);
        json_object_set_new(ask->waits[i] ? waiting : want, name,
                            json_real(ask->wanted[i]));
    }
    json_t *message = json_pack("{s:i, s:o, s:o}", field_serving,
                                (int)quota->accounts.counted, field_want, want,
                                field_waiting, waiting);
    char *text = message != NULL ? json_dumps(message, JSON_FORMAT) : NULL;
    json_decref(message);
    return text;
}

static void
call_answered(quota_call_t *call, const http_message_t *message,
              int64_t now_us)
{
    node_quota_t *quota = call->quota;
    double granted[QUOTA_WANTS_MAX] = {0};
    json_t *root = message->status == 200
                       ? json_loadb((const char *)buffer_data(&message->body),
                                    buffer_size(&message->body), 0, NULL)
                       : NULL;
    const json_t *list = json_object_get(root, field_granted);
    if (!json_is_object(list)) {
        json_decref(root);
        quota_failed(&quota->accounts, &call->ask,
                     message->status == 404 ? AVOID_OLDER_US : AVOID_FAILED_US,
                     now_us);
        return;
    }
    const tenant_names_t *names = engine_tenant_names(quota->node->engine);
    for (uint32_t i = 0; i < call->ask.count; i++) {
        const char *name = tenant_names_text(names, call->ask.tenants[i]);
        granted[i] = json_number_value(json_object_get(list, name));
    }
    peer_serving(quota, root, now_us);
    quota_answered(&quota->accounts, &call->ask, granted, now_us);
    json_decref(root);
}

static void
call_done(void *owner, relay_result_t result, const http_message_t *message,
          int64_t now_us)
{
    quota_call_t *call = owner;
    call->is_used = false;
    if (result == RELAY_ANSWERED) {
        call_answered(call, message, now_us);
        return;
    }
    quota_failed(&call->quota->accounts, &call->ask, AVOID_FAILED_US, now_us);
}

static bool
call_send(quota_call_t *call, const char *text, int64_t now_us)
{
    static const char head[] =
        "Host: daemon\r\nContent-Type: application/json\r\n";
    const struct sockaddr_in *address =
        peer_address(call->quota, call->ask.peer);
    if (address == NULL || text == NULL) {
        return false;
    }
    relay_request_t request = {
        .address = *address,
        .method = "POST",
        .target = QUOTA_PATH,
        .head = head,
        .head_size = sizeof(head) - 1,
        .body = text,
        .body_size = strlen(text),
        .deadline_us = now_us + CALL_TIMEOUT_US,
        .idempotent = true,
        .is_message = true,
    };
    return relay_links_send(call->quota->node->relay_links, &request,
                            call_done, call, now_us) != NULL;
}

/* Send the message that is due, if one is. */
static void
quota_send(node_quota_t *quota, int64_t now_us)
{
    quota_call_t *call = NULL;
    for (uint32_t i = 0; i < CALLS_MAX; i++) {
        call = quota->calls[i].is_used ? call : &quota->calls[i];
    }
    if (call == NULL || !quota_ask(&quota->accounts, &call->ask, now_us)) {
        return;
    }
    call->quota = quota;
    call->is_used = true;
    char *text = ask_write(quota, &call->ask);
    if (!call_send(call, text, now_us)) {
        call->is_used = false;
        quota_failed(&quota->accounts, &call->ask, AVOID_FAILED_US, now_us);
    }
    free(text);
}

void
node_quota_tick(node_t *node, int64_t now_us)
{
    if (quota_is_active(node->quota)) {
        quota_send(node->quota, now_us);
    }
}

void
node_quota_expire(node_t *node, int64_t now_us)
{
    quota_expire(&node->quota->accounts, now_us);
}

/* --- lending ------------------------------------------------------------- */

/* Lend what a list of a message asks for, and add it to granted. */
static void
lend_list(node_quota_t *quota, json_t *list, bool waits, json_t *granted,
          int64_t now_us)
{
    tenant_names_t *names = engine_tenant_names(quota->node->engine);
    const char *name;
    json_t *wanted;
    uint32_t left = QUOTA_WANTS_MAX;
    json_object_foreach(list, name, wanted)
    {
        quota_limit_t limit = tenant_limit(quota, name);
        if (limit.rate_per_s <= 0 || left-- == 0) {
            continue;
        }
        tenant_id_t tenant = tenant_names_intern(names, name);
        double lent =
            tenant != TENANT_NONE
                ? quota_lend(&quota->accounts, tenant, &limit,
                             json_number_value(wanted), waits, now_us)
                : 0;
        if (lent > 0) {
            json_object_set_new(granted, name, json_real(lent));
        }
    }
}

void
node_quota_request(node_t *node, exchange_t *exchange)
{
    node_quota_t *quota = node->quota;
    const http_message_t *message = exchange_request(exchange);
    int64_t now_us = loop_now_us();
    json_t *root = json_loadb((const char *)buffer_data(&message->body),
                              buffer_size(&message->body), 0, NULL);
    json_t *granted = json_object();
    if (!json_is_object(root) || granted == NULL) {
        event_log(EVENT_INPUT_REFUSED, "key=peer_quota cause=not_readable");
        node_answer_text(exchange, 400, "text/plain", "", 0);
        json_decref(granted);
        json_decref(root);
        return;
    }
    peer_serving(quota, root, now_us);
    if (quota_is_active(quota)) {
        lend_list(quota, json_object_get(root, field_waiting), true, granted,
                  now_us);
        lend_list(quota, json_object_get(root, field_want), false, granted,
                  now_us);
    }
    json_t *answer =
        json_pack("{s:i, s:o}", field_serving, (int)quota->accounts.counted,
                  field_granted, granted);
    char *text = answer != NULL ? json_dumps(answer, JSON_FORMAT) : NULL;
    node_answer_text(exchange, text != NULL ? 200 : 503, "application/json",
                     text, text != NULL ? strlen(text) : 0);
    free(text);
    json_decref(answer);
    json_decref(root);
}

/* --- admission; owner is the node ---------------------------------------- */

static void
quota_log(node_quota_t *quota, const call_t *call, int64_t now_us)
{
    quota_report_t report;
    if (quota_report(&quota->accounts, call->tenant_id, &report, now_us)) {
        event_log(EVENT_TENANT_AT_LIMIT,
                  "tenant=%.64s part_per_s=%.3f serving=%u tokens=%.2f "
                  "borrowed=%.2f lent=%.2f refused=%u",
                  call->tenant, report.part_per_s, quota->accounts.serving,
                  report.tokens, report.borrowed, report.lent, report.refused);
    }
}

static quota_decision_t
admission_take(void *owner, const call_t *call, int64_t until_us,
               int64_t now_us)
{
    const node_t *node = owner;
    node_quota_t *quota = node->quota;
    quota_limit_t limit = tenant_limit(quota, call->tenant);
    quota_decision_t decision;
    if (until_us > 0) {
        decision = quota_take_again(&quota->accounts, call->tenant_id, &limit,
                                    until_us, now_us);
    }
    else {
        const route_table_t *table = engine_table(node->engine);
        const route_t *route =
            table != NULL ? route_table_match(table, call->host, call->target)
                          : NULL;
        decision = quota_take(&quota->accounts, call->tenant_id, &limit,
                              route != NULL ? route->goal_us : 0, now_us);
    }
    if (decision.verdict == QUOTA_WAITS) {
        quota_send(quota, now_us);
    }
    if (decision.verdict == QUOTA_REFUSED) {
        quota_log(quota, call, now_us);
    }
    return decision;
}

static void
admission_give_back(void *owner, const call_t *call, int64_t now_us)
{
    const node_t *node = owner;
    quota_limit_t limit = tenant_limit(node->quota, call->tenant);
    quota_give_back(&node->quota->accounts, call->tenant_id, &limit, now_us);
}

const front_quota_ops_t node_quota_ops = {
    .take = admission_take,
    .give_back = admission_give_back,
};
