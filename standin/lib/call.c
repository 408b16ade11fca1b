#include "standin/lib/call.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 500L

static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    call_t *call = user;
    size_t added = size * count;
    if (call->reply_size + added > call->reply_capacity) {
        size_t capacity = (call->reply_size + added) * 2;
        char *grown = realloc(call->reply, capacity);
        if (grown == NULL) {
            return 0;
        }
        call->reply = grown;
        call->reply_capacity = capacity;
    }
    memcpy(call->reply + call->reply_size, data, added);
    call->reply_size += added;
    return added;
}

bool
call_init(call_t *call, struct curl_slist *headers)
{
    call->easy = curl_easy_init();
    if (call->easy == NULL) {
        return false;
    }
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     CONNECT_TIMEOUT_MS);
    return true;
}

void
call_release(call_t *call)
{
    curl_easy_cleanup(call->easy);
    free(call->reply);
}

void
call_transfer(call_t *call, CURLM *multi, const char *url, int64_t timeout_ms)
{
    call->reply_size = 0;
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    if (call->request[0] != '\0') {
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->request);
    }
    else {
        curl_easy_setopt(call->easy, CURLOPT_HTTPGET, 1L);
    }
    curl_multi_add_handle(multi, call->easy);
}

bool
call_post(call_t *call, const char *url, const char *text)
{
    call->reply_size = 0;
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, text);
    return curl_easy_perform(call->easy) == CURLE_OK;
}

void
call_format_query(call_t *call, int64_t deadline_ms)
{
    const query_plan_t *plan = &call->plan;
    json_t *query = json_pack(
        "{s:s, s:I, s:I, s:s, s:b}", "service", plan->row->service, "lo",
        (json_int_t)plan->range.lo, "hi", (json_int_t)plan->range.hi, "body",
        call->body, "once", (int)plan->once);
    char tenant[NAME_SIZE];
    (void)snprintf(tenant, sizeof(tenant), "tenant-%u", plan->tenant);
    json_object_set_new(query, "tenant", json_string(tenant));
    if (deadline_ms > 0) {
        json_object_set_new(query, "deadline_ms", json_integer(deadline_ms));
    }
    if (plan->once) {
        json_object_set_new(
            query, plan->by_ticket ? "ticket" : "id",
            json_string(plan->by_ticket ? call->ticket : call->body));
    }
    size_t size =
        json_dumpb(query, call->request, CALL_TEXT_SIZE - 1, JSON_COMPACT);
    call->request[size < CALL_TEXT_SIZE ? size : 0] = '\0';
    json_decref(query);
}
