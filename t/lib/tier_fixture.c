#include "t/lib/tier_fixture.h"

#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "tier/members.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static void
stop(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

void
run_ms(fixture_t *f, int64_t ms)
{
    ev_timer timer;
    ev_timer_init(&timer, stop, (double)ms / 1000, 0);
    ev_now_update(f->loop);
    ev_timer_start(f->loop, &timer);
    ev_run(f->loop, 0);
    ev_timer_stop(f->loop, &timer);
}

void
put_upstream(fixture_t *f, int number, const struct sockaddr_in *address,
             const char *service, const char *state)
{
    char key[64];
    char text[256];
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
    snprintf(key, sizeof(key), "servers/i-%d", number);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"addr\":\"%s:%u\",\"zone\":\"a\","
             "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"seq\":1}",
             service, host, ntohs(address->sin_port), state);
    tier_store_put(f->store, key, text);
}

void
put_config(fixture_t *f, int version)
{
    char text[1024];
    snprintf(
        text, sizeof(text),
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"one\",\"host\":\"h\",\"prefix\":\"/one/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":300,\"service\":"
        "\"s0\","
        "\"attempts\":2},"
        "{\"name\":\"once\",\"host\":\"h\",\"prefix\":\"/once/\",\"type\":"
        "\"non_idempotent\",\"timeout_ms\":2000,\"goal_ms\":300,"
        "\"service\":\"s0\",\"attempts\":2},"
        "{\"name\":\"all\",\"host\":\"h\",\"prefix\":\"/all/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":300,\"gather\":"
        "[\"s0\",\"s1\",\"s2\"],\"attempts\":2,\"top_k\":2,"
        "\"min_version\":0.6}],\"services\":[],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,"
        "\"header_timeout_ms\":400,\"idle_timeout_ms\":700}}",
        version);
    tier_store_put(f->store, "op/config", text);
}

void
list_member(fixture_t *f, const char *name, const char *control,
            uint32_t weight)
{
    char key[64];
    char record[MEMBER_RECORD_SIZE];
    snprintf(key, sizeof(key), "yuccarun/fleet/members/%s", name);
    member_record_write(record, sizeof(record), "127.0.0.1:2", control, "a",
                        weight);
    tier_store_put(f->store, key, record);
}

void
list_other_members(fixture_t *f)
{
    enum { OTHERS = 20 };
    for (int i = 0; i < OTHERS; i++) {
        char name[32];
        snprintf(name, sizeof(name), "front-x-%d", i);
        list_member(f, name, "", 9);
    }
}

/* A daemon, its store and one upstream for each of the services s0, s1, s2. */
void
fixture_start(fixture_t *f, bool first_start)
{
    static const char *const services[] = {"s0", "s1", "s2"};
    static const tier_script_t good = {.bytes = GOOD_RESPONSE};
    char why[128];
    *f = (fixture_t){.loop = ev_loop_new(EVBACKEND_EPOLL)};
    f->boot = (boot_t){
        .daemon_name = "front-a-1",
        .zone = "a",
        .callers_address = unique_loopback_address(),
        .readiness_address = unique_loopback_address(),
        .directory_address = unique_loopback_address(),
        .control_address = unique_loopback_address(),
        .store_address = unique_loopback_address(),
        .has_control = true,
        .has_callers = true,
        .serves_metrics = false,
        .has_readiness = true,
        .has_directory = true,
        .has_store = true,
        .callers_address_text = "127.0.0.1:1",
        .grace_us = 2500000,
        .drain_us = 5000000,
        .directory_ttl_us = 5000000,
        .min_lease_us = 100000,
        .retry_ratio = 0.2,
        .retry_slack = 50,
        .bootstrap = first_start,
    };
    f->store = tier_store_new(f->loop, &f->boot.store_address);
    for (int i = 0; i < UPSTREAMS; i++) {
        struct sockaddr_in address = unique_loopback_address();
        f->upstreams[i] = tier_upstream_new(f->loop, &address, &good);
        put_upstream(f, i, &address, services[i], "ready");
    }
    put_config(f, 1);
    f->node = node_start(f->loop, &f->boot, why, sizeof(why));
    ck_assert_msg(f->node != NULL, "%s", why);
    run_ms(f, 200);
}

void
fixture_init(fixture_t *f)
{
    fixture_start(f, false);
}

void
fixture_release(fixture_t *f)
{
    node_free(f->node);
    for (int i = 0; i < UPSTREAMS; i++) {
        tier_upstream_free(f->upstreams[i]);
    }
    tier_store_free(f->store);
    ev_loop_destroy(f->loop);
}

static void
caller_data(conn_t *conn, const char *bytes, size_t size)
{
    caller_t *caller = conn->owner;
    if (caller->size + size < sizeof(caller->text)) {
        memcpy(caller->text + caller->size, bytes, size);
        caller->size += size;
        caller->text[caller->size] = '\0';
    }
}

static void
caller_disconnected(conn_t *conn, bool clean)
{
    caller_t *caller = conn->owner;
    (void)clean;
    caller->ended = true;
    conn_close(conn);
}

static const conn_ops_t caller_ops = {
    .data = caller_data,
    .disconnected = caller_disconnected,
};

void
caller_open(fixture_t *f, caller_t *caller, const struct sockaddr_in *address)
{
    memset(caller, 0, sizeof(*caller));
    ck_assert(conn_open(&caller->conn, f->loop, address, &caller_ops, caller));
}

void
caller_send(caller_t *caller, const char *text)
{
    ck_assert(conn_write(&caller->conn, text, strlen(text)));
}

void
caller_exchange(fixture_t *f, caller_t *caller,
                const struct sockaddr_in *address, const char *text,
                int64_t ms)
{
    caller_open(f, caller, address);
    caller_send(caller, text);
    int64_t until_us = clock_now_us() + ms * 1000;
    while (!caller->ended && clock_now_us() < until_us &&
           strstr(caller->text, "\r\n\r\n") == NULL) {
        run_ms(f, 10);
    }
    run_ms(f, 10);
}

uint32_t
status_of(const caller_t *caller)
{
    return caller->size > 12 ? (uint32_t)strtoul(caller->text + 9, NULL, 10)
                             : 0;
}
