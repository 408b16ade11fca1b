/* Tests which settings are accepted, and the messages for invalid ones. */
#include "edge/secret.h"
#include "edge/settings.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TOP                                                                   \
    "name: a1\nzone: south-1\nkey_file: /k\ntoken_file: /t\n"                 \
    "store: {url: 'http://127.0.0.1:8500/'}\n"                                \
    "vmlist: {url: 'http://127.0.0.1:8600'}\n"
#define LISTEN                                                                \
    "listen: {address: 127.0.0.1, http_port: 8001, peer_port: 9001}\n"
#define VALID TOP LISTEN

typedef struct {
    const char *name;
    const char *text;
    const char *location; /* the error's peer: file and line */
    const char *message;  /* substring of the error's message */
} fault_case_t;

static const fault_case_t faults[] = {
    {"unknown key", VALID "colour: red\n", "f.yaml:8",
     "key colour: unknown key, expected one of name, zone, shards"},
    {"unknown inner key", TOP "listen:\n  port: 1\n", "f.yaml:8",
     "key listen.port: unknown key, expected one of address, http_port"},
    {"duplicate key", VALID "zone: b\n", "f.yaml:8",
     "key zone: duplicate key, first on line 2"},
    {"duplicate inner key", VALID "log:\n  level: info\n  level: warn\n",
     "f.yaml:10", "key log.level: duplicate key, first on line 9"},
    {"missing", TOP, "f.yaml:0",
     "key listen.address: required key is missing"},
    {"number above", VALID "shards: 65\n", "f.yaml:8",
     "key shards: found '65', expected a whole number from 1 to 64"},
    {"number below", VALID "shards: 0\n", "f.yaml:8", "found '0'"},
    {"negative", VALID "group: -1\n", "f.yaml:8", "found '-1'"},
    {"second group", VALID "group: 1\n", "f.yaml:8", "found '1'"},
    {"no number", VALID "shards: four\n", "f.yaml:8", "found 'four'"},
    {"list for a number", VALID "shards: [4]\n", "f.yaml:8",
     "found 'a list or mapping'"},
    {"number for pairs", VALID "log: 3\n", "f.yaml:8", "key log.*"},
    {"bad name", "name: A1\n", "f.yaml:1", "key name: found 'A1'"},
    {"any address", "listen: {address: 0.0.0.0}\n", "f.yaml:1",
     "key listen.address: found '0.0.0.0', expected an IP address"},
    {"host name", "listen: {address: localhost}\n", "f.yaml:1", "IP address"},
    {"port 0", "listen: {http_port: 0}\n", "f.yaml:1", "1 to 65535"},
    {"port above", "listen: {http_port: 65536}\n", "f.yaml:1", "65536"},
    {"bad scheme", "store: {url: 'ftp://a'}\n", "f.yaml:1",
     "key store.url: found 'ftp://a'"},
    {"user in a URL", "store: {url: 'http://u@h'}\n", "f.yaml:1", "store.url"},
    {"no host", "store: {url: 'http:///x'}\n", "f.yaml:1", "store.url"},
    {"line end in a URL", "store: {url: \"http://a\\n\"}\n", "f.yaml:1",
     "found 'http://a?'"},
    {"NUL in a path", "key_file: \"/k\\0x\"\n", "f.yaml:1", "key_file"},
    {"empty path", "key_file: ''\n", "f.yaml:1", "key_file"},
    {"bad level", "log: {level: notice}\n", "f.yaml:1",
     "found 'notice', expected error, warn, info or debug"},
    {"peer without port", "peers: [127.0.0.1]\n", "f.yaml:1", "ADDRESS:PORT"},
    {"peer with port 0", "peers: ['127.0.0.1:0']\n", "f.yaml:1",
     "found '127.0.0.1:0'"},
    {"peers no list", "peers: 3\n", "f.yaml:1", "list of at most 16"},
    {"no pairs", "- 3\n", "f.yaml:1", "pairs"},
    {"syntax", "a: [\n", "f.yaml:2", "did not find"},
    {"empty", "", "f.yaml:1", "no document"},
};

START_TEST(test_faults)
{
    const fault_case_t *c = &faults[_i];
    settings_t settings;
    error_t err = ERROR_INIT;
    ck_assert_msg(settings_parse("f.yaml", c->text, strlen(c->text), &settings,
                                 &err) == STATUS_INVALID,
                  "%s", c->name);
    ck_assert_msg(strcmp(err.peer, c->location) == 0, "%s: %s", c->name,
                  error_text(&err));
    ck_assert_msg(strstr(err.message, c->message) != NULL, "%s: %s", c->name,
                  error_text(&err));
}
END_TEST

START_TEST(test_valid)
{
    static const char text[] =
        VALID "peers: ['127.0.0.1:9002', '[::1]:9003']\nshards: 64\n";
    settings_t settings;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(
        settings_parse("f.yaml", text, sizeof(text) - 1, &settings, &err),
        STATUS_OK);
    ck_assert_str_eq(settings.store_url, "http://127.0.0.1:8500");
    ck_assert_uint_eq(settings.listen_peer_port, 9001);
    ck_assert_uint_eq(settings.shards, 64);
    ck_assert_uint_eq(settings.drain_keep_ms, 5000);
    ck_assert_str_eq(settings.log_target, "stderr");
    ck_assert_uint_eq(settings.peer_count, 2);
    ck_assert_str_eq(settings.peers[1].address, "::1");
    ck_assert_uint_eq(settings.peers[1].port, 9003);
    ck_assert_int_eq(settings_read("/nowhere/f.yaml", &settings, &err),
                     STATUS_NOT_FOUND);
}
END_TEST

/* Creates a file with size bytes and a newline; path is a mkstemp template. */
static void
file_create(char *path, size_t size)
{
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    for (size_t i = 0; i < size; i++) {
        ck_assert_int_eq(write(fd, "k", 1), 1);
    }
    ck_assert_int_eq(write(fd, "\n", 1), 1);
    close(fd);
}

typedef struct {
    const char *name;
    size_t key_size;
    size_t token_size;
    uint32_t peer_port;
    uint32_t most_ms;
    const char *message; /* NULL: accepted */
} check_case_t;

static const check_case_t checks[] = {
    {"valid", 32, 16, 9001, 5000, NULL},
    {"longest", 512, 256, 9001, 5000, NULL},
    {"short key", 31, 16, 9001, 5000, "key key_file: found 31 bytes"},
    {"long key", 600, 16, 9001, 5000,
     "key key_file: found at least 515 bytes, expected 32 to 512"},
    {"short token", 32, 15, 9001, 5000, "key token_file: found 15 bytes"},
    {"equal ports", 32, 16, 8001, 5000,
     "key listen.peer_port: found the same"},
    {"short drain", 32, 16, 9001, 4999, "key drain.most_ms"},
};

START_TEST(test_check)
{
    const check_case_t *c = &checks[_i];
    settings_t settings;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(
        settings_parse("f.yaml", VALID, strlen(VALID), &settings, &err),
        STATUS_OK);
    snprintf(settings.key_file, sizeof(settings.key_file), "/tmp/keyXXXXXX");
    snprintf(settings.token_file, sizeof(settings.token_file),
             "/tmp/tokenXXXXXX");
    file_create(settings.key_file, c->key_size);
    file_create(settings.token_file, c->token_size);
    settings.listen_peer_port = c->peer_port;
    settings.drain_most_ms = c->most_ms;
    status_t status = settings_check(&settings, &err);
    unlink(settings.key_file);
    unlink(settings.token_file);
    if (c->message == NULL) {
        ck_assert_msg(status == STATUS_OK, "%s: %s", c->name,
                      error_text(&err));
        ck_assert_int_eq(settings_check(&settings, &err), STATUS_INVALID);
        ck_assert_ptr_nonnull(strstr(err.message, "No such file"));
    }
    else {
        ck_assert_msg(status == STATUS_INVALID, "%s", c->name);
        ck_assert_msg(strstr(err.message, c->message) != NULL, "%s: %s",
                      c->name, error_text(&err));
    }
}
END_TEST

/* Guards against an example in docs/OPERATING.md that is not accepted. */
START_TEST(test_documented_example)
{
    static char page[65536];
    FILE *stream = fopen("docs/OPERATING.md", "re");
    ck_assert_ptr_nonnull(stream);
    page[fread(page, 1, sizeof(page) - 1, stream)] = '\0';
    fclose(stream);
    char *start = strstr(page, "```yaml\n");
    ck_assert_ptr_nonnull(start);
    start += strlen("```yaml\n");
    settings_t settings;
    error_t err = ERROR_INIT;
    size_t size = (size_t)(strstr(start, "```") - start);
    ck_assert_msg(settings_parse("page", start, size, &settings, &err) ==
                      STATUS_OK,
                  "%s", error_text(&err));
}
END_TEST

START_TEST(test_secret_equal)
{
    ck_assert(secret_equal("abc", 3, "abc", 3));
    ck_assert(!secret_equal("abc", 3, "abd", 3));
    ck_assert(!secret_equal("abc", 3, "ab", 2));
    ck_assert(!secret_equal("ab", 2, "abab", 4));
    ck_assert(!secret_equal("", 0, "a", 1));
    ck_assert(!secret_equal("a", 1, "", 0));
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("settings");
    tcase_add_loop_test(tests, test_faults, 0,
                        sizeof(faults) / sizeof(faults[0]));
    tcase_add_loop_test(tests, test_check, 0,
                        sizeof(checks) / sizeof(checks[0]));
    tcase_add_test(tests, test_valid);
    tcase_add_test(tests, test_documented_example);
    tcase_add_test(tests, test_secret_equal);
    return suite_run("settings", tests);
}
