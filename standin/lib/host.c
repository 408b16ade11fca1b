#include "standin/lib/host.h"

#include "standin/lib/service.h"
#include "standin/lib/upstream.h"
#include "standin/lib/wire.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define WAIT_MAX_US INT64_C(1000000)

enum { EPOLL_EVENTS_MAX = 64, MHD_RUNS_MAX = 16 };

struct host {
    upstream_t *upstreams;
    size_t upstream_count;
    worker_t *workers;
    unsigned worker_count;
};

/*
 * Advances the due requests and resumes the connections of those that are
 * done. Returns the time at which the next request is due, at most
 * WAIT_MAX_US from now.
 */
static int64_t
worker_run_due(worker_t *worker, int64_t now_us)
{
    int64_t next_us = now_us + WAIT_MAX_US;
    request_t **link = &worker->waiting;
    while (*link != NULL) {
        request_t *request = *link;
        request_advance(request, now_us);
        if (request->step >= STEP_DONE) {
            *link = request->next;
            upstream_schedule(request->upstream);
            MHD_resume_connection(request->mhd);
            continue;
        }
        next_us = request->due_us < next_us ? request->due_us : next_us;
        link = &request->next;
    }
    return next_us;
}

/*
 * Runs the HTTP server until it has nothing left to do. After MHD_RUNS_MAX
 * rounds the upstream is scheduled again, so that others get their turn.
 */
static void
upstream_run(upstream_t *upstream)
{
    MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
    for (int i = 0; i < MHD_RUNS_MAX; i++) {
        MHD_run(upstream->mhd);
        if (MHD_get_timeout(upstream->mhd, &timeout_ms) != MHD_YES ||
            timeout_ms > 0) {
            return;
        }
    }
    upstream_schedule(upstream);
}

/*
 * Runs the due requests and the pending upstreams until none is left. Returns
 * the time at which the next request is due.
 */
static int64_t
worker_run_pending(worker_t *worker)
{
    int64_t next_us = worker_run_due(worker, service_now_us());
    while (worker->pending != NULL) {
        upstream_t *upstream = worker->pending;
        worker->pending = upstream->next_pending;
        upstream->is_pending = false;
        upstream_run(upstream);
        if (worker->pending == NULL) {
            next_us = worker_run_due(worker, service_now_us());
        }
    }
    return next_us;
}

/*
 * Waits until until_us or for I/O, and schedules the upstreams with I/O.
 * Returns with the worker's lock held.
 */
static void
worker_wait(worker_t *worker, int64_t until_us)
{
    struct epoll_event events[EPOLL_EVENTS_MAX];
    int64_t left_us = until_us - service_now_us();
    left_us = left_us > 0 ? left_us : 0;
    struct timespec timeout = {.tv_sec = left_us / 1000000,
                               .tv_nsec = (left_us % 1000000) * 1000};
    int ready = epoll_pwait2(worker->epoll_fd, events, EPOLL_EVENTS_MAX,
                             &timeout, NULL);
    pthread_mutex_lock(&worker->lock);
    for (int i = 0; i < ready; i++) {
        uint64_t wakes = 0;
        if (events[i].data.ptr != NULL) {
            upstream_schedule(events[i].data.ptr);
        }
        else if (read(worker->wake_fd, &wakes, sizeof(wakes)) < 0) {
            continue;
        }
    }
}

static void *
worker_main(void *user)
{
    worker_t *worker = user;
    pthread_mutex_lock(&worker->lock);
    while (!worker->stopping) {
        int64_t next_us = worker_run_pending(worker);
        pthread_mutex_unlock(&worker->lock);
        worker_wait(worker, next_us);
    }
    pthread_mutex_unlock(&worker->lock);
    return NULL;
}

static bool
worker_init(worker_t *worker)
{
    pthread_mutex_init(&worker->lock, NULL);
    worker->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    worker->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    struct epoll_event event = {.events = EPOLLIN};
    return epoll_ctl(worker->epoll_fd, EPOLL_CTL_ADD, worker->wake_fd,
                     &event) == 0;
}

static void
worker_wake(const worker_t *worker)
{
    uint64_t one = 1;
    if (write(worker->wake_fd, &one, sizeof(one)) < 0) {
        return;
    }
}

static void
worker_stop(worker_t *worker)
{
    pthread_mutex_lock(&worker->lock);
    worker->stopping = true;
    pthread_mutex_unlock(&worker->lock);
    if (worker->started) {
        worker_wake(worker);
        pthread_join(worker->thread, NULL);
    }
}

static void
worker_release(worker_t *worker)
{
    close(worker->epoll_fd);
    close(worker->wake_fd);
    pthread_mutex_destroy(&worker->lock);
}

static bool
upstream_init(upstream_t *upstream, const host_options_t *options,
              const upstream_plan_t *plan, worker_t *worker)
{
    replica_init(&upstream->replica, plan, options->seed, options->version,
                 options->generation);
    upstream->replica.state.cold = options->cold;
    upstream->ledger = options->ledger;
    upstream->counters =
        ledger_counters_get(options->ledger, plan->service->name, plan->zone);
    upstream->worker = worker;
    if (upstream->counters == NULL || !upstream_listen(upstream)) {
        return false;
    }
    int fd =
        MHD_get_daemon_info(upstream->mhd, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = upstream};
    return epoll_ctl(worker->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
}

static bool
host_start(host_t *host, const host_options_t *options)
{
    for (unsigned i = 0; i < host->worker_count; i++) {
        if (!worker_init(&host->workers[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < host->upstream_count; i++) {
        worker_t *worker = &host->workers[i % host->worker_count];
        if (!upstream_init(&host->upstreams[i], options, &options->plans[i],
                           worker)) {
            return false;
        }
    }
    for (unsigned i = 0; i < host->worker_count; i++) {
        worker_t *worker = &host->workers[i];
        worker->started =
            pthread_create(&worker->thread, NULL, worker_main, worker) == 0;
    }
    return true;
}

host_t *
host_new(const host_options_t *options)
{
    host_t *host = calloc(1, sizeof(*host));
    if (host == NULL) {
        return NULL;
    }
    host->upstreams = calloc(options->plan_count, sizeof(upstream_t));
    host->workers = calloc(options->threads, sizeof(worker_t));
    if (host->upstreams == NULL || host->workers == NULL) {
        free(host->upstreams);
        free(host->workers);
        free(host);
        return NULL;
    }
    host->upstream_count = options->plan_count;
    host->worker_count = options->threads;
    if (!host_start(host, options)) {
        host_free(host);
        return NULL;
    }
    return host;
}

/*
 * Stops the HTTP server; the workers must have been stopped. The requests are
 * ended first, since no connection may stay suspended.
 */
static void
upstream_release(upstream_t *upstream)
{
    if (upstream->mhd != NULL) {
        upstream_drop(upstream);
        (void)worker_run_due(upstream->worker, service_now_us());
        MHD_run(upstream->mhd);
        MHD_stop_daemon(upstream->mhd);
    }
    json_decref(upstream->health);
}

void
host_free(host_t *host)
{
    if (host == NULL) {
        return;
    }
    for (unsigned i = 0; i < host->worker_count; i++) {
        worker_stop(&host->workers[i]);
    }
    for (size_t i = 0; i < host->upstream_count; i++) {
        upstream_release(&host->upstreams[i]);
    }
    for (unsigned i = 0; i < host->worker_count; i++) {
        worker_release(&host->workers[i]);
    }
    free(host->upstreams);
    free(host->workers);
    free(host);
}

uint16_t
host_port(const host_t *host, size_t index)
{
    return MHD_get_daemon_info(host->upstreams[index].mhd,
                               MHD_DAEMON_INFO_BIND_PORT)
        ->port;
}

static bool
is_selected(const upstream_plan_t *plan, const host_select_t *selector)
{
    return (selector->upstream == NULL ||
            strcmp(selector->upstream, plan->name) == 0) &&
           (selector->service == NULL ||
            strcmp(selector->service, plan->service->name) == 0) &&
           (selector->zone == NULL ||
            strcmp(selector->zone, plan->zone) == 0) &&
           (selector->group < 0 || selector->group == plan->group);
}

static void
upstream_set(upstream_t *upstream, const json_t *set)
{
    int64_t now_us = service_now_us();
    pthread_mutex_lock(&upstream->worker->lock);
    replica_state_t state = upstream->replica.state;
    bool was_hanging = state.hang;
    wire_apply_state(set, &state);
    replica_set(&upstream->replica, &state, now_us);
    if (json_is_true(json_object_get(set, "crash"))) {
        upstream_crash(upstream, now_us);
    }
    if (state.down || (was_hanging && !state.hang)) {
        upstream_drop(upstream);
    }
    pthread_mutex_unlock(&upstream->worker->lock);
    worker_wake(upstream->worker);
}

size_t
host_set(host_t *host, const host_select_t *selector, const json_t *set)
{
    size_t selected = 0;
    for (size_t i = 0; i < host->upstream_count; i++) {
        if (is_selected(host->upstreams[i].replica.plan, selector)) {
            upstream_set(&host->upstreams[i], set);
            selected++;
        }
    }
    return selected;
}

json_t *
host_vms(host_t *host)
{
    json_t *list = json_array();
    for (size_t i = 0; i < host->upstream_count; i++) {
        upstream_t *upstream = &host->upstreams[i];
        pthread_mutex_lock(&upstream->worker->lock);
        if (!upstream->replica.state.gone) {
            json_array_append_new(list, wire_format_vm(&upstream->replica));
        }
        pthread_mutex_unlock(&upstream->worker->lock);
    }
    return list;
}
