/*
 * Feeds mutated input to the parsers of external text. A parser must return
 * STATUS_OK or STATUS_INVALID with a message, and not read past the input.
 */
#include "core/topology.h"
#include "edge/operator_request.h"
#include "edge/settings.h"
#include "t/lib/suite.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    ROUNDS = 4000, /* mutated texts per parser */
    TEXT_MAX = 2048,
    EDITS_MAX = 4
};

#define ROW                                                                   \
    "{\"service\":\"s\",\"class\":\"desk\",\"deadline_ms\":300,"              \
    "\"upstream_slots\":4,\"upstream_connections\":35,\"zone_slots\":60,"     \
    "\"service_slots\":120,\"zone_limits\":{\"z\":4}}"

/* Parses a text, checks an accepted result and frees it. */
typedef status_t (*reader_t)(const char *text, size_t size, error_t *err);

static status_t
read_config(const char *text, size_t size, error_t *err)
{
    config_t *config;
    status_t status = config_parse_json(text, size, &config, err);
    if (status == STATUS_OK) {
        char *again = config_format_json(config);
        config_t *copy;
        ck_assert_int_eq(config_check(config, NULL), STATUS_OK);
        ck_assert_int_eq(config_parse_json(again, strlen(again), &copy, err),
                         STATUS_OK);
        config_put(copy);
        config_put(config);
        free(again);
    }
    return status;
}

static status_t
read_table(const char *text, size_t size, error_t *err)
{
    config_t *config;
    table_fault_t fault;
    status_t status = table_parse_yaml(text, size, &config, &fault, err);
    if (status == STATUS_OK) {
        ck_assert_int_eq(config_check(config, NULL), STATUS_OK);
        ck_assert_uint_gt(config->row_count, 0);
    }
    ck_assert(status != STATUS_INVALID || fault.message[0] != '\0');
    config_put(config);
    return status;
}

static status_t
read_settings(const char *text, size_t size, error_t *err)
{
    settings_t settings;
    status_t status = settings_parse("f", text, size, &settings, err);
    if (status == STATUS_OK) {
        ck_assert_uint_ge(settings.shards, 1);
        ck_assert_uint_le(settings.shards, 64);
        ck_assert_uint_le(settings.peer_count, SETTINGS_PEERS_MAX);
    }
    return status;
}

static status_t
read_vmlist(const char *text, size_t size, error_t *err)
{
    upstream_info_t *upstreams;
    size_t count;
    topology_t *topology = NULL;
    status_t status = vmlist_parse(text, size, &upstreams, &count, err);
    if (status == STATUS_OK) {
        status = topology_new(upstreams, count, NULL, 0, &topology, err);
    }
    topology_put(topology);
    free(upstreams);
    return status;
}

static status_t
read_partition(const char *text, size_t size, error_t *err)
{
    partition_t partition;
    status_t status = partition_parse("s", text, size, &partition, err);
    uint64_t next = 0;
    for (size_t i = 0; i < partition.shard_count; i++) {
        ck_assert_uint_eq(partition.shards[i].range.lo, next);
        next = partition.shards[i].range.hi;
    }
    ck_assert(status != STATUS_OK || next == KEY_END);
    free(partition.shards);
    return status;
}

static status_t
read_edit(const char *text, size_t size, error_t *err)
{
    change_edit_t edit = {.kind = CHANGE_ROWS};
    config_t *rows;
    operator_fault_t fault = {0};
    status_t status = operator_edit_read(text, size, &edit, &rows, &fault);
    config_put(rows);
    return error_set(err, status, "read edit", "body", "%s",
                     fault.table.message);
}

static const struct {
    const char *name;
    reader_t read;
    const char *text;
} readers[] = {
    {"configuration", read_config,
     "{\"version\":2,\"change\":\"c\",\"by\":\"a\",\"history\":[{\"version\":"
     "2,"
     "\"kind\":\"vm\",\"change\":\"c\",\"by\":\"a\"}],\"rows\":[" ROW
     "],\"zones\":{\"z\":\"out\"},\"vms\":{\"v\":\"out\"}}"},
    {"table", read_table,
     "rows:\n- &a\n  service: s\n  class: desk\n  deadline_ms: 300\n"
     "  upstream_slots: 4\n  upstream_connections: 35\n  zone_slots: 60\n"
     "  service_slots: 120\n  zone_limits: {z: 4, y: 5}\n"},
    {"settings", read_settings,
     "name: a\nzone: z\nkey_file: k\ntoken_file: t\nshards: 2\n"
     "peers: ['127.0.0.1:90', '[::1]:9']\nlog: {level: warn}\n"
     "listen: {address: 127.0.0.1, http_port: 1, peer_port: 2}\n"
     "store: {url: 'http://h:1'}\nvmlist: {url: 'http://h:2'}\n"},
    {"VM list", read_vmlist,
     "{\"vms\":[{\"name\":\"u\",\"role\":\"upstream\",\"service\":\"s\","
     "\"zone\":\"z\",\"address\":\"127.0.0.1\",\"port\":7,\"group\":1,"
     "\"state\":\"live\"},{\"name\":\"e\",\"role\":\"entry\"}]}"},
    {"partition", read_partition,
     "{\"generation\":4,\"shards\":[{\"lo\":0,\"hi\":9,\"group\":1},"
     "{\"lo\":9,\"hi\":4294967296,\"group\":2}]}"},
    {"edit", read_edit,
     "{\"based_on\":1,\"by\":\"a\",\"change\":\"c\",\"rows\":[" ROW "]}"},
};

typedef struct {
    uint64_t seed;
    uint64_t draws;
} prng_t;

static size_t
prng_below(prng_t *prng, size_t below)
{
    prng->draws++;
    return XXH64(&prng->draws, sizeof(prng->draws), prng->seed) % below;
}

/* Changes, deletes or repeats bytes or truncates text; returns its size. */
static size_t
mutate(prng_t *prng, char *text, size_t size)
{
    static const char special[] = "{}[]\":,-&*!|>'#\n\t \\0189az\xff\x80";
    size_t edits = 1 + prng_below(prng, EDITS_MAX);
    for (size_t i = 0; i < edits && size > 1; i++) {
        size_t at = prng_below(prng, size);
        size_t span = 1 + prng_below(prng, size - at < 16 ? size - at : 16);
        switch (prng_below(prng, 5)) {
        case 0:
            text[at] = special[prng_below(prng, sizeof(special))];
            break;
        case 1:
            text[at] ^= (char)(1U << prng_below(prng, 8));
            break;
        case 2:
            span = span < size - at ? span : size - at;
            memmove(text + at, text + at + span, size - at - span);
            size -= span;
            break;
        case 3:
            if (size + span <= TEXT_MAX && at + span <= size) {
                memmove(text + at + span, text + at, size - at);
                size += span;
            }
            break;
        default:
            size = prng_below(prng, 8) == 0 ? at : size;
            break;
        }
    }
    return size;
}

START_TEST(test_mutated)
{
    prng_t prng = {.seed = (uint64_t)_i};
    unsigned int accepted = 0;
    unsigned int rejected = 0;
    size_t original_size = strlen(readers[_i].text);
    error_t err = ERROR_INIT;
    ck_assert_msg(readers[_i].read(readers[_i].text, original_size, &err) ==
                      STATUS_OK,
                  "%s: %s", readers[_i].name, error_text(&err));
    for (int round = 0; round < ROUNDS; round++) {
        char text[TEXT_MAX];
        memcpy(text, readers[_i].text, original_size);
        size_t size = mutate(&prng, text, original_size);
        /* A copy without slack lets the sanitizer detect an overread. */
        char *exact_copy = malloc(size + (size == 0));
        memcpy(exact_copy, text, size);
        err = (error_t)ERROR_INIT;
        status_t status = readers[_i].read(exact_copy, size, &err);
        free(exact_copy);
        ck_assert_msg(status == STATUS_OK || status == STATUS_INVALID,
                      "%s, round %d: %s", readers[_i].name, round,
                      error_text(&err));
        ck_assert(status == STATUS_OK || err.message[0] != '\0');
        accepted += status == STATUS_OK;
        rejected += status != STATUS_OK;
    }
    /* Too few accepted or rejected texts would make the test worthless. */
    ck_assert_uint_gt(accepted, ROUNDS / 100);
    ck_assert_uint_gt(rejected, ROUNDS / 4);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("mutated");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_mutated, 0,
                        sizeof(readers) / sizeof(readers[0]));
    return suite_run("mutated", tests);
}
