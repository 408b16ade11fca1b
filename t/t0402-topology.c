/* Tests of the topology, the VM list's parser and the partition's parser. */
#include "core/topology.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VM(name, more)                                                        \
    "{\"name\":\"" name "\",\"role\":\"upstream\",\"service\":\"s\","         \
    "\"zone\":\"z\",\"address\":\"127.0.0.1\",\"port\":7001,\"group\":"       \
    "1," more "}"
#define LIVE "\"state\":\"live\""

typedef struct {
    const char *name;
    const char *text;
    const char *message; /* a substring of the error; NULL: accepted */
} text_case_t;

static const text_case_t vm_cases[] = {
    {"VMs with the role entry are skipped",
     "{\"vms\":[{\"name\":\"e\",\"role\":\"entry\"}," VM("u", LIVE) "]}",
     NULL},
    {"keys of later list versions are ignored",
     "{\"vms\":[" VM("u", LIVE ",\"rack\":4") "]}", NULL},
    {"truncated", "{\"vms\":[" VM("u", LIVE), "line 1"},
    {"no list", "{}", "vms must be a list"},
    {"invalid role", "{\"vms\":[{\"name\":\"x\",\"role\":\"r\"}]}",
     "VM 1 (x): role"},
    {"invalid state", "{\"vms\":[" VM("u", "\"state\":\"gone\"") "]}",
     "VM 1 (u): state"},
    {"no state", "{\"vms\":[" VM("u", "\"rack\":1") "]}", "VM 1 (u): state"},
    {"invalid name", "{\"vms\":[" VM("u", LIVE) "," VM("U", LIVE) "]}",
     "VM 2 (U): name"},
    {"host name as address",
     "{\"vms\":[{\"name\":\"u\",\"role\":\"upstream\",\"service\":\"s\","
     "\"zone\":\"z\",\"address\":\"localhost\"}]}",
     "address"},
    {"port 0",
     "{\"vms\":[{\"name\":\"u\",\"role\":\"upstream\",\"service\":\"s\","
     "\"zone\":\"z\",\"address\":\"::1\",\"port\":0}]}",
     "port"},
};

START_TEST(test_vmlist)
{
    const text_case_t *c = &vm_cases[_i];
    upstream_info_t *upstreams;
    size_t count;
    error_t err = ERROR_INIT;
    status_t status =
        vmlist_parse(c->text, strlen(c->text), &upstreams, &count, &err);
    if (c->message == NULL) {
        ck_assert_msg(status == STATUS_OK, "%s: %s", c->name,
                      error_text(&err));
        ck_assert_uint_eq(count, 1);
        ck_assert_str_eq(upstreams[0].name, "u");
        ck_assert_uint_eq(upstreams[0].port, 7001);
    }
    else {
        ck_assert_msg(status == STATUS_INVALID, "%s", c->name);
        ck_assert_msg(strstr(error_text(&err), c->message) != NULL, "%s: %s",
                      c->name, error_text(&err));
    }
    free(upstreams);
}
END_TEST

#define SHARD(lo, hi) "{\"lo\":" lo ",\"hi\":" hi ",\"group\":3}"
#define SHARDS(list) "{\"generation\":4,\"shards\":[" list "]}"

static const text_case_t partition_cases[] = {
    {"out of order", SHARDS(SHARD("10", "4294967296") "," SHARD("0", "10")),
     NULL},
    {"gap", SHARDS(SHARD("0", "10") "," SHARD("11", "4294967296")), "shard 2"},
    {"overlap", SHARDS(SHARD("0", "10") "," SHARD("9", "4294967296")),
     "shard 2"},
    {"empty shard",
     SHARDS(
         SHARD("0", "10") "," SHARD("10", "10") "," SHARD("10", "4294967296")),
     "shard"},
    {"ends too early", SHARDS(SHARD("0", "10")), "last shard ends at 10"},
    {"ends too late", SHARDS(SHARD("0", "4294967297")), "shard 1"},
    {"starts too late", SHARDS(SHARD("1", "4294967296")), "shard 1"},
    {"no shards", SHARDS(""), "found 0 shards"},
    {"fraction", SHARDS(SHARD("0", "1.5")), "shard 1"},
    {"generation 0",
     "{\"generation\":0,\"shards\":[" SHARD("0", "4294967296") "]}",
     "generation"},
    {"not an object", "7", "invalid JSON"},
};

START_TEST(test_partition)
{
    const text_case_t *c = &partition_cases[_i];
    partition_t partition;
    error_t err = ERROR_INIT;
    status_t status =
        partition_parse("s", c->text, strlen(c->text), &partition, &err);
    if (c->message == NULL) {
        ck_assert_msg(status == STATUS_OK, "%s: %s", c->name,
                      error_text(&err));
        ck_assert_uint_eq(partition.shard_count, 2);
        ck_assert_uint_eq(partition.shards[0].range.lo, 0);
    }
    else {
        ck_assert_msg(status == STATUS_INVALID, "%s", c->name);
        ck_assert_msg(strstr(error_text(&err), c->message) != NULL, "%s: %s",
                      c->name, error_text(&err));
        ck_assert_ptr_null(partition.shards);
    }
    free(partition.shards);
}
END_TEST

static upstream_info_t
upstream_make(const char *name, const char *service, uint16_t group)
{
    upstream_info_t upstream = {.zone = "z", .port = 1, .group = group};
    snprintf(upstream.name, NAME_SIZE, "%s", name);
    snprintf(upstream.service, NAME_SIZE, "%s", service);
    return upstream;
}

START_TEST(test_lookups)
{
    shard_t shard = {.range = {0, KEY_END}, .group = 65535};
    partition_t partitions[] = {
        {.service = "t", .generation = 2, .shards = &shard, .shard_count = 1},
        {.service = "s", .generation = 9, .shards = &shard, .shard_count = 1},
    };
    upstream_info_t upstreams[] = {
        upstream_make("c", "t", 1),     upstream_make("b", "s", 65535),
        upstream_make("a", "s", 65535), upstream_make("d", "s", 0),
        upstream_make("e", "t", 0),
    };
    topology_t *topology;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(
        topology_new(upstreams, 5, partitions, 2, &topology, &err), STATUS_OK);
    size_t first;
    ck_assert_uint_eq(topology_group(topology, "s", 65535, &first), 2);
    ck_assert_str_eq(topology->upstreams[first].name, "a");
    ck_assert_str_eq(topology->upstreams[first + 1].name, "b");
    ck_assert_uint_eq(topology_group(topology, "s", 1, &first), 0);
    ck_assert_uint_eq(topology_group(topology, "u", 0, &first), 0);
    for (int i = 0; i < 5; i++) {
        ck_assert_int_eq(
            topology_upstream_index(topology, topology->upstreams[i].name), i);
    }
    ck_assert_int_eq(topology_upstream_index(topology, "f"), -1);
    ck_assert_uint_eq(topology_partition(topology, "s")->generation, 9);
    ck_assert_ptr_null(topology_partition(topology, "x"));
    topology_put(topology_get(topology));
    topology_put(topology);

    upstreams[0] = upstream_make("a", "t", 1);
    ck_assert_int_eq(
        topology_new(upstreams, 5, partitions, 2, &topology, &err),
        STATUS_INVALID);
    ck_assert_str_eq(err.peer, "a");
    partitions[0].service[0] = 's';
    ck_assert_int_eq(topology_new(NULL, 0, partitions, 2, &topology, &err),
                     STATUS_INVALID);
    shard.range.hi = 5;
    ck_assert_int_eq(topology_new(NULL, 0, partitions, 1, &topology, &err),
                     STATUS_INVALID);
    ck_assert_int_eq(topology_new(NULL, 0, NULL, 0, &topology, &err),
                     STATUS_OK);
    ck_assert_int_eq(topology_upstream_index(topology, "a"), -1);
    topology_put(topology);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("topology");
    tcase_add_loop_test(tests, test_vmlist, 0,
                        sizeof(vm_cases) / sizeof(vm_cases[0]));
    tcase_add_loop_test(tests, test_partition, 0,
                        sizeof(partition_cases) / sizeof(partition_cases[0]));
    tcase_add_test(tests, test_lookups);
    return suite_run("topology", tests);
}
