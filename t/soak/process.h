/*
 * Daemon processes: write their settings, start, signal and reap them.
 *
 *     process_start(&process);
 *     process_signal(&process, SIGSTOP);
 *     if (process_reap(&process)) { process_start(&process); }
 */
#ifndef T_SOAK_PROCESS_H
#define T_SOAK_PROCESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <sys/types.h>

enum { PATH_SIZE = 256 };

typedef struct {
    char program_path[PATH_SIZE];
    char settings_path[PATH_SIZE]; /* passed in YUCCARUN_BOOT */
    char log_path[PATH_SIZE];      /* stdout and stderr are appended */
    pid_t pid;                     /* 0: not running */
} process_t;

typedef struct {
    const char *name;
    const char *zone;
    struct sockaddr_in callers, readiness, directory, control;
    struct sockaddr_in store; /* address at which this daemon reaches it */
    struct sockaddr_in seed;
    unsigned grace_s;
    unsigned retry_slack;
    double retry_ratio;
} daemon_settings_t;

/* Write the settings file; aborts if it cannot be opened. */
void daemon_settings_write(const char *path,
                           const daemon_settings_t *settings);

/*
 * Start program_path; all three paths must be set. The child is killed when
 * this process ends. It exits with status 126 if its log or its environment
 * cannot be set up, and with 127 if the program cannot be executed.
 */
void process_start(process_t *process);

/* Send a signal; no effect if the process is not running. */
void process_signal(const process_t *process, int number);

/*
 * Collect the exit of a process that has ended by itself or by a signal.
 * Returns true once per exit; process_start may follow.
 */
bool process_reap(process_t *process);

/* Send SIGKILL and wait for the exit; no effect if it is not running. */
void process_kill(process_t *process);

#endif
