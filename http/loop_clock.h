/*
 * A clock that is read once per iteration of the event loop, so that all
 * callbacks of an iteration use the same time.
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
    ev_check iteration_check; /* runs after polling, before other callbacks */
} loop_clock_t;

void loop_clock_start(loop_clock_t *clock, struct ev_loop *loop);
void loop_clock_stop(loop_clock_t *clock);

/*
 * Monotonic time in microseconds, read after polling in the loop's current
 * iteration, or read now if no loop clock runs.
 */
int64_t loop_now_us(void);

#endif
