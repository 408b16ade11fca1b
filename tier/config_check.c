#include "tier/config_check.h"

#include "net/buffer.h"
#include "platform/documents.h"
#include "policy/route.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    VALUE_SIZE = 256,           /* of a row in a finding, bytes */
    READ_SIZE = 65536,          /* bytes read at a time */
    FILE_MAX = 64 * 1024 * 1024 /* bytes; a longer file is unreadable */
};

/* Passed to the parser's handlers. */
typedef struct {
    config_report_t *report;
    const document_rows_t *rows;
} parse_owner_t;

static void
on_row_error(void *owner, const char *place, const char *error)
{
    const parse_owner_t *parse = owner;
    char value[VALUE_SIZE];
    document_rows_format(parse->rows, place, value, sizeof(value));
    config_report_find(parse->report, place, "", error, "%s", value);
}

/* --- what can't match, and limits -------------------------------------- */

static void
check_route_limits(config_report_t *report, const route_t *route)
{
    double weights = 0;
    for (uint32_t i = 0; i < route->target_count; i++) {
        weights += route->targets[i].weight;
    }
    if (route->goal_us > 0 && route->timeout_us > 0 &&
        route->goal_us > route->timeout_us) {
        config_report_find(report, "route", route->name,
                           "the latency goal is above the timeout",
                           "goal %g ms, timeout %g ms",
                           (double)route->goal_us / 1000,
                           (double)route->timeout_us / 1000);
    }
    if (route->kind == ROUTE_SPLIT && weights <= 0) {
        config_report_find(report, "route", route->name,
                           "the weights of the split are all 0", "%u services",
                           route->target_count);
    }
    if (route->min_share > 1) {
        config_report_find(report, "route", route->name,
                           "an answer needs more than all shards",
                           "%g of them", route->min_share);
    }
    else if (route->kind == ROUTE_SHARDS && route->attempts == 1 &&
             route->target_count > 1 &&
             ceil(route->min_share * route->target_count - 1e-9) >=
                 route->target_count) {
        config_report_find(
            report, "route", route->name,
            "an answer needs every shard, and each has one attempt",
            "%g of %u shards", route->min_share, route->target_count);
    }
}

static void
check_routes(config_report_t *report, const route_table_t *table)
{
    for (uint32_t i = 0; i < table->route_count; i++) {
        const route_t *route = &table->routes[i];
        for (uint32_t j = 0; j < i; j++) {
            if (strcmp(route->host, table->routes[j].host) == 0 &&
                strcmp(route->prefix, table->routes[j].prefix) == 0) {
                config_report_find(
                    report, "route", route->name,
                    "another route has the same host and prefix; one "
                    "of them never matches",
                    "%s%s, as route %s", route->host, route->prefix,
                    table->routes[j].name);
                break;
            }
        }
        check_route_limits(report, route);
    }
}

/* Whether a route before the given one, or a target before the given one of
   this route, has the service; so that each is reported once. */
static bool
service_is_named(const route_table_t *table, const char *service,
                 uint32_t routes, uint32_t targets)
{
    for (uint32_t i = 0; i <= routes && i < table->route_count; i++) {
        const route_t *route = &table->routes[i];
        uint32_t count = i < routes ? route->target_count : targets;
        for (uint32_t j = 0; j < count; j++) {
            if (strcmp(route->targets[j].service, service) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
check_services(config_report_t *report, const route_table_t *table)
{
    for (uint32_t i = 0; i < table->service_count; i++) {
        const char *name = table->services[i].name;
        if (!service_is_named(table, name, table->route_count, 0)) {
            config_report_find(report, "service", name,
                               "no route names the service", "%u routes",
                               table->route_count);
        }
    }
    for (uint32_t i = 0; i < table->route_count; i++) {
        const route_t *route = &table->routes[i];
        for (uint32_t j = 0; j < route->target_count; j++) {
            const char *name = route->targets[j].service;
            if (route_table_service(table, name) == NULL &&
                !service_is_named(table, name, i, j)) {
                config_report_find(report, "service", name,
                                   "the service has no entry, so no limits",
                                   "named by route %s", route->name);
            }
        }
    }
}

static void
check_tenants(config_report_t *report, const route_table_t *table)
{
    const tenant_table_t *tenants = &table->tenants;
    uint32_t *keys = calloc((size_t)tenants->count + 1, sizeof(*keys));
    if (keys == NULL) {
        report->unreadable = "out of memory";
        return;
    }
    for (uint32_t i = 0; i < tenants->key_count; i++) {
        if (tenants->keys[i].tenant != TENANT_NONE) {
            keys[tenants->keys[i].tenant]++;
        }
    }
    for (uint32_t i = 0; i < tenants->count; i++) {
        const tenant_t *tenant = tenants->tenants[i];
        if (keys[i] == 0) {
            config_report_find(
                report, "tenant", tenant->name,
                "the tenant has no valid key, so no request is its", "0 keys");
        }
        if (tenant->burst > 0 && tenant->rate_per_s <= 0) {
            config_report_find(report, "tenant", tenant->name,
                               "a burst without a rate limits nothing",
                               "burst %g", tenant->burst);
        }
        if (tenant->rate_per_s > 0 && tenant->burst < 1) {
            config_report_find(
                report, "tenant", tenant->name,
                "a rate with a burst below 1 leaves no room for a "
                "request",
                "rate %g, burst %g", tenant->rate_per_s, tenant->burst);
        }
    }
    free(keys);
}

/* --- differences --------------------------------------------------------- */

static void
compare_number(config_report_t *report, const char *kind, const char *name,
               const char *field, double before, double now)
{
    if (before != now) {
        config_report_differ(report, kind, name, "changed", "%s %g -> %g",
                             field, before, now);
    }
}

/* The services of a route with their weights; to be freed, NULL: out of
   memory. */
static char *
targets_text(const route_t *route)
{
    static const char *const kinds[] = {[ROUTE_ONE] = "to",
                                        [ROUTE_SPLIT] = "split",
                                        [ROUTE_SHARDS] = "shards"};
    char *text = NULL;
    size_t size = 0;
    FILE *file = open_memstream(&text, &size);
    if (file == NULL) {
        return NULL;
    }
    fprintf(file, "%s", kinds[route->kind]);
    for (uint32_t i = 0; i < route->target_count; i++) {
        fprintf(file, " %s", route->targets[i].service);
        if (route->kind == ROUTE_SPLIT) {
            fprintf(file, ":%g", route->targets[i].weight);
        }
    }
    return fclose(file) == 0 ? text : NULL;
}

static void
compare_route(config_report_t *report, const route_t *before,
              const route_t *now)
{
    const char *name = now->name;
    char *targets_before = targets_text(before);
    char *targets_now = targets_text(now);
    if (strcmp(before->host, now->host) != 0 ||
        strcmp(before->prefix, now->prefix) != 0) {
        config_report_differ(report, "route", name, "changed", "%s%s -> %s%s",
                             before->host, before->prefix, now->host,
                             now->prefix);
    }
    if (targets_before == NULL || targets_now == NULL) {
        report->unreadable = "out of memory";
    }
    else if (strcmp(targets_before, targets_now) != 0) {
        config_report_differ(report, "route", name, "changed", "%s -> %s",
                             targets_before, targets_now);
    }
    free(targets_before);
    free(targets_now);
    compare_number(report, "route", name, "idempotent", before->idempotent,
                   now->idempotent);
    compare_number(report, "route", name, "public", before->is_public,
                   now->is_public);
    compare_number(report, "route", name, "timeout in ms",
                   (double)before->timeout_us / 1000,
                   (double)now->timeout_us / 1000);
    compare_number(report, "route", name, "goal in ms",
                   (double)before->goal_us / 1000,
                   (double)now->goal_us / 1000);
    compare_number(report, "route", name, "attempts", before->attempts,
                   now->attempts);
    compare_number(report, "route", name, "priority", before->priority,
                   now->priority);
    compare_number(report, "route", name, "most records", before->top_k,
                   now->top_k);
    compare_number(report, "route", name, "share of shards needed",
                   before->min_share, now->min_share);
}

static const route_t *
find_route(const route_table_t *table, const char *name)
{
    for (uint32_t i = 0; i < table->route_count; i++) {
        if (strcmp(table->routes[i].name, name) == 0) {
            return &table->routes[i];
        }
    }
    return NULL;
}

static void
compare_routes(config_report_t *report, const route_table_t *before,
               const route_table_t *now)
{
    for (uint32_t i = 0; i < now->route_count; i++) {
        const route_t *route = &now->routes[i];
        const route_t *other = find_route(before, route->name);
        if (other != NULL) {
            compare_route(report, other, route);
        }
        else {
            config_report_differ(report, "route", route->name, "added", "%s%s",
                                 route->host, route->prefix);
        }
    }
    for (uint32_t i = 0; i < before->route_count; i++) {
        const route_t *route = &before->routes[i];
        if (find_route(now, route->name) == NULL) {
            config_report_differ(report, "route", route->name, "removed",
                                 "%s%s", route->host, route->prefix);
        }
    }
}

static void
compare_services(config_report_t *report, const route_table_t *before,
                 const route_table_t *now)
{
    for (uint32_t i = 0; i < now->service_count; i++) {
        const route_service_t *service = &now->services[i];
        const char *name = service->name;
        const route_service_t *other = route_table_service(before, name);
        if (other == NULL) {
            config_report_differ(report, "service", name, "added",
                                 "connections %u", service->max_connections);
            continue;
        }
        compare_number(report, "service", name, "connections",
                       other->max_connections, service->max_connections);
        compare_number(report, "service", name, "warm-up in s",
                       (double)other->warmup_us / 1e6,
                       (double)service->warmup_us / 1e6);
        compare_number(report, "service", name, "requests per s while cold",
                       other->cold_per_s, service->cold_per_s);
    }
    for (uint32_t i = 0; i < before->service_count; i++) {
        const route_service_t *service = &before->services[i];
        if (route_table_service(now, service->name) == NULL) {
            config_report_differ(report, "service", service->name, "removed",
                                 "connections %u", service->max_connections);
        }
    }
}

/* Count, for each tenant of the table, its keys that are not those of the
   tenant of the same name in other. To be freed; NULL: out of memory. */
static uint32_t *
count_other_keys(const tenant_table_t *table, const tenant_table_t *other)
{
    uint32_t *counts = calloc((size_t)table->count + 1, sizeof(*counts));
    const char *bytes = (const char *)buffer_data(&table->bytes);
    for (uint32_t i = 0; counts != NULL && i < table->key_count; i++) {
        const tenant_key_t *key = &table->keys[i];
        if (key->tenant == TENANT_NONE) {
            continue;
        }
        uint32_t found =
            tenant_table_find_key(other, bytes + key->offset, key->size);
        if (found == TENANT_NONE ||
            strcmp(other->tenants[found]->name,
                   table->tenants[key->tenant]->name) != 0) {
            counts[key->tenant]++;
        }
    }
    return counts;
}

static void
compare_tenant(config_report_t *report, const tenant_t *before,
               const tenant_t *now, uint32_t added, uint32_t removed)
{
    const char *name = now->name;
    if (added > 0 || removed > 0) {
        config_report_differ(report, "tenant", name, "changed",
                             "%u keys added, %u removed", added, removed);
    }
    /* -1: the route's priority is in force. */
    compare_number(report, "tenant", name, "priority",
                   before->has_priority ? before->priority : -1.0,
                   now->has_priority ? now->priority : -1.0);
    compare_number(report, "tenant", name, "rate per s", before->rate_per_s,
                   now->rate_per_s);
    compare_number(report, "tenant", name, "burst", before->burst, now->burst);
}

static void
compare_tenants(config_report_t *report, const route_table_t *before,
                const route_table_t *now)
{
    const tenant_table_t *old = &before->tenants;
    const tenant_table_t *new = &now->tenants;
    uint32_t *added = count_other_keys(new, old);
    uint32_t *removed = count_other_keys(old, new);
    if (added == NULL || removed == NULL) {
        free(added);
        free(removed);
        report->unreadable = "out of memory";
        return;
    }
    if (before->needs_keys != now->needs_keys) {
        config_report_differ(report, "tenants", "", "changed",
                             now->needs_keys
                                 ? "requests need keys from now on"
                                 : "requests need no keys from now on");
    }
    for (uint32_t i = 0; i < new->count; i++) {
        const tenant_t *tenant = new->tenants[i];
        uint32_t other = tenant_table_find_name(old, tenant->name);
        if (other != TENANT_NONE) {
            compare_tenant(report, old->tenants[other], tenant, added[i],
                           removed[other]);
        }
        else {
            config_report_differ(report, "tenant", tenant->name, "added",
                                 "%u keys added", added[i]);
        }
    }
    for (uint32_t i = 0; i < old->count; i++) {
        if (tenant_table_find_name(new, old->tenants[i]->name) ==
            TENANT_NONE) {
            config_report_differ(report, "tenant", old->tenants[i]->name,
                                 "removed", "%u keys removed", removed[i]);
        }
    }
    free(added);
    free(removed);
}

static void
compare_tables(config_report_t *report, const route_table_t *before,
               const route_table_t *now)
{
    compare_number(report, "version", "", "version", (double)before->version,
                   (double)now->version);
    compare_routes(report, before, now);
    compare_services(report, before, now);
    compare_tenants(report, before, now);
    compare_number(report, "limits", "", "header bytes",
                   (double)before->max_header_bytes,
                   (double)now->max_header_bytes);
    compare_number(report, "limits", "", "body bytes",
                   (double)before->max_body_bytes,
                   (double)now->max_body_bytes);
    compare_number(report, "limits", "", "header timeout in ms",
                   (double)before->header_timeout_us / 1000,
                   (double)now->header_timeout_us / 1000);
    compare_number(report, "limits", "", "idle timeout in ms",
                   (double)before->idle_timeout_us / 1000,
                   (double)now->idle_timeout_us / 1000);
    if (now->version <= before->version) {
        config_report_find(report, "version", "",
                           "the version is not newer than the one in force",
                           "%llu, in force %llu",
                           (unsigned long long)now->version,
                           (unsigned long long)before->version);
    }
}

void
config_check(config_report_t *report, const char *text, size_t size,
             const char *against, size_t against_size)
{
    document_rows_t *rows = document_rows_new(text, size);
    parse_owner_t owner = {.report = report, .rows = rows};
    document_error_handler_t handler = {
        .on_error = on_row_error,
        .on_default = on_row_error,
        .owner = &owner,
    };
    route_table_t *now = document_parse_routes(text, size, &handler);
    route_table_t *before =
        against != NULL ? document_parse_routes(against, against_size, NULL)
                        : NULL;
    if (now == NULL) {
        report->unreadable = "the configuration is not JSON with a version "
                             "and a list of routes";
    }
    else if (against != NULL && before == NULL) {
        report->unreadable = "the configuration to compare with is not JSON "
                             "with a version and a list of routes";
    }
    else {
        check_routes(report, now);
        check_services(report, now);
        check_tenants(report, now);
    }
    if (report->unreadable == NULL && before != NULL) {
        compare_tables(report, before, now);
    }
    route_table_release(now);
    route_table_release(before);
    document_rows_free(rows);
}

/* Read a file to the end; false: it can't be read or is too long. */
static bool
file_read(const char *path, buffer_t *text)
{
    FILE *file = fopen(path, "rbe");
    size_t got = 1;
    while (file != NULL && got > 0 && buffer_size(text) <= FILE_MAX) {
        uint8_t *bytes = buffer_reserve(text, READ_SIZE);
        got = bytes != NULL ? fread(bytes, 1, READ_SIZE, file) : 0;
        buffer_commit(text, got);
    }
    bool read = file != NULL && ferror(file) == 0 && feof(file) != 0 &&
                buffer_size(text) <= FILE_MAX;
    if (file != NULL) {
        (void)fclose(file);
    }
    return read;
}

config_status_t
config_check_files(const char *path, const char *against, bool as_json)
{
    buffer_t text = {0};
    buffer_t old = {0};
    config_report_t report = {0};
    if (!file_read(path, &text)) {
        report.unreadable = "the file of the configuration can't be read";
    }
    else if (against != NULL && !file_read(against, &old)) {
        report.unreadable = "the file to compare with can't be read";
    }
    else {
        config_check(&report, (const char *)buffer_data(&text),
                     buffer_size(&text),
                     against != NULL ? (const char *)buffer_data(&old) : NULL,
                     buffer_size(&old));
    }
    config_report_write(&report, stdout, as_json);
    config_status_t status = config_report_status(&report);
    config_report_release(&report);
    buffer_release(&text);
    buffer_release(&old);
    return status;
}
