/*
 * Daemons as processes of their own, started and ended by signals.
 *
 *     fleet_start(&process);
 *     fleet_signal(&process, SIGSTOP);
 *     if (fleet_has_ended(&process)) { fleet_start(&process); }
 */
#ifndef T_SOAK_FLEET_H
#define T_SOAK_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <sys/types.h>

enum { PATH_SIZE = 256 };

typedef struct {
    char program[PATH_SIZE];
    char settings[PATH_SIZE]; /* the file it is given */
    char log[PATH_SIZE];      /* its output is added to */
    pid_t pid;                /* 0: it does not run */
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
void fleet_write_settings(const char *path, const daemon_settings_t *settings);

void fleet_start(process_t *process);
void fleet_signal(const process_t *process, int number);

/* True once after it has ended by itself or by a signal. */
bool fleet_has_ended(process_t *process);

/* Kill it and wait for its end. */
void fleet_end(process_t *process);

#endif
