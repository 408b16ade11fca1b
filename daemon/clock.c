#include "daemon/clock.h"

#include <time.h>

static int64_t
read_clock(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
clock_now_us(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

int64_t
clock_wall_us(void)
{
    return read_clock(CLOCK_REALTIME);
}

int64_t
clock_thread_us(void)
{
    return read_clock(CLOCK_THREAD_CPUTIME_ID);
}

int64_t
clock_process_us(void)
{
    return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}
