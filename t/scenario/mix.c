#include "t/scenario/mix.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum {
    MIX_RUN_MS = 16000,
    MIX_FAULT_START_SPREAD_MS = 9000, /* faults start within this time */
    MIX_FAULTS_MIN = 4,
    MIX_FAULTS_SPREAD = 7,
    MIX_ZONES = 3,
    MIX_DAEMONS = 3,
    US_PER_MS = 1000,
    PERMILLE_MAX = 60
};

typedef struct {
    script_t *script;
    uint64_t seed;
    uint64_t draws;
} mix_t;

static int64_t
draw(mix_t *mix, int64_t bound)
{
    uint64_t count = mix->draws++;
    return (int64_t)(XXH64(&count, sizeof(count), mix->seed) %
                     (uint64_t)bound);
}

static step_t *
add(mix_t *mix, step_kind_t kind, int64_t at_ms)
{
    return script_add_step(mix->script, kind, at_ms * US_PER_MS);
}

static void
set_zone(mix_t *mix, step_t *step, const char *field)
{
    char zone[FIELD_TEXT_SIZE];
    snprintf(zone, sizeof(zone), "z%" PRId64, draw(mix, MIX_ZONES) + 1);
    step_set_text(step, field, zone);
}

static void
set_upstream_name(mix_t *mix, step_t *step)
{
    char name[FIELD_TEXT_SIZE];
    snprintf(name, sizeof(name), "desk-g%" PRId64 "-r%" PRId64, draw(mix, 2),
             draw(mix, 3));
    step_set_text(step, "name", name);
}

static void
mix_stragglers(mix_t *mix, int64_t at_ms)
{
    step_t *step = add(mix, STEP_UPSTREAM, at_ms);
    step_set_int(step, "straggle_permille", draw(mix, PERMILLE_MAX));
    step_set_int(step, "straggle_factor", 2 + draw(mix, 30));
}

static void
mix_replica(mix_t *mix, int64_t at_ms)
{
    static const char *const faults[] = {"down", "cold", "crash", "shed"};
    const char *fault = faults[draw(mix, 4)];
    step_t *step = add(mix, STEP_UPSTREAM, at_ms);
    set_upstream_name(mix, step);
    step_set_int(step, fault, 1);
    if (strcmp(fault, "cold") != 0 && strcmp(fault, "crash") != 0) {
        char name[FIELD_TEXT_SIZE];
        snprintf(name, sizeof(name), "%s", step_text(step, "name", ""));
        step = add(mix, STEP_UPSTREAM, at_ms + draw(mix, 3000));
        step_set_text(step, "name", name);
        step_set_int(step, fault, 0);
    }
}

static void
mix_zone_cold(mix_t *mix, int64_t at_ms)
{
    step_t *step = add(mix, STEP_UPSTREAM, at_ms);
    set_zone(mix, step, "zone");
    step_set_int(step, "cold", 1);
}

static void
mix_replies(mix_t *mix, int64_t at_ms)
{
    static const char *const faults[] = {"lose_permille", "truncate_permille",
                                         "mismatch_permille",
                                         "double_permille"};
    step_t *step = add(mix, STEP_UPSTREAM, at_ms);
    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        step_set_int(step, faults[i], draw(mix, PERMILLE_MAX));
    }
}

static void
mix_split(mix_t *mix, int64_t at_ms)
{
    step_t *step = add(mix, STEP_SPLIT, at_ms);
    step_set_int(step, "shards", 1 + draw(mix, 8));
    step_set_int(step, "lag_ms", draw(mix, 150));
}

static void
mix_versions(mix_t *mix, int64_t at_ms)
{
    static int64_t const first = 11;
    int64_t version = first + at_ms / 1000;
    int64_t held = 1 + draw(mix, 3);
    for (int zone = 1; zone <= MIX_ZONES; zone++) {
        char name[FIELD_TEXT_SIZE];
        step_t *step = add(mix, STEP_UPSTREAM, at_ms + draw(mix, 300));
        snprintf(name, sizeof(name), "z%d", zone);
        step_set_text(step, "zone", name);
        step_set_int(step, "version", version);
        step_set_int(step, "held", held);
    }
}

static void
mix_store(mix_t *mix, int64_t at_ms)
{
    static const char *const states[] = {"down", "slow", "lost_reply",
                                         "stale"};
    step_set_text(add(mix, STEP_STORE, at_ms), "state", states[draw(mix, 4)]);
    step_set_text(add(mix, STEP_STORE, at_ms + 500 + draw(mix, 6000)), "state",
                  "ok");
}

static void
mix_operators(mix_t *mix, int64_t at_ms)
{
    int64_t operators = 1 + draw(mix, 3);
    for (int64_t i = 0; i < operators; i++) {
        bool rows = draw(mix, 3) == 0;
        step_t *step =
            add(mix, rows ? STEP_ROWS : STEP_ZONE, at_ms + draw(mix, 20));
        step_set_int(step, "daemon", draw(mix, MIX_DAEMONS) + 1);
        if (rows) {
            step_set_text(step, "column", "weight");
            step_set_int(step, "value", 1 + draw(mix, 50));
            continue;
        }
        set_zone(mix, step, "name");
        step_set_text(step, "state", draw(mix, 3) == 0 ? "in" : "out");
    }
    for (int zone = 1; zone <= MIX_ZONES; zone++) {
        char name[FIELD_TEXT_SIZE];
        step_t *step = add(mix, STEP_ZONE, at_ms + 4000 + draw(mix, 2000));
        snprintf(name, sizeof(name), "z%d", zone);
        step_set_text(step, "name", name);
        step_set_text(step, "state", "in");
        step_set_int(step, "daemon", draw(mix, MIX_DAEMONS) + 1);
    }
}

static void
mix_daemon(mix_t *mix, int64_t at_ms)
{
    static const char *const states[] = {"pause", "kill", "leave"};
    const char *state = states[draw(mix, 3)];
    int64_t daemon = draw(mix, MIX_DAEMONS) + 1;
    step_t *step = add(mix, STEP_DAEMON, at_ms);
    step_set_int(step, "daemon", daemon);
    step_set_text(step, "state", state);
    if (strcmp(state, "pause") == 0) {
        step_set_int(step, "for_ms", 100 + draw(mix, 5000));
        return;
    }
    step = add(mix, STEP_DAEMON, at_ms + 5000 + draw(mix, 1000));
    step_set_int(step, "daemon", daemon);
    step_set_text(step, "state", "start");
}

static void
mix_link(mix_t *mix, int64_t at_ms)
{
    step_t *step = add(mix, STEP_LINK, at_ms);
    int64_t daemon = draw(mix, MIX_DAEMONS) + 1;
    step_set_int(step, "late_us", 1 + draw(mix, 60000));
    step_set_int(step, "double_permille", draw(mix, 400));
    if (draw(mix, 2) == 0) {
        step_set_int(step, "daemon", daemon);
        step_set_int(step, "cut", 1);
    }
    step = add(mix, STEP_LINK, at_ms + 100 + draw(mix, 4000));
    step_set_int(step, "daemon", daemon);
    step_set_int(step, "cut", 0);
    step_set_int(step, "late_us", 0);
}

static void
mix_poison(mix_t *mix, int64_t at_ms)
{
    step_t *step = add(mix, STEP_QUERY, at_ms);
    step_set_text(step, "name", "bad");
    step_set_text(step, "body", "poison");
    step_set_int(step, "resends", 1 + draw(mix, 10));
    step_set_int(step, "resend_ms", 50 + draw(mix, 500));
    step_set_int(step, "once", draw(mix, 2));
}

static void
mix_vm(mix_t *mix, int64_t at_ms)
{
    char name[FIELD_TEXT_SIZE];
    step_t *step = add(mix, STEP_VM, at_ms);
    bool by_operator = draw(mix, 2) == 0;
    set_upstream_name(mix, step);
    snprintf(name, sizeof(name), "%s", step_text(step, "name", ""));
    step_set_text(step, "state", by_operator ? "out" : "leaving");
    step_set_int(step, "daemon", draw(mix, MIX_DAEMONS) + 1);
    step_set_int(step, "lag_ms", draw(mix, 1500));
    step = add(mix, STEP_VM, at_ms + 4000 + draw(mix, 2000));
    step_set_text(step, "name", name);
    step_set_text(step, "state", by_operator ? "in" : "live");
    step_set_int(step, "daemon", draw(mix, MIX_DAEMONS) + 1);
}

static void (*const faults[])(mix_t *mix, int64_t at_ms) = {
    mix_stragglers, mix_replica,  mix_zone_cold, mix_replies,
    mix_split,      mix_versions, mix_store,     mix_operators,
    mix_daemon,     mix_link,     mix_poison,    mix_vm,
};

static void
mix_queries(mix_t *mix)
{
    step_t *step = add(mix, STEP_QUERY, 0);
    step_set_text(step, "name", "q");
    step_set_int(step, "count", 1000);
    step_set_int(step, "every_us", 8000 + draw(mix, 6000));
    step_set_int(step, "deadline_ms", 100 + draw(mix, 500));
    step = add(mix, STEP_QUERY, 100);
    step_set_text(step, "name", "refund");
    step_set_int(step, "once", 1);
    step_set_int(step, "count", 200);
    step_set_int(step, "every_us", 60000);
    step_set_int(step, "hi", 1000 + draw(mix, 4) * INT64_C(1000000000));
    step_set_int(step, "resends", draw(mix, 3));
    step_set_int(step, "resend_ms", 1 + draw(mix, 400));
    step = add(mix, STEP_QUERY, 200);
    step_set_text(step, "name", "post");
    step_set_text(step, "id", "post");
    step_set_int(step, "count", 200);
    step_set_int(step, "every_us", 60000);
    step_set_int(step, "hi", 1000 + draw(mix, 4) * INT64_C(1000000000));
    step_set_int(step, "deadline_ms", 200 + draw(mix, 1500));
    step_set_int(step, "resends", draw(mix, 4));
    step_set_int(step, "resend_ms", 1 + draw(mix, 400));
}

void
mix_generate(uint64_t seed, script_t *script)
{
    mix_t mix = {.script = script, .seed = seed};
    *script = (script_t){
        .seed = seed,
        .daemons = MIX_DAEMONS,
        .run_us = (int64_t)MIX_RUN_MS * US_PER_MS,
    };
    snprintf(script->name, sizeof(script->name), "mix of seed %" PRIu64, seed);
    step_t *service = script_add_step(script, STEP_SERVICE, -1);
    step_set_text(service, "name", "desk");
    step_set_int(service, "groups", 2);
    step_set_int(service, "replicas", 3);
    step_set_int(service, "shards", 1 + draw(&mix, 6));
    step_set_int(service, "latency_us", 2000 + draw(&mix, 10000));
    step_set_int(service, "upstream_slots", 2 + draw(&mix, 4));
    step_set_int(service, "zone_slots", 4 + draw(&mix, 20));
    mix_queries(&mix);
    int64_t count = MIX_FAULTS_MIN + draw(&mix, MIX_FAULTS_SPREAD);
    for (int64_t i = 0; i < count; i++) {
        size_t kind = (size_t)draw(&mix, sizeof(faults) / sizeof(faults[0]));
        faults[kind](&mix, 200 + draw(&mix, MIX_FAULT_START_SPREAD_MS));
    }
}

void
mix_print(const script_t *script)
{
    for (size_t i = 0; i < script->count; i++) {
        const step_t *step = &script->steps[i];
        printf("- at: %" PRId64 "\n  %s: {", step->at_us / US_PER_MS,
               step_kind_name(step->kind));
        for (size_t j = 0; j < step->field_count; j++) {
            printf("%s%s: %s", j == 0 ? "" : ", ", step->fields[j].name,
                   step->fields[j].text);
        }
        printf("}\n");
    }
}
