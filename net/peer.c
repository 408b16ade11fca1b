#include "net/peer.h"

#include "net/peer_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gnutls/gnutls.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { LISTEN_BACKLOG = 1024 };

static status_t
listen_failed(const peer_net_settings_t *settings, error_t *err)
{
    return error_set(err, STATUS_UNAVAILABLE, "peer listen", settings->address,
                     "port %u: %s", settings->port, strerror(errno));
}

static bool
listen_address(const peer_net_settings_t *settings,
               struct sockaddr_storage *out, socklen_t *size)
{
    struct sockaddr_in *in4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;
    memset(out, 0, sizeof(*out));
    if (inet_pton(AF_INET, settings->address, &in4->sin_addr) == 1) {
        in4->sin_family = AF_INET;
        in4->sin_port = htons(settings->port);
        *size = sizeof(*in4);
        return true;
    }
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(settings->port);
    *size = sizeof(*in6);
    return inet_pton(AF_INET6, settings->address, &in6->sin6_addr) == 1;
}

static uint16_t
bound_port(int fd)
{
    union {
        struct sockaddr any;
        struct sockaddr_in in4;
        struct sockaddr_in6 in6;
    } at = {0};
    socklen_t size = sizeof(at);
    if (getsockname(fd, &at.any, &size) != 0) {
        return 0;
    }
    bool is4 = at.any.sa_family == AF_INET;
    return ntohs(is4 ? at.in4.sin_port : at.in6.sin6_port);
}

static status_t
net_listen(peer_net_t *net, error_t *err)
{
    const peer_net_settings_t *settings = &net->settings;
    struct sockaddr_storage at;
    socklen_t size;
    if (!listen_address(settings, &at, &size)) {
        return error_set(err, STATUS_INVALID, "peer listen", settings->address,
                         "the address must be an IP address");
    }
    int one = 1;
    net->listen_fd =
        socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (net->listen_fd < 0) {
        return listen_failed(settings, err);
    }
    (void)setsockopt(net->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one,
                     sizeof(one));
    if (bind(net->listen_fd, (struct sockaddr *)&at, size) != 0 ||
        listen(net->listen_fd, LISTEN_BACKLOG) != 0) {
        return listen_failed(settings, err);
    }
    net->port = bound_port(net->listen_fd);
    return STATUS_OK;
}

static bool
net_watch(peer_net_t *net, int *fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = fd};
    return epoll_ctl(net->epoll_fd, EPOLL_CTL_ADD, *fd, &event) == 0;
}

static status_t
net_start(peer_net_t *net, error_t *err)
{
    status_t status = net_listen(net, err);
    if (status != STATUS_OK) {
        return status;
    }
    net->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    net->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (net->wake_fd < 0 || net->epoll_fd < 0 ||
        !net_watch(net, &net->wake_fd) || !net_watch(net, &net->listen_fd)) {
        return listen_failed(&net->settings, err);
    }
    errno = pthread_create(&net->thread, NULL, peer_loop, net);
    return errno == 0 ? STATUS_OK : listen_failed(&net->settings, err);
}

static void
net_release(peer_net_t *net)
{
    int *fds[] = {&net->listen_fd, &net->wake_fd, &net->epoll_fd};
    for (size_t i = 0; i < sizeof(fds) / sizeof(fds[0]); i++) {
        if (*fds[i] >= 0) {
            close(*fds[i]);
        }
    }
    while (net->channels != NULL) {
        channel_t *next = net->channels->next;
        connection_free(net->channels->connection);
        free(net->channels);
        net->channels = next;
    }
    links_release(&net->links);
    dialer_release(&net->dialer);
    free(net->new_peers);
    pthread_cond_destroy(&net->drained);
    pthread_mutex_destroy(&net->lock);
    gnutls_memset(net->key, 0, sizeof(net->key));
    free(net);
}

static void
net_init(peer_net_t *net, const peer_net_settings_t *settings,
         const peer_ops_t *ops, void *ctx)
{
    net->settings = *settings;
    memcpy(net->key, settings->key.bytes, settings->key.size);
    net->settings.key.bytes = net->key;
    if (net->settings.pause_us == 0) {
        net->settings.pause_us = PEER_NET_PAUSE_US;
    }
    if (net->settings.linger_us == 0) {
        net->settings.linger_us = PEER_NET_LINGER_US;
    }
    net->ops = *ops;
    net->ctx = ctx;
    net->listen_fd = -1;
    net->wake_fd = -1;
    net->epoll_fd = -1;
    size_t queue_max = settings->queue_max_bytes;
    links_init(&net->links,
               queue_max == 0 ? PEER_NET_QUEUE_MAX_BYTES : queue_max);
    dialer_init(&net->dialer, settings->seed);
    pthread_mutex_init(&net->lock, NULL);
    pthread_condattr_t monotonic;
    pthread_condattr_init(&monotonic);
    pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
    pthread_cond_init(&net->drained, &monotonic);
    pthread_condattr_destroy(&monotonic);
}

peer_net_t *
peer_net_new(const peer_net_settings_t *settings, const peer_ops_t *ops,
             void *ctx, error_t *err)
{
    if (settings->key.size < AUTH_KEY_MIN_BYTES ||
        settings->key.size > AUTH_KEY_MAX_BYTES) {
        error_set(err, STATUS_INVALID, "peer listen", settings->address,
                  "the shared key has %zu bytes, expected %d to %d",
                  settings->key.size, AUTH_KEY_MIN_BYTES, AUTH_KEY_MAX_BYTES);
        return NULL;
    }
    peer_net_t *net = calloc(1, sizeof(*net));
    if (net == NULL) {
        error_set(err, STATUS_NO_MEMORY, "peer listen", settings->address,
                  "out of memory");
        return NULL;
    }
    net_init(net, settings, ops, ctx);
    if (net_start(net, err) != STATUS_OK) {
        net_release(net);
        return NULL;
    }
    return net;
}

void
peer_net_free(peer_net_t *net)
{
    if (net == NULL) {
        return;
    }
    (void)peer_net_drain(net, net->settings.linger_us);
    pthread_mutex_lock(&net->lock);
    net->stop = true;
    peer_wake_locked(net);
    pthread_mutex_unlock(&net->lock);
    pthread_join(net->thread, NULL);
    net_release(net);
}

uint16_t
peer_net_port(const peer_net_t *net)
{
    return net->port;
}

static bool
peer_is_self(const peer_net_t *net, const peer_address_t *peer)
{
    bool same_address = peer->port == net->port &&
                        strcmp(peer->address, net->settings.address) == 0;
    return same_address || strcmp(peer->name, net->settings.self.name) == 0;
}

status_t
peer_net_set_peers(peer_net_t *net, const peer_address_t *peers, size_t count,
                   error_t *err)
{
    if (count > PEER_NET_PEERS_MAX) {
        return error_set(err, STATUS_TOO_LARGE, "peer set", "",
                         "%zu peers, at most %d are allowed", count,
                         PEER_NET_PEERS_MAX);
    }
    peer_address_t *copy = calloc(count + 1, sizeof(*copy));
    if (copy == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "peer set", "",
                         "out of memory");
    }
    size_t kept = 0;
    for (size_t i = 0; i < count; i++) {
        if (!peer_is_self(net, &peers[i])) {
            copy[kept++] = peers[i];
        }
    }
    pthread_mutex_lock(&net->lock);
    free(net->new_peers);
    net->new_peers = copy;
    net->new_peer_count = kept;
    peer_wake_locked(net);
    pthread_mutex_unlock(&net->lock);
    return STATUS_OK;
}

status_t
peer_net_send(peer_net_t *net, const char *peer, uint64_t incarnation,
              const message_t *message, error_t *err)
{
    uint8_t *payload;
    size_t size;
    status_t status =
        message_encode(message, peer_clock_us(), &payload, &size, err);
    if (status != STATUS_OK) {
        return status;
    }
    status = links_enqueue(&net->links, peer, incarnation,
                           (uint8_t)message->type, payload, size, err);
    pthread_mutex_lock(&net->lock);
    if (status == STATUS_OK) {
        peer_wake_locked(net);
    }
    else {
        net->counters.refused_sends++;
    }
    pthread_mutex_unlock(&net->lock);
    if (status != STATUS_OK) {
        free(payload);
    }
    return status;
}

bool
peer_net_drain(peer_net_t *net, int64_t timeout_us)
{
    int64_t until_us = peer_clock_us() + timeout_us;
    struct timespec until = {
        .tv_sec = until_us / 1000000,
        .tv_nsec = until_us % 1000000 * 1000,
    };
    pthread_mutex_lock(&net->lock);
    /*
     * Wait for two rounds, since the round in progress may have counted the
     * unsent bytes before the last message was queued.
     */
    uint64_t target = net->drain_round + 2;
    net->drain_waiters++;
    peer_wake_locked(net);
    int failed = 0;
    while (net->drain_round < target && failed == 0) {
        failed = pthread_cond_timedwait(&net->drained, &net->lock, &until);
    }
    bool drained = net->drain_round >= target;
    net->drain_waiters--;
    pthread_mutex_unlock(&net->lock);
    return drained;
}

size_t
peer_net_peers(peer_net_t *net, peer_info_t *out, size_t max)
{
    return links_snapshot(&net->links, out, max);
}

peer_counters_t
peer_net_counters(peer_net_t *net)
{
    clockid_t clock;
    struct timespec cpu = {0};
    if (pthread_getcpuclockid(net->thread, &clock) == 0) {
        clock_gettime(clock, &cpu);
    }
    pthread_mutex_lock(&net->lock);
    peer_counters_t counters = net->counters;
    pthread_mutex_unlock(&net->lock);
    counters.cpu_us = (int64_t)cpu.tv_sec * 1000000 + cpu.tv_nsec / 1000;
    return counters;
}
