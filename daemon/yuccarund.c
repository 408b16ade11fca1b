#include "daemon/node.h"
#include "edge/event.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "0.1.0"

enum {
    EXIT_USAGE = 1,
    EXIT_SETTINGS = 2,
    EXIT_START = 3,
    EXIT_REQUESTS_CUT = 4 /* by a second signal or the shutdown's time limit */
};

typedef struct {
    struct arg_file *config;
    struct arg_lit *check;
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_end *end;
} options_t;

static int
report_failure(int code, const char *message)
{
    fprintf(stderr, "yuccarund: %s\n", message);
    return code;
}

static int
print_help(void *const *table)
{
    printf("Usage: yuccarund");
    arg_print_syntax(stdout, (void **)table, "\n");
    arg_print_glossary(stdout, (void **)table, "  %-20s %s\n");
    printf("\nExit codes: 0 all requests completed, 1 usage error, 2 invalid "
           "settings,\n"
           "3 cannot start, 4 some requests were cut off.\n");
    return 0;
}

/*
 * The first signal starts a graceful shutdown. Wait for the second, which ends
 * it early.
 */
static void *
wait_second_signal(void *context)
{
    node_t *node = context;
    sigset_t set;
    int signal_number;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigwait(&set, &signal_number);
    event_log(EVENT_HURRIED, "signal=%d", signal_number);
    node_end_drain(node);
    return NULL;
}

static int
run_daemon(const settings_t *settings)
{
    error_t err = ERROR_INIT;
    sigset_t set;
    int signal_number;
    pthread_t watcher;
    /* Block before any thread starts, so that only sigwait gets signals. */
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    node_t *node = node_start(settings, &err);
    if (node == NULL) {
        return report_failure(EXIT_START, error_text(&err));
    }
    sigwait(&set, &signal_number);
    bool watching =
        pthread_create(&watcher, NULL, wait_second_signal, node) == 0;
    bool complete = node_drain(node);
    if (watching) {
        pthread_cancel(watcher);
        pthread_join(watcher, NULL);
    }
    node_stop(node);
    return complete ? 0 : EXIT_REQUESTS_CUT;
}

static int
load_settings_and_run(const char *path, bool check_only)
{
    settings_t settings;
    error_t err = ERROR_INIT;
    if (settings_read(path, &settings, &err) != STATUS_OK ||
        settings_check(&settings, &err) != STATUS_OK) {
        return report_failure(EXIT_SETTINGS, error_text(&err));
    }
    if (check_only) {
        printf("%s: settings are valid\n", path);
        return 0;
    }
    event_level_t level = EVENT_LEVEL_INFO;
    event_level_parse(settings.log_level, &level);
    bool to_file = strcmp(settings.log_target, "stderr") != 0;
    if (!event_log_open(level, to_file ? settings.log_target : NULL,
                        settings.name)) {
        return report_failure(EXIT_START, "cannot open the log");
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int code = run_daemon(&settings);
    curl_global_cleanup();
    event_log_close();
    return code;
}

int
main(int argc, char **argv)
{
    options_t options = {
        .config = arg_file0(NULL, "config", "FILE", "settings file in YAML"),
        .check = arg_lit0(NULL, "check", "check the settings and exit"),
        .help = arg_lit0("h", "help", "print this help"),
        .version = arg_lit0(NULL, "version", "print the version"),
        .end = arg_end(4),
    };
    void *table[] = {options.config, options.check, options.help,
                     options.version, options.end};
    size_t table_size = sizeof(table) / sizeof(table[0]);
    int code;
    int errors = arg_parse(argc, argv, table);
    if (options.help->count > 0) {
        code = print_help(table);
    }
    else if (options.version->count > 0) {
        printf("yuccarund %s\n", VERSION);
        code = 0;
    }
    else if (errors > 0 || options.config->count == 0) {
        arg_print_errors(stderr, options.end, "yuccarund");
        code = report_failure(EXIT_USAGE,
                              "usage: yuccarund --config FILE [--check]");
    }
    else {
        code = load_settings_and_run(options.config->filename[0],
                                     options.check->count > 0);
    }
    arg_freetable(table, table_size);
    return code;
}
