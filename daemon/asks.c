#include "daemon/asks.h"
#include "daemon/clock.h"

#include <stdlib.h>
#include <string.h>

struct ask_entry {
    ask_entry_t *next;
    uint64_t id;
    uint64_t incarnation;
    bool ended;
    bool answered;
    ask_reply_t reply;
};

void
asks_init(asks_t *asks)
{
    pthread_mutex_init(&asks->lock, NULL);
    clock_cond_init(&asks->answered);
    asks->last_id = 0;
    asks->entries = NULL;
}

void
asks_release(asks_t *asks)
{
    while (asks->entries != NULL) {
        ask_entry_t *entry = asks->entries;
        asks->entries = entry->next;
        free(entry->reply.json);
        free(entry);
    }
    pthread_cond_destroy(&asks->answered);
    pthread_mutex_destroy(&asks->lock);
}

uint64_t
asks_begin(asks_t *asks, uint64_t incarnation)
{
    ask_entry_t *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return 0;
    }
    entry->incarnation = incarnation;
    pthread_mutex_lock(&asks->lock);
    entry->id = ++asks->last_id;
    entry->next = asks->entries;
    asks->entries = entry;
    uint64_t id = entry->id;
    pthread_mutex_unlock(&asks->lock);
    return id;
}

static ask_entry_t **
find(asks_t *asks, uint64_t id)
{
    ask_entry_t **link = &asks->entries;
    while (*link != NULL && (*link)->id != id) {
        link = &(*link)->next;
    }
    return link;
}

bool
asks_wait(asks_t *asks, uint64_t id, int64_t timeout_us, ask_reply_t *reply)
{
    struct timespec until = clock_timespec(clock_now_us() + timeout_us);
    *reply = (ask_reply_t){.status = 0};
    pthread_mutex_lock(&asks->lock);
    ask_entry_t **link = find(asks, id);
    int timed = 0;
    while (*link != NULL && !(*link)->ended && timed == 0) {
        timed = pthread_cond_timedwait(&asks->answered, &asks->lock, &until);
        link = find(asks, id);
    }
    ask_entry_t *entry = *link;
    bool answered = entry != NULL && entry->answered;
    if (answered) {
        *reply = entry->reply;
    }
    if (entry != NULL) {
        *link = entry->next;
        free(entry);
    }
    pthread_mutex_unlock(&asks->lock);
    return answered;
}

void
asks_answer(asks_t *asks, uint64_t incarnation, uint64_t id, unsigned status,
            const char *json, size_t size)
{
    char *copy = malloc(size + 1);
    if (copy == NULL) {
        return;
    }
    if (size > 0) {
        memcpy(copy, json, size);
    }
    copy[size] = '\0';
    pthread_mutex_lock(&asks->lock);
    ask_entry_t *entry = *find(asks, id);
    if (entry != NULL && !entry->ended && entry->incarnation == incarnation) {
        entry->ended = true;
        entry->answered = true;
        entry->reply =
            (ask_reply_t){.status = status, .json = copy, .size = size};
        copy = NULL;
        pthread_cond_broadcast(&asks->answered);
    }
    pthread_mutex_unlock(&asks->lock);
    free(copy);
}

void
asks_peer_down(asks_t *asks, uint64_t incarnation)
{
    pthread_mutex_lock(&asks->lock);
    for (ask_entry_t *entry = asks->entries; entry != NULL;
         entry = entry->next) {
        if (entry->incarnation == incarnation) {
            entry->ended = true;
        }
    }
    pthread_cond_broadcast(&asks->answered);
    pthread_mutex_unlock(&asks->lock);
}
