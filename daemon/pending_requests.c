#include "daemon/pending_requests.h"
#include "daemon/clock.h"

#include <stdlib.h>
#include <string.h>

struct pending_request {
    pending_request_t *next;
    uint64_t id;
    uint64_t incarnation;
    bool ended;
    bool answered;
    pending_reply_t reply;
};

void
pending_requests_init(pending_requests_t *requests)
{
    pthread_mutex_init(&requests->lock, NULL);
    clock_cond_init(&requests->answered);
    requests->last_id = 0;
    requests->first = NULL;
}

void
pending_requests_release(pending_requests_t *requests)
{
    while (requests->first != NULL) {
        pending_request_t *request = requests->first;
        requests->first = request->next;
        free(request->reply.json);
        free(request);
    }
    pthread_cond_destroy(&requests->answered);
    pthread_mutex_destroy(&requests->lock);
}

uint64_t
pending_requests_begin(pending_requests_t *requests, uint64_t incarnation)
{
    pending_request_t *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return 0;
    }
    request->incarnation = incarnation;
    pthread_mutex_lock(&requests->lock);
    request->id = ++requests->last_id;
    request->next = requests->first;
    requests->first = request;
    uint64_t id = request->id;
    pthread_mutex_unlock(&requests->lock);
    return id;
}

static pending_request_t **
find_request(pending_requests_t *requests, uint64_t id)
{
    pending_request_t **link = &requests->first;
    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    return link;
}

bool
pending_requests_wait(pending_requests_t *requests, uint64_t id,
                      int64_t timeout_us, pending_reply_t *reply)
{
    struct timespec until = clock_timespec(clock_now_us() + timeout_us);
    *reply = (pending_reply_t){.status = 0};
    pthread_mutex_lock(&requests->lock);
    pending_request_t **link = find_request(requests, id);
    int wait_error = 0;
    while (*link != NULL && !(*link)->ended && wait_error == 0) {
        wait_error = pthread_cond_timedwait(&requests->answered,
                                            &requests->lock, &until);
        link = find_request(requests, id);
    }
    pending_request_t *request = *link;
    bool answered = request != NULL && request->answered;
    if (answered) {
        *reply = request->reply;
    }
    if (request != NULL) {
        *link = request->next;
        free(request);
    }
    pthread_mutex_unlock(&requests->lock);
    return answered;
}

void
pending_requests_complete(pending_requests_t *requests, uint64_t incarnation,
                          uint64_t id, unsigned status, const char *json,
                          size_t size)
{
    char *copy = malloc(size + 1);
    if (copy == NULL) {
        return;
    }
    if (size > 0) {
        memcpy(copy, json, size);
    }
    copy[size] = '\0';
    pthread_mutex_lock(&requests->lock);
    pending_request_t *request = *find_request(requests, id);
    if (request != NULL && !request->ended &&
        request->incarnation == incarnation) {
        request->ended = true;
        request->answered = true;
        request->reply =
            (pending_reply_t){.status = status, .json = copy, .size = size};
        copy = NULL;
        pthread_cond_broadcast(&requests->answered);
    }
    pthread_mutex_unlock(&requests->lock);
    free(copy);
}

void
pending_requests_fail_peer(pending_requests_t *requests, uint64_t incarnation)
{
    pthread_mutex_lock(&requests->lock);
    for (pending_request_t *request = requests->first; request != NULL;
         request = request->next) {
        if (request->incarnation == incarnation) {
            request->ended = true;
        }
    }
    pthread_cond_broadcast(&requests->answered);
    pthread_mutex_unlock(&requests->lock);
}
