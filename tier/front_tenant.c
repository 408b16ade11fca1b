/* Who sent a request, and what of its head is forwarded. */
#include "edge/event.h"
#include "platform/names.h"
#include "tier/front_state.h"

#include <string.h>
#include <strings.h>

/* The credential in a message; see credential_t. */
static credential_t
credential_read(const front_t *front, const http_message_t *message)
{
    credential_t credential = {0};
    uint32_t headers = 0;
    for (uint32_t i = 0; i < message->header_count; i++) {
        if (strcasecmp(http_header_name(message, i), HEADER_CREDENTIAL) == 0) {
            credential.key = http_header_value(message, i);
            headers++;
        }
    }
    credential.several_keys = headers > 1;
    if (headers > 1 || (headers == 1 && credential.key[0] == '\0')) {
        credential.key = NULL;
    }
    if (front->takes_relayed) {
        const char *relay = http_header_find(message, HEADER_RELAY_VERSION);
        const char *tenant =
            relay != NULL ? strstr(relay, RELAY_TENANT) : NULL;
        credential.peer_tenant =
            tenant != NULL ? tenant + strlen(RELAY_TENANT) : NULL;
    }
    return credential;
}

/* Answer 401; reason: the code for the log, never a key. */
static void
tenant_refuse(exchange_t *exchange, pending_t *pending, const char *reason,
              uint64_t version)
{
    answer_t answer = {
        .kind = ANSWER_LOCAL,
        .status = 401,
        .reason = reason,
    };
    event_log(EVENT_REQUEST_REFUSED,
              "id=%s host=%.64s target=%.48s status=401 reason=%s v=%llu",
              pending->id, pending->call.host, pending->call.target, reason,
              (unsigned long long)version);
    front_answer_error(exchange, &answer);
}

/* Write the head to forward; false: out of memory. */
static bool
head_write(pending_t *pending, const http_message_t *message, bool needs_keys)
{
    /* The last two are the platform's only where keys are needed. */
    static const char *const headers[] = {
        HEADER_DEADLINE_MS,
        HEADER_EXPECT_INSTANCE,
        HEADER_RELAY_VERSION,
        NULL,
    };
    static const char *const tenant_headers[] = {
        HEADER_DEADLINE_MS, HEADER_EXPECT_INSTANCE, HEADER_RELAY_VERSION,
        HEADER_CREDENTIAL,  HEADER_TENANT,          NULL,
    };
    call_t *call = &pending->call;
    buffer_release(&pending->head);
    if (!front_head_copy(&pending->head, message,
                         needs_keys ? tenant_headers : headers) ||
        (call->tenant != NULL &&
         !front_head_add(&pending->head, HEADER_TENANT, call->tenant))) {
        return false;
    }
    call->head = (const char *)buffer_data(&pending->head);
    call->head_size = buffer_size(&pending->head);
    return true;
}

bool
front_identify(exchange_t *exchange, pending_t *pending)
{
    front_t *front = pending->front;
    call_t *call = &pending->call;
    const route_table_t *table = engine_table(front->engine);
    const http_message_t *message = exchange_request(exchange);
    uint64_t version = table != NULL ? table->version : UINT64_MAX;
    if (pending->may_have_run ||
        (pending->is_identified && pending->identified_version == version)) {
        return true;
    }
    uint32_t tenant = TENANT_NONE;
    call->credential = credential_read(front, message);
    if (table != NULL) {
        const char *reason = tenant_check(
            table, route_table_match(table, call->host, call->target),
            &call->credential, &tenant);
        if (reason != NULL) {
            tenant_refuse(exchange, pending,
                          call->tenant != NULL ? "key_removed" : reason,
                          version);
            return false;
        }
    }
    call->tenant = NULL;
    call->tenant_id = TENANT_NONE;
    if (tenant != TENANT_NONE) {
        tenant_names_t *names = engine_tenant_names(front->engine);
        call->tenant_id =
            tenant_names_intern(names, table->tenants.tenants[tenant]->name);
        call->tenant = tenant_names_text(names, call->tenant_id);
    }
    if ((tenant != TENANT_NONE && call->tenant == NULL) ||
        !head_write(pending, message, table != NULL && table->needs_keys)) {
        front_refuse(front, exchange, 503, "no_memory", 0);
        return false;
    }
    pending->is_identified = true;
    pending->identified_version = version;
    return true;
}
