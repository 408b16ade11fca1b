/*
 * Configuration, topology and test steps for the tests of the gate.
 *
 * The fixture has services "desk" and "night" in zones "a" and "b": upstreams
 * desk-0 and desk-2 in a, desk-1 and desk-3 in b, and night-0 in a.
 */
#ifndef T_LIB_GATE_FIXTURE_H
#define T_LIB_GATE_FIXTURE_H

#include "core/gate.h"

#define MS INT64_C(1000) /* in microseconds */

enum { FIXTURE_UPSTREAMS = 5 };

typedef struct {
    gate_t *gate;
    config_t *config;
    topology_t *topology;
    uint32_t owned[FIXTURE_UPSTREAMS];
    size_t owned_count;
    int64_t warmed_us; /* when the last OP_WARM ended */
} fixture_t;

typedef enum {
    OP_END,
    OP_WARM,   /* ramps the upstream up to its full slots */
    OP_SUBMIT, /* expects decision, and status when refused */
    OP_FINISH,
    OP_NEXT,   /* expects decision and part, and status when refused */
    OP_CANCEL, /* expects gate_cancel to return result.reset */
    OP_HEALTH, /* health report: result.cold, draining if result.reset */
    OP_ZONE,   /* takes zone "upstream" out if result.cold, else puts it in */
    OP_DISOWN, /* owns no upstream */
    OP_OWN,    /* owns all upstreams */
    OP_SLOTS,  /* expects slots of upstream */
    OP_WAKEUP  /* expects gate_wakeup at at_ms + deadline_ms */
} op_t;

typedef struct {
    op_t op;
    int64_t at_ms; /* from the first step */
    uint32_t part;
    const char *upstream;
    class_t class;
    int64_t deadline_ms; /* from at_ms */
    uint64_t fingerprint;
    bool hedge;
    gate_decision_t decision;
    part_status_t status;
    gate_result_t result;
    uint32_t slots;
} gate_step_t;

typedef struct {
    const char *name;
    gate_step_t steps[40];
} gate_case_t;

void fixture_init(fixture_t *fixture, const gate_settings_t *settings);
void fixture_release(fixture_t *fixture);

/* Configures the gate with the fixture's config, topology and owned. */
void fixture_configure(fixture_t *fixture, int64_t now_us);

/* A request with part as its sequence number and a fingerprint of its own. */
part_request_t fixture_request(uint32_t part, const char *upstream,
                               class_t class, int64_t deadline_us);

/* Runs the steps of a case and checks the expectations of each step. */
void fixture_run(const gate_case_t *gate_case);

#endif
