/*
 * Holds on a daemon whose store is unreachable: a zone held out of service is
 * out in the view that workers route by, and stays out when a newer
 * configuration is adopted, until the hold is stored or ended.
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
    fleet_view_t *view; /* last published */
    settings_t settings;
    fleet_t *fleet;
    peer_net_t *net;
} fixture_t;

static void
publish(void *context, fleet_view_t *view)
{
    fixture_t *fixture = context;
    pthread_mutex_lock(&fixture->lock);
    fleet_view_put(fixture->view);
    fixture->view = fleet_view_get(view);
    pthread_mutex_unlock(&fixture->lock);
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
fixture_init(fixture_t *fixture)
{
    static const peer_ops_t ops = {on_message, on_up, on_down, on_refused};
    static const uint8_t key[32] = {1};
    error_t err = ERROR_INIT;
    memset(fixture, 0, sizeof(*fixture));
    pthread_mutex_init(&fixture->lock, NULL);
    settings_t *settings = &fixture->settings;
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
        .context = fixture,
        .publish = publish,
        .settled_version = settled_version,
    };
    peer_net_settings_t net = {
        .self = {.name = "a1", .zone = "z1", .incarnation = 7},
        .address = "127.0.0.1",
        .key = {.bytes = key, .size = sizeof(key)},
    };
    fixture->fleet = fleet_new(&fleet, &err);
    fixture->net = peer_net_new(&net, &ops, fixture, &err);
    ck_assert_ptr_nonnull(fixture->fleet);
    ck_assert_ptr_nonnull(fixture->net);
    ck_assert_int_eq(fleet_start(fixture->fleet, fixture->net, &err),
                     STATUS_OK);
}

static void
fixture_release(fixture_t *fixture)
{
    fleet_stop(fixture->fleet);
    peer_net_free(fixture->net);
    fleet_free(fixture->fleet);
    fleet_view_put(fixture->view);
    pthread_mutex_destroy(&fixture->lock);
}

/* Whether the view has this version and this state of the zone. */
static bool
view_is(fixture_t *fixture, uint64_t version, const char *zone, bool out)
{
    pthread_mutex_lock(&fixture->lock);
    const fleet_view_t *view = fixture->view;
    bool is = view != NULL && view->config != NULL &&
              view->config->version == version &&
              config_zone_is_out(view->config, zone) == out;
    pthread_mutex_unlock(&fixture->lock);
    return is;
}

static bool
view_becomes(fixture_t *fixture, uint64_t version, const char *zone, bool out)
{
    struct timespec pause = {.tv_nsec = WAIT_MS * 1000000};
    for (int i = 0; i < WAITS_MAX; i++) {
        if (view_is(fixture, version, zone, out)) {
            return true;
        }
        nanosleep(&pause, NULL);
    }
    return false;
}

static void
adopt_version(fixture_t *fixture, uint64_t version)
{
    config_t *config = config_new();
    config->version = version;
    ck_assert(fleet_adopt_config(fixture->fleet, config));
    config_put(config);
}

START_TEST(test_hold_reaches_view)
{
    fixture_t fixture;
    fixture_init(&fixture);
    ck_assert(!fleet_set_hold(fixture.fleet, HOLD_ZONE, "z1", true, "ops"));
    adopt_version(&fixture, 1);
    ck_assert(view_becomes(&fixture, 1, "z1", false));
    ck_assert(fleet_set_hold(fixture.fleet, HOLD_ZONE, "z1", true, "ops"));
    ck_assert(view_becomes(&fixture, 1, "z1", true));
    ck_assert(fleet_is_held(fixture.fleet, HOLD_ZONE, "z1"));
    ck_assert(!fleet_is_held(fixture.fleet, HOLD_ZONE, "z2"));
    ck_assert(fleet_set_hold(fixture.fleet, HOLD_ZONE, "z1", false, "ops"));
    ck_assert(view_becomes(&fixture, 1, "z1", false));
    fixture_release(&fixture);
}
END_TEST

START_TEST(test_hold_survives_newer_version)
{
    fixture_t fixture;
    fixture_init(&fixture);
    adopt_version(&fixture, 1);
    ck_assert(fleet_set_hold(fixture.fleet, HOLD_ZONE, "z1", true, "ops"));
    adopt_version(&fixture, 2);
    ck_assert(view_becomes(&fixture, 2, "z1", true));
    ck_assert(fleet_set_hold(fixture.fleet, HOLD_ZONE, "z1", false, "ops"));
    adopt_version(&fixture, 3);
    ck_assert(view_becomes(&fixture, 3, "z1", false));
    fixture_release(&fixture);
}
END_TEST

START_TEST(test_older_version_is_ignored)
{
    fixture_t fixture;
    fixture_init(&fixture);
    adopt_version(&fixture, 5);
    config_t *older = config_new();
    older->version = 4;
    ck_assert(!fleet_adopt_config(fixture.fleet, older));
    config_put(older);
    ck_assert(view_becomes(&fixture, 5, "z1", false));
    fixture_release(&fixture);
}
END_TEST

int
main(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TCase *tests = tcase_create("fleet");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_hold_reaches_view);
    tcase_add_test(tests, test_hold_survives_newer_version);
    tcase_add_test(tests, test_older_version_is_ignored);
    int code = suite_run("fleet", tests);
    curl_global_cleanup();
    return code;
}
