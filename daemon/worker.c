#include "daemon/worker.h"
#include "daemon/clock.h"
#include "edge/event.h"

#include <inttypes.h>
#include <stdlib.h>

enum {
    WAIT_MAX_MS = 100,
    US_PER_MS = 1000,
    QUARANTINE_REPORT_MAX = 16 /* fingerprints reported per step */
};

struct worker {
    worker_settings_t settings;
    worker_queue_t queue;
    pthread_mutex_t lock;
    pthread_t thread;
    bool started;
    atomic_bool stopping;
    coordinator_t *coordinator;
    admission_t *admission;
    stats_t *stats;
};

static void
handle_parts(worker_t *worker, const worker_message_t *message, int64_t now_us)
{
    admission_submit(worker->admission, message->incarnation,
                     message->requests, message->count, now_us);
}

static void
handle_replies(worker_t *worker, const worker_message_t *message,
               int64_t now_us)
{
    coordinator_owner_replied(worker->coordinator, message->incarnation);
    for (size_t i = 0; i < message->count; i++) {
        coordinator_handle_reply(worker->coordinator, &message->replies[i],
                                 now_us);
    }
}

static void
start_query(worker_t *worker, worker_message_t *message, int64_t now_us)
{
    coordinator_submit(worker->coordinator, &message->query, &message->waiter,
                       now_us);
    message->query.body = NULL;
}

static void
handle_quarantine(worker_t *worker, const worker_message_t *message,
                  int64_t now_us)
{
    for (size_t i = 0; i < message->count; i++) {
        admission_add_quarantine(worker->admission, message->fingerprints[i],
                                 now_us);
    }
}

static void
handle_message(worker_t *worker, worker_message_t *message, int64_t now_us)
{
    switch (message->type) {
    case WORKER_MESSAGE_QUERY:
        start_query(worker, message, now_us);
        break;
    case WORKER_MESSAGE_CANCEL_QUERY:
        coordinator_cancel(worker->coordinator, message->sequence,
                           REASON_CANCELLED);
        break;
    case WORKER_MESSAGE_CANCEL_ALL:
        coordinator_cancel_all(worker->coordinator, REASON_LEAVING);
        break;
    case WORKER_MESSAGE_PARTS:
        handle_parts(worker, message, now_us);
        break;
    case WORKER_MESSAGE_REPLIES:
        handle_replies(worker, message, now_us);
        break;
    case WORKER_MESSAGE_CANCEL_PARTS:
        admission_cancel(worker->admission, message->attempt_ids,
                         message->count, now_us);
        break;
    case WORKER_MESSAGE_PEER_DOWN:
        coordinator_peer_down(worker->coordinator, message->incarnation,
                              now_us);
        break;
    case WORKER_MESSAGE_VIEW:
        coordinator_set_view(worker->coordinator, message->view);
        admission_set_view(worker->admission, message->view, now_us);
        break;
    case WORKER_MESSAGE_QUARANTINE:
        handle_quarantine(worker, message, now_us);
        break;
    }
    worker_message_free(message);
}

/* Log and report fingerprints that were newly quarantined here. */
static void
report_quarantines(worker_t *worker)
{
    uint64_t found[QUARANTINE_REPORT_MAX];
    size_t count = admission_take_new_quarantines(worker->admission, found,
                                                  QUARANTINE_REPORT_MAX);
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        event_log(EVENT_REQUEST_QUARANTINED, "fingerprint=%016" PRIx64,
                  found[i]);
    }
    worker->settings.route.quarantine(worker->settings.route.context, found,
                                      count);
}

/* Do all work that is due; returns when more will be due. */
static int64_t
worker_run_once(worker_t *worker)
{
    worker_message_t *message = worker_queue_take_all(&worker->queue);
    pthread_mutex_lock(&worker->lock);
    int64_t now_us = clock_now_us();
    admission_receive(worker->admission, now_us);
    while (message != NULL) {
        worker_message_t *next = message->next;
        handle_message(worker, message, now_us);
        message = next;
    }
    int64_t queries_us = coordinator_step(worker->coordinator, now_us);
    int64_t parts_us = admission_step(worker->admission, now_us);
    report_quarantines(worker);
    pthread_mutex_unlock(&worker->lock);
    return queries_us < parts_us ? queries_us : parts_us;
}

static void *
worker_main(void *context)
{
    worker_t *worker = context;
    while (!atomic_load(&worker->stopping)) {
        int64_t due_us = worker_run_once(worker);
        int64_t wait_us = due_us - clock_now_us();
        int wait_ms = WAIT_MAX_MS;
        if (wait_us < (int64_t)WAIT_MAX_MS * US_PER_MS) {
            wait_ms = wait_us <= 0 ? 0 : (int)(wait_us / US_PER_MS) + 1;
        }
        admission_wait(worker->admission, wait_ms);
    }
    return NULL;
}

static bool
route_parts(void *context, uint64_t owner, const part_request_t *requests,
            size_t count)
{
    worker_t *worker = context;
    return worker->settings.route.parts(worker->settings.route.context, owner,
                                        requests, count);
}

static void
route_cancel(void *context, uint64_t owner, attempt_id_t id)
{
    worker_t *worker = context;
    worker->settings.route.cancel(worker->settings.route.context, owner, id);
}

static int64_t
quarantine_left_us(void *context, uint64_t fingerprint, int64_t now_us)
{
    worker_t *worker = context;
    return admission_quarantine_left_us(worker->admission, fingerprint,
                                        now_us);
}

static void
route_replies(void *context, uint64_t coordinator, const part_reply_t *replies,
              size_t count)
{
    worker_t *worker = context;
    worker->settings.route.replies(worker->settings.route.context, coordinator,
                                   replies, count);
}

static void
route_partition(void *context, const partition_t *partition)
{
    worker_t *worker = context;
    worker->settings.route.partition(worker->settings.route.context,
                                     partition);
}

static bool
worker_start_coordinator(worker_t *worker)
{
    coordinator_settings_t settings = {
        .incarnation = worker->settings.incarnation,
        .worker = worker->settings.index,
        .queries_max = worker->settings.queries_max,
        .seed = worker->settings.seed,
        .trust_until_us = worker->settings.trust_until_us,
        .stats = worker->stats,
        .tenants = worker->settings.tenants,
        .sink =
            {
                .context = worker,
                .send = route_parts,
                .cancel = route_cancel,
                .quarantine_left_us = quarantine_left_us,
            },
    };
    worker->coordinator = coordinator_new(&settings);
    return worker->coordinator != NULL;
}

static bool
worker_start_admission(worker_t *worker, error_t *err)
{
    admission_settings_t settings = {
        .worker = worker->settings.index,
        .worker_count = worker->settings.count,
        .gate = worker->settings.gate,
        .upstream = worker->settings.upstream,
        .act_until_us = worker->settings.act_until_us,
        .drain_us = worker->settings.drain_us,
        .stats = worker->stats,
        .context = worker,
        .reply = route_replies,
        .partition = route_partition,
    };
    worker->admission = admission_new(&settings, err);
    return worker->admission != NULL;
}

worker_t *
worker_new(const worker_settings_t *settings, error_t *err)
{
    worker_t *worker = calloc(1, sizeof(*worker));
    if (worker == NULL) {
        error_set(err, STATUS_NO_MEMORY, "start worker", "-", "out of memory");
        return NULL;
    }
    worker->settings = *settings;
    worker_queue_init(&worker->queue);
    pthread_mutex_init(&worker->lock, NULL);
    atomic_init(&worker->stopping, false);
    worker->stats = malloc(sizeof(*worker->stats));
    if (worker->stats == NULL || !worker_start_coordinator(worker) ||
        !worker_start_admission(worker, err)) {
        worker_free(worker);
        error_set(err, STATUS_NO_MEMORY, "start worker", "-", "out of memory");
        return NULL;
    }
    stats_init(worker->stats);
    if (pthread_create(&worker->thread, NULL, worker_main, worker) != 0) {
        worker_free(worker);
        error_set(err, STATUS_INTERNAL, "start worker", "-",
                  "cannot create a thread");
        return NULL;
    }
    worker->started = true;
    return worker;
}

void
worker_free(worker_t *worker)
{
    if (worker == NULL) {
        return;
    }
    if (worker->started) {
        atomic_store(&worker->stopping, true);
        admission_wake(worker->admission);
        pthread_join(worker->thread, NULL);
    }
    admission_free(worker->admission);
    coordinator_free(worker->coordinator);
    worker_queue_release(&worker->queue);
    pthread_mutex_destroy(&worker->lock);
    free(worker->stats);
    free(worker);
}

void
worker_post(worker_t *worker, worker_message_t *message)
{
    worker_queue_push(&worker->queue, message);
    admission_wake(worker->admission);
}

uint64_t
worker_settled_version(worker_t *worker)
{
    pthread_mutex_lock(&worker->lock);
    uint64_t version = admission_settled_version(worker->admission);
    pthread_mutex_unlock(&worker->lock);
    return version;
}

worker_load_t
worker_load(worker_t *worker)
{
    pthread_mutex_lock(&worker->lock);
    worker_load_t load = {
        .queries = coordinator_running(worker->coordinator),
        .parts = admission_pending(worker->admission),
        .totals = admission_totals(worker->admission),
    };
    pthread_mutex_unlock(&worker->lock);
    return load;
}

void
worker_add_stats(worker_t *worker, stats_t *stats)
{
    pthread_mutex_lock(&worker->lock);
    stats_merge(stats, worker->stats);
    pthread_mutex_unlock(&worker->lock);
}

size_t
worker_list_upstreams(worker_t *worker, gate_upstream_t *out, size_t max)
{
    pthread_mutex_lock(&worker->lock);
    size_t count = admission_report(worker->admission, out, max);
    pthread_mutex_unlock(&worker->lock);
    return count;
}

json_t *
worker_explain(worker_t *worker, uint64_t sequence)
{
    pthread_mutex_lock(&worker->lock);
    const explain_record_t *record =
        coordinator_find_record(worker->coordinator, sequence);
    json_t *json = record == NULL
                       ? NULL
                       : explain_json(record, worker->settings.incarnation);
    pthread_mutex_unlock(&worker->lock);
    return json;
}
