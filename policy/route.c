#include "policy/route.h"

#include <stdlib.h>
#include <string.h>

/* The routes of one host, longest prefix first. */
typedef struct {
    uint32_t *routes; /* indices in route_table_t.routes */
    uint32_t count;
} host_routes_t;

enum { HOST_MAX = 256 };

route_table_t *
route_table_new(uint64_t version)
{
    route_table_t *table = calloc(1, sizeof(*table));
    if (table != NULL) {
        table->version = version;
        table->ref_count = 1;
    }
    return table;
}

route_table_t *
route_table_retain(route_table_t *table)
{
    table->ref_count++;
    return table;
}

static void
route_clear(route_t *route)
{
    for (uint32_t i = 0; i < route->target_count; i++) {
        free(route->targets[i].service);
    }
    free(route->targets);
    free(route->name);
    free(route->host);
    free(route->prefix);
}

static void
host_routes_free(void *value)
{
    host_routes_t *host = value;
    free(host->routes);
    free(host);
}

void
route_table_release(route_table_t *table)
{
    if (table == NULL || --table->ref_count > 0) {
        return;
    }
    for (uint32_t i = 0; i < table->route_count; i++) {
        route_clear(&table->routes[i]);
    }
    for (uint32_t i = 0; i < table->service_count; i++) {
        free(table->services[i].name);
    }
    strmap_release(&table->hosts, host_routes_free);
    tenant_table_release(&table->tenants);
    free(table->routes);
    free(table->services);
    free(table);
}

route_t *
route_table_add(route_table_t *table, const char *name, const char *host,
                const char *prefix)
{
    route_t *grown = realloc(table->routes, (table->route_count + 1) *
                                                sizeof(*table->routes));
    if (grown == NULL) {
        return NULL;
    }
    table->routes = grown;
    route_t *route = &grown[table->route_count];
    *route = (route_t){
        .name = strdup(name),
        .host = strdup(host),
        .prefix = strdup(prefix),
    };
    if (route->name == NULL || route->host == NULL || route->prefix == NULL) {
        route_clear(route);
        return NULL;
    }
    for (char *c = route->host; *c != '\0'; c++) {
        if (*c >= 'A' && *c <= 'Z') {
            *c = (char)(*c - 'A' + 'a');
        }
    }
    table->route_count++;
    return route;
}

bool
route_add_target(route_t *route, const char *service, double weight)
{
    route_target_t *grown = realloc(
        route->targets, (route->target_count + 1) * sizeof(*route->targets));
    if (grown == NULL) {
        return false;
    }
    route->targets = grown;
    char *name = strdup(service);
    if (name == NULL) {
        return false;
    }
    grown[route->target_count++] = (route_target_t){
        .service = name,
        .weight = weight,
    };
    return true;
}

void
route_table_drop_last(route_table_t *table)
{
    route_clear(&table->routes[--table->route_count]);
}

route_service_t *
route_table_add_service(route_table_t *table, const char *name)
{
    route_service_t *grown =
        realloc(table->services,
                (table->service_count + 1) * sizeof(*table->services));
    if (grown == NULL) {
        return NULL;
    }
    table->services = grown;
    route_service_t *service = &grown[table->service_count];
    *service = (route_service_t){.name = strdup(name)};
    if (service->name == NULL) {
        return NULL;
    }
    table->service_count++;
    return service;
}

static int
route_compare(const void *left, const void *right)
{
    size_t a = strlen(((const route_t *)left)->prefix);
    size_t b = strlen(((const route_t *)right)->prefix);
    return a < b ? 1 : a > b ? -1 : 0;
}

static host_routes_t *
host_routes_get(route_table_t *table, const char *name)
{
    host_routes_t *host = strmap_find(&table->hosts, name);
    if (host != NULL) {
        return host;
    }
    host = calloc(1, sizeof(*host));
    if (host != NULL && !strmap_add(&table->hosts, name, host)) {
        free(host);
        host = NULL;
    }
    return host;
}

bool
route_table_seal(route_table_t *table)
{
    tenant_table_seal(&table->tenants);
    if (table->route_count > 1) {
        qsort(table->routes, table->route_count, sizeof(*table->routes),
              route_compare);
    }
    for (uint32_t i = 0; i < table->route_count; i++) {
        host_routes_t *host = host_routes_get(table, table->routes[i].host);
        uint32_t *grown =
            host != NULL ? realloc(host->routes,
                                   (host->count + 1) * sizeof(*host->routes))
                         : NULL;
        if (grown == NULL) {
            return false;
        }
        host->routes = grown;
        grown[host->count++] = i;
    }
    return true;
}

/* Write the host of a Host header, in lower case and without its port, to name
   of HOST_MAX bytes; false: empty or too long. */
static bool
host_normalize(char *name, const char *header)
{
    size_t length = strcspn(header, ":");
    if (length == 0 || length >= HOST_MAX) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        char c = header[i];
        name[i] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
    name[length] = '\0';
    return true;
}

const route_t *
route_table_match(const route_table_t *table, const char *host,
                  const char *path)
{
    char name[HOST_MAX];
    if (!host_normalize(name, host)) {
        return NULL;
    }
    const host_routes_t *found = strmap_find(&table->hosts, name);
    for (uint32_t i = 0; found != NULL && i < found->count; i++) {
        const route_t *route = &table->routes[found->routes[i]];
        if (strncmp(path, route->prefix, strlen(route->prefix)) == 0) {
            return route;
        }
    }
    return NULL;
}

const route_service_t *
route_table_service(const route_table_t *table, const char *name)
{
    for (uint32_t i = 0; i < table->service_count; i++) {
        if (strcmp(table->services[i].name, name) == 0) {
            return &table->services[i];
        }
    }
    return NULL;
}
