/*
 * A loopback TCP proxy that injects faults into the connections it carries.
 *
 *     proxy_t *proxy = proxy_new(loop, &listen_address, &target_address);
 *     proxy_set_mode(proxy, PROXY_HOLD_FROM_SERVER, 0);
 *     proxy_set_mode(proxy, PROXY_PASS, 0);
 *     proxy_free(proxy);
 */
#ifndef T_SOAK_PROXY_H
#define T_SOAK_PROXY_H

#include <ev.h>
#include <netinet/in.h>
#include <stdint.h>

typedef struct proxy proxy_t;

typedef enum {
    PROXY_PASS,
    PROXY_DELAY,            /* delay the bytes of both directions */
    PROXY_HOLD_FROM_CLIENT, /* hold the client's bytes until the next mode */
    PROXY_HOLD_FROM_SERVER, /* hold the server's bytes until the next mode */
    /* connections open in this mode never forward again */
    PROXY_BLACKHOLE,
    PROXY_RESET, /* reset open connections, close new ones at once */
    PROXY_MODE_COUNT
} proxy_mode_t;

/*
 * Listen on listen_address and forward each connection to target_address.
 * Aborts if it cannot listen or is out of memory; proxy_free frees the proxy.
 */
proxy_t *proxy_new(struct ev_loop *loop,
                   const struct sockaddr_in *listen_address,
                   const struct sockaddr_in *target_address);

/* Close all connections and the listening socket. */
void proxy_free(proxy_t *proxy);

/*
 * Change the mode of open and new connections. Only PROXY_DELAY uses
 * delay_us, in microseconds.
 */
void proxy_set_mode(proxy_t *proxy, proxy_mode_t mode, int64_t delay_us);

#endif
