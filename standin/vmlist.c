/*
 * standin-vmlist: stands in for the platform's list of live and leaving VMs,
 * which shows changes late.
 *
 *     standin-vmlist PORT [LAG_MS]
 *
 * POST /vms sets the list, in the form in which GET /v1/vms returns it. GET
 * returns the new list LAG_MS later. POST /fault {"lag_ms":N} sets the lag of
 * lists that are set afterwards.
 */
#include "standin/lib/service.h"

#include <stdio.h>
#include <stdlib.h>

enum { LISTS_MAX = 64 };

typedef struct {
    int64_t shown_from_us;
    json_t *list;
} pending_t;

static struct {
    pthread_mutex_t lock;
    int64_t lag_us;
    json_t *shown;
    pending_t pending[LISTS_MAX];
    size_t pending_count;
} vmlist = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Makes the oldest pending list the one that is shown. */
static void
pending_shift(void)
{
    json_decref(vmlist.shown);
    vmlist.shown = vmlist.pending[0].list;
    vmlist.pending_count--;
    for (size_t i = 0; i < vmlist.pending_count; i++) {
        vmlist.pending[i] = vmlist.pending[i + 1];
    }
}

static int
on_get(const struct _u_request *request, struct _u_response *response,
       void *user)
{
    (void)request;
    (void)user;
    int64_t now_us = service_now_us();
    pthread_mutex_lock(&vmlist.lock);
    while (vmlist.pending_count > 0 &&
           vmlist.pending[0].shown_from_us <= now_us) {
        pending_shift();
    }
    ulfius_set_json_body_response(response, 200, vmlist.shown);
    pthread_mutex_unlock(&vmlist.lock);
    return U_CALLBACK_CONTINUE;
}

static int
on_set(const struct _u_request *request, struct _u_response *response,
       void *user)
{
    (void)user;
    json_t *list = service_request_json(request);
    if (!json_is_array(json_object_get(list, "vms"))) {
        json_decref(list);
        ulfius_set_empty_body_response(response, 400);
        return U_CALLBACK_CONTINUE;
    }
    pthread_mutex_lock(&vmlist.lock);
    if (vmlist.pending_count == LISTS_MAX) {
        pending_shift();
    }
    vmlist.pending[vmlist.pending_count++] = (pending_t){
        .shown_from_us = service_now_us() + vmlist.lag_us, .list = list};
    pthread_mutex_unlock(&vmlist.lock);
    ulfius_set_empty_body_response(response, 204);
    return U_CALLBACK_CONTINUE;
}

static int
on_fault(const struct _u_request *request, struct _u_response *response,
         void *user)
{
    (void)user;
    json_t *body = service_request_json(request);
    json_t *lag = json_object_get(body, "lag_ms");
    pthread_mutex_lock(&vmlist.lock);
    vmlist.lag_us = json_integer_value(lag) * 1000;
    pthread_mutex_unlock(&vmlist.lock);
    ulfius_set_empty_body_response(response, json_is_integer(lag) ? 204 : 400);
    json_decref(body);
    return U_CALLBACK_CONTINUE;
}

int
main(int argc, char **argv)
{
    if (argc < 2 || argc > 3) {
        (void)fprintf(stderr, "usage: standin-vmlist PORT [LAG_MS]\n");
        return 2;
    }
    service_block_signals();
    if (argc == 3) {
        vmlist.lag_us = strtoll(argv[2], NULL, 10) * 1000;
    }
    vmlist.shown = json_pack("{s:[]}", "vms");
    struct _u_instance http;
    struct sockaddr_in address;
    if (!service_init(&http, &address, (uint16_t)strtoul(argv[1], NULL, 10))) {
        return 1;
    }
    ulfius_add_endpoint_by_val(&http, "GET", "/v1/vms", NULL, 0, on_get, NULL);
    ulfius_add_endpoint_by_val(&http, "POST", "/vms", NULL, 0, on_set, NULL);
    ulfius_add_endpoint_by_val(&http, "POST", "/fault", NULL, 0, on_fault,
                               NULL);
    int status = service_run(&http);
    while (vmlist.pending_count > 0) {
        pending_shift();
    }
    json_decref(vmlist.shown);
    return status;
}
