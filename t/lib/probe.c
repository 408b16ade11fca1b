#include "t/lib/probe.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_MS 60000L

static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    probe_t *probe = user;
    size_t room = sizeof(probe->text) - 1 - probe->size;
    size_t taken = size * count < room ? size * count : room;
    memcpy(probe->text + probe->size, data, taken);
    probe->size += taken;
    probe->text[probe->size] = '\0';
    return size * count;
}

void
probe_send(probe_t *probe)
{
    char url[512];
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", probe->port,
                   probe->path);
    probe->status = 0;
    probe->size = 0;
    probe->text[0] = '\0';
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, probe->method);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, probe);
    if (probe->body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, probe->body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &probe->status);
    }
    curl_easy_cleanup(curl);
}
