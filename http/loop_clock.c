#include "http/loop_clock.h"

#include "daemon/clock.h"

/* One for the process, which has one event loop; 0: no loop clock runs. */
static int64_t iteration_start_us;

static void
iteration_begin(struct ev_loop *loop, ev_check *check, int events)
{
    (void)loop;
    (void)check;
    (void)events;
    iteration_start_us = clock_now_us();
}

void
loop_clock_start(loop_clock_t *clock, struct ev_loop *loop)
{
    clock->loop = loop;
    iteration_start_us = clock_now_us();
    ev_check_init(&clock->iteration_check, iteration_begin);
    ev_set_priority(&clock->iteration_check, EV_MAXPRI);
    ev_check_start(loop, &clock->iteration_check);
}

void
loop_clock_stop(loop_clock_t *clock)
{
    ev_check_stop(clock->loop, &clock->iteration_check);
    iteration_start_us = 0;
}

int64_t
loop_now_us(void)
{
    return iteration_start_us != 0 ? iteration_start_us : clock_now_us();
}
