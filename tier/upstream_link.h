/*
 * HTTP connections to upstreams: kept open, reused, and without pipelining.
 *
 * A response is accepted only if it is complete, valid HTTP, signed, and
 * carries the request's own id, or none as the first one of its connection.
 * Any other end of an attempt is reported with a reply kind that says whether
 * the request may have run. A request is sent on a connection once at most, so
 * that its id tells the responses to its sends apart.
 *
 *     upstream_links_t *links = upstream_links_new(loop, &ops, owner);
 *     upstream_links_send(links, attempt, now_us);
 *     upstream_links_sweep(links, now_us);   // periodically
 */
#ifndef TIER_UPSTREAM_LINK_H
#define TIER_UPSTREAM_LINK_H

#include "tier/engine.h"

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct upstream_links upstream_links_t;

typedef struct {
    /* An attempt has ended, with its result; the connections don't refer to it
       any more. reply is valid during the call. */
    void (*replied)(void *owner, attempt_t *attempt, const reply_t *reply,
                    int64_t now_us);
    /* A connect has ended. probe: it was started by upstream_links_probe. */
    void (*connect_ended)(void *owner, const instance_t *instance, bool probe,
                          bool connected, int64_t now_us);
} upstream_links_ops_t;

typedef struct {
    uint32_t open;   /* connections, connecting ones included */
    uint64_t opened; /* connects started */
    uint64_t reused; /* requests sent on an open connection */
    uint64_t failed; /* connects that failed */
} upstream_links_stats_t;

/* NULL: out of memory. ops must outlive the links. */
upstream_links_t *upstream_links_new(struct ev_loop *loop,
                                     const upstream_links_ops_t *ops,
                                     void *owner);

/* Close all connections, without reports on their attempts. */
void upstream_links_free(upstream_links_t *links);

/* Send the attempt. False: no connection can be opened, or the request could
   not be written whole; replied is not called. */
bool upstream_links_send(upstream_links_t *links, attempt_t *attempt,
                         int64_t now_us);

/* Connect to the instance without a request, to learn whether it can be
   reached. connect_ended is called with the result, perhaps within the call.
   An established connection is kept for requests. */
void upstream_links_probe(upstream_links_t *links, instance_t *instance,
                          int64_t now_us);

/* Wait for the response until until_us at most, so that the connection can be
   reused; replied is called in either case. */
void upstream_links_abandon(attempt_t *attempt, int64_t until_us);

/* Close the attempt's connection now; replied is not called. */
void upstream_links_cancel(attempt_t *attempt);

/* Close connections that exceed a time limit: connecting, abandoned or idle;
   and idle connections to upstreams that drain or are not listed. */
void upstream_links_sweep(upstream_links_t *links, int64_t now_us);

const upstream_links_stats_t *
upstream_links_stats(const upstream_links_t *links);

#endif
