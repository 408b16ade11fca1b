/*
 * A daemon of the query tier on the users' platform.
 *
 *     yuccarun-tier            run with the settings the platform provides
 *     yuccarun-tier --check    check the settings and exit
 *     yuccarun-tier --check-config FILE [--against FILE] [--json]
 *                              check a configuration and exit
 *     yuccarun-tier --zone-price-ms MS   see docs/OPERATIONS.md
 */
#include "edge/event.h"
#include "edge/line_sink.h"
#include "platform/boot.h"
#include "tier/config_check.h"
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

enum { ZONE_PRICE_MS_MAX = 3600000 };

/* Interval for comparing the settings file with the settings in force: the
   file may change without a signal. */
#define SETTINGS_CHECK_S 2.0
/* Interval for writing buffered log lines: it saves writes, and few lines
   are lost if the process dies. */
#define LOG_FLUSH_S 0.1

typedef struct {
    node_t *node;
    boot_t boot; /* settings at the start */
    const char *path;
    char *text; /* text of the settings in force */
    line_sink_t *sink;
    int64_t zone_price_us; /* 0: by each route's goal */
} program_t;

/*
 * Read the settings file again and apply it if its text has changed.
 * log_unchanged: log an event if it has not.
 */
static void
settings_reload(program_t *program, bool log_unchanged)
{
    boot_t boot;
    char error[256];
    char *text = boot_load(program->path, error, sizeof(error));
    if (text != NULL && strcmp(text, program->text) == 0) {
        free(text);
        if (log_unchanged) {
            event_log(EVENT_SETTINGS_CHANGED, "changed=0 store_moved=0");
        }
        return;
    }
    if (text == NULL || !boot_parse(&boot, text, error, sizeof(error))) {
        event_log(EVENT_INPUT_REFUSED, "key=settings cause=%s", error);
        free(text);
        return;
    }
    free(program->text);
    program->text = text;
    node_reload(program->node, &boot);
}

static void
on_term(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)loop;
    (void)events;
    program_t *program = signal->data;
    node_shutdown(program->node);
}

static void
on_hup(struct ev_loop *loop, ev_signal *signal, int events)
{
    (void)loop;
    (void)events;
    settings_reload(signal->data, true);
}

static void
on_settings_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    settings_reload(timer->data, false);
}

static void
on_log_flush(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    program_t *program = timer->data;
    line_sink_flush(program->sink);
}

static void
signal_start(struct ev_loop *loop, ev_signal *signal, int number,
             void (*callback)(struct ev_loop *, ev_signal *, int), void *data)
{
    ev_signal_init(signal, callback, number);
    signal->data = data;
    ev_signal_start(loop, signal);
}

static void
timer_start(struct ev_loop *loop, ev_timer *timer, double every_s,
            void (*callback)(struct ev_loop *, ev_timer *, int), void *data)
{
    ev_timer_init(timer, callback, every_s, every_s);
    timer->data = data;
    ev_timer_start(loop, timer);
}

static int
program_run(program_t *program)
{
    char error[256];
    struct ev_loop *loop = ev_default_loop(EVBACKEND_EPOLL);
    if (loop == NULL) {
        fprintf(stderr, "yuccarun-tier: cannot create the event loop\n");
        return EXIT_START;
    }
    program->node = node_start(loop, &program->boot, error, sizeof(error));
    if (program->node == NULL) {
        event_log(EVENT_LISTEN_FAILED, "%s", error);
        return EXIT_START;
    }
    node_set_zone_price(program->node, program->zone_price_us);
    ev_signal term;
    ev_signal interrupt;
    ev_signal hup;
    ev_timer check;
    ev_timer flush;
    signal_start(loop, &term, SIGTERM, on_term, program);
    signal_start(loop, &interrupt, SIGINT, on_term, program);
    signal_start(loop, &hup, SIGHUP, on_hup, program);
    timer_start(loop, &check, SETTINGS_CHECK_S, on_settings_check, program);
    timer_start(loop, &flush, LOG_FLUSH_S, on_log_flush, program);
    ev_run(loop, 0);
    node_free(program->node);
    return EXIT_SUCCESS;
}

typedef struct {
    bool check;
    bool help;
    char *config;  /* file to check; NULL: run. Allocated */
    char *against; /* file to compare it with; NULL: none. Allocated */
    bool json;
    event_level_t level;
    int64_t zone_price_us; /* 0: not given */
} arguments_t;

/*
 * Parse the command line into *arguments. Returns EXIT_SUCCESS, or the exit
 * code after printing the error.
 */
static int
arguments_parse(arguments_t *arguments, int argc, char **argv)
{
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings and exit");
    struct arg_str *level =
        arg_str0(NULL, "log-level", "LEVEL", "debug, info, warn or error");
    struct arg_dbl *price =
        arg_dbl0(NULL, "zone-price-ms", "MS",
                 "time a caller may lose for an answer from its zone");
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_str *config =
        arg_str0(NULL, "check-config", "FILE", "check a configuration");
    struct arg_str *against =
        arg_str0(NULL, "against", "FILE", "compare it with the one in force");
    struct arg_lit *json = arg_lit0(NULL, "json", "write the report as JSON");
    struct arg_end *end = arg_end(4);
    void *table[] = {check, config, against, json, level, price, help, end};
    int status = EXIT_SUCCESS;
    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "yuccarun-tier");
        status = EXIT_USAGE;
    }
    else if (help->count > 0) {
        printf("usage: yuccarun-tier");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-22s %s\n");
    }
    else if (level->count > 0 &&
             !event_level_parse(level->sval[0], &arguments->level)) {
        fprintf(stderr, "yuccarun-tier: unknown log level '%s'\n",
                level->sval[0]);
        status = EXIT_USAGE;
    }
    else if (config->count == 0 && (against->count > 0 || json->count > 0)) {
        fprintf(stderr, "yuccarun-tier: --against and --json need "
                        "--check-config\n");
        status = EXIT_USAGE;
    }
    else if (price->count > 0 &&
             !(price->dval[0] >= 0 && price->dval[0] <= ZONE_PRICE_MS_MAX)) {
        fprintf(stderr, "yuccarun-tier: --zone-price-ms is not from 0 to %d\n",
                ZONE_PRICE_MS_MAX);
        status = EXIT_USAGE;
    }
    else if (price->count > 0) {
        /* A price of 0 would stand for none given: at 1 us any gain pays. */
        arguments->zone_price_us = (int64_t)(price->dval[0] * 1000) + 1;
    }
    arguments->config = config->count > 0 ? strdup(config->sval[0]) : NULL;
    arguments->against = against->count > 0 ? strdup(against->sval[0]) : NULL;
    arguments->json = json->count > 0;
    arguments->check = check->count > 0;
    arguments->help = help->count > 0;
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {.level = EVENT_LEVEL_INFO};
    int status = arguments_parse(&arguments, argc, argv);
    if (status == EXIT_SUCCESS && !arguments.help &&
        arguments.config != NULL) {
        status = (int)config_check_files(arguments.config, arguments.against,
                                         arguments.json);
        arguments.help = true;
    }
    free(arguments.config);
    free(arguments.against);
    if (status != EXIT_SUCCESS || arguments.help) {
        return status;
    }
    program_t program = {
        .path = boot_path(),
        .zone_price_us = arguments.zone_price_us,
    };
    char error[256];
    program.text = boot_load(program.path, error, sizeof(error));
    if (program.text == NULL ||
        !boot_parse(&program.boot, program.text, error, sizeof(error))) {
        fprintf(stderr, "yuccarun-tier: cannot load the settings: %s\n",
                error);
        free(program.text);
        return EXIT_START;
    }
    if (arguments.check) {
        printf("%s: settings are valid\n", program.path);
        free(program.text);
        return EXIT_SUCCESS;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    program.sink = line_sink_new(STDOUT_FILENO);
    if (program.sink == NULL) {
        fprintf(stderr, "yuccarun-tier: out of memory\n");
        free(program.text);
        return EXIT_START;
    }
    event_log_open_sink(arguments.level, program.boot.daemon_name,
                        line_sink_put, program.sink);
    status = program_run(&program);
    event_log_close();
    line_sink_free(program.sink);
    free(program.text);
    return status;
}
