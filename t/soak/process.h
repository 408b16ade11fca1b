/*
 * Daemons as processes of their own, started and ended by signals.
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
    char settings_path[PATH_SIZE]; /* the file it is given */
    char log_path[PATH_SIZE];      /* its output is added to */
    pid_t pid;                     /* 0: it does not run */
} process_t;

typedef struct {
    const char *name;
    const char *zone;
    struct sockaddr_in callers, readiness, directory, control;
    struct sockaddr_in store; /* as this daemon reaches it */
    struct sockaddr_in seed;
    unsigned grace_s;
    unsigned retry_slack;
    double retry_ratio;
} daemon_settings_t;

/* Write the settings file; ends the program when that fails. */
void daemon_settings_write(const char *path,
                           const daemon_settings_t *settings);

void process_start(process_t *process);
void process_signal(const process_t *process, int number);

/* True once after it has ended by itself or by a signal. */
bool process_reap(process_t *process);

/* Kill it and wait for its end. */
void process_kill(process_t *process);

#endif
