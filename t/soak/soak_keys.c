/* Keys of callers: one is taken away during the faults, some are unknown, and
   some callers send the header of another tenant. */
#include "platform/names.h"
#include "t/soak/soak_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
    ROUND = 16,                /* requests until the kinds of keys repeat */
    KEY_CONVERGE_US = 5000000, /* from a removed key to its last request */
    KEY_RESTORED_US = 1000000  /* until the operator has written again */
};

/* What a request sends; the number of the request decides. */
typedef struct {
    const char *key;
    const char *tenant; /* that holds the key; NULL: none does */
    const char *forged; /* tenant header that the caller adds; NULL: none */
    bool is_removed;    /* during the run */
} key_choice_t;

static const key_choice_t choices[] = {
    {"key-t0", "t0", NULL, false},      {"key-t1", "t1", NULL, false},
    {"key-t1-more", "t1", NULL, false}, {"key-t2", "t2", NULL, false},
    {"key-t0", "t0", "t1", false},      {"key-none", NULL, NULL, false},
    {"key-none", NULL, "t2", false},    {"key-t2-old", "t2", NULL, true},
};

static const key_choice_t *
choice_of(uint32_t request)
{
    static const uint8_t round[ROUND] = {0, 1, 2, 3, 0, 7, 4, 1,
                                         5, 2, 3, 0, 1, 2, 3, 6};
    return &choices[round[request % ROUND]];
}

void
keys_format_tenants(const soak_t *soak, char *text, size_t size)
{
    snprintf(text, size,
             ",\"tenants\":[{\"name\":\"t0\",\"api_keys\":[\"key-t0\"]},"
             "{\"name\":\"t1\",\"api_keys\":[\"key-t1\",\"key-t1-more\"]},"
             "{\"name\":\"t2\",\"api_keys\":[\"key-t2\"%s]}]",
             soak->key_removed_us == 0 ? ",\"key-t2-old\"" : "");
}

void
keys_format_headers(uint32_t request, char *text, size_t size)
{
    const key_choice_t *choice = choice_of(request);
    snprintf(text, size, HEADER_CREDENTIAL ": %s\r\n%s%s%s", choice->key,
             choice->forged != NULL ? HEADER_TENANT ": " : "",
             choice->forged != NULL ? choice->forged : "",
             choice->forged != NULL ? "\r\n" : "");
}

bool
keys_may_refuse(uint32_t request)
{
    const key_choice_t *choice = choice_of(request);
    return choice->tenant == NULL || choice->is_removed;
}

void
keys_tick(soak_t *soak, int64_t now_us)
{
    if (soak->key_removed_us == 0 && now_us >= soak->remove_key_at_us) {
        soak->key_removed_us = now_us;
        /* The route stays: its bound counts from its own change. */
        soak->version++;
        soak_rewrite_config(soak);
    }
}

void
keys_check_arrival(soak_t *soak, const char *id, const http_message_t *message,
                   bool undisturbed)
{
    uint32_t request = (uint32_t)strtoul(id + 2, NULL, 10); /* r-NUMBER */
    const key_choice_t *choice = choice_of(request);
    const request_log_entry_t *entry =
        request_log_entry(soak->request_log, request);
    uint32_t names = 0;
    const char *tenant = http_header_find(message, HEADER_TENANT);
    for (uint32_t i = 0; i < message->header_count; i++) {
        names += strcasecmp(http_header_name(message, i), HEADER_TENANT) == 0;
    }
    if (choice->tenant == NULL) {
        request_log_add_violation(soak->request_log, "ROUTE",
                                  "r-%u has an unknown key", request);
    }
    else if (names != 1 || strcmp(tenant, choice->tenant) != 0) {
        request_log_add_violation(
            soak->request_log, "UNASKED", "r-%u of %s arrived as %s", request,
            choice->tenant, tenant != NULL ? tenant : "-");
    }
    if (http_header_find(message, HEADER_CREDENTIAL) != NULL) {
        request_log_add_violation(soak->request_log, "UNASKED",
                                  "r-%u arrived with its key", request);
    }
    int64_t removed_us = soak->key_removed_us;
    if (soak->restored_us + KEY_RESTORED_US > removed_us) {
        removed_us = soak->restored_us + KEY_RESTORED_US;
    }
    if (choice->is_removed && soak->key_removed_us != 0 && undisturbed &&
        entry->sent_us - removed_us > KEY_CONVERGE_US) {
        request_log_add_violation(
            soak->request_log, "CONFIG",
            "r-%u, %lld ms after its key was taken away", request,
            (long long)(entry->sent_us - soak->key_removed_us) / 1000);
    }
}

void
keys_check_result(soak_t *soak, uint32_t request, uint32_t status)
{
    const request_log_entry_t *entry =
        request_log_entry(soak->request_log, request);
    if (status != 401) {
        return;
    }
    if (!keys_may_refuse(request) ||
        (choice_of(request)->is_removed && soak->key_removed_us == 0)) {
        request_log_add_violation(soak->request_log, "DENIED",
                                  "r-%u was refused with a valid key",
                                  request);
    }
    for (uint32_t i = 0; i < entry->arrival_count; i++) {
        if (!entry->arrivals[i].rejected) {
            request_log_add_violation(soak->request_log, "REFUSED",
                                      "r-%u got 401 and ran", request);
        }
    }
}
