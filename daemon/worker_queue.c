#include "daemon/worker_queue.h"

#include <stdlib.h>
#include <string.h>

worker_message_t *
worker_message_new(worker_message_type_t type)
{
    worker_message_t *mail = calloc(1, sizeof(*mail));
    if (mail != NULL) {
        mail->type = type;
    }
    return mail;
}

void
worker_message_free(worker_message_t *mail)
{
    if (mail == NULL) {
        return;
    }
    for (size_t i = 0; mail->requests != NULL && i < mail->count; i++) {
        free((char *)mail->requests[i].body);
    }
    free((char *)mail->query.body);
    free(mail->requests);
    free(mail->replies);
    free(mail->ids);
    free(mail->fingerprints);
    fleet_view_put(mail->world);
    free(mail);
}

/* A copy that is never NULL for an empty array; NULL: no memory. */
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
    worker_message_t *mail = worker_message_new(WORKER_MESSAGE_PARTS);
    if (mail == NULL) {
        return NULL;
    }
    mail->incarnation = incarnation;
    mail->requests = copy_array(requests, count, sizeof(*requests));
    if (mail->requests == NULL) {
        worker_message_free(mail);
        return NULL;
    }
    mail->count = count;
    for (size_t i = 0; i < count; i++) {
        mail->requests[i].body = NULL;
    }
    for (size_t i = 0; i < count; i++) {
        mail->requests[i].body =
            copy_array(requests[i].body, requests[i].body_size, 1);
        if (mail->requests[i].body == NULL) {
            worker_message_free(mail);
            return NULL;
        }
    }
    return mail;
}

worker_message_t *
worker_message_new_replies(uint64_t incarnation, const part_reply_t *replies,
                           size_t count)
{
    worker_message_t *mail = worker_message_new(WORKER_MESSAGE_REPLIES);
    if (mail == NULL) {
        return NULL;
    }
    mail->incarnation = incarnation;
    mail->replies = copy_array(replies, count, sizeof(*replies));
    mail->count = count;
    if (mail->replies == NULL) {
        worker_message_free(mail);
        return NULL;
    }
    return mail;
}

worker_message_t *
worker_message_new_cancel(uint64_t incarnation, const attempt_id_t *ids,
                          size_t count)
{
    worker_message_t *mail = worker_message_new(WORKER_MESSAGE_CANCEL_PARTS);
    if (mail == NULL) {
        return NULL;
    }
    mail->incarnation = incarnation;
    mail->ids = copy_array(ids, count, sizeof(*ids));
    mail->count = count;
    if (mail->ids == NULL) {
        worker_message_free(mail);
        return NULL;
    }
    return mail;
}

void
worker_queue_init(worker_queue_t *box)
{
    pthread_mutex_init(&box->lock, NULL);
    box->first = NULL;
    box->last = &box->first;
}

void
worker_queue_release(worker_queue_t *box)
{
    worker_message_t *mail = worker_queue_take_all(box);
    while (mail != NULL) {
        worker_message_t *next = mail->next;
        worker_message_free(mail);
        mail = next;
    }
    pthread_mutex_destroy(&box->lock);
}

void
worker_queue_push(worker_queue_t *box, worker_message_t *mail)
{
    mail->next = NULL;
    pthread_mutex_lock(&box->lock);
    *box->last = mail;
    box->last = &mail->next;
    pthread_mutex_unlock(&box->lock);
}

worker_message_t *
worker_queue_take_all(worker_queue_t *box)
{
    pthread_mutex_lock(&box->lock);
    worker_message_t *mail = box->first;
    box->first = NULL;
    box->last = &box->first;
    pthread_mutex_unlock(&box->lock);
    return mail;
}
