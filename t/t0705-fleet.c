/*
 * The fleet's part of a daemon with no store to talk to: what is taken out
 * reaches the view that work is routed by, and stays through newer
 * configurations until it is stored or let in.
 */
#include "daemon/fleet.h"
#include "t/lib/suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum { WAIT_MS = 5, WAITS_MAX = 2000 };

typedef struct {
    pthread_mutex_t lock;
    fleet_view_t *world; /* last published */
    settings_t settings;
    fleet_t *fleet;
    peer_net_t *net;
} bench_t;

static void
publish(void *context, fleet_view_t *world)
{
    bench_t *bench = context;
    pthread_mutex_lock(&bench->lock);
    fleet_view_put(bench->world);
    bench->world = fleet_view_get(world);
    pthread_mutex_unlock(&bench->lock);
}

static uint64_t
settled_version(void *context)
{
    (void)context;
    return 0;
}

static void
on_message(void *ctx, const char *peer, uint64_t incarnation,
           message_t *message)
{
    (void)ctx;
    (void)peer;
    (void)incarnation;
    (void)message;
}

static void
on_up(void *ctx, const char *peer, uint64_t incarnation)
{
    (void)ctx;
    (void)peer;
    (void)incarnation;
}

static void
on_down(void *ctx, const char *peer, uint64_t incarnation, bool reachable,
        const error_t *err)
{
    (void)ctx;
    (void)peer;
    (void)incarnation;
    (void)reachable;
    (void)err;
}

static void
on_refused(void *ctx, const error_t *err)
{
    (void)ctx;
    (void)err;
}

static void
bench_init(bench_t *bench)
{
    static const peer_ops_t ops = {on_message, on_up, on_down, on_refused};
    static const uint8_t key[32] = {1};
    error_t err = ERROR_INIT;
    memset(bench, 0, sizeof(*bench));
    pthread_mutex_init(&bench->lock, NULL);
    settings_t *settings = &bench->settings;
    snprintf(settings->name, NAME_SIZE, "a1");
    snprintf(settings->zone, NAME_SIZE, "z1");
    snprintf(settings->listen_address, ADDRESS_SIZE, "127.0.0.1");
    /* Nothing listens on port 1: every call fails at once. */
    snprintf(settings->store_url, SETTINGS_URL_SIZE, "http://127.0.0.1:1");
    snprintf(settings->vmlist_url, SETTINGS_URL_SIZE, "http://127.0.0.1:1");
    settings->store_timeout_ms = 100;
    settings->vmlist_poll_ms = 50;
    fleet_settings_t fleet = {
        .settings = settings,
        .incarnation = 7,
        .context = bench,
        .publish = publish,
        .settled_version = settled_version,
    };
    peer_net_settings_t net = {
        .self = {.name = "a1", .zone = "z1", .incarnation = 7},
        .address = "127.0.0.1",
        .key = {.bytes = key, .size = sizeof(key)},
    };
    bench->fleet = fleet_new(&fleet, &err);
    bench->net = peer_net_new(&net, &ops, bench, &err);
    ck_assert_ptr_nonnull(bench->fleet);
    ck_assert_ptr_nonnull(bench->net);
    ck_assert_int_eq(fleet_start(bench->fleet, bench->net, &err), STATUS_OK);
}

static void
bench_release(bench_t *bench)
{
    fleet_stop(bench->fleet);
    peer_net_free(bench->net);
    fleet_free(bench->fleet);
    fleet_view_put(bench->world);
    pthread_mutex_destroy(&bench->lock);
}

/* Whether the view has the version and the zone's state. */
static bool
view_is(bench_t *bench, uint64_t version, const char *zone, bool out)
{
    pthread_mutex_lock(&bench->lock);
    const fleet_view_t *world = bench->world;
    bool is = world != NULL && world->config != NULL &&
              world->config->version == version &&
              config_zone_is_out(world->config, zone) == out;
    pthread_mutex_unlock(&bench->lock);
    return is;
}

static bool
view_becomes(bench_t *bench, uint64_t version, const char *zone, bool out)
{
    struct timespec pause = {.tv_nsec = WAIT_MS * 1000000};
    for (int i = 0; i < WAITS_MAX; i++) {
        if (view_is(bench, version, zone, out)) {
            return true;
        }
        nanosleep(&pause, NULL);
    }
    return false;
}

static void
take_version(bench_t *bench, uint64_t version)
{
    config_t *config = config_new();
    config->version = version;
    ck_assert(fleet_adopt_config(bench->fleet, config));
    config_put(config);
}

START_TEST(test_hold_reaches_the_view)
{
    bench_t bench;
    bench_init(&bench);
    ck_assert(!fleet_set_hold(bench.fleet, HOLD_ZONE, "z1", true, "ops"));
    take_version(&bench, 1);
    ck_assert(view_becomes(&bench, 1, "z1", false));
    ck_assert(fleet_set_hold(bench.fleet, HOLD_ZONE, "z1", true, "ops"));
    ck_assert(view_becomes(&bench, 1, "z1", true));
    ck_assert(fleet_is_held(bench.fleet, HOLD_ZONE, "z1"));
    ck_assert(!fleet_is_held(bench.fleet, HOLD_ZONE, "z2"));
    ck_assert(fleet_set_hold(bench.fleet, HOLD_ZONE, "z1", false, "ops"));
    ck_assert(view_becomes(&bench, 1, "z1", false));
    bench_release(&bench);
}
END_TEST

START_TEST(test_hold_outlives_another_change)
{
    bench_t bench;
    bench_init(&bench);
    take_version(&bench, 1);
    ck_assert(fleet_set_hold(bench.fleet, HOLD_ZONE, "z1", true, "ops"));
    take_version(&bench, 2);
    ck_assert(view_becomes(&bench, 2, "z1", true));
    ck_assert(fleet_set_hold(bench.fleet, HOLD_ZONE, "z1", false, "ops"));
    take_version(&bench, 3);
    ck_assert(view_becomes(&bench, 3, "z1", false));
    bench_release(&bench);
}
END_TEST

START_TEST(test_older_version_is_ignored)
{
    bench_t bench;
    bench_init(&bench);
    take_version(&bench, 5);
    config_t *older = config_new();
    older->version = 4;
    ck_assert(!fleet_adopt_config(bench.fleet, older));
    config_put(older);
    ck_assert(view_becomes(&bench, 5, "z1", false));
    bench_release(&bench);
}
END_TEST

int
main(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TCase *tests = tcase_create("fleet");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_hold_reaches_the_view);
    tcase_add_test(tests, test_hold_outlives_another_change);
    tcase_add_test(tests, test_older_version_is_ignored);
    int code = suite_run("fleet", tests);
    curl_global_cleanup();
    return code;
}
