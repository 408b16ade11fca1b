/*
 * The time of the event loop's turn, read once for all that happens in it.
 *
 *     loop_clock_t clock;
 *     loop_clock_start(&clock, loop);
 *     int64_t now_us = loop_now_us();
 *     loop_clock_stop(&clock);
 */
#ifndef HTTP_LOOP_CLOCK_H
#define HTTP_LOOP_CLOCK_H

#include <ev.h>
#include <stdint.h>

typedef struct {
    struct ev_loop *loop;
    ev_check
        iteration_check; /* the loop has waited, and its callbacks come next */
} loop_clock_t;

void loop_clock_start(loop_clock_t *clock, struct ev_loop *loop);
void loop_clock_stop(loop_clock_t *clock);

/*
 * Monotonic microseconds at the start of the turn; the time itself where no
 * loop clock runs.
 */
int64_t loop_now_us(void);

#endif
