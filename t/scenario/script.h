/*
 * Reader of scenario scripts. A script is a list of steps; each is an event or
 * an expectation at a given time, with a flat list of fields. The language is
 * described in docs/SCENARIOS.md.
 *
 *     script_t script;
 *     if (script_load("t/scenarios/lost.yaml", &script, &err) != STATUS_OK)
 *     int64_t count = step_int(step, "count", 1);
 *     script_release(&script);
 */
#ifndef T_SCENARIO_SCRIPT_H
#define T_SCENARIO_SCRIPT_H

#include "core/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    STEP_FIELDS_MAX = 14,
    FIELD_NAME_SIZE = 24,
    FIELD_TEXT_SIZE = 64,
    SCRIPT_NAME_SIZE = 64
};

typedef enum {
    STEP_SERVICE, /* created before the run starts */
    STEP_QUERY,
    STEP_UPSTREAM,
    STEP_SPLIT,
    STEP_ZONE,
    STEP_VM,
    STEP_ROWS,
    STEP_STORE,
    STEP_LINK,
    STEP_DAEMON,
    STEP_EXPECT,
    STEP_KIND_COUNT
} step_kind_t;

typedef struct {
    char name[FIELD_NAME_SIZE];
    char text[FIELD_TEXT_SIZE];
    bool is_integer;
    int64_t integer;
} step_field_t;

typedef struct {
    step_kind_t kind;
    int64_t at_us; /* -1: at the end of the run */
    size_t line;   /* in the script */
    size_t field_count;
    step_field_t fields[STEP_FIELDS_MAX];
} step_t;

typedef struct {
    char name[SCRIPT_NAME_SIZE]; /* path, or a description if generated */
    uint64_t seed;
    int64_t daemons;
    int64_t run_us; /* virtual duration of the run */
    step_t *steps;
    size_t count;
} script_t;

/*
 * Read a script from a file or from text. An error names the file and line,
 * the value found and the values expected. Release the script with
 * script_release after STATUS_OK.
 */
status_t script_load(const char *path, script_t *script, error_t *err);
status_t script_parse(const char *text, size_t size, const char *name,
                      script_t *script, error_t *err);
void script_release(script_t *script);

/*
 * Append a step to a generated script and add its fields with step_set_text
 * and step_set_int. The step is valid until the next call of script_add_step.
 */
step_t *script_add_step(script_t *script, step_kind_t kind, int64_t at_us);
void step_set_text(step_t *step, const char *name, const char *text);
void step_set_int(step_t *step, const char *name, int64_t value);

/* Read a field of a step; fallback if the step does not have it. */
bool step_has_field(const step_t *step, const char *name);
int64_t step_int(const step_t *step, const char *name, int64_t fallback);
const char *step_text(const step_t *step, const char *name,
                      const char *fallback);

const char *step_kind_name(step_kind_t kind);

#endif
