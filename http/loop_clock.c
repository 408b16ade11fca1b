#include "http/loop_clock.h"

#include "daemon/clock.h"

/* One loop a process; 0: none has a clock. */
static int64_t turn_us;

static void
turn_begins(struct ev_loop *loop, ev_check *check, int events)
{
    (void)loop;
    (void)check;
    (void)events;
    turn_us = clock_now_us();
}

void
loop_clock_start(loop_clock_t *clock, struct ev_loop *loop)
{
    clock->loop = loop;
    turn_us = clock_now_us();
    ev_check_init(&clock->turn, turn_begins);
    ev_set_priority(&clock->turn, EV_MAXPRI);
    ev_check_start(loop, &clock->turn);
}

void
loop_clock_stop(loop_clock_t *clock)
{
    ev_check_stop(clock->loop, &clock->turn);
    turn_us = 0;
}

int64_t
loop_now_us(void)
{
    return turn_us != 0 ? turn_us : clock_now_us();
}
