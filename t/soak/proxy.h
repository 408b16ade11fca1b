/*
 * A loopback proxy that harms the connections it carries.
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
    PROXY_DELAY,            /* bytes wait for a time, both ways */
    PROXY_HOLD_FROM_CLIENT, /* bytes of who connected wait until the next mode
                             */
    PROXY_HOLD_FROM_SERVER, /* bytes back to who connected do */
    PROXY_BLACKHOLE, /* what is open passes nothing any more, for good */
    PROXY_RESET,     /* what is open and what comes is reset */
    PROXY_MODE_COUNT
} proxy_mode_t;

/* Ends the program when it cannot listen. */
proxy_t *proxy_new(struct ev_loop *loop,
                   const struct sockaddr_in *listen_address,
                   const struct sockaddr_in *target_address);
void proxy_free(proxy_t *proxy);

/* delay_us matters for PROXY_DELAY only. */
void proxy_set_mode(proxy_t *proxy, proxy_mode_t mode, int64_t delay_us);

#endif
