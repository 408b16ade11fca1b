#include "net/link.h"

#include <stdlib.h>
#include <string.h>

void
links_init(links_t *links, size_t queue_max_bytes)
{
    *links = (links_t){.queue_max_bytes = queue_max_bytes};
    pthread_mutex_init(&links->lock, NULL);
}

static void
link_free(peer_link_t *link)
{
    while (link->head != NULL) {
        outgoing_t *next = link->head->next;
        outgoing_free(link->head);
        link->head = next;
    }
    free(link);
}

void
links_release(links_t *links)
{
    for (size_t i = 0; i < links->count; i++) {
        link_free(links->list[i]);
    }
    free(links->list);
    pthread_mutex_destroy(&links->lock);
}

/* Returns the index of the first link with at least this incarnation. */
static size_t
links_lower_bound(const links_t *links, uint64_t incarnation)
{
    size_t low = 0;
    size_t high = links->count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        if (links->list[middle]->incarnation < incarnation) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static peer_link_t *
links_find_locked(const links_t *links, const char *name, uint64_t incarnation)
{
    size_t i = links_lower_bound(links, incarnation);
    for (; i < links->count; i++) {
        peer_link_t *link = links->list[i];
        if (link->incarnation != incarnation) {
            return NULL;
        }
        if (name == NULL || strcmp(link->name, name) == 0) {
            return link;
        }
    }
    return NULL;
}

peer_link_t *
links_find(links_t *links, const char *name, uint64_t incarnation)
{
    pthread_mutex_lock(&links->lock);
    peer_link_t *link = links_find_locked(links, name, incarnation);
    pthread_mutex_unlock(&links->lock);
    return link;
}

static bool
links_reserve(links_t *links)
{
    if (links->count < links->capacity) {
        return true;
    }
    size_t capacity = links->capacity == 0 ? 16 : links->capacity * 2;
    peer_link_t **grown =
        realloc(links->list, capacity * sizeof(peer_link_t *));
    if (grown == NULL) {
        return false;
    }
    links->list = grown;
    links->capacity = capacity;
    return true;
}

static peer_link_t *
links_insert(links_t *links, const hello_t *hello)
{
    peer_link_t *link = calloc(1, sizeof(*link));
    if (link == NULL || links->count >= PEER_NET_PEERS_MAX ||
        !links_reserve(links)) {
        free(link);
        return NULL;
    }
    memcpy(link->name, hello->name, NAME_SIZE);
    memcpy(link->zone, hello->zone, NAME_SIZE);
    link->incarnation = hello->incarnation;
    link->tail = &link->head;
    size_t at = links_lower_bound(links, hello->incarnation);
    memmove(&links->list[at + 1], &links->list[at],
            (links->count - at) * sizeof(peer_link_t *));
    links->list[at] = link;
    links->count++;
    return link;
}

peer_link_t *
links_add(links_t *links, const hello_t *hello, uint32_t version)
{
    pthread_mutex_lock(&links->lock);
    peer_link_t *link =
        links_find_locked(links, hello->name, hello->incarnation);
    if (link == NULL) {
        link = links_insert(links, hello);
    }
    if (link != NULL) {
        link->version = version;
    }
    pthread_mutex_unlock(&links->lock);
    return link;
}

void
links_remove(links_t *links, peer_link_t *link)
{
    pthread_mutex_lock(&links->lock);
    size_t at = links_lower_bound(links, link->incarnation);
    while (links->list[at] != link) {
        at++;
    }
    links->count--;
    memmove(&links->list[at], &links->list[at + 1],
            (links->count - at) * sizeof(peer_link_t *));
    pthread_mutex_unlock(&links->lock);
    link_free(link);
}

static bool
link_has_room(const links_t *links, const peer_link_t *link, size_t bytes)
{
    return link->queued_bytes + bytes <= links->queue_max_bytes;
}

static void
link_append(peer_link_t *link, outgoing_t *outgoing, size_t bytes)
{
    *link->tail = outgoing;
    link->tail = &outgoing->next;
    link->queued_bytes += bytes;
}

status_t
links_enqueue(links_t *links, const char *name, uint64_t incarnation,
              uint8_t type, uint8_t *payload, size_t size, error_t *err)
{
    const char *peer = name == NULL ? "any" : name;
    outgoing_t *outgoing = malloc(sizeof(*outgoing));
    if (outgoing == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "peer send", peer,
                         "out of memory");
    }
    *outgoing = (outgoing_t){.payload = payload, .size = size, .type = type};
    size_t bytes = frame_size(size, FRAME_MAC_BYTES);
    status_t status = STATUS_OK;
    pthread_mutex_lock(&links->lock);
    peer_link_t *link = links_find_locked(links, name, incarnation);
    if (link == NULL) {
        status = error_set(err, STATUS_UNAVAILABLE, "peer send", peer,
                           "not connected to incarnation %llx",
                           (unsigned long long)incarnation);
    }
    else if (!link_has_room(links, link, bytes)) {
        status = error_set(err, STATUS_TOO_LARGE, "peer send", link->name,
                           "the send queue is full: %zu bytes are queued",
                           link->queued_bytes);
    }
    else {
        link_append(link, outgoing, bytes);
        outgoing = NULL;
    }
    pthread_mutex_unlock(&links->lock);
    free(outgoing);
    return status;
}

outgoing_t *
links_dequeue(links_t *links, peer_link_t *link)
{
    pthread_mutex_lock(&links->lock);
    outgoing_t *outgoing = link->head;
    if (outgoing != NULL) {
        link->head = outgoing->next;
        if (link->head == NULL) {
            link->tail = &link->head;
        }
        link->queued_bytes -= frame_size(outgoing->size, FRAME_MAC_BYTES);
    }
    pthread_mutex_unlock(&links->lock);
    return outgoing;
}

void
outgoing_free(outgoing_t *outgoing)
{
    free(outgoing->payload);
    free(outgoing);
}

size_t
links_with_queued(links_t *links, peer_link_t **out, size_t max)
{
    size_t found = 0;
    pthread_mutex_lock(&links->lock);
    for (size_t i = 0; i < links->count && found < max; i++) {
        if (links->list[i]->head != NULL) {
            out[found++] = links->list[i];
        }
    }
    pthread_mutex_unlock(&links->lock);
    return found;
}

size_t
links_queued_bytes(links_t *links)
{
    size_t bytes = 0;
    pthread_mutex_lock(&links->lock);
    for (size_t i = 0; i < links->count; i++) {
        bytes += links->list[i]->queued_bytes;
    }
    pthread_mutex_unlock(&links->lock);
    return bytes;
}

size_t
links_snapshot(links_t *links, peer_info_t *out, size_t max)
{
    pthread_mutex_lock(&links->lock);
    size_t count = links->count;
    for (size_t i = 0; i < count && i < max; i++) {
        const peer_link_t *link = links->list[i];
        out[i] = (peer_info_t){
            .incarnation = link->incarnation,
            .version = link->version,
            .queued_bytes = link->queued_bytes,
        };
        memcpy(out[i].name, link->name, NAME_SIZE);
        memcpy(out[i].zone, link->zone, NAME_SIZE);
    }
    pthread_mutex_unlock(&links->lock);
    return count;
}
