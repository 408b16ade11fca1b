/*
 * Parsers of external input, fed with randomly mutated text: none may read or
 * write out of bounds (found by the address sanitizer) or loop forever.
 */
#include "http/message.h"
#include "platform/boot.h"
#include "platform/documents.h"
#include "platform/kv.h"
#include "t/lib/suite.h"
#include "tier/fleet_state.h"

#include <stdlib.h>
#include <string.h>

enum { ROUNDS = 4000, SIZE_MAX_BYTES = 2048 };

typedef void (*feed_fn_t)(const char *bytes, size_t size);

static void
feed_http(http_kind_t kind, const char *bytes, size_t size)
{
    static const http_limits_t limits = {.max_header_bytes = 1024,
                                         .max_body_bytes = 256};
    http_reader_t reader;
    http_reader_init(&reader, kind, &limits);
    size_t offset = 0;
    int messages = 0;
    while (offset < size) {
        size_t used = 0;
        size_t chunk = size - offset < 37 ? size - offset : 37;
        http_state_t state =
            http_reader_feed(&reader, bytes + offset, chunk, &used);
        ck_assert_uint_le(used, chunk);
        offset += used;
        if (state == HTTP_DONE) {
            ck_assert_uint_le(buffer_size(&reader.message.body), 256);
            (void)http_header_find(&reader.message, "Host");
            http_reader_next(&reader);
            ck_assert_int_lt(++messages, 200);
        }
        else if (state != HTTP_INCOMPLETE) {
            break;
        }
    }
    (void)http_reader_feed_eof(&reader);
    http_reader_release(&reader);
}

static void
feed_request(const char *bytes, size_t size)
{
    feed_http(HTTP_REQUESTS, bytes, size);
}

static void
feed_response(const char *bytes, size_t size)
{
    feed_http(HTTP_RESPONSES, bytes, size);
}

static void
feed_store_response(const char *bytes, size_t size)
{
    kv_response_t response;
    if (kv_response_parse(&response, bytes, size)) {
        kv_response_release(&response);
    }
}

static void
feed_routes(const char *bytes, size_t size)
{
    route_table_t *table = document_parse_routes(bytes, size, NULL);
    if (table != NULL) {
        (void)route_table_match(table, "h.example", "/x/y");
        route_table_release(table);
    }
}

static void
feed_instance(const char *bytes, size_t size)
{
    instance_entry_t entry;
    const char *error;
    bool valid = document_parse_instance(&entry, "i-1", bytes, size, &error);
    ck_assert(valid || error != NULL);
}

static void
feed_boot(const char *bytes, size_t size)
{
    char error[128];
    char *text = strndup(bytes, size);
    boot_t boot;
    (void)boot_parse(&boot, text, error, sizeof(error));
    free(text);
}

static void
feed_state(const char *bytes, size_t size)
{
    fleet_state_t state;
    if (fleet_state_parse(&state, bytes, size)) {
        registry_t registry;
        members_t members;
        registry_init(&registry);
        members_init(&members, 1);
        fleet_revisions_t known = {0};
        fleet_state_bootstrap(&state, &registry, &members, 1);
        (void)fleet_state_apply(&state, &known, &registry, &members, 1);
        fleet_state_release(&state);
        registry_release(&registry);
        members_release(&members);
    }
}

typedef struct {
    const char *name;
    feed_fn_t feed;
    const char *seed;
} target_t;

/* Nearly as many headers as a message may have. */
#define HEADERS_5 "A:a\r\nB:b\r\nC:c\r\nD:d\r\nE:e\r\n"
#define HEADERS_19 HEADERS_5 HEADERS_5 HEADERS_5 "A:a\r\nB:b\r\nC:c\r\nD:d\r\n"
#define ALL_HEADERS HEADERS_19 HEADERS_19 HEADERS_19 HEADERS_19 HEADERS_19

static const target_t targets[] = {
    {"request", feed_request,
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b "
     "HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0"
     "\r\n\r\n"},
    {"request with trailer fields", feed_request,
     "POST /a HTTP/1.1\r\n" ALL_HEADERS
     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT:b\r\nU:c\r\n\r\n"},
    {"response", feed_response,
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nab"
     "HTTP/1.1 103 E\r\n\r\nHTTP/1.1 503 Full\r\nTransfer-Encoding: chunked"
     "\r\n\r\n1\r\na\r\n0\r\n\r\n"},
    {"response with trailer fields", feed_response,
     "HTTP/1.1 200 OK\r\n" ALL_HEADERS
     "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nT:b\r\nU:c\r\n\r\n"},
    {"store response", feed_store_response,
     "{\"items\":[{\"key\":\"k\",\"value\":\"aGVsbG8=\",\"rev\":4,\"lease\":0}"
     ",{\"key\":\"l\",\"rev\":5,\"deleted\":true}],\"has_more\":false,"
     "\"current_rev\":9}"},
    {"configuration", feed_routes,
     "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\","
     "\"prefix\":\"/x/\",\"type\":\"idempotent\",\"gather\":[\"s\",\"t\"],"
     "\"top_k\":5,\"min_version\":0.75},{\"name\":\"b\",\"host\":\"h\","
     "\"prefix\":\"/\",\"type\":\"non_idempotent\",\"split\":[{\"service\":"
     "\"s\",\"weight\":2}]}],\"services\":[{\"name\":\"s\",\"max_conns\":4}]"
     "}"},
    {"upstream's entry", feed_instance,
     "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\","
     "\"version\":"
     "\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":5,\"seq\":4}"},
    {"settings", feed_boot,
     "node_name=a\nzone=b\nzones.a=r\nlisten.front=10.1.0.39:8226\n"
     "seeds=10.1.0.39:8224,10.2.0.33:8224\nplatform.addr=10.200.1.7:8229\n"
     "bounds.grace_s=6\n"},
    {"state of a daemon", feed_state,
     "{\"age_us\":3,\"upstreams_revision\":5,\"members_revision\":5,"
     "\"zones_revision\":5,\"upstreams\":{\"since\":0,\"digest\":\"ab\","
     "\"gone\":"
     "[[\"j\",5]],\"rows\":[{\"id\":\"i\",\"service\":\"s\",\"zone\":\"a\","
     "\"host\":\"10.0.0.1\",\"port\":80,\"slots\":4,\"revision\":4}]},"
     "\"config\":\"{}\",\"config_revision\":3,\"members\":{\"since\":0,"
     "\"rows\":[{\"name\":\"m\",\"address\":\"a\",\"zone\":\"z\"}]},"
     "\"zones\":[\"z\"]}"},
};

static uint64_t random_state = 88172645463325252ULL;

static uint32_t
random_below(uint32_t below)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)((random_state >> 20) % below);
}

/* Replace, remove, insert or duplicate a few bytes. */
static size_t
mutate(char *bytes, size_t size)
{
    static const char tokens[] = "\r\n:,{}[]\"0123456789-/ \0\x7f\xff";
    uint32_t changes = 1 + random_below(6);
    while (changes-- > 0 && size > 2) {
        size_t offset = random_below((uint32_t)size);
        char token = tokens[random_below(sizeof(tokens))];
        switch (random_below(4)) {
        case 0:
            bytes[offset] = token;
            break;
        case 1:
            memmove(bytes + offset, bytes + offset + 1, size - offset - 1);
            size--;
            break;
        case 2:
            if (size + 1 < SIZE_MAX_BYTES) {
                memmove(bytes + offset + 1, bytes + offset, size - offset);
                bytes[offset] = token;
                size++;
            }
            break;
        default: {
            size_t chunk = 1 + random_below(40);
            if (offset + chunk <= size && size + chunk < SIZE_MAX_BYTES) {
                memmove(bytes + offset + chunk, bytes + offset, size - offset);
                size += chunk;
            }
            break;
        }
        }
    }
    return size;
}

START_TEST(test_mutated)
{
    const target_t *target = &targets[_i];
    size_t size = strlen(target->seed);
    target->feed(target->seed, size);
    for (int i = 0; i < ROUNDS; i++) {
        char bytes[SIZE_MAX_BYTES];
        memcpy(bytes, target->seed, size);
        size_t changed = mutate(bytes, size);
        /* Allocate the exact size, so that an overrun by one byte is found. */
        char *block = malloc(changed + 1);
        memcpy(block, bytes, changed);
        block[changed] = '\0';
        target->feed(block, changed);
        free(block);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("mutated");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_mutated, 0,
                        sizeof(targets) / sizeof(targets[0]));
    return suite_run("mutated", tests);
}
