#include "daemon/worker.h"
#include "daemon/clock.h"
#include "edge/event.h"

#include <inttypes.h>
#include <stdlib.h>

enum {
    WAIT_MAX_MS = 100,
    US_PER_MS = 1000,
    QUARANTINES_MAX = 16 /* told to others at one time */
};

struct worker {
    worker_settings_t settings;
    mailbox_t box;
    pthread_mutex_t lock;
    pthread_t thread;
    bool started;
    atomic_bool stopping;
    coordinator_t *coordinator;
    admission_t *admission;
    stats_t *stats;
};

static void
take_parts(worker_t *worker, const mail_t *mail, int64_t now_us)
{
    admission_parts(worker->admission, mail->incarnation, mail->requests,
                    mail->count, now_us);
}

static void
take_replies(worker_t *worker, const mail_t *mail, int64_t now_us)
{
    coordinator_heard(worker->coordinator, mail->incarnation);
    for (size_t i = 0; i < mail->count; i++) {
        coordinator_reply(worker->coordinator, &mail->replies[i], now_us);
    }
}

static void
take_query(worker_t *worker, mail_t *mail, int64_t now_us)
{
    coordinator_submit(worker->coordinator, &mail->query, &mail->waiter,
                       now_us);
    mail->query.body = NULL;
}

static void
take_quarantine(worker_t *worker, const mail_t *mail, int64_t now_us)
{
    for (size_t i = 0; i < mail->count; i++) {
        admission_quarantine(worker->admission, mail->fingerprints[i], now_us);
    }
}

static void
take_mail(worker_t *worker, mail_t *mail, int64_t now_us)
{
    switch (mail->type) {
    case MAIL_QUERY:
        take_query(worker, mail, now_us);
        break;
    case MAIL_CANCEL_QUERY:
        coordinator_cancel(worker->coordinator, mail->sequence,
                           REASON_CANCELLED);
        break;
    case MAIL_CANCEL_ALL:
        coordinator_cancel_all(worker->coordinator, REASON_LEAVING);
        break;
    case MAIL_PARTS:
        take_parts(worker, mail, now_us);
        break;
    case MAIL_REPLIES:
        take_replies(worker, mail, now_us);
        break;
    case MAIL_CANCEL_PARTS:
        admission_cancel(worker->admission, mail->ids, mail->count, now_us);
        break;
    case MAIL_PEER_DOWN:
        coordinator_peer_down(worker->coordinator, mail->incarnation, now_us);
        break;
    case MAIL_WORLD:
        coordinator_world(worker->coordinator, mail->world);
        admission_world(worker->admission, mail->world, now_us);
        break;
    case MAIL_QUARANTINE:
        take_quarantine(worker, mail, now_us);
        break;
    }
    mail_free(mail);
}

static void
tell_quarantines(worker_t *worker)
{
    uint64_t found[QUARANTINES_MAX];
    size_t count =
        admission_new_quarantines(worker->admission, found, QUARANTINES_MAX);
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

/* One round of work; returns when the next is due by the clock. */
static int64_t
worker_work(worker_t *worker)
{
    mail_t *mail = mailbox_take(&worker->box);
    pthread_mutex_lock(&worker->lock);
    int64_t now_us = clock_now_us();
    admission_run(worker->admission, now_us);
    while (mail != NULL) {
        mail_t *next = mail->next;
        take_mail(worker, mail, now_us);
        mail = next;
    }
    int64_t queries_us = coordinator_step(worker->coordinator, now_us);
    int64_t parts_us = admission_step(worker->admission, now_us);
    tell_quarantines(worker);
    pthread_mutex_unlock(&worker->lock);
    return queries_us < parts_us ? queries_us : parts_us;
}

static void *
worker_main(void *context)
{
    worker_t *worker = context;
    while (!atomic_load(&worker->stopping)) {
        int64_t due_us = worker_work(worker);
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
        error_set(err, STATUS_NO_MEMORY, "start worker", "-", "no memory");
        return NULL;
    }
    worker->settings = *settings;
    mailbox_init(&worker->box);
    pthread_mutex_init(&worker->lock, NULL);
    atomic_init(&worker->stopping, false);
    worker->stats = malloc(sizeof(*worker->stats));
    if (worker->stats == NULL || !worker_start_coordinator(worker) ||
        !worker_start_admission(worker, err)) {
        worker_free(worker);
        error_set(err, STATUS_NO_MEMORY, "start worker", "-", "no memory");
        return NULL;
    }
    stats_init(worker->stats);
    if (pthread_create(&worker->thread, NULL, worker_main, worker) != 0) {
        worker_free(worker);
        error_set(err, STATUS_INTERNAL, "start worker", "-", "no thread");
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
    mailbox_release(&worker->box);
    pthread_mutex_destroy(&worker->lock);
    free(worker->stats);
    free(worker);
}

void
worker_post(worker_t *worker, mail_t *mail)
{
    mailbox_put(&worker->box, mail);
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
worker_report(worker_t *worker, gate_upstream_t *out, size_t max)
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
        coordinator_explain(worker->coordinator, sequence);
    json_t *json = record == NULL
                       ? NULL
                       : explain_json(record, worker->settings.incarnation);
    pthread_mutex_unlock(&worker->lock);
    return json;
}
