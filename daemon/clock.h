/*
 * Clocks of the process. Only code that does I/O reads them; code that makes
 * decisions takes the time as an argument.
 */
#ifndef DAEMON_CLOCK_H
#define DAEMON_CLOCK_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/* Monotonic time in microseconds. */
int64_t clock_now_us(void);

/* Processor time of the calling thread in microseconds. */
int64_t clock_thread_cpu_us(void);

/* Processor time of the process in microseconds. */
int64_t clock_process_cpu_us(void);

/* Wall-clock time in microseconds since 1970. */
int64_t clock_wall_us(void);

/* Convert a monotonic time in microseconds for pthread_cond_timedwait. */
struct timespec clock_timespec(int64_t at_us);

/* Initialize a condition whose timed waits use the monotonic clock. */
void clock_cond_init(pthread_cond_t *condition);

#endif
