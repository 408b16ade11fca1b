#include "edge/http_client.h"
#include "edge/settings.h"
#include "edge/vmlist.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    URL_SIZE = SETTINGS_URL_SIZE + 16,
    REPLY_MAX_BYTES = 8000000,
    HTTP_OK = 200,
    HTTP_UNAUTHORIZED = 401,
    HTTP_FORBIDDEN = 403
};

static const char fetch_step[] = "VM list get";

typedef struct {
    http_client_t *client;
    char url[URL_SIZE];
    uint32_t timeout_ms;
    vmlist_counters_t *counters;
} vmlist_http_t;

status_t
vmlist_fetch(const vmlist_client_t *vmlist, upstream_info_t **upstreams,
             size_t *count, error_t *err)
{
    *upstreams = NULL;
    *count = 0;
    return vmlist->ops->fetch(vmlist->handle, upstreams, count, err);
}

void
vmlist_release(vmlist_client_t *vmlist)
{
    if (vmlist->ops != NULL) {
        vmlist->ops->release(vmlist->handle);
    }
    *vmlist = (vmlist_client_t){0};
}

static void
call_count(vmlist_counters_t *counters, const http_reply_t *reply, bool failed)
{
    if (counters == NULL) {
        return;
    }
    atomic_fetch_add(&counters->calls, 1);
    atomic_fetch_add(&counters->failed, failed ? 1 : 0);
    atomic_fetch_add(&counters->bytes_out, reply->bytes_out);
    atomic_fetch_add(&counters->bytes_in, reply->bytes_in);
}

static status_t
reply_read(const http_reply_t *reply, const char *peer,
           upstream_info_t **upstreams, size_t *count, error_t *err)
{
    if (reply->code == HTTP_OK) {
        return vmlist_parse(reply->body, reply->body_size, upstreams, count,
                            err);
    }
    bool denied =
        reply->code == HTTP_UNAUTHORIZED || reply->code == HTTP_FORBIDDEN;
    return error_set(err, denied ? STATUS_DENIED : STATUS_UNAVAILABLE,
                     fetch_step, peer, "unexpected HTTP status %ld",
                     reply->code);
}

static status_t
http_fetch(void *handle, upstream_info_t **upstreams, size_t *count,
           error_t *err)
{
    vmlist_http_t *http = handle;
    http_call_t call = {
        .step = fetch_step,
        .peer = http->url,
        .url = http->url,
        .timeout_ms = http->timeout_ms,
        .body_max = REPLY_MAX_BYTES,
    };
    http_reply_t reply;
    status_t status = http_client_get(http->client, &call, &reply, err);
    if (status == STATUS_OK) {
        status = reply_read(&reply, http->url, upstreams, count, err);
    }
    call_count(http->counters, &reply, status != STATUS_OK);
    http_reply_release(&reply);
    return status;
}

static void
http_release(void *handle)
{
    vmlist_http_t *http = handle;
    http_client_free(http->client);
    free(http);
}

static const vmlist_ops_t http_ops = {
    .fetch = http_fetch,
    .release = http_release,
};

status_t
vmlist_http_init(vmlist_client_t *vmlist, const char *url, uint32_t timeout_ms,
                 vmlist_counters_t *counters, error_t *err)
{
    *vmlist = (vmlist_client_t){0};
    vmlist_http_t *http = calloc(1, sizeof(*http));
    http_client_t *client = http_client_new();
    if (http == NULL || client == NULL) {
        free(http);
        http_client_free(client);
        return error_set(err, STATUS_NO_MEMORY, "VM list open", url,
                         "out of memory");
    }
    http->client = client;
    http->timeout_ms = timeout_ms;
    http->counters = counters;
    snprintf(http->url, sizeof(http->url), "%s/v1/vms", url);
    *vmlist = (vmlist_client_t){.ops = &http_ops, .handle = http};
    return STATUS_OK;
}
