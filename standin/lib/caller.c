#include "standin/lib/caller.h"

#include "standin/lib/call.h"
#include "standin/lib/directory.h"
#include "standin/lib/service.h"
#include "standin/lib/tally.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_INTERVAL_US INT64_C(200000)  /* of entry and ticket requests */
#define START_TIMEOUT_US INT64_C(20000000) /* to read the first entries */
#define POLL_US INT64_C(50000)             /* limit of a wait for I/O */
#define AUDIT_DELAY_NS 500000000L          /* pause before the audits */

enum {
    DEADLINE_DEFAULT_MS = 500,
    TIMEOUT_MARGIN_MS = 3000, /* from the deadline to the transfer timeout */
    US_PER_MS = 1000,
    URL_MAX = 192,
    RETRY_WAIT_MAX_MS = 2000,
    /* Limit of sends of a query that may have run, and of retries after failed
       connects or ticket requests. */
    TRIES_MAX = 4,
    EXAMPLES_MAX = 3,

    ABORT_DELAY_MAX_US = 8000, /* from the send to closing the connection */
    CONNECTIONS_MAX = 512
};

enum {
    PURPOSE_ARRIVAL = 100,
    PURPOSE_ENTRY,
    PURPOSE_ABORT,
    PURPOSE_ABORT_DELAY
};

typedef struct {
    const caller_options_t *options;
    CURLM *multi;
    struct curl_slist *headers;
    call_t *calls;
    directory_t directory;
    call_t refresh; /* reads the directory and sends the audits */
    int64_t refresh_us;
    unsigned refresh_url;
    tally_t tally;
    json_t *refused_bodies;
    json_t *may_have_run_bodies; /* refused, but may have run before */
    json_t *examples;            /* lists of replies by reason or error */
    uint64_t draws;
    uint64_t sent;
    uint64_t in_progress;
    uint64_t sent_again;
    uint64_t aborted;
    int64_t start_us;
    int64_t next_us; /* open loop: arrival of the next query */
} caller_t;

static double
draw(caller_t *caller, uint64_t purpose)
{
    return mix_draw(caller->options->seed, caller->draws++, purpose);
}

static int64_t
call_deadline_ms(const caller_t *caller, const call_t *call)
{
    int64_t deadline_ms = caller->options->deadline_ms;
    if (deadline_ms <= 0) {
        deadline_ms = call->plan.row->deadline_ms;
    }
    return deadline_ms > 0 ? deadline_ms : DEADLINE_DEFAULT_MS;
}

static void
call_schedule(call_t *call, int64_t due_us)
{
    call->step = CALL_WAIT;
    call->resend_us = due_us;
}

static void
call_send_to(caller_t *caller, call_t *call, const char *path)
{
    char url[URL_MAX];
    call->entry = directory_choose(&caller->directory,
                                   draw(caller, PURPOSE_ENTRY), call->entry);
    (void)snprintf(url, sizeof(url), "%s%s",
                   caller->directory.entries[call->entry].url, path);
    call_transfer(call, caller->multi, url,
                  call_deadline_ms(caller, call) + TIMEOUT_MARGIN_MS);
}

static void
call_send(caller_t *caller, call_t *call, int64_t now_us)
{
    if (call->plan.once && call->plan.by_ticket && call->ticket[0] == '\0') {
        call->step = CALL_TICKET;
        (void)snprintf(call->request, sizeof(call->request), "{}");
        call_send_to(caller, call, "/v1/tickets");
        return;
    }
    call->step = CALL_QUERY;
    call->sends++;
    if (call->poisoned) {
        /* Each send has the same body, so that the tier recognizes it. */
        (void)snprintf(call->body, sizeof(call->body), "poison:%llu:%llu",
                       (unsigned long long)caller->options->seed,
                       (unsigned long long)call->number);
    }
    else if (!call->plan.once) {
        /* Each send has a body of its own, since the upstreams count parts
           that are repeated under the same body. */
        (void)snprintf(call->body, sizeof(call->body), "query:%llu:%llu:%u",
                       (unsigned long long)caller->options->seed,
                       (unsigned long long)call->number,
                       call->poisoned ? 0 : call->sends);
    }
    call_format_query(call, call_deadline_ms(caller, call));
    double abort_draw = draw(caller, PURPOSE_ABORT) * 1000;
    call->abort_us = 0;
    if (call->sends == 1 && abort_draw < caller->options->abort_per_mille) {
        double delay_us =
            draw(caller, PURPOSE_ABORT_DELAY) * ABORT_DELAY_MAX_US;
        call->abort_us = now_us + (int64_t)delay_us;
    }
    call_send_to(caller, call, "/v1/query");
}

static void
call_begin(caller_t *caller, call_t *call, int64_t start_us, int64_t now_us)
{
    const caller_options_t *options = caller->options;
    call->number = caller->sent++;
    call->plan = mix_query(&options->mix, options->seed, call->number);
    call->poisoned =
        options->poison_every > 0 && !call->plan.once &&
        call->number % options->poison_every == options->poison_every - 1;
    call->sends = 0;
    call->refusals = 0;
    call->may_have_run = false;
    call->ticket[0] = '\0';
    call->entry = -1;
    call->start_us = start_us;
    (void)snprintf(call->body, sizeof(call->body), "once:%llu:%llu",
                   (unsigned long long)options->seed,
                   (unsigned long long)call->number);
    caller->in_progress++;
    call_send(caller, call, now_us);
}

/* Keeps a few replies of each error or reason as examples in the result. */
static void
keep_example(caller_t *caller, const call_t *call, const verdict_t *verdict)
{
    const char *key = verdict->wrong ? verdict->error : verdict->reason;
    json_t *list = json_object_get(caller->examples, key);
    if (list == NULL) {
        list = json_array();
        json_object_set_new(caller->examples, key, list);
    }
    if (json_array_size(list) < EXAMPLES_MAX) {
        json_array_append_new(list, json_pack("{s:s, s:s%}", "query",
                                              call->request, "reply",
                                              call->reply, call->reply_size));
    }
}

static void
keep_refused(caller_t *caller, const call_t *call)
{
    json_array_append_new(call->may_have_run ? caller->may_have_run_bodies
                                             : caller->refused_bodies,
                          json_string(call->body));
}

static void
call_end(caller_t *caller, call_t *call, const verdict_t *verdict,
         int64_t now_us)
{
    tally_entry_t entry = {.service = call->plan.row->service,
                           .verdict = *verdict,
                           .asked_keys = key_range_size(call->plan.range),
                           .latency_us = now_us - call->start_us,
                           .offset_us = call->start_us - caller->start_us,
                           .deadline_us =
                               call_deadline_ms(caller, call) * US_PER_MS};
    tally_add(&caller->tally, &entry);
    if (verdict->wrong || verdict->outcome != OUTCOME_WHOLE) {
        keep_example(caller, call, verdict);
    }
    if (verdict->outcome == OUTCOME_NOT_RUN) {
        keep_refused(caller, call);
    }
    call->step = CALL_FREE;
    caller->in_progress--;
}

/*
 * Handles a query that may have run: sends it again to another address if it
 * keeps its identity, and ends it otherwise or after TRIES_MAX sends.
 */
static void
call_resend_or_end(caller_t *caller, call_t *call, const verdict_t *verdict,
                   int64_t now_us)
{
    bool resend =
        (call->plan.once || call->poisoned) && call->sends < TRIES_MAX;
    if (!resend) {
        call_end(caller, call, verdict, now_us);
        return;
    }
    caller->sent_again++;
    call->may_have_run = true;
    call_schedule(call, now_us);
}

static void
on_ticket(caller_t *caller, call_t *call, long status, int64_t now_us)
{
    json_t *json = json_loadb(call->reply, call->reply_size, 0, NULL);
    const char *ticket = json_string_value(json_object_get(json, "ticket"));
    if (status == 200 && ticket != NULL) {
        (void)snprintf(call->ticket, sizeof(call->ticket), "%s", ticket);
        call_send(caller, call, now_us);
    }
    else if (call->refusals < TRIES_MAX) {
        call->refusals++;
        call_schedule(call, now_us + RETRY_INTERVAL_US);
    }
    else {
        verdict_t refused = {.outcome = OUTCOME_NOT_RUN,
                             .reason = "no_ticket"};
        call_end(caller, call, &refused, now_us);
    }
    json_decref(json);
}

static void
on_reply(caller_t *caller, call_t *call, long status, int64_t now_us)
{
    verdict_t verdict =
        verdict_check(status, call->reply, call->reply_size, call->plan.range);
    /* A query whose retry is due much later is given up, as by a real
       caller. */
    bool soon = verdict.retry_after_ms > 0 &&
                verdict.retry_after_ms <= RETRY_WAIT_MAX_MS;
    if (verdict.outcome == OUTCOME_NOT_RUN && soon &&
        call->refusals < caller->options->retries) {
        call->refusals++;
        caller->sent_again++;
        if (!call->plan.once) {
            keep_refused(caller, call);
        }
        /* The query has not run, so it may be sent under a new ticket. */
        call->ticket[0] = '\0';
        call_schedule(call, now_us + verdict.retry_after_ms * 1000);
        return;
    }
    if (verdict.outcome >= OUTCOME_UNKNOWN) {
        call_resend_or_end(caller, call, &verdict, now_us);
        return;
    }
    call_end(caller, call, &verdict, now_us);
}

static void
on_lost(caller_t *caller, call_t *call, CURLcode code, int64_t now_us)
{
    bool unsent = code == CURLE_COULDNT_CONNECT;
    if (unsent || code == CURLE_OPERATION_TIMEDOUT) {
        caller->directory.entries[call->entry].unreachable = true;
    }
    if ((unsent || call->step == CALL_TICKET) && call->refusals < TRIES_MAX) {
        call->refusals++;
        call_schedule(call, now_us);
        return;
    }
    verdict_t lost = {.outcome = OUTCOME_COUNT, .reason = "lost_connection"};
    call_resend_or_end(caller, call, &lost, now_us);
}

static void
on_directory(caller_t *caller, CURLcode code, int64_t now_us)
{
    call_t *refresh = &caller->refresh;
    refresh->step = CALL_FREE;
    if (code == CURLE_OK && directory_parse(&caller->directory, refresh->reply,
                                            refresh->reply_size, now_us)) {
        caller->refresh_us = caller->directory.expires_us;
        return;
    }
    caller->refresh_url++;
    caller->refresh_us = now_us + RETRY_INTERVAL_US;
}

static void
directory_refresh(caller_t *caller, int64_t now_us)
{
    const caller_options_t *options = caller->options;
    if (caller->refresh.step != CALL_FREE || now_us < caller->refresh_us) {
        return;
    }
    char url[URL_MAX];
    const char *base = options->urls[caller->refresh_url % options->url_count];
    (void)snprintf(url, sizeof(url), "%s/v1/entries%s%s", base,
                   options->zone != NULL ? "?zone=" : "",
                   options->zone != NULL ? options->zone : "");
    caller->refresh.step = CALL_QUERY;
    caller->refresh.request[0] = '\0';
    call_transfer(&caller->refresh, caller->multi, url, TIMEOUT_MARGIN_MS);
}

static void
on_transfer_end(caller_t *caller, call_t *call, CURLcode code, int64_t now_us)
{
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(caller->multi, call->easy);
    if (call == &caller->refresh) {
        on_directory(caller, code, now_us);
    }
    else if (code != CURLE_OK) {
        on_lost(caller, call, code, now_us);
    }
    else if (call->step == CALL_TICKET) {
        on_ticket(caller, call, status, now_us);
    }
    else {
        on_reply(caller, call, status, now_us);
    }
}

static void
transfers_handle_done(caller_t *caller)
{
    int left = 0;
    const CURLMsg *message = NULL;
    while ((message = curl_multi_info_read(caller->multi, &left)) != NULL) {
        call_t *call = NULL;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        on_transfer_end(caller, call, code, service_now_us());
    }
}

static void
call_abort(caller_t *caller, call_t *call, int64_t now_us)
{
    curl_multi_remove_handle(caller->multi, call->easy);
    caller->aborted++;
    caller->sent_again++;
    call->may_have_run = call->plan.once;
    call->start_us = now_us;
    call_schedule(call, now_us);
}

static bool
sending_is_over(const caller_t *caller, int64_t now_us)
{
    const caller_options_t *options = caller->options;
    int64_t span_us = (int64_t)(options->seconds * 1e6);
    return (options->count > 0 && caller->sent >= options->count) ||
           (span_us > 0 && now_us >= caller->start_us + span_us);
}

/* Sets the arrival of the next query in an open loop, a Poisson process. */
static void
arrival_schedule_next(caller_t *caller)
{
    double u =
        1 - mix_draw(caller->options->seed, caller->sent, PURPOSE_ARRIVAL);
    caller->next_us += (int64_t)(-log(u) / caller->options->rate * 1e6);
}

/* Begins the next query in a free call, if a query is due. */
static void
call_begin_if_due(caller_t *caller, call_t *call, int64_t now_us)
{
    if (sending_is_over(caller, now_us)) {
        return;
    }
    if (caller->options->rate <= 0) {
        call_begin(caller, call, now_us, now_us);
    }
    else if (caller->next_us <= now_us) {
        int64_t start_us = caller->next_us;
        arrival_schedule_next(caller);
        call_begin(caller, call, start_us, now_us);
    }
}

static int64_t
calls_step(caller_t *caller)
{
    int64_t now_us = service_now_us();
    int64_t next_us = now_us + POLL_US;
    for (unsigned i = 0; i < caller->options->callers; i++) {
        call_t *call = &caller->calls[i];
        if (call->step == CALL_WAIT && call->resend_us <= now_us) {
            call_send(caller, call, now_us);
        }
        if (call->step == CALL_QUERY && call->abort_us > 0 &&
            call->abort_us <= now_us) {
            call_abort(caller, call, now_us);
        }
        if (call->step == CALL_FREE) {
            call_begin_if_due(caller, call, now_us);
        }
        if (call->step == CALL_WAIT && call->resend_us < next_us) {
            next_us = call->resend_us;
        }
        if (call->step == CALL_QUERY && call->abort_us > 0 &&
            call->abort_us < next_us) {
            next_us = call->abort_us;
        }
    }
    if (caller->options->rate > 0 && caller->next_us < next_us) {
        next_us = caller->next_us;
    }
    return next_us;
}

static void
caller_poll(caller_t *caller, int64_t until_us)
{
    int running = 0;
    int64_t left_us = until_us - service_now_us();
    /* Rounded up, since otherwise the last millisecond would be a busy
       wait. */
    int wait_ms = left_us > 0 ? (int)((left_us + 999) / 1000) : 0;
    curl_multi_poll(caller->multi, NULL, 0, wait_ms, NULL);
    curl_multi_perform(caller->multi, &running);
    transfers_handle_done(caller);
}

static bool
directory_wait(caller_t *caller)
{
    int64_t until_us = service_now_us() + START_TIMEOUT_US;
    while (caller->directory.count == 0) {
        int64_t now_us = service_now_us();
        if (now_us > until_us) {
            return false;
        }
        directory_refresh(caller, now_us);
        caller_poll(caller, now_us + POLL_US);
    }
    return true;
}

static void
caller_loop(caller_t *caller)
{
    caller->start_us = service_now_us();
    caller->next_us = caller->start_us;
    while (caller->in_progress > 0 ||
           !sending_is_over(caller, service_now_us())) {
        directory_refresh(caller, service_now_us());
        caller_poll(caller, calls_step(caller));
    }
}

/*
 * Returns the number of these bodies of which the upstreams started a part, -1
 * if the request failed, or 0 without an audit URL.
 */
static json_int_t
audit_bodies(caller_t *caller, json_t *bodies)
{
    const char *base = caller->options->audit_url;
    if (base == NULL) {
        return 0;
    }
    json_t *body = json_pack("{s:O}", "bodies", bodies);
    char *text = json_dumps(body, JSON_COMPACT);
    char url[URL_MAX];
    (void)snprintf(url, sizeof(url), "%s/ran", base);
    call_t *call = &caller->refresh;
    json_int_t ran = -1;
    if (call_post(call, url, text)) {
        json_t *reply = json_loadb(call->reply, call->reply_size, 0, NULL);
        const json_t *list = json_object_get(reply, "ran");
        ran = list != NULL ? 0 : -1;
        for (size_t i = 0; i < json_array_size(list); i++) {
            ran += json_is_true(json_array_get(list, i));
        }
        json_decref(reply);
    }
    free(text);
    json_decref(body);
    return ran;
}

static json_t *
caller_result(caller_t *caller)
{
    int64_t took_us = service_now_us() - caller->start_us;
    struct timespec pause = {.tv_nsec = AUDIT_DELAY_NS};
    (void)nanosleep(&pause, NULL);
    json_t *json = tally_json(&caller->tally);
    json_t *more = json_pack(
        "{s:I, s:I, s:I, s:I, s:f, s:O}", "sent_again",
        (json_int_t)caller->sent_again, "aborted", (json_int_t)caller->aborted,
        "false_not_run", audit_bodies(caller, caller->refused_bodies),
        "not_run_after_doubt",
        audit_bodies(caller, caller->may_have_run_bodies), "seconds",
        (double)took_us / 1e6, "examples", caller->examples);
    json_object_update_new(json, more);
    return json;
}

static bool
caller_init(caller_t *caller, const caller_options_t *options)
{
    *caller = (caller_t){.options = options,
                         .refused_bodies = json_array(),
                         .may_have_run_bodies = json_array(),
                         .examples = json_object(),
                         .multi = curl_multi_init(),
                         .calls = calloc(options->callers, sizeof(call_t))};
    tally_init(&caller->tally);
    caller->headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    caller->headers = curl_slist_append(caller->headers, "Expect:");
    if (caller->multi == NULL || caller->calls == NULL ||
        !call_init(&caller->refresh, caller->headers)) {
        return false;
    }
    curl_multi_setopt(caller->multi, CURLMOPT_MAXCONNECTS,
                      (long)CONNECTIONS_MAX);
    for (unsigned i = 0; i < options->callers; i++) {
        if (!call_init(&caller->calls[i], caller->headers)) {
            return false;
        }
    }
    return true;
}

static void
caller_release(caller_t *caller)
{
    for (unsigned i = 0; caller->calls != NULL && i < caller->options->callers;
         i++) {
        call_release(&caller->calls[i]);
    }
    if (caller->refresh.step != CALL_FREE) {
        curl_multi_remove_handle(caller->multi, caller->refresh.easy);
    }
    call_release(&caller->refresh);
    curl_multi_cleanup(caller->multi);
    curl_slist_free_all(caller->headers);
    tally_release(&caller->tally);
    json_decref(caller->refused_bodies);
    json_decref(caller->may_have_run_bodies);
    json_decref(caller->examples);
    free(caller->calls);
}

json_t *
caller_run(const caller_options_t *options)
{
    caller_t caller;
    json_t *json = NULL;
    if (caller_init(&caller, options) && directory_wait(&caller)) {
        caller_loop(&caller);
        json = caller_result(&caller);
    }
    caller_release(&caller);
    return json;
}
