#include "daemon/worker_queue.h"

#include <stdlib.h>
#include <string.h>

worker_message_t *
worker_message_new(worker_message_type_t type)
{
    worker_message_t *message = calloc(1, sizeof(*message));
    if (message != NULL) {
        message->type = type;
    }
    return message;
}

void
worker_message_free(worker_message_t *message)
{
    if (message == NULL) {
        return;
    }
    for (size_t i = 0; message->requests != NULL && i < message->count; i++) {
        free((char *)message->requests[i].body);
    }
    free((char *)message->query.body);
    free(message->requests);
    free(message->replies);
    free(message->attempt_ids);
    free(message->fingerprints);
    fleet_view_put(message->view);
    free(message);
}

/* A copy of an array, non-NULL if it is empty; NULL: out of memory. */
static void *
copy_array(const void *from, size_t count, size_t size)
{
    void *copy = calloc(count > 0 ? count : 1, size);
    if (copy != NULL && count > 0) {
        memcpy(copy, from, count * size);
    }
    return copy;
}

worker_message_t *
worker_message_new_parts(uint64_t incarnation, const part_request_t *requests,
                         size_t count)
{
    worker_message_t *message = worker_message_new(WORKER_MESSAGE_PARTS);
    if (message == NULL) {
        return NULL;
    }
    message->incarnation = incarnation;
    message->requests = copy_array(requests, count, sizeof(*requests));
    if (message->requests == NULL) {
        worker_message_free(message);
        return NULL;
    }
    message->count = count;
    for (size_t i = 0; i < count; i++) {
        message->requests[i].body = NULL;
    }
    for (size_t i = 0; i < count; i++) {
        message->requests[i].body =
            copy_array(requests[i].body, requests[i].body_size, 1);
        if (message->requests[i].body == NULL) {
            worker_message_free(message);
            return NULL;
        }
    }
    return message;
}

worker_message_t *
worker_message_new_replies(uint64_t incarnation, const part_reply_t *replies,
                           size_t count)
{
    worker_message_t *message = worker_message_new(WORKER_MESSAGE_REPLIES);
    if (message == NULL) {
        return NULL;
    }
    message->incarnation = incarnation;
    message->replies = copy_array(replies, count, sizeof(*replies));
    message->count = count;
    if (message->replies == NULL) {
        worker_message_free(message);
        return NULL;
    }
    return message;
}

worker_message_t *
worker_message_new_cancel(uint64_t incarnation, const attempt_id_t *ids,
                          size_t count)
{
    worker_message_t *message =
        worker_message_new(WORKER_MESSAGE_CANCEL_PARTS);
    if (message == NULL) {
        return NULL;
    }
    message->incarnation = incarnation;
    message->attempt_ids = copy_array(ids, count, sizeof(*ids));
    message->count = count;
    if (message->attempt_ids == NULL) {
        worker_message_free(message);
        return NULL;
    }
    return message;
}

void
worker_queue_init(worker_queue_t *queue)
{
    pthread_mutex_init(&queue->lock, NULL);
    queue->head = NULL;
    queue->tail = &queue->head;
}

void
worker_queue_release(worker_queue_t *queue)
{
    worker_message_t *message = worker_queue_take_all(queue);
    while (message != NULL) {
        worker_message_t *next = message->next;
        worker_message_free(message);
        message = next;
    }
    pthread_mutex_destroy(&queue->lock);
}

void
worker_queue_push(worker_queue_t *queue, worker_message_t *message)
{
    message->next = NULL;
    pthread_mutex_lock(&queue->lock);
    *queue->tail = message;
    queue->tail = &message->next;
    pthread_mutex_unlock(&queue->lock);
}

worker_message_t *
worker_queue_take_all(worker_queue_t *queue)
{
    pthread_mutex_lock(&queue->lock);
    worker_message_t *message = queue->head;
    queue->head = NULL;
    queue->tail = &queue->head;
    pthread_mutex_unlock(&queue->lock);
    return message;
}
