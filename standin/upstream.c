/*
 * standin-upstream: stands in for every upstream of one or both deployments,
 * each on a loopback port of its own, in one process.
 *
 * Requests to the control port:
 *   POST /fault {"upstream"|"service"|"group"|"zone":..., "set":{...}} changes
 *     the selected upstreams. The fields of "set" are those of replica_state_t
 *     and "crash". Unless "publish" is false, a generation that is set for a
 *     whole service or all of them is published, and so is the VM list when
 *     "drain" or "gone" is set.
 *   GET /count returns the counts of the ledger.
 *   POST /ran {"bodies":[...]} returns {"ran":[...]}, which tells for each
 *     body whether any part with it has started.
 */
#include "standin/lib/publish.h"
#include "standin/lib/service.h"
#include "standin/lib/wire.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    BASE_PORT = 20000,
    CONTROL_PORT = 19999,
    FIRST_VERSION = 17,
    FIRST_GENERATION = 1,
    THREADS = 3,
    DEPLOYMENTS_MAX = 2
};

static struct {
    const deployment_t *deployments[DEPLOYMENTS_MAX];
    size_t deployment_count;
    upstream_plan_t *plans;
    ledger_t *ledger;
    host_t *host;
    publisher_t publisher;
} site;

static bool
publish_service(const char *name, uint64_t generation)
{
    bool published = true;
    for (size_t i = 0; i < site.deployment_count; i++) {
        const deployment_t *deployment = site.deployments[i];
        for (size_t j = 0; j < PLAN_SERVICES; j++) {
            const service_plan_t *service = &deployment->services[j];
            if (name == NULL || strcmp(name, service->name) == 0) {
                published =
                    publish_partition(&site.publisher, service, generation) &&
                    published;
            }
        }
    }
    return published;
}

static bool
publish_change(const host_select_t *selector, const json_t *set)
{
    bool published = true;
    const json_t *generation = json_object_get(set, "generation");
    if (generation != NULL && selector->upstream == NULL &&
        selector->zone == NULL && selector->group < 0) {
        published = publish_service(selector->service,
                                    (uint64_t)json_integer_value(generation));
    }
    if (json_object_get(set, "drain") != NULL ||
        json_object_get(set, "gone") != NULL) {
        published = publish_vms(&site.publisher, site.host) && published;
    }
    return published;
}

static int
on_fault(const struct _u_request *request, struct _u_response *response,
         void *user)
{
    (void)user;
    json_t *body = service_request_json(request);
    json_t *set = NULL;
    host_select_t selector = {.group = -1};
    int publish = 1;
    if (json_unpack(body, "{s?s, s?s, s?s, s?i, s?b, s:o}", "upstream",
                    &selector.upstream, "service", &selector.service, "zone",
                    &selector.zone, "group", &selector.group, "publish",
                    &publish, "set", &set) != 0) {
        ulfius_set_empty_body_response(response, 400);
        json_decref(body);
        return U_CALLBACK_CONTINUE;
    }
    size_t selected = host_set(site.host, &selector, set);
    bool published = publish == 0 || publish_change(&selector, set);
    service_reply(response, published ? 200 : 502,
                  json_pack("{s:I}", "selected", (json_int_t)selected));
    json_decref(body);
    return U_CALLBACK_CONTINUE;
}

static int
on_count(const struct _u_request *request, struct _u_response *response,
         void *user)
{
    (void)request;
    (void)user;
    service_reply(response, 200, ledger_json(site.ledger, service_now_us()));
    return U_CALLBACK_CONTINUE;
}

static int
on_ran(const struct _u_request *request, struct _u_response *response,
       void *user)
{
    (void)user;
    json_t *body = service_request_json(request);
    const json_t *bodies = json_object_get(body, "bodies");
    json_t *ran = json_array();
    for (size_t i = 0; i < json_array_size(bodies); i++) {
        const char *text = json_string_value(json_array_get(bodies, i));
        json_array_append_new(
            ran, json_boolean(text != NULL &&
                              ledger_body_started(site.ledger, text)));
    }
    service_reply(response, 200, json_pack("{s:o}", "ran", ran));
    json_decref(body);
    return U_CALLBACK_CONTINUE;
}

static size_t
site_plan(uint16_t base_port)
{
    size_t count = 0;
    for (size_t i = 0; i < site.deployment_count; i++) {
        count += plan_upstream_count(site.deployments[i]);
    }
    if (count == 0) {
        return 0;
    }
    site.plans = calloc(count, sizeof(*site.plans));
    if (site.plans == NULL) {
        return 0;
    }
    size_t filled = 0;
    for (size_t i = 0; i < site.deployment_count; i++) {
        plan_upstreams(site.deployments[i], base_port, site.plans + filled);
        filled += plan_upstream_count(site.deployments[i]);
    }
    return count;
}

static int
site_serve(uint16_t port)
{
    struct _u_instance http;
    struct sockaddr_in address;
    if (!service_init(&http, &address, port)) {
        return 1;
    }
    ulfius_add_endpoint_by_val(&http, "POST", "/fault", NULL, 0, on_fault,
                               NULL);
    ulfius_add_endpoint_by_val(&http, "GET", "/count", NULL, 0, on_count,
                               NULL);
    ulfius_add_endpoint_by_val(&http, "POST", "/ran", NULL, 0, on_ran, NULL);
    return service_run(&http);
}

static int
site_run(host_options_t *options, uint16_t base_port, uint16_t control_port)
{
    int status = 1;
    options->plan_count = site_plan(base_port);
    options->plans = site.plans;
    options->ledger = site.ledger = ledger_new();
    if (options->plan_count > 0 && options->ledger != NULL) {
        site.host = host_new(options);
    }
    if (site.host == NULL) {
        (void)fprintf(stderr,
                      "standin-upstream: cannot start the upstreams\n");
    }
    else if (!publish_service(NULL, options->generation) ||
             !publish_vms(&site.publisher, site.host)) {
        (void)fprintf(stderr, "standin-upstream: cannot publish the "
                              "partitions or the VM list\n");
    }
    else {
        status = site_serve(control_port);
    }
    host_free(site.host);
    ledger_free(site.ledger);
    free(site.plans);
    return status;
}

static bool
site_add_deployment(const char *name)
{
    const deployment_t *deployment = plan_deployment(name);
    if (deployment == NULL) {
        (void)fprintf(stderr, "standin-upstream: unknown deployment \"%s\"\n",
                      name);
        return false;
    }
    site.deployments[site.deployment_count++] = deployment;
    return true;
}

static bool
site_configure(const struct arg_str *deployments,
               const struct arg_str *entries)
{
    for (int i = 0; i < deployments->count; i++) {
        if (!site_add_deployment(deployments->sval[i])) {
            return false;
        }
    }
    if (deployments->count == 0 &&
        (!site_add_deployment("sonar") || !site_add_deployment("mizukumi"))) {
        return false;
    }
    for (int i = 0; i < entries->count; i++) {
        entry_vm_t *entry = &site.publisher.entries[i];
        if (!entry_vm_parse(entries->sval[i], entry)) {
            (void)fprintf(stderr,
                          "standin-upstream: entry \"%s\" must be "
                          "NAME,ZONE,ADDRESS,PORT\n",
                          entries->sval[i]);
            return false;
        }
        site.publisher.entry_count++;
    }
    return true;
}

static int
int_flag(const struct arg_int *option, int fallback)
{
    return option->count > 0 ? option->ival[0] : fallback;
}

int
main(int argc, char **argv)
{
    struct arg_str *deployments =
        arg_strn(NULL, "deployment", "NAME", 0, DEPLOYMENTS_MAX,
                 "sonar or mizukumi; default: both");
    struct arg_int *base_port =
        arg_int0(NULL, "base-port", "PORT", "port of the first upstream");
    struct arg_int *control =
        arg_int0(NULL, "control", "PORT", "control port");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "seed of the service times");
    struct arg_int *version =
        arg_int0(NULL, "version", "N", "initial index version");
    struct arg_int *generation =
        arg_int0(NULL, "generation", "N", "initial partition generation");
    struct arg_lit *cold = arg_lit0(NULL, "cold", "start cold");
    struct arg_str *store =
        arg_str0(NULL, "store", "URL", "store to publish partitions to");
    struct arg_str *vmlist =
        arg_str0(NULL, "vmlist", "URL", "service to publish the VM list to");
    struct arg_str *entries =
        arg_strn(NULL, "entry", "NAME,ZONE,ADDRESS,PORT", 0, ENTRIES_MAX,
                 "entry VM to put on the VM list");
    struct arg_end *end = arg_end(4);
    void *table[] = {deployments, base_port,  control, seed,
                     version,     generation, cold,    store,
                     vmlist,      entries,    end};
    if (arg_parse(argc, argv, table) > 0 ||
        !site_configure(deployments, entries)) {
        arg_print_errors(stderr, end, "standin-upstream");
        arg_print_syntax(stderr, table, "\n");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return 2;
    }
    service_block_signals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    site.publisher.store_url = store->count > 0 ? store->sval[0] : NULL;
    site.publisher.vmlist_url = vmlist->count > 0 ? vmlist->sval[0] : NULL;
    host_options_t options = {
        .seed = (uint64_t)int_flag(seed, 1),
        .version = (uint64_t)int_flag(version, FIRST_VERSION),
        .generation = (uint64_t)int_flag(generation, FIRST_GENERATION),
        .cold = cold->count > 0,
        .threads = THREADS,
    };
    int status = site_run(&options, (uint16_t)int_flag(base_port, BASE_PORT),
                          (uint16_t)int_flag(control, CONTROL_PORT));
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    curl_global_cleanup();
    return status;
}
