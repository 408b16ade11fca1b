#include "t/soak/process.h"

#include "t/lib/tier_address.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

void
daemon_settings_write(const char *path, const daemon_settings_t *settings)
{
    const struct {
        const char *name;
        const struct sockaddr_in *address;
    } addresses[] = {
        {"listen.front", &settings->callers},
        {"listen.ready_addr", &settings->readiness},
        {"listen.directory", &settings->directory},
        {"listen.control", &settings->control},
        {"platform.addr", &settings->store},
        {"seeds", &settings->seed},
    };
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
        abort();
    }
    fprintf(file, "node_name=%s\nzone=%s\nregion=r\nbootstrap=false\n",
            settings->name, settings->zone);
    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        char text[64];
        fprintf(file, "%s=%s\n", addresses[i].name,
                address_text(addresses[i].address, text, sizeof(text)));
    }
    fprintf(file,
            "platform.min_ttl_ms=1000\nplatform.history_s=20\n"
            "heartbeat_ms=1200\nbounds.drain_ms=3000\nbounds.grace_s=%u\n"
            "bounds.ttl_max_s=5\nbounds.retry_ratio=%g\n"
            "bounds.retry_slack=%u\nlimits.max_fds=1000\n"
            "limits.memory_mb=260\nlimits.cpu_share=1\nlimits.cores=1\n"
            "limits.link_mbps=1000\n",
            settings->grace_s, settings->retry_ratio, settings->retry_slack);
    fclose(file);
}

void
process_start(process_t *process)
{
    process->pid = fork();
    if (process->pid != 0) {
        return;
    }
    /* The kernel kills the daemon when the test ends, even by a crash. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(process->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (fd < 0 || dup2(fd, STDOUT_FILENO) < 0 || dup2(fd, STDERR_FILENO) < 0 ||
        setenv("YUCCARUN_BOOT", process->settings_path, 1) != 0) {
        _exit(126);
    }
    execl(process->program_path, process->program_path, (char *)NULL);
    _exit(127);
}

void
process_signal(const process_t *process, int number)
{
    if (process->pid > 0) {
        kill(process->pid, number);
    }
}

bool
process_reap(process_t *process)
{
    if (process->pid <= 0 || waitpid(process->pid, NULL, WNOHANG) == 0) {
        return false;
    }
    process->pid = 0;
    return true;
}

void
process_kill(process_t *process)
{
    if (process->pid > 0) {
        kill(process->pid, SIGKILL);
        while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR) {
        }
        process->pid = 0;
    }
}
