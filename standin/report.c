/*
 * standin-report: prints the figures of a demonstration as a table, and on the
 * last line as one JSON object.
 *
 *     standin-report LOAD COUNT [ZONE COUNT_AT_COMMAND COUNT_AT_RETURN]
 *     standin-report --phase [NAME LOAD]   one line, or the heading
 *     standin-report --upstreams COUNT     the counters of the upstreams
 *
 * LOAD is the result of standin-load. The COUNT files are replies of the
 * upstreams' GET /count. COUNT is from the end, COUNT_AT_COMMAND from when the
 * operator took ZONE out of service, and COUNT_AT_RETURN from just before ZONE
 * returned to service.
 *
 * extra_load is the number of repeated parts divided by the number of parts
 * that were started for the first time. zone_out_ms is the time from the
 * command to the last start of a part in the zone.
 */
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    json_t *load;
    json_t *count;
    json_t *at_command; /* NULL: no zone was taken out of service */
    json_t *at_return;
    const char *zone;
} figures_t;

static json_int_t
integer(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

static double
real(const json_t *object, const char *name)
{
    return json_number_value(json_object_get(object, name));
}

static json_int_t
total(const figures_t *figures, const char *name)
{
    return integer(json_object_get(figures->count, "totals"), name);
}

static void
print_services(const figures_t *figures)
{
    const char *name = NULL;
    json_t *row = NULL;
    (void)printf("%-15s %7s %7s %7s %7s %7s %6s %9s %8s %8s\n", "service",
                 "queries", "whole", "partial", "refused", "unknown", "late",
                 "coverage", "p50 ms", "p99 ms");
    json_object_foreach(json_object_get(figures->load, "services"), name, row)
    {
        (void)printf("%-15s %7lld %7lld %7lld %7lld %7lld %6lld %9.5f %8.1f "
                     "%8.1f\n",
                     name, integer(row, "queries"), integer(row, "whole"),
                     integer(row, "partial"), integer(row, "refused"),
                     integer(row, "unknown") + integer(row, "lost"),
                     integer(row, "late"), real(row, "coverage"),
                     real(row, "p50_ms"), real(row, "p99_ms"));
    }
}

static void
print_reasons(const figures_t *figures)
{
    const char *name = NULL;
    json_t *value = NULL;
    (void)printf("  reasons of queries that were not whole:");
    json_object_foreach(json_object_get(figures->load, "reasons"), name, value)
    {
        (void)printf(" %s %lld", name, json_integer_value(value));
    }
    (void)printf(
        "\n  false refusals %lld, sent again %lld, connections closed "
        "on purpose %lld\n",
        integer(figures->load, "false_not_run"),
        integer(figures->load, "sent_again"),
        integer(figures->load, "aborted"));
}

static void
print_seconds(const figures_t *figures)
{
    size_t second = 0;
    json_t *value = NULL;
    (void)printf("  queries not whole, by second:");
    json_array_foreach(json_object_get(figures->load, "not_whole_by_second"),
                       second, value)
    {
        (void)printf(" %lld", json_integer_value(value));
    }
    (void)printf("\n");
}

static void
print_upstreams(const figures_t *figures)
{
    static const char *const names[] = {
        "started",    "repeated",    "doubled",         "drain_violations",
        "shed",       "cold_excess", "cold_violations", "slot_violations",
        "no_version", "moved",       "expired",         "failed",
        "cancelled",  "crashes",     "connections",     "connections_refused"};
    (void)printf("\nat the upstreams:");
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        (void)printf(" %s %lld", names[i], total(figures, names[i]));
    }
    (void)printf("\n\n");
}

static json_t *
zone_out_ms(const figures_t *figures)
{
    if (figures->at_command == NULL) {
        return json_null();
    }
    const json_t *zone = json_object_get(
        json_object_get(figures->at_return, "zones"), figures->zone);
    json_int_t last_ms =
        integer(zone, "last_ms") - integer(figures->at_command, "now_ms");
    return json_integer(last_ms > 0 ? last_ms : 0);
}

static json_t *
summary(const figures_t *figures)
{
    const json_t *load = figures->load;
    json_int_t repeated = total(figures, "repeated");
    json_int_t first = total(figures, "started") - repeated;
    double extra = first > 0 ? (double)repeated / (double)first : 0;
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:o}",
        "queries", integer(load, "queries"), "whole", integer(load, "whole"),
        "partial", integer(load, "partial"), "refused",
        integer(load, "refused"), "unknown",
        integer(load, "unknown") + integer(load, "lost"), "doubled",
        total(figures, "doubled"), "wrong", integer(load, "wrong"), "coverage",
        real(load, "coverage"), "p50_ms", real(load, "p50_ms"), "p99_ms",
        real(load, "p99_ms"), "extra_load", extra, "zone_out_ms",
        zone_out_ms(figures));
}

static void
print_phase_heading(void)
{
    (void)printf("%-16s %7s %7s %7s %7s %7s %5s %5s %5s %6s %9s %7s %7s\n",
                 "phase", "queries", "whole", "partial", "refused", "unknown",
                 "lost", "late", "wrong", "false", "coverage", "p50 ms",
                 "p99 ms");
}

static void
print_phase(const char *name, const json_t *load)
{
    (void)printf("%-16s %7lld %7lld %7lld %7lld %7lld %5lld %5lld %5lld "
                 "%6lld %9.5f %7.1f %7.1f\n",
                 name, integer(load, "queries"), integer(load, "whole"),
                 integer(load, "partial"), integer(load, "refused"),
                 integer(load, "unknown"), integer(load, "lost"),
                 integer(load, "late"), integer(load, "wrong"),
                 integer(load, "false_not_run"), real(load, "coverage"),
                 real(load, "p50_ms"), real(load, "p99_ms"));
}

static int
run_phase(int argc, char **argv)
{
    if (argc != 4) {
        print_phase_heading();
        return 0;
    }
    json_t *load = json_load_file(argv[3], 0, NULL);
    figures_t figures = {.load = load};
    if (load != NULL) {
        print_phase(argv[2], load);
        if (integer(load, "whole") < integer(load, "queries")) {
            print_reasons(&figures);
            print_seconds(&figures);
        }
    }
    json_decref(load);
    return load != NULL ? 0 : 1;
}

static int
run_upstreams(const char *path)
{
    figures_t figures = {.count = json_load_file(path, 0, NULL)};
    if (figures.count != NULL) {
        print_upstreams(&figures);
    }
    json_decref(figures.count);
    return figures.count != NULL ? 0 : 1;
}

static bool
figures_read(figures_t *figures, int argc, char **argv)
{
    *figures = (figures_t){.load = json_load_file(argv[1], 0, NULL),
                           .count = json_load_file(argv[2], 0, NULL)};
    if (argc == 3) {
        return figures->load != NULL && figures->count != NULL;
    }
    figures->zone = argv[3];
    figures->at_command = json_load_file(argv[4], 0, NULL);
    figures->at_return = json_load_file(argv[5], 0, NULL);
    return figures->load != NULL && figures->count != NULL &&
           figures->at_command != NULL && figures->at_return != NULL;
}

static void
figures_release(figures_t *figures)
{
    json_decref(figures->load);
    json_decref(figures->count);
    json_decref(figures->at_command);
    json_decref(figures->at_return);
}

static void
print_figures(const figures_t *figures)
{
    print_services(figures);
    print_reasons(figures);
    print_seconds(figures);
    print_upstreams(figures);
    json_t *json = summary(figures);
    (void)json_dumpf(json, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
    (void)printf("\n");
    json_decref(json);
}

int
main(int argc, char **argv)
{
    if (argc >= 2 && strcmp(argv[1], "--phase") == 0) {
        return run_phase(argc, argv);
    }
    if (argc == 3 && strcmp(argv[1], "--upstreams") == 0) {
        return run_upstreams(argv[2]);
    }
    if (argc != 3 && argc != 6) {
        (void)fprintf(stderr, "usage: standin-report LOAD COUNT "
                              "[ZONE COUNT_AT_COMMAND COUNT_AT_RETURN]\n");
        return 2;
    }
    figures_t figures;
    bool read = figures_read(&figures, argc, argv);
    if (read) {
        print_figures(&figures);
    }
    else {
        (void)fprintf(stderr, "standin-report: cannot read the JSON files\n");
    }
    figures_release(&figures);
    return read ? 0 : 1;
}
