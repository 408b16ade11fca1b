#include "daemon/clock.h"

#include <time.h>

enum { US_PER_S = 1000000, NS_PER_US = 1000 };

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
clock_thread_cpu_us(void)
{
    return read_clock(CLOCK_THREAD_CPUTIME_ID);
}

int64_t
clock_process_cpu_us(void)
{
    return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}

struct timespec
clock_timespec(int64_t at_us)
{
    return (struct timespec){
        .tv_sec = at_us / US_PER_S,
        .tv_nsec = (at_us % US_PER_S) * NS_PER_US,
    };
}

void
clock_cond_init(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}
