/* Runs the command-line tool against daemons that send scripted replies. */
#include "cli/cli.h"
#include "t/lib/suite.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CASES(table) (sizeof(table) / sizeof((table)[0]))

enum { REQUEST_SIZE = 8192, SCRIPT_MAX = 4, ARGV_MAX = 16 };

/* The reply to one request; status 0: none, the connection is closed. */
typedef struct {
    const char *request; /* "PUT /v1/table"; unlisted requests get 500 */
    int status;
    const char *body;
} answer_step_t;

typedef struct {
    int listen_fd;
    uint16_t port;
    pthread_t thread;
    const answer_step_t *script;
    size_t requests; /* received, except GET /ready */
    char last[REQUEST_SIZE];
} server_t;

static int
listen_any(uint16_t *port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, size), 0);
    ck_assert_int_eq(listen(fd, 16), 0);
    getsockname(fd, (struct sockaddr *)&at, &size);
    *port = ntohs(at.sin_port);
    return fd;
}

/* Returns whether the request has been received with its whole body. */
static bool
request_is_whole(const char *request)
{
    const char *end = strstr(request, "\r\n\r\n");
    if (end == NULL) {
        return false;
    }
    const char *length = strcasestr(request, "Content-Length:");
    size_t size = length == NULL ? 0 : strtoul(length + 15, NULL, 10);
    return strlen(end + 4) >= size;
}

static void
read_request(int fd, char request[REQUEST_SIZE])
{
    size_t size = 0;
    ssize_t got = 1;
    request[0] = '\0';
    while (got > 0 && size < REQUEST_SIZE - 1 && !request_is_whole(request)) {
        got = read(fd, request + size, REQUEST_SIZE - 1 - size);
        size += got > 0 ? (size_t)got : 0;
        request[size] = '\0';
    }
}

static void
send_reply(int fd, int status, const char *body)
{
    char text[REQUEST_SIZE];
    int size = snprintf(text, sizeof(text),
                        "HTTP/1.1 %d Scripted\r\nContent-Length: %zu\r\n"
                        "Location: /v1/elsewhere\r\n"
                        "Content-Type: application/json\r\n\r\n%s",
                        status, strlen(body), body);
    (void)send(fd, text, (size_t)size, MSG_NOSIGNAL);
}

static void
serve_request(server_t *server, int fd)
{
    char request[REQUEST_SIZE];
    read_request(fd, request);
    if (strncmp(request, "GET /ready", 10) == 0) {
        send_reply(fd, 200, "{}");
        return;
    }
    server->requests++;
    memcpy(server->last, request, sizeof(request));
    for (size_t i = 0; i < SCRIPT_MAX; i++) {
        const answer_step_t *step = &server->script[i];
        size_t length = step->request == NULL ? 0 : strlen(step->request);
        if (length > 0 && strncmp(request, step->request, length) == 0) {
            if (step->status != 0) {
                send_reply(fd, step->status, step->body);
            }
            return;
        }
    }
    send_reply(fd, 500, "{\"error\":\"not in the script\"}");
}

static void *
serve(void *arg)
{
    server_t *server = arg;
    int fd;
    while ((fd = accept(server->listen_fd, NULL, NULL)) >= 0) {
        serve_request(server, fd);
        close(fd);
    }
    return NULL;
}

static void
server_start(server_t *server, const answer_step_t *script)
{
    *server = (server_t){.script = script};
    server->listen_fd = listen_any(&server->port);
    ck_assert_int_eq(pthread_create(&server->thread, NULL, serve, server), 0);
}

static void
server_stop(server_t *server)
{
    shutdown(server->listen_fd, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listen_fd);
}

/* Returns a port on which nothing listens. */
static uint16_t
closed_port(void)
{
    uint16_t port;
    close(listen_any(&port));
    return port;
}

/*
 * Runs "yuccarun COMMAND" with the daemons on these ports and returns its exit
 * code. The caller frees *output.
 */
static int
run_command(const char *command, const uint16_t *ports, size_t port_count,
            char **output)
{
    char words[512];
    char urls[4][64];
    char *argv[ARGV_MAX] = {"yuccarun"};
    int argc = 1;
    snprintf(words, sizeof(words), "%s", command);
    for (char *word = strtok(words, " "); word != NULL;
         word = strtok(NULL, " ")) {
        argv[argc++] = word;
    }
    for (size_t i = 0; i < port_count; i++) {
        snprintf(urls[i], sizeof(urls[i]), "--daemon=http://127.0.0.1:%u",
                 ports[i]);
        argv[argc++] = urls[i];
    }
    size_t size;
    FILE *out = open_memstream(output, &size);
    int code = (int)cli_main(argc, argv, out, out);
    fclose(out);
    return code;
}

#define ROW                                                                   \
    "{\"service\":\"ledger-desk\",\"class\":\"desk\",\"weight\":10,"          \
    "\"deadline_ms\":900,\"upstream_slots\":4,\"upstream_connections\":35,"   \
    "\"held_connections\":4,\"cold_slots\":1,\"zone_slots\":60,"              \
    "\"service_slots\":120,\"tenant_slots\":60,\"added_load_percent\":5}"
#define DOCUMENT                                                              \
    "{\"version\":12,\"by\":\"ann\",\"rows\":[" ROW                           \
    "],\"history\":[{\"version\":12,\"change\":\"mine\"}],"                   \
    "\"zones\":{\"south-1\":\"out\"},\"vms\":{}}"
#define ANSWER(outcome, reason)                                               \
    "{\"query\":\"1f-2\",\"outcome\":\"" outcome "\",\"reason\":\"" reason    \
    "\",\"version\":17,\"generation\":3,\"asked\":10,\"covered\":9,"          \
    "\"coverage\":0.9,\"count\":390,\"sum\":\"1234\",\"missing\":[[4,5]],"    \
    "\"parts\":2,\"attempts\":3,\"hedges\":1,\"retry_after_ms\":50,"          \
    "\"took_us\":4321,\"daemon\":\"a1\"}"

typedef struct {
    const char *command;
    answer_step_t script[SCRIPT_MAX];
    int code;
    const char *output; /* a part of the expected output */
    size_t requests;
    const char *sent; /* a part of the last request; NULL: not checked */
} cli_case_t;

static const cli_case_t cli_cases[] = {
    {"query ledger-desk",
     {{"POST /v1/query", 200, ANSWER("whole", "none")}},
     CLI_OK,
     "rows:     390, sum 1234",
     1,
     "{\"service\":\"ledger-desk\"}"},
    {"query ledger-desk --lo 4 --hi 4294967296 --tenant t --deadline-ms 7",
     {{"POST /v1/query", 200, ANSWER("partial", "deadline")}},
     CLI_PARTIAL,
     "missing:  4 to 5",
     1,
     "\"hi\":4294967296"},
    {"query ledger-desk --json",
     {{"POST /v1/query", 503, ANSWER("not_run", "overload")}},
     CLI_NOT_RUN,
     "\"reason\": \"overload\"",
     1,
     NULL},
    {"query ledger-desk",
     {{"POST /v1/query", 503, ANSWER("not_run", "leaving")}},
     CLI_NOT_RUN,
     "retry in: 50 ms",
     1,
     NULL},
    {"query ledger-desk",
     {{"POST /v1/query", 502, ANSWER("unknown", "lost")}},
     CLI_UNKNOWN,
     "unknown (lost)",
     1,
     NULL},
    {"query ledger-desk",
     {{"POST /v1/query", 400, ANSWER("not_run", "bad_request")}},
     CLI_INVALID,
     "bad_request",
     1,
     NULL},
    {"query ledger-desk",
     {{"POST /v1/query", 200, "<html>"}},
     CLI_BAD_REPLY,
     "no JSON object",
     1,
     NULL},
    {"query ledger-desk",
     {{"POST /v1/query", 200, "{}"}},
     CLI_BAD_REPLY,
     "unexpected reply",
     1,
     NULL},
    {"query refund-line --once",
     {{"POST /v1/tickets", 200, "{\"ticket\":\"t-9\"}"},
      {"POST /v1/query", 200, ANSWER("whole", "none")}},
     CLI_OK,
     "outcome:  whole",
     2,
     "\"ticket\":\"t-9\""},
    {"query refund-line --once --id r-1",
     {{"POST /v1/query", 0, NULL}},
     CLI_UNKNOWN,
     "may have taken effect and is not sent again",
     1,
     "\"id\":\"r-1\""},
    {"query refund-line --once --id r-1",
     {{"POST /v1/query", 200, "<html>"}},
     CLI_UNKNOWN,
     "no JSON object",
     1,
     NULL},
    {"query refund-line --once --id r-1",
     {{"POST /v1/query", 307, "{}"}},
     CLI_BAD_REPLY,
     "unexpected reply",
     1,
     NULL},
    {"query refund-line --once --id r-1",
     {{"POST /v1/query", 417, "{}"}},
     CLI_BAD_REPLY,
     "unexpected reply",
     1,
     NULL},
    {"query refund-line --id r-1", {{0}}, CLI_USAGE, "needs --once", 0, NULL},
    {"query refund-line --lo -1", {{0}}, CLI_USAGE, "--lo", 0, NULL},
    {"query refund-line --hi 4294967297", {{0}}, CLI_USAGE, "--hi", 0, NULL},
    {"entries --zone north-1",
     {{"GET /v1/entries?zone=north-1", 200,
       "{\"entries\":[{\"name\":\"a1\",\"port\":8001}],\"keep_ms\":5000}"}},
     CLI_OK,
     "keep_ms: 5000",
     1,
     NULL},
    {"entries --zone a/b", {{0}}, CLI_USAGE, "must be a valid name", 0, NULL},
    {"explain 1f-2",
     {{"GET /v1/explain/1f-2", 404, "{\"error\":\"gone\"}"}},
     CLI_NOT_FOUND,
     "gone",
     1,
     NULL},
    {"explain ../status", {{0}}, CLI_USAGE, "QUERY-ID", 0, NULL},
    {"status",
     {{"GET /v1/status", 200,
       "{\"daemons\":{\"a1\":{\"load\":0.5},\"b\\u001b1\":{}},\"empty\":[]}"}},
     CLI_OK,
     "b?1",
     1,
     NULL},
    {"status",
     {{"GET /v1/status", 200,
       "{\"daemons\":[{\"daemon\":\"a1\",\"events\":[{\"number\":503,\"at_"
       "us\":1796337420233521}]},"
       "{\"daemon\":\"b1\",\"events\":[]}]}"}},
     CLI_OK,
     "  a1      1 below\n  b1      \n  a1 events:\n    number  at_us\n    503 "
     "    2026-12-03T22:37:00Z\n",
     1,
     NULL},
    {"status",
     {{"GET /v1/status", 0, NULL}},
     CLI_UNAVAILABLE,
     "no reply",
     1,
     NULL},
    {"table show",
     {{"GET /v1/table", 200, DOCUMENT}},
     CLI_OK,
     "version 12 by ann",
     1,
     NULL},
    {"table show --yaml",
     {{"GET /v1/table", 200, DOCUMENT}},
     CLI_OK,
     "# based on version 12\nrows:\n  - service: ledger-desk\n    class: desk",
     1,
     NULL},
    {"table show",
     {{"GET /v1/table", 401, "<html>"}},
     CLI_DENIED,
     "--token-file",
     1,
     NULL},
    {"table diff FILE",
     {{"GET /v1/table", 200, DOCUMENT}},
     CLI_OK,
     "~ ledger-desk deadline_ms: 900 -> 300",
     1,
     NULL},
    {"table apply FILE --by bob",
     {{"GET /v1/table", 200, DOCUMENT},
      {"PUT /v1/table", 200,
       "{\"version\":13,\"confirmed\":[\"a1\",\"b1\"],\"waiting\":[]}"}},
     CLI_OK,
     "confirmed: a1, b1\nwaiting:   none",
     2,
     "\"based_on\":12"},
    {"table apply FILE",
     {{"GET /v1/table", 503, "{\"error\":\"none\"}"},
      {"PUT /v1/table", 200,
       "{\"version\":1,\"confirmed\":[\"a1\"],\"waiting\":[\"b1\"]}"}},
     CLI_PARTIAL,
     "waiting:   b1",
     2,
     "\"based_on\":0"},
    {"table apply FILE --based-on 7",
     {{"PUT /v1/table", 409, DOCUMENT}},
     CLI_CONFLICT,
     "~ ledger-desk deadline_ms: 900 -> 300",
     1,
     "\"based_on\":7"},
    {"table apply BASED",
     {{"PUT /v1/table", 422,
       "{\"row\":1,\"column\":\"weight\",\"error\":\"too large\"}"}},
     CLI_INVALID,
     "row 1, column weight",
     1,
     "\"based_on\":9"},
    {"table apply FILE --based-on 7",
     {{"PUT /v1/table", 0, NULL}, {"GET /v1/table", 200, DOCUMENT}},
     CLI_UNKNOWN,
     "repeat the command with --change op-",
     2,
     NULL},
    {"table apply FILE --based-on 7",
     {{"PUT /v1/table", 0, NULL}, {"GET /v1/table", 0, NULL}},
     CLI_UNKNOWN,
     "not found in force",
     2,
     NULL},
    {"table apply FILE --based-on 7 --change mine",
     {{"PUT /v1/table", 0, NULL},
      {"GET /v1/table", 200, DOCUMENT},
      {"GET /v1/zones", 200, "{\"confirmed\":[\"a1\"],\"waiting\":[]}"}},
     CLI_OK,
     "found in force by its id\naccepted:  version 12",
     3,
     NULL},
    {"table apply FILE --based-on 7 --change mine",
     {{"PUT /v1/table", 504, "{\"error\":\"store\"}"},
      {"GET /v1/table", 200, DOCUMENT},
      {"GET /v1/zones", 200, "{\"waiting\":[\"b1\"]}"}},
     CLI_PARTIAL,
     "waiting:   b1",
     3,
     NULL},
    {"zone out south-1 --change mine",
     {{"POST /v1/zones/south-1", 0, NULL},
      {"GET /v1/table", 200, DOCUMENT},
      {"GET /v1/zones", 503, "{}"}},
     CLI_PARTIAL,
     "accepted:  version 12",
     3,
     NULL},
    {"zone out south-1 --change mine",
     {{"POST /v1/zones/south-1", 200,
       "{\"version\":13,\"waiting\":[],\"warning\":\"no such zone\"}"}},
     CLI_OK,
     "warning:   no such zone",
     1,
     "\"change\":\"mine\""},
    {"table apply FILE --based-on 7",
     {{"PUT /v1/table", 401, "{}"}},
     CLI_DENIED,
     "operator token",
     1,
     NULL},
    {"table apply BROKEN",
     {{0}},
     CLI_INVALID,
     "row 1, column weight",
     0,
     NULL},
    {"table apply /nowhere/t.yaml",
     {{0}},
     CLI_INVALID,
     "No such file",
     0,
     NULL},
    {"zone out south-1 --by bob",
     {{"POST /v1/zones/south-1", 200,
       "{\"version\":13,\"confirmed\":[\"a1\"],\"waiting\":[]}"}},
     CLI_OK,
     "version 13",
     1,
     "{\"state\":\"out\",\"by\":\"bob\",\"change\":\"op-"},
    {"vm in ledger-desk-g0-r1 --by bob",
     {{"POST /v1/vms/ledger-desk-g0-r1", 503, "{\"error\":\"no store\"}"}},
     CLI_NOT_RUN,
     "no store",
     1,
     "{\"state\":\"in\",\"by\":\"bob\",\"change\":\"op-"},
    {"zone out south-1 --token-file TOKEN",
     {{"POST /v1/zones/south-1", 200, "{\"version\":13,\"waiting\":[]}"}},
     CLI_OK,
     "version 13",
     1,
     "Bearer 0123456789abcdef\r\n"},
    {"zone out south-1 --token-file TWO-LINES",
     {{0}},
     CLI_INVALID,
     "one line",
     0,
     NULL},
    {"zone out South", {{0}}, CLI_USAGE, "a-z", 0, NULL},
    {"zone show",
     {{"GET /v1/zones", 200, "{\"zones\":{\"s\":\"out\"}}"}},
     CLI_OK,
     "zones: s=out",
     1,
     NULL},
    {"zone", {{0}}, CLI_OK, "  zone in       bring", 0, NULL},
    {"table", {{0}}, CLI_OK, "  table diff    compare", 0, NULL},
    {"vm", {{0}}, CLI_OK, "Usage: yuccarun vm COMMAND", 0, NULL},
    {"zone fly", {{0}}, CLI_USAGE, "no command \"zone fly\"", 0, NULL},
    {"fly", {{0}}, CLI_USAGE, "no command", 0, NULL},
    {"status --nonsense", {{0}}, CLI_USAGE, "--help", 0, NULL},
    {"status --timeout 0", {{0}}, CLI_USAGE, "must be from 1 to", 0, NULL},
    {"status --token-file /nowhere/t",
     {{0}},
     CLI_INVALID,
     "No such file",
     0,
     NULL},
    {"--help", {{0}}, CLI_OK, "table apply", 0, NULL},
    {"vm out --help", {{0}}, CLI_OK, "take a VM out", 0, NULL},
};

#define FILE_ROW(weight)                                                      \
    "rows:\n  - service: ledger-desk\n    class: desk\n    weight: " weight   \
    "\n    deadline_ms: 300\n    upstream_slots: 4\n"                         \
    "    upstream_connections: 35\n    held_connections: 4\n"                 \
    "    cold_slots: 1\n    zone_slots: 60\n    service_slots: 120\n"         \
    "    tenant_slots: 60\n    added_load_percent: 5\n"

typedef struct {
    const char *placeholder; /* word of a command that stands for the file */
    const char *text;        /* content of the file */
} file_case_t;

static const file_case_t files[] = {
    {"FILE", FILE_ROW("10")},
    {"BASED", "# based on version 9\n" FILE_ROW("10")},
    {"BROKEN", FILE_ROW("heavy")},
    {"TOKEN", "0123456789abcdef\n"},
    {"TWO-LINES", "0123\nabcd\n"},
};

/*
 * Copies command to out. A placeholder in it is replaced by the path of a new
 * file with the placeholder's text. path is empty if command has no
 * placeholder.
 */
static void
insert_file_path(char out[512], const char *command, char path[64])
{
    snprintf(out, 512, "%s", command);
    path[0] = '\0';
    for (size_t i = 0; i < CASES(files); i++) {
        const char *at = strstr(command, files[i].placeholder);
        if (at == NULL) {
            continue;
        }
        snprintf(path, 64, "/tmp/yuccarun-t-XXXXXX");
        int fd = mkstemp(path);
        size_t size = strlen(files[i].text);
        ck_assert_int_eq(write(fd, files[i].text, size), (ssize_t)size);
        close(fd);
        snprintf(out, 512, "%.*s%s%s", (int)(at - command), command, path,
                 at + strlen(files[i].placeholder));
    }
}

START_TEST(test_cli)
{
    const cli_case_t *c = &cli_cases[_i];
    server_t server;
    char command[512];
    char path[64];
    char *output = NULL;
    server_start(&server, c->script);
    insert_file_path(command, c->command, path);
    int code = run_command(command, &server.port, 1, &output);
    server_stop(&server);
    if (path[0] != '\0') {
        unlink(path);
    }
    ck_assert_msg(code == c->code, "%s: exit code %d\n%s", c->command, code,
                  output);
    ck_assert_msg(strstr(output, c->output) != NULL, "%s: printed\n%s",
                  c->command, output);
    ck_assert_msg(server.requests == c->requests, "%s: %zu requests",
                  c->command, server.requests);
    ck_assert_msg(c->sent == NULL || strstr(server.last, c->sent) != NULL,
                  "%s: sent\n%s", c->command, server.last);
    free(output);
}
END_TEST

/* A daemon that does not reply is skipped; only one daemon gets a change. */
START_TEST(test_next_daemon)
{
    static const answer_step_t script[SCRIPT_MAX] = {
        {"GET /v1/status", 200, "{\"version\":12}"},
        {"POST /v1/zones/s", 200, "{\"version\":13,\"waiting\":[]}"},
    };
    static const char *const commands[] = {"status", "zone out s"};
    for (size_t i = 0; i < CASES(commands); i++) {
        server_t first;
        server_t second;
        char *output = NULL;
        server_start(&first, script);
        server_start(&second, script);
        uint16_t ports[] = {closed_port(), first.port, second.port};
        int code = run_command(commands[i], ports, 3, &output);
        server_stop(&first);
        server_stop(&second);
        ck_assert_msg(code == CLI_OK, "%s: %s", commands[i], output);
        ck_assert_uint_eq(first.requests, 1);
        ck_assert_uint_eq(second.requests, 0);
        free(output);
    }
}
END_TEST

/*
 * A change that one daemon received without replying is not sent to another
 * daemon, because it could take effect twice.
 */
START_TEST(test_change_not_repeated)
{
    static const answer_step_t silent[SCRIPT_MAX] = {
        {"POST /v1/zones/s", 0, NULL}};
    static const answer_step_t good[SCRIPT_MAX] = {
        {"POST /v1/zones/s", 200, "{\"version\":13,\"waiting\":[]}"}};
    server_t first;
    server_t second;
    char *output = NULL;
    server_start(&first, silent);
    server_start(&second, good);
    uint16_t ports[] = {first.port, second.port};
    int code = run_command("zone out s", ports, 2, &output);
    server_stop(&first);
    server_stop(&second);
    ck_assert_int_eq(code, CLI_UNKNOWN);
    ck_assert_uint_eq(first.requests, 2);
    ck_assert(strncmp(first.last, "GET /v1/table", 13) == 0);
    ck_assert_uint_eq(second.requests, 0);
    free(output);
}
END_TEST

/* A query with a ticket is sent to the daemon that issued the ticket. */
START_TEST(test_ticket_sent_to_issuer)
{
    static const answer_step_t silent[SCRIPT_MAX] = {
        {"POST /v1/tickets", 0, NULL}};
    static const answer_step_t good[SCRIPT_MAX] = {
        {"POST /v1/tickets", 200, "{\"ticket\":\"t-9\"}"},
        {"POST /v1/query", 200, ANSWER("whole", "none")},
    };
    server_t first;
    server_t second;
    char *output = NULL;
    server_start(&first, silent);
    server_start(&second, good);
    uint16_t ports[] = {first.port, second.port};
    int code = run_command("query refund-line --once", ports, 2, &output);
    server_stop(&first);
    server_stop(&second);
    ck_assert_msg(code == CLI_OK, "%s", output);
    ck_assert_uint_eq(first.requests, 1);
    ck_assert_uint_eq(second.requests, 2);
    free(output);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("cli");
    tcase_set_timeout(tests, 0);
    unsetenv("YUCCARUN_DAEMON");
    unsetenv("YUCCARUN_TOKEN_FILE");
    tcase_add_loop_test(tests, test_cli, 0, CASES(cli_cases));
    tcase_add_test(tests, test_next_daemon);
    tcase_add_test(tests, test_change_not_repeated);
    tcase_add_test(tests, test_ticket_sent_to_issuer);
    return suite_run("cli", tests);
}
