#include "standin/lib/publish.h"

#include "standin/lib/wire.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { URL_MAX = 256, TIMEOUT_MS = 5000 };

static size_t
discard(char *data, size_t size, size_t count, void *user)
{
    (void)data;
    (void)user;
    return size * count;
}

static bool
send_json(const char *method, const char *url, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    CURL *curl = curl_easy_init();
    long status = 0;
    if (curl != NULL && text != NULL) {
        curl_easy_setopt(curl, CURLOPT_URL, url);
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
        curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
        curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(curl, CURLOPT_PROXY, "");
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
        if (curl_easy_perform(curl) == CURLE_OK) {
            curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        }
    }
    curl_easy_cleanup(curl);
    free(text);
    return status >= 200 && status < 300;
}

bool
entry_vm_parse(const char *text, entry_vm_t *entry)
{
    char copy[URL_MAX];
    if (strlen(text) >= sizeof(copy)) {
        return false;
    }
    (void)snprintf(copy, sizeof(copy), "%s", text);
    char *rest = copy;
    const char *name = strsep(&rest, ",");
    const char *zone = strsep(&rest, ",");
    const char *address = strsep(&rest, ",");
    if (rest == NULL || strlen(name) >= NAME_SIZE ||
        strlen(zone) >= NAME_SIZE || strlen(address) >= ADDRESS_SIZE) {
        return false;
    }
    *entry = (entry_vm_t){.port = (uint16_t)strtoul(rest, NULL, 10)};
    memcpy(entry->name, name, strlen(name) + 1);
    memcpy(entry->zone, zone, strlen(zone) + 1);
    memcpy(entry->address, address, strlen(address) + 1);
    return entry->port != 0;
}

bool
publish_partition(const publisher_t *publisher, const service_plan_t *service,
                  uint64_t generation)
{
    if (publisher->store_url == NULL) {
        return true;
    }
    char url[URL_MAX];
    (void)snprintf(url, sizeof(url), "%s/v1/kv/yuccarun/shards/%s",
                   publisher->store_url, service->name);
    return send_json("PUT", url, wire_format_partition(service, generation));
}

bool
publish_vms(const publisher_t *publisher, host_t *host)
{
    if (publisher->vmlist_url == NULL) {
        return true;
    }
    json_t *list = host_vms(host);
    for (size_t i = 0; i < publisher->entry_count; i++) {
        const entry_vm_t *entry = &publisher->entries[i];
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:i, s:s}", "name",
                            entry->name, "role", "entry", "zone", entry->zone,
                            "address", entry->address, "port",
                            (int)entry->port, "state", "live"));
    }
    char url[URL_MAX];
    (void)snprintf(url, sizeof(url), "%s/vms", publisher->vmlist_url);
    return send_json("POST", url, json_pack("{s:o}", "vms", list));
}
