/*
 * A daemon of the query tier on the users' platform.
 *
 *     yuccarun-tier            run by the settings the platform gives
 *     yuccarun-tier --check    judge the settings and end
 */
#include "edge/event.h"
#include "edge/line_sink.h"
#include "platform/boot.h"
#include "tier/node.h"

#include <argtable2.h>
#include <errno.h>
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { EXIT_USAGE = 2, EXIT_START = 3 };

/* How often the settings file is compared with what is in force: it may
   change without a signal. */
static const double SETTINGS_CHECK_S = 2.0;
/* How often lines are handed to the output: few writes, little lost. */
static const double LOG_FLUSH_S = 0.05;

typedef struct {
    node_t *node;
    boot_t boot;
    const char *path;
    line_sink_t *sink;
} program_t;

static void
settings_read(program_t *program)
{
    boot_t boot;
    char why[256];
    if (!boot_read(&boot, program->path, why, sizeof(why))) {
        event_log(EVENT_INPUT_REFUSED, "key=settings cause=%s", why);
        return;
    }
    if (memcmp(&boot, &program->boot, sizeof(boot)) != 0) {
        program->boot = boot;
        node_reload(program->node, &boot);
    }
}

static void
on_term(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)loop;
    (void)events;
    program_t *program = signal->data;
    node_leave(program->node);
}

static void
on_hup(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)loop;
    (void)events;
    settings_read(signal->data);
}

static void
on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    settings_read(timer->data);
}

static void
on_flush(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    program_t *program = timer->data;
    line_sink_flush(program->sink);
}

static int
program_run(program_t *program)
{
    char why[256];
    struct ev_loop *loop = ev_default_loop(EVBACKEND_EPOLL);
    if (loop == NULL) {
        fprintf(stderr, "yuccarun-tier: no event loop\n");
        return EXIT_START;
    }
    program->node = node_start(loop, &program->boot, why, sizeof(why));
    if (program->node == NULL) {
        event_log(EVENT_LISTEN_FAILED, "%s", why);
        line_sink_flush(program->sink);
        return EXIT_START;
    }
    ev_signal terms[2];
    ev_signal hup;
    ev_timer check;
    ev_timer flush;
    ev_signal_init(&terms[0], on_term, SIGTERM);
    ev_signal_init(&terms[1], on_term, SIGINT);
    ev_signal_init(&hup, on_hup, SIGHUP);
    ev_timer_init(&check, on_check, SETTINGS_CHECK_S, SETTINGS_CHECK_S);
    ev_timer_init(&flush, on_flush, LOG_FLUSH_S, LOG_FLUSH_S);
    terms[0].data = program;
    terms[1].data = program;
    hup.data = program;
    check.data = program;
    flush.data = program;
    ev_signal_start(loop, &terms[0]);
    ev_signal_start(loop, &terms[1]);
    ev_signal_start(loop, &hup);
    ev_timer_start(loop, &check);
    ev_timer_start(loop, &flush);
    ev_run(loop, 0);
    node_free(program->node);
    line_sink_flush(program->sink);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct arg_lit *check = arg_lit0(NULL, "check", "judge the settings only");
    struct arg_str *log_level =
        arg_str0(NULL, "log-level", "LEVEL", "debug, info, warn or error");
    struct arg_lit *help = arg_lit0("h", "help", "say this and end");
    struct arg_end *end = arg_end(4);
    void *table[] = {check, log_level, help, end};
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "yuccarun-tier");
        return EXIT_USAGE;
    }
    if (help->count > 0) {
        printf("usage: yuccarun-tier");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-22s %s\n");
        return EXIT_SUCCESS;
    }
    event_level_t level = EVENT_LEVEL_INFO;
    if (log_level->count > 0 &&
        !event_level_parse(log_level->sval[0], &level)) {
        fprintf(stderr, "yuccarun-tier: no log level '%s'\n",
                log_level->sval[0]);
        return EXIT_USAGE;
    }
    program_t program = {.path = boot_path()};
    char why[256];
    if (!boot_read(&program.boot, program.path, why, sizeof(why))) {
        fprintf(stderr, "yuccarun-tier: settings: %s\n", why);
        return EXIT_START;
    }
    if (check->count > 0) {
        printf("%s: good\n", program.path);
        return EXIT_SUCCESS;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    program.sink = line_sink_new(STDOUT_FILENO);
    if (program.sink == NULL) {
        fprintf(stderr, "yuccarun-tier: no memory\n");
        return EXIT_START;
    }
    event_log_open_sink(level, program.boot.daemon, line_sink_put,
                        program.sink);
    int status = program_run(&program);
    event_log_close();
    line_sink_free(program.sink);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
