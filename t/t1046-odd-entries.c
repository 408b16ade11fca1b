/*
 * Entries of another writer among those of the upstreams: what they name is
 * not used, and the daemon goes on following the others.
 */
#include "daemon/clock.h"
#include "platform/documents.h"
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { NESTED_LEVELS = 200000, LONGEST_KEY = 200 };

/* Of an otherwise sound entry, one member is odd. */
typedef struct {
    const char *name;
    const char *id;
    const char *address;
    const char *slots;
    const char *cold_ms;
    const char *seq;
    const char *more; /* further members */
} odd_case_t;

#define SOUND_ADDRESS "\"127.0.0.1:80\""

static const odd_case_t odd_cases[] = {
    {"port 65536", "p1", "\"127.0.0.1:65536\"", "4", "0", "1", ""},
    {"port 0", "p2", "\"127.0.0.1:0\"", "4", "0", "1", ""},
    {"a negative port", "p3", "\"127.0.0.1:-1\"", "4", "0", "1", ""},
    {"a port of 2^32 + 80", "p4", "\"127.0.0.1:4294967376\"", "4", "0", "1",
     ""},
    {"a port beyond 64 bits", "p5",
     "\"127.0.0.1:99999999999999999999999999999\"", "4", "0", "1", ""},
    {"no port", "p6", "\"127.0.0.1\"", "4", "0", "1", ""},
    {"an address that is a number", "p7", "127", "4", "0", "1", ""},
    {"a host out of range", "p8", "\"327.0.0.1:80\"", "4", "0", "1", ""},
    {"slots of 2^32 + 4", "n1", SOUND_ADDRESS, "4294967300", "0", "1", ""},
    {"slots of 1e300", "n2", SOUND_ADDRESS, "1e300", "0", "1", ""},
    {"negative slots", "n3", SOUND_ADDRESS, "-4", "0", "1", ""},
    {"cold for 1e300 ms", "n4", SOUND_ADDRESS, "4", "1e300", "1", ""},
    {"cold for 1e999 ms", "n5", SOUND_ADDRESS, "4", "1e999", "1", ""},
    {"cold for 2^63 - 1 ms", "n6", SOUND_ADDRESS, "4", "9223372036854775807",
     "1", ""},
    {"a seq beyond 64 bits", "n7", SOUND_ADDRESS, "4", "0",
     "99999999999999999999999999999", ""},
    {"a seq of 1e999", "n8", SOUND_ADDRESS, "4", "0", "1e999", ""},
    {"started at 1e300", "n9", SOUND_ADDRESS, "4", "0", "1",
     ",\"born\":1e300"},
    {"started beyond 64 bits", "n10", SOUND_ADDRESS, "4", "0", "1",
     ",\"born\":-99999999999999999999999999999"},
    {"a member too many levels deep", "d1", SOUND_ADDRESS, "4", "0", "1",
     ",\"x\":%s"},
    {"not UTF-8", "u1", SOUND_ADDRESS, "4", "0", "1", ",\"x\":\"\xff\xfe\""},
    {"an escaped NUL", "u2", SOUND_ADDRESS, "4", "0", "1",
     ",\"version\":\"a\\u0000b\""},
    {"an id with a line end", "a\r\nX-Injected: 1", SOUND_ADDRESS, "4", "0",
     "1", ""},
    {"an id with a space at its end", "a ", SOUND_ADDRESS, "4", "0", "1", ""},
    {"no id", "", SOUND_ADDRESS, "4", "0", "1", ""},
    {"a zone with a line end", "z1", SOUND_ADDRESS, "4", "0", "1",
     ",\"zone\":\"a\\nE100 started\""},
};

enum { ODD_CASES = sizeof(odd_cases) / sizeof(odd_cases[0]) };

/* Nested objects; the result is allocated. */
static char *
write_nested(size_t levels)
{
    static const char open[] = "{\"a\":";
    size_t length = sizeof(open) - 1;
    char *text = malloc(levels * (length + 1) + 2);
    char *out = text;
    for (size_t i = 0; i < levels; i++, out += length) {
        memcpy(out, open, length);
    }
    *out++ = '1';
    memset(out, '}', levels);
    out[levels] = '\0';
    return text;
}

/* The text of an odd entry, allocated. A later member replaces an earlier one
   of the same name. */
static char *
write_odd_entry(const odd_case_t *c)
{
    static char more[2 * NESTED_LEVELS * 6];
    char *nested = write_nested(NESTED_LEVELS);
    char *text = NULL;
    const char *at = strstr(c->more, "%s");
    snprintf(more, sizeof(more), "%.*s%s%s",
             at != NULL ? (int)(at - c->more) : (int)strlen(c->more), c->more,
             at != NULL ? nested : "", at != NULL ? at + 2 : "");
    if (asprintf(&text,
                 "{\"service\":\"s0\",\"addr\":%s,\"zone\":\"a\","
                 "\"version\":\"v1\",\"slots\":%s,\"state\":\"ready\","
                 "\"cold_left_ms\":%s,\"seq\":%s%s}",
                 c->address, c->slots, c->cold_ms, c->seq, more) < 0) {
        abort();
    }
    free(nested);
    return text;
}

/* Guards against odd entries that count as upstreams, and against values that
   overflow or are cut when they are read. */
START_TEST(test_odd_entry)
{
    const odd_case_t *c = &odd_cases[_i];
    instance_entry_t entry;
    const char *error = NULL;
    char *text = write_odd_entry(c);
    bool valid =
        document_parse_instance(&entry, c->id, text, strlen(text), &error);
    ck_assert_msg(!valid && error != NULL, "%s", c->name);
    free(text);
}
END_TEST

static void
put_odd_entries(fixture_t *f)
{
    /* They sort before, between and after the keys of the sound entries. */
    static const char *const keys[] = {"servers/ %d%%&?#", "servers/i-0 %d",
                                       "servers/i-1\xc3\xa9%d+",
                                       "servers/zz%d\r\n"};
    static const char *const values[] = {"",  "[",  "[[[[[[",   "null",
                                         "3", "{}", "\xff\xfe", "\"text\""};
    char key[256];
    for (int i = 0; i < ODD_CASES; i++) {
        char *text = write_odd_entry(&odd_cases[i]);
        snprintf(key, sizeof(key), "servers/%s", odd_cases[i].id);
        tier_store_put(f->store, key, text);
        snprintf(key, sizeof(key), keys[i % 4], i);
        tier_store_put(f->store, key, text);
        free(text);
    }
    for (int i = 0; i < 8; i++) {
        snprintf(key, sizeof(key), "servers/value %d", i);
        tier_store_put(f->store, key, values[i]);
        /* The longest key, of bytes that need escapes or not. */
        memset(key, i % 2 == 0 ? 'k' : '%', LONGEST_KEY);
        memcpy(key, "servers/", strlen("servers/"));
        key[strlen("servers/")] = (char)('0' + i);
        key[LONGEST_KEY] = '\0';
        tier_store_put(f->store, key, values[i]);
    }
}

/* Whether a request to s0 is answered by that upstream. */
static bool
is_served_by(fixture_t *f, int upstream)
{
    caller_t caller;
    uint32_t before = tier_upstream_requests(f->upstreams[upstream]);
    caller_exchange(f, &caller, &f->boot.callers_address,
                    REQUEST("/one/", "r"), 500);
    conn_close(&caller.conn);
    return status_of(&caller) == 200 &&
           tier_upstream_requests(f->upstreams[upstream]) == before + 1;
}

/* Move s0 from the upstream i-0 to a new one, and wait until it is used. */
static void
check_following(fixture_t *f, const char *when)
{
    put_upstream(f, 0, tier_upstream_address(f->upstreams[0]), "s0",
                 "draining");
    put_upstream(f, 7, tier_upstream_address(f->upstreams[1]), "s0", "ready");
    bool moved = false;
    for (int i = 0; i < 100 && !moved; i++) {
        run_ms(f, 50);
        moved = is_served_by(f, 1);
    }
    ck_assert_msg(moved, "%s: a new upstream is not used", when);
}

/* Guards against LOST and stale state: a daemon that ended at an odd entry, or
   followed the list no further. */
START_TEST(test_following_beside_odd_entries)
{
    fixture_t f;
    fixture_init(&f);
    put_odd_entries(&f);
    run_ms(&f, 1500);
    ck_assert(is_served_by(&f, 0));
    check_following(&f, "running");
    fixture_release(&f);
}
END_TEST

/* The same when the daemon starts and lists the entries, in pages of different
   sizes that end at odd entries, too. */
static const uint32_t page_sizes[] = {0, 1, 2, 3, 50};

START_TEST(test_start_beside_odd_entries)
{
    char why[128];
    fixture_t f;
    fixture_init(&f);
    node_free(f.node);
    put_odd_entries(&f);
    tier_store_set_page_size(f.store, page_sizes[_i]);
    f.node = node_start(f.loop, &f.boot, why, sizeof(why));
    ck_assert_msg(f.node != NULL, "%s", why);
    bool served = false;
    for (int i = 0; i < 60 && !served; i++) {
        run_ms(&f, 50);
        served = is_served_by(&f, 0);
    }
    ck_assert_msg(served, "pages of %u", page_sizes[_i]);
    check_following(&f, "started");
    fixture_release(&f);
}
END_TEST

/* Guards against stale state: changes with more bytes than one response may
   have were asked for again and again. */
START_TEST(test_large_changes)
{
    enum { ENTRIES = 10, BYTES = 1 << 20 };
    char key[64];
    fixture_t f;
    fixture_init(&f);
    char *large = malloc(BYTES + 1);
    memset(large, '[', BYTES);
    large[BYTES] = '\0';
    tier_store_set_page_size(f.store, 4);
    for (int i = 0; i < ENTRIES; i++) {
        snprintf(key, sizeof(key), "servers/large-%d", i);
        tier_store_put(f.store, key, large);
    }
    free(large);
    run_ms(&f, 1500);
    ck_assert(is_served_by(&f, 0));
    check_following(&f, "after large changes");
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("odd entries");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_odd_entry, 0, ODD_CASES);
    tcase_add_test(tests, test_following_beside_odd_entries);
    tcase_add_test(tests, test_large_changes);
    tcase_add_loop_test(tests, test_start_beside_odd_entries, 0,
                        sizeof(page_sizes) / sizeof(page_sizes[0]));
    return suite_run("odd entries", tests);
}
