/*
 * standin-load: load generator that plays the callers of the tier. Sends a
 * seeded mix of queries, verifies every answer and prints one JSON object.
 */
#include "standin/lib/caller.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>

enum { CALLERS_OPEN_LOOP = 512, CALLERS_CLOSED_LOOP = 16 };

typedef struct {
    struct arg_str *entries;
    struct arg_str *zone;
    struct arg_str *audit;
    struct arg_str *mix;
    struct arg_int *seed;
    struct arg_dbl *rate;
    struct arg_int *callers;
    struct arg_int *count;
    struct arg_dbl *seconds;
    struct arg_int *deadline;
    struct arg_int *retries;
    struct arg_int *aborts;
    struct arg_int *poison;
    struct arg_str *json;
    struct arg_end *end;
} flags_t;

static int
int_flag(const struct arg_int *flag, int fallback)
{
    return flag->count > 0 ? flag->ival[0] : fallback;
}

static const char *
string_flag(const struct arg_str *flag, const char *fallback)
{
    return flag->count > 0 ? flag->sval[0] : fallback;
}

static bool
options_read(const flags_t *flags, caller_options_t *options)
{
    *options = (caller_options_t){
        .zone = string_flag(flags->zone, NULL),
        .audit_url = string_flag(flags->audit, NULL),
        .seed = (uint64_t)int_flag(flags->seed, 1),
        .rate = flags->rate->count > 0 ? flags->rate->dval[0] : 0,
        .count = (uint64_t)int_flag(flags->count, 0),
        .seconds = flags->seconds->count > 0 ? flags->seconds->dval[0] : 0,
        .deadline_ms = int_flag(flags->deadline, 0),
        .retries = (unsigned)int_flag(flags->retries, 0),
        .abort_per_mille = (unsigned)int_flag(flags->aborts, 0),
        .poison_every = (uint64_t)int_flag(flags->poison, 0),
    };
    options->callers = (unsigned)int_flag(
        flags->callers,
        options->rate > 0 ? CALLERS_OPEN_LOOP : CALLERS_CLOSED_LOOP);
    for (int i = 0; i < flags->entries->count; i++) {
        options->urls[options->url_count++] = flags->entries->sval[i];
    }
    if (!mix_parse(string_flag(flags->mix, mix_default), &options->mix)) {
        (void)fprintf(stderr, "standin-load: --mix must be "
                              "SERVICE=WEIGHT[:ONCE_PERCENT[:MS]],...\n");
        return false;
    }
    if (options->count == 0 && options->seconds <= 0) {
        (void)fprintf(stderr,
                      "standin-load: --count or --seconds must be given\n");
        return false;
    }
    return options->callers > 0;
}

static int
print_result(json_t *result, const char *path)
{
    if (result == NULL) {
        (void)fprintf(stderr, "standin-load: found no entry address\n");
        return 1;
    }
    int status = 0;
    if (path != NULL) {
        status = json_dump_file(result, path, JSON_COMPACT);
    }
    else {
        status = json_dumpf(result, stdout, JSON_COMPACT);
        (void)printf("\n");
    }
    json_decref(result);
    return status == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
    flags_t flags = {
        .entries = arg_strn("e", "entries", "URL", 1, CALLER_URLS_MAX,
                            "daemon to read the entry addresses from"),
        .zone = arg_str0("z", "zone", "NAME", "zone of the callers"),
        .audit = arg_str0(NULL, "audit", "URL",
                          "control URL of the upstreams: check refusals"),
        .mix =
            arg_str0("m", "mix", "SERVICE=WEIGHT[:ONCE%[:MS]],...", "queries"),
        .seed = arg_int0("s", "seed", "N", "seed of the queries"),
        .rate = arg_dbl0("r", "rate", "N", "queries per second; open loop"),
        .callers = arg_int0("c", "callers", "N", "limit of queries at a time"),
        .count = arg_int0("n", "count", "N", "queries to send"),
        .seconds = arg_dbl0("t", "seconds", "N", "duration of sending"),
        .deadline =
            arg_int0("d", "deadline-ms", "N", "deadline of every query"),
        .retries =
            arg_int0(NULL, "retries", "N", "retries of a refused query"),
        .aborts = arg_int0(NULL, "abort-per-mille", "N",
                           "share of connections to close on purpose"),
        .poison = arg_int0(NULL, "poison-every", "N",
                           "every Nth query crashes its upstreams"),
        .json = arg_str0("j", "json", "FILE", "write the result to FILE"),
        .end = arg_end(4),
    };
    void **table = (void **)&flags;
    size_t flag_count = sizeof(flags) / sizeof(void *);
    caller_options_t options;
    if (arg_parse(argc, argv, table) > 0 || !options_read(&flags, &options)) {
        arg_print_errors(stderr, flags.end, "standin-load");
        arg_print_glossary(stderr, table, "  %-34s %s\n");
        arg_freetable(table, flag_count);
        return 2;
    }
    // NOLINTNEXTLINE(bugprone-signal-handler)
    (void)signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int status =
        print_result(caller_run(&options), string_flag(flags.json, NULL));
    curl_global_cleanup();
    arg_freetable(table, flag_count);
    return status;
}
