#include "daemon/mail.h"

#include <stdlib.h>
#include <string.h>

mail_t *
mail_new(mail_type_t type)
{
    mail_t *mail = calloc(1, sizeof(*mail));
    if (mail != NULL) {
        mail->type = type;
    }
    return mail;
}

void
mail_free(mail_t *mail)
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
    world_put(mail->world);
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

mail_t *
mail_new_parts(uint64_t incarnation, const part_request_t *requests,
               size_t count)
{
    mail_t *mail = mail_new(MAIL_PARTS);
    if (mail == NULL) {
        return NULL;
    }
    mail->incarnation = incarnation;
    mail->requests = copy_array(requests, count, sizeof(*requests));
    if (mail->requests == NULL) {
        mail_free(mail);
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
            mail_free(mail);
            return NULL;
        }
    }
    return mail;
}

mail_t *
mail_new_replies(uint64_t incarnation, const part_reply_t *replies,
                 size_t count)
{
    mail_t *mail = mail_new(MAIL_REPLIES);
    if (mail == NULL) {
        return NULL;
    }
    mail->incarnation = incarnation;
    mail->replies = copy_array(replies, count, sizeof(*replies));
    mail->count = count;
    if (mail->replies == NULL) {
        mail_free(mail);
        return NULL;
    }
    return mail;
}

mail_t *
mail_new_cancel(uint64_t incarnation, const attempt_id_t *ids, size_t count)
{
    mail_t *mail = mail_new(MAIL_CANCEL_PARTS);
    if (mail == NULL) {
        return NULL;
    }
    mail->incarnation = incarnation;
    mail->ids = copy_array(ids, count, sizeof(*ids));
    mail->count = count;
    if (mail->ids == NULL) {
        mail_free(mail);
        return NULL;
    }
    return mail;
}

void
mailbox_init(mailbox_t *box)
{
    pthread_mutex_init(&box->lock, NULL);
    box->first = NULL;
    box->last = &box->first;
}

void
mailbox_release(mailbox_t *box)
{
    mail_t *mail = mailbox_take(box);
    while (mail != NULL) {
        mail_t *next = mail->next;
        mail_free(mail);
        mail = next;
    }
    pthread_mutex_destroy(&box->lock);
}

void
mailbox_put(mailbox_t *box, mail_t *mail)
{
    mail->next = NULL;
    pthread_mutex_lock(&box->lock);
    *box->last = mail;
    box->last = &mail->next;
    pthread_mutex_unlock(&box->lock);
}

mail_t *
mailbox_take(mailbox_t *box)
{
    pthread_mutex_lock(&box->lock);
    mail_t *mail = box->first;
    box->first = NULL;
    box->last = &box->first;
    pthread_mutex_unlock(&box->lock);
    return mail;
}
